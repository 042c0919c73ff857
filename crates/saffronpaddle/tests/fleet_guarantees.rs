//! Guarantees that hold for all processes of a fleet together, checked by the test oracle, with faults injected between
//! them and the servers, peers and services that they connect to. The tests assert rules and counts, never speed.

mod common;

use common::run_scenario;
use saffronpaddle_fleet_harness::Report;

/// Runs a scenario. A request counts as lost if its answer comes more than 500 ms after the client's deadline, or
/// never.
fn run_with_answer_slack(tag: &str, text: &str) -> Report {
    run_scenario(tag, &format!("answer_slack_ms = 500\n{text}"))
}

/// Asserts that no rule is broken, and that every request was answered unless its process was killed or suspended. A
/// process may have served no request: in front of cold servers it may end before it has the right to send one.
fn assert_no_request_lost(report: &Report) {
    assert!(report.passed() && report.verdict.lost == 0, "{report}");
}

/// Asserts what `assert_no_request_lost` does, and that every process that received requests served at least one.
fn assert_every_process_served(report: &Report) {
    assert_no_request_lost(report);
    assert_eq!(report.verdict.processes_never_serving, 0, "{report}");
}

/// Asserts that at least `at_least` processes were restarted, and that nine in ten of them were ready in time.
fn assert_restarted_are_ready(report: &Report, at_least: usize) {
    let (ready_in_time, restarted) = report.restarts_ready_in_time();
    assert!(
        restarted >= at_least && ready_in_time * 10 >= restarted * 9,
        "{ready_in_time} of {restarted} restarted processes were ready in time\n{report}"
    );
}

/// Asserts that at most one node in ten refuses all of its requests for four seconds.
fn assert_few_nodes_refuse_all_requests(report: &Report) {
    assert!(
        report.verdict.nodes_rejecting_all as usize * 10 <= report.instances.len(),
        "{report}"
    );
}

/// Warm servers crash and restart cold, and others join, while customers send three times as much, peer messages get
/// lost, links to servers stall, and nodes restart. The limit holds for the sum of what thirty processes send.
#[test]
fn thirty_processes_together_keep_the_limit_of_cold_servers_under_a_burst() {
    let text = "name = \"throng\"\nhanded_over = false\ninstances = 30\nservers = 8\ncores = 2\ncustomers = 90\nrate = 110\nduration_ms = 12000\n\
                lateness_ms = 100\nabsent = \"s6-s7\"\n\
                [[step]]\ndo = \"peers\"\nloss = 0.1\ndelay_ms = 20\n\
                [[step]]\ndo = \"crash\"\nat_ms = 2000\ncount = 4\nfor_ms = 600\n\
                [[step]]\ndo = \"join\"\nwho = 6\nat_ms = 2600\n[[step]]\ndo = \"join\"\nwho = 7\nat_ms = 3200\n\
                [[step]]\ndo = \"burst\"\nat_ms = 2500\ntimes = 3.0\nfor_ms = 6000\n\
                [[step]]\ndo = \"link\"\nfrom = \"n0-n5\"\nto = \"s0-s2\"\nstalled = true\nat_ms = 4000\nfor_ms = 1200\n\
                [[step]]\ndo = \"restart\"\nat_ms = 4500\ncount = 6\ngap_ms = 150\n\
                [[step]]\ndo = \"kill\"\nat_ms = 5000\ncount = 4\nfor_ms = 300\n";
    let report = run_with_answer_slack("throng", text);
    assert_no_request_lost(&report);
    assert!(
        report.verdict.cold_mean_load_max > 0.0 && report.verdict.cold_mean_load_max <= 1.0,
        "{report}"
    );
    assert!(
        report.handshakes_and_requests[6].1 > 0 && report.handshakes_and_requests[7].1 > 0,
        "a server that joined received no requests: {report}"
    );
    // The burst exceeds the remaining capacity, of which at least a quarter must be used.
    assert!(
        report.served_work_s() * 4.0 > report.available_work_s,
        "{report}"
    );
    let burst = report.totals_between("all", 3, 8);
    assert!(
        burst.served > 100,
        "{} of {} attempts were served during the burst\n{report}",
        burst.served,
        burst.requests
    );
}

