//! Aggregates over servers that are updated with each change, so that no policy has to iterate over all servers.

use crate::interface::{ClassId, Micros, ServerId};
use crate::server::{OutlierStatistics, Server};
use saffronpaddle_subsetting::Median;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// Fixed-point steps of a share of 1. Sums are kept as integers, so that rounding errors do not accumulate.
const SHARE_STEPS: f64 = (1_u64 << 44) as f64;

/// A count of examined servers. It is atomic because the model checker reads engines from several threads.
#[derive(Debug, Default)]
struct ExaminationCount(AtomicU64);

impl ExaminationCount {
    fn add(&self, servers: u64) {
        self.0.store(self.get() + servers, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl Clone for ExaminationCount {
    fn clone(&self) -> ExaminationCount {
        ExaminationCount(AtomicU64::new(self.get()))
    }
}

/// Counts, sums and indexes over the servers of a table.
#[derive(Clone, Debug)]
pub(super) struct Aggregates {
    /// Number of request classes.
    pub classes: usize,
    /// Number of listed servers.
    pub listed: usize,
    /// Number of listed servers that are not ready or are ejected for some class.
    pub avoided: usize,
    /// Number of ready servers.
    pub ready: usize,
    /// Number of ready servers in the subset.
    pub ready_members: usize,
    /// By class: the number of ready members that are ejected.
    pub ejected: Vec<usize>,
    /// By class: the sum of the fault rates of the ready members, in steps.
    fault_rates: Vec<u64>,
    /// Waits of the ready members; empty unless `waits_ordered`.
    pub ordered_waits: Median,
    /// Whether waits are kept in order, as there are too many members to iterate over in a controller period.
    pub waits_ordered: bool,
    /// Members that started recently.
    pub recently_started: BTreeSet<ServerId>,
    /// Members with evidence that may not have expired.
    pub with_evidence: BTreeSet<ServerId>,
    /// Servers that were removed from the list and are still in the table.
    pub removed: BTreeSet<ServerId>,
    /// Number of servers examined, by which tests detect an iteration over all servers.
    examined: ExaminationCount,
}

impl Aggregates {
    /// Creates the aggregates of an empty table.
    pub fn new(classes: usize) -> Aggregates {
        Aggregates {
            classes,
            listed: 0,
            avoided: 0,
            ready: 0,
            ready_members: 0,
            ejected: vec![0; classes],
            fault_rates: vec![0; classes],
            ordered_waits: Median::default(),
            waits_ordered: false,
            recently_started: BTreeSet::new(),
            with_evidence: BTreeSet::new(),
            removed: BTreeSet::new(),
            examined: ExaminationCount::default(),
        }
    }

    /// Adds to the number of examined servers.
    pub fn count_examined(&self, servers: usize) {
        self.examined.add(servers as u64);
    }

    /// Number of servers examined since the table was created, counted with repetition.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// The mean fault rate of the ready members for a class.
    pub fn mean_fault_rate(&self, class: ClassId) -> f64 {
        self.fault_rates[class.0] as f64 / SHARE_STEPS / self.ready_members.max(1) as f64
    }

    /// Adds a server to the counts and sums.
    pub fn add(&mut self, server: &Server) {
        self.count_examined(1);
        if server.is_listed() {
            self.listed += 1;
            self.avoided += usize::from(is_avoided(server));
        } else {
            self.removed.insert(server.endpoint.server);
        }
        if !server.is_ready() {
            return;
        }
        self.ready += 1;
        if !server.in_subset {
            return;
        }
        self.ready_members += 1;
        for (class, statistics) in server.statistics.iter().enumerate() {
            self.ejected[class] += usize::from(statistics.is_ejected());
            self.fault_rates[class] += share_steps(statistics.fault_rate);
        }
    }

    /// Removes a server from the counts and sums. It must be unchanged since it was added.
    pub fn remove(&mut self, server: &Server) {
        if server.is_listed() {
            self.listed -= 1;
            self.avoided -= usize::from(is_avoided(server));
        } else {
            self.removed.remove(&server.endpoint.server);
        }
        if !server.is_ready() {
            return;
        }
        self.ready -= 1;
        if !server.in_subset {
            return;
        }
        self.ready_members -= 1;
        for (class, statistics) in server.statistics.iter().enumerate() {
            self.ejected[class] -= usize::from(statistics.is_ejected());
            self.fault_rates[class] -= share_steps(statistics.fault_rate);
        }
    }

    /// Changes a server and updates the aggregates.
    pub fn change(&mut self, server: &mut Server, change: impl FnOnce(&mut Server)) {
        let before = known_wait(server);
        self.remove(server);
        change(server);
        self.add(server);
        self.replace_wait(server.endpoint.server, before, known_wait(server));
    }

    /// Moves a server into the subset or out of it. Drops the statistics of one that leaves without attempts in flight.
    pub fn move_server(&mut self, server: &mut Server, in_subset: bool) {
        if in_subset {
            self.with_evidence.insert(server.endpoint.server);
        }
        self.change(server, |server| {
            server.in_subset = in_subset;
            if !in_subset && server.in_flight == 0 {
                server.forget();
            }
        });
    }

    /// Replaces a server's wait in `ordered_waits`; does nothing unless waits are kept in order.
    pub fn replace_wait(&mut self, server: ServerId, before: Option<f64>, after: Option<f64>) {
        if !self.waits_ordered || before == after {
            return;
        }
        if let Some(wait) = before {
            self.ordered_waits.remove(wait, server.0);
        }
        if let Some(wait) = after {
            self.ordered_waits.add(wait, server.0);
        }
    }

    /// Sets whether waits are kept in order, and rebuilds `ordered_waits`.
    pub fn reorder_waits(&mut self, ordered: bool, servers: &BTreeMap<ServerId, Server>) {
        self.ordered_waits = Median::default();
        self.waits_ordered = ordered;
        for (id, server) in servers {
            self.replace_wait(*id, None, known_wait(server));
        }
    }

    /// Removes servers outside the subset from the indexes of members.
    pub fn retain_members(&mut self, servers: &BTreeMap<ServerId, Server>) {
        let is_member = |id: &ServerId| servers.get(id).is_some_and(|server| server.in_subset);
        self.recently_started.retain(is_member);
        self.with_evidence.retain(is_member);
    }

    /// Removes members from the indexes whose start is no longer recent, or for which `has_evidence` returns false.
    /// Returns the ids removed from each index, in this order.
    pub fn drop_outdated(
        &mut self,
        servers: &BTreeMap<ServerId, Server>,
        now: Micros,
        recent: Micros,
        has_evidence: impl Fn(&Server) -> bool,
    ) -> (Vec<ServerId>, Vec<ServerId>) {
        let started_recently = |server: &Server| server.started_within(now, recent);
        let no_longer_recent = drop_unless(&mut self.recently_started, servers, started_recently);
        let without_evidence = drop_unless(&mut self.with_evidence, servers, has_evidence);
        self.count_examined(
            self.recently_started.len() + self.with_evidence.len() + without_evidence.len(),
        );
        (no_longer_recent, without_evidence)
    }
}

/// Removes the ids of servers that no longer exist or do not meet a condition, and returns them.
fn drop_unless(
    ids: &mut BTreeSet<ServerId>,
    servers: &BTreeMap<ServerId, Server>,
    condition: impl Fn(&Server) -> bool,
) -> Vec<ServerId> {
    let mut dropped = Vec::new();
    ids.retain(|id| {
        let kept = servers.get(id).is_some_and(&condition);
        if !kept {
            dropped.push(*id);
        }
        kept
    });
    dropped
}

/// Whether a listed server is not ready or is ejected for some class.
fn is_avoided(server: &Server) -> bool {
    let ejected = server.statistics.iter().any(OutlierStatistics::is_ejected);
    !server.is_ready() || ejected
}

/// The wait of a server, µs; `None` unless it is a ready member with a known wait.
pub(super) fn known_wait(server: &Server) -> Option<f64> {
    let counts = server.is_ready() && server.in_subset && server.wait_per_attempt > 0.0;
    counts.then_some(server.wait_per_attempt)
}

fn share_steps(share: f64) -> u64 {
    (share * SHARE_STEPS) as u64
}
