//! The subcommand `scale`, run as a process.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, Output};

fn scale(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_saffronpaddle-bench"));
    command
        .env("RUST_BACKTRACE", "1")
        .arg("scale")
        .args(arguments)
        .output()
        .expect("the program starts")
}

/// Asserts that the arguments are rejected with exit code 2 and one line on standard error, and nothing is written to
/// standard output.
fn assert_rejected(arguments: &[&str], expected_error: &str) {
    let output = scale(arguments);
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert_eq!(output.status.code(), Some(2), "{arguments:?}: {err}");
    assert_eq!(err.lines().count(), 1, "{arguments:?}: {err}");
    assert!(err.contains(expected_error), "{arguments:?}: {err}");
    assert_eq!(out, "", "{arguments:?}");
}

#[test]
fn invalid_arguments_are_rejected_with_one_line_before_anything_starts() {
    assert_rejected(&["--no-such"], "--no-such");
    assert_rejected(&["--sweep", "moons"], "one of nodes, servers");
    assert_rejected(&["--points", "3"], "--points needs --sweep");
    assert_rejected(
        &["--sweep", "nodes", "--points", "3,many"],
        "--points 3,many",
    );
    assert_rejected(&["--sweep", "nodes", "--points", "2.5"], "whole number");
    assert_rejected(
        &["--sweep", "nodes", "--points", "30,0"],
        "nodes 0 is not from 1 to 2700",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "2701"],
        "nodes 2701 is not from 1 to 2700",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--servers", "0"],
        "servers 0 is not from 1 to 100000",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--tries", "NaN"],
        "tries NaN is not from 0 to 1000",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--real", "4"],
        "real 4 is more than nodes 3",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--present", "4"],
        "present 4 is more than nodes 3",
    );
    assert_rejected(
        &[
            "--sweep",
            "nodes",
            "--points",
            "30",
            "--present",
            "2",
            "--real",
            "3",
        ],
        "real 3 is more than nodes 2",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--spread", "4"],
        "spread 4 is not from 0 to 3",
    );
    assert_rejected(
        &["--sweep", "restart", "--points", "1.5"],
        "restart 1.5 is not from 0 to 1",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--seconds", "3600"],
        "seconds 3600 is not from 1 to 60",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--list", "wishes"],
        "agent or service",
    );
    assert_rejected(&["nodes"], "nodes");
    assert_rejected(&["--sweep"], "--sweep");
    assert_rejected(&["--sweep", "nodes", "--points", ""], "--points");
    assert_rejected(&["--sweep", "tenants", "--quick"], "give --points");
    assert_rejected(
        &["--sweep", "tenants", "--points", "0"],
        "tenants 0 is not from 1 to 1000000",
    );
    assert_rejected(
        &["--sweep", "tries", "--points", "-1"],
        "tries -1 is not from 0 to 1000",
    );
    assert_rejected(
        &["--sweep", "changes", "--points", "1001"],
        "changes 1001 is not from 0 to 1000",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--skew", "3"],
        "skew 3 is not from 0 to 2",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--servers", "1e3"],
        "--servers 1e3",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--seconds", "0"],
        "seconds 0 is not from 1 to 60",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3,30,3"],
        "point 3 is given twice",
    );
    assert_rejected(
        &["--sweep", "nodes", "--nodes", "3"],
        "--nodes cannot be combined with --sweep nodes",
    );
}

#[test]
fn runs_that_exceed_the_time_limits_or_name_an_unwritable_file_are_rejected() {
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--seconds", "50"],
        "a point may take 90s",
    );
    assert_rejected(&["--seconds", "20"], "all may take 590s");
    assert_rejected(
        &[
            "--sweep",
            "nodes",
            "--points",
            "3",
            "--csv",
            "/no/such/rows.csv",
        ],
        "/no/such/rows.csv is not",
    );
    assert_rejected(
        &["--sweep", "nodes", "--points", "3", "--plot", "/"],
        "/ is not a file in an existing folder",
    );
}

#[test]
fn a_fleet_that_needs_more_memory_than_the_machine_has_is_rejected() {
    assert_rejected(
        &[
            "--sweep",
            "nodes",
            "--points",
            "2700",
            "--servers",
            "100000",
        ],
        "GB may be used here",
    );
}

