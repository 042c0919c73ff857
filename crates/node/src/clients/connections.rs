//! The connections of all clients: which are admitted and evicted, and whose client has gone.

use super::backlog::Accepted;
use super::connection;
use super::ServingStatus;
use crate::downstream::DownstreamConnection;
use crate::node::Node;
use saffronpaddle_connection_eviction::{EvictionPressure, Limits};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use tracing::debug;

/// Ended connections whose entries may be kept until they are removed together.
const MAX_ENDED_ENTRIES: usize = 32;

/// The connections of all clients.
pub(super) struct Connections {
    pub(super) started_at: Instant,
    pub(super) tasks: JoinSet<()>,
    pub(super) entries: Vec<Entry>,
    pub(super) pressure: EvictionPressure,
    /// Notified when a connection becomes unwatched.
    pub(super) unwatched: Rc<Notify>,
}

/// One of them. Its socket belongs to its task; here it is only inspected.
pub(super) struct Entry {
    pub(super) downstream: Arc<DownstreamConnection>,
    task: AbortHandle,
}

impl Connections {
    /// No connections yet.
    pub(super) fn new() -> Connections {
        let (tasks, entries, pressure) = (JoinSet::new(), Vec::new(), EvictionPressure::default());
        Connections {
            started_at: Instant::now(),
            tasks,
            entries,
            pressure,
            unwatched: Rc::default(),
        }
    }

    /// Serves a connection from now on.
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
        let unwatched = Rc::clone(&self.unwatched);
        let connection = connection::run(
            stream,
            Rc::clone(node),
            status.clone(),
            Arc::clone(&downstream),
            unwatched,
        );
        let task = self.tasks.spawn_local(connection);
        self.entries.push(Entry { downstream, task });
        // A handle keeps the memory of its ended task: entries are removed before they are many.
        if self.entries.len() > self.tasks.len() + MAX_ENDED_ENTRIES {
            self.tidy();
        }
    }

    /// Removes the entries of connections that have ended.
    fn tidy(&mut self) {
        self.entries.retain(|entry| !entry.task.is_finished());
    }

    /// Evicts connections whose time is up, and closes those whose client has gone.
    pub(super) fn sweep(&mut self) {
        self.tidy();
        self.sweep_unwatched();
        let now = self.started_at.elapsed();
        for Entry { downstream, .. } in &self.entries {
            if Limits::USUAL.over(now, &downstream.state()) {
                downstream.evict();
            }
        }
    }

    /// Closes connections whose client has gone unnoticed; whether others are still unwatched. The library stops
    /// reading where a client has sent more than its request, and does not see that the client disconnects: a queued
    /// request would be forwarded for nobody.
    pub(super) fn sweep_unwatched(&self) -> bool {
        let mut more = false;
        for Entry { downstream, task } in &self.entries {
            if downstream.unwatched() {
                if downstream.client_is_gone() {
                    debug!(why = "client_left", "a connection closes");
                    task.abort();
                } else {
                    more = true;
                }
            }
        }
        more
    }

    /// Evicts as many connections as are needed for one more, and some for those behind it: without this, many silent
    /// connections would shut out all others. Where the capacity is used up those go that have been silent longest.
    /// None of them is waited for.
    pub(super) fn evict(&mut self, max_clients: usize) {
        self.tidy();
        let now = self.started_at.elapsed();
        let evicting = self
            .entries
            .iter()
            .filter(|entry| entry.downstream.is_evicted())
            .count();
        let evictions = self
            .pressure
            .evictions(now, max_clients, self.tasks.len(), evicting);
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
