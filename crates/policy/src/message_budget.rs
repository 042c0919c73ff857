//! A budget for optional messages to peers: retransmissions of grant requests.
//!
//! If every lost message caused retransmissions, they would add load to the network while it is congested or faulty,
//! and required messages would be lost too. First requests, responses and releases are always sent and charged to the
//! budget; retransmissions use the remainder.

use crate::interface::Micros;

/// Capacity of the budget, in seconds of its rate.
const CAPACITY_S: f64 = 0.5;

/// A token bucket of messages. Required messages may overdraw it by as much as its capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl MessageBudget {
    /// Charges messages that were sent, where a node may send `per_second`.
    pub fn record(&mut self, now: Micros, messages: f64, per_second: f64) {
        self.refill(now, per_second);
        self.tokens = (self.tokens - messages).max(-per_second * CAPACITY_S);
    }

    /// Whether one more optional message may be sent.
    pub fn allows(&mut self, now: Micros, per_second: f64) -> bool {
        self.refill(now, per_second);
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Micros, per_second: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + per_second * elapsed_s).min(per_second * CAPACITY_S);
    }
}

#[cfg(test)]
mod tests;
