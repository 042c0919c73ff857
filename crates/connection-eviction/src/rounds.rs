//! How late the loop is that reads clients' bytes: how long what it reads now may have rested.
//!
//! The machine does not say when bytes came. But a loop that has slept until something came had read all before it slept, and
//! one that has gone through a whole round, from one look at the machine to the end of what that had to tell, has read all
//! that had come before the round. What is read later came later.

use crate::Time;
use std::time::Duration;

/// A shorter sleep is none: something lay there already.
const SLEPT: Duration = Duration::from_millis(1);
/// A loop that is no later than this is on time.
const ON_TIME: Duration = Duration::from_millis(5);

/// The rounds of one loop.
///
/// Danger: a process that is stopped as it sleeps. It wakes late, and what it then finds came at any time meanwhile. So a sleep
/// that was longer than the longest that the loop ever asks for proves nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IdleSweep {
    since: Time,
    slept: Option<Time>,
}

impl IdleSweep {
    /// Of a loop that has not begun.
    pub const NEW: IdleSweep = IdleSweep {
        since: Time::ZERO,
        slept: None,
    };

    /// It goes to sleep, with nothing left to do.
    pub fn sleeps(&mut self, now: Time) {
        self.slept = Some(now);
    }

    /// It wakes; it never asks for longer sleeps than `longest`.
    pub fn wakes(&mut self, now: Time, longest: Duration) {
        let Some(slept) = self.slept.take() else {
            return;
        };
        if (SLEPT..=longest).contains(&now.saturating_sub(slept)) {
            self.since = self.since.max(now);
        }
    }

    /// A whole round has gone by that began at `then`.
    pub fn passed(&mut self, then: Time) {
        self.since = self.since.max(then);
    }

    /// What is read now came after this.
    pub fn since(&self) -> Time {
        self.since
    }
}

/// How long what came after `since` may have rested by now, where that is long enough to count.
pub fn rested(since: Time, now: Time) -> Duration {
    Some(now.saturating_sub(since))
        .filter(|span| *span > ON_TIME)
        .unwrap_or_default()
}
