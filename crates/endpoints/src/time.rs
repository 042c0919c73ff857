//! The time type of this crate.

/// A point in time, as the time elapsed on a monotonic clock since a fixed origin that the caller chooses.
pub type Time = std::time::Duration;
