//! The slots in which the nodes of a fleet call a discovery service that an installation limits.

use saffronpaddle_endpoints::{CallSlots, PollBackoff, PollLimits};
use std::time::Duration;

/// Unix time at which the runs begin.
const START: Duration = Duration::from_secs(1_700_000_003);
/// Length of a run, seconds.
const RUN_S: f64 = 120.0;
/// Most calls in one second: those of the limit, and one for each end of the second, as a slot's time is random.
const MAX_CALLS_PER_S: usize = 27;

fn limits() -> PollLimits {
    PollLimits {
        calls_per_s: 25.0,
        first_within: Duration::from_mins(10),
        answer_within: Duration::from_secs(10),
        empty_after: Duration::from_secs(30),
    }
}

/// Returns the maximum number of calls in any second.
fn busiest_second(mut calls: Vec<f64>) -> usize {
    calls.sort_by(f64::total_cmp);
    let within = |first: usize| {
        let later = calls[first..].iter();
        later.take_while(|at| **at < calls[first] + 1.0).count()
    };
    (0..calls.len()).map(within).max().unwrap_or(0)
}

/// Plays the calls of one node, in seconds since [`START`]. Half of its calls fail, a tenth are answered with
/// `Retry-After`, and the rest open a watch that ends when the service fails for all nodes, 50 s after the start.
fn calls_of_node(position: (u32, u32), starts_at: f64, random: &mut fastrand::Rng) -> Vec<f64> {
    let limits = limits();
    let slots = CallSlots::new(position, &limits);
    let mut backoff = PollBackoff::with_limits(position.1, &limits);
    let unix = |at: f64| START + Duration::from_secs_f64(at);
    let mut at = starts_at
        + slots
            .first_call(unix(starts_at), random.f64())
            .as_secs_f64();
    let mut calls = Vec::new();
    while at < RUN_S {
        calls.push(at);
        let mut least = Duration::ZERO;
        let pause = match random.u8(0..10) {
            0..=4 => {
                at += random.f64();
                backoff.after_failure(random.f64())
            }
            5 => {
                least = Duration::from_secs(random.u64(1..5));
                backoff.after_response(least, random.f64())
            }
            _ => {
                at = at.max(50.0);
                backoff.after_watch_end(random.f64())
            }
        };
        at += slots
            .align(unix(at), least, pause, random.f64())
            .as_secs_f64();
    }
    calls
}

/// Guards against first calls, calls after failures and calls after the end of a watch that add up to more than the
/// limit, in a fleet that starts at once and in one whose nodes start one after the other.
#[test]
fn calls_of_all_kinds_together_keep_the_limit_of_the_installation() {
    let mut random = fastrand::Rng::with_seed(5);
    for nodes in [3, 30, 300, 1000, 2700] {
        for start_span in [0.0, 40.0] {
            let calls: Vec<f64> = (0..nodes)
                .flat_map(|number| {
                    let starts_at = random.f64() * start_span;
                    calls_of_node((number, nodes), starts_at, &mut random)
                })
                .collect();
            let most = busiest_second(calls);
            assert!(
                most <= MAX_CALLS_PER_S,
                "{nodes} nodes that start within {start_span} s: {most} calls in one second"
            );
        }
    }
}

/// Guards against a slot that calls earlier than the service has asked for, that repeats a call at once, or that waits
/// for longer than the pause and one round.
#[test]
fn a_call_starts_after_what_the_service_asked_for_and_within_the_pause_or_a_round() {
    let mut random = fastrand::Rng::with_seed(6);
    for nodes in [1, 3, 300, 1000] {
        let round = Duration::from_secs_f64(f64::from(nodes) / 25.0);
        let slot = Duration::from_millis(40);
        for _ in 0..2000 {
            let slots = CallSlots::new((random.u32(0..nodes), nodes), &limits());
            let now = START + Duration::from_secs_f64(random.f64() * 1e5);
            let least = Duration::from_secs_f64(random.f64() * 20.0);
            let pause = least + Duration::from_secs_f64(random.f64() * 20.0);
            let delay = slots.align(now, least, pause, random.f64());
            assert!(delay > least, "{delay:?} after {least:?}");
            assert!(
                delay <= pause.max(least + round) + slot,
                "{delay:?} for {pause:?}"
            );
            let again = slots.align(now + delay, Duration::ZERO, Duration::ZERO, random.f64());
            assert!(
                again + slot >= round,
                "a call is repeated {again:?} after another"
            );
        }
    }
}

#[test]
fn a_first_call_waits_for_the_slot_unless_that_is_later_than_it_may() {
    for number in [0, 700, 999] {
        let slots = CallSlots::new((number, 1000), &limits());
        assert!(slots.first_call(START, 1.0) <= Duration::from_millis(40_040));
        let soon = PollLimits {
            first_within: Duration::from_secs(4),
            ..limits()
        };
        let slots = CallSlots::new((number, 1000), &soon);
        assert!(slots.first_call(START, 1.0) <= Duration::from_secs(4));
    }
}
