//! How many connections are closed at once, by how many have been accepted recently.

use crate::time::Time;
use std::time::Duration;

/// The length of a window in which accepted connections are counted.
const WINDOW: Duration = Duration::from_millis(100);
/// At most one connection in this many is closed ahead of need.
const AHEAD_DIVISOR: usize = 4;

/// Counts recently accepted connections: those of the current window and of the one before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionPressure {
    window_start: Time,
    in_window: usize,
    in_window_before: usize,
}

impl EvictionPressure {
    /// A connection was accepted.
    pub fn accepted(&mut self, now: Time) {
        self.advance_window(now);
        self.in_window = self.in_window.saturating_add(1);
    }

    fn advance_window(&mut self, now: Time) {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return;
        }
        let adjacent = elapsed < 2 * WINDOW;
        self.in_window_before = if adjacent { self.in_window } else { 0 };
        self.in_window = 0;
        self.window_start = now;
    }

    /// How many more connections to close when one more waits to be accepted. `limit` is the most connections, `open` are
    /// open, and `closing` of these have been told to close.
    ///
    /// Required are those without which the waiting connection does not fit. If connections arrive in a flood, more are
    /// allowed ahead of need, as many as were accepted recently: closed one by one, a flood would make the requests behind
    /// it wait. A single connection closes no more than one other.
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
        let recent = self.in_window + self.in_window_before;
        let expected = recent.min(limit / AHEAD_DIVISOR);
        let required = excess.saturating_sub(closing);
        EvictionCount {
            required,
            allowed: expected.saturating_sub(closing).saturating_sub(required),
        }
    }
}

/// How many connections to close.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionCount {
    /// For connections that wait to be accepted.
    pub required: usize,
    /// Ahead of need: only connections that have been silent for long.
    pub allowed: usize,
}
