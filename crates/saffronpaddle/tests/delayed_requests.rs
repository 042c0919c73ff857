//! Requests that wait before the node reads them, over loopback against the program: behind hundreds of idle
//! connections, or because the event loop is late. The deadline that a server receives is what its client has left, and
//! no attempt begins for a client that has disconnected.
//!
//! Tests that need a least waiting time suspend the node: a slow machine makes the wait longer, never shorter.

mod common;

use common::failing_calls_library;
use saffronpaddle_test_doubles::scripted::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long a node stays suspended.
const SUSPENSION: Duration = Duration::from_millis(700);
/// Deadline of requests that outlast a suspension: as sent in the header, and in ms.
const LONG_DEADLINE: (&str, u128) = ("20000m", 20_000);
/// Deadline of requests that expire during a suspension.
const SHORT_DEADLINE: &str = "400m";
/// The node's limit on sockets, and the idle connections that exceed it.
const SOCKET_LIMIT_AND_IDLE_CONNECTIONS: (usize, usize) = (128, 500);

/// Keeps a node suspended for a while after a request was sent to it, then resumes it. Returns the least number of ms
/// that the request has waited.
fn resume_after_suspension(node: &Node, sent: Instant) -> u128 {
    thread::sleep(SUSPENSION);
    let waited = sent.elapsed().as_millis();
    node.signal("-CONT");
    waited
}

/// The deadline in ms that a server received.
fn received_deadline_ms(upstream_request: &ReceivedRequest) -> u128 {
    let deadline = upstream_request.message.header("x-deadline");
    deadline
        .trim_end_matches('m')
        .parse()
        .unwrap_or_else(|_| panic!("X-Deadline: {deadline:?} is not a number of ms"))
}

/// Starts a node whose sockets the idle connections can use up.
fn start_with_few_sockets(tag: &str) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let node = Node::with_sockets(
        tag,
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        SOCKET_LIMIT_AND_IDLE_CONNECTIONS.0,
    );
    assert_eq!(
        node.connect()
            .exchange(&request("first", "read", LONG_DEADLINE.0))
            .status(),
        200
    );
    servers.next_request();
    (servers, discovery, node)
}

fn open_idle_connections(node: &Node, count: usize) -> Vec<TcpStream> {
    (0..count)
        .map(|_| TcpStream::connect(node.address).expect("the kernel accepts the connection"))
        .collect()
}

/// Sends one request, `b0`, `b1` and so on, over each of `count` new connections.
fn send_one_request_each(node: &Node, count: usize, deadline: &str) -> Vec<Client> {
    let send = |number| {
        let mut client = node.connect();
        client.write(&request(&format!("b{number}"), "read", deadline));
        client
    };
    (0..count).map(send).collect()
}

/// Guards against a node that makes room for one connection after the other, so that clients with a request wait behind
/// hundreds without one.
#[test]
fn requests_behind_idle_connections_are_answered_in_time() {
    let (servers, _discovery, node) = start_with_few_sockets("behind");
    let began = Instant::now();
    // The idle connections use up all sockets, and more wait in the backlog.
    let idle: Vec<_> = (0..3)
        .flat_map(|_| open_idle_connections(&node, SOCKET_LIMIT_AND_IDLE_CONNECTIONS.1))
        .collect();
    let mut clients = send_one_request_each(&node, 20, "1500m");
    for client in &mut clients {
        assert_eq!(
            client.read_response().expect("the node answers").status(),
            200,
            "the answer came after {:?}",
            began.elapsed()
        );
        servers.next_request();
    }
    drop(idle);
}

/// While the node is suspended, its backlog fills with idle connections, and requests arrive behind them.
#[test]
fn requests_behind_idle_connections_are_forwarded_with_at_most_the_time_left() {
    let (servers, _discovery, node) = start_with_few_sockets("told");
    // The idle connections use up all sockets, and none is left in the backlog, whose length the kernel limits.
    let mut idle = open_idle_connections(&node, SOCKET_LIMIT_AND_IDLE_CONNECTIONS.1);
    assert_eq!(
        node.connect()
            .exchange(&request("second", "read", LONG_DEADLINE.0))
            .status(),
        200
    );
    servers.next_request();
    node.suspend();
    idle.extend(open_idle_connections(&node, 60));
    let mut clients = send_one_request_each(&node, 20, LONG_DEADLINE.0);
    let waited = resume_after_suspension(&node, Instant::now());
    for client in &mut clients {
        assert_eq!(
            client.read_response().expect("the node answers").status(),
            200
        );
        let forwarded = received_deadline_ms(&servers.next_request());
        assert!(
            forwarded <= LONG_DEADLINE.1 - waited,
            "{forwarded} ms forwarded after {waited} ms"
        );
    }
    drop(idle);
}

