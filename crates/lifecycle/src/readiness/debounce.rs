//! Delays a condition's changes until they have lasted.

use crate::time::Time;
use std::time::Duration;

/// A condition in service: a change counts once it has lasted.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Debounced {
    failing: bool,
    /// Since when the opposite of `failing` has been observed.
    opposite_since: Option<Time>,
}

impl Debounced {
    /// Whether the condition counts as failing.
    pub(super) fn is_failing(self) -> bool {
        self.failing
    }

    /// Sets the condition at once.
    pub(super) fn reset(&mut self, failing: bool) {
        self.failing = failing;
    }

    /// Takes an observation in. It counts once the same has been observed for `lose_after` (failing) or `regain_after`.
    pub(super) fn observe(
        &mut self,
        now: Time,
        failing: bool,
        lose_after: Duration,
        regain_after: Duration,
    ) {
        if failing == self.failing {
            self.opposite_since = None;
            return;
        }
        let since = *self.opposite_since.get_or_insert(now);
        let delay = if failing { lose_after } else { regain_after };
        if now.saturating_sub(since) >= delay {
            self.failing = failing;
            self.opposite_since = None;
        }
    }
}
