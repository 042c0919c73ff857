//! Reads a request body from its client, as long as the client goes on sending.

use crate::downstream::{BodyWaitGuard, DownstreamConnection};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use saffronpaddle_netio::timeout;
use saffronpaddle_request_body::ClientProgress;
use std::sync::Arc;
use thiserror::Error;

/// Why a request body was not received completely.
#[derive(Debug, Error)]
pub enum ReceiveError {
    /// The client sends nothing more, or less than the minimum rate.
    #[error("the client has stopped sending")]
    Stalled,
    /// The connection has ended, or the framing of the body is invalid.
    #[error("the body is broken")]
    Broken(#[source] hyper::Error),
    /// The body exceeds the limit.
    #[error("the body is too large")]
    TooLarge,
    /// The process has no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
}

/// The part of a request body that was not read yet.
pub struct BodyReader {
    rest: Incoming,
    client: Arc<DownstreamConnection>,
    progress: ClientProgress,
}

impl BodyReader {
    /// Creates a reader of a body whose head was just received.
    pub fn new(rest: Incoming, client: Arc<DownstreamConnection>) -> BodyReader {
        let progress = ClientProgress::default();
        BodyReader {
            rest,
            client,
            progress,
        }
    }

    /// The connection of the client.
    pub fn client(&self) -> &Arc<DownstreamConnection> {
        &self.client
    }

    /// Waits for the next bytes; `None` at the end of the body. Cancel safe: nothing is lost if the future is dropped.
    ///
    /// # Errors
    /// The client has stopped, or the body is broken.
    pub async fn next(&mut self) -> Result<Option<Bytes>, ReceiveError> {
        let _wait_guard = BodyWaitGuard::new(&self.client);
        loop {
            let wait_began = self.client.now();
            let frame = timeout(self.progress.time_left(), self.rest.frame()).await;
            let Some(frame) = frame.map_err(|_| ReceiveError::Stalled)? else {
                return Ok(None);
            };
            // Trailers are not forwarded.
            let Ok(data) = frame.map_err(ReceiveError::Broken)?.into_data() else {
                continue;
            };
            if !data.is_empty() {
                // Zero if the bytes were in the kernel before.
                let waited = self.client.sent_after().saturating_sub(wait_began);
                self.progress.record_received(waited, data.len());
                return Ok(Some(data));
            }
        }
    }
}
