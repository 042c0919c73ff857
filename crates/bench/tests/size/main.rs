//! The hard cases of the size that the design goes by, each a test by name: eight processes of the program and five hundred hollow
//! nodes as one fleet, with faults between them. What is asserted are rules and counts, never speed.

mod fixture;
mod list;

use fixture::{kept, lock, nodes_in, until, Fixture, Rig, NODES, REAL};
use saffronpaddle_test_doubles::links::{Fault, LinkSet};
use std::future::Future;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::timeout;

/// One fleet at a time.
static TURN: Mutex<()> = Mutex::new(());
/// No test takes longer, whatever befalls it.
const MOST: Duration = Duration::from_secs(75);

fn played(test: impl Future<Output = ()>) {
    let _turn = lock(&TURN);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    runtime.block_on(async { timeout(MOST, test).await.expect("its time is over") });
    // What the stand-ins still do is nobody's concern any more.
    runtime.shutdown_timeout(Duration::from_secs(1));
}

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Two nodes of the program stand still for 5 s, in which a server after the other that they hold drains. Once they go on they
/// have 250 ms, as all others had from when they were told; and 250 ms after the last word nothing new is under way to these.
#[test]
fn a_change_told_while_a_node_stands_still_for_5_s_is_kept_from_when_it_goes_on() {
    played(async {
        let mut rig = Rig::begin("still", Fixture::of(2_000)).await;
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let drained: Vec<usize> = rig.stands.keys().copied().step_by(3).collect();
        let stand = async {
            let parts = drained.chunks(drained.len().div_ceil(20));
            let mut seq = 0;
            for part in parts {
                seq = rig.list.change(part, |server| server.health = "draining");
                tokio::time::sleep(MS(250)).await;
            }
            until("all that run are told", || rig.list.reached(seq, 2..REAL)).await;
        };
        let begun = rig.world.now();
        rig.still(0, rig.still(1, stand)).await;
        assert!(
            rig.world.now().checked_sub(begun).unwrap() >= MS(5_000),
            "they stood still for 5 s"
        );
        let awake = rig.world.now();
        rig.serves(awake, 20).await;
        let judged = rig.judge().await;
        kept(&judged);
        let told = judged.0.drains;
        assert_eq!(
            told,
            (drained.len() * REAL) as u64,
            "each node was told each drain"
        );
    });
}

/// A zone's 4,400 servers die within 200 ms, and the list says so meanwhile; they come back cold, a first hundred and then the rest.
/// With one core each, a server falls when it gets some eight requests within its first second.
#[test]
fn a_zone_of_4400_servers_goes_within_200_ms_and_comes_back_cold() {
    played(async {
        let sizes = Fixture {
            zone: 4_400,
            lengths: vec![8_800, 4_400],
            cores: 1,
            ..Fixture::of(8_800)
        };
        let mut rig = Rig::begin("zone", sizes).await;
        let zone: Vec<usize> = rig.fixture.of_zone().collect();
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        rig.befall(|faults| faults.silent = Rig::names(&zone));
        let (mut seq, begun) = (0, rig.world.now());
        for (step, part) in zone.chunks(400).enumerate() {
            tokio::time::sleep((begun + MS(18) * step as u32).saturating_sub(rig.world.now()))
                .await;
            rig.die(part);
            seq = rig.list.change(part, |server| server.health = "gone");
        }
        rig.acted(seq).await;
        rig.serves(rig.world.now(), 40).await;
        rig.befall(|faults| faults.silent.clear());
        rig.start_cold(&zone[..100]);
        tokio::time::sleep(MS(1_500)).await;
        let seq = rig.start_cold(&zone[100..]);
        rig.acted(seq).await;
        rig.serves(rig.world.now(), 40).await;
        let judged = rig.judge().await;
        kept(&judged);
        assert!(
            judged.0.cold_load_max > 0.0,
            "cold servers were sent to: {:?}",
            judged.0
        );
        assert!(judged.0.served * 2 > judged.0.requests, "{:?}", judged.0);
    });
}

