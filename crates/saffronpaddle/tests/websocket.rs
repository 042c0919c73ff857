//! WebSocket over loopback: a third party's codec (tungstenite) as client and as server, and raw bytes for what no
//! codec would send. No test asserts on speed.

use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};
use tungstenite::client::IntoClientRequest;
use tungstenite::handshake::derive_accept_key;
use tungstenite::protocol::frame::coding::{CloseCode, Data, OpCode};
use tungstenite::protocol::frame::Frame;
use tungstenite::{Error, Message as SocketMessage, WebSocket};

type Socket = WebSocket<TcpStream>;

/// A WebSocket server that passes each accepted socket to the test.
struct SocketServer {
    address: SocketAddr,
    accepted: Receiver<Socket>,
}

impl SocketServer {
    fn start() -> SocketServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (sender, accepted) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("the read time-out is set");
                if let Ok(socket) = tungstenite::accept(stream) {
                    let _ = sender.send(socket);
                }
            }
        });
        SocketServer { address, accepted }
    }

    /// Waits for the next accepted socket.
    fn next_socket(&self) -> Socket {
        self.accepted
            .recv_timeout(TEST_TIMEOUT)
            .expect("a socket is accepted")
    }
}

/// Starts a server that answers each upgrade with `head`, in which `{accept}` is replaced by the value that belongs to
/// the request's key, and with the bytes `after_head`. Returns its address and the connections that it has answered.
fn raw_server(head: &'static str, after_head: &'static [u8]) -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
    let address = listener.local_addr().expect("the socket has an address");
    let (sender, streams) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let upgrade = Message::read(&mut BufReader::new(
                stream.try_clone().expect("the socket can be cloned"),
            ));
            let Some(upgrade) = upgrade else { continue };
            let accept = derive_accept_key(upgrade.header("sec-websocket-key").as_bytes());
            let mut bytes = head.replace("{accept}", &accept).into_bytes();
            bytes.extend(after_head);
            let _ = stream.write_all(&bytes);
            let _ = sender.send(stream);
        }
    });
    (address, streams)
}

/// A valid answer to an upgrade.
const SWITCHING_PROTOCOLS: &str =
    "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {accept}\r\n\r\n";

/// A node with its operator file, which is deleted with it.
struct ConfiguredNode {
    node: Node,
    _file: TempFile,
}

/// Starts a node whose operator file enables sockets; `options` are more lines of its section `[sockets]`.
fn start_node(tag: &str, options: &str, discovery: &Discovery, hosts: &[String]) -> ConfiguredNode {
    let text = format!(
        "[stop]\nleave_for_ms = 0\n[sockets]\nclass = \"read\"\nopens_per_s = 10000.0\n{options}\n"
    );
    let file = TempFile::new(&format!("{tag}.toml"), &text);
    let node = Node::start_with_command(tag, discovery.address, hosts, 4096, |command| {
        command.env("SAFFRONPADDLE_OPERATOR", &file.0);
    });
    ConfiguredNode { node, _file: file }
}

fn start_with_socket_server(tag: &str, options: &str) -> (SocketServer, Discovery, ConfiguredNode) {
    let (server_double, discovery) = (SocketServer::start(), Discovery::start());
    let node = start_node(
        tag,
        options,
        &discovery,
        &[host_json("s-1", server_double.address, 1, "ready")],
    );
    (server_double, discovery, node)
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("the node accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read time-out is set");
    stream
}

/// Opens a client's socket for a customer; fails where the upgrade is refused.
fn open_client(node: &Node, id: &str, customer: u64, spread: u32) -> Result<Socket, Error> {
    let mut request = format!("ws://origin.svc/read/{customer:016x}").into_client_request()?;
    let terms = format!("units=1,spread={spread},first=0");
    let lines = [
        ("x-request-id", id),
        ("x-class", "read"),
        ("x-tier", "p"),
        ("x-deadline", "20000m"),
        ("x-call-terms", &terms),
    ];
    for (name, value) in lines {
        request
            .headers_mut()
            .insert(name, value.parse().expect("the header value is valid"));
    }
    match tungstenite::client(request, connect(node)) {
        Ok((socket, _)) => Ok(socket),
        Err(tungstenite::HandshakeError::Failure(error)) => Err(error),
        Err(tungstenite::HandshakeError::Interrupted(_)) => panic!("the stream blocks"),
    }
}

