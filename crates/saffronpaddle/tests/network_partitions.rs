//! Fleets with network partitions: several processes of the program, and faults on the links between them. The tests
//! assert rules and units, never speed.
//!
//! With `[quotas] fenced` all owners of a quota together never grant more than the quota, whichever nodes can reach
//! each other. Without it, two owners on different sides of a partition each grant the full quota, which a
//! test also shows.

mod common;

use common::run_scenario_with_operator;
use saffronpaddle_fleet_harness::Report;

/// Operator file that enables fencing of quota owners.
const FENCED_QUOTAS: &str = "[quotas]\nfenced = true\n";
/// Units that standby owners may grant at first: those of one attempt for each of the 24 customers.
const STANDBY_UNITS: f64 = 24.0;

/// Returns a scenario of 24 nodes in which each customer sends 1.5 times its quota, spread over all nodes. The steps in
/// `more` add a fault; steps with a time start it at 3 s.
fn over_quota_scenario(name: &str, more: &str) -> String {
    format!(
        "name = \"{name}\"\ninstances = 24\nservers = 6\ncustomers = 24\nrate = 180\ntimes_quota = 1.5\n\
         spread_least = 24\nspread_most = 24\nduration_ms = 12000\n\
         [[side]]\nname = \"west\"\nhas = \"n0-n11\"\n[[side]]\nname = \"east\"\nhas = \"n12-n23\"\n{more}"
    )
}

/// Asserts that no rule is violated, and that the units granted beyond quotas stay within the derived bound.
fn assert_quotas_hold(report: &Report) {
    assert!(report.passed(), "{report}");
    let all = report.totals_between("all", 0, 12);
    assert!(
        all.units_beyond_quota <= STANDBY_UNITS,
        "{} units were granted beyond the quotas, the bound is {STANDBY_UNITS}\n{}\n{report}",
        all.units_beyond_quota,
        report.table()
    );
    assert!(
        all.served > 200,
        "only {} requests were served\n{report}",
        all.served
    );
}

fn partition_step(sides: &str) -> String {
    format!("[[step]]\ndo = \"split\"\nsides = \"{sides}\"\nat_ms = 3000\nfor_ms = 6000\n")
}

#[test]
fn fenced_owners_on_two_sides_of_a_partition_grant_no_more_than_the_quota() {
    assert_quotas_hold(&run_scenario_with_operator(
        "apart-halves",
        &over_quota_scenario("halves", &partition_step("west,east")),
        FENCED_QUOTAS,
    ));
}

#[test]
fn unfenced_owners_on_two_sides_of_a_partition_each_grant_the_quota() {
    let report = run_scenario_with_operator(
        "apart-unfenced",
        &over_quota_scenario("unfenced", &partition_step("west,east")),
        "",
    );
    assert!(report.passed(), "{report}");
    let partitioned = report.totals_between("all", 3, 9);
    assert!(
        partitioned.units_beyond_quota > 2.0 * STANDBY_UNITS,
        "the quotas were not exceeded without fencing: {partitioned:?}"
    );
}

#[test]
fn isolated_nodes_use_lent_units_and_grant_no_more_than_the_quota() {
    assert_quotas_hold(&run_scenario_with_operator(
        "apart-each",
        &over_quota_scenario("each", &partition_step("each")),
        FENCED_QUOTAS,
    ));
}

/// The nodes n9 to n14 reach both sides, which do not reach each other.
#[test]
fn partitions_that_overlap_grant_no_more_than_the_quota() {
    let sides =
        "[[side]]\nname = \"a\"\nhas = \"n0-n14\"\n[[side]]\nname = \"b\"\nhas = \"n9-n23\"\n";
    let text = over_quota_scenario("overlap", &format!("{sides}{}", partition_step("a,b")));
    assert_quotas_hold(&run_scenario_with_operator(
        "apart-overlap",
        &text,
        FENCED_QUOTAS,
    ));
}

#[test]
fn a_one_way_partition_grants_no_more_than_the_quota() {
    let step = "[[step]]\ndo = \"link\"\nfrom = \"west\"\nto = \"east\"\none_way = true\nloss = 1.0\nat_ms = 3000\nfor_ms = 6000\n";
    assert_quotas_hold(&run_scenario_with_operator(
        "apart-oneway",
        &over_quota_scenario("oneway", step),
        FENCED_QUOTAS,
    ));
}

/// Requests for units and responses that are lost, duplicated or delayed may cost the customer units, but never exceed
/// the quota.
#[test]
fn lossy_duplicating_and_slow_links_grant_no_more_than_the_quota() {
    let step = "[[step]]\ndo = \"peers\"\nloss = 0.3\ndoubled = 0.3\ndelay_ms = 120\n";
    let report = run_scenario_with_operator(
        "apart-lossy",
        &over_quota_scenario("lossy", step),
        FENCED_QUOTAS,
    );
    assert!(report.passed(), "{report}");
    assert!(
        report.totals_between("all", 0, 12).units_beyond_quota <= STANDBY_UNITS,
        "{report}"
    );
}

/// Eight suspended nodes resume at the same time, with queued old messages and expired leases.
#[test]
fn nodes_that_resume_after_a_pause_grant_no_more_than_the_quota() {
    let step = "[[step]]\ndo = \"pause\"\nat_ms = 3000\ncount = 8\nfor_ms = 4000\n";
    let report = run_scenario_with_operator(
        "apart-still",
        &over_quota_scenario("still", step),
        FENCED_QUOTAS,
    );
    assert_quotas_hold(&report);
    assert!(
        report.verdict.paused > 0,
        "no attempt was held by a suspended node: {report}"
    );
}
