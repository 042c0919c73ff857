//! Failure cases in a large fleet: eight processes of the program (real nodes) and five hundred hollow nodes as one
//! fleet, with injected faults. The tests assert rules and counts, never speed.

mod fixture;
mod list;
mod second_log;

use fixture::{
    assert_rules_kept, lock, nodes_in, wait_until, FleetParameters, TestFleet, NODES, REAL_NODES,
};
use saffronpaddle_test_doubles::links::{Fault, LinkSet};
use std::future::Future;
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::timeout;

/// Only one test runs a fleet at a time.
static FLEET_LOCK: Mutex<()> = Mutex::new(());
/// A test fails if it takes longer.
const TEST_TIMEOUT: Duration = Duration::from_secs(75);

fn run_test(test: impl Future<Output = ()>) {
    let _lock = lock(&FLEET_LOCK);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    runtime.block_on(async {
        timeout(TEST_TIMEOUT, test)
            .await
            .expect("the test ends within its time limit");
    });
    // Tasks of the test doubles may still run.
    runtime.shutdown_timeout(Duration::from_secs(1));
}

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Two real nodes are suspended for 5 s, during which every third server that real nodes use drains, in up to twenty
/// steps. After they resume they have 250 ms to stop sending to these, as the other nodes have after they receive a
/// change. Guards against new attempts to a drained server after that.
#[test]
fn a_node_paused_for_5_s_honors_drains_published_meanwhile_within_250_ms_of_resuming() {
    run_test(async {
        let mut fleet = TestFleet::start("paused", FleetParameters::with_servers(2_000)).await;
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let drained: Vec<usize> = fleet.app_servers.keys().copied().step_by(3).collect();
        let drain_while_paused = async {
            let parts = drained.chunks(drained.len().div_ceil(20));
            let mut seq = 0;
            for part in parts {
                seq = fleet.list.change(part, |server| server.health = "draining");
                tokio::time::sleep(MS(250)).await;
            }
            wait_until("the running real nodes were sent all drains", || {
                fleet.list.was_sent(seq, 2..REAL_NODES)
            })
            .await;
        };
        let paused_at = fleet.world.now();
        fleet
            .while_paused(0, fleet.while_paused(1, drain_while_paused))
            .await;
        assert!(
            fleet.world.now().checked_sub(paused_at).unwrap() >= MS(5_000),
            "the nodes were paused for 5 s"
        );
        let resumed_at = fleet.world.now();
        fleet.wait_served(resumed_at, 20).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        let drains_received = result.0.drains;
        assert_eq!(
            drains_received,
            (drained.len() * REAL_NODES) as u64,
            "each real node received each drain"
        );
    });
}

/// The 4,400 servers of a zone are killed within 200 ms while the list is updated. They restart cold, first a
/// hundred and then the rest. Each has one core, so about eight requests within its first second overload it.
#[test]
fn the_rules_hold_when_a_zone_of_4400_servers_is_lost_within_200_ms_and_restarts_cold() {
    run_test(async {
        let sizes = FleetParameters {
            z0_servers: 4_400,
            list_lengths: vec![8_800, 4_400],
            cores: 1,
            ..FleetParameters::with_servers(8_800)
        };
        let mut fleet = TestFleet::start("zone", sizes).await;
        let zone: Vec<usize> = fleet.parameters.servers_in_z0().collect();
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        fleet.change_hollow_faults(|faults| faults.silent_servers = TestFleet::server_names(&zone));
        let (mut seq, started) = (0, fleet.world.now());
        for (step, part) in zone.chunks(400).enumerate() {
            tokio::time::sleep((started + MS(18) * step as u32).saturating_sub(fleet.world.now()))
                .await;
            fleet.kill_servers(part);
            seq = fleet.list.change(part, |server| server.health = "gone");
        }
        fleet.wait_applied(seq).await;
        fleet.wait_served(fleet.world.now(), 40).await;
        fleet.change_hollow_faults(|faults| faults.silent_servers.clear());
        fleet.start_cold(&zone[..100]);
        tokio::time::sleep(MS(1_500)).await;
        let seq = fleet.start_cold(&zone[100..]);
        fleet.wait_applied(seq).await;
        fleet.wait_served(fleet.world.now(), 40).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        assert!(
            result.0.cold_load_max > 0.0,
            "cold servers received attempts: {:?}",
            result.0
        );
        assert!(result.0.served * 2 > result.0.requests, "{:?}", result.0);
    });
}

