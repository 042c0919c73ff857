//! The connections that the kernel holds until they are accepted.

use crate::event_loop;
use saffronpaddle_netio::{timeout, AcceptFailure};
use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop;
use tokio::time::Instant;

/// Pause after a connection could not be accepted, mostly for lack of descriptors. It ends earlier if a connection is
/// closed.
pub(super) const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Maximum number of pauses of [`ACCEPT_RETRY`] while the remaining backlog is accepted during shutdown.
const MAX_FINAL_RETRIES: u32 = 10;

/// An accepted connection.
pub(super) struct Accepted {
    pub stream: TcpStream,
    /// The connection reached the kernel after this time.
    pub arrived_after: Instant,
}

/// The connections that the kernel holds until they are accepted.
pub(super) struct Backlog {
    listener: TcpListener,
    /// Whatever is queued now reached the kernel after this time.
    queued_after: Instant,
    /// Whether the next connection may have been queued before the queue was last polled, so that `queued_after` must
    /// not advance.
    may_be_stale: bool,
}

impl Backlog {
    /// Creates the backlog of a listener. It has listened since the start of the process, and the first connections may
    /// have been queued then.
    pub(super) fn new(listener: TcpListener) -> Backlog {
        Backlog {
            listener,
            queued_after: event_loop::observed_since().unwrap_or_else(Instant::now),
            may_be_stale: true,
        }
    }

    /// Accepts the next connection. The kernel does not report when a connection arrived; that was before `accept`
    /// returned it and after the queue was last found empty. The latter time gives an upper bound of its wait. The
    /// bound is tight if every connection is accepted immediately. On a node without free capacity it may deduct more
    /// from a new request's time than the request has waited, so that the request may be rejected immediately. That
    /// frees capacity, so the queue is soon found empty again.
    pub(super) async fn accept(&mut self) -> io::Result<Accepted> {
        poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            let arrived_after = || event_loop::arrived_after().unwrap_or_else(Instant::now);
            match &accepted {
                // A task whose cooperative budget is used up gets `Pending` even if connections are queued.
                Poll::Pending if !coop::has_budget_remaining() => {}
                Poll::Pending => {
                    (self.queued_after, self.may_be_stale) =
                        (self.queued_after.max(arrived_after()), false);
                }
                Poll::Ready(_) if self.may_be_stale => {}
                Poll::Ready(_) => {
                    (self.queued_after, self.may_be_stale) =
                        (self.queued_after.max(arrived_after()), true);
                }
            }
            accepted.map_ok(|(stream, _)| Accepted {
                stream,
                arrived_after: self.queued_after,
            })
        })
        .await
    }

    /// Accepts all queued connections. The kernel has completed their handshakes and would reset them when the listener
    /// is closed. Temporary failures are retried.
    pub(super) async fn accept_queued(&self) -> Vec<Accepted> {
        let (mut queued, mut pauses) = (Vec::new(), 0);
        while let Ok(accepted) = timeout(Duration::ZERO, self.listener.accept()).await {
            match accepted {
                Ok((stream, _)) => queued.push(Accepted {
                    stream,
                    arrived_after: self.queued_after,
                }),
                Err(error) if AcceptFailure::of(&error) == AcceptFailure::ConnectionFailed => {}
                Err(_) if pauses >= MAX_FINAL_RETRIES => break,
                Err(_) => {
                    pauses += 1;
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
        queued
    }

    /// Records that the queue is not polled for some time.
    pub(super) fn pause(&mut self) {
        self.may_be_stale = true;
    }
}
