//! Leases of a shard: those that it issues to requesters, and the lease that an owner holds from its standby.
//!
//! In partition-safe mode, owner and standby each have a part of the quota. While they can reach each other, the owner
//! leases the standby's part. During a partition each grants only its own part, so that together they stay within the
//! quota.

use super::QuotaShard;
use crate::grant::GrantRequest;
use crate::lease::{
    ActiveLease, IssueOutcome, IssueRequest, Lease, LeaseBudget, LeaseDemand, LeaseScope,
    HARD_LIMIT_LEASE_FRACTION, QUOTA_LEASE_FRACTION,
};
use crate::limits::ShardLimits;
use crate::Micros;

/// Time without a rejection because of too few tokens after which a shard issues leases, µs. Otherwise a customer that
/// uses its entire quota would lose the rate that is leased to nodes its requests no longer reach.
const UNCONTENDED_AFTER: Micros = 10_000_000;
/// Minimum interval between two lease requests to the standby, µs. A lost request is not repeated earlier.
const LEASE_REQUEST_INTERVAL: Micros = 400_000;
/// Demand of an owner to its standby, units per second: more than can be leased, so that the standby leases all it can.
const OWNER_DEMAND_RATE: f64 = u8::MAX as f64;
/// Issuer number for leases from the standby. An owner has only one standby, so a constant suffices.
const STANDBY: u32 = 0;

impl QuotaShard {
    /// Issues a lease to a node whose grant request was just decided, and records the lease that the node reports to
    /// hold. `request_units` are the units of one customer request.
    ///
    /// If attempts in flight are limited, nodes get leases on the hard limit only: only the owner can grant permits,
    /// and such leases are for nodes that cannot reach it.
    pub fn issue_lease(
        &mut self,
        now: Micros,
        request: GrantRequest,
        demand: &LeaseDemand,
        limits: &ShardLimits,
        request_units: f64,
    ) -> Option<Lease> {
        // Only the shard's owner sends requests for zero units. It grants the permits itself.
        let from_owner = request.units <= 0.0;
        let scope = if limits.max_in_flight.is_none() || from_owner {
            LeaseScope::Quota
        } else {
            LeaseScope::HardLimit
        };
        self.issued_leases
            .record_reported_lease(now, request.requester, demand, scope);
        let budget = self.lease_budget(limits, scope, from_owner)?;
        let issue_request = IssueRequest {
            requester: request.requester,
            serial: request.serial,
            demand_rate: demand.rate,
            request_units,
            scope,
            from_owner,
        };
        match self.issued_leases.issue(now, &issue_request, budget)? {
            IssueOutcome::Issued(lease) => {
                self.tokens -= lease.initial_tokens;
                self.hard_limit_tokens -= lease.initial_tokens;
                Some(lease)
            }
            IssueOutcome::Existing(lease) => Some(lease),
        }
    }

    /// Returns the amounts that the shard may lease: the minimum of what its quota and its hard limit allow; `None` if
    /// the customer has neither.
    fn lease_budget(
        &self,
        limits: &ShardLimits,
        scope: LeaseScope,
        from_owner: bool,
    ) -> Option<LeaseBudget> {
        let (quota_fraction, hard_limit_fraction) = if from_owner {
            (1.0, 1.0)
        } else {
            (QUOTA_LEASE_FRACTION, HARD_LIMIT_LEASE_FRACTION)
        };
        let takes_from_quota = limits.rate > 0.0 && scope == LeaseScope::Quota;
        let quota = takes_from_quota.then_some(LeaseBudget {
            rate: limits.rate * quota_fraction,
            capacity: limits.capacity * quota_fraction,
            tokens: self.tokens,
        });
        let hard_limit = limits.hard_limit.map(|limit| LeaseBudget {
            rate: limit.rate * hard_limit_fraction,
            capacity: limit.capacity * hard_limit_fraction,
            tokens: self.hard_limit_tokens,
        });
        match (quota, hard_limit) {
            (Some(quota), Some(hard_limit)) => Some(quota.min(hard_limit)),
            (quota, hard_limit) => quota.or(hard_limit),
        }
    }

    /// Returns whether the shard has recently rejected no request because of too few tokens, so that a lease takes no
    /// rate that other nodes need.
    pub fn is_uncontended(&self, now: Micros) -> bool {
        now >= self.last_shortage_at.saturating_add(UNCONTENDED_AFTER)
    }

    /// Returns this owner's demand to its standby: everything that the standby can lease.
    pub fn lease_demand(&self, now: Micros) -> LeaseDemand {
        LeaseDemand {
            rate: OWNER_DEMAND_RATE,
            current: self.borrowed_lease.and_then(|lease| lease.report(now)),
        }
    }

    /// Returns whether this owner should request a lease from its standby now. If so, the request is recorded as sent.
    pub fn should_request_lease(&mut self, now: Micros) -> bool {
        let needs_lease = self
            .borrowed_lease
            .is_none_or(|lease| lease.needs_renewal(now));
        let next_request_at = self
            .lease_requested_at
            .saturating_add(LEASE_REQUEST_INTERVAL);
        let should_request = needs_lease && now >= next_request_at;
        if should_request {
            self.lease_requested_at = now;
        }
        should_request
    }

    /// Stores a lease that the standby issued in response to a request sent at `requested_at`.
    pub fn on_lease_received(&mut self, now: Micros, requested_at: Micros, lease: Lease) {
        let lease = ActiveLease::renewed(self.borrowed_lease, now, requested_at, STANDBY, lease);
        self.borrowed_lease = Some(lease);
    }
}
