//! The edge node over loopback sockets. Each test stands for something that can go wrong there; none asserts
//! on speed.

use saffronpaddle_test_doubles::scripted::*;
use std::io::Write;
use std::time::Instant;

/// An edge node that knows two app servers. The first attempt gets one answer, all others another.
fn with_two(tag: &str, blocks: [u32; 2], first: Reply, then: Reply) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let turns = ReplyQueue::new(vec![first, then].into());
    let number = |(block, name): (u32, &str)| {
        host_json(name, servers.start_with_queue(name, &turns), block, "ready")
    };
    let hosts: Vec<_> = blocks.into_iter().zip(["s-1", "s-2"]).map(number).collect();
    let node = Node::start(tag, discovery.address, &hosts);
    (servers, discovery, node)
}

#[test]
fn requests_go_on_unchanged_and_answers_come_back_over_kept_connections() {
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
        let got = servers.next_request();
        let method = if class == "read" { "GET" } else { "POST" };
        let start = format!("{method} /{class}/00000000b4d65521?game=7 HTTP/1.1");
        assert_eq!(got.message.start_line, start);
        assert_eq!(got.message.header("x-request-id"), class);
        assert!(got.message.header("x-deadline").ends_with('m'));
        assert_eq!(
            got.message.body,
            if class == "read" { &b""[..] } else { b"time" }
        );
        let key = if class == "submit" { "5c0f6e1a" } else { "" };
        assert_eq!(got.message.header("idempotency-key"), key);
        assert_eq!(
            got.connection, 0,
            "request {number} opened a connection of its own"
        );
        // One that has just answered is not used again at once.
        std::thread::sleep(std::time::Duration::from_millis(100));
    }
    servers.assert_no_more_requests();
}

#[test]
fn bad_requests_are_answered_400_and_413_and_harm_nobody() {
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
        // A length and an encoding, in either order: one of them may hide a request in the other's body.
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
    // It may answer before it has read all.
    let _ = client.stream.write_all(&vec![b'x'; 65537]);
    assert_eq!(client.read_response().expect("an answer").status(), 413);
    assert!(node.is_running());
    servers.assert_no_more_requests();
    assert_eq!(node.connect().exchange(&good).status(), 200);
}

#[test]
fn a_bad_configuration_ends_in_one_plain_line() {
    for (number, config) in ["", "{}", "{\"name\":1}", "[]"].into_iter().enumerate() {
        let (child, path) = start(&format!("config-{number}"), config);
        let output = child.wait_with_output().expect("it ends");
        let _ = std::fs::remove_file(path);
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(
            !output.status.success() && error.lines().count() == 1,
            "{config}: {error}"
        );
    }
}

#[test]
fn an_id_in_use_is_not_taken_twice() {
    let (servers, _discovery, node) = start_with_one_server("twice", &[Reply::NoResponse]);
    let mut first = node.connect();
    first.write(&request("same", "pay", "20000m"));
    let got = servers.next_request();
    assert_eq!(
        node.connect()
            .exchange(&request("same", "pay", "20000m"))
            .status(),
        400
    );
    drop(first);
    assert!(wait_until_closed(&got));
    servers.assert_no_more_requests();
}

/// What has never run may be sent again whatever its class; what may have run only as its class allows.
#[test]
fn a_request_is_sent_again_only_as_its_class_allows() {
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
        // Both are of one cell, so that a keyed request may go to either.
        let (servers, _discovery, node) = with_two(tag, [1, 1], first, REPLY_OK);
        let answer = node.connect().exchange(&request(tag, class, "20000m"));
        assert_eq!(answer.status(), status, "{tag}");
        for _ in 0..attempts {
            servers.next_request();
        }
        servers.assert_no_more_requests();
    }
}

