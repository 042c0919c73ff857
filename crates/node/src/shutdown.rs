//! What the log tells of a node that is stopping: when it ends, and which requests still have no answer.

use crate::clients::{Phase, ServingStatus};
use crate::node::Node;
use saffronpaddle_exchange::OpenRequest;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::info;

/// How often open requests are told while the node closes.
const LOG_INTERVAL: Duration = Duration::from_millis(500);
/// Requests that are told one by one at a time; the rest are only counted. Bounds the log.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Tells the log of requests without an answer while the node closes, until it is dropped.
pub async fn log_open_requests(node: Rc<Node>, mut status: watch::Receiver<ServingStatus>) {
    if status
        .wait_for(|status| status.phase >= Phase::Closing)
        .await
        .is_err()
    {
        return;
    }
    loop {
        log_open_requests_once("closing", &node);
        sleep(LOG_INTERVAL).await;
    }
}

/// Tells the log of each request without an answer.
pub fn log_open_requests_once(state: &str, node: &Node) {
    let open = node.open_requests();
    if open.is_empty() {
        return;
    }
    info!(
        state,
        open_requests = open.len(),
        "requests without an answer"
    );
    for request in open.iter().take(MAX_LOGGED_REQUESTS) {
        log_request(state, node, request);
    }
}

fn log_request(state: &str, node: &Node, request: &OpenRequest) {
    info!(
        state,
        request = &*request.id.0,
        class = request.class,
        attempts = request.attempts,
        waits_for = %request.waits_for,
        deadline_in_ms = request.deadline.saturating_sub(node.now()) / 1000,
        "request without an answer"
    );
}
