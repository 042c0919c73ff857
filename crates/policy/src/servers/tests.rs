//! The sums are those of a walk over all servers, whatever happens to them.

use super::*;
use crate::interface::{DeduplicationDomainId, ZoneId};
use crate::state::Health;

const CLASSES: usize = 3;
const RULES: SlowStartRules = SlowStartRules {
    initial_capacity: 0.2,
    warm_up_period: 10_000_000,
    overload_multiple: 3.0,
    overload_window: 1_000_000,
};
const YOUNG_FOR: Micros = 40_000_000;

/// A walk over all servers, as it was before there were sums.
struct Walk<'a>(Vec<&'a Server>);

impl<'a> Walk<'a> {
    fn over(servers: &'a Servers) -> Walk<'a> {
        Walk(servers.all.values().collect())
    }

    fn ready(&self) -> Vec<&'a Server> {
        self.0
            .iter()
            .copied()
            .filter(|server| server.ready())
            .collect()
    }

    fn held(&self) -> Vec<&'a Server> {
        self.ready()
            .into_iter()
            .filter(|server| server.held)
            .collect()
    }

    fn rotation(&self) -> (usize, usize) {
        let listed = self
            .0
            .iter()
            .filter(|server| server.entry.status != EndpointStatus::Removed);
        let out = |server: &Server| {
            !server.ready() || server.health.iter().any(|health| health.trial.is_some())
        };
        listed.fold((0, 0), |(all, avoided), server| {
            (all + 1, avoided + usize::from(out(server)))
        })
    }

    fn median(&self) -> Option<f64> {
        let mut waits: Vec<f64> = self
            .held()
            .iter()
            .map(|server| server.wait)
            .filter(|wait| *wait > 0.0)
            .collect();
        waits.sort_by(f64::total_cmp);
        waits.get(waits.len() / 2).copied()
    }
}

fn entry(server: u64, standing: EndpointStatus, started: Option<Micros>) -> Endpoint {
    let zone = ZoneId((server % 3) as u32);
    Endpoint {
        server: ServerId(server),
        zone,
        domain: DeduplicationDomainId(server),
        status: standing,
        size: 1.0,
        started_at: started,
    }
}

fn compare(servers: &Servers, now: Micros) {
    let walk = Walk::over(servers);
    assert_eq!(servers.rotation(), walk.rotation());
    assert_eq!(
        servers.ready(),
        (walk.ready().len() as f64, walk.held().len() as f64)
    );
    assert_eq!(servers.median_wait(), walk.median());
    for class in 0..CLASSES {
        let held = walk.held();
        let well = held
            .iter()
            .filter(|server| server.trial(class).is_none())
            .count();
        assert_eq!(
            servers.in_health(ClassId(class)),
            (held.len() as f64, well as f64)
        );
        let failing: f64 = held.iter().map(|server| server.failing(class)).sum();
        let failing = failing / held.len().max(1) as f64;
        assert!((servers.mean_failing(ClassId(class)) - failing).abs() < 1e-12);
    }
    let cold = |server: &&Server| server.warmth(&RULES, now) < 1.0;
    let fresh: Vec<ServerId> = servers
        .young()
        .filter(cold)
        .map(|server| server.entry.server)
        .collect();
    let all = walk
        .0
        .iter()
        .copied()
        .filter(|server| server.held)
        .filter(cold);
    assert_eq!(
        fresh,
        all.map(|server| server.entry.server).collect::<Vec<_>>()
    );
    let seen = |server: &&Server| {
        server.held
            && server
                .health
                .iter()
                .any(|health| health.seen + 4_000_000 > now)
    };
    let lately: Vec<ServerId> = servers
        .lately()
        .filter(seen)
        .map(|server| server.entry.server)
        .collect();
    let all = walk
        .0
        .iter()
        .copied()
        .filter(seen)
        .map(|server| server.entry.server);
    assert_eq!(lately, all.collect::<Vec<_>>());
    let held: Vec<ServerId> = walk
        .0
        .iter()
        .filter(|server| server.held)
        .map(|server| server.entry.server)
        .collect();
    if servers.long {
        assert_eq!(servers.held, held);
    } else {
        assert_eq!(held.len(), walk.0.len());
    }
    for server in &held {
        let name = message::short(*server);
        let same = |other: &&&Server| message::short(other.entry.server) == name;
        let shared = walk.0.iter().filter(same).count() > 1;
        assert!(shared || servers.named(name) == Some(*server));
        assert!(
            !servers.long || !shared || servers.named(name).is_none(),
            "a name that several have"
        );
    }
    let chosen: Vec<ServerId> = servers
        .choice(|_| 0)
        .into_iter()
        .map(|server| server.entry.server)
        .collect();
    assert!(chosen.iter().all(|server| held.contains(server)));
    let ready = held
        .iter()
        .copied()
        .filter(|id| servers.get(*id).is_some_and(Server::ready));
    assert!(servers.sums.many || chosen == ready.collect::<Vec<_>>());
    assert!(servers.sums.many || servers.sums.waits.is_empty());
}

