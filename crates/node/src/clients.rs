//! Serves clients: accepts their connections, reads their requests and writes the responses.

mod backlog;
mod body_memory;
mod connection;
mod connections;
mod first_head;
mod reply;
mod request;
mod respond;
mod upload;

use crate::event_loop::SWEEP_INTERVAL;
use crate::memory::CLIENT_CONNECTION_BYTES;
use crate::node::Node;
use backlog::{Accepted, Backlog, ACCEPT_RETRY};
use connections::Connections;
use saffronpaddle_lifecycle::{Acceptance, Reasons, SharedListener};
use saffronpaddle_memory_budget::Holder;
use saffronpaddle_netio::AcceptFailure;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{watch, Notify};
use tokio::time::{Instant, Interval, MissedTickBehavior};
use tracing::info;

/// Delay before the first check, and interval of further checks, for disconnected clients on connections that are not
/// read while a request is answered.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval of evictions while an accepted connection waits for capacity and no connection has ended.
const EVICTION_RETRY: Duration = Duration::from_millis(5);

/// The phase of this process between serving and shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Serves requests and keeps connections alive.
    Serving,
    /// No longer ready. Requests are served, and each response closes its connection.
    CloseAfterResponse,
    /// As `CloseAfterResponse`, and idle connections are closed. The process may return to `Serving`.
    CloseIdle,
    /// Idle connections are closed. New ones are accepted only from a listener that outlives the process, while an open
    /// connection keeps the process from exiting.
    StopAccepting,
}

/// How the node currently serves its clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServingStatus {
    /// The shutdown phase.
    pub phase: Phase,
    /// Whether connections are accepted from the listener.
    pub accepts: bool,
    /// Whether the node is ready for new requests.
    pub ready: bool,
    /// The reasons why the node is not ready.
    pub reasons: Reasons,
    /// Deadline for answering all open requests; `None` until a stop is requested.
    pub answer_by: Option<Instant>,
}

impl ServingStatus {
    /// The status before the first readiness sample.
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

/// Waits until the node has reached a phase, or the sender of the status is dropped.
async fn phase_reached(mut status: watch::Receiver<ServingStatus>, phase: Phase) {
    let _ = status.wait_for(|status| status.phase >= phase).await;
}

/// Schedules the checks of connections that are not read while a request is answered.
struct DisconnectCheck {
    /// Notified when reading pauses on a connection.
    read_paused: Rc<Notify>,
    /// Time of the next check; `None` while there is no such connection.
    next_at: Option<Instant>,
}

impl DisconnectCheck {
    /// Waits until the next check is due. Dropping the future keeps the scheduled time.
    async fn due(&mut self) {
        if self.next_at.is_none() {
            self.read_paused.notified().await;
            self.schedule_next(true);
        }
        if let Some(at) = self.next_at {
            tokio::time::sleep_until(at).await;
        }
    }

    /// Schedules the next check if connections remain on which reading is paused.
    fn schedule_next(&mut self, remaining: bool) {
        self.next_at = remaining.then(|| Instant::now() + DISCONNECT_CHECK_INTERVAL);
    }
}

/// Accepts at most `max_clients` connections at a time until the node closes, then serves the open connections until
/// they end. A `shared` listener outlives this process: connections in its backlog are left to the next process unless
/// this one has to wait for an open connection.
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
    if shared {
        acceptor.accept_while_exit_is_delayed().await;
    }
    acceptor.drain_connections(shared).await;
    if let Some(websockets) = &node.websockets {
        websockets.all_closed().await;
    }
}

