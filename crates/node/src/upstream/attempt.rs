//! One attempt of a request on a connection: writes the request, then reads and checks its response.

use super::gate::GatedStream;
use crate::answer::{Payload, ResponseBytes};
use crate::bodies::{UpstreamRequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::forward::Forward;
use crate::memory::Memory;
use crate::websocket::UpgradedConnection;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_KEY,
    SEC_WEBSOCKET_PROTOCOL, SEC_WEBSOCKET_VERSION, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use saffronpaddle_memory_budget::Holder;
use saffronpaddle_netio::timeout_at;
use saffronpaddle_policy::interface::{Outcome, ServerId};
use saffronpaddle_request_body::PieceQueue;
use saffronpaddle_websocket::upgrade::{verify, Offer, VERSION};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// The app server that an attempt is sent to.
pub(super) struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
}

/// How an attempt on a connection ended, with what was received of the response.
pub(super) enum AttemptOutcome {
    /// A complete response.
    Complete(Outcome, Option<Payload>),
    /// A response that is streamed.
    Streaming(StreamingResponse),
    /// The server accepted the upgrade.
    Upgraded(Box<UpgradedConnection>),
    /// No complete response, or a response to another request.
    Lost,
}

/// A response that is streamed.
pub(super) struct StreamingResponse {
    /// What was received so far.
    pub received: PieceQueue,
    pub rest: Incoming,
    /// The response is longer than what is buffered. Otherwise it may still turn out to be short.
    pub long: bool,
}

/// The body of a response after buffering.
enum ReadBody {
    /// The complete body.
    Complete(ResponseBytes),
    /// A body that is to be streamed.
    Streaming(StreamingResponse),
}

/// A response of at most this many bytes needs no memory but that of its request.
const SMALL_RESPONSE_BYTES: usize = 8 * 1024;
/// How long a response of unknown length is buffered before it is streamed.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(100);
/// How long before the deadline of its request such a response is streamed at the latest, so that its first bytes are in
/// time.
const FIRST_BYTES_MARGIN: Duration = Duration::from_millis(20);

/// Writes the request and reads its response. A short response is read completely, so that a client never gets a
/// truncated one where another attempt could succeed.
pub(super) async fn run(
    sender: &mut SendRequest<UpstreamRequestBody>,
    forward: &Forward,
    body: UpstreamRequestBody,
    time_left: Duration,
    target: Target,
    memory: &Memory,
) -> AttemptOutcome {
    let streamed_by = Instant::now() + time_left.saturating_sub(FIRST_BYTES_MARGIN);
    let sent = send_request(sender, forward, body, time_left, target.address).await;
    let Some(response) = sent else {
        return AttemptOutcome::Lost;
    };
    let (status, outcome) = (response.status(), outcome_of(&response));
    if let (StatusCode::SWITCHING_PROTOCOLS, Some(offer)) = (status, &forward.offer) {
        return upgrade(offer, target.server, response)
            .await
            .map_or(AttemptOutcome::Lost, AttemptOutcome::Upgraded);
    }
    if !is_usable(&response, forward) {
        return AttemptOutcome::Lost;
    }
    let may_stream = outcome == Outcome::Ok && forward.offer.is_none();
    let body = match read_buffered(response.into_body(), streamed_by, memory).await {
        Some(ReadBody::Complete(body)) => body,
        Some(ReadBody::Streaming(response)) if may_stream => {
            return AttemptOutcome::Streaming(response)
        }
        _ => return AttemptOutcome::Lost,
    };
    match (outcome, &forward.offer) {
        // The client gets the server's reason for rejecting an upgrade.
        (Outcome::Error, Some(_)) if status.is_client_error() => {
            AttemptOutcome::Complete(Outcome::Ok, Some(Payload::UpgradeRejected(status, body)))
        }
        (Outcome::Ok, Some(_)) => AttemptOutcome::Complete(Outcome::Error, None),
        _ => AttemptOutcome::Complete(
            outcome,
            (outcome == Outcome::Ok).then_some(Payload::Body(body)),
        ),
    }
}

