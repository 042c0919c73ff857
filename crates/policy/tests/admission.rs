//! Admission at a node that decides without owners, and `retry_after` of its rejections.

mod common;

use common::settings::{settings, IDEMPOTENT, METERED, NON_IDEMPOTENT, TWO_IN_FLIGHT, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// Nodes that may not send each other messages do not know what the others admit. If each admitted the entire quota, a
/// customer would get it many times. Each node admits twice the even share, as requests are distributed unevenly, and
/// at least one request.
#[test]
fn nodes_without_peer_messages_admit_a_share_of_the_quota_each() {
    for node_count in [1, 2, 8, 100] {
        let mut settings = settings(0, node_count);
        settings.permissions.peer_messages = false;
        (settings.plans[METERED].rate, settings.plans[METERED].burst) = (16.0, 32.0);
        let mut node = TestNode::with_servers(3, settings, SECOND, 40);
        let share = (2.0 / f64::from(node_count)).min(1.0);
        let burst = (32.0 * share).max(1.0);
        let sent = |node: &mut TestNode| {
            let before = node.actions.len();
            for _ in 0..40 {
                let id = node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
                node.answer_if_in_flight(&id);
            }
            count_sends(&node.actions[before..]) as f64
        };
        assert_eq!(
            sent(&mut node),
            burst.floor(),
            "{node_count} nodes: requests admitted at once"
        );
        node.advance(SECOND);
        let again = sent(&mut node);
        assert!(
            again <= (16.0 * share + 1.0).min(burst),
            "{node_count} nodes: {again} requests admitted a second later"
        );
    }
}

/// The even share of a small quota over hundreds of nodes is far less than one request. If each node admitted one
/// request, the quota would be exceeded many times; if none did, the customer would get nothing. Over many customers
/// and nodes, the first requests admitted stay within the quota over the time for which a token bucket is kept.
#[test]
fn small_quotas_are_kept_on_average_by_many_nodes_without_peer_messages() {
    let mut admitted = 0;
    for seed in 0..20 {
        let mut settings = settings(0, 400);
        settings.permissions.peer_messages = false;
        let mut node = TestNode::with_servers(seed, settings, SECOND, 40);
        for customer in 0..20 {
            let id = node.request(IDEMPOTENT, METERED, customer, 2 * SECOND);
            admitted += u32::from(node.answer_if_in_flight(&id));
        }
    }
    // 4 units plus 1 unit per second for 60 s, over 400 nodes: a share of 0.16 of each of the 400 requests.
    assert!(
        (40..=95).contains(&admitted),
        "{admitted} of 400 requests admitted"
    );
}

/// A request that its token bucket does not cover is rejected at once, with the time after which a retry is covered. If
/// it were queued until then, its client would wait without a response in time.
#[test]
fn retry_after_is_the_time_until_the_token_bucket_covers_the_request() {
    let mut node = TestNode::with_servers(1, settings(0, 1), SECOND, 8);
    let mut retry_after = |wait: Micros| {
        node.now += wait;
        node.actions.clear();
        node.request(IDEMPOTENT, METERED, 7, 2 * SECOND);
        node.actions.iter().find_map(|action| match action {
            Action::Reject { retry_after, .. } => *retry_after,
            _ => None,
        })
    };
    for _ in 0..4 {
        assert_eq!(
            retry_after(0),
            None,
            "a request within the burst is rejected"
        );
    }
    assert_eq!(
        retry_after(0),
        Some(100 * MILLISECOND),
        "a whole unit is missing: the upper bound of retry_after applies"
    );
    let soon = retry_after(950 * MILLISECOND).expect("0.95 units do not cover a request");
    assert!(
        (49 * MILLISECOND..51 * MILLISECOND).contains(&soon),
        "50 ms are missing, and retry_after is {soon} µs"
    );
    assert_eq!(retry_after(50 * MILLISECOND), None, "the retry is rejected");
}

#[test]
fn attempts_in_flight_do_not_exceed_the_even_share_of_the_limit() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    for _ in 0..5 {
        node.request(IDEMPOTENT, TWO_IN_FLIGHT, 7, 2 * SECOND);
    }
    assert_eq!(
        node.in_flight.len(),
        1,
        "the even share of a limit of two over two nodes"
    );
    let id = node.in_flight[0].id.clone();
    node.end_attempt(&id, Outcome::Ok);
    assert_eq!(
        node.in_flight.len(),
        1,
        "the next attempt starts after the first has ended"
    );
}

#[test]
fn request_with_a_very_short_timeout_is_rejected_at_once() {
    for timeout in [0, 1, 5 * MILLISECOND, 19 * MILLISECOND] {
        let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 0);
        let id = node.request(NON_IDEMPOTENT, UNLIMITED, 7, timeout);
        let rejected =
            |action: &Action| matches!(action, Action::Reject { id: other, .. } if *other == id);
        assert!(
            node.actions.iter().any(rejected),
            "a request with a timeout of {timeout} µs is not rejected"
        );
    }
}
