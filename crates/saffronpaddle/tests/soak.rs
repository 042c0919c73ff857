//! Random faults that overlap in time on fleets of real processes, judged by what clients, servers and discovery saw. The
//! seeds are fixed; `saffronpaddle fleet soak` plays others, larger and longer.

mod common;

use common::{soak_options, Place};
use saffronpaddle_fleet_harness::soak::{self, Plan, Size};

fn keeps_the_rules(seed: u64) {
    let options = soak_options(seed);
    let _place = Place::taken();
    let report = soak::play(&Plan::draw(seed, Size::SHORT), &options).expect("it is played");
    let told = soak::timeline(&report, &options.folder);
    // Who looks for the cause of a failure finds the logs there.
    if report.good() {
        std::fs::remove_dir_all(&options.folder).expect("its folder goes");
    }
    assert!(
        report.good(),
        "seed {seed}, logs in {}\n{report}\n{told}",
        options.folder.display()
    );
    assert!(report.verdict.served > 0, "{report}");
}

#[test]
fn a_fleet_keeps_the_rules_while_processes_are_terminated_and_servers_hang() {
    keeps_the_rules(1);
}

#[test]
fn a_fleet_keeps_the_rules_where_clients_leave_and_wait_for_long() {
    keeps_the_rules(3);
}

/// The same seed draws the same plan, and each plan is a scenario.
#[test]
fn plans_are_drawn_alike_and_can_be_played() {
    for seed in 0..200 {
        for size in [Size::SHORT, Size::LONG] {
            let plan = Plan::draw(seed, size);
            assert_eq!(plan, Plan::draw(seed, size));
            let scenario = saffronpaddle_fleet_harness::Scenario::parse(&plan.text(), seed);
            assert!(scenario.is_ok(), "seed {seed}: {scenario:?}");
        }
    }
}
