//! A model of an exchange and its environment: clients, servers, connections and a clock, which act
//! nondeterministically.
//!
//! [`World::possible_steps`] lists the steps that are possible in a state. [`World::take`] takes one [`Step`], carries
//! out the commands of the exchange as the I/O layer would, and verifies each [`Property`].

mod apply_step;
mod client;
mod commands;
mod connection;
mod final_checks;
mod first_byte;
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

/// The time at which worlds start, µs.
const START: Micros = 1_000_000;

/// The entry of a server in the endpoint list that the node has received.
#[derive(Clone, Copy, Debug, Hash)]
struct EndpointState {
    address: u8,
    ready: bool,
}

/// A timer set by the policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct PolicyTimer {
    at: Micros,
    token: u64,
}

/// A state of the world.
#[derive(Clone)]
pub struct World<M: PolicyModel> {
    exchange: Exchange<u8, RecordingPolicy<M>, Option<Bug>>,
    /// Clock ticks since the start.
    clock: u64,
    clients: Vec<Client>,
    connections: BTreeMap<ConnectionId, Connection>,
    /// The endpoint list, indexed like the servers of the setup.
    endpoints: Vec<EndpointState>,
    /// Number of applied endpoint changes of the setup.
    changes_applied: usize,
    draining: bool,
    /// When the process has to have answered all requests, µs; `None` until a shutdown is announced.
    shutdown_deadline: Option<Micros>,
    /// The exchange's timer has already fired in this tick.
    timer_fired: bool,
    /// The current step is a rejection by the policy.
    policy_rejects: bool,
    policy_timers: Vec<PolicyTimer>,
    next_address: u8,
    /// The commands and policy events that the last step caused, as lines for the chart.
    pub notes: Vec<String>,
}

impl<M: PolicyModel> World<M> {
    /// Creates a world in its initial state: the node has received the endpoint list, and no step was taken.
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
            draining: false,
            shutdown_deadline: None,
            timer_fired: false,
            policy_rejects: false,
            policy_timers: Vec::new(),
            notes: Vec::new(),
        };
        // The policy sets at most a timer here, which can't violate a property.
        let _ = world.carry_out(setup, commands, None);
        world.notes.clear();
        world
    }

    /// Returns a hash of all state that future steps depend on. With 64 bits, the probability of any collision among
    /// ten million states is three in a million.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.exchange.digest(&mut hasher);
        self.exchange.policy().model.digest(&mut hasher);
        self.clock.hash(&mut hasher);
        self.endpoints.hash(&mut hasher);
        self.changes_applied.hash(&mut hasher);
        self.draining.hash(&mut hasher);
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

    /// Returns the number of clock ticks since the start.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Returns the current time, µs.
    fn now(&self, setup: &Setup) -> Micros {
        START + self.clock * setup.tick
    }

    /// Returns the id of the connection with a rank among the existing ones.
    fn connection_id(&self, rank: u8) -> Option<ConnectionId> {
        self.connections.keys().nth(usize::from(rank)).copied()
    }

    /// Returns whether the exchange's timer is due.
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
