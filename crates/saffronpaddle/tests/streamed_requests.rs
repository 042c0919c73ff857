//! Requests with a body that is streamed, in the orders of events in which the state of the body matters: what was read,
//! what was taken by a connection, whether the client goes on, and since when it waits.

mod common;

use common::failing_calls_library;
use saffronpaddle_test_doubles::scripted::*;
use std::net::Shutdown;
use std::thread;
use std::time::Duration;

/// Length of a body that is streamed, in bytes.
const STREAMED_BODY_BYTES: usize = 96 * 1024;
/// Length of each chunk of a chunked body, in bytes.
const CHUNK_BYTES: usize = 8 * 1024;
/// Time after a response in which its connection becomes reusable, with some to spare.
const REUSE_DELAY: Duration = Duration::from_millis(30);

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

/// Returns once a node's process has stopped.
fn wait_until_stopped(node: &Node) {
    let stat = format!("/proc/{}/stat", node.id());
    while !std::fs::read_to_string(&stat)
        .expect("the process exists")
        .contains(") T ")
    {
        thread::sleep(Duration::from_millis(1));
    }
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
    wait_until_stopped(&node);
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
