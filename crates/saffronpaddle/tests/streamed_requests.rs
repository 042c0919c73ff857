//! Requests with a body that is streamed, in the orders of events in which the state of the body matters: what was read,
//! what was taken by a connection, whether the client goes on, and since when it waits.

mod common;

use common::failing_calls_library;
use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

/// Length of a body that is streamed, in bytes.
const STREAMED_BODY_BYTES: usize = 96 * 1024;
/// Length of each chunk of a chunked body, in bytes.
const CHUNK_BYTES: usize = 8 * 1024;
/// Time after a response in which its connection becomes reusable, with some to spare.
const REUSE_DELAY: Duration = Duration::from_millis(30);
/// Length of a body of which the node can't hold all, in bytes.
const HELD_BODY_BYTES: usize = 100_000;
/// Deadline of requests that wait at the node or at a server: as sent in the header, and with the margin in which the
/// answer has to come.
const SHORT_DEADLINE: (&str, Duration) = ("2000m", Duration::from_millis(2500));

/// Length of a body of which the kernels can't hold all while a server reads nothing, in bytes.
const UNREAD_BODY_BYTES: usize = 9 << 20;
/// What a slow client writes at once, in bytes, and how often: 64 kB a second.
const SLOW_PIECE_BYTES: usize = 5000;
const SLOW_PIECE_INTERVAL: Duration = Duration::from_millis(78);
/// What a client that stops has sent of its body, and the length that it has declared, in bytes.
const STOPPED_AND_DECLARED_BYTES: (usize, usize) = (70_000, 200_000);
/// Maximum time for which the node waits for a client that has stopped.
const STOPPED_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The node's limit on sockets that fewer clients than [`STOPPED_CLIENTS`] use up.
const FEW_SOCKETS: usize = 128;
const STOPPED_CLIENTS: usize = 60;
/// Less than the time after which a client that has stopped is sent its error.
const MAX_WAIT_FOR_PLACE: Duration = Duration::from_secs(2);
/// What many clients with a long body have sent when no server takes any of it, in bytes.
const MANY_HELD_BYTES: usize = 300_000;
const MANY_CLIENTS: usize = 550;
/// The memory of a node of 1,024 sockets, in kB.
const MEMORY_LIMIT_KB: u64 = 192_000;
/// Clients that send a buffered body in chunks of one byte, the length of each, and the memory that the node may use for
/// twice the bytes that it may keep of a client, in kB.
const SINGLE_BYTE_CLIENTS: usize = 60;
const SINGLE_BYTE_CHUNKS: usize = 60_000;
const SINGLE_BYTE_MEMORY_KB: u64 = 32_000;
/// A server that pauses, then reads this much at a time: 44 MB a second, so the body takes longer than its client waits for
/// an answer. It reads the rest at once when the kernels can buffer it.
const SLOW_SERVER_READ_BYTES: usize = 256 << 10;
const SLOW_SERVER_READ_INTERVAL: Duration = Duration::from_millis(6);
const SLOW_SERVER_REST_BYTES: usize = 9 << 20;
const SLOW_SERVER_BODY_BYTES: usize = 30 << 20;
const SERVER_PAUSE: Duration = Duration::from_millis(300);

/// Returns the head of a request whose body follows. `framing` is the header that gives the body's framing.
fn request_head(id: &str, deadline: &str, framing: &str) -> String {
    request(id, "submit", deadline).replace(
        "Content-Length: 4\r\n\r\ntime",
        &format!("{framing}\r\n\r\n"),
    )
}

/// Returns a body whose bytes differ from place to place.
fn numbered_body(bytes: usize) -> String {
    let mut body: String = (0..bytes / 8)
        .map(|number| format!("{number:07} "))
        .collect();
    body.truncate(bytes);
    body
}

/// Returns a chunked request with this body.
fn chunked_request(id: &str, body: &str) -> String {
    let mut text = request_head(id, "20000m", "Transfer-Encoding: chunked");
    for piece in body.as_bytes().chunks(CHUNK_BYTES) {
        text += &format!("{:x}\r\n", piece.len());
        text += std::str::from_utf8(piece).expect("the body is ASCII");
        text += "\r\n";
    }
    text + "0\r\n\r\n"
}

