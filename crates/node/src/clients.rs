//! Clients: their connections, what they ask and the answers that they get.

mod backlog;
mod connection;
mod connections;
mod reply;
mod request;
mod respond;

use crate::event_loop::SWEEP_INTERVAL;
use crate::node::Node;
use backlog::{Accepted, Backlog, ACCEPT_RETRY};
use connections::Connections;
use saffronpaddle_lifecycle::Reasons;
use saffronpaddle_netio::AcceptFailure;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::{Instant, MissedTickBehavior};

/// How soon, and how often from then on, a connection is looked at whose client would not be seen to leave.
const UNWATCHED_SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// How often who may make way is looked for while one waits for a place and nobody has ended.
const EVICTION_RETRY: Duration = Duration::from_millis(5);

/// How far the edge node is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// Not ready any more; all that comes is served, and each answer closes its connection.
    Leaving,
    /// The same, and connections that are idle are closed. It may go back to serving.
    Emptying,
    /// No new connection is accepted, and idle ones are closed.
    Closing,
}

/// How the node stands towards clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingStatus {
    pub phase: Phase,
    /// Whether connections are taken from the listener.
    pub accepts: bool,
    /// Whether the five rules can be kept for new work, and if not, why.
    pub ready: bool,
    pub reasons: Reasons,
    /// The process was told to stop, and answers all that it has by then.
    pub answer_by: Option<Instant>,
}

impl ServingStatus {
    /// How it stands before anything was seen.
    pub fn unready() -> ServingStatus {
        ServingStatus {
            phase: Phase::Serving,
            accepts: true,
            ready: false,
            reasons: Reasons::default(),
            answer_by: None,
        }
    }
}

/// Comes back when the edge node has come so far on its way out, or when nobody is left to say so.
async fn reached(mut status: watch::Receiver<ServingStatus>, phase: Phase) {
    let _ = status.wait_for(|status| status.phase >= phase).await;
}

/// When unwatched connections are looked at next.
struct UnwatchedSweep {
    /// Told where there is one that was none before.
    unwatched: Rc<Notify>,
    /// None while there is none.
    at: Option<Instant>,
}

impl UnwatchedSweep {
    /// Comes back when they are to be looked at. What has been waited for is kept where this is dropped before.
    async fn due(&mut self) {
        if self.at.is_none() {
            self.unwatched.notified().await;
            self.again(true);
        }
        if let Some(at) = self.at {
            tokio::time::sleep_until(at).await;
        }
    }

    /// They have been looked at; whether there are more.
    fn again(&mut self, more: bool) {
        self.at = more.then(|| Instant::now() + UNWATCHED_SWEEP_INTERVAL);
    }
}

/// Accepts clients until the edge node closes, then serves out those that it has. At most `most` at a time. A listener
/// that is `shared` goes on in other hands: what waits in its backlog is theirs.
pub async fn serve(
    listener: TcpListener,
    shared: bool,
    node: Rc<Node>,
    most: usize,
    phase: watch::Receiver<ServingStatus>,
) {
    let (mut connections, mut backlog) = (Connections::new(), Backlog::new(listener));
    let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
    sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut unwatched_sweep = UnwatchedSweep {
        unwatched: Rc::clone(&connections.unwatched),
        at: None,
    };
    let mut status = phase.clone();
    let closed = reached(phase.clone(), Phase::Closing);
    tokio::pin!(closed);
    // Accepted, and without a place as yet.
    let mut waiting: Option<Accepted> = None;
    // The machine has no descriptor left for another.
    let mut descriptors_exhausted = false;
    loop {
        // Ended connections are let go of.
        while connections.tasks.try_join_next().is_some() {}
        let most = node.links.part(most);
        if waiting.is_some() {
            if connections.tasks.len() >= most {
                connections.evict(most);
            } else if let Some(came) = waiting.take() {
                connections.admit(came, &node, &phase);
            }
        }
        let full = waiting.is_some() || descriptors_exhausted;
        let accepts = status.borrow_and_update().accepts && !full;
        if !accepts {
            backlog.pause();
        }
        tokio::select! {
            accepted = backlog.accept(), if accepts => match accepted {
                Ok(came) => {
                    connections.pressure.accepted(connections.began.elapsed());
                    waiting = Some(came);
                }
                Err(error) => match AcceptFailure::of(&error) {
                    AcceptFailure::OfOneConnection => {}
                    // The connection waits until there is a descriptor for it.
                    AcceptFailure::NoDescriptor => {
                        connections.evict(connections.tasks.len());
                        descriptors_exhausted = true;
                    }
                    AcceptFailure::Passing => descriptors_exhausted = true,
                },
            },
            () = &mut closed => break,
            Ok(()) = status.changed() => {}
            _ = sweep.tick() => connections.sweep(),
            () = unwatched_sweep.due() => unwatched_sweep.again(connections.sweep_unwatched()),
            // One that ends, by itself or not, has closed its socket.
            Some(_) = connections.tasks.join_next(), if full => {
                descriptors_exhausted = false;
            }
            () = tokio::time::sleep(if descriptors_exhausted { ACCEPT_RETRY } else { EVICTION_RETRY }), if full => {
                descriptors_exhausted = false;
            }
        }
    }
    node.stop();
    waiting
        .into_iter()
        .for_each(|came| connections.admit(came, &node, &phase));
    if !shared {
        for came in backlog.rest().await {
            connections.admit(came, &node, &phase);
        }
    }
    drop(backlog);
    loop {
        tokio::select! {
            ended = connections.tasks.join_next() => if ended.is_none() {
                break;
            },
            _ = sweep.tick() => connections.sweep(),
            () = unwatched_sweep.due() => unwatched_sweep.again(connections.sweep_unwatched()),
        }
    }
    if let Some(websockets) = &node.websockets {
        websockets.all_closed().await;
    }
}

#[cfg(test)]
mod tests;
