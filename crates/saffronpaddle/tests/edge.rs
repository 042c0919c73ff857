//! The edge node over loopback sockets: requests, retries, lists of servers, signals and limits. No test asserts on
//! speed.

use saffronpaddle_test_doubles::scripted::*;
use std::io::Write;
use std::time::Instant;

/// Starts an edge node with two servers in its configuration. The first attempt gets the reply `first`, all others get
/// `then`.
fn start_with_two_servers(
    tag: &str,
    blocks: [u32; 2],
    first: Reply,
    then: Reply,
) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let replies = ReplyQueue::new(vec![first, then].into());
    let host = |(block, name): (u32, &str)| {
        host_json(
            name,
            servers.start_with_queue(name, &replies),
            block,
            "ready",
        )
    };
    let hosts: Vec<_> = blocks.into_iter().zip(["s-1", "s-2"]).map(host).collect();
    let node = Node::start(tag, discovery.address, &hosts);
    (servers, discovery, node)
}

#[test]
fn requests_are_forwarded_unchanged_and_connections_are_reused() {
    let (servers, _discovery, node) = start_with_one_server("plain", &[REPLY_OK]);
    let mut client = node.connect();
    assert_eq!(
        client
            .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
    for (number, class) in ["read", "submit", "pay"].into_iter().enumerate() {
        let answer = client.exchange(&request(class, class, "20000m"));
        assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
        let upstream_request = servers.next_request();
        let method = if class == "read" { "GET" } else { "POST" };
        let start_line = format!("{method} /{class}/00000000b4d65521?game=7 HTTP/1.1");
        assert_eq!(upstream_request.message.start_line, start_line);
        assert_eq!(upstream_request.message.header("x-request-id"), class);
        assert!(upstream_request.message.header("x-deadline").ends_with('m'));
        assert_eq!(
            upstream_request.message.body,
            if class == "read" { &b""[..] } else { b"time" }
        );
        let key = if class == "submit" { "5c0f6e1a" } else { "" };
        assert_eq!(upstream_request.message.header("idempotency-key"), key);
        assert_eq!(
            upstream_request.connection, 0,
            "request {number} opened a new connection"
        );
        // A connection is not reused immediately after an answer.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    servers.assert_no_more_requests();
}

#[test]
fn bad_requests_are_answered_400_or_413_and_affect_no_other_request() {
    let (servers, _discovery, mut node) = start_with_one_server("bad", &[REPLY_OK]);
    let good = request("a", "read", "20000m");
    let cases = [
        ("X-Class: read", "X-Class: write", "400"),
        ("X-Class: read\r\n", "", "400"),
        ("/read/", "/pay/", "400"),
        ("00000000b4d65521", "b4d65521", "400"),
        ("00000000b4d65521", "ffffffffffffffff", "400"),
        ("X-Tier: p", "X-Tier: q", "400"),
        ("X-Deadline: 20000m", "X-Deadline: 20", "400"),
        ("X-Deadline: 20000m", "X-Deadline: NaNm", "400"),
        ("X-Deadline: 20000m\r\n", "", "400"),
        ("X-Request-Id: a\r\n", "", "400"),
        ("units=1", "units=-1", "400"),
        ("X-Call-Terms", "X-Terms", "400"),
        ("GET", "POST", "400"),
        ("HTTP/1.1", "SMTP", "400"),
        ("00000000b4d65521", "+0000000b4d65521", "400"),
        ("X-Class: read", "X-Class: read\r\nX-Class: submit", "400"),
        ("X-Tier: p", "X-Tier: p\r\nX-Tier: p", "400"),
        ("X-Deadline: 20000m", "X-Deadline: 30001m", "400"),
        ("X-Deadline: 20000m", "X-Deadline: 1e3m", "400"),
        ("units=1", "units=2", "400"),
        ("units=1", "units=0", "400"),
        ("units=1", "units", "400"),
        ("units=1", "units=1,units=1", "400"),
        ("spread=1", "spread=3", "400"),
        ("spread=1", "spread=-1", "400"),
        ("first=0", "first=2", "400"),
        // Request smuggling: with both a length and an encoding, a request may hide in what one of them takes as the
        // body.
        (
            "X-Tier: p",
            "X-Tier: p\r\nContent-Length: 4\r\nTransfer-Encoding: chunked",
            "400",
        ),
        (
            "X-Tier: p",
            "X-Tier: p\r\nTransfer-Encoding: chunked\r\nContent-Length: 4",
            "400",
        ),
        (
            "X-Tier: p",
            "X-Tier: p\r\nContent-Length: 4\r\nContent-Length: 5",
            "400",
        ),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: -4", "400"),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: 4", "400"),
        ("X-Tier: p", "X-Tier: p\r\nContent-Length: 60000000", "413"),
    ];
    for (from, to, status) in cases {
        let mut client = node.connect();
        let answer = client.exchange(&good.replacen(from, to, 1));
        assert_eq!(answer.status().to_string(), status, "{to}");
        client.expect_close();
    }
    let keyless = request("b", "submit", "20000m").replace("Idempotency-Key", "Some-Key");
    assert_eq!(node.connect().exchange(&keyless).status(), 400);
    let large =
        request("c", "pay", "20000m").replace("Length: 4\r\n\r\ntime", "Length: 60000000\r\n\r\n");
    let mut client = node.connect();
    client.write(&large);
    // The node may answer and close before it has read the complete body, so that the write may fail.
    let _ = client.stream.write_all(&vec![b'x'; 65537]);
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        413
    );
    assert!(node.is_running());
    servers.assert_no_more_requests();
    assert_eq!(node.connect().exchange(&good).status(), 200);
}

