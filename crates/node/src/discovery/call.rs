//! Calls to the list service that open a watch.

use super::error::DiscoveryError;
use super::WATCH_TIMEOUT;
use crate::discovery_status::WatchStatus;
use crate::error::chain;
use bytes::Bytes;
use http_body_util::Empty;
use hyper::body::{Body, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HOST, RETRY_AFTER};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use saffronpaddle_endpoints::PollBackoff;
use saffronpaddle_netio::{timeout, timeout_at, Socket};
use std::future::{poll_fn, Future};
use std::net::SocketAddr;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::sync::{Arc, Weak as WeakArc};
use std::task::{Context as TaskContext, Poll};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{sleep, Instant};
use tracing::{debug, warn};

/// Drives the connection of a call until it ends. This is not a separate task: a task could read a change from the
/// socket before the follower processes it. The check before a request's first byte would then find the socket empty,
/// and the request could go to a server that is being drained.
struct Driver(Option<Pin<Box<dyn Future<Output = ()>>>>);

impl Driver {
    /// Polls the connection unless it has ended.
    fn drive(&mut self, context: &mut TaskContext<'_>) {
        // The result is ignored: an error shows in the watch's body.
        if self
            .0
            .as_mut()
            .is_some_and(|connection| connection.as_mut().poll(context).is_ready())
        {
            self.0 = None;
        }
    }
}

/// An open watch: the body of the answer, and the driver of its connection.
pub(super) struct Watch {
    driver: Driver,
    body: Incoming,
    /// The connection, which can be checked for unread bytes.
    pub(super) stream: WeakArc<TcpStream>,
}

impl Watch {
    /// Polls for the next frame. Returns `Pending` only after all bytes held by the kernel have been read.
    pub(super) fn poll_next(
        &mut self,
        context: &mut TaskContext<'_>,
    ) -> Poll<Option<hyper::Result<Frame<Bytes>>>> {
        // hyper continues to read only after the last frame was taken and the next one is polled for, so a single poll
        // could leave bytes in the kernel.
        for _ in 0..2 {
            self.driver.drive(context);
            let next = Pin::new(&mut self.body).poll_frame(context);
            if next.is_ready() {
                return next;
            }
        }
        Poll::Pending
    }
}

/// Why a call did not open a watch.
pub(super) enum WatchError {
    /// The service asked for a delay before the next call.
    RetryAfter(StatusCode, Duration),
    /// The call failed, or was answered without a `Retry-After` in whole seconds.
    Failed(DiscoveryError),
}

/// Makes one call. `answer_timeout` includes the time to connect.
pub(super) async fn call(
    status: Rc<WatchStatus>,
    address: SocketAddr,
    path: String,
    answer_timeout: Duration,
) -> Result<Watch, WatchError> {
    let opened = async {
        let deadline = Instant::now() + answer_timeout;
        let connect = TcpStream::connect(address);
        let stream = timeout(WATCH_TIMEOUT.min(answer_timeout), connect)
            .await
            .map_err(DiscoveryError::ConnectTimeout)??;
        let stream = Arc::new(stream);
        let weak_stream = Arc::downgrade(&stream);
        status.record_call(&stream);
        let (mut sender, connection) = http1::handshake(TokioIo::new(Socket::new(stream))).await?;
        let mut driver = Driver(Some(Box::pin(async move { _ = connection.await })));
        let request = Request::builder()
            .uri(path)
            .header(HOST, address.to_string());
        let mut answer = pin!(sender.send_request(request.body(Empty::<Bytes>::new())?));
        let answer = poll_fn(|context| {
            driver.drive(context);
            answer.as_mut().poll(context)
        });
        let answer = timeout_at(deadline, answer)
            .await
            .map_err(DiscoveryError::AnswerTimeout)??;
        Ok((driver, weak_stream, answer))
    };
    let (driver, stream, answer) = opened.await.map_err(WatchError::Failed)?;
    if answer.status() == StatusCode::OK {
        return Ok(Watch {
            driver,
            body: answer.into_body(),
            stream,
        });
    }
    let after = answer
        .headers()
        .get(RETRY_AFTER)
        .and_then(|after| after.to_str().ok()?.trim().parse().ok());
    let failed = || WatchError::Failed(DiscoveryError::Status(answer.status()));
    Err(after.map_or_else(failed, |after| {
        WatchError::RetryAfter(answer.status(), Duration::from_secs(after))
    }))
}

/// Repeats calls, without waiting for earlier ones, until one opens a watch. The other calls are then cancelled.
pub(super) async fn call_hedged(
    status: &Rc<WatchStatus>,
    address: SocketAddr,
    path: &str,
    answer_timeout: Duration,
    backoff: &mut PollBackoff,
    mut hedge_delay: Duration,
) -> Watch {
    let mut calls = JoinSet::new();
    let mut logged = false;
    loop {
        let started_at = Instant::now();
        debug!(%address, "discovery: calling the list service");
        calls.spawn_local(call(
            Rc::clone(status),
            address,
            path.to_owned(),
            answer_timeout,
        ));
        let next_call = sleep(hedge_delay);
        tokio::pin!(next_call);
        loop {
            let error = tokio::select! {
                () = &mut next_call => break,
                Some(ended) = calls.join_next() => match ended {
                    Ok(Ok(watch)) => return watch,
                    Ok(Err(WatchError::Failed(error))) => error,
                    Ok(Err(WatchError::RetryAfter(status, after))) => {
                        let pause = backoff.after_hedged_response(after, started_at.elapsed(), fastrand::f64());
                        debug!(%status, ?after, ?pause, "discovery: the service asked for a delay before the next call");
                        if let Some(pause) = pause {
                            next_call.as_mut().reset(Instant::now() + pause);
                        }
                        DiscoveryError::Status(status)
                    }
                    Err(_) => continue,
                },
            };
            debug!(
                error = chain(&error),
                "discovery: call to the list service failed"
            );
            if !std::mem::replace(&mut logged, true) {
                warn!("discovery: list service at {address}: {}", chain(&error));
            }
        }
        hedge_delay = backoff.hedge_delay(fastrand::f64()).unwrap_or(hedge_delay);
    }
}
