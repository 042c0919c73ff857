//! How much of the back end's capacity is in use by what the whole fleet has in flight.
//!
//! When servers drop out at once, drained or lost with their zone, those left take the whole load, and the latency of
//! what is answered tells of the overload only when it is there. What is in flight and which servers can take it are
//! known at once: the first is a gossip average over the fleet, the second is on the endpoint list. By Little's law the
//! number in flight is throughput times time, so a server that is known to answer so many a second can bear what it
//! answers in a part of the shortest latency objective, whatever its size.
//!
//! Inputs: attempts in flight at this node, healthy servers counted by their present capacity (a server in slow start
//! counts as a part), responses per second of a node, the shortest latency objective in seconds. Result: a multiple, 1
//! where the fleet has in flight what the servers bear.

use crate::decaying_mean::DecayingMean;
use crate::gossip_average::{GossipAverage, IN_FLIGHT_DECAY_S};

/// Part of the shortest latency objective in which what is in flight at a server should be answered.
const OBJECTIVE_SHARE: f64 = 0.5;
/// Weight of a controller period in the mean rate of responses and in the mean of the servers that gave them.
pub const SERVICE_RATE_WEIGHT: f64 = 0.05;
/// Attempts that all nodes together may always have in flight at a warm server: its throughput is seen late.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;

/// What is in flight, and what can take it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Utilization {
    /// Attempts in flight per node.
    pub in_flight: GossipAverage,
    /// Capacity of the healthy servers now, in warm servers.
    capacity: f64,
    /// The mean of that over the time in which responses were counted. Responses of the last seconds divided by the
    /// servers of this moment would make those left after a failure look fast, and those that return look slow.
    mean_capacity: DecayingMean,
}

impl Utilization {
    /// Sets the capacity of the servers that are ready and not ejected, in warm servers.
    pub fn set_capacity(&mut self, servers: f64) {
        self.capacity = servers;
    }

    /// Takes a sample of what is in flight at this node, `elapsed_s` seconds after the last one.
    pub fn sample(&mut self, elapsed_s: f64, in_flight: f64) {
        self.in_flight.decay(elapsed_s / IN_FLIGHT_DECAY_S);
        self.in_flight.add(in_flight, 1.0);
        self.mean_capacity.add(self.capacity, SERVICE_RATE_WEIGHT);
    }

    /// What `nodes` nodes have in flight, as a multiple of what the servers bear. `service_rate`: responses per second
    /// of one node; `objective_s`: the shortest latency objective, seconds.
    pub fn value(&self, nodes: f64, service_rate: f64, objective_s: f64) -> f64 {
        let in_flight = self.in_flight.mean().unwrap_or(0.0) * nodes;
        let responding = if self.mean_capacity.is_known() {
            self.mean_capacity.value()
        } else {
            self.capacity
        };
        let per_server = service_rate * nodes / responding.max(1.0) * objective_s * OBJECTIVE_SHARE;
        let bearable = per_server.max(MIN_IN_FLIGHT_PER_SERVER) * self.capacity;
        in_flight / bearable.max(1.0)
    }
}

#[cfg(test)]
mod tests;
