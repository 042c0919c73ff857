//! Runs of fleets in virtual time with fixed seeds, whose reports are kept as fixtures. A change that is not
//! meant to change the nodes' decisions must leave every figure as it is, to the last digit.

use saffronpaddle_fleet_harness::{virtually, Scenario};

const CALM: &str = include_str!("../scenarios/calm.toml");
const HALVES: &str = include_str!("../scenarios/halves.toml");
const COLD: &str = include_str!("../scenarios/cold-thirty.toml");
const PARTITION_SAFE: &str =
    "[quotas]\nfenced = true\nspare_words = true\n[servers]\nworking_set = true\n";

fn report(text: &str, seed: u64, operator: &str) -> String {
    let scenario = Scenario::parse(text, seed).expect("the scenario is valid");
    let report = virtually::play(scenario, seed, operator).expect("the scenario can be played");
    format!("{:#}\n", report.json())
}

/// Asserts that a report equals its fixture. On a difference, writes the report to a file and names the first line that
/// differs, as both texts are long.
fn assert_same(name: &str, actual: &str, fixture: &str) {
    if actual == fixture {
        return;
    }
    let path = std::env::temp_dir().join(format!("saffronpaddle-{name}.json"));
    std::fs::write(&path, actual).expect("the report is written");
    let line = actual
        .lines()
        .zip(fixture.lines())
        .position(|(actual, expected)| actual != expected);
    panic!(
        "the report {name} differs from its fixture first at line {line:?}, counted from 0; the actual report is in {}",
        path.display()
    );
}

#[test]
fn the_report_of_a_fleet_without_faults_equals_its_fixture() {
    assert_same(
        "calm",
        &report(CALM, 5, ""),
        include_str!("fixtures/calm.json"),
    );
}

#[test]
fn the_report_of_a_partitioned_fleet_equals_its_fixture() {
    assert_same(
        "halves",
        &report(HALVES, 6, ""),
        include_str!("fixtures/halves.json"),
    );
}

#[test]
fn the_report_of_a_partitioned_fleet_in_partition_safe_mode_equals_its_fixture() {
    assert_same(
        "halves-fenced",
        &report(HALVES, 7, PARTITION_SAFE),
        include_str!("fixtures/halves-fenced.json"),
    );
}

#[test]
fn the_report_of_a_cold_start_equals_its_fixture() {
    assert_same(
        "cold-thirty",
        &report(COLD, 8, ""),
        include_str!("fixtures/cold-thirty.json"),
    );
}
