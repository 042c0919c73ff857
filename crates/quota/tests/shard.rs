//! Tests of one owner's shard under arbitrary sequences of grant requests, and of the rejection cache of a node.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_quota::{
    GrantDecision, GrantRequest, GrantResponse, HardLimit, InitialTokens, Micros, QuotaShard,
    RejectionCache, ReportedFill, ShardLimits, GRANT_LIFETIME,
};
use std::collections::BTreeSet;

/// Microseconds in a second.
const S: Micros = 1_000_000;
/// Usual duration of an attempt, µs.
const USUAL_LATENCY: Micros = 150_000;

fn limits(rate: f64, capacity: f64) -> ShardLimits {
    ShardLimits {
        rate,
        capacity,
        max_in_flight: None,
        hard_limit: None,
    }
}

fn request(requester: u32, serial: u16) -> GrantRequest {
    GrantRequest {
        requester,
        serial,
        units: 1.0,
    }
}

/// Sends a request to a shard and returns the shard's decision.
fn decide(
    shard: &mut QuotaShard,
    now: Micros,
    request: GrantRequest,
    limits: &ShardLimits,
) -> GrantDecision {
    shard
        .decide_grant(now, request, limits, USUAL_LATENCY)
        .decision
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// Grant requests are duplicated, late or reordered. The granted requests stay within the quota and the hard limit.
    #[test]
    fn grants_stay_within_the_quota_under_loss_delay_and_duplication(
        rate in 0.2..20.0f64, capacity in 1.0..40.0f64, hard_limit_ratio in 0.5..3.0f64,
        requests in prop::collection::vec((0..400_000u64, 0..6u32, 0..12u16), 1..400),
    ) {
        let hard_limit = HardLimit { rate: rate * hard_limit_ratio, capacity: capacity * hard_limit_ratio };
        let limits = ShardLimits { hard_limit: Some(hard_limit), ..limits(rate, capacity) };
        let mut shard = QuotaShard::open(0, InitialTokens::Full, 10 * S, &limits);
        let (mut now, mut granted) = (0, BTreeSet::new());
        for (delay, requester, serial) in requests {
            now += delay;
            if decide(&mut shard, now, request(requester, serial), &limits) == GrantDecision::Granted {
                granted.insert((requester, serial));
            }
            let elapsed_s = now as f64 / 1e6;
            let most = (capacity + rate * elapsed_s)
                .min(hard_limit_ratio * capacity + rate * hard_limit_ratio * elapsed_s);
            prop_assert!(granted.len() as f64 <= most + 1e-6, "{} granted, at most {most} allowed", granted.len());
        }
    }

    /// An owner restarts repeatedly and no requester knows the fill ratio of its shard. It exceeds the quota by at most
    /// the units of one request per restart.
    #[test]
    fn a_restart_grants_at_most_one_request_beyond_the_quota(
        rate in 0.2..8.0f64, capacity in 1.0..20.0f64,
        steps in prop::collection::vec((0..300_000u64, prop::bool::weighted(0.05)), 1..300),
    ) {
        let limits = limits(rate, capacity);
        let mut shard = QuotaShard::open(0, InitialTokens::Full, 0, &limits);
        let (mut now, mut started_at, mut granted, mut restarts, mut must_open) = (0, 0, 0, 0, false);
        for (serial, (delay, restart)) in (0..).zip(steps) {
            now += delay;
            if restart {
                (started_at, must_open, restarts) = (now, true, restarts + 1);
                continue;
            }
            if std::mem::take(&mut must_open) {
                let uptime = now - started_at;
                let initial_tokens = InitialTokens::AccruedSince { units: 1.0, elapsed: uptime };
                shard = QuotaShard::open(now, initial_tokens, uptime, &limits);
            }
            let decision = decide(&mut shard, now, request(1, serial), &limits);
            granted += i32::from(decision == GrantDecision::Granted);
            let most = capacity + rate * now as f64 / 1e6 + f64::from(restarts);
            prop_assert!(f64::from(granted) <= most + 1e-6, "{granted} granted, at most {most} allowed");
        }
    }

    /// No request is granted before `retry_after` has elapsed, and one is granted immediately after it.
    #[test]
    fn retry_after_ends_when_enough_tokens_have_accrued(
        rate in 0.2..20.0f64, capacity in 1.0..20.0f64, first_requests in 0..50u16, early in 0.0..0.999f64,
    ) {
        let limits = limits(rate, capacity);
        let mut shard = QuotaShard::open(0, InitialTokens::Full, 0, &limits);
        for serial in 0..first_requests {
            decide(&mut shard, 0, request(1, serial), &limits);
        }
        let response = shard.decide_grant(0, request(2, 0), &limits, USUAL_LATENCY);
        if response.decision == GrantDecision::OverQuota {
            let before = (response.retry_after as f64 * early) as Micros;
            let decision = decide(&mut shard.clone(), before, request(3, 0), &limits);
            prop_assert_eq!(decision, GrantDecision::OverQuota);
            if response.retry_after < 2 * S {
                let after = response.retry_after + 1;
                let decision = decide(&mut shard, after, request(3, 0), &limits);
                prop_assert_eq!(decision, GrantDecision::Granted);
            }
        }
    }
}

