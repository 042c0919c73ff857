//! Receives the body of a request: completely before the request is submitted, or while it is forwarded.

use super::body_memory::{BodyMemory, SMALL_BODY_BYTES};
use super::reply::{
    deadline_passed, duplicate_id, reject_and_close, reject_for_memory, reply, Reply,
};
use super::request::{RequestHead, DELIVERY_MARGIN};
use super::respond::submit;
use crate::answer::Answer;
use crate::bodies::{
    BodyReader, ReceiveError, StreamedRequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BYTES,
};
use crate::downstream::DownstreamConnection;
use crate::forward::{Forward, ForwardBody};
use crate::memory::MemoryGrant;
use crate::node::Node;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::StatusCode;
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_policy::interface::{ClassId, Event, Idempotency};
use saffronpaddle_request_body::PieceQueue;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::debug;

/// How long a streamed body may take while its client makes progress: enough for the largest body at the lowest rate.
/// It consumes no quota meanwhile.
const STREAMED_BODY_TIMEOUT: Duration = Duration::from_mins(20);

/// The body of a request that can be submitted.
pub(super) enum Upload {
    /// Received completely.
    Complete(ReceivedBody),
    /// Too large to be buffered.
    Streamed(StreamedUpload),
}

/// A body that was received completely.
#[derive(Default)]
pub(super) struct ReceivedBody {
    bytes: Bytes,
    /// Held until the request has its answer; `None` for a small body.
    memory: Option<MemoryGrant>,
}

/// A body that is forwarded while it is received.
pub(super) struct StreamedUpload {
    /// Size in bytes, if the client declared it.
    size: Option<u64>,
    /// What was received until the body turned out to be too large for buffering.
    received: PieceQueue,
    reader: BodyReader,
    /// Held until the request has its answer; `None` while the body is small.
    memory: Option<MemoryGrant>,
    window_bytes: usize,
}

impl Upload {
    /// Receives the buffered part of a body. An error is the reply that rejects the request.
    pub(super) async fn receive(
        node: &Node,
        request_head: &mut RequestHead,
        body: Incoming,
        downstream: &Arc<DownstreamConnection>,
    ) -> Result<Upload, Reply> {
        let class = request_head.class;
        if body.size_hint().lower() > MAX_BODY_BYTES {
            return Err(reject_body(node, class, &ReceiveError::TooLarge));
        }
        let memory = BodyMemory {
            memory: &node.memory,
            client: downstream,
            timeout: request_head.timeout,
        };
        let upload = Upload::buffer(body, &memory).await;
        let upload = upload.map_err(|error| reject_body(node, class, &error))?;
        if request_head.idempotency == Idempotency::Idempotent && !upload.is_empty() {
            node.record_rejection(class, RequestEnd::Faulted);
            let status = StatusCode::BAD_REQUEST;
            return Err(reject_and_close(status, "this class takes no body\n"));
        }
        // The timeout of a request with a streamed body has not started yet.
        if matches!(upload, Upload::Complete(_))
            && !request_head.deduct_queue_time(downstream.time_queued())
        {
            return Err(deadline_passed(node, class));
        }
        Ok(upload)
    }

    /// Receives a body until it is complete or too large for buffering.
    async fn buffer(body: Incoming, memory: &BodyMemory<'_>) -> Result<Upload, ReceiveError> {
        if body.is_end_stream() {
            return Ok(Upload::Complete(ReceivedBody::default()));
        }
        let hint = body.size_hint();
        let mut upload = StreamedUpload {
            size: hint.exact(),
            received: PieceQueue::default(),
            reader: BodyReader::new(body, Arc::clone(memory.client)),
            memory: None,
            window_bytes: MAX_BUFFERED_BYTES,
        };
        if hint.lower() > MAX_BUFFERED_BYTES as u64 {
            let window = memory.draw_window().await?;
            (upload.memory, upload.window_bytes) = (Some(window.memory), window.bytes);
            return Ok(Upload::Streamed(upload));
        }
        loop {
            upload.draw_memory(memory).await?;
            let Some(data) = upload.reader.next().await? else {
                return Ok(Upload::Complete(upload.into_received()));
            };
            upload.received.push(&data);
            if upload.received.len() > MAX_BUFFERED_BYTES {
                return Ok(Upload::Streamed(upload));
            }
        }
    }

    /// Whether the body has no bytes.
    fn is_empty(&self) -> bool {
        matches!(self, Upload::Complete(body) if body.bytes.is_empty())
    }