/// Opens a socket through the node: the client's end and the server's.
fn open(node: &Node, server_double: &SocketServer, id: &str) -> (Socket, Socket) {
    let client = open_client(node, id, 0xb4d6_5521, 1).expect("the upgrade succeeds");
    (client, server_double.next_socket())
}

/// The text of an upgrade request. `replaced` overrides headers; an empty value removes one.
fn raw_upgrade(id: &str, replaced: &[(&str, &str)]) -> String {
    let mut lines = vec![
        ("Host", "origin.svc"),
        ("X-Request-Id", id),
        ("X-Class", "read"),
        ("X-Tier", "p"),
        ("X-Deadline", "20000m"),
        ("X-Call-Terms", "units=1,spread=1,first=0"),
        ("Upgrade", "websocket"),
        ("Connection", "keep-alive, Upgrade"),
        ("Sec-WebSocket-Version", "13"),
        ("Sec-WebSocket-Key", "dGhlIHNhbXBsZSBub25jZQ=="),
    ];
    lines.retain(|(name, _)| replaced.iter().all(|(other, _)| other != name));
    lines.extend(replaced.iter().filter(|(_, value)| !value.is_empty()));
    let lines: Vec<String> = lines
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    format!(
        "GET /read/00000000b4d65521 HTTP/1.1\r\n{}\r\n",
        lines.concat()
    )
}

/// Opens a socket without a codec, and returns the stream after the head of the 101.
fn open_raw(node: &Node, id: &str) -> TcpStream {
    let mut stream = connect(node);
    stream
        .write_all(raw_upgrade(id, &[]).as_bytes())
        .expect("the upgrade is written");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the node answers");
        head.push(byte[0]);
    }
    assert!(
        head.starts_with(b"HTTP/1.1 101"),
        "{}",
        String::from_utf8_lossy(&head)
    );
    stream
}

/// Reads up to the next close frame, and returns its code and reason; `None` if the connection ends without one.
fn read_until_close(socket: &mut Socket) -> Option<(u16, String)> {
    loop {
        match socket.read() {
            Ok(SocketMessage::Close(frame)) => {
                return frame.map(|frame| (frame.code.into(), frame.reason.to_string()))
            }
            Ok(_) => {}
            Err(_) => return None,
        }
    }
}

fn as_socket(stream: TcpStream, role: tungstenite::protocol::Role) -> Socket {
    WebSocket::from_raw_socket(stream, role, None)
}

/// A masked frame whose first byte (FIN, reserved bits and opcode) is given.
fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    // A masking key of zeros leaves the payload as it is.
    [&[first, 0x80 | payload.len() as u8, 0, 0, 0, 0], payload].concat()
}

#[test]
fn messages_and_the_close_code_are_forwarded_both_ways() {
    let (server_double, _discovery, configured) = start_with_socket_server("ws-plain", "");
    let (mut client, mut server) = open(&configured.node, &server_double, "a");
    for size in [0, 5, 125, 126, 70_000, 900_000] {
        client
            .send(SocketMessage::Binary(vec![7; size].into()))
            .expect("the write succeeds");
        assert_eq!(
            server.read().expect("a message arrives").into_data().len(),
            size
        );
        server
            .send(SocketMessage::Text("é".repeat(size / 2).into()))
            .expect("the write succeeds");
        assert_eq!(
            client.read().expect("a message arrives").into_data().len(),
            size / 2 * 2
        );
    }
    client
        .send(SocketMessage::Ping("p".into()))
        .expect("the write succeeds");
    assert_eq!(
        server.read().expect("a message arrives"),
        SocketMessage::Ping("p".into())
    );
    server.flush().expect("the pong is sent");
    assert_eq!(
        client.read().expect("a message arrives"),
        SocketMessage::Pong("p".into())
    );
    let close_frame = tungstenite::protocol::CloseFrame {
        code: CloseCode::Library(4000),
        reason: "done".into(),
    };
    client.close(Some(close_frame)).expect("the write succeeds");
    assert_eq!(
        read_until_close(&mut server),
        Some((4000, "done".to_owned()))
    );
    server.flush().unwrap_or(());
    assert_eq!(
        read_until_close(&mut client).map(|(code, _)| code),
        Some(4000)
    );
}

