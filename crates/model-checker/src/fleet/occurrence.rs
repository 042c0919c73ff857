//! What comes about at its time.

use saffronpaddle_exchange::{ConnectionId, Ticket};
use saffronpaddle_policy::interface::{Endpoint, Micros, NodeId, Outcome, RequestId};

/// A node in one of its incarnations: what is under way to an earlier one is lost.
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

/// An attempt on a connection: what belongs to an earlier one is no response to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptRef {
    pub connection: ConnectionRef,
    /// Counts the attempts on the connection.
    pub number: u32,
}

/// Something that comes about at its time. Servers are given by their index.
#[derive(Clone, Debug)]
pub(super) enum Occurrence {
    /// A client sends its request, the one of this number.
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
    /// A connection that the node closes is closed.
    ConnectionCloses(ConnectionRef),
    /// The timer of a node's exchange.
    ExchangeTimer {
        node: NodeRef,
        due: Micros,
    },
    /// A timer of a node's policy.
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
    /// A server drains or returns.
    ServerToggles(usize),
    EndpointUpdate {
        node: NodeRef,
        server: usize,
        endpoint: Endpoint,
        address: u32,
    },
    NodeKilled(usize),
}
