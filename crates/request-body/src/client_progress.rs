//! Whether the client of a body still sends.

use std::time::Duration;

/// Longest time for which a client that sends a body may be silent. A client that stops has to be
/// disconnected within 3 s.
pub const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// Minimum rate of a body: half the rate of a slow client.
pub const MIN_BYTES_PER_SECOND: u32 = 32_000;

/// Bounds how long the node waits for a client that sends a body.
///
/// Each byte earns its client the time that the minimum rate allows for it, waiting uses it up, and no client has more
/// than [`MAX_SILENCE`] left. So a client that stops is recognized after that time however much it sent before, and one
/// that sends single bytes does not last longer. Time in which the node does not wait for the client does not count: the
/// node may be late, or may have no room for more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientProgress {
    time_left: Duration,
}

impl Default for ClientProgress {
    fn default() -> ClientProgress {
        ClientProgress {
            time_left: MAX_SILENCE,
        }
    }
}

impl ClientProgress {
    /// How long the client may be silent from now on.
    pub fn time_left(&self) -> Duration {
        self.time_left
    }

    /// Records that `bytes` arrived after the node had waited for them for this long.
    pub fn record_received(&mut self, waited: Duration, bytes: usize) {
        let seconds = bytes as f64 / f64::from(MIN_BYTES_PER_SECOND);
        let left = self.time_left.saturating_sub(waited) + Duration::from_secs_f64(seconds);
        self.time_left = left.min(MAX_SILENCE);
    }
}
