//! Leases of a shard: those that it issues to requesters, and the one that an owner holds of its standby.
//!
//! In partition-safe mode owner and standby each have a part of the quota. While they reach each other, the owner leases the
//! standby's part; cut off from each other, each grants its own and together they stay within the quota.

use super::QuotaShard;
use crate::grant::GrantRequest;
use crate::lease::{
    ActiveLease, IssueOutcome, IssueRequest, Lease, LeaseBudget, LeaseDemand, LeaseScope,
    HARD_LIMIT_LEASE_FRACTION, QUOTA_LEASE_FRACTION,
};
use crate::limits::ShardLimits;
use crate::Micros;

/// How long a shard must have rejected no request for want of tokens before it issues leases, µs. A customer that wants all
/// of its quota would otherwise leave rate idle at nodes that its requests no longer reach.
const UNCONTENDED_AFTER: Micros = 10_000_000;
/// Shortest interval between two lease requests to the standby, which are not repeated, µs.
const LEASE_REQUEST_INTERVAL: Micros = 400_000;
/// Demand of an owner to its standby, units a second: more than can be leased, so that it is given all of that.
const OWNER_DEMAND_RATE: f64 = u8::MAX as f64;
/// An owner has one standby, so all leases that it holds are of the same issuer.
const STANDBY: u32 = 0;

impl QuotaShard {
    /// Issues a lease to a node whose grant request was just decided, and records the lease that the node still holds.
    /// `request_units` are the units of one customer request.
    ///
    /// Where attempts in flight are limited, nodes are given leases on the hard limit alone: the permits are the owner's to
    /// give, and leases are for nodes that cannot reach it.
    pub fn issue_lease(
        &mut self,
        now: Micros,
        request: GrantRequest,
        demand: &LeaseDemand,
        limits: &ShardLimits,
        request_units: f64,
    ) -> Option<Lease> {
        // Only the shard's owner requests no units, and it has the permits.
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

    /// What the shard may lease: the smaller of what its quota and its hard limit allow; `None` if neither is limited.
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

    /// Whether the shard has rejected no request for want of tokens for a while, so that no other node waits for the rate
    /// of a lease.
    pub fn is_uncontended(&self, now: Micros) -> bool {
        now >= self.last_shortage_at.saturating_add(UNCONTENDED_AFTER)
    }

    /// What this owner requests of its standby: all that it can lease.
    pub fn lease_demand(&self, now: Micros) -> LeaseDemand {
        LeaseDemand {
            rate: OWNER_DEMAND_RATE,
            current: self.borrowed_lease.and_then(|lease| lease.report(now)),
        }
    }

    /// Whether this owner should request a lease of its standby now; if so, it counts as requested.
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

    /// The standby has issued this lease, requested at that time.
    pub fn on_lease_received(&mut self, now: Micros, requested_at: Micros, lease: Lease) {
        let lease = ActiveLease::renewed(self.borrowed_lease, now, requested_at, STANDBY, lease);
        self.borrowed_lease = Some(lease);
    }
}
