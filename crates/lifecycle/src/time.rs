//! The time type of the crate.

use std::time::Duration;

/// A point in time: the duration since an arbitrary but fixed origin of the monotonic clock (`CLOCK_MONOTONIC`).
pub type Time = Duration;
