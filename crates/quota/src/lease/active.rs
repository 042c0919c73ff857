//! A lease at its holder: a token bucket that expires.
//!
//! Times are in µs of the holder's clock. The expiry time is computed from the time of the request, so that the lease
//! expires here before its issuer reclaims it (see [`super`]).

use super::{Lease, LeaseReport, CLOCK_DRIFT_DIVISOR, LEASE_DURATION, RENEWAL_WINDOW};
use crate::{seconds_between, Micros};

/// A lease at its holder, with its token bucket and expiry time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ActiveLease {
    /// Number of the owner that issued the lease.
    pub(crate) issuer: u32,
    lease: Lease,
    tokens: f64,
    filled_at: Micros,
    expires_at: Micros,
}

impl ActiveLease {
    /// Creates a lease that was requested at `requested_at` and received at `now`. Unused tokens of the previous lease
    /// are kept, up to the new capacity, if the same owner issued it and it has not expired.
    pub(crate) fn renewed(
        previous: Option<ActiveLease>,
        now: Micros,
        requested_at: Micros,
        issuer: u32,
        lease: Lease,
    ) -> ActiveLease {
        let remaining_tokens = match previous {
            Some(mut previous) if previous.issuer == issuer && !previous.is_expired(now) => {
                previous.fill(now);
                previous.tokens
            }
            _ => 0.0,
        };
        let duration = LEASE_DURATION - LEASE_DURATION / CLOCK_DRIFT_DIVISOR;
        ActiveLease {
            issuer,
            lease,
            tokens: (lease.initial_tokens + remaining_tokens).min(lease.capacity),
            // The issuer stopped refilling at this rate before it sent its response, so the holder may refill from
            // now on.
            filled_at: now,
            expires_at: requested_at.saturating_add(duration),
        }
    }

    pub(crate) fn is_expired(&self, now: Micros) -> bool {
        now >= self.expires_at
    }

    /// Returns whether the holder should request a renewal.
    pub(crate) fn needs_renewal(&self, now: Micros) -> bool {
        now.saturating_add(RENEWAL_WINDOW) >= self.expires_at
    }

    /// Takes units. Returns false and takes nothing if the lease has expired or has too few tokens.
    pub(crate) fn take(&mut self, now: Micros, units: f64) -> bool {
        if self.is_expired(now) {
            return false;
        }
        self.fill(now);
        let has_tokens = self.tokens >= units;
        self.tokens -= if has_tokens { units } else { 0.0 };
        has_tokens
    }

    fn fill(&mut self, now: Micros) {
        let elapsed_s = seconds_between(self.filled_at, now);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + self.lease.rate * elapsed_s).min(self.lease.capacity);
    }

    /// Returns the refill rate, units per second; 0 once the lease has expired.
    pub(crate) fn rate(&self, now: Micros) -> f64 {
        if self.is_expired(now) {
            0.0
        } else {
            self.lease.rate
        }
    }

    /// Returns the report for the issuer; `None` once the lease has expired.
    pub(crate) fn report(&self, now: Micros) -> Option<LeaseReport> {
        (!self.is_expired(now)).then(|| LeaseReport {
            rate: self.lease.rate,
            capacity: self.lease.capacity,
            remaining: self.expires_at - now,
        })
    }
}
