//! Fleets that start while app servers are cold or while the list service fails: several processes of the program, and
//! faults on their links to peers, servers and discovery. Each test guards against one failure and asserts rules and
//! counts, never speed.

mod common;

use common::run_scenario_with_operator;
use saffronpaddle_fleet_harness::Report;

/// Asserts that no rule is violated, and that no cold server is sent as much work as would crash it.
fn assert_cold_servers_not_overloaded(report: &Report) {
    assert!(report.passed(), "{report}");
    assert!(report.verdict.cold_load_max < 1.0, "{report}");
}

/// Returns a scenario of 12 nodes and one cold server, with the steps in `more`.
fn cold_scenario(name: &str, more: &str) -> String {
    format!(
        "name = \"{name}\"\ninstances = 12\nservers = 1\ncores = 4\ncustomers = 40\nrate = 60\nduration_ms = 6000\n\
         cold = true\n{more}"
    )
}

/// The fleet uses the capacity that a server of four cores has while it is cold. With a fixed limit of 1.5 sends per
/// second for the entire fleet, it would serve only about nine requests in six seconds.
#[test]
fn a_cold_fleet_uses_the_capacity_that_its_cold_server_has() {
    let report = run_scenario_with_operator("cold-all", &cold_scenario("all", ""), "");
    assert_cold_servers_not_overloaded(&report);
    assert!(report.verdict.served > 30, "{report}");
}

/// Nodes send to cold servers in turns that need no messages, and adapt to the responses: with all peer datagrams lost,
/// the sum of what they send still keeps to the limit. (The owners of customers' quotas can't be reached either, which
/// also bounds what a node sends.)
#[test]
fn a_cold_start_without_peer_messages_does_not_overload_the_server() {
    let lost = "[[step]]\ndo = \"peers\"\nloss = 1.0\n";
    let report = run_scenario_with_operator("cold-deaf", &cold_scenario("deaf", lost), "");
    assert_cold_servers_not_overloaded(&report);
    assert!(
        report
            .instances
            .iter()
            .all(|instance| instance.received_s < 1.0),
        "{report}"
    );
}

#[test]
fn nodes_that_join_during_a_cold_start_do_not_overload_the_server() {
    let late = "absent = \"n6-n11\"\n[[step]]\ndo = \"start\"\nside = \"n6-n11\"\nat_ms = 2500\n";
    let report = run_scenario_with_operator("cold-late", &cold_scenario("late", late), "");
    assert_cold_servers_not_overloaded(&report);
    assert_eq!(report.processes, 12, "{report}");
}

/// A rolling restart, and kills of nodes that hold rights to send to cold servers: the rights are lost with their
/// holder.
#[test]
fn restarts_and_kills_during_a_cold_start_do_not_overload_the_server() {
    let steps = "[[step]]\ndo = \"restart\"\nat_ms = 1000\ncount = 6\ngap_ms = 500\n\
                 [[step]]\ndo = \"kill\"\nat_ms = 2000\nevery_ms = 1200\nfor_ms = 400\n";
    let report = run_scenario_with_operator("cold-roll", &cold_scenario("roll", steps), "");
    assert_cold_servers_not_overloaded(&report);
    assert!(report.processes > 16, "{report}");
}

/// A node that resumes after a pause still holds old rights to send and reads old responses. Neither has any effect on
/// what it sends.
#[test]
fn nodes_that_resume_after_a_pause_do_not_overload_a_cold_server() {
    let steps = "[[step]]\ndo = \"pause\"\nat_ms = 1500\ncount = 4\nfor_ms = 2500\n";
    let report = run_scenario_with_operator("cold-pause", &cold_scenario("pause", steps), "");
    assert_cold_servers_not_overloaded(&report);
}

/// The send rate that an earlier process of the server had reached does not apply to its next process, which is sent
/// less because its predecessor crashed.
#[test]
fn a_cold_server_that_crashes_and_restarts_is_not_overloaded_again() {
    let steps = "[[step]]\ndo = \"crash\"\nat_ms = 2500\nfor_ms = 700\n[[step]]\ndo = \"crash\"\nat_ms = 4500\nfor_ms = 300\n";
    let report = run_scenario_with_operator("cold-again", &cold_scenario("again", steps), "");
    assert_cold_servers_not_overloaded(&report);
}

/// Two sides of a partition between nodes both reach the server; later, one side's links to it stall.
#[test]
fn two_sides_of_a_partition_do_not_overload_a_cold_server() {
    let steps = "[[side]]\nname = \"a\"\nhas = \"n0-n5\"\n[[side]]\nname = \"b\"\nhas = \"n6-n11\"\n\
                 [[step]]\ndo = \"split\"\nsides = \"a,b\"\nfor_ms = 3500\nheal_gap_ms = 50\n\
                 [[step]]\ndo = \"link\"\nfrom = \"a\"\nto = \"servers\"\nstalled = true\nat_ms = 3000\nfor_ms = 1000\n";
    let report = run_scenario_with_operator("cold-sides", &cold_scenario("sides", steps), "");
    assert_cold_servers_not_overloaded(&report);
    let (a, b) = (
        report.totals_between("a", 0, 6),
        report.totals_between("b", 0, 6),
    );
    assert!(
        a.requests > 0
            && b.requests > 0
            && a.requests + b.requests == report.totals_between("all", 0, 6).requests,
        "{report}"
    );
}

