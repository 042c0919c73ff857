//! Backoff of the calls to the platform's discovery, for one node and for an entire fleet.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_endpoints::{EmptyListProtection, PollBackoff, PollLimits};
use std::time::Duration;

/// Maximum time between the starts of two calls.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(4500);
/// Maximum mean pause.
const MAX_MEAN_PAUSE: Duration = Duration::from_secs(4);
/// Timeout of a call to the simulated service, in seconds.
const CALLER_TIMEOUT: f64 = 2.0;

/// Simulates a service that processes `calls_per_s` in order of arrival, also those that have timed out, and that
/// accepts more calls than it can answer in time. Returns the seconds until nine tenths of the nodes have an answer.
fn recovers_after(
    nodes: u32,
    calls_per_s: f64,
    backoff: impl Fn(u32) -> PollBackoff,
) -> Option<f64> {
    let mut random = fastrand::Rng::with_seed(3);
    let mut backoffs: Vec<PollBackoff> = (0..nodes).map(|_| backoff(nodes)).collect();
    let mut due: Vec<(f64, usize)> = Vec::new();
    for (node, backoff) in backoffs.iter_mut().enumerate() {
        due.push((backoff.after_failure(random.f64()).as_secs_f64(), node));
    }
    let (mut busy_until, mut answers) = (0.0_f64, vec![f64::INFINITY; backoffs.len()]);
    loop {
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        let (now, node) = due.pop()?;
        if now > 120.0 {
            return None;
        }
        let begins = busy_until.max(now);
        if begins - now <= 3.0 * CALLER_TIMEOUT {
            busy_until = begins + 1.0 / calls_per_s;
            if busy_until - now <= CALLER_TIMEOUT {
                answers[node] = answers[node].min(busy_until);
            }
        }
        // The next call is sent concurrently, unless this one is answered by then.
        let next = now
            + backoffs[node]
                .hedge_delay(random.f64())
                .expect("calls run concurrently")
                .as_secs_f64();
        if next < answers[node] {
            due.push((next, node));
        }
        if answers.iter().filter(|at| at.is_finite()).count() * 10 >= answers.len() * 9 {
            return Some(busy_until);
        }
    }
}

#[test]
fn a_fleet_recovers_from_a_service_that_accepts_too_many_calls() {
    // The service can answer each node of a large fleet once in 5 s.
    for nodes in [3, 30, 100, 300, 1000, 2700] {
        let after = recovers_after(
            nodes,
            (f64::from(nodes) / 5.0).max(10.0),
            PollBackoff::for_fleet,
        );
        assert!(
            after.is_some_and(|after| after < 30.0),
            "{nodes} nodes recover after {after:?} s"
        );
    }
    // With the pauses of a small fleet, the calls of a hundred nodes keep the queue full.
    assert!(
        recovers_after(100, 20.0, |_| PollBackoff::for_fleet(3)).is_none_or(|after| after > 60.0)
    );
}

fn limits() -> PollLimits {
    let s = Duration::from_secs;
    PollLimits {
        calls_per_s: 25.0,
        first_within: s(60),
        answer_within: s(10),
        empty_after: s(30),
    }
}

/// Returns the maximum number of calls in any second.
fn busiest_second(mut at: Vec<f64>) -> usize {
    at.sort_by(f64::total_cmp);
    (0..at.len())
        .map(|first| {
            at[first..]
                .iter()
                .take_while(|later| **later < at[first] + 1.0)
                .count()
        })
        .max()
        .unwrap_or(0)
}

#[test]
fn first_calls_of_a_fleet_that_starts_at_once_are_spread_evenly() {
    let mut random = fastrand::Rng::with_seed(7);
    for nodes in [3, 30, 300, 1000] {
        let calls = (0..nodes).map(|number| {
            limits()
                .first_call((number, nodes), random.f64())
                .as_secs_f64()
        });
        let calls: Vec<f64> = calls.collect();
        let last = calls.iter().copied().fold(0.0, f64::max);
        assert!(
            last <= f64::from(nodes) / 25.0,
            "{nodes} nodes: the last call is after {last} s"
        );
        let most = busiest_second(calls);
        assert!(most <= 27, "{nodes} nodes: {most} calls in one second");
    }
    // If both limits cannot be kept, `first_within` takes precedence.
    let soon = PollLimits {
        first_within: Duration::from_secs(4),
        ..limits()
    };
    assert!(soon.first_call((999, 1000), 1.0) <= Duration::from_secs(4));
}

