//! What a node keeps of an overload once its endpoint list has grown, or once the overload is over.

mod common;

use common::settings::{endpoint, settings, NON_IDEMPOTENT, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// The class with the lowest priority, whose attempts in flight are limited.
const LOWEST: ClassId = ClassId(0);
/// Servers of the whole list.
const SERVERS: u64 = 40;
/// Requests of the lowest class that arrive at once: one for each server, more than the limit that an overload leaves.
const BURST: usize = SERVERS as usize;

/// Creates a node whose servers have hung until requests missed their objective, so that a limit was created.
fn overloaded_node(servers: u64) -> TestNode {
    let mut node = TestNode::with_servers(1, settings(0, 1), 1_700_000_000 * SECOND, servers);
    for _ in 0..20 {
        node.request(NON_IDEMPOTENT, UNLIMITED, 7, 5 * SECOND);
    }
    for _ in 0..16 {
        node.advance(150 * MILLISECOND);
    }
    assert!(node.has_started_limit(), "the overload creates a limit");
    node.answer_all();
    node
}

/// Sends a burst of requests of the lowest class and returns how many are sent on within 100 ms.
fn sent_of_burst(node: &mut TestNode) -> usize {
    let before = count_sends(&node.actions);
    for _ in 0..BURST {
        node.request(LOWEST, UNLIMITED, 8, 5 * SECOND);
    }
    node.advance(100 * MILLISECOND);
    count_sends(&node.actions) - before
}

/// Guards against a limit of the time with one server that still holds requests back when forty are listed.
#[test]
fn a_limit_grows_with_the_endpoint_list() {
    let mut node = overloaded_node(1);
    assert!(sent_of_burst(&mut node) < BURST, "the limit has an effect");
    node.answer_all();
    let mut node = overloaded_node(1);
    node.update_endpoints(
        EndpointUpdate::Snapshot,
        (0..SERVERS).map(endpoint).collect(),
    );
    assert_eq!(sent_of_burst(&mut node), BURST);
}

/// Guards against a limit that, once created, restrains bursts for the rest of the process's life.
#[test]
fn a_limit_ends_after_periods_in_which_the_servers_have_room() {
    let mut node = overloaded_node(SERVERS);
    assert!(sent_of_burst(&mut node) < BURST, "the limit has an effect");
    node.answer_all();
    for _ in 0..600 {
        node.request(NON_IDEMPOTENT, UNLIMITED, 7, 5 * SECOND);
        node.request(LOWEST, UNLIMITED, 8, 5 * SECOND);
        node.advance(20 * MILLISECOND);
        node.answer_all();
    }
    assert_eq!(sent_of_burst(&mut node), BURST);
}

/// Interval of the requests in [`limit_starts`]: a request of the highest and one of the lowest class, 100 a second each.
const REQUEST_INTERVAL: Micros = 10 * MILLISECOND;
/// Time that servers take in [`limit_starts`], by which each request misses its objective of 800 ms.
const SLOW_ANSWER: Micros = 1_200 * MILLISECOND;
/// Time within which an overload has to start a limit.
const OVERLOAD: Micros = 12 * SECOND;

/// Lets the last servers of the list alternate between ready and draining.
fn flap(node: &mut TestNode, servers: std::ops::Range<u64>, status: EndpointStatus) {
    let changed = servers.map(|server| Endpoint {
        status,
        ..endpoint(server)
    });
    node.update_endpoints(EndpointUpdate::Delta, changed.collect());
}

/// Overloads the servers of a list of which all but `kept` alternate between ready and draining after each `interval`.
/// Returns whether the limit on the lowest class starts.
fn limit_starts(servers: u64, kept: u64, interval: Micros) -> bool {
    let mut node = TestNode::with_servers(1, settings(0, 1), 1_700_000_000 * SECOND, servers);
    let started_at = node.now;
    let mut sent: Vec<(Micros, RequestId)> = Vec::new();
    let (mut next_change, mut status) = (started_at + interval, EndpointStatus::Ready);
    while node.now < started_at + OVERLOAD {
        if node.now >= next_change {
            next_change += interval;
            status = match status {
                EndpointStatus::Ready => EndpointStatus::Draining,
                _ => EndpointStatus::Ready,
            };
            flap(&mut node, kept..servers, status);
        }
        for class in [NON_IDEMPOTENT, LOWEST] {
            let id = node.request(class, UNLIMITED, 7, 5 * SECOND);
            sent.push((node.now, id));
        }
        node.advance(REQUEST_INTERVAL);
        let now = node.now;
        let is_due = |at: Micros| at + SLOW_ANSWER <= now;
        for (_, id) in sent.iter().filter(|(at, _)| is_due(*at)) {
            node.answer_if_in_flight(id);
        }
        sent.retain(|(at, _)| !is_due(*at));
    }
    node.has_started_limit()
}

/// Guards against a list that changes often and so discards each latency before it counts: overloaded servers are then
/// never protected from requests of the lowest class.
#[test]
fn a_limit_starts_although_a_part_of_the_servers_flaps() {
    for (servers, kept) in [(SERVERS, SERVERS / 2), (4, 2), (2, 1)] {
        for interval_ms in [100, 300, 600, 1_000, 2_000, 6_000, 60_000] {
            assert!(
                limit_starts(servers, kept, interval_ms * MILLISECOND),
                "no limit where {kept} to {servers} servers are listed and change each {interval_ms} ms"
            );
        }
    }
}

/// Guards against a limit that each return of a server widens, although it was not narrowed when the server left.
#[test]
fn servers_that_leave_and_return_do_not_change_a_limit() {
    let mut steady = overloaded_node(SERVERS);
    let mut flapping = overloaded_node(SERVERS);
    for _ in 0..10 {
        let tenth = SERVERS - SERVERS / 10..SERVERS;
        flap(&mut flapping, tenth.clone(), EndpointStatus::Draining);
        flap(&mut flapping, tenth, EndpointStatus::Ready);
    }
    assert_eq!(sent_of_burst(&mut flapping), sent_of_burst(&mut steady));
}

/// Guards against a list that is empty for a moment, which nodes distrust, and that leaves a limit widened or narrowed.
#[test]
fn a_list_that_is_empty_for_a_moment_does_not_change_a_limit() {
    let mut steady = overloaded_node(SERVERS);
    let mut emptied = overloaded_node(SERVERS);
    for _ in 0..3 {
        flap(&mut emptied, 0..SERVERS, EndpointStatus::Draining);
        flap(&mut emptied, 0..SERVERS, EndpointStatus::Ready);
    }
    assert_eq!(sent_of_burst(&mut emptied), sent_of_burst(&mut steady));
}
