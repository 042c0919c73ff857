//! Admission of upgrades by the limits on sockets.

use super::{Socket, SocketId, Sockets};
use saffronpaddle_policy::interface::{CustomerId, Micros};

/// Microseconds in a second.
const MICROS_PER_S: f64 = 1e6;
/// Retry delay for an upgrade that is rejected because the node stops, in microseconds.
const RETRY_AFTER_STOP: Micros = 1_000_000;
/// Retry delay for an upgrade that exceeds a limit on sockets, in microseconds.
const RETRY_AFTER_LIMIT: Micros = 5_000_000;

/// Why an upgrade is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionError {
    /// The reason, which is the body of the response to the client.
    pub reason: &'static str,
    /// The delay after which the client may retry, in microseconds.
    pub retry_in: Micros,
}

/// A token bucket that holds at most one second's worth of tokens.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket.
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
    /// The bucket is empty; the error is the time until the next token, in microseconds.
    pub fn take(&mut self, now: Micros) -> Result<(), Micros> {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / MICROS_PER_S;
        // With a capacity below 1, a bucket with a rate below one per second would never hold a full token.
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
    /// Admits an upgrade, which counts as a socket from then on. `subset_size` is the number of nodes that serve the
    /// customer.
    ///
    /// # Errors
    /// The node stops, or the upgrade exceeds a limit.
    pub fn admit(
        &mut self,
        now: Micros,
        customer: CustomerId,
        subset_size: u32,
    ) -> Result<SocketId, AdmissionError> {
        self.check_limits(customer, subset_size)?;
        self.upgrade_tokens
            .take(now)
            .map_err(|retry_in| AdmissionError {
                reason: "too many at once",
                retry_in,
            })?;
        *self.by_customer.entry(customer).or_default() += 1;
        let id = SocketId(self.next_id);
        self.next_id += 1;
        self.by_id.insert(id, Socket::pending(customer, now));
        self.pending_upgrades += 1;
        Ok(id)
    }

    fn check_limits(&self, customer: CustomerId, subset_size: u32) -> Result<(), AdmissionError> {
        if self.stopped {
            return Err(AdmissionError {
                reason: "the node leaves",
                retry_in: RETRY_AFTER_STOP,
            });
        }
        if self.by_id.len() >= self.limits.per_node {
            return Err(AdmissionError {
                reason: "the node has all the sockets that it may have",
                retry_in: RETRY_AFTER_LIMIT,
            });
        }
        // The nodes' shares add up to at most the customer's limit, unless that is less than one socket per node.
        let limit_here = (self.limits.per_customer / subset_size.max(1)).max(1);
        let open = self.by_customer.get(&customer).copied().unwrap_or(0);
        if open >= limit_here {
            return Err(AdmissionError {
                reason: "the customer has all the sockets that it may have",
                retry_in: RETRY_AFTER_LIMIT,
            });
        }
        Ok(())
    }
}