/// Requests arrive on new connections while the node is suspended. One is sent on with the time that is left; the
/// other, whose deadline has passed, is not sent on.
#[test]
fn a_request_that_waited_in_the_backlog_is_forwarded_with_at_most_the_time_left() {
    let (servers, _discovery, node) = start_with_one_server("backlog", &[REPLY_OK]);
    for round in 0..3 {
        let before = Instant::now();
        node.suspend();
        let (mut long, mut short) = (node.connect(), node.connect());
        long.write(&request(&format!("long{round}"), "read", LONG_DEADLINE.0));
        short.write(&request(&format!("short{round}"), "read", SHORT_DEADLINE));
        let waited = resume_after_suspension(&node, Instant::now());
        assert_eq!(
            long.read_response().expect("the node answers").status(),
            200
        );
        let upstream_request = servers.next_request();
        let (forwarded, elapsed) = (
            received_deadline_ms(&upstream_request),
            before.elapsed().as_millis(),
        );
        assert_eq!(
            upstream_request.message.header("x-request-id"),
            format!("long{round}")
        );
        assert!(
            forwarded <= LONG_DEADLINE.1 - waited,
            "{forwarded} ms forwarded after {waited} ms"
        );
        // The node deducts at most the time that has passed, and an allowance of up to 2 s for waits that it cannot
        // observe.
        assert!(
            forwarded + elapsed + 2000 >= LONG_DEADLINE.1,
            "{forwarded} ms forwarded after {elapsed} ms"
        );
        assert_eq!(
            short.read_response().expect("the node answers").status(),
            503
        );
    }
    servers.assert_no_more_requests();
}

/// A node that is stopped in the middle of an iteration of its event loop, with a library that holds or stops it again
/// as it polls the kernel next.
struct StoppedNode {
    servers: Servers,
    node: Node,
    kept: Client,
    long: Client,
    short: Client,
    _discovery: Discovery,
}

impl StoppedNode {
    /// Starts a node in front of one server, stops it as it sends a request on, and sends it two more: `long`, and `short`
    /// whose deadline passes before the node is resumed.
    fn start(tag: &str, variable: (&str, &str)) -> StoppedNode {
        let (servers, discovery) = (Servers::new(), Discovery::start());
        let dial = servers.start("s-1", &[REPLY_OK]);
        let file = std::env::temp_dir().join(format!("saffronpaddle-{}-{tag}", std::process::id()));
        let hosts = [host_json("s-1", dial, 1, "ready")];
        let node = Node::start_with_command(tag, discovery.address, &hosts, 1024, |command| {
            command
                .env("LD_PRELOAD", failing_calls_library())
                .env("STOPPED_SEND", &file)
                .env(variable.0, variable.1);
        });
        let mut kept = node.connect();
        let warm_up = request("warm-up", "read", LONG_DEADLINE.0);
        assert_eq!(kept.exchange(&warm_up).status(), 200);
        servers.next_request();
        std::fs::write(&file, "").expect("the file can be written");
        kept.write(&request("kept", "read", LONG_DEADLINE.0));
        node.wait_until_stopped();
        std::fs::remove_file(&file).expect("the file can be removed");
        let (mut long, mut short) = (node.connect(), node.connect());
        long.write(&request("long", "read", LONG_DEADLINE.0));
        short.write(&request("short", "read", SHORT_DEADLINE));
        StoppedNode {
            servers,
            node,
            kept,
            long,
            short,
            _discovery: discovery,
        }
    }

