//! Serves one request: reads its body, submits it to the node and builds the response.

use super::reply::{
    deadline_passed, duplicate_id, reject_and_close, reject_unread, reject_upgrade, reply,
    text_reply, unavailable, Reply,
};
use super::request::{parse, Rejected, RequestHead, DELIVERY_MARGIN};
use super::ServingStatus;
use crate::answer::{Answer, Payload};
use crate::bodies::{
    concatenate, ReadBody, StreamedRequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
};
use crate::downstream::{DownstreamConnection, ObservedStream};
use crate::forward::{Forward, ForwardBody};
use crate::node::Node;
use crate::websocket;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING, UPGRADE};
use hyper::upgrade::OnUpgrade;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_exchange::Ticket;
use saffronpaddle_netio::timeout_at;
use saffronpaddle_policy::interface::{Event, Idempotency, RequestId};
use saffronpaddle_websocket::upgrade::{self, Offer};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long the buffered part of a body may take after its head, in addition to the time that its size allows. Stops
/// waiting for bodies that stall.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Minimum rate at which a client must send a buffered body: half the rate of a slow client.
const MIN_BODY_BYTES_PER_SECOND: u32 = 32_000;
/// How long a streamed body may take while its client makes progress: enough for the largest body at the lowest rate.
/// It consumes no quota meanwhile.
const STREAMED_BODY_TIMEOUT: Duration = Duration::from_mins(20);

/// Serves a request and returns its response.
pub(super) async fn respond(
    node: &Rc<Node>,
    request: Request<Incoming>,
    status: &watch::Receiver<ServingStatus>,
    downstream: &Arc<DownstreamConnection>,
) -> Reply {
    if is_ambiguously_framed(&request, downstream) {
        let rejected = Rejected {
            status: StatusCode::BAD_REQUEST,
            reason: "a body has a Content-Length or is chunked, not both\n",
        };
        return reject_unread(node, request.headers(), rejected);
    }
    if request.method() == Method::GET && request.uri().path() == "/-/ready" {
        return readiness(&status.borrow());
    }
    let (mut request, offer) = match node.websockets {
        Some(_) => match upgrade::read(request.method(), request.version(), request.headers()) {
            Ok(offer) => (request, offer),
            Err((status, reason)) => return reject_upgrade(status, reason),
        },
        None => (request, None),
    };
    let client_upgrade = offer.as_ref().map(|_| hyper::upgrade::on(&mut request));
    let (head, body) = request.into_parts();
    let mut request_head = match parse(&node.platform, &head) {
        Ok(request_head) => request_head,
        Err(rejected) => return reject_unread(node, &head.headers, rejected),
    };
    if let (Some(offer), Some(client_upgrade)) = (offer, client_upgrade) {
        return open_websocket(node, request_head, head, offer, client_upgrade, downstream).await;
    }
    let size = body.size_hint().exact();
    match receive_body(node, &mut request_head, body, downstream).await {
        Ok(body) => forward(node, request_head, head, (body, size), downstream).await,
        Err(reply) => reply,
    }
}

/// Whether a request could smuggle another one in its body. If a head has both a length and an encoding, hyper drops
/// one of them silently.
fn is_ambiguously_framed(request: &Request<Incoming>, downstream: &DownstreamConnection) -> bool {
    let encoding = request.headers().get(TRANSFER_ENCODING);
    encoding.is_some_and(|encoding| {
        downstream.is_ambiguously_framed() || !encoding.as_bytes().eq_ignore_ascii_case(b"chunked")
    })
}

/// The response to a readiness probe.
fn readiness(serving: &ServingStatus) -> Reply {
    let mut reply = Response::new(serving.reasons.to_string().into());
    *reply.status_mut() = if serving.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply
}

/// Reads the buffered part of a request's body. An error is the reply that rejects the request.
async fn receive_body(
    node: &Node,
    request_head: &mut RequestHead,
    body: Incoming,
    downstream: &DownstreamConnection,
) -> Result<ReadBody, Reply> {
    let reject = |status, reason| {
        node.record_rejection(request_head.class, RequestEnd::Faulted);
        reject_and_close(status, reason)
    };
    if body.size_hint().lower() > MAX_BODY_BYTES {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(reject(status, "the body is too large\n"));
    }
    let Some(body) = buffer_body(body).await else {
        let status = StatusCode::BAD_REQUEST;
        return Err(reject(status, "the body did not come whole\n"));
    };
    let is_empty = body.as_ref().is_ok_and(Bytes::is_empty);
    if request_head.idempotency == Idempotency::Idempotent && !is_empty {
        let status = StatusCode::BAD_REQUEST;
        return Err(reject(status, "this class takes no body\n"));
    }
    // The timeout of a request with a streamed body has not started yet.
    if body.is_ok() && !request_head.deduct_queue_time(downstream.time_queued()) {
        return Err(deadline_passed(node, request_head.class));
    }
    Ok(body)
}

