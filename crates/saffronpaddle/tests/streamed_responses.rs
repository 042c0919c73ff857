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

/// Deadline of the requests whose long response its server gives slowly, as sent in the header.
const SHORT_DEADLINE: (&str, Duration) = ("750m", Duration::from_millis(750));

/// How a server frames a response whose length it does not know yet.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Chunked,
    /// The response ends with its connection.
    UntilClose,
}

/// Bytes that a server gives at once, again and again.
#[derive(Clone, Copy, Debug)]
struct Parts {
    bytes: usize,
    interval: Duration,
    count: usize,
}

/// Gives the parts of a response. Returns false once the node has closed the connection.
fn write_parts(upstream: &mut TcpStream, framing: Framing, parts: Parts) -> bool {
    let body = "r".repeat(parts.bytes);
    let part = match framing {
        Framing::Chunked => format!("{:x}\r\n{body}\r\n", parts.bytes),
        Framing::UntilClose => body,
    };
    for number in 0..parts.count {
        if number > 0 {
            thread::sleep(parts.interval);
        }
        if upstream.write_all(part.as_bytes()).is_err() {
            return false;
        }
    }
    true
}

/// Sends a request whose server gives a response in these groups of parts, with the interval of the next group before it.
/// Returns the bytes of the body on the wire and the time from the request to the end of its connection or response.
fn receive_in_parts(tag: &str, framing: Framing, groups: Vec<Parts>) -> (Vec<u8>, Duration) {
    let (servers, _discovery, node) = start_with_one_server(tag, &[Reply::NoResponse]);
    let mut client = node.connect();
    let sent_at = Instant::now();
    let closing = request("a", "read", SHORT_DEADLINE.0);
    client.write(&closing.replace("\r\nX-Class", "\r\nConnection: close\r\nX-Class"));
    let mut upstream = servers.next_request().stream;
    let server = thread::spawn(move || {
        let head = match framing {
            Framing::Chunked => CHUNKED_HEAD,
            Framing::UntilClose => UNSIZED_HEAD,
        };
        upstream.write_all(head.as_bytes()).expect("a head is sent");
        for (number, parts) in groups.into_iter().enumerate() {
            if number > 0 {
                thread::sleep(parts.interval);
            }
            if !write_parts(&mut upstream, framing, parts) {
                return;
            }
        }
        if matches!(framing, Framing::Chunked) {
            let _ = upstream.write_all(b"0\r\n\r\n");
        }
        let _ = upstream.shutdown(std::net::Shutdown::Both);
    });
    let body = read_to_end(&client.stream);
    let took = sent_at.elapsed();
    server.join().expect("the server does not panic");
    (body, took)
}

/// Number of bytes of the body proper in what stands on the wire.
fn body_bytes(wire: &[u8]) -> usize {
    wire.split(|byte| *byte == b'r').count() - 1
}

/// Guards against long responses that are cut off because little of them has come by the deadline: their servers still
/// give them, in large parts with pauses, steadily in small parts, or slowly.
#[test]
fn a_long_response_that_its_server_gives_slowly_is_not_cut_off_at_the_deadline() {
    let groups = [
        ("lumps", 60_000, 1_000, 3),
        ("small-lumps", 40_000, 900, 4),
        ("steady", 4_096, 55, 30),
        ("slow", 512, 40, 160),
    ];
    let run = |(tag, bytes, interval_ms, count), framing| {
        thread::spawn(move || {
            let interval = Duration::from_millis(interval_ms);
            let parts = Parts {
                bytes,
                interval,
                count,
            };
            let (body, _) = receive_in_parts(&format!("{tag}-{framing:?}"), framing, vec![parts]);
            assert_eq!(body_bytes(&body), bytes * count, "{tag}, {framing:?}");
        })
    };
    let runs: Vec<_> = groups
        .into_iter()
        .flat_map(|group| {
            [Framing::Chunked, Framing::UntilClose].map(|framing| run(group, framing))
        })
        .collect();
    let cut = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(cut, 0, "responses that were cut off, of 8");
}

/// Guards against responses that outlast their deadline because much of them has come, though their servers have all but
/// stopped: these are short, and their clients have to see an end.
#[test]
fn a_response_that_its_server_has_all_but_stopped_giving_is_ended_in_time() {
    let trickle = |bytes, first_bytes, per_second: u64| {
        let interval = Duration::from_millis(1000 / per_second);
        let first = Parts {
            bytes: first_bytes,
            interval,
            count: 1,
        };
        vec![
            first,
            Parts {
                bytes,
                interval,
                count: 3 * per_second as usize,
            },
        ]
    };
    let cases = [
        ("stopped-40", trickle(1, 40_000, 7)),
        ("stopped-65", trickle(1, 65_000, 5)),
        ("stopped-0", trickle(1, 30, 7)),
        ("stopped-5", trickle(5, 40_000, 1)),
    ];
    let runs = cases.map(|(tag, groups)| {
        thread::spawn(move || {
            let (body, took) = receive_in_parts(tag, Framing::Chunked, groups);
            assert!(!body.ends_with(b"0\r\n\r\n"), "{tag}: looks complete");
            assert!(
                took < SHORT_DEADLINE.1 + END_TOLERANCE,
                "{tag}: ended after {took:?}"
            );
        })
    });
    let late = runs.into_iter().filter_map(|run| run.join().err()).count();
    assert_eq!(late, 0, "responses without an end in time, of 4");
}

/// Guards against a response that its server ends shortly after the deadline and whose client sees no end.
#[test]
fn a_short_response_whose_end_comes_too_late_has_an_end_in_time() {
    let first = Parts {
        bytes: 30_000,
        interval: Duration::ZERO,
        count: 1,
    };
    let last = Parts {
        bytes: 1,
        interval: Duration::from_secs(1),
        count: 1,
    };
    let (_, took) = receive_in_parts("late-end", Framing::Chunked, vec![first, last]);
    assert!(
        took < SHORT_DEADLINE.1 + END_TOLERANCE,
        "ended after {took:?}"
    );
}
