//! The life cycle of nodes as processes under a service manager: start, readiness, reload, passing of listeners, stop;
//! and small fleets. Each test guards against one failure; none asserts speed.

mod common;

use command_fds::{CommandFdExt, FdMapping};
use common::run_scenario;
use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixDatagram;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Makes `command` run a node with the operator file `file`.
fn set_operator_file(command: &mut Command, file: &Path) {
    command.arg("run").arg("--operator").arg(file);
}

/// Polls until the node is ready. Returns the number of polls that found it not ready, and the last reason it gave.
fn wait_until_ready(node: &Node) -> (u32, String) {
    let (mut not_ready, mut reason) = (0, String::new());
    let started = Instant::now();
    loop {
        let answer = node.connect().exchange(READY_REQUEST);
        if answer.status() == 200 {
            return (not_ready, reason);
        }
        (not_ready, reason) = (
            not_ready + 1,
            String::from_utf8_lossy(&answer.body).into_owned(),
        );
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the node did not become ready within {TEST_TIMEOUT:?}: {reason}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// A notification socket as a service manager has it (`NOTIFY_SOCKET`).
struct NotifySocket {
    socket: UnixDatagram,
    file: TempFile,
    /// Messages read so far.
    received: Vec<String>,
}

impl NotifySocket {
    fn new(tag: &str) -> NotifySocket {
        let file = TempFile::new(tag, "");
        std::fs::remove_file(&file.0).expect("the file is removed, so that its name is free");
        let socket = UnixDatagram::bind(&file.0).expect("the socket can be bound");
        socket
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the read time-out is set");
        NotifySocket {
            socket,
            file,
            received: Vec::new(),
        }
    }

    fn path(&self) -> &Path {
        &self.file.0
    }

    /// Reads messages until one starts with `prefix`, and returns that one.
    fn wait_for(&mut self, prefix: &str) -> String {
        let mut buffer = [0; 4096];
        loop {
            let length = self
                .socket
                .recv(&mut buffer)
                .unwrap_or_else(|error| panic!("waiting for {prefix}: {error}"));
            let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
            self.received.push(text.clone());
            if text.starts_with(prefix) {
                return text;
            }
        }
    }
}

/// While discovery and all peers are silent, a starting node waits for both as long as configured and gives the reason,
/// then serves from the list in its configuration. Without any list it never becomes ready.
#[test]
fn a_node_becomes_ready_from_its_configured_list_while_discovery_and_peers_are_silent() {
    let operator = TempFile::new(
        "silent-operator",
        "[ready]\nlist_within_ms = 400\npeers_within_ms = 700\n",
    );
    // The discovery service accepts connections and never answers.
    let silent = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let discovery = silent.local_addr().expect("the socket has an address");
    let servers = Servers::new();
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start_with_command("silent", discovery, &hosts, 1024, |command| {
        set_operator_file(command, &operator.0);
    });
    // A node that is not ready already serves; a load balancer in front of it receives the reason from the readiness
    // endpoint.
    let (not_ready, reason) = wait_until_ready(&node);
    assert!(
        not_ready > 0 && reason == "peers-unheard",
        "not ready in {not_ready} polls, the last reason: {reason}"
    );
    assert_eq!(
        node.connect()
            .exchange(&request("a", "read", "20000m"))
            .status(),
        200
    );
    let node_without_list = Node::start_with_command("listless", discovery, &[], 1024, |command| {
        set_operator_file(command, &operator.0);
    });
    std::thread::sleep(Duration::from_millis(1500));
    let answer = node_without_list.connect().exchange(READY_REQUEST);
    assert_eq!((answer.status(), &answer.body[..]), (503, &b"no-list"[..]));
}

#[test]
fn a_node_is_ready_once_it_has_received_a_list_and_a_peer_message() {
    let operator = TempFile::new(
        "word-operator",
        "[ready]\nlist_within_ms = 600000\npeers_within_ms = 600000\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node = Node::start_with_command("word", discovery.address, &hosts, 1024, |command| {
        set_operator_file(command, &operator.0);
    });
    assert_eq!(
        &node.connect().exchange(READY_REQUEST).body[..],
        b"no-list peers-unheard"
    );
    let (_, mut watch) = discovery.next_watch();
    write_list(&mut watch, &list_json(1, false, &[]));
    while &node.connect().exchange(READY_REQUEST).body[..] != b"peers-unheard" {
        assert!(node.is_running());
    }
    // A message with empty counts, as a peer that has just started sends it.
    node.peer_socket
        .send_to(&[2, 0, 1, 0, 0, 0], node.datagram_address)
        .expect("the datagram is sent");
    wait_until_ready(&node);
}

#[test]
fn the_service_manager_is_notified_of_each_state_and_of_the_start_and_end_of_a_reload() {
    let operator = TempFile::new(
        "manager-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let mut manager = NotifySocket::new("manager");
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node =
        Node::start_with_command("manager", discovery.address, &hosts, 1024, |command| {
            set_operator_file(command, &operator.0);
            command
                .env("NOTIFY_SOCKET", manager.path())
                .env("WATCHDOG_USEC", "4000000");
        });
    manager.wait_for("READY=1");
    manager.wait_for("WATCHDOG=1");
    node.reload(|text| text);
    let reloading = manager.wait_for("RELOADING=1");
    assert!(reloading.contains("\nMONOTONIC_USEC="), "{reloading}");
    manager.wait_for("READY=1");
    // An invalid operator file is rejected: the node keeps the old one and continues to serve.
    std::fs::write(&operator.0, "[ready]\nlag_ms = -1\n")
        .expect("the operator file can be written");
    node.signal("-HUP");
    manager.wait_for("RELOADING=1");
    manager.wait_for("READY=1");
    // A valid file takes effect. This one demands more free descriptors than there can be.
    std::fs::write(
        &operator.0,
        "[ready]\nfree_descriptors = 100000\nlose_after_ms = 0\n",
    )
    .expect("the operator file can be written");
    node.signal("-HUP");
    manager.wait_for("STATUS=not ready: descriptors");
    assert_eq!(node.connect().exchange(READY_REQUEST).status(), 503);
    assert_eq!(
        node.connect()
            .exchange(&request("a", "read", "20000m"))
            .status(),
        200,
        "a node that is not ready still serves"
    );
    node.terminate();
    manager.wait_for("STOPPING=1");
    manager.wait_for("EXTEND_TIMEOUT_USEC=");
    assert!(node.wait().success());
    let first_ready = manager
        .received
        .iter()
        .position(|text| text == "READY=1")
        .expect("READY=1 was sent");
    assert!(
        manager.received[..first_ready]
            .iter()
            .all(|text| !text.starts_with("RELOADING")),
        "{:?}",
        manager.received
    );
}

/// The notification socket is missing at the start, is full because it is not read, or is removed while the node runs:
/// the node serves in each case.
#[test]
fn a_node_serves_while_its_notify_socket_is_missing_full_or_removed() {
    let operator = TempFile::new(
        "notify-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let launch = |tag: &str, socket_path: &Path| {
        Node::start_with_command(tag, discovery.address, &hosts, 1024, |command| {
            set_operator_file(command, &operator.0);
            command
                .env("NOTIFY_SOCKET", socket_path)
                .env("WATCHDOG_USEC", "40000");
        })
    };
    let assert_serves = |node: &mut Node, id: &str| {
        assert_eq!(
            node.connect()
                .exchange(&request(id, "read", "20000m"))
                .status(),
            200,
            "{id}"
        );
        node.reload(|text| text);
        wait_until_ready(node);
    };
    assert_serves(
        &mut launch("missing", Path::new("/nonexistent/notify")),
        "missing",
    );
    // This socket is not read: its queue is full after a few messages, which are sent every 10 ms here.
    let full = NotifySocket::new("full");
    let mut node = launch("full", full.path());
    std::thread::sleep(Duration::from_millis(500));
    assert_serves(&mut node, "full");
    drop(full);
    assert_serves(&mut node, "gone");
    node.terminate();
    assert!(node.wait().success());
}

/// Passes `listener` to `command` as a service manager does (`LISTEN_FDS`).
fn pass_listener(command: &mut Command, listener: &TcpListener, operator: &Path) {
    set_operator_file(command, operator);
    let parent_fd = OwnedFd::from(listener.try_clone().expect("the socket can be cloned"));
    command
        .fd_mappings(vec![FdMapping {
            parent_fd,
            child_fd: 3,
        }])
        .expect("a single mapping has no collision");
    command
        .env("LISTEN_FDS", "1")
        .env("LISTEN_FDNAMES", "clients");
}

/// Connects and sends `text`.
fn connect_and_send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the backlog has room");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read time-out is set");
    stream
        .write_all(text.as_bytes())
        .expect("the write succeeds");
    stream
}

