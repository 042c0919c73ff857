//! The scale run as its users start it.

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

/// It is refused with one line, and nothing was started or written.
fn refused(arguments: &[&str], because: &str) {
    let output = scale(arguments);
    let (out, err) = (
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    assert_eq!(output.status.code(), Some(2), "{arguments:?}: {err}");
    assert_eq!(err.lines().count(), 1, "{arguments:?}: {err}");
    assert!(err.contains(because), "{arguments:?}: {err}");
    assert_eq!(out, "", "{arguments:?}");
}

#[test]
fn what_is_wrong_is_refused_with_one_line_before_anything_starts() {
    refused(&["--no-such"], "--no-such");
    refused(&["--sweep", "moons"], "one of nodes, servers");
    refused(&["--points", "3"], "--points needs --sweep");
    refused(
        &["--sweep", "nodes", "--points", "3,many"],
        "--points 3,many",
    );
    refused(&["--sweep", "nodes", "--points", "2.5"], "whole number");
    refused(
        &["--sweep", "nodes", "--points", "30,0"],
        "nodes 0 is not from 1 to 2700",
    );
    refused(
        &["--sweep", "nodes", "--points", "2701"],
        "nodes 2701 is not from 1 to 2700",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--servers", "0"],
        "servers 0 is not from 1 to 100000",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--tries", "NaN"],
        "tries NaN is not from 0 to 1000",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--real", "4"],
        "real 4 is more than nodes 3",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--present", "4"],
        "present 4 is more than nodes 3",
    );
    refused(
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
    refused(
        &["--sweep", "nodes", "--points", "3", "--spread", "4"],
        "spread 4 is not from 0 to 3",
    );
    refused(
        &["--sweep", "restart", "--points", "1.5"],
        "restart 1.5 is not from 0 to 1",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--seconds", "3600"],
        "seconds 3600 is not from 1 to 60",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--list", "wishes"],
        "agent or service",
    );
    refused(&["nodes"], "nodes");
    refused(&["--sweep"], "--sweep");
    refused(&["--sweep", "nodes", "--points", ""], "--points");
    refused(&["--sweep", "tenants", "--quick"], "give --points");
    refused(
        &["--sweep", "tenants", "--points", "0"],
        "tenants 0 is not from 1 to 1000000",
    );
    refused(
        &["--sweep", "tries", "--points", "-1"],
        "tries -1 is not from 0 to 1000",
    );
    refused(
        &["--sweep", "changes", "--points", "1001"],
        "changes 1001 is not from 0 to 1000",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--skew", "3"],
        "skew 3 is not from 0 to 2",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--servers", "1e3"],
        "--servers 1e3",
    );
    refused(
        &["--sweep", "nodes", "--points", "3", "--seconds", "0"],
        "seconds 0 is not from 1 to 60",
    );
    refused(
        &["--sweep", "nodes", "--points", "3,30,3"],
        "point 3 is there twice",
    );
    refused(
        &["--sweep", "nodes", "--nodes", "3"],
        "--nodes beside --sweep nodes",
    );
}

#[test]
fn what_takes_longer_than_a_run_may_or_has_nowhere_to_be_written_is_refused() {
    refused(
        &["--sweep", "nodes", "--points", "3", "--seconds", "50"],
        "a point may take 90s",
    );
    refused(&["--seconds", "20"], "all may take 590s");
    refused(
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
    refused(
        &["--sweep", "nodes", "--points", "3", "--plot", "/"],
        "/ is not a file in a folder",
    );
}

#[test]
fn a_fleet_that_the_machine_does_not_bear_is_refused_with_what_it_needs() {
    refused(
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

type Written = Vec<BTreeMap<String, String>>;

fn read(file: &Path) -> Written {
    let mut reader = csv::Reader::from_path(file).expect("rows were written");
    reader
        .deserialize()
        .map(|row| row.expect("a row"))
        .collect()
}

fn figure(rows: &Written, measure: &str) -> f64 {
    let row = rows
        .iter()
        .find(|row| row["measure"] == measure)
        .unwrap_or_else(|| panic!("{measure}: {rows:?}"));
    row["value"].parse().expect("a figure")
}

#[test]
fn a_few_nodes_of_a_large_fleet_serve_from_their_working_set() {
    let file = std::env::temp_dir().join(format!(
        "saffronpaddle-scale-few-{}.csv",
        std::process::id()
    ));
    let csv = file.to_str().expect("a path");
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
    let rows = read(&file);
    assert!(
        rows.iter()
            .all(|row| row["nodes"] == "300" && row["present"] == "3"),
        "{out}"
    );
    assert!(
        figure(&rows, "done") > 0.0 && figure(&rows, "served_share") > 0.9,
        "{out}"
    );
    assert!(
        figure(&rows, "words_taken") > 0.0,
        "the three ask one another: {out}"
    );
    assert!(
        rows.iter().all(|row| row["measure"] != "words_lost"),
        "what is said to absent ones is no loss: {out}"
    );
    let _ = std::fs::remove_file(&file);
}

#[test]
fn hollow_nodes_get_lists_answer_tries_ask_one_another_and_act_on_changes() {
    let file = std::env::temp_dir().join(format!("saffronpaddle-scale-{}.csv", std::process::id()));
    let plot = file.with_extension("svg");
    let (csv, svg) = (
        file.to_str().expect("a path"),
        plot.to_str().expect("a path"),
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
        out.contains("services: not carried by the program"),
        "{out}"
    );
    let rows = read(&file);
    let figure = |measure: &str| figure(&rows, measure);
    // No bound here hangs on how quick the machine is.
    assert!(rows
        .iter()
        .all(|row| ["real", "hollow", "reckoned"].contains(&row["kind"].as_str())));
    assert!(
        rows.iter().all(|row| row["kind"] != "real"),
        "no process of the program ran"
    );
    assert!(figure("offered") > 0.0 && figure("done") > 0.0 && figure("served_share") > 0.0);
    assert!(figure("words_sent") > 0.0 && figure("words_taken") > 0.0);
    assert!(figure("first_list_max") > 0.0 && figure("change_node_p50") > 0.0);
    assert!(figure("connections") > 0.0 && figure("list_bytes") > 0.0);
    assert_eq!(figure("restarted"), 12.0);
    assert!(figure("restart_listed_max") > 0.0);
    assert!(std::fs::read_to_string(&plot).is_ok_and(|text| text.contains("<svg")));
    let _ = (std::fs::remove_file(&file), std::fs::remove_file(&plot));
}
