//! How long to wait for a peer's response before a grant request is retransmitted: RFC 6298 section 2, with Karn's rule
//! (section 3) and back-off (5.5).
//!
//! A fixed wait shorter than the round trip would send every request twice; one far longer would make each lost datagram
//! cost a good part of the latency objective.

use crate::interface::Micros;

/// Shortest wait, µs.
const MIN_WAIT: f64 = 30_000.0;
/// Longest wait, µs.
const MAX_WAIT: f64 = 120_000.0;
/// Weight of a new sample in the mean (the RFC's alpha).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the mean deviation (the RFC's beta).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Deviations that the wait leaves (the RFC's K).
const DEVIATIONS: f64 = 4.0;

/// The round trip as estimated so far, µs.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean: f64,
    deviation: f64,
}

/// The retransmission timeout.
#[derive(Clone, Copy, Debug)]
pub struct RetransmissionTimeout {
    /// `None` before the first sample.
    round_trip: Option<RoundTrip>,
    wait: f64,
}

impl Default for RetransmissionTimeout {
    fn default() -> Self {
        RetransmissionTimeout {
            round_trip: None,
            wait: MAX_WAIT / 2.0,
        }
    }
}

impl RetransmissionTimeout {
    /// A request that was sent once was answered after this span, µs.
    pub fn sample(&mut self, took: Micros) {
        let took = took as f64;
        let round_trip = match self.round_trip {
            None => RoundTrip {
                mean: took,
                deviation: took / 2.0,
            },
            Some(RoundTrip { mean, deviation }) => RoundTrip {
                deviation: deviation + ((mean - took).abs() - deviation) * DEVIATION_WEIGHT,
                mean: mean + (took - mean) * MEAN_WEIGHT,
            },
        };
        self.round_trip = Some(round_trip);
        let wait = round_trip.mean + round_trip.deviation * DEVIATIONS;
        self.wait = wait.clamp(MIN_WAIT, MAX_WAIT);
    }

    /// A request that was sent more than once was answered. Its round trip is unknown (Karn's rule); the back-off lets a
    /// round trip longer than the wait be learned at all.
    pub fn back_off(&mut self) {
        self.wait = (self.wait * 2.0).min(MAX_WAIT);
    }

    /// The wait, µs.
    pub fn wait(&self) -> Micros {
        self.wait as Micros
    }
}

#[cfg(test)]
mod tests;
