//! The app servers: how they serve requests, fail, drain and move.

use super::event::{AttemptRef, SimulationEvent};
use super::simulation::{Simulation, START};
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, Micros, Outcome, RequestId, ServerId, ZoneId,
};
use std::ops::Range;
use std::time::Duration;

/// Number of requests that a server processes concurrently.
const WORKERS: usize = 4;
/// Number of zones over which the servers are distributed.
const ZONES: usize = 2;
/// Number of servers per deduplication domain.
const SERVERS_PER_DOMAIN: usize = 2;
/// Id prefix of the requests of the second class, whose work differs.
const SUBMIT_PREFIX: &str = "submit";
/// Time that a server takes to reject a request, µs.
const REJECTION_DELAY: Micros = 300;
/// Delay with which a server resets the connection of a request, µs.
const RESET_DELAY: Micros = 500;
/// Lowest speed of a server that has just started, as a share of its full speed.
const MIN_WARMTH: f64 = 0.05;
/// Bounds of the time after which a fault of a server ends, µs.
const FAULT_DURATION: Range<Micros> = 500_000..2_000_000;
/// How long a server stays drained, µs.
const DRAIN_DURATION: Range<Micros> = 800_000..2_500_000;
/// Time that a change of the endpoint list takes to reach a node, µs.
const ENDPOINT_UPDATE_DELAY: Range<Micros> = 1_000..80_000;
/// Time that a response takes to reach the node, µs.
const RESPONSE_DELAY: Range<Micros> = 50..2_000;
/// Longest delay after which the duplicate of a response arrives, µs.
const MAX_DUPLICATE_DELAY: Micros = 8_000;
/// One in this many responses is duplicated, and the connection of another one is closed.
const DISTURBED_RESPONSE_ODDS: u8 = 40;

/// The current fault of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerFault {
    /// The server works without a fault.
    None,
    /// The server never responds.
    Silent,
    /// The server resets the connection of each request.
    Resets,
    /// The server responds with errors.
    Errors,
    /// The server rejects requests.
    Full,
    /// The server refuses connections.
    RefusesConnections,
}

/// An app server.
pub(super) struct Server {
    pub name: String,
    pub address: u32,
    zone: u32,
    domain: u64,
    ready: bool,
    pub fault: ServerFault,
    /// When each worker becomes free, µs.
    busy_until: [Micros; WORKERS],
    started_at: Option<Micros>,
}

impl Server {
    /// Creates a ready server without a fault.
    pub fn new(index: usize) -> Server {
        Server {
            name: format!("s-{index}"),
            address: index as u32,
            zone: (index % ZONES) as u32,
            domain: (index / SERVERS_PER_DOMAIN) as u64,
            ready: true,
            fault: ServerFault::None,
            busy_until: [0; WORKERS],
            started_at: None,
        }
    }

    /// Assigns work to the worker that becomes free first, and returns when it is done, µs.
    fn work(&mut self, now: Micros, duration: Micros) -> Option<Micros> {
        let worker = self.busy_until.iter_mut().min()?;
        *worker = (*worker).max(now) + duration;
        Some(*worker)
    }
}

impl Simulation {
    /// Returns the endpoint list entry of a server, and its address.
    pub fn endpoint(&self, index: usize) -> (Endpoint, u32) {
        let server = &self.servers[index];
        let endpoint = Endpoint {
            server: ServerId(index as u64),
            zone: ZoneId(server.zone),
            domain: DeduplicationDomainId(server.domain),
            status: if server.ready {
                EndpointStatus::Ready
            } else {
                EndpointStatus::Draining
            },
            size: 1.0,
            started_at: server.started_at,
        };
        (endpoint, server.address)
    }

    /// Starts a random fault of a server, or ends the current one.
    pub fn toggle_fault(&mut self, index: usize) {
        if self.servers[index].fault != ServerFault::None {
            self.servers[index].fault = ServerFault::None;
            return;
        }
        let faults = [
            ServerFault::Silent,
            ServerFault::Resets,
            ServerFault::Errors,
            ServerFault::Full,
            ServerFault::RefusesConnections,
        ];
        self.servers[index].fault = faults[self.random.usize(..faults.len())];
        let duration = self.random.u64(FAULT_DURATION);
        self.schedule(duration, SimulationEvent::FaultToggles(index));
    }

    /// Drains a server, or makes it ready again at another address and with cold caches.
    pub fn toggle_server(&mut self, index: usize) {
        self.servers[index].ready = !self.servers[index].ready;
        if self.servers[index].ready {
            self.restart_server(index);
        }
        let (endpoint, address) = self.endpoint(index);
        for node in 0..self.nodes.len() {
            let delay = self.random.u64(ENDPOINT_UPDATE_DELAY);
            let node = self.node_ref(node);
            self.schedule(
                delay,
                SimulationEvent::EndpointUpdate {
                    node,
                    server: index,
                    endpoint,
                    address,
                },
            );
        }
        if !self.servers[index].ready {
            let duration = self.random.u64(DRAIN_DURATION);
            self.schedule(duration, SimulationEvent::ServerToggles(index));
        }
    }

