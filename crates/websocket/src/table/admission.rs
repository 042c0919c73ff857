//! Which upgrades are admitted.

use super::{Socket, SocketId, Sockets};
use saffronpaddle_policy::interface::{CustomerId, Micros};

/// Microseconds in a second.
const MICROS_PER_S: f64 = 1e6;
/// When to retry an upgrade that came while the node stops.
const RETRY_AFTER_STOP: Micros = 1_000_000;
/// When to retry an upgrade that exceeded a limit of sockets.
const RETRY_AFTER_LIMIT: Micros = 5_000_000;

/// Why an upgrade is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shut {
    /// The reason, for the client.
    pub why: &'static str,
    /// When to retry, in microseconds from now.
    pub retry_in: Micros,
}

/// A token bucket whose capacity is one second's tokens.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate_per_s: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            rate_per_s,
            tokens: rate_per_s,
            refilled_at: now,
        }
    }

    /// Takes a token.
    ///
    /// # Errors
    /// There is none; returns the time until there is.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_S;
        // A rate below one per second must not keep the bucket from ever holding a token.
        let capacity = self.rate_per_s.max(1.0);
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(capacity);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return Err(((1.0 - self.tokens) / self.rate_per_s * MICROS_PER_S) as Micros);
        }
        self.tokens -= 1.0;
        Ok(())
    }
}

impl Sockets {
    /// Admits an upgrade, which counts as a socket from now on. `spread` is the number of the customer's nodes.
    ///
    /// # Errors
    /// The upgrade is rejected.
    pub fn admit(
        &mut self,
        now: Micros,
        customer: CustomerId,
        spread: u32,
    ) -> Result<SocketId, Shut> {
        self.check_limits(customer, spread)?;
        self.upgrade_tokens.take(now).map_err(|retry_in| Shut {
            why: "too many at once",
            retry_in,
        })?;
        *self.by_customer.entry(customer).or_default() += 1;
        let id = SocketId(self.next_id);
        self.next_id += 1;
        self.by_id.insert(id, Socket::pending(customer, now));
        self.pending_upgrades += 1;
        Ok(id)
    }

    fn check_limits(&self, customer: CustomerId, spread: u32) -> Result<(), Shut> {
        if self.stopped {
            return Err(Shut {
                why: "the node leaves",
                retry_in: RETRY_AFTER_STOP,
            });
        }
        if self.by_id.len() >= self.limits.per_node {
            return Err(Shut {
                why: "the node has all the sockets that it may have",
                retry_in: RETRY_AFTER_LIMIT,
            });
        }
        // The nodes' parts never exceed the limit together, unless it is less than one socket for each node.
        let limit_here = (self.limits.per_customer / spread.max(1)).max(1);
        let open = self.by_customer.get(&customer).copied().unwrap_or(0);
        if open >= limit_here {
            return Err(Shut {
                why: "the customer has all the sockets that it may have",
                retry_in: RETRY_AFTER_LIMIT,
            });
        }
        Ok(())
    }
}