#[test]
fn without_a_sockets_section_an_upgrade_is_handled_as_a_plain_request() {
    let (servers, _discovery, node) = start_with_one_server("ws-off", &[REPLY_OK]);
    let answer = node.connect().exchange(&raw_upgrade("a", &[]));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
    let upstream_request = servers.next_request();
    assert_eq!(
        (
            upstream_request.message.header("upgrade"),
            upstream_request.message.header("sec-websocket-key")
        ),
        ("", "")
    );
}

/// Each client and the server receive Close 1001; the reason in a client's frame is a reconnect delay. What clients
/// send after the close is not forwarded.
#[test]
fn a_drain_closes_all_idle_sockets_with_spread_reconnect_delays() {
    // As many as a test's descriptors allow on any machine; `saffronpaddle-bench sockets` opens thousands.
    const SOCKET_COUNT: usize = 200;
    let (server_double, discovery) = (SocketServer::start(), Discovery::start());
    let configured = start_node(
        "ws-drain",
        "per_customer = 100000\nper_server = 100000\nback_per_s = 50.0",
        &discovery,
        &[host_json("s-1", server_double.address, 1, "ready")],
    );
    let (_, mut watch) = discovery.next_watch();
    let mut sockets: Vec<(Socket, Socket)> = (0..SOCKET_COUNT)
        .map(|number| open(&configured.node, &server_double, &format!("d{number}")))
        .collect();
    write_list(
        &mut watch,
        &list_json(
            2,
            true,
            &[host_json("s-1", server_double.address, 1, "draining")],
        ),
    );
    let mut delays = Vec::new();
    for (client, server) in &mut sockets {
        let (code, reason) = read_until_close(client).expect("a close frame arrives");
        assert_eq!(code, 1001);
        let delay = reason
            .strip_prefix("retry-after=")
            .and_then(|text| text.parse::<f64>().ok());
        delays.push(delay.expect("the reason has a reconnect delay"));
        // tungstenite answers the close; what is written after that must not be forwarded.
        let _ = client.flush();
        let _ = client.get_mut().write_all(&masked(0x81, b"late"));
        let mut received = Vec::new();
        let code = loop {
            match server.read() {
                Ok(SocketMessage::Close(frame)) => break frame.map(|frame| u16::from(frame.code)),
                Ok(other) => received.push(other),
                Err(_) => break None,
            }
        };
        assert_eq!((code, received.len()), (Some(1001), 0));
        let _ = server.flush();
        assert!(
            server.read().is_err(),
            "the server received a message after the close"
        );
    }
    delays.sort_by(f64::total_cmp);
    let (first, last) = (delays[0], delays[SOCKET_COUNT - 1]);
    assert!(
        first < 0.5 && last > 3.0,
        "200 reconnects at 50/s must be spread over about 4 s: {first} s to {last} s"
    );
}

