//! Serves one request: reads its body, submits it to the node, and makes the response.

use super::reply::{
    deadline_passed, duplicate_id, reject_and_close, reject_unread, reject_upgrade, reply,
    text_reply, unavailable, Reply,
};
use super::request::{read, Rejected, RequestHead, DELIVERY};
use super::ServingStatus;
use crate::answer::{Answer, Payload};
use crate::bodies::{
    joined, Gathered, StreamedRequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
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
use saffronpaddle_policy::interface::{Event, Idempotency, RequestId};
use saffronpaddle_websocket::upgrade::{self, Offer};
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long the buffered part of a body may take from its head on, before the time that its size allows. It ends bodies
/// that stop half-way.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Bytes of a buffered body that a client must send in a second at least: half of what a slow client does.
const MIN_BODY_BYTES_PER_SECOND: u32 = 32_000;
/// How long a streamed body may take while its client makes progress: the largest at the slowest rate. It takes nothing
/// from quotas meanwhile.
const STREAMED_BODY_TIMEOUT: Duration = Duration::from_mins(20);

/// Answers a request.
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
            Err((status, what)) => return reject_upgrade(status, what),
        },
        None => (request, None),
    };
    let upgrades = offer.as_ref().map(|_| hyper::upgrade::on(&mut request));
    let (head, body) = request.into_parts();
    let mut asked = match read(&node.platform, &head) {
        Ok(asked) => asked,
        Err(rejected) => return reject_unread(node, &head.headers, rejected),
    };
    if let (Some(offer), Some(upgrades)) = (offer, upgrades) {
        return socket(node, asked, head, offer, upgrades, downstream).await;
    }
    let size = body.size_hint().exact();
    match receive_body(node, &mut asked, body, downstream).await {
        Ok(body) => forward(node, asked, head, (body, size), downstream).await,
        Err(reply) => reply,
    }
}

/// Whether a request could hide another in its body: of a length and an encoding, hyper drops one unseen.
fn is_ambiguously_framed(request: &Request<Incoming>, downstream: &DownstreamConnection) -> bool {
    let coding = request.headers().get(TRANSFER_ENCODING);
    coding.is_some_and(|coding| {
        downstream.is_ambiguously_framed() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked")
    })
}

/// The answer to a readiness probe.
fn readiness(serving: &ServingStatus) -> Reply {
    let mut reply = Response::new(serving.reasons.to_string().into());
    *reply.status_mut() = if serving.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    reply
}

/// Reads a request's body as far as it is buffered. An error is the reply that the request is rejected with.
async fn receive_body(
    node: &Node,
    asked: &mut RequestHead,
    body: Incoming,
    downstream: &DownstreamConnection,
) -> Result<Gathered, Reply> {
    let reject = |status, reason| {
        node.record_rejection(asked.class, RequestEnd::Faulted);
        reject_and_close(status, reason)
    };
    if body.size_hint().lower() > MAX_BODY_BYTES {
        let status = StatusCode::PAYLOAD_TOO_LARGE;
        return Err(reject(status, "the body is too large\n"));
    }
    let Some(body) = gather(body).await else {
        let status = StatusCode::BAD_REQUEST;
        return Err(reject(status, "the body did not come whole\n"));
    };
    let is_empty = body.as_ref().is_ok_and(Bytes::is_empty);
    if asked.effect == Idempotency::Idempotent && !is_empty {
        let status = StatusCode::BAD_REQUEST;
        return Err(reject(status, "this class takes no body\n"));
    }
    // The time of one whose body is streamed has not begun.
    if body.is_ok() && !asked.deduct_wait(downstream.time_queued()) {
        return Err(deadline_passed(node, asked.class));
    }
    Ok(body)
}

/// Has a request served. `body`: what was read of its body, and the whole body's bytes if they are known.
async fn forward(
    node: &Rc<Node>,
    asked: RequestHead,
    head: hyper::http::request::Parts,
    body: (Gathered, Option<u64>),
    downstream: &Arc<DownstreamConnection>,
) -> Reply {
    let (class, timeout) = (asked.class, asked.timeout.saturating_sub(DELIVERY));
    let (body, streamed) = match body {
        (Ok(body), _) => (body, None),
        (Err((first, rest)), size) => (Bytes::new(), Some((first, rest, size))),
    };
    let (mut event, mut forward) = asked.arrived(head, body, downstream);
    let streamed = streamed.map(|(first, rest, size)| {
        let on_complete = node.report_body_complete(forward.id.clone(), timeout);
        let body = StreamedRequestBody::new(Box::new(on_complete), size, first, rest);
        Rc::new(body)
    });
    if let Some(body) = &streamed {
        stream_body(&mut event, &mut forward, Rc::clone(body));
    }
    let answer = ask(node, event, forward).await;
    if let Some(body) = &streamed {
        // A client that is still writing would lose its answer with the connection: the rest is read first.
        body.drain().await;
    }
    if let Some(answer) = answer {
        return reply(answer);
    }
    node.record_rejection(class, RequestEnd::Faulted);
    duplicate_id()
}

