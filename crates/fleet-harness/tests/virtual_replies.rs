//! Fixed seeds of whole fleets in virtual time: the report of each is kept as a fixture. A change that is not meant to
//! change what nodes decide must leave every figure as it is, to the last digit.

use saffronpaddle_fleet_harness::{virtually, Scenario};

const CALM: &str = include_str!("../scenarios/calm.toml");
const HALVES: &str = include_str!("../scenarios/halves.toml");
const COLD: &str = include_str!("../scenarios/cold-thirty.toml");
const FENCED: &str = "[quotas]\nfenced = true\nspare_words = true\n[servers]\nworking_set = true\n";

fn report(text: &str, seed: u64, operator: &str) -> String {
    let scenario = Scenario::parse(text, seed).expect("a good scenario");
    let report = virtually::play(scenario, seed, operator).expect("it is played");
    format!("{:#}\n", report.json())
}

/// The whole text is compared; only where it differs is printed.
fn same(name: &str, now: &str, fixture: &str) {
    if now == fixture {
        return;
    }
    let path = std::env::temp_dir().join(format!("saffronpaddle-{name}.json"));
    std::fs::write(&path, now).expect("written");
    let line = now
        .lines()
        .zip(fixture.lines())
        .position(|(now, then)| now != then);
    panic!(
        "{name} differs from its fixture at line {line:?}; what came is in {}",
        path.display()
    );
}

#[test]
fn a_calm_fleet_reports_what_it_did_before() {
    same(
        "calm",
        &report(CALM, 5, ""),
        include_str!("fixtures/calm.json"),
    );
}

#[test]
fn a_fleet_in_two_halves_reports_what_it_did_before() {
    same(
        "halves",
        &report(HALVES, 6, ""),
        include_str!("fixtures/halves.json"),
    );
}

#[test]
fn a_fenced_fleet_in_two_halves_reports_what_it_did_before() {
    same(
        "halves-fenced",
        &report(HALVES, 7, FENCED),
        include_str!("fixtures/halves-fenced.json"),
    );
}

#[test]
fn a_cold_start_reports_what_it_did_before() {
    same(
        "cold-thirty",
        &report(COLD, 8, ""),
        include_str!("fixtures/cold-thirty.json"),
    );
}
