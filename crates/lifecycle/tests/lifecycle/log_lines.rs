//! The lines that the life cycle writes to the log.

use saffronpaddle_lifecycle::*;

/// Staff search the log for these lines.
#[test]
fn each_reported_event_has_its_log_line() {
    let status = "ready".to_owned();
    let lines = [
        (
            LifecycleEvent::StatusChanged { status },
            "life cycle: ready",
        ),
        (LifecycleEvent::LameDuckStarted, "clients are sent away"),
        (LifecycleEvent::LameDuckEnded, "back to work"),
        (
            LifecycleEvent::ReloadRejected,
            "no reload: the node is stopping",
        ),
        (
            LifecycleEvent::ReloadFailed,
            "reload: the old configuration stays",
        ),
        (
            LifecycleEvent::ReloadTimedOut,
            "reload: given up, it took too long",
        ),
        (
            LifecycleEvent::CloseTimedOut,
            "closing: the bound is reached, connections are dropped",
        ),
    ];
    for (event, line) in lines {
        assert_eq!(event.to_string(), line);
    }
}