#[test]
fn a_bad_configuration_fails_the_start_with_an_error_of_one_line() {
    for (number, config) in ["", "{}", "{\"name\":1}", "[]"].into_iter().enumerate() {
        let (child, path) = start(&format!("config-{number}"), config);
        let output = child.wait_with_output().expect("the process exits");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && error.lines().count() == 1,
            "{config}: {error}"
        );
    }
}

#[test]
fn a_request_with_an_id_in_use_is_refused() {
    let (servers, _discovery, node) = start_with_one_server("twice", &[Reply::NoResponse]);
    let mut first = node.connect();
    first.write(&request("same", "pay", "20000m"));
    let upstream_request = servers.next_request();
    assert_eq!(
        node.connect()
            .exchange(&request("same", "pay", "20000m"))
            .status(),
        400
    );
    drop(first);
    assert!(wait_until_closed(&upstream_request));
    servers.assert_no_more_requests();
}

/// A request that certainly has not run is retried whatever its class; one that may have run only if its class allows
/// it.
#[test]
fn a_request_is_retried_only_as_its_class_allows() {
    let reset = Reply::RespondAndClose("");
    let cut = Reply::RespondAndClose("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\nran");
    let cases = [
        ("full", REPLY_OVERLOADED, "pay", 200, 2),
        ("full-keyed", REPLY_OVERLOADED, "submit", 200, 2),
        ("reset-safe", reset.clone(), "read", 200, 2),
        ("reset-unsafe", reset.clone(), "pay", 502, 1),
        ("cut-safe", cut.clone(), "read", 200, 2),
        ("cut-unsafe", cut, "pay", 502, 1),
        (
            "unframed-unsafe",
            Reply::RespondAndClose("HTTP/1.1 200 OK\r\n\r\nran"),
            "pay",
            502,
            1,
        ),
        ("error-safe", REPLY_ERROR, "read", 200, 2),
        ("error-unsafe", REPLY_ERROR, "pay", 502, 1),
        ("reset-keyed", reset, "submit", 200, 2),
    ];
    for (tag, first, class, status, attempts) in cases {
        // Both servers are in one cell, so that a keyed request may go to either.
        let (servers, _discovery, node) = start_with_two_servers(tag, [1, 1], first, REPLY_OK);
        let answer = node.connect().exchange(&request(tag, class, "20000m"));
        assert_eq!(answer.status(), status, "{tag}");
        for _ in 0..attempts {
            servers.next_request();
        }
        servers.assert_no_more_requests();
    }
}

/// A malformed answer is a failed attempt that may have run, and its connection is closed.
#[test]
fn malformed_answers_are_not_forwarded() {
    let cases = [
        ("noise", "\u{1}\u{2}noise\r\n\r\n"),
        (
            "status",
            "HTTP/1.1 2x0 OK\r\nContent-Length: 5\r\n\r\nranks",
        ),
        (
            "length",
            "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nranks",
        ),
        (
            "lengths",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nranks",
        ),
        (
            "huge",
            "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nranks",
        ),
        (
            "chunk",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nranks",
        ),
        ("unframed", "HTTP/1.1 200 OK\r\n\r\nranks"),
        (
            "switch",
            "HTTP/1.1 101 Switching Protocols\r\nUpgrade: noise\r\n\r\n",
        ),
    ];
    for (tag, response) in cases {
        let (servers, _discovery, node) =
            start_with_one_server(tag, &[Reply::Respond(response), REPLY_OK]);
        let mut client = node.connect();
        assert_eq!(
            client.exchange(&request("a", "pay", "20000m")).status(),
            502,
            "{tag}"
        );
        assert!(wait_until_closed(&servers.next_request()), "{tag}");
        let answer = client.exchange(&request("b", "pay", "20000m"));
        assert_eq!(
            (answer.status(), servers.next_request().connection),
            (200, 1),
            "{tag}"
        );
    }
}

