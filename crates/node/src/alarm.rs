//! A timer for a state machine that does no I/O and says when it is to be woken.

use saffronpaddle_policy::interface::Micros;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// How long it sleeps where nothing is due.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// The time that a timer sleeps until, and a notification that it must wake earlier.
pub struct Alarm {
    armed: Cell<Micros>,
    sooner: Notify,
}

impl Alarm {
    /// A timer that nothing is due for.
    pub fn new() -> Alarm {
        Alarm {
            armed: Cell::new(Micros::MAX),
            sooner: Notify::new(),
        }
    }

    /// The machine is to be woken at this time: a sleep that would last longer is cut short.
    pub fn set(&self, next: Option<Micros>) {
        if next.is_some_and(|at| at < self.armed.get()) {
            self.sooner.notify_one();
        }
    }

    /// Returns when the state machine is due, however often its time changes meanwhile.
    pub async fn rings(&self, next: impl Fn() -> Option<Micros>, now: impl Fn() -> Micros) {
        loop {
            let next = next();
            self.armed.set(next.unwrap_or(Micros::MAX));
            let span = next.map(|at| Duration::from_micros(at.saturating_sub(now())));
            tokio::select! {
                () = tokio::time::sleep(span.unwrap_or(IDLE_SLEEP)) => return,
                () = self.sooner.notified() => {}
            }
        }
    }
}
