//! Lame-duck mode.

use crate::support::*;
use saffronpaddle_lifecycle::*;

#[test]
fn a_lame_duck_is_not_ready_closes_idle_connections_after_its_linger_and_rejoins() {
    let mut node = TestNode::ready();
    let out = node.send(Event::Lameduck);
    assert!(
        !node.lifecycle.ready()
            && contains(&out, &Action::CloseAfterResponses)
            && !contains(&out, &Action::CloseIdle)
    );
    // Requests that arrive before the front end has noticed find their connection open.
    assert!(!contains(&node.advance(499), &Action::CloseIdle));
    assert!(contains(&node.advance(1), &Action::CloseIdle));
    assert!(
        !contains(&node.advance(60_000), &Action::CloseIdle),
        "idle connections are closed only once"
    );
    // A second command changes nothing, and the node does not rejoin by itself.
    assert!(node.send(Event::Lameduck).is_empty() && !node.lifecycle.ready());
    assert!(contains(&node.send(Event::Rejoin), &Action::KeepOpen) && node.lifecycle.ready());
    assert!(node.send(Event::Rejoin).is_empty());
}

#[test]
fn a_lame_duck_that_rejoins_within_its_linger_closes_nothing() {
    let mut node = TestNode::ready();
    node.send(Event::Lameduck);
    node.advance(300);
    node.send(Event::Rejoin);
    assert!(!contains(&node.advance(10_000), &Action::CloseIdle) && node.lifecycle.ready());
}

#[test]
fn a_lame_duck_starts_reloads_and_stops_like_any_other_node() {
    let mut node = TestNode::ready();
    node.send(Event::Lameduck);
    assert!(contains(
        &node.send(Event::Reload),
        &Action::ReadConfiguration
    ));
    node.send(Event::Reloaded { applied: true });
    assert!(!node.lifecycle.ready());
    assert_eq!(count_messages(&node.stop(), &ManagerMessage::Stopping), 1);
    // A shutdown cannot be revoked, and its own limits apply.
    assert!(!contains(&node.send(Event::Rejoin), &Action::KeepOpen));
    assert!(
        !contains(&node.advance(500), &Action::StopAccepting)
            && contains(&node.advance(100), &Action::StopAccepting)
    );
    // A command that arrives before the node is ready takes effect.
    let mut node = TestNode::new();
    node.send(Event::Lameduck);
    node.send(Event::Listening);
    node.send(Event::Observed(healthy()));
    assert!(!node.lifecycle.ready());
    node.send(Event::Rejoin);
    assert!(node.lifecycle.ready());
}