#[test]
fn failing_calls_keep_to_the_limits_of_the_installation() {
    let mut random = fastrand::Rng::with_seed(9);
    for nodes in [30, 300, 1000] {
        let mut at = Vec::new();
        for _ in 0..nodes {
            let (mut backoff, mut now) = (PollBackoff::with_limits(nodes, &limits()), 0.0);
            while now < 100.0 {
                now += backoff.after_failure(random.f64()).as_secs_f64();
                at.push(now);
            }
        }
        // Random fluctuation: four standard deviations above the mean of 25.
        let most = busiest_second(at);
        assert!(most <= 50, "{nodes} nodes: {most} calls in one second");
    }
}

#[test]
fn a_retry_after_is_honoured_up_to_a_maximum() {
    let mut backoff = PollBackoff::with_limits(300, &limits());
    for draw in [0.0, 0.5, 1.0] {
        assert!(backoff.after_response(Duration::from_secs(7), draw) >= Duration::from_secs(7));
    }
    assert!(
        backoff.after_response(Duration::from_hours(24), 0.0) < Duration::from_secs(200),
        "an excessive value is bounded"
    );
}

#[test]
fn an_empty_list_is_accepted_only_after_it_has_stayed_empty() {
    let (mut protection, s) = (EmptyListProtection::default(), Duration::from_secs);
    assert!(protection.accepts(s(0), 5, 0, s(30)));
    assert!(!protection.accepts(s(1), 0, 5, s(30)));
    assert_eq!(protection.poll_again_after(s(30)), Some(s(31)));
    assert!(!protection.accepts(s(30), 0, 5, s(30)));
    assert!(protection.accepts(s(31), 0, 5, s(30)));
    assert!(
        protection.accepts(s(32), 3, 5, s(30)),
        "a list with servers is accepted immediately"
    );
    assert!(
        !protection.accepts(s(40), 0, 3, s(30)),
        "the empty time is counted from the start"
    );
    assert!(
        protection.accepts(s(41), 0, 1, s(30)),
        "the last server may be removed"
    );
}

/// A drain allows 250 ms from the moment at which an agent has a list. A call must be open within that time for any
/// fleet size.
#[test]
fn an_agent_that_has_a_list_again_is_called_within_the_time_limit_of_a_drain() {
    let mut backoff = PollBackoff::for_agent();
    let hedged = backoff.hedged().expect("an agent gets hedged calls");
    let pause = (0..50)
        .map(|draw| backoff.after_failure(f64::from(draw) / 50.0))
        .max()
        .expect("50 pauses");
    assert!(
        pause + hedged.every <= Duration::from_millis(200),
        "the pause is {pause:?} and the schedule {hedged:?}"
    );
    assert!(
        hedged.answer_within >= hedged.every * 4,
        "a slow agent has time to answer"
    );
    assert!(
        PollBackoff::for_fleet(300).hedged().is_none(),
        "a shared service gets no hedged calls"
    );
}

/// A drain counts as received 6 s after the last message of a silent watch, and a node needs 3 s of these to detect the
/// silence.
#[test]
fn after_an_established_watch_ends_a_node_of_any_fleet_calls_within_a_second() {
    for nodes in [3, 30, 300, 1000] {
        for mut backoff in [PollBackoff::for_fleet(nodes), PollBackoff::for_agent()] {
            // Some calls failed before the watch was opened.
            (0..5).for_each(|_| _ = backoff.after_failure(1.0));
            let longest = (0..=10)
                .map(|draw| backoff.after_watch_end(f64::from(draw) / 10.0))
                .max();
            assert!(
                longest <= Some(Duration::from_secs(1)),
                "{nodes} nodes: the longest pause is {longest:?}"
            );
        }
    }
    // The calls of the fleet are spread over that second, and the pauses after failures are unchanged.
    let mut backoff = PollBackoff::for_fleet(300);
    assert!(
        backoff.after_watch_end(1.0) == Duration::from_secs(1)
            && backoff.after_watch_end(0.1) == Duration::from_millis(100)
    );
    // For the upper bound see `calls_of_any_fleet_start_in_time_to_receive_a_change`.
    let (least, most) = (
        backoff.clone().after_failure(0.0),
        backoff.clone().after_failure(1.0),
    );
    assert_eq!(
        (least, most),
        (Duration::ZERO, MAX_CALL_INTERVAL),
        "the pause may take any part of the call interval"
    );
    assert!(
        backoff.after_failure(0.5) >= MAX_CALL_INTERVAL / 2
            && backoff.after_failure(0.5) >= MAX_MEAN_PAUSE,
        "the mean pauses after the first one are too short: {backoff:?}"
    );
    assert_eq!(
        PollBackoff::with_limits(300, &limits()).after_watch_end(0.5),
        Duration::from_secs(12),
        "the limits of the installation apply"
    );
}

