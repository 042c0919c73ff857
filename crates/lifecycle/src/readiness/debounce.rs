//! Debouncing of readiness conditions.

use crate::time::Time;
use std::time::Duration;

/// A condition that changes only after the new value has been observed for a minimum time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Debounced {
    failing: bool,
    /// Start of the current series of observations that contradict `failing`.
    opposite_since: Option<Time>,
}

impl Debounced {
    /// The debounced value.
    pub(super) fn is_failing(self) -> bool {
        self.failing
    }

    /// Sets the value without a delay.
    pub(super) fn reset(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Records an observation. The value changes to failing after `failure_delay`, and back after `recovery_delay`.
    pub(super) fn observe(
        &mut self,
        now: Time,
        failing: bool,
        failure_delay: Duration,
        recovery_delay: Duration,
    ) {
        if failing == self.failing {
            self.opposite_since = None;
            return;
        }
        let since = *self.opposite_since.get_or_insert(now);
        let delay = if failing {
            failure_delay
        } else {
            recovery_delay
        };
        if now.saturating_sub(since) >= delay {
            self.failing = failing;
            self.opposite_since = None;
        }
    }
}
