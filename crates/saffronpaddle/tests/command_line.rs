//! The program as scripts and service managers call it: names of subcommands and options, exit codes, and the keys of
//! the figures. All of these are other people's input: they are added to and never renamed.

use saffronpaddle_test_doubles::scripted::*;
use std::process::{Command, Output};

/// Keys that `INFO` answers with, a line each, in order.
const KEYS: &str = include_str!("fixtures/info_keys.txt");

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
    command.args(arguments).output().expect("the program runs")
}

fn code(arguments: &[&str]) -> Option<i32> {
    run(arguments).status.code()
}

fn complaint(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(1), "{arguments:?}");
    String::from_utf8(output.stderr).expect("text")
}

#[test]
fn help_names_every_subcommand_and_option_on_its_standard_output() {
    let output = run(&["--help"]);
    assert_eq!(output.status.code(), Some(0));
    let text = String::from_utf8(output.stdout).expect("text");
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
    let calls = ["PING", "INFO", "LAMEDUCK", "REJOIN"];
    for word in subcommands.iter().chain(&options).chain(&calls) {
        assert!(text.contains(word), "{word}:\n{text}");
    }
}

#[test]
fn every_option_is_taken_where_it_was_and_what_is_none_is_named() {
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
        let told = complaint(&["fleet", "calm", option]);
        assert!(told.contains("missing argument"), "{option}: {told}");
    }
    for option in ["--seed", "--runs", "--program", "--keep", "--preload"] {
        let told = complaint(&["fleet", "soak", option]);
        assert!(told.contains("missing argument"), "{option}: {told}");
    }
    // Flags are taken: what is complained of is the next word.
    for flags in [
        ["fleet", "--table"],
        ["fleet", "--virtual"],
        ["fleet soak", "--short"],
        ["fleet soak", "--no-shrink"],
    ] {
        let arguments: Vec<&str> = flags[0].split(' ').chain([flags[1], "--none"]).collect();
        let told = complaint(&arguments);
        assert!(told.contains("--none"), "{arguments:?}: {told}");
    }
    for arguments in [
        ["fleet", "counts", "--csv", "--none"],
        ["demo", "--listen", "127.0.0.1:0", "--none"],
    ] {
        assert!(complaint(&arguments).contains("--none"), "{arguments:?}");
    }
    assert!(complaint(&["run", "--operator"]).contains("missing argument"));
    assert!(complaint(&["--operator"]).contains("missing argument"));
    assert!(complaint(&["frobnicate"]).contains("frobnicate"));
}

#[test]
fn exit_codes_say_whether_it_went_well() {
    assert_eq!(code(&["--version"]), Some(0));
    assert_eq!(code(&["-V"]), Some(0));
    assert_eq!(code(&["-h"]), Some(0));
    assert_eq!(
        code(&[
            "check",
            concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.toml")
        ]),
        Some(0)
    );
    assert_eq!(code(&["check", "/nowhere/operator.toml"]), Some(1));
    assert_eq!(code(&["check"]), Some(1));
    assert_eq!(code(&["run"]), Some(1), "there is no configuration");
    assert_eq!(code(&[]), Some(1), "there is no configuration");
    assert_eq!(
        code(&["call", "127.0.0.1:1", "PING"]),
        Some(1),
        "nobody answers"
    );
    assert_eq!(code(&["fleet"]), Some(1), "there is no scenario");
}

#[test]
fn a_bad_operator_file_is_told_fault_by_fault() {
    let path = std::env::temp_dir().join(format!("saffronpaddle-{}-bad.toml", std::process::id()));
    std::fs::write(&path, "[ready]\nlag = 5\n").expect("written");
    let told = complaint(&["check", path.to_str().expect("text")]);
    std::fs::remove_file(&path).expect("removed");
    assert!(told.contains("ready.lag: unknown key"), "{told}");
}

#[test]
fn figures_have_the_keys_that_staff_read() {
    let (servers, discovery, admin) = (Servers::new(), Discovery::start(), free_address());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let _node = Node::start_with_command("info-keys", discovery.address, &hosts, 1024, |command| {
        command.env("LB_ADMIN_ADDR", admin.to_string());
    });
    let figures = admin_request(admin, "INFO\n");
    let key = |line: &str| {
        line.rsplit_once(' ')
            .map_or(line, |(key, _)| key)
            .to_owned()
            + "\n"
    };
    let keys: String = figures.lines().map(key).collect();
    assert_eq!(keys, KEYS, "\n{keys}");
}
