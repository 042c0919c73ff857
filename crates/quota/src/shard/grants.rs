//! Decides on grant requests: a request is granted if the quota, the hard limit and the limit on attempts in flight
//! allow it.
//!
//! Amounts are in quota units and times in µs. A rejection contains the time after which the missing tokens will have
//! accrued or a permit is likely to be released. Every response contains the fraction of the customer's requests for
//! which nodes should send a grant request, so that an owner receives about twice as many requests as it can grant.

use super::QuotaShard;
use crate::grant::{GrantDecision, GrantRequest, GrantResponse, GRANT_LIFETIME};
use crate::limits::ShardLimits;
use crate::{seconds_between, Micros, MICROS_PER_SECOND};
use serde::{Deserialize, Serialize};

/// Target for the requests that an owner receives, as a multiple of those that it can grant.
const TARGET_REQUEST_RATIO: f64 = 2.0;
/// Minimum of the units requested, in about a second, above which an owner reduces the sampling probability.
const MIN_TARGET_UNITS: f64 = 1.0;
/// Factor applied to the sampling probability for each request above the target.
const SAMPLING_DECREASE: f64 = 0.97;
/// Increase of the sampling probability per second while requests are within the target.
const SAMPLING_INCREASE_PER_S: f64 = 0.5;
/// Maximum `retry_after`, µs. Tokens that become available earlier than expected stay unused for up to this time.
const MAX_RETRY_AFTER: f64 = 2e6;
/// Lifetime of a permit as a multiple of the usual latency. With a longer one, a permit whose release message was lost
/// blocks other attempts; with a shorter one, a permit is reused while a slow attempt is still running.
const PERMIT_LIFETIME_RATIO: u64 = 3;
/// Expected wait for the next release as a fraction of the usual interval between two releases: half of it on average.
const EXPECTED_RELEASE_FRACTION: f64 = 0.5;
/// Maximum number of recorded grants; bounds memory. At the limit, no request is granted until some of them expire.
const MAX_RECENT_GRANTS: usize = 4_096;

/// A request that was granted or holds a permit, until it expires. Serialized as `[requester, serial, expires_at]`.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "(u32, u16, Micros)", into = "(u32, u16, Micros)")]
pub(super) struct RequestRecord {
    requester: u32,
    serial: u16,
    expires_at: Micros,
}

impl RequestRecord {
    fn matches(&self, requester: u32, serial: u16) -> bool {
        self.requester == requester && self.serial == serial
    }
}

impl From<(u32, u16, Micros)> for RequestRecord {
    fn from((requester, serial, expires_at): (u32, u16, Micros)) -> RequestRecord {
        RequestRecord {
            requester,
            serial,
            expires_at,
        }
    }
}

impl From<RequestRecord> for (u32, u16, Micros) {
    fn from(record: RequestRecord) -> (u32, u16, Micros) {
        (record.requester, record.serial, record.expires_at)
    }
}

/// The token buckets that have too few tokens for a request.
#[derive(Clone, Copy)]
struct Shortage {
    quota: bool,
    hard_limit: bool,
}

impl Shortage {
    fn is_any(self) -> bool {
        self.quota || self.hard_limit
    }
}

impl QuotaShard {
    /// Decides on a request and takes its units if it is granted. A retransmission of a granted request
    /// within [`GRANT_LIFETIME`] is granted again and takes no units.
    ///
    /// `usual_latency` is the usual duration of an attempt, µs. A permit that is not released expires after a multiple
    /// of it.
    pub fn decide_grant(
        &mut self,
        now: Micros,
        request: GrantRequest,
        limits: &ShardLimits,
        usual_latency: Micros,
    ) -> GrantResponse {
        let elapsed_s = seconds_between(self.filled_at, now);
        self.fill(now, limits);
        self.last_used_at = now;
        if self.is_retransmission(now, &request) {
            return self.respond(GrantDecision::Granted, 0.0, limits);
        }
        self.requested_units = self.requested_units * (-elapsed_s).exp() + request.units;
        let shortage = self.shortage_after_borrowing(now, request.units, limits);
        self.update_sampling_probability(shortage, elapsed_s, limits);
        self.remove_expired_permits(now);
        if shortage.is_any() {
            self.last_shortage_at = now;
            return self.reject_shortage(now, shortage, request.units, limits);
        }
        // A full table of recent grants is treated like too many attempts in flight: the requester retries a little
        // later.
        if !self.has_free_permit(limits) || self.recent_grants.len() >= MAX_RECENT_GRANTS {
            return self.reject_in_flight(usual_latency, limits);
        }
        self.grant(now, &request, limits, usual_latency);
        self.respond(GrantDecision::Granted, 0.0, limits)
    }

    /// Returns whether the request is a retransmission of a granted one, whose response was lost or is late. Without
    /// this check a retransmission would take its units a second time.
    fn is_retransmission(&mut self, now: Micros, request: &GrantRequest) -> bool {
        self.recent_grants.retain(|grant| grant.expires_at > now);
        self.recent_grants
            .iter()
            .any(|grant| grant.matches(request.requester, request.serial))
    }

