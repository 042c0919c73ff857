//! Builds the responses to clients.

use super::request::{class_of, header_text, Rejected};
use crate::answer::{Answer, Payload};
use crate::bodies;
use crate::node::Node;
use hyper::header::{HeaderMap, HeaderValue, CONNECTION, RETRY_AFTER, SEC_WEBSOCKET_VERSION};
use hyper::{Response, StatusCode};
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_policy::interface::ClassId;
use saffronpaddle_websocket::upgrade;
use std::time::Duration;
use tracing::debug;

/// Value of `Connection` that closes the connection after the response.
pub(super) const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// When a client may retry a request for which there was no memory.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// A response to a client.
pub(super) type Reply = Response<bodies::DownstreamBody>;

/// Rejects an upgrade and names the supported WebSocket version.
pub(super) fn reject_upgrade(status: StatusCode, body_text: &'static str) -> Reply {
    let mut reply = reject_and_close(status, body_text);
    reply
        .headers_mut()
        .insert(SEC_WEBSOCKET_VERSION, upgrade::VERSION);
    reply
}

/// Rejects a request and closes its connection, because the bytes that follow cannot be interpreted reliably.
pub(super) fn reject_and_close(status: StatusCode, body_text: &'static str) -> Reply {
    let mut reply = text_reply(status, body_text);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

/// Rejects an invalid request and closes its connection. Counts the rejection if the head names a known class.
pub(super) fn reject_unread(node: &Node, headers: &HeaderMap, rejected: Rejected) -> Reply {
    let Rejected { status, reason } = rejected;
    debug!(
        request = header_text(headers, "x-request-id"),
        status = status.as_u16(),
        why = reason.trim_end(),
        "invalid request rejected"
    );
    if let Some(class) = class_of(&node.platform, headers) {
        node.record_rejection(class, RequestEnd::Faulted);
    }
    reject_and_close(status, reason)
}

/// Fails a request whose id is in use, because two requests with one id could get each other's responses, or has been: it
/// may have run, so it is not refused as one that may be tried again.
pub(super) fn duplicate_id() -> Reply {
    reject_and_close(StatusCode::BAD_REQUEST, "X-Request-Id: in use\n")
}

/// Converts the node's final answer into a response.
pub(super) fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served(Payload::Body(body)) => Response::new(body.into()),
        Answer::Served(Payload::Streaming(body)) => Response::new((*body).into()),
        Answer::Served(Payload::UpgradeRejected(status, body)) => {
            let mut reply: Reply = Response::new(body.into());
            *reply.status_mut() = status;
            reply
        }
        Answer::Rejected(retry_in) => unavailable(retry_in),
        // `Upgraded` is handled by the caller; here the request was no upgrade.
        Answer::Served(Payload::Upgraded(_)) | Answer::Failed => {
            text_reply(StatusCode::BAD_GATEWAY, "")
        }
    }
}

/// Rejects a request whose deadline passed before it was read. Nothing of it is forwarded.
pub(super) fn deadline_passed(node: &Node, class: ClassId) -> Reply {
    node.record_rejection(class, RequestEnd::Throttled);
    unavailable(None)
}

/// Rejects a request for which the process has no memory, and closes its connection, as the rest of it is not read. Nothing
/// of it is forwarded.
pub(super) fn reject_for_memory() -> Reply {
    let mut reply = unavailable(Some(MEMORY_RETRY_AFTER));
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

/// Rejects a request that was not executed, so a retry is safe. `retry_in` is sent as `Retry-After`.
pub(super) fn unavailable(retry_in: Option<Duration>) -> Reply {
    let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_in.map(|span| format!("{:.3}", span.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// Builds a response with a status and a line of text.
pub(super) fn text_reply(status: StatusCode, body_text: &'static str) -> Reply {
    let mut reply = Response::new(body_text.into());
    *reply.status_mut() = status;
    reply
}
