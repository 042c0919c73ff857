//! A connection between the node and a server.

use super::step::ServerResponse;
use saffronpaddle_policy::interface::Micros;

/// A connection.
#[derive(Clone, Debug, Hash)]
pub(super) struct Connection {
    pub server: u8,
    pub address: u8,
    pub up: bool,
    pub carried: Option<CarriedRequest>,
    /// The server has responded to the request that it carries.
    pub responded: bool,
    /// Responses on their way to the node.
    pub inbound: Vec<Response>,
    pub last_response: Option<SentResponse>,
    /// The last response was sent twice.
    pub repeated: bool,
    pub reset: bool,
    /// The node has seen its end.
    pub end_seen: bool,
    pub closing: bool,
    /// It carries a streaming response.
    pub streaming: bool,
    /// The client takes no more of the streaming response.
    pub response_dropped: bool,
    /// A response was read before the request on it was complete.
    pub responded_early: bool,
}

/// The request that was prepared on a connection.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct CarriedRequest {
    pub request: u8,
    /// Its first byte was written.
    pub written: bool,
}

/// A response to a request.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Response {
    pub request: u8,
    pub kind: ServerResponse,
}

/// A response and when it was sent, µs.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct SentResponse {
    pub response: Response,
    pub at: Micros,
}

impl Connection {
    /// A connection that is being made.
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
            response_dropped: false,
            responded_early: false,
        }
    }

    /// The request of which bytes were written.
    pub fn written_request(&self) -> Option<u8> {
        self.carried
            .filter(|carried| carried.written)
            .map(|carried| carried.request)
    }

    /// Whether it carries a request of which nothing is written.
    pub fn has_unwritten_request(&self) -> bool {
        self.carried.is_some_and(|carried| !carried.written)
    }
}
