//! Fleets of which a part hears nothing: several processes of the program, and faults on the links between them. What is asserted
//! are rules and units, never speed. With `[quotas] fenced` the keepers of a quota never grant more than the whole together,
//! whoever hears whom; without it two that do not hear each other each grant it all, which the first test shows as well.

mod common;

use common::fleet_with;
use saffronpaddle_fleet_harness::Report;

const FENCED: &str = "[quotas]\nfenced = true\n";
/// Units that who stands by may begin with: one try's for each customer.
const BEGINNINGS: f64 = 24.0;

/// Twenty-four nodes, each customer through all of them at half as much again as its quota; a fault from 3 s on.
fn pressed(name: &str, more: &str) -> String {
    format!(
        "name = \"{name}\"\ninstances = 24\nservers = 6\ncustomers = 24\nrate = 180\ntimes_quota = 1.5\n\
         spread_least = 24\nspread_most = 24\nduration_ms = 12000\n\
         [[side]]\nname = \"west\"\nhas = \"n0-n11\"\n[[side]]\nname = \"east\"\nhas = \"n12-n23\"\n{more}"
    )
}

/// No rule is broken, and nothing goes beyond quotas but what is derived.
fn within_the_whole(report: &Report) {
    assert!(report.good(), "{report}");
    let all = report.within("all", 0, 12);
    assert!(
        all.beyond <= BEGINNINGS,
        "{} units beyond\n{}\n{report}",
        all.beyond,
        report.table()
    );
    assert!(all.served > 200, "and quotas are used\n{report}");
}

fn split(sides: &str) -> String {
    format!("[[step]]\ndo = \"split\"\nsides = \"{sides}\"\nat_ms = 3000\nfor_ms = 6000\n")
}

#[test]
fn two_halves_that_do_not_hear_each_other_grant_no_more_than_the_whole() {
    within_the_whole(&fleet_with(
        "apart-halves",
        &pressed("halves", &split("west,east")),
        FENCED,
    ));
}

#[test]
fn two_halves_whose_keepers_are_not_fenced_each_grant_the_whole() {
    let report = fleet_with(
        "apart-unfenced",
        &pressed("unfenced", &split("west,east")),
        "",
    );
    assert!(report.good(), "{report}");
    let apart = report.within("all", 3, 9);
    assert!(
        apart.beyond > 2.0 * BEGINNINGS,
        "what the fence is for is not seen: {apart:?}"
    );
}

#[test]
fn nodes_that_are_each_alone_use_what_is_lent_and_no_more() {
    within_the_whole(&fleet_with(
        "apart-each",
        &pressed("each", &split("each")),
        FENCED,
    ));
}

/// One hears both others, which do not hear each other.
#[test]
fn sides_that_overlap_grant_no_more_than_the_whole() {
    let sides =
        "[[side]]\nname = \"a\"\nhas = \"n0-n14\"\n[[side]]\nname = \"b\"\nhas = \"n9-n23\"\n";
    let text = pressed("overlap", &format!("{sides}{}", split("a,b")));
    within_the_whole(&fleet_with("apart-overlap", &text, FENCED));
}

#[test]
fn a_half_that_is_not_heard_and_hears_grants_no_more_than_the_whole() {
    let step = "[[step]]\ndo = \"link\"\nfrom = \"west\"\nto = \"east\"\none_way = true\nloss = 1.0\nat_ms = 3000\nfor_ms = 6000\n";
    within_the_whole(&fleet_with(
        "apart-oneway",
        &pressed("oneway", step),
        FENCED,
    ));
}

/// Asks and answers that are lost, doubled and late take units from the customer, never from the quota.
#[test]
fn links_that_lose_a_third_double_and_delay_grant_no_more_than_the_whole() {
    let step = "[[step]]\ndo = \"peers\"\nloss = 0.3\ndoubled = 0.3\ndelay_ms = 120\n";
    let report = fleet_with("apart-lossy", &pressed("lossy", step), FENCED);
    assert!(report.good(), "{report}");
    assert!(report.within("all", 0, 12).beyond <= BEGINNINGS, "{report}");
}

/// Eight that stood still wake together, with queues of old words and leases that are over.
#[test]
fn nodes_that_stood_still_and_wake_grant_no_more_than_the_whole() {
    let step = "[[step]]\ndo = \"pause\"\nat_ms = 3000\ncount = 8\nfor_ms = 4000\n";
    let report = fleet_with("apart-still", &pressed("still", step), FENCED);
    within_the_whole(&report);
    assert!(report.verdict.paused > 0, "some tries were held: {report}");
}
