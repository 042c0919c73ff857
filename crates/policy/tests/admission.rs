//! Which requests are admitted at a node that decides for itself, and when rejected clients are told to retry.

mod common;

use common::settings::{settings, IDEMPOTENT, METERED, NON_IDEMPOTENT, TWO_IN_FLIGHT, UNLIMITED};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// Nodes that may not send each other messages cannot know what the others admit. If each admitted the whole quota, a
/// customer would get it many times. Each keeps twice the even share, as requests come unevenly, and at least one request.
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
        assert_eq!(sent(&mut node), burst.floor(), "{node_count} nodes");
        node.advance(SECOND);
        let again = sent(&mut node);
        assert!(
            again <= (16.0 * share + 1.0).min(burst),
            "{node_count} nodes: {again} a second later"
        );
    }
}

/// The even share of a small quota over hundreds of nodes is far less than one request. If each node admitted one, the
/// quota would be exceeded many times; if none did, the customer would get nothing. Over many customers and nodes, what is
/// admitted at first stays within what the quota gives while a token bucket is kept.
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
    // 4 units and one a second for 60 s, over 400 nodes: 0.16 each of 400 requests.
    assert!((40..=95).contains(&admitted), "{admitted}");
}

/// A client whose request was held back until its token bucket covers it would wait in vain. It is rejected instead, with
/// the time after which a retry is covered.
#[test]
fn rejection_says_when_the_token_bucket_will_cover_the_request() {
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
        assert_eq!(retry_after(0), None, "the burst is forwarded");
    }
    assert_eq!(
        retry_after(0),
        Some(100 * MILLISECOND),
        "a whole unit is missing, but the latency objective would be missed"
    );
    let soon = retry_after(950 * MILLISECOND).expect("not yet covered");
    assert!(
        (49 * MILLISECOND..51 * MILLISECOND).contains(&soon),
        "{soon}"
    );
    assert_eq!(retry_after(50 * MILLISECOND), None, "it is covered then");
}

#[test]
fn attempts_in_flight_stay_under_the_even_share_of_their_limit() {
    let mut node = TestNode::with_servers(1, settings(0, 2), SECOND, 4);
    for _ in 0..5 {
        node.request(IDEMPOTENT, TWO_IN_FLIGHT, 7, 2 * SECOND);
    }
    assert_eq!(node.in_flight.len(), 1, "two in flight over two nodes");
    let id = node.in_flight[0].id.clone();
    node.end_attempt(&id, Outcome::Ok);
    assert_eq!(node.in_flight.len(), 1, "the next one follows");
}

#[test]
fn request_with_a_very_short_timeout_is_rejected_at_once() {
    for timeout in [0, 1, 5 * MILLISECOND, 19 * MILLISECOND] {
        let mut node = TestNode::with_servers(3, settings(0, 1), SECOND, 0);
        let id = node.request(NON_IDEMPOTENT, UNLIMITED, 7, timeout);
        let rejected =
            |action: &Action| matches!(action, Action::Reject { id: other, .. } if *other == id);
        assert!(node.actions.iter().any(rejected));
    }
}
