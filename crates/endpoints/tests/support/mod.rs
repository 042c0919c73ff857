//! Builds etcd responses for the tests, and a follower that has read a first list.
#![allow(dead_code)] // Each test binary uses a part of this module.

use saffronpaddle_endpoints::*;
use std::collections::BTreeMap;
use std::time::Duration;

/// The ID of the cluster in [`header`].
pub const CLUSTER: u64 = 0xc1;
/// Unix time, in milliseconds.
pub const NOW: u64 = 1_800_000_000_000;

pub const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub fn header(revision: i64) -> Header {
    Header {
        cluster_id: CLUSTER,
        member_id: 1,
        revision,
        raft_term: 5,
    }
}

pub fn value(dial: u16, health: &str, born_ms: u64) -> Vec<u8> {
    format!(
        r#"{{"dial":"127.0.0.1:{dial}","site":"a","class":"k","block":3,"health":"{health}","born_ms":{born_ms}}}"#
    )
    .into_bytes()
}

pub fn kv(host: &str, create: i64, revision: i64, value: Vec<u8>) -> KeyValue {
    let key = format!("/board/{host}").into_bytes();
    KeyValue {
        key,
        value,
        create_revision: create,
        mod_revision: revision,
    }
}

pub fn put(host: &str, create: i64, revision: i64, health: &str) -> WatchEvent {
    WatchEvent {
        delete: false,
        kv: kv(host, create, revision, value(80, health, 7)),
    }
}

pub fn delete(host: &str, revision: i64) -> WatchEvent {
    WatchEvent {
        delete: true,
        kv: kv(host, 0, revision, Vec::new()),
    }
}

/// Returns a follower that has read three servers at revision 10.
pub fn three_servers() -> Follower {
    let mut follower = Follower::new("/board/", EmptyListRules::default());
    let kvs: Vec<_> = ["a", "b", "c"]
        .into_iter()
        .map(|host| kv(host, 2, 3, value(80, "ready", 7)))
        .collect();
    let update = follower.apply_range(header(10), &kvs, ms(1), NOW);
    assert!(update.snapshot && update.endpoints.len() == 3);
    follower
}

pub fn statuses(update: &EndpointUpdate) -> BTreeMap<&str, EndpointStatus> {
    update
        .endpoints
        .iter()
        .map(|entry| (&entry.host[..], entry.status))
        .collect()
}

/// Applies one complete response.
pub fn respond(follower: &mut Follower, revision: i64, events: Vec<WatchEvent>) -> EndpointUpdate {
    let (update, step) = follower.apply_events(header(revision), events, false, ms(100), NOW);
    assert_eq!(step, WatchStep::Continue);
    update
}