/// Drives servers through random news of the list, outcomes and ticks, and compares with a walk after each.
fn drive(seed: u64, gateways: u32, most: u64, steps: u64) -> Servers {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut servers = Servers::new((NodeId(random.u32(..gateways)), gateways), CLASSES, true);
    let mut now = 1_000_000_000;
    for step in 0..steps {
        now += random.u64(..3_000_000);
        match random.u32(..12) {
            0 => {
                let count = random.u64(..most);
                let entries = (0..count)
                    .map(|id| entry(id, EndpointStatus::Ready, None))
                    .collect();
                servers.list(now, EndpointUpdate::Snapshot, entries, &RULES, YOUNG_FOR);
            }
            1..=3 => {
                let count = random.u64(..most.div_ceil(4));
                let one = |_| {
                    let standing = match random.u32(..4) {
                        0 => EndpointStatus::Removed,
                        1 => EndpointStatus::Draining,
                        _ => EndpointStatus::Ready,
                    };
                    let started = random.bool().then(|| now - random.u64(..60_000_000));
                    entry(random.u64(..most), standing, started)
                };
                let entries = (0..count).map(one).collect();
                servers.list(now, EndpointUpdate::Delta, entries, &RULES, YOUNG_FOR);
            }
            4 => {
                let counts = |health: &Health| {
                    health.trial.is_some()
                        || health.pool.mean().is_some()
                        || now < health.seen + 4_000_000
                };
                servers.tidy(now, YOUNG_FOR, |server| server.health.iter().any(counts));
            }
            5 => {
                servers.fade(0.5);
                servers.judge(|server| {
                    server
                        .health
                        .iter_mut()
                        .for_each(|health| health.failing /= 2.0);
                });
            }
            _ => {
                for _ in 0..10 {
                    let Some(mut server) = servers.edit(ServerId(random.u64(..most))) else {
                        continue;
                    };
                    server.open = random.u32(..2);
                    server.wait = f64::from(random.u32(..5)) * 1000.0;
                    let health = &mut server.health[random.usize(..CLASSES)];
                    health.failing = random.f64();
                    health.trial = random.bool().then_some(now);
                    health.seen = now;
                    health.pool.add((0.0, 1.0));
                }
            }
        }
        if step % 4 == 0 || steps < 200 {
            compare(&servers, now);
        }
    }
    servers
}

#[test]
fn sums_are_those_of_a_walk_over_a_list_that_is_sent_to_as_a_whole() {
    for seed in 0..20 {
        drive(seed, 30, 60, 400);
    }
}

#[test]
fn sums_are_those_of_a_walk_while_a_list_grows_and_shrinks_across_the_size_of_a_whole_one() {
    for (seed, gateways) in [(1, 3), (2, 30), (3, 300), (4, 2_700)] {
        drive(seed, gateways, 1_200, 150);
    }
}

#[test]
fn a_server_that_is_gone_is_forgotten_once_nothing_is_out_at_it() {
    let mut servers = Servers::new((NodeId(0), 3), CLASSES, true);
    let ready = (0..20)
        .map(|id| entry(id, EndpointStatus::Ready, None))
        .collect();
    servers.list(1, EndpointUpdate::Snapshot, ready, &RULES, YOUNG_FOR);
    servers.edit(ServerId(3)).expect("listed").open = 1;
    let gone = vec![
        entry(3, EndpointStatus::Removed, None),
        entry(4, EndpointStatus::Removed, None),
    ];
    servers.list(2, EndpointUpdate::Delta, gone, &RULES, YOUNG_FOR);
    servers.tidy(3, YOUNG_FOR, |_| false);
    assert!(servers.get(ServerId(3)).is_some() && servers.get(ServerId(4)).is_none());
    servers.edit(ServerId(3)).expect("something is out").open = 0;
    servers.tidy(3, YOUNG_FOR, |_| false);
    assert!(servers.get(ServerId(3)).is_none());
    assert_eq!(servers.rotation(), (18, 0));
}

#[test]
fn what_is_not_sent_to_from_here_keeps_nothing_that_was_known_of_it() {
    let mut servers = Servers::new((NodeId(0), 2_700), CLASSES, true);
    let ready = |count| {
        (0..count)
            .map(|id| entry(id, EndpointStatus::Ready, None))
            .collect()
    };
    servers.list(1, EndpointUpdate::Snapshot, ready(500), &RULES, YOUNG_FOR);
    (0..500).for_each(|id| servers.edit(ServerId(id)).expect("listed").wait = 5.0);
    servers.list(
        2,
        EndpointUpdate::Snapshot,
        ready(40_000),
        &RULES,
        YOUNG_FOR,
    );
    let known = servers
        .all
        .values()
        .filter(|server| !server.health.is_empty() || server.wait > 0.0);
    assert!(known.clone().all(|server| server.held));
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
