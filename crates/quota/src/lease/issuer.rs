//! The leases that a shard has issued: a shard leases no more than a fixed fraction of its rate and capacity, and counts
//! what it has leased as gone until the lease's end.
//!
//! Inputs are a requester's demand in units a second and what the shard may lease in units a second and units;
//! [`LeaseIssuer::issue`] returns the lease, and [`LeaseIssuer::issued_between`] what the shard must not count as its own. See
//! [`super`] for why the sum of all tokens stays within the quota.

use super::{Lease, LeaseDemand, LEASE_DURATION, RENEWAL_WINDOW};
use crate::limits::HardLimit;
use crate::{Micros, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Fraction of a shard's quota that is leased at most. The rest serves nodes without a lease.
pub(crate) const QUOTA_LEASE_FRACTION: f64 = 0.75;
/// Fraction of a shard's hard limit that is leased at most. A shard that has just been opened must count all of it as leased
/// for one lease duration, so a larger one would leave little for grants.
pub(crate) const HARD_LIMIT_LEASE_FRACTION: f64 = 0.35;
/// Capacity of a lease, seconds of its rate, unless the units of one request are more.
const LEASE_CAPACITY_S: f64 = 1.0;
/// Rate of a lease as a multiple of the rate that the requester was granted lately, which fluctuates.
const DEMAND_MULTIPLE: f64 = 1.25;
/// Most leases of one shard at a time; bounds memory.
const MAX_ISSUED_LEASES: usize = 64;
/// Demand below which no lease is issued, units a second: it would end before the requester's next request.
const MIN_DEMAND_RATE: f64 = 0.4;
/// Smallest rate of a lease, units a second.
const MIN_LEASE_RATE: f64 = 0.05;
/// A lease is renewed for a demand of at least this fraction of its rate; otherwise it expires.
const MIN_RENEWAL_FRACTION: f64 = 0.5;
/// Allowance for requests for renewal that arrive early, µs.
const RENEWAL_TOLERANCE: Micros = LEASE_DURATION / 10;
/// Tokens that a shard must have for a lease to come with the units of one request, as a multiple of these.
const INITIAL_TOKENS_RESERVE: f64 = 2.0;
/// Stands for the unknown holders of leases that an earlier process may have issued.
const UNKNOWN_HOLDER: u32 = u32::MAX;

/// The limits of a shard that a lease takes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseScope {
    /// The quota, and the hard limit if there is one.
    Quota,
    /// The hard limit alone.
    HardLimit,
}

/// What a shard may lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseBudget {
    /// Units a second, leased ones included.
    pub(crate) rate: f64,
    /// Units, leased capacities included.
    pub(crate) capacity: f64,
    /// Tokens that the shard has now.
    pub(crate) tokens: f64,
}

impl LeaseBudget {
    /// The smaller of each.
    pub(crate) fn min(self, other: LeaseBudget) -> LeaseBudget {
        LeaseBudget {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
            tokens: self.tokens.min(other.tokens),
        }
    }
}

/// A request for a lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IssueRequest {
    /// The node that asks.
    pub(crate) requester: u32,
    /// The requester's number for this request; a repetition has the same.
    pub(crate) serial: u16,
    /// Units a second that the requester would use.
    pub(crate) demand_rate: f64,
    /// Units of one customer request.
    pub(crate) request_units: f64,
    /// What the lease takes from.
    pub(crate) scope: LeaseScope,
    /// Whether the requester is the owner of the shard, which may use all capacity that can be leased.
    pub(crate) from_owner: bool,
}

/// How a request for a lease was served.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IssueOutcome {
    /// A new lease, whose initial tokens the shard gives away.
    Issued(Lease),
    /// A lease that already stood: repeated to its holder, or renewed.
    Existing(Lease),
}

/// Amounts that leases withhold from a shard.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IssuedAmounts {
    /// Units that holders have accrued within the span.
    pub(crate) accrued: f64,
    /// Capacity that is leased at the end of the span.
    pub(crate) capacity: f64,
}

/// A lease at its issuer. Its stored names are those that earlier builds read when a node is upgraded in place.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct IssuedLease {
    #[serde(rename = "from")]
    holder: u32,
    serial: u16,
    #[serde(rename = "loan")]
    lease: Lease,
    #[serde(rename = "until")]
    expires_at: Micros,
    /// Whether it takes from the quota too, or from the hard limit alone.
    #[serde(rename = "of_store")]
    takes_from_quota: bool,
}

impl IssuedLease {
    /// Whether it takes from the quota or, as each does, from the hard limit.
    fn takes_from(&self, scope: LeaseScope) -> bool {
        self.takes_from_quota || scope == LeaseScope::HardLimit
    }

    /// Units that the holder accrues between two times.
    fn accrued_between(&self, from: Micros, to: Micros) -> f64 {
        let span = self.expires_at.min(to).saturating_sub(from);
        self.lease.rate * span as f64 / MICROS_PER_SECOND
    }
}

/// The leases that a shard has issued.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct LeaseIssuer {
    #[serde(rename = "lent")]
    leases: Vec<IssuedLease>,
}

impl LeaseIssuer {
    /// What the leases withhold between two times from the quota or from the hard limit.
    pub(crate) fn issued_between(
        &self,
        from: Micros,
        to: Micros,
        scope: LeaseScope,
    ) -> IssuedAmounts {
        let leases = || self.leases.iter().filter(|lease| lease.takes_from(scope));
        let standing = leases().filter(|lease| lease.expires_at > to);
        IssuedAmounts {
            accrued: leases().map(|lease| lease.accrued_between(from, to)).sum(),
            capacity: standing.map(|lease| lease.lease.capacity).sum(),
        }
    }

