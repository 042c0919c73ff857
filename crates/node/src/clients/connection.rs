//! One client's connection, from when it is accepted until it ends.

use super::reply::CLOSE;
use super::respond::respond;
use super::{phase_reached, Phase, ServingStatus};
use crate::downstream::{BusyGuard, DownstreamConnection, ObservedStream};
use crate::node::Node;
use hyper::header::CONNECTION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use saffronpaddle_connection_eviction::Limits;
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

/// Most bytes buffered for one client, so that all together stay far below the memory limit.
const MAX_BUFFER_BYTES: usize = 32 * 1024;
/// How long a connection without a request so far may still make one once the edge node closes. A request may be on its
/// way when the node that the kernel gave the connection to is told to stop.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Scheduler yields in which bytes that the kernel holds reach a request's reader: one each for tokio's I/O driver and the
/// connection's task, and one more.
const FINAL_READ_YIELDS: usize = 3;

/// One client's connection, until it ends or is evicted.
pub(super) async fn run(
    stream: Arc<TcpStream>,
    node: Rc<Node>,
    status: watch::Receiver<ServingStatus>,
    downstream: Arc<DownstreamConnection>,
    unwatched: Rc<Notify>,
) {
    let http = serve_http(stream, node, status, Arc::clone(&downstream));
    tokio::pin!(http);
    loop {
        let watched = poll_fn(|context| {
            let polled = http.as_mut().poll(context);
            if polled.is_pending() && downstream.is_newly_unwatched() {
                unwatched.notify_one();
            }
            polled
        });
        tokio::select! {
            biased;
            () = watched => return,
            () = downstream.evicted() => {}
        }
        // The last byte of a request may arrive in the instant in which its connection is evicted, and the client would
        // lose it unanswered. What the kernel holds is read first; a connection that turns out to have a request
        // stays.
        for _ in 0..FINAL_READ_YIELDS {
            tokio::task::yield_now().await;
            // No timer: each would take a tick of its own, and new connections would be admitted no faster than that.
            if poll_fn(|context| Poll::Ready(http.as_mut().poll(context).is_ready())).await {
                return;
            }
        }
        if !downstream.is_busy() {
            debug!(
                why = "sent_away",
                asked = downstream.has_requested(),
                "a connection closes"
            );
            return;
        }
        downstream.cancel_eviction();
    }
}

/// Serves requests on a connection, until it ends by itself or the node empties.
async fn serve_http(
    stream: Arc<TcpStream>,
    node: Rc<Node>,
    status: watch::Receiver<ServingStatus>,
    downstream: Arc<DownstreamConnection>,
) {
    let _ = stream.set_nodelay(true);
    let seen = status.clone();
    let served = Arc::clone(&downstream);
    let watched = ObservedStream::new(stream, Arc::clone(&downstream));
    let service = service_fn(move |request| {
        let (node, seen, downstream) = (Rc::clone(&node), seen.clone(), Arc::clone(&served));
        async move {
            let busy = BusyGuard::new(&downstream);
            let mut reply = respond(&node, request, &seen, &downstream).await;
            reply.body_mut().keep(busy);
            if seen.borrow().phase > Phase::Serving {
                reply.headers_mut().insert(CONNECTION, CLOSE);
            }
            Ok::<_, Infallible>(reply)
        }
    });
    let mut http = http1::Builder::new();
    // The time for a head is checked by the sweep.
    http.header_read_timeout(None)
        .max_buf_size(MAX_BUFFER_BYTES);
    http.auto_date_header(false);
    let connection = http
        .serve_connection(TokioIo::new(watched), service)
        .with_upgrades();
    tokio::pin!(connection);
    tokio::select! {
        biased;
        _ = &mut connection => return,
        () = phase_reached(status.clone(), Phase::Emptying) => {}
    }
    // What the kernel holds is read before the connection counts as idle.
    tokio::task::yield_now().await;
    let wait = last_request_timeout(&downstream, &status.borrow());
    if tokio::time::timeout(wait, &mut connection).await.is_ok() {
        return;
    }
    debug!(
        why = "process_stops",
        asked = downstream.has_requested(),
        waited_ms = wait.as_millis() as u64,
        "a connection closes"
    );
    connection.as_mut().graceful_shutdown();
    // A client that disconnected was reported to the node by the request's guard.
    let _ = connection.await;
}

/// How long a connection may still make a request once the node empties. The library takes a kept connection for idle though
/// half of a head has come on it, and would close it under a client that is still writing.
fn last_request_timeout(downstream: &DownstreamConnection, status: &ServingStatus) -> Duration {
    let wait = match downstream.state() {
        state if state.head_started_at.is_some() => Limits::USUAL.head_timeout,
        state if state.has_requested => Duration::ZERO,
        _ => FIRST_REQUEST_TIMEOUT,
    };
    // No longer than the process takes requests at all.
    let left = status
        .answer_by
        .map(|end| end.saturating_duration_since(Instant::now()));
    left.map_or(wait, |left| wait.min(left))
}
