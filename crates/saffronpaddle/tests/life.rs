//! The life of edge nodes as processes: start, readiness, reload, hand-over, stop; and small fleets of them. Each test
//! stands for a failure; none asserts on speed.

mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::fleet;
use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

fn operated(command: &mut Command, file: &Path) {
    command.arg("run").arg("--operator").arg(file);
}

/// Asks until a node is ready; how often it was not, and what it last gave as the reason.
fn until_ready(node: &Node) -> (u32, String) {
    let (mut times, mut why) = (0, String::new());
    let begun = Instant::now();
    loop {
        let answer = node.connect().exchange(READY);
        if answer.status() == 200 {
            return (times, why);
        }
        (times, why) = (
            times + 1,
            String::from_utf8_lossy(&answer.body).into_owned(),
        );
        assert!(begun.elapsed() < TEST_TIMEOUT, "never ready: {why}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

struct Notified {
    socket: UnixDatagram,
    file: TempFile,
    heard: Vec<String>,
}

impl Notified {
    fn new(tag: &str) -> Notified {
        let file = TempFile::new(tag, "");
        std::fs::remove_file(&file.0).expect("only the name was wanted");
        let socket = UnixDatagram::bind(&file.0).expect("a socket");
        socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        Notified {
            socket,
            file,
            heard: Vec::new(),
        }
    }

    fn at(&self) -> &Path {
        &self.file.0
    }

    /// Reads words until one begins like this; all that came before it too.
    fn until(&mut self, begins: &str) -> String {
        let mut buffer = [0; 4096];
        loop {
            let length = self
                .socket
                .recv(&mut buffer)
                .unwrap_or_else(|error| panic!("{begins}: {error}"));
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            self.heard.push(text.clone());
            if text.starts_with(begins) {
                return text;
            }
        }
    }
}

/// A node that starts while discovery and all peers are silent: it waits for both as long as it was told, and says so,
/// then serves from the list of its configuration. Without any list it is never ready.
#[test]
fn a_node_starts_while_discovery_and_all_peers_are_silent() {
    let operator = TempFile::new(
        "silent-operator",
        "[ready]\nlist_within_ms = 400\npeers_within_ms = 700\n",
    );
    // It takes connections and never says a word.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = silent.local_addr().expect("an address");
    let servers = Servers::new();
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start_with_command("silent", discovery, &hosts, 1024, |command| {
        operated(command, &operator.0);
    });
    // What comes before it is ready is served all the same: a front that asks knows why.
    let (times, why) = until_ready(&node);
    assert!(times > 0 && why == "peers-unheard", "{times} times, {why}");
    assert_eq!(
        node.connect()
            .exchange(&request("a", "read", "20000m"))
            .status(),
        200
    );
    let listless = Node::start_with_command("listless", discovery, &[], 1024, |command| {
        operated(command, &operator.0);
    });
    std::thread::sleep(Duration::from_millis(1500));
    let answer = listless.connect().exchange(READY);
    assert_eq!((answer.status(), &answer.body[..]), (503, &b"no-list"[..]));
}

#[test]
fn readiness_comes_with_the_first_word_of_discovery_and_peers() {
    let operator = TempFile::new(
        "word-operator",
        "[ready]\nlist_within_ms = 600000\npeers_within_ms = 600000\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node = Node::start_with_command("word", discovery.address, &hosts, 1024, |command| {
        operated(command, &operator.0);
    });
    assert_eq!(
        &node.connect().exchange(READY).body[..],
        b"no-list peers-unheard"
    );
    let (_, mut watch) = discovery.next_watch();
    write_list(&mut watch, &list_json(1, false, &[]));
    while &node.connect().exchange(READY).body[..] != b"peers-unheard" {
        assert!(node.is_running());
    }
    // A count of nothing, as a peer that has just started tells it.
    node.peer_socket
        .send_to(&[2, 0, 1, 0, 0, 0], node.datagram_address)
        .expect("sent");
    until_ready(&node);
}

#[test]
fn the_service_manager_hears_of_each_step_and_a_reload_is_framed() {
    let operator = TempFile::new(
        "manager-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let mut manager = Notified::new("manager");
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node =
        Node::start_with_command("manager", discovery.address, &hosts, 1024, |command| {
            operated(command, &operator.0);
            command
                .env("NOTIFY_SOCKET", manager.at())
                .env("WATCHDOG_USEC", "4000000");
        });
    manager.until("READY=1");
    manager.until("WATCHDOG=1");
    node.reload(|text| text);
    let reloading = manager.until("RELOADING=1");
    assert!(reloading.contains("\nMONOTONIC_USEC="), "{reloading}");
    manager.until("READY=1");
    // A bad operator file: the old one stands, and the node serves on.
    std::fs::write(&operator.0, "[ready]\nlag_ms = -1\n").expect("written");
    node.signal("-HUP");
    manager.until("RELOADING=1");
    manager.until("READY=1");
    // A good one holds from now on: more free descriptors than there can be.
    std::fs::write(
        &operator.0,
        "[ready]\nfree_descriptors = 100000\nlose_after_ms = 0\n",
    )
    .expect("written");
    node.signal("-HUP");
    manager.until("STATUS=not ready: descriptors");
    assert_eq!(node.connect().exchange(READY).status(), 503);
    assert_eq!(
        node.connect()
            .exchange(&request("a", "read", "20000m"))
            .status(),
        200,
        "it serves all the same"
    );
    node.terminate();
    manager.until("STOPPING=1");
    manager.until("EXTEND_TIMEOUT_USEC=");
    assert!(node.wait().success());
    let early = manager
        .heard
        .iter()
        .position(|text| text == "READY=1")
        .expect("it was said");
    assert!(
        manager.heard[..early]
            .iter()
            .all(|text| !text.starts_with("RELOADING")),
        "{:?}",
        manager.heard
    );
}

/// The notify socket missing at the start, never read by anybody, or gone while the node runs: it serves all the same.
#[test]
fn a_notify_socket_that_is_missing_full_or_gone_harms_nobody() {
    let operator = TempFile::new(
        "notify-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let launch = |tag: &str, at: &Path| {
        Node::start_with_command(tag, discovery.address, &hosts, 1024, |command| {
            operated(command, &operator.0);
            command
                .env("NOTIFY_SOCKET", at)
                .env("WATCHDOG_USEC", "40000");
        })
    };
    let serves = |node: &mut Node, id: &str| {
        assert_eq!(
            node.connect()
                .exchange(&request(id, "read", "20000m"))
                .status(),
            200,
            "{id}"
        );
        node.reload(|text| text);
        until_ready(node);
    };
    serves(
        &mut launch("missing", Path::new("/nonexistent/notify")),
        "missing",
    );
    // Nobody reads: its queue is full after a few words, which come every 10 ms here.
    let full = Notified::new("full");
    let mut node = launch("full", full.at());
    std::thread::sleep(Duration::from_millis(500));
    serves(&mut node, "full");
    drop(full);
    serves(&mut node, "gone");
    node.terminate();
    assert!(node.wait().success());
}

/// Hands a listener over as the service manager does.
fn handed(command: &mut Command, listener: &TcpListener, operator: &Path) {
    operated(command, operator);
    let parent_fd = OwnedFd::from(listener.try_clone().expect("a clone"));
    command
        .fd_mappings(vec![FdMapping {
            parent_fd,
            child_fd: 3,
        }])
        .expect("one mapping");
    command
        .env("LISTEN_FDS", "1")
        .env("LISTEN_FDNAMES", "clients");
}

fn talk(address: SocketAddr, words: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the backlog takes it");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream.write_all(words.as_bytes()).expect("it is taken");
    stream
}

fn served(mut stream: TcpStream) {
    let mut text = [0; 12];
    stream.read_exact(&mut text).expect("an answer");
    assert_eq!(&text, b"HTTP/1.1 200");
}

/// Connections that wait in a listener before anybody accepts them, and while one node leaves and the next has not come
/// yet, are all served: none is refused or reset.
#[test]
fn a_listener_is_handed_over_with_connections_in_its_backlog() {
    let operator = TempFile::new(
        "handed-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let early: Vec<_> = (0..20)
        .map(|n| talk(address, &request(&format!("early{n}"), "read", "20000m")))
        .collect();
    let hand = |command: &mut Command| handed(command, &listener, &operator.0);
    let mut first = Node::start_with_command("handed", discovery.address, &hosts, 1024, hand);
    assert_eq!(first.address, address, "it listens where it was handed");
    early.into_iter().for_each(served);
    // One that is held while the node is told to stop, and many that come from then on.
    let mut kept = first.connect();
    assert_eq!(
        kept.exchange(&request("kept", "read", "20000m")).status(),
        200
    );
    first.terminate();
    assert!(first.wait().success());
    kept.expect_close();
    let between: Vec<_> = (0..20)
        .map(|n| talk(address, &request(&format!("between{n}"), "read", "20000m")))
        .collect();
    let mut second = first.successor(hand);
    between.into_iter().for_each(served);
    // Overlap: the next one starts before this one is told to stop.
    let third = second.successor(hand);
    let clients: Vec<_> = (0..40)
        .map(|n| talk(address, &request(&format!("over{n}"), "read", "20000m")))
        .collect();
    second.terminate();
    let more: Vec<_> = (0..40)
        .map(|n| talk(address, &request(&format!("more{n}"), "read", "20000m")))
        .collect();
    clients.into_iter().chain(more).for_each(served);
    assert!(second.wait().success());
    until_ready(&third);
}

/// A connection that the machine gave to the node has its request answered, if that is on its way as the node is told to
/// stop: whoever waits for idle connections to close sees them closed first.
#[test]
fn a_request_on_its_way_when_the_node_is_told_to_stop_is_answered() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node = Node::start_with_command("on-its-way", discovery.address, &hosts, 1024, |_| {});
    until_ready(&node);
    let mut early: Vec<_> = (0..20)
        .map(|_| TcpStream::connect(node.address).expect("a connection"))
        .collect();
    let mut kept = node.connect();
    assert_eq!(
        kept.exchange(&request("kept", "read", "20000m")).status(),
        200
    );
    node.terminate();
    // It knows by now: idle connections close.
    kept.expect_close();
    for (number, stream) in early.iter_mut().enumerate() {
        stream
            .write_all(request(&format!("late{number}"), "read", "20000m").as_bytes())
            .expect("written");
    }
    early.into_iter().for_each(served);
    assert!(node.wait().success());
}

/// With `reuse_port` a successor binds the same address while the old node still serves.
#[test]
fn old_and_new_overlap_on_one_address() {
    let text = "[listen]\nreuse_port = true\n[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n";
    let operator = TempFile::new("overlap-operator", text);
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut old = Node::start_with_command("overlap", discovery.address, &hosts, 1024, |command| {
        operated(command, &operator.0);
    });
    let address = old.address.to_string();
    let new = old.successor(|command| {
        operated(command, &operator.0);
        command.env("LB_LISTEN", &address);
    });
    until_ready(&old);
    old.terminate();
    assert!(old.wait().success());
    for number in 0..10 {
        assert_eq!(
            new.connect()
                .exchange(&request(&format!("r{number}"), "read", "20000m"))
                .status(),
            200
        );
    }
}

#[test]
fn sigterm_twice_takes_nothing_new_and_still_finishes() {
    let operator = TempFile::new("twice-operator", "[stop]\nleave_for_ms = 600000\n");
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse, REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node =
        Node::start_with_command("twice-term", discovery.address, &hosts, 1024, |command| {
            operated(command, &operator.0);
        });
    let mut held = node.connect();
    held.write(&request("a", "read", "20000m"));
    let got = servers.next_request();
    node.terminate();
    while node.connect().exchange(READY).header("connection") != "close" {}
    // It would take new work for ten minutes; the second word cuts that short. SIGHUP changes nothing any more.
    node.signal("-HUP");
    node.terminate();
    while TcpStream::connect(node.address).is_ok() {}
    let mut stream = got.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still out");
    assert_eq!(
        held.read_response()
            .expect("what was taken is answered")
            .status(),
        200
    );
    assert!(node.wait().success());
}

#[test]
fn sigterm_while_starting_ends_it_without_ready() {
    let operator = TempFile::new(
        "early-operator",
        "[ready]\nlist_within_ms = 600000\n[stop]\nleave_for_ms = 50\n",
    );
    let mut manager = Notified::new("early");
    let discovery = Discovery::start();
    let mut node = Node::start_with_command("early", discovery.address, &[], 1024, |command| {
        operated(command, &operator.0);
        command.env("NOTIFY_SOCKET", manager.at());
    });
    // Also a reload before it is ready: that is done, and the manager hears nothing of it.
    node.reload(|text| text);
    node.terminate();
    manager.until("STOPPING=1");
    assert!(node.wait().success());
    let said = |word: &str| manager.heard.iter().any(|text| text.starts_with(word));
    assert!(
        !said("READY=1") && !said("RELOADING=1"),
        "{:?}",
        manager.heard
    );
}

#[test]
fn check_tells_all_that_is_wrong_with_an_operator_file() {
    let check = |text: &str| {
        let file = TempFile::new(&format!("check-{}", text.len()), text);
        let output = Command::new(program())
            .arg("check")
            .arg(&file.0)
            .output()
            .expect("it runs");
        (
            output.status.success(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(check("[stop]\nleave_for_ms = 100\n"), (true, String::new()));
    let (good, told) = check("[stop]\nleave_for_ms = -1\nleaves = 2\n[ready]\nmemory_share = 2\n");
    assert!(!good && told.lines().count() == 3, "{told}");
    for key in [
        "stop.leave_for_ms: ",
        "stop.leaves: ",
        "ready.memory_share: ",
    ] {
        assert!(told.contains(key), "{key} in {told}");
    }
    // At the start it is one line that names the key and the reason.
    let file = TempFile::new("start-operator", "[ready]\nlag = 1\n");
    let output = Command::new(program())
        .args(["run", "--operator"])
        .arg(&file.0)
        .output()
        .expect("it runs");
    let told = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && told.lines().count() == 1,
        "{told}"
    );
}

/// What a newcomer does first.
#[test]
fn the_demo_serves_the_request_that_it_prints() {
    let mut command = Command::new(program());
    command
        .args(["demo", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().expect("it starts");
    let mut text = String::new();
    let mut output = std::io::BufReader::new(child.stdout.take().expect("piped"));
    while !text.contains("Ctrl-C") {
        assert!(
            std::io::BufRead::read_line(&mut output, &mut text).expect("it says more") > 0,
            "{text}"
        );
    }
    let url = text
        .split("http://")
        .nth(1)
        .and_then(|rest| rest.split(' ').next())
        .expect("a URL");
    let (address, path) = url.split_once('/').expect("a path");
    let headers = text
        .split("-H '")
        .skip(1)
        .map(|rest| rest.split('\'').next().expect("a header"));
    let headers: Vec<&str> = headers.collect();
    let words = format!(
        "GET /{path} HTTP/1.1\r\nHost: x\r\n{}\r\n\r\n",
        headers.join("\r\n")
    );
    served(talk(address.parse().expect("an address"), &words));
    let kill = Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .expect("kill runs");
    assert!(kill.success() && child.wait().expect("it ends").success());
}

fn shipped(name: &str) -> &'static str {
    let (_, text) = saffronpaddle_fleet_harness::scenario::SHIPPED
        .iter()
        .find(|(other, _)| *other == name)
        .expect("known");
    text
}

/// Instances are reloaded, restarted one after the other and killed, while app servers drain and crash.
#[test]
fn a_short_scenario_keeps_all_rules() {
    let report = fleet("short", shipped("short"));
    assert!(report.good(), "{report}");
    assert!(report.processes > 10 && report.reloads > 4, "{report}");
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
    assert_eq!(
        report.counts.refused_connections, 0,
        "listeners outlive their nodes: {report}"
    );
}

/// What all forty send to the one cold server together stays within what it can take, counted there.
#[test]
fn forty_instances_started_at_once_spare_one_cold_server() {
    let report = fleet("forty", &shipped("forty-cold").replace("20000", "6000"));
    assert!(report.good() && report.rows.len() == 40, "{report}");
    assert!(
        report.verdict.cold_load_max < 1.0 && report.verdict.requests > 400,
        "{report}"
    );
}

/// Clients whose instance was killed with their request try again at another: the effect takes place once, as the
/// servers' group drops the repeat.
#[test]
fn an_instance_killed_mid_request_causes_no_second_effect() {
    let text =
        "name = \"kill\"\ninstances = 3\nservers = 3\ncustomers = 12\nrate = 120\nduration_ms = 7000\n\
                [[step]]\ndo = \"kill\"\nat_ms = 1500\nevery_ms = 1500\nfor_ms = 700\n";
    let report = fleet("kill", text);
    assert!(report.good(), "{report}");
    assert!(
        report.verdict.killed > 0,
        "none was held by a killed instance: {report}"
    );
    assert_eq!(report.verdict.duplicated_keys, 0, "{report}");
}
