//! Responses that the node passes on before they are complete, in the orders of events in which their length and the
//! client's deadline matter.

use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Deadline of a request, as sent in the header.
const DEADLINE: (&str, Duration) = ("1000m", Duration::from_secs(1));
/// Time after its deadline in which a request has to have its end.
const END_TOLERANCE: Duration = Duration::from_millis(500);
/// How often a server gives a byte of a response that has no end.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a server gives such bytes.
const TRICKLE_TIME: Duration = Duration::from_secs(3);
/// Length of a response that is long, in bytes: more than the node buffers.
const LONG_RESPONSE_BYTES: usize = 70_000;
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// Head of a response that ends with its connection.
const UNSIZED_HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

/// Writes a chunk of a chunked response.
fn write_response_chunk(stream: &mut TcpStream, bytes: usize) {
    let chunk = format!("{bytes:x}\r\n{}\r\n", "r".repeat(bytes));
    stream
        .write_all(chunk.as_bytes())
        .expect("the node reads the response");
}

/// Gives a byte of a chunked response in each interval, until the node has closed the connection or
/// [`TRICKLE_TIME`] is over.
fn trickle(stream: &mut TcpStream) {
    let started = Instant::now();
    while started.elapsed() < TRICKLE_TIME && stream.write_all(b"1\r\nr\r\n").is_ok() {
        thread::sleep(TRICKLE_INTERVAL);
    }
}

/// Answers the next request with a chunked response, of which `write_body` gives the chunks. The connection stays open
/// until the result is dropped.
fn answer_in_chunks(
    servers: &Servers,
    write_body: impl FnOnce(&mut TcpStream) + Send + 'static,
) -> JoinHandle<TcpStream> {
    let mut upstream = servers.next_request().stream;
    thread::spawn(move || {
        upstream
            .write_all(CHUNKED_HEAD.as_bytes())
            .expect("a head is sent");
        write_body(&mut upstream);
        upstream.write_all(b"0\r\n\r\n").expect("the end is sent");
        upstream
    })
}

/// Reads the head of a response and then the body as it stands on the wire, to the end of the connection.
fn read_to_end(stream: &TcpStream) -> Vec<u8> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    while line != "\r\n" {
        line.clear();
        let read = reader.read_line(&mut line);
        assert!(read.expect("a line of the head arrives") > 0);
    }
    let mut body = Vec::new();
    let _ = reader.read_to_end(&mut body);
    body
}

/// Guards against requests whose short response never ends: their clients have to see an end by their deadline.
#[test]
fn a_short_response_that_never_ends_is_ended_at_the_deadline_of_its_request() {
    for (tag, head, trickles) in [
        ("silent", CHUNKED_HEAD, false),
        ("trickling", CHUNKED_HEAD, true),
        ("unsized", UNSIZED_HEAD, false),
    ] {
        let (servers, _discovery, node) = start_with_one_server(tag, &[Reply::NoResponse]);
        let mut client = node.connect();
        let sent_at = Instant::now();
        client.write(&request("a", "read", DEADLINE.0));
        let mut upstream = servers.next_request().stream;
        let server = thread::spawn(move || {
            upstream.write_all(head.as_bytes()).expect("a head is sent");
            upstream.write_all(b"5\r\nranks\r\n").expect("it is read");
            if trickles {
                trickle(&mut upstream);
            }
            upstream
        });
        let body = read_to_end(&client.stream);
        let took = sent_at.elapsed();
        assert!(!body.is_empty(), "{tag}: no part of the response arrived");
        assert!(
            !body.ends_with(b"0\r\n\r\n"),
            "{tag}: the response looks complete"
        );
        assert!(
            took < DEADLINE.1 + END_TOLERANCE,
            "{tag}: ended after {took:?}"
        );
        drop(server.join());
    }
}

/// Guards against long responses that are cut off at the deadline: only their start has one.
#[test]
fn a_response_that_turns_out_to_be_long_outlasts_the_deadline_of_its_request() {
    let (servers, _discovery, node) = start_with_one_server("long", &[Reply::NoResponse]);
    let mut client = node.connect();
    client.write(&request("a", "read", DEADLINE.0));
    let server = answer_in_chunks(&servers, |upstream| {
        write_response_chunk(upstream, 100);
        thread::sleep(DEADLINE.1 / 2);
        write_response_chunk(upstream, LONG_RESPONSE_BYTES);
        trickle(upstream);
    });
    let response = client.read_response().expect("the response is complete");
    assert!(response.body.len() > LONG_RESPONSE_BYTES);
    drop(server.join());
}

/// Guards against judging the length of a response by what its client has read: the server has given more.
#[test]
fn a_long_response_to_a_client_that_reads_nothing_yet_outlasts_the_deadline() {
    let (servers, _discovery, node) = start_with_one_server("unread", &[Reply::NoResponse]);
    let mut client = node.connect();
    client.write(&request("a", "read", DEADLINE.0));
    let server = answer_in_chunks(&servers, |upstream| {
        write_response_chunk(upstream, 100);
        thread::sleep(DEADLINE.1 / 2);
        for _ in 0..100 {
            write_response_chunk(upstream, LONG_RESPONSE_BYTES);
        }
    });
    thread::sleep(DEADLINE.1 * 2);
    let response = client.read_response().expect("the response is complete");
    assert_eq!(response.body.len(), 100 + 100 * LONG_RESPONSE_BYTES);
    drop(server.join());
}

/// Guards against a deadline for streamed classes: their clients wait for as long as the stream goes on.
#[test]
fn a_response_of_a_streamed_class_has_no_deadline_once_it_has_begun() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let address = servers.start("s-1", &[Reply::NoResponse]);
    let node = Node::start_with_config(
        "streamed",
        discovery.address,
        &[host_json("s-1", address, 1, "ready")],
        1024,
        |config| {
            config.replace(
                r#""repeat":"read_like""#,
                r#""repeat":"read_like","streamed":true"#,
            )
        },
        |_| {},
    );
    let mut client = node.connect();
    client.write(&request("a", "read", DEADLINE.0));
    let server = answer_in_chunks(&servers, |upstream| {
        trickle(upstream);
    });
    let response = client.read_response().expect("the response is complete");
    assert!(response.body.len() > 5);
    drop(server.join());
}
