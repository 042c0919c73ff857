//! How long bytes may have waited before the event loop reads them.
//!
//! The kernel does not say when bytes were received. But a loop that has slept until an event came had read everything
//! before it slept. And a loop that has completed a round, from one poll of the kernel to the end of the work that the poll
//! gave, has read all that was there before the round. What it reads later was received later.

use crate::time::Time;
use std::time::Duration;

/// In a shorter sleep, the event was there already.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// A loop that is behind by no more than this is on time.
const ON_TIME: Duration = Duration::from_millis(5);

/// The earliest time at which bytes that an event loop reads now can have been received.
///
/// A process that is stopped during a sleep wakes late, and what it then finds may have been received at any time
/// meanwhile; its requests would get more time than their clients wait. So a sleep that was longer than the loop ever asks
/// for proves nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiveTimeBound {
    earliest: Time,
    asleep_since: Option<Time>,
}

impl ReceiveTimeBound {
    /// Of a loop that has not started.
    pub const NEW: ReceiveTimeBound = ReceiveTimeBound {
        earliest: Time::ZERO,
        asleep_since: None,
    };

    /// The loop goes to sleep with nothing left to do.
    pub fn on_sleep(&mut self, now: Time) {
        self.asleep_since = Some(now);
    }

    /// The loop wakes. It never asks for a sleep longer than `longest`.
    pub fn on_wake(&mut self, now: Time, longest: Duration) {
        let Some(asleep_since) = self.asleep_since.take() else {
            return;
        };
        let slept = now.saturating_sub(asleep_since);
        if (MIN_SLEEP..=longest).contains(&slept) {
            self.earliest = self.earliest.max(now);
        }
    }

    /// The loop has completed a round that started at `round_start`.
    pub fn on_round_completed(&mut self, round_start: Time) {
        self.earliest = self.earliest.max(round_start);
    }

    /// What the loop reads now was received after this time.
    pub fn earliest(&self) -> Time {
        self.earliest
    }
}

/// How long what was received after `since` may have waited until `now`; zero if that is within the loop's usual delay.
pub fn rested(since: Time, now: Time) -> Duration {
    let waited = now.saturating_sub(since);
    if waited > ON_TIME {
        waited
    } else {
        Duration::ZERO
    }
}
