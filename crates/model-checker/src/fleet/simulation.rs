//! The simulation: its state and its event queue.

use super::event::SimulationEvent;
use super::nodes::Node;
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

/// Start of a run on the nodes' clocks, µs.
pub(super) const START: Micros = 1_700_000_000_000_000;
/// Number of customers.
pub(super) const CUSTOMERS: u64 = 40;
/// Most time that a run continues after the period in which requests arrive, µs. Runs normally terminate much earlier.
const MAX_AFTER_LAST_REQUEST: Micros = 20_000_000;
/// Mean time between the faults of a server, and between its drains, µs.
const MEAN_TIME_BETWEEN_FAULTS: Micros = 4_000_000;
/// Address of the first server that moves. The initial addresses are lower.
const FIRST_NEW_ADDRESS: u32 = 100;

/// An entry of the event queue. Events at the same time are handled in the order in which they were scheduled.
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
    /// Virtual time on the nodes' clocks, µs.
    pub now: Micros,
    queue: BinaryHeap<Reverse<Scheduled>>,
    /// Scheduled events by serial number.
    scheduled: BTreeMap<u64, SimulationEvent>,
    last_serial: u64,
    pub nodes: Vec<Node>,
    pub servers: Vec<Server>,
    /// Address of the next server that moves.
    pub next_address: u32,
    pub oracle: Oracle,
    /// Inconsistencies of the tables of an exchange, and invalid commands.
    pub inconsistencies: Vec<String>,
    /// Hash of all commands so far, in order.
    pub commands_hash: DefaultHasher,
    events: usize,
    /// Unanswered requests, each with the index of its node.
    pub open: BTreeMap<RequestId, usize>,
}

impl Simulation {
    /// Creates a fleet in its initial state.
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
            oracle: Oracle::new(fleet.bounds.clone()),
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
        simulation.report_quotas();
        Ok(simulation)
    }

    /// Reports the quota of each customer to the oracle.
    fn report_quotas(&mut self) {
        for (customer, plan) in (0..CUSTOMERS).zip(self.fleet.plans.iter().cycle()) {
            self.oracle
                .set_limits(customer, (plan.rate, plan.burst), plan.ceiling);
        }
    }

    /// Returns the virtual time since the start of the run.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.now - START)
    }

    /// Schedules an event in `delay` µs.
    pub fn schedule(&mut self, delay: Micros, event: SimulationEvent) {
        self.last_serial += 1;
        self.queue.push(Reverse(Scheduled {
            at: self.now + delay,
            serial: self.last_serial,
        }));
        self.scheduled.insert(self.last_serial, event);
    }

    /// Simulates until the event queue is empty or the time limit is reached.
    ///
    /// # Errors
    /// The policy engine rejects the settings of a restarted node.
    pub fn run(&mut self) -> Result<(), FleetError> {
        for node in 0..self.nodes.len() {
            self.send_endpoint_snapshot(node);
        }
        self.schedule_initial_events();
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > START + self.setup.duration + MAX_AFTER_LAST_REQUEST {
                break;
            }
            self.now = next.at;
            self.events += 1;
            if let Some(event) = self.scheduled.remove(&next.serial) {
                self.handle(event)?;
            }
        }
        Ok(())
    }

    /// Schedules the events that are not caused by other events.
    fn schedule_initial_events(&mut self) {
        let duration = self.setup.duration;
        for number in 0..self.setup.requests {
            let delay = self.random.u64(..duration);
            self.schedule(delay, SimulationEvent::RequestArrives(number));
        }
        for server in 0..self.servers.len() {
            for _ in 0..duration / MEAN_TIME_BETWEEN_FAULTS {
                let fault_delay = self.random.u64(..duration);
                let toggle_delay = self.random.u64(..duration);
                self.schedule(fault_delay, SimulationEvent::FaultToggles(server));
                self.schedule(toggle_delay, SimulationEvent::ServerToggles(server));
            }
        }
        if self.setup.kill_node {
            let node = self.random.usize(..self.nodes.len());
            self.schedule(duration / 2, SimulationEvent::NodeKilled(node));
        }
    }

    fn handle(&mut self, event: SimulationEvent) -> Result<(), FleetError> {
        match event {
            SimulationEvent::RequestArrives(number) => self.request_arrives(number),
            SimulationEvent::ClientLeaves { node, id, ticket } => {
                self.client_leaves(node, id, ticket);
            }
            SimulationEvent::ConnectSucceeds(connection) => self.connect_succeeds(connection),
            SimulationEvent::ConnectFails(connection) => self.connect_fails(connection),
            SimulationEvent::FirstByteReady(connection) => self.first_byte_ready(connection),
            SimulationEvent::RequestReachesServer {
                attempt,
                written_at,
            } => self.request_reaches_server(attempt, written_at),
            SimulationEvent::ServerFinishes { attempt, outcome } => {
                self.server_finishes(attempt, outcome);
            }
            SimulationEvent::ResponseReachesNode {
                attempt,
                id,
                outcome,
            } => self.response_reaches_node(attempt, id, outcome),
            SimulationEvent::ConnectionBreaks(attempt) => self.connection_breaks(attempt),
            SimulationEvent::UnexpectedBytes(connection) => self.unexpected_bytes(connection),
            SimulationEvent::PeerCloses(connection) => self.peer_closes(connection),
            SimulationEvent::ConnectionCloses(connection) => self.connection_closes(connection),
            SimulationEvent::ExchangeTimer { node, due } => self.exchange_timer(node, due),
            SimulationEvent::PolicyTimer { node, token } => self.policy_timer(node, token),
            SimulationEvent::DatagramArrives { to, from, bytes } => {
                self.datagram_arrives(to, from, bytes);
            }
            SimulationEvent::FaultToggles(server) => self.toggle_fault(server),
            SimulationEvent::ServerToggles(server) => self.toggle_server(server),
            SimulationEvent::EndpointUpdate {
                node,
                server,
                endpoint,
                address,
            } => self.endpoint_update(node, server, endpoint, address),
            SimulationEvent::NodeKilled(node) => self.kill_node(node)?,
        }
        Ok(())
    }

    /// Returns the result of the run.
    pub fn into_result(self) -> FleetRun {
        let remaining = self
            .nodes
            .iter()
            .map(|node| node.exchange.table_sizes())
            .map(|(requests, connections)| requests + connections)
            .sum();
        FleetRun {
            verdict: self.oracle.verdict(),
            inconsistencies: self.inconsistencies,
            remaining,
            events: self.events,
            commands_hash: self.commands_hash.finish(),
        }
    }
}
