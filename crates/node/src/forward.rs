//! A client's request as it is forwarded to an app server.

use crate::bodies::StreamedRequestBody;
use crate::downstream::DownstreamConnection;
use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::Method;
use saffronpaddle_policy::interface::{Idempotency, RequestId};
use saffronpaddle_websocket::upgrade::Offer;
use std::rc::Rc;
use std::sync::Arc;
use tokio::time::Instant;

/// A client's request as it is forwarded to an app server.
pub struct Forward {
    /// The client's `X-Request-Id`.
    pub id: RequestId,
    /// The effect of a second execution, as the settings of the class give it.
    pub idempotency: Idempotency,
    /// The class has streamed responses.
    pub response_streamed: bool,
    /// The client's method, forwarded unchanged.
    pub method: Method,
    /// Path and query, as the client sent them.
    pub target: String,
    /// The value of `Idempotency-Key`, if the client sent one.
    pub key: Option<HeaderValue>,
    /// The body, buffered or streamed.
    pub body: ForwardBody,
    /// The WebSocket upgrade that the client requests; `None` for an ordinary request.
    pub offer: Option<Offer>,
    /// When the node stops waiting for a response.
    pub deadline: Instant,
    /// The connection of the client that waits for the response.
    pub client: Arc<DownstreamConnection>,
}

/// The body of a forwarded request.
pub enum ForwardBody {
    /// Received completely; a retry can send it again.
    Buffered(Bytes),
    /// Streamed while it is received; once a byte of it was written, no other attempt can send it.
    Streamed(Rc<StreamedRequestBody>),
}

impl Forward {
    /// The body if it is streamed.
    pub fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            ForwardBody::Buffered(_) => None,
            ForwardBody::Streamed(body) => Some(body),
        }
    }
}
