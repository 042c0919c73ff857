//! Whole fleets that start cold: several processes of the program, and faults between them and all that they talk to. Each
//! test stands for a failure; what is asserted are rules and counts, never speed.

mod common;

use common::fleet_with;
use saffronpaddle_fleet_harness::Report;

/// What makes a server fall is never reached, and no rule is broken.
fn spared(report: &Report) {
    assert!(report.good(), "{report}");
    assert!(report.verdict.cold_load_max < 1.0, "{report}");
}

fn cold(name: &str, more: &str) -> String {
    format!(
        "name = \"{name}\"\ninstances = 12\nservers = 1\ncores = 4\ncustomers = 40\nrate = 60\nduration_ms = 6000\n\
         cold = true\n{more}"
    )
}

/// What one server of four cores can do while it is cold is put to use: with 1.5 sends a second for the whole fleet, as
/// it was, some nine are served in six seconds.
#[test]
fn all_servers_cold_and_all_customers_at_once_are_served_what_the_server_can_do() {
    let report = fleet_with("cold-all", &cold("all", ""), "");
    spared(&report);
    assert!(report.verdict.served > 30, "{report}");
}

/// Turns need no word, and answers prove what they prove: with all datagrams lost the sum stays under the rule. (Where
/// customers have homes these are not heard either; what is alone is bounded by that.)
#[test]
fn all_datagrams_lost_for_the_whole_start_push_nobody_over() {
    let lost = "[[step]]\ndo = \"peers\"\nloss = 1.0\n";
    let report = fleet_with("cold-deaf", &cold("deaf", lost), "");
    spared(&report);
    assert!(
        report.rows.iter().all(|row| row.received_s < 1.0),
        "{report}"
    );
}

#[test]
fn half_of_the_nodes_that_start_later_push_nobody_over() {
    let late = "absent = \"n6-n11\"\n[[step]]\ndo = \"start\"\nside = \"n6-n11\"\nat_ms = 2500\n";
    let report = fleet_with("cold-late", &cold("late", late), "");
    spared(&report);
    assert_eq!(report.processes, 12, "{report}");
}

/// A rolling restart, and nodes killed that hold rights: these go with them.
#[test]
fn restarts_and_kills_in_the_middle_of_a_cold_start_push_nobody_over() {
    let steps = "[[step]]\ndo = \"restart\"\nat_ms = 1000\ncount = 6\ngap_ms = 500\n\
                 [[step]]\ndo = \"kill\"\nat_ms = 2000\nevery_ms = 1200\nfor_ms = 400\n";
    let report = fleet_with("cold-roll", &cold("roll", steps), "");
    spared(&report);
    assert!(report.processes > 16, "{report}");
}

/// A node that stood still wakes with rights and answers of long ago: they are void.
#[test]
fn nodes_that_stand_still_while_servers_warm_up_and_wake_push_nobody_over() {
    let steps = "[[step]]\ndo = \"pause\"\nat_ms = 1500\ncount = 4\nfor_ms = 2500\n";
    let report = fleet_with("cold-pause", &cold("pause", steps), "");
    spared(&report);
}

/// What an earlier life of the server earned is void in the next, and it is given less as it has fallen.
#[test]
fn a_cold_server_that_falls_and_starts_anew_is_not_pushed_over_again() {
    let steps = "[[step]]\ndo = \"crash\"\nat_ms = 2500\nfor_ms = 700\n[[step]]\ndo = \"crash\"\nat_ms = 4500\nfor_ms = 300\n";
    let report = fleet_with("cold-again", &cold("again", steps), "");
    spared(&report);
}

/// Two sides that do not hear each other, each with links to all servers, and then a server that one side can't reach.
#[test]
fn two_sides_that_do_not_hear_each_other_push_no_cold_server_over() {
    let steps = "[[side]]\nname = \"a\"\nhas = \"n0-n5\"\n[[side]]\nname = \"b\"\nhas = \"n6-n11\"\n\
                 [[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 3500\nheal_gap_ms = 50\n\
                 [[step]]\ndo = \"link\"\nfrom = \"a\"\nto = \"servers\"\nstalled = true\nat_ms = 3000\nfor_ms = 1000\n";
    let report = fleet_with("cold-sides", &cold("sides", steps), "");
    spared(&report);
    let (a, b) = (report.within("a", 0, 6), report.within("b", 0, 6));
    assert!(
        a.tries > 0 && b.tries > 0 && a.tries + b.tries == report.within("all", 0, 6).tries,
        "{report}"
    );
}

