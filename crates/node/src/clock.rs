//! The node's time: Unix time that never goes back.

use saffronpaddle_policy::interface::Micros;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time, µs, that never goes back: it is read once and runs with the steady clock from then on. Starts that
/// discovery reports need no conversion but of units.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    started_at_unix: Micros,
}

impl Clock {
    /// A clock that is right now, as far as the system's is.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_at_unix: unix.as_micros() as Micros,
        }
    }

    /// The time now, µs.
    pub fn now(&self) -> Micros {
        self.started_at_unix + self.started_at.elapsed().as_micros() as Micros
    }
}
