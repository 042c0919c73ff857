//! How an attempt at a server ended.

use crate::Micros;

/// The end of an attempt, with an answer or without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether the server did the work.
    pub served: bool,
    /// How long the attempt took, µs.
    pub latency: Micros,
    /// Latency objective of the request's class, µs.
    pub latency_objective: Micros,
    /// Fraction of its full capacity that the server had when the attempt was sent, 0 to 1.
    pub capacity_fraction: f64,
    /// A random number from 0 to 1: a part of a permit is the probability of a whole one.
    pub random_fraction: f64,
}