/// All servers restart cold at once, and each is too small for one request of each node.
#[test]
fn twenty_four_processes_together_keep_the_limit_of_small_servers_that_are_all_cold() {
    let text = "name = \"small\"\ninstances = 24\nservers = 6\ncores = 2\ncustomers = 90\nrate = 120\nduration_ms = 9000\n\
                lateness_ms = 100\n\
                [[step]]\ndo = \"crash\"\nat_ms = 2000\ncount = 6\ngap_ms = 200\nfor_ms = 500\n\
                [[step]]\ndo = \"burst\"\nat_ms = 2000\ntimes = 2.0\nfor_ms = 5000\n\
                [[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"nodes\"\nloss = 1.0\nat_ms = 4000\nfor_ms = 2000\n\
                [[step]]\ndo = \"pause\"\nat_ms = 3500\ncount = 4\nfor_ms = 1200\n";
    let report = run_with_answer_slack("small", text);
    assert_no_request_lost(&report);
    assert!(
        report.verdict.cold_mean_load_max > 0.0 && report.verdict.cold_mean_load_max <= 1.0,
        "{report}"
    );
    assert!(report.totals_between("all", 3, 9).served > 60, "{report}");
}

/// Half of all clients disconnect while servers are cold, stalled or unreachable, and nodes restart or are suspended: a
/// request that waits for its first attempt, or for a retry, ends with its client.
#[test]
fn requests_whose_clients_have_disconnected_are_not_sent_upstream() {
    let text = "name = \"leaves\"\nhanded_over = false\ninstances = 12\nservers = 4\ncores = 4\ncustomers = 60\nrate = 160\nduration_ms = 9000\n\
                lateness_ms = 100\ncold = true\nleave_share = 0.5\nleave_least_ms = 20\nleave_most_ms = 900\n\
                [[step]]\ndo = \"peers\"\nloss = 0.1\n\
                [[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"s0-s1\"\nunheard = true\nat_ms = 2000\nfor_ms = 1500\n\
                [[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"s2\"\nreset = true\nat_ms = 4000\nfor_ms = 1000\n\
                [[step]]\ndo = \"silent\"\nwho = 3\nat_ms = 4500\nfor_ms = 1500\n\
                [[step]]\ndo = \"crash\"\nwho = 0\nat_ms = 6000\nfor_ms = 400\n\
                [[step]]\ndo = \"restart\"\nat_ms = 3000\ncount = 4\ngap_ms = 300\n\
                [[step]]\ndo = \"pause\"\nat_ms = 5500\ncount = 2\nfor_ms = 700\n";
    let report = run_with_answer_slack("leaves", text);
    assert_no_request_lost(&report);
    assert!(report.verdict.attempts_after_disconnect <= 2, "{report}");
    assert!(
        report.verdict.disconnected_before_attempt >= 50,
        "fewer than 50 requests were still waiting when their clients disconnected: {report}"
    );
    assert!(report.verdict.served > 100, "{report}");
}