    /// Drops the leases that have ended.
    pub(crate) fn remove_expired(&mut self, now: Micros) {
        self.leases.retain(|lease| lease.expires_at > now);
    }

    /// Whether no lease is issued.
    pub(crate) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Records a lease that its holder reports and that is not known here.
    ///
    /// An owner that restarted has lost the leases that it issued. Filling at its whole rate, it would grant units that the
    /// holders use as well; with the reported leases recorded it fills at the rest.
    pub(crate) fn record_reported_lease(
        &mut self,
        now: Micros,
        holder: u32,
        demand: &LeaseDemand,
        scope: LeaseScope,
    ) {
        let Some(report) = demand.current else {
            return;
        };
        let is_known = self
            .leases
            .iter()
            .any(|lease| lease.holder == holder && lease.expires_at > now);
        if is_known || self.leases.len() >= MAX_ISSUED_LEASES {
            return;
        }
        self.leases.push(IssuedLease {
            holder,
            serial: 0,
            lease: Lease {
                rate: report.rate,
                capacity: report.capacity,
                initial_tokens: 0.0,
            },
            expires_at: now.saturating_add(report.remaining.min(LEASE_DURATION)),
            takes_from_quota: scope == LeaseScope::Quota,
        });
    }

    /// Counts as leased, until that time, all of a hard limit that an earlier process may have leased.
    pub(crate) fn reserve_unknown(&mut self, hard_limit: HardLimit, until: Micros) {
        self.leases.push(IssuedLease {
            holder: UNKNOWN_HOLDER,
            serial: 0,
            lease: Lease {
                rate: hard_limit.rate * HARD_LIMIT_LEASE_FRACTION,
                capacity: hard_limit.capacity * HARD_LIMIT_LEASE_FRACTION,
                initial_tokens: 0.0,
            },
            expires_at: until,
            takes_from_quota: false,
        });
    }

    /// Issues, renews or repeats a lease. `None` if the requester has no use for one or nothing is left to lease.
    pub(crate) fn issue(
        &mut self,
        now: Micros,
        request: &IssueRequest,
        budget: LeaseBudget,
    ) -> Option<IssueOutcome> {
        self.remove_expired(now);
        if let Some(lease) = self.repeated(request) {
            return Some(IssueOutcome::Existing(lease));
        }
        if request.demand_rate < MIN_DEMAND_RATE {
            return None;
        }
        if let Some(current) = self.current_lease(request) {
            return renew(current, now, request).map(IssueOutcome::Existing);
        }
        if self.leases.len() >= MAX_ISSUED_LEASES {
            return None;
        }
        let lease = self.new_lease(request, budget)?;
        self.leases.push(IssuedLease {
            holder: request.requester,
            serial: request.serial,
            lease,
            expires_at: now.saturating_add(LEASE_DURATION),
            takes_from_quota: request.scope == LeaseScope::Quota,
        });
        Some(IssueOutcome::Issued(lease))
    }

    /// The lease that an earlier copy of this request was given.
    fn repeated(&self, request: &IssueRequest) -> Option<Lease> {
        self.leases
            .iter()
            .find(|lease| lease.holder == request.requester && lease.serial == request.serial)
            .map(|lease| lease.lease)
    }

    /// The lease of the requester that this request would renew.
    fn current_lease(&mut self, request: &IssueRequest) -> Option<&mut IssuedLease> {
        let takes_from_quota = request.scope == LeaseScope::Quota;
        self.leases.iter_mut().find(|lease| {
            lease.holder == request.requester && lease.takes_from_quota == takes_from_quota
        })
    }

    /// A lease of what is left to lease.
    fn new_lease(&self, request: &IssueRequest, budget: LeaseBudget) -> Option<Lease> {
        let leased =
            |amount: fn(&Lease) -> f64| self.leases.iter().map(|l| amount(&l.lease)).sum::<f64>();
        let free_rate = budget.rate - leased(|lease| lease.rate);
        let free_capacity = budget.capacity - leased(|lease| lease.capacity);
        let rate = (request.demand_rate * DEMAND_MULTIPLE).min(free_rate);
        if rate < MIN_LEASE_RATE || free_capacity < request.request_units {
            return None;
        }
        let capacity = if request.from_owner {
            free_capacity
        } else {
            (rate * LEASE_CAPACITY_S)
                .max(request.request_units)
                .min(free_capacity)
        };
        // A node may be cut off at any time: where the shard can spare them, it has the units of one request at once.
        let can_spare = budget.tokens >= INITIAL_TOKENS_RESERVE * request.request_units;
        let initial_tokens = if request.scope == LeaseScope::Quota && can_spare {
            request.request_units
        } else {
            0.0
        };
        Some(Lease {
            rate,
            capacity,
            initial_tokens,
        })
    }
}

/// Extends a lease that is about to end. The renewed lease has the same rate and capacity, so the holder's rate has no gap.
fn renew(current: &mut IssuedLease, now: Micros, request: &IssueRequest) -> Option<Lease> {
    let is_early = current.expires_at > now + RENEWAL_WINDOW + RENEWAL_TOLERANCE;
    let is_oversized =
        request.demand_rate * DEMAND_MULTIPLE < current.lease.rate * MIN_RENEWAL_FRACTION;
    if is_early || is_oversized {
        return None;
    }
    current.serial = request.serial;
    current.expires_at = now.saturating_add(LEASE_DURATION);
    current.lease.initial_tokens = 0.0;
    Some(current.lease)
}
