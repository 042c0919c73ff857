//! After any changes the aggregates equal those computed by iterating over all servers.

use super::*;
use crate::interface::{DeduplicationDomainId, ZoneId};
use crate::server::OutlierStatistics;

/// Number of request classes.
const CLASSES: usize = 3;
/// Slow-start rules of the servers.
const RULES: SlowStartRules = SlowStartRules {
    initial_capacity: 0.2,
    warm_up_period: 10_000_000,
    overload_multiple: 3.0,
    overload_window: 1_000_000,
};
/// Time after its start for which a server counts as recently started, µs.
const RECENTLY_STARTED_FOR: Micros = 40_000_000;
/// Age up to which observations of a server count as evidence, µs.
const EVIDENCE_KEPT_FOR: Micros = 4_000_000;

/// All servers of a table, from which the expected aggregates are computed by iteration.
struct FullScan<'a>(Vec<&'a Server>);

impl<'a> FullScan<'a> {
    fn over(table: &'a EndpointTable) -> FullScan<'a> {
        FullScan(table.servers.values().collect())
    }

    fn ready(&self) -> Vec<&'a Server> {
        self.0
            .iter()
            .copied()
            .filter(|server| server.is_ready())
            .collect()
    }

    fn ready_in_subset(&self) -> Vec<&'a Server> {
        self.ready()
            .into_iter()
            .filter(|server| server.in_subset)
            .collect()
    }

    fn subset(&self) -> Vec<ServerId> {
        let members = self.0.iter().filter(|server| server.in_subset);
        members.map(|server| id_of(server)).collect()
    }

    /// Number of listed servers, and of those among them that are avoided.
    fn counts(&self) -> (usize, usize) {
        let listed = self
            .0
            .iter()
            .filter(|server| server.endpoint.status != EndpointStatus::Removed);
        let is_avoided = |server: &Server| {
            !server.is_ready()
                || server
                    .statistics
                    .iter()
                    .any(|statistics| statistics.next_probe_at.is_some())
        };
        listed.fold((0, 0), |(all, avoided), server| {
            (all + 1, avoided + usize::from(is_avoided(server)))
        })
    }

    fn median_wait(&self) -> Option<f64> {
        let mut waits: Vec<f64> = self
            .ready_in_subset()
            .iter()
            .map(|server| server.wait_per_attempt)
            .filter(|wait| *wait > 0.0)
            .collect();
        waits.sort_by(f64::total_cmp);
        waits.get(waits.len() / 2).copied()
    }
}

fn endpoint(server: u64, status: EndpointStatus, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId((server % 3) as u32),
        domain: DeduplicationDomainId(server),
        status,
        size: 1.0,
        started_at,
    }
}

fn ready_endpoint(server: u64) -> Endpoint {
    endpoint(server, EndpointStatus::Ready, None)
}

fn removed_endpoint(server: u64) -> Endpoint {
    endpoint(server, EndpointStatus::Removed, None)
}

/// Compares the aggregates and indexes of the table with those computed by iterating over its servers.
fn check_against_full_scan(table: &EndpointTable, now: Micros) {
    let scan = FullScan::over(table);
    check_counts(table, &scan);
    for class in 0..CLASSES {
        check_class(table, &scan, class);
    }
    check_recently_started(table, &scan, now);
    check_servers_with_evidence(table, &scan, now);
    let members = scan.subset();
    if table.subsetted {
        assert_eq!(table.members, members);
    } else {
        assert_eq!(members.len(), scan.0.len());
    }
    check_short_ids(table, &scan, &members);
    check_candidates(table, &members);
}

fn check_counts(table: &EndpointTable, scan: &FullScan) {
    assert_eq!(table.counts(), scan.counts());
    assert_eq!(
        table.ready(),
        ReadyServers {
            listed: scan.ready().len() as f64,
            in_subset: scan.ready_in_subset().len() as f64,
        }
    );
    assert_eq!(table.median_wait(), scan.median_wait());
}

fn check_class(table: &EndpointTable, scan: &FullScan, class: usize) {
    let ready = scan.ready_in_subset();
    let healthy = ready
        .iter()
        .filter(|server| server.next_probe_at(class).is_none())
        .count();
    assert_eq!(
        table.healthy(ClassId(class)),
        HealthyServers {
            in_subset: ready.len() as f64,
            healthy: healthy as f64,
        }
    );
    let fault_rates: f64 = ready.iter().map(|server| server.fault_rate(class)).sum();
    let mean_fault_rate = fault_rates / ready.len().max(1) as f64;
    assert!((table.mean_fault_rate(ClassId(class)) - mean_fault_rate).abs() < 1e-12);
}

