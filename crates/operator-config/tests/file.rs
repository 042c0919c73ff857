//! The operator file, good and bad.

use saffronpaddle_operator_config::Operator;

const SHIPPED: &str = include_str!("../../../deploy/operator.toml");

fn faults(text: &str) -> Vec<String> {
    let faults = Operator::parse(text).expect_err("it is bad");
    assert_eq!(faults.to_string().lines().count(), 1, "one line");
    faults.0.iter().map(ToString::to_string).collect()
}

#[test]
fn an_empty_file_is_the_default() {
    assert_eq!(Operator::parse(""), Ok(Operator::default()));
}

/// Guards against a shipped file whose comments tell other defaults than the code has, or name keys that are gone.
#[test]
fn the_shipped_file_is_all_comments_and_each_shows_the_default() {
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
    assert!(keys >= 25, "{keys} keys");
}

#[test]
fn all_faults_are_told_at_once_with_their_keys() {
    let text =
        "[ready]\nlist_within_ms = -1\nmemory_share = \"all\"\nlags = 1\n[stop]\nleave_for_ms = 9999999\n\
                [listen]\nname = \"a:b\"\nreuse_port = 1\n[etcetera]\na = 1\n";
    let told = faults(text);
    let keys: Vec<&str> = told
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
        assert!(keys.contains(&key), "{key} in {told:?}");
    }
    assert_eq!(keys.len(), all.len(), "{told:?}");
}

#[test]
fn a_section_that_is_none_and_a_text_that_is_no_toml_are_told() {
    assert_eq!(
        faults("ready = 5"),
        ["ready: must be a section, not a number"]
    );
    let told = faults("[ready]\nlag_ms = = 5\n");
    assert!(told[0].starts_with("line 2: "), "{told:?}");
}

#[test]
fn nought_turns_a_condition_off() {
    let text = "[ready]\nlist_within_ms = 0\npeers_within_ms = 0\nfree_descriptors = 0\nmemory_share = 1\n\
                clock_step_ms = 0\nlag_ms = 0";
    assert!(Operator::parse(text).expect("it is good").ready.is_none());
    assert!(!Operator::default().ready.is_none());
}

#[test]
fn etcd_is_on_once_it_has_endpoints_and_its_pairs_go_together() {
    let operator =
        Operator::parse("[etcd]\nendpoints = [\"127.0.0.1:2379\", \"[::1]:2379\"]\ninstead = true")
            .expect("good");
    let etcd = operator.etcd.expect("on");
    assert!(etcd.endpoints.len() == 2 && etcd.instead && etcd.prefix == "/saffronpaddle/servers/");
    let told = faults(
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
            told.iter()
                .any(|fault| fault.starts_with(&format!("etcd.{key}: "))),
            "{key} in {told:?}"
        );
    }
    assert_eq!(told.len(), 5, "{told:?}");
}
