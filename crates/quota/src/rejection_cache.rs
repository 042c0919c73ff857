//! What a node remembers of a customer's owners: until when it rejects requests on its own, how full an owner was, and what it
//! may admit while it reaches no owner.
//!
//! Inputs are owners' responses and leases, units, and times in µs. While no owner can be reached, each node admits requests
//! at the rate at which owners granted units to it. These rates sum to what the owners granted in all, at most
//! `burst + rate * t` units, so a fleet whose nodes reach no owner admits, in `t` seconds, at most 1.5 times that rate, 1.5
//! seconds of it at once, and one request for each node that knew nothing of the customer.

use crate::grant::{GrantDecision, GrantResponse};
use crate::lease::{ActiveLease, Lease, LeaseDemand};
use crate::limits::ReportedFill;
use crate::{seconds_between, Micros, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Time in which a reported sampling probability returns to 1, µs.
const SAMPLING_LIFETIME: f64 = 2e6;
/// How long a reported fill counts, µs; an older one says nothing of the present.
const REPORTED_FILL_LIFETIME: Micros = 15_000_000;
/// Time constant of the mean rate of grants, µs: long beside the intervals between a customer's requests, short beside the
/// time in which its traffic moves to other nodes.
const GRANTED_RATE_WINDOW: f64 = 4e6;
/// Rate at which requests are admitted while no owner is reached, as a multiple of the rate granted before.
const OFFLINE_RATE_RATIO: f64 = 1.0;
/// The same where the customer was within its quota, and the owner's shard at least [`SPARE_FILL_RATIO`] full: that leaves
/// capacity for a customer that asks for more than before.
const OFFLINE_RATE_RATIO_WITH_SPARE: f64 = 1.5;
/// Reported fill from which on the shard counts as having capacity to spare.
const SPARE_FILL_RATIO: f64 = 0.5;
/// Capacity of the token bucket for that time, seconds of its rate.
const OFFLINE_CAPACITY_S: f64 = 1.5;
/// Least capacity of that token bucket, units: one request of a customer that this node knew nothing of.
const MIN_OFFLINE_CAPACITY: f64 = 1.0;
/// How long a customer that an owner rejected counts as one that exceeds its quota, µs.
const OVER_QUOTA_LIFETIME: Micros = 5_000_000;

/// What owners have answered about one customer.
///
/// Its stored names are those that earlier builds read when a node is upgraded in place.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RejectionCache {
    /// Fraction of the customer's requests for which an owner should be asked, and when that was received.
    #[serde(rename = "chance")]
    sampling_probability: f64,
    #[serde(rename = "chance_at")]
    sampled_at: Micros,
    /// Until when no request can be granted.
    #[serde(rename = "held_until")]
    rejecting_until: Micros,
    /// Fill of an owner's shard, and when that was received.
    #[serde(rename = "level")]
    reported_fill: f64,
    #[serde(rename = "level_at")]
    reported_at: Micros,
    /// When an owner last rejected a request for want of tokens.
    #[serde(rename = "short_at")]
    over_quota_at: Micros,
    /// Units a second that owners granted here lately, as of a time.
    #[serde(rename = "granted")]
    granted_rate: f64,
    #[serde(rename = "granted_at")]
    granted_rate_at: Micros,
    /// Units that may be admitted while no owner is reached, as of a time; `None` while owners are reached.
    #[serde(rename = "alone")]
    offline_tokens: Option<f64>,
    #[serde(rename = "alone_at")]
    offline_tokens_at: Micros,
    /// The lease that an owner has issued. It isn't handed to another process of this node, as both would use it.
    #[serde(skip)]
    lease: Option<ActiveLease>,
}

impl Default for RejectionCache {
    fn default() -> Self {
        RejectionCache {
            sampling_probability: 1.0,
            sampled_at: 0,
            rejecting_until: 0,
            reported_fill: 1.0,
            reported_at: 0,
            over_quota_at: 0,
            granted_rate: 0.0,
            granted_rate_at: 0,
            offline_tokens: None,
            offline_tokens_at: 0,
            lease: None,
        }
    }
}

impl RejectionCache {
    /// An owner has granted so many units here. Owners are reached again.
    pub fn record_grant(&mut self, now: Micros, units: f64) {
        self.add_granted_units(now, units);
        self.offline_tokens = None;
    }

    fn add_granted_units(&mut self, now: Micros, units: f64) {
        self.granted_rate = self.granted_rate_with(now, units);
        self.granted_rate_at = now;
    }

