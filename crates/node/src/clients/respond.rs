//! Serves one request: submits it to the node and builds the response.

use super::body_memory::SMALL_BODY_BYTES;
use super::reply::{
    deadline_passed, duplicate_id, reject_for_memory, reject_unread, reject_upgrade, reply,
    text_reply, unavailable, Reply,
};
use super::request::{parse, Rejected, RequestHead};
use super::upload::Upload;
use super::ServingStatus;
use crate::answer::{Answer, Payload};
use crate::downstream::{DownstreamConnection, ObservedStream};
use crate::forward::Forward;
use crate::memory::REQUEST_BYTES;
use crate::node::Node;
use crate::websocket;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, TRANSFER_ENCODING, UPGRADE};
use hyper::upgrade::OnUpgrade;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_exchange::Ticket;
use saffronpaddle_memory_budget::Holder;
use saffronpaddle_policy::interface::{Event, RequestId};
use saffronpaddle_websocket::upgrade::{self, Offer};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;

/// How long a request waits for memory before it is rejected: the time in which many requests that came at once are
/// answered.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(400);

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
        let opening = open_websocket(node, request_head, head, offer, client_upgrade, downstream);
        return Box::pin(opening).await;
    }
    // A request with a large body waits for the memory of both.
    let has_large_body = body.size_hint().lower() > SMALL_BODY_BYTES as u64;
    let mut memory = None;
    if !has_large_body {
        memory = node
            .memory
            .draw_in_time(Holder::Request, REQUEST_BYTES, MAX_MEMORY_WAIT)
            .await;
        if memory.is_none() {
            node.record_rejection(request_head.class, RequestEnd::Throttled);
            return reject_for_memory();
        }
    }
    let mut reply = match Upload::receive(node, &mut request_head, body, downstream).await {
        // Boxed, as a request that is still received would else hold the room for its forwarding.
        Ok(upload) => Box::pin(upload.forward(node, request_head, head, downstream)).await,
        Err(reply) => reply,
    };
    if let Some(memory) = memory {
        reply.body_mut().set_request_memory(memory);
    }
    reply
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
pub(super) async fn submit(node: &Rc<Node>, event: Event, forward: Forward) -> Option<Answer> {
    let id = forward.id.clone();
    let (answered, ticket) = node.submit(event, forward)?;
    let _abandon_guard = AbandonGuard { node, id, ticket };
    Some(answered.await.unwrap_or(Answer::Failed))
}
