//! State and intervals of the engine's timer.

use crate::interface::{Micros, MILLISECOND};

/// Timer interval while requests are open; much shorter than the latency objectives.
pub(crate) const TIMER_INTERVAL: Micros = 10 * MILLISECOND;
/// How long before its deadline a request is answered, as the next timer may fire late.
pub(crate) const ANSWER_MARGIN: Micros = 2 * TIMER_INTERVAL;

/// Length of a controller period. The 4 s of the paper that `concurrency_limit` implements would be longer than a load
/// burst.
pub(crate) const CONTROLLER_PERIOD: Micros = 500 * MILLISECOND;
/// Length of a controller period, seconds.
pub(crate) const CONTROLLER_PERIOD_S: f64 = CONTROLLER_PERIOD as f64 / 1e6;
/// Longest time after which a rejected client is asked to retry, while no server warms up. Even where an owner rejects
/// for longer, other requests of the customer may be granted in the meantime.
pub(crate) const MAX_RETRY_AFTER: Micros = 100 * MILLISECOND;

/// Times of the engine's next timer and of the next controller period.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timers {
    /// When the timer fires; [`Micros::MAX`] while none is set.
    pub fires_at: Micros,
    /// When the next controller period begins.
    pub next_period_at: Micros,
}

impl Timers {
    /// Creates the state without a timer. The first controller period begins now.
    pub fn new(now: Micros) -> Self {
        Timers {
            fires_at: Micros::MAX,
            next_period_at: now + CONTROLLER_PERIOD,
        }
    }
}
