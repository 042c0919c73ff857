//! Fleets in virtual time. A seed always gives the same run, so that tests can assert figures that vary between runs
//! with real processes.

use saffronpaddle_fleet_harness::{virtually, Report, Scenario};

fn play(text: &str, seed: u64, operator: &str) -> Report {
    let scenario = Scenario::parse(text, seed).expect("the scenario is valid");
    virtually::play(scenario, seed, operator).expect("the scenario can be played")
}

/// A scenario of 45 s in which customers ask for one and a half times their quotas through all nodes. `step` is its
/// only step, if it has one.
fn overloaded(nodes: usize, step: &str) -> String {
    let half = nodes / 2;
    format!(
        "name = \"overloaded\"\ninstances = {nodes}\nservers = 8\ncustomers = 24\nrate = 180\ntimes_quota = 1.5\n\
         spread_least = {nodes}\nspread_most = {nodes}\nduration_ms = 45000\n\
         [[side]]\nname = \"west\"\nhas = \"n0-n{}\"\n[[side]]\nname = \"east\"\nhas = \"n{half}-n{}\"\n{step}",
        half - 1,
        nodes - 1
    )
}

const HALVES: &str =
    "[[step]]\ndo = \"split\"\nsides = \"west,east\"\nat_ms = 15000\nfor_ms = 15000\n";
const ISOLATED: &str =
    "[[step]]\ndo = \"split\"\nsides = \"each\"\nat_ms = 15000\nfor_ms = 15000\n";
const PARTITION_SAFE: &str = "[quotas]\nfenced = true\n";
/// Units that the quotas of all 24 customers grant in 15 s.
const QUOTA_UNITS: f64 = 6.0 * (0.8 + 1.6 + 5.0 + 12.0) * 15.0;

#[test]
fn the_same_seed_gives_the_same_run() {
    let text = overloaded(12, HALVES);
    let (one, two) = (play(&text, 3, ""), play(&text, 3, ""));
    assert_eq!(one.verdict, two.verdict);
    assert_eq!(one.decision_counters, two.decision_counters);
    assert_ne!(one.verdict, play(&text, 4, "").verdict);
}

/// In partition-safe mode (`fenced`) owners and standbys together grant no more than the quotas: in two halves, with
/// each node isolated, and when messages pass in one direction only. Without that mode, two owners that cannot reach
/// each other both grant the full quotas.
#[test]
fn partition_safe_owners_grant_no_more_than_the_quotas_in_a_partition() {
    let one_way =
        "[[step]]\ndo = \"link\"\nfrom = \"west\"\nto = \"east\"\none_way = true\nloss = 1.0\n\
                   at_ms = 15000\nfor_ms = 15000\n";
    for step in [HALVES, ISOLATED, one_way] {
        for seed in [1, 2] {
            let report = play(&overloaded(24, step), seed, PARTITION_SAFE);
            assert!(report.passed(), "{report}");
            let all = report.totals_between("all", 0, 45);
            // Standbys start with the units of one request.
            assert!(
                all.units_beyond_quota <= 24.0,
                "{step}: {} units beyond the quotas\n{report}",
                all.units_beyond_quota
            );
        }
    }
    let without = play(&overloaded(24, HALVES), 1, "");
    assert!(
        without.totals_between("all", 15, 30).units_beyond_quota > 300.0,
        "{without}"
    );
}

/// While all sides are connected, before and after a partition, an owner in partition-safe mode leases what its
/// standby holds, so that the full quota is usable.
#[test]
fn units_that_standbys_hold_are_leased_and_quotas_are_fully_used() {
    let calm = play(&overloaded(24, ""), 1, PARTITION_SAFE);
    for (from, to) in [(15, 30), (30, 45)] {
        let used = calm.totals_between("all", from, to).units;
        assert!(
            used > 0.95 * QUOTA_UNITS,
            "{used} of {QUOTA_UNITS} units used from {from} s to {to} s\n{calm}"
        );
    }
    let healed = play(&overloaded(24, HALVES), 1, PARTITION_SAFE).totals_between("all", 33, 45);
    assert!(
        healed.units > 0.93 * QUOTA_UNITS * 12.0 / 15.0,
        "{healed:?}"
    );
}

/// While a side of a small fleet receives no messages from its peers, it reserves their shares. What the peers sent
/// from these shares must not be deducted a second time when their messages arrive again. (With the deduction, 0.87 and
/// 0.79 of the rate were used in the 15 s after two halves and after twelve isolated nodes.)
#[test]
fn a_small_fleet_uses_its_quotas_again_after_a_partition() {
    for step in [HALVES, ISOLATED] {
        let report = play(&overloaded(12, step), 2, "");
        let after = report.totals_between("all", 30, 45);
        assert!(
            after.units - after.units_beyond_quota > 0.92 * QUOTA_UNITS,
            "{step}: {after:?}; the quotas grant {QUOTA_UNITS} units\n{report}"
        );
    }
}

