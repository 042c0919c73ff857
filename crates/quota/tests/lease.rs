//! Leases: whatever words are lost, late, doubled or out of order, whoever restarts and however clocks run apart, the units that
//! go stay within one store of the whole.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_quota::{
    GrantDecision, GrantRequest, InitialTokens, Lease, LeaseDemand, Micros, QuotaShard,
    RejectionCache, ShardLimits, CLOCK_DRIFT_DIVISOR, LEASE_DURATION,
};
use std::collections::BTreeMap;

const MS: Micros = 1_000;
const S: Micros = 1_000_000;
const LASTS: Micros = 150_000;

/// One store of the whole, as the ledger judges: the lowest level that it would have reached.
struct Whole {
    terms: (f64, f64),
    level: f64,
    at: Micros,
}

impl Whole {
    fn new(terms: (f64, f64)) -> Whole {
        Whole {
            terms,
            level: terms.1,
            at: 0,
        }
    }

    fn goes(&mut self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.at) as f64 / 1e6;
        self.level = (self.level + self.terms.0 * span).min(self.terms.1) - 1.0;
        self.at = now;
        self.level
    }
}

/// What may be planted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The keeper goes on filling at its whole rate.
    RateKept,
    /// A borrower's lease has no end.
    NoEnd,
    /// A keeper that is back knows nothing of ceilings that it lent.
    ForgetsCeiling,
}

/// A step of a course: after how long, whose try comes, and what befalls the ask and its answer.
#[derive(Clone, Debug)]
struct Step {
    after: Micros,
    who: u32,
    ask_lost: bool,
    answer_lost: bool,
    answer_late: Micros,
    doubled: bool,
    restart: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let late = prop_oneof![3 => 0..50 * MS, 1 => 0..3 * S];
    (
        0..700 * MS,
        0..3_u32,
        any::<bool>(),
        prop::bool::weighted(0.3),
        late,
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.02),
    )
        .prop_map(
            |(after, who, lost, answer_lost, answer_late, doubled, restart)| Step {
                after,
                who,
                ask_lost: lost && answer_lost,
                answer_lost,
                answer_late,
                doubled,
                restart,
            },
        )
}

/// Plays a course of one keeper and three askers whose clocks run apart by as much as is allowed. Returns the lowest level of
/// the store and of the ceiling, and how many tries went by leases.
fn play(
    terms: &ShardLimits,
    steps: &[Step],
    restarts: bool,
    fault: Option<Fault>,
) -> (f64, f64, u32) {
    let store = (terms.rate, terms.capacity);
    let (mut whole, ceiling) = (Whole::new(store), terms.hard_limit.unwrap_or((1e9, 1e9)));
    let mut hard = Whole::new(ceiling);
    hard.level = 0.0;
    let (mut now, mut born) = (60 * S, 0);
    (whole.at, hard.at) = (now, 0);
    hard.level = ceiling.1;
    hard.at = now;
    let mut home = QuotaShard::open(now, InitialTokens::Full, now, terms);
    let mut memories = [RejectionCache::default(); 3];
    let (mut low, mut low_hard, mut by_lease) = (f64::MAX, f64::MAX, 0);
    let mut late: BTreeMap<(Micros, u32), (u32, Micros, Lease)> = BTreeMap::new();
    let mut serial = 0;
    // Clocks of askers run slow, the worst that a lender can meet.
    let clock = |now: Micros, who: u32| match who {
        0 => now,
        _ => now - now / (CLOCK_DRIFT_DIVISOR * 2) * Micros::from(who) / 2,
    };
    for step in steps {
        now += step.after;
        while let Some(first) = late.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((at, _), (who, asked, lease)) = first.remove_entry();
            memories[who as usize].lease_received(clock(at, who), clock(asked, who), 0, lease);
        }
        if step.restart && restarts {
            born = now;
            let start = InitialTokens::AccruedSince(1.0, 0);
            let up = if fault == Some(Fault::ForgetsCeiling) {
                LEASE_DURATION
            } else {
                0
            };
            home = QuotaShard::open(now, start, up, terms);
            if fault == Some(Fault::ForgetsCeiling) {
                home = QuotaShard::open(now, InitialTokens::Full, 60 * S, terms);
            }
        }
        let _ = born;
        let (who, me) = (step.who, clock(now, step.who));
        let memory = &mut memories[who as usize];
        let mut gone = memory.take_from_lease(me, 1.0, false);
        by_lease += u32::from(gone);
        if !gone && !step.ask_lost {
            serial += 1;
            let wish: LeaseDemand = memory.lease_demand(me, 0, 1.0);
            for copy in 0..=u16::from(step.doubled) {
                let ask = GrantRequest {
                    requester: who,
                    serial,
                    units: 1.0,
                };
                let said = home.request_grant(now, ask, terms, LASTS);
                let mut other = home.clone();
                let lease = match fault {
                    Some(Fault::RateKept) => other.issue_lease(now, ask, &wish, terms, 1.0),
                    _ => home.issue_lease(now, ask, &wish, terms, 1.0),
                };
                if copy == 0 {
                    gone = said.decision == GrantDecision::Granted && !step.answer_lost;
                    if gone {
                        memory.record_grant(me, 1.0);
                    }
                }
                if let Some(lease) = lease.filter(|_| !step.answer_lost) {
                    let asked = if fault == Some(Fault::NoEnd) {
                        now + 30 * S
                    } else {
                        now
                    };
                    late.insert(
                        (
                            now + step.answer_late,
                            u32::from(serial) * 2 + u32::from(copy),
                        ),
                        (who, asked, lease),
                    );
                }
            }
        }
        if !gone && step.answer_lost {
            // With no answer, what is lent goes.
            gone = memory.take_from_lease(me, 1.0, true);
            by_lease += u32::from(gone);
        }
        if gone {
            low = low.min(whole.goes(now));
            low_hard = low_hard.min(hard.goes(now));
        }
    }
    (low, low_hard, by_lease)
}

