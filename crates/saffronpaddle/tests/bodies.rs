//! Bodies that go by in pieces, both ways, on a node as a process.

use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Far more than is kept of a body.
const LONG: usize = 2_000_000;

/// The head of a request whose body follows, with such a framing.
fn head(id: &str, framing: &str) -> String {
    let whole = request(id, "submit", "20000m");
    whole.replace(
        "Content-Length: 4\r\n\r\ntime",
        &format!("{framing}\r\n\r\n"),
    )
}

fn chunk(bytes: usize) -> String {
    format!("{bytes:x};note=x\r\n{}\r\n", "b".repeat(bytes))
}

/// Reads lines up to an empty one.
fn read_head(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("a line") > 0, "{head}");
    }
    head
}

#[test]
fn a_body_that_is_far_too_large_to_keep_passes_once_in_either_framing() {
    let (servers, _discovery, node) = start_with_one_server("upload", &[REPLY_OK]);
    let mut client = node.connect();
    client.write(&head("a", &format!("Content-Length: {LONG}")));
    for _ in 0..LONG / 1000 {
        client.write(&"a".repeat(1000));
    }
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    let got = servers.next_request();
    assert_eq!(
        (got.message.body.len(), got.message.header("x-request-id")),
        (LONG, "a")
    );
    // Chunks that are cut anywhere, with an extension and a trailer, on the same connection.
    client.write(&head("b", "Transfer-Encoding: chunked"));
    let mut words = (1..500).map(chunk).collect::<String>();
    words.push_str("0\r\nX-Sum: 7\r\n\r\n");
    for piece in words.as_bytes().chunks(777) {
        client.stream.write_all(piece).expect("it is read");
    }
    assert_eq!(client.read_response().expect("an answer").status(), 200);
    assert_eq!(
        servers.next_request().message.body.len(),
        (1..500).sum::<usize>()
    );
    servers.assert_no_more_requests();
}

/// Until its last byte has come, nothing of a request counts: the server gets the rest only then.
#[test]
fn a_body_that_never_ends_is_never_whole_at_a_server() {
    let (servers, _discovery, node) = start_with_one_server("endless", &[REPLY_OK]);
    let mut client = node.connect();
    client.write(&head("a", &format!("Content-Length: {LONG}")));
    client.write(&"a".repeat(LONG - 1));
    drop(client);
    servers.assert_no_more_requests();
    assert_eq!(
        node.connect()
            .exchange(&request("b", "read", "20000m"))
            .status(),
        200
    );
}

/// A long answer goes on as it comes: its first bytes are there before its server has the last; a drain in the middle cuts
/// nothing.
#[test]
fn a_long_answer_goes_on_as_it_comes_also_past_a_drain() {
    let (servers, discovery, node) = start_with_one_server("long", &[Reply::NoResponse]);
    let mut client = node.connect();
    client.write(&request("a", "read", "20000m"));
    let mut got = servers.next_request();
    let part = "r".repeat(LONG / 2);
    write!(
        got.stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{}",
        &part[..70_000]
    )
    .expect("written");
    let mut reader = BufReader::new(client.stream.try_clone().expect("a clone"));
    assert!(read_head(&mut reader).starts_with("HTTP/1.1 200"));
    let mut first = vec![0; 70_000];
    reader
        .read_exact(&mut first)
        .expect("the first bytes, before the rest");
    let (_, mut watch) = discovery.next_watch();
    write_list(
        &mut watch,
        &list_json(
            2,
            false,
            &[host_json(
                "s-1",
                got.stream.local_addr().expect("one"),
                1,
                "draining",
            )],
        ),
    );
    let mut rest = vec![0; LONG - 70_000];
    let writes = std::thread::spawn(move || {
        got.stream
            .write_all(&part.as_bytes()[70_000..])
            .expect("written");
        got.stream.write_all(part.as_bytes()).expect("written");
        got
    });
    reader.read_exact(&mut rest).expect("all of it");
    drop(writes.join().expect("written"));
}