    /// Asserts that the request whose deadline has passed is refused, and that the other one is sent on with at most the
    /// time that is left to its client.
    fn assert_wait_is_deducted(&mut self, waited: u128) {
        for client in [&mut self.kept, &mut self.long] {
            let response = client.read_response().expect("the node answers");
            assert_eq!(response.status(), 200);
        }
        // They come on two connections, which the server reads in any order.
        let mut received = [self.servers.next_request(), self.servers.next_request()];
        received.sort_by_key(|request| request.message.header("x-request-id").to_owned());
        let ids = received.each_ref();
        let ids = ids.map(|request| request.message.header("x-request-id"));
        assert_eq!(
            ids,
            ["kept", "long"],
            "the request whose deadline has passed is not sent on"
        );
        let forwarded = received_deadline_ms(&received[1]);
        assert!(
            forwarded <= LONG_DEADLINE.1 - waited,
            "{forwarded} ms forwarded after {waited} ms"
        );
        let response = self.short.read_response().expect("the node answers");
        assert_eq!(response.status(), 503);
        self.servers.assert_no_more_requests();
    }
}

/// Guards against a node that is preempted as `epoll_wait` returns, takes that time for a sleep after which all bytes are
/// new, and sends on a request whose client has given up.
#[test]
fn a_node_that_is_preempted_after_polling_does_not_take_waiting_requests_for_new_ones() {
    for round in 0..3 {
        let tag = format!("preempted-{round}");
        let mut stopped = StoppedNode::start(&tag, ("HELD_EPOLL_MS", "20"));
        let waited = resume_after_suspension(&stopped.node, Instant::now());
        stopped.assert_wait_is_deducted(waited);
    }
}

/// Guards against a node that is stopped as `epoll_wait` returns, takes that time for a sleep after which all bytes are
/// new, and sends on a request whose client has given up.
#[test]
fn a_node_that_is_stopped_after_polling_does_not_take_waiting_requests_for_new_ones() {
    for round in 0..3 {
        let tag = format!("stopped-{round}");
        let mut stopped = StoppedNode::start(&tag, ("STOPPED_EPOLL", "1"));
        let waited = resume_after_suspension(&stopped.node, Instant::now());
        stopped.node.wait_until_stopped();
        thread::sleep(Duration::from_millis(20));
        stopped.node.signal("-CONT");
        stopped.assert_wait_is_deducted(waited);
    }
}

/// Requests arrive on a hundred kept connections while the node is suspended: the last one that the event loop
/// handles has waited as long as the first.
#[test]
fn requests_that_waited_on_kept_connections_are_forwarded_with_at_most_the_time_left() {
    let (servers, _discovery, node) = start_with_one_server("kept", &[REPLY_OK]);
    let mut clients: Vec<_> = (0..100).map(|_| node.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client
                .exchange(&request(&format!("a{number}"), "read", LONG_DEADLINE.0))
                .status(),
            200
        );
        servers.next_request();
    }
    node.suspend();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(&request(
            &format!("b{number}"),
            "read",
            if number % 2 == 0 {
                LONG_DEADLINE.0
            } else {
                SHORT_DEADLINE
            },
        ));
    }
    let waited = resume_after_suspension(&node, Instant::now());
    for (number, client) in clients.iter_mut().enumerate() {
        let is_long = number % 2 == 0;
        assert_eq!(
            client.read_response().expect("the node answers").status(),
            if is_long { 200 } else { 503 },
            "request {number}"
        );
        if is_long {
            let forwarded = received_deadline_ms(&servers.next_request());
            assert!(
                forwarded <= LONG_DEADLINE.1 - waited,
                "{forwarded} ms forwarded after {waited} ms"
            );
        }
    }
    servers.assert_no_more_requests();
}

/// A node whose event loop is not delayed deducts nothing: the forwarded deadline is the client's, less the time for
/// the answer's way back and the delays of a busy machine.
#[test]
fn a_request_that_did_not_wait_is_forwarded_with_all_its_time() {
    let (servers, _discovery, node) = start_with_one_server("on-time", &[REPLY_OK]);
    for round in 0..20 {
        let mut client = node.connect();
        let before = Instant::now();
        for number in 0..5 {
            let id = format!("r{round}-{number}");
            assert_eq!(
                client
                    .exchange(&request(&id, "read", LONG_DEADLINE.0))
                    .status(),
                200
            );
            let (forwarded, elapsed) = (
                received_deadline_ms(&servers.next_request()),
                before.elapsed().as_millis(),
            );
            // The time for which the idle loop sleeps is not a wait of a request.
            assert!(
                forwarded + elapsed + 2000 >= LONG_DEADLINE.1 && forwarded < LONG_DEADLINE.1,
                "{forwarded} ms forwarded after {elapsed} ms"
            );
        }
    }
}