/// The answer to a grant request is lost, and the node retries the request. If the owner did not record what it
/// granted, each retry would cost the customer another unit.
#[test]
fn a_retried_grant_request_takes_its_units_once() {
    let limits = limits(0.001, 2.0);
    let mut shard = QuotaShard::open(0, InitialTokens::Full, 0, &limits);
    for retry in 0..4 {
        assert_eq!(
            decide(&mut shard, retry * 50_000, request(1, 9), &limits),
            GrantDecision::Granted
        );
    }
    assert_eq!(
        decide(&mut shard, 200_000, request(2, 9), &limits),
        GrantDecision::Granted,
        "the second unit is still available"
    );
    assert_eq!(
        decide(&mut shard, GRANT_LIFETIME + 200_001, request(1, 9), &limits),
        GrantDecision::OverQuota,
        "a retry after the grant's lifetime counts as a new request"
    );
}

/// The message that releases a permit is lost. The permit expires after a small multiple of the usual latency; a much
/// longer fixed lifetime would keep a customer with few permits well below its quota.
#[test]
fn a_permit_whose_release_is_lost_expires_after_three_times_the_usual_latency() {
    let limits = ShardLimits {
        max_in_flight: Some(1),
        ..limits(100.0, 10.0)
    };
    let mut shard = QuotaShard::open(0, InitialTokens::Full, 0, &limits);
    assert_eq!(
        decide(&mut shard, 0, request(1, 1), &limits),
        GrantDecision::Granted
    );
    let response = shard.decide_grant(USUAL_LATENCY, request(2, 1), &limits, USUAL_LATENCY);
    assert_eq!(
        (response.decision, response.retry_after),
        (GrantDecision::TooManyInFlight, USUAL_LATENCY / 2)
    );
    assert_eq!(
        decide(&mut shard, 3 * USUAL_LATENCY - 1, request(2, 2), &limits),
        GrantDecision::TooManyInFlight
    );
    assert_eq!(
        decide(&mut shard, 3 * USUAL_LATENCY, request(2, 3), &limits),
        GrantDecision::Granted
    );
    shard.release(2, 3);
    assert_eq!(
        decide(&mut shard, 3 * USUAL_LATENCY + 1, request(3, 1), &limits),
        GrantDecision::Granted,
        "the permit was released"
    );
}

/// An owner restarts without its state. It starts with the fill ratio that it reported to the requester before, plus
/// the tokens accrued since. The ratio is clamped, because the requester may send a wrong one.
#[test]
fn an_owner_that_lost_its_state_starts_with_the_last_reported_fill_ratio() {
    let limits = limits(1.0, 8.0);
    let tokens = |initial_tokens| QuotaShard::open(20 * S, initial_tokens, 0, &limits).tokens();
    let reported = |ratio| InitialTokens::Reported(ReportedFill { ratio, age: S });
    assert_eq!(tokens(InitialTokens::Full), 8.0);
    assert_eq!(
        tokens(InitialTokens::AccruedSince {
            units: 1.0,
            elapsed: 2 * S
        }),
        3.0
    );
    assert_eq!(tokens(reported(0.5)), 5.0);
    assert_eq!(
        tokens(reported(f64::MAX)),
        8.0,
        "an excessive ratio is clamped"
    );
}

