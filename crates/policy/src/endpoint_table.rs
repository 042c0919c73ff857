//! Table of the servers that a node knows, and which of them are in its subset. It stores state and makes no decisions.
//!
//! With 40,000 servers no outcome, message or controller period may iterate over all of them, nor may an update of a
//! few endpoints. So the aggregates that the policies read ([`Aggregates`]) are updated incrementally: a server is
//! changed through [`ServerEdit`], which removes it from the aggregates and adds it again afterwards. Of a list of more
//! than `FULL_LIST_MAX_SERVERS` servers each node uses a subset (see `saffronpaddle-subsetting`). The servers in the
//! subset are called members; only they count in the aggregates of members and keep their statistics.

mod aggregates;
mod edit;
mod removal;
mod short_ids;

pub(crate) use edit::ServerEdit;
pub(crate) use short_ids::short_server_id;

use crate::interface::{
    ClassId, Endpoint, EndpointStatus, EndpointUpdate, Micros, NodeId, ServerId, SlowStartRules,
};
use crate::server::Server;
use aggregates::{known_wait, Aggregates};
use saffronpaddle_subsetting::{SlowStartGroup, Subset, FULL_LIST_MAX_SERVERS, TARGET_SUBSET_SIZE};
use short_ids::ShortIds;
use std::collections::{BTreeMap, BTreeSet};

/// Number of members below which waits are no longer kept in order. It is lower than `FULL_LIST_MAX_SERVERS`, above
/// which ordering starts, so that a member count that varies around that limit does not always rebuild the subset.
const ORDERED_WAITS_MIN: usize = FULL_LIST_MAX_SERVERS * 3 / 4;

/// Numbers of ready servers: on the full list, and in this node's subset.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ReadyServers {
    pub listed: f64,
    pub in_subset: f64,
}

/// Numbers of ready servers in this node's subset, and of those among them that are not ejected for a class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct HealthyServers {
    pub in_subset: f64,
    pub healthy: f64,
}

/// All servers that are listed or have attempts in flight.
#[derive(Clone, Debug)]
pub(crate) struct EndpointTable {
    servers: BTreeMap<ServerId, Server>,
    subset: Subset,
    /// Whether this node may use a subset of a long list.
    subsetting: bool,
    /// Whether the list is long enough that this node uses a subset at present.
    subsetted: bool,
    /// The servers in the subset in order of id; empty unless `subsetted`.
    members: Vec<ServerId>,
    short_ids: ShortIds,
    aggregates: Aggregates,
}

impl EndpointTable {
    /// Creates an empty table for `node` of a fleet of `node_count` nodes.
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

    /// Restores the servers of another process of this node. Servers count as recently started for `recent` µs.
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

    /// Applies an update of the endpoint list in one pass. Servers count as recently started for `recent` µs. The
    /// statistics of a server that has restarted are reset.
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
        self.resize_subset_if_needed(now, recent);
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

    /// Builds an empty table's map in bulk. A map that grows entry by entry allocates half as much memory again.
    fn fill(&mut self, endpoints: &[Endpoint], now: Micros) {
        self.servers = endpoints
            .iter()
            .map(|endpoint| (endpoint.server, Server::unknown(*endpoint, now)))
            .collect();
        for server in self.servers.values() {
            self.aggregates.add(server);
        }
    }

    /// Applies one entry. Returns whether a server was added to the subset of a long list.
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

    /// Adds a member to the index of short ids, and to the recently started servers if it is one.
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

    /// Rebuilds the subset if the length of the list has changed enough to require it.
    fn resize_subset_if_needed(&mut self, now: Micros, recent: Micros) {
        let ready = self.aggregates.ready;
        let subset_changed = self.subsetting && self.subset.resize(ready);
        let subsetted = self.subsetting && ready > FULL_LIST_MAX_SERVERS;
        let ordered = if self.aggregates.waits_ordered {
            self.members.len() >= ORDERED_WAITS_MIN
        } else {
            self.members.len() > FULL_LIST_MAX_SERVERS
        };
        let outdated = subsetted != self.subsetted || ordered != self.aggregates.waits_ordered;
        if subset_changed || outdated {
            self.rebuild_subset(now, recent);
        }
    }

