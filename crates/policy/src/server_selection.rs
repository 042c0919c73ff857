//! Server selection: chooses the server for an attempt.
//!
//! Rule: among the servers that are ready, have capacity and may take the request, choose the one with the lowest
//! expected cost: its expected wait, weighted by zone, faults, handshakes and a random factor.
//!
//! Inputs: for each server, attempts in flight, expected wait per attempt in µs, fault rate; the request's class,
//! idempotency and last server. Result: a server, or none. The bounds on attempts in flight are derived from the
//! shortest latency objective: beyond them the wait in a server's queue alone would exceed it.

use crate::engine::PolicyEngine;
use crate::idempotency::retry_allowed;
use crate::interface::{ClassId, Idempotency, Micros, RequestId, ServerId, SECOND};
use crate::request::Request;
use crate::server::Server;

/// Maximum expected wait at a server, as a share of the shortest latency objective.
const MAX_WAIT_SHARE: f64 = 0.3;
/// Maximum expected wait averaged over all servers, as a share of the shortest latency objective.
const MAX_TOTAL_WAIT_SHARE: f64 = 0.25;
/// Attempts that all nodes together may always have in flight per server. The allowance is for the entire fleet because
/// hundreds of nodes with one attempt each would overload a server.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;
/// Time in which a server's last known wait moves halfway to the typical wait.
const WAIT_HALF_LIFE: Micros = 5 * SECOND;
/// Maximum random increase of the cost, as a share, in a small fleet, so that nodes choose differently among equal
/// servers.
const JITTER: f64 = 0.1;
/// Penalty for a server in another zone, in attempts in flight per 1.0 of the cross-zone cost. It is so large that
/// attempts leave the node's own zone only if that zone is far more loaded.
const CROSS_ZONE_PENALTY: f64 = 30.0;
/// Penalty for the server of the request's last attempt, in attempts in flight.
const SAME_SERVER_PENALTY: f64 = 4.0;
/// Cost factor for a server without an open connection. It is so large that a node keeps to the servers it is connected
/// to until these are overloaded; in a large fleet nearly every attempt would need a handshake otherwise.
const HANDSHAKE_FACTOR: f64 = 40.0;
/// Added to the cost factor at a fault rate of 1, so that a server that fails fast does not look fast.
const FAULT_FACTOR: f64 = 4.0;
/// Added to the cost factor of servers in a zone that no attempt reaches, so that they are chosen last.
const UNREACHABLE_ZONE_FACTOR: f64 = 20.0;
/// Minimum share of healthy servers for ejections to apply. With fewer healthy servers the cause is probably not the
/// servers, and the ejections would only overload the remaining ones.
const MIN_HEALTHY_SHARE: f64 = 0.5;

/// Inputs to the selection for one request that do not depend on the server.
#[derive(Clone, Copy)]
struct SelectionContext {
    now: Micros,
    class: ClassId,
    /// Whether ejections are ignored because too few servers are healthy (see [`MIN_HEALTHY_SHARE`]).
    ignore_ejections: bool,
    first_attempt: bool,
    last_server: Option<ServerId>,
}

impl PolicyEngine {
    /// Returns the expected wait per attempt in flight at a server, µs. An old value decays towards the typical wait.
    fn wait_per_attempt(&self, server: &Server, now: Micros) -> f64 {
        let typical = self.load.typical_wait;
        if server.wait_per_attempt <= 0.0 {
            let fraction = server.capacity_fraction(&self.settings.slow_start, now);
            return typical / fraction.max(0.1);
        }
        let age = now.saturating_sub(server.wait_updated_at) as f64;
        let remaining_weight = 0.5f64.powf(age / WAIT_HALF_LIFE as f64);
        server.wait_per_attempt * remaining_weight + typical * (1.0 - remaining_weight)
    }

    /// Returns the servers that may take an attempt now: ready and with capacity. Empty if the total number of attempts
    /// in flight is at its limit.
    pub(crate) fn selectable_servers(&mut self, now: Micros) -> Vec<ServerId> {
        let random = &mut self.random;
        let candidates = self.endpoints.candidates(|count| random.usize(..count));
        if self.is_saturated(&candidates, now) {
            return Vec::new();
        }
        candidates
            .into_iter()
            .filter(|server| self.has_capacity(server, now))
            .map(|server| server.endpoint.server)
            .collect()
    }

    /// Returns whether this node's attempts in flight have reached the limit over all servers together.
    fn is_saturated(&self, candidates: &[&Server], now: Micros) -> bool {
        let ready = self.endpoints.ready();
        let nodes = f64::from(self.settings.node_count);
        let always_allowed = (MIN_IN_FLIGHT_PER_SERVER * ready.listed / nodes).max(1.0);
        let attempts_within_objective: f64 = candidates
            .iter()
            .map(|server| self.shortest_objective / self.wait_per_attempt(server, now).max(1.0))
            .sum();
        // The candidates are a sample, so their sum is scaled to the size of the subset.
        let scale = ready.in_subset.max(1.0) / candidates.len().max(1) as f64;
        let in_flight = self.requests.in_flight();
        in_flight >= always_allowed
            && in_flight >= MAX_TOTAL_WAIT_SHARE * scale * attempts_within_objective
    }

