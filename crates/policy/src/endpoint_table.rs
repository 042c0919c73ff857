//! The servers that a node knows, and which of them are in its subset. Nothing is decided here.
//!
//! With 40,000 servers no outcome, message, controller period or list update may walk over all of them. So the sums that
//! rules ask for ([`Aggregates`]) follow each change: a server is changed through [`ServerEdit`], which takes it out of
//! the sums and puts it back. Of a list of more than `FULL_LIST_MAX` servers each node uses a subset (see
//! `saffronpaddle-subsetting`); only servers in the subset are in those sums and keep what is known of them.

mod aggregates;
mod edit;
mod short_ids;

pub(crate) use edit::ServerEdit;
pub(crate) use short_ids::short_server_id;

use crate::interface::{
    ClassId, Endpoint, EndpointStatus, EndpointUpdate, Micros, NodeId, ServerId, SlowStartRules,
};
use crate::server::Server;
use aggregates::{known_wait, Aggregates};
use saffronpaddle_subsetting::{SlowStartGroup, Subset, FULL_LIST_MAX, TARGET_SIZE};
use short_ids::ShortIds;
use std::collections::{BTreeMap, BTreeSet};

/// Members from which their waits are kept in order, once they were more than `FULL_LIST_MAX`: a list whose length
/// moves around that limit must not cause a walk each time.
const ORDERED_WAITS_MIN: usize = FULL_LIST_MAX * 3 / 4;

/// Ready servers: on the whole list, and in this node's subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReadyServers {
    pub listed: f64,
    pub in_subset: f64,
}

/// Ready servers in this node's subset, and those of them that are not ejected for a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HealthyServers {
    pub in_subset: f64,
    pub healthy: f64,
}

/// All servers that are listed, or have attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct EndpointTable {
    servers: BTreeMap<ServerId, Server>,
    subset: Subset,
    /// Whether long lists are subsetted.
    subsetting: bool,
    /// Whether the list is so long now that this node uses a subset.
    subsetted: bool,
    /// Where it is: the servers in the subset, in order.
    members: Vec<ServerId>,
    short_ids: ShortIds,
    aggregates: Aggregates,
}

impl EndpointTable {
    /// An empty table of one node of so many.
    pub fn new(node: NodeId, node_count: u32, classes: usize, subsetting: bool) -> EndpointTable {
        EndpointTable {
            servers: BTreeMap::new(),
            subset: Subset::new(node.0, node_count),
            subsetting,
            subsetted: false,
            members: Vec::new(),
            short_ids: ShortIds::default(),
            aggregates: Aggregates::new(classes),
        }
    }

    /// Takes over what another process of this node knew. Servers count as recently started for `recent` µs.
    pub fn restore(&mut self, known: impl Iterator<Item = Server>, now: Micros, recent: Micros) {
        for server in known {
            let id = server.endpoint.server;
            let server = Server {
                in_subset: true,
                ..server
            };
            self.aggregates.add(&server);
            self.aggregates.replace_wait(id, None, known_wait(&server));
            self.aggregates.with_evidence.insert(id);
            self.short_ids.insert(id);
            self.servers.insert(id, server);
        }
        self.rebuild_subset(now, recent);
    }

    /// Applies an update of the endpoint list in one pass. Servers count as recently started for `recent` µs; one that
    /// has started again is unknown again.
    pub fn apply(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        rules: &SlowStartRules,
        recent: Micros,
    ) {
        if update == EndpointUpdate::Snapshot {
            self.remove_missing(&endpoints);
        }
        if self.servers.is_empty() {
            self.fill(&endpoints, now);
        }
        let mut member_added = false;
        for endpoint in endpoints {
            member_added |= self.apply_one(now, endpoint, rules);
            self.index_member(now, &endpoint, recent);
        }
        if member_added {
            self.members.sort_unstable();
        }
        self.follow_list_length(now, recent);
    }

    /// Marks the servers that a snapshot does not name as removed.
    fn remove_missing(&mut self, snapshot: &[Endpoint]) {
        let listed: BTreeSet<ServerId> = snapshot.iter().map(|endpoint| endpoint.server).collect();
        for (id, server) in &mut self.servers {
            if !listed.contains(id) {
                self.aggregates.change(server, |server| {
                    server.endpoint.status = EndpointStatus::Removed;
                });
            }
        }
    }

