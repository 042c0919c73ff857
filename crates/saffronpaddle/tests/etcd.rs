//! An edge node whose roster comes from etcd, before a stand-in cluster and scripted app servers.

mod common;

use common::fleet;
use saffronpaddle_test_doubles::etcd::Etcd;
use saffronpaddle_test_doubles::scripted::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

const PREFIX: &str = "/saffronpaddle/servers/";

/// An operator file that follows these members.
fn operator(tag: &str, endpoints: &[SocketAddr], more: &str) -> TempFile {
    let endpoints: Vec<String> = endpoints
        .iter()
        .map(|address| format!("\"{address}\""))
        .collect();
    let text = format!(
        "[ready]\npeers_within_ms = 1\nlist_within_ms = 600000\n[etcd]\nendpoints = [{}]\nprobe_every_ms = 100\n\
         silent_after_ms = 500\n{more}\n",
        endpoints.join(", ")
    );
    TempFile::new(&format!("{tag}.toml"), &text)
}

fn value(dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":1.0,"born_ms":1}}"#
    )
}

fn key(host: &str) -> String {
    format!("{PREFIX}{host}")
}

fn cluster(members: usize) -> (Runtime, Etcd) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("a runtime");
    let etcd = runtime.block_on(Etcd::start(members)).expect("a cluster");
    (runtime, etcd)
}

fn node(tag: &str, discovery: SocketAddr, hosts: &[String], file: &TempFile) -> Node {
    Node::start_with_command(tag, discovery, hosts, 1024, |command| {
        command.arg("run").arg("--operator").arg(&file.0);
    })
}

