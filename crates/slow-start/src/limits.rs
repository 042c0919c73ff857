//! The parameters of a fleet's slow start at one server.
//!
//! From the load that overloads a server, they determine the number of permits that a response earns and the lifetime
//! of permits. The crate documentation states the bound that results.

use crate::Micros;

/// Maximum load from earned permits, as a fraction of the load that overloads a server.
pub const MAX_OVERLOAD_FRACTION: f64 = 0.6;
/// Time slots per second, each for one request of the entire fleet. More than about seven requests in its first second
/// overload a server with one core, so slots must leave capacity for the requests of earned permits.
const SLOTS_PER_SECOND: f64 = 0.75;
/// Time slots per second at a server that restarted soon after its previous start: it was probably overloaded.
const SLOTS_PER_SECOND_AFTER_EARLY_RESTART: f64 = SLOTS_PER_SECOND / 2.0;
/// Minimum number of permits that a fast response earns. With one permit per response, the fleet keeps its rate.
const MIN_GROWTH: f64 = 1.0;
/// Maximum number of permits that a fast response earns.
const MAX_GROWTH: f64 = 1.35;
/// Maximum number of permits that a fast response earns after a slow response or an early restart of the server.
const MAX_CAUTIOUS_GROWTH: f64 = 1.2;
/// Minimum lifetime of a permit, in overload windows.
const MIN_LIFETIME_WINDOWS: f64 = 0.02;
/// Maximum lifetime of a permit, in overload windows.
const MAX_LIFETIME_WINDOWS: f64 = 1.0;
const MICROS_PER_SECOND: f64 = 1e6;

/// The slow start parameters of a fleet at one server, as configured at one node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartLimits {
    /// Number of nodes that share the time slots.
    pub node_count: u32,
    /// This node's number among them, from 0. A node whose number is `node_count` or higher has no slots.
    pub node: u32,
    /// When this node's process started, µs. The node must not use a slot that began earlier: its previous process may
    /// have used that slot, and a node that restarts repeatedly within a slot would use it once per process.
    pub process_started_at: Micros,
    /// Load above which a server is overloaded, as a multiple of what it can process within `overload_window`.
    pub overload_multiple: f64,
    /// Time span to which `overload_multiple` applies, µs.
    pub overload_window: Micros,
}

impl SlowStartLimits {
    /// Returns the maximum number of permits that a response earns. If little load overloads a server, it is 1, so that
    /// the fleet only keeps its rate.
    pub fn growth(&self) -> f64 {
        (self.overload_multiple / 2.0).clamp(MIN_GROWTH, MAX_GROWTH)
    }

    /// Returns the maximum number of permits that a response earns after a slow response or an early restart of the
    /// server.
    pub(crate) fn cautious_growth(&self) -> f64 {
        MAX_CAUTIOUS_GROWTH.min(self.growth())
    }

    /// Returns the lifetime of a permit, µs. Within its bounds it is set so that growth x (window + lifetime) is
    /// [`MAX_OVERLOAD_FRACTION`] of overload multiple x window.
    pub fn permit_lifetime(&self) -> Micros {
        let windows = MAX_OVERLOAD_FRACTION * self.overload_multiple / self.growth() - 1.0;
        let windows = windows.clamp(MIN_LIFETIME_WINDOWS, MAX_LIFETIME_WINDOWS);
        (windows * self.overload_window as f64) as Micros
    }
}

/// Returns the length of a time slot, µs.
pub(crate) fn slot_length(restarted_early: bool) -> Micros {
    let slots_per_second = if restarted_early {
        SLOTS_PER_SECOND_AFTER_EARLY_RESTART
    } else {
        SLOTS_PER_SECOND
    };
    (MICROS_PER_SECOND / slots_per_second) as Micros
}