#[test]
fn in_a_fleet_without_faults_at_most_one_node_in_ten_refuses_all_requests_for_four_seconds() {
    let text =
        "name = \"quiet\"\ninstances = 20\nservers = 8\ncustomers = 60\nrate = 200\nduration_ms = 9000\n";
    let report = run_with_answer_slack("quiet", text);
    assert_every_process_served(&report);
    assert_few_nodes_refuse_all_requests(&report);
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// A tenth of the nodes restart at a time, while half of the servers are replaced and one hangs.
#[test]
fn in_a_rolling_restart_at_most_one_node_in_ten_refuses_all_requests_for_four_seconds() {
    let text =
        "name = \"rolled\"\nhanded_over = false\ninstances = 20\nservers = 8\ncustomers = 60\nrate = 200\nduration_ms = 12000\n\
                [[step]]\ndo = \"restart\"\nside = \"nodes\"\nat_ms = 1500\ngap_ms = 400\n\
                [[step]]\ndo = \"drain\"\nat_ms = 2000\ncount = 4\ngap_ms = 900\nfor_ms = 500\n\
                [[step]]\ndo = \"silent\"\nat_ms = 4000\nfor_ms = 2500\n\
                [[step]]\ndo = \"peers\"\nloss = 0.05\n";
    let report = run_with_answer_slack("rolled", text);
    assert_every_process_served(&report);
    assert_few_nodes_refuse_all_requests(&report);
    assert_restarted_are_ready(&report, 20);
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Seven in ten processes are killed at once while the list service is unavailable, and all restart at once.
#[test]
fn nine_in_ten_processes_are_ready_within_ten_seconds_after_seven_in_ten_were_killed() {
    let text =
        "name = \"herd\"\nhanded_over = false\ninstances = 24\nservers = 8\ncustomers = 60\nrate = 160\nduration_ms = 12000\n\
                [[step]]\ndo = \"undiscovered\"\nat_ms = 1000\nfor_ms = 4000\n\
                [[step]]\ndo = \"kill\"\nat_ms = 2500\ncount = 17\nfor_ms = 700\n\
                [[step]]\ndo = \"peers\"\nloss = 0.1\n";
    let report = run_with_answer_slack("herd", text);
    assert_every_process_served(&report);
    assert_restarted_are_ready(&report, 17);
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Processes are killed within their first second, and reloads coincide with drains. (The stalled link recovers before
/// the next drain: a node is not responsible for what a link delays while a drain is announced.)
#[test]
fn early_kills_and_reloads_during_drains_leave_no_request_unanswered() {
    let text = "name = \"early\"\ninstances = 16\nservers = 8\ncustomers = 60\nrate = 160\nduration_ms = 10000\nlateness_ms = 0\n\
                [[step]]\ndo = \"kill-early\"\nat_ms = 1000\nevery_ms = 2000\ncount = 3\nfor_ms = 400\n\
                [[step]]\ndo = \"kill-early\"\nat_ms = 1500\nevery_ms = 2500\ncount = 2\nfor_ms = 30\n\
                [[step]]\ndo = \"reload\"\nat_ms = 2000\nevery_ms = 2000\ncount = 16\n\
                [[step]]\ndo = \"drain\"\nat_ms = 2000\nevery_ms = 2000\ncount = 2\nfor_ms = 300\n\
                [[step]]\ndo = \"peers\"\nloss = 0.1\n\
                [[step]]\ndo = \"link\"\nfrom = \"nodes\"\nto = \"s7\"\nstalled = true\nat_ms = 4500\nfor_ms = 900\n";
    let report = run_with_answer_slack("early", text);
    assert_every_process_served(&report);
    assert!(
        report.processes >= 40 && report.reloads > 16 && report.verdict.drains > 16,
        "{report}"
    );
    let unanswered = report.verdict.unanswered();
    assert_eq!(
        unanswered,
        report.verdict.killed + report.verdict.not_accepted,
        "requests of processes that were not killed are unanswered: {report}"
    );
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}

/// Idle clients use up the descriptors when the list service is available again and announces a drain.
#[test]
fn a_drain_is_applied_while_idle_clients_use_up_the_descriptors() {
    let text = "name = \"crowd\"\ninstances = 4\nservers = 4\ncustomers = 24\nrate = 60\nduration_ms = 9000\nlateness_ms = 0\n\
                [[step]]\ndo = \"list-down\"\nat_ms = 1000\nfor_ms = 3500\n\
                [[step]]\ndo = \"undiscovered\"\nat_ms = 1000\nfor_ms = 3500\n\
                [[step]]\ndo = \"crowd\"\nside = \"nodes\"\nat_ms = 1500\nfor_ms = 6000\n\
                [[step]]\ndo = \"flip\"\nwho = 1\nat_ms = 3000\nfor_ms = 5000\n";
    let report = run_with_answer_slack("crowd", text);
    assert_every_process_served(&report);
    assert!(
        report.verdict.drains >= 4,
        "a node did not receive the drain: {report}"
    );
    let after = report.totals_between("all", 5, 9);
    assert!(
        after.served * 2 > after.requests && after.served > 100,
        "{} of {} attempts were served after the drain\n{report}",
        after.served,
        after.requests
    );
    assert!(
        report.counts.no_ready_node * 20 < report.verdict.requests,
        "new clients were not accepted in addition to the idle ones: {report}"
    );
}
