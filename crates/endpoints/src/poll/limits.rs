//! What an installation sets for calls to its discovery.

use std::time::Duration;

/// Limits of calls to a discovery service that all nodes share.
#[derive(Clone, Debug, PartialEq)]
pub struct PollLimits {
    /// Calls per second that all nodes together make, even if all calls fail.
    pub calls_per_s: f64,
    /// The first call is made within this span of the start. If more nodes start at once than `calls_per_s` allows, this
    /// limit goes before it: a node must not stay without a list.
    pub first_within: Duration,
    /// The timeout of a call.
    pub answer_within: Duration,
    /// How long a list that turns empty at once must stay so before it is believed.
    pub empty_after: Duration,
}

impl PollLimits {
    /// When a node makes its first call, counted from its start. The node is given by its number and the number of all
    /// nodes. Each node has a time slot by its number, and calls at the fraction `draw` (0 to 1) of it, so that the calls
    /// of a fleet that starts at once are spread evenly.
    pub fn first_call(&self, (number, nodes): (u32, u32), draw: f64) -> Duration {
        let nodes = nodes.max(1);
        let all_nodes = Duration::from_secs_f64(f64::from(nodes) / self.calls_per_s);
        let span = all_nodes.min(self.first_within);
        let slot = f64::from(number % nodes) + draw.clamp(0.0, 1.0);
        span.mul_f64(slot / f64::from(nodes))
    }
}
