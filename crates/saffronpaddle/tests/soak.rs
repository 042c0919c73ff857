//! Runs fleets of real processes with random faults that overlap, and checks the rules against what clients, servers
//! and discovery observed. The seeds are fixed; `saffronpaddle fleet soak` runs others, with larger fleets and for
//! longer.

mod common;

use common::{soak_options, FleetPermit};
use saffronpaddle_fleet_harness::soak::{self, Plan, Size};
use saffronpaddle_fleet_harness::Scenario;

/// A seed whose plan has many terminations with further signals.
const SEED_WITH_SIGNALS: u64 = 29;
/// A seed whose plan has idle clients that use up the connections of an instance that is terminated, and a list that
/// flaps.
const SEED_WITH_IDLE_CLIENTS: u64 = 9;

/// Plays the plan that a seed draws.
fn assert_rules_hold(seed: u64) {
    assert_rules_hold_in(&Plan::draw(seed, Size::SHORT).text(), seed);
}

/// Plays a plan.
fn assert_rules_hold_in(plan: &str, seed: u64) {
    let options = soak_options(seed);
    let scenario = Scenario::parse(plan, seed).expect("the plan is valid");
    let _permit = FleetPermit::acquire();
    let report =
        saffronpaddle_fleet_harness::run(scenario, &options, true).expect("the fleet runs");
    let timeline = soak::timeline(&report, &options.folder);
    // A failed run keeps its logs for the search for the cause.
    if report.passed() {
        std::fs::remove_dir_all(&options.folder).expect("its folder is removed");
    }
    assert!(
        report.passed(),
        "seed {seed}, logs in {}\n{report}\n{timeline}",
        options.folder.display()
    );
    assert!(report.verdict.served > 0, "{report}");
}

#[test]
fn a_fleet_keeps_the_rules_while_processes_are_terminated_and_servers_hang() {
    assert_rules_hold_in(
        include_str!("fixtures/soak-terminations-and-hung-servers.toml"),
        1,
    );
}

#[test]
fn a_fleet_keeps_the_rules_while_clients_disconnect_and_wait_long() {
    assert_rules_hold_in(
        include_str!("fixtures/soak-disconnections-and-long-waits.toml"),
        3,
    );
}

/// Guards against requests that are lost where clients use their open connections until the platform kills a process
/// that got several signals.
#[test]
fn a_fleet_keeps_the_rules_while_clients_use_open_connections_until_the_kill() {
    assert_rules_hold(SEED_WITH_SIGNALS);
}

/// Guards against requests that are lost, or wait too long, where idle clients take all connections of a process that
/// is terminated, and the list flaps.
#[test]
fn a_fleet_keeps_the_rules_while_idle_clients_hold_connections_and_the_list_flaps() {
    assert_rules_hold(SEED_WITH_IDLE_CLIENTS);
}

/// A seed that fails can only be run again if its plan is the same each time and is a valid scenario.
#[test]
fn a_seed_always_draws_the_same_plan_and_the_plan_is_a_valid_scenario() {
    for seed in 0..200 {
        for size in [Size::SHORT, Size::LONG] {
            let plan = Plan::draw(seed, size);
            assert_eq!(plan, Plan::draw(seed, size));
            let scenario = saffronpaddle_fleet_harness::Scenario::parse(&plan.text(), seed);
            assert!(scenario.is_ok(), "seed {seed}: {scenario:?}");
        }
    }
}