/// Has a request forwarded while its body still comes. Its client's time begins with the last byte.
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

/// Reads a body that is buffered; of one that is too large for that, what was read when that was clear. `None` if it
/// broke off, or was sent too slowly.
async fn gather(mut body: Incoming) -> Option<Gathered> {
    let (mut pieces, mut size) = (VecDeque::new(), 0);
    if body.size_hint().lower() > MAX_BUFFERED_BODY_BYTES as u64 {
        return Some(Err((pieces, body)));
    }
    if body.is_end_stream() {
        return Some(Ok(Bytes::new()));
    }
    let began = Instant::now();
    loop {
        let until = began
            + BODY_TIMEOUT
            + Duration::from_secs(1).mul_f64(size as f64 / f64::from(MIN_BODY_BYTES_PER_SECOND));
        let Some(frame) = tokio::time::timeout_at(until, body.frame()).await.ok()? else {
            break;
        };
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        size += data.len();
        pieces.push_back(data);
        if size > MAX_BUFFERED_BODY_BYTES {
            return Some(Err((pieces, body)));
        }
    }
    Some(Ok(joined(pieces)))
}

/// Opens a web socket: a request like any other, whose response is the socket.
async fn socket(
    node: &Rc<Node>,
    mut asked: RequestHead,
    head: hyper::http::request::Parts,
    offer: Offer,
    upgrades: OnUpgrade,
    downstream: &Arc<DownstreamConnection>,
) -> Reply {
    let Some(websockets) = node
        .websockets
        .as_ref()
        .filter(|websockets| websockets.class == asked.class)
    else {
        return reject_upgrade(
            StatusCode::BAD_REQUEST,
            "this class is not that of sockets\n",
        );
    };
    if !asked.deduct_wait(downstream.time_queued()) {
        return deadline_passed(node, asked.class);
    }
    let place = match websockets.admit(asked.customer, asked.terms.subset_size) {
        Ok(place) => place,
        Err(shut) => {
            let mut reply = unavailable(Some(Duration::from_micros(shut.retry_in)));
            *reply.body_mut() = shut.why.into();
            return reply;
        }
    };
    let (event, mut forward) = asked.arrived(head, Bytes::new(), downstream);
    forward.offer = Some(offer);
    let Some(answer) = ask(node, event, forward).await else {
        return duplicate_id();
    };
    let Answer::Served(Payload::Upgraded(switched)) = answer else {
        return reply(answer);
    };
    let mut answer = text_reply(StatusCode::SWITCHING_PROTOCOLS, "");
    let headers = answer.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("upgrade"));
    headers.insert(UPGRADE, HeaderValue::from_static("websocket"));
    headers.extend(switched.accepted());
    tokio::task::spawn_local(async move {
        // It fails where the client has gone before its response.
        let Ok(upgraded) = upgrades.await else { return };
        let Ok(parts) = upgraded.downcast::<TokioIo<ObservedStream>>() else {
            return;
        };
        if let Some(stream) = parts.io.into_inner().into_inner() {
            websocket::relay(place, stream, parts.read_buf, *switched).await;
        }
    });
    answer
}

/// Notifies the node when the client goes away: the future of its response is dropped then.
struct Waiting<'a> {
    node: &'a Rc<Node>,
    id: RequestId,
    ticket: Ticket,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.node.abandon(&self.id, self.ticket);
    }
}

/// Waits for a request's final answer; `None` if its id is in use.
async fn ask(node: &Rc<Node>, event: Event, forward: Forward) -> Option<Answer> {
    let id = forward.id.clone();
    let (answered, ticket) = node.submit(event, forward)?;
    let _waiting = Waiting { node, id, ticket };
    Some(answered.await.unwrap_or(Answer::Failed))
}