/// Interim answers before a valid answer, and a header of it that cannot be parsed, are ignored.
#[test]
fn interim_answers_and_a_malformed_load_header_are_ignored() {
    let ahead =
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: \
                 inflight=x,,=\r\nContent-Length: 5\r\n\r\nranks";
    let (servers, _discovery, node) = start_with_one_server("ahead", &[Reply::Respond(ahead)]);
    let answer = node.connect().exchange(&request("a", "pay", "20000m"));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
    servers.next_request();
}

/// Bodies above the usual size, of requests and answers, are accepted while memory allows.
#[test]
fn large_bodies_are_forwarded_both_ways() {
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{}",
        "r".repeat(400_000)
    );
    let (servers, _discovery, node) = start_with_one_server(
        "large",
        &[Reply::Respond(Box::leak(response.into_boxed_str()))],
    );
    let mut client = node.connect();
    let large = format!("Length: 300000\r\n\r\n{}", "t".repeat(300_000));
    for id in ["a", "b"] {
        let answer =
            client.exchange(&request(id, "pay", "20000m").replace("Length: 4\r\n\r\ntime", &large));
        assert_eq!((answer.status(), answer.body.len()), (200, 400_000));
        assert_eq!(servers.next_request().message.body.len(), 300_000);
    }
}

/// Guards against a second answer, sent directly after the first or later on the idle connection, that is taken for the
/// answer to the next request.
#[test]
fn bytes_after_an_answer_never_answer_the_next_request() {
    let twice =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirstHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    let (servers, _discovery, node) =
        start_with_one_server("behind", &[Reply::Respond(twice), REPLY_OK]);
    let mut client = node.connect();
    assert_eq!(
        client.exchange(&request("a", "pay", "20000m")).body,
        b"first"
    );
    assert!(wait_until_closed(&servers.next_request()));
    assert_eq!(
        client.exchange(&request("b", "pay", "20000m")).body,
        b"ranks"
    );
    let mut upstream_request = servers.next_request();
    upstream_request
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
        .expect("the connection is kept open");
    assert_eq!(
        client.exchange(&request("c", "pay", "20000m")).body,
        b"ranks"
    );
    assert_eq!(servers.next_request().connection, 2);
    assert!(wait_until_closed(&upstream_request));
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    let (servers, _discovery, node) =
        start_with_two_servers("cell", [1, 2], Reply::RespondAndClose(""), REPLY_OK);
    let answer = node.connect().exchange(&request("a", "submit", "20000m"));
    let (first, second) = (servers.next_request(), servers.next_request());
    assert_eq!((answer.status(), first.server), (200, second.server));
    servers.assert_no_more_requests();
}

#[test]
fn an_unsafe_request_is_retried_after_a_refused_connection() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let refusing = free_address();
    let dial = servers.start("s-2", &[REPLY_OK]);
    let hosts = [
        host_json("s-1", refusing, 1, "ready"),
        host_json("s-2", dial, 2, "ready"),
    ];
    let node = Node::start("refused", discovery.address, &hosts);
    let mut client = node.connect();
    for number in 0..6 {
        assert_eq!(
            client
                .exchange(&request(&format!("r{number}"), "pay", "20000m"))
                .status(),
            200
        );
    }
}

#[test]
fn an_unsafe_request_to_a_silent_server_is_answered_502() {
    let (servers, _discovery, node) = start_with_one_server("silent", &[Reply::NoResponse]);
    let started = Instant::now();
    let answer = node.connect().exchange(&request("a", "pay", "700m"));
    assert_eq!(
        answer.status(),
        502,
        "an unsafe request that may have run was answered as a refusal"
    );
    assert!(
        started.elapsed().as_millis() < 20_000,
        "the answer came long after the deadline of 700 ms"
    );
    assert!(
        wait_until_closed(&servers.next_request()),
        "the attempt was not cancelled at the deadline"
    );
    servers.assert_no_more_requests();
}

