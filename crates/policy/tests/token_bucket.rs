//! Token buckets: their refill, the usage reports of peers, silent peers, restarts and the hard limit.

mod common;

use common::settings::{settings, HARD_LIMITED, IDEMPOTENT, METERED, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// The other node of a fleet of two.
const PEER: NodeId = NodeId(1);
/// A usage report without customers, which only shows that its sender is alive.
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
        "requests forwarded and rejected, with a burst of 4"
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
        "1.4 units have accrued, which cover one request"
    );
}

/// A peer sends no reports: it has failed, or the network is partitioned and it goes on admitting requests. If this
/// node used the peer's share, both sides of a partition would admit the entire quota. Only half of the refill may be
/// used here.
#[test]
fn share_of_a_silent_peer_is_withheld_from_the_refill() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    let mut admitted = 0;
    for _ in 0..12 {
        node.now += SECOND;
        let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        admitted += u32::from(node.answer_if_in_flight(&id));
    }
    assert!(
        (6..=9).contains(&admitted),
        "{admitted} requests admitted, with 2 of the burst and half of 1 per second"
    );
}

/// A usage report of [`PEER`], which started at `incarnation` (ms), on the units that it has forwarded for a customer.
fn usage_report(incarnation: u32, customer: u64, units: u16) -> Event {
    let mut bytes = vec![2, 0];
    bytes.extend(incarnation.to_le_bytes());
    bytes.extend(&customer.to_le_bytes()[..5]);
    bytes.extend((units * COUNTS_PER_UNIT).to_le_bytes());
    Event::PeerMessage { from: PEER, bytes }
}

/// Usage reports are lost, duplicated or reordered. The usage of a peer must be deducted from the bucket exactly once,
/// as soon as a later report includes it.
#[test]
fn peer_usage_is_deducted_once_where_reports_are_lost_late_or_repeated() {
    let admitted_after = |reports: &[u16]| {
        let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
        let first = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        node.end_attempt(&first, Outcome::Ok);
        node.handle(usage_report(5, 7, 10));
        // The full burst is available again after ten seconds in which reports arrive.
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
    assert_eq!(
        admitted_after(&[]),
        4,
        "the entire burst without new usage of the peer"
    );
    let in_order = admitted_after(&[11, 12]);
    assert!(
        in_order < 3,
        "{in_order} requests admitted, although the peer has used two units"
    );
    assert_eq!(admitted_after(&[12]), in_order, "the first report is lost");
    assert_eq!(
        admitted_after(&[11, 11, 12, 12]),
        in_order,
        "each report arrives twice"
    );
    assert_eq!(
        admitted_after(&[12, 11, 10]),
        in_order,
        "earlier reports arrive after later ones"
    );
}

/// No usage report arrives, and nodes restart at random and lose their state. All nodes together must not exceed the
/// hard limit at any time.
#[test]
fn hard_limit_holds_over_nodes_without_messages_and_with_restarts() {
    for seed in 0..6 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut nodes: Vec<_> = (0..3)
            .map(|index| TestNode::with_servers(seed, settings(index, 3), SECOND, 6))
            .collect();
        // The hard limit of the entire fleet, full at the start.
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
            assert!(
                tokens > -1e-6,
                "the nodes together exceed the hard limit: {tokens} units are left"
            );
        }
        assert!(
            sent > 50,
            "only {sent} requests forwarded in 20 s at a hard limit of 8 per second"
        );
    }
}

/// The bucket of an idle customer is dropped and created again at its next request. If the new bucket were always full,
/// a customer could exceed its hard limit by being idle. The share of the hard limit, 6 of 12, is empty at the start of
/// a node and full after a long time. Dropping the bucket must not change that.
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
        // Rejects the queued requests.
        node.advance(400 * MILLISECOND);
        sent
    };
    assert_eq!(burst_after(0), 0, "the share is empty at the start");
    assert_eq!(burst_after(10 * SECOND), 6, "the share has filled");
    assert_eq!(burst_after(90 * SECOND), 6, "the bucket was dropped");
    // A customer without a bucket has used nothing since the start.
    let mut fresh = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    fresh.now += 500 * MILLISECOND;
    for _ in 0..20 {
        fresh.request(IDEMPOTENT, HARD_LIMITED, 8, SECOND);
        fresh.answer_all();
    }
    assert_eq!(
        count_sends(&fresh.actions),
        2,
        "an even share of 4 per second for 0.5 s"
    );
}

/// A node restarts and has lost the state of its buckets. If they were full, each restart would admit the burst again.
/// A peer that started long before it shows that it has restarted, so its buckets hold only its even share.
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
        "requests forwarded: the burst of 4, and its even share after a restart"
    );
}

/// A single request names a wrong plan. It must neither determine the customer's plan, where it is the first request,
/// nor replace the right one.
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
    assert_eq!(
        forwarded(UNLIMITED, 20),
        20,
        "the first request must not determine the plan"
    );
    forwarded(METERED, 2);
    assert_eq!(
        forwarded(UNLIMITED, 20),
        20,
        "two requests must not change the plan"
    );
}

/// A peer drops an idle customer and counts its usage from zero when it returns. The lower counter must count as new
/// usage, not as a late report.
#[test]
fn usage_counter_that_restarts_from_zero_is_counted() {
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
        "the three units that the peer has used must be deducted from the burst of 4"
    );
}

/// Guards against memory that grows without end while requests name ever new customers: their buckets are full again after
/// seconds, and are not kept for a minute.
#[test]
fn buckets_of_ever_new_customers_are_not_kept_for_long() {
    const CUSTOMERS_PER_STEP: u64 = 400;
    let mut node = TestNode::with_servers(1, settings(0, 1), SECOND, 4);
    let mut most = 0;
    for step in 0..100 {
        for number in 0..CUSTOMERS_PER_STEP {
            let customer = step * CUSTOMERS_PER_STEP + number;
            let id = node.request(IDEMPOTENT, METERED, customer, SECOND);
            node.answer_if_in_flight(&id);
        }
        node.advance(100 * MILLISECOND);
        most = most.max(node.engine.snapshot().size().customers);
    }
    assert!(most < 30_000, "{most} customers are kept of 40,000");
}
