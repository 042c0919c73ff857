//! Crowds that say nothing, clients that have gone, and loops that come late, over loopback against the program: what a
//! server is told of a request's time is what its client still has, and nothing begins for who has left.
//!
//! How long something has waited at least is known where the node was made to stand still meanwhile; a slow machine makes the
//! wait longer, and never shorter.

use saffronpaddle_test_doubles::scripted::*;
use std::io::Write;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long nodes are made to stand still.
const STANDS: Duration = Duration::from_millis(700);
/// Deadline of requests that outlive that, as it is said and in ms.
const LONG: (&str, u128) = ("20000m", 20_000);
/// Deadline of requests that do not.
const SHORT: &str = "400m";
/// Descriptors of a node that a crowd fills, and connections that say nothing.
const CROWD: (usize, usize) = (128, 500);

/// Stops a node's process, and comes back once it stands still.
fn stop(node: &Node) {
    node.signal("-STOP");
    let stat = format!("/proc/{}/stat", node.id());
    while !std::fs::read_to_string(&stat)
        .expect("it is there")
        .contains(") T ")
    {
        thread::sleep(Duration::from_millis(1));
    }
}

/// Has a node stand still for a while after something was sent to it; for how many ms that has waited at least.
fn stand_still_and_go_on(node: &Node, sent: Instant) -> u128 {
    thread::sleep(STANDS);
    let waited = sent.elapsed().as_millis();
    node.signal("-CONT");
    waited
}

/// How many ms a server was told.
fn told(got: &ReceivedRequest) -> u128 {
    let told = got.message.header("x-deadline");
    told.trim_end_matches('m')
        .parse()
        .unwrap_or_else(|_| panic!("{told:?}"))
}

/// A node that a crowd can fill, and the crowd.
fn crowded(tag: &str) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let node = Node::with_sockets(
        tag,
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        CROWD.0,
    );
    assert_eq!(
        node.connect()
            .exchange(&request("first", "read", LONG.0))
            .status(),
        200
    );
    servers.next_request();
    (servers, discovery, node)
}

fn say_nothing(node: &Node, many: usize) -> Vec<TcpStream> {
    (0..many)
        .map(|_| TcpStream::connect(node.address).expect("the machine accepts"))
        .collect()
}

fn ask_each(node: &Node, many: usize, deadline: &str) -> Vec<Client> {
    let ask = |number| {
        let mut client = node.connect();
        client.write(&request(&format!("b{number}"), "read", deadline));
        client
    };
    (0..many).map(ask).collect()
}

/// Danger: who has sent a request waits behind hundreds who have not, as room is made for one after the other.
#[test]
fn requests_behind_a_crowd_that_says_nothing_are_answered_in_time() {
    let (servers, _discovery, node) = crowded("behind");
    let began = Instant::now();
    // They hold all places, and go on pressing.
    let crowd: Vec<_> = (0..3).flat_map(|_| say_nothing(&node, CROWD.1)).collect();
    let mut clients = ask_each(&node, 20, "1500m");
    for client in &mut clients {
        assert_eq!(
            client.read_response().expect("an answer").status(),
            200,
            "after {:?}",
            began.elapsed()
        );
        servers.next_request();
    }
    drop(crowd);
}

/// The same, in a node that stood still meanwhile: its backlog has the crowd and the requests behind it.
#[test]
fn requests_behind_a_crowd_tell_no_more_time_than_is_left() {
    let (servers, _discovery, node) = crowded("told");
    // They hold all places, and none of them waits any more: the machine keeps only so many.
    let mut crowd = say_nothing(&node, CROWD.1);
    assert_eq!(
        node.connect()
            .exchange(&request("second", "read", LONG.0))
            .status(),
        200
    );
    servers.next_request();
    stop(&node);
    crowd.extend(say_nothing(&node, 60));
    let mut clients = ask_each(&node, 20, LONG.0);
    let waited = stand_still_and_go_on(&node, Instant::now());
    for client in &mut clients {
        assert_eq!(client.read_response().expect("an answer").status(), 200);
        let told = told(&servers.next_request());
        assert!(told <= LONG.1 - waited, "{told} ms told after {waited} ms");
    }
    drop(crowd);
}

/// A request that came while the node stood still, on a connection of its own: it tells what is left, or nothing at all where
/// nothing is.
#[test]
fn a_request_that_waited_in_the_backlog_tells_no_more_time_than_is_left() {
    let (servers, _discovery, node) = start_with_one_server("backlog", &[REPLY_OK]);
    for round in 0..3 {
        let before = Instant::now();
        stop(&node);
        let (mut long, mut short) = (node.connect(), node.connect());
        long.write(&request(&format!("long{round}"), "read", LONG.0));
        short.write(&request(&format!("short{round}"), "read", SHORT));
        let waited = stand_still_and_go_on(&node, Instant::now());
        assert_eq!(long.read_response().expect("an answer").status(), 200);
        let got = servers.next_request();
        let (told, all) = (told(&got), before.elapsed().as_millis());
        assert_eq!(got.message.header("x-request-id"), format!("long{round}"));
        assert!(told <= LONG.1 - waited, "{told} ms told after {waited} ms");
        // No more is taken off than there may have been, and some for what the node can't know.
        assert!(told + all + 2000 >= LONG.1, "{told} ms told after {all} ms");
        assert_eq!(short.read_response().expect("an answer").status(), 503);
    }
    servers.assert_no_more_requests();
}