/// A spoilt answer is a failed attempt that may have run, and its connection is closed.
#[test]
fn spoilt_answers_are_not_passed_on() {
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
    for (tag, words) in cases {
        let (servers, _discovery, node) =
            start_with_one_server(tag, &[Reply::Respond(words), REPLY_OK]);
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

/// What comes ahead of a good answer, or cannot be read in it, is passed over.
#[test]
fn good_answers_may_bring_more_than_belongs_to_them() {
    let ahead =
        "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Load: \
                 inflight=x,,=\r\nContent-Length: 5\r\n\r\nranks";
    let (servers, _discovery, node) = start_with_one_server("ahead", &[Reply::Respond(ahead)]);
    let answer = node.connect().exchange(&request("a", "pay", "20000m"));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
    servers.next_request();
}

/// Bodies larger than the usual, either way, are taken while memory allows.
#[test]
fn large_bodies_pass_both_ways() {
    let words = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n\r\n{}",
        "r".repeat(400_000)
    );
    let (servers, _discovery, node) = start_with_one_server(
        "large",
        &[Reply::Respond(Box::leak(words.into_boxed_str()))],
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

/// A second copy right behind an answer, or later on the idle connection, must never answer the next request.
#[test]
fn what_comes_behind_an_answer_is_no_answer() {
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
    let mut got = servers.next_request();
    got.stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale")
        .expect("it is kept");
    assert_eq!(
        client.exchange(&request("c", "pay", "20000m")).body,
        b"ranks"
    );
    assert_eq!(servers.next_request().connection, 2);
    assert!(wait_until_closed(&got));
}

#[test]
fn a_keyed_request_that_may_have_run_stays_in_its_cell() {
    let (servers, _discovery, node) =
        with_two("cell", [1, 2], Reply::RespondAndClose(""), REPLY_OK);
    let answer = node.connect().exchange(&request("a", "submit", "20000m"));
    let (first, second) = (servers.next_request(), servers.next_request());
    assert_eq!((answer.status(), first.server), (200, second.server));
    servers.assert_no_more_requests();
}

#[test]
fn a_refused_connection_proves_that_nothing_ran() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let gone =
        std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let dead = gone.expect("an address");
    let dial = servers.start("s-2", &[REPLY_OK]);
    let hosts = [
        host_json("s-1", dead, 1, "ready"),
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
fn a_silent_server_costs_one_answer_before_the_deadline() {
    let (servers, _discovery, node) = start_with_one_server("silent", &[Reply::NoResponse]);
    let begun = Instant::now();
    let answer = node.connect().exchange(&request("a", "pay", "700m"));
    assert_eq!(
        answer.status(),
        502,
        "an unsafe request that may have run is no refusal"
    );
    assert!(
        begun.elapsed().as_millis() < 20_000,
        "the deadline is enforced"
    );
    assert!(
        wait_until_closed(&servers.next_request()),
        "the attempt is given up"
    );
    servers.assert_no_more_requests();
}

/// A stalled attempt is called off and its connection closed before the next is written.
#[test]
fn two_attempts_are_never_out_at_once() {
    let (servers, _discovery, node) = with_two("stalled", [1, 1], Reply::NoResponse, REPLY_OK);
    for (number, class) in ["read", "submit"].into_iter().enumerate() {
        assert_eq!(
            node.connect()
                .exchange(&request(class, class, "20000m"))
                .status(),
            200
        );
        servers.next_request();
        // Whether the first was alone is seen as the second comes.
        if number == 0 {
            assert!(servers.next_request().only_attempt);
        }
    }
}

#[test]
fn a_client_that_goes_away_ends_its_attempt() {
    let (servers, _discovery, node) = start_with_one_server("gone", &[Reply::NoResponse, REPLY_OK]);
    let mut client = node.connect();
    client.write(&request("a", "pay", "20000m"));
    let got = servers.next_request();
    drop(client);
    assert!(wait_until_closed(&got));
    assert_eq!(
        node.connect()
            .exchange(&request("b", "pay", "20000m"))
            .status(),
        200
    );
}

/// A connection that the server closed while it was idle is not written to: that would end as a reset.
#[test]
fn a_close_of_an_idle_connection_is_noticed() {
    let (servers, _discovery, node) = start_with_one_server("idle", &[REPLY_OK]);
    let mut client = node.connect();
    assert_eq!(
        client.exchange(&request("a", "pay", "20000m")).status(),
        200
    );
    let got = servers.next_request();
    got.stream
        .shutdown(std::net::Shutdown::Both)
        .expect("it is open");
    // The edge node closes its side as soon as it has noticed.
    assert!(wait_until_closed(&got));
    let answer = client.exchange(&request("b", "pay", "20000m"));
    assert_eq!(
        (answer.status(), servers.next_request().connection),
        (200, 1)
    );
}

#[test]
fn the_list_is_followed_in_order_and_a_broken_watch_is_opened_again() {
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
    let mut until = |name: &str| {
        // Once a change has shown, it must hold.
        let mut held = 0;
        while held < 10 {
            number += 1;
            assert_eq!(
                client
                    .exchange(&request(&format!("r{number}"), "read", "20000m"))
                    .status(),
                200
            );
            let server = servers.next_request().server;
            assert!(held == 0 || server == name, "{server} after {name}");
            held += u32::from(server == name);
        }
    };
    until("s-1");
    let (asked, mut watch) = discovery.next_watch();
    assert!(
        asked.contains("watch=1") && asked.contains("from=1"),
        "{asked}"
    );
    // Changes: one drains, another comes.
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
    until("s-2");
    // The watch breaks in the midst of a line; the old list stands, and the next watch goes on from there.
    watch.write_all(b"14\r\n{\"seq\":3,").expect("open");
    watch.shutdown(std::net::Shutdown::Both).expect("open");
    let (asked, mut watch) = discovery.next_watch();
    assert!(asked.contains("from=2"), "{asked}");
    until("s-2");
    // What is old changes nothing; who is not on a whole list is gone.
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
    until("s-3");
    // The same server at another address.
    let moved = servers.start("s-3 moved", &[REPLY_OK]);
    write_list(
        &mut watch,
        &list_json(5, false, &[host_json("s-3", moved, 3, "ready")]),
    );
    until("s-3 moved");
}

#[test]
fn a_silent_watch_is_opened_again() {
    let (_servers, discovery, _node) = start_with_one_server("watch", &[REPLY_OK]);
    let (_, silent) = discovery.next_watch();
    let (asked, _) = discovery.next_watch();
    assert!(asked.contains("from=1"));
    drop(silent);
}

/// Danger: what an agent has counts as told, whether or not a watch is open. While it is silent calls go on beside those that
/// are open, so that one is there in the moment in which it has a list again.
#[test]
fn an_agent_that_is_silent_is_called_again_beside_calls_that_wait() {
    let agent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let servers = Servers::new();
    let known = host_json("s-1", servers.start("s-1", &[REPLY_OK]), 1, "ready");
    let node = Node::start(
        "silent-agent",
        agent.local_addr().expect("an address"),
        &[known],
    );
    let mut calls: Vec<std::net::TcpStream> = Vec::new();
    // Each call waits in vain; before the next, the last was left.
    while calls.iter().filter(|call| !is_closed(call)).count() < 3 {
        let (call, _) = agent.accept().expect("it calls on");
        Message::read(&mut std::io::BufReader::new(&call)).expect("a call");
        calls.push(call);
        assert!(calls.len() < 30, "never three at once");
    }
    let mut last = calls.pop().expect("some");
    drop(calls);
    last.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        .expect("written");
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
        assert!(number < 1000, "it never takes the list");
    }
}

/// SIGHUP ends a process that does not ask for it. The new discovery's versions are numbered anew, and the old
/// list stands until it has spoken.
#[test]
fn sighup_moves_to_the_discovery_that_the_file_names() {
    let (servers, old, mut node) = start_with_one_server("reload", &[REPLY_OK]);
    let (asked, mut before) = old.next_watch();
    assert!(asked.contains("from=1"), "{asked}");
    let serves = |client: &mut Client, id: &str| {
        assert_eq!(
            client.exchange(&request(id, "read", "20000m")).status(),
            200
        );
        servers.next_request().server
    };
    let mut client = node.connect();
    // A file that cannot be read as a configuration changes nothing.
    node.reload(|text| text.replacen('{', "", 1));
    assert_eq!(serves(&mut client, "a"), "s-1");
    node.reload(|text| format!("{{{text}"));
    let new = Discovery::start();
    let (from, to) = (old.address.to_string(), new.address.to_string());
    node.reload(|text| text.replace(&from, &to));
    let (asked, mut watch) = new.next_watch();
    assert!(
        asked.contains("watch=1") && !asked.contains("from"),
        "{asked}"
    );
    assert_eq!(serves(&mut client, "b"), "s-1");
    let two = servers.start("s-2", &[REPLY_OK]);
    write_list(
        &mut watch,
        &list_json(1, true, &[host_json("s-2", two, 2, "ready")]),
    );
    let mut number = 0;
    while serves(&mut client, &format!("c{number}")) != "s-2" {
        number += 1;
    }
    // Until then the old one could still tell of a drain; now its watch is left, without another word.
    let mut rest = Vec::new();
    before
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    std::io::Read::read_to_end(&mut before, &mut rest).expect("the old watch ends");
    node.terminate();
    // Also on its way out.
    node.reload(|text| text);
    assert!(node.wait().success());
}

#[test]
fn peers_are_told_and_noise_is_passed_over() {
    let (_servers, _discovery, mut node) = start_with_one_server("peers", &[REPLY_OK]);
    let mut client = node.connect();
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("a port");
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
            .expect("sent");
        stranger
            .send_to(noise, node.datagram_address)
            .expect("sent");
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
            .expect("the peer is told");
        assert!(length <= 256 && from == node.datagram_address);
    }
    assert!(node.is_running());
}

#[test]
fn a_customer_beyond_its_quota_is_refused_at_once() {
    let (servers, _discovery, node) = start_with_one_server("quota", &[REPLY_OK]);
    let mut client = node.connect();
    let tiny = |id: &str| request(id, "read", "25000m").replace("X-Tier: p", "X-Tier: tiny");
    assert_eq!(client.exchange(&tiny("a")).status(), 200);
    servers.next_request();
    let begun = Instant::now();
    let mut refused = client.exchange(&tiny("b"));
    for number in 0..3 {
        refused = client.exchange(&tiny(&format!("c{number}")));
    }
    assert_eq!(refused.status(), 503);
    let advice: f64 = refused.header("retry-after").parse().expect("seconds");
    assert!(advice > 0.0 && advice < 60.0, "{advice}");
    assert!(
        begun.elapsed().as_secs() < 20,
        "a refusal is not held back until the deadline"
    );
}

#[test]
fn sigterm_serves_out_what_was_taken() {
    let (servers, _discovery, mut node) =
        start_with_one_server("term", &[Reply::NoResponse, REPLY_OK]);
    let (mut held, mut idle) = (node.connect(), node.connect());
    assert_eq!(
        idle.exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
            .status(),
        200
    );
    held.write(&request("a", "read", "20000m"));
    let got = servers.next_request();
    node.terminate();
    // New connections are accepted for a while yet, and told to close.
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
    let mut stream = got.stream;
    stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the attempt is still out");
    let answer = held.read_response().expect("what was taken is answered");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    assert!(node.wait().success());
}

/// A client that says nothing, or stops in the midst of a request, does not keep its connection.
#[test]
fn silence_ends_a_connection() {
    let (servers, _discovery, node) = start_with_one_server("silence", &[REPLY_OK]);
    let whole = request("a", "submit", "20000m");
    let (half_head, half_body) = (&whole[..60], &whole[..whole.len() - 2]);
    for words in ["", half_head, half_body] {
        let mut client = node.connect();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("a time-out");
        client.write(words);
        if let Some(answer) = client.read_response() {
            assert_eq!(answer.status(), 400);
        }
        client.expect_close();
    }
    servers.assert_no_more_requests();
}

/// Clients that asked once and stay, and some that never ask, do not shut out another.
#[test]
fn a_crowd_shuts_out_nobody() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let node = Node::with_sockets(
        "crowd",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
        64,
    );
    let mut crowd = Vec::new();
    for number in 0..60 {
        let mut client = node.connect();
        client
            .stream
            .set_read_timeout(Some(TEST_TIMEOUT / 3))
            .expect("a time-out");
        if number % 2 == 0 {
            assert_eq!(
                client
                    .exchange(&request(&format!("r{number}"), "read", "20000m"))
                    .status(),
                200
            );
        }
        crowd.push(client);
    }
}

/// More clients than descriptors: the surplus waits, and is served once there is room.
#[test]
fn the_edge_node_outlives_a_lack_of_descriptors() {
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
    assert_eq!(last.read_response().expect("an answer").status(), 200);
}