fn plan(rate: f64, depth: f64, ceiling: Option<(f64, f64)>) -> ShardLimits {
    ShardLimits {
        rate,
        capacity: depth,
        max_in_flight: None,
        hard_limit: ceiling,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases.max(400),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("proptest-regressions"))),
        ..ProptestConfig::default()
    })]

    /// No word, and no want of one, brings a store of the whole under nothing.
    #[test]
    fn what_goes_by_leases_and_by_grants_stays_within_the_whole(
        rate in 0.5..10.0f64, depth in 3.0..30.0f64, steps in prop::collection::vec(step(), 50..300),
    ) {
        let (low, _, _) = play(&plan(rate, depth, None), &steps, false, None);
        prop_assert!(low > -1e-6, "{low}");
    }

    /// Also where the keeper restarts again and again, the ceiling holds; the store may be passed by what was lent.
    #[test]
    fn a_ceiling_holds_through_restarts_of_its_keeper(
        rate in 2.0..10.0f64, depth in 4.0..30.0f64, steps in prop::collection::vec(step(), 50..300),
    ) {
        let terms = plan(1000.0, 1000.0, Some((rate, depth)));
        let (_, low, _) = play(&terms, &steps, true, None);
        prop_assert!(low > -1e-6, "{low}");
    }
}

/// The course of a busy customer, in which all that may befall does.
fn course(seed: u64) -> Vec<Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut one = |number: usize| {
        let who = random.u32(0..3);
        // One is cut off for the middle of the course.
        let cut = who == 0 && (300..600).contains(&number);
        Step {
            after: random.u64(0..120 * MS),
            who,
            ask_lost: cut,
            answer_lost: cut || random.f64() < 0.2,
            answer_late: if random.f64() < 0.2 {
                random.u64(0..3 * S)
            } else {
                random.u64(0..40 * MS)
            },
            doubled: random.f64() < 0.3,
            restart: random.f64() < 0.03,
        }
    };
    (0..900).map(&mut one).collect()
}

#[test]
fn planted_faults_pass_the_whole() {
    let terms = plan(4.0, 4.0, None);
    let hard = plan(1000.0, 1000.0, Some((6.0, 14.0)));
    let mut by_lease = 0;
    for seed in 0..40 {
        let (low, _, leases) = play(&terms, &course(seed), false, None);
        assert!(low > -1e-6, "{low}");
        by_lease += leases;
        assert!(play(&hard, &course(seed), true, None).1 > -1e-6);
    }
    assert!(by_lease > 500, "leases are used: {by_lease}");
    for fault in [Fault::RateKept, Fault::NoEnd] {
        let low = (0..40)
            .map(|seed| play(&terms, &course(seed), false, Some(fault)).0)
            .fold(f64::MAX, f64::min);
        println!("{fault:?}: {low:.1} units under nothing");
        assert!(low < -0.5, "{fault:?} is not found: {low}");
    }
    let fault = Some(Fault::ForgetsCeiling);
    assert!((0..40).any(|seed| play(&hard, &course(seed), true, fault).1 < -0.5));
}

