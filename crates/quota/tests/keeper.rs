//! A home's part alone: what it grants under any course of asks, and what a gateway that asks makes of its words.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_quota::{
    GrantDecision, GrantRequest, GrantResponse, InitialTokens, Micros, QuotaShard, RejectionCache,
    ShardLimits, GRANT_LIFETIME,
};
use std::collections::BTreeSet;

const S: Micros = 1_000_000;
const LASTS: Micros = 150_000;

fn terms(rate: f64, depth: f64) -> ShardLimits {
    ShardLimits {
        rate,
        capacity: depth,
        max_in_flight: None,
        hard_limit: None,
    }
}

fn ask(from: u32, serial: u16) -> GrantRequest {
    GrantRequest {
        requester: from,
        serial,
        units: 1.0,
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// However asks come, twice, late or out of order: the tries let go stay under the store and the ceiling.
    #[test]
    fn never_over_the_whole_under_loss_delay_and_doubling(
        rate in 0.2..20.0f64, depth in 1.0..40.0f64, cap in 0.5..3.0f64,
        asks in prop::collection::vec((0..400_000u64, 0..6u32, 0..12u16), 1..400),
    ) {
        let ceiling = Some((rate * cap, depth * cap));
        let terms = ShardLimits { hard_limit: ceiling, ..terms(rate, depth) };
        let mut home = QuotaShard::open(0, InitialTokens::Full, 10 * S, &terms);
        let (mut now, mut gone) = (0, BTreeSet::new());
        for (after, from, serial) in asks {
            now += after;
            if home.request_grant(now, ask(from, serial), &terms, LASTS).decision == GrantDecision::Granted {
                gone.insert((from, serial));
            }
            let t = now as f64 / 1e6;
            let most = (depth + rate * t).min(cap * depth + rate * cap * t);
            prop_assert!(gone.len() as f64 <= most + 1e-6, "{} of {most}", gone.len());
        }
    }

    /// A home that is restarted grants, beyond the whole, no more than one try's units a restart where nobody tells it more.
    #[test]
    fn a_restart_costs_one_try_at_the_most(
        rate in 0.2..8.0f64, depth in 1.0..20.0f64,
        steps in prop::collection::vec((0..300_000u64, prop::bool::weighted(0.05)), 1..300),
    ) {
        let terms = terms(rate, depth);
        let mut home = QuotaShard::open(0, InitialTokens::Full, 0, &terms);
        let (mut now, mut born, mut gone, mut restarts, mut fresh) = (0, 0, 0, 0, false);
        for (serial, (after, dies)) in (0..).zip(steps) {
            now += after;
            if dies {
                (born, fresh, restarts) = (now, true, restarts + 1);
                continue;
            }
            if std::mem::take(&mut fresh) {
                home = QuotaShard::open(now, InitialTokens::AccruedSince(1.0, now - born), now - born, &terms);
            }
            gone += i32::from(home.request_grant(now, ask(1, serial), &terms, LASTS).decision == GrantDecision::Granted);
            let most = depth + rate * now as f64 / 1e6 + f64::from(restarts);
            prop_assert!(f64::from(gone) <= most + 1e-6, "{gone} of {most}");
        }
    }

    /// What a home says of how long to stay away is true: nothing could have been had before.
    #[test]
    fn nobody_is_told_to_stay_away_while_something_can_be_had(
        rate in 0.2..20.0f64, depth in 1.0..20.0f64, first in 0..50u16, early in 0.0..0.999f64,
    ) {
        let terms = terms(rate, depth);
        let mut home = QuotaShard::open(0, InitialTokens::Full, 0, &terms);
        for serial in 0..first {
            home.request_grant(0, ask(1, serial), &terms, LASTS);
        }
        let said = home.request_grant(0, ask(2, 0), &terms, LASTS);
        if said.decision == GrantDecision::OverQuota {
            let before = (said.retry_after as f64 * early) as Micros;
            prop_assert_eq!(home.clone().request_grant(before, ask(3, 0), &terms, LASTS).decision, GrantDecision::OverQuota);
            if said.retry_after < 2 * S {
                let after = said.retry_after + 1;
                prop_assert_eq!(home.request_grant(after, ask(3, 0), &terms, LASTS).decision, GrantDecision::Granted);
            }
        }
    }
}

/// Without the numbers of what was granted, a lost answer costs the customer a second unit: seen with `granted` left empty.
#[test]
fn an_ask_put_again_takes_its_units_once() {
    let terms = terms(0.001, 2.0);
    let mut home = QuotaShard::open(0, InitialTokens::Full, 0, &terms);
    for put in 0..4 {
        assert_eq!(
            home.request_grant(put * 50_000, ask(1, 9), &terms, LASTS)
                .decision,
            GrantDecision::Granted
        );
    }
    assert_eq!(
        home.request_grant(200_000, ask(2, 9), &terms, LASTS)
            .decision,
        GrantDecision::Granted,
        "the other unit is there"
    );
    assert_eq!(
        home.request_grant(GRANT_LIFETIME + 200_001, ask(1, 9), &terms, LASTS)
            .decision,
        GrantDecision::OverQuota,
        "an old one is a new one"
    );
}

/// Held for 800 ms, as it was before, a place whose return is lost keeps a customer of two places at half of its quota.
#[test]
fn a_place_whose_return_is_lost_falls_free_after_a_few_times_what_an_attempt_lasts() {
    let terms = ShardLimits {
        max_in_flight: Some(1),
        ..terms(100.0, 10.0)
    };
    let mut home = QuotaShard::open(0, InitialTokens::Full, 0, &terms);
    assert_eq!(
        home.request_grant(0, ask(1, 1), &terms, LASTS).decision,
        GrantDecision::Granted
    );
    let said = home.request_grant(LASTS, ask(2, 1), &terms, LASTS);
    assert_eq!(
        (said.decision, said.retry_after),
        (GrantDecision::TooManyInFlight, LASTS / 2)
    );
    assert_eq!(
        home.request_grant(3 * LASTS - 1, ask(2, 2), &terms, LASTS)
            .decision,
        GrantDecision::TooManyInFlight
    );
    assert_eq!(
        home.request_grant(3 * LASTS, ask(2, 3), &terms, LASTS)
            .decision,
        GrantDecision::Granted
    );
    home.release(2, 3);
    assert_eq!(
        home.request_grant(3 * LASTS + 1, ask(3, 1), &terms, LASTS)
            .decision,
        GrantDecision::Granted,
        "given back"
    );
}

#[test]
fn a_home_that_lost_its_state_goes_by_what_who_asks_was_told() {
    let terms = terms(1.0, 8.0);
    let level = |start| QuotaShard::open(20 * S, start, 0, &terms).tokens();
    assert_eq!(level(InitialTokens::Full), 8.0);
    assert_eq!(level(InitialTokens::AccruedSince(1.0, 2 * S)), 3.0);
    assert_eq!(level(InitialTokens::Reported(0.5, S)), 5.0);
    assert_eq!(level(InitialTokens::Reported(f64::MAX, S)), 8.0, "forged");
}

#[test]
fn a_customer_that_was_turned_away_is_held_off_here_and_a_grant_ends_it() {
    let said = |verdict, wait| GrantResponse {
        decision: verdict,
        sampling_probability: 1.0,
        retry_after: wait,
        fill_ratio: 0.25,
    };
    let mut memory = RejectionCache::default();
    assert!(
        !memory.is_rejecting(S)
            && memory.reported_fill(S).is_none()
            && memory.sampling_probability(S) == 1.0
    );
    memory.record_response(S, &said(GrantDecision::OverQuota, 300_000), false);
    assert!(!memory.is_rejecting(S), "another part is asked first");
    memory.record_response(S, &said(GrantDecision::OverQuota, 300_000), true);
    assert!(
        memory.is_rejecting(S + 299_999)
            && !memory.is_rejecting(S + 300_000)
            && memory.exceeds_quota(S + 300_000)
    );
    memory.record_response(S + 1, &said(GrantDecision::Granted, 0), true);
    assert!(!memory.is_rejecting(S + 2));
    assert_eq!(memory.reported_fill(2 * S), Some((0.25, S - 1)));
    assert_eq!(memory.reported_fill(60 * S), None, "too long ago");
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// Gateways that all hear no home any more: what they let go together follows from what homes granted before.
    #[test]
    fn gateways_that_hear_no_home_go_on_at_the_pace_that_homes_granted(
        rate in 0.5..10.0f64, depth in 1.0..20.0f64, nodes in 2..40usize, demand in 1.0..50.0f64, seed in 0..u64::MAX,
    ) {
        let terms = terms(rate, depth);
        let mut random = fastrand::Rng::with_seed(seed);
        let mut home = QuotaShard::open(S, InitialTokens::Full, 0, &terms);
        let mut memories = vec![RejectionCache::default(); nodes];
        let step = (1e6 / demand) as Micros;
        let mut now = S;
        for serial in 0..(12.0 * demand) as u16 {
            now += step;
            let node = random.usize(0..nodes);
            let said = home.request_grant(now, ask(node as u32, serial), &terms, LASTS);
            memories[node].record_response(now, &said, true);
            if said.decision == GrantDecision::Granted {
                memories[node].record_grant(now, 1.0);
            }
        }
        let (cut, mut gone) = (now, 0);
        for _ in 0..(6.0 * demand) as u32 {
            now += step;
            gone += u32::from(memories[random.usize(0..nodes)].admit_without_owner(now, 1.0));
            let t = (now - cut) as f64 / 1e6;
            let most = 1.5 * (rate + depth / 4.0) * (t + 1.5) + nodes as f64;
            prop_assert!(f64::from(gone) <= most, "{gone} of {most} after {t} s");
        }
    }
}

/// A customer well inside its quota is served on through a split; one that wants far more gets about its quota.
#[test]
fn a_split_neither_stops_a_calm_customer_nor_frees_a_greedy_one() {
    let served = |per_s: u64| {
        let terms = terms(2.0, 6.0);
        let mut home = QuotaShard::open(S, InitialTokens::Full, 0, &terms);
        let mut memory = RejectionCache::default();
        let mut now = S;
        for serial in 0..10 * per_s {
            now += S / per_s;
            if !memory.is_rejecting(now) {
                let said = home.request_grant(now, ask(1, serial as u16), &terms, LASTS);
                memory.record_response(now, &said, true);
                if said.decision == GrantDecision::Granted {
                    memory.record_grant(now, 1.0);
                }
            }
        }
        let mut gone = 0;
        for _ in 0..6 * per_s {
            now += S / per_s;
            gone += u32::from(memory.admit_without_owner(now, 1.0));
        }
        gone
    };
    let (calm, greedy) = (served(1), served(20));
    assert!(calm >= 5, "{calm} of 6");
    assert!(
        (9..=24).contains(&greedy),
        "{greedy} of 120, where 12 are inside"
    );
}
