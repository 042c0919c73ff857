//! Tests of leases: the admitted requests stay within a single token bucket of the entire quota while messages are
//! lost, late, duplicated or reordered, owners restart and clocks drift.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_quota::{
    GrantDecision, GrantRequest, HardLimit, InitialTokens, Lease, LeaseDemand, Micros, QuotaShard,
    RejectionCache, ShardLimits, CLOCK_DRIFT_DIVISOR, LEASE_DURATION,
};
use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MS: Micros = 1_000;
/// Microseconds in a second.
const S: Micros = 1_000_000;
/// Usual duration of an attempt, µs.
const USUAL_LATENCY: Micros = 150_000;
/// Start time of each run, and the uptime of the owner's node at that time.
const START: Micros = 60 * S;
/// Number of nodes that request leases.
const NODES: usize = 3;
/// The node that is partitioned in the middle of a busy schedule.
const PARTITIONED_NODE: u32 = 0;
/// A hard limit that no run reaches.
const UNLIMITED: HardLimit = HardLimit {
    rate: 1e9,
    capacity: 1e9,
};

/// A token bucket of the entire quota. Its tokens become negative if more is admitted than it holds.
struct ReferenceBucket {
    limit: HardLimit,
    tokens: f64,
    filled_at: Micros,
}

impl ReferenceBucket {
    fn full(limit: HardLimit, now: Micros) -> ReferenceBucket {
        ReferenceBucket {
            limit,
            tokens: limit.capacity,
            filled_at: now,
        }
    }

    /// Takes one unit. Returns the remaining tokens, which may be negative.
    fn admit(&mut self, now: Micros) -> f64 {
        let elapsed_s = now.saturating_sub(self.filled_at) as f64 / 1e6;
        let filled = self.tokens + self.limit.rate * elapsed_s;
        self.tokens = filled.min(self.limit.capacity) - 1.0;
        self.filled_at = now;
        self.tokens
    }
}

/// A fault that a run may inject.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The issuer continues to refill at its full rate.
    IssuerKeepsFullRate,
    /// A holder's lease expires 30 s late.
    LeaseExpiresLate,
    /// An owner that restarts ignores leases on the hard limit that it issued before.
    ForgetsHardLimitLeases,
}

/// A customer request, and the failures that affect its messages.
#[derive(Clone, Debug)]
struct Step {
    /// Time since the previous step, µs.
    delay: Micros,
    node: u32,
    request_lost: bool,
    response_lost: bool,
    response_delay: Micros,
    duplicated: bool,
    owner_restarts: bool,
}

fn step() -> impl Strategy<Value = Step> {
    let response_delay = prop_oneof![3 => 0..50 * MS, 1 => 0..3 * S];
    (
        0..700 * MS,
        0..NODES as u32,
        any::<bool>(),
        prop::bool::weighted(0.3),
        response_delay,
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.02),
    )
        .prop_map(
            |(delay, node, lost, response_lost, response_delay, duplicated, owner_restarts)| Step {
                delay,
                node,
                request_lost: lost && response_lost,
                response_lost,
                response_delay,
                duplicated,
                owner_restarts,
            },
        )
}

/// The measurements of a run.
struct Outcome {
    /// Minimum tokens of the reference bucket of the entire quota.
    min_quota_tokens: f64,
    /// Minimum tokens of the reference bucket of the entire hard limit.
    min_hard_limit_tokens: f64,
    /// Number of requests admitted by a lease.
    admitted_by_lease: u32,
}

/// A message that carries a lease to a node.
struct LeaseInTransit {
    node: u32,
    requested_at: Micros,
    lease: Lease,
}

/// Returns the time of a node's clock. Requesters' clocks run slow, which is the worst case for an issuer.
fn local_time(now: Micros, node: u32) -> Micros {
    match node {
        0 => now,
        _ => now - now / (CLOCK_DRIFT_DIVISOR * 2) * Micros::from(node) / 2,
    }
}

/// An owner, and nodes whose clocks drift within the tolerated difference.
struct Run<'a> {
    limits: &'a ShardLimits,
    fault: Option<Fault>,
    now: Micros,
    shard: QuotaShard,
    caches: [RejectionCache; NODES],
    /// Messages in transit by arrival time and message number.
    in_transit: BTreeMap<(Micros, u32), LeaseInTransit>,
    last_serial: u16,
    admitted_by_lease: u32,
}

