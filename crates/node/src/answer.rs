//! The final answer to a client's request.

use crate::bodies::StreamedResponseBody;
use crate::memory::MemoryGrant;
use crate::websocket::UpgradedConnection;
use bytes::Bytes;
use hyper::StatusCode;
use std::time::Duration;

/// The final answer to a client's request.
#[derive(Debug)]
pub enum Answer {
    /// A server answered.
    Served(Payload),
    /// The node rejected the request. The client may retry after this time; `None` if that is unknown.
    Rejected(Option<Duration>),
    /// No server gave a complete answer in time.
    Failed,
}

/// The complete body of a response, with its memory.
#[derive(Debug)]
pub struct ResponseBytes {
    /// The body.
    pub bytes: Bytes,
    /// Held until the response is written; `None` for a small body.
    pub memory: Option<MemoryGrant>,
}

/// A server's response as it is passed on to the client.
#[derive(Debug)]
pub enum Payload {
    /// The complete body of the response to a request.
    Body(ResponseBytes),
    /// The streamed body of the response to a request.
    Streaming(Box<StreamedResponseBody>),
    /// The server rejected an upgrade with this status and body.
    UpgradeRejected(StatusCode, ResponseBytes),
    /// The server accepted an upgrade.
    Upgraded(Box<UpgradedConnection>),
}