/// A customer exceeds its quota. After a rejection by the last shard, the node rejects further requests locally until
/// `retry_after` has elapsed or a request is granted.
#[test]
fn a_rejected_customer_is_rejected_locally_until_retry_after_or_a_grant() {
    let response = |decision, retry_after| GrantResponse {
        decision,
        sampling_probability: 1.0,
        retry_after,
        fill_ratio: 0.25,
    };
    let mut cache = RejectionCache::default();
    assert!(
        !cache.is_rejecting(S)
            && cache.reported_fill(S).is_none()
            && cache.sampling_probability(S) == 1.0
    );
    cache.record_response(S, &response(GrantDecision::OverQuota, 300_000), false);
    assert!(!cache.is_rejecting(S), "another shard is still to be asked");
    cache.record_response(S, &response(GrantDecision::OverQuota, 300_000), true);
    assert!(
        cache.is_rejecting(S + 299_999)
            && !cache.is_rejecting(S + 300_000)
            && cache.exceeds_quota(S + 300_000)
    );
    cache.record_response(S + 1, &response(GrantDecision::Granted, 0), true);
    assert!(!cache.is_rejecting(S + 2));
    assert_eq!(
        cache.reported_fill(2 * S),
        Some(ReportedFill {
            ratio: 0.25,
            age: S - 1
        })
    );
    assert_eq!(cache.reported_fill(60 * S), None, "the report is too old");
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// No node can reach an owner. The requests that all nodes admit together are bounded by the rate granted before.
    #[test]
    fn nodes_without_an_owner_admit_at_most_in_proportion_to_the_rate_granted_before(
        rate in 0.5..10.0f64, capacity in 1.0..20.0f64, nodes in 2..40usize, demand in 1.0..50.0f64, seed in 0..u64::MAX,
    ) {
        let limits = limits(rate, capacity);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut shard = QuotaShard::open(S, InitialTokens::Full, 0, &limits);
        let mut caches = vec![RejectionCache::default(); nodes];
        let step = (1e6 / demand) as Micros;
        let mut now = S;
        for serial in 0..(12.0 * demand) as u16 {
            now += step;
            let node = random.usize(0..nodes);
            let response = shard.decide_grant(now, request(node as u32, serial), &limits, USUAL_LATENCY);
            caches[node].record_response(now, &response, true);
            if response.decision == GrantDecision::Granted {
                caches[node].record_grant(now, 1.0);
            }
        }
        let (partitioned_at, mut admitted) = (now, 0);
        for _ in 0..(6.0 * demand) as u32 {
            now += step;
            let node = random.usize(0..nodes);
            admitted += u32::from(caches[node].admit_without_owner(now, 1.0));
            let elapsed_s = (now - partitioned_at) as f64 / 1e6;
            let most = 1.5 * (rate + capacity / 4.0) * (elapsed_s + 1.5) + nodes as f64;
            prop_assert!(f64::from(admitted) <= most, "{admitted} admitted after {elapsed_s} s, at most {most} allowed");
        }
    }
}

/// A node is partitioned from the owners. It continues to admit a customer that is well within its quota; a customer
/// that requests far more gets about its quota.
#[test]
fn a_partitioned_node_serves_a_customer_within_quota_and_limits_one_beyond_it() {
    let admitted_without_owner = |requests_per_s: u64| {
        let limits = limits(2.0, 6.0);
        let mut shard = QuotaShard::open(S, InitialTokens::Full, 0, &limits);
        let mut cache = RejectionCache::default();
        let mut now = S;
        for serial in 0..10 * requests_per_s {
            now += S / requests_per_s;
            if !cache.is_rejecting(now) {
                let request = request(1, serial as u16);
                let response = shard.decide_grant(now, request, &limits, USUAL_LATENCY);
                cache.record_response(now, &response, true);
                if response.decision == GrantDecision::Granted {
                    cache.record_grant(now, 1.0);
                }
            }
        }
        let mut admitted = 0;
        for _ in 0..6 * requests_per_s {
            now += S / requests_per_s;
            admitted += u32::from(cache.admit_without_owner(now, 1.0));
        }
        admitted
    };
    let within_quota = admitted_without_owner(1);
    let beyond_quota = admitted_without_owner(20);
    assert!(
        within_quota >= 5,
        "{within_quota} of 6 requests within the quota admitted"
    );
    assert!(
        (9..=24).contains(&beyond_quota),
        "{beyond_quota} of 120 requests admitted; 12 are within the quota"
    );
}
