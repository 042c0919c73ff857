//! Per-customer cache of owners' responses at a requesting node.
//!
//! It determines until when the node rejects requests locally, stores the last reported fill ratio, holds a lease, and
//! limits what the node admits while no owner is reachable. Amounts are in quota units and times in µs.
//!
//! While no owner is reachable, each node admits requests at the rate at which owners granted units to it before. These
//! rates sum to the total that the owners granted, at most `burst + rate * t` units. In `t` seconds without owners, a
//! fleet therefore admits at most 1.5 times that rate, plus a burst of 1.5 seconds of it, plus one request for each
//! node that had no information about the customer.

use crate::grant::{GrantDecision, GrantResponse};
use crate::lease::{ActiveLease, Lease, LeaseDemand};
use crate::limits::ReportedFill;
use crate::{seconds_between, Micros, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Time in which a reported sampling probability recovers linearly to 1, µs.
const SAMPLING_LIFETIME: f64 = 2e6;
/// Maximum age of a reported fill ratio, µs. An older one does not reflect the shard's current state.
const REPORTED_FILL_LIFETIME: Micros = 15_000_000;
/// Time constant of the moving average of the granted rate, µs: long compared with the intervals between a customer's
/// requests, short compared with the time in which its traffic moves to other nodes.
const GRANTED_RATE_WINDOW: f64 = 4e6;
/// Admission rate while no owner is reachable, as a multiple of the rate granted before.
const OFFLINE_RATE_RATIO: f64 = 1.0;
/// Replaces [`OFFLINE_RATE_RATIO`] if the customer was within its quota and the owner's shard was at least
/// [`SPARE_FILL_RATIO`] full: the customer may then send more than before.
const OFFLINE_RATE_RATIO_WITH_SPARE: f64 = 1.5;
/// Minimum reported fill ratio at which the shard has spare capacity.
const SPARE_FILL_RATIO: f64 = 0.5;
/// Capacity of the token bucket that is used while no owner is reachable, in seconds of its rate.
const OFFLINE_CAPACITY_S: f64 = 1.5;
/// Minimum capacity of that token bucket, units: one request of a customer about which this node has no information.
const MIN_OFFLINE_CAPACITY: f64 = 1.0;
/// Time for which a customer counts as exceeding its quota after an owner's rejection, µs.
const OVER_QUOTA_LIFETIME: Micros = 5_000_000;

/// A node's cache of owners' responses about one customer.
///
/// The serialized field names stay as they are, so that earlier and later builds can read them in an in-place upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RejectionCache {
    /// Fraction of the customer's requests for which to send a grant request, as received at `sampled_at`.
    #[serde(rename = "chance")]
    sampling_probability: f64,
    #[serde(rename = "chance_at")]
    sampled_at: Micros,
    /// Time before which no request can be granted.
    #[serde(rename = "held_until")]
    rejecting_until: Micros,
    /// Fill ratio of an owner's shard, as received at `reported_at`.
    #[serde(rename = "level")]
    reported_fill: f64,
    #[serde(rename = "level_at")]
    reported_at: Micros,
    /// When an owner last rejected a request because of too few tokens.
    #[serde(rename = "short_at")]
    over_quota_at: Micros,
    /// Moving average of the rate granted to this node, units per second, as of `granted_rate_at`.
    #[serde(rename = "granted")]
    granted_rate: f64,
    #[serde(rename = "granted_at")]
    granted_rate_at: Micros,
    /// Units that may be admitted while no owner is reachable, as of `offline_tokens_at`; `None` while owners are
    /// reachable.
    #[serde(rename = "alone")]
    offline_tokens: Option<f64>,
    #[serde(rename = "alone_at")]
    offline_tokens_at: Micros,
    /// The current lease. It is not passed to this node's next process, because both processes would use it.
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
    /// Records that an owner granted units to this node, so that owners are reachable again.
    pub fn record_grant(&mut self, now: Micros, units: f64) {
        self.add_granted_units(now, units);
        self.offline_tokens = None;
    }

    fn add_granted_units(&mut self, now: Micros, units: f64) {
        self.granted_rate = self.granted_rate_with(now, units);
        self.granted_rate_at = now;
    }

    /// Returns the moving average of the granted rate, units per second.
    fn current_granted_rate(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.granted_rate_at) as f64;
        self.granted_rate * (-elapsed / GRANTED_RATE_WINDOW).exp()
    }

    /// Returns the moving average of the granted rate as if `units` were granted now.
    fn granted_rate_with(&self, now: Micros, units: f64) -> f64 {
        self.current_granted_rate(now) + units * MICROS_PER_SECOND / GRANTED_RATE_WINDOW
    }

    /// Takes units from the lease. Returns whether it had enough.
    ///
    /// A lease that is due for renewal is used only if `even_if_renewal_due` is set, that is, if no grant request will
    /// be sent for this customer request. Otherwise the grant request renews the lease.
    pub fn take_from_lease(&mut self, now: Micros, units: f64, even_if_renewal_due: bool) -> bool {
        let Some(lease) = &mut self.lease else {
            return false;
        };
        let is_usable = even_if_renewal_due || !lease.needs_renewal(now);
        let has_taken = is_usable && lease.take(now, units);
        if has_taken {
            self.add_granted_units(now, units);
        }
        has_taken
    }

    /// Returns the lease demand to send to an owner along with a grant request for `units`.
    pub fn lease_demand(&self, now: Micros, owner: u32, units: f64) -> LeaseDemand {
        LeaseDemand {
            rate: self.granted_rate_with(now, units),
            current: self
                .lease
                .filter(|lease| lease.issuer == owner)
                .and_then(|lease| lease.report(now)),
        }
    }

    /// Stores a lease that an owner issued in response to a request sent at `requested_at`.
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

    /// Decides on a request while no owner is reachable. Takes its units and returns true if it is admitted.
    pub fn admit_without_owner(&mut self, now: Micros, units: f64) -> bool {
        if self.offline_tokens.is_none() {
            // The rate decays only while owners are reachable; it is constant during an outage.
            self.granted_rate = self.current_granted_rate(now);
        }
        let tokens = self.filled_offline_tokens(now);
        self.offline_tokens_at = now;
        let is_admitted = tokens >= units;
        self.offline_tokens = Some(if is_admitted { tokens - units } else { tokens });
        is_admitted
    }

    /// Returns the tokens of the bucket that is used without owners, refilled up to `now`.
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

    /// Records an owner's response. `is_last_shard` states that no other shard of the quota will be asked for the same
    /// request, so that a rejection also applies to later requests.
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

    /// Returns whether requests are rejected locally, because none can be granted yet after an owner's rejection.
    pub fn is_rejecting(&self, now: Micros) -> bool {
        now < self.rejecting_until
    }

    /// Returns the fraction of the customer's requests for which to send a grant request now, 0 to 1.
    pub fn sampling_probability(&self, now: Micros) -> f64 {
        let elapsed = now.saturating_sub(self.sampled_at) as f64;
        let recovered = (elapsed / SAMPLING_LIFETIME).min(1.0);
        self.sampling_probability + (1.0 - self.sampling_probability) * recovered
    }

    /// Returns the last reported fill ratio of an owner's shard; `None` if there is none or it is too old.
    pub fn reported_fill(&self, now: Micros) -> Option<ReportedFill> {
        let age = now.saturating_sub(self.reported_at);
        let is_current = self.reported_at > 0 && age < REPORTED_FILL_LIFETIME;
        is_current.then_some(ReportedFill {
            ratio: self.reported_fill,
            age,
        })
    }

    /// Returns whether an owner recently rejected a request because of too few tokens.
    pub fn exceeds_quota(&self, now: Micros) -> bool {
        self.over_quota_at > 0 && now.saturating_sub(self.over_quota_at) < OVER_QUOTA_LIFETIME
    }
}
