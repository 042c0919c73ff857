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

/// Compares the complete text and prints only the line of the first difference.
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
        "{name} differs from its fixture at line {line:?}; the actual report is in {}",
        path.display()
    );
}

#[test]
fn a_calm_fleet_reports_what_it_did_before() {
    assert_same(
        "calm",
        &report(CALM, 5, ""),
        include_str!("fixtures/calm.json"),
    );
}

#[test]
fn a_fleet_in_two_halves_reports_what_it_did_before() {
    assert_same(
        "halves",
        &report(HALVES, 6, ""),
        include_str!("fixtures/halves.json"),
    );
}

#[test]
fn a_partition_safe_fleet_in_two_halves_reports_what_it_did_before() {
    assert_same(
        "halves-fenced",
        &report(HALVES, 7, PARTITION_SAFE),
        include_str!("fixtures/halves-fenced.json"),
    );
}

#[test]
fn a_cold_start_reports_what_it_did_before() {
    assert_same(
        "cold-thirty",
        &report(COLD, 8, ""),
        include_str!("fixtures/cold-thirty.json"),
    );
}
