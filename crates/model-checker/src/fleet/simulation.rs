//! The simulation: its state, its queue of occurrences and its end.

use super::nodes::Node;
use super::occurrence::Occurrence;
use super::servers::Server;
use super::{FleetError, FleetRun, FleetSetup};
use saffronpaddle_policy::interface::{Micros, RequestId};
use saffronpaddle_policy::setup::{self, PlatformSettings};
use saffronpaddle_test_doubles::oracle::Oracle;
use saffronpaddle_test_doubles::settings::Fleet;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hash::{DefaultHasher, Hasher};
use std::time::Duration;

/// When a run begins on the nodes' clocks, µs.
pub(super) const START: Micros = 1_700_000_000_000_000;
/// Customers of the fleet.
pub(super) const CUSTOMERS: u64 = 40;
/// How long after the last request a run may go on, µs. All is over long before.
const MAX_AFTER_LAST_REQUEST: Micros = 20_000_000;
/// Mean time between the faults of a server, and between its drains, µs.
const MEAN_TIME_BETWEEN_FAULTS: Micros = 4_000_000;
/// The address of the first server that moves; those before are the servers' first addresses.
const FIRST_NEW_ADDRESS: u32 = 100;

/// An entry of the queue: occurrences at the same time come in the order in which they were scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Scheduled {
    at: Micros,
    serial: u64,
}

/// A fleet in virtual time.
pub(super) struct Simulation {
    pub setup: FleetSetup,
    pub fleet: Fleet,
    /// The settings of each node.
    pub settings: Vec<PlatformSettings>,
    pub random: fastrand::Rng,
    pub now: Micros,
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// Occurrences by their serial number.
    scheduled: BTreeMap<u64, Occurrence>,
    last_serial: u64,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    pub next_address: u32,
    pub ledger: Oracle,
    pub inconsistencies: Vec<String>,
    pub commands_hash: DefaultHasher,
    events: usize,
    /// Unanswered requests and the index of the node of each.
    pub open: BTreeMap<RequestId, usize>,
}

impl Simulation {
    /// A fleet in which nothing has happened.
    ///
    /// # Errors
    /// The settings of the fleet are unreadable or invalid.
    pub fn new(setup: FleetSetup) -> Result<Simulation, FleetError> {
        let fleet = Fleet::typical(setup.nodes);
        let settings = (0..setup.nodes)
            .map(|node| setup::read(&fleet.settings(node).to_string()))
            .collect::<Result<Vec<PlatformSettings>, setup::ReadError>>()
            .map_err(FleetError::UnreadableSettings)?;
        let mut simulation = Simulation {
            random: fastrand::Rng::with_seed(setup.seed),
            now: START,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            last_serial: 0,
            nodes: Vec::new(),
            servers: (0..setup.servers).map(Server::new).collect(),
            next_address: FIRST_NEW_ADDRESS,
            ledger: Oracle::new(fleet.bounds.clone()),
            inconsistencies: Vec::new(),
            commands_hash: DefaultHasher::new(),
            events: 0,
            open: BTreeMap::new(),
            setup,
            fleet,
            settings,
        };
        for index in 0..simulation.setup.nodes {
            let exchange = simulation.new_exchange(index)?;
            simulation.nodes.push(Node::new(exchange));
        }
        simulation.limit_customers();
        Ok(simulation)
    }

    /// Tells the ledger the quota of each customer.
    fn limit_customers(&mut self) {
        for (customer, plan) in (0..CUSTOMERS).zip(self.fleet.plans.iter().cycle()) {
            self.ledger
                .set_limits(customer, (plan.rate, plan.burst), plan.ceiling);
        }
    }