impl Run<'_> {
    fn deliver_leases(&mut self) {
        while let Some(first) = self
            .in_transit
            .first_entry()
            .filter(|entry| entry.key().0 <= self.now)
        {
            let ((arrives_at, _), message) = first.remove_entry();
            let node = message.node;
            self.caches[node as usize].on_lease_received(
                local_time(arrives_at, node),
                local_time(message.requested_at, node),
                0,
                message.lease,
            );
        }
    }

    fn restart_owner(&mut self) {
        let (initial_tokens, uptime) = if self.fault == Some(Fault::ForgetsHardLimitLeases) {
            (InitialTokens::Full, START)
        } else {
            let one_request = InitialTokens::AccruedSince {
                units: 1.0,
                elapsed: 0,
            };
            (one_request, 0)
        };
        self.shard = QuotaShard::open(self.now, initial_tokens, uptime, self.limits);
    }

    /// Processes the request of a step. Returns whether it is admitted.
    fn is_admitted(&mut self, step: &Step) -> bool {
        if self.take_from_lease(step.node, false) {
            return true;
        }
        let is_granted = !step.request_lost && self.ask_owner(step);
        // While the owner does not answer, the lease is used until it expires.
        is_granted || (step.response_lost && self.take_from_lease(step.node, true))
    }

    fn take_from_lease(&mut self, node: u32, even_if_renewal_due: bool) -> bool {
        let local_now = local_time(self.now, node);
        let has_taken =
            self.caches[node as usize].take_from_lease(local_now, 1.0, even_if_renewal_due);
        self.admitted_by_lease += u32::from(has_taken);
        has_taken
    }

    /// Sends a grant request, twice if the step duplicates it. Returns whether the node receives a grant.
    fn ask_owner(&mut self, step: &Step) -> bool {
        let local_now = local_time(self.now, step.node);
        self.last_serial += 1;
        let demand = self.caches[step.node as usize].lease_demand(local_now, 0, 1.0);
        let mut is_granted = false;
        for copy in 0..=u16::from(step.duplicated) {
            let request = GrantRequest {
                requester: step.node,
                serial: self.last_serial,
                units: 1.0,
            };
            let response = self
                .shard
                .decide_grant(self.now, request, self.limits, USUAL_LATENCY);
            let lease = self.issue_lease(request, &demand);
            if copy == 0 {
                is_granted = response.decision == GrantDecision::Granted && !step.response_lost;
                if is_granted {
                    self.caches[step.node as usize].record_grant(local_now, 1.0);
                }
            }
            if let Some(lease) = lease.filter(|_| !step.response_lost) {
                self.send_lease(step, copy, lease);
            }
        }
        is_granted
    }

    fn issue_lease(&mut self, request: GrantRequest, demand: &LeaseDemand) -> Option<Lease> {
        let (now, limits) = (self.now, self.limits);
        if self.fault == Some(Fault::IssuerKeepsFullRate) {
            let mut discarded_shard = self.shard.clone();
            return discarded_shard.issue_lease(now, request, demand, limits, 1.0);
        }
        self.shard.issue_lease(now, request, demand, limits, 1.0)
    }

    fn send_lease(&mut self, step: &Step, copy: u16, lease: Lease) {
        let requested_at = if self.fault == Some(Fault::LeaseExpiresLate) {
            self.now + 30 * S
        } else {
            self.now
        };
        let number = u32::from(self.last_serial) * 2 + u32::from(copy);
        self.in_transit.insert(
            (self.now + step.response_delay, number),
            LeaseInTransit {
                node: step.node,
                requested_at,
                lease,
            },
        );
    }
}

/// Runs a schedule. The owner restarts at the scheduled steps if `restarts` is set.
fn run(limits: &ShardLimits, schedule: &[Step], restarts: bool, fault: Option<Fault>) -> Outcome {
    let quota = HardLimit {
        rate: limits.rate,
        capacity: limits.capacity,
    };
    let mut quota = ReferenceBucket::full(quota, START);
    let mut hard_limit = ReferenceBucket::full(limits.hard_limit.unwrap_or(UNLIMITED), START);
    let (mut min_quota_tokens, mut min_hard_limit_tokens) = (f64::MAX, f64::MAX);
    let mut run = Run {
        limits,
        fault,
        now: START,
        shard: QuotaShard::open(START, InitialTokens::Full, START, limits),
        caches: [RejectionCache::default(); NODES],
        in_transit: BTreeMap::new(),
        last_serial: 0,
        admitted_by_lease: 0,
    };
    for step in schedule {
        run.now += step.delay;
        run.deliver_leases();
        if step.owner_restarts && restarts {
            run.restart_owner();
        }
        if run.is_admitted(step) {
            min_quota_tokens = min_quota_tokens.min(quota.admit(run.now));
            min_hard_limit_tokens = min_hard_limit_tokens.min(hard_limit.admit(run.now));
        }
    }
    Outcome {
        min_quota_tokens,
        min_hard_limit_tokens,
        admitted_by_lease: run.admitted_by_lease,
    }
}

