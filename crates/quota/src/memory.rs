//! What a gateway that asks remembers of a customer's home.

use crate::lease::{ActiveLease, Lease, LeaseDemand};
use crate::{GrantDecision, GrantResponse, Micros};
use serde::{Deserialize, Serialize};

/// µs in which a gateway forgets what share of the tries may ask.
const THIN_FOR: f64 = 2e6;
/// µs for which it is remembered how full a home was. What it held then is not what it holds now.
const LEVEL_FOR: Micros = 15_000_000;
/// µs over which it is remembered what was granted here: long beside the gaps between a customer's tries, short beside what it
/// takes for its traffic to move to other gateways.
const GRANTS_FOR: f64 = 4e6;
/// What may be let go alone, as a multiple of what homes granted here lately; a home that was half full or more leaves room for
/// a customer that asks for more than it did.
const ALONE: (f64, f64) = (1.0, 1.5);
/// Units that may be saved up for that, s of that rate.
const ALONE_DEPTH: f64 = 1.5;
/// µs for which a customer that was turned away by its home counts as one that wants more than its quota.
const SHORT_FOR: Micros = 5_000_000;

/// What homes have said of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RejectionCache {
    /// The share of tries that may ask, and when that was told.
    #[serde(rename = "chance")]
    sampling_probability: f64,
    #[serde(rename = "chance_at")]
    sampled_at: Micros,
    /// Until when no ask can be granted.
    #[serde(rename = "held_until")]
    rejecting_until: Micros,
    /// How much of its depth a home held, and when it said so.
    #[serde(rename = "level")]
    reported_fill: f64,
    #[serde(rename = "level_at")]
    reported_at: Micros,
    /// When a home last said that the store was short.
    #[serde(rename = "short_at")]
    over_quota_at: Micros,
    /// Units a second that homes granted here lately, as of when.
    #[serde(rename = "granted")]
    granted_rate: f64,
    #[serde(rename = "granted_at")]
    granted_rate_at: Micros,
    /// Units that may be let go with no home heard, as of when; `None` before that was ever the case.
    #[serde(rename = "alone")]
    offline_tokens: Option<f64>,
    #[serde(rename = "alone_at")]
    offline_tokens_at: Micros,
    /// What a home has lent. Another process of this gateway does not take it over: two would use it.
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
    /// A home has let so many units go here. Its word ends being alone.
    pub fn record_grant(&mut self, now: Micros, units: f64) {
        self.went(now, units);
        self.offline_tokens = None;
    }

    fn went(&mut self, now: Micros, units: f64) {
        self.granted_rate = self.pace(now) + units * 1e6 / GRANTS_FOR;
        self.granted_rate_at = now;
    }

    /// Units a second that went by homes' words lately.
    fn pace(&self, now: Micros) -> f64 {
        let span = now.saturating_sub(self.granted_rate_at) as f64;
        self.granted_rate * (-span / GRANTS_FOR).exp()
    }

    /// Whether a try of so many units goes by what a home has lent; it takes them then. A lease that is nearly over is only used
    /// where no home will be asked (`late`): the ask brings the next one.
    pub fn take_from_lease(&mut self, now: Micros, units: f64, late: bool) -> bool {
        let Some(held) = &mut self.lease else {
            return false;
        };
        let takes = (late || !held.needs_renewal(now)) && held.take(now, units);
        if takes {
            self.went(now, units);
        }
        takes
    }

    /// What is to be borrowed of one of the customer's keepers, which is asked for so many units.
    pub fn lease_demand(&self, now: Micros, keeper: u32, units: f64) -> LeaseDemand {
        let held = self
            .lease
            .filter(|held| held.issuer == keeper)
            .and_then(|held| held.report(now));
        LeaseDemand {
            rate: self.pace(now) + units * 1e6 / GRANTS_FOR,
            current: held,
        }
    }

    /// A keeper has lent this, asked at that time.
    pub fn lease_received(&mut self, now: Micros, asked: Micros, keeper: u32, lease: Lease) {
        self.lease = Some(ActiveLease::renewed(self.lease, now, asked, keeper, lease));
    }

    /// Whether a try of so many units may go with no home heard; it takes them then.
    ///
    /// Each gateway goes on at the pace at which homes granted units to it. These sum up to what the homes granted in all, which
    /// is no more than `burst + rate * t`, so that a fleet whose gateways hear none of each other lets go, in `t` seconds, at the
    /// most 1.5 times its pace and 1.5 s of it at once, and one try for each gateway that knew nothing of the customer.
    pub fn admit_without_owner(&mut self, now: Micros, units: f64) -> bool {
        if self.offline_tokens.is_none() {
            // Only while homes are heard: once they are not, the pace stays.
            self.granted_rate = self.pace(now);
        }
        let greedy = self.exceeds_quota(now);
        let rate = self.granted_rate
            * if self.reported_fill >= 0.5 && !greedy {
                ALONE.1
            } else {
                ALONE.0
            };
        let depth = rate * ALONE_DEPTH;
        let span = now.saturating_sub(self.offline_tokens_at) as f64 / 1e6;
        let held = match self.offline_tokens {
            Some(held) => (held + rate * span).min(depth.max(1.0)),
            None if greedy => depth,
            None => depth.max(1.0),
        };
        self.offline_tokens_at = now;
        let goes = held >= units;
        self.offline_tokens = Some(if goes { held - units } else { held });
        goes
    }

    /// A home has said this. `last`: no other part of the quota will be asked for the same try.
    pub fn record_response(&mut self, now: Micros, said: &GrantResponse, last: bool) {
        (self.sampling_probability, self.sampled_at) =
            (said.sampling_probability.clamp(0.0, 1.0), now);
        (self.reported_fill, self.reported_at) = (said.fill_ratio, now);
        match said.decision {
            GrantDecision::Granted => self.rejecting_until = 0,
            verdict => {
                self.over_quota_at = if verdict == GrantDecision::TooManyInFlight {
                    self.over_quota_at
                } else {
                    now
                };
                self.rejecting_until = if last {
                    now.saturating_add(said.retry_after)
                } else {
                    self.rejecting_until
                };
            }
        }
    }

    /// Whether an ask now would be in vain: nothing can have come in since a home said no.
    pub fn is_rejecting(&self, now: Micros) -> bool {
        now < self.rejecting_until
    }

    /// The share of tries that may ask now.
    pub fn sampling_probability(&self, now: Micros) -> f64 {
        let forgot = (now.saturating_sub(self.sampled_at) as f64 / THIN_FOR).min(1.0);
        self.sampling_probability + (1.0 - self.sampling_probability) * forgot
    }

    /// How much of its depth a home held, and how long ago it said so; `None` once that tells nothing any more.
    pub fn reported_fill(&self, now: Micros) -> Option<(f64, Micros)> {
        let ago = now.saturating_sub(self.reported_at);
        (self.reported_at > 0 && ago < LEVEL_FOR).then_some((self.reported_fill, ago))
    }

    /// Whether the customer was lately found to want more than it may.
    pub fn exceeds_quota(&self, now: Micros) -> bool {
        self.over_quota_at > 0 && now.saturating_sub(self.over_quota_at) < SHORT_FOR
    }
}
