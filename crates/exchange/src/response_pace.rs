//! Whether a server still gives a response of unknown length, so that the response may turn out to be long.
//!
//! At the deadline of its request, a response that is short has to be ended and one that is long must not be cut off. Which
//! it is shows only in what its server has given so far and in how it gives. The server gives in bursts, which
//! may be as long as the response. One that has all but stopped still sends single bytes, so what counts is
//! the latest burst.

use saffronpaddle_policy::interface::Micros;

/// Minimum rate of a server that still gives a response, in bytes a second.
const MIN_BYTES_PER_SECOND: u64 = 4_000;
/// Bytes that are given with shorter pauses than this belong to one burst, µs.
const MAX_BURST_PAUSE: Micros = 100_000;
/// After a burst of this many bytes, the next one may come a little later than the deadline.
const MIN_BURST_BYTES: u64 = 4 * 1024;
/// How much later, µs. Clients see a request without an end half a second after its deadline as lost.
const BURST_GRACE: Micros = 300_000;
/// A response of which this much was received is likely to be long: half of what makes it so.
const LIKELY_LONG_BYTES: u64 = 32 * 1024;
/// Longest silence of a server that gives a response which is likely to be long, and of any other, µs.
const MAX_SILENCE: Micros = 2_000_000;
const MAX_SHORT_SILENCE: Micros = 300_000;

/// How a server gives a response of unknown length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct ResponsePace {
    received_bytes: u64,
    /// Bytes of the latest burst.
    burst_bytes: u64,
    /// Bytes that come later than this begin another burst, µs.
    burst_ends_at: Micros,
    last_received_at: Micros,
}

impl ResponsePace {
    /// Records that `bytes` were received at `now`.
    pub fn record_received(&mut self, now: Micros, bytes: u64) {
        if now > self.burst_ends_at {
            self.burst_bytes = 0;
            self.burst_ends_at = now;
        }
        self.received_bytes += bytes;
        self.burst_bytes += bytes;
        self.burst_ends_at = (self.burst_ends_at + earned_time(bytes)).min(now + MAX_BURST_PAUSE);
        self.last_received_at = now;
    }

    /// Returns until when the response may go on if nothing more is received, µs. `deadline` is that of its request.
    pub fn may_go_on_until(&self, deadline: Micros) -> Micros {
        let max_silence = if self.received_bytes >= LIKELY_LONG_BYTES {
            MAX_SILENCE
        } else {
            MAX_SHORT_SILENCE
        };
        let silence = earned_time(self.burst_bytes).min(max_silence);
        let grace = if self.burst_bytes >= MIN_BURST_BYTES {
            BURST_GRACE
        } else {
            0
        };
        let silent_until = self.last_received_at.saturating_add(silence);
        silent_until.max(deadline.saturating_add(grace))
    }
}

/// Time in which a server gives this many bytes at the minimum rate, µs.
fn earned_time(bytes: u64) -> Micros {
    bytes.saturating_mul(1_000_000) / MIN_BYTES_PER_SECOND
}

#[cfg(test)]
mod tests;