#[test]
fn an_answer_that_breaks_off_in_the_middle_can_be_told_from_a_whole_one() {
    for (tag, framing) in [
        ("sized", "Content-Length: 2000000"),
        ("chunked", "Transfer-Encoding: chunked"),
    ] {
        let (servers, _discovery, node) = start_with_one_server(tag, &[Reply::NoResponse]);
        let mut client = node.connect();
        client.write(&request("a", "read", "20000m"));
        let mut got = servers.next_request();
        let piece = if tag == "sized" {
            "r".repeat(100_000)
        } else {
            chunk(100_000)
        };
        write!(got.stream, "HTTP/1.1 200 OK\r\n{framing}\r\n\r\n{piece}").expect("written");
        let mut reader = BufReader::new(client.stream.try_clone().expect("a clone"));
        read_head(&mut reader);
        got.stream
            .shutdown(std::net::Shutdown::Both)
            .expect("it was open");
        let mut rest = Vec::new();
        // It ends with a reset, or without the end that its framing has.
        let _ = reader.read_to_end(&mut rest);
        assert!(
            rest.len() < LONG && !rest.ends_with(b"0\r\n\r\n"),
            "{tag}: {} bytes",
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

/// A server that breaks off while a body goes by has not run it: the client hears that trying again is harmless, and hears
/// it once it has written all.
#[test]
fn a_body_whose_server_breaks_off_half_way_is_refused_and_goes_nowhere_else() {
    let breaks = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = breaks.local_addr().expect("an address");
    let node = Node::start(
        "breaks",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    let server = std::thread::spawn(move || {
        let (mut stream, _) = breaks.accept().expect("it is sent on");
        let mut some = vec![0; 100_000];
        stream.read_exact(&mut some).expect("a part");
        drop(stream);
        // It must not come again.
        breaks.set_nonblocking(true).expect("set");
        breaks
    });
    let mut client = node.connect();
    client.write(&head("a", &format!("Content-Length: {LONG}")));
    client.write(&"a".repeat(200_000));
    let breaks = server.join().expect("it had a part");
    client.write(&"a".repeat(LONG - 200_000));
    assert_eq!(client.read_response().expect("an answer").status(), 503);
    assert!(
        breaks.accept().is_err(),
        "sent again, though its body is gone"
    );
    servers.assert_no_more_requests();
}

/// A server that is full says so before it has read a body: its client hears of it when it has written all, not at its
/// deadline.
#[test]
fn an_answer_that_comes_before_the_body_is_whole_ends_the_request() {
    let early = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let discovery = Discovery::start();
    let dial = early.local_addr().expect("an address");
    let node = Node::start(
        "early",
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    let server = std::thread::spawn(move || {
        let (mut stream, _) = early.accept().expect("it is sent on");
        let mut some = [0; 100];
        stream.read_exact(&mut some).expect("a part");
        stream
            .write_all(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
            .expect("written");
        stream
    });
    let mut client = node.connect();
    client.write(&head("a", "Transfer-Encoding: chunked"));
    client.write(&chunk(100_000));
    let _stream = server.join().expect("it had a part");
    client.write(&format!("{}0\r\n\r\n", chunk(1000)));
    let begun = std::time::Instant::now();
    assert_eq!(client.read_response().expect("an answer").status(), 503);
    assert!(begun.elapsed().as_secs() < 15, "at its deadline");
}

/// A client that reads slowly holds a few pieces of its answer here and no more; the rest waits at its server.
#[test]
fn a_slow_reader_holds_the_server_back_and_not_the_memory() {
    let (servers, _discovery, node) = start_with_one_server("slow", &[Reply::NoResponse]);
    let mut client = node.connect();
    client.write(&request("a", "read", "20000m"));
    let mut got = servers.next_request();
    let size = 30 << 20;
    write!(
        got.stream,
        "HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
    )
    .expect("written");
    let writes = std::thread::spawn(move || {
        let piece = vec![b'r'; 1 << 20];
        (0..30).for_each(|_| got.stream.write_all(&piece).expect("written"));
        got
    });
    let mut reader = BufReader::new(client.stream.try_clone().expect("a clone"));
    read_head(&mut reader);
    std::thread::sleep(std::time::Duration::from_millis(300));
    let status = std::fs::read_to_string(format!("/proc/{}/status", node.id())).expect("it runs");
    let resident = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("a line");
    let kilobytes: u64 = resident
        .trim()
        .trim_end_matches("kB")
        .trim()
        .parse()
        .expect("a number");
    assert!(kilobytes < 24_000, "{kilobytes} kB");
    let mut rest = vec![0; size];
    reader.read_exact(&mut rest).expect("all of it");
    drop(writes.join().expect("written"));
}

/// A connection that is kept serves on after bodies went by on it.
#[test]
fn a_connection_is_kept_after_bodies_went_by() {
    let words = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n{}",
        "r".repeat(LONG)
    );
    let (servers, _discovery, node) = start_with_one_server(
        "kept",
        &[Reply::Respond(Box::leak(words.into_boxed_str())), REPLY_OK],
    );
    let mut client = node.connect();
    assert_eq!(
        client.exchange(&request("a", "read", "20000m")).body.len(),
        LONG
    );
    let first = servers.next_request().connection;
    // A moment, so that the connection to the server has settled.
    std::thread::sleep(std::time::Duration::from_millis(30));
    assert_eq!(
        client.exchange(&request("b", "read", "20000m")).status(),
        200
    );
    assert_eq!(servers.next_request().connection, first);
    let _: &TcpStream = &client.stream;
}
