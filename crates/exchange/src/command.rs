//! Commands from an exchange to the I/O layer.

use crate::ids::ConnectionId;
use saffronpaddle_policy::interface::{Action, Micros, RequestId, ServerId};

/// An operation that the I/O layer carries out. `A` is the type of a server address.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "ids and answers are documented at their types")]
pub enum Command<A> {
    /// Open a connection. The I/O layer answers with [`Event::Connected`] or [`Event::ConnectFailed`], or, if the
    /// connection is closed first, with [`Event::Closed`] only.
    ///
    /// [`Event::Connected`]: crate::Event::Connected
    /// [`Event::ConnectFailed`]: crate::Event::ConnectFailed
    /// [`Event::Closed`]: crate::Event::Closed
    Connect {
        connection: ConnectionId,
        /// The address to connect to.
        address: A,
    },
    /// Prepare a request on a connection. The I/O layer reports [`Event::FirstByteReady`] before the first byte is
    /// written, and [`Event::ResponseComplete`] or [`Event::ConnectionLost`] when the attempt ends. If the connection
    /// is closed first, it reports [`Event::Closed`] only.
    ///
    /// [`Event::FirstByteReady`]: crate::Event::FirstByteReady
    /// [`Event::ResponseComplete`]: crate::Event::ResponseComplete
    /// [`Event::ConnectionLost`]: crate::Event::ConnectionLost
    /// [`Event::Closed`]: crate::Event::Closed
    Send {
        /// The connection to send the request on.
        connection: ConnectionId,
        id: RequestId,
        server: ServerId,
    },
    /// Write the first byte of the prepared request.
    Write { connection: ConnectionId },
    /// Write the last part of a request body, which was held back until now.
    ReleaseBody { connection: ConnectionId },
    /// Close a connection, even if a request is outstanding on it. The I/O layer reports [`Event::Closed`] afterwards.
    ///
    /// [`Event::Closed`]: crate::Event::Closed
    Close { connection: ConnectionId },
    /// Send the final answer to the client.
    Answer { id: RequestId, answer: FinalAnswer },
    /// An action of the policy that the exchange passes on unchanged.
    PolicyAction(Action),
}

/// The final answer to a request. Each request gets exactly one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// The server's response, which was received with the [`Event::ResponseComplete`],
    /// [`Event::ResponseStreaming`] or [`Event::Upgraded`] that is currently handled.
    ///
    /// [`Event::ResponseComplete`]: crate::Event::ResponseComplete
    /// [`Event::ResponseStreaming`]: crate::Event::ResponseStreaming
    /// [`Event::Upgraded`]: crate::Event::Upgraded
    Served,
    /// The request was rejected, and the client can safely retry it. The value is the Retry-After in µs; `None` sends
    /// no such hint.
    Rejected(Option<Micros>),
    /// The request failed. It may have run.
    Failed,
}
