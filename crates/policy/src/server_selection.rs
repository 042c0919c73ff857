//! Server selection: which server an attempt goes to.
//!
//! The rule, in one sentence: of the servers that are ready, have capacity and may take the request, the one with the
//! least expected wait, weighed with zone, faults and chance.
//!
//! Inputs: for each server, attempts in flight, expected wait per attempt in µs, fault rate; the request's class,
//! idempotency and last server. Result: a server, or none. The bounds on what is in flight follow from the shortest
//! latency objective: beyond them a server's queue alone would use it up.

use crate::engine::PolicyEngine;
use crate::idempotency::retry_allowed;
use crate::interface::{ClassId, Idempotency, Micros, RequestId, ServerId, SECOND};
use crate::request::Request;
use crate::server::Server;

/// Share of the shortest objective that the expected wait at a server may reach.
const MAX_WAIT_SHARE: f64 = 0.3;
/// The same over all servers together.
const MAX_TOTAL_WAIT_SHARE: f64 = 0.25;
/// Attempts that all nodes may always have in flight at each server. Without this bound hundreds of nodes with one
/// attempt each would overload it.
const MIN_IN_FLIGHT_PER_SERVER: f64 = 4.0;
/// Time in which a server's known wait moves halfway to the typical one.
const WAIT_HALF_LIFE: Micros = 5 * SECOND;
/// Spread of the choice among equal servers, so that nodes do not choose alike.
const JITTER: f64 = 0.1;
/// Attempts in flight that another zone counts for, per 1.0 of the cost of crossing zones: the own zone is left only when it
/// is far more loaded.
const CROSS_ZONE_PENALTY: f64 = 30.0;
/// Attempts in flight that the server of the last attempt counts for.
const SAME_SERVER_PENALTY: f64 = 4.0;
/// Factor on the wait where no connection is kept. It is so large that a node stays with the servers it is connected to
/// until these are overloaded: in a large fleet nearly every attempt would be a handshake otherwise.
const HANDSHAKE_FACTOR: f64 = 40.0;
/// Added factor on the wait at a fault rate of 1: failing fast must not look quick.
const FAULT_FACTOR: f64 = 4.0;
/// Added factor on the wait of servers in a zone that no attempt reaches: such a zone is a last resort.
const UNREACHABLE_ZONE_FACTOR: f64 = 20.0;
/// Share of the servers that must be healthy for any of them to count as ejected. With fewer the fault is elsewhere, and
/// ejecting more would only overload the rest.
const MIN_HEALTHY_SHARE: f64 = 0.5;

/// What the choice for one request depends on, beside the servers.
#[derive(Clone, Copy)]
struct SelectionContext {
    now: Micros,
    class: ClassId,
    /// So many servers are ejected that none counts as ejected.
    ignore_ejections: bool,
    first_attempt: bool,
    last_server: Option<ServerId>,
}

impl PolicyEngine {
    /// Expected wait for each attempt in flight at a server, µs; what is old moves to the typical wait.
    fn wait_per_attempt(&self, server: &Server, now: Micros) -> f64 {
        let typical = self.load.typical_wait;
        if server.wait_per_attempt <= 0.0 {
            let fraction = server.capacity_fraction(&self.settings.slow_start, now);
            return typical / fraction.max(0.1);
        }
        let age = now.saturating_sub(server.wait_learned_at) as f64;
        let kept = 0.5f64.powf(age / WAIT_HALF_LIFE as f64);
        server.wait_per_attempt * kept + typical * (1.0 - kept)
    }

    /// The servers that an attempt may go to now: ready and with capacity. Empty where so much is in flight that no
    /// server may take more.
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

    /// Whether the attempts in flight here use up what all servers together can take in time.
    fn is_saturated(&self, candidates: &[&Server], now: Micros) -> bool {
        let ready = self.endpoints.ready();
        let nodes = f64::from(self.settings.node_count);
        let always_allowed = (MIN_IN_FLIGHT_PER_SERVER * ready.listed / nodes).max(1.0);
        let in_objective: f64 = candidates
            .iter()
            .map(|server| self.shortest_objective / self.wait_per_attempt(server, now).max(1.0))
            .sum();
        // The candidates stand for the whole subset.
        let scale = ready.in_subset.max(1.0) / candidates.len().max(1) as f64;
        let in_flight = self.requests.in_flight();
        in_flight >= always_allowed && in_flight >= MAX_TOTAL_WAIT_SHARE * scale * in_objective
    }

