//! Logs which requests are still unanswered while a node stops.

use crate::clients::{Phase, ServingStatus};
use crate::node::Node;
use saffronpaddle_exchange::OpenRequest;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::info;

/// Interval at which open requests are logged while the node closes.
const LOG_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of requests that are logged individually at a time; the others are only counted. It bounds the size
/// of the log.
const MAX_LOGGED_REQUESTS: usize = 16;

/// Waits until the node closes, then logs the unanswered requests at an interval until it is dropped.
pub async fn log_open_requests(node: Rc<Node>, mut status: watch::Receiver<ServingStatus>) {
    if status
        .wait_for(|status| status.phase >= Phase::StopAccepting)
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

/// Logs the number of unanswered requests and the first of them individually. `state` is the node's state in the log.
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
