//! Grants in large fleets, where the owners of a customer's quota decide on its requests.

mod common;

use common::fleet::Fleet;
use common::settings::{settings, HARD_LIMITED, IDEMPOTENT, METERED};
use common::test_node::{count_peer_messages, TestNode};
use saffronpaddle_policy::interface::*;

#[test]
fn customer_served_by_hundreds_of_nodes_gets_its_quota_and_little_more() {
    let mut fleet = Fleet::new(200, 40, |settings| settings.plans[METERED].rate = 4.0);
    let sent = fleet.send_at_rate(METERED, 20, 10);
    // The burst of 4 and 4 per second over 10 s, of 200 requests.
    assert!(
        (30..=54).contains(&sent),
        "{sent} of 200 requests forwarded"
    );
    let busiest = fleet.messages_received.values().max().copied().unwrap_or(0);
    assert!(busiest <= 600, "{busiest} messages to one node in 10 s");
    assert!(
        fleet.messages_sent <= 1400,
        "{} messages between nodes in 10 s",
        fleet.messages_sent
    );
}

#[test]
fn requests_within_the_quota_of_a_large_subset_are_admitted() {
    let mut fleet = Fleet::new(200, 40, |settings| settings.plans[METERED].rate = 10.0);
    let sent = fleet.send_at_rate(METERED, 5, 10);
    assert!(
        sent >= 45,
        "{sent} of 50 requests within the quota forwarded"
    );
}

/// If a quota of a few units were split evenly over a large subset, each share would be less than a request, and nodes
/// would reject requests while half of the quota is left.
#[test]
fn small_quota_of_a_large_subset_can_be_used_completely() {
    let mut fleet = Fleet::new(100, 40, |settings| {
        (settings.plans[METERED].rate, settings.plans[METERED].burst) = (1.0, 3.0);
    });
    let sent = (0..12)
        .map(|_| fleet.send_burst(METERED, 3, 4))
        .sum::<usize>();
    assert!(
        sent >= 33,
        "{sent} of 36 requests forwarded, each burst within the quota"
    );
}

/// The hard limit is empty at the start of a node. If it were empty at the first request of each customer instead,
/// first requests would be rejected although the limit has room for them.
#[test]
fn first_requests_under_a_hard_limit_are_admitted_once_it_has_filled() {
    let mut fleet = Fleet::new(100, 40, |_| {});
    fleet.advance(2 * SECOND);
    let sent = fleet.send_burst(HARD_LIMITED, 3, 1);
    assert_eq!(sent, 3, "of 3 requests, which are far below the hard limit");
}

/// All nodes restart repeatedly. An owner that started with a full hard limit would grant it again after each restart.
#[test]
fn hard_limit_of_a_large_subset_holds_through_restarts() {
    let mut fleet = Fleet::new(60, 40, |_| {});
    let mut sent = 0;
    for round in 0..8 {
        sent += fleet.send_at_rate(HARD_LIMITED, 50, 1);
        if round % 2 == 1 {
            for index in 0..60 {
                let now = fleet.nodes[index].now;
                let node = TestNode::with_servers(round, settings(index as u32, 60), now, 40);
                fleet.replace_node(index, node);
            }
        }
    }
    // A capacity of 12 and 8 per second over 8 s. An owner starts empty, so a restart grants nothing twice.
    assert!(
        (20..=76).contains(&sent),
        "{sent} of 400 requests forwarded"
    );
}

/// A customer sends more than a hundred times its quota. If an owner were asked for each of the 2000 requests, that
/// would take some 4000 messages.
#[test]
fn customer_far_over_its_quota_does_not_overload_its_owners() {
    let mut fleet = Fleet::new(60, 40, |settings| settings.plans[METERED].rate = 2.0);
    let sent = fleet.send_at_rate(METERED, 250, 8);
    assert!(
        (12..=28).contains(&sent),
        "{sent} requests forwarded in 8 s at 2 per second and a burst of 4"
    );
    assert!(
        fleet.messages_sent < 2400,
        "{} messages for 2000 requests",
        fleet.messages_sent
    );
}

