//! Times and durations.

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLISECOND: Micros = 1_000;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;