    /// Determines which servers are in the subset, iterating over all.
    fn rebuild_subset(&mut self, now: Micros, recent: Micros) {
        if self.subsetting {
            self.subset.resize(self.aggregates.ready);
        }
        self.subsetted = self.subsetting && self.aggregates.ready > FULL_LIST_MAX_SERVERS;
        let waits_were_ordered = std::mem::take(&mut self.aggregates.waits_ordered);
        self.short_ids = ShortIds::for_list(self.subsetted);
        self.members = Vec::new();
        self.aggregates.count_examined(self.servers.len());
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
        let many = self.members.len() > FULL_LIST_MAX_SERVERS;
        let still_many = waits_were_ordered && self.members.len() >= ORDERED_WAITS_MIN;
        self.aggregates
            .reorder_waits(many || still_many, &self.servers);
        self.aggregates.retain_members(&self.servers);
    }

    /// Number of servers and short ids that are held in memory.
    pub fn len(&self) -> usize {
        self.servers.len() + self.short_ids.len()
    }

    /// Number of listed servers, and of those among them that are not ready or are ejected for some class.
    pub fn counts(&self) -> (usize, usize) {
        (self.aggregates.listed, self.aggregates.avoided)
    }

    /// Numbers of ready servers. They are updated with each change, so that reading them takes no iteration.
    pub fn ready(&self) -> ReadyServers {
        ReadyServers {
            listed: self.aggregates.ready as f64,
            in_subset: self.aggregates.ready_members as f64,
        }
    }

    /// Number of nodes that use each server.
    pub fn nodes_per_server(&self) -> f64 {
        f64::from(self.subset.nodes_per_server())
    }

    /// The nodes that share the slow-start slots of a server, and this node's rank among them.
    pub fn slow_start_group(&self, server: ServerId) -> SlowStartGroup {
        self.subset.slow_start_group(server.0)
    }

    /// The node with a rank in the slow-start group of a server.
    pub fn slow_start_member(&self, server: ServerId, rank: u32) -> NodeId {
        NodeId(self.subset.slow_start_node_at_rank(server.0, rank))
    }

    /// Number of servers examined since the start, counted with repetition.
    pub fn examined(&self) -> u64 {
        self.aggregates.examined()
    }

    /// The server with an id, whether it is in the subset or not; `None` if it is not in the table.
    pub fn get(&self, id: ServerId) -> Option<&Server> {
        self.servers.get(&id)
    }

