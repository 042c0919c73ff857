//! The invariants of requests hold for random sequences of events.

mod common;

use common::settings::{endpoint, settings};
use common::test_node::{count_sends, TestNode};
use saffronpaddle_policy::interface::*;

/// Outcomes to draw from; a response is the most frequent.
const OUTCOMES: [Outcome; 10] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::Unreachable,
    Outcome::ConnectionLost,
    Outcome::Cancelled,
    Outcome::NotSent,
];
/// Endpoint statuses to draw from.
const STATUSES: [EndpointStatus; 3] = [
    EndpointStatus::Ready,
    EndpointStatus::Draining,
    EndpointStatus::Removed,
];

/// Random valid events with fixed seeds; [`TestNode`] checks the invariants at every action.
#[test]
fn request_invariants_hold_for_random_events() {
    let mut sent = 0;
    let mut answered = 0;
    for seed in 0..40u64 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut node = TestNode::with_servers(seed, settings(0, 2), SECOND, random.u64(1..8));
        for _ in 0..1500 {
            random_event(&mut random, &mut node);
        }
        node.advance(4 * SECOND);
        sent += count_sends(&node.actions);
        let answer =
            |action: &&Action| matches!(action, Action::Reject { .. } | Action::Fail { .. });
        answered += node.actions.iter().filter(answer).count();
    }
    assert!(
        sent > 3000 && answered > 1000,
        "too few events for a meaningful test: {sent} sent, {answered} answered"
    );
}

fn random_event(random: &mut fastrand::Rng, node: &mut TestNode) {
    match random.u32(0..14) {
        0..=3 => random_request(random, node),
        4..=7 if !node.in_flight.is_empty() => {
            let id = node.in_flight[random.usize(0..node.in_flight.len())]
                .id
                .clone();
            node.end_attempt(&id, OUTCOMES[random.usize(0..OUTCOMES.len())]);
        }
        8 => {
            let change = random_endpoint(random, node.now);
            node.update_endpoints(EndpointUpdate::Delta, vec![change]);
        }
        9 if random.u8(0..5) == 0 => {
            let servers = random.u64(0..8);
            let endpoints = (0..servers).map(endpoint).collect();
            node.update_endpoints(EndpointUpdate::Snapshot, endpoints);
        }
        10 => {
            let bytes = (0..random.usize(0..300)).map(|_| random.u8(0..3)).collect();
            node.receive(NodeId(1), bytes);
        }
        11 if !node.in_flight.is_empty() && random.u8(0..4) == 0 => {
            let id = node.in_flight[0].id.clone();
            node.abandon(&id);
        }
        _ => {
            node.advance(random.u64(0..20) * MILLISECOND);
        }
    }
}

fn random_request(random: &mut fastrand::Rng, node: &mut TestNode) {
    let class = ClassId(random.usize(0..4));
    let timeout = if random.u8(0..9) == 0 {
        random.u64(0..30 * MILLISECOND)
    } else {
        random.u64(MILLISECOND..3 * SECOND)
    };
    node.request(class, random.usize(0..4), random.u64(0..6), timeout);
}

fn random_endpoint(random: &mut fastrand::Rng, now: Micros) -> Endpoint {
    let status = STATUSES[random.usize(0..STATUSES.len())];
    let started_at = random.bool().then_some(now);
    Endpoint {
        status,
        started_at,
        ..endpoint(random.u64(0..8))
    }
}
