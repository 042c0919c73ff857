//! The steps of a world.

use super::setup::Setup;
use saffronpaddle_policy::interface::Outcome;

/// A step of a world. Requests and servers are numbered as in the setup. Connections are numbered by their rank among
/// the existing ones, in the order of their creation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// The request with this number arrives from its client.
    RequestArrives(u8),
    /// The client of a request disconnects, before or after it is answered.
    ClientLeaves(u8),
    /// The last byte of the streaming body of a request arrives from the client.
    BodyArrives(u8),
    /// The node stops or resumes the receipt of the streaming body of a request, which changes its deadline.
    BodyDeadlineChanges {
        /// The number of the request.
        request: u8,
        /// The deadline is one tick away instead of the whole timeout.
        short: bool,
    },
    /// The client of a request stops in the middle of its streaming body.
    BodyFails(u8),
    /// The rest of a streaming response arrives on a connection.
    ResponseFinishes(u8),
    /// A streaming response turns out to be long.
    ResponseTurnsLong(u8),
    /// The client stops reading the streaming response on a connection.
    ResponseDropped(u8),
    /// The policy sends a request to a server.
    PolicySends {
        /// The number of the request.
        request: u8,
        /// The number of the server.
        server: u8,
        /// The attempt times out after one tick instead of at the deadline of the request.
        short: bool,
    },
    /// The policy rejects a request.
    PolicyRejects(u8),
    /// The policy fails a request.
    PolicyFails(u8),
    /// The policy cancels the last attempt of a request.
    PolicyCancels(u8),
    /// The policy releases the last part of the body of a request.
    PolicyReleases(u8),
    /// A connect succeeds.
    ConnectSucceeds(u8),
    /// A connect fails.
    ConnectFails(u8),
    /// A connect fails because the node lacks a resource.
    ConnectLacksResource(u8),
    /// A connection is ready for the first byte of its request.
    FirstByteReady(u8),
    /// A server runs the request on a connection and responds.
    ServerResponds(u8, ServerResponse),
    /// A server sends its last response on a connection again.
    ServerRepeats(u8),
    /// A server resets a connection.
    ConnectionResets {
        /// The rank of the connection.
        connection: u8,
        /// Responses that the node has not read are lost.
        unread_lost: bool,
    },
    /// The node reads a response from a connection.
    NodeReads(u8),
    /// The node notices the end of a connection or unsolicited bytes.
    NodeSeesEnd(u8),
    /// A connection that the node is closing is closed.
    ConnectionCloses(u8),
    /// The node receives the next change of the endpoint list.
    EndpointsChange,
    /// A drain of the node is requested.
    NodeDrains,
    /// The shutdown deadline of the process is announced.
    ShutdownAnnounced,
    /// The clock advances by one tick.
    ClockTicks,
    /// The exchange's timer fires.
    TimerFires,
}

/// How a server responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServerResponse {
    /// A successful response.
    Ok,
    /// An error response: the request may have run.
    Error,
    /// A rejection: the server is full and has not run the request.
    Full,
    /// A successful response that upgrades the connection to another protocol.
    Upgrade,
    /// A successful streaming response that may be short.
    Streaming,
    /// A successful streaming response that is known to be long.
    StreamingLong,
}

impl ServerResponse {
    /// Returns the responses that servers may give in a world.
    pub(super) fn possible(setup: &Setup) -> &'static [ServerResponse] {
        if setup.streaming_responses {
            &[
                ServerResponse::Streaming,
                ServerResponse::StreamingLong,
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

    /// Returns whether the response is streaming.
    pub(super) fn is_streaming(self) -> bool {
        matches!(
            self,
            ServerResponse::Streaming | ServerResponse::StreamingLong
        )
    }

    /// Returns the outcome that is reported to the exchange.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            ServerResponse::Ok
            | ServerResponse::Upgrade
            | ServerResponse::Streaming
            | ServerResponse::StreamingLong => Outcome::Ok,
            ServerResponse::Error => Outcome::Error,
            ServerResponse::Full => Outcome::Rejected,
        }
    }
}