fn limits(rate: f64, capacity: f64, hard_limit: Option<HardLimit>) -> ShardLimits {
    ShardLimits {
        rate,
        capacity,
        max_in_flight: None,
        hard_limit,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: ProptestConfig::default().cases.max(400),
        failure_persistence: Some(Box::new(FileFailurePersistence::WithSource("proptest-regressions"))),
        ..ProptestConfig::default()
    })]

    /// Grant requests and leases are lost, late and duplicated. The requests admitted by leases and grants together
    /// stay within a single token bucket of the quota.
    #[test]
    fn leases_and_grants_together_stay_within_the_quota(
        rate in 0.5..10.0f64, capacity in 3.0..30.0f64, schedule in prop::collection::vec(step(), 50..300),
    ) {
        let min_tokens = run(&limits(rate, capacity, None), &schedule, false, None).min_quota_tokens;
        prop_assert!(min_tokens > -1e-6, "the reference bucket fell to {min_tokens} tokens");
    }

    /// The owner restarts repeatedly while nodes hold leases that it no longer knows. The quota may be exceeded by the
    /// leased units; the hard limit must not be exceeded.
    #[test]
    fn a_hard_limit_holds_through_restarts_of_its_owner(
        rate in 2.0..10.0f64, capacity in 4.0..30.0f64, schedule in prop::collection::vec(step(), 50..300),
    ) {
        let limits = limits(1000.0, 1000.0, Some(HardLimit { rate, capacity }));
        let min_tokens = run(&limits, &schedule, true, None).min_hard_limit_tokens;
        prop_assert!(min_tokens > -1e-6, "the reference bucket fell to {min_tokens} tokens");
    }
}

/// Returns the schedule of a busy customer with all kinds of failures; one node is partitioned in the middle of it.
fn busy_schedule(seed: u64) -> Vec<Step> {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut step = |number: usize| {
        let node = random.u32(0..NODES as u32);
        let is_partitioned = node == PARTITIONED_NODE && (300..600).contains(&number);
        Step {
            delay: random.u64(0..120 * MS),
            node,
            request_lost: is_partitioned,
            response_lost: is_partitioned || random.f64() < 0.2,
            response_delay: if random.f64() < 0.2 {
                random.u64(0..3 * S)
            } else {
                random.u64(0..40 * MS)
            },
            duplicated: random.f64() < 0.3,
            owner_restarts: random.f64() < 0.03,
        }
    };
    (0..900).map(&mut step).collect()
}

/// An issuer that refills at its full rate, a lease that expires late and an owner that loses its record of
/// leases on its hard limit each let a customer exceed its limits. The same schedules must detect each of these faults,
/// and must not exceed the limits without a fault.
#[test]
fn injected_faults_exceed_the_quota_or_the_hard_limit() {
    const SEEDS: std::ops::Range<u64> = 0..40;
    let quota_limits = limits(4.0, 4.0, None);
    let hard_limit = HardLimit {
        rate: 6.0,
        capacity: 14.0,
    };
    let hard_limits = limits(1000.0, 1000.0, Some(hard_limit));
    let mut admitted_by_lease = 0;
    for seed in SEEDS {
        let outcome = run(&quota_limits, &busy_schedule(seed), false, None);
        let min_tokens = outcome.min_quota_tokens;
        assert!(
            min_tokens > -1e-6,
            "the reference bucket fell to {min_tokens} tokens"
        );
        admitted_by_lease += outcome.admitted_by_lease;
        let outcome = run(&hard_limits, &busy_schedule(seed), true, None);
        assert!(
            outcome.min_hard_limit_tokens > -1e-6,
            "the hard limit is exceeded"
        );
    }
    assert!(
        admitted_by_lease > 500,
        "too few requests admitted by leases: {admitted_by_lease}"
    );
    for fault in [Fault::IssuerKeepsFullRate, Fault::LeaseExpiresLate] {
        let min_tokens = SEEDS
            .map(|seed| {
                run(&quota_limits, &busy_schedule(seed), false, Some(fault)).min_quota_tokens
            })
            .fold(f64::MAX, f64::min);
        println!("{fault:?}: the reference bucket fell to {min_tokens:.1} tokens");
        assert!(
            min_tokens < -0.5,
            "{fault:?} is not detected: the reference bucket fell to {min_tokens} tokens"
        );
    }
    let fault = Some(Fault::ForgetsHardLimitLeases);
    assert!(SEEDS
        .map(|seed| run(&hard_limits, &busy_schedule(seed), true, fault))
        .any(|outcome| outcome.min_hard_limit_tokens < -0.5));
}

