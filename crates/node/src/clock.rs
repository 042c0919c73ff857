//! The node's clock: Unix time that never goes back.

use saffronpaddle_policy::interface::Micros;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in µs that never goes back: the system clock is read once, and the monotonic clock advances the time from
/// then on. As it is Unix time, the start times of servers that discovery reports only need a conversion of units.
#[derive(Clone, Copy)]
pub struct Clock {
    started_at: Instant,
    started_at_unix: Micros,
}

impl Clock {
    /// Creates a clock that agrees with the system clock now.
    pub fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started_at: Instant::now(),
            started_at_unix: unix.as_micros() as Micros,
        }
    }

    /// Unix time now, in µs.
    pub fn now(&self) -> Micros {
        self.started_at_unix + self.started_at.elapsed().as_micros() as Micros
    }
}
