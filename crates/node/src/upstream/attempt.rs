//! One attempt of a request on a connection: it is written, and its response is read and checked.

use super::gate::GatedStream;
use crate::answer::Payload;
use crate::bodies::{
    joined, Gathered, UpstreamRequestBody, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES,
};
use crate::forward::{Forward, ForwardBody};
use crate::websocket::UpgradedConnection;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::SendRequest;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, HOST, SEC_WEBSOCKET_EXTENSIONS, SEC_WEBSOCKET_KEY,
    SEC_WEBSOCKET_PROTOCOL, SEC_WEBSOCKET_VERSION, TRANSFER_ENCODING, UPGRADE,
};
use hyper::{Request, Response, StatusCode, Version};
use saffronpaddle_policy::interface::{Outcome, ServerId};
use saffronpaddle_websocket::upgrade::{verify, Offer, VERSION};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The app server that an attempt goes to.
pub(super) struct Target {
    pub server: ServerId,
    pub address: SocketAddr,
}

/// What came of an attempt.
pub(super) enum AttemptOutcome {
    /// A whole response.
    Complete(Outcome, Option<Payload>),
    /// A response of which so much was received, and that is streamed.
    Streaming(VecDeque<Bytes>, Incoming),
    /// The server agreed to an upgrade.
    Upgraded(Box<UpgradedConnection>),
    /// No whole response, or none to this request.
    Lost,
}

/// How long a response of unknown length may take to show that it is short.
const SHORT_BODY_TIMEOUT: Duration = Duration::from_millis(100);

/// Writes the request and reads its response: whole if it is short, so that a client never gets a cut response where
/// another attempt can help.
pub(super) async fn run(
    sender: &mut SendRequest<UpstreamRequestBody>,
    forward: &Forward,
    left: Duration,
    target: Target,
) -> AttemptOutcome {
    let Some(answer) = exchange_heads(sender, forward, left, target.address).await else {
        return AttemptOutcome::Lost;
    };
    let (status, outcome) = (answer.status(), outcome(&answer));
    if let (StatusCode::SWITCHING_PROTOCOLS, Some(offer)) = (status, &forward.offer) {
        return upgrade(offer, target.server, answer)
            .await
            .map_or(AttemptOutcome::Lost, AttemptOutcome::Upgraded);
    }
    if !is_usable(&answer, forward) {
        return AttemptOutcome::Lost;
    }
    let may_stream = outcome == Outcome::Ok && forward.offer.is_none();
    let body = match read_short(answer.into_body()).await {
        Some(Ok(body)) => body,
        Some(Err((first, rest))) if may_stream => return AttemptOutcome::Streaming(first, rest),
        _ => return AttemptOutcome::Lost,
    };
    match (outcome, &forward.offer) {
        // Why a server rejects an upgrade is the client's to know.
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

/// Whether a response belongs to this request, and shows where it ends.
fn is_usable(answer: &Response<Incoming>, forward: &Forward) -> bool {
    let headers = answer.headers();
    // An informational status here would turn the connection into something else.
    if answer.status().is_informational() {
        return false;
    }
    // A server that repeats its last response would give one client another's: where it names the request, the name
    // must match.
    if headers
        .get("x-request-id")
        .is_some_and(|id| id.as_bytes() != forward.id.0.as_bytes())
    {
        return false;
    }
    // Of a response that ends with its connection, unannounced, nobody could tell whether it is whole.
    let framed = [CONTENT_LENGTH, TRANSFER_ENCODING]
        .iter()
        .any(|name| headers.contains_key(name));
    let closes = answer.version() == Version::HTTP_10
        || headers
            .get(CONNECTION)
            .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"));
    framed || closes
}

/// Reads a short body whole; of a long one, what was received when that was clear. `None` if it broke before.
async fn read_short(mut body: Incoming) -> Option<Gathered> {
    let (mut pieces, mut size) = (VecDeque::new(), 0);
    let known = body.size_hint().exact();
    if known.is_some_and(|known| known > MAX_BODY_BYTES) {
        return None;
    }
    if known.is_some_and(|known| known > MAX_BUFFERED_BODY_BYTES as u64) {
        return Some(Err((pieces, body)));
    }
    let until = Instant::now() + SHORT_BODY_TIMEOUT;
    loop {
        let frame = match known {
            Some(_) => body.frame().await,
            None => match timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => return Some(Err((pieces, body))),
            },
        };
        let Some(frame) = frame else { break };
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

/// Writes the request and reads the head of its response.
async fn exchange_heads(
    sender: &mut SendRequest<UpstreamRequestBody>,
    forward: &Forward,
    left: Duration,
    address: SocketAddr,
) -> Option<Response<Incoming>> {
    let left = left.as_millis();
    let mut request = Request::builder()
        .method(&forward.method)
        .uri(&forward.target)
        .header(HOST, address.to_string())
        .header("x-request-id", &*forward.id.0)
        .header("x-deadline", format!("{left}m"));
    if let Some(key) = &forward.key {
        request = request.header("idempotency-key", key);
    }
    if let Some(offer) = &forward.offer {
        request = request
            .header(CONNECTION, "upgrade")
            .header(UPGRADE, "websocket")
            .header(SEC_WEBSOCKET_VERSION, VERSION)
            .header(SEC_WEBSOCKET_KEY, &offer.key);
        let more = [
            (SEC_WEBSOCKET_PROTOCOL, &offer.protocols),
            (SEC_WEBSOCKET_EXTENSIONS, &offer.extensions),
        ];
        for (name, value) in more {
            request = value
                .iter()
                .fold(request, |request, value| request.header(&name, value));
        }
    }
    let body = match &forward.body {
        ForwardBody::Buffered(bytes) => UpstreamRequestBody::Buffered(Full::new(bytes.clone())),
        ForwardBody::Streamed(pipe) => UpstreamRequestBody::Streamed(Rc::clone(pipe)),
    };
    let request = request.body(body).ok()?;
    sender.ready().await.ok()?;
    sender.send_request(request).await.ok()
}

/// Takes the connection over, if the server has agreed to what was offered and to nothing else.
async fn upgrade(
    offer: &Offer,
    server: ServerId,
    answer: Response<Incoming>,
) -> Option<Box<UpgradedConnection>> {
    let switch = verify(offer, answer.headers()).ok()?;
    let stream = hyper::upgrade::on(answer).await.ok()?;
    let parts = stream.downcast::<GatedStream>().ok()?;
    let (stream, early) = (parts.io.into_stream()?, parts.read_buf);
    let upgraded = UpgradedConnection {
        key: offer.key.clone(),
        switch,
        server,
        stream,
        early,
    };
    Some(Box::new(upgraded))
}

fn outcome<B>(answer: &Response<B>) -> Outcome {
    let not_run = answer
        .headers()
        .get("x-not-run")
        .is_some_and(|value| value == "1");
    match answer.status() {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if not_run => {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}
