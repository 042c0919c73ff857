//! Gossip: statistics on load and servers that nodes exchange in grant requests and responses.
//!
//! Inputs: this node's statistics, and payloads of peers. Result: gossip averages of latency, attempts in flight and
//! faults across the fleet. At most two payloads of a peer per second are applied, and their effect decays, so that
//! the messages of one node, however many, neither eject servers nor shed requests.

use crate::endpoint_table::short_server_id;
use crate::engine::PolicyEngine;
use crate::interface::{ClassId, Micros, NodeId, MILLISECOND};
use crate::outlier_ejection::{EJECTION_FAULT_RATE, EVIDENCE_LIFETIME};
use crate::peer_message::{GossipPayload, Observation};
use crate::server::Server;
use crate::utilization::SERVICE_RATE_WEIGHT;

/// Shortest interval between two payloads of one peer that are applied.
const RECEIVE_INTERVAL: Micros = 500 * MILLISECOND;
/// Shortest interval between two messages with a payload, as every byte sent has a cost.
const SEND_INTERVAL: Micros = 100 * MILLISECOND;
/// Limit on observations of bad servers in a payload.
const MAX_BAD_OBSERVATIONS: usize = 6;
/// Limit on observations of other servers in a payload.
const MAX_GOOD_OBSERVATIONS: usize = 4;
/// Multiple of the typical wait from which a server counts as bad.
const BAD_WAIT_FACTOR: f64 = 2.0;

impl PolicyEngine {
    /// The payload for the next message; `None` if the last was sent less than [`SEND_INTERVAL`] ago.
    pub(crate) fn payload_if_due(&mut self, now: Micros) -> Option<GossipPayload> {
        if now < self.peers.next_payload_at {
            return None;
        }
        self.peers.next_payload_at = now + SEND_INTERVAL;
        Some(self.payload(now))
    }

    /// Builds a payload: the node's service rate, latencies and attempts in flight, and a random selection of
    /// observations, bad servers first.
    pub(crate) fn payload(&mut self, now: Micros) -> GossipPayload {
        let typical_wait = self.load.typical_wait;
        let is_bad = |observation: &Observation| {
            observation.fault_rate > EJECTION_FAULT_RATE / 2.0
                || observation.wait_per_attempt > BAD_WAIT_FACTOR * typical_wait
        };
        let (mut bad, mut good): (Vec<_>, Vec<_>) =
            self.observations(now).into_iter().partition(is_bad);
        self.random.shuffle(&mut bad);
        self.random.shuffle(&mut good);
        bad.truncate(MAX_BAD_OBSERVATIONS);
        good.truncate(MAX_GOOD_OBSERVATIONS);
        bad.append(&mut good);
        GossipPayload {
            service_rate: self.load.service_rate.value(),
            normalized_latencies: self.load.fleet_latencies.clone(),
            in_flight: self.load.utilization.in_flight,
            observations: bad,
        }
    }

    /// All observations of ready servers that have not expired.
    fn observations(&self, now: Micros) -> Vec<Observation> {
        self.endpoints
            .with_evidence()
            .filter(|server| server.is_ready())
            .flat_map(|server| observations_of(server, now))
            .collect()
    }

    /// Applies the payload of a peer's message if it carries one.
    pub(crate) fn on_optional_payload(
        &mut self,
        now: Micros,
        from: NodeId,
        payload: Option<GossipPayload>,
    ) {
        if let Some(payload) = payload {
            self.on_payload(now, from, payload);
        }
    }

    /// Applies a peer's payload, unless another of that peer was applied less than [`RECEIVE_INTERVAL`] ago.
    pub(crate) fn on_payload(&mut self, now: Micros, from: NodeId, payload: GossipPayload) {
        let last_applied_at = &mut self.peers.last_payload_at[from.0 as usize];
        if now < last_applied_at.saturating_add(RECEIVE_INTERVAL) {
            return;
        }
        *last_applied_at = now;
        self.load
            .service_rate
            .mix(payload.service_rate, SERVICE_RATE_WEIGHT);
        self.load.utilization.in_flight.mix(payload.in_flight);
        let averages = self.load.fleet_latencies.iter_mut();
        for (average, received) in averages.zip(payload.normalized_latencies) {
            average.mix(received);
        }
        for observation in &payload.observations {
            self.on_observation(now, observation);
        }
    }
}

/// The unexpired observations of one server, by class.
fn observations_of(server: &Server, now: Micros) -> impl Iterator<Item = Observation> + '_ {
    server
        .statistics
        .iter()
        .enumerate()
        .filter(|(_, statistics)| statistics.observed_at > 0)
        .map(move |(class, statistics)| Observation {
            short_server_id: short_server_id(server.endpoint.server),
            class: ClassId(class),
            fault_rate: statistics.fault_rate,
            fleet_faults: statistics.fleet_faults,
            wait_per_attempt: server.wait_per_attempt,
            age: now.saturating_sub(statistics.observed_at),
        })
        .filter(|observation| observation.age < EVIDENCE_LIFETIME)
}