    /// Fills an empty table at once: a map that grows one by one has spare room for half as many again.
    fn fill(&mut self, endpoints: &[Endpoint], now: Micros) {
        self.servers = endpoints
            .iter()
            .map(|endpoint| (endpoint.server, Server::unknown(*endpoint, now)))
            .collect();
        for server in self.servers.values() {
            self.aggregates.add(server);
        }
    }

    /// Applies one entry; the result is whether a server came into the subset of a long list.
    fn apply_one(&mut self, now: Micros, endpoint: Endpoint, rules: &SlowStartRules) -> bool {
        let id = endpoint.server;
        if let Some(server) = self.servers.get_mut(&id) {
            self.aggregates.change(server, |server| {
                server.update(endpoint, now, rules.warm_up_period);
            });
            return false;
        }
        let in_subset = !self.subsetted || self.subset.contains(id.0);
        if self.subsetted {
            self.short_ids.count(id);
            if in_subset {
                self.members.push(id);
            }
        }
        let server = Server {
            in_subset,
            ..Server::unknown(endpoint, now)
        };
        self.aggregates.add(&server);
        self.servers.insert(id, server);
        self.subsetted && in_subset
    }

    /// Notes a member's short id, and whether it has started recently.
    fn index_member(&mut self, now: Micros, endpoint: &Endpoint, recent: Micros) {
        let id = endpoint.server;
        if self.subsetted && !self.subset.contains(id.0) {
            return;
        }
        let started = endpoint.started_at;
        if started.is_some_and(|started| now < started.saturating_add(recent)) {
            self.aggregates.recently_started.insert(id);
        }
        self.short_ids.insert(id);
    }

    /// Chooses the subset anew where the length of the list has changed much.
    fn follow_list_length(&mut self, now: Micros, recent: Micros) {
        let ready = self.aggregates.ready;
        let subset_changed = self.subsetting && self.subset.resize(ready);
        let subsetted = self.subsetting && ready > FULL_LIST_MAX;
        let ordered = if self.aggregates.waits_ordered {
            self.members.len() >= ORDERED_WAITS_MIN
        } else {
            self.members.len() > FULL_LIST_MAX
        };
        let outdated = subsetted != self.subsetted || ordered != self.aggregates.waits_ordered;
        if subset_changed || outdated {
            self.rebuild_subset(now, recent);
        }
    }

    /// Determines which servers are in the subset, in a walk over all.
    fn rebuild_subset(&mut self, now: Micros, recent: Micros) {
        if self.subsetting {
            self.subset.resize(self.aggregates.ready);
        }
        self.subsetted = self.subsetting && self.aggregates.ready > FULL_LIST_MAX;
        let waits_were_ordered = std::mem::take(&mut self.aggregates.waits_ordered);
        self.short_ids = ShortIds::for_list(self.subsetted);
        self.members = Vec::new();
        self.aggregates.examine(self.servers.len());
        for (id, server) in &mut self.servers {
            let in_subset = !self.subsetted || self.subset.contains(id.0);
            if in_subset != server.in_subset {
                self.aggregates.move_server(server, in_subset);
            }
            if in_subset {
                self.short_ids.insert(*id);
                if server.started_within(now, recent) {
                    self.aggregates.recently_started.insert(*id);
                }
            }
            if self.subsetted {
                self.short_ids.count(*id);
                if in_subset {
                    self.members.push(*id);
                }
            }
        }
        let many = self.members.len() > FULL_LIST_MAX;
        let still_many = waits_were_ordered && self.members.len() >= ORDERED_WAITS_MIN;
        self.aggregates
            .reorder_waits(many || still_many, &self.servers);
        self.aggregates.retain_members(&self.servers);
    }

    /// How many entries are kept in memory.
    pub fn len(&self) -> usize {
        self.servers.len() + self.short_ids.len()
    }

    /// How many servers are listed, and how many of these get nothing new, or health probes only for some class.
    pub fn counts(&self) -> (usize, usize) {
        (self.aggregates.listed, self.aggregates.avoided)
    }

