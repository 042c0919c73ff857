//! Nodes whose server list comes from etcd, with a simulated etcd cluster and scripted app servers.

mod common;

use common::run_scenario;
use saffronpaddle_test_doubles::etcd::Etcd;
use saffronpaddle_test_doubles::scripted::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;

/// Prefix of the servers' keys in etcd.
const PREFIX: &str = "/saffronpaddle/servers/";

/// Writes an operator file with the members' `endpoints` and the settings in `more`.
fn operator_file(tag: &str, endpoints: &[SocketAddr], more: &str) -> TempFile {
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

/// Returns a server's value in etcd.
fn server_value(dial: SocketAddr, health: &str) -> String {
    format!(
        r#"{{"dial":"{dial}","site":"a","class":"k","block":1,"health":"{health}","share":1.0,"born_ms":1}}"#
    )
}

/// Returns a server's key in etcd.
fn server_key(host: &str) -> String {
    format!("{PREFIX}{host}")
}

/// Starts an etcd cluster. It runs until the runtime is dropped.
fn start_cluster(members: usize) -> (Runtime, Etcd) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let runtime = runtime.expect("the runtime starts");
    let etcd = runtime
        .block_on(Etcd::start(members))
        .expect("the cluster starts");
    (runtime, etcd)
}

fn start_node(tag: &str, discovery: SocketAddr, hosts: &[String], file: &TempFile) -> Node {
    Node::start_with_command(tag, discovery, hosts, 1024, |command| {
        command.arg("run").arg("--operator").arg(&file.0);
    })
}

