//! A timer for a state machine without I/O that reports when it is next due.

use saffronpaddle_policy::interface::Micros;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// How long the timer sleeps if nothing is due.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// A timer that can be moved to an earlier time while a task waits for it.
pub struct Alarm {
    /// When the waiting task wakes; [`Micros::MAX`] if nothing is due.
    wake_at: Cell<Micros>,
    /// Notified when the timer has to wake before `wake_at`.
    due_earlier: Notify,
}

impl Alarm {
    /// A timer for which nothing is due.
    pub fn new() -> Alarm {
        Alarm {
            wake_at: Cell::new(Micros::MAX),
            due_earlier: Notify::new(),
        }
    }

    /// Sets when the state machine is next due. Ends a sleep that would last longer.
    pub fn set(&self, next: Option<Micros>) {
        if next.is_some_and(|at| at < self.wake_at.get()) {
            self.due_earlier.notify_one();
        }
    }

    /// Waits until the state machine is due, even if [`Alarm::set`] changes that time meanwhile. `next` returns the
    /// time at which it is due, and `now` the current time, both in µs.
    pub async fn wait_until_due(
        &self,
        next: impl Fn() -> Option<Micros>,
        now: impl Fn() -> Micros,
    ) {
        loop {
            let next = next();
            self.wake_at.set(next.unwrap_or(Micros::MAX));
            let remaining = next.map(|at| Duration::from_micros(at.saturating_sub(now())));
            tokio::select! {
                () = tokio::time::sleep(remaining.unwrap_or(IDLE_SLEEP)) => return,
                () = self.due_earlier.notified() => {}
            }
        }
    }
}