/// Guards against a server that runs a request without the start of its body: the HTTP client has taken the first pieces
/// when its kept connection turns out to be closed, and the attempt starts again on another connection.
#[test]
fn a_body_whose_kept_connection_ends_before_the_first_byte_is_sent_whole_on_another() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let stop_file =
        std::env::temp_dir().join(format!("saffronpaddle-{}-replaced", std::process::id()));
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start_with_command("replaced", discovery.address, &hosts, 1024, |command| {
        command
            .env("LD_PRELOAD", failing_calls_library())
            .env("STOPPED_PEEK", &stop_file);
    });
    let mut client = node.connect();
    let warm_up = request("warm-up", "read", "20000m");
    assert_eq!(client.exchange(&warm_up).status(), 200);
    let kept = servers.next_request();
    thread::sleep(REUSE_DELAY);
    std::fs::write(&stop_file, "").expect("the file can be written");
    let body = numbered_body(STREAMED_BODY_BYTES);
    client.write(&chunked_request("long", &body));
    // The node has chosen the kept connection and is about to check it before the first byte.
    node.wait_until_stopped();
    std::fs::remove_file(&stop_file).expect("the file can be removed");
    kept.stream
        .shutdown(Shutdown::Both)
        .expect("the connection is open");
    node.signal("-CONT");
    let response = client.read_response().expect("the node answers");
    assert_eq!(response.status(), 200);
    let received = servers.next_request();
    assert_ne!(received.connection, kept.connection);
    assert_eq!(received.message.body.len(), body.len());
    assert!(received.message.body == body.as_bytes(), "the bytes differ");
    servers.assert_no_more_requests();
}

/// Writes a request whose length is declared, and asserts that it is refused before its client stops waiting.
fn assert_refused_in_time(node: &Node, body_bytes: usize) {
    let mut client = node.connect();
    client
        .stream
        .set_write_timeout(Some(TEST_TIMEOUT))
        .expect("the time-out can be set");
    let framing = format!("Content-Length: {body_bytes}");
    let head = request_head("held", SHORT_DEADLINE.0, &framing);
    let began = Instant::now();
    client.write(&(head + &"b".repeat(body_bytes)));
    let response = client.read_response().expect("the node answers");
    assert_eq!(response.status(), 503);
    let waited = began.elapsed();
    assert!(waited < SHORT_DEADLINE.1, "answered after {waited:?}");
}

/// Guards against a request that is never answered: it waits for its first attempt, no attempt takes its body, and so the
/// node can't see that its client has sent everything.
#[test]
fn a_long_request_that_no_server_can_take_is_refused_in_time() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dial = listener.local_addr().expect("the socket has an address");
    let hosts = [host_json("s-1", dial, 1, "draining")];
    let node = Node::start("held", discovery.address, &hosts);
    assert_refused_in_time(&node, HELD_BODY_BYTES);
}

/// The same for a server that has the head of the request and takes nothing more: what its client has written is in the
/// kernels.
#[test]
fn a_long_request_to_a_server_that_reads_nothing_is_refused_in_time() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dial = listener.local_addr().expect("the socket has an address");
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start("unread", discovery.address, &hosts);
    let server = thread::spawn(move || listener.accept().expect("the node connects"));
    assert_refused_in_time(&node, UNREAD_BODY_BYTES);
    drop(server.join().expect("the server got a connection"));
}

/// A client that is slower than its deadline is not cut off: its time begins with its last byte.
#[test]
fn a_client_that_still_sends_after_its_deadline_is_served() {
    let (servers, _discovery, node) = start_with_one_server("still-sends", &[REPLY_OK]);
    let mut client = node.connect();
    let framing = format!("Content-Length: {HELD_BODY_BYTES}");
    client.write(&request_head("slow", "500m", &framing));
    for _ in 0..HELD_BODY_BYTES / SLOW_PIECE_BYTES {
        client.write(&"s".repeat(SLOW_PIECE_BYTES));
        thread::sleep(SLOW_PIECE_INTERVAL);
    }
    let response = client.read_response().expect("the node answers");
    assert_eq!(response.status(), 200);
    assert_eq!(servers.next_request().message.body.len(), HELD_BODY_BYTES);
}

/// Connects a client that sends a part of a long body and then nothing more.
fn stopped_client(node: &Node, id: &str) -> Client {
    let (sent, declared) = STOPPED_AND_DECLARED_BYTES;
    let mut client = node.connect();
    let head = request_head(id, "2000m", &format!("Content-Length: {declared}"));
    client.write(&(head + &"c".repeat(sent)));
    client
}

/// Guards against clients that stay in the middle of a long body, each with a connection to a server.
#[test]
fn a_client_that_stops_in_a_long_body_gets_its_error_and_frees_its_server() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dial = listener.local_addr().expect("the socket has an address");
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start("stopped", discovery.address, &hosts);
    let mut client = stopped_client(&node, "stopped");
    let stopped = Instant::now();
    let (mut attempt, _) = listener.accept().expect("the node connects");
    let response = client.read_response().expect("the node answers");
    assert_eq!(response.status(), 400);
    client.expect_close();
    let waited = stopped.elapsed();
    assert!(waited < STOPPED_CLIENT_TIMEOUT, "ended after {waited:?}");
    attempt
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the time-out can be set");
    let mut received = Vec::new();
    // The connection ends, in whichever way.
    let end = attempt.read_to_end(&mut received);
    assert!(end.is_ok_and(|bytes| bytes < STOPPED_AND_DECLARED_BYTES.1));
}