/// Polls until the node is ready, which means that it has a list from etcd.
fn wait_until_ready(client: &mut Client) {
    let started = Instant::now();
    while client
        .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
        .status()
        != 200
    {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the node did not become ready within {TEST_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends requests until 12 consecutive ones are answered by the server `name`.
fn wait_until_only(client: &mut Client, servers: &Servers, name: &str, tag: &str) {
    let (started, mut consecutive, mut number) = (Instant::now(), 0, 0);
    while consecutive < 12 {
        number += 1;
        let answer = client.exchange(&request(&format!("{tag}{number}"), "read", "20000m"));
        if answer.status() != 200 {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "{name} did not answer 12 consecutive requests within {TEST_TIMEOUT:?}; the last answer: {}",
                answer.start_line
            );
            std::thread::sleep(Duration::from_millis(5));
            continue;
        }
        consecutive = if servers.next_request().server == name {
            consecutive + 1
        } else {
            0
        };
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "{name} did not answer 12 consecutive requests within {TEST_TIMEOUT:?}"
        );
    }
}

#[test]
fn a_node_takes_its_server_list_from_etcd_instead_of_discovery() {
    let (_runtime, etcd) = start_cluster(2);
    let (servers, silent) = (Servers::new(), Discovery::start());
    let (one, two) = (
        servers.start("s-1", &[REPLY_OK]),
        servers.start("s-2", &[REPLY_OK]),
    );
    etcd.put(&server_key("s-1"), &server_value(one, "ready"));
    let file = operator_file("instead", &etcd.endpoints(), "instead = true");
    let node = start_node("instead", silent.address, &[], &file);
    let mut client = node.connect();
    wait_until_only(&mut client, &servers, "s-1", "a");
    wait_until_ready(&mut client);
    etcd.put(&server_key("s-2"), &server_value(two, "ready"));
    etcd.put(&server_key("s-1"), &server_value(one, "draining"));
    wait_until_only(&mut client, &servers, "s-2", "b");
    // While every member's connections are cut, a server is removed and the revision of the removal is compacted.
    etcd.members
        .iter()
        .for_each(|member| member.set_faults(|faults| faults.refuse_connections = true));
    etcd.members
        .iter()
        .for_each(saffronpaddle_test_doubles::etcd::Member::cut_connections);
    etcd.put(&server_key("s-1"), &server_value(one, "ready"));
    etcd.compact(etcd.delete(&server_key("s-2")));
    etcd.members
        .iter()
        .for_each(|member| member.set_faults(|faults| faults.refuse_connections = false));
    wait_until_only(&mut client, &servers, "s-1", "c");
}

/// If discovery and etcd contradict each other, the one that drains or removes a server takes effect, whichever it is.
#[test]
fn a_server_gets_no_requests_if_either_discovery_or_etcd_drains_or_removes_it() {
    let (_runtime, etcd) = start_cluster(1);
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let (one, two) = (
        servers.start("s-1", &[REPLY_OK]),
        servers.start("s-2", &[REPLY_OK]),
    );
    etcd.apply(&[
        (&server_key("s-1"), Some(&server_value(one, "ready"))),
        (&server_key("s-2"), Some(&server_value(two, "ready"))),
    ]);
    let file = operator_file("both", &etcd.endpoints(), "");
    let hosts = [
        host_json("s-1", one, 1, "ready"),
        host_json("s-2", two, 1, "ready"),
    ];
    let node = start_node("both", discovery.address, &hosts, &file);
    let (_, mut watch) = discovery.next_watch();
    let mut client = node.connect();
    // Discovery drains s-1, which is ready in etcd.
    write_list(
        &mut watch,
        &list_json(2, false, &[host_json("s-1", one, 1, "draining")]),
    );
    wait_until_only(&mut client, &servers, "s-2", "a");
    // Etcd drains s-2, and discovery lists s-1 as ready again.
    write_list(
        &mut watch,
        &list_json(3, false, &[host_json("s-1", one, 1, "ready")]),
    );
    etcd.put(&server_key("s-2"), &server_value(two, "draining"));
    wait_until_only(&mut client, &servers, "s-1", "b");
    // Etcd removes s-1, which is ready in discovery.
    etcd.put(&server_key("s-2"), &server_value(two, "ready"));
    etcd.delete(&server_key("s-1"));
    wait_until_only(&mut client, &servers, "s-2", "c");
}

/// Ten thousand changes come while requests are sent, among them drains of five hundred entries that all have the
/// address of one server. Every request is answered. If a drain were lost, that server would still get requests.
#[test]
fn ten_thousand_etcd_events_delay_no_request_and_lose_no_drain() {
    let (_runtime, etcd) = start_cluster(1);
    let (servers, silent) = (Servers::new(), Discovery::start());
    let (one, two) = (
        servers.start("s-1", &[REPLY_OK]),
        servers.start("s-2", &[REPLY_OK]),
    );
    etcd.put(&server_key("s-2"), &server_value(two, "ready"));
    (0..500).for_each(|number| {
        _ = etcd.put(
            &server_key(&format!("x-{number}")),
            &server_value(one, "ready"),
        );
    });
    let file = operator_file("storm", &etcd.endpoints(), "instead = true");
    let node = start_node("storm", silent.address, &[], &file);
    let mut client = node.connect();
    wait_until_ready(&mut client);
    let (writer, answered) = (etcd.clone(), Arc::new(AtomicUsize::new(0)));
    let answered_so_far = Arc::clone(&answered);
    let writes = std::thread::spawn(move || {
        for number in 0..10_000 {
            // Spreads the writes over the requests, however fast either runs.
            while answered_so_far.load(Ordering::Relaxed) < number / 500 {
                std::thread::yield_now();
            }
            let host = if number % 20 == 0 {
                format!("x-{}", number / 20)
            } else {
                format!("z-{}", number % 999)
            };
            writer.put(&server_key(&host), &server_value(one, "draining"));
        }
    });
    while !writes.is_finished() {
        let number = answered.load(Ordering::Relaxed);
        let answer = client.exchange(&request(&format!("r{number}"), "read", "20000m"));
        assert_eq!(answer.status(), 200, "request {number}");
        servers.next_request();
        answered.store(number + 1, Ordering::Relaxed);
    }
    writes.join().expect("all changes are written");
    wait_until_only(&mut client, &servers, "s-2", "d");
}

/// Drains are announced through etcd alone, while its members cut their connections. The grace period is 250 ms from
/// the write of the drain.
#[test]
fn a_drained_server_gets_no_requests_after_the_grace_period_while_etcd_connections_are_cut() {
    let text =
        "name = \"drained\"\ninstances = 2\nservers = 6\ncustomers = 48\nrate = 120\nduration_ms = 9000\n\
                roster = \"etcd\"\nmembers = 3\n\
                [[step]]\ndo = \"flip\"\nat_ms = 500\nevery_ms = 300\nfor_ms = 900\n\
                [[step]]\ndo = \"etcd-cut\"\nat_ms = 490\nevery_ms = 600\ncount = 3\n";
    let report = run_scenario("drained", text);
    assert!(report.passed(), "{report}");
    assert!(
        report.verdict.drains > 20 && report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
}
