//! A lower bound for the time at which bytes were received from the network.
//!
//! The kernel does not report when bytes were received, but the event loop can bound that time in two ways. Before it
//! sleeps, it has read all available bytes, so bytes read after an event wakes it were received at the wake-up. This holds
//! for a sleep in which the loop waited, not for time in which it could not run while bytes were there already. And by
//! the end of an iteration (one poll and the handling of its events) it has read all bytes that were available when the
//! iteration started, so bytes read later were received after that start.

use crate::time::Time;
use std::time::Duration;

/// After a shorter sleep, the event may have been pending before the loop slept.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// A delay of up to this much is usual for the event loop and is not reported as waiting time.
const USUAL_DELAY: Duration = Duration::from_millis(5);

/// The earliest time at which bytes that the event loop reads now can have been received.
///
/// A process that is suspended during a sleep wakes up late, and the bytes that it then reads may have been received at
/// any time during the suspension. If they counted as just received, their requests would get longer deadlines than
/// their clients wait. So a sleep that was longer than the loop ever requests does not move the bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceiveTimeBound {
    earliest: Time,
    asleep_since: Option<Time>,
}

impl ReceiveTimeBound {
    /// The bound before the event loop starts.
    pub const NEW: ReceiveTimeBound = ReceiveTimeBound {
        earliest: Time::ZERO,
        asleep_since: None,
    };

    /// Records that the loop goes to sleep after it has handled all events.
    pub fn on_sleep(&mut self, now: Time) {
        self.asleep_since = Some(now);
    }

    /// Returns by how much the present sleep exceeds `max_sleep`, the longest sleep that the loop ever requests.
    pub fn overslept(&self, now: Time, max_sleep: Duration) -> Duration {
        let slept = self
            .asleep_since
            .map_or(Duration::ZERO, |since| now.saturating_sub(since));
        slept.saturating_sub(max_sleep)
    }

    /// Records that the loop wakes up. `max_sleep` is the longest sleep that the loop ever requests.
    pub fn on_wake(&mut self, now: Time, max_sleep: Duration) {
        let Some(asleep_since) = self.asleep_since.take() else {
            return;
        };
        let slept = now.saturating_sub(asleep_since);
        if (MIN_SLEEP..=max_sleep).contains(&slept) {
            self.earliest = self.earliest.max(now);
        }
    }

    /// Records that the loop wakes up without having waited for an event: bytes may have been available before, and the
    /// time that has passed is time in which the loop could not run.
    pub fn on_wake_without_wait(&mut self) {
        self.asleep_since = None;
    }

    /// Records that the loop has completed an iteration that started at `iteration_start`.
    pub fn on_iteration_completed(&mut self, iteration_start: Time) {
        self.earliest = self.earliest.max(iteration_start);
    }

    /// The bound: bytes that the loop reads now were received at this time or later.
    pub fn earliest(&self) -> Time {
        self.earliest
    }
}

/// Returns how long bytes received after `since` may have waited to be read at `now`; zero if that is within the event
/// loop's usual delay.
pub fn time_unread(since: Time, now: Time) -> Duration {
    let waited = now.saturating_sub(since);
    if waited > USUAL_DELAY {
        waited
    } else {
        Duration::ZERO
    }
}
