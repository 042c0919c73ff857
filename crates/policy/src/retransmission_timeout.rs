//! The retransmission timeout of grant requests: RFC 6298 section 2, with Karn's algorithm (section 3) and back-off
//! (5.5).
//!
//! A fixed timeout shorter than the round-trip time would send every request twice. With one that is much longer, each
//! lost datagram would use up a large part of the latency objective.

use crate::interface::Micros;

/// Lower bound of the timeout, µs.
const MIN_TIMEOUT: f64 = 30_000.0;
/// Upper bound of the timeout, µs.
const MAX_TIMEOUT: f64 = 120_000.0;
/// Weight of a new sample in the mean (the RFC's alpha).
const MEAN_WEIGHT: f64 = 0.125;
/// Weight of a new sample in the mean deviation (the RFC's beta).
const DEVIATION_WEIGHT: f64 = 0.25;
/// Mean deviations that the timeout adds to the mean (the RFC's K).
const DEVIATIONS: f64 = 4.0;

/// The estimated round-trip time, µs.
#[derive(Clone, Copy, Debug)]
struct RoundTrip {
    mean: f64,
    deviation: f64,
}

/// Estimator of the retransmission timeout.
#[derive(Clone, Copy, Debug)]
pub struct RetransmissionTimeout {
    /// `None` before the first sample.
    round_trip: Option<RoundTrip>,
    timeout: f64,
}

impl Default for RetransmissionTimeout {
    fn default() -> Self {
        RetransmissionTimeout {
            round_trip: None,
            timeout: MAX_TIMEOUT / 2.0,
        }
    }
}

impl RetransmissionTimeout {
    /// Records the round-trip time, µs, of a request that was sent once.
    pub fn sample(&mut self, round_trip_time: Micros) {
        let sample = round_trip_time as f64;
        let round_trip = match self.round_trip {
            None => RoundTrip {
                mean: sample,
                deviation: sample / 2.0,
            },
            Some(RoundTrip { mean, deviation }) => RoundTrip {
                deviation: deviation + ((mean - sample).abs() - deviation) * DEVIATION_WEIGHT,
                mean: mean + (sample - mean) * MEAN_WEIGHT,
            },
        };
        self.round_trip = Some(round_trip);
        let timeout = round_trip.mean + round_trip.deviation * DEVIATIONS;
        self.timeout = timeout.clamp(MIN_TIMEOUT, MAX_TIMEOUT);
    }

    /// Doubles the timeout after the response to a request that was sent more than once. Such a response gives no
    /// sample (Karn's algorithm); without the back-off, a round-trip time above the timeout would never be sampled.
    pub fn back_off(&mut self) {
        self.timeout = (self.timeout * 2.0).min(MAX_TIMEOUT);
    }

    /// The current timeout, µs.
    pub fn value(&self) -> Micros {
        self.timeout as Micros
    }
}

#[cfg(test)]
mod tests;