fn check_recently_started(table: &EndpointTable, scan: &FullScan, now: Micros) {
    let in_slow_start = |server: &&Server| server.capacity_fraction(&RULES, now) < 1.0;
    let kept: Vec<ServerId> = table
        .recently_started()
        .filter(in_slow_start)
        .map(id_of)
        .collect();
    let scanned = scan
        .0
        .iter()
        .copied()
        .filter(|server| server.in_subset)
        .filter(in_slow_start);
    assert_eq!(kept, scanned.map(id_of).collect::<Vec<_>>());
}

fn check_servers_with_evidence(table: &EndpointTable, scan: &FullScan, now: Micros) {
    let observed_lately = |server: &&Server| {
        server.in_subset
            && server
                .statistics
                .iter()
                .any(|statistics| statistics.observed_at + EVIDENCE_KEPT_FOR > now)
    };
    let kept: Vec<ServerId> = table
        .with_evidence()
        .filter(observed_lately)
        .map(id_of)
        .collect();
    let scanned = scan.0.iter().copied().filter(observed_lately).map(id_of);
    assert_eq!(kept, scanned.collect::<Vec<_>>());
}

/// A member is found by its short id unless another server has the same short id.
fn check_short_ids(table: &EndpointTable, scan: &FullScan, members: &[ServerId]) {
    for server in members {
        let short_id = short_server_id(*server);
        let has_same = |other: &&&Server| short_server_id(id_of(other)) == short_id;
        let shared = scan.0.iter().filter(has_same).count() > 1;
        assert!(
            shared || table.by_short_id(short_id) == Some(*server),
            "{server:?}: not found by its short id {short_id}"
        );
        assert!(
            !table.subsetted || !shared || table.by_short_id(short_id).is_none(),
            "{short_id}: a short id that several servers share must not identify one of them"
        );
    }
}

fn check_candidates(table: &EndpointTable, members: &[ServerId]) {
    let candidates: Vec<ServerId> = table.candidates(|_| 0).into_iter().map(id_of).collect();
    assert!(candidates.iter().all(|server| members.contains(server)));
    let ready = members
        .iter()
        .copied()
        .filter(|id| table.get(*id).is_some_and(Server::is_ready));
    assert!(table.aggregates.waits_ordered || candidates == ready.collect::<Vec<_>>());
    assert!(table.aggregates.waits_ordered || table.aggregates.ordered_waits.is_empty());
}

fn id_of(server: &Server) -> ServerId {
    server.endpoint.server
}

/// A table to which random changes are applied.
struct RandomChanges {
    random: fastrand::Rng,
    table: EndpointTable,
    now: Micros,
    /// Ids of servers are below this.
    max_servers: u64,
}

impl RandomChanges {
    fn new(seed: u64, node_count: u32, max_servers: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let node = NodeId(random.u32(..node_count));
        RandomChanges {
            random,
            table: EndpointTable::new(node, node_count, CLASSES, true),
            now: 1_000_000_000,
            max_servers,
        }
    }

    /// Changes the table in steps and checks it: after each of the first 200 steps, later after every fourth.
    fn run(mut self, steps: u64) {
        for step in 0..steps {
            self.now += self.random.u64(..3_000_000);
            self.step();
            if step % 4 == 0 || step < 200 {
                check_against_full_scan(&self.table, self.now);
            }
        }
    }

    fn step(&mut self) {
        match self.random.u32(..12) {
            0 => self.apply_snapshot(),
            1..=3 => self.apply_delta(),
            4 => self.remove_unused(),
            5 => self.decay_evidence(),
            _ => self.edit_servers(),
        }
    }

    fn apply_snapshot(&mut self) {
        let count = self.random.u64(..self.max_servers);
        let endpoints = (0..count).map(ready_endpoint).collect();
        self.apply(EndpointUpdate::Snapshot, endpoints);
    }

    fn apply_delta(&mut self) {
        let count = self.random.u64(..self.max_servers.div_ceil(4));
        let endpoints = (0..count).map(|_| self.random_endpoint()).collect();
        self.apply(EndpointUpdate::Delta, endpoints);
    }

    fn apply(&mut self, update: EndpointUpdate, endpoints: Vec<Endpoint>) {
        self.table
            .apply(self.now, update, endpoints, &RULES, RECENTLY_STARTED_FOR);
    }

    fn random_endpoint(&mut self) -> Endpoint {
        let status = match self.random.u32(..4) {
            0 => EndpointStatus::Removed,
            1 => EndpointStatus::Draining,
            _ => EndpointStatus::Ready,
        };
        let started_at = if self.random.bool() {
            Some(self.now - self.random.u64(..60_000_000))
        } else {
            None
        };
        endpoint(self.random.u64(..self.max_servers), status, started_at)
    }

