//! Hard cases of fleets of hundreds in virtual time. Each is quick; the figures that are asserted are derived, not measured, unless
//! they say so.

use saffronpaddle_fleet_harness::{virtually, Report, Scenario};

const FENCED: &str = "[quotas]\nfenced = true\n";

fn play(text: &str, seed: u64, operator: &str) -> Report {
    let scenario = Scenario::parse(text, seed).expect("a good scenario");
    virtually::play(scenario, seed, operator).expect("it is played")
}

/// So many nodes with a server for four, a customer for each through 24 of them, each at `times` its quota; and steps.
fn fleet(nodes: usize, times: f64, seconds: usize, more: &str) -> String {
    let half = nodes / 2;
    format!(
        "name = \"size\"\ninstances = {nodes}\nservers = {}\ncustomers = {nodes}\nrate = {}\ntimes_quota = {times}\n\
         spread_least = 24\nspread_most = 24\nduration_ms = {}\n{more}\n\
         [[side]]\nname = \"west\"\nhas = \"n0-n{}\"\n[[side]]\nname = \"east\"\nhas = \"n{half}-n{}\"\n",
        nodes / 4,
        nodes as f64 * 4.85 * times,
        seconds * 1000,
        half - 1,
        nodes - 1
    )
}

/// Units beyond quotas that fenced keepers may let go: who stands by begins with one try's units, once for each customer.
fn keeps_to_the_whole(report: &Report, customers: usize) {
    assert!(report.good(), "{report}");
    let beyond = report.within("all", 0, report.offered_s).beyond;
    assert!(
        beyond <= customers as f64,
        "{beyond} units beyond, {customers} customers\n{report}"
    );
}

#[test]
fn two_regions_that_never_hear_each_other_grant_no_more_than_the_whole() {
    let split = "[[step]]\ndo = \"split\"\nsides = \"west,east\"\n";
    let report = play(&(fleet(300, 1.5, 15, "") + split), 1, FENCED);
    keeps_to_the_whole(&report, 300);
    let all = report.within("all", 0, 15);
    assert!(
        all.served > 0 && all.served + all.refused + all.failed == all.tries,
        "{report}"
    );
}

#[test]
fn a_fifth_of_all_words_lost_breaks_no_rule_and_overfills_no_intake() {
    let lossy = "[[step]]\ndo = \"peers\"\nloss = 0.2\n";
    let report = play(&(fleet(300, 1.5, 15, "") + lossy), 1, FENCED);
    keeps_to_the_whole(&report, 300);
    let most = report
        .rows
        .iter()
        .map(|row| row.received_s)
        .fold(0.0, f64::max);
    assert!(most <= 60.0, "{most} words a second at one node\n{report}");
}

/// Half of a fleet at one stroke, while one server after the other drains, ends and comes back cold.
#[test]
fn three_hundred_nodes_restart_at_once_while_servers_change() {
    let steps = "[[step]]\ndo = \"restart\"\ncount = 300\nat_ms = 4000\n\
                 [[step]]\ndo = \"drain\"\ncount = 30\nat_ms = 3000\ngap_ms = 100\n\
                 [[step]]\ndo = \"flip\"\ncount = 10\nat_ms = 4500\ngap_ms = 100\n";
    let report = play(&(fleet(600, 0.5, 10, "") + steps), 1, "");
    assert!(report.good(), "{report}");
    assert_eq!(report.processes, 900, "{report}");
    assert!(
        report.verdict.drains >= 600 * 30,
        "each node is told of each drain\n{report}"
    );
    assert_eq!(report.verdict.unanswered(), 0, "{report}");
}

/// One customer asks for a hundredth of all that the fleet gets, through all of its nodes, far beyond its quota.
#[test]
fn a_hot_customer_is_held_to_its_quota_and_takes_nothing_from_others() {
    let shares = |hot: f64| {
        let report = play(
            &fleet(300, 0.7, 15, &format!("hot_share = {hot}")),
            1,
            FENCED,
        );
        keeps_to_the_whole(&report, 301);
        report.within("all", 0, 15)
    };
    let (without, with) = (shares(0.0), shares(0.01));
    // What the others send is all within their quotas; the hot one's is 24 units at once and 12 a second.
    let quota = 24.0 + 12.0 * 15.0;
    assert!(
        with.units <= without.units * 1.03 + quota,
        "{with:?} with, {without:?} without"
    );
    assert!(
        with.served as f64 >= 0.97 * without.served as f64,
        "{with:?} with, {without:?} without"
    );
}

/// Nine tenths of the servers are listed as draining by mistake, for 5 s: nothing new goes to them. How soon all is as before after
/// that is a figure of `docs/measurements.md`, and no rule.
#[test]
fn a_list_that_shrinks_to_a_tenth_by_mistake_is_honoured() {
    let flips = "[[step]]\ndo = \"flip\"\ncount = 68\nat_ms = 4000\nfor_ms = 5000\n";
    let report = play(&(fleet(300, 0.7, 15, "") + flips), 1, "");
    assert!(report.good(), "{report}");
    assert_eq!(
        report.verdict.drains,
        300 * 68,
        "each node is told of each\n{report}"
    );
    // What was on its way when its node was told: one way is at most 1 ms.
    assert!(
        report.verdict.attempts_after_drain_max_ms <= 1.0,
        "{report}"
    );
}

/// Danger: a fleet that goes on refusing what its servers could do, long after a mistake is over.
#[test]
fn a_fleet_serves_as_before_two_seconds_after_its_list_has_shrunk_by_mistake() {
    let flips = "[[step]]\ndo = \"flip\"\ncount = 68\nat_ms = 4000\nfor_ms = 5000\n";
    let report = play(&(fleet(300, 0.7, 15, "") + flips), 1, "");
    // Two seconds after the list is whole again the fleet serves as before.
    let (before, after) = (report.within("all", 0, 4), report.within("all", 11, 15));
    assert!(
        after.served as f64 >= 0.95 * before.served as f64,
        "{} before, {} after\n{report}",
        before.served,
        after.served
    );
}

/// The operator file's `[servers] working_set` holds in virtual time as in a node: a long list is not looked at as a whole.
#[test]
fn a_working_set_is_read_from_the_operator_file() {
    let text =
        "name = \"long\"\ninstances = 60\nservers = 1200\ncustomers = 60\nrate = 120\ncores = 1\n\
                duration_ms = 4000\n";
    let looked = |operator: &str| {
        let report = play(text, 1, operator);
        assert!(report.good(), "{report}");
        let found = report
            .decided
            .iter()
            .find(|(name, _)| *name == "servers_looked_at");
        found.map(|(_, count)| *count).expect("it is counted")
    };
    let (whole, part) = (looked(""), looked("[servers]\nworking_set = true\n"));
    // Of 60 nodes some 22 send to each server, and at its start each node reads the whole list.
    assert!(part * 2 < whole, "{part} with, {whole} without");
}

/// 2,700 nodes, at the load that goes with the size for 1 s: words are what they are in a fleet of 30.
#[test]
fn twenty_seven_hundred_nodes_are_played() {
    let report = play(&fleet(2_700, 0.2, 1, ""), 1, "");
    assert!(report.good(), "{report}");
    assert_eq!(report.processes, 2_700);
    let faults = Scenario::parse("name = \"x\"\ninstances = 10001\n", 1)
        .expect_err("too many")
        .to_string();
    assert!(
        faults.contains("instances") && faults.lines().count() == 1,
        "{faults}"
    );
}
