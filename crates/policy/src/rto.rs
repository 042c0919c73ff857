//! How long to wait for a peer's answer before an ask is put again: RFC 6298, section 2, with its Karn's rule (section 3)
//! and back-off (5.5). Danger: a fixed wait under the way there and back doubles every ask, and one far above it makes
//! each lost datagram cost a good part of the aim.

use crate::interface::Micros;

/// µs between which the wait lies.
const BOUNDS: (f64, f64) = (30_000.0, 120_000.0);
/// Weights of a new sample, in the mean and in the mean deviation (the RFC's alpha and beta).
const WEIGHTS: (f64, f64) = (0.125, 0.25);
/// Deviations that the wait leaves (its K).
const DEVIATIONS: f64 = 4.0;

/// What is known of the way to peers and back.
#[derive(Clone, Copy, Debug)]
pub struct Rto {
    /// Mean and mean deviation, µs; none before the first sample.
    known: Option<(f64, f64)>,
    wait: f64,
}

impl Default for Rto {
    fn default() -> Self {
        Rto {
            known: None,
            wait: BOUNDS.1 / 2.0,
        }
    }
}

impl Rto {
    /// An answer took so long, to an ask that was put once.
    pub fn sample(&mut self, took: Micros) {
        let took = took as f64;
        let (mean, deviation) = match self.known {
            None => (took, took / 2.0),
            Some((mean, deviation)) => {
                let deviation = deviation + ((mean - took).abs() - deviation) * WEIGHTS.1;
                (mean + (took - mean) * WEIGHTS.0, deviation)
            }
        };
        self.known = Some((mean, deviation));
        self.wait = (mean + deviation * DEVIATIONS).clamp(BOUNDS.0, BOUNDS.1);
    }

    /// An answer to an ask that was put again came too late for the first: without this, a way longer than the wait would
    /// never be learned.
    pub fn back_off(&mut self) {
        self.wait = (self.wait * 2.0).min(BOUNDS.1);
    }

    /// µs to wait.
    pub fn wait(&self) -> Micros {
        self.wait as Micros
    }
}

#[cfg(test)]
mod tests;