/// A stalled attempt is cancelled and its connection closed before the next attempt is written.
#[test]
fn a_request_never_has_two_open_attempts() {
    let (servers, _discovery, node) =
        start_with_two_servers("stalled", [1, 1], Reply::NoResponse, REPLY_OK);
    for (number, class) in ["read", "submit"].into_iter().enumerate() {
        assert_eq!(
            node.connect()
                .exchange(&request(class, class, "20000m"))
                .status(),
            200
        );
        servers.next_request();
        // Whether the first attempt was still open shows when the second arrives.
        if number == 0 {
            assert!(servers.next_request().only_attempt);
        }
    }
}

#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let (servers, _discovery, node) = start_with_one_server("gone", &[Reply::NoResponse, REPLY_OK]);
    let mut client = node.connect();
    client.write(&request("a", "pay", "20000m"));
    let upstream_request = servers.next_request();
    drop(client);
    assert!(wait_until_closed(&upstream_request));
    assert_eq!(
        node.connect()
            .exchange(&request("b", "pay", "20000m"))
            .status(),
        200
    );
}

/// Guards against a request on an idle connection that the server has closed, which would end in a reset.
#[test]
fn an_idle_connection_that_the_server_closed_is_not_reused() {
    let (servers, _discovery, node) = start_with_one_server("idle", &[REPLY_OK]);
    let mut client = node.connect();
    assert_eq!(
        client.exchange(&request("a", "pay", "20000m")).status(),
        200
    );
    let upstream_request = servers.next_request();
    upstream_request
        .stream
        .shutdown(std::net::Shutdown::Both)
        .expect("the connection is open");
    // The edge node closes its side as soon as it has seen the close.
    assert!(wait_until_closed(&upstream_request));
    let answer = client.exchange(&request("b", "pay", "20000m"));
    assert_eq!(
        (answer.status(), servers.next_request().connection),
        (200, 1)
    );
}

#[test]
fn lists_are_applied_in_order_and_a_broken_watch_is_reopened() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let one = servers.start("s-1", &[REPLY_OK]);
    let two = servers.start("s-2", &[REPLY_OK]);
    let three = servers.start("s-3", &[REPLY_OK]);
    let node = Node::start(
        "list",
        discovery.address,
        &[host_json("s-1", one, 1, "ready")],
    );
    let mut client = node.connect();
    let mut number = 0;
    let mut wait_until_only_server = |name: &str| {
        // Once the server has answered, it must answer all that follow.
        let mut consecutive = 0;
        while consecutive < 10 {
            number += 1;
            assert_eq!(
                client
                    .exchange(&request(&format!("r{number}"), "read", "20000m"))
                    .status(),
                200
            );
            let server = servers.next_request().server;
            assert!(
                consecutive == 0 || server == name,
                "{server} answered after {name} had"
            );
            consecutive += u32::from(server == name);
        }
    };
    wait_until_only_server("s-1");
    let (request_line, mut watch) = discovery.next_watch();
    assert!(
        request_line.contains("watch=1") && request_line.contains("from=1"),
        "{request_line}"
    );
    // An incremental list: one server drains, another is added.
    write_list(
        &mut watch,
        &list_json(
            2,
            false,
            &[
                host_json("s-1", one, 1, "draining"),
                host_json("s-2", two, 2, "ready"),
            ],
        ),
    );
    wait_until_only_server("s-2");
    // The watch breaks off within a line: the old list stays in use, and the next watch asks from its sequence number.
    watch
        .write_all(b"14\r\n{\"seq\":3,")
        .expect("the watch is open");
    watch
        .shutdown(std::net::Shutdown::Both)
        .expect("the watch is open");
    let (request_line, mut watch) = discovery.next_watch();
    assert!(request_line.contains("from=2"), "{request_line}");
    wait_until_only_server("s-2");
    // A list with an older sequence number changes nothing; a server that is not on a complete list is removed.
    write_list(
        &mut watch,
        &list_json(
            1,
            false,
            &[
                host_json("s-2", two, 2, "gone"),
                host_json("s-1", one, 1, "ready"),
            ],
        ),
    );
    write_list(
        &mut watch,
        &list_json(4, true, &[host_json("s-3", three, 3, "ready")]),
    );
    wait_until_only_server("s-3");
    // The server moves to another address.
    let moved = servers.start("s-3 moved", &[REPLY_OK]);
    write_list(
        &mut watch,
        &list_json(5, false, &[host_json("s-3", moved, 3, "ready")]),
    );
    wait_until_only_server("s-3 moved");
}