/// Connections that never come up cost their attempts a quarter of a second, and nobody an answer.
#[test]
fn servers_whose_connections_never_come_up_cost_nobody_an_answer() {
    let step = "[[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"s0-s1\"\nunheard = true\nat_ms = 1000\nfor_ms = 3000\n";
    let report = fleet_with("cold-unheard", &warm("unheard", step), "");
    assert!(report.good(), "{report}");
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

const PACED: &str = "[list]\ncalls_per_s = 8\nfirst_within_ms = 30000\nempty_after_ms = 2500\n\
                     [ready]\nlist_within_ms = 200\npeers_within_ms = 100\n";

fn warm(name: &str, more: &str) -> String {
    format!(
        "name = \"{name}\"\ninstances = 24\nservers = 6\ncustomers = 40\nrate = 60\nduration_ms = 6000\nlateness_ms = 100\n{more}"
    )
}

/// All start at one stroke, at a service that answers a third of their calls a second. Without a pace all 24 call within
/// the first.
#[test]
fn a_fleet_that_starts_at_once_spares_a_list_service_that_bears_a_part_of_its_calls() {
    let report = fleet_with(
        "list-spared",
        &warm("spared", "list_calls_per_s = 8\n"),
        PACED,
    );
    assert!(report.good(), "{report}");
    assert!(report.list_calls_most() <= 12, "{report}");
    assert_eq!(
        report.list.first_answers.len(),
        24,
        "each had its list: {report}"
    );
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Half of the servers that the configuration holds are gone, a third of the addresses are others', and the service is
/// down at first: what is known serves, and the right list comes once it is up.
#[test]
fn a_list_of_yesterday_serves_while_the_list_service_is_down() {
    let text = warm(
        "stale",
        "known = \"stale\"\n[[step]]\ndo = \"list-down\"\nfor_ms = 2000\n",
    )
    .replace("6000", "11000");
    let report = fleet_with("list-stale", &text, PACED);
    assert!(report.good(), "{report}");
    assert!(
        report.verdict.served > 0 && report.list.first_answers.len() == 24,
        "{report}"
    );
}

/// It is back without its entries, and with its numbers begun anew: no fleet that sends nothing to anybody.
#[test]
fn a_list_service_that_is_back_empty_or_begins_its_numbers_anew_takes_no_server_away() {
    let steps =
        "[[step]]\ndo = \"list-renumbered\"\nat_ms = 1000\n[[step]]\ndo = \"list-empty\"\nat_ms = 3800\n";
    let report = fleet_with("list-empty", &warm("empty", steps), PACED);
    assert!(report.good(), "{report}");
    let after = report.within("all", 4, 6);
    assert!(after.served * 2 > after.tries, "servers are kept: {report}");
}

/// It takes connections and says nothing, to all nodes: they serve from what they know.
#[test]
fn a_list_service_that_accepts_and_says_nothing_keeps_nobody_from_serving() {
    let steps =
        "[[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"list\"\nstalled = true\nfor_ms = 4000\n";
    let report = fleet_with("list-silent", &warm("silent", steps), PACED);
    assert!(report.good(), "{report}");
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Runs beside one another never meet: each has addresses of its own, and each hears its own words alone.
#[test]
fn four_runs_at_once_never_meet() {
    let runs: Vec<_> = (0..4)
        .map(|run| {
            std::thread::spawn(move || {
                let text = "name = \"beside\"\ninstances = 6\nservers = 3\ncustomers = 24\nrate = 40\nduration_ms = 3000\n";
                fleet_with(&format!("beside-{run}"), text, "")
            })
        })
        .collect();
    for run in runs {
        let report = run.join().expect("it is played");
        assert!(report.good(), "{report}");
        assert!(
            report.rows.iter().all(|row| row.received_s > 0.0),
            "each hears its own: {report}"
        );
    }
}
