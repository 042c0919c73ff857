//! Answers to clients.

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

/// Ends a connection with the answer.
pub(super) const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// An answer to a client.
pub(super) type Reply = Response<bodies::DownstreamBody>;

/// Turns an upgrade away, and says which version is spoken.
pub(super) fn reject_upgrade(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = reject_and_close(status, words);
    reply
        .headers_mut()
        .insert(SEC_WEBSOCKET_VERSION, upgrade::VERSION);
    reply
}

/// An answer to what can't be served, after which nothing that comes on the connection is believed.
pub(super) fn reject_and_close(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = text_reply(status, words);
    reply.headers_mut().insert(CONNECTION, CLOSE);
    reply
}

/// The same to what makes no request, which counts as one of its class if its head names one.
pub(super) fn reject_unread(node: &Node, headers: &HeaderMap, rejected: Rejected) -> Reply {
    let Rejected { status, reason } = rejected;
    debug!(
        request = text(headers, "x-request-id"),
        status = status.as_u16(),
        why = reason.trim_end(),
        "turned away"
    );
    if let Some(class) = class_of(&node.named, headers) {
        node.record_rejection(class, RequestEnd::Faulted);
    }
    reject_and_close(status, reason)
}

/// Two owners of one id would mix up their answers.
pub(super) fn duplicate_id() -> Reply {
    reject_and_close(StatusCode::BAD_REQUEST, "X-Request-Id: in use\n")
}

/// The answer that a request's end stands for.
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
        // Who asked for no socket gets none.
        Answer::Served(Payload::Upgraded(_)) | Answer::Failed => {
            text_reply(StatusCode::BAD_GATEWAY, "")
        }
    }
}

/// Its time was up before it was read: it is refused at once, and nothing of it is sent on.
pub(super) fn deadline_passed(node: &Node, class: ClassId) -> Reply {
    node.record_rejection(class, RequestEnd::Throttled);
    unavailable(None)
}

/// Trying again is harmless, and may help after so long.
pub(super) fn unavailable(retry_in: Option<Duration>) -> Reply {
    let mut reply = text_reply(StatusCode::SERVICE_UNAVAILABLE, "");
    let seconds = retry_in.map(|span| format!("{:.3}", span.as_secs_f64()));
    if let Some(value) = seconds.and_then(|seconds| HeaderValue::try_from(seconds).ok()) {
        reply.headers_mut().insert(RETRY_AFTER, value);
    }
    reply
}

/// A status and a line.
pub(super) fn text_reply(status: StatusCode, words: &'static str) -> Reply {
    let mut reply = Response::new(words.into());
    *reply.status_mut() = status;
    reply
}
