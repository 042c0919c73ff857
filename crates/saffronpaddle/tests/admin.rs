//! The operators' address of a node as a process: calls, figures, and clients that are sent away.

use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READY: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// A node with one app server that does this, and its operators' address.
fn with_admin(tag: &str, does: &[Reply]) -> (Servers, Discovery, Node, SocketAddr) {
    let (servers, discovery, admin) = (Servers::new(), Discovery::start(), free_address());
    let dial = servers.start("s-1", does);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start_with_command(tag, discovery.address, &hosts, 1024, |command| {
        command.env("LB_ADMIN_ADDR", admin.to_string());
    });
    (servers, discovery, node, admin)
}

/// Waits until a figure is so.
fn until_figure(admin: SocketAddr, name: &str, wanted: u64) {
    let begun = Instant::now();
    loop {
        let figures = admin_request(admin, "INFO\n");
        if metric_value(&figures, name) == wanted {
            return;
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "{name} is not {wanted}: {figures}"
        );
    }
}

#[test]
fn calls_are_answered_in_a_line_and_what_is_no_call_is_told_so() {
    let (_servers, _discovery, mut node, admin) = with_admin("calls", &[REPLY_OK]);
    assert!(admin_request(admin, "PING\n").starts_with("SUCCESS"));
    let figures = admin_request(admin, "INFO\r\n");
    assert!(figures.ends_with("\nEOT\n"), "{figures}");
    assert_eq!(
        (
            metric_value(&figures, "lb_registry_entries"),
            metric_value(&figures, "lb_out_of_rotation")
        ),
        (1, 0)
    );
    for bad in [
        "\n",
        "ping\n",
        "REBOOT\n",
        "LAMEDUCK now\n",
        &"x".repeat(100),
    ] {
        let answer = admin_request(admin, bad);
        assert!(
            answer.starts_with("FAILURE") && answer.lines().count() == 1,
            "{bad:?}: {answer}"
        );
    }
    // Half a call is none, also where it would be a whole one.
    let mut half = TcpStream::connect(admin).expect("it is called");
    half.write_all(b"LAMEDUCK").expect("written");
    half.shutdown(std::net::Shutdown::Write).expect("shut");
    let mut answer = String::new();
    half.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(node.connect().exchange(READY).status(), 200);
    assert!(node.is_running());
}

#[test]
fn figures_count_what_clients_and_servers_saw() {
    let does = [
        REPLY_OK,
        REPLY_OK,
        Reply::RespondAndClose(""),
        Reply::NoResponse,
    ];
    let (servers, _discovery, node, admin) = with_admin("figures", &does);
    let mut client = node.connect();
    assert_eq!(
        client.exchange(&request("a", "read", "20000m")).status(),
        200
    );
    assert_eq!(
        client.exchange(&request("b", "submit", "20000m")).status(),
        200
    );
    assert_eq!(
        client.exchange(&request("c", "pay", "20000m")).status(),
        502
    );
    assert_eq!(
        node.connect()
            .exchange(&request("d", "read", "0m"))
            .status(),
        400
    );
    let figures = admin_request(admin, "INFO\n");
    let of = |kind: &str, class: &str| {
        metric_value(&figures, &format!("lb_{kind}{{priority=\"{class}\"}}"))
    };
    assert_eq!(
        (of("fulfilled", "read"), of("faulted", "read")),
        (1, 1),
        "{figures}"
    );
    assert_eq!(
        (
            of("fulfilled", "submit"),
            of("faulted", "pay"),
            of("throttled", "pay")
        ),
        (1, 1, 0)
    );
    assert_eq!(
        (
            metric_value(&figures, "lb_relayed"),
            metric_value(&figures, "lb_open_requests")
        ),
        (3, 0)
    );
    (0..3).for_each(|_| _ = servers.next_request());
    // One that is out counts as open, and as nothing once its client has gone.
    client.write(&request("e", "pay", "20000m"));
    let _got = servers.next_request();
    until_figure(admin, "lb_open_requests", 1);
    drop(client);
    until_figure(admin, "lb_open_requests", 0);
    let after = admin_request(admin, "INFO\n");
    assert_eq!(
        metric_value(&after, "lb_faulted{priority=\"pay\"}"),
        1,
        "{after}"
    );
}

/// Callers that say nothing hold neither others nor the node up, however many there are.
#[test]
fn callers_that_stay_without_a_word_delay_nobody() {
    let (_servers, _discovery, node, admin) = with_admin("silent-callers", &[REPLY_OK]);
    let mut silent = Vec::new();
    for number in 0..100 {
        let mut stream = TcpStream::connect(admin).expect("it is called");
        if number % 2 == 0 {
            stream.write_all(b"INF").expect("written");
        }
        silent.push(stream);
        assert!(
            admin_request(admin, "PING\n").starts_with("SUCCESS"),
            "after {number}"
        );
    }
    // Those who came first have made way; they are told nothing.
    let mut first = silent.swap_remove(0);
    first
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    let mut rest = Vec::new();
    let read = first.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{read:?} {rest:?}");
    assert_eq!(node.connect().exchange(READY).status(), 200);
}

/// Readiness says no at once; what comes is served and closed, what is idle is closed, what is under way is finished;
/// and the node comes back.
#[test]
fn a_lame_duck_sends_clients_away_cuts_none_and_comes_back() {
    let does = [REPLY_OK, Reply::NoResponse, REPLY_OK, REPLY_OK];
    let (servers, _discovery, mut node, admin) = with_admin("lame", &does);
    let mut idle = node.connect();
    assert_eq!(idle.exchange(&request("a", "read", "20000m")).status(), 200);
    servers.next_request();
    let mut under_way = node.connect();
    under_way.write(&request("b", "pay", "20000m"));
    let mut got = servers.next_request();
    let mut used = node.connect();
    assert!(admin_request(admin, "LAMEDUCK\n").starts_with("SUCCESS"));
    assert!(
        admin_request(admin, "LAMEDUCK\n").starts_with("SUCCESS"),
        "twice is once"
    );
    let answer = used.exchange(READY);
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, "close")
    );
    used.expect_close();
    assert!(admin_request(admin, "PING\n").starts_with("FAILURE"));
    idle.expect_close();
    // A client whose front has not noticed yet is served, once.
    let mut late = node.connect();
    assert_eq!(late.exchange(&request("c", "read", "20000m")).status(), 200);
    late.expect_close();
    // One that never asks is not kept.
    node.connect().expect_close();
    got.stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("written");
    let answer = under_way.read_response().expect("it is finished");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    under_way.expect_close();
    assert!(
        admin_request(admin, "REJOIN\n").starts_with("SUCCESS")
            && admin_request(admin, "PING\n").starts_with("SUCCESS")
    );
    let mut back = node.connect();
    assert_eq!(back.exchange(READY).status(), 200);
    assert_eq!(
        back.exchange(&request("d", "read", "20000m")).status(),
        200,
        "its connection stays"
    );
    // From a stop there is no way back: it ends, whatever it is told meanwhile.
    node.terminate();
    let begun = Instant::now();
    while node.is_running() {
        if let Ok(mut stream) = TcpStream::connect(admin) {
            let mut answer = String::new();
            // It may end in mid-call.
            let _ = stream
                .write_all(b"REJOIN\n")
                .and_then(|()| stream.read_to_string(&mut answer));
        }
        assert!(begun.elapsed() < TEST_TIMEOUT);
        std::thread::sleep(Duration::from_millis(20));
    }
}