/// Whether a response belongs to this request and has a recognizable end.
fn is_usable(response: &Response<Incoming>, forward: &Forward) -> bool {
    let headers = response.headers();
    // An unsolicited 1xx status such as 101 would change the protocol of the connection.
    if response.status().is_informational() {
        return false;
    }
    // A server that repeats its last response would give one client another client's data. If the response carries a
    // request id, the id must match.
    if headers
        .get("x-request-id")
        .is_some_and(|id| id.as_bytes() != forward.id.0.as_bytes())
    {
        return false;
    }
    // A response without a length, an encoding or an announced close cannot be distinguished from a truncated one.
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| headers.contains_key(name));
    let closes = response.version() == Version::HTTP_10
        || headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    framed || closes
}

/// Reads a short body completely. Of a long one, or one whose length is not known at `streamed_by`, returns what was
/// received until then. `None` if the body failed before that, or exceeds [`MAX_BODY_BYTES`].
async fn read_buffered(
    mut body: Incoming,
    streamed_by: Instant,
    memory: &Memory,
) -> Option<ReadBody> {
    let mut received = PieceQueue::default();
    let streaming = |received, rest, long| {
        Some(ReadBody::Streaming(StreamingResponse {
            received,
            rest,
            long,
        }))
    };
    let known_size = body.size_hint().exact();
    if known_size.is_some_and(|known_size| known_size > MAX_BODY_BYTES) {
        return None;
    }
    if known_size.is_some_and(|known_size| known_size > MAX_BUFFERED_BYTES as u64) {
        return streaming(received, body, true);
    }
    let mut grant = None;
    let deadline = streamed_by.min(Instant::now() + SHORT_BODY_TIMEOUT);
    loop {
        let frame = match known_size {
            Some(_) => body.frame().await,
            None => match timeout_at(deadline, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return streaming(received, body, false),
            },
        };
        let Some(frame) = frame else { break };
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        received.push(&data);
        if received.len() > MAX_BUFFERED_BYTES {
            return streaming(received, body, true);
        }
        if received.len() > SMALL_RESPONSE_BYTES && grant.is_none() {
            let bytes = known_size.unwrap_or(MAX_BUFFERED_BYTES as u64);
            grant = Some(memory.draw(Holder::Response, bytes));
        }
    }
    Some(ReadBody::Complete(ResponseBytes {
        bytes: received.into_bytes(),
        memory: grant,
    }))
}

/// Writes the request and reads the head of its response; `None` if either fails.
async fn send_request(
    sender: &mut SendRequest<UpstreamRequestBody>,
    forward: &Forward,
    body: UpstreamRequestBody,
    time_left: Duration,
    address: SocketAddr,
) -> Option<Response<Incoming>> {
    let time_left = time_left.as_millis();
    let mut request = Request::builder()
        .method(&forward.method)
        .uri(&forward.target)
        .header(HOST, address.to_string())
        .header("x-request-id", &*forward.id.0)
        .header("x-deadline", format!("{time_left}m"));
    if let Some(key) = &forward.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(offer) = &forward.offer {
        request = request
            .header(CONNECTION, "upgrade")
            .header(UPGRADE, "websocket")
            .header(SEC_WEBSOCKET_VERSION, VERSION)
            .header(SEC_WEBSOCKET_KEY, &offer.key);
        let optional_headers = [
            (SEC_WEBSOCKET_PROTOCOL, &offer.protocols),
            (SEC_WEBSOCKET_EXTENSIONS, &offer.extensions),
        ];
        for (name, value) in optional_headers {
            request = value
                .iter()
                .fold(request, |request, value| request.header(&name, value));
        }
    }
    let request = request.body(body).ok()?;
    sender.ready().await.ok()?;
    sender.send_request(request).await.ok()
}

/// Takes over the connection if the server accepted only what the client offered.
async fn upgrade(
    offer: &Offer,
    server: ServerId,
    response: Response<Incoming>,
) -> Option<Box<UpgradedConnection>> {
    let agreed = verify(offer, response.headers()).ok()?;
    let stream = hyper::upgrade::on(response).await.ok()?;
    let parts = stream.downcast::<TokioIo<GatedStream>>().ok()?;
    let (stream, buffered) = (parts.io.into_inner().into_stream()?, parts.read_buf);
    let upgraded = UpgradedConnection {
        key: offer.key.clone(),
        agreed,
        server,
        stream,
        buffered,
    };
    Some(Box::new(upgraded))
}

/// Classifies a response by its status. `X-Not-Run: 1` means that the server did not execute the request.
fn outcome_of<B>(response: &Response<B>) -> Outcome {
    let not_run = response
        .headers()
        .get("x-not-run")
        .is_some_and(|value| value == "1");
    match response.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}