    /// Returns whether a server is expected to respond to one more attempt in time.
    fn has_capacity(&self, server: &Server, now: Micros) -> bool {
        if self.is_limited_by_slow_start(server, now) && !self.may_send_in_slow_start(server, now) {
            return false;
        }
        let wait = self.wait_per_attempt(server, now) * f64::from(server.in_flight + 1);
        server.in_flight == 0 || wait <= MAX_WAIT_SHARE * self.shortest_objective
    }

    /// Chooses the server for a request among the selectable ones.
    pub(crate) fn choose_server(
        &mut self,
        now: Micros,
        id: &RequestId,
        selectable: &[ServerId],
    ) -> Option<ServerId> {
        let request = self.requests.open.get(id)?;
        let healthy = self.endpoints.healthy(request.class);
        let context = SelectionContext {
            now,
            class: request.class,
            ignore_ejections: healthy.healthy < healthy.in_subset * MIN_HEALTHY_SHARE,
            first_attempt: request.attempts == 0,
            last_server: request.last_server,
        };
        let mut candidates: Vec<&Server> = selectable
            .iter()
            .filter_map(|id| self.endpoints.get(*id))
            .filter(|server| self.may_take_request(request, server, selectable.len(), context))
            .collect();
        if self.large_fleet {
            self.random.shuffle(&mut candidates);
            let slow_start = &self.settings.slow_start;
            let preferred = |server: &&&Server| {
                let probe = is_probe(server, context) && !context.ignore_ejections;
                probe || server.capacity_fraction(slow_start, now) < 1.0
            };
            // Attempts under a slow-start permit, which are rare, come first so that the servers warm up; so do health
            // probes.
            if let Some(server) = candidates.iter().find(preferred) {
                candidates = vec![server];
            }
        }
        let mut lowest_score = f64::INFINITY;
        let mut chosen = None;
        for server in candidates {
            let cost = self.expected_cost(server, context);
            let random_number = self.random.f64();
            let probe =
                is_probe(server, context) && !(context.ignore_ejections && self.large_fleet);
            let score = if probe {
                0.0
            } else {
                cost * self.random_cost_factor(random_number)
            };
            if score < lowest_score {
                lowest_score = score;
                chosen = Some(server.endpoint.server);
            }
        }
        chosen
    }

    /// Converts a random number between 0 and 1 to a factor on the cost. In a large fleet hundreds of nodes would
    /// otherwise all choose the server that was last observed to be fast. As each node knows little, a server's share
    /// of the attempts should be inversely proportional to its cost; choosing the minimum of exponentially distributed
    /// values achieves that.
    fn random_cost_factor(&self, random_number: f64) -> f64 {
        if self.large_fleet {
            -random_number.max(1e-9).ln()
        } else {
            1.0 + JITTER * random_number
        }
    }

    /// Returns the expected cost of an attempt at a server: its wait, µs, weighted by zone, faults and handshakes.
    fn expected_cost(&self, server: &Server, context: SelectionContext) -> f64 {
        let cross_zone_cost = if server.endpoint.zone == self.settings.zone {
            0.0
        } else {
            self.settings.cross_zone_cost
        };
        let same_server_penalty = if context.last_server == Some(server.endpoint.server) {
            SAME_SERVER_PENALTY
        } else {
            0.0
        };
        let in_flight = f64::from(server.in_flight)
            + 1.0
            + CROSS_ZONE_PENALTY * cross_zone_cost
            + same_server_penalty;
        let zone_penalty =
            self.zones.unreachable_share(server.endpoint.zone) * UNREACHABLE_ZONE_FACTOR;
        let fault_factor = 1.0 + server.fault_rate(context.class.0) * FAULT_FACTOR + zone_penalty;
        let cost = in_flight * self.wait_per_attempt(server, context.now) * fault_factor;
        // If hundreds of nodes each used every server, nearly every attempt would need a handshake. Each node keeps to
        // the servers that it has a connection to, and opens connections to others one by one as the waits rise.
        let idle_limit = self.settings.server_idle_timeout / 2;
        let connected = server.in_flight == 0
            && context.now < server.last_response_at.saturating_add(idle_limit);
        if connected || !self.large_fleet {
            cost
        } else {
            cost * HANDSHAKE_FACTOR
        }
    }

    /// Returns whether a server may take a request, regardless of its load.
    fn may_take_request(
        &self,
        request: &Request,
        server: &Server,
        selectable_count: usize,
        context: SelectionContext,
    ) -> bool {
        let class = context.class.0;
        let idempotency = self.settings.classes[class].idempotency;
        let next_probe_at = server.next_probe_at(class);
        let probe_due = next_probe_at.is_none_or(|at| at <= context.now && server.in_flight == 0);
        // A health probe may fail, so it is used only for requests that can be retried.
        let unsafe_to_probe = next_probe_at.is_some()
            && idempotency != Idempotency::Idempotent
            && selectable_count > 1;
        let startable = request.in_flight.is_none() || request.body_incomplete;
        (context.ignore_ejections || probe_due)
            && !unsafe_to_probe
            && startable
            && retry_allowed(
                idempotency,
                request.dispatched,
                server.location(),
                context.now,
            )
    }
}

/// Returns whether an attempt at a server would be a health probe.
fn is_probe(server: &Server, context: SelectionContext) -> bool {
    server.next_probe_at(context.class.0).is_some() && context.first_attempt
}
