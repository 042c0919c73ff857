//! A small world around an exchange: clients, servers, connections and a clock, each of which may do anything that is
//! possible at any time.
//!
//! [`World::possible_steps`] lists what may happen next, [`World::take`] lets one [`Step`] happen, carries out the
//! exchange's commands as the I/O layer would and verifies the [`Property`]s.

mod client;
mod commands;
mod connection;
mod final_checks;
mod first_byte;
mod occurrences;
mod oracle;
mod policy;
mod policy_events;
mod possible_steps;
mod property;
mod setup;
mod step;

pub use policy::{AnyPolicy, PolicyModel, RealPolicy};
pub use property::{Property, PropertyViolation};
pub(crate) use setup::class_of;
pub use setup::{DuplicateResponses, EndpointChange, Setup};
pub use step::{ServerResponse, Step};

use client::Client;
use connection::Connection;
use policy::RecordingPolicy;
use saffronpaddle_exchange::{Bug, ConnectionId, Event, Exchange};
use saffronpaddle_policy::interface::Micros;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// When worlds begin, µs.
const START: Micros = 1_000_000;

/// What the node was told of a server.
#[derive(Clone, Copy, Debug, Hash)]
struct EndpointState {
    address: u8,
    ready: bool,
}

/// A timer that the policy has set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PolicyTimer {
    at: Micros,
    token: u64,
}

/// One state of the world.
#[derive(Clone)]
pub struct World<M: PolicyModel> {
    exchange: Exchange<u8, RecordingPolicy<M>, Option<Bug>>,
    /// Ticks of the clock since the start.
    clock: u64,
    clients: Vec<Client>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The servers, by their index in the setup.
    endpoints: Vec<EndpointState>,
    /// How many of the setup's changes of the endpoint list have happened.
    changes_applied: usize,
    stopped: bool,
    /// All requests are answered by then, as the process ends, µs.
    shutdown_deadline: Option<Micros>,
    /// The exchange's timer has fired in this tick.
    timer_fired: bool,
    /// The current step is a rejection by the policy.
    policy_rejects: bool,
    policy_timers: Vec<PolicyTimer>,
    next_address: u8,
    /// What the last step brought about, for charts.
    pub notes: Vec<String>,
}

impl<M: PolicyModel> World<M> {
    /// A world in which nothing has happened but that the node was told the endpoint list.
    pub fn new(setup: &Setup, policy: M, bug: Option<Bug>) -> World<M> {
        let recording = RecordingPolicy::new(policy);
        let mut exchange = Exchange::with_bugs(setup.limits.clone(), recording, bug);
        let endpoints: Vec<EndpointState> = (0..setup.servers.len())
            .map(|server| EndpointState {
                address: server as u8,
                ready: true,
            })
            .collect();
        let entries = endpoints
            .iter()
            .enumerate()
            .map(|(server, state)| (setup.endpoint(server, state.ready), state.address))
            .collect();
        let mut commands = Vec::new();
        exchange.handle(
            START,
            Event::EndpointsChanged {
                snapshot: true,
                endpoints: entries,
            },
            &mut commands,
        );
        let mut world = World {
            exchange,
            clock: 0,
            clients: vec![Client::default(); setup.requests.len()],
            connections: BTreeMap::new(),
            next_address: endpoints.len() as u8,
            endpoints,
            changes_applied: 0,
            stopped: false,
            shutdown_deadline: None,
            timer_fired: false,
            policy_rejects: false,
            policy_timers: Vec::new(),
            notes: Vec::new(),
        };
        // The policy sets a timer at the most: no property can be violated here.
        let _ = world.carry_out(setup, commands, None);
        world.notes.clear();
        world
    }

    /// A hash of all that the future depends on. It has 64 bits: among ten million states, two are taken for one with a
    /// probability of three in a million.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.exchange.digest(&mut hasher);
        self.exchange.policy().model.digest(&mut hasher);
        self.clock.hash(&mut hasher);
        self.endpoints.hash(&mut hasher);
        self.changes_applied.hash(&mut hasher);
        self.stopped.hash(&mut hasher);
        self.timer_fired.hash(&mut hasher);
        self.policy_timers.hash(&mut hasher);
        self.shutdown_deadline.hash(&mut hasher);
        let rank_of = |id: ConnectionId| self.connections.keys().position(|other| *other == id);
        for client in &self.clients {
            client.digest(rank_of, &mut hasher);
        }
        for connection in self.connections.values() {
            connection.hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Ticks of the clock since the start.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// The time, µs.
    fn now(&self, setup: &Setup) -> Micros {
        START + self.clock * setup.tick
    }

    /// The id of a connection by its rank among those that exist.
    fn connection_id(&self, rank: u8) -> Option<ConnectionId> {
        self.connections.keys().nth(usize::from(rank)).copied()
    }

    /// Whether the exchange's timer is due.
    fn timer_due(&self, setup: &Setup) -> bool {
        self.exchange
            .next_alarm()
            .is_some_and(|at| at <= self.now(setup))
    }

    fn client(&self, request: u8) -> &Client {
        &self.clients[usize::from(request)]
    }

    fn client_mut(&mut self, request: u8) -> &mut Client {
        &mut self.clients[usize::from(request)]
    }
}