/// An attempt to connect to an unreachable server fails after a quarter of a second; its request is still answered.
#[test]
fn requests_are_answered_while_connections_to_two_servers_never_open() {
    let step = "[[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"s0-s1\"\nunheard = true\nat_ms = 1000\nfor_ms = 3000\n";
    let report = run_scenario_with_operator("cold-unheard", &warm_scenario("unheard", step), "");
    assert!(report.passed(), "{report}");
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Operator file that limits the calls on the list service and sets how long a starting node waits for its list and
/// peers.
const LIST_CALL_LIMIT: &str =
    "[list]\ncalls_per_s = 8\nfirst_within_ms = 30000\nempty_after_ms = 2500\n\
                     [ready]\nlist_within_ms = 200\npeers_within_ms = 100\n";

/// Returns a scenario of 24 nodes and six warm servers, with the settings and steps in `more`.
fn warm_scenario(name: &str, more: &str) -> String {
    format!(
        "name = \"{name}\"\ninstances = 24\nservers = 6\ncustomers = 40\nrate = 60\nduration_ms = 6000\nlateness_ms = 100\n{more}"
    )
}

/// All 24 nodes start at the same time, and the list service answers calls from a third of them per second. Without a
/// rate limit all 24 nodes call within the first second.
#[test]
fn a_fleet_that_starts_at_once_keeps_to_the_call_rate_of_its_list_service() {
    let report = run_scenario_with_operator(
        "list-spared",
        &warm_scenario("spared", "list_calls_per_s = 8\n"),
        LIST_CALL_LIMIT,
    );
    assert!(report.passed(), "{report}");
    assert!(report.max_list_calls_per_second() <= 12, "{report}");
    assert_eq!(
        report.list.first_answers.len(),
        24,
        "a node received no list: {report}"
    );
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Half of the servers in the configuration are gone, a third of the addresses belong to other servers, and the list
/// service is down at first: nodes serve from the stale list, and get the current one once the service is up.
#[test]
fn nodes_serve_from_a_stale_list_while_the_list_service_is_down() {
    let text = warm_scenario(
        "stale",
        "known = \"stale\"\n[[step]]\ndo = \"list-down\"\nfor_ms = 2000\n",
    )
    .replace("6000", "11000");
    let report = run_scenario_with_operator("list-stale", &text, LIST_CALL_LIMIT);
    assert!(report.passed(), "{report}");
    assert!(
        report.verdict.served > 0 && report.list.first_answers.len() == 24,
        "{report}"
    );
}

/// After an outage the list service has no entries, or restarts its sequence numbers. A fleet that accepted its list
/// would have no server left to send to.
#[test]
fn nodes_keep_their_servers_when_the_list_service_returns_empty_or_renumbered() {
    let steps =
        "[[step]]\ndo = \"list-renumbered\"\nat_ms = 1000\n[[step]]\ndo = \"list-empty\"\nat_ms = 3800\n";
    let report = run_scenario_with_operator(
        "list-empty",
        &warm_scenario("empty", steps),
        LIST_CALL_LIMIT,
    );
    assert!(report.passed(), "{report}");
    let after = report.totals_between("all", 4, 6);
    assert!(
        after.served * 2 > after.requests,
        "the nodes no longer send to their servers: {report}"
    );
}

/// The list service accepts connections but never answers: all nodes serve from their configured list.
#[test]
fn nodes_serve_while_the_list_service_accepts_connections_but_never_answers() {
    let steps =
        "[[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"list\"\nstalled = true\nfor_ms = 4000\n";
    let report = run_scenario_with_operator(
        "list-silent",
        &warm_scenario("silent", steps),
        LIST_CALL_LIMIT,
    );
    assert!(report.passed(), "{report}");
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Each run uses its own addresses, so that its nodes receive only each other's messages.
#[test]
fn four_concurrent_fleets_do_not_receive_each_others_messages() {
    let runs: Vec<_> = (0..4)
        .map(|run| {
            std::thread::spawn(move || {
                let text = "name = \"beside\"\ninstances = 6\nservers = 3\ncustomers = 24\nrate = 40\nduration_ms = 3000\n";
                run_scenario_with_operator(&format!("beside-{run}"), text, "")
            })
        })
        .collect();
    for run in runs {
        let report = run.join().expect("the fleet runs");
        assert!(report.passed(), "{report}");
        assert!(
            report
                .instances
                .iter()
                .all(|instance| instance.received_s > 0.0),
            "a node received no messages: {report}"
        );
    }
}