/// The same on connections that are kept, many of them at once: the last that the loop comes to has waited as long as the first.
#[test]
fn requests_that_rested_on_kept_connections_tell_no_more_time_than_is_left() {
    let (servers, _discovery, node) = start_with_one_server("kept", &[REPLY_OK]);
    let mut clients: Vec<_> = (0..100).map(|_| node.connect()).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        assert_eq!(
            client
                .exchange(&request(&format!("a{number}"), "read", LONG.0))
                .status(),
            200
        );
        servers.next_request();
    }
    stop(&node);
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(&request(
            &format!("b{number}"),
            "read",
            if number % 2 == 0 { LONG.0 } else { SHORT },
        ));
    }
    let waited = stand_still_and_go_on(&node, Instant::now());
    for (number, client) in clients.iter_mut().enumerate() {
        let long = number % 2 == 0;
        assert_eq!(
            client.read_response().expect("an answer").status(),
            if long { 200 } else { 503 },
            "{number}"
        );
        if long {
            let told = told(&servers.next_request());
            assert!(told <= LONG.1 - waited, "{told} ms told after {waited} ms");
        }
    }
    servers.assert_no_more_requests();
}

/// A node that is on time takes nothing off: what is told is what the client says but for the answer's way, and a busy machine.
#[test]
fn a_request_that_did_not_wait_is_told_with_all_its_time() {
    let (servers, _discovery, node) = start_with_one_server("on-time", &[REPLY_OK]);
    for round in 0..20 {
        let mut client = node.connect();
        let before = Instant::now();
        for number in 0..5 {
            let id = format!("r{round}-{number}");
            assert_eq!(client.exchange(&request(&id, "read", LONG.0)).status(), 200);
            let (told, all) = (told(&servers.next_request()), before.elapsed().as_millis());
            // Sleeps of the loop are no waits of a request.
            assert!(
                told + all + 2000 >= LONG.1 && told < LONG.1,
                "{told} ms told after {all} ms"
            );
        }
    }
}

/// Danger: bytes behind its request hide that a client leaves, and its next attempt begins for nobody. The machine knew that it
/// had gone before it knew that the first attempt had failed.
#[test]
fn no_further_attempt_begins_for_a_client_that_has_left_behind_pipelined_bytes() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let turns = (0..20)
        .flat_map(|_| [Reply::NoResponse, REPLY_OK])
        .collect();
    let turns = ReplyQueue::new(std::sync::Mutex::new(turns));
    let hosts = ["s-1", "s-2"]
        .map(|name| host_json(name, servers.start_with_queue(name, &turns), 1, "ready"));
    let node = Node::start("gone", discovery.address, &hosts);
    for round in 0..20 {
        let mut client = node.connect();
        client.write(&request(&format!("left{round}"), "read", LONG.0));
        let got = servers.next_request();
        assert_eq!(got.message.header("x-request-id"), format!("left{round}"));
        client.write(&request("behind", "read", LONG.0));
        client.stream.shutdown(Shutdown::Both).expect("it is open");
        got.stream.shutdown(Shutdown::Both).unwrap_or(());
        let answer = node
            .connect()
            .exchange(&request(&format!("other{round}"), "read", LONG.0));
        assert_eq!(answer.status(), 200);
        assert_eq!(
            servers.next_request().message.header("x-request-id"),
            format!("other{round}")
        );
    }
    servers.assert_no_more_requests();
}

/// The same for a first attempt: its client came, asked and left while the node stood still.
#[test]
fn no_attempt_begins_for_a_client_that_left_while_the_node_stood_still() {
    let (servers, _discovery, node) = start_with_one_server("came-and-left", &[REPLY_OK]);
    let mut kept = node.connect();
    assert_eq!(
        kept.exchange(&request("first", "read", LONG.0)).status(),
        200
    );
    servers.next_request();
    for round in 0..5 {
        stop(&node);
        for (name, behind) in [("alone", ""), ("more", "GET /read/0 HTTP/1.1\r\nX-Junk: ")] {
            let mut client = node.connect();
            client.write(&(request(&format!("{name}{round}"), "read", LONG.0) + behind));
            client.stream.shutdown(Shutdown::Both).expect("it is open");
        }
        node.signal("-CONT");
        for number in 0..3 {
            let id = format!("other{round}-{number}");
            assert_eq!(
                node.connect()
                    .exchange(&request(&id, "read", LONG.0))
                    .status(),
                200
            );
            assert_eq!(servers.next_request().message.header("x-request-id"), id);
        }
    }
    drop(kept);
    servers.assert_no_more_requests();
}

/// Danger: a lack of descriptors that is none of this node's making, or a pool that is full of requests, must not shut out a
/// newcomer once there is room, nor keep the node from its end.
#[test]
fn who_waits_for_a_place_gets_one_as_soon_as_a_request_has_ended() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse]);
    let node = Node::with_sockets(
        "full",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        64,
    );
    // More than there are places: who has asked keeps its own.
    let mut clients = ask_each(&node, 40, LONG.0);
    let mut first = servers.next_request();
    let words = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks";
    first.stream.write_all(words).expect("the attempt is out");
    let id = first.message.header("x-request-id").to_owned();
    let number: usize = id[1..].parse().expect("a number");
    assert_eq!(
        clients[number].read_response().expect("an answer").status(),
        200
    );
}
