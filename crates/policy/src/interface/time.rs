//! Time as the engine counts it.

/// A point in time or a span, in microseconds.
pub type Micros = u64;

/// One millisecond.
pub const MILLISECOND: Micros = 1_000;

/// One second.
pub const SECOND: Micros = 1_000_000;