    /// A guard through which a server can be changed; the aggregates are updated when it is dropped.
    pub fn edit(&mut self, id: ServerId) -> Option<ServerEdit<'_>> {
        let server = self.servers.get_mut(&id)?;
        Some(ServerEdit::begin(&mut self.aggregates, server))
    }

    /// Mutable number of attempts in flight at a server, which no aggregate depends on.
    pub fn in_flight_mut(&mut self, id: ServerId) -> Option<&mut u32> {
        self.servers
            .get_mut(&id)
            .map(|server| &mut server.in_flight)
    }

    /// Records that an attempt at a server whose body was being received has ended, or is in flight from now on.
    pub fn end_receiving_body(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.receiving_bodies = server.receiving_bodies.saturating_sub(1);
        }
    }

    /// The server with a short id; `None` if it is unknown, or if several servers of a long list share it.
    pub fn by_short_id(&self, short_id: u16) -> Option<ServerId> {
        self.short_ids.get(short_id)
    }

    /// Ready servers to select from. These are all ready members, in order of id. If there are so many members that
    /// their waits are kept in order, they are the ready ones among `TARGET_SUBSET_SIZE` consecutive members, wrapping
    /// around; `draw` selects the first of these, given the number of members.
    pub fn candidates(&self, draw: impl FnOnce(usize) -> usize) -> Vec<&Server> {
        if !self.subsetted {
            self.aggregates.count_examined(self.servers.len());
            return self
                .servers
                .values()
                .filter(|server| server.is_ready())
                .collect();
        }
        let (first, count) = if self.aggregates.waits_ordered {
            (draw(self.members.len()), TARGET_SUBSET_SIZE)
        } else {
            (0, self.members.len())
        };
        self.aggregates.count_examined(count);
        self.members[first..]
            .iter()
            .chain(&self.members[..first])
            .take(count)
            .filter_map(|id| self.servers.get(id))
            .filter(|server| server.is_ready())
            .collect()
    }

    /// Members with evidence that may not have expired, in order of id.
    pub fn with_evidence(&self) -> impl Iterator<Item = &Server> {
        self.examined_ids(&self.aggregates.with_evidence)
    }

    /// Members that started recently, in order of id.
    pub fn recently_started(&self) -> impl Iterator<Item = &Server> {
        self.examined_ids(&self.aggregates.recently_started)
    }

    fn examined_ids<'a>(&'a self, ids: &'a BTreeSet<ServerId>) -> impl Iterator<Item = &'a Server> {
        ids.iter()
            .filter_map(|id| self.servers.get(id))
            .inspect(|_| self.aggregates.count_examined(1))
    }

    /// Visits each server whose ejection is evaluated: all members, or those with evidence if waits are kept in order.
    fn for_each_evaluated(&mut self, mut visit: impl FnMut(&mut Aggregates, &mut Server)) {
        let servers = &mut self.servers;
        let aggregates = &mut self.aggregates;
        if !self.subsetted {
            servers
                .values_mut()
                .for_each(|server| visit(aggregates, server));
            return;
        }
        let with_evidence: Vec<ServerId>;
        let ids = if aggregates.waits_ordered {
            with_evidence = aggregates.with_evidence.iter().copied().collect();
            &with_evidence
        } else {
            &self.members
        };
        for id in ids {
            if let Some(server) = servers.get_mut(id) {
                visit(aggregates, server);
            }
        }
    }

    /// Decays the evidence on the servers that [`Self::for_each_evaluated`] visits, by a number of time constants.
    pub fn decay_evidence(&mut self, time_constants: f64) {
        self.for_each_evaluated(|aggregates, server| {
            aggregates.count_examined(1);
            for statistics in &mut server.statistics {
                statistics.fleet_faults.decay(time_constants);
            }
        });
    }

    /// Applies `evaluate`, which may change the server, to each server that [`Self::for_each_evaluated`] visits, and
    /// updates the aggregates.
    pub fn evaluate_ejections(&mut self, mut evaluate: impl FnMut(&mut Server)) {
        self.for_each_evaluated(|aggregates, server| {
            let classes = aggregates.classes;
            aggregates.change(server, |server| {
                server.ensure_statistics(classes);
                evaluate(server);
            });
        });
    }

    /// Visits each server that may hold slow-start permits, in order of id: the ready servers with a known start time,
    /// of a long list only those that started recently. `visit` must not change anything that the aggregates depend on.
    pub fn for_each_with_permits(&mut self, mut visit: impl FnMut(&Subset, &mut Server)) {
        let servers = &mut self.servers;
        let (subset, aggregates) = (&self.subset, &self.aggregates);
        let mut visit_ready = |server: &mut Server| {
            aggregates.count_examined(1);
            if server.is_ready() && server.endpoint.started_at.is_some() {
                visit(subset, server);
            }
        };
        if !self.subsetted {
            return servers.values_mut().for_each(visit_ready);
        }
        for id in &aggregates.recently_started {
            if let Some(server) = servers.get_mut(id) {
                visit_ready(server);
            }
        }
    }

    /// Visits the recently started members in order of id. `visit` must not change what the aggregates depend on.
    pub fn for_each_recently_started(&mut self, mut visit: impl FnMut(&mut Server)) {
        self.aggregates
            .count_examined(self.aggregates.recently_started.len());
        for id in &self.aggregates.recently_started {
            if let Some(server) = self.servers.get_mut(id) {
                visit(server);
            }
        }
    }

    /// Numbers of ready members and of those not ejected for a class, also without an iteration.
    pub fn healthy(&self, class: ClassId) -> HealthyServers {
        let members = self.aggregates.ready_members;
        HealthyServers {
            in_subset: members as f64,
            healthy: (members - self.aggregates.ejected[class.0]) as f64,
        }
    }

    /// The mean fault rate of the ready members for a class.
    pub fn mean_fault_rate(&self, class: ClassId) -> f64 {
        self.aggregates.mean_fault_rate(class)
    }

    /// The median wait of the ready members with a known wait, µs.
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

    /// The servers that the next process of this node needs: those in the subset, and those with attempts in flight.
    pub fn to_snapshot(&self) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(|server| server.in_subset || server.in_flight > 0)
    }
}

#[cfg(test)]
mod tests;