#[test]
fn a_silent_watch_is_reopened() {
    let (_servers, discovery, _node) = start_with_one_server("watch", &[REPLY_OK]);
    let (_, silent) = discovery.next_watch();
    let (request_line, _) = discovery.next_watch();
    assert!(request_line.contains("from=1"));
    drop(silent);
}

/// A list that the agent has counts as announced whether or not a watch is open. While the agent is silent the node
/// makes further calls in addition to those that are open, so that a call is open at the moment at which the agent has
/// a list again.
#[test]
fn a_silent_agent_is_called_again_while_earlier_calls_are_open() {
    let agent = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let servers = Servers::new();
    let known = host_json("s-1", servers.start("s-1", &[REPLY_OK]), 1, "ready");
    let node = Node::start(
        "silent-agent",
        agent.local_addr().expect("the socket has an address"),
        &[known],
    );
    let mut calls: Vec<std::net::TcpStream> = Vec::new();
    // No call is answered. A node that cancels each call before it makes the next never has three open.
    while calls.iter().filter(|call| !is_closed(call)).count() < 3 {
        let (call, _) = agent.accept().expect("the node makes another call");
        Message::read(&mut std::io::BufReader::new(&call)).expect("the node sends a call");
        calls.push(call);
        assert!(
            calls.len() < 30,
            "the node made 30 calls, of which three were never open at once"
        );
    }
    let mut last = calls.pop().expect("three calls are open");
    drop(calls);
    last.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .expect("the call is open");
    write_list(
        &mut last,
        &list_json(
            2,
            true,
            &[host_json(
                "s-2",
                servers.start("s-2", &[REPLY_OK]),
                2,
                "ready",
            )],
        ),
    );
    let mut client = node.connect();
    for number in 0.. {
        assert_eq!(
            client
                .exchange(&request(&format!("r{number}"), "read", "20000m"))
                .status(),
            200
        );
        if servers.next_request().server == "s-2" {
            break;
        }
        assert!(number < 1000, "the node has not applied the list");
    }
}

/// SIGHUP terminates a process that does not handle it. The sequence numbers of the new discovery service start again,
/// and the old list stays in use until the new service has sent one.
#[test]
fn sighup_switches_to_the_discovery_service_in_the_configuration() {
    let (servers, old, mut node) = start_with_one_server("reload", &[REPLY_OK]);
    let (request_line, mut old_watch) = old.next_watch();
    assert!(request_line.contains("from=1"), "{request_line}");
    let serving_server = |client: &mut Client, id: &str| {
        assert_eq!(
            client.exchange(&request(id, "read", "20000m")).status(),
            200
        );
        servers.next_request().server
    };
    let mut client = node.connect();
    // A file that cannot be read as a configuration changes nothing.
    node.reload(|text| text.replacen('{', "", 1));
    assert_eq!(serving_server(&mut client, "a"), "s-1");
    node.reload(|text| format!("{{{text}"));
    let new = Discovery::start();
    let (from, to) = (old.address.to_string(), new.address.to_string());
    node.reload(|text| text.replace(&from, &to));
    let (request_line, mut watch) = new.next_watch();
    assert!(
        request_line.contains("watch=1") && !request_line.contains("from"),
        "{request_line}"
    );
    assert_eq!(serving_server(&mut client, "b"), "s-1");
    let two = servers.start("s-2", &[REPLY_OK]);
    write_list(
        &mut watch,
        &list_json(1, true, &[host_json("s-2", two, 2, "ready")]),
    );
    let mut number = 0;
    while serving_server(&mut client, &format!("c{number}")) != "s-2" {
        number += 1;
    }
    // Until then the old service could still announce a drain; now the node closes its watch and sends
    // nothing more on it.
    let mut rest = Vec::new();
    old_watch
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read time-out is set");
    std::io::Read::read_to_end(&mut old_watch, &mut rest).expect("the old watch ends");
    node.terminate();
    // SIGHUP must not end the process during shutdown either.
    node.reload(|text| text);
    assert!(node.wait().success());
}