/// The drain comes within a fragmented message that a ping interrupts: complete frames have been forwarded, and the
/// close frame follows at the boundary of a frame.
#[test]
fn a_drain_within_a_fragmented_message_closes_at_a_frame_boundary() {
    let (server_double, discovery, configured) = start_with_socket_server("ws-pieces", "");
    let (_, mut watch) = discovery.next_watch();
    let mut client = open_raw(&configured.node, "a");
    let mut server = server_double.next_socket();
    client
        .write_all(&masked(0x01, b"first"))
        .expect("the write succeeds");
    client
        .write_all(&masked(0x89, b"ping"))
        .expect("the write succeeds");
    // Of the third frame, a part is sent before the drain, and the rest after it.
    let rest = masked(0x00, b"second");
    client.write_all(&rest[..8]).expect("the write succeeds");
    assert_eq!(
        server.read().expect("a message arrives"),
        SocketMessage::Ping("ping".into())
    );
    write_list(
        &mut watch,
        &list_json(
            2,
            true,
            &[host_json("s-1", server_double.address, 1, "draining")],
        ),
    );
    let mut client_socket = as_socket(
        client.try_clone().expect("the socket can be cloned"),
        tungstenite::protocol::Role::Client,
    );
    assert_eq!(
        read_until_close(&mut client_socket).map(|(code, _)| code),
        Some(1001),
        "the close to the client must come at a frame boundary"
    );
    client.write_all(&rest[8..]).expect("the write succeeds");
    client.write_all(&masked(0x80, b"third")).unwrap_or(());
    assert_eq!(
        read_until_close(&mut server).map(|(code, _)| code),
        Some(1001),
        "the close must follow the frame, not interrupt it"
    );
}

/// More bytes than all kernel buffers between client and server can hold together.
const BUFFERED_BYTES_MAX: usize = 200 << 20;

