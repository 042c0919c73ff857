//! What the I/O layer reports to an exchange.

use crate::ids::{ConnectionId, Ticket};
use saffronpaddle_policy::interface::{
    Endpoint, Event as PolicyEvent, Idempotency, Micros, Outcome, RequestId,
};

/// What happened. Instants are µs of the same clock as `now`.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<A> {
    /// A request with a valid head has arrived. One whose id is in use is ignored: ask [`Exchange::contains`] first.
    ///
    /// [`Exchange::contains`]: crate::Exchange::contains
    RequestReceived {
        /// What a second execution of the request would do.
        idempotency: Idempotency,
        /// When its client stops waiting.
        deadline: Micros,
        /// What the policy is told: a [`PolicyEvent::RequestArrived`].
        policy_event: PolicyEvent,
    },
    /// The client no longer waits for the answer.
    ClientGone {
        /// The request.
        id: RequestId,
        /// The admission that is meant; the id may be in use again.
        ticket: Ticket,
    },
    /// A connection has come up.
    Connected {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection could not be made; nothing is left of it.
    ConnectFailed {
        /// The connection.
        connection: ConnectionId,
        /// This process lacked a resource (file descriptors, ports, memory): the server is not to blame.
        local_shortage: bool,
    },
    /// The first byte of the request is about to be written.
    FirstByteReady {
        /// The connection that carries the request.
        connection: ConnectionId,
        /// Nothing was received since the last response, not even the end of the stream.
        quiet: bool,
    },
    /// A complete response was received.
    ResponseComplete {
        /// The connection that carries the request.
        connection: ConnectionId,
        /// How the attempt went.
        outcome: Outcome,
    },
    /// The head of a response was received that streams to the client: this is the request's final answer. The attempt
    /// stays outstanding until `ResponseComplete`, `ConnectionLost` or `ResponseAbandoned`.
    ResponseStreaming {
        /// The connection that carries the request.
        connection: ConnectionId,
    },
    /// The client no longer takes the rest of a streaming response.
    ResponseAbandoned {
        /// The connection that carries the request.
        connection: ConnectionId,
    },
    /// The last byte of a streaming request body has arrived from the client; it is held back until
    /// [`Command::ReleaseBody`].
    ///
    /// [`Command::ReleaseBody`]: crate::Command::ReleaseBody
    BodyComplete {
        /// The request.
        id: RequestId,
        /// The admission that is meant.
        ticket: Ticket,
        /// When its client stops waiting.
        deadline: Micros,
    },
    /// A response has upgraded the connection to another protocol: the connection now belongs to the client and leaves
    /// the exchange.
    Upgraded {
        /// The connection.
        connection: ConnectionId,
    },
    /// The attempt on a connection failed: the connection broke, or what was received is no response to the request.
    ConnectionLost {
        /// The connection.
        connection: ConnectionId,
    },
    /// The server has closed the connection, or sent bytes that nobody asked for.
    ClosedByPeer {
        /// The connection.
        connection: ConnectionId,
    },
    /// A connection that was to be closed is closed.
    Closed {
        /// The connection.
        connection: ConnectionId,
    },
    /// The endpoint list has changed.
    EndpointsChanged {
        /// The entries are the whole list: a server that is not among them is gone.
        snapshot: bool,
        /// The entries, with the address of each.
        endpoints: Vec<(Endpoint, A)>,
    },
    /// The process was told to stop, and the life cycle has a shutdown plan: all requests that it has and will receive are answered by then, whatever time
    /// their clients have left.
    ShutdownAnnounced {
        /// The shutdown deadline.
        answer_by: Micros,
    },
    /// The node accepts no more connections (the life cycle's `StopAccepting`): idle connections to servers are closed and none
    /// is kept any more. Open requests go on.
    Drain,
    /// The time of [`Exchange::next_alarm`] has come.
    ///
    /// [`Exchange::next_alarm`]: crate::Exchange::next_alarm
    TimerFired,
    /// An event for the policy alone.
    PolicyEvent(PolicyEvent),
}
