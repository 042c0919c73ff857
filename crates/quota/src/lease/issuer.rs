//! The leases that a shard has issued.
//!
//! A shard leases at most a fixed fraction of its rate and capacity, and excludes leased amounts from its own token
//! buckets until the leases expire. Rates are in units per second and capacities in units. [`LeaseIssuer::issue`]
//! returns a lease, and [`LeaseIssuer::issued_between`] the amounts to exclude. See [`super`] for why the sum of all
//! tokens stays within the quota.

use super::{Lease, LeaseDemand, LEASE_DURATION, RENEWAL_WINDOW};
use crate::limits::HardLimit;
use crate::{Micros, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Maximum fraction of a shard's quota that is leased. The rest is for nodes without a lease.
pub(crate) const QUOTA_LEASE_FRACTION: f64 = 0.75;
/// Maximum fraction of a shard's hard limit that is leased. A newly opened shard must count all of this fraction as
/// leased for one lease duration, so a larger one would leave little for grants.
pub(crate) const HARD_LIMIT_LEASE_FRACTION: f64 = 0.35;
/// Capacity of a lease in seconds of its rate. The capacity is at least the units of one request.
const LEASE_CAPACITY_S: f64 = 1.0;
/// Rate of a lease as a multiple of the requester's demand. The demand is its recently granted rate, which fluctuates.
const DEMAND_MULTIPLE: f64 = 1.25;
/// Maximum number of active leases of one shard; bounds memory.
const MAX_ISSUED_LEASES: usize = 64;
/// Demand below which no lease is issued, units per second: the lease would expire before the requester's next request.
const MIN_DEMAND_RATE: f64 = 0.4;
/// Minimum rate of a lease, units per second.
const MIN_LEASE_RATE: f64 = 0.05;
/// Minimum demand for a renewal as a fraction of the lease's rate. Below it the lease is left to expire.
const MIN_RENEWAL_FRACTION: f64 = 0.5;
/// How much earlier than the renewal window a renewal request may arrive, µs.
const RENEWAL_TOLERANCE: Micros = LEASE_DURATION / 10;
/// Tokens that a shard needs in order to issue a lease with initial tokens, as a multiple of the units of one request.
const INITIAL_TOKENS_RESERVE: f64 = 2.0;
/// Placeholder for the unknown holders of leases that the previous process may have issued.
const UNKNOWN_HOLDER: u32 = u32::MAX;

/// The limits of a shard from which a lease takes its rate and capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaseScope {
    /// The quota, and the hard limit if the customer has one.
    Quota,
    /// Only the hard limit.
    HardLimit,
}

/// The amounts that a shard may lease.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseBudget {
    /// Maximum sum of leased rates, units per second.
    pub(crate) rate: f64,
    /// Maximum sum of leased capacities, units.
    pub(crate) capacity: f64,
    /// The shard's current tokens, units.
    pub(crate) tokens: f64,
}

impl LeaseBudget {
    /// Returns the minimum of each amount.
    pub(crate) fn min(self, other: LeaseBudget) -> LeaseBudget {
        LeaseBudget {
            rate: self.rate.min(other.rate),
            capacity: self.capacity.min(other.capacity),
            tokens: self.tokens.min(other.tokens),
        }
    }
}

/// A request for a lease, as the issuer evaluates it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IssueRequest {
    /// The number of the requesting node.
    pub(crate) requester: u32,
    /// The requester's serial number of this request; a retransmission has the same number.
    pub(crate) serial: u16,
    /// Rate that the requester would use, units per second.
    pub(crate) demand_rate: f64,
    /// Units of one customer request.
    pub(crate) request_units: f64,
    /// The limits from which the lease takes.
    pub(crate) scope: LeaseScope,
    /// Whether the requester is the shard's owner, which may lease all of the available capacity.
    pub(crate) from_owner: bool,
}

/// The result of a lease request that was not rejected.
#[derive(Clone, Copy, Debug)]
pub(crate) enum IssueOutcome {
    /// A new lease. The caller must deduct its initial tokens from the shard.
    Issued(Lease),
    /// A lease issued before: repeated in response to a retransmission, or renewed.
    Existing(Lease),
}

/// Amounts that leases exclude from a shard's token bucket over a time span.
#[derive(Clone, Copy, Debug)]
pub(crate) struct IssuedAmounts {
    /// Units that holders accrued within the span.
    pub(crate) accrued: f64,
    /// Sum of leased capacities at the end of the span, units.
    pub(crate) capacity: f64,
}

/// A lease at its issuer. The serialized field names stay as they are, so that earlier and later builds can read them
/// in an in-place upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct IssuedLease {
    #[serde(rename = "from")]
    holder: u32,
    serial: u16,
    #[serde(rename = "loan")]
    lease: Lease,
    #[serde(rename = "until")]
    expires_at: Micros,
    /// Whether the lease takes from the quota as well as from the hard limit.
    #[serde(rename = "of_store")]
    takes_from_quota: bool,
}

impl IssuedLease {
    /// Returns whether the lease takes from the given limit. All leases take from the hard limit.
    fn takes_from(&self, scope: LeaseScope) -> bool {
        self.takes_from_quota || scope == LeaseScope::HardLimit
    }

    /// Returns the units that the holder accrues between two times.
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
    /// Returns the amounts that the leases exclude from the quota or from the hard limit between two times.
    pub(crate) fn issued_between(
        &self,
        from: Micros,
        to: Micros,
        scope: LeaseScope,
    ) -> IssuedAmounts {
        let leases = || self.leases.iter().filter(|lease| lease.takes_from(scope));
        let active = leases().filter(|lease| lease.expires_at > to);
        IssuedAmounts {
            accrued: leases().map(|lease| lease.accrued_between(from, to)).sum(),
            capacity: active.map(|lease| lease.lease.capacity).sum(),
        }
    }

    pub(crate) fn remove_expired(&mut self, now: Micros) {
        self.leases.retain(|lease| lease.expires_at > now);
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Records a lease that its holder reports and that this issuer does not know.
    ///
    /// An owner that restarted has lost the leases that it issued. If it refilled at its full rate, it would grant
    /// units that the holders use as well. It therefore excludes the reported leases from its own rate.
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

    /// Counts all of the leasable fraction of a hard limit as leased until `until`, because the previous process may
    /// have leased it.
    pub(crate) fn reserve_predecessor_leases(&mut self, hard_limit: HardLimit, until: Micros) {
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

    /// Issues, renews or repeats a lease. Returns `None` if the requester's demand is too low for a lease, a renewal is
    /// not due, or nothing is left to lease.
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

    /// Returns the lease issued for an earlier copy of this request.
    fn repeated(&self, request: &IssueRequest) -> Option<Lease> {
        self.leases
            .iter()
            .find(|lease| lease.holder == request.requester && lease.serial == request.serial)
            .map(|lease| lease.lease)
    }

    /// Returns the requester's lease that this request would renew.
    fn current_lease(&mut self, request: &IssueRequest) -> Option<&mut IssuedLease> {
        let takes_from_quota = request.scope == LeaseScope::Quota;
        self.leases.iter_mut().find(|lease| {
            lease.holder == request.requester && lease.takes_from_quota == takes_from_quota
        })
    }

    /// Returns the terms of a new lease within the remaining budget; `None` if too little is left.
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
        // The holder may become partitioned at any time, so it gets the units of one request immediately if the shard
        // has enough tokens left.
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

/// Extends a lease that is about to expire. Returns `None` if it is too early or the lease is too large for the demand.
///
/// The renewed lease has the same rate and capacity, so the holder's refill is not interrupted.
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