/// A small fleet must not overload a service that is sized for it.
#[test]
fn a_small_fleet_calls_again_within_seconds_but_at_most_once_a_second() {
    let mut backoff = PollBackoff::for_fleet(3);
    for _ in 0..8 {
        let pause = backoff.after_failure(0.5);
        assert!(
            (Duration::from_secs(1)..=Duration::from_millis(1500)).contains(&pause),
            "the pause of a small fleet is {pause:?}"
        );
    }
    assert!(
        backoff.after_watch_end(1.0) <= Duration::from_secs(1),
        "an established watch is soon opened again"
    );
    assert!(backoff.after_failure(0.5) <= Duration::from_secs(1));
}

/// The result of a call.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    /// The call was rejected, timed out or has no answer yet.
    Failed,
    /// The call was rejected `ago` milliseconds after its start, with a `Retry-After` of `after` seconds.
    RetryAfter { ago: u64, after: u64 },
    /// The call opened a watch, which has ended.
    WatchEnded,
}

fn any_result() -> impl Strategy<Value = CallResult> {
    // The timeout of a call is 3 s.
    prop_oneof![
        Just(CallResult::Failed),
        (0..=3000_u64, 0..=100_000_u64)
            .prop_map(|(ago, after)| CallResult::RetryAfter { ago, after }),
        Just(CallResult::WatchEnded),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// The platform takes a change as received 6 s after the service had it and was reachable; 1.5 s of these are for
    /// the answer.
    #[test]
    fn calls_of_any_fleet_start_in_time_to_receive_a_change(
        nodes in 1..=100_000_u32, calls in prop::collection::vec((any_result(), 0.0..=1.0_f64), 1..40),
    ) {
        let (mut backoff, ms) = (PollBackoff::for_fleet(nodes), Duration::from_millis);
        for (result, draw) in calls {
            let delay = backoff.hedge_delay(draw).expect("calls run concurrently");
            prop_assert!(delay <= ms(4500), "the next call starts after {delay:?}");
            match result {
                CallResult::Failed => {}
                CallResult::RetryAfter { ago, after } => {
                    let after = Duration::from_secs(after);
                    let pause = backoff.after_hedged_response(after, ms(ago), draw).expect("calls run concurrently");
                    prop_assert!(ms(ago) + pause <= ms(4500), "after {result:?} the pause is {pause:?}");
                    prop_assert!(pause >= after.min(ms(4500).checked_sub(ms(ago)).unwrap() / 2), "after {result:?} the pause is {pause:?}");
                }
                CallResult::WatchEnded => prop_assert!(backoff.after_watch_end(draw) <= Duration::from_secs(1)),
            }
        }
    }
}

/// All watches end at the same time and all later calls fail. The call rate of the entire fleet must stay bounded.
#[test]
fn a_fleet_whose_calls_all_fail_makes_a_quarter_of_a_call_per_second_and_node() {
    let mut random = fastrand::Rng::with_seed(11);
    for nodes in [30, 300, 2700] {
        let mut at = Vec::new();
        for _ in 0..nodes {
            let mut backoff = PollBackoff::for_fleet(nodes);
            let mut now = backoff.after_watch_end(random.f64()).as_secs_f64();
            while now < 60.0 {
                at.push(now);
                now += backoff
                    .hedge_delay(random.f64())
                    .expect("calls run concurrently")
                    .as_secs_f64();
            }
        }
        // The first calls, which are all sent within a second of the end of the watches, are not counted.
        at.retain(|at| *at >= 2.0);
        let (mean, bound) = (at.len() as f64 / 58.0, f64::from(nodes) / 4.0);
        let most = busiest_second(at);
        println!(
            "{nodes} nodes: {mean:.1} calls per second on average, at most {most} in one second"
        );
        assert!(
            mean <= 1.1 * bound,
            "{nodes} nodes: {mean} calls per second"
        );
        assert!(
            most as f64 <= 1.5 * bound + 4.0 * bound.sqrt(),
            "{nodes} nodes: {most} calls in one second"
        );
    }
}

/// Returns how many nodes of a small fleet have an answer `within` seconds after the address of discovery has changed.
/// The service needs `round` seconds to answer one call of each node, processes each call that it has accepted, and
/// rejects those that it cannot answer in time.
fn answered_after_a_move(nodes: u32, round: f64, within: f64, seed: u64) -> usize {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut backoffs: Vec<PollBackoff> =
        (0..nodes).map(|_| PollBackoff::for_fleet(nodes)).collect();
    // The nodes get the new address one after the other.
    let mut due: Vec<(f64, usize)> = (0..nodes as usize)
        .map(|node| (node as f64 * 0.4, node))
        .collect();
    let (mut busy_until, mut answers) = (0.0_f64, vec![f64::INFINITY; backoffs.len()]);
    loop {
        due.sort_by(|a, b| b.0.total_cmp(&a.0));
        let Some((now, node)) = due
            .pop()
            .filter(|(now, _)| *now < f64::from(nodes) * 0.4 + within)
        else {
            break;
        };
        if answers[node] <= now {
            continue;
        }
        let begins = busy_until.max(now);
        if begins - now <= CALLER_TIMEOUT {
            busy_until = begins + round / f64::from(nodes);
            answers[node] = answers[node].min(busy_until);
        }
        due.push((
            now + backoffs[node]
                .hedge_delay(random.f64())
                .expect("calls run concurrently")
                .as_secs_f64(),
            node,
        ));
    }
    let in_time = |(node, at): &(usize, f64)| at - *node as f64 * 0.4 <= within;
    answers.into_iter().enumerate().filter(in_time).count()
}

/// The platform takes a change as received 4 s after a reload that has moved discovery. Nearly all nodes of a small
/// fleet must have a list by then, unless the service needs most of that time for one call of each node.
#[test]
fn a_small_fleet_gets_its_list_in_time_after_discovery_has_moved() {
    let late = |nodes: u32, round: f64| {
        let late: usize = (0..200)
            .map(|seed| nodes as usize - answered_after_a_move(nodes, round, 4.0, seed))
            .sum();
        late as f64 / f64::from(200 * nodes)
    };
    for (nodes, round, most) in [
        (3, 2.0, 0.002),
        (6, 2.0, 0.002),
        (12, 2.0, 0.002),
        (6, 3.0, 0.002),
        (12, 3.0, 0.002),
        (12, 4.0, 0.002),
        (3, 3.0, 0.08),
        (6, 4.0, 0.06),
    ] {
        let share = late(nodes, round);
        assert!(
            share <= most,
            "{nodes} nodes, each answered once in {round} s: a fraction of {share} is late"
        );
    }
}

/// After failures, two calls start within 4.5 s in a fleet of at most a dozen nodes, and one call in any larger fleet.
#[test]
fn failed_calls_are_repeated_in_time_to_receive_a_change() {
    for nodes in [1, 3, 6, 14, 15, 100, 2700] {
        let mut backoff = PollBackoff::for_fleet(nodes);
        let first = backoff.after_failure(1.0);
        let second = first + backoff.after_failure(1.0);
        assert!(
            first <= MAX_CALL_INTERVAL,
            "{nodes} nodes: the first pause is {first:?}"
        );
        assert!(
            nodes > 12 || second <= MAX_CALL_INTERVAL,
            "{nodes} nodes: the second call starts after {second:?}"
        );
    }
}