/// Accepts client connections, and evicts some when there is no capacity for more.
struct Acceptor {
    node: Rc<Node>,
    max_clients: usize,
    status: watch::Receiver<ServingStatus>,
    connections: Connections,
    backlog: Backlog,
    sweep: Interval,
    disconnect_check: DisconnectCheck,
    /// An accepted connection that waits for capacity.
    waiting: Option<Accepted>,
    /// The process waits for its open connections.
    closing: bool,
    /// Accepting failed recently for lack of descriptors or another temporary reason.
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
        let disconnect_check = DisconnectCheck {
            read_paused: Rc::clone(&connections.read_paused),
            next_at: None,
        };
        Acceptor {
            node,
            max_clients,
            status,
            connections,
            backlog,
            sweep,
            disconnect_check,
            waiting: None,
            closing: false,
            descriptors_exhausted: false,
        }
    }

    /// Accepts clients until the node closes.
    async fn accept_until_closing(&mut self) {
        let closing = phase_reached(self.status.clone(), Phase::StopAccepting);
        tokio::pin!(closing);
        loop {
            tokio::select! {
                biased;
                () = &mut closing => return,
                () = self.serve_next(true) => {}
            }
        }
    }

    /// Accepts clients of a shared listener while the closing process waits for an open connection, until none is open
    /// or the rest is left to the next process.
    async fn accept_while_exit_is_delayed(&mut self) {
        self.closing = true;
        let closing_since = self.connections.started_at.elapsed();
        let mut reported = false;
        while let Some(oldest_since) = self.oldest_since(closing_since) {
            let Some(answer_by) = self.status.borrow().answer_by else {
                return;
            };
            let listener = SharedListener {
                closing_since,
                answer_by: answer_by.saturating_duration_since(self.connections.started_at),
            };
            let now = self.connections.started_at.elapsed();
            let (accepts, until) = match listener.acceptance(now, oldest_since) {
                Acceptance::AcceptUntil(until) => (true, until),
                Acceptance::PauseUntil(until) => (false, until),
                Acceptance::Stop => return,
            };
            let accepts = accepts && self.status.borrow().accepts;
            if accepts && !std::mem::replace(&mut reported, true) {
                info!(
                    open_connections = self.connections.tasks.len(),
                    "closing: accepting connections while open ones delay the exit"
                );
            }
            let until = self.connections.started_at + until;
            tokio::select! {
                () = tokio::time::sleep_until(until) => {}
                () = self.serve_next(accepts) => {}
            }
        }
    }

    /// Since when the process has been waiting for an open connection or WebSocket; `None` if none is open.
    fn oldest_since(&self, closing_since: Duration) -> Option<Duration> {
        let websockets = self.node.websockets.as_ref();
        let websockets_open = websockets.is_some_and(|websockets| websockets.any_open());
        let waiting = self.waiting.is_some();
        let oldest = self.connections.oldest_since();
        oldest.or((websockets_open || waiting).then_some(closing_since))
    }

    /// Waits for the next connection, if the process `accepts` any, or for another event of the connections, and handles
    /// it.
    async fn serve_next(&mut self, accepts: bool) {
        // Reaps ended tasks.
        while self.connections.tasks.try_join_next().is_some() {}
        self.admit_waiting();
        let full = self.waiting.is_some() || self.descriptors_exhausted;
        let accepts = accepts && self.status.borrow_and_update().accepts && !full;
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
            Ok(()) = self.status.changed() => {}
            _ = self.sweep.tick() => {
                self.connections.sweep();
                self.node.sweep_memory();
            }
            () = self.disconnect_check.due() => self.check_disconnects(),
            // A task that has ended, aborted or not, has closed its socket.
            Some(_) = self.connections.tasks.join_next(), if full || self.closing => {
                self.descriptors_exhausted = false;
            }
            () = tokio::time::sleep(retry), if full => self.descriptors_exhausted = false,
        }
    }

    /// Admits the waiting connection if there is capacity; otherwise evicts others.
    fn admit_waiting(&mut self) {
        let max_clients = self.node.links.share_of(self.max_clients);
        if self.waiting.is_none() {
            return;
        }
        let open = self.connections.tasks.len();
        if open >= max_clients {
            self.connections.evict(max_clients);
        } else if open > 0 && !self.has_memory() {
            self.connections.evict(open);
        } else if let Some(accepted) = self.waiting.take() {
            self.connections.admit(accepted, &self.node, &self.status);
        }
    }

    /// Whether there is memory for one more connection.
    fn has_memory(&self) -> bool {
        let memory = &self.node.memory;
        memory.has_room(Holder::ClientConnection, CLIENT_CONNECTION_BYTES)
    }

    fn on_accepted(&mut self, accepted: io::Result<Accepted>) {
        let error = match accepted {
            Ok(accepted) => {
                let now = self.connections.started_at.elapsed();
                self.connections.pressure.record_accepted(now);
                self.waiting = Some(accepted);
                return;
            }
            Err(error) => error,
        };
        match AcceptFailure::of(&error) {
            AcceptFailure::ConnectionFailed => {}
            // The connection stays queued in the kernel until a descriptor is free.
            AcceptFailure::OutOfDescriptors => {
                self.connections.evict(self.connections.tasks.len());
                self.descriptors_exhausted = true;
            }
            AcceptFailure::Transient => self.descriptors_exhausted = true,
        }
    }

    fn check_disconnects(&mut self) {
        let remaining = self.connections.check_disconnects();
        self.disconnect_check.schedule_next(remaining);
    }

    /// Serves the open connections until they end. Includes those in the backlog unless the listener is `shared`.
    async fn drain_connections(mut self, shared: bool) {
        if let Some(accepted) = self.waiting.take() {
            self.connections.admit(accepted, &self.node, &self.status);
        }
        if !shared {
            for accepted in self.backlog.accept_queued().await {
                self.connections.admit(accepted, &self.node, &self.status);
            }
        }
        // Closes the listener, so the kernel rejects further connections.
        let Acceptor {
            node,
            mut connections,
            backlog,
            mut sweep,
            mut disconnect_check,
            ..
        } = self;
        drop(backlog);
        loop {
            tokio::select! {
                ended = connections.tasks.join_next() => if ended.is_none() {
                    return;
                },
                _ = sweep.tick() => {
                    connections.sweep();
                    node.sweep_memory();
                }
                () = disconnect_check.due() => disconnect_check.schedule_next(connections.check_disconnects()),
            }
        }
    }
}

#[cfg(test)]
mod tests;
