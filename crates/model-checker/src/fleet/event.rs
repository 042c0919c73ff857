//! The events of the simulation.

use saffronpaddle_exchange::{ConnectionId, Ticket};
use saffronpaddle_policy::interface::{Endpoint, Micros, NodeId, Outcome, RequestId};

/// A node in one of its incarnations. Events in transit to an earlier incarnation are lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeRef {
    pub index: usize,
    pub incarnation: u32,
}

/// A connection of a node.
#[derive(Clone, Copy, Debug)]
pub(super) struct ConnectionRef {
    pub node: NodeRef,
    pub id: ConnectionId,
}

/// An attempt on a connection, which distinguishes its responses from those to earlier attempts.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub connection: ConnectionRef,
    /// The number of the attempt on the connection, counted from 1.
    pub number: u32,
}

/// A scheduled event. Servers are identified by their index.
#[derive(Clone, Debug)]
pub(super) enum SimulationEvent {
    /// A client sends the request with this number.
    RequestArrives(usize),
    ClientLeaves {
        node: NodeRef,
        id: RequestId,
        ticket: Ticket,
    },
    ConnectSucceeds(ConnectionRef),
    ConnectFails(ConnectionRef),
    FirstByteReady(ConnectionRef),
    /// A complete request reaches its server.
    RequestReachesServer {
        attempt: AttemptRef,
        written_at: Micros,
    },
    ServerFinishes {
        attempt: AttemptRef,
        outcome: Outcome,
    },
    ResponseReachesNode {
        attempt: AttemptRef,
        id: RequestId,
        outcome: Outcome,
    },
    ConnectionBreaks(AttemptRef),
    /// A server repeats a response.
    UnexpectedBytes(ConnectionRef),
    /// A server closes a connection.
    PeerCloses(ConnectionRef),
    /// The closing of a connection by the node is complete.
    ConnectionCloses(ConnectionRef),
    /// The timer of a node's exchange fires; `due` shows whether it was rescheduled since.
    ExchangeTimer {
        node: NodeRef,
        due: Micros,
    },
    /// A timer of a node's policy fires.
    PolicyTimer {
        node: NodeRef,
        token: u64,
    },
    DatagramArrives {
        to: usize,
        from: NodeId,
        bytes: Vec<u8>,
    },
    /// A server's fault begins or ends.
    FaultToggles(usize),
    /// A server drains or becomes ready again.
    ServerToggles(usize),
    EndpointUpdate {
        node: NodeRef,
        server: usize,
        endpoint: Endpoint,
        address: u32,
    },
    NodeKilled(usize),
}