/// A node cannot reach any other. Requests that waited for an owner's grant would all be late, so most must be decided
/// at once, while occasional grant requests detect the end of the fault.
#[test]
fn isolated_node_decides_at_once_and_keeps_probing() {
    let mut node = TestNode::with_servers(3, settings(0, 300), SECOND, 40);
    for number in 0..20u64 {
        node.request(IDEMPOTENT, METERED, number, 2 * SECOND);
        node.advance(50 * MILLISECOND);
        node.answer_all();
    }
    node.actions.clear();
    let mut at_once = 0;
    for number in 100..200u64 {
        let id = node.request(IDEMPOTENT, METERED, number, 2 * SECOND);
        // Load shedding rejects a few at random, which also counts as decided at once.
        let rejected =
            |action: &Action| matches!(action, Action::Reject { id: other, .. } if *other == id);
        let forwarded = node.is_in_flight(&id);
        at_once += u32::from(forwarded || node.actions.iter().any(rejected));
        node.advance(20 * MILLISECOND);
        node.answer_all();
    }
    let grant_requests = count_peer_messages(&node.actions);
    assert!(
        at_once >= 80,
        "only {at_once} of 100 requests decided at once"
    );
    assert!(
        (5..=60).contains(&grant_requests),
        "{grant_requests} grant requests of an isolated node in 2 s"
    );
}

/// One node receives all requests of a customer that is far over its quota. An owner's response states how long no more
/// can be granted, and until then no grant request may be sent. So there is one grant request and one response for each
/// unit of the quota, not for each request.
#[test]
fn rejected_customer_costs_no_messages_until_its_retry_time() {
    let mut fleet = Fleet::new(60, 40, |settings| {
        (settings.plans[METERED].rate, settings.plans[METERED].burst) = (0.5, 2.0);
    });
    for _ in 0..200 {
        fleet.nodes[5].request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        fleet.send_messages(5);
        fleet.advance(30 * MILLISECOND);
        fleet.answer_all();
    }
    assert!(
        fleet.messages_sent <= 60,
        "{} messages for 200 requests in 6 s, of which 5 are within the quota",
        fleet.messages_sent
    );
}

/// The owners of a customer's quota restart and have lost the state of their shards. Requesters send them how full the
/// shards were; otherwise each restart would grant the burst again.
#[test]
fn restarted_owners_do_not_grant_the_burst_again() {
    let change = |settings: &mut Settings| {
        (settings.plans[METERED].rate, settings.plans[METERED].burst) = (1.0, 12.0);
    };
    let mut fleet = Fleet::new(60, 40, change);
    fleet.send_at_rate(METERED, 20, 8);
    // The customer's owners are the nodes that received the most messages.
    let mut by_messages: Vec<(u64, usize)> = fleet
        .messages_received
        .iter()
        .map(|(index, messages)| (*messages, *index))
        .collect();
    by_messages.sort_unstable();
    for (_, index) in by_messages.into_iter().rev().take(2) {
        let mut settings = settings(index as u32, 60);
        change(&mut settings);
        let now = fleet.nodes[index].now;
        let node = TestNode::with_servers(index as u64, settings, now, 40);
        fleet.replace_node(index, node);
    }
    let sent = fleet.send_at_rate(METERED, 20, 4);
    assert!(
        sent <= 12,
        "{sent} in 4 s at 1 per second, after a burst of 12 was used up"
    );
}

/// An owner is overloaded and does not answer. If the grant requests for all fifty requests of a customer were sent and
/// retransmitted to it, it would receive two hundred more messages.
#[test]
fn few_grant_requests_of_one_customer_are_open_at_once() {
    let mut node = TestNode::with_servers(3, settings(0, 300), SECOND, 40);
    for _ in 0..50 {
        node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
    }
    node.advance(230 * MILLISECOND);
    let grant_requests = count_peer_messages(&node.actions);
    assert!(
        (4..=16).contains(&grant_requests),
        "{grant_requests} grant requests for 50 requests"
    );
}