/// Guards against pipelined bytes that hide a client's disconnect, so that a retry begins although no client waits for
/// it. The disconnect reaches the node's kernel before the failure of the first attempt does.
#[test]
fn no_retry_begins_for_a_client_that_disconnected_after_pipelined_bytes() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let replies = (0..20)
        .flat_map(|_| [Reply::NoResponse, REPLY_OK])
        .collect();
    let replies = ReplyQueue::new(std::sync::Mutex::new(replies));
    let hosts = ["s-1", "s-2"]
        .map(|name| host_json(name, servers.start_with_queue(name, &replies), 1, "ready"));
    let node = Node::start("gone", discovery.address, &hosts);
    for round in 0..20 {
        let mut client = node.connect();
        client.write(&request(&format!("left{round}"), "read", LONG_DEADLINE.0));
        let upstream_request = servers.next_request();
        assert_eq!(
            upstream_request.message.header("x-request-id"),
            format!("left{round}")
        );
        client.write(&request("behind", "read", LONG_DEADLINE.0));
        client
            .stream
            .shutdown(Shutdown::Both)
            .expect("the connection is open");
        upstream_request
            .stream
            .shutdown(Shutdown::Both)
            .unwrap_or(());
        let answer =
            node.connect()
                .exchange(&request(&format!("other{round}"), "read", LONG_DEADLINE.0));
        assert_eq!(answer.status(), 200);
        assert_eq!(
            servers.next_request().message.header("x-request-id"),
            format!("other{round}")
        );
    }
    servers.assert_no_more_requests();
}

/// Clients connect, send a request and disconnect while the node is suspended; some send a part of a second request
/// too.
#[test]
fn no_attempt_begins_for_a_client_that_disconnected_while_the_node_was_suspended() {
    let (servers, _discovery, node) = start_with_one_server("came-and-left", &[REPLY_OK]);
    let mut kept = node.connect();
    assert_eq!(
        kept.exchange(&request("first", "read", LONG_DEADLINE.0))
            .status(),
        200
    );
    servers.next_request();
    for round in 0..5 {
        node.suspend();
        for (name, trailing) in [("alone", ""), ("more", "GET /read/0 HTTP/1.1\r\nX-Junk: ")] {
            let mut client = node.connect();
            client.write(&(request(&format!("{name}{round}"), "read", LONG_DEADLINE.0) + trailing));
            client
                .stream
                .shutdown(Shutdown::Both)
                .expect("the connection is open");
        }
        node.signal("-CONT");
        for number in 0..3 {
            let id = format!("other{round}-{number}");
            assert_eq!(
                node.connect()
                    .exchange(&request(&id, "read", LONG_DEADLINE.0))
                    .status(),
                200
            );
            assert_eq!(servers.next_request().message.header("x-request-id"), id);
        }
    }
    drop(kept);
    servers.assert_no_more_requests();
}

/// Guards against a node that accepts no new client once there is room again, or cannot exit, after other processes
/// have used up the descriptors or open requests have filled its connection slots.
#[test]
fn a_waiting_client_gets_a_slot_as_soon_as_a_request_has_ended() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse]);
    let node = Node::with_sockets(
        "full",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        64,
    );
    // More clients than connection slots: a client whose request is open keeps its slot.
    let mut clients = send_one_request_each(&node, 40, LONG_DEADLINE.0);
    let mut first = servers.next_request();
    let response = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks";
    first
        .stream
        .write_all(response)
        .expect("the attempt is open");
    let id = first.message.header("x-request-id").to_owned();
    let number: usize = id[1..].parse().expect("the id is a letter and a number");
    assert_eq!(
        clients[number]
            .read_response()
            .expect("the node answers")
            .status(),
        200
    );
}
