//! The connections that the machine holds until they are accepted.

use crate::event_loop;
use saffronpaddle_netio::AcceptFailure;
use std::future::poll_fn;
use std::io;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::coop;
use tokio::time::Instant;

/// Pause after a connection that could not be accepted, for lack of descriptors mostly; shorter where one is closed.
pub(super) const ACCEPT_RETRY: Duration = Duration::from_millis(20);
/// How often that is waited for once the node takes no more.
const MAX_FINAL_RETRIES: u32 = 10;

/// A connection that was accepted.
pub(super) struct Accepted {
    pub stream: TcpStream,
    /// It came to the machine after this.
    pub arrived_after: Instant,
}

/// The connections that the machine holds until they are accepted.
pub(super) struct Backlog {
    listener: TcpListener,
    /// What waits in it came after this.
    clear: Instant,
    /// What is accepted now may have been there before the last look.
    behind: bool,
}

impl Backlog {
    /// What waits at a listener.
    pub(super) fn new(listener: TcpListener) -> Backlog {
        Backlog {
            listener,
            clear: Instant::now(),
            behind: true,
        }
    }

    /// Accepts the next. The machine does not say when a connection came: no later than it is accepted, and after the backlog was
    /// last found empty. That is an upper bound of its wait. It is small where all is let in at once that comes; in a node whose
    /// places are all taken by requests that are answered it may take more off a newcomer's time than it has waited, down to a
    /// refusal at once: that makes room, so that the backlog is found empty soon.
    pub(super) async fn accept(&mut self) -> io::Result<Accepted> {
        poll_fn(|context| {
            let accepted = self.listener.poll_accept(context);
            let since = || event_loop::arrived_after().unwrap_or_else(Instant::now);
            match &accepted {
                // A task that has had its share of the loop is told of nothing, whatever there is.
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

    /// All that wait in it. What the machine has accepted counts as taken, and would be reset with the listener; a call that
    /// fails for a moment is made again.
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

    /// Nobody waits for what comes.
    pub(super) fn pause(&mut self) {
        self.behind = true;
    }
}
