//! Large fleets, where the owners of a customer's quota grant its requests.

mod common;

use common::fleet::Fleet;
use common::settings::{settings, HARD_LIMITED, IDEMPOTENT, METERED};
use common::test_node::{count_peer_messages, TestNode};
use saffronpaddle_policy::interface::*;

#[test]
fn customer_of_hundreds_of_nodes_gets_its_quota_and_little_more() {
    let mut fleet = Fleet::new(200, 40, |settings| settings.plans[METERED].rate = 4.0);
    let sent = fleet.send_at_rate(METERED, 20, 10);
    // A burst of 4 and 4 a second over 10 s, of 200 requests.
    assert!((30..=54).contains(&sent), "{sent}");
    let busiest = fleet.messages_received.values().max().copied().unwrap_or(0);
    assert!(
        busiest <= 600,
        "too many messages to one node: {busiest} in 10 s"
    );
    assert!(
        fleet.messages_sent <= 1400,
        "too many messages: {}",
        fleet.messages_sent
    );
}

#[test]
fn requests_within_the_quota_of_a_large_subset_are_admitted() {
    let mut fleet = Fleet::new(200, 40, |settings| settings.plans[METERED].rate = 10.0);
    let sent = fleet.send_at_rate(METERED, 5, 10);
    assert!(sent >= 45, "of 50: {sent}");
}

/// A quota of a few units is kept in shares over a large subset, each less than a request. Nodes would reject requests while
/// half of the quota is left.
#[test]
fn small_quota_of_a_large_subset_can_be_used_completely() {
    let mut fleet = Fleet::new(100, 40, |settings| {
        (settings.plans[METERED].rate, settings.plans[METERED].burst) = (1.0, 3.0);
    });
    let sent = (0..12)
        .map(|_| fleet.send_burst(METERED, 3, 4))
        .sum::<usize>();
    assert!(sent >= 33, "of 36, each burst within the quota: {sent}");
}

/// The hard limit is empty at the start of a node. If it were empty at the first request of each customer instead, first
/// requests would be rejected for no reason.
#[test]
fn first_requests_under_a_hard_limit_are_admitted_once_it_has_filled() {
    let mut fleet = Fleet::new(100, 40, |_| {});
    fleet.advance(2 * SECOND);
    let sent = fleet.send_burst(HARD_LIMITED, 3, 1);
    assert_eq!(sent, 3, "of 3, far under the hard limit");
}

/// All nodes restart again and again. An owner that started with a full hard limit would grant it once more after each
/// restart.
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
    // 12 when full and 8 a second over 8 s; an owner starts empty, so restarts grant nothing twice.
    assert!((20..=76).contains(&sent), "{sent}");
}

/// A customer sends more than a hundred times its quota. If each request were put to an owner, 2000 requests would take some
/// 4000 messages.
#[test]
fn customer_far_over_its_quota_does_not_overload_its_owners() {
    let mut fleet = Fleet::new(60, 40, |settings| settings.plans[METERED].rate = 2.0);
    let sent = fleet.send_at_rate(METERED, 250, 8);
    assert!((12..=28).contains(&sent), "still its quota: {sent}");
    assert!(fleet.messages_sent < 2400, "{}", fleet.messages_sent);
}

/// A node is cut off from all others. Requests that wait for an owner's grant would all be late: most are decided at once,
/// and a grant request now and then finds out when the fault is over.
#[test]
fn unreachable_node_decides_at_once_and_keeps_probing() {
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
        // A few are rejected by load shedding, by chance: that is at once, too.
        let rejected =
            |action: &Action| matches!(action, Action::Reject { id: other, .. } if *other == id);
        let forwarded = node.is_in_flight(&id);
        at_once += u32::from(forwarded || node.actions.iter().any(rejected));
        node.advance(20 * MILLISECOND);
        node.answer_all();
    }
    let grant_requests = count_peer_messages(&node.actions);
    assert!(at_once >= 80, "{at_once} of 100 were decided at once");
    assert!(
        (5..=60).contains(&grant_requests),
        "{grant_requests} in 2 s"
    );
}

/// One node takes all requests of a customer that is far over its quota. An owner says how long no more can be granted; until
/// then no grant request may be sent: one request and one response for each unit that the quota gives, not for each request.
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

/// The owners of a customer's quota restart and know nothing of what they have granted. Requesters tell them how full the
/// shards were; without that each restart would grant the burst again.
#[test]
fn restarted_owners_do_not_grant_the_burst_again() {
    let change = |settings: &mut Settings| {
        (settings.plans[METERED].rate, settings.plans[METERED].burst) = (1.0, 12.0);
    };
    let mut fleet = Fleet::new(60, 40, change);
    fleet.send_at_rate(METERED, 20, 8);
    // The customer's owners are those that received the most.
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
        "{sent} in 4 s at 1 a second, where a burst of 12 was used up before"
    );
}

/// An owner is overloaded and does not answer. If each of its customer's fifty requests were put to it again and again, it
/// would get two hundred messages more.
#[test]
fn few_grant_requests_of_one_customer_are_open_at_once() {
    let mut node = TestNode::with_servers(3, settings(0, 300), SECOND, 40);
    for _ in 0..50 {
        node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
    }
    node.advance(230 * MILLISECOND);
    let grant_requests = count_peer_messages(&node.actions);
    assert!((4..=16).contains(&grant_requests), "{grant_requests}");
}
