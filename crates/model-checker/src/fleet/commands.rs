//! Delivers events to exchanges, and carries out their commands.

use super::event::{AttemptRef, ConnectionRef, SimulationEvent};
use super::nodes::Connection;
use super::servers::ServerFault;
use super::simulation::Simulation;
use saffronpaddle_exchange::{Command, ConnectionId, Event, FinalAnswer};
use saffronpaddle_policy::interface::{Action, Micros, NodeId, RequestId};
use saffronpaddle_test_doubles::oracle::Answer;
use std::hash::Hash;
use std::ops::Range;

/// Duration of a connect, µs.
const CONNECT_DELAY: Range<Micros> = 100..3_000;
/// One in this many connects is slow.
const SLOW_CONNECT_ODDS: u8 = 60;
/// Factor by which a slow connect takes longer.
const SLOW_CONNECT_FACTOR: Micros = 200;
/// Longest time to prepare a request, µs.
const MAX_PREPARE_DELAY: Micros = 300;
/// Time that a request takes to reach its server, µs.
const REQUEST_DELAY: Range<Micros> = 50..2_000;
/// Longest time to close a connection, µs.
const MAX_CLOSE_DELAY: Micros = 200;
/// Longest delay with which the timer of an exchange fires, µs.
const MAX_TIMER_DELAY: Micros = 2_000;

impl Simulation {
    /// Passes an event to a node's exchange, and carries out its commands. `response_to` is the request to which the
    /// event is a response.
    pub fn deliver(&mut self, node: usize, event: Event<u32>, response_to: Option<RequestId>) {
        let mut commands = Vec::new();
        self.nodes[node]
            .exchange
            .handle(self.now, event, &mut commands);
        for command in commands {
            (node, format!("{command:?}")).hash(&mut self.commands_hash);
            self.carry_out(node, command, response_to.as_ref());
        }
        if let Err(inconsistency) = self.nodes[node].exchange.check_consistency() {
            self.inconsistencies
                .push(format!("node {node}: {inconsistency}"));
        }
        self.set_exchange_timer(node);
    }

    /// Schedules the timer of a node's exchange if it is due earlier than the one that is set.
    fn set_exchange_timer(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let due = node.exchange.next_alarm().unwrap_or(Micros::MAX);
        if due >= node.timer_at {
            return;
        }
        node.timer_at = due;
        let timer_delay = self.random.u64(..MAX_TIMER_DELAY);
        let delay = due.saturating_sub(self.now) + timer_delay;
        let node = self.node_ref(index);
        self.schedule(delay, SimulationEvent::ExchangeTimer { node, due });
    }

    fn carry_out(&mut self, node: usize, command: Command<u32>, response_to: Option<&RequestId>) {
        match command {
            // Requests arrive complete in this simulation.
            Command::ReleaseBody { .. } => {}
            Command::Connect {
                connection,
                address,
            } => self.connect(node, connection, address),
            Command::Send { connection, id, .. } => self.prepare(node, connection, id),
            Command::Write { connection } => self.write(node, connection),
            Command::Close { connection } => self.close(node, connection),
            Command::Answer { id, answer } => self.answer(node, &id, answer, response_to),
            Command::PolicyAction(action) => self.carry_out_action(node, action),
        }
    }

    fn connection_ref(&self, node: usize, id: ConnectionId) -> ConnectionRef {
        ConnectionRef {
            node: self.node_ref(node),
            id,
        }
    }

    fn connect(&mut self, node: usize, id: ConnectionId, address: u32) {
        let server = self
            .servers
            .iter()
            .position(|server| server.address == address);
        let connection = Connection::connecting(server.unwrap_or(0), address);
        self.nodes[node].connections.insert(id, connection);
        let refused = server
            .is_none_or(|server| self.servers[server].fault == ServerFault::RefusesConnections);
        let delay = self.random.u64(CONNECT_DELAY);
        let delay = if self.random.u8(..SLOW_CONNECT_ODDS) == 0 {
            delay * SLOW_CONNECT_FACTOR
        } else {
            delay
        };
        let connection = self.connection_ref(node, id);
        let event = if refused {
            SimulationEvent::ConnectFails(connection)
        } else {
            SimulationEvent::ConnectSucceeds(connection)
        };
        self.schedule(delay, event);
    }

    fn prepare(&mut self, node: usize, id: ConnectionId, request: RequestId) {
        let delay = self.random.u64(..MAX_PREPARE_DELAY);
        if let Some(connection) = self.nodes[node].connections.get_mut(&id) {
            connection.carried = Some(request);
            connection.attempts += 1;
            let connection = self.connection_ref(node, id);
            self.schedule(delay, SimulationEvent::FirstByteReady(connection));
        }
    }

    fn write(&mut self, node: usize, id: ConnectionId) {
        let delay = self.random.u64(REQUEST_DELAY);
        let Some(connection) = self.nodes[node].connections.get(&id) else {
            return;
        };
        let attempt = AttemptRef {
            connection: self.connection_ref(node, id),
            number: connection.attempts,
        };
        // If the server has moved, it no longer has the address of this connection.
        let moved = self.servers[connection.server].address != connection.address;
        let event = if moved {
            SimulationEvent::ConnectionBreaks(attempt)
        } else {
            SimulationEvent::RequestReachesServer {
                attempt,
                written_at: self.now,
            }
        };
        self.schedule(delay, event);
    }

    fn close(&mut self, node: usize, id: ConnectionId) {
        let delay = self.random.u64(..MAX_CLOSE_DELAY);
        match self.nodes[node].connections.get_mut(&id) {
            Some(connection) if !connection.closing => {
                connection.closing = true;
                let connection = self.connection_ref(node, id);
                self.schedule(delay, SimulationEvent::ConnectionCloses(connection));
            }
            _ => self.inconsistencies.push(format!(
                "node {node} closes {id:?}, which does not exist or is already being closed"
            )),
        }
    }

    fn answer(
        &mut self,
        node: usize,
        id: &RequestId,
        answer: FinalAnswer,
        response_to: Option<&RequestId>,
    ) {
        self.nodes[node].waiting.remove(id);
        self.open.remove(id);
        if answer == FinalAnswer::Served && response_to != Some(id) {
            self.oracle.wrong_response_received(&id.0);
        }
        let answer = match answer {
            FinalAnswer::Served => Answer::Served,
            FinalAnswer::Rejected(_) => Answer::Refused,
            FinalAnswer::Failed => Answer::Failed,
        };
        self.oracle.response_received(self.elapsed(), &id.0, answer);
    }

    fn carry_out_action(&mut self, node: usize, action: Action) {
        let from = NodeId(node as u32);
        match action {
            Action::SetTimer { after, token } => {
                let node = self.node_ref(node);
                self.schedule(after, SimulationEvent::PolicyTimer { node, token });
            }
            Action::Broadcast { bytes } => {
                for to in (0..self.nodes.len()).filter(|to| *to != node) {
                    self.send_datagram(from, to, &bytes);
                }
            }
            Action::SendToPeer { to, bytes } => self.send_datagram(from, to.0 as usize, &bytes),
            _ => {}
        }
    }
}