/// Retransmissions use what is left of the message budget: with a third of the messages lost and the rest delayed,
/// nodes send no more messages than their peers accept (72 per node and second without the budget).
#[test]
fn peer_messages_stay_within_their_budget_while_many_are_lost() {
    let lossy = "[[step]]\ndo = \"peers\"\nloss = 0.3\ndelay_ms = 300\ndelay_least_ms = 250\n";
    let sent_per_node = |operator: &str| {
        let report = play(&overloaded(24, lossy), 1, operator);
        assert!(report.passed(), "{report}");
        report
            .instances
            .iter()
            .map(|instance| instance.sent_s)
            .sum::<f64>()
            / 24.0
    };
    let (without, within) = (
        sent_per_node(""),
        sent_per_node("[quotas]\nspare_words = true\n"),
    );
    assert!(
        within < 50.0 && without > 60.0,
        "peer messages per node and second: {within} with the budget, {without} without it"
    );
}

/// Guards against peer messages per node and second that increase from 30 nodes to 300, with a load in proportion to
/// the number of nodes.
#[test]
fn peer_messages_per_node_do_not_grow_with_the_fleet() {
    let sent_per_node = |nodes: usize| {
        let text = format!(
            "name = \"peer-messages\"\ninstances = {nodes}\nservers = {}\ncustomers = {}\nrate = {}\nspread_least = 12\n\
             spread_most = 24\nduration_ms = 8000\n",
            nodes / 4,
            nodes * 3,
            nodes * 5
        );
        let report = play(&text, 1, "");
        assert!(report.passed(), "{report}");
        report
            .instances
            .iter()
            .map(|instance| instance.sent_s)
            .sum::<f64>()
            / nodes as f64
    };
    let (few, many) = (sent_per_node(30), sent_per_node(300));
    assert!(
        many < few * 1.25 && many < 30.0,
        "peer messages per node and second: {few} at 30 nodes, {many} at 300 nodes"
    );
}

/// All nodes of a fleet start at once and call one list service, whose capacity they must not exceed at any size.
#[test]
fn list_service_calls_stay_within_its_capacity_from_three_nodes_to_a_thousand() {
    let limits = "[list]\ncalls_per_s = 25\nfirst_within_ms = 60000\n";
    for nodes in [3, 30, 300, 1000] {
        // A node that calls during the outage may get its list only after twice the time over which first calls are
        // spread, which would be minutes with a thousand nodes.
        let down = if nodes < 1000 {
            "[[step]]\ndo = \"list-down\"\nat_ms = 5000\nfor_ms = 4000\n"
        } else {
            ""
        };
        let text = format!(
            "name = \"lists\"\ninstances = {nodes}\nservers = 20\ncustomers = 40\nrate = 20\nduration_ms = 60000\n\
             list_calls_per_s = 30\n{down}"
        );
        let report = play(&text, 1, limits);
        assert!(report.passed(), "{report}");
        // The calls' slots are evenly spaced and the time within a slot is random, so that one second may have a few
        // more calls.
        assert!(
            report.max_list_calls_per_second() <= 36,
            "{nodes} nodes: {report}"
        );
        assert_eq!(report.list.first_answers.len(), nodes, "{report}");
        let (first, span) = (report.first_list_times_ms(), nodes as f64 / 25.0);
        let last = first.last().copied().unwrap_or(0.0) / 1e3;
        assert!(
            last <= 2.5 * span + 16.0,
            "{nodes} nodes: the last one gets its list after {last} s"
        );
    }
}

/// Guards against calls that an outage has failed and that are repeated while other nodes still make their first ones:
/// both together exceeded the capacity of the service.
#[test]
fn list_service_calls_stay_within_its_capacity_after_outages_during_a_start() {
    let down = |at_ms: u32, for_ms: u32| {
        format!("[[step]]\ndo = \"list-down\"\nat_ms = {at_ms}\nfor_ms = {for_ms}\n")
    };
    let outages = [
        down(5_000, 1_000),
        down(5_000, 5_000),
        down(5_000, 30_000),
        down(3_000, 5_000) + &down(12_000, 5_000),
    ];
    let limits = "[list]\ncalls_per_s = 25\nfirst_within_ms = 60000\n";
    for nodes in [30, 300, 1000] {
        for (outage, seed) in outages.iter().flat_map(|outage| [(outage, 1), (outage, 2)]) {
            let text = format!(
                "name = \"outage\"\ninstances = {nodes}\nservers = 4\ncustomers = 4\nrate = 1\nduration_ms = 60000\n\
                 list_calls_per_s = 30\n{outage}"
            );
            let report = play(&text, seed, limits);
            assert!(
                report.max_list_calls_per_second() <= 30,
                "{nodes} nodes, {outage}: {report}"
            );
        }
    }
}

/// Cold servers are not overloaded while they warm up, and do more than half of the work that they could do or that
/// clients ask for.
#[test]
fn cold_servers_are_not_overloaded_and_are_used_by_thirty_nodes_and_by_three_hundred() {
    for (nodes, servers, rate, cores) in [(30, 6, 240.0, 4), (300, 60, 600.0, 1)] {
        let text = format!(
            "name = \"cold\"\ninstances = {nodes}\nservers = {servers}\ncustomers = 300\nrate = {rate}\ncores = {cores}\n\
             duration_ms = 20000\ncold = true\n"
        );
        for seed in [1, 2, 3] {
            let report = play(&text, seed, "");
            assert!(
                report.passed() && report.verdict.cold_load_max < 1.0,
                "{report}"
            );
            assert!(
                report.served_work_s() > 0.5 * report.available_work_s.min(rate * 0.085 * 20.0),
                "{report}"
            );
        }
    }
}
