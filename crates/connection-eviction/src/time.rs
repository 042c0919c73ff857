//! The time type of the crate.

use std::time::Duration;

/// A point in time: the duration since an arbitrary but fixed origin of a monotonic clock.
pub type Time = Duration;