/// A fifth of the datagrams between nodes is lost during the entire test. A lost request for quota is repeated under
/// its number, so that it is not granted twice; cold servers are not overloaded; and drains do not depend on
/// datagrams.
#[test]
fn no_ceiling_is_exceeded_when_a_fifth_of_the_datagrams_is_lost() {
    run_test(async {
        let mut fleet = TestFleet::start(
            "lossy",
            FleetParameters {
                cores: 1,
                ceiling: (0.5, 0.5),
                ..FleetParameters::with_servers(2_000)
            },
        )
        .await;
        let (real, all) = (
            TestFleet::link_ends(0..REAL_NODES as u32),
            TestFleet::link_ends(0..NODES as u32),
        );
        fleet.add_link_fault(
            LinkSet::BothWays(real, all),
            Fault {
                loss: 0.2,
                ..Fault::default()
            },
        );
        fleet.change_hollow_faults(|faults| faults.loss = 0.2);
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let servers: Vec<usize> = (0..200).collect();
        let seq = fleet
            .list
            .change(&servers, |server| server.health = "draining");
        fleet.wait_applied(seq).await;
        tokio::time::sleep(MS(300)).await;
        fleet.kill_servers(&servers[..100]);
        let seq = fleet
            .list
            .change(&servers[..100], |server| server.health = "gone");
        fleet.wait_applied(seq).await;
        fleet
            .list
            .change(&servers[100..], |server| server.health = "ready");
        let seq = fleet.start_cold(&servers[..100]);
        fleet.wait_applied(seq).await;
        fleet.wait_served(fleet.world.now(), 40).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        assert!(
            result.1.dropped_datagrams > 1_000,
            "datagrams were lost: {:?}",
            result.1
        );
        assert!(result.0.served * 2 > result.0.requests, "{:?}", result.0);
    });
}

/// A region of two zones, one of four regions, is partitioned from the others during the entire test. Each node that
/// enforces a ceiling has its own share, so both sides together do not exceed it, and both serve requests.
#[test]
fn a_partitioned_region_and_the_rest_together_exceed_no_ceiling() {
    run_test(async {
        let mut fleet = TestFleet::start(
            "region",
            FleetParameters {
                fenced: true,
                ceiling: (0.5, 0.5),
                ..FleetParameters::with_servers(2_000)
            },
        )
        .await;
        let region = nodes_in(&["z0", "z1"]);
        let others = (0..NODES as u32).filter(|node| !region.contains(node));
        let sides = vec![
            TestFleet::link_ends(region.iter().copied()),
            TestFleet::link_ends(others),
        ];
        fleet.add_link_fault(
            LinkSet::Partition(sides),
            Fault {
                loss: 1.0,
                ..Fault::default()
            },
        );
        fleet.change_hollow_faults(|faults| faults.isolated = region.clone());
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let drained: Vec<usize> = (0..200).collect();
        let seq = fleet
            .list
            .change(&drained, |server| server.health = "draining");
        fleet.wait_applied(seq).await;
        let inside = |node: usize| region.contains(&(node as u32));
        let drained_at = fleet.world.now();
        wait_until("both sides serve requests", || {
            fleet.requests_since(drained_at, inside).1 > 100
                && fleet.requests_since(drained_at, |node| !inside(node)).1 > 100
        })
        .await;
        // A tenant that is limited by its quota has used up its burst after about 4 s.
        fleet.wait_requests(12_000).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        assert!(result.1.dropped_datagrams > 0, "{:?}", result.1);
    });
}

/// One tenant sends 2,200 requests/s through all nodes, a hundredth of the 220,000 requests/s of the design size.
/// That is far more than the nodes that hold its quota can be asked about with 60 datagrams/s each. It must be
/// limited to its ceiling, and the other tenants must be served.
#[test]
fn a_tenant_with_1_percent_of_the_traffic_exceeds_no_ceiling_and_other_tenants_are_served() {
    run_test(async {
        let hot = FleetParameters {
            tenants: (50, 2.5),
            node_rate: 6.0,
            ceiling: (1.25, 0.25),
            ..FleetParameters::with_servers(2_000)
        };
        let mut fleet = TestFleet::start("hot", hot).await;
        let demand = fleet.tenants.demand(0);
        assert!(
            (2_200.0..2_400.0).contains(&demand),
            "the tenant sends {demand} requests/s"
        );
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let drained: Vec<usize> = (0..200).collect();
        let seq = fleet
            .list
            .change(&drained, |server| server.health = "draining");
        fleet.wait_applied(seq).await;
        fleet.wait_served(fleet.world.now(), 40).await;
        // Its ceiling is a quarter of its quota: 819 units/s with a burst of 3,277. Without a limit it would exceed
        // that after about 6 s.
        fleet.wait_requests(22_000).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        let ((requests, served), (other_requests, others_served)) =
            (result.1.largest, result.1.others);
        assert!(
            served > 0 && served < requests,
            "the tenant is limited: {:?}",
            result.1
        );
        assert!(
            others_served * 2 > other_requests,
            "the other tenants are served: {:?}",
            result.1
        );
    });
}

