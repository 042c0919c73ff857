//! The result of an attempt at a server.

use crate::Micros;

/// The result of an attempt that got a response or failed without one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptResult {
    /// Whether the server processed the request successfully.
    pub served: bool,
    /// Duration of the attempt, µs.
    pub latency: Micros,
    /// Latency objective of the request's class, µs.
    pub latency_objective: Micros,
    /// Server's capacity when the attempt was sent, as a fraction of its full capacity, 0 to 1.
    pub capacity_fraction: f64,
    /// A random number from 0 to 1, used to round a fractional number of permits: the fraction is the probability of
    /// rounding up.
    pub random_fraction: f64,
}