/// Asks until the node is ready: etcd has told it a list.
fn until_ready(client: &mut Client) {
    let begun = Instant::now();
    while client
        .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
        .status()
        != 200
    {
        assert!(begun.elapsed() < TEST_TIMEOUT, "never ready");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Asks until an answer comes from this server, and from it alone so many times.
fn until_only(client: &mut Client, servers: &Servers, name: &str, tag: &str) {
    let (begun, mut row, mut number) = (Instant::now(), 0, 0);
    while row < 12 {
        number += 1;
        let answer = client.exchange(&request(&format!("{tag}{number}"), "read", "20000m"));
        if answer.status() != 200 {
            assert!(
                begun.elapsed() < TEST_TIMEOUT,
                "only {name}: {}",
                answer.start_line
            );
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        row = if servers.next_request().server == name {
            row + 1
        } else {
            0
        };
        assert!(begun.elapsed() < TEST_TIMEOUT, "only {name}");
    }
}

#[test]
fn a_node_follows_etcd_instead_of_discovery() {
    let (_runtime, etcd) = cluster(2);
    let (servers, silent) = (Servers::new(), Discovery::start());
    let (one, two) = (
        servers.start("s-1", &[REPLY_OK]),
        servers.start("s-2", &[REPLY_OK]),
    );
    etcd.put(&key("s-1"), &value(one, "ready"));
    let file = operator("instead", &etcd.endpoints(), "instead = true");
    let node = node("instead", silent.address, &[], &file);
    let mut client = node.connect();
    until_only(&mut client, &servers, "s-1", "a");
    until_ready(&mut client);
    etcd.put(&key("s-2"), &value(two, "ready"));
    etcd.put(&key("s-1"), &value(one, "draining"));
    until_only(&mut client, &servers, "s-2", "b");
    // Compacted past, with a removal in the gap, and every member cut.
    etcd.members
        .iter()
        .for_each(|member| member.set_faults(|faults| faults.refuse_connections = true));
    etcd.members
        .iter()
        .for_each(saffronpaddle_test_doubles::etcd::Member::cut_connections);
    etcd.put(&key("s-1"), &value(one, "ready"));
    etcd.compact(etcd.delete(&key("s-2")));
    etcd.members
        .iter()
        .for_each(|member| member.set_faults(|faults| faults.refuse_connections = false));
    until_only(&mut client, &servers, "s-1", "c");
}

/// Discovery and etcd contradict each other: the more careful one is believed, whichever it is.
#[test]
fn of_two_sources_that_contradict_each_other_the_more_careful_is_followed() {
    let (_runtime, etcd) = cluster(1);
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let (one, two) = (
        servers.start("s-1", &[REPLY_OK]),
        servers.start("s-2", &[REPLY_OK]),
    );
    etcd.apply(&[
        (&key("s-1"), Some(&value(one, "ready"))),
        (&key("s-2"), Some(&value(two, "ready"))),
    ]);
    let file = operator("both", &etcd.endpoints(), "");
    let hosts = [
        host_json("s-1", one, 1, "ready"),
        host_json("s-2", two, 1, "ready"),
    ];
    let node = node("both", discovery.address, &hosts, &file);
    let (_, mut watch) = discovery.next_watch();
    let mut client = node.connect();
    // Discovery drains one that etcd has as ready.
    write_list(
        &mut watch,
        &list_json(2, false, &[host_json("s-1", one, 1, "draining")]),
    );
    until_only(&mut client, &servers, "s-2", "a");
    // Etcd drains the other, and discovery takes its word back.
    write_list(
        &mut watch,
        &list_json(3, false, &[host_json("s-1", one, 1, "ready")]),
    );
    etcd.put(&key("s-2"), &value(two, "draining"));
    until_only(&mut client, &servers, "s-1", "b");
    // Removed in etcd, ready in discovery.
    etcd.put(&key("s-2"), &value(two, "ready"));
    etcd.delete(&key("s-1"));
    until_only(&mut client, &servers, "s-2", "c");
}

/// Ten thousand changes come while requests flow, and among them the drains of five hundred entries that all lead to one
/// server: each request is answered, and one drain that was lost would bring work to it still.
#[test]
fn an_event_storm_holds_up_no_request_and_loses_no_drain() {
    let (_runtime, etcd) = cluster(1);
    let (servers, silent) = (Servers::new(), Discovery::start());
    let (one, two) = (
        servers.start("s-1", &[REPLY_OK]),
        servers.start("s-2", &[REPLY_OK]),
    );
    etcd.put(&key("s-2"), &value(two, "ready"));
    (0..500).for_each(|number| _ = etcd.put(&key(&format!("x-{number}")), &value(one, "ready")));
    let file = operator("storm", &etcd.endpoints(), "instead = true");
    let node = node("storm", silent.address, &[], &file);
    let mut client = node.connect();
    until_ready(&mut client);
    let (writer, answered) = (etcd.clone(), Arc::new(AtomicUsize::new(0)));
    let seen = Arc::clone(&answered);
    let storm = std::thread::spawn(move || {
        for number in 0..10_000 {
            // Requests flow beside it, whatever the speed of either.
            while seen.load(Ordering::Relaxed) < number / 500 {
                std::thread::yield_now();
            }
            let host = if number % 20 == 0 {
                format!("x-{}", number / 20)
            } else {
                format!("z-{}", number % 999)
            };
            writer.put(&key(&host), &value(one, "draining"));
        }
    });
    while !storm.is_finished() {
        let number = answered.load(Ordering::Relaxed);
        let answer = client.exchange(&request(&format!("r{number}"), "read", "20000m"));
        assert_eq!(answer.status(), 200, "{number}");
        servers.next_request();
        answered.store(number + 1, Ordering::Relaxed);
    }
    storm.join().expect("it ends");
    until_only(&mut client, &servers, "s-2", "d");
}

/// Drains are told through etcd alone while its members cut their connections: from the write of the event on, 250 ms.
#[test]
fn no_new_work_reaches_a_drained_server_after_its_grace_across_forced_reconnects() {
    let text =
        "name = \"drained\"\ninstances = 2\nservers = 6\ncustomers = 48\nrate = 120\nduration_ms = 9000\n\
                roster = \"etcd\"\nmembers = 3\n\
                [[step]]\ndo = \"flip\"\nat_ms = 500\nevery_ms = 300\nfor_ms = 900\n\
                [[step]]\ndo = \"etcd-cut\"\nat_ms = 490\nevery_ms = 600\ncount = 3\n";
    let report = fleet("drained", text);
    assert!(report.good(), "{report}");
    assert!(
        report.verdict.drains > 20 && report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}
