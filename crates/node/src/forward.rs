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

/// A client's request as it goes on to an app server.
pub struct Forward {
    pub id: RequestId,
    /// What a second execution would do.
    pub effect: Idempotency,
    pub method: Method,
    /// Path and query.
    pub target: String,
    pub key: Option<HeaderValue>,
    pub body: ForwardBody,
    /// The socket that is asked for.
    pub offer: Option<Offer>,
    /// When the edge node stops waiting.
    pub deadline: Instant,
    /// Who waits for the answer.
    pub client: Arc<DownstreamConnection>,
}

/// The body of a request that goes on.
pub enum ForwardBody {
    /// It has come whole, and can go again.
    Buffered(Bytes),
    /// It goes by, once.
    Streamed(Rc<StreamedRequestBody>),
}

impl Forward {
    /// Its body, if that goes by.
    pub fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            ForwardBody::Buffered(_) => None,
            ForwardBody::Streamed(pipe) => Some(pipe),
        }
    }
}
