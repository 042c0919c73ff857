//! Long endpoint lists: the work per list update, timer and request does not grow with the list, and the rules also
//! hold for a node that sends to a subset of the servers.

mod common;

use common::settings::{endpoint, settings, IDEMPOTENT, KEYED_EVERYWHERE, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};
use std::collections::{BTreeMap, BTreeSet};

/// Number of servers on a long list.
const LONG_LIST: u64 = 40_000;
/// Bound on the servers that a node of a large fleet examines for one request or timer, up to a small factor and
/// independent of the length of the list. It is the longest list of which a node uses every server.
const EXAMINED_BOUND: u64 = 512;
/// Fleet sizes, in nodes.
const NODE_COUNTS: [u32; 5] = [1, 3, 30, 300, 2_700];

/// A server whose id is distributed like a hash of its name.
fn hashed_endpoint(number: u64) -> Endpoint {
    let server = ServerId((number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    Endpoint {
        server,
        // Long before the tests start, so that the server is warm.
        started_at: Some(SECOND),
        ..endpoint(number)
    }
}

/// A node of a fleet with `servers` ready servers on its endpoint list.
fn node_with_list(node_count: u32, servers: u64) -> TestNode {
    let mut node = TestNode::new(7, settings(3 % node_count, node_count), 1_000 * SECOND);
    node.update_endpoints(
        EndpointUpdate::Snapshot,
        (0..servers).map(hashed_endpoint).collect(),
    );
    node
}

fn with_status(status: EndpointStatus, number: u64) -> Endpoint {
    Endpoint {
        status,
        ..hashed_endpoint(number)
    }
}

/// Returns the number of servers that the engine examines during `work`.
fn examined_during(node: &mut TestNode, work: impl FnOnce(&mut TestNode)) -> u64 {
    let before = node.engine.servers_examined();
    work(node);
    node.engine.servers_examined() - before
}

/// Fires the timer after a controller period.
fn fire_timer(node: &mut TestNode) {
    node.now += 500 * MILLISECOND;
    node.handle(Event::TimerFired { token: 0 });
}

/// Sends requests of customers without a quota whose subset is only this node, so that no grant requests are sent.
fn send_requests(node: &mut TestNode, count: u64) -> Vec<RequestId> {
    (0..count)
        .map(|number| node.request_of_own_customer(IDEMPOTENT, UNLIMITED, number % 50, 3 * SECOND))
        .collect()
}

#[test]
fn list_update_examines_only_the_servers_that_it_contains() {
    for node_count in NODE_COUNTS {
        let mut node = node_with_list(node_count, LONG_LIST);
        for number in 0..20 {
            let examined = examined_during(&mut node, |node| {
                node.update_endpoints(
                    EndpointUpdate::Delta,
                    vec![with_status(EndpointStatus::Draining, number)],
                );
            });
            assert!(
                examined <= 4,
                "{node_count} nodes: a change examined {examined} servers"
            );
        }
        let removed_zone = (100..4_500)
            .map(|number| with_status(EndpointStatus::Removed, number))
            .collect();
        let examined = examined_during(&mut node, |node| {
            node.update_endpoints(EndpointUpdate::Delta, removed_zone);
        });
        assert!(
            examined <= 2 * 4_400,
            "{node_count} nodes: the removal of 4,400 servers examined {examined}"
        );
    }
}

#[test]
fn idle_timer_examines_few_servers_of_a_long_list() {
    for node_count in NODE_COUNTS {
        let mut node = node_with_list(node_count, LONG_LIST);
        (0..3).for_each(|_| fire_timer(&mut node));
        let examined = examined_during(&mut node, fire_timer);
        assert!(
            examined <= 2 * EXAMINED_BOUND,
            "{node_count} nodes: a timer examined {examined} servers"
        );
    }
}

#[test]
fn request_examines_few_servers_of_a_long_list() {
    for node_count in NODE_COUNTS {
        let mut node = node_with_list(node_count, LONG_LIST);
        for round in 0..30 {
            let examined = examined_during(&mut node, |node| {
                send_requests(node, 1);
            });
            assert!(
                examined <= 3 * EXAMINED_BOUND,
                "{node_count} nodes: request {round} examined {examined} servers"
            );
            node.now += 50 * MILLISECOND;
            let examined = examined_during(&mut node, |node| {
                node.answer_all();
            });
            assert!(
                examined <= EXAMINED_BOUND,
                "{node_count} nodes: a response examined {examined} servers"
            );
        }
        assert!(count_sends(&node.actions) > 0);
    }
}

#[test]
fn servers_examined_per_request_do_not_grow_with_the_length_of_the_list() {
    let examined_with = |servers| {
        let mut node = node_with_list(2_700, servers);
        let before = node.engine.servers_examined();
        for _ in 0..50 {
            send_requests(&mut node, 1);
            node.now += 50 * MILLISECOND;
            node.answer_all();
        }
        node.engine.servers_examined() - before
    };
    let (long, short) = (examined_with(40_000), examined_with(2_000));
    assert!(
        long <= 2 * short,
        "{long} servers examined with a list of 40,000, {short} with one of 2,000"
    );
}

#[test]
fn nothing_is_sent_to_a_draining_server_of_a_long_list() {
    for node_count in [1, 3, 300] {
        // TestNode fails the test if an attempt is sent to a server that is not ready, inside or outside its subset.
        let mut node = node_with_list(node_count, 2_000);
        let mut reached = BTreeSet::new();
        for round in 0..40_u64 {
            send_requests(&mut node, 5);
            reached.extend(node.in_flight.iter().map(|attempt| attempt.server));
            let mut draining: Vec<Endpoint> = (round * 40..(round + 1) * 40)
                .map(|number| with_status(EndpointStatus::Draining, number))
                .collect();
            let selected = node
                .in_flight
                .iter()
                .map(|attempt| node.endpoints[&attempt.server])
                .collect::<Vec<_>>();
            draining.extend(selected.into_iter().map(|endpoint| Endpoint {
                status: EndpointStatus::Draining,
                ..endpoint
            }));
            node.update_endpoints(EndpointUpdate::Delta, draining);
            node.now += 50 * MILLISECOND;
            node.answer_all();
            node.advance(20 * MILLISECOND);
        }
        assert!(
            reached.len() > 60,
            "{node_count} nodes: attempts were sent to {} servers only",
            reached.len()
        );
    }
}

/// A zone with a third of the servers fails at once, and with it a third of the node's subset. Requests must not wait
/// until the subset is filled again.
#[test]
fn servers_of_a_failed_zone_are_replaced_at_once() {
    let mut node = node_with_list(300, 6_000);
    let removed = (0..6_000)
        .filter(|number| number % 3 == 0)
        .map(|number| with_status(EndpointStatus::Removed, number))
        .collect();
    node.update_endpoints(EndpointUpdate::Delta, removed);
    for _ in 0..100 {
        let ids = send_requests(&mut node, 4);
        assert!(
            ids.iter().all(|id| node.is_in_flight(id)),
            "a request was not sent at once"
        );
        node.now += 20 * MILLISECOND;
        node.answer_all();
    }
    fire_timer(&mut node);
    let members = node.engine.snapshot().size().servers;
    assert!(
        members >= 256 * 3 / 4,
        "only {members} servers are in the subset"
    );
}

#[test]
fn requests_of_a_single_node_spread_over_all_servers() {
    let mut node = node_with_list(1, 2_000);
    let mut load: BTreeMap<ServerId, u32> = BTreeMap::new();
    for round in 0..5_050 {
        send_requests(&mut node, 4);
        // Until its first controller periods a node prefers the servers that were fast first.
        let counts = u32::from(round >= 50);
        node.in_flight
            .iter()
            .for_each(|attempt| *load.entry(attempt.server).or_default() += counts);
        node.advance(20 * MILLISECOND);
        node.answer_all();
    }
    // 10 attempts per server on average. By chance alone the most loaded server would have 23; servers that looked fast
    // at first have some more.
    assert!(
        load.len() > 1_950,
        "only {} of 2,000 servers were sent an attempt",
        load.len()
    );
    let busy = load.values().filter(|load| **load > 23).count();
    assert!(busy <= 20, "{busy} servers were sent more than 23 attempts");
    assert!(
        load.values().all(|load| *load <= 50),
        "the most loaded server was sent {:?} attempts",
        load.values().max()
    );
}

/// Nearly all servers are removed, and one of them returns. It must receive requests again, but few while it is in slow
/// start.
#[test]
fn returning_server_is_sent_few_requests_in_slow_start() {
    let mut node = node_with_list(3, 1_000);
    fire_timer(&mut node);
    let removed: Vec<u64> = (0..1_000).filter(|number| number % 100 != 0).collect();
    node.update_endpoints(
        EndpointUpdate::Delta,
        removed
            .iter()
            .map(|number| with_status(EndpointStatus::Removed, *number))
            .collect(),
    );
    fire_timer(&mut node);
    let returning = Endpoint {
        started_at: Some(node.now),
        ..hashed_endpoint(1)
    };
    node.update_endpoints(EndpointUpdate::Delta, vec![returning]);
    let mut sent = 0;
    for _ in 0..200 {
        send_requests(&mut node, 3);
        sent += node
            .in_flight
            .iter()
            .filter(|attempt| attempt.server == returning.server)
            .count();
        node.now += 50 * MILLISECOND;
        node.answer_all();
        node.advance(2 * MILLISECOND);
    }
    assert!(
        (1..200).contains(&sent),
        "{sent} of 600 requests went to the returning server, one of eleven"
    );
}

/// All servers but one are removed. Every node must send to it, even if it was not in the node's subset.
#[test]
fn last_server_of_a_long_list_is_sent_to_by_every_node() {
    for index in [0, 7, 299] {
        let mut node = TestNode::new(1, settings(index, 300), 1_000 * SECOND);
        node.update_endpoints(
            EndpointUpdate::Snapshot,
            (0..3_000).map(hashed_endpoint).collect(),
        );
        node.update_endpoints(EndpointUpdate::Snapshot, vec![hashed_endpoint(17)]);
        send_requests(&mut node, 1);
        assert_eq!(
            node.in_flight.len(),
            1,
            "node {index} does not send to the remaining server"
        );
    }
}

#[test]
fn keyed_request_is_retried_on_a_long_list() {
    let mut node = node_with_list(1, 2_000);
    let id = node.request_of_own_customer(KEYED_EVERYWHERE, UNLIMITED, 1, 3 * SECOND);
    node.now += 20 * MILLISECOND;
    node.end_attempt(&id, Outcome::Error);
    assert!(node.is_in_flight(&id), "the request must be retried");
}

/// Returns the fields of a state by name, so that a failed comparison names the field.
fn fields(state: &StateSnapshot) -> BTreeMap<String, serde_json::Value> {
    serde_json::from_value(serde_json::to_value(state).expect("the state can be serialized"))
        .expect("the state is a JSON object")
}

#[test]
fn restored_state_of_a_long_list_is_that_of_the_previous_process() {
    let mut node = node_with_list(300, 6_000);
    send_requests(&mut node, 3);
    node.now += 20 * MILLISECOND;
    node.answer_all();
    let state = node.engine.snapshot();
    assert!(
        state.size().servers <= 512,
        "{} of 6,000 servers are in the snapshot",
        state.size().servers
    );
    let json = serde_json::to_string(&state).expect("the state can be serialized");
    let read: StateSnapshot =
        serde_json::from_str(&json).expect("the state can be read from its own JSON");
    assert_eq!(fields(&state), fields(&read), "a field is lost in the JSON");
    assert_eq!(state, read, "a part of the state is lost in the JSON");
    let mut child =
        PolicyEngine::new(9, settings(3, 300), node.now).expect("the settings are valid");
    child.restore(read, 1);
    let endpoints = (0..6_000).map(hashed_endpoint).collect();
    child.handle(
        node.now,
        Event::EndpointsChanged {
            update: EndpointUpdate::Snapshot,
            endpoints,
        },
        &mut Vec::new(),
    );
    assert_eq!(child.endpoint_counts(), (6_000, 0));
    // The latency samples since the last controller period are not restored.
    let (mut expected, restored) = (fields(&state), fields(&child.snapshot()));
    let seen = expected
        .get_mut("fuzzy")
        .and_then(|fuzzy| fuzzy.get_mut("seen"))
        .expect("the state contains the latency samples");
    *seen = serde_json::json!(vec![(0.0, 0.0); node.settings.classes.len()]);
    assert!(expected.keys().eq(restored.keys()));
    for (name, value) in &expected {
        assert_eq!(
            Some(value),
            restored.get(name),
            "field {name} is not restored"
        );
    }
}
