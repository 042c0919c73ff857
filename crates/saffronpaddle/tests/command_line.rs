//! The interface of the program to scripts and service managers: names of subcommands and options, exit codes, and the
//! keys of the metrics. Scripts depend on them: they may be added to, but never renamed.

use saffronpaddle_test_doubles::scripted::*;
use std::process::{Command, Output};

/// Keys of the response to `INFO`, one per line, in order.
const METRIC_KEYS: &str = include_str!("fixtures/info_keys.txt");

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    for name in [
        "LB_CONFIG",
        "LB_NAME",
        "LB_LISTEN",
        "LB_DISCOVERY",
        "SAFFRONPADDLE_OPERATOR",
    ] {
        command.env_remove(name);
    }
    command
        .args(arguments)
        .output()
        .expect("the program starts")
}

fn exit_code(arguments: &[&str]) -> Option<i32> {
    run(arguments).status.code()
}

/// Runs the program, which must fail. Returns what it wrote to standard error.
fn error_output(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(1), "{arguments:?}");
    String::from_utf8(output.stderr).expect("standard error is UTF-8")
}

#[test]
fn help_prints_every_subcommand_and_option_to_standard_output() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("standard output is UTF-8");
    let subcommands = [
        "[run]",
        "check FILE",
        "call ADDRESS",
        "demo",
        "fleet SCENARIO",
        "fleet counts",
        "fleet soak",
    ];
    let options = [
        "--operator",
        "--listen",
        "--seed",
        "--json",
        "--instances",
        "--rate",
        "--seconds",
        "--keep",
        "--roster",
        "--servers",
        "--table",
        "--program",
        "--virtual",
        "--csv",
        "--runs",
        "--short",
        "--no-shrink",
        "--preload",
        "--help",
        "--version",
    ];
    let commands = ["PING", "INFO", "LAMEDUCK", "REJOIN"];
    for expected in subcommands.iter().chain(&options).chain(&commands) {
        assert!(
            text.contains(expected),
            "the help text lacks {expected:?}:\n{text}"
        );
    }
}

#[test]
fn every_option_is_accepted_by_its_subcommand_and_unknown_ones_are_reported() {
    let with_value = [
        "--seed",
        "--json",
        "--keep",
        "--program",
        "--servers",
        "--instances",
        "--rate",
        "--seconds",
    ];
    for option in with_value.into_iter().chain(["--operator", "--roster"]) {
        let stderr = error_output(&["fleet", "calm", option]);
        assert!(stderr.contains("missing argument"), "{option}: {stderr}");
    }
    for option in ["--seed", "--runs", "--program", "--keep", "--preload"] {
        let stderr = error_output(&["fleet", "soak", option]);
        assert!(stderr.contains("missing argument"), "{option}: {stderr}");
    }
    // Flags are accepted: the error is about the argument after them.
    for flags in [
        ["fleet", "--table"],
        ["fleet", "--virtual"],
        ["fleet soak", "--short"],
        ["fleet soak", "--no-shrink"],
        ["fleet soak", "--keep-passed"],
        ["fleet soak", "--plan"],
    ] {
        let arguments: Vec<&str> = flags[0].split(' ').chain([flags[1], "--none"]).collect();
        let stderr = error_output(&arguments);
        assert!(stderr.contains("--none"), "{arguments:?}: {stderr}");
    }
    for arguments in [
        ["fleet", "counts", "--csv", "--none"],
        ["demo", "--listen", "127.0.0.1:0", "--none"],
    ] {
        assert!(error_output(&arguments).contains("--none"), "{arguments:?}");
    }
    assert!(error_output(&["run", "--operator"]).contains("missing argument"));
    assert!(error_output(&["--operator"]).contains("missing argument"));
    assert!(error_output(&["frobnicate"]).contains("frobnicate"));
}

#[test]
fn exit_codes_are_0_for_success_and_1_for_failure() {
    assert_eq!(exit_code(&["--version"]), Some(0));
    assert_eq!(exit_code(&["-V"]), Some(0));
    assert_eq!(exit_code(&["-h"]), Some(0));
    assert_eq!(
        exit_code(&[
            "check",
            concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.toml")
        ]),
        Some(0)
    );
    assert_eq!(exit_code(&["check", "/nowhere/operator.toml"]), Some(1));
    assert_eq!(exit_code(&["check"]), Some(1));
    assert_eq!(exit_code(&["run"]), Some(1), "no configuration is set");
    assert_eq!(exit_code(&[]), Some(1), "no configuration is set");
    assert_eq!(
        exit_code(&["call", "127.0.0.1:1", "PING"]),
        Some(1),
        "no node listens at the address"
    );
    assert_eq!(exit_code(&["fleet"]), Some(1), "no scenario is named");
}

#[test]
fn check_reports_the_key_of_an_error_in_an_operator_file() {
    let path = std::env::temp_dir().join(format!("saffronpaddle-{}-bad.toml", std::process::id()));
    std::fs::write(&path, "[ready]\nlag = 5\n").expect("the operator file can be written");
    let stderr = error_output(&["check", path.to_str().expect("the path is UTF-8")]);
    std::fs::remove_file(&path).expect("the operator file can be removed");
    assert!(stderr.contains("ready.lag: unknown key"), "{stderr}");
}

#[test]
fn info_responds_with_exactly_the_documented_metric_keys() {
    let (servers, discovery, admin) = (Servers::new(), Discovery::start(), free_address());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let _node = Node::start_with_command("info-keys", discovery.address, &hosts, 1024, |command| {
        command.env("LB_ADMIN_ADDR", admin.to_string());
    });
    let metrics = admin_request(admin, "INFO\n");
    let key = |line: &str| {
        line.rsplit_once(' ')
            .map_or(line, |(key, _)| key)
            .to_owned()
            + "\n"
    };
    let keys: String = metrics.lines().map(key).collect();
    assert_eq!(keys, METRIC_KEYS, "the keys of the response are:\n{keys}");
}
