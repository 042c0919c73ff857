//! Servers in slow start are sent attempts within their capacity, by one node and by all nodes together.

mod common;

use common::fleet::Fleet;
use common::settings::{endpoint, settings, IDEMPOTENT, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::PolicyEngine;
use std::collections::BTreeMap;

/// Id of the server that has just started in a fleet of warm ones.
const STARTING: u64 = 99;

/// A server that started at `now`.
fn starting_at(now: Micros, server: u64) -> Endpoint {
    Endpoint {
        started_at: Some(now),
        ..endpoint(server)
    }
}

/// The only server has just started. It has a fifth of the capacity of a warm one, and fails at three times that. It
/// must be sent some attempts, but fewer than make it fail.
#[test]
fn starting_server_is_sent_less_than_overloads_it() {
    let mut node = TestNode::with_servers(3, settings(0, 1), 100 * SECOND, 1);
    for _ in 0..400 {
        let id = node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
        node.advance(20 * MILLISECOND);
        node.answer_if_in_flight(&id);
    }
    let starting = starting_at(node.now, 9);
    node.update_endpoints(EndpointUpdate::Snapshot, vec![starting]);
    let mut sent = 0;
    for _ in 0..50 {
        let before = count_sends(&node.actions);
        node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
        node.advance(20 * MILLISECOND);
        sent += count_sends(&node.actions) - before;
        node.answer_all();
    }
    // A warm server answered some 45 per second. This one can answer a fifth of that, and fails at three times its
    // capacity.
    assert!((1..=27).contains(&sent), "{sent} attempts in 1 s");
}

/// A server has just started, and each of 300 nodes has requests for it. One attempt from each node would overload it.
#[test]
fn hundreds_of_nodes_together_do_not_overload_a_starting_server() {
    let mut by_second = [0; 5];
    for index in 0..300 {
        let mut engine = PolicyEngine::new(u64::from(index), settings(index, 300), SECOND)
            .expect("the settings are valid");
        let mut actions = Vec::new();
        engine.handle(
            SECOND,
            Event::EndpointsChanged {
                update: EndpointUpdate::Snapshot,
                endpoints: vec![starting_at(SECOND, 0)],
            },
            &mut actions,
        );
        for step in 0..500u64 {
            let now = SECOND + step * 10 * MILLISECOND;
            engine.handle(now, Event::TimerFired { token: 0 }, &mut actions);
            if step % 25 == 0 {
                // A customer whose only node is this one.
                let event = Event::RequestArrived {
                    id: RequestId(format!("c{step}").into()),
                    class: IDEMPOTENT,
                    plan: PlanId(UNLIMITED),
                    customer: CustomerId(9),
                    units: 1.0,
                    subset_first: NodeId(index),
                    subset_size: 1,
                    timeout: SECOND,
                    complete: true,
                };
                engine.handle(now, event, &mut actions);
            }
            by_second[(step / 100) as usize] += count_sends(&actions);
            actions.clear();
        }
    }
    // No warm server shows its throughput, and the server has a fifth to half of its capacity. So all nodes together
    // send that share of 1.5 per second, and some more by chance.
    assert!(
        by_second.iter().all(|sent| *sent <= 5),
        "attempts in each second: {by_second:?}"
    );
    assert!(
        by_second.iter().sum::<usize>() >= 1,
        "the starting server is sent no attempt"
    );
}

/// Numbers of requests that were forwarded in one round, by kind of server.
struct RoundCounts {
    at_warm: usize,
    at_starting: usize,
}

/// Sends a request of a new customer through each node and answers all. Servers with ids below 12 are warm, and
/// [`STARTING`] is starting.
fn one_round(fleet: &mut Fleet, customer: &mut u64) -> RoundCounts {
    for index in 0..fleet.nodes.len() {
        *customer += 1;
        fleet.nodes[index].request(IDEMPOTENT, UNLIMITED, *customer, 2 * SECOND);
        fleet.send_messages(index);
    }
    fleet.advance(80 * MILLISECOND);
    let count = |counts: fn(u64) -> bool| {
        let all = fleet.nodes.iter().flat_map(|node| &node.in_flight);
        all.filter(|attempt| counts(attempt.server.0)).count()
    };
    let counts = RoundCounts {
        at_warm: count(|server| server < 12),
        at_starting: count(|server| server == STARTING),
    };
    fleet.answer_all();
    counts
}

/// A fleet has just started. A mean of its servers' throughput that started at zero would be far too low for a long
/// time, and a server in slow start would be sent only a part of what it can serve.
#[test]
fn new_fleet_estimates_the_throughput_of_its_servers_in_time() {
    let mut fleet = Fleet::new(30, 12, |_| {});
    let mut customer = 1000;
    let (mut warm, mut starting) = (0, 0);
    for round in 0..60 {
        if round == 36 {
            for node in &mut fleet.nodes {
                let started = vec![starting_at(node.now, STARTING)];
                node.update_endpoints(EndpointUpdate::Delta, started);
            }
        }
        let counts = one_round(&mut fleet, &mut customer);
        warm += if round < 36 { counts.at_warm } else { 0 };
        starting += counts.at_starting;
    }
    // One of twelve warm servers answers this many in the 24 rounds in which the starting one has 0.2 to 0.4 of its
    // full capacity. The fleet sends the starting one 1.2 times its capacity.
    let warm_answers = warm as f64 / 36.0 * 24.0 / 12.0;
    let capacity = warm_answers * 0.3;
    assert!(
        warm_answers > 40.0,
        "too few for a meaningful test: {warm_answers} responses"
    );
    assert!(
        (0.8 * capacity..2.0 * capacity).contains(&(starting as f64)),
        "{starting} attempts at the starting server, which has a capacity of {capacity}"
    );
}

/// Most servers are removed. If the recent responses of all servers were divided by the few that are left, each would
/// seem several times as fast, and a starting server would be sent several times its capacity.
#[test]
fn estimated_throughput_per_server_does_not_rise_when_most_servers_are_removed() {
    let mut fleet = Fleet::new(30, 12, |_| {});
    let mut customer = 1000;
    let (mut warm, mut starting) = (0, 0);
    for round in 0..60 {
        if round == 50 {
            for node in &mut fleet.nodes {
                let removed = |server| Endpoint {
                    status: EndpointStatus::Removed,
                    ..endpoint(server)
                };
                let started = starting_at(node.now, STARTING);
                let changes = (4..12).map(removed).chain([started]).collect();
                node.update_endpoints(EndpointUpdate::Delta, changes);
            }
        }
        let counts = one_round(&mut fleet, &mut customer);
        warm += if (20..50).contains(&round) {
            counts.at_warm
        } else {
            0
        };
        starting += counts.at_starting;
    }
    // One of twelve servers answered this many in ten rounds. A starting one has a fifth of that capacity, and is sent
    // 1.2 times its capacity.
    let capacity = warm as f64 / 30.0 * 10.0 / 12.0 * 0.2;
    assert!(
        capacity > 3.0 && starting as f64 <= 2.0 * capacity,
        "{starting} attempts at the starting server, which has a capacity of {capacity}"
    );
}

/// A fleet has only servers that have just started. Without any knowledge of warm servers, credit alone would allow 1.5
/// requests per second, whatever the servers can serve. Quick responses must allow more requests, and late ones must
/// not.
#[test]
fn quick_responses_of_a_starting_server_allow_more_requests_and_late_ones_do_not() {
    let sent = |response_steps: u64| {
        let mut node = TestNode::new(3, settings(0, 1), 100 * SECOND);
        node.update_endpoints(EndpointUpdate::Snapshot, vec![starting_at(node.now, 9)]);
        // Requests that were forwarded at once, with the step in which each is answered.
        let mut answered_in = BTreeMap::new();
        for step in 0..150 {
            let id = node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
            node.advance(20 * MILLISECOND);
            if node.is_in_flight(&id) {
                answered_in.insert(id, step + response_steps);
            }
            for attempt in node.in_flight.clone() {
                let is_due = |answered_in| answered_in <= step;
                if answered_in.get(&attempt.id).copied().is_none_or(is_due) {
                    node.end_attempt(&attempt.id, Outcome::Ok);
                }
            }
        }
        count_sends(&node.actions)
    };
    let (quick, slow) = (sent(10), sent(60));
    assert!(quick > 20, "{quick} attempts in 3 s with quick responses");
    assert!(
        slow < quick / 2,
        "{slow} attempts with late responses, {quick} with quick ones"
    );
}

/// All servers of a fleet in service are replaced at once. A node that lost the known throughput of such servers would
/// send the new ones far too little. A node that attributed all responses to the few warm servers would send them far
/// too much.
#[test]
fn throughput_of_warm_servers_is_remembered_when_all_are_replaced() {
    let forwarded = |node: &mut TestNode, steps: u64| {
        let before = count_sends(&node.actions);
        for _ in 0..steps {
            node.request(IDEMPOTENT, UNLIMITED, 7, 2 * SECOND);
            node.advance(10 * MILLISECOND);
            node.answer_all();
        }
        count_sends(&node.actions) - before
    };
    let mut node = TestNode::with_servers(3, settings(0, 1), 100 * SECOND, 6);
    forwarded(&mut node, 800);
    let replacements = |now: Micros| -> Vec<_> {
        let starting = |server| starting_at(now, server);
        (10..16).map(starting).collect()
    };
    node.update_endpoints(EndpointUpdate::Snapshot, replacements(node.now));
    // Each server answered some 16 per second. The new ones can answer a fifth of that, and may be sent 1.2 times as
    // much.
    let remembered = forwarded(&mut node, 100);
    assert!(
        (12..=40).contains(&remembered),
        "{remembered} attempts at the new servers in the first second"
    );
    // One of seven servers is not new. All responses must not be attributed to it.
    let mut node = TestNode::with_servers(3, settings(0, 1), 100 * SECOND, 6);
    forwarded(&mut node, 800);
    let mut mixed = replacements(node.now);
    mixed.push(endpoint(0));
    node.update_endpoints(EndpointUpdate::Snapshot, mixed);
    let before = node.actions.len();
    forwarded(&mut node, 100);
    let to_starting =
        |action: &&Action| matches!(action, Action::Send { server, .. } if server.0 >= 10);
    let starting = node.actions[before..].iter().filter(to_starting).count();
    assert!(
        starting <= 85,
        "{starting} attempts at the starting servers in the first second, more than 2.5 times what one server answered"
    );
}
