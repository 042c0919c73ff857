//! Utilization of the back end: the attempts that the entire fleet has in flight, relative to the capacity of the
//! servers.
//!
//! When many servers become unavailable at once, drained or with a failed zone, the remaining ones take the full load,
//! and latency shows the overload only after it has occurred. The attempts in flight and the available servers are
//! known earlier: the first is a gossip average over the fleet, the second is on the endpoint list. By Little's law the
//! number in flight is throughput times latency. A server with a known throughput can therefore sustain the number of
//! attempts that it completes within a share of the shortest latency objective, whatever its size.
//!
//! Inputs: attempts in flight at this node, the capacity of the healthy servers (a server in slow start counts in
//! part), responses per second per node, the shortest latency objective in seconds. Result: a ratio, 1 if the fleet has
//! as many attempts in flight as the servers sustain.

use crate::decaying_mean::DecayingMean;
use crate::gossip_average::{GossipAverage, IN_FLIGHT_DECAY_S};

/// Share of the shortest latency objective within which a server should complete the attempts in flight.
const OBJECTIVE_SHARE: f64 = 0.5;
/// Weight of one controller period in the mean rate of responses and in the mean capacity of the servers that sent
/// them.
pub const SERVICE_RATE_WEIGHT: f64 = 0.05;
/// Lower bound of the attempts, of all nodes together, that a warm server is assumed to sustain, as its throughput is
/// measured with a delay.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;

/// Attempts in flight over the fleet, and the capacity of the servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    /// Mean number of attempts in flight per node.
    pub in_flight: GossipAverage,
    /// Current capacity of the healthy servers, in warm servers.
    capacity: f64,
    /// Mean capacity over the time in which responses were counted. If the responses of the last seconds were divided
    /// by the current capacity, the throughput per server would be overestimated after servers fail, and underestimated
    /// after they return.
    mean_capacity: DecayingMean,
}

impl Utilization {
    /// Sets the current capacity of the servers that are ready and not ejected, in warm servers.
    pub fn set_capacity(&mut self, servers: f64) {
        self.capacity = servers;
    }

    /// Adds a sample of the attempts in flight at this node, `elapsed_s` seconds after the previous sample.
    pub fn sample(&mut self, elapsed_s: f64, in_flight: f64) {
        self.in_flight.decay(elapsed_s / IN_FLIGHT_DECAY_S);
        self.in_flight.add(in_flight, 1.0);
        self.mean_capacity.add(self.capacity, SERVICE_RATE_WEIGHT);
    }

    /// Returns the utilization by `nodes` nodes. `service_rate`: responses per second of one node; `objective_s`: the
    /// shortest latency objective, seconds.
    pub fn value(&self, nodes: f64, service_rate: f64, objective_s: f64) -> f64 {
        let in_flight = self.in_flight.mean().unwrap_or(0.0) * nodes;
        let responding_capacity = if self.mean_capacity.is_known() {
            self.mean_capacity.value()
        } else {
            self.capacity
        };
        let sustainable_per_server =
            service_rate * nodes / responding_capacity.max(1.0) * objective_s * OBJECTIVE_SHARE;
        let sustainable = sustainable_per_server.max(MIN_IN_FLIGHT_PER_SERVER) * self.capacity;
        in_flight / sustainable.max(1.0)
    }
}

#[cfg(test)]
mod tests;
