//! The load of app servers that started cold, and which nodes were informed of the start.

use super::silent_links::INFORMED_AFTER;
use super::Bounds;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Share of the work sent to an overloaded server from which on, when nodes that were informed of its start sent more than
/// it, the overload breaks a rule.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// Share of its capacity that a server has at an age after a cold start.
pub(super) fn warm_share(bounds: &Bounds, age: Duration) -> f64 {
    let elapsed_share = age.as_secs_f64() / bounds.slow_start_duration.as_secs_f64().max(1e-9);
    (bounds.cold_start_share + (1.0 - bounds.cold_start_share) * elapsed_share).min(1.0)
}

/// An attempt that a cold server received.
#[derive(Debug)]
struct ReceivedWork {
    at: Duration,
    /// Seconds of work.
    work: f64,
    /// Whether its node was informed of the server's start.
    informed: bool,
}

/// A node that is not known to be informed of a start.
#[derive(Debug)]
struct UninformedNode {
    /// From when on it counts as informed all the same.
    informed_at: Duration,
    /// Whether the start is on its way to the node.
    written: bool,
}

/// A server process that started cold.
#[derive(Debug)]
pub(super) struct ColdServer {
    pub started_at: Duration,
    /// Seconds of work per second at full capacity.
    capacity: f64,
    /// Attempts within the window.
    received: VecDeque<ReceivedWork>,
    /// Start time under which the process is listed, in Unix ms, if nodes are informed of it one by one.
    listed_start: Option<u64>,
    uninformed: BTreeMap<usize, UninformedNode>,
    /// Highest load: work sent within the window, as a share of what overloads the server.
    pub max_load: f64,
    /// Most requests of average work in the window, as a share of the upper bound of a Poisson stream with the
    /// allowed mean.
    pub max_mean_load: f64,
    pub overloaded: bool,
    /// Whether nodes that were informed of the start have overloaded the server.
    breached: bool,
}

impl ColdServer {
    /// A process that starts now and of whose start all nodes are informed.
    pub fn new(started_at: Duration, capacity: f64) -> ColdServer {
        ColdServer {
            started_at,
            capacity,
            received: VecDeque::new(),
            listed_start: None,
            uninformed: BTreeMap::new(),
            max_load: 0.0,
            max_mean_load: 0.0,
            overloaded: false,
            breached: false,
        }
    }

    /// Records that the process is listed with this start time, of which none of the nodes is informed yet.
    pub fn listed(&mut self, listed_start: u64, nodes: usize) {
        self.listed_start = Some(listed_start);
        let uninformed = || UninformedNode {
            informed_at: self.started_at + INFORMED_AFTER,
            written: false,
        };
        self.uninformed = (0..nodes).map(|node| (node, uninformed())).collect();
    }

    /// Records that a list with this start time of the process was written to a node, which counts as informed from
    /// `informed_at` on.
    pub fn start_reported(&mut self, node: usize, listed_start: u64, informed_at: Duration) {
        let is_listed = self.listed_start == Some(listed_start);
        if let Some(uninformed) = self.uninformed.get_mut(&node).filter(|_| is_listed) {
            uninformed.informed_at = uninformed.informed_at.min(informed_at);
            uninformed.written = true;
        }
    }

    /// Records that what was written to a node arrives now.
    pub fn list_received(&mut self, now: Duration, node: usize) {
        let waiting = self.uninformed.get_mut(&node);
        if let Some(waiting) = waiting.filter(|waiting| waiting.written) {
            waiting.informed_at = waiting.informed_at.min(now);
        }
    }

    /// Whether a node counts as informed of the start.
    fn is_informed(&self, now: Duration, node: usize) -> bool {
        let uninformed = self.uninformed.get(&node);
        uninformed.is_none_or(|uninformed| uninformed.informed_at <= now)
    }

    /// Records an attempt of a node with this many seconds of work. Returns a description if nodes that were informed of
    /// the start overload the server by it for the first time.
    pub fn attempt_received(
        &mut self,
        bounds: &Bounds,
        now: Duration,
        node: usize,
        work: f64,
    ) -> Option<String> {
        let age = now.saturating_sub(self.started_at);
        if age >= bounds.slow_start_duration {
            return None;
        }
        let informed = self.is_informed(now, node);
        self.received.push_back(ReceivedWork {
            at: now,
            work,
            informed,
        });
        let is_old = |received: &ReceivedWork| received.at + bounds.overload_window < now;
        while self.received.front().is_some_and(is_old) {
            self.received.pop_front();
        }
        let load = self.measure(bounds, age);
        if load <= 1.0 {
            return None;
        }
        self.overloaded = true;
        let breaches = self.informed_share() > INFORMED_SHARE;
        (breaches && !std::mem::replace(&mut self.breached, true))
            .then(|| format!("{} ms old, at {load:.2} of its bound", age.as_millis()))
    }

    /// Returns the load of the window as a share of what overloads the server, and updates the highest values.
    fn measure(&mut self, bounds: &Bounds, age: Duration) -> f64 {
        let sent: f64 = self.received.iter().map(|received| received.work).sum();
        let possible_work =
            self.capacity * warm_share(bounds, age) * bounds.overload_window.as_secs_f64();
        // A single heavy request is chance, not overload.
        let load = if self.received.len() > 1 {
            sent / (possible_work * bounds.overload_multiple)
        } else {
            0.0
        };
        self.max_load = self.max_load.max(load);
        let allowed = possible_work * bounds.overload_multiple / bounds.mean_work;
        let mean_load = sent / bounds.mean_work / (allowed + 2.0 * allowed.sqrt() + 2.0);
        self.max_mean_load = self.max_mean_load.max(mean_load);
        load
    }

    /// Share of the work in the window that came from informed nodes.
    fn informed_share(&self) -> f64 {
        let work_of = |informed_only: bool| {
            let counted = self.received.iter();
            let counted = counted.filter(|received| received.informed || !informed_only);
            counted.map(|received| received.work).sum::<f64>()
        };
        work_of(true) / work_of(false)
    }
}
