//! A lease at its holder: a token bucket that ends.
//!
//! Inputs are the [`Lease`] and the time at which it was requested, in µs of the holder's clock; [`ActiveLease::take`] says
//! whether units may be used. The end is early enough that the issuer still counts the lease as issued (see [`super`]).

use super::{Lease, LeaseReport, CLOCK_DRIFT_DIVISOR, LEASE_DURATION, RENEWAL_WINDOW};
use crate::{seconds_between, Micros};

/// A lease at its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ActiveLease {
    /// Number of the shard owner that issued it.
    pub(crate) issuer: u32,
    lease: Lease,
    tokens: f64,
    filled_at: Micros,
    expires_at: Micros,
}

impl ActiveLease {
    /// A lease that was requested at that time and has now been received. Tokens of the previous lease, if the same owner
    /// issued it and it still stands, are kept up to the new capacity.
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
            // The issuer stopped filling at this rate before its answer left, so filling may start at once.
            filled_at: now,
            expires_at: requested_at.saturating_add(duration),
        }
    }

    /// Whether the lease has ended.
    pub(crate) fn is_expired(&self, now: Micros) -> bool {
        now >= self.expires_at
    }

    /// Whether it is time to ask for a renewal.
    pub(crate) fn needs_renewal(&self, now: Micros) -> bool {
        now.saturating_add(RENEWAL_WINDOW) >= self.expires_at
    }

    /// Takes so many units if they are there; whether they were.
    pub(crate) fn take(&mut self, now: Micros, units: f64) -> bool {
        if self.is_expired(now) {
            return false;
        }
        self.fill(now);
        let takes = self.tokens >= units;
        self.tokens -= if takes { units } else { 0.0 };
        takes
    }

    fn fill(&mut self, now: Micros) {
        let elapsed_s = seconds_between(self.filled_at, now);
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + self.lease.rate * elapsed_s).min(self.lease.capacity);
    }

    /// Units a second that the lease brings now.
    pub(crate) fn rate(&self, now: Micros) -> f64 {
        if self.is_expired(now) {
            0.0
        } else {
            self.lease.rate
        }
    }

    /// What the issuer is told of the lease; `None` once it has ended.
    pub(crate) fn report(&self, now: Micros) -> Option<LeaseReport> {
        (!self.is_expired(now)).then(|| LeaseReport {
            rate: self.lease.rate,
            capacity: self.lease.capacity,
            remaining: self.expires_at - now,
        })
    }
}