/// Each fifth word between nodes is lost, from before the first try on. An ask that is lost is put again under its number, so none
/// grants twice; a server that starts cold meanwhile is spared, and drains need no word.
#[test]
fn a_fifth_of_the_words_is_lost_and_no_ceiling_is_passed() {
    played(async {
        let mut rig = Rig::begin(
            "lossy",
            Fixture {
                cores: 1,
                ceiling: (0.5, 0.5),
                ..Fixture::of(2_000)
            },
        )
        .await;
        let (real, all) = (Rig::ends(0..REAL as u32), Rig::ends(0..NODES as u32));
        rig.lay(
            LinkSet::BothWays(real, all),
            Fault {
                loss: 0.2,
                ..Fault::default()
            },
        );
        rig.befall(|faults| faults.loss = 0.2);
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let servers: Vec<usize> = (0..200).collect();
        let seq = rig
            .list
            .change(&servers, |server| server.health = "draining");
        rig.acted(seq).await;
        tokio::time::sleep(MS(300)).await;
        rig.die(&servers[..100]);
        let seq = rig
            .list
            .change(&servers[..100], |server| server.health = "gone");
        rig.acted(seq).await;
        rig.list
            .change(&servers[100..], |server| server.health = "ready");
        let seq = rig.start_cold(&servers[..100]);
        rig.acted(seq).await;
        rig.serves(rig.world.now(), 40).await;
        let judged = rig.judge().await;
        kept(&judged);
        assert!(judged.1.unheard > 1_000, "words were lost: {:?}", judged.1);
        assert!(judged.0.served * 2 > judged.0.requests, "{:?}", judged.0);
    });
}

/// One of the four regions, two zones, hears nothing of the others and they nothing of it, from before the first try to the last. Each keeper
/// of a ceiling holds a part of its own, so that both sides together pass none, though each serves.
#[test]
fn a_region_that_hears_nothing_of_the_others_passes_no_ceiling_with_them() {
    played(async {
        let mut rig = Rig::begin(
            "region",
            Fixture {
                fenced: true,
                ceiling: (0.5, 0.5),
                ..Fixture::of(2_000)
            },
        )
        .await;
        let region = nodes_in(&["z0", "z1"]);
        let others = (0..NODES as u32).filter(|node| !region.contains(node));
        let sides = vec![Rig::ends(region.iter().copied()), Rig::ends(others)];
        rig.lay(
            LinkSet::Partition(sides),
            Fault {
                loss: 1.0,
                ..Fault::default()
            },
        );
        rig.befall(|faults| faults.apart = region.clone());
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let drained: Vec<usize> = (0..200).collect();
        let seq = rig
            .list
            .change(&drained, |server| server.health = "draining");
        rig.acted(seq).await;
        let inside = |node: usize| region.contains(&(node as u32));
        let told = rig.world.now();
        until("both sides serve", || {
            rig.since(told, inside).1 > 100 && rig.since(told, |node| !inside(node)).1 > 100
        })
        .await;
        // A tenant that is pressed has used up what it has at once after some 4 s.
        rig.offered(12_000).await;
        let judged = rig.judge().await;
        kept(&judged);
        assert!(judged.1.unheard > 0, "{:?}", judged.1);
    });
}

/// One tenant has 2,200 tries a second, a hundredth of the 220,000 that the design goes by, through all nodes: far more than its homes
/// may hear of, with 60 words a second each. It is held back there, passes no ceiling, and the others are served.
#[test]
fn a_hot_tenant_of_a_hundredth_of_all_traffic_passes_no_ceiling_and_starves_nobody() {
    played(async {
        let hot = Fixture {
            tenants: (50, 2.5),
            tries: 6.0,
            ceiling: (1.25, 0.25),
            ..Fixture::of(2_000)
        };
        let mut rig = Rig::begin("hot", hot).await;
        let demand = rig.tenants.demand(0);
        assert!(
            (2_200.0..2_400.0).contains(&demand),
            "{demand} tries a second"
        );
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let drained: Vec<usize> = (0..200).collect();
        let seq = rig
            .list
            .change(&drained, |server| server.health = "draining");
        rig.acted(seq).await;
        rig.serves(rig.world.now(), 40).await;
        // Its ceiling is a quarter of its quota, 819 a second and 3,277 at once. All that it asks for would pass that after some 6 s.
        rig.offered(22_000).await;
        let judged = rig.judge().await;
        kept(&judged);
        let ((tries, served), (others, of_others)) = (judged.1.largest, judged.1.others);
        assert!(
            served > 0 && served < tries,
            "it is held back: {:?}",
            judged.1
        );
        assert!(of_others * 2 > others, "and starves nobody: {:?}", judged.1);
    });
}

