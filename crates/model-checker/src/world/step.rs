//! What may happen in a world.

use super::setup::Setup;
use saffronpaddle_policy::interface::Outcome;

/// Something that happens. Requests and servers are numbered as in the setup, connections by their rank among those
/// that exist, in the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// A client's request arrives.
    RequestArrives(u8),
    /// The client of a request leaves, or is done with the answer.
    ClientLeaves(u8),
    /// The last byte of a streaming request body arrives from the client.
    BodyArrives(u8),
    /// The rest of a streaming response arrives on a connection.
    ResponseFinishes(u8),
    /// The client of the streaming response on a connection takes no more of it.
    ResponseDropped(u8),
    /// The policy sends a request to a server.
    PolicySends {
        /// The request.
        request: u8,
        /// The server.
        server: u8,
        /// The attempt times out after one tick; otherwise when the client stops waiting.
        short: bool,
    },
    /// The policy rejects a request.
    PolicyRejects(u8),
    /// The policy fails a request.
    PolicyFails(u8),
    /// The policy cancels the last attempt of a request.
    PolicyCancels(u8),
    /// A connect succeeds.
    ConnectSucceeds(u8),
    /// A connect fails.
    ConnectFails(u8),
    /// A connect fails for a shortage on this side.
    ConnectLacksResource(u8),
    /// A connection is writable: the request's first byte would be written.
    FirstByteReady(u8),
    /// A server runs the request on a connection and responds.
    ServerResponds(u8, ServerResponse),
    /// A server sends its last response on a connection again.
    ServerRepeats(u8),
    /// A server resets a connection.
    ConnectionResets {
        /// The connection.
        connection: u8,
        /// Responses that the node has not read are lost with it.
        unread_lost: bool,
    },
    /// The node reads a response from a connection.
    NodeReads(u8),
    /// The node sees the end of a connection, or bytes that it has not asked for.
    NodeSeesEnd(u8),
    /// A connection that was to be closed is closed.
    ConnectionCloses(u8),
    /// The node is told the next change of the endpoint list.
    EndpointsChange,
    /// The node is told to drain.
    NodeStops,
    /// The process is told when it ends.
    ShutdownAnnounced,
    /// The clock goes on by a tick.
    ClockTicks,
    /// The exchange's timer fires.
    TimerFires,
}

/// How a server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerResponse {
    /// Served.
    Ok,
    /// An error: the request may have run.
    Error,
    /// Rejected: the server is full and has not run the request.
    Full,
    /// Served, and the connection changes to another protocol.
    Upgrade,
    /// Served by a streaming response.
    Long,
}

impl ServerResponse {
    /// How a server may respond in a world.
    pub(super) fn possible(setup: &Setup) -> &'static [ServerResponse] {
        if setup.streaming_responses {
            &[
                ServerResponse::Long,
                ServerResponse::Ok,
                ServerResponse::Full,
            ]
        } else if setup.upgrades {
            &[
                ServerResponse::Upgrade,
                ServerResponse::Error,
                ServerResponse::Full,
            ]
        } else {
            &[
                ServerResponse::Ok,
                ServerResponse::Error,
                ServerResponse::Full,
            ]
        }
    }

    /// What the exchange is told of it.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            ServerResponse::Ok | ServerResponse::Upgrade | ServerResponse::Long => Outcome::Ok,
            ServerResponse::Error => Outcome::Error,
            ServerResponse::Full => Outcome::Rejected,
        }
    }
}