    fn remove_unused(&mut self) {
        let now = self.now;
        let is_needed = |statistics: &OutlierStatistics| {
            statistics.next_probe_at.is_some()
                || statistics.fleet_faults.mean().is_some()
                || now < statistics.observed_at + EVIDENCE_KEPT_FOR
        };
        self.table
            .remove_unused(now, RECENTLY_STARTED_FOR, |server| {
                server.statistics.iter().any(is_needed)
            });
    }

    fn decay_evidence(&mut self) {
        self.table.decay_evidence(0.5);
        self.table.evaluate_ejections(|server| {
            server
                .statistics
                .iter_mut()
                .for_each(|statistics| statistics.fault_rate /= 2.0);
        });
    }

    fn edit_servers(&mut self) {
        for _ in 0..10 {
            let id = ServerId(self.random.u64(..self.max_servers));
            let Some(mut server) = self.table.edit(id) else {
                continue;
            };
            server.in_flight = self.random.u32(..2);
            server.wait_per_attempt = f64::from(self.random.u32(..5)) * 1000.0;
            let statistics = &mut server.statistics[self.random.usize(..CLASSES)];
            statistics.fault_rate = self.random.f64();
            statistics.next_probe_at = self.random.bool().then_some(self.now);
            statistics.observed_at = self.now;
            statistics.fleet_faults.add(0.0, 1.0);
        }
    }
}

#[test]
fn aggregates_equal_a_full_scan_where_all_servers_are_in_the_subset() {
    for seed in 0..20 {
        RandomChanges::new(seed, 30, 60).run(400);
    }
}

#[test]
fn aggregates_equal_a_full_scan_while_the_list_outgrows_the_full_list_limit_and_shrinks_again() {
    for (seed, node_count) in [(1, 3), (2, 30), (3, 300), (4, 2_700)] {
        RandomChanges::new(seed, node_count, 1_200).run(150);
    }
}

#[test]
fn removed_server_is_dropped_once_no_attempt_is_in_flight_there() {
    let mut table = EndpointTable::new(NodeId(0), 3, CLASSES, true);
    let ready = (0..20).map(ready_endpoint).collect();
    table.apply(
        1,
        EndpointUpdate::Snapshot,
        ready,
        &RULES,
        RECENTLY_STARTED_FOR,
    );
    table
        .edit(ServerId(3))
        .expect("server 3 is listed")
        .in_flight = 1;
    let removed = vec![removed_endpoint(3), removed_endpoint(4)];
    table.apply(
        2,
        EndpointUpdate::Delta,
        removed,
        &RULES,
        RECENTLY_STARTED_FOR,
    );
    table.remove_unused(3, RECENTLY_STARTED_FOR, |_| false);
    assert!(table.get(ServerId(3)).is_some() && table.get(ServerId(4)).is_none());
    table
        .edit(ServerId(3))
        .expect("a removed server is kept while an attempt is in flight")
        .in_flight = 0;
    table.remove_unused(3, RECENTLY_STARTED_FOR, |_| false);
    assert!(table.get(ServerId(3)).is_none());
    assert_eq!(table.counts(), (18, 0));
}

#[test]
fn servers_outside_the_subset_keep_no_statistics() {
    let mut table = EndpointTable::new(NodeId(0), 2_700, CLASSES, true);
    let ready = |count| (0..count).map(ready_endpoint).collect();
    table.apply(
        1,
        EndpointUpdate::Snapshot,
        ready(500),
        &RULES,
        RECENTLY_STARTED_FOR,
    );
    (0..500).for_each(|id| {
        table
            .edit(ServerId(id))
            .expect("the server is listed")
            .wait_per_attempt = 5.0;
    });
    table.apply(
        2,
        EndpointUpdate::Snapshot,
        ready(40_000),
        &RULES,
        RECENTLY_STARTED_FOR,
    );
    let known = table
        .servers
        .values()
        .filter(|server| !server.statistics.is_empty() || server.wait_per_attempt > 0.0);
    assert!(known.clone().all(|server| server.in_subset));
    assert!(
        known.count() < 50,
        "of 500 servers with statistics, only those in the subset keep them"
    );
}

/// Endpoint lists have tens of thousands of servers, and a node stores each of them, so its memory depends on the size
/// of an entry without statistics. The bound makes growth visible; it may be raised.
#[test]
fn unused_server_takes_few_bytes() {
    let bytes = std::mem::size_of::<(ServerId, Server)>();
    assert!(bytes <= 144, "an entry takes {bytes} bytes");
}
