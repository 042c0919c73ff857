//! The connections of all clients: who is let in, who makes way, and whose client has gone.

use super::backlog::Accepted;
use super::connection::converse;
use super::Standing;
use crate::node::Node;
use crate::seats::Seat;
use saffronpaddle_connection_eviction::{EvictionPressure, Limits};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{watch, Notify};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;
use tracing::debug;

/// Ended connections that may wait to be forgotten together.
const ENDED_KEPT: usize = 32;

/// The connections of all clients.
pub(super) struct Connections {
    pub(super) began: Instant,
    pub(super) tasks: JoinSet<()>,
    pub(super) entries: Vec<Entry>,
    pub(super) press: EvictionPressure,
    /// A connection is unwatched from now on.
    pub(super) unwatched: Rc<Notify>,
}

/// One of them. Its socket is its task's; here it is only looked at.
pub(super) struct Entry {
    pub(super) seat: Arc<Seat>,
    task: AbortHandle,
}

impl Connections {
    /// None yet.
    pub(super) fn new() -> Connections {
        let (tasks, entries, press) = (JoinSet::new(), Vec::new(), EvictionPressure::default());
        Connections {
            began: Instant::now(),
            tasks,
            entries,
            press,
            unwatched: Rc::default(),
        }
    }

    /// Serves a connection from now on.
    pub(super) fn admit(
        &mut self,
        accepted: Accepted,
        node: &Rc<Node>,
        phase: &watch::Receiver<Standing>,
    ) {
        let Accepted { stream, came_after } = accepted;
        let stream = Arc::new(stream);
        let seat = Seat::new(self.began, came_after, &stream);
        let unwatched = Rc::clone(&self.unwatched);
        let talk = converse(
            stream,
            Rc::clone(node),
            phase.clone(),
            Arc::clone(&seat),
            unwatched,
        );
        let task = self.tasks.spawn_local(talk);
        self.entries.push(Entry { seat, task });
        // Guards memory: a handle keeps what its task has left behind.
        if self.entries.len() > self.tasks.len() + ENDED_KEPT {
            self.tidy();
        }
    }

    /// Forgets connections that have ended.
    fn tidy(&mut self) {
        self.entries.retain(|entry| !entry.task.is_finished());
    }

    /// Has connections go whose time is up, and closes those whose client has gone.
    pub(super) fn look(&mut self) {
        self.tidy();
        self.look_at_unwatched();
        let now = self.began.elapsed();
        for Entry { seat, .. } in &self.entries {
            if Limits::USUAL.over(now, &seat.seen()) {
                seat.send_away();
            }
        }
    }

    /// Closes connections whose client has gone unseen, and says whether others are still unwatched. Danger: the library stops
    /// reading where a client has sent more than its request, and does not see that it leaves: what waits would be sent on for
    /// nobody.
    pub(super) fn look_at_unwatched(&self) -> bool {
        let mut more = false;
        for Entry { seat, task } in &self.entries {
            if seat.unwatched() {
                if seat.has_left() {
                    debug!(why = "client_left", "a connection closes");
                    task.abort();
                } else {
                    more = true;
                }
            }
        }
        more
    }

    /// Has as many make way as are needed for one more, and some for those who come behind it. Guards against crowds that shut
    /// out others: where all places are taken, who has been silent longest goes. None of them is waited for.
    pub(super) fn make_way(&mut self, most: usize) {
        self.tidy();
        let now = self.began.elapsed();
        let going = self
            .entries
            .iter()
            .filter(|entry| entry.seat.is_going())
            .count();
        let way = self.press.evictions(now, most, self.tasks.len(), going);
        if way.required + way.allowed == 0 {
            return;
        }
        let seen: Vec<_> = self.entries.iter().map(|entry| entry.seat.seen()).collect();
        for place in Limits::USUAL.choose_evictions(now, &seen, way) {
            self.entries[place].seat.send_away();
        }
    }
}