/// An owner and its standby each have a part of the quota and are partitioned for some time. While they can reach each
/// other, the owner leases the standby's part; during the partition, both together stay within the quota.
#[test]
fn an_owner_uses_the_whole_quota_unless_it_is_partitioned_from_its_standby() {
    /// Time between two requests, µs.
    const TICK: Micros = 50 * MS;
    const TICKS_PER_PHASE: u64 = 300;
    /// Index of the phase in which the two are partitioned, between one phase before and one after it.
    const PARTITION: usize = 1;
    let (owner_limits, standby_limits) = (limits(3.0, 6.0, None), limits(1.0, 2.0, None));
    let mut owner = QuotaShard::open(START, InitialTokens::Full, START, &owner_limits);
    let no_tokens = InitialTokens::AccruedSince {
        units: 0.0,
        elapsed: 0,
    };
    let mut standby = QuotaShard::open(START, no_tokens, START, &standby_limits);
    let (mut granted_by_owner, mut granted_by_standby) = ([0_u32; 3], 0_u32);
    let request = |requester, serial, units| GrantRequest {
        requester,
        serial,
        units,
    };
    let is_granted = |shard: &mut QuotaShard, now, request, limits: &ShardLimits| {
        shard
            .decide_grant(now, request, limits, USUAL_LATENCY)
            .decision
            == GrantDecision::Granted
    };
    for tick in 0..3 * TICKS_PER_PHASE {
        let now = START + tick * TICK;
        let phase = (tick / TICKS_PER_PHASE) as usize;
        let granted = is_granted(&mut owner, now, request(5, tick as u16, 1.0), &owner_limits);
        granted_by_owner[phase] += u32::from(granted);
        if phase != PARTITION && owner.should_request_lease(now) {
            let lease_request = request(1, 10_000 + tick as u16, 0.0);
            let demand = owner.lease_demand(now);
            standby.status(now, &standby_limits);
            let lease = standby.issue_lease(now, lease_request, &demand, &standby_limits, 1.0);
            if let Some(lease) = lease {
                owner.on_lease_received(now, now, lease);
            }
        }
        if phase == PARTITION {
            let request = request(6, tick as u16, 1.0);
            let granted = is_granted(&mut standby, now, request, &standby_limits);
            granted_by_standby += u32::from(granted);
        }
    }
    // Each phase lasts 15 s, with 3 units per second of the owner's own rate and up to 0.75 leased.
    assert!(
        (50..=64).contains(&granted_by_owner[0]),
        "requests granted by the owner in each phase: {granted_by_owner:?}"
    );
    assert!(
        granted_by_owner[1] + granted_by_standby <= 62,
        "owner and standby together exceed the quota: {granted_by_owner:?} {granted_by_standby}"
    );
    assert!(
        granted_by_standby >= 5,
        "the standby grants too little of its part: {granted_by_standby}"
    );
    assert!(
        granted_by_owner[2] >= 48,
        "the owner does not lease the standby's part again: {granted_by_owner:?}"
    );
}

/// The answer with a lease is late, and the holder's clock is slow by the tolerated maximum. The lease must expire
/// before the issuer reclaims its units; a lease received after that admits nothing.
#[test]
fn a_lease_duration_counts_from_its_request_and_not_from_the_answer() {
    let limits = limits(4.0, 8.0, None);
    let mut shard = QuotaShard::open(START, InitialTokens::Full, START, &limits);
    let request = GrantRequest {
        requester: 3,
        serial: 1,
        units: 1.0,
    };
    let requested_at = START;
    let answered_at = requested_at + 20 * MS;
    shard.decide_grant(answered_at, request, &limits, USUAL_LATENCY);
    let demand = LeaseDemand {
        rate: 2.0,
        current: None,
    };
    let lease = shard
        .issue_lease(answered_at, request, &demand, &limits, 1.0)
        .expect("a lease is issued");
    let ends_at_issuer = answered_at + LEASE_DURATION;
    for delay in [30 * MS, 3 * S, LEASE_DURATION, 2 * LEASE_DURATION] {
        let mut cache = RejectionCache::default();
        cache.on_lease_received(requested_at + delay, requested_at, 0, lease);
        let mut admitted = 0;
        for tick in 0..200 {
            // The true time runs ahead of the holder's clock by 1 %.
            let local_now = requested_at + delay + tick * 100 * MS;
            let elapsed = local_now - requested_at;
            let true_now = requested_at + elapsed * (CLOCK_DRIFT_DIVISOR + 1) / CLOCK_DRIFT_DIVISOR;
            if cache.take_from_lease(local_now, 1.0, true) {
                assert!(
                    true_now <= ends_at_issuer,
                    "lease used {} us after it expired at the issuer",
                    true_now - ends_at_issuer
                );
                admitted += 1;
            }
        }
        assert_eq!(
            admitted > 0,
            delay < LEASE_DURATION / 2 + S,
            "{admitted} requests admitted by a lease received after {delay} us"
        );
    }
}
