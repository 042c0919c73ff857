use super::*;

/// Guards against a run on a busy machine whose report does not show that the harness was late itself.
#[tokio::test]
async fn a_blocked_harness_is_measured() {
    const BLOCKED: Duration = Duration::from_millis(120);
    let watch = StallWatch::start();
    tokio::time::sleep(2 * INTERVAL).await;
    std::thread::sleep(BLOCKED);
    tokio::time::sleep(2 * INTERVAL).await;
    let stall = watch.longest();
    assert!(stall.length + 2 * INTERVAL >= BLOCKED, "{stall:?}");
    assert!(stall.ended_at >= BLOCKED, "{stall:?}");
}
