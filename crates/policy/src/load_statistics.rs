//! Load statistics that several rules use: latency, attempts in flight, responses per second.

use crate::capacity_history::CapacityHistory;
use crate::decaying_mean::DecayingMean;
use crate::gossip_average::GossipAverage;
use crate::interface::ClassId;
use crate::utilization::Utilization;

/// Expected wait before the first sample, as a share of the shortest latency objective.
pub(crate) const INITIAL_WAIT_SHARE: f64 = 0.12;
/// Value in place of the normalized latency of a class without samples.
pub(crate) const UNKNOWN_LATENCY: f64 = -1.0;
/// Weight of a new sample in the mean latency of all servers.
const LATENCY_WEIGHT: f64 = 0.02;

/// Load of the back end as observed by this node and, in a large fleet, by its peers.
#[derive(Clone, Debug)]
pub(crate) struct LoadStatistics {
    /// Mean latency of attempts at all servers, µs.
    pub mean_latency: f64,
    /// Median over the servers of the wait per attempt in flight, µs.
    pub typical_wait: f64,
    /// Mean attempts in flight of the lowest class.
    pub lowest_in_flight: f64,
    /// Mean attempts in flight.
    pub in_flight: f64,
    /// Latency of each class as a multiple of its objective; [`UNKNOWN_LATENCY`] while unknown.
    pub normalized_latencies: Vec<f64>,
    /// Normalized latencies by class across the fleet, as gossip averages.
    pub fleet_latencies: Vec<GossipAverage>,
    pub utilization: Utilization,
    /// Recent capacities of the endpoint list.
    pub capacities: CapacityHistory,
    /// Responses per second at one node.
    pub service_rate: DecayingMean,
    /// Responses since the last controller period.
    pub responses: f64,
}

impl LoadStatistics {
    /// Creates statistics without samples; `shortest_objective` in µs.
    pub fn new(classes: usize, shortest_objective: f64) -> Self {
        let initial_wait = shortest_objective * INITIAL_WAIT_SHARE;
        LoadStatistics {
            mean_latency: initial_wait,
            typical_wait: initial_wait,
            lowest_in_flight: 0.0,
            in_flight: 0.0,
            normalized_latencies: vec![UNKNOWN_LATENCY; classes],
            fleet_latencies: vec![GossipAverage::default(); classes],
            utilization: Utilization::default(),
            capacities: CapacityHistory::default(),
            service_rate: DecayingMean::default(),
            responses: 0.0,
        }
    }

    /// Adds the latency of an attempt, µs. Cancelled attempts have to be included, as the mean would otherwise be too
    /// low when servers are slow.
    pub fn record_latency(&mut self, latency: f64) {
        self.mean_latency += (latency - self.mean_latency) * LATENCY_WEIGHT;
    }

    /// Leaves a share of their weight to the latencies observed so far.
    pub fn discount_latencies(&mut self, share: f64) {
        self.fleet_latencies
            .iter_mut()
            .for_each(|average| average.discount(share));
    }

    /// Returns the highest normalized latency of all classes but the lowest, which counts only if there is no other;
    /// `None` while unknown.
    pub fn worst_normalized_latency(&self, lowest: ClassId) -> Option<f64> {
        let only_one = self.normalized_latencies.len() == 1;
        self.normalized_latencies
            .iter()
            .enumerate()
            .filter(|(class, _)| *class != lowest.0 || only_one)
            .map(|(_, latency)| *latency)
            .max_by(f64::total_cmp)
            .filter(|worst| *worst >= 0.0)
    }
}
