//! Serves one client connection, from when it is admitted until it ends.

use super::body_memory::BodyMemory;
use super::first_head::{self, FirstHead};
use super::reply::CLOSE;
use super::respond::respond;
use super::{phase_reached, Phase, ServingStatus};
use crate::downstream::{BusyGuard, DownstreamConnection, ObservedStream};
use crate::memory::{MemoryGrant, HTTP_BUFFER_BYTES};
use crate::node::Node;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use saffronpaddle_connection_eviction::Limits;
use saffronpaddle_memory_budget::Holder;
use saffronpaddle_netio::{timeout, Socket};
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::time::Instant;
use tracing::debug;

/// Maximum number of bytes buffered for one client. Keeps the sum over all clients far below the memory limit.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// How long a connection that has not sent a request may still send one after the node starts to close connections. The
/// request may already be in transit when the stop is requested.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Scheduler yields until bytes held by the kernel reach the reader of a request: one each for tokio's I/O driver and
/// the connection's task, and one as a margin.
const FINAL_READ_YIELDS: usize = 3;

/// Serves a client connection until it ends or is evicted. `_memory` is what the connection takes.
pub(super) async fn run(
    stream: Arc<TcpStream>,
    node: Rc<Node>,
    status: watch::Receiver<ServingStatus>,
    downstream: Arc<DownstreamConnection>,
    read_paused: Rc<Notify>,
    _memory: MemoryGrant,
) {
    let http = serve_http(stream, node, status, Arc::clone(&downstream));
    tokio::pin!(http);
    loop {
        let served = poll_fn(|context| {
            let polled = http.as_mut().poll(context);
            if polled.is_pending() && downstream.is_newly_read_paused() {
                read_paused.notify_one();
            }
            polled
        });
        tokio::select! {
            biased;
            () = served => return,
            () = downstream.evicted() => {}
        }
        let last_active_at = downstream.last_active_at();
        // The last byte of a request may arrive while its connection is being evicted, and the request would be lost
        // without a response. Bytes held by the kernel are read first; a connection that has a request is kept.
        for _ in 0..FINAL_READ_YIELDS {
            tokio::task::yield_now().await;
            // No timer here: each one takes at least a timer tick, which would limit the rate of new connections.
            if poll_fn(|context| Poll::Ready(http.as_mut().poll(context).is_ready())).await {
                return;
            }
        }
        let has_stopped = downstream.awaits_body() && downstream.last_active_at() == last_active_at;
        if !downstream.is_busy() || has_stopped {
            debug!(
                why = "sent_away",
                asked = downstream.has_requested(),
                "closing client connection"
            );
            return;
        }
        downstream.cancel_eviction();
    }
}

/// Serves requests on a connection until it ends, or closes it when the node closes idle connections.
async fn serve_http(
    stream: Arc<TcpStream>,
    node: Rc<Node>,
    status: watch::Receiver<ServingStatus>,
    downstream: Arc<DownstreamConnection>,
) {
    let _ = stream.set_nodelay(true);
    let looks_first = !node.memory.is_plentiful();
    if looks_first && !await_first_request(&stream, &node, &status, &downstream).await {
        return;
    }
    let _memory = node
        .memory
        .draw(Holder::ClientConnection, HTTP_BUFFER_BYTES);
    let service_status = status.clone();
    let service_downstream = Arc::clone(&downstream);
    let socket = if looks_first {
        Socket::with_peeked_bytes(stream)
    } else {
        Socket::new(stream)
    };
    let observed = ObservedStream::new(socket, Arc::clone(&downstream), node.memory.clone());
    let service = service_fn(move |request| {
        let (node, service_status, downstream) = (
            Rc::clone(&node),
            service_status.clone(),
            Arc::clone(&service_downstream),
        );
        // Boxed, as the connection would else hold the room for a request also while it has none.
        Box::pin(async move {
            let busy = BusyGuard::new(&downstream);
            let mut reply = respond(&node, request, &service_status, &downstream).await;
            reply.body_mut().set_busy_guard(busy);
            if service_status.borrow().phase > Phase::Serving {
                reply.headers_mut().insert(CONNECTION, CLOSE);
            }
            Ok::<_, Infallible>(reply)
        })
    });
    let mut http = http1::Builder::new();
    // The periodic sweep enforces the head timeout.
    http.header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES);
    http.auto_date_header(false);
    let connection = http
        .serve_connection(TokioIo::new(observed), service)
        .with_upgrades();
    tokio::pin!(connection);
    tokio::select! {
        biased;
        _ = &mut connection => return,
        () = phase_reached(status.clone(), Phase::CloseIdle) => {}
    }
    // Bytes held by the kernel are read before the connection counts as idle.
    if timeout(Duration::ZERO, &mut connection).await.is_ok() {
        return;
    }
    let wait = last_request_timeout(&downstream, &status.borrow());
    if !wait.is_zero() && timeout(wait, &mut connection).await.is_ok() {
        return;
    }
    debug!(
        why = "process_stops",
        asked = downstream.has_requested(),
        waited_ms = wait.as_millis() as u64,
        "closing client connection"
    );
    connection.as_mut().graceful_shutdown();
    // The error is ignored: the request's guard has already reported a disconnected client to the node.
    let _ = connection.await;
}

/// Waits for the first request of a connection, and for the memory of its body, while both are in the kernel. Returns false
/// if the connection ends without one.
async fn await_first_request(
    stream: &TcpStream,
    node: &Node,
    status: &watch::Receiver<ServingStatus>,
    downstream: &Arc<DownstreamConnection>,
) -> bool {
    let first_head = first_request(stream, status, downstream).await;
    let body_memory = BodyMemory {
        memory: &node.memory,
        client: downstream,
        timeout: Duration::MAX,
    };
    first_head != FirstHead::ConnectionEnded && body_memory.reserve(first_head).await
}

/// Waits for the first request of a connection. The connection ends without one if the node closes it.
async fn first_request(
    stream: &TcpStream,
    status: &watch::Receiver<ServingStatus>,
    downstream: &DownstreamConnection,
) -> FirstHead {
    let first_head = first_head::wait(stream, downstream);
    tokio::pin!(first_head);
    tokio::select! {
        biased;
        head = &mut first_head => return head,
        () = phase_reached(status.clone(), Phase::CloseIdle) => {}
    }
    // What the kernel holds is looked at before the connection counts as idle.
    if let Ok(head) = timeout(Duration::ZERO, &mut first_head).await {
        return head;
    }
    let wait = last_request_timeout(downstream, &status.borrow());
    timeout(wait, first_head).await.unwrap_or_else(|_| {
        debug!(
            why = "process_stops",
            asked = false,
            waited_ms = wait.as_millis() as u64,
            "closing client connection"
        );
        FirstHead::ConnectionEnded
    })
}

/// How long a connection may still send a request after the node starts to close idle connections. hyper considers a
/// kept-alive connection idle even if part of a head has arrived, and would close it while the client is still writing.
fn last_request_timeout(downstream: &DownstreamConnection, status: &ServingStatus) -> Duration {
    let wait = match downstream.state() {
        state if state.head_started_at.is_some() => Limits::USUAL.head_timeout,
        state if state.has_requested => Duration::ZERO,
        _ => FIRST_REQUEST_TIMEOUT,
    };
    // Not beyond the time at which the process stops answering requests.
    let time_left = status
        .answer_by
        .map(|end| end.saturating_duration_since(Instant::now()));
    time_left.map_or(wait, |time_left| wait.min(time_left))
}