/// The server has stopped reading, so that no close frame can be sent to it: its connection is reset, and the client
/// receives a close frame all the same.
#[test]
fn a_drain_resets_a_server_that_does_not_read_and_closes_its_client() {
    let (server_double, discovery, configured) = start_with_socket_server("ws-slow", "");
    let (_, mut watch) = discovery.next_watch();
    let (mut client, server) = open(&configured.node, &server_double, "a");
    let (mut other_client, mut other_server) = open(&configured.node, &server_double, "b");
    client
        .get_mut()
        .set_nonblocking(true)
        .expect("non-blocking mode is set");
    let mut sent = 0;
    let started = Instant::now();
    // Writes until nothing has been accepted for 300 ms: all buffers between client and server are full.
    let mut last_write = Instant::now();
    while last_write.elapsed() < Duration::from_millis(300)
        && sent < BUFFERED_BYTES_MAX
        && started.elapsed() < TEST_TIMEOUT
    {
        match client
            .write(SocketMessage::Binary(vec![1; 8192].into()))
            .and_then(|()| client.flush())
        {
            Ok(()) => (sent, last_write) = (sent + 8192, Instant::now()),
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    assert!(
        sent > 0 && sent < BUFFERED_BYTES_MAX,
        "back-pressure must stop the writer: {sent} bytes were accepted, the limit is {BUFFERED_BYTES_MAX}"
    );
    // Other sockets are not blocked.
    other_client
        .send(SocketMessage::Text("on".into()))
        .expect("the write succeeds");
    assert_eq!(
        other_server.read().expect("a message arrives"),
        SocketMessage::Text("on".into())
    );
    write_list(
        &mut watch,
        &list_json(
            2,
            true,
            &[host_json("s-1", server_double.address, 1, "draining")],
        ),
    );
    assert_eq!(
        read_until_close(&mut other_server).map(|(code, _)| code),
        Some(1001)
    );
    // The connection is reset, and the bytes that were in flight to the server are lost.
    client
        .get_mut()
        .set_nonblocking(false)
        .expect("blocking mode is set");
    let (code, _) = read_until_close(&mut client).expect("a close frame arrives");
    assert_eq!(code, 1001);
    assert!(client.read().is_err());
    let mut stream = server.get_ref();
    let mut buffer = vec![0; 1 << 16];
    let end = loop {
        match stream.read(&mut buffer) {
            Ok(0) => break None,
            Ok(_) => {}
            Err(error) => break Some(error.kind()),
        }
    };
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
}

/// A client reconnects through another node before the first has seen its disconnect: the stale socket counts at the
/// first node only, and does not block the client at the other.
#[test]
fn a_client_reconnects_through_another_node_before_the_first_sees_the_disconnect() {
    let (server_double, discovery) = (SocketServer::start(), Discovery::start());
    let hosts = [host_json("s-1", server_double.address, 1, "ready")];
    let first_node = start_node("ws-ghost-1", "per_customer = 2", &discovery, &hosts);
    let second_node = start_node("ws-ghost-2", "per_customer = 2", &discovery, &hosts);
    let stale = open_client(&first_node.node, "a", 5, 2).expect("the upgrade succeeds");
    assert!(
        open_client(&first_node.node, "b", 5, 2).is_err(),
        "the limit of two sockets is one at each of two nodes"
    );
    let _reconnected = open_client(&second_node.node, "c", 5, 2)
        .expect("the stale socket counts at its own node only");
    assert!(open_client(&second_node.node, "d", 5, 2).is_err());
    // Once the first node has seen the disconnect, its slot is free again.
    drop(stale);
    let reopened = loop {
        if let Ok(socket) = open_client(&first_node.node, "e", 5, 2) {
            break socket;
        }
        thread::sleep(Duration::from_millis(20));
    };
    drop(reopened);
}

#[test]
fn a_silent_client_is_pinged_then_closed() {
    let (server_double, _discovery, configured) = start_with_socket_server(
        "ws-half-1",
        "ping_after_ms = 200\nsilent_after_ms = 600\nclose_within_ms = 300",
    );
    let mut client = open_raw(&configured.node, "a");
    let mut server = server_double.next_socket();
    // The client reads and sends nothing. The server's codec answers pings while it reads.
    assert_eq!(
        read_until_close(&mut server).map(|(code, _)| code),
        Some(1001)
    );
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    assert!(
        received.starts_with(&[0x89]),
        "the first frame must be a ping: {received:?}"
    );
}

#[test]
fn a_silent_server_is_pinged_then_closed() {
    let (address, streams) = raw_server(SWITCHING_PROTOCOLS, b"");
    let discovery = Discovery::start();
    let configured = start_node(
        "ws-half-2",
        "ping_after_ms = 200\nsilent_after_ms = 600\nclose_within_ms = 300",
        &discovery,
        &[host_json("s-1", address, 1, "ready")],
    );
    let mut client = open_client(&configured.node, "a", 5, 1).expect("the upgrade succeeds");
    let mut server = streams
        .recv_timeout(TEST_TIMEOUT)
        .expect("the server receives an upgrade");
    assert_eq!(
        read_until_close(&mut client).map(|(code, _)| code),
        Some(1001)
    );
    let mut received = Vec::new();
    let _ = server.read_to_end(&mut received);
    assert!(
        received.starts_with(&[0x89]),
        "the first frame must be a ping: {received:?}"
    );
}

/// A socket whose both ends answer pings stays open, although neither sends anything else.
#[test]
fn pongs_keep_an_idle_socket_open() {
    let (server_double, _discovery, configured) =
        start_with_socket_server("ws-kept", "ping_after_ms = 100\nsilent_after_ms = 5000");
    let (mut client, mut server) = open(&configured.node, &server_double, "a");
    for socket in [&mut client, &mut server] {
        socket
            .get_mut()
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("the read time-out is set");
    }
    let mut pings = 0;
    while pings < 8 {
        for socket in [&mut client, &mut server] {
            match socket.read() {
                Ok(SocketMessage::Ping(_)) => pings += 1,
                Ok(other) => panic!("{other:?}"),
                Err(Error::Io(_)) => {}
                Err(error) => panic!("{error}"),
            }
            let _ = socket.flush();
        }
    }
    server
        .send(SocketMessage::Text("still".into()))
        .expect("the write succeeds");
    client
        .get_mut()
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the read time-out is set");
    let message = loop {
        match client.read().expect("a message arrives") {
            SocketMessage::Ping(_) => {}
            message => break message,
        }
    };
    assert_eq!(message, SocketMessage::Text("still".into()));
}

#[test]
fn frames_in_the_same_packet_as_the_101_are_forwarded() {
    let (address, streams) = raw_server(SWITCHING_PROTOCOLS, b"\x81\x05first\x82\x03two");
    let discovery = Discovery::start();
    let configured = start_node(
        "ws-early",
        "",
        &discovery,
        &[host_json("s-1", address, 1, "ready")],
    );
    let mut client = open_client(&configured.node, "a", 5, 1).expect("the upgrade succeeds");
    assert_eq!(
        client.read().expect("a message arrives"),
        SocketMessage::Text("first".into())
    );
    assert_eq!(
        client.read().expect("a message arrives"),
        SocketMessage::Binary("two".into())
    );
    drop(streams.recv_timeout(TEST_TIMEOUT));
}

#[test]
fn frames_that_a_client_sends_before_the_101_are_forwarded() {
    let (server_double, _discovery, configured) = start_with_socket_server("ws-eager", "");
    let mut stream = connect(&configured.node);
    let bytes = [
        raw_upgrade("a", &[]).as_bytes(),
        &masked(0x81, b"eager"),
        &masked(0x82, b"more"),
    ]
    .concat();
    stream
        .write_all(&bytes)
        .expect("the upgrade and the frames are written");
    let mut server = server_double.next_socket();
    assert_eq!(
        server.read().expect("a message arrives"),
        SocketMessage::Text("eager".into())
    );
    assert_eq!(
        server.read().expect("a message arrives"),
        SocketMessage::Binary("more".into())
    );
}

#[test]
fn invalid_upgrades_get_one_answer_and_reach_no_server() {
    let (server_double, _discovery, configured) = start_with_socket_server("ws-bad", "");
    type Lines = &'static [(&'static str, &'static str)];
    let cases: [(&str, Lines, u16); 9] = [
        ("version", &[("Sec-WebSocket-Version", "8")], 426),
        ("no version", &[("Sec-WebSocket-Version", "")], 426),
        ("short key", &[("Sec-WebSocket-Key", "c2hvcnQ=")], 400),
        ("no key", &[("Sec-WebSocket-Key", "")], 400),
        ("connection", &[("Connection", "keep-alive")], 400),
        (
            "a list that does not name it",
            &[("Connection", "close, upgraded")],
            400,
        ),
        ("a key without an upgrade", &[("Upgrade", "")], 400),
        ("a body", &[("Content-Length", "4")], 400),
        ("chunks", &[("Transfer-Encoding", "chunked")], 400),
    ];
    for (number, (what, lines, status)) in cases.into_iter().enumerate() {
        let mut client = configured.node.connect();
        client.write(&raw_upgrade(&format!("bad{number}"), lines));
        let answer = client.read_response().expect("the node answers");
        assert_eq!(answer.status(), status, "{what}");
        assert_eq!(answer.header("sec-websocket-version"), "13", "{what}");
        assert!(
            client.read_response().is_none(),
            "{what}: the connection must end after the answer"
        );
    }
    let mut client = configured.node.connect();
    client.write(&raw_upgrade("post", &[]).replace("GET /read", "POST /read"));
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        400
    );
    // The class `pay` is not the class of sockets.
    let mut client = configured.node.connect();
    let pay = raw_upgrade("pay", &[("X-Class", "pay")]).replace("/read/", "/pay/");
    client.write(&pay);
    assert_eq!(
        client.read_response().expect("the node answers").status(),
        400
    );
    assert!(
        server_double.accepted.try_recv().is_err(),
        "an invalid upgrade reached a server"
    );
    open(&configured.node, &server_double, "good");
}

/// A server's refusal (403) is forwarded, and any other answer than a valid 101 is a failure; neither opens a socket.
#[test]
fn only_a_valid_101_opens_a_socket() {
    let wrong_accept =
        "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: \
                 AAAAAAAAAAAAAAAAAAAAAAAAAAA=\r\n\r\n";
    let other_protocol =
        "HTTP/1.1 101 Yes\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {accept}\r\n\r\n";
    let unrequested_subprotocol =
        "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Protocol: x\r\n\
                   Sec-WebSocket-Accept: {accept}\r\n\r\n";
    let forbidden = "HTTP/1.1 403 No\r\nContent-Length: 6\r\n\r\nbanned";
    let served = "HTTP/1.1 200 Yes\r\nContent-Length: 2\r\n\r\nno";
    for (number, (response, status)) in [
        (wrong_accept, 502),
        (other_protocol, 502),
        (unrequested_subprotocol, 502),
        (served, 502),
        (forbidden, 403),
    ]
    .into_iter()
    .enumerate()
    {
        let (address, _streams) = raw_server(response, b"");
        let discovery = Discovery::start();
        let tag = format!("ws-101-{number}");
        let configured = start_node(
            &tag,
            "",
            &discovery,
            &[host_json("s-1", address, 1, "ready")],
        );
        let mut client = configured.node.connect();
        // The deadline bounds the number of retries.
        client.write(&raw_upgrade("a", &[("X-Deadline", "1500m")]));
        let answer = client.read_response().expect("the node answers");
        let expected = if status == 502 {
            [502, 503]
        } else {
            [status; 2]
        };
        assert!(
            expected.contains(&answer.status()),
            "{response}: {}",
            answer.status()
        );
        if status == 403 {
            assert_eq!(answer.body, b"banned");
        }
    }
}

#[test]
fn frames_that_rfc_6455_forbids_close_the_socket_and_are_not_forwarded() {
    let (server_double, _discovery, configured) =
        start_with_socket_server("ws-forbidden", "frame_most = 1000\nmessage_most = 1500");
    let mut too_long = vec![0x82, 0xff];
    too_long.extend((1_u64 << 63).to_be_bytes());
    too_long.extend([0; 4]);
    let mut large = vec![0x82, 0xfe, 4, 0, 0, 0, 0, 0];
    large.extend([0; 1024]);
    let cases: [(&str, Vec<u8>, u16); 9] = [
        ("not masked", vec![0x81, 1, b'a'], 1002),
        ("a reserved bit", masked(0xc1, b"a"), 1002),
        ("a reserved opcode", masked(0x83, b"a"), 1002),
        ("a reserved control opcode", masked(0x8b, b""), 1002),
        ("a length beyond 2^63", too_long, 1002),
        ("a fragmented ping", masked(0x09, b""), 1002),
        ("a continuation without a message", masked(0x80, b"a"), 1002),
        (
            "a close code that is not allowed",
            masked(0x88, &1005_u16.to_be_bytes()),
            1002,
        ),
        ("a frame that is too large", large, 1009),
    ];
    for (number, (what, bytes, code)) in cases.into_iter().enumerate() {
        let mut client = open_raw(&configured.node, &format!("f{number}"));
        let mut server = server_double.next_socket();
        client
            .write_all(&masked(0x81, b"good"))
            .expect("the write succeeds");
        client.write_all(&bytes).expect("the write succeeds");
        let mut client_socket = as_socket(client, tungstenite::protocol::Role::Client);
        assert_eq!(
            read_until_close(&mut client_socket).map(|(code, _)| code),
            Some(code),
            "{what}"
        );
        assert_eq!(
            server.read().expect("the valid frame is forwarded"),
            SocketMessage::Text("good".into()),
            "{what}"
        );
        assert_eq!(
            read_until_close(&mut server).map(|(code, _)| code),
            Some(1001),
            "{what}"
        );
    }
    // A server must not mask its frames.
    let (mut client, mut server) = open(&configured.node, &server_double, "server");
    let mut frame = Frame::message("x", OpCode::Data(Data::Text), true);
    frame.header_mut().mask = Some([1, 2, 3, 4]);
    let mut bytes = Vec::new();
    frame
        .format(&mut bytes)
        .expect("writing to a buffer does not fail");
    server
        .get_mut()
        .write_all(&bytes)
        .expect("the write succeeds");
    assert_eq!(
        read_until_close(&mut client).map(|(code, _)| code),
        Some(1001)
    );
    assert_eq!(
        read_until_close(&mut server).map(|(code, _)| code),
        Some(1002)
    );
}

#[test]
fn a_socket_beyond_the_customers_limit_is_refused_with_retry_after() {
    let (server_double, _discovery, configured) =
        start_with_socket_server("ws-quota", "per_customer = 2");
    let (first, _one) = open(&configured.node, &server_double, "a");
    let (_second, _two) = open(&configured.node, &server_double, "b");
    let Err(Error::Http(answer)) = open_client(&configured.node, "c", 0xb4d6_5521, 1) else {
        panic!("a third socket was not refused")
    };
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    // Another customer at the same address has its own limit.
    let _other = open_client(&configured.node, "d", 9, 1).expect("the upgrade succeeds");
    drop(first);
    let reopened = loop {
        if let Ok(socket) = open_client(&configured.node, "e", 0xb4d6_5521, 1) {
            break socket;
        }
        thread::sleep(Duration::from_millis(20));
    };
    drop(reopened);
}

/// An upgrade is charged to the quota of the customer's plan like any other request.
#[test]
fn upgrades_are_charged_to_the_customers_quota() {
    let (_server_double, _discovery, configured) = start_with_socket_server("ws-draw", "");
    let statuses: Vec<u16> = (0..4)
        .map(|number| {
            let mut client = configured.node.connect();
            client.write(&raw_upgrade(
                &format!("q{number}"),
                &[("X-Tier", "tiny"), ("X-Deadline", "1000m")],
            ));
            client.read_response().expect("the node answers").status()
        })
        .collect();
    assert_eq!(statuses[0], 101, "{statuses:?}");
    assert!(
        statuses[1..]
            .iter()
            .filter(|status| **status == 503)
            .count()
            >= 2,
        "{statuses:?}"
    );
}

#[test]
fn sockets_of_two_customers_at_one_address_are_limited_and_relayed_separately() {
    let (server_double, _discovery, configured) =
        start_with_socket_server("ws-two", "per_customer = 30");
    let mut sockets = Vec::new();
    for number in 0..30 {
        for customer in [5, 6] {
            let id = format!("{customer}-{number}");
            let client =
                open_client(&configured.node, &id, customer, 1).expect("the upgrade succeeds");
            sockets.push((id, client, server_double.next_socket()));
        }
    }
    assert!(
        open_client(&configured.node, "5-more", 5, 1).is_err()
            && open_client(&configured.node, "6-more", 6, 1).is_err()
    );
    for (id, client, _) in &mut sockets {
        client
            .send(SocketMessage::Text(id.as_str().into()))
            .expect("the write succeeds");
    }
    for (id, client, server) in &mut sockets {
        assert_eq!(
            server.read().expect("a message arrives"),
            SocketMessage::Text(id.as_str().into())
        );
        server
            .send(SocketMessage::Text(format!("to {id}").into()))
            .expect("the write succeeds");
        assert_eq!(
            client.read().expect("a message arrives"),
            SocketMessage::Text(format!("to {id}").into())
        );
    }
}

#[test]
fn sigterm_closes_sockets_with_reconnect_delays_and_the_node_exits() {
    let (server_double, _discovery, mut configured) = start_with_socket_server("ws-term", "");
    let mut sockets: Vec<_> = (0..10)
        .map(|n| open(&configured.node, &server_double, &format!("t{n}")))
        .collect();
    configured.node.terminate();
    for (client, server) in &mut sockets {
        let (code, reason) = read_until_close(client).expect("a close frame arrives");
        assert!(
            code == 1001 && reason.starts_with("retry-after="),
            "{code} {reason}"
        );
        assert_eq!(read_until_close(server).map(|(code, _)| code), Some(1001));
    }
    drop(sockets);
    assert!(configured.node.wait().success());
}

/// A node whose limit on sockets leaves too few descriptors for requests does not start.
#[test]
fn a_socket_limit_that_starves_requests_is_refused_at_start() {
    let file = TempFile::new(
        "ws-starve.toml",
        "[sockets]\nclass = \"read\"\nper_node = 500\n",
    );
    let (status, output) = start_expecting_failure("ws-starve", 1024, |command| {
        command.env("SAFFRONPADDLE_OPERATOR", &file.0);
    });
    assert!(
        !status.success() && output.contains("sockets.per_node"),
        "{output}"
    );
}
