//! The limits that bind a fleet at a server that warms up.
//!
//! Inputs are the number of nodes and what overloads a server; the results are permits for each answer, their lifetime in µs
//! and the length of a time slot in µs. The bound that they keep is in the crate's documentation.

use crate::Micros;

/// Fraction of the load that overloads a server which earned permits may bring a fleet to send, in the worst case.
pub const MAX_OVERLOAD_FRACTION: f64 = 0.6;
/// Requests a second that all nodes together send in time slots. A server of one core bears about seven requests in its
/// first second, so slots must leave capacity for the requests of earned permits.
const SLOTS_PER_SECOND: f64 = 0.75;
/// The same at a server that restarted soon after its last start: it has probably been overloaded.
const SLOTS_PER_SECOND_AFTER_EARLY_RESTART: f64 = SLOTS_PER_SECOND / 2.0;
/// Fewest permits that an answer in good time brings: the fleet keeps its rate.
const MIN_GROWTH: f64 = 1.0;
/// Most permits that an answer in good time brings.
const MAX_GROWTH: f64 = 1.35;
/// The same once an answer was slow, or at a server that restarted soon after its last start.
const CAUTIOUS_GROWTH: f64 = 1.2;
/// Shortest lifetime of a permit, in overload windows.
const MIN_LIFETIME_WINDOWS: f64 = 0.02;
/// Longest lifetime of a permit, in overload windows.
const MAX_LIFETIME_WINDOWS: f64 = 1.0;
/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// The limits of a fleet at one server, as one of its nodes has them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimits {
    /// Number of nodes that share the time slots.
    pub node_count: u32,
    /// This node's number among them, from 0; a node with a higher number has no slots.
    pub node: u32,
    /// When this node's process started, µs. A slot that began before is not its own: a node that is killed in its slot and
    /// restarts within it doesn't know whether it has used it, and could use it once a life.
    pub up_since: Micros,
    /// More than this multiple of what a server can do a second, within `overload_window`, overloads the server.
    pub overload_multiple: f64,
    /// See `overload_multiple`; µs.
    pub overload_window: Micros,
}

impl SlowStartLimits {
    /// Most permits that an answer brings. Where little is needed to overload a server, the fleet only keeps its rate.
    pub fn growth(&self) -> f64 {
        (self.overload_multiple / 2.0).clamp(MIN_GROWTH, MAX_GROWTH)
    }

    /// Most permits that an answer brings where there is reason for caution.
    pub(crate) fn cautious_growth(&self) -> f64 {
        CAUTIOUS_GROWTH.min(self.growth())
    }

    /// How long a permit may be used, µs: growth x (window + lifetime) is [`MAX_OVERLOAD_FRACTION`] of the overload
    /// multiple x window.
    pub fn permit_lifetime(&self) -> Micros {
        let windows = MAX_OVERLOAD_FRACTION * self.overload_multiple / self.growth() - 1.0;
        let windows = windows.clamp(MIN_LIFETIME_WINDOWS, MAX_LIFETIME_WINDOWS);
        (windows * self.overload_window as f64) as Micros
    }
}

/// How long a time slot lasts, µs.
pub(crate) fn slot_length(restarted_early: bool) -> Micros {
    let slots_per_second = if restarted_early {
        SLOTS_PER_SECOND_AFTER_EARLY_RESTART
    } else {
        SLOTS_PER_SECOND
    };
    (MICROS_PER_SECOND / slots_per_second) as Micros
}
