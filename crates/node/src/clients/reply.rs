//! Responses to clients.

use super::request::{class_of, text, Rejected};
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

/// Ends a connection with the response.
pub(super) const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// A response to a client.
pub(super) type Reply = Response<bodies::DownstreamBody>;

/// Rejects an upgrade, and names the version that is spoken.
pub(super) fn reject_upgrade(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = reject_and_close(status, words);
    reply
        .headers_mut()
        .insert(SEC_WEBSOCKET_VERSION, upgrade::VERSION);
    reply
}

/// A rejection after which the connection is closed: nothing that follows on it can be trusted.
pub(super) fn reject_and_close(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = text_reply(status, words);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

/// The same for what is no valid request, which counts as one of its class if its head names one.
pub(super) fn reject_unread(node: &Node, headers: &HeaderMap, rejected: Rejected) -> Reply {
    let Rejected { status, reason } = rejected;
    debug!(
        request = text(headers, "x-request-id"),
        status = status.as_u16(),
        why = reason.trim_end(),
        "turned away"
    );
    if let Some(class) = class_of(&node.platform, headers) {
        node.record_rejection(class, RequestEnd::Faulted);
    }
    reject_and_close(status, reason)
}

/// A rejection of an id that is in use: two owners of one id would mix up their responses.
pub(super) fn duplicate_id() -> Reply {
    reject_and_close(StatusCode::BAD_REQUEST, "X-Request-Id: in use\n")
}

/// The response that a final answer stands for.
pub(super) fn reply(answer: Answer) -> Reply {
    match answer {
        Answer::Served(Payload::Body(body)) => Response::new(body.into()),
        Answer::Served(Payload::Streaming(passing)) => Response::new((*passing).into()),
        Answer::Served(Payload::UpgradeRejected(status, body)) => {
            let mut reply = Response::new(body.into());
            *reply.status_mut() = status;
            reply
        }
        Answer::Rejected(retry_in) => unavailable(retry_in),
        // A request that was no upgrade gets no socket.
        Answer::Served(Payload::Upgraded(_)) | Answer::Failed => {
            text_reply(StatusCode::BAD_GATEWAY, "")
        }
    }
}

/// The deadline passed before the request was read: it is rejected at once, and nothing of it is forwarded.
pub(super) fn deadline_passed(node: &Node, class: ClassId) -> Reply {
    node.record_rejection(class, RequestEnd::Throttled);
    unavailable(None)
}

/// A rejection after which a retry is harmless, and may help after so long.
pub(super) fn unavailable(retry_in: Option<Duration>) -> Reply {
    let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_in.map(|span| format!("{:.3}", span.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// A status and a line of text.
pub(super) fn text_reply(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = Response::new(words.into());
    *reply.status_mut() = status;
    reply
}
