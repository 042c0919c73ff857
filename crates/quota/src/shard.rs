//! What an owner keeps of a customer's quota: one part of its token bucket and of its hard limit, and permits under its limit
//! on attempts in flight.
//!
//! A shard never grants more than its token bucket holds. Each grant takes its units before the answer leaves, a request
//! that is repeated under its serial number takes none, and an answer that is lost or late gives nothing back: a granted
//! unit that is never used is lost to the customer, and not added to the quota. So the shards of a quota together grant at
//! most `burst + rate * t` units in `t` seconds, whatever messages are lost, late or duplicated. Beyond that goes only what
//! an owner grants that has lost its state (see [`InitialTokens`]), and what a standby grants while an owner that is alive
//! cannot be reached.
//!
//! Inputs are requests in quota units, [`ShardLimits`] in units a second and units, and times in µs.
//!
//! - `grants`: the decision on a grant request.
//! - `leasing`: leases that the shard issues, and the one that it holds of its standby.

mod grants;
mod leasing;

use crate::grant::{GrantDecision, GrantResponse};
use crate::lease::{ActiveLease, LeaseIssuer, LeaseScope, LEASE_DURATION};
use crate::limits::{InitialTokens, ShardLimits};
use crate::{seconds_between, Micros};
use grants::RequestRecord;
use serde::{Deserialize, Serialize};

/// One shard of a customer's quota, at its owner.
///
/// Its stored names are those that earlier builds read when a node is upgraded in place.
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
    /// Granted requests, until they can no longer be repeated.
    #[serde(rename = "granted")]
    recent_grants: Vec<RequestRecord>,
    /// Requests that hold a permit for an attempt, until it ends at the latest.
    #[serde(rename = "places")]
    in_flight: Vec<RequestRecord>,
    /// Units requested, as a moving sum over about a second.
    #[serde(rename = "asked")]
    requested_units: f64,
    #[serde(rename = "chance")]
    sampling_probability: f64,
    /// When the shard last rejected a request for want of tokens, or was opened.
    #[serde(rename = "short_at")]
    last_shortage_at: Micros,
    #[serde(rename = "lender")]
    issued_leases: LeaseIssuer,
    /// Leases on the hard limit that an earlier process of this node may have issued.
    #[serde(rename = "before")]
    predecessor_leases: LeaseIssuer,
    /// The lease that this owner holds of its standby. The node's next process requests its own.
    #[serde(skip)]
    borrowed_lease: Option<ActiveLease>,
    /// When a lease was last requested of the standby.
    #[serde(skip)]
    lease_requested_at: Micros,
}

impl QuotaShard {
    /// A shard as it starts, on a node that has been up for `uptime` µs.
    ///
    /// Its hard limit starts with what has come in during the uptime: what was granted before may have used all of it.
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
        // The node's last process may have leased a part of the hard limit that holders still use; filled by this process as
        // well, that part would pass the limit. It counts as leased until the last such lease has ended.
        let started_at = now.saturating_sub(uptime);
        shard
            .predecessor_leases
            .reserve_unknown(hard_limit, started_at.saturating_add(LEASE_DURATION));
        shard.fill_hard_limit(started_at, now, limits);
        shard
    }

    /// Fills the token buckets up to now, and drops the leases that have ended.
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
        // Leases that holders report are among those that the earlier process may have issued.
        let accrued = issued.accrued.max(predecessor.accrued);
        let capacity = issued.capacity.max(predecessor.capacity);
        let elapsed_s = seconds_between(from, now);
        self.hard_limit_tokens = (self.hard_limit_tokens + hard_limit.rate * elapsed_s - accrued)
            .min(hard_limit.capacity - capacity);
    }

    /// The state of the shard, as a granted response that takes nothing.
    pub fn status(&mut self, now: Micros, limits: &ShardLimits) -> GrantResponse {
        self.fill(now, limits);
        self.last_used_at = now;
        self.respond(GrantDecision::Granted, 0.0, limits)
    }

    /// Whether the shard can be dropped without a gain or loss of tokens: it has not been used for so many µs, is full, and
    /// has no lease issued and no permit in use.
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

    /// Units that the shard holds.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }
}
