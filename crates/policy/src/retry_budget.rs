//! The retry budget: retries may be a share of first attempts, so that retries of failing requests never multiply the
//! load of a back end that fails because of its load.

/// Retries that each first attempt earns: retries add at most a fifth to the load.
const EARNED_PER_ATTEMPT: f64 = 0.2;
/// Most retries that can be saved up, and the balance at the start: enough for a server that fails with its attempts in
/// flight.
const MAX_SAVED: f64 = 20.0;

/// Retries that may be sent now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { tokens: MAX_SAVED }
    }
}

impl RetryBudget {
    /// A budget that another process of this node had.
    pub fn with_tokens(tokens: f64) -> Self {
        RetryBudget { tokens }
    }

    /// Retries that are saved up.
    pub fn tokens(self) -> f64 {
        self.tokens
    }

    /// A first attempt was sent.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARNED_PER_ATTEMPT).min(MAX_SAVED);
    }

    /// Whether there is one for a retry.
    pub fn allows(self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry is sent.
    pub fn spend(&mut self) {
        self.tokens -= 1.0;
    }
}
