//! The log lines of the life cycle.

use saffronpaddle_lifecycle::*;

/// Operators search the log for these lines.
#[test]
fn each_reported_event_has_its_log_line() {
    let status = "ready".to_owned();
    let lines = [
        (
            LifecycleEvent::StatusChanged { status },
            "life cycle: ready",
        ),
        (
            LifecycleEvent::LameDuckStarted,
            "lame duck: closing client connections after their responses",
        ),
        (
            LifecycleEvent::LameDuckEnded,
            "lame duck ended: keeping client connections open again",
        ),
        (
            LifecycleEvent::ReloadRejected,
            "no reload: the node is stopping",
        ),
        (
            LifecycleEvent::ReloadFailed,
            "reload failed: the previous configuration remains in force",
        ),
        (
            LifecycleEvent::ReloadTimedOut,
            "reload timed out: it did not complete within reload.within_ms",
        ),
        (
            LifecycleEvent::CloseTimedOut,
            "closing: shutdown deadline reached, dropping open connections",
        ),
    ];
    for (event, line) in lines {
        assert_eq!(event.to_string(), line);
    }
}
