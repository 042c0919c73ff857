//! How many connections make way at once, by how many have come lately.

use crate::Time;
use std::time::Duration;

/// How far back newcomers count.
const LATELY: Duration = Duration::from_millis(100);
/// Of all seats, one in so many is emptied ahead of need at the most.
const SHARE: usize = 4;

/// The newcomers of late: as many as in the last 100 ms and a little before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionPressure {
    since: Time,
    now: usize,
    before: usize,
}

impl EvictionPressure {
    /// One has come.
    pub fn accepted(&mut self, now: Time) {
        self.turn(now);
        self.now = self.now.saturating_add(1);
    }

    fn turn(&mut self, now: Time) {
        let gone = now.saturating_sub(self.since);
        if gone >= LATELY {
            self.before = if gone < 2 * LATELY { self.now } else { 0 };
            (self.since, self.now) = (now, 0);
        }
    }

    /// How many more are to make way where one waits for a place, `most` places there are, `seated` are taken, and `going` of
    /// these have been told to go: first those that are needed now, then those that will be if as many come as lately. Guards
    /// against a crowd behind which a request waits, as one after the other is let in; and against sending many away for one.
    pub fn evictions(
        &mut self,
        now: Time,
        most: usize,
        seated: usize,
        going: usize,
    ) -> EvictionCount {
        self.turn(now);
        let needed = (seated + 1).saturating_sub(most);
        if needed == 0 {
            return EvictionCount::default();
        }
        let soon = (self.now + self.before).min(most / SHARE);
        let must = needed.saturating_sub(going);
        EvictionCount {
            required: must,
            allowed: soon.saturating_sub(going).saturating_sub(must),
        }
    }
}

/// How many make way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EvictionCount {
    /// For those who wait.
    pub required: usize,
    /// Ahead of need: only who has been silent for long.
    pub allowed: usize,
}
