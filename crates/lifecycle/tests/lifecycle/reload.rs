//! Reloads in each state.

use crate::support::*;
use saffronpaddle_lifecycle::*;

#[test]
fn a_reload_in_service_is_reported_to_the_manager_and_the_node_stays_ready() {
    for applied in [true, false] {
        let mut node = TestNode::ready();
        let out = node.send(Event::Reload);
        assert!(
            count_messages(&out, &ManagerMessage::Reloading) == 1
                && contains(&out, &Action::ReadConfiguration)
        );
        assert!(node.lifecycle.ready() && node.lifecycle.state() == State::Reloading);
        assert_eq!(
            count_messages(
                &node.send(Event::Reloaded { applied }),
                &ManagerMessage::Ready
            ),
            1,
            "sent even if the reload failed"
        );
        assert_eq!(node.lifecycle.state(), State::Ready);
    }
}

#[test]
fn reloads_requested_during_a_reload_run_once_after_it() {
    let mut node = TestNode::ready();
    node.send(Event::Reload);
    for _ in 0..5 {
        assert!(!contains(
            &node.send(Event::Reload),
            &Action::ReadConfiguration
        ));
    }
    let out = node.send(Event::Reloaded { applied: true });
    assert!(
        contains(&out, &Action::ReadConfiguration),
        "the queued reload starts: {out:?}"
    );
    let out = node.send(Event::Reloaded { applied: true });
    assert!(!contains(&out, &Action::ReadConfiguration) && node.lifecycle.state() == State::Ready);
}

#[test]
fn a_reload_while_starting_is_not_reported_to_the_manager() {
    let mut node = TestNode::new();
    let out = node.send(Event::Reload);
    assert!(
        contains(&out, &Action::ReadConfiguration)
            && count_messages(&out, &ManagerMessage::Reloading) == 0
    );
    node.send(Event::Listening);
    assert_eq!(
        count_messages(
            &node.send(Event::Observed(healthy())),
            &ManagerMessage::Ready
        ),
        1
    );
    let out = node.send(Event::Reloaded { applied: true });
    assert_eq!(
        count_messages(&out, &ManagerMessage::Ready),
        0,
        "READY was already sent for start-up: {out:?}"
    );
}

#[test]
fn a_reload_while_stopping_is_rejected() {
    for elapsed_ms in [0, 600] {
        let mut node = TestNode::ready();
        node.stop();
        node.advance(elapsed_ms);
        let out = node.send(Event::Reload);
        assert!(
            !contains(&out, &Action::ReadConfiguration)
                && count_messages(&out, &ManagerMessage::Reloading) == 0,
            "a stopping node starts no reload: {out:?}"
        );
    }
}

#[test]
fn a_stop_during_a_reload_takes_precedence() {
    let mut node = TestNode::ready();
    node.send(Event::Reload);
    node.send(Event::Reload);
    assert_eq!(count_messages(&node.stop(), &ManagerMessage::Stopping), 1);
    let out = node.send(Event::Reloaded { applied: true });
    assert!(
        count_messages(&out, &ManagerMessage::Ready) == 0
            && !contains(&out, &Action::ReadConfiguration),
        "a stopping node sends no READY and starts no reload: {out:?}"
    );
    assert_eq!(node.lifecycle.state(), State::Draining);
}

#[test]
fn a_reload_that_hangs_times_out() {
    let mut node = TestNode::ready();
    node.send(Event::Reload);
    assert_eq!(
        count_messages(&node.advance(9_999), &ManagerMessage::Ready),
        0
    );
    assert_eq!(count_messages(&node.advance(1), &ManagerMessage::Ready), 1);
    assert_eq!(node.lifecycle.state(), State::Ready);
}
