//! Overdue requests, and the timers that a node sets.

mod common;

use common::settings::{settings, IDEMPOTENT, KEYED_IN_DOMAIN, NON_IDEMPOTENT, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;

/// There is no server. A client that is rejected only at its deadline has no time left to try another node, so it is
/// rejected within half of its time, with `retry_after`.
#[test]
fn request_not_sent_within_half_of_its_timeout_is_rejected() {
    let mut node = TestNode::new(1, settings(0, 2), SECOND);
    for (class, timeout) in [
        (IDEMPOTENT, 2 * SECOND),
        (NON_IDEMPOTENT, SECOND),
        (KEYED_IN_DOMAIN, 600 * MILLISECOND),
    ] {
        let id = node.request(class, UNLIMITED, 7, timeout);
        node.advance(timeout / 2);
        let rejected = |action: &Action| match action {
            Action::Reject {
                id: other,
                retry_after,
            } => *other == id && retry_after.is_some(),
            _ => false,
        };
        assert!(
            node.actions.iter().any(rejected),
            "{class:?}: not rejected within half of {timeout} µs"
        );
    }
}

/// A node gets no CPU time for a while and has unread responses. Its timer fires late and finds old attempts. It must
/// read the responses before it treats a server as silent.
#[test]
fn late_timer_does_not_cancel_attempts_before_responses_are_read() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    node.request(IDEMPOTENT, UNLIMITED, 7, 9 * SECOND);
    assert_eq!(node.in_flight.len(), 1);
    let cancels = |actions: &[Action]| {
        actions
            .iter()
            .any(|action| matches!(action, Action::Cancel { .. }))
    };
    node.now += 1500 * MILLISECOND;
    let late = node.handle(Event::TimerFired { token: 0 });
    assert!(!cancels(&late), "the late timer must not cancel an attempt");
    assert!(
        cancels(&node.advance(50 * MILLISECOND)),
        "without a response by the next timer the attempt must be cancelled"
    );
}

/// If a scheduled time is not moved on after it has passed, an idle node wakes at every timer interval, a hundred times
/// per second. It must wake only a few times per second.
#[test]
fn idle_node_sets_few_timers() {
    for node_count in [1, 3, 300] {
        let mut node = TestNode::with_servers(3, settings(0, node_count), 100 * SECOND, 4);
        node.advance(2 * SECOND);
        let before = node.actions.len();
        node.advance(4 * SECOND);
        let timers = node.actions[before..]
            .iter()
            .filter(|action| matches!(action, Action::SetTimer { .. }))
            .count();
        assert!(
            timers <= 4 * 8,
            "{node_count} nodes: {timers} timers in 4 s"
        );
    }
}
