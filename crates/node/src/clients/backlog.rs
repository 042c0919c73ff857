//! The connections that the kernel holds until they are accepted.

use crate::event_loop;
use saffronpaddle_netio::AcceptFailure;
use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop;
use tokio::time::Instant;

/// Pause after a connection that could not be accepted, mostly for lack of descriptors; it ends earlier where one is
/// closed.
pub(super) const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// Pauses of that kind once the node accepts no more.
const MAX_FINAL_RETRIES: u32 = 10;

/// A connection that was accepted.
pub(super) struct Accepted {
    pub stream: TcpStream,
    /// A time before which the kernel did not have it.
    pub arrived_after: Instant,
}

/// The connections that the kernel holds until they are accepted.
pub(super) struct Backlog {
    listener: TcpListener,
    /// A time before which the kernel did not have what is queued now.
    clear: Instant,
    /// What is accepted now may have been queued before the queue was last polled.
    behind: bool,
}

impl Backlog {
    /// The queue of a listener.
    pub(super) fn new(listener: TcpListener) -> Backlog {
        Backlog {
            listener,
            clear: Instant::now(),
            behind: true,
        }
    }

    /// Accepts the next connection. The machine does not report when a connection arrived: it was before the connection
    /// is accepted, and after the queue was last found empty. The second time is an upper bound of its wait. The bound
    /// is close where every connection is accepted at once. In a node whose capacity is used up it may deduct more from
    /// a new request's time than that has waited, down to a rejection at once: that frees capacity, so that the queue
    /// is soon found empty.
    pub(super) async fn accept(&mut self) -> io::Result<Accepted> {
        poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            let since = || event_loop::arrived_after().unwrap_or_else(Instant::now);
            match &accepted {
                // A task that has used up its budget sees nothing, whatever is queued.
                Poll::Pending if !coop::has_budget_remaining() => {}
                Poll::Pending => (self.clear, self.behind) = (self.clear.max(since()), false),
                Poll::Ready(_) if self.behind => {}
                Poll::Ready(_) => (self.clear, self.behind) = (self.clear.max(since()), true),
            }
            accepted.map_ok(|(stream, _)| Accepted {
                stream,
                arrived_after: self.clear,
            })
        })
        .await
    }

    /// All that is queued. The machine has completed these connections and would reset them with the listener. A call
    /// that fails for a moment is made again.
    pub(super) async fn rest(&self) -> Vec<Accepted> {
        let (mut rest, mut pauses) = (Vec::new(), 0);
        while let Ok(accepted) = tokio::time::timeout(Duration::ZERO, self.listener.accept()).await
        {
            match accepted {
                Ok((stream, _)) => rest.push(Accepted {
                    stream,
                    arrived_after: self.clear,
                }),
                Err(error) if AcceptFailure::of(&error) == AcceptFailure::OfOneConnection => {}
                Err(_) if pauses >= MAX_FINAL_RETRIES => break,
                Err(_) => {
                    pauses += 1;
                    tokio::time::sleep(ACCEPT_RETRY).await;
                }
            }
        }
        rest
    }

    /// The queue is not polled from now on.
    pub(super) fn pause(&mut self) {
        self.behind = true;
    }
}
