//! Token buckets: their refill, the usage reports of peers, silent peers, restarts and the hard limit.

mod common;

use common::settings::{settings, HARD_LIMITED, IDEMPOTENT, METERED, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// The other node.
const PEER: NodeId = NodeId(1);
/// A usage report without a customer: only that its sender lives.
const EMPTY_USAGE_REPORT: [u8; 6] = [2, 0, 1, 0, 0, 0];
/// Steps of the counter in a usage report, per unit.
const COUNTS_PER_UNIT: u16 = 8;

#[test]
fn bucket_rejects_what_it_cannot_cover_and_refills_at_the_rate() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    for _ in 0..5 {
        let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        node.answer_if_in_flight(&id);
    }
    let rejected = node
        .actions
        .iter()
        .filter(|action| matches!(action, Action::Reject { .. }))
        .count();
    assert_eq!(
        (count_sends(&node.actions), rejected),
        (4, 1),
        "a burst of 4"
    );
    let before = count_sends(&node.actions);
    node.receive(PEER, EMPTY_USAGE_REPORT.to_vec());
    node.now += 700 * MILLISECOND;
    node.receive(PEER, EMPTY_USAGE_REPORT.to_vec());
    node.now += 700 * MILLISECOND;
    node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
    assert_eq!(
        count_sends(&node.actions),
        before + 1,
        "1.4 units later one is covered"
    );
}

/// A peer falls silent: it has failed, or the network is partitioned and it goes on admitting. If this node took over its
/// share, both sides of a partition would admit the whole quota. Only half of the refill may be used here.
#[test]
fn silent_peer_keeps_its_share_of_the_refill() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    let mut admitted = 0;
    for _ in 0..12 {
        node.now += SECOND;
        let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        admitted += u32::from(node.answer_if_in_flight(&id));
    }
    assert!(
        (6..=9).contains(&admitted),
        "2 of the burst and half of 1 a second: {admitted}"
    );
}

/// A usage report of [`PEER`], which started at `incarnation` (ms): the units that it has forwarded for a customer.
fn usage_report(incarnation: u32, customer: u64, units: u16) -> Event {
    let mut bytes = vec![2, 0];
    bytes.extend(incarnation.to_le_bytes());
    bytes.extend(&customer.to_le_bytes()[..5]);
    bytes.extend((units * COUNTS_PER_UNIT).to_le_bytes());
    Event::PeerMessage { from: PEER, bytes }
}

/// Usage reports get lost, arrive twice or in the wrong order. What a peer has used must be taken off the bucket exactly
/// once, as soon as a later report tells of it.
#[test]
fn usage_reports_lower_a_bucket_once_whether_lost_late_or_repeated() {
    let admitted_after = |reports: &[u16]| {
        let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
        let first = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        node.end_attempt(&first, Outcome::Ok);
        node.handle(usage_report(5, 7, 10));
        // Both halves of the burst are full after ten seconds in which reports arrive.
        for _ in 0..20 {
            node.now += 500 * MILLISECOND;
            node.handle(usage_report(5, 7, 10));
        }
        for units in reports {
            node.handle(usage_report(5, 7, *units));
        }
        let before = count_sends(&node.actions);
        for _ in 0..6 {
            let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
            node.answer_if_in_flight(&id);
        }
        count_sends(&node.actions) - before
    };
    assert_eq!(admitted_after(&[]), 4, "no new use: the whole burst");
    let in_order = admitted_after(&[11, 12]);
    assert!(in_order < 3, "the peer has used two units");
    assert_eq!(admitted_after(&[12]), in_order, "lost");
    assert_eq!(admitted_after(&[11, 11, 12, 12]), in_order, "repeated");
    assert_eq!(admitted_after(&[12, 11, 10]), in_order, "late");
}

