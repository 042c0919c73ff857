//! An owner's shard of a customer's quota: a part of the token bucket, of the hard limit and of the limit on attempts
//! in flight.
//!
//! A shard never grants more than its token bucket holds. Each grant takes its units before the response is sent, a
//! retransmission with the same serial number takes none, and a lost or late response returns none: a granted unit that
//! is never used is lost to the customer and not returned to the quota. The shards of a quota together therefore grant
//! at most `burst + rate * t` units in `t` seconds, whichever messages are lost, late or duplicated. There are two
//! exceptions: grants of an owner that has lost its state (see [`InitialTokens`]), and grants of a standby while a
//! running owner is unreachable.
//!
//! Amounts are in quota units, rates in units per second and times in µs.
//!
//! - `grants`: decides on grant requests.
//! - `leasing`: leases that the shard issues, and the lease that the owner holds from its standby.

mod grants;
mod leasing;

use crate::grant::{GrantDecision, GrantResponse};
use crate::lease::{ActiveLease, LeaseIssuer, LeaseScope, LEASE_DURATION};
use crate::limits::{InitialTokens, ShardLimits};
use crate::{seconds_between, Micros};
use grants::RequestRecord;
use serde::{Deserialize, Serialize};

/// The state of one shard of a customer's quota at its owner.
///
/// The serialized field names stay as they are, so that earlier and later builds can read them in an in-place upgrade.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct QuotaShard {
    #[serde(rename = "level")]
    tokens: f64,
    #[serde(rename = "ceiling")]
    hard_limit_tokens: f64,
    #[serde(rename = "filled")]
    filled_at: Micros,
    #[serde(rename = "used")]
    last_used_at: Micros,
    /// Granted requests that can still be retransmitted.
    #[serde(rename = "granted")]
    recent_grants: Vec<RequestRecord>,
    /// Requests that hold a permit for an attempt in flight, each with the time at which its permit expires.
    #[serde(rename = "places")]
    in_flight: Vec<RequestRecord>,
    /// Units requested, as an exponentially decaying sum over about a second.
    #[serde(rename = "asked")]
    requested_units: f64,
    #[serde(rename = "chance")]
    sampling_probability: f64,
    /// When the shard last rejected a request because of too few tokens, or was opened.
    #[serde(rename = "short_at")]
    last_shortage_at: Micros,
    #[serde(rename = "lender")]
    issued_leases: LeaseIssuer,
    /// Leases on the hard limit that the previous process of this node may have issued.
    #[serde(rename = "before")]
    predecessor_leases: LeaseIssuer,
    /// The lease that this owner holds from its standby. It is not stored: the node's next process requests its own.
    #[serde(skip)]
    borrowed_lease: Option<ActiveLease>,
    /// When this owner last requested a lease from its standby.
    #[serde(skip)]
    lease_requested_at: Micros,
}

impl QuotaShard {
    /// Creates a shard on a node that has been up for `uptime` µs.
    ///
    /// The bucket of its hard limit starts with the tokens that have accrued during the uptime, because grants before
    /// that may have used all earlier ones.
    pub fn open(
        now: Micros,
        initial_tokens: InitialTokens,
        uptime: Micros,
        limits: &ShardLimits,
    ) -> QuotaShard {
        let mut shard = QuotaShard {
            tokens: initial_tokens.tokens(limits),
            filled_at: now,
            last_used_at: now,
            sampling_probability: 1.0,
            last_shortage_at: now,
            ..QuotaShard::default()
        };
        let Some(hard_limit) = limits.hard_limit else {
            return shard;
        };
        // Holders may still use leases on the hard limit that the node's previous process issued. Refilling at the full
        // rate would exceed the limit, so the leasable part counts as leased until the last of these leases has
        // expired.
        let started_at = now.saturating_sub(uptime);
        shard
            .predecessor_leases
            .reserve_predecessor_leases(hard_limit, started_at.saturating_add(LEASE_DURATION));
        shard.fill_hard_limit(started_at, now, limits);
        shard
    }

    /// Refills the token buckets up to `now` and removes expired leases.
    pub fn fill(&mut self, now: Micros, limits: &ShardLimits) {
        let from = self.filled_at;
        let elapsed_s = seconds_between(from, now);
        self.filled_at = self.filled_at.max(now);
        let issued = self
            .issued_leases
            .issued_between(from, now, LeaseScope::Quota);
        self.tokens = (self.tokens + limits.rate * elapsed_s - issued.accrued)
            .min(limits.capacity - issued.capacity);
        self.fill_hard_limit(from, now, limits);
        self.issued_leases.remove_expired(now);
        self.predecessor_leases.remove_expired(now);
    }

    fn fill_hard_limit(&mut self, from: Micros, now: Micros, limits: &ShardLimits) {
        let Some(hard_limit) = limits.hard_limit else {
            return;
        };
        let issued = self
            .issued_leases
            .issued_between(from, now, LeaseScope::HardLimit);
        let predecessor = self
            .predecessor_leases
            .issued_between(from, now, LeaseScope::HardLimit);
        // Leases that holders report are already included in those that the previous process may have issued.
        let accrued = issued.accrued.max(predecessor.accrued);
        let capacity = issued.capacity.max(predecessor.capacity);
        let elapsed_s = seconds_between(from, now);
        self.hard_limit_tokens = (self.hard_limit_tokens + hard_limit.rate * elapsed_s - accrued)
            .min(hard_limit.capacity - capacity);
    }

    /// Returns the shard's state as a granted response that takes no units.
    pub fn status(&mut self, now: Micros, limits: &ShardLimits) -> GrantResponse {
        self.fill(now, limits);
        self.last_used_at = now;
        self.respond(GrantDecision::Granted, 0.0, limits)
    }

    /// Returns whether the shard can be removed without a change in the available tokens: it has been unused for
    /// `unused_for` µs, its buckets are full, and it has no active lease and no permit in use.
    pub fn is_idle(&mut self, now: Micros, limits: &ShardLimits, unused_for: Micros) -> bool {
        if now.saturating_sub(self.last_used_at) < unused_for {
            return false;
        }
        self.fill(now, limits);
        self.remove_expired_permits(now);
        let is_full = limits.rate <= 0.0 || self.tokens >= limits.capacity;
        let is_hard_limit_full = limits
            .hard_limit
            .is_none_or(|hard_limit| self.hard_limit_tokens >= hard_limit.capacity);
        is_full && self.issued_leases.is_empty() && is_hard_limit_full && self.in_flight.is_empty()
    }

    /// Returns the quota tokens as of the last refill, units. They don't include the hard limit.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