    /// Starts a new process of a server at an unused address.
    fn restart_server(&mut self, index: usize) {
        let elapsed = self.elapsed();
        let server = &mut self.servers[index];
        server.address = self.next_address;
        server.started_at = Some(self.now);
        server.busy_until = [self.now; WORKERS];
        self.next_address += 1;
        self.oracle
            .server_started_cold(elapsed, &server.name, WORKERS as f64);
    }

    /// Delivers a complete request to its server.
    pub fn request_reaches_server(&mut self, attempt: AttemptRef, written_at: Micros) {
        let Some(connection) = self.open_attempt(attempt) else {
            return;
        };
        let Some(id) = connection.carried.clone() else {
            return;
        };
        connection.at_server = true;
        let index = connection.server;
        let work = self.draw_work(&id);
        let since_start = self.elapsed();
        let written_since_start = Duration::from_micros(written_at - START);
        let server = &self.servers[index];
        self.oracle.attempt_received(
            since_start,
            written_since_start,
            &server.name,
            &id.0,
            work / 1e6,
        );
        let warmth = self.oracle.capacity_share(since_start, &server.name);
        // Whether a request runs is decided on its arrival: a later cancellation does not undo it.
        if self.runs(index) {
            let domain = self.servers[index].domain;
            self.oracle
                .attempt_executed(since_start, since_start, domain, &id.0);
        }
        self.serve(attempt, index, work, warmth);
    }

    /// Draws the time that a request takes at full speed, µs.
    fn draw_work(&mut self, id: &RequestId) -> f64 {
        let class = usize::from(id.0.starts_with(SUBMIT_PREFIX));
        let mean = self.fleet.classes[class].work.as_micros() as f64;
        mean * (0.5 + self.random.f64())
    }

    /// Returns whether a server runs a request that has reached it; random for a silent or resetting server.
    fn runs(&mut self, server: usize) -> bool {
        match self.servers[server].fault {
            ServerFault::Full => false,
            ServerFault::Silent | ServerFault::Resets => self.random.bool(),
            ServerFault::None | ServerFault::Errors | ServerFault::RefusesConnections => true,
        }
    }

    /// Schedules the server's reaction to a request, depending on the fault of the server.
    fn serve(&mut self, attempt: AttemptRef, server: usize, work: f64, warmth: f64) {
        let outcome = match self.servers[server].fault {
            ServerFault::Silent => return,
            ServerFault::Full => {
                let outcome = Outcome::Rejected;
                let rejected = SimulationEvent::ServerFinishes { attempt, outcome };
                return self.schedule(REJECTION_DELAY, rejected);
            }
            ServerFault::Resets => {
                return self.schedule(RESET_DELAY, SimulationEvent::ConnectionBreaks(attempt));
            }
            ServerFault::Errors => Outcome::Error,
            ServerFault::None | ServerFault::RefusesConnections => Outcome::Ok,
        };
        let duration = (work / warmth.max(MIN_WARMTH)) as Micros;
        let Some(done_at) = self.servers[server].work(self.now, duration) else {
            return;
        };
        let finished = SimulationEvent::ServerFinishes { attempt, outcome };
        self.schedule(done_at - self.now, finished);
    }

    /// Finishes a request at its server, which responds if the connection still exists.
    pub fn server_finishes(&mut self, attempt: AttemptRef, outcome: Outcome) {
        let Some(connection) = self
            .connection(attempt.connection)
            .filter(|found| found.attempts == attempt.number && found.at_server)
        else {
            return;
        };
        let Some(id) = connection.carried.clone() else {
            return;
        };
        connection.at_server = false;
        self.oracle.attempt_finished(&id.0);
        let delay = self.random.u64(RESPONSE_DELAY);
        self.schedule(
            delay,
            SimulationEvent::ResponseReachesNode {
                attempt,
                id,
                outcome,
            },
        );
        match self.random.u8(..DISTURBED_RESPONSE_ODDS) {
            0 => {
                let duplicate_delay = self.random.u64(..MAX_DUPLICATE_DELAY);
                self.schedule(
                    delay + duplicate_delay,
                    SimulationEvent::UnexpectedBytes(attempt.connection),
                );
            }
            1 => self.schedule(delay + 1, SimulationEvent::PeerCloses(attempt.connection)),
            _ => {}
        }
    }
}