/// No usage report arrives, and nodes restart at random and forget what they have admitted. All nodes together must not
/// exceed the hard limit at any time.
#[test]
fn hard_limit_holds_over_nodes_without_messages_and_with_restarts() {
    for seed in 0..6 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut nodes: Vec<_> = (0..3)
            .map(|index| TestNode::with_servers(seed, settings(index, 3), SECOND, 6))
            .collect();
        // The hard limit of the whole fleet, full at the start.
        let mut tokens = 12.0f64;
        let mut sent = 0;
        for tick in 0..4000u64 {
            let now = SECOND + tick * 5 * MILLISECOND;
            tokens = (tokens + 8.0 * 0.005).min(12.0);
            if random.u32(0..300) == 0 {
                let index = random.u32(0..3);
                nodes[index as usize] =
                    TestNode::with_servers(seed + tick, settings(index, 3), now, 6);
            }
            for node in &mut nodes {
                node.now = now;
                let before = count_sends(&node.actions);
                node.fire_timers();
                if random.u32(0..10) == 0 {
                    node.request(IDEMPOTENT, HARD_LIMITED, 9, SECOND);
                }
                node.answer_all();
                let forwarded = count_sends(&node.actions) - before;
                tokens -= forwarded as f64;
                sent += forwarded;
            }
            assert!(tokens > -1e-6, "over the hard limit: {tokens}");
        }
        assert!(sent > 50, "the hard limit admits its rate: {sent}");
    }
}

/// The bucket of a customer that stays away is dropped, and made anew at its next request. If that filled it, a customer
/// could exceed its hard limit by staying away. The share of the hard limit, 6 of 12, is empty at the start of a node and
/// full after long; dropping the bucket changes nothing of that.
#[test]
fn hard_limit_admits_no_more_after_its_bucket_was_dropped() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    let mut burst_after = |pause: Micros| {
        node.advance(pause);
        let before = count_sends(&node.actions);
        for _ in 0..20 {
            node.request(IDEMPOTENT, HARD_LIMITED, 7, 300 * MILLISECOND);
            node.answer_all();
        }
        let sent = count_sends(&node.actions) - before;
        // What is queued is rejected.
        node.advance(400 * MILLISECOND);
        sent
    };
    assert_eq!(burst_after(0), 0);
    assert_eq!(burst_after(10 * SECOND), 6);
    assert_eq!(burst_after(90 * SECOND), 6);
    // An unknown customer has used nothing since the start.
    let mut fresh = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    fresh.now += 500 * MILLISECOND;
    for _ in 0..20 {
        fresh.request(IDEMPOTENT, HARD_LIMITED, 8, SECOND);
        fresh.answer_all();
    }
    assert_eq!(count_sends(&fresh.actions), 2, "4 a second");
}

/// A node restarts and knows nothing of what it has admitted. If its buckets were full, each restart would admit the burst
/// again. Peers that started long before it show that it has restarted: only its even share is there.
#[test]
fn restart_does_not_refill_a_bucket() {
    let sent = |incarnation: u32| {
        let mut node = TestNode::with_servers(1, settings(0, 2), 100 * SECOND, 4);
        node.handle(usage_report(incarnation, 8, 1));
        for _ in 0..6 {
            let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
            node.answer_if_in_flight(&id);
        }
        count_sends(&node.actions)
    };
    assert_eq!(
        (sent(99_000), sent(50_000)),
        (4, 2),
        "a burst of 4, and its even share"
    );
}

/// One request names a wrong plan. It must neither fix that plan for its customer, where it comes first, nor take the right
/// one away.
#[test]
fn one_request_with_a_wrong_plan_does_not_change_the_plan() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    let mut forwarded = |plan: usize, requests: usize| {
        let before = count_sends(&node.actions);
        for _ in 0..requests {
            let id = node.request(IDEMPOTENT, plan, 7, 2 * SECOND);
            node.answer_if_in_flight(&id);
        }
        count_sends(&node.actions) - before
    };
    assert_eq!(forwarded(METERED, 1), 1);
    assert_eq!(forwarded(UNLIMITED, 20), 20, "not the burst of 4");
    forwarded(METERED, 2);
    assert_eq!(forwarded(UNLIMITED, 20), 20);
}

/// A peer drops an idle customer and counts its use from zero when it returns. The lower counter must be taken for new use,
/// not for an old report.
#[test]
fn usage_counter_that_starts_again_is_counted() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    let first = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
    node.end_attempt(&first, Outcome::Ok);
    node.handle(usage_report(5, 7, 90));
    for _ in 0..20 {
        node.now += 500 * MILLISECOND;
        node.handle(usage_report(5, 8, 1));
    }
    node.handle(usage_report(5, 7, 3));
    let before = count_sends(&node.actions);
    for _ in 0..6 {
        let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        node.answer_if_in_flight(&id);
    }
    assert!(
        count_sends(&node.actions) - before < 2,
        "the peer has used three units"
    );
}
