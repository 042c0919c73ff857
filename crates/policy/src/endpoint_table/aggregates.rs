//! Sums over servers that follow each change, so that no rule has to walk over them.

use crate::interface::{ClassId, Micros, ServerId};
use crate::server::{OutlierStatistics, Server};
use saffronpaddle_subsetting::Median;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicU64, Ordering};

/// Shares are summed as whole numbers of this many steps, so that sums of many do not drift.
const SHARE_STEPS: f64 = (1_u64 << 44) as f64;

/// A count of examined servers. It is atomic because the model checker looks at engines from several threads.
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

/// Sums over servers.
#[derive(Clone, Debug)]
pub(super) struct Aggregates {
    pub classes: usize,
    /// Listed servers.
    pub listed: usize,
    /// Listed servers that get nothing new, or health probes only for some class.
    pub avoided: usize,
    /// Ready servers.
    pub ready: usize,
    /// Ready servers in the subset.
    pub ready_members: usize,
    /// By class: how many of those are ejected.
    pub ejected: Vec<usize>,
    /// By class: the sum of their fault rates, in steps.
    fault_rates: Vec<u64>,
    /// Their waits, kept in order where they are too many to be walked over in a controller period.
    pub ordered_waits: Median,
    pub waits_ordered: bool,
    /// Members that started recently.
    pub recently_started: BTreeSet<ServerId>,
    /// Members with evidence that may still count.
    pub with_evidence: BTreeSet<ServerId>,
    /// Servers that were removed from the list and are not forgotten yet.
    pub removed: BTreeSet<ServerId>,
    /// How many servers have been examined, so that tests can tell a walk.
    examined: ExaminationCount,
}

impl Aggregates {
    /// Sums over no server.
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

    /// Counts servers that are looked at.
    pub fn examine(&self, servers: usize) {
        self.examined.add(servers as u64);
    }

    /// How many servers were looked at.
    pub fn examined(&self) -> u64 {
        self.examined.get()
    }

    /// The mean fault rate of the ready members for a class.
    pub fn mean_fault_rate(&self, class: ClassId) -> f64 {
        self.fault_rates[class.0] as f64 / SHARE_STEPS / self.ready_members.max(1) as f64
    }

    /// Adds a server to the sums.
    pub fn add(&mut self, server: &Server) {
        self.examine(1);
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

    /// Takes a server out of the sums, as it was when it was added.
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

    /// Changes a server, outside of the sums and back in them.
    pub fn change(&mut self, server: &mut Server, change: impl FnOnce(&mut Server)) {
        let before = known_wait(server);
        self.remove(server);
        change(server);
        self.add(server);
        self.replace_wait(server.endpoint.server, before, known_wait(server));
    }

    /// Moves a server into the subset or out of it. Nothing is kept of one that leaves and has nothing in flight.
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

    /// Replaces a server's wait among the ordered ones.
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

    /// Begins to keep the waits in order, or stops to.
    pub fn reorder_waits(&mut self, ordered: bool, servers: &BTreeMap<ServerId, Server>) {
        self.ordered_waits = Median::default();
        self.waits_ordered = ordered;
        for (id, server) in servers {
            self.replace_wait(*id, None, known_wait(server));
        }
    }

    /// Drops servers outside of the subset from the indexes of members.
    pub fn retain_members(&mut self, servers: &BTreeMap<ServerId, Server>) {
        let is_member = |id: &ServerId| servers.get(id).is_some_and(|server| server.in_subset);
        self.recently_started.retain(is_member);
        self.with_evidence.retain(is_member);
    }

    /// Drops members from the indexes that did not start recently any more, or of which no evidence counts; the result
    /// is both lists.
    pub fn drop_outdated(
        &mut self,
        servers: &BTreeMap<ServerId, Server>,
        now: Micros,
        recent: Micros,
        counts: impl Fn(&Server) -> bool,
    ) -> (Vec<ServerId>, Vec<ServerId>) {
        let started_recently = |server: &Server| server.started_within(now, recent);
        let warm = drop_unless(&mut self.recently_started, servers, started_recently);
        let without_evidence = drop_unless(&mut self.with_evidence, servers, counts);
        self.examine(
            self.recently_started.len() + self.with_evidence.len() + without_evidence.len(),
        );
        (warm, without_evidence)
    }
}

/// Drops the servers that are gone or do not meet a condition; the result is those.
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

/// Whether a listed server gets nothing new, or health probes only for some class.
fn is_avoided(server: &Server) -> bool {
    let ejected = server.statistics.iter().any(OutlierStatistics::is_ejected);
    !server.is_ready() || ejected
}

/// The wait of a server, if it counts.
pub(super) fn known_wait(server: &Server) -> Option<f64> {
    let counts = server.is_ready() && server.in_subset && server.wait_per_attempt > 0.0;
    counts.then_some(server.wait_per_attempt)
}

fn share_steps(share: f64) -> u64 {
    (share * SHARE_STEPS) as u64
}
