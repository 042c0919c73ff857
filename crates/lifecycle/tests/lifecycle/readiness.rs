//! Readiness: when a node becomes ready, stops being ready and recovers.

use crate::support::*;
use saffronpaddle_lifecycle::*;

#[test]
fn ready_is_sent_once_when_the_node_listens_and_all_conditions_hold() {
    let mut node = TestNode::new();
    assert_eq!(
        count_messages(
            &node.send(Event::Observed(healthy())),
            &ManagerMessage::Ready
        ),
        0,
        "the node does not listen yet"
    );
    assert_eq!(
        count_messages(&node.send(Event::Listening), &ManagerMessage::Ready),
        1
    );
    assert!(node.lifecycle.ready());
    let out = node.observe_for(&healthy(), 5_000);
    assert_eq!(count_messages(&out, &ManagerMessage::Ready), 0);
}

#[test]
fn a_start_without_discovery_and_peers_waits_then_serves_from_the_configured_list() {
    let silent = HealthSample {
        endpoint_list_age: None,
        reachable_peers: 0,
        ..healthy()
    };
    let mut node = TestNode::new();
    node.send(Event::Listening);
    node.observe_for(&silent, 1_900);
    assert!(
        node.lifecycle.reasons().contains(Reason::NoList)
            && node.lifecycle.reasons().contains(Reason::PeersUnreachable)
    );
    node.observe_for(&silent, 200);
    assert!(
        !node.lifecycle.reasons().contains(Reason::PeersUnreachable),
        "silent peers count as down"
    );
    assert!(!node.lifecycle.ready());
    let out = node.observe_for(&silent, 3_000);
    assert!(
        node.lifecycle.ready() && count_messages(&out, &ManagerMessage::Ready) == 1,
        "{}",
        node.lifecycle.status()
    );
}

#[test]
fn without_any_list_a_node_is_never_ready() {
    let nothing = HealthSample {
        servers: 0,
        endpoint_list_age: None,
        ..healthy()
    };
    let mut node = TestNode::new();
    node.send(Event::Listening);
    node.observe_for(&nothing, 60_000);
    assert_eq!(node.lifecycle.status(), "starting: waits for no-list");
    node.observe_for(&healthy(), 100);
    assert!(node.lifecycle.ready());
}

#[test]
fn a_condition_must_fail_or_hold_for_its_delay_before_readiness_changes() {
    let cases = [
        (
            HealthSample {
                endpoint_list_age: Some(ms(10_001)),
                ..healthy()
            },
            "list-stale",
        ),
        (
            HealthSample {
                free_descriptors: 15,
                ..healthy()
            },
            "descriptors",
        ),
        (
            HealthSample {
                memory: 91,
                ..healthy()
            },
            "memory",
        ),
        (
            HealthSample {
                clock_moved: ms(2_001),
                ..healthy()
            },
            "clock",
        ),
        (
            HealthSample {
                clock_implausible: true,
                ..healthy()
            },
            "clock",
        ),
        (
            HealthSample {
                event_loop_lag: ms(1_001),
                ..healthy()
            },
            "lagging",
        ),
    ];
    for (bad, name) in cases {
        let mut node = TestNode::ready();
        node.observe_for(&bad, 1_900);
        assert!(
            node.lifecycle.ready(),
            "{name}: still ready before the failure delay"
        );
        let out = node.observe_for(&bad, 300);
        assert!(
            !node.lifecycle.ready() && node.lifecycle.state() == State::Ready,
            "{name}: not ready after the failure delay, in the same state"
        );
        assert_eq!(
            count_messages(&out, &ManagerMessage::Status(format!("not ready: {name}"))),
            1,
            "the status is sent once: {out:?}"
        );
        node.observe_for(&healthy(), 900);
        assert!(
            !node.lifecycle.ready(),
            "{name}: not ready before the recovery delay"
        );
        let out = node.observe_for(&healthy(), 300);
        assert!(
            node.lifecycle.ready(),
            "{name}: ready again after the recovery delay"
        );
        assert_eq!(
            count_messages(&out, &ManagerMessage::Ready),
            0,
            "READY is sent once: {out:?}"
        );
    }
}

#[test]
fn a_condition_that_flaps_faster_than_its_delay_does_not_change_readiness() {
    let mut node = TestNode::ready();
    let bad = HealthSample {
        event_loop_lag: ms(5_000),
        ..healthy()
    };
    for _ in 0..50 {
        let out = [
            node.observe_for(&bad, 1_500),
            node.observe_for(&healthy(), 200),
        ]
        .concat();
        assert!(
            node.lifecycle.ready() && out.is_empty(),
            "no action is expected: {out:?}"
        );
    }
}

#[test]
fn a_condition_that_fails_at_start_up_counts_without_delay() {
    let mut node = TestNode::new();
    node.send(Event::Listening);
    node.send(Event::Observed(HealthSample {
        free_descriptors: 0,
        ..healthy()
    }));
    assert_eq!(node.lifecycle.status(), "starting: waits for descriptors");
}
