//! What a change, a tick and a try cost does not grow with the list, and the rules hold on a list that is not all sent to.

mod common;

use common::{entry, sends, settings, Stand, KEYED_ALL, MS, S, SAFE};
use saffronpaddle_policy::interface::*;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};
use std::collections::{BTreeMap, BTreeSet};

const MANY: u64 = 40_000;
/// Servers that a gateway of a large fleet looks at for one try or tick, however many there are.
const FEW: u64 = 512;

/// A server by a number that is spread as hashes of names are.
fn spread(number: u64) -> Endpoint {
    let server = ServerId((number + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    // It started long ago, and says so.
    Endpoint {
        server,
        started_at: Some(S),
        ..entry(number)
    }
}

fn stand(gateways: u32, servers: u64) -> Stand {
    let mut stand = Stand::new(7, settings(3 % gateways, gateways), 1_000 * S);
    stand.servers(EndpointUpdate::Snapshot, (0..servers).map(spread).collect());
    stand
}

fn at(standing: EndpointStatus, number: u64) -> Endpoint {
    Endpoint {
        status: standing,
        ..spread(number)
    }
}

/// How many servers are looked at meanwhile.
fn looked_at(stand: &mut Stand, meanwhile: impl FnOnce(&mut Stand)) -> u64 {
    let before = stand.gateway.servers_examined();
    meanwhile(stand);
    stand.gateway.servers_examined() - before
}

/// One tick with nothing to do.
fn tick(stand: &mut Stand) {
    stand.now += 500 * MS;
    stand.event(Event::TimerFired { token: 0 });
}

/// Customers of the widest plan, in turn, each with one gateway.
fn tries(stand: &mut Stand, count: u64) -> Vec<RequestId> {
    let me = stand.settings.node;
    (0..count)
        .map(|of| stand.request_of(SAFE, 1, (of % 50, me, 1), 3 * S))
        .collect()
}

/// Lets homes be: all that is asked is let go at once by a gateway that is its customers' only one.
fn end_all(stand: &mut Stand) {
    let out: Vec<RequestId> = stand.out.iter().map(|(id, _, _)| id.clone()).collect();
    out.iter().for_each(|id| _ = stand.end(id, Outcome::Ok));
}

#[test]
fn a_change_of_the_list_looks_at_the_servers_that_it_names_alone() {
    for gateways in [1, 3, 30, 300, 2_700] {
        let mut stand = stand(gateways, MANY);
        for number in 0..20 {
            let one = looked_at(&mut stand, |stand| {
                stand.servers(
                    EndpointUpdate::Delta,
                    vec![at(EndpointStatus::Draining, number)],
                );
            });
            assert!(
                one <= 4,
                "{gateways} gateways: a change looked at {one} servers"
            );
        }
        let zone = (100..4_500)
            .map(|number| at(EndpointStatus::Removed, number))
            .collect();
        let zone = looked_at(&mut stand, |stand| {
            stand.servers(EndpointUpdate::Delta, zone);
        });
        assert!(
            zone <= 2 * 4_400,
            "{gateways} gateways: 4,400 at a stroke looked at {zone}"
        );
    }
}

#[test]
fn an_idle_tick_looks_at_few_servers_however_many_there_are() {
    for gateways in [1, 3, 30, 300, 2_700] {
        let mut stand = stand(gateways, MANY);
        (0..3).for_each(|_| tick(&mut stand));
        let looked = looked_at(&mut stand, tick);
        assert!(
            looked <= 2 * FEW,
            "{gateways} gateways: a tick looked at {looked} servers"
        );
    }
}

#[test]
fn a_try_looks_at_few_servers_however_many_there_are() {
    for gateways in [1, 3, 30, 300, 2_700] {
        let mut stand = stand(gateways, MANY);
        for round in 0..30 {
            let looked = looked_at(&mut stand, |stand| {
                tries(stand, 1);
            });
            assert!(
                looked <= 3 * FEW,
                "{gateways} gateways: try {round} looked at {looked} servers"
            );
            stand.now += 50 * MS;
            let looked = looked_at(&mut stand, end_all);
            assert!(
                looked <= FEW,
                "{gateways} gateways: an answer looked at {looked} servers"
            );
        }
        assert!(sends(&stand.log) > 0);
    }
}

#[test]
fn a_long_list_costs_no_more_at_a_try_than_one_that_is_a_twentieth_as_long() {
    let cost = |servers| {
        let mut stand = stand(2_700, servers);
        let before = stand.gateway.servers_examined();
        for _ in 0..50 {
            tries(&mut stand, 1);
            stand.now += 50 * MS;
            end_all(&mut stand);
        }
        stand.gateway.servers_examined() - before
    };
    assert!(cost(40_000) <= 2 * cost(2_000));
}

#[test]
fn nothing_new_goes_to_a_server_of_a_long_list_that_was_told_to_drain() {
    for gateways in [1, 3, 300] {
        // The stand fails where anything is sent to a server that is not ready, held here or not.
        let mut stand = stand(gateways, 2_000);
        let mut reached = BTreeSet::new();
        for round in 0..40_u64 {
            tries(&mut stand, 5);
            reached.extend(stand.out.iter().map(|(_, _, server)| *server));
            let mut drained: Vec<Endpoint> = (round * 40..(round + 1) * 40)
                .map(|number| at(EndpointStatus::Draining, number))
                .collect();
            let last = stand
                .out
                .iter()
                .map(|(_, _, server)| stand.list[server])
                .collect::<Vec<_>>();
            drained.extend(last.into_iter().map(|entry| Endpoint {
                status: EndpointStatus::Draining,
                ..entry
            }));
            stand.servers(EndpointUpdate::Delta, drained);
            stand.now += 50 * MS;
            end_all(&mut stand);
            stand.pass(20 * MS);
        }
        assert!(
            reached.len() > 60,
            "{gateways} gateways reached {}",
            reached.len()
        );
    }
}

#[test]
fn a_zone_of_a_third_that_goes_at_a_stroke_is_made_up_for_in_the_same_pass() {
    let mut stand = stand(300, 6_000);
    let gone = (0..6_000)
        .filter(|number| number % 3 == 0)
        .map(|number| at(EndpointStatus::Removed, number))
        .collect();
    stand.servers(EndpointUpdate::Delta, gone);
    for _ in 0..100 {
        let ids = tries(&mut stand, 4);
        assert!(
            ids.iter()
                .all(|id| stand.out.iter().any(|(out, _, _)| out == id)),
            "a try had to wait"
        );
        stand.now += 20 * MS;
        end_all(&mut stand);
    }
    tick(&mut stand);
    let held = stand.gateway.snapshot().size().servers;
    assert!(held >= 256 * 3 / 4, "{held} servers are sent to");
}

#[test]
fn tries_spread_over_all_that_a_gateway_of_a_small_fleet_sends_to() {
    let mut stand = stand(1, 2_000);
    let mut load: BTreeMap<ServerId, u32> = BTreeMap::new();
    for round in 0..5_050 {
        tries(&mut stand, 4);
        // Until its first ticks a gateway keeps to the first that were quick.
        let counts = u32::from(round >= 50);
        stand
            .out
            .iter()
            .for_each(|(_, _, server)| *load.entry(*server).or_default() += counts);
        stand.pass(20 * MS);
        end_all(&mut stand);
    }
    // 10 at each in the mean; chance alone would bring 23 at one of all. Who looked quick at first has some more.
    assert!(load.len() > 1_950, "{} of 2,000 were sent to", load.len());
    let busy = load.values().filter(|load| **load > 23).count();
    assert!(busy <= 20, "{busy} servers were sent to more than 23 times");
    assert!(
        load.values().all(|load| *load <= 50),
        "the most is {:?}",
        load.values().max()
    );
}

#[test]
fn a_server_that_comes_back_is_sent_to_again_and_is_spared_while_it_is_cold() {
    let mut stand = stand(3, 1_000);
    tick(&mut stand);
    let left: Vec<u64> = (0..1_000).filter(|number| number % 100 != 0).collect();
    stand.servers(
        EndpointUpdate::Delta,
        left.iter()
            .map(|number| at(EndpointStatus::Removed, *number))
            .collect(),
    );
    tick(&mut stand);
    let cold = Endpoint {
        started_at: Some(stand.now),
        ..spread(1)
    };
    stand.servers(EndpointUpdate::Delta, vec![cold]);
    let mut sent = 0;
    for _ in 0..200 {
        tries(&mut stand, 3);
        sent += stand
            .out
            .iter()
            .filter(|(_, _, server)| *server == cold.server)
            .count();
        stand.now += 50 * MS;
        end_all(&mut stand);
        stand.pass(2 * MS);
    }
    assert!(
        (1..200).contains(&sent),
        "{sent} of 600 went to the cold one of eleven"
    );
}

#[test]
fn a_long_list_of_one_server_left_is_sent_to_by_every_gateway() {
    for me in [0, 7, 299] {
        let mut stand = Stand::new(1, settings(me, 300), 1_000 * S);
        stand.servers(EndpointUpdate::Snapshot, (0..3_000).map(spread).collect());
        stand.servers(EndpointUpdate::Snapshot, vec![spread(17)]);
        tries(&mut stand, 1);
        assert_eq!(stand.out.len(), 1);
    }
}

#[test]
fn a_repeat_of_a_key_finds_its_way_on_a_long_list() {
    let mut stand = stand(1, 2_000);
    let id = stand.request_of(KEYED_ALL, 1, (1, NodeId(0), 1), 3 * S);
    stand.now += 20 * MS;
    stand.end(&id, Outcome::Error);
    assert!(
        stand.out.iter().any(|(out, _, _)| *out == id),
        "it was sent again"
    );
}

/// What is handed over, by name, so that a difference says where it is.
fn fields(kept: &StateSnapshot) -> BTreeMap<String, serde_json::Value> {
    serde_json::from_value(serde_json::to_value(kept).expect("plain data"))
        .expect("fields with names")
}

#[test]
fn the_next_process_of_a_gateway_goes_on_from_what_is_sent_to_here() {
    let mut stand = stand(300, 6_000);
    tries(&mut stand, 3);
    stand.now += 20 * MS;
    end_all(&mut stand);
    let kept = stand.gateway.snapshot();
    assert!(
        kept.size().servers <= 512,
        "{} of 6,000 servers are handed over",
        kept.size().servers
    );
    let text = serde_json::to_string(&kept).expect("plain data");
    let read: StateSnapshot = serde_json::from_str(&text).expect("its own words");
    assert_eq!(fields(&kept), fields(&read), "its own words say all of it");
    assert_eq!(kept, read, "its own words say all of it");
    let mut heir = PolicyEngine::new(9, settings(3, 300), stand.now).expect("sound settings");
    heir.restore(read, 1);
    let entries = (0..6_000).map(spread).collect();
    heir.handle(
        stand.now,
        Event::EndpointsChanged {
            update: EndpointUpdate::Snapshot,
            endpoints: entries,
        },
        &mut Vec::new(),
    );
    assert_eq!(heir.endpoint_counts(), (6_000, 0));
    // What was answered since the last tick alone is not: the heir's ticks begin with it.
    let (mut before, after) = (fields(&kept), fields(&heir.snapshot()));
    let seen = before
        .get_mut("fuzzy")
        .and_then(|fuzzy| fuzzy.get_mut("seen"))
        .expect("it is kept");
    *seen = serde_json::json!(vec![(0.0, 0.0); stand.settings.classes.len()]);
    assert!(before.keys().eq(after.keys()));
    for (name, value) in &before {
        assert_eq!(Some(value), after.get(name), "{name}");
    }
}
