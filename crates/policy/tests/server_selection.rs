//! Selection of the server for an attempt.

mod common;

use common::settings::{endpoint, settings, IDEMPOTENT, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn nothing_is_sent_to_a_draining_or_removed_server() {
    let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 2);
    node.update_endpoints(
        EndpointUpdate::Delta,
        vec![Endpoint {
            status: EndpointStatus::Draining,
            ..endpoint(0)
        }],
    );
    for _ in 0..3 {
        node.request(IDEMPOTENT, UNLIMITED, 7, SECOND);
    }
    assert!(node.in_flight.iter().all(|attempt| attempt.server.0 == 1));
    node.update_endpoints(EndpointUpdate::Snapshot, Vec::new());
    let before = node.actions.len();
    node.request(IDEMPOTENT, UNLIMITED, 8, SECOND);
    assert_eq!(count_sends(&node.actions[before..]), 0);
}

/// All servers are slow. If each of many nodes had one attempt in flight at every server, all servers would be
/// overloaded.
#[test]
fn many_nodes_have_few_attempts_in_flight_at_slow_servers() {
    let in_flight = |node_count: u32| {
        let mut node = TestNode::with_servers(3, settings(0, node_count), SECOND, 12);
        for _ in 0..40 {
            for customer in 0..8 {
                node.request(IDEMPOTENT, UNLIMITED, customer, 3 * SECOND);
            }
            node.advance(700 * MILLISECOND);
            for attempt in node.in_flight.clone() {
                node.answer_if_in_flight(&attempt.id);
            }
        }
        for customer in 0..40 {
            node.request(IDEMPOTENT, UNLIMITED, customer, 3 * SECOND);
        }
        node.in_flight.len()
    };
    let (few, many) = (in_flight(2), in_flight(12));
    assert!(
        (8..=12).contains(&few),
        "{few} attempts in flight, with two nodes and twelve servers"
    );
    assert!(
        (1..=6).contains(&many),
        "{many} attempts in flight, with twelve nodes and twelve servers"
    );
}

/// Sends one request of a customer whose subset is only this node, and ends its attempts with `outcome`. Returns the
/// server of the first attempt.
fn first_server(
    node: &mut TestNode,
    customer: u64,
    outcome: impl Fn(ServerId) -> Outcome,
) -> Option<ServerId> {
    let id = node.request_of_own_customer(IDEMPOTENT, UNLIMITED, customer, 2 * SECOND);
    let mut first = None;
    node.advance(50 * MILLISECOND);
    while let Some(server) = node.server_of(&id) {
        first.get_or_insert(server);
        node.end_attempt(&id, outcome(server));
        node.advance(50 * MILLISECOND);
    }
    first
}

/// Hundreds of nodes send a few requests per second each. If servers were selected at random, each connection would be
/// closed as idle before its next request, and 180 and more of 240 requests would need a handshake.
#[test]
fn node_of_a_large_fleet_prefers_servers_with_an_open_connection() {
    let mut node = TestNode::with_servers(3, settings(0, 300), SECOND, 100);
    let mut last_used_at = BTreeMap::new();
    let mut handshakes = 0;
    for customer in 0..240 {
        let server =
            first_server(&mut node, customer, |_| Outcome::Ok).expect("the request is forwarded");
        let connected = last_used_at
            .insert(server, node.now)
            .is_some_and(|at| node.now - at < 9 * SECOND);
        handshakes += u32::from(!connected);
    }
    assert!(handshakes <= 80, "{handshakes} handshakes in 240 requests");
}

/// The servers that a node has connections to begin to fail. The preference for open connections must not keep requests
/// at these servers.
#[test]
fn failing_servers_with_an_open_connection_lose_their_requests() {
    let mut node = TestNode::with_servers(3, settings(0, 300), SECOND, 100);
    let connected: BTreeSet<_> = (0..100)
        .filter_map(|customer| first_server(&mut node, customer, |_| Outcome::Ok))
        .collect();
    assert!(
        connected.len() < 60,
        "100 requests used {} servers",
        connected.len()
    );
    let outcome = |server| {
        if connected.contains(&server) {
            Outcome::Error
        } else {
            Outcome::Ok
        }
    };
    let selected: Vec<_> = (100..300)
        .filter_map(|customer| first_server(&mut node, customer, outcome))
        .collect();
    let late = &selected[selected.len() / 2..];
    let failing = late
        .iter()
        .filter(|server| connected.contains(server))
        .count();
    assert!(
        late.len() > 50 && failing * 4 < late.len(),
        "{failing} of {} late requests were sent to failing servers",
        late.len()
    );
}

/// Each node keeps to a few servers. If all nodes preferred the same servers, these would be overloaded. Each node
/// chooses its own at random, so that the nodes together load all servers evenly.
#[test]
fn nodes_that_prefer_few_servers_load_all_servers_evenly_together() {
    let mut load: BTreeMap<ServerId, u32> = BTreeMap::new();
    for index in 0..60 {
        let mut node =
            TestNode::with_servers(u64::from(index) + 1, settings(index, 300), SECOND, 40);
        for customer in 0..100 {
            let server = first_server(&mut node, customer, |_| Outcome::Ok)
                .expect("the request is forwarded");
            *load.entry(server).or_default() += 1;
        }
    }
    let (most, least) = (load.values().max().copied(), load.values().min().copied());
    assert!(
        load.len() == 40 && most < Some(270) && least > Some(70),
        "{} servers were sent {least:?} to {most:?} requests each, 150 on average",
        load.len()
    );
}
