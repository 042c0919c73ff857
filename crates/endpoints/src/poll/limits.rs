//! Limits that an installation sets for calls to its discovery service.

use std::time::Duration;

/// Limits on calls to a discovery service that all nodes share.
#[derive(Clone, Debug, PartialEq)]
pub struct PollLimits {
    /// Maximum number of calls per second of all nodes together, also if all calls fail.
    pub calls_per_s: f64,
    /// Maximum time from the start of a node to its first call. Takes precedence over `calls_per_s` if too many nodes
    /// start at once, because a node must not stay without a list.
    pub first_within: Duration,
    /// Timeout of a call.
    pub answer_within: Duration,
    /// How long a list must stay empty before it is accepted, if all servers disappeared at once.
    pub empty_after: Duration,
}

impl PollLimits {
    /// Returns the delay from the start of a node to its first call. The node is given by its number and the number of
    /// all nodes. Each node has its own time slot and calls at the fraction `draw` (0 to 1) of it, so that the calls of
    /// a fleet that starts at once are spread evenly.
    pub fn first_call(&self, (number, nodes): (u32, u32), draw: f64) -> Duration {
        let nodes = nodes.max(1);
        let all_nodes = Duration::from_secs_f64(f64::from(nodes) / self.calls_per_s);
        let span = all_nodes.min(self.first_within);
        let slot = f64::from(number % nodes) + draw.clamp(0.0, 1.0);
        span.mul_f64(slot / f64::from(nodes))
    }
}
