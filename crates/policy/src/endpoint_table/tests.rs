//! The sums are those of a walk over all table, whatever happens to them.

use super::*;
use crate::interface::{DeduplicationDomainId, ZoneId};
use crate::server::OutlierStatistics;

const CLASSES: usize = 3;
const RULES: SlowStartRules = SlowStartRules {
    initial_capacity: 0.2,
    warm_up_period: 10_000_000,
    overload_multiple: 3.0,
    overload_window: 1_000_000,
};
const RECENT: Micros = 40_000_000;

/// A walk over all table, as it was before there were sums.
struct Walk<'a>(Vec<&'a Server>);

impl<'a> Walk<'a> {
    fn over(table: &'a EndpointTable) -> Walk<'a> {
        Walk(table.servers.values().collect())
    }

    fn ready(&self) -> Vec<&'a Server> {
        self.0
            .iter()
            .copied()
            .filter(|server| server.is_ready())
            .collect()
    }

    fn members(&self) -> Vec<&'a Server> {
        self.ready()
            .into_iter()
            .filter(|server| server.in_subset)
            .collect()
    }

    fn counts(&self) -> (usize, usize) {
        let listed = self
            .0
            .iter()
            .filter(|server| server.endpoint.status != EndpointStatus::Removed);
        let out = |server: &Server| {
            !server.is_ready()
                || server
                    .statistics
                    .iter()
                    .any(|statistics| statistics.next_probe_at.is_some())
        };
        listed.fold((0, 0), |(all, avoided), server| {
            (all + 1, avoided + usize::from(out(server)))
        })
    }

    fn median(&self) -> Option<f64> {
        let mut waits: Vec<f64> = self
            .members()
            .iter()
            .map(|server| server.wait_per_attempt)
            .filter(|wait| *wait > 0.0)
            .collect();
        waits.sort_by(f64::total_cmp);
        waits.get(waits.len() / 2).copied()
    }
}

fn entry(server: u64, status: EndpointStatus, started: Option<Micros>) -> Endpoint {
    let zone = ZoneId((server % 3) as u32);
    Endpoint {
        server: ServerId(server),
        zone,
        domain: DeduplicationDomainId(server),
        status,
        size: 1.0,
        started_at: started,
    }
}

fn compare(table: &EndpointTable, now: Micros) {
    let walk = Walk::over(table);
    assert_eq!(table.counts(), walk.counts());
    assert_eq!(
        table.ready(),
        ReadyServers {
            listed: walk.ready().len() as f64,
            in_subset: walk.members().len() as f64,
        }
    );
    assert_eq!(table.median_wait(), walk.median());
    for class in 0..CLASSES {
        let held = walk.members();
        let well = held
            .iter()
            .filter(|server| server.next_probe_at(class).is_none())
            .count();
        assert_eq!(
            table.healthy(ClassId(class)),
            HealthyServers {
                in_subset: held.len() as f64,
                healthy: well as f64,
            }
        );
        let failing: f64 = held.iter().map(|server| server.fault_rate(class)).sum();
        let failing = failing / held.len().max(1) as f64;
        assert!((table.mean_fault_rate(ClassId(class)) - failing).abs() < 1e-12);
    }
    let cold = |server: &&Server| server.capacity_fraction(&RULES, now) < 1.0;
    let fresh: Vec<ServerId> = table
        .recently_started()
        .filter(cold)
        .map(|server| server.endpoint.server)
        .collect();
    let all = walk
        .0
        .iter()
        .copied()
        .filter(|server| server.in_subset)
        .filter(cold);
    assert_eq!(
        fresh,
        all.map(|server| server.endpoint.server).collect::<Vec<_>>()
    );
    let seen = |server: &&Server| {
        server.in_subset
            && server
                .statistics
                .iter()
                .any(|statistics| statistics.observed_at + 4_000_000 > now)
    };
    let lately: Vec<ServerId> = table
        .with_evidence()
        .filter(seen)
        .map(|server| server.endpoint.server)
        .collect();
    let all = walk
        .0
        .iter()
        .copied()
        .filter(seen)
        .map(|server| server.endpoint.server);
    assert_eq!(lately, all.collect::<Vec<_>>());
    let held: Vec<ServerId> = walk
        .0
        .iter()
        .filter(|server| server.in_subset)
        .map(|server| server.endpoint.server)
        .collect();
    if table.subsetted {
        assert_eq!(table.members, held);
    } else {
        assert_eq!(held.len(), walk.0.len());
    }
    for server in &held {
        let name = short_server_id(*server);
        let same = |other: &&&Server| short_server_id(other.endpoint.server) == name;
        let shared = walk.0.iter().filter(same).count() > 1;
        assert!(shared || table.by_short_id(name) == Some(*server));
        assert!(
            !table.subsetted || !shared || table.by_short_id(name).is_none(),
            "a name that several have"
        );
    }
    let chosen: Vec<ServerId> = table
        .candidates(|_| 0)
        .into_iter()
        .map(|server| server.endpoint.server)
        .collect();
    assert!(chosen.iter().all(|server| held.contains(server)));
    let ready = held
        .iter()
        .copied()
        .filter(|id| table.get(*id).is_some_and(Server::is_ready));
    assert!(table.aggregates.waits_ordered || chosen == ready.collect::<Vec<_>>());
    assert!(table.aggregates.waits_ordered || table.aggregates.ordered_waits.is_empty());
}

