//! A connection between the node and a server.

use super::step::ServerResponse;
use saffronpaddle_policy::interface::Micros;

/// A connection between the node and a server.
#[derive(Clone, Debug, Hash)]
pub(super) struct Connection {
    /// The index of the server.
    pub server: u8,
    /// The server's address to which the connection was opened.
    pub address: u8,
    /// The connection is established.
    pub up: bool,
    /// The request that was prepared on the connection and has not ended on it.
    pub carried: Option<CarriedRequest>,
    /// The server has responded to the carried request.
    pub responded: bool,
    /// Responses that the node has not read yet.
    pub inbound: Vec<Response>,
    /// The last response that the server sent.
    pub last_response: Option<SentResponse>,
    /// The last response was sent twice.
    pub repeated: bool,
    /// The server has reset the connection.
    pub reset: bool,
    /// The node has noticed the end of the connection.
    pub end_seen: bool,
    /// The node is closing the connection.
    pub closing: bool,
    /// The connection carries a streaming response.
    pub streaming: bool,
    /// The streaming response is known to be long.
    pub long: bool,
    /// The client has stopped reading the streaming response.
    pub response_dropped: bool,
    /// A response was read before the request was complete.
    pub responded_early: bool,
}

/// A request that was prepared on a connection.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct CarriedRequest {
    pub request: u8,
    /// The first byte was written.
    pub written: bool,
}

/// A response to a request.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Response {
    pub request: u8,
    pub kind: ServerResponse,
}

/// A response with the time at which it was sent, µs.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct SentResponse {
    pub response: Response,
    pub at: Micros,
}

impl Connection {
    /// Creates a connection that is being established.
    pub fn connecting(server: u8, address: u8) -> Connection {
        Connection {
            server,
            address,
            up: false,
            carried: None,
            responded: false,
            inbound: Vec::new(),
            last_response: None,
            repeated: false,
            reset: false,
            end_seen: false,
            closing: false,
            streaming: false,
            long: false,
            response_dropped: false,
            responded_early: false,
        }
    }

    /// Returns whether a streaming response is passed to its client.
    pub fn is_passing_response(&self) -> bool {
        self.streaming && !self.closing && !self.reset && !self.response_dropped
    }

    /// Returns the carried request if bytes of it were written.
    pub fn written_request(&self) -> Option<u8> {
        self.carried
            .filter(|carried| carried.written)
            .map(|carried| carried.request)
    }

    /// Returns whether the connection carries a request of which no byte is written.
    pub fn has_unwritten_request(&self) -> bool {
        self.carried.is_some_and(|carried| !carried.written)
    }
}
