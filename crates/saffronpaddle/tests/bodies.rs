//! Bodies of requests and responses that a node process streams instead of buffering them.

use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Length of a body that is far larger than a node buffers, in bytes.
const LARGE_BODY_BYTES: usize = 2_000_000;

/// Returns the head of a request whose body follows. `framing` is the header that gives the body's framing.
fn request_head(id: &str, framing: &str) -> String {
    let complete = request(id, "submit", "20000m");
    complete.replace(
        "Content-Length: 4\r\n\r\ntime",
        &format!("{framing}\r\n\r\n"),
    )
}

/// Returns a chunk of a chunked body, with a chunk extension.
fn chunk(bytes: usize) -> String {
    format!("{bytes:x};note=x\r\n{}\r\n", "b".repeat(bytes))
}

/// Reads lines up to and including the empty one that ends the head.
fn read_head(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(
            reader
                .read_line(&mut head)
                .expect("a line of the head arrives")
                > 0,
            "{head}"
        );
    }
    head
}

#[test]
fn a_body_too_large_to_buffer_is_forwarded_once_in_either_framing() {
    let (servers, _discovery, node) = start_with_one_server("upload", &[REPLY_OK]);
    let mut client = node.connect();
    client.write(&request_head(
        "a",
        &format!("Content-Length: {LARGE_BODY_BYTES}"),
    ));
    for _ in 0..LARGE_BODY_BYTES / 1000 {
        client.write(&"a".repeat(1000));
    }
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        200
    );
    let upstream_request = servers.next_request();
    assert_eq!(
        (
            upstream_request.message.body.len(),
            upstream_request.message.header("x-request-id")
        ),
        (LARGE_BODY_BYTES, "a")
    );
    // On the same connection, chunks that are split at any byte, with an extension and a trailer.
    client.write(&request_head("b", "Transfer-Encoding: chunked"));
    let mut body = (1..500).map(chunk).collect::<String>();
    body.push_str("0\r\nX-Sum: 7\r\n\r\n");
    for piece in body.as_bytes().chunks(777) {
        client
            .stream
            .write_all(piece)
            .expect("the node reads the body");
    }
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        200
    );
    assert_eq!(
        servers.next_request().message.body.len(),
        (1..500).sum::<usize>()
    );
    servers.assert_no_more_requests();
}

/// A server gets the end of a body only after the node has received its last byte. A client that disconnects before
/// that has sent no complete request.
#[test]
fn a_truncated_request_body_is_never_complete_at_a_server() {
    let (servers, _discovery, node) = start_with_one_server("endless", &[REPLY_OK]);
    let mut client = node.connect();
    client.write(&request_head(
        "a",
        &format!("Content-Length: {LARGE_BODY_BYTES}"),
    ));
    client.write(&"a".repeat(LARGE_BODY_BYTES - 1));
    drop(client);
    servers.assert_no_more_requests();
    assert_eq!(
        node.connect()
            .exchange(&request("b", "read", "20000m"))
            .status(),
        200
    );
}

/// The first bytes of a large response reach the client before its server has sent the last, and a drain of the server
/// does not cut it off.
#[test]
fn a_large_response_is_streamed_and_survives_a_drain_of_its_server() {
    let (servers, discovery, node) = start_with_one_server("long", &[Reply::NoResponse]);
    let mut client = node.connect();
    client.write(&request("a", "read", "20000m"));
    let mut upstream_request = servers.next_request();
    let part = "r".repeat(LARGE_BODY_BYTES / 2);
    write!(
        upstream_request.stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{}",
        &part[..70_000]
    )
    .expect("the write succeeds");
    let mut reader = BufReader::new(client.stream.try_clone().expect("the socket can be cloned"));
    assert!(read_head(&mut reader).starts_with("HTTP/1.1 200"));
    let mut first = vec![0; 70_000];
    reader
        .read_exact(&mut first)
        .expect("the first bytes arrive before the rest is sent");
    let (_, mut watch) = discovery.next_watch();
    write_list(
        &mut watch,
        &list_json(
            2,
            false,
            &[host_json(
                "s-1",
                upstream_request
                    .stream
                    .local_addr()
                    .expect("the socket has an address"),
                1,
                "draining",
            )],
        ),
    );
    let mut rest = vec![0; LARGE_BODY_BYTES - 70_000];
    let writer = std::thread::spawn(move || {
        upstream_request
            .stream
            .write_all(&part.as_bytes()[70_000..])
            .expect("the write succeeds");
        upstream_request
            .stream
            .write_all(part.as_bytes())
            .expect("the write succeeds");
        upstream_request
    });
    reader
        .read_exact(&mut rest)
        .expect("the rest of the response arrives");
    drop(writer.join().expect("the server has written the response"));
}