    /// Returns the shortage for `units`. If there is one, units of the lease from the standby are added first.
    fn shortage_after_borrowing(
        &mut self,
        now: Micros,
        units: f64,
        limits: &ShardLimits,
    ) -> Shortage {
        let shortage = self.shortage(units, limits);
        let has_borrowed = shortage.is_any()
            && self
                .borrowed_lease
                .as_mut()
                .is_some_and(|lease| lease.take(now, units));
        if !has_borrowed {
            return shortage;
        }
        // A unit leased from the standby counts towards both the quota and the hard limit.
        self.tokens += units;
        self.hard_limit_tokens += units;
        self.shortage(units, limits)
    }

    fn shortage(&self, units: f64, limits: &ShardLimits) -> Shortage {
        Shortage {
            quota: limits.rate > 0.0 && self.tokens < units,
            hard_limit: limits.hard_limit.is_some() && self.hard_limit_tokens < units,
        }
    }

    /// Adapts the fraction of the customer's requests for which nodes send grant requests. Without sampling, a customer
    /// far above its quota would overload its owners with requests that they reject.
    fn update_sampling_probability(
        &mut self,
        shortage: Shortage,
        elapsed_s: f64,
        limits: &ShardLimits,
    ) {
        let target_units = (TARGET_REQUEST_RATIO * limits.rate).max(MIN_TARGET_UNITS);
        let is_overloaded = shortage.quota && self.requested_units > target_units;
        self.sampling_probability = if is_overloaded {
            self.sampling_probability * SAMPLING_DECREASE
        } else {
            (self.sampling_probability + SAMPLING_INCREASE_PER_S * elapsed_s).min(1.0)
        };
    }

    /// Rejects a request because of too few tokens, with the time after which enough will have accrued.
    fn reject_shortage(
        &self,
        now: Micros,
        shortage: Shortage,
        units: f64,
        limits: &ShardLimits,
    ) -> GrantResponse {
        let borrowed_rate = self.borrowed_lease.map_or(0.0, |lease| lease.rate(now));
        if shortage.quota {
            let rate = (limits.rate + borrowed_rate).max(f64::EPSILON);
            let wait_s = (units - self.tokens) / rate;
            return self.respond(GrantDecision::OverQuota, wait_s, limits);
        }
        let rate = limits.hard_limit.map_or(0.0, |limit| limit.rate) + borrowed_rate;
        let wait_s = (units - self.hard_limit_tokens) / rate.max(f64::EPSILON);
        self.respond(GrantDecision::OverHardLimit, wait_s, limits)
    }

    /// Rejects a request because no permit is free, with the time after which one is likely to be released.
    fn reject_in_flight(&self, usual_latency: Micros, limits: &ShardLimits) -> GrantResponse {
        let latency_s = usual_latency as f64 / MICROS_PER_SECOND;
        let release_interval_s = latency_s / self.in_flight.len().max(1) as f64;
        let wait_s = release_interval_s * EXPECTED_RELEASE_FRACTION;
        self.respond(GrantDecision::TooManyInFlight, wait_s, limits)
    }

    fn has_free_permit(&self, limits: &ShardLimits) -> bool {
        limits
            .max_in_flight
            .is_none_or(|max| self.in_flight.len() < max as usize)
    }

    fn grant(
        &mut self,
        now: Micros,
        request: &GrantRequest,
        limits: &ShardLimits,
        usual_latency: Micros,
    ) {
        self.tokens -= request.units;
        self.hard_limit_tokens -= request.units;
        let record_for = |lifetime: Micros| RequestRecord {
            requester: request.requester,
            serial: request.serial,
            expires_at: now.saturating_add(lifetime),
        };
        self.recent_grants.push(record_for(GRANT_LIFETIME));
        if limits.max_in_flight.is_some() {
            let lifetime = usual_latency.saturating_mul(PERMIT_LIFETIME_RATIO);
            self.in_flight.push(record_for(lifetime));
        }
    }

    /// Builds a response; `wait_s` is the number of seconds after which a request may be granted.
    pub(super) fn respond(
        &self,
        decision: GrantDecision,
        wait_s: f64,
        limits: &ShardLimits,
    ) -> GrantResponse {
        let wait = (wait_s * MICROS_PER_SECOND).clamp(0.0, MAX_RETRY_AFTER);
        let fill_ratio = self.tokens / limits.capacity.max(f64::EPSILON);
        GrantResponse {
            decision,
            sampling_probability: self.sampling_probability,
            retry_after: wait as Micros,
            fill_ratio: fill_ratio.clamp(0.0, 1.0),
        }
    }

    /// Releases the permit of a granted request whose attempt has ended.
    pub fn release(&mut self, requester: u32, serial: u16) {
        self.in_flight
            .retain(|permit| !permit.matches(requester, serial));
    }

    /// Releases the permits that were not released within their lifetime.
    pub(super) fn remove_expired_permits(&mut self, now: Micros) {
        self.in_flight.retain(|permit| permit.expires_at > now);
    }
}
