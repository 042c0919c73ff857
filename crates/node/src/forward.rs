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
    /// Its id.
    pub id: RequestId,
    /// What a second execution would do.
    pub effect: Idempotency,
    /// Its method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Its idempotency key.
    pub key: Option<HeaderValue>,
    /// Its body.
    pub body: ForwardBody,
    /// The upgrade that is requested.
    pub offer: Option<Offer>,
    /// When the edge node stops waiting for a response.
    pub deadline: Instant,
    /// The connection whose client waits.
    pub client: Arc<DownstreamConnection>,
}

/// The body of a request that is forwarded.
pub enum ForwardBody {
    /// It was received whole, and can be sent again.
    Buffered(Bytes),
    /// It is streamed, once.
    Streamed(Rc<StreamedRequestBody>),
}

impl Forward {
    /// Its body, if that is streamed.
    pub fn streamed_body(&self) -> Option<&Rc<StreamedRequestBody>> {
        match &self.body {
            ForwardBody::Buffered(_) => None,
            ForwardBody::Streamed(body) => Some(body),
        }
    }
}