/// Rows of the CSV file, by column.
type Rows = Vec<BTreeMap<String, String>>;

fn read_csv(file: &Path) -> Rows {
    let mut reader = csv::Reader::from_path(file).expect("the run wrote a CSV file");
    reader
        .deserialize()
        .map(|row| row.expect("a row of the CSV file is valid"))
        .collect()
}

fn value_of(rows: &Rows, measure: &str) -> f64 {
    let row = rows
        .iter()
        .find(|row| row["measure"] == measure)
        .unwrap_or_else(|| panic!("{measure}: {rows:?}"));
    row["value"].parse().expect("the value is a number")
}

#[test]
fn a_few_running_nodes_of_a_large_fleet_serve_requests() {
    let file = std::env::temp_dir().join(format!(
        "saffronpaddle-scale-few-{}.csv",
        std::process::id()
    ));
    let csv = file
        .to_str()
        .expect("the path of the temporary file is UTF-8");
    let arguments = [
        "--sweep",
        "servers",
        "--points",
        "3000",
        "--nodes",
        "300",
        "--present",
        "3",
        "--real",
        "0",
    ];
    let output = scale(
        &[
            &arguments[..],
            &["--seconds", "2", "--tries", "40", "--csv", csv],
        ]
        .concat(),
    );
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(output.status.success(), "{out}{err}");
    let rows = read_csv(&file);
    assert!(
        rows.iter()
            .all(|row| row["nodes"] == "300" && row["present"] == "3"),
        "{out}"
    );
    assert!(
        value_of(&rows, "done") > 0.0 && value_of(&rows, "served_share") > 0.9,
        "{out}"
    );
    assert!(
        value_of(&rows, "words_taken") > 0.0,
        "the three nodes exchange datagrams: {out}"
    );
    assert!(
        rows.iter().all(|row| row["measure"] != "words_lost"),
        "datagrams to nodes that do not run do not count as lost: {out}"
    );
    let _ = std::fs::remove_file(&file);
}

#[test]
fn hollow_nodes_receive_lists_serve_requests_exchange_datagrams_and_apply_changes() {
    let file = std::env::temp_dir().join(format!("saffronpaddle-scale-{}.csv", std::process::id()));
    let plot = file.with_extension("svg");
    let (csv, svg) = (
        file.to_str()
            .expect("the path of the temporary file is UTF-8"),
        plot.to_str()
            .expect("the path of the temporary file is UTF-8"),
    );
    let arguments = [
        "--sweep",
        "nodes",
        "--points",
        "24",
        "--real",
        "0",
        "--servers",
        "30",
        "--seconds",
        "2",
    ];
    let more = [
        "--tries",
        "20",
        "--changes",
        "5",
        "--restart",
        "0.5",
        "--csv",
        csv,
        "--plot",
        svg,
    ];
    let output = scale(&[&arguments[..], &more[..]].concat());
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert!(output.status.success(), "{out}{err}");
    assert!(
        out.contains("services: not measured (the program has one list of servers"),
        "{out}"
    );
    let rows = read_csv(&file);
    let value = |measure: &str| value_of(&rows, measure);
    // No assertion depends on the speed of the machine.
    assert!(rows
        .iter()
        .all(|row| ["real", "hollow", "reckoned"].contains(&row["kind"].as_str())));
    assert!(
        rows.iter().all(|row| row["kind"] != "real"),
        "no process of the program ran"
    );
    assert!(value("offered") > 0.0 && value("done") > 0.0 && value("served_share") > 0.0);
    assert!(value("words_sent") > 0.0 && value("words_taken") > 0.0);
    assert!(value("first_list_max") > 0.0 && value("change_node_p50") > 0.0);
    assert!(value("connections") > 0.0 && value("list_bytes") > 0.0);
    assert_eq!(value("restarted"), 12.0);
    assert!(value("restart_listed_max") > 0.0);
    assert!(std::fs::read_to_string(&plot).is_ok_and(|text| text.contains("<svg")));
    let _ = (std::fs::remove_file(&file), std::fs::remove_file(&plot));
}
