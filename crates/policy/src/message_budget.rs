//! A budget for messages to peers that may be left out: retransmitted grant requests.
//!
//! Lost messages that each cause more messages would fill the path just when it is full or broken, so that those that
//! matter are lost as well. First requests, responses and releases are always sent; what they leave of the budget is for
//! retransmissions.

use crate::interface::Micros;

/// Span of the budget that may be saved up, seconds.
const SAVED_S: f64 = 0.5;

/// Messages that may be retransmitted, as a token bucket. It may go into debt by as much as it can save.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageBudget {
    tokens: f64,
    refilled_at: Micros,
}

impl MessageBudget {
    /// Records messages that were sent, where a node may send `per_second`.
    pub fn record(&mut self, now: Micros, messages: f64, per_second: f64) {
        self.refill(now, per_second);
        self.tokens = (self.tokens - messages).max(-per_second * SAVED_S);
    }

    /// Whether one more message that may be left out can be sent.
    pub fn allows(&mut self, now: Micros, per_second: f64) -> bool {
        self.refill(now, per_second);
        self.tokens >= 1.0
    }

    fn refill(&mut self, now: Micros, per_second: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + per_second * elapsed_s).min(per_second * SAVED_S);
    }
}

#[cfg(test)]
mod tests;