/// Three hundred hollow nodes and two real ones are killed at once, lose their state, and start again while the list
/// changes.
#[test]
fn the_rules_hold_when_300_nodes_restart_at_once_while_servers_drain() {
    run_test(async {
        let mut fleet = TestFleet::start(
            "restart",
            FleetParameters {
                ceiling: (0.5, 0.5),
                ..FleetParameters::with_servers(2_000)
            },
        )
        .await;
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let servers: Vec<usize> = (0..400).collect();
        let mut parts = servers.chunks(40);
        let mut drain_next = |list: &list::ListService| {
            parts.next().map_or(0, |part| {
                list.change(part, |server| server.health = "draining")
            })
        };
        drain_next(&fleet.list);
        drain_next(&fleet.list);
        fleet.kill_and_restart(0);
        fleet.kill_and_restart(1);
        fleet.restart_hollow(0.6);
        let mut seq = 0;
        for _ in 0..8 {
            seq = drain_next(&fleet.list);
            tokio::time::sleep(MS(100)).await;
        }
        fleet.wait_all_listed(seq).await;
        fleet.wait_served(fleet.world.now(), 40).await;
        // Wrong grants by restarted nodes show once the tenants have used up their bursts, after about 4 s.
        fleet.wait_requests(12_000).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        assert!(result.0.served * 2 > result.0.requests, "{:?}", result.0);
    });
}

/// From one moment on, forty neighboring servers accept requests but never answer or close a connection, while the
/// list still shows them as ready. No answer may be late or lost because of that, and an attempt that may have been
/// executed must not be repeated on another server.
#[test]
fn each_request_gets_one_answer_in_time_when_a_rack_of_40_servers_stops_answering() {
    run_test(async {
        let mut fleet = TestFleet::start("rack", FleetParameters::with_servers(2_000)).await;
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let rack: Vec<usize> = (960..1_000).collect();
        fleet.change_hollow_faults(|faults| faults.silent_servers = TestFleet::server_names(&rack));
        let app_servers = rack.iter().filter_map(|at| fleet.app_servers.get(at));
        app_servers.for_each(|server| server.set_behavior(|behavior| behavior.silent = true));
        let drained: Vec<usize> = (0..200).collect();
        let seq = fleet
            .list
            .change(&drained, |server| server.health = "draining");
        fleet.wait_applied(seq).await;
        fleet.wait_served(fleet.world.now(), 60).await;
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        assert!(result.0.served * 2 > result.0.requests, "{:?}", result.0);
    });
}

/// A full list wrongly lacks nine of ten servers. Nodes distrust an empty list but not a short one: they must send
/// no new attempts to the missing servers 250 ms later, go on using the remaining ones, and use all again after the
/// correct list.
#[test]
fn a_list_that_wrongly_shrinks_to_a_tenth_is_applied_and_the_remaining_servers_serve() {
    run_test(async {
        let sizes = FleetParameters {
            list_lengths: vec![8_000, 800],
            ..FleetParameters::with_servers(8_000)
        };
        let mut fleet = TestFleet::start("tenth", sizes).await;
        fleet.start_clients();
        fleet.wait_served(Duration::ZERO, 40).await;
        let seq = fleet.list.truncate(Some(800));
        fleet.wait_applied(seq).await;
        fleet.wait_served(fleet.world.now(), 60).await;
        let seq = fleet.list.truncate(None);
        fleet.wait_applied(seq).await;
        let restored_at = fleet.world.now();
        let requests_before: Vec<usize> = fleet
            .app_servers
            .range(800..)
            .map(|(_, server)| server.handshakes_and_requests().1)
            .collect();
        fleet.wait_served(restored_at, 60).await;
        let requests_after = fleet
            .app_servers
            .range(800..)
            .map(|(_, server)| server.handshakes_and_requests().1);
        let used_again = requests_before
            .iter()
            .zip(requests_after)
            .filter(|(before, after)| after > before)
            .count();
        assert!(used_again > 0, "servers that were left out are used again");
        let result = fleet.finish().await;
        assert_rules_kept(&result);
        assert!(
            result.0.drains > 0,
            "real nodes received that the missing servers are not ready: {:?}",
            result.0
        );
        assert!(result.0.served * 2 > result.0.requests, "{:?}", result.0);
    });
}

/// The program has one list of servers and no services. Fleets with a list of one server and with one of 2,000 both
/// serve.
#[test]
fn a_list_of_one_server_and_one_of_2000_both_serve() {
    run_test(async {
        for (servers, cores) in [(1, 400), (2_000, 4)] {
            let size = FleetParameters {
                cores,
                node_rate: 1.5,
                ..FleetParameters::with_servers(servers)
            };
            let mut fleet = TestFleet::start(&format!("one-{servers}"), size).await;
            fleet.start_clients();
            fleet.wait_served(Duration::ZERO, 60).await;
            // Half of the servers drain; of a single server none.
            let drained: Vec<usize> = (0..servers / 2).collect();
            let seq = fleet
                .list
                .change(&drained, |server| server.health = "draining");
            fleet.wait_applied(seq).await;
            fleet.wait_served(fleet.world.now(), 20).await;
            let result = fleet.finish().await;
            assert_rules_kept(&result);
            assert!(
                result.0.served * 2 > result.0.requests,
                "{servers}: {:?}",
                result.0
            );
        }
    });
}