    /// The time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.now - START)
    }

    /// Schedules an occurrence in `delay` µs.
    pub fn schedule(&mut self, delay: Micros, occurrence: Occurrence) {
        self.last_serial += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + delay,
            serial: self.last_serial,
        }));
        self.scheduled.insert(self.last_serial, occurrence);
    }

    /// Simulates until all is over.
    ///
    /// # Errors
    /// The policy engine rejects the settings of a node that starts again.
    pub fn run(&mut self) -> Result<(), FleetError> {
        for node in 0..self.nodes.len() {
            self.send_endpoint_snapshot(node);
        }
        self.schedule_all();
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > START + self.setup.duration + MAX_AFTER_LAST_REQUEST {
                break;
            }
            self.now = next.at;
            self.events += 1;
            if let Some(occurrence) = self.scheduled.remove(&next.serial) {
                self.handle(occurrence)?;
            }
        }
        Ok(())
    }

    /// Schedules what doesn't follow from other occurrences.
    fn schedule_all(&mut self) {
        let duration = self.setup.duration;
        for number in 0..self.setup.requests {
            let delay = self.random.u64(..duration);
            self.schedule(delay, Occurrence::RequestArrives(number));
        }
        for server in 0..self.servers.len() {
            for _ in 0..duration / MEAN_TIME_BETWEEN_FAULTS {
                let fault_delay = self.random.u64(..duration);
                let toggle_delay = self.random.u64(..duration);
                self.schedule(fault_delay, Occurrence::FaultToggles(server));
                self.schedule(toggle_delay, Occurrence::ServerToggles(server));
            }
        }
        if self.setup.kill_node {
            let node = self.random.usize(..self.nodes.len());
            self.schedule(duration / 2, Occurrence::NodeKilled(node));
        }
    }

    fn handle(&mut self, occurrence: Occurrence) -> Result<(), FleetError> {
        match occurrence {
            Occurrence::RequestArrives(number) => self.request_arrives(number),
            Occurrence::ClientLeaves { node, id, ticket } => self.client_leaves(node, id, ticket),
            Occurrence::ConnectSucceeds(connection) => self.connect_succeeds(connection),
            Occurrence::ConnectFails(connection) => self.connect_fails(connection),
            Occurrence::FirstByteReady(connection) => self.first_byte_ready(connection),
            Occurrence::RequestReachesServer {
                attempt,
                written_at,
            } => self.request_reaches_server(attempt, written_at),
            Occurrence::ServerFinishes { attempt, outcome } => {
                self.server_finishes(attempt, outcome);
            }
            Occurrence::ResponseReachesNode {
                attempt,
                id,
                outcome,
            } => self.response_reaches_node(attempt, id, outcome),
            Occurrence::ConnectionBreaks(attempt) => self.connection_breaks(attempt),
            Occurrence::UnexpectedBytes(connection) => self.unexpected_bytes(connection),
            Occurrence::PeerCloses(connection) => self.peer_closes(connection),
            Occurrence::ConnectionCloses(connection) => self.connection_closes(connection),
            Occurrence::ExchangeTimer { node, due } => self.exchange_timer(node, due),
            Occurrence::PolicyTimer { node, token } => self.policy_timer(node, token),
            Occurrence::DatagramArrives { to, from, bytes } => {
                self.datagram_arrives(to, from, bytes);
            }
            Occurrence::FaultToggles(server) => self.toggle_fault(server),
            Occurrence::ServerToggles(server) => self.toggle_server(server),
            Occurrence::EndpointUpdate {
                node,
                server,
                endpoint,
                address,
            } => self.endpoint_update(node, server, endpoint, address),
            Occurrence::NodeKilled(node) => self.kill_node(node)?,
        }
        Ok(())
    }

    /// How the run went.
    pub fn judge(self) -> FleetRun {
        let kept = self
            .nodes
            .iter()
            .map(|node| node.exchange.table_sizes())
            .map(|(requests, connections)| requests + connections)
            .sum();
        FleetRun {
            verdict: self.ledger.verdict(),
            inconsistencies: self.inconsistencies,
            kept,
            events: self.events,
            commands_hash: self.commands_hash.finish(),
        }
    }
}
