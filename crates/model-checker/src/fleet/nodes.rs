//! The nodes: their exchanges, timers and restarts.

use super::event::{AttemptRef, ConnectionRef, NodeRef};
use super::simulation::Simulation;
use super::FleetError;
use saffronpaddle_exchange::{Bug, ConnectionId, Event, Exchange, Limits, Ticket};
use saffronpaddle_policy::interface::{
    Endpoint, EndpointStatus, Event as PolicyEvent, Micros, RequestId,
};
use saffronpaddle_policy::PolicyEngine;
use saffronpaddle_test_doubles::oracle::Unanswered;
use std::collections::HashMap;

/// Most connections of a node to servers.
const MAX_CONNECTIONS: usize = 60;

/// The exchange of a node, with the real policy engine.
pub(super) type NodeExchange = Exchange<u32, PolicyEngine, Option<Bug>>;

/// The current process of a node: its exchange, with the simulated connections and timer.
pub(super) struct Node {
    pub exchange: NodeExchange,
    /// Number of restarts.
    pub incarnation: u32,
    pub connections: HashMap<ConnectionId, Connection>,
    /// When the timer of the exchange is set to fire, µs; [`Micros::MAX`] if it is not set.
    pub timer_at: Micros,
    /// The requests whose clients are waiting for an answer.
    pub waiting: HashMap<RequestId, Ticket>,
}

/// A connection of a node to a server.
pub(super) struct Connection {
    /// The index of the server.
    pub server: usize,
    /// The server's address to which the connection was opened.
    pub address: u32,
    /// The connection is established.
    pub up: bool,
    /// The request that was prepared on the connection and has not ended on it.
    pub carried: Option<RequestId>,
    /// The server has the request and has not finished it.
    pub at_server: bool,
    /// The node has received unsolicited bytes or the end of the connection.
    pub unexpected_bytes: bool,
    /// The node is closing the connection.
    pub closing: bool,
    /// Number of attempts on the connection so far.
    pub attempts: u32,
}

impl Node {
    /// Creates a node that has just started.
    pub fn new(exchange: NodeExchange) -> Node {
        Node {
            exchange,
            incarnation: 0,
            connections: HashMap::new(),
            timer_at: Micros::MAX,
            waiting: HashMap::new(),
        }
    }
}

impl Connection {
    /// Creates a connection that is being established.
    pub fn connecting(server: usize, address: u32) -> Connection {
        Connection {
            server,
            address,
            up: false,
            carried: None,
            at_server: false,
            unexpected_bytes: false,
            closing: false,
            attempts: 0,
        }
    }
}

impl Simulation {
    /// Creates an empty exchange for a node.
    pub fn new_exchange(&self, node: usize) -> Result<NodeExchange, FleetError> {
        let platform_settings = &self.settings[node];
        let seed = self.setup.seed ^ node as u64;
        let policy = PolicyEngine::new(seed, platform_settings.settings.clone(), self.now)?;
        let limits = Limits::for_node(
            MAX_CONNECTIONS,
            platform_settings.server_idle_timeout,
            platform_settings.connect_timeout,
        );
        Ok(Exchange::with_bugs(limits, policy, self.setup.bug))
    }

    /// Returns a reference to the current incarnation of a node.
    pub fn node_ref(&self, index: usize) -> NodeRef {
        NodeRef {
            index,
            incarnation: self.nodes[index].incarnation,
        }
    }

    /// Returns whether a node is still in the given incarnation.
    pub fn is_alive(&self, node: NodeRef) -> bool {
        self.nodes[node.index].incarnation == node.incarnation
    }

    /// Returns a connection if its node was not restarted since.
    pub fn connection(&mut self, connection: ConnectionRef) -> Option<&mut Connection> {
        if !self.is_alive(connection.node) {
            return None;
        }
        self.nodes[connection.node.index]
            .connections
            .get_mut(&connection.id)
    }

    /// Returns a connection unless it is being closed.
    pub fn open_connection(&mut self, connection: ConnectionRef) -> Option<&mut Connection> {
        self.connection(connection).filter(|found| !found.closing)
    }

    /// Returns the connection of an attempt if it is the latest attempt on it and the connection is not being closed.
    pub fn open_attempt(&mut self, attempt: AttemptRef) -> Option<&mut Connection> {
        self.open_connection(attempt.connection)
            .filter(|found| found.attempts == attempt.number)
    }

    /// Sends the complete endpoint list to a node.
    pub fn send_endpoint_snapshot(&mut self, node: usize) {
        let endpoints = (0..self.servers.len())
            .map(|server| self.endpoint(server))
            .collect();
        self.deliver(
            node,
            Event::EndpointsChanged {
                snapshot: true,
                endpoints,
            },
            None,
        );
    }

    /// Delivers a change of the endpoint list to a node.
    pub fn endpoint_update(
        &mut self,
        node: NodeRef,
        server: usize,
        endpoint: Endpoint,
        address: u32,
    ) {
        if !self.is_alive(node) {
            return;
        }
        let ready = endpoint.status == EndpointStatus::Ready;
        self.oracle.health_delivered(
            self.elapsed(),
            node.index,
            &self.servers[server].name,
            ready,
        );
        self.deliver(
            node.index,
            Event::EndpointsChanged {
                snapshot: false,
                endpoints: vec![(endpoint, address)],
            },
            None,
        );
    }

    /// Fires the timer of a node's exchange, unless it was rescheduled.
    pub fn exchange_timer(&mut self, node: NodeRef, due: Micros) {
        if self.is_alive(node) && self.nodes[node.index].timer_at == due {
            self.nodes[node.index].timer_at = Micros::MAX;
            self.deliver(node.index, Event::TimerFired, None);
        }
    }

    /// Fires a timer of a node's policy.
    pub fn policy_timer(&mut self, node: NodeRef, token: u64) {
        if self.is_alive(node) {
            let fired = PolicyEvent::TimerFired { token };
            self.deliver(node.index, Event::PolicyEvent(fired), None);
        }
    }

    /// Kills and restarts a node. Its state and all events that are in transit to it are lost.
    pub fn kill_node(&mut self, index: usize) -> Result<(), FleetError> {
        self.lose_requests(index);
        self.close_all_connections(index);
        self.oracle.node_restarted(index);
        let exchange = self.new_exchange(index)?;
        let node = &mut self.nodes[index];
        node.exchange = exchange;
        node.timer_at = Micros::MAX;
        node.incarnation += 1;
        node.waiting.clear();
        self.send_endpoint_snapshot(index);
        Ok(())
    }

    /// Reports the unanswered requests of a node as lost to its kill.
    fn lose_requests(&mut self, node: usize) {
        let lost: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, owner)| **owner == node)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.oracle.request_unanswered(&id.0, Unanswered::Killed);
            self.open.remove(&id);
        }
    }

    /// Removes the connections of a node, and reports the attempts on them as canceled.
    fn close_all_connections(&mut self, node: usize) {
        let connections = std::mem::take(&mut self.nodes[node].connections);
        let mut at_servers: Vec<RequestId> = connections
            .into_values()
            .filter(|connection| connection.at_server)
            .filter_map(|connection| connection.carried)
            .collect();
        at_servers.sort();
        for id in &at_servers {
            self.oracle.attempt_canceled(self.elapsed(), &id.0);
        }
    }
}