    /// How many servers are ready.
    pub fn ready(&self) -> ReadyServers {
        ReadyServers {
            listed: self.aggregates.ready as f64,
            in_subset: self.aggregates.ready_members as f64,
        }
    }

    /// How many nodes use each server.
    pub fn nodes_per_server(&self) -> f64 {
        f64::from(self.subset.nodes_per_server())
    }

    /// The nodes that share the slow-start slots of a server, and this node's rank among them.
    pub fn slow_start_group(&self, server: ServerId) -> SlowStartGroup {
        self.subset.slow_start_group(server.0)
    }

    /// The node of a rank in that group.
    pub fn slow_start_member(&self, server: ServerId, rank: u32) -> NodeId {
        NodeId(self.subset.slow_start_node_at_rank(server.0, rank))
    }

    /// How many servers have been examined since the start.
    pub fn examined(&self) -> u64 {
        self.aggregates.examined()
    }

    /// A server, if it is known.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A server to be changed.
    pub fn edit(&mut self, id: ServerId) -> Option<ServerEdit<'_>> {
        let server = self.servers.get_mut(&id)?;
        Some(ServerEdit::begin(&mut self.aggregates, server))
    }

    /// How many attempts are in flight at a server, to be changed.
    pub fn in_flight_mut(&mut self, id: ServerId) -> Option<&mut u32> {
        self.servers
            .get_mut(&id)
            .map(|server| &mut server.in_flight)
    }

    /// The server that a peer means by a short id; `None` where several of a long list share it.
    pub fn by_short_id(&self, short_id: u16) -> Option<ServerId> {
        self.short_ids.get(short_id)
    }

    /// Ready servers to choose one from, in order: all members, or of very many some in a row from a drawn place on.
    pub fn candidates(&self, draw: impl FnOnce(usize) -> usize) -> Vec<&Server> {
        if !self.subsetted {
            self.aggregates.examine(self.servers.len());
            return self
                .servers
                .values()
                .filter(|server| server.is_ready())
                .collect();
        }
        let (first, count) = if self.aggregates.waits_ordered {
            (draw(self.members.len()), TARGET_SIZE)
        } else {
            (0, self.members.len())
        };
        self.aggregates.examine(count);
        self.members[first..]
            .iter()
            .chain(&self.members[..first])
            .take(count)
            .filter_map(|id| self.servers.get(id))
            .filter(|server| server.is_ready())
            .collect()
    }

    /// Members with evidence that may still count, in order.
    pub fn with_evidence(&self) -> impl Iterator<Item = &Server> {
        self.examined_ids(&self.aggregates.with_evidence)
    }

    /// Members that started recently, in order.
    pub fn recently_started(&self) -> impl Iterator<Item = &Server> {
        self.examined_ids(&self.aggregates.recently_started)
    }

    fn examined_ids<'a>(&'a self, ids: &'a BTreeSet<ServerId>) -> impl Iterator<Item = &'a Server> {
        ids.iter()
            .filter_map(|id| self.servers.get(id))
            .inspect(|_| self.aggregates.examine(1))
    }

    /// Takes each server whose ejection is decided anew in a controller period: all members, or of very many those with
    /// evidence.
    fn for_each_judged(&mut self, mut take: impl FnMut(&mut Aggregates, &mut Server)) {
        let servers = &mut self.servers;
        let aggregates = &mut self.aggregates;
        if !self.subsetted {
            servers
                .values_mut()
                .for_each(|server| take(aggregates, server));
            return;
        }
        let evident: Vec<ServerId>;
        let ids = if aggregates.waits_ordered {
            evident = aggregates.with_evidence.iter().copied().collect();
            &evident
        } else {
            &self.members
        };
        for id in ids {
            if let Some(server) = servers.get_mut(id) {
                take(aggregates, server);
            }
        }
    }

    /// Lets evidence on them decay, by so many time constants.
    pub fn decay_evidence(&mut self, time_constants: f64) {
        self.for_each_judged(|aggregates, server| {
            aggregates.examine(1);
            for statistics in &mut server.statistics {
                statistics.fleet_faults.decay(time_constants);
            }
        });
    }

    /// Changes what is known of each of them.
    pub fn judge(&mut self, mut judge: impl FnMut(&mut Server)) {
        self.for_each_judged(|aggregates, server| {
            let classes = aggregates.classes;
            aggregates.change(server, |server| {
                server.ensure_statistics(classes);
                judge(server);
            });
        });
    }

    /// Takes each that may hold slow-start permits, in order: all that are ready and whose start is known, or of a long
    /// list those that started recently. Statistics must not be changed there.
    pub fn for_each_with_permits(&mut self, mut take: impl FnMut(&Subset, &mut Server)) {
        let servers = &mut self.servers;
        let (subset, aggregates) = (&self.subset, &self.aggregates);
        let mut take_ready = |server: &mut Server| {
            aggregates.examine(1);
            if server.is_ready() && server.endpoint.started_at.is_some() {
                take(subset, server);
            }
        };
        if !self.subsetted {
            return servers.values_mut().for_each(take_ready);
        }
        for id in &aggregates.recently_started {
            if let Some(server) = servers.get_mut(id) {
                take_ready(server);
            }
        }
    }

    /// Takes each that started recently, in order. Statistics must not be changed there.
    pub fn for_each_recently_started(&mut self, mut take: impl FnMut(&mut Server)) {
        self.aggregates
            .examine(self.aggregates.recently_started.len());
        for id in &self.aggregates.recently_started {
            if let Some(server) = self.servers.get_mut(id) {
                take(server);
            }
        }
    }

    /// How many ready members there are, and how many of these are not ejected for a class.
    pub fn healthy(&self, class: ClassId) -> HealthyServers {
        let members = self.aggregates.ready_members;
        HealthyServers {
            in_subset: members as f64,
            healthy: (members - self.aggregates.ejected[class.0]) as f64,
        }
    }

    /// The mean fault rate of the ready members.
    pub fn mean_fault_rate(&self, class: ClassId) -> f64 {
        self.aggregates.mean_fault_rate(class)
    }

    /// The median wait of those that have shown one, µs.
    pub fn median_wait(&self) -> Option<f64> {
        if self.aggregates.waits_ordered {
            return self.aggregates.ordered_waits.get();
        }
        let mut waits: Vec<f64> = self
            .candidates(|_| 0)
            .into_iter()
            .filter_map(known_wait)
            .collect();
        let middle = waits.len() / 2;
        (!waits.is_empty()).then(|| *waits.select_nth_unstable_by(middle, f64::total_cmp).1)
    }

    /// Forgets servers that were removed and have nothing in flight. Those that did not start recently any more, or of
    /// which no evidence counts, are passed over from now on.
    pub fn remove_unused(&mut self, now: Micros, recent: Micros, counts: impl Fn(&Server) -> bool) {
        self.forget_removed();
        let (warm, without_evidence) =
            self.aggregates
                .drop_outdated(&self.servers, now, recent, counts);
        if self.subsetted {
            for id in warm {
                self.servers
                    .entry(id)
                    .and_modify(|server| server.slow_start_budget = None);
            }
        }
        if !self.aggregates.waits_ordered {
            return;
        }
        for id in without_evidence {
            if let Some(server) = self.servers.get_mut(&id) {
                self.aggregates
                    .change(server, |server| server.statistics = Vec::new());
            }
        }
    }

    fn forget_removed(&mut self) {
        let servers = &self.servers;
        let idle = |id: &ServerId| servers.get(id).is_none_or(|server| server.in_flight == 0);
        let removed: Vec<ServerId> = self
            .aggregates
            .removed
            .iter()
            .copied()
            .filter(idle)
            .collect();
        for id in &removed {
            let Some(server) = self.servers.remove(id) else {
                continue;
            };
            self.aggregates.remove(&server);
            self.aggregates.replace_wait(*id, known_wait(&server), None);
            self.short_ids.remove(*id);
        }
        if !removed.is_empty() {
            self.members.retain(|id| self.servers.contains_key(id));
        }
    }

    /// All that is worth handing to the next process.
    pub fn to_snapshot(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(|server| server.in_subset || server.in_flight > 0)
    }
}

#[cfg(test)]
mod tests;
