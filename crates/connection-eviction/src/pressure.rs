//! The number of connections to evict at once, derived from the number of recently accepted connections.

use crate::time::Time;
use std::time::Duration;

/// The length of the window in which accepted connections are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// At most `1 / PROACTIVE_DIVISOR` of the connection limit is evicted proactively.
const PROACTIVE_DIVISOR: usize = 4;

/// Counts the connections accepted in the current window and in the previous one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionPressure {
    window_start: Time,
    in_current_window: usize,
    in_previous_window: usize,
}

impl EvictionPressure {
    /// Records an accepted connection.
    pub fn record_accepted(&mut self, now: Time) {
        self.advance_window(now);
        self.in_current_window = self.in_current_window.saturating_add(1);
    }

    fn advance_window(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let adjacent = elapsed < 2 * WINDOW;
        self.in_previous_window = if adjacent { self.in_current_window } else { 0 };
        self.in_current_window = 0;
        self.window_start = now;
    }

    /// Returns how many more connections to evict when one connection waits to be accepted. `limit` is the maximum
    /// number of connections, `open` the number of open ones, and `closing` how many of these are already closing.
    ///
    /// The required evictions make room for the waiting connection. During a flood, further evictions are allowed
    /// proactively, as many as connections were accepted recently: if the flood's connections were evicted one by one,
    /// requests that arrive behind it would have to wait. A single connection evicts at most one other.
    pub fn evictions(
        &mut self,
        now: Time,
        limit: usize,
        open: usize,
        closing: usize,
    ) -> EvictionCount {
        self.advance_window(now);
        let excess = (open + 1).saturating_sub(limit);
        if excess == 0 {
            return EvictionCount::default();
        }
        let recent = self.in_current_window + self.in_previous_window;
        let expected = recent.min(limit / PROACTIVE_DIVISOR);
        let required = excess.saturating_sub(closing);
        EvictionCount {
            required,
            allowed: expected.saturating_sub(closing).saturating_sub(required),
        }
    }
}

/// How many connections to evict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionCount {
    /// Evictions that make room for connections that wait to be accepted.
    pub required: usize,
    /// Proactive evictions, for connections that are expected next. Only connections that have been silent for long are
    /// chosen, see [`Limits::slow_client_max_silence`](crate::Limits::slow_client_max_silence).
    pub allowed: usize,
}
