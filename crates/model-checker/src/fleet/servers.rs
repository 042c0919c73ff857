//! The app servers: how they serve, fail, drain and move.

use super::occurrence::{AttemptRef, Occurrence};
use super::simulation::{Simulation, START};
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, Micros, Outcome, RequestId, ServerId, ZoneId,
};
use std::ops::Range;
use std::time::Duration;

/// Requests that a server works on at once.
const WORKERS: usize = 4;
/// Zones that the servers are spread over.
const ZONES: usize = 2;
/// Servers of a deduplication domain.
const SERVERS_PER_DOMAIN: usize = 2;
/// Prefix of the ids of requests of the second class, whose work differs.
const SUBMIT_PREFIX: &str = "submit";
/// How long a server takes to reject a request, µs.
const REJECTION_DELAY: Micros = 300;
/// How long after a request a server resets its connection, µs.
const RESET_DELAY: Micros = 500;
/// How fast a server works that has just started, as a share of its full speed, at the least.
const MIN_WARMTH: f64 = 0.05;
/// How long a fault lasts, µs.
const FAULT_DURATION: Range<Micros> = 500_000..2_000_000;
/// How long a server stays out, µs.
const DRAIN_DURATION: Range<Micros> = 800_000..2_500_000;
/// How long a change of the endpoint list takes to reach a node, µs.
const ENDPOINT_UPDATE_DELAY: Range<Micros> = 1_000..80_000;
/// How long a response takes to reach the node, µs.
const RESPONSE_DELAY: Range<Micros> = 50..2_000;
/// A response is repeated within that time, µs.
const MAX_REPEAT_DELAY: Micros = 8_000;
/// Of so many responses, one is repeated, and the connection of another is closed.
const DISTURBED_RESPONSE_ODDS: u8 = 40;

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ServerFault {
    None,
    /// It never responds.
    Silent,
    /// It resets the connection of each request.
    Resets,
    /// It responds with errors.
    Errors,
    /// It rejects requests.
    Full,
    /// It refuses connections.
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
    /// When each worker is free, µs.
    busy_until: [Micros; WORKERS],
    started_at: Option<Micros>,
}

impl Server {
    /// A server that is ready.
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

    /// Gives some work to the worker that is free first, and returns when it is done, µs.
    fn work(&mut self, now: Micros, duration: Micros) -> Option<Micros> {
        let worker = self.busy_until.iter_mut().min()?;
        *worker = (*worker).max(now) + duration;
        Some(*worker)
    }
}

impl Simulation {
    /// A server's entry in the endpoint list, and its address.
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

    /// A server's fault begins or ends.
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
        self.schedule(duration, Occurrence::FaultToggles(index));
    }

    /// A server drains, or returns: at another address, and with cold caches.
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
                Occurrence::EndpointUpdate {
                    node,
                    server: index,
                    endpoint,
                    address,
                },
            );
        }
        if !self.servers[index].ready {
            let duration = self.random.u64(DRAIN_DURATION);
            self.schedule(duration, Occurrence::ServerToggles(index));
        }
    }

    fn restart_server(&mut self, index: usize) {
        let elapsed = self.elapsed();
        let server = &mut self.servers[index];
        server.address = self.next_address;
        server.started_at = Some(self.now);
        server.busy_until = [self.now; WORKERS];
        self.next_address += 1;
        self.ledger
            .server_started_cold(elapsed, &server.name, WORKERS as f64);
    }

    /// A complete request reaches its server.
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
        self.ledger.attempt_received(
            since_start,
            written_since_start,
            &server.name,
            &id.0,
            work / 1e6,
        );
        let warmth = self.ledger.capacity_share(since_start, &server.name);
        // Whether it runs is settled on its arrival: a request that is cancelled later has run all the same.
        if self.runs(index) {
            let domain = self.servers[index].domain;
            self.ledger
                .attempt_executed(since_start, since_start, domain, &id.0);
        }
        self.serve(attempt, index, work, warmth);
    }

    /// The work that a request takes at full speed, µs.
    fn draw_work(&mut self, id: &RequestId) -> f64 {
        let class = usize::from(id.0.starts_with(SUBMIT_PREFIX));
        let mean = self.fleet.classes[class].work.as_micros() as f64;
        mean * (0.5 + self.random.f64())
    }

    /// Whether a server runs the request that has reached it.
    fn runs(&mut self, server: usize) -> bool {
        match self.servers[server].fault {
            ServerFault::Full => false,
            ServerFault::Silent | ServerFault::Resets => self.random.bool(),
            ServerFault::None | ServerFault::Errors | ServerFault::RefusesConnections => true,
        }
    }

    fn serve(&mut self, attempt: AttemptRef, server: usize, work: f64, warmth: f64) {
        let outcome = match self.servers[server].fault {
            ServerFault::Silent => return,
            ServerFault::Full => {
                let outcome = Outcome::Rejected;
                let rejected = Occurrence::ServerFinishes { attempt, outcome };
                return self.schedule(REJECTION_DELAY, rejected);
            }
            ServerFault::Resets => {
                return self.schedule(RESET_DELAY, Occurrence::ConnectionBreaks(attempt));
            }
            ServerFault::Errors => Outcome::Error,
            ServerFault::None | ServerFault::RefusesConnections => Outcome::Ok,
        };
        let duration = (work / warmth.max(MIN_WARMTH)) as Micros;
        let Some(done_at) = self.servers[server].work(self.now, duration) else {
            return;
        };
        let finished = Occurrence::ServerFinishes { attempt, outcome };
        self.schedule(done_at - self.now, finished);
    }

    /// A server has finished a request, and responds if the connection is still there.
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
        self.ledger.attempt_finished(&id.0);
        let delay = self.random.u64(RESPONSE_DELAY);
        self.schedule(
            delay,
            Occurrence::ResponseReachesNode {
                attempt,
                id,
                outcome,
            },
        );
        match self.random.u8(..DISTURBED_RESPONSE_ODDS) {
            0 => {
                let repeat_delay = self.random.u64(..MAX_REPEAT_DELAY);
                self.schedule(
                    delay + repeat_delay,
                    Occurrence::UnexpectedBytes(attempt.connection),
                );
            }
            1 => self.schedule(delay + 1, Occurrence::PeerCloses(attempt.connection)),
            _ => {}
        }
    }
}
