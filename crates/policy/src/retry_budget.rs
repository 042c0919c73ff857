//! The retry budget: limits retries to a share of the first attempts, so that retries cannot multiply the load on a
//! back end that fails because it is overloaded.

/// Retries earned per first attempt: retries add at most a fifth to the load.
const EARNED_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Maximum balance, in retries, and the balance at the start: enough to retry the attempts in flight at a server that
/// fails.
const MAX_TOKENS: f64 = 20.0;

/// A token bucket that is refilled by first attempts; one token allows one retry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Restores the budget of another process of this node.
    pub fn with_tokens(tokens: f64) -> Self {
        RetryBudget { tokens }
    }

    /// Balance, in retries.
    pub fn tokens(self) -> f64 {
        self.tokens
    }

    /// Credits a first attempt.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Returns whether the balance covers a retry.
    pub fn allows(self) -> bool {
        self.tokens >= 1.0
    }

    /// Debits a retry.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