/// The same for a body that the node buffers.
#[test]
fn a_client_that_stops_in_a_buffered_body_gets_its_error_however_much_it_sent() {
    let (_servers, _discovery, node) = start_with_one_server("stopped-short", &[REPLY_OK]);
    let mut client = node.connect();
    client.write(&request_head("a", "2000m", "Content-Length: 65000"));
    client.write(&"c".repeat(64_000));
    let stopped = Instant::now();
    let response = client.read_response().expect("the node answers");
    assert_eq!(response.status(), 400);
    let waited = stopped.elapsed();
    assert!(waited < STOPPED_CLIENT_TIMEOUT, "ended after {waited:?}");
}

/// Guards against sound clients that wait behind clients that have stopped in a long body: these take all connections,
/// and more of them are in the backlog.
#[test]
fn clients_that_stop_in_a_long_body_make_way_for_others() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[REPLY_OK]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::with_sockets("crowd", discovery.address, &hosts, FEW_SOCKETS);
    let stopped: Vec<_> = (0..STOPPED_CLIENTS)
        .map(|number| stopped_client(&node, &format!("stopped{number}")))
        .collect();
    let mut client = node.connect();
    client.write(&request("sound", "read", SHORT_DEADLINE.0));
    let began = Instant::now();
    assert!(client.read_response().is_some(), "the node answers");
    let waited = began.elapsed();
    assert!(waited < MAX_WAIT_FOR_PLACE, "answered after {waited:?}");
    drop(stopped);
}

/// Guards against a node that reads ahead more than its memory holds.
#[test]
fn many_long_bodies_that_no_server_takes_stay_within_the_memory_limit() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dial = listener.local_addr().expect("the socket has an address");
    let hosts = [host_json("s-1", dial, 1, "draining")];
    let node = Node::start("many-held", discovery.address, &hosts);
    let mut clients: Vec<_> = (0..MANY_CLIENTS)
        .map(|number| {
            let mut client = node.connect();
            let framing = format!("Content-Length: {MANY_HELD_BYTES}");
            let head = request_head(&format!("held{number}"), SHORT_DEADLINE.0, &framing);
            client.write(&(head + &"d".repeat(MANY_HELD_BYTES)));
            client
        })
        .collect();
    for client in &mut clients {
        let response = client.read_response().expect("the node answers");
        assert_eq!(response.status(), 503);
    }
    let peak = node.peak_memory_kb();
    assert!(peak < MEMORY_LIMIT_KB, "peak memory of {peak} kB");
}

/// Guards against a node that keeps each chunk of a body as it came: a chunk of one byte took 32 bytes and more.
#[test]
fn bodies_in_chunks_of_one_byte_take_no_more_memory_than_others() {
    let (servers, _discovery, node) = start_with_one_server("single-bytes", &[REPLY_OK]);
    let head = |number| {
        request_head(
            &format!("single{number}"),
            "20000m",
            "Transfer-Encoding: chunked",
        )
    };
    let chunks = "1\r\ne\r\n".repeat(SINGLE_BYTE_CHUNKS);
    thread::scope(|scope| {
        for number in 0..SINGLE_BYTE_CLIENTS {
            let (mut client, chunks, head) = (node.connect(), &chunks, head(number));
            scope.spawn(move || {
                client.write(&head);
                client.write(chunks);
                client.write("0\r\n\r\n");
                let response = client.read_response().expect("the node answers");
                assert_eq!(response.status(), 200);
            });
        }
    });
    for _ in 0..SINGLE_BYTE_CLIENTS {
        assert_eq!(
            servers.next_request().message.body.len(),
            SINGLE_BYTE_CHUNKS
        );
    }
    let peak = node.peak_memory_kb();
    assert!(peak < SINGLE_BYTE_MEMORY_KB, "peak memory of {peak} kB");
}

/// Guards against a client that is cut off in the middle of a long body: its server pauses once, which starts the time of
/// a client that may wait, and then goes on taking what the client still writes.
#[test]
fn a_client_that_writes_to_a_slow_server_is_served_although_the_server_has_paused() {
    let discovery = Discovery::start();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let dial = listener.local_addr().expect("the socket has an address");
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let node = Node::start("slow-server", discovery.address, &hosts);
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        thread::sleep(SERVER_PAUSE);
        let mut part = vec![0; SLOW_SERVER_READ_BYTES];
        let mut received = 0;
        while received < SLOW_SERVER_BODY_BYTES {
            stream.read_exact(&mut part).expect("the body goes on");
            received += part.len();
            if received < SLOW_SERVER_BODY_BYTES - SLOW_SERVER_REST_BYTES {
                thread::sleep(SLOW_SERVER_READ_INTERVAL);
            }
        }
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            .expect("the node waits for the response");
        stream
    });
    let mut client = node.connect();
    let framing = format!("Content-Length: {SLOW_SERVER_BODY_BYTES}");
    let began = Instant::now();
    client.write(&request_head("long", "500m", &framing));
    client.write(&"f".repeat(SLOW_SERVER_BODY_BYTES));
    let response = client.read_response().expect("the node answers");
    assert_eq!(response.status(), 200, "after {:?}", began.elapsed());
    drop(server.join().expect("the server has responded"));
}