/// Asserts that the response is a 200.
fn assert_ok_response(mut stream: TcpStream) {
    let mut text = [0; 12];
    stream.read_exact(&mut text).expect("the node answers");
    assert_eq!(&text, b"HTTP/1.1 200");
}

/// Connections that wait in the listener's backlog before the first node accepts, and while one node stops and the next
/// has not started, are all served: none is refused or reset.
#[test]
fn connections_in_the_backlog_of_a_passed_listener_are_served_across_restarts() {
    let operator = TempFile::new(
        "handed-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let early: Vec<_> = (0..20)
        .map(|n| connect_and_send(address, &request(&format!("early{n}"), "read", "20000m")))
        .collect();
    let pass = |command: &mut Command| pass_listener(command, &listener, &operator.0);
    let mut first = Node::start_with_command("handed", discovery.address, &hosts, 1024, pass);
    assert_eq!(
        first.address, address,
        "the node listens on the passed listener"
    );
    early.into_iter().for_each(assert_ok_response);
    // One connection is open when the node receives SIGTERM, and many are opened afterwards.
    let mut idle = first.connect();
    assert_eq!(
        idle.exchange(&request("kept", "read", "20000m")).status(),
        200
    );
    first.terminate();
    assert!(first.wait().success());
    idle.expect_close();
    let between: Vec<_> = (0..20)
        .map(|n| connect_and_send(address, &request(&format!("between{n}"), "read", "20000m")))
        .collect();
    let mut second = first.successor(pass);
    between.into_iter().for_each(assert_ok_response);
    // The third node starts before the second receives SIGTERM.
    let third = second.successor(pass);
    let clients: Vec<_> = (0..40)
        .map(|n| connect_and_send(address, &request(&format!("over{n}"), "read", "20000m")))
        .collect();
    second.terminate();
    let more: Vec<_> = (0..40)
        .map(|n| connect_and_send(address, &request(&format!("more{n}"), "read", "20000m")))
        .collect();
    clients.into_iter().chain(more).for_each(assert_ok_response);
    assert!(second.wait().success());
    wait_until_ready(&third);
}

/// Guards against connections that wait for the next process while a long request keeps this one from exiting.
#[test]
fn a_node_that_waits_for_a_long_request_serves_what_arrives_at_a_passed_listener() {
    /// Less than the time for which the long request keeps the process from exiting.
    const MAX_ANSWER_TIME: Duration = Duration::from_secs(2);
    let operator = TempFile::new(
        "held-operator",
        "[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n",
    );
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse, REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let pass = |command: &mut Command| pass_listener(command, &listener, &operator.0);
    let mut node = Node::start_with_command("held", discovery.address, &hosts, 1024, pass);
    wait_until_ready(&node);
    let mut long = node.connect();
    long.write(&request("long", "read", "20000m"));
    let mut upstream = servers.next_request().stream;
    node.terminate();
    for number in 0..20 {
        let sent_at = Instant::now();
        let id = format!("late{number}");
        assert_ok_response(connect_and_send(address, &request(&id, "read", "3000m")));
        assert!(sent_at.elapsed() < MAX_ANSWER_TIME, "{id} waited");
        std::thread::sleep(Duration::from_millis(20));
    }
    // New connections do not delay the exit once the long request has its answer.
    let Reply::Respond(answer) = REPLY_OK else {
        unreachable!("the reply is a response")
    };
    upstream
        .write_all(answer.as_bytes())
        .expect("the node reads the answer");
    let answered_at = Instant::now();
    while node.is_running() {
        drop(connect_and_send(address, &request("last", "read", "3000m")));
        assert!(
            answered_at.elapsed() < MAX_ANSWER_TIME,
            "the process does not exit"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(
        long.read_response().map(|response| response.status()),
        Some(200)
    );
    assert!(node.wait().success());
}

/// A node that receives SIGTERM answers requests that arrive on connections which the kernel established before that,
/// also after it has closed the idle connections.
#[test]
fn a_request_in_flight_when_the_node_receives_sigterm_is_answered() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node = Node::start_with_command("on-its-way", discovery.address, &hosts, 1024, |_| {});
    wait_until_ready(&node);
    let mut early: Vec<_> = (0..20)
        .map(|_| TcpStream::connect(node.address).expect("the node accepts the connection"))
        .collect();
    let mut idle = node.connect();
    assert_eq!(
        idle.exchange(&request("kept", "read", "20000m")).status(),
        200
    );
    node.terminate();
    // Once the idle connection is closed, the node has handled the signal.
    idle.expect_close();
    for (number, stream) in early.iter_mut().enumerate() {
        stream
            .write_all(request(&format!("late{number}"), "read", "20000m").as_bytes())
            .expect("the write succeeds");
    }
    early.into_iter().for_each(assert_ok_response);
    assert!(node.wait().success());
}

/// With `reuse_port`, both processes listen on the address until the old one stops.
#[test]
fn a_successor_binds_the_same_address_while_the_old_node_serves() {
    let text = "[listen]\nreuse_port = true\n[ready]\nlist_within_ms = 1\npeers_within_ms = 1\n";
    let operator = TempFile::new("overlap-operator", text);
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut old = Node::start_with_command("overlap", discovery.address, &hosts, 1024, |command| {
        set_operator_file(command, &operator.0);
    });
    let address = old.address.to_string();
    let new = old.successor(|command| {
        set_operator_file(command, &operator.0);
        command.env("LB_LISTEN", &address);
    });
    wait_until_ready(&old);
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
fn a_second_sigterm_stops_accepting_and_open_requests_are_still_answered() {
    let operator = TempFile::new("twice-operator", "[stop]\nleave_for_ms = 600000\n");
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse, REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let mut node =
        Node::start_with_command("twice-term", discovery.address, &hosts, 1024, |command| {
            set_operator_file(command, &operator.0);
        });
    let mut held = node.connect();
    held.write(&request("a", "read", "20000m"));
    let upstream_request = servers.next_request();
    node.terminate();
    while node.connect().exchange(READY_REQUEST).header("connection") != "close" {}
    // The node would accept new work for ten minutes; the second SIGTERM ends that. SIGHUP no longer has an effect.
    node.signal("-HUP");
    node.terminate();
    while TcpStream::connect(node.address).is_ok() {}
    let mut stream = upstream_request.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still pending");
    assert_eq!(
        held.read_response()
            .expect("an accepted request is answered")
            .status(),
        200
    );
    assert!(node.wait().success());
}

#[test]
fn sigterm_during_the_start_stops_the_node_before_it_reports_ready() {
    let operator = TempFile::new(
        "early-operator",
        "[ready]\nlist_within_ms = 600000\n[stop]\nleave_for_ms = 50\n",
    );
    let mut manager = NotifySocket::new("early");
    let discovery = Discovery::start();
    let mut node = Node::start_with_command("early", discovery.address, &[], 1024, |command| {
        set_operator_file(command, &operator.0);
        command.env("NOTIFY_SOCKET", manager.path());
    });
    // A reload before the node is ready is carried out without a notification.
    node.reload(|text| text);
    node.terminate();
    manager.wait_for("STOPPING=1");
    assert!(node.wait().success());
    let sent = |prefix: &str| manager.received.iter().any(|text| text.starts_with(prefix));
    assert!(
        !sent("READY=1") && !sent("RELOADING=1"),
        "{:?}",
        manager.received
    );
}

#[test]
fn check_reports_every_error_of_an_operator_file() {
    let check = |text: &str| {
        let file = TempFile::new(&format!("check-{}", text.len()), text);
        let output = Command::new(program())
            .arg("check")
            .arg(&file.0)
            .output()
            .expect("the program runs");
        (
            output.status.success(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(check("[stop]\nleave_for_ms = 100\n"), (true, String::new()));
    let (valid, reported) =
        check("[stop]\nleave_for_ms = -1\nleaves = 2\n[ready]\nmemory_share = 2\n");
    assert!(!valid && reported.lines().count() == 3, "{reported}");
    for key in [
        "stop.leave_for_ms: ",
        "stop.leaves: ",
        "ready.memory_share: ",
    ] {
        assert!(reported.contains(key), "no error of {key:?} in {reported}");
    }
    // A node that starts with an invalid file exits with one line on standard error.
    let file = TempFile::new("start-operator", "[ready]\nlag = 1\n");
    let output = Command::new(program())
        .args(["run", "--operator"])
        .arg(&file.0)
        .output()
        .expect("the program runs");
    let reported = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        !output.status.success() && reported.lines().count() == 1,
        "{reported}"
    );
}

/// New users start with the demo and copy its request.
#[test]
fn the_demo_serves_the_request_that_it_prints() {
    let mut command = Command::new(program());
    command
        .args(["demo", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null());
    let mut child = command.spawn().expect("the program starts");
    let mut text = String::new();
    let mut output =
        std::io::BufReader::new(child.stdout.take().expect("standard output is piped"));
    while !text.contains("Ctrl-C") {
        assert!(
            std::io::BufRead::read_line(&mut output, &mut text).expect("output can be read") > 0,
            "{text}"
        );
    }
    let url = text
        .split("http://")
        .nth(1)
        .and_then(|rest| rest.split(' ').next())
        .expect("the demo prints a URL");
    let (address, path) = url.split_once('/').expect("the URL has a path");
    let headers = text.split("-H '").skip(1).map(|rest| {
        rest.split('\'')
            .next()
            .expect("each -H is followed by a quoted header")
    });
    let headers: Vec<&str> = headers.collect();
    let http_request = format!(
        "GET /{path} HTTP/1.1\r\nHost: x\r\n{}\r\n\r\n",
        headers.join("\r\n")
    );
    assert_ok_response(connect_and_send(
        address.parse().expect("the URL has an address and a port"),
        &http_request,
    ));
    let kill = Command::new("kill")
        .arg(child.id().to_string())
        .status()
        .expect("kill runs");
    assert!(kill.success() && child.wait().expect("the program exits").success());
}

/// Returns the text of a built-in scenario.
fn built_in_scenario(name: &str) -> &'static str {
    let (_, text) = saffronpaddle_fleet_harness::scenario::SHIPPED
        .iter()
        .find(|(other, _)| *other == name)
        .expect("the name of a built-in scenario");
    text
}

/// In the scenario, instances are reloaded, restarted one after another and killed, while app servers drain and crash.
#[test]
fn a_fleet_keeps_all_rules_in_the_built_in_scenario_short() {
    let report = run_scenario("short", built_in_scenario("short"));
    assert!(report.passed(), "{report}");
    assert!(report.processes > 10 && report.reloads > 4, "{report}");
    assert!(
        report.verdict.served * 2 > report.verdict.requests,
        "{report}"
    );
    assert_eq!(
        report.counts.refused_connections, 0,
        "connections were refused, though listeners stay open across restarts: {report}"
    );
}

/// The load that all forty instances together send to the cold server, measured at the server, stays within its
/// capacity.
#[test]
fn forty_instances_started_at_once_do_not_overload_one_cold_server() {
    let report = run_scenario(
        "forty",
        &built_in_scenario("forty-cold").replace("20000", "6000"),
    );
    assert!(report.passed() && report.instances.len() == 40, "{report}");
    assert!(
        report.verdict.cold_load_max < 1.0 && report.verdict.requests > 400,
        "{report}"
    );
}

/// Clients whose instance was killed during their request retry it at another instance. Its effect takes place once, as
/// the servers' group drops the duplicate.
#[test]
fn a_request_of_a_killed_instance_takes_effect_only_once() {
    let text =
        "name = \"kill\"\ninstances = 3\nservers = 3\ncustomers = 12\nrate = 120\nduration_ms = 7000\n\
                [[step]]\ndo = \"kill\"\nat_ms = 1500\nevery_ms = 1500\nfor_ms = 700\n";
    let report = run_scenario("kill", text);
    assert!(report.passed(), "{report}");
    assert!(
        report.verdict.killed > 0,
        "no request was held by a killed instance: {report}"
    );
    assert_eq!(report.verdict.duplicated_keys, 0, "{report}");
}