#[test]
fn a_truncated_response_can_be_distinguished_from_a_complete_one() {
    for (tag, framing) in [
        ("sized", "Content-Length: 2000000"),
        ("chunked", "Transfer-Encoding: chunked"),
    ] {
        let (servers, _discovery, node) = start_with_one_server(tag, &[Reply::NoResponse]);
        let mut client = node.connect();
        client.write(&request("a", "read", "20000m"));
        let mut upstream_request = servers.next_request();
        let piece = if tag == "sized" {
            "r".repeat(100_000)
        } else {
            chunk(100_000)
        };
        write!(
            upstream_request.stream,
            "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{piece}"
        )
        .expect("the write succeeds");
        let mut reader =
            BufReader::new(client.stream.try_clone().expect("the socket can be cloned"));
        read_head(&mut reader);
        upstream_request
            .stream
            .shutdown(std::net::Shutdown::Both)
            .expect("the connection is open");
        let mut rest = Vec::new();
        // The response ends with a reset, or without the end that its framing demands.
        let _ = reader.read_to_end(&mut rest);
        assert!(
            rest.len() < LARGE_BODY_BYTES && !rest.ends_with(b"0\r\n\r\n"),
            "{tag}: the client received a complete response of {} bytes",
            rest.len()
        );
        assert_eq!(
            node.connect()
                .exchange("GET /-/ready HTTP/1.1\r\nHost: n0\r\n\r\n")
                .status(),
            200
        );
    }
}

/// A server that closes the connection during the request's body has not run the request: the client gets the status
/// that allows a safe retry, once it has written the complete body.
#[test]
fn a_request_whose_server_disconnects_during_the_body_is_refused_and_not_retried() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = listener.local_addr().expect("the socket has an address");
    let node = Node::start(
        "breaks",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut part = vec![0; 100_000];
        stream
            .read_exact(&mut part)
            .expect("a part of the body arrives");
        drop(stream);
        // The node must not connect again.
        listener
            .set_nonblocking(true)
            .expect("non-blocking mode is set");
        listener
    });
    let mut client = node.connect();
    client.write(&request_head(
        "a",
        &format!("Content-Length: {LARGE_BODY_BYTES}"),
    ));
    client.write(&"a".repeat(200_000));
    let listener = server.join().expect("the server received a part");
    client.write(&"a".repeat(LARGE_BODY_BYTES - 200_000));
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        503
    );
    assert!(
        listener.accept().is_err(),
        "the node retried the request, though the start of the body is no longer buffered"
    );
    servers.assert_no_more_requests();
}

/// A server that is full responds before it has read the body: the client gets the response once it has written the
/// body, not at its deadline.
#[test]
fn a_response_that_comes_before_the_end_of_the_body_ends_the_request() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let discovery = Discovery::start();
    let dial = listener.local_addr().expect("the socket has an address");
    let node = Node::start(
        "early",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    let server = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut part = [0; 100];
        stream
            .read_exact(&mut part)
            .expect("a part of the body arrives");
        stream
            .write_all(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            .expect("the write succeeds");
        stream
    });
    let mut client = node.connect();
    client.write(&request_head("a", "Transfer-Encoding: chunked"));
    client.write(&chunk(100_000));
    let _stream = server.join().expect("the server received a part");
    client.write(&format!("{}0\r\n\r\n", chunk(1000)));
    let started = std::time::Instant::now();
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        503
    );
    assert!(
        started.elapsed().as_secs() < 15,
        "the response came at the deadline"
    );
}

/// For a client that reads slowly, the node buffers a few pieces of the response; the rest waits at the server.
#[test]
fn a_slow_client_applies_backpressure_to_the_server_and_fills_no_memory() {
    let (servers, _discovery, node) = start_with_one_server("slow", &[Reply::NoResponse]);
    let mut client = node.connect();
    client.write(&request("a", "read", "20000m"));
    let mut upstream_request = servers.next_request();
    let size = 30 << 20;
    write!(
        upstream_request.stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
    )
    .expect("the write succeeds");
    let writer = std::thread::spawn(move || {
        let piece = vec![b'r'; 1 << 20];
        (0..30).for_each(|_| {
            upstream_request
                .stream
                .write_all(&piece)
                .expect("the write succeeds");
        });
        upstream_request
    });
    let mut reader = BufReader::new(client.stream.try_clone().expect("the socket can be cloned"));
    read_head(&mut reader);
    std::thread::sleep(std::time::Duration::from_millis(300));
    let kilobytes = node.peak_memory_kb();
    assert!(kilobytes < 24_000, "peak memory of {kilobytes} kB");
    let mut rest = vec![0; size];
    reader
        .read_exact(&mut rest)
        .expect("the rest of the response arrives");
    drop(writer.join().expect("the server has written the response"));
}

/// Connections to the client and to the server are reused after a large body was streamed on them.
#[test]
fn connections_are_reused_after_a_streamed_body() {
    let response = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LARGE_BODY_BYTES}\r\n\r\n{}",
        "r".repeat(LARGE_BODY_BYTES)
    );
    let (servers, _discovery, node) = start_with_one_server(
        "kept",
        &[
            Reply::Respond(Box::leak(response.into_boxed_str())),
            REPLY_OK,
        ],
    );
    let mut client = node.connect();
    assert_eq!(
        client.exchange(&request("a", "read", "20000m")).body.len(),
        LARGE_BODY_BYTES
    );
    let first = servers.next_request().connection;
    // Time in which the connection to the server becomes reusable.
    std::thread::sleep(std::time::Duration::from_millis(30));
    assert_eq!(
        client.exchange(&request("b", "read", "20000m")).status(),
        200
    );
    assert_eq!(servers.next_request().connection, first);
    let _: &TcpStream = &client.stream;
}