    /// Whether one more attempt at a server would be answered in time.
    fn has_capacity(&self, server: &Server, now: Micros) -> bool {
        if self.is_warming_up(server, now) && !self.may_warm_up(server, now) {
            return false;
        }
        let wait = self.wait_per_attempt(server, now) * f64::from(server.in_flight + 1);
        server.in_flight == 0 || wait <= MAX_WAIT_SHARE * self.shortest_objective
    }

    /// The server for a request, of the selectable ones.
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
            .filter(|server| self.fits(request, server, selectable.len(), context))
            .collect();
        if self.large_fleet {
            self.random.shuffle(&mut candidates);
            let slow_start = &self.settings.slow_start;
            let preferred = |server: &&&Server| {
                let probe = is_probe(server, context) && !context.ignore_ejections;
                probe || server.capacity_fraction(slow_start, now) < 1.0
            };
            // A slow-start permit is rare and is spent first, so that the server warms up; then come health probes.
            if let Some(server) = candidates.iter().find(preferred) {
                candidates = vec![server];
            }
        }
        let mut least_score = f64::INFINITY;
        let mut chosen = None;
        for server in candidates {
            let cost = self.expected_cost(server, context);
            let draw = self.random.f64();
            let probe =
                is_probe(server, context) && !(context.ignore_ejections && self.large_fleet);
            let score = if probe { 0.0 } else { cost * self.spread(draw) };
            if score < least_score {
                least_score = score;
                chosen = Some(server.endpoint.server);
            }
        }
        chosen
    }

    /// Turns a random number between 0 and 1 into a factor on the cost. Hundreds of nodes would all flock to the server
    /// last observed to be quick; where each knows little, a server's share should be in inverse to its cost, and the
    /// least of exponentially distributed draws does that.
    fn spread(&self, draw: f64) -> f64 {
        if self.large_fleet {
            -draw.max(1e-9).ln()
        } else {
            1.0 + JITTER * draw
        }
    }

    /// What an attempt at a server is expected to cost: its wait, µs, weighed with zone, faults and handshakes.
    fn expected_cost(&self, server: &Server, context: SelectionContext) -> f64 {
        let cross_zone_cost = if server.endpoint.zone == self.settings.zone {
            0.0
        } else {
            self.settings.cross_zone_cost
        };
        let same_server = if context.last_server == Some(server.endpoint.server) {
            SAME_SERVER_PENALTY
        } else {
            0.0
        };
        let in_flight =
            f64::from(server.in_flight) + 1.0 + CROSS_ZONE_PENALTY * cross_zone_cost + same_server;
        let zone_faults =
            self.zones.unreachable_share(server.endpoint.zone) * UNREACHABLE_ZONE_FACTOR;
        let faults = 1.0 + server.fault_rate(context.class.0) * FAULT_FACTOR + zone_faults;
        let cost = in_flight * self.wait_per_attempt(server, context.now) * faults;
        // Hundreds of nodes that each use every server would pay a handshake for nearly every attempt. Each keeps to
        // those that it has a connection to; as their waits rise it turns to others, one by one.
        let idle_limit = self.settings.server_idle_timeout / 2;
        let connected = server.in_flight == 0
            && context.now < server.last_response_at.saturating_add(idle_limit);
        if connected || !self.large_fleet {
            cost
        } else {
            cost * HANDSHAKE_FACTOR
        }
    }

    /// Whether a server may take a request at all.
    fn fits(
        &self,
        request: &Request,
        server: &Server,
        selectable: usize,
        context: SelectionContext,
    ) -> bool {
        let class = context.class.0;
        let idempotency = self.settings.classes[class].idempotency;
        let next_probe_at = server.next_probe_at(class);
        let probe_due = next_probe_at.is_none_or(|at| at <= context.now && server.in_flight == 0);
        // A health probe may be lost, so it takes only what can be sent again.
        let risky =
            next_probe_at.is_some() && idempotency != Idempotency::Idempotent && selectable > 1;
        let free = request.in_flight.is_none() || request.body_incomplete;
        (context.ignore_ejections || probe_due)
            && !risky
            && free
            && retry_allowed(
                idempotency,
                request.dispatched,
                server.location(),
                context.now,
            )
    }
}

/// Whether an attempt at a server would be a health probe.
fn is_probe(server: &Server, context: SelectionContext) -> bool {
    server.next_probe_at(context.class.0).is_some() && context.first_attempt
}
