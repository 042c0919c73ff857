//! Clients: their connections, what they ask and the answers that they get.

mod backlog;
mod connection;
mod connections;
pub mod late;
mod reply;
mod request;
mod respond;

use crate::node::Node;
use backlog::{Accepted, Backlog, ACCEPT_AGAIN};
use connections::Connections;
use saffronpaddle_lifecycle::Reasons;
use saffronpaddle_netio::AcceptFailure;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::{Instant, MissedTickBehavior};

/// How often connections are looked at for those whose time is up.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// How soon, and how often from then on, a connection is looked at whose client would not be seen to leave.
const UNWATCHED_EVERY: Duration = Duration::from_millis(25);
/// How often who may make way is looked for while one waits for a place and nobody has ended.
const ROOM_AGAIN: Duration = Duration::from_millis(5);

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
pub struct Standing {
    pub phase: Phase,
    /// Whether connections are taken from the listener.
    pub accepts: bool,
    /// Whether the five rules can be kept for new work, and if not, why.
    pub ready: bool,
    pub why: Reasons,
    /// The process was told to stop, and answers all that it has by then.
    pub answer_by: Option<Instant>,
}

impl Standing {
    /// How it stands before anything was seen.
    pub fn unready() -> Standing {
        Standing {
            phase: Phase::Serving,
            accepts: true,
            ready: false,
            why: Reasons::default(),
            answer_by: None,
        }
    }
}

/// Comes back when the edge node has come so far on its way out, or when nobody is left to say so.
async fn reached(mut standing: watch::Receiver<Standing>, phase: Phase) {
    let _ = standing.wait_for(|standing| standing.phase >= phase).await;
}

/// When unwatched connections are looked at next.
struct Soon {
    /// Told where there is one that was none before.
    unwatched: Rc<Notify>,
    /// None while there is none.
    at: Option<Instant>,
}

impl Soon {
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
        self.at = more.then(|| Instant::now() + UNWATCHED_EVERY);
    }
}

/// Accepts clients until the edge node closes, then serves out those that it has. At most `most` at a time. A listener
/// that is `shared` goes on in other hands: what waits in its backlog is theirs.
pub async fn serve(
    listener: TcpListener,
    shared: bool,
    node: Rc<Node>,
    most: usize,
    phase: watch::Receiver<Standing>,
) {
    let (mut connections, mut backlog) = (Connections::new(), Backlog::new(listener));
    let mut look = tokio::time::interval(LOOK_EVERY);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut soon = Soon {
        unwatched: Rc::clone(&connections.unwatched),
        at: None,
    };
    let mut standing = phase.clone();
    let closed = reached(phase.clone(), Phase::Closing);
    tokio::pin!(closed);
    // Accepted, and without a place as yet.
    let mut waits: Option<Accepted> = None;
    // The machine has no descriptor left for another.
    let mut lacks = false;
    loop {
        // Ended connections are let go of.
        while connections.tasks.try_join_next().is_some() {}
        let most = node.links.part(most);
        if waits.is_some() {
            if connections.tasks.len() >= most {
                connections.make_way(most);
            } else if let Some(came) = waits.take() {
                connections.admit(came, &node, &phase);
            }
        }
        let full = waits.is_some() || lacks;
        let accepts = standing.borrow_and_update().accepts && !full;
        if !accepts {
            backlog.left_alone();
        }
        tokio::select! {
            accepted = backlog.accept(), if accepts => match accepted {
                Ok(came) => {
                    connections.press.accepted(connections.began.elapsed());
                    waits = Some(came);
                }
                Err(error) => match AcceptFailure::of(&error) {
                    AcceptFailure::OfOneConnection => {}
                    // The connection waits until there is a descriptor for it.
                    AcceptFailure::NoDescriptor => {
                        connections.make_way(connections.tasks.len());
                        lacks = true;
                    }
                    AcceptFailure::Passing => lacks = true,
                },
            },
            () = &mut closed => break,
            Ok(()) = standing.changed() => {}
            _ = look.tick() => connections.look(),
            () = soon.due() => soon.again(connections.look_at_unwatched()),
            // One that ends, by itself or not, has closed its socket.
            Some(_) = connections.tasks.join_next(), if full => {
                lacks = false;
            }
            () = tokio::time::sleep(if lacks { ACCEPT_AGAIN } else { ROOM_AGAIN }), if full => {
                lacks = false;
            }
        }
    }
    node.leave();
    waits
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
            _ = look.tick() => connections.look(),
            () = soon.due() => soon.again(connections.look_at_unwatched()),
        }
    }
    if let Some(front) = &node.front {
        front.all_over().await;
    }
}

#[cfg(test)]
mod tests;