/// Two keepers of one part that are fenced: each has its own, and one lends it while they hear each other.
#[test]
fn a_home_uses_the_whole_while_it_hears_who_stands_by_and_its_part_otherwise() {
    let (home_terms, beside_terms) = (plan(3.0, 6.0, None), plan(1.0, 2.0, None));
    let mut home = QuotaShard::open(60 * S, InitialTokens::Full, 60 * S, &home_terms);
    let mut beside = QuotaShard::open(
        60 * S,
        InitialTokens::AccruedSince(0.0, 0),
        60 * S,
        &beside_terms,
    );
    let (mut went, mut alone) = ([0_u32; 3], 0_u32);
    for tick in 0..900_u64 {
        let now = 60 * S + tick * 50 * MS;
        let third = (tick / 300) as usize;
        let ask = GrantRequest {
            requester: 5,
            serial: tick as u16,
            units: 1.0,
        };
        went[third] += u32::from(
            home.request_grant(now, ask, &home_terms, LASTS).decision == GrantDecision::Granted,
        );
        // Cut apart in the second third.
        if third != 1 && home.should_request_lease(now) {
            let serial = 10_000 + tick as u16;
            let wish = home.lease_demand(now);
            beside.status(now, &beside_terms);
            let lease = beside.issue_lease(
                now,
                GrantRequest {
                    requester: 1,
                    serial,
                    units: 0.0,
                },
                &wish,
                &beside_terms,
                1.0,
            );
            lease
                .into_iter()
                .for_each(|lease| home.lease_received(now, now, lease));
        }
        if third == 1 {
            let ask = GrantRequest {
                requester: 6,
                serial: tick as u16,
                units: 1.0,
            };
            alone += u32::from(
                beside
                    .request_grant(now, ask, &beside_terms, LASTS)
                    .decision
                    == GrantDecision::Granted,
            );
        }
    }
    // 15 s each, at 3 units a second of its own and up to 0.75 borrowed.
    assert!((50..=64).contains(&went[0]), "{went:?}");
    assert!(
        went[1] + alone <= 62,
        "both together within the whole: {went:?} {alone}"
    );
    assert!(alone >= 5, "who stands by has a part: {alone}");
    assert!(went[2] >= 48, "and it is lent again: {went:?}");
}

/// The old holder's part ends before the new one's begins: an answer that was on its way for long has little life left, and one that
/// comes later than that none, with a clock that runs slow by all that is allowed.
#[test]
fn a_lease_ends_by_when_it_was_asked_for_and_not_by_when_the_answer_came() {
    let terms = plan(4.0, 8.0, None);
    let mut home = QuotaShard::open(60 * S, InitialTokens::Full, 60 * S, &terms);
    let ask = GrantRequest {
        requester: 3,
        serial: 1,
        units: 1.0,
    };
    let asked = 60 * S;
    home.request_grant(asked + 20 * MS, ask, &terms, LASTS);
    let wish = LeaseDemand {
        rate: 2.0,
        current: None,
    };
    let lease = home
        .issue_lease(asked + 20 * MS, ask, &wish, &terms, 1.0)
        .expect("it lends");
    // From here on the keeper has it back.
    let back = asked + 20 * MS + LEASE_DURATION;
    for late in [30 * MS, 3 * S, LEASE_DURATION, 2 * LEASE_DURATION] {
        let mut memory = RejectionCache::default();
        memory.lease_received(asked + late, asked, 0, lease);
        let mut went = 0;
        for tick in 0..200 {
            // By the borrower's clock; the true time runs ahead of it by a part in a hundred.
            let local = asked + late + tick * 100 * MS;
            let truly = asked + (local - asked) * (CLOCK_DRIFT_DIVISOR + 1) / CLOCK_DRIFT_DIVISOR;
            if memory.take_from_lease(local, 1.0, true) {
                assert!(
                    truly <= back,
                    "used {} us after the keeper had it back",
                    truly - back
                );
                went += 1;
            }
        }
        assert_eq!(
            went > 0,
            late < LEASE_DURATION / 2 + S,
            "{went} after {late} us"
        );
    }
}