/// Three hundred hollow nodes and two of the program end at once, with all that they hold, and start anew while the list changes.
#[test]
fn three_hundred_nodes_restart_at_once_while_servers_change() {
    played(async {
        let mut rig = Rig::begin(
            "restart",
            Fixture {
                ceiling: (0.5, 0.5),
                ..Fixture::of(2_000)
            },
        )
        .await;
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let servers: Vec<usize> = (0..400).collect();
        let mut changes = servers.chunks(40);
        let mut change = |list: &list::Service| {
            changes.next().map_or(0, |part| {
                list.change(part, |server| server.health = "draining")
            })
        };
        change(&rig.list);
        change(&rig.list);
        rig.kill(0);
        rig.kill(1);
        rig.renew(0.6);
        let mut seq = 0;
        for _ in 0..8 {
            seq = change(&rig.list);
            tokio::time::sleep(MS(100)).await;
        }
        rig.all_listed(seq).await;
        rig.serves(rig.world.now(), 40).await;
        // What homes that begin anew grant shows when tenants have used up what they had at once: after some 4 s.
        rig.offered(12_000).await;
        let judged = rig.judge().await;
        kept(&judged);
        assert!(judged.0.served * 2 > judged.0.requests, "{:?}", judged.0);
    });
}

/// Forty servers beside one another take requests from one moment on, answer none and close nothing; the list never says so. No
/// answer is late or lost for that, and what may have run is not sent elsewhere.
#[test]
fn a_rack_of_40_dies_silently_and_each_try_has_its_one_answer_in_time() {
    played(async {
        let mut rig = Rig::begin("rack", Fixture::of(2_000)).await;
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let rack: Vec<usize> = (960..1_000).collect();
        rig.befall(|faults| faults.silent = Rig::names(&rack));
        let stands = rack.iter().filter_map(|at| rig.stands.get(at));
        stands.for_each(|server| server.set_behavior(|temper| temper.silent = true));
        let drained: Vec<usize> = (0..200).collect();
        let seq = rig
            .list
            .change(&drained, |server| server.health = "draining");
        rig.acted(seq).await;
        rig.serves(rig.world.now(), 60).await;
        let judged = rig.judge().await;
        kept(&judged);
        assert!(judged.0.served * 2 > judged.0.requests, "{:?}", judged.0);
    });
}

/// A whole list comes that lacks nine servers of ten, by mistake. An empty list is doubted; a short one is believed: what it lacks is sent
/// nothing new 250 ms later, what is left goes on serving, and with the right list all are sent to again.
#[test]
fn a_list_that_shrinks_to_a_tenth_by_mistake_is_believed_and_the_rest_serves() {
    played(async {
        let sizes = Fixture {
            lengths: vec![8_000, 800],
            ..Fixture::of(8_000)
        };
        let mut rig = Rig::begin("tenth", sizes).await;
        rig.load();
        rig.serves(Duration::ZERO, 40).await;
        let seq = rig.list.cut(Some(800));
        rig.acted(seq).await;
        rig.serves(rig.world.now(), 60).await;
        let seq = rig.list.cut(None);
        rig.acted(seq).await;
        let back = rig.world.now();
        let before: Vec<usize> = rig
            .stands
            .range(800..)
            .map(|(_, server)| server.handshakes_and_requests().1)
            .collect();
        rig.serves(back, 60).await;
        let after = rig
            .stands
            .range(800..)
            .map(|(_, server)| server.handshakes_and_requests().1);
        let again = before
            .iter()
            .zip(after)
            .filter(|(before, after)| after > before)
            .count();
        assert!(again > 0, "those that were left out are sent to again");
        let judged = rig.judge().await;
        kept(&judged);
        assert!(
            judged.0.drains > 0,
            "what was left out was told: {:?}",
            judged.0
        );
        assert!(judged.0.served * 2 > judged.0.requests, "{:?}", judged.0);
    });
}

/// The program has one list and no services. A list of one server and one of 2,000 both serve.
#[test]
fn a_list_of_one_server_and_one_of_2000_both_serve() {
    played(async {
        for (servers, cores) in [(1, 400), (2_000, 4)] {
            let size = Fixture {
                cores,
                tries: 1.5,
                ..Fixture::of(servers)
            };
            let mut rig = Rig::begin(&format!("one-{servers}"), size).await;
            rig.load();
            rig.serves(Duration::ZERO, 60).await;
            // Half of them drain, of one none.
            let drained: Vec<usize> = (0..servers / 2).collect();
            let seq = rig
                .list
                .change(&drained, |server| server.health = "draining");
            rig.acted(seq).await;
            rig.serves(rig.world.now(), 20).await;
            let judged = rig.judge().await;
            kept(&judged);
            assert!(
                judged.0.served * 2 > judged.0.requests,
                "{servers}: {:?}",
                judged.0
            );
        }
    });
}
