//! Events that the I/O layer reports to an exchange.

use crate::ids::{ConnectionId, Ticket};
use saffronpaddle_policy::interface::{
    Endpoint, Event as PolicyEvent, Idempotency, Micros, Outcome, RequestId,
};

/// An event. All points in time are µs of the clock that also gives `now` of
/// [`Exchange::handle`](crate::Exchange::handle). `A` is the type of a server address.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "ids and answers are documented at their types")]
pub enum Event<A> {
    /// A request with a valid head was received. The event is ignored if the request id is known, so callers check
    /// [`Exchange::is_known`] first.
    ///
    /// [`Exchange::is_known`]: crate::Exchange::is_known
    RequestReceived {
        /// Whether and where the request may be retried after it may have run.
        idempotency: Idempotency,
        /// When the client stops waiting for the answer.
        deadline: Micros,
        /// The class has streamed responses: once one has started, it has no deadline, however short it is.
        response_streamed: bool,
        /// The [`PolicyEvent::RequestArrived`] to pass to the policy.
        policy_event: PolicyEvent,
    },
    /// The client has disconnected or no longer waits for the answer.
    ClientGone {
        id: RequestId,
        /// Identifies the admission: the id may already be in use by a later request.
        ticket: Ticket,
    },
    /// A connection was established.
    Connected { connection: ConnectionId },
    /// A connect failed. The I/O layer has released the connection; no [`Event::Closed`] follows.
    ConnectFailed {
        connection: ConnectionId,
        /// The cause is a shortage of resources in this process (file descriptors, ports, memory), not the server.
        local_shortage: bool,
    },
    /// The first byte of the request is about to be written.
    FirstByteReady {
        /// The connection that carries the request.
        connection: ConnectionId,
        /// Nothing was received on the connection since the last response, neither bytes nor the end of the stream.
        no_unread_bytes: bool,
    },
    /// A complete response was received, or the end of a streaming one.
    ResponseComplete {
        /// The connection that carries the request.
        connection: ConnectionId,
        /// The outcome of the attempt.
        outcome: Outcome,
    },
    /// The head of a streaming response was received. It is the final answer to the request; the attempt stays
    /// outstanding until `ResponseComplete`, `ConnectionLost` or `ResponseAbandoned`.
    ResponseStreaming {
        /// The connection that carries the request.
        connection: ConnectionId,
        /// The response is known to be long: only its start has a deadline. Otherwise `ResponseProgress` follows with what
        /// was received of it, and `ResponseLong` if it turns out to be long.
        long: bool,
    },
    /// More of a streaming response whose length is unknown was received from its server.
    ResponseProgress {
        /// The connection that carries the request.
        connection: ConnectionId,
        /// Number of bytes.
        bytes: u64,
    },
    /// A streaming response has turned out to be long.
    ResponseLong {
        /// The connection that carries the request.
        connection: ConnectionId,
    },
    /// The client has stopped reading a streaming response.
    ResponseAbandoned {
        /// The connection that carries the request.
        connection: ConnectionId,
    },
    /// The last byte of a streaming request body was received from the client. It is held back until
    /// [`Command::ReleaseBody`].
    ///
    /// [`Command::ReleaseBody`]: crate::Command::ReleaseBody
    BodyComplete {
        id: RequestId,
        /// Identifies the admission, as the id may already be in use by a later request.
        ticket: Ticket,
        /// When the client stops waiting for the answer; replaces the deadline given on receipt of the request.
        deadline: Micros,
    },
    /// The time by which a request needs its answer has changed although its streaming body is incomplete: the I/O layer
    /// has stopped or resumed the receipt, and while it does not read, the client may already have sent everything.
    BodyDeadlineChanged {
        id: RequestId,
        /// Identifies the admission, as the id may already be in use by a later request.
        ticket: Ticket,
        /// When the client may stop waiting for the answer; replaces the deadline given before.
        deadline: Micros,
    },
    /// The rest of a streaming request body can't be received: the client has stopped in the middle of it, or has sent
    /// what is not a body.
    BodyFailed {
        id: RequestId,
        /// Identifies the admission, as the id may already be in use by a later request.
        ticket: Ticket,
    },
    /// A response has upgraded the connection to another protocol. The connection is now owned by the tunnel to the
    /// client, and the exchange no longer tracks it.
    Upgraded { connection: ConnectionId },
    /// The attempt on a connection failed: the connection broke, or the received bytes are not a response to the
    /// request.
    ConnectionLost { connection: ConnectionId },
    /// The server has closed the connection or sent unsolicited bytes.
    ClosedByPeer { connection: ConnectionId },
    /// A connection has been closed in response to [`Command::Close`](crate::Command::Close).
    Closed { connection: ConnectionId },
    /// The endpoint list has changed.
    EndpointsChanged {
        /// The entries are the complete list: servers that are not among them are removed.
        snapshot: bool,
        /// The entries, each with the address of the server.
        endpoints: Vec<(Endpoint, A)>,
    },
    /// A stop was requested, and the life cycle has set a shutdown deadline: all open and future requests are
    /// answered by then, even if their clients would wait longer.
    ShutdownAnnounced {
        /// The shutdown deadline. An earlier one that was announced before stays in force.
        answer_by: Micros,
    },
    /// The node accepts no more connections (the life cycle's `StopAccepting`). Idle connections to servers are
    /// closed, and connections that become idle are no longer kept. Open requests continue.
    Drain,
    /// Memory allows to keep this many idle connections. Those that have been idle longest are closed.
    IdleConnectionsLimited {
        /// Number of idle connections that are kept.
        max_idle: usize,
    },
    /// The time given by [`Exchange::next_alarm`] has passed.
    ///
    /// [`Exchange::next_alarm`]: crate::Exchange::next_alarm
    TimerFired,
    /// Requests with these ids may have run at another process of the node.
    RanElsewhere { ids: Vec<RequestId> },
    /// An event that only the policy handles.
    PolicyEvent(PolicyEvent),
}
