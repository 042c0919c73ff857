//! The connections of all clients: admission, eviction and checks for disconnected clients.

use super::backlog::Accepted;
use super::connection;
use super::ServingStatus;
use crate::downstream::DownstreamConnection;
use crate::memory::CLIENT_CONNECTION_BYTES;
use crate::node::Node;
use saffronpaddle_connection_eviction::{EvictionPressure, Limits};
use saffronpaddle_memory_budget::Holder;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use tracing::debug;

/// Maximum number of entries of ended connections that are kept before they are removed in one pass.
const MAX_ENDED_ENTRIES: usize = 32;

/// The connections of all clients.
pub(super) struct Connections {
    pub(super) started_at: Instant,
    pub(super) tasks: JoinSet<()>,
    pub(super) entries: Vec<Entry>,
    pub(super) pressure: EvictionPressure,
    /// Notified when reading pauses on a connection while its request is answered.
    pub(super) read_paused: Rc<Notify>,
}

/// A connection. Its task owns the socket; the entry only inspects it.
pub(super) struct Entry {
    pub(super) downstream: Arc<DownstreamConnection>,
    task: AbortHandle,
}

impl Connections {
    /// Creates an empty set.
    pub(super) fn new() -> Connections {
        let (tasks, entries, pressure) = (JoinSet::new(), Vec::new(), EvictionPressure::default());
        Connections {
            started_at: Instant::now(),
            tasks,
            entries,
            pressure,
            read_paused: Rc::default(),
        }
    }

    /// Starts to serve an accepted connection.
    pub(super) fn admit(
        &mut self,
        accepted: Accepted,
        node: &Rc<Node>,
        status: &watch::Receiver<ServingStatus>,
    ) {
        let Accepted {
            stream,
            arrived_after,
        } = accepted;
        let stream = Arc::new(stream);
        let downstream = DownstreamConnection::new(self.started_at, arrived_after, &stream);
        let read_paused = Rc::clone(&self.read_paused);
        let memory_grant = node
            .memory
            .draw(Holder::ClientConnection, CLIENT_CONNECTION_BYTES);
        let connection = connection::run(
            stream,
            Rc::clone(node),
            status.clone(),
            Arc::clone(&downstream),
            read_paused,
            memory_grant,
        );
        let task = self.tasks.spawn_local(connection);
        self.entries.push(Entry { downstream, task });
        // An abort handle keeps the memory of its ended task, so the number of such entries is bounded.
        if self.entries.len() > self.tasks.len() + MAX_ENDED_ENTRIES {
            self.remove_ended();
        }
    }

    /// When the oldest open connection was accepted, since the start; `None` if no connection is open.
    pub(super) fn oldest_since(&self) -> Option<Duration> {
        let open = |entry: &&Entry| !entry.task.is_finished();
        let oldest = self.entries.iter().find(open);
        oldest.map(|entry| entry.downstream.state().accepted_at)
    }

    /// Removes the entries of connections that have ended.
    fn remove_ended(&mut self) {
        self.entries.retain(|entry| !entry.task.is_finished());
    }

    /// Evicts connections that have exceeded a time limit, and closes those whose client has disconnected.
    pub(super) fn sweep(&mut self) {
        self.remove_ended();
        self.check_disconnects();
        let now = self.started_at.elapsed();
        for Entry { downstream, .. } in &self.entries {
            if Limits::USUAL.has_timed_out(now, &downstream.state()) {
                downstream.evict();
            }
        }
    }

    /// Closes connections that are not read and whose client has disconnected. Returns whether others remain on which
    /// reading is paused. hyper stops reading when a client has sent bytes beyond its request, and then does not see
    /// the client disconnect: a queued request would be forwarded though no client waits for it.
    pub(super) fn check_disconnects(&self) -> bool {
        let mut remaining = false;
        for Entry { downstream, task } in &self.entries {
            if downstream.is_read_paused() {
                if downstream.client_is_gone() {
                    debug!(why = "client_left", "closing client connection");
                    task.abort();
                } else {
                    remaining = true;
                }
            }
        }
        remaining
    }

    /// Evicts as many connections as are needed to admit one, and some for those queued after it. Without this, many
    /// silent connections could block all others. Prefers the connections that have been silent longest. Returns
    /// without waiting for the evicted connections to end.
    pub(super) fn evict(&mut self, max_clients: usize) {
        self.remove_ended();
        let now = self.started_at.elapsed();
        let already_evicting = self
            .entries
            .iter()
            .filter(|entry| entry.downstream.is_evicted())
            .count();
        let evictions =
            self.pressure
                .evictions(now, max_clients, self.tasks.len(), already_evicting);
        if evictions.required + evictions.allowed == 0 {
            return;
        }
        let states: Vec<_> = self
            .entries
            .iter()
            .map(|entry| entry.downstream.state())
            .collect();
        for index in Limits::USUAL.choose_evictions(now, &states, evictions) {
            self.entries[index].downstream.evict();
        }
    }
}