    /// Units a second that owners granted lately.
    fn current_granted_rate(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.granted_rate_at) as f64;
        self.granted_rate * (-elapsed / GRANTED_RATE_WINDOW).exp()
    }

    /// The same with so many more units granted now.
    fn granted_rate_with(&self, now: Micros, units: f64) -> f64 {
        self.current_granted_rate(now) + units * MICROS_PER_SECOND / GRANTED_RATE_WINDOW
    }

    /// Takes so many units of the lease if it has them; whether it had.
    ///
    /// A lease that is due for renewal is used only with `in_renewal_window`, where no owner will be asked for this request:
    /// otherwise that grant request brings the renewal.
    pub fn take_from_lease(&mut self, now: Micros, units: f64, in_renewal_window: bool) -> bool {
        let Some(lease) = &mut self.lease else {
            return false;
        };
        let is_usable = in_renewal_window || !lease.needs_renewal(now);
        let takes = is_usable && lease.take(now, units);
        if takes {
            self.add_granted_units(now, units);
        }
        takes
    }

    /// The lease to request of an owner, by its number, along with a grant of so many units.
    pub fn lease_demand(&self, now: Micros, owner: u32, units: f64) -> LeaseDemand {
        LeaseDemand {
            rate: self.granted_rate_with(now, units),
            current: self
                .lease
                .filter(|lease| lease.issuer == owner)
                .and_then(|lease| lease.report(now)),
        }
    }

    /// An owner, by its number, has issued this lease, requested at that time.
    pub fn on_lease_received(
        &mut self,
        now: Micros,
        requested_at: Micros,
        owner: u32,
        lease: Lease,
    ) {
        let lease = ActiveLease::renewed(self.lease, now, requested_at, owner, lease);
        self.lease = Some(lease);
    }

    /// Whether a request of so many units is admitted while no owner is reached; it takes its units then.
    pub fn admit_without_owner(&mut self, now: Micros, units: f64) -> bool {
        if self.offline_tokens.is_none() {
            // The rate decays only while owners are reached, and is fixed from then on.
            self.granted_rate = self.current_granted_rate(now);
        }
        let tokens = self.filled_offline_tokens(now);
        self.offline_tokens_at = now;
        let is_admitted = tokens >= units;
        self.offline_tokens = Some(if is_admitted { tokens - units } else { tokens });
        is_admitted
    }

    /// Tokens for the time without owners, filled up to now.
    fn filled_offline_tokens(&self, now: Micros) -> f64 {
        let exceeds_quota = self.exceeds_quota(now);
        let has_spare = self.reported_fill >= SPARE_FILL_RATIO && !exceeds_quota;
        let ratio = if has_spare {
            OFFLINE_RATE_RATIO_WITH_SPARE
        } else {
            OFFLINE_RATE_RATIO
        };
        let rate = self.granted_rate * ratio;
        let capacity = rate * OFFLINE_CAPACITY_S;
        let elapsed_s = seconds_between(self.offline_tokens_at, now);
        match self.offline_tokens {
            Some(tokens) => (tokens + rate * elapsed_s).min(capacity.max(MIN_OFFLINE_CAPACITY)),
            None if exceeds_quota => capacity,
            None => capacity.max(MIN_OFFLINE_CAPACITY),
        }
    }

    /// Records an owner's response. `is_last_shard`: no other shard of the quota will be asked for the same request, so a
    /// rejection holds for the requests to come.
    pub fn record_response(&mut self, now: Micros, response: &GrantResponse, is_last_shard: bool) {
        self.sampling_probability = response.sampling_probability.clamp(0.0, 1.0);
        self.sampled_at = now;
        self.reported_fill = response.fill_ratio;
        self.reported_at = now;
        if response.decision == GrantDecision::Granted {
            self.rejecting_until = 0;
            return;
        }
        if response.decision != GrantDecision::TooManyInFlight {
            self.over_quota_at = now;
        }
        if is_last_shard {
            self.rejecting_until = now.saturating_add(response.retry_after);
        }
    }

    /// Whether no request can be granted now: no tokens can have come in since an owner's rejection.
    pub fn is_rejecting(&self, now: Micros) -> bool {
        now < self.rejecting_until
    }

    /// Fraction of the customer's requests for which an owner should be asked now, 0 to 1.
    pub fn sampling_probability(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.sampled_at) as f64;
        let recovered = (elapsed / SAMPLING_LIFETIME).min(1.0);
        self.sampling_probability + (1.0 - self.sampling_probability) * recovered
    }

    /// The last reported fill of an owner's shard; `None` if there is none or it is too old.
    pub fn reported_fill(&self, now: Micros) -> Option<ReportedFill> {
        let age = now.saturating_sub(self.reported_at);
        let is_current = self.reported_at > 0 && age < REPORTED_FILL_LIFETIME;
        is_current.then_some(ReportedFill {
            ratio: self.reported_fill,
            age,
        })
    }

    /// Whether an owner lately found that the customer exceeds its quota.
    pub fn exceeds_quota(&self, now: Micros) -> bool {
        self.over_quota_at > 0 && now.saturating_sub(self.over_quota_at) < OVER_QUOTA_LIFETIME
    }
}