/// Submits a request and returns its response. `body`: the body after buffering, and its size in bytes if known.
async fn forward(
    node: &Rc<Node>,
    request_head: RequestHead,
    head: hyper::http::request::Parts,
    body: (ReadBody, Option<u64>),
    downstream: &Arc<DownstreamConnection>,
) -> Reply {
    let (class, timeout) = (
        request_head.class,
        request_head.timeout.saturating_sub(DELIVERY_MARGIN),
    );
    let (body, rest) = match body {
        (Ok(body), _) => (body, None),
        (Err((received, rest)), size) => (Bytes::new(), Some((received, rest, size))),
    };
    let (mut event, mut forward) = request_head.into_arrival(head, body, downstream);
    let answer = match rest {
        None => submit(node, event, forward).await,
        Some((received, rest, size)) => {
            let on_event = node.report_body(forward.id.clone(), timeout, STREAMED_BODY_TIMEOUT);
            let body = Rc::new(StreamedRequestBody::new(
                Box::new(on_event),
                Arc::clone(downstream),
                size,
                &received,
            ));
            drop(received);
            stream_body(&mut event, &mut forward, Rc::clone(&body));
            submit_streamed(node, event, forward, &body, rest).await
        }
    };
    if let Some(answer) = answer {
        return reply(answer);
    }
    node.record_rejection(class, RequestEnd::Faulted);
    duplicate_id()
}

/// Submits a request whose body is being received, and waits for its final answer and the end of the body. A client that
/// is still writing when the connection closes would lose its response.
async fn submit_streamed(
    node: &Rc<Node>,
    event: Event,
    forward: Forward,
    body: &StreamedRequestBody,
    rest: Incoming,
) -> Option<Answer> {
    let answered = async {
        let answer = submit(node, event, forward).await;
        body.discard_rest();
        answer
    };
    let (answer, ()) = tokio::join!(answered, body.receive(rest));
    answer
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

/// Buffers a body. Of one that is too large for buffering, returns what was read when it turned out to be too large.
/// `None` if the body was truncated or sent too slowly.
async fn buffer_body(mut body: Incoming) -> Option<ReadBody> {
    let (mut chunks, mut size) = (VecDeque::new(), 0);
    if body.size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64 {
        return Some(Err((chunks, body)));
    }
    if body.is_end_stream() {
        return Some(Ok(Bytes::new()));
    }
    let started_at = Instant::now();
    loop {
        let deadline = started_at
            + BODY_TIMEOUT
            + Duration::from_secs(1).mul_f64(size as f64 / f64::from(MIN_BODY_BYTES_PER_SECOND));
        let Some(frame) = timeout_at(deadline, body.frame()).await.ok()? else {
            break;
        };
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        size += data.len();
        chunks.push_back(data);
        if size > MAX_BUFFERED_BODY_BYTES {
            return Some(Err((chunks, body)));
        }
    }
    Some(Ok(concatenate(chunks)))
}

/// Opens a WebSocket. The upgrade is submitted like any other request; its payload is the connection to the server.
async fn open_websocket(
    node: &Rc<Node>,
    mut request_head: RequestHead,
    head: hyper::http::request::Parts,
    offer: Offer,
    client_upgrade: OnUpgrade,
    downstream: &Arc<DownstreamConnection>,
) -> Reply {
    let Some(websockets) = node
        .websockets
        .as_ref()
        .filter(|websockets| websockets.class == request_head.class)
    else {
        return reject_upgrade(
            StatusCode::BAD_REQUEST,
            "this class is not that of sockets\n",
        );
    };
    if !request_head.deduct_queue_time(downstream.time_queued()) {
        return deadline_passed(node, request_head.class);
    }
    let permit = match websockets.admit(request_head.customer, request_head.terms.subset_size) {
        Ok(permit) => permit,
        Err(rejection) => {
            let mut reply = unavailable(Some(Duration::from_micros(rejection.retry_in)));
            *reply.body_mut() = rejection.reason.into();
            return reply;
        }
    };
    let (event, mut forward) = request_head.into_arrival(head, Bytes::new(), downstream);
    forward.offer = Some(offer);
    let Some(answer) = submit(node, event, forward).await else {
        return duplicate_id();
    };
    let Answer::Served(Payload::Upgraded(server_connection)) = answer else {
        return reply(answer);
    };
    let mut response = text_reply(StatusCode::SWITCHING_PROTOCOLS, "");
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static("websocket"));
    headers.extend(server_connection.accepted());
    tokio::task::spawn_local(async move {
        // Fails if the client disconnects before its response is written.
        let Ok(upgraded) = client_upgrade.await else {
            return;
        };
        let Ok(parts) = upgraded.downcast::<TokioIo<ObservedStream>>() else {
            return;
        };
        if let Some(stream) = parts.io.into_inner().into_inner() {
            websocket::relay(permit, stream, parts.read_buf, *server_connection).await;
        }
    });
    response
}

/// Has the request abandoned when the client disconnects, which drops the future of the response.
struct AbandonGuard<'a> {
    node: &'a Rc<Node>,
    id: RequestId,
    ticket: Ticket,
}

impl Drop for AbandonGuard<'_> {
    fn drop(&mut self) {
        self.node.abandon(&self.id, self.ticket);
    }
}

/// Submits a request and waits for its final answer; `None` if its id is in use.
async fn submit(node: &Rc<Node>, event: Event, forward: Forward) -> Option<Answer> {
    let id = forward.id.clone();
    let (answered, ticket) = node.submit(event, forward)?;
    let _abandon_guard = AbandonGuard { node, id, ticket };
    Some(answered.await.unwrap_or(Answer::Failed))
}