/// Drives table through random news of the list, outcomes and ticks, and compares with a walk after each.
fn drive(seed: u64, nodes: u32, most: u64, steps: u64) -> EndpointTable {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut table = EndpointTable::new(NodeId(random.u32(..nodes)), nodes, CLASSES, true);
    let mut now = 1_000_000_000;
    for step in 0..steps {
        now += random.u64(..3_000_000);
        match random.u32(..12) {
            0 => {
                let count = random.u64(..most);
                let entries = (0..count)
                    .map(|id| entry(id, EndpointStatus::Ready, None))
                    .collect();
                table.apply(now, EndpointUpdate::Snapshot, entries, &RULES, RECENT);
            }
            1..=3 => {
                let count = random.u64(..most.div_ceil(4));
                let one = |_| {
                    let status = match random.u32(..4) {
                        0 => EndpointStatus::Removed,
                        1 => EndpointStatus::Draining,
                        _ => EndpointStatus::Ready,
                    };
                    let started = random.bool().then(|| now - random.u64(..60_000_000));
                    entry(random.u64(..most), status, started)
                };
                let entries = (0..count).map(one).collect();
                table.apply(now, EndpointUpdate::Delta, entries, &RULES, RECENT);
            }
            4 => {
                let counts = |statistics: &OutlierStatistics| {
                    statistics.next_probe_at.is_some()
                        || statistics.fleet_faults.mean().is_some()
                        || now < statistics.observed_at + 4_000_000
                };
                table.remove_unused(now, RECENT, |server| server.statistics.iter().any(counts));
            }
            5 => {
                table.decay_evidence(0.5);
                table.judge(|server| {
                    server
                        .statistics
                        .iter_mut()
                        .for_each(|statistics| statistics.fault_rate /= 2.0);
                });
            }
            _ => {
                for _ in 0..10 {
                    let Some(mut server) = table.edit(ServerId(random.u64(..most))) else {
                        continue;
                    };
                    server.in_flight = random.u32(..2);
                    server.wait_per_attempt = f64::from(random.u32(..5)) * 1000.0;
                    let statistics = &mut server.statistics[random.usize(..CLASSES)];
                    statistics.fault_rate = random.f64();
                    statistics.next_probe_at = random.bool().then_some(now);
                    statistics.observed_at = now;
                    statistics.fleet_faults.add(0.0, 1.0);
                }
            }
        }
        if step % 4 == 0 || steps < 200 {
            compare(&table, now);
        }
    }
    table
}

#[test]
fn sums_are_those_of_a_walk_over_a_list_that_is_sent_to_as_a_whole() {
    for seed in 0..20 {
        drive(seed, 30, 60, 400);
    }
}

#[test]
fn sums_are_those_of_a_walk_while_a_list_grows_and_shrinks_across_the_size_of_a_whole_one() {
    for (seed, nodes) in [(1, 3), (2, 30), (3, 300), (4, 2_700)] {
        drive(seed, nodes, 1_200, 150);
    }
}

#[test]
fn a_server_that_is_gone_is_forgotten_once_nothing_is_out_at_it() {
    let mut table = EndpointTable::new(NodeId(0), 3, CLASSES, true);
    let ready = (0..20)
        .map(|id| entry(id, EndpointStatus::Ready, None))
        .collect();
    table.apply(1, EndpointUpdate::Snapshot, ready, &RULES, RECENT);
    table.edit(ServerId(3)).expect("listed").in_flight = 1;
    let gone = vec![
        entry(3, EndpointStatus::Removed, None),
        entry(4, EndpointStatus::Removed, None),
    ];
    table.apply(2, EndpointUpdate::Delta, gone, &RULES, RECENT);
    table.remove_unused(3, RECENT, |_| false);
    assert!(table.get(ServerId(3)).is_some() && table.get(ServerId(4)).is_none());
    table
        .edit(ServerId(3))
        .expect("something is in flight")
        .in_flight = 0;
    table.remove_unused(3, RECENT, |_| false);
    assert!(table.get(ServerId(3)).is_none());
    assert_eq!(table.counts(), (18, 0));
}

#[test]
fn what_is_not_sent_to_from_here_keeps_nothing_that_was_known_of_it() {
    let mut table = EndpointTable::new(NodeId(0), 2_700, CLASSES, true);
    let ready = |count| {
        (0..count)
            .map(|id| entry(id, EndpointStatus::Ready, None))
            .collect()
    };
    table.apply(1, EndpointUpdate::Snapshot, ready(500), &RULES, RECENT);
    (0..500).for_each(|id| table.edit(ServerId(id)).expect("listed").wait_per_attempt = 5.0);
    table.apply(2, EndpointUpdate::Snapshot, ready(40_000), &RULES, RECENT);
    let known = table
        .servers
        .values()
        .filter(|server| !server.statistics.is_empty() || server.wait_per_attempt > 0.0);
    assert!(known.clone().all(|server| server.in_subset));
    assert!(
        known.count() < 50,
        "of 500 that were known, this one keeps its part"
    );
}

/// Bytes of one server in the table of which nothing is known. A bound: growth is to be seen, not forbidden.
#[test]
fn a_server_of_which_nothing_is_known_costs_few_bytes() {
    let row = std::mem::size_of::<(ServerId, Server)>();
    assert!(row <= 144, "{row}");
}
