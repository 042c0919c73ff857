//! What becomes of a client's request.

use crate::bodies::StreamedResponseBody;
use crate::websocket::UpgradedConnection;
use bytes::Bytes;
use hyper::StatusCode;
use std::time::Duration;

/// The final answer to a client's request.
#[derive(Debug)]
pub enum Answer {
    /// A server answered.
    Served(Payload),
    /// The node rejected it; the client may try again after so long, if that is known.
    Rejected(Option<Duration>),
    /// No server gave a whole answer in time.
    Failed,
}

/// What a server answered.
#[derive(Debug)]
pub enum Payload {
    /// A whole body, to a request.
    Body(Bytes),
    /// A body that is streamed, to a request.
    Streaming(Box<StreamedResponseBody>),
    /// The server rejected an upgrade with this status and body.
    UpgradeRejected(StatusCode, Bytes),
    /// The server agreed to an upgrade.
    Upgraded(Box<UpgradedConnection>),
}
