//! The clock by which the crate reckons.

use std::time::Duration;

/// A point in time: the span since some fixed moment of a clock that never goes back (`CLOCK_MONOTONIC`).
pub type Time = Duration;
