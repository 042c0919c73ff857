//! An alarm for a machine that does no I/O and says when it wants to be looked at.

use saffronpaddle_policy::interface::Micros;
use std::cell::Cell;
use std::time::Duration;
use tokio::sync::Notify;

/// How long it sleeps where nothing is due.
const IDLE_SLEEP: Duration = Duration::from_hours(1);

/// When it is set to ring, and the word that it must sooner.
pub struct Alarm {
    armed: Cell<Micros>,
    sooner: Notify,
}

impl Alarm {
    pub fn new() -> Alarm {
        Alarm {
            armed: Cell::new(Micros::MAX),
            sooner: Notify::new(),
        }
    }

    /// The machine wants to be looked at then: it rings sooner, if need be.
    pub fn set(&self, next: Option<Micros>) {
        if next.is_some_and(|at| at < self.armed.get()) {
            self.sooner.notify_one();
        }
    }

    /// Comes back when what the machine says is due, however often that changes meanwhile.
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
