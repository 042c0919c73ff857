//! Requests whose time is over, and the timers that a node sets.

mod common;

use common::settings::{settings, IDEMPOTENT, KEYED_IN_DOMAIN, NON_IDEMPOTENT, UNLIMITED};
use common::test_node::TestNode;
use saffronpaddle_policy::interface::*;

/// No server is there. A client that learns of that only at its deadline cannot try elsewhere: it is rejected by half of its
/// time, with the time after which to retry.
#[test]
fn request_not_sent_by_half_of_its_time_is_rejected() {
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
        assert!(node.actions.iter().any(rejected), "{class:?}");
    }
}

/// A node had no CPU for a while, and responses lie there unread. Its timer comes late and sees old attempts. It must read
/// what has come before it takes a server for silent.
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
    assert!(!cancels(&late));
    assert!(cancels(&node.advance(50 * MILLISECOND)), "still silent");
}

/// A time that nothing moves on stays due, so that an idle node wakes at every timer sweep, a hundred times a second. It
/// must wake a few times a second.
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
        assert!(timers <= 4 * 8, "{node_count} nodes: {timers} in 4 s");
    }
}
