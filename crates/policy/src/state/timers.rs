//! When the timer fires, and its periods.

use crate::interface::{Micros, MILLISECOND};

/// Time between two firings while requests are open, well under the latency objectives.
pub(crate) const TIMER_INTERVAL: Micros = 10 * MILLISECOND;
/// How long before its time is up a request is answered, as the next timer may be late.
pub(crate) const LAST_CALL: Micros = 2 * TIMER_INTERVAL;

/// Length of a controller period. The 4 s of the paper that `concurrency_limit` follows are longer than bursts of load.
pub(crate) const CONTROLLER_PERIOD: Micros = 500 * MILLISECOND;
/// Length of a period, seconds.
pub(crate) const CONTROLLER_PERIOD_S: f64 = CONTROLLER_PERIOD as f64 / 1e6;
/// Longest time after which a rejected client is told to retry, while no server warms up: other requests of its
/// customer may be granted meanwhile, even where an owner rejects for longer.
pub(crate) const MAX_RETRY_AFTER: Micros = 100 * MILLISECOND;
/// When what is due.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timers {
    /// When the timer fires; the end of time while none is set.
    pub fires_at: Micros,
    /// When the next controller period begins.
    pub next_period_at: Micros,
}

impl Timers {
    /// No timer is set; the first period begins now.
    pub fn new(now: Micros) -> Self {
        Timers {
            fires_at: Micros::MAX,
            next_period_at: now + CONTROLLER_PERIOD,
        }
    }
}