    /// Submits the request, receives the rest of its body and returns its response.
    pub(super) async fn forward(
        self,
        node: &Rc<Node>,
        request_head: RequestHead,
        head: hyper::http::request::Parts,
        downstream: &Arc<DownstreamConnection>,
    ) -> Reply {
        let class = request_head.class;
        let timeout = request_head.timeout.saturating_sub(DELIVERY_MARGIN);
        let answer = match self {
            Upload::Complete(body) => {
                let ReceivedBody { bytes, memory } = body;
                let (event, forward) = request_head.into_arrival(head, bytes, downstream);
                let answer = submit(node, event, forward).await;
                drop(memory);
                answer
            }
            Upload::Streamed(upload) => {
                let arrival = request_head.into_arrival(head, Bytes::new(), downstream);
                match Box::pin(upload.submit(node, arrival, timeout)).await {
                    Ok(answer) => answer,
                    Err(error) => return reject_incomplete(&error),
                }
            }
        };
        let Some(answer) = answer else {
            node.record_rejection(class, RequestEnd::Faulted);
            return duplicate_id();
        };
        reply(answer)
    }
}

impl StreamedUpload {
    /// Waits for the memory of the body, unless it has some or is small.
    async fn draw_memory(&mut self, memory: &BodyMemory<'_>) -> Result<(), ReceiveError> {
        let is_small = match self.size {
            Some(size) => size <= SMALL_BODY_BYTES as u64,
            None => self.received.len() < SMALL_BODY_BYTES / 2,
        };
        if self.memory.is_none() && !is_small {
            let bytes = self.size.map_or(MAX_BUFFERED_BYTES, |size| size as usize);
            self.memory = Some(memory.draw(bytes).await?);
        }
        Ok(())
    }

    fn into_received(self) -> ReceivedBody {
        ReceivedBody {
            bytes: self.received.into_bytes(),
            memory: self.memory,
        }
    }

    /// Submits a request whose body is being received, and waits for its final answer and the end of the body: a client
    /// that is still writing when the connection closes would lose its response. The client waits for `timeout` from its
    /// last byte on. Returns `None` if the id of the request is in use.
    ///
    /// # Errors
    /// The body could not be received, which has ended the request.
    async fn submit(
        mut self,
        node: &Rc<Node>,
        (mut event, mut forward): (Event, Forward),
        timeout: Duration,
    ) -> Result<Option<Answer>, ReceiveError> {
        let on_event = node.report_body(forward.id.clone(), timeout, STREAMED_BODY_TIMEOUT);
        let client = Arc::clone(self.reader.client());
        let received = std::mem::take(&mut self.received);
        let body = StreamedRequestBody::new(
            Box::new(on_event),
            client,
            self.size,
            received,
            self.window_bytes,
        );
        let body = Rc::new(body);
        stream_body(&mut event, &mut forward, Rc::clone(&body));
        let answered = async {
            let answer = submit(node, event, forward).await;
            body.discard_rest();
            answer
        };
        let (answer, received) = tokio::join!(answered, body.receive(&mut self.reader));
        match (answer, received) {
            (Some(Answer::Failed), Err(error)) => Err(error),
            (answer, _) => Ok(answer),
        }
    }
}

/// Has a request forwarded while its body is being received. The client's timeout starts with the last byte.
fn stream_body(event: &mut Event, forward: &mut Forward, body: Rc<StreamedRequestBody>) {
    forward.body = ForwardBody::Streamed(body);
    forward.deadline = Instant::now() + STREAMED_BODY_TIMEOUT;
    if let Event::RequestArrived {
        timeout, complete, ..
    } = event
    {
        (*timeout, *complete) = (STREAMED_BODY_TIMEOUT.as_micros() as u64, false);
    }
}

/// Rejects a request that was not submitted, as its body was not received.
fn reject_body(node: &Node, class: ClassId, error: &ReceiveError) -> Reply {
    let end = match error {
        ReceiveError::NoMemory => RequestEnd::Throttled,
        _ => RequestEnd::Faulted,
    };
    node.record_rejection(class, end);
    reject_incomplete(error)
}

/// The response to a request whose body was not received. What follows on the connection can't be interpreted.
fn reject_incomplete(error: &ReceiveError) -> Reply {
    debug!(%error, "request with an incomplete body rejected");
    match error {
        ReceiveError::TooLarge => {
            reject_and_close(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large\n")
        }
        ReceiveError::NoMemory => reject_for_memory(),
        ReceiveError::Stalled | ReceiveError::Broken(_) => {
            reject_and_close(StatusCode::BAD_REQUEST, "the body did not come whole\n")
        }
    }
}
