//! Valid and faulty operator files.

use saffronpaddle_operator_config::Operator;

/// The operator file as it is shipped.
const SHIPPED: &str = include_str!("../../../deploy/operator.toml");

fn faults(text: &str) -> Vec<String> {
    let faults = Operator::parse(text).expect_err("the file has faults");
    assert_eq!(
        faults.to_string().lines().count(),
        1,
        "the faults are written on one line"
    );
    faults.0.iter().map(ToString::to_string).collect()
}

#[test]
fn an_empty_file_is_the_default() {
    assert_eq!(Operator::parse(""), Ok(Operator::default()));
}

/// Operators read the defaults in the shipped file. A default or key that was changed only in the code would mislead
/// them.
#[test]
fn every_key_in_the_shipped_file_is_commented_out_and_shows_its_default() {
    assert_eq!(Operator::parse(SHIPPED), Ok(Operator::default()));
    let mut keys = 0;
    let uncommented = SHIPPED.lines().map(|line| match line.strip_prefix("# ") {
        Some(key)
            if key.contains(" = ") && key.starts_with(|first: char| first.is_ascii_lowercase()) =>
        {
            keys += 1;
            format!("{key}\n")
        }
        _ => format!("{line}\n"),
    });
    let uncommented: String = uncommented.collect();
    assert_eq!(Operator::parse(&uncommented), Ok(Operator::default()));
    assert!(keys >= 25, "only {keys} keys were found");
}

#[test]
fn all_faults_are_reported_at_once_with_their_keys() {
    let text =
        "[ready]\nlist_within_ms = -1\nmemory_share = \"all\"\nlags = 1\n[stop]\nleave_for_ms = 9999999\n\
                [listen]\nname = \"a:b\"\nreuse_port = 1\n[etcetera]\na = 1\n";
    let faults = faults(text);
    let keys: Vec<&str> = faults
        .iter()
        .map(|fault| fault.split(": ").next().expect("a key"))
        .collect();
    let all = [
        "listen.name",
        "listen.reuse_port",
        "ready.list_within_ms",
        "ready.memory_share",
        "ready.lags",
        "stop.leave_for_ms",
        "etcetera",
    ];
    for key in all {
        assert!(keys.contains(&key), "{key} in {faults:?}");
    }
    assert_eq!(keys.len(), all.len(), "one fault per key: {faults:?}");
}

#[test]
fn a_value_in_place_of_a_section_and_invalid_toml_are_faults() {
    assert_eq!(
        faults("ready = 5"),
        ["ready: must be a section, not a number"]
    );
    let faults = faults("[ready]\nlag_ms = = 5\n");
    assert!(
        faults[0].starts_with("line 2: "),
        "the fault names its line: {faults:?}"
    );
}

#[test]
fn zero_disables_a_condition() {
    let text = "[ready]\nlist_within_ms = 0\npeers_within_ms = 0\nfree_descriptors = 0\nmemory_share = 1\n\
                clock_step_ms = 0\nlag_ms = 0";
    assert!(Operator::parse(text).expect("no faults").ready.is_none());
    assert!(!Operator::default().ready.is_none());
}

#[test]
fn etcd_is_enabled_by_endpoints_and_its_paired_keys_must_both_be_set() {
    let operator =
        Operator::parse("[etcd]\nendpoints = [\"127.0.0.1:2379\", \"[::1]:2379\"]\ninstead = true")
            .expect("no faults");
    let etcd = operator.etcd.expect("etcd is enabled");
    assert!(etcd.endpoints.len() == 2 && etcd.instead && etcd.prefix == "/saffronpaddle/servers/");
    let faults = faults(
        "[etcd]\nendpoints = [\"nowhere\"]\nuser = \"u\"\ntls_name = \"n\"\nsilent_after_ms = 500\nprefix = \"x\"",
    );
    for key in [
        "endpoints",
        "password_file",
        "tls_ca_file",
        "silent_after_ms",
        "prefix",
    ] {
        assert!(
            faults
                .iter()
                .any(|fault| fault.starts_with(&format!("etcd.{key}: "))),
            "{key} in {faults:?}"
        );
    }
    assert_eq!(faults.len(), 5, "one fault per key: {faults:?}");
}
