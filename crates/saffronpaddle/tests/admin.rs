//! The admin address of a node: commands, metrics, and lame-duck mode, in which the node closes its clients'
//! connections.

use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const READY_REQUEST: &str = "GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n";

/// Starts a node with an admin address and one app server that gives `replies`.
fn start_with_admin(tag: &str, replies: &[Reply]) -> (Servers, Discovery, Node, SocketAddr) {
    let (servers, discovery, admin) = (Servers::new(), Discovery::start(), free_address());
    let dial = servers.start("s-1", replies);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start_with_command(tag, discovery.address, &hosts, 1024, |command| {
        command.env("LB_ADMIN_ADDR", admin.to_string());
    });
    (servers, discovery, node, admin)
}

/// Polls until the metric has the wanted value.
fn wait_for_metric(admin: SocketAddr, name: &str, wanted: u64) {
    let started = Instant::now();
    loop {
        let metrics = admin_request(admin, "INFO\n");
        if metric_value(&metrics, name) == wanted {
            return;
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "{name} did not become {wanted} within {TEST_TIMEOUT:?}: {metrics}"
        );
    }
}

#[test]
fn valid_commands_succeed_and_invalid_ones_get_one_failure_line() {
    let (_servers, _discovery, mut node, admin) = start_with_admin("calls", &[REPLY_OK]);
    assert!(admin_request(admin, "PING\n").starts_with("SUCCESS"));
    let metrics = admin_request(admin, "INFO\r\n");
    assert!(metrics.ends_with("\nEOT\n"), "{metrics}");
    assert_eq!(
        (
            metric_value(&metrics, "lb_registry_entries"),
            metric_value(&metrics, "lb_out_of_rotation")
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
    // A line without its end is no command, even if the text is one.
    let mut unterminated =
        TcpStream::connect(admin).expect("the admin address accepts the connection");
    unterminated
        .write_all(b"LAMEDUCK")
        .expect("the write succeeds");
    unterminated
        .shutdown(std::net::Shutdown::Write)
        .expect("the connection is open");
    let mut answer = String::new();
    unterminated
        .read_to_string(&mut answer)
        .expect("the node responds");
    assert!(answer.starts_with("FAILURE"), "{answer}");
    assert_eq!(node.connect().exchange(READY_REQUEST).status(), 200);
    assert!(node.is_running());
}

#[test]
fn metrics_count_what_clients_and_servers_observed() {
    let replies = [
        REPLY_OK,
        REPLY_OK,
        Reply::RespondAndClose(""),
        Reply::NoResponse,
    ];
    let (servers, _discovery, node, admin) = start_with_admin("figures", &replies);
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
    let metrics = admin_request(admin, "INFO\n");
    let of = |kind: &str, class: &str| {
        metric_value(&metrics, &format!("lb_{kind}{{priority=\"{class}\"}}"))
    };
    assert_eq!(
        (of("fulfilled", "read"), of("faulted", "read")),
        (1, 1),
        "{metrics}"
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
            metric_value(&metrics, "lb_relayed"),
            metric_value(&metrics, "lb_open_requests")
        ),
        (3, 0)
    );
    (0..3).for_each(|_| _ = servers.next_request());
    // An unanswered request counts as open until its client disconnects; then it counts as faulted.
    client.write(&request("e", "pay", "20000m"));
    let _pending = servers.next_request();
    wait_for_metric(admin, "lb_open_requests", 1);
    drop(client);
    wait_for_metric(admin, "lb_open_requests", 0);
    let after = admin_request(admin, "INFO\n");
    assert_eq!(
        metric_value(&after, "lb_faulted{priority=\"pay\"}"),
        1,
        "{after}"
    );
}

/// A hundred admin connections that send no complete command delay neither other commands nor the node's clients.
#[test]
fn silent_admin_connections_delay_no_commands_and_no_requests() {
    let (_servers, _discovery, node, admin) = start_with_admin("silent-callers", &[REPLY_OK]);
    let mut silent = Vec::new();
    for number in 0..100 {
        let mut stream =
            TcpStream::connect(admin).expect("the admin address accepts the connection");
        if number % 2 == 0 {
            stream.write_all(b"INF").expect("the write succeeds");
        }
        silent.push(stream);
        assert!(
            admin_request(admin, "PING\n").starts_with("SUCCESS"),
            "PING failed after {number} silent connections"
        );
    }
    // The oldest connections were closed to make room, without a response.
    let mut oldest = silent.swap_remove(0);
    oldest
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read time-out is set");
    let mut rest = Vec::new();
    let read = oldest.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{read:?} {rest:?}");
    assert_eq!(node.connect().exchange(READY_REQUEST).status(), 200);
}

/// After LAMEDUCK the node is not ready at once: it closes idle connections, answers requests in progress and new ones,
/// and closes their connections. REJOIN ends this mode.
#[test]
fn a_lame_duck_closes_connections_without_losing_requests_and_can_rejoin() {
    let replies = [REPLY_OK, Reply::NoResponse, REPLY_OK, REPLY_OK];
    let (servers, _discovery, mut node, admin) = start_with_admin("lame", &replies);
    let mut idle = node.connect();
    assert_eq!(idle.exchange(&request("a", "read", "20000m")).status(), 200);
    servers.next_request();
    let mut in_progress = node.connect();
    in_progress.write(&request("b", "pay", "20000m"));
    let mut upstream_request = servers.next_request();
    let mut new_connection = node.connect();
    assert!(admin_request(admin, "LAMEDUCK\n").starts_with("SUCCESS"));
    assert!(
        admin_request(admin, "LAMEDUCK\n").starts_with("SUCCESS"),
        "a second LAMEDUCK was not accepted"
    );
    let answer = new_connection.exchange(READY_REQUEST);
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (503, "close")
    );
    new_connection.expect_close();
    assert!(admin_request(admin, "PING\n").starts_with("FAILURE"));
    idle.expect_close();
    // A client whose load balancer has not noticed the mode yet is served one request.
    let mut late = node.connect();
    assert_eq!(late.exchange(&request("c", "read", "20000m")).status(), 200);
    late.expect_close();
    // A connection without a request is closed.
    node.connect().expect_close();
    upstream_request
        .stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
        .expect("the write succeeds");
    let answer = in_progress.read_response().expect("the node responds");
    assert_eq!(
        (answer.status(), answer.header("connection")),
        (200, "close")
    );
    in_progress.expect_close();
    assert!(
        admin_request(admin, "REJOIN\n").starts_with("SUCCESS")
            && admin_request(admin, "PING\n").starts_with("SUCCESS")
    );
    let mut back = node.connect();
    assert_eq!(back.exchange(READY_REQUEST).status(), 200);
    assert_eq!(
        back.exchange(&request("d", "read", "20000m")).status(),
        200,
        "the connection was not kept after REJOIN"
    );
    // REJOIN does not cancel a stop.
    node.terminate();
    let started = Instant::now();
    while node.is_running() {
        if let Ok(mut stream) = TcpStream::connect(admin) {
            let mut answer = String::new();
            // The node may exit during the exchange.
            let _ = stream
                .write_all(b"REJOIN\n")
                .and_then(|()| stream.read_to_string(&mut answer));
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the node did not exit within {TEST_TIMEOUT:?}"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}