#[test]
fn peers_receive_datagrams_and_malformed_ones_are_ignored() {
    let (_servers, _discovery, mut node) = start_with_one_server("peers", &[REPLY_OK]);
    let mut client = node.connect();
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("a loopback port is free");
    for noise in [
        &[0xff; 1400][..],
        &[],
        &[2],
        &[2, 0, 1],
        &[2, 1, 0, 0, 9, 9],
        &[7; 256],
    ] {
        node.peer_socket
            .send_to(noise, node.datagram_address)
            .expect("the datagram is sent");
        stranger
            .send_to(noise, node.datagram_address)
            .expect("the datagram is sent");
    }
    for number in 0..3 {
        assert_eq!(
            client
                .exchange(&request(&format!("r{number}"), "read", "20000m"))
                .status(),
            200
        );
        let mut buffer = [0; 2000];
        let (length, from) = node
            .peer_socket
            .recv_from(&mut buffer)
            .expect("the peer receives a datagram");
        assert!(length <= 256 && from == node.datagram_address);
    }
    assert!(node.is_running());
}

#[test]
fn a_customer_over_quota_is_refused_without_delay() {
    let (servers, _discovery, node) = start_with_one_server("quota", &[REPLY_OK]);
    let mut client = node.connect();
    let tiny = |id: &str| request(id, "read", "25000m").replace("X-Tier: p", "X-Tier: tiny");
    assert_eq!(client.exchange(&tiny("a")).status(), 200);
    servers.next_request();
    let started = Instant::now();
    let mut refused = client.exchange(&tiny("b"));
    for number in 0..3 {
        refused = client.exchange(&tiny(&format!("c{number}")));
    }
    assert_eq!(refused.status(), 503);
    let retry_after_s: f64 = refused
        .header("retry-after")
        .parse()
        .expect("Retry-After is a number of seconds");
    assert!(
        retry_after_s > 0.0 && retry_after_s < 60.0,
        "{retry_after_s}"
    );
    assert!(
        started.elapsed().as_secs() < 20,
        "the refusals came only at the deadline"
    );
}

#[test]
fn accepted_requests_are_served_after_sigterm() {
    let (servers, _discovery, mut node) =
        start_with_one_server("term", &[Reply::NoResponse, REPLY_OK]);
    let (mut waiting, mut idle) = (node.connect(), node.connect());
    assert_eq!(
        idle.exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
    waiting.write(&request("a", "read", "20000m"));
    let upstream_request = servers.next_request();
    node.terminate();
    // For a while the node still accepts connections, and answers with `Connection: close`.
    let late = loop {
        let answer = node
            .connect()
            .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n");
        if answer.status() != 200 {
            break answer;
        }
    };
    assert_eq!((late.status(), late.header("connection")), (503, "close"));
    let answer = idle.exchange(&request("b", "read", "20000m"));
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    idle.expect_close();
    let mut stream = upstream_request.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still open");
    let answer = waiting
        .read_response()
        .expect("an accepted request is answered");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(node.wait().success());
}

/// A client that sends nothing, or stops within a request, loses its connection.
#[test]
fn a_silent_client_is_disconnected() {
    let (servers, _discovery, node) = start_with_one_server("silence", &[REPLY_OK]);
    let complete = request("a", "submit", "20000m");
    let (half_head, half_body) = (&complete[..60], &complete[..complete.len() - 2]);
    for bytes in ["", half_head, half_body] {
        let mut client = node.connect();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("the read time-out is set");
        client.write(bytes);
        if let Some(answer) = client.read_response() {
            assert_eq!(answer.status(), 400);
        }
        client.expect_close();
    }
    servers.assert_no_more_requests();
}

/// Clients that keep their connection after one request, and some that never send one, do not prevent others from
/// connecting.
#[test]
fn idle_clients_do_not_block_new_clients() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let node = Node::with_sockets(
        "crowd",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        64,
    );
    let mut idle = Vec::new();
    for number in 0..60 {
        let mut client = node.connect();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("the read time-out is set");
        if number % 2 == 0 {
            assert_eq!(
                client
                    .exchange(&request(&format!("r{number}"), "read", "20000m"))
                    .status(),
                200
            );
        }
        idle.push(client);
    }
}

/// More clients than descriptors: the surplus waits, and is served once descriptors are free.
#[test]
fn a_client_beyond_the_descriptor_limit_is_served_once_descriptors_are_free() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let node = Node::with_sockets(
        "sockets",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        64,
    );
    let idle: Vec<_> = (0..60).map(|_| node.connect()).collect();
    let mut last = node.connect();
    last.write(&request("a", "read", "20000m"));
    drop(idle);
    assert_eq!(
        last.read_response().expect("the node answers").status(),
        200
    );
}
