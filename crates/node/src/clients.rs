//! Clients: their connections, their requests and the responses that they get.

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
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::{Instant, Interval, MissedTickBehavior};

/// How soon, and how often from then on, a connection is checked whose client would disconnect unnoticed.
const UNWATCHED_SWEEP_INTERVAL: Duration = Duration::from_millis(25);
/// How often connections are evicted while one waits for capacity and none has ended.
const EVICTION_RETRY: Duration = Duration::from_millis(5);

/// How far this process has got in shutting down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It serves.
    Serving,
    /// Not ready any more; every request is served, and each response closes its connection.
    Leaving,
    /// The same, and idle connections are closed. It may go back to serving.
    Emptying,
    /// No new connection is accepted, and idle ones are closed.
    Closing,
}

/// How the node serves its clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingStatus {
    /// How far it has got in leaving.
    pub phase: Phase,
    /// Whether connections are taken from the listener.
    pub accepts: bool,
    /// Whether new requests can be served as promised.
    pub ready: bool,
    /// Why they cannot.
    pub reasons: Reasons,
    /// The process was told to stop, and answers all that it has by then.
    pub answer_by: Option<Instant>,
}

impl ServingStatus {
    /// The status before anything was sampled.
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

/// Returns when the edge node has reached a phase, or when nobody is left to set it.
async fn phase_reached(mut status: watch::Receiver<ServingStatus>, phase: Phase) {
    let _ = status.wait_for(|status| status.phase >= phase).await;
}

/// When unwatched connections are checked next.
struct UnwatchedSweep {
    /// Notified when a connection becomes unwatched.
    unwatched: Rc<Notify>,
    /// `None` while there is none.
    at: Option<Instant>,
}

impl UnwatchedSweep {
    /// Returns when they are to be checked. The time is kept where this future is dropped before.
    async fn due(&mut self) {
        if self.at.is_none() {
            self.unwatched.notified().await;
            self.again(true);
        }
        if let Some(at) = self.at {
            tokio::time::sleep_until(at).await;
        }
    }

    /// They were checked; whether there are more.
    fn again(&mut self, more: bool) {
        self.at = more.then(|| Instant::now() + UNWATCHED_SWEEP_INTERVAL);
    }
}

/// Accepts clients until the edge node closes, then serves out those that it has. At most `max_clients` at a time. A
/// listener that is `shared` outlives this process: what waits in its backlog is for the next one.
pub async fn serve(
    listener: TcpListener,
    shared: bool,
    node: Rc<Node>,
    max_clients: usize,
    status: watch::Receiver<ServingStatus>,
) {
    let mut acceptor = Acceptor::new(listener, node, max_clients, status);
    acceptor.accept_until_closing().await;
    acceptor.node.stop();
    let node = Rc::clone(&acceptor.node);
    acceptor.serve_out(shared).await;
    if let Some(websockets) = &node.websockets {
        websockets.all_closed().await;
    }
}

/// Accepts clients, and evicts connections where there is no capacity for more.
struct Acceptor {
    node: Rc<Node>,
    max_clients: usize,
    status: watch::Receiver<ServingStatus>,
    connections: Connections,
    backlog: Backlog,
    sweep: Interval,
    unwatched_sweep: UnwatchedSweep,
    /// Accepted, and without capacity as yet.
    waiting: Option<Accepted>,
    /// The machine has no descriptor left for another.
    descriptors_exhausted: bool,
}

impl Acceptor {
    fn new(
        listener: TcpListener,
        node: Rc<Node>,
        max_clients: usize,
        status: watch::Receiver<ServingStatus>,
    ) -> Acceptor {
        let (connections, backlog) = (Connections::new(), Backlog::new(listener));
        let mut sweep = tokio::time::interval(SWEEP_INTERVAL);
        sweep.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let unwatched_sweep = UnwatchedSweep {
            unwatched: Rc::clone(&connections.unwatched),
            at: None,
        };
        Acceptor {
            node,
            max_clients,
            status,
            connections,
            backlog,
            sweep,
            unwatched_sweep,
            waiting: None,
            descriptors_exhausted: false,
        }
    }

    /// Accepts clients until the edge node closes.
    async fn accept_until_closing(&mut self) {
        let mut status = self.status.clone();
        let closing = phase_reached(self.status.clone(), Phase::Closing);
        tokio::pin!(closing);
        loop {
            // Removes tasks that have ended.
            while self.connections.tasks.try_join_next().is_some() {}
            self.admit_waiting();
            let full = self.waiting.is_some() || self.descriptors_exhausted;
            let accepts = status.borrow_and_update().accepts && !full;
            if !accepts {
                self.backlog.pause();
            }
            let retry = if self.descriptors_exhausted {
                ACCEPT_RETRY
            } else {
                EVICTION_RETRY
            };
            tokio::select! {
                accepted = self.backlog.accept(), if accepts => self.on_accepted(accepted),
                () = &mut closing => return,
                Ok(()) = status.changed() => {}
                _ = self.sweep.tick() => self.connections.sweep(),
                () = self.unwatched_sweep.due() => self.sweep_unwatched(),
                // One that ends, by itself or not, has closed its socket.
                Some(_) = self.connections.tasks.join_next(), if full => {
                    self.descriptors_exhausted = false;
                }
                () = tokio::time::sleep(retry), if full => self.descriptors_exhausted = false,
            }
        }
    }

    /// Admits the connection that waits if there is capacity, or evicts others for it.
    fn admit_waiting(&mut self) {
        let max_clients = self.node.links.part(self.max_clients);
        if self.waiting.is_none() {
            return;
        }
        if self.connections.tasks.len() >= max_clients {
            self.connections.evict(max_clients);
        } else if let Some(accepted) = self.waiting.take() {
            self.connections.admit(accepted, &self.node, &self.status);
        }
    }

    fn on_accepted(&mut self, accepted: io::Result<Accepted>) {
        let error = match accepted {
            Ok(accepted) => {
                let now = self.connections.started_at.elapsed();
                self.connections.pressure.accepted(now);
                self.waiting = Some(accepted);
                return;
            }
            Err(error) => error,
        };
        match AcceptFailure::of(&error) {
            AcceptFailure::OfOneConnection => {}
            // The connection stays queued until there is a descriptor for it.
            AcceptFailure::NoDescriptor => {
                self.connections.evict(self.connections.tasks.len());
                self.descriptors_exhausted = true;
            }
            AcceptFailure::Passing => self.descriptors_exhausted = true,
        }
    }

    fn sweep_unwatched(&mut self) {
        let more = self.connections.sweep_unwatched();
        self.unwatched_sweep.again(more);
    }

    /// Serves the connections that there are to their end, with those in the backlog unless that is `shared`.
    async fn serve_out(mut self, shared: bool) {
        if let Some(accepted) = self.waiting.take() {
            self.connections.admit(accepted, &self.node, &self.status);
        }
        if !shared {
            for accepted in self.backlog.rest().await {
                self.connections.admit(accepted, &self.node, &self.status);
            }
        }
        // From here on the kernel rejects connections.
        let Acceptor {
            mut connections,
            backlog,
            mut sweep,
            mut unwatched_sweep,
            ..
        } = self;
        drop(backlog);
        loop {
            tokio::select! {
                ended = connections.tasks.join_next() => if ended.is_none() {
                    return;
                },
                _ = sweep.tick() => connections.sweep(),
                () = unwatched_sweep.due() => unwatched_sweep.again(connections.sweep_unwatched()),
            }
        }
    }
}

#[cfg(test)]
mod tests;
