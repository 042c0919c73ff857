//! What an exchange tells the I/O layer to do.

use crate::ids::ConnectionId;
use saffronpaddle_policy::interface::{Action, Micros, RequestId, ServerId};

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<A> {
    /// Make a connection. [`Event::Connected`] or [`Event::ConnectFailed`] follows, or, after a close,
    /// [`Event::Closed`] alone.
    ///
    /// [`Event::Connected`]: crate::Event::Connected
    /// [`Event::ConnectFailed`]: crate::Event::ConnectFailed
    /// [`Event::Closed`]: crate::Event::Closed
    Connect {
        /// The id of the new connection.
        connection: ConnectionId,
        /// The server's address.
        address: A,
    },
    /// Prepare the request on a connection. [`Event::FirstByteReady`] follows before its first byte, and
    /// [`Event::ResponseComplete`] or [`Event::ConnectionLost`] at its end; after a close, [`Event::Closed`] alone.
    ///
    /// [`Event::FirstByteReady`]: crate::Event::FirstByteReady
    /// [`Event::ResponseComplete`]: crate::Event::ResponseComplete
    /// [`Event::ConnectionLost`]: crate::Event::ConnectionLost
    /// [`Event::Closed`]: crate::Event::Closed
    Send {
        /// The connection that carries it.
        connection: ConnectionId,
        /// The request.
        id: RequestId,
        /// The server at the other end.
        server: ServerId,
    },
    /// Write the first byte now.
    Write {
        /// The connection.
        connection: ConnectionId,
    },
    /// Write the last piece of a request's body now.
    ReleaseBody {
        /// The connection.
        connection: ConnectionId,
    },
    /// Close a connection, whatever it carries. [`Event::Closed`] follows.
    ///
    /// [`Event::Closed`]: crate::Event::Closed
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Give the client its final answer.
    Answer {
        /// The request.
        id: RequestId,
        /// The answer.
        answer: FinalAnswer,
    },
    /// An action of the policy that does not concern the exchange.
    PolicyAction(Action),
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The server's response; it came with the [`Event::ResponseComplete`], [`Event::ResponseStreaming`] or
    /// [`Event::Upgraded`] that is being handled.
    ///
    /// [`Event::ResponseComplete`]: crate::Event::ResponseComplete
    /// [`Event::ResponseStreaming`]: crate::Event::ResponseStreaming
    /// [`Event::Upgraded`]: crate::Event::Upgraded
    Served,
    /// Rejected, and a retry by the client is harmless; the value is the Retry-After in µs.
    Rejected(Option<Micros>),
    /// Failed; the request may have run.
    Failed,
}
