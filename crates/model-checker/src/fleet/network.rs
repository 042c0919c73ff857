//! Events of connections and datagrams at the nodes.

use super::event::{AttemptRef, ConnectionRef, SimulationEvent};
use super::simulation::Simulation;
use saffronpaddle_exchange::Event;
use saffronpaddle_policy::interface::{Event as PolicyEvent, Micros, NodeId, Outcome, RequestId};
use std::ops::Range;

/// One in this many failed connects fails because the node lacks a resource.
const LOCAL_SHORTAGE_ODDS: u8 = 20;
/// Transit time of a datagram, µs.
const DATAGRAM_DELAY: Range<Micros> = 100..20_000;
/// One in this many datagrams is lost, and another one is duplicated.
const DISTURBED_DATAGRAM_ODDS: u8 = 50;

impl Simulation {
    /// Establishes a connection.
    pub fn connect_succeeds(&mut self, connection: ConnectionRef) {
        let Some(connected) = self.open_connection(connection) else {
            return;
        };
        connected.up = true;
        let event = Event::Connected {
            connection: connection.id,
        };
        self.deliver(connection.node.index, event, None);
    }

    /// Reports to the node that a connect failed, in some cases because of a local shortage.
    pub fn connect_fails(&mut self, connection: ConnectionRef) {
        if self.open_connection(connection).is_none() {
            return;
        }
        self.nodes[connection.node.index]
            .connections
            .remove(&connection.id);
        let local_shortage = self.random.u8(..LOCAL_SHORTAGE_ODDS) == 0;
        let event = Event::ConnectFailed {
            connection: connection.id,
            local_shortage,
        };
        self.deliver(connection.node.index, event, None);
    }

    /// Reports that a connection is ready for the first byte of its request.
    pub fn first_byte_ready(&mut self, connection: ConnectionRef) {
        let Some(ready) = self.open_connection(connection) else {
            return;
        };
        let event = Event::FirstByteReady {
            connection: connection.id,
            no_unread_bytes: !ready.unexpected_bytes,
        };
        self.deliver(connection.node.index, event, None);
    }

    /// Delivers a server's response to the node.
    pub fn response_reaches_node(&mut self, attempt: AttemptRef, id: RequestId, outcome: Outcome) {
        let Some(connection) = self.open_attempt(attempt) else {
            return;
        };
        connection.carried = None;
        let event = Event::ResponseComplete {
            connection: attempt.connection.id,
            outcome,
        };
        self.deliver(attempt.connection.node.index, event, Some(id));
    }

    /// Breaks a connection during an attempt.
    pub fn connection_breaks(&mut self, attempt: AttemptRef) {
        let elapsed = self.elapsed();
        let Some(broken) = self.open_attempt(attempt) else {
            return;
        };
        let Some(id) = broken.carried.clone() else {
            return;
        };
        broken.unexpected_bytes = true;
        if std::mem::replace(&mut broken.at_server, false) {
            self.oracle.attempt_canceled(elapsed, &id.0);
        }
        let event = Event::ConnectionLost {
            connection: attempt.connection.id,
        };
        self.deliver(attempt.connection.node.index, event, None);
    }

    /// Delivers unsolicited bytes to the node.
    pub fn unexpected_bytes(&mut self, connection: ConnectionRef) {
        let Some(found) = self.open_connection(connection) else {
            return;
        };
        found.unexpected_bytes = true;
        if found.carried.is_none() {
            self.report_closed_by_peer(connection);
        }
    }

    /// Closes a connection from the server side. The node notices it only if the connection is idle.
    pub fn peer_closes(&mut self, connection: ConnectionRef) {
        let idle = self
            .open_connection(connection)
            .is_some_and(|found| found.carried.is_none());
        if idle {
            self.report_closed_by_peer(connection);
        }
    }

    fn report_closed_by_peer(&mut self, connection: ConnectionRef) {
        let event = Event::ClosedByPeer {
            connection: connection.id,
        };
        self.deliver(connection.node.index, event, None);
    }

    /// Completes the closing of a connection by the node.
    pub fn connection_closes(&mut self, connection: ConnectionRef) {
        if !self.is_alive(connection.node) {
            return;
        }
        let closed = self.nodes[connection.node.index]
            .connections
            .remove(&connection.id);
        let at_server = closed
            .filter(|closed| closed.at_server)
            .and_then(|closed| closed.carried);
        if let Some(id) = at_server {
            self.oracle.attempt_canceled(self.elapsed(), &id.0);
        }
        let event = Event::Closed {
            connection: connection.id,
        };
        self.deliver(connection.node.index, event, None);
    }

    /// Sends a datagram, which may be lost, duplicated or reordered.
    pub fn send_datagram(&mut self, from: NodeId, to: usize, bytes: &[u8]) {
        let copies = match self.random.u8(..DISTURBED_DATAGRAM_ODDS) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = self.random.u64(DATAGRAM_DELAY);
            if to < self.nodes.len() {
                let bytes = bytes.to_vec();
                self.schedule(delay, SimulationEvent::DatagramArrives { to, from, bytes });
            }
        }
    }

    /// Delivers a datagram from a peer to a node.
    pub fn datagram_arrives(&mut self, to: usize, from: NodeId, bytes: Vec<u8>) {
        let message = PolicyEvent::PeerMessage { from, bytes };
        self.deliver(to, Event::PolicyEvent(message), None);
    }
}
