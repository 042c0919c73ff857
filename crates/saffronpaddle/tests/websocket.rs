//! WebSocket over loopback: a third party's codec (tungstenite) as client and as server, and raw bytes where no codec
//! would say such a thing. Each test stands for a failure; none asserts on speed.

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
use tungstenite::{Error, Message as Said, WebSocket};

type Socket = WebSocket<TcpStream>;

/// A board server, whose sockets come to the test.
struct Board {
    address: SocketAddr,
    opened: Receiver<Socket>,
}

impl Board {
    fn start() -> Board {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, opened) = mpsc::channel();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                stream
                    .set_read_timeout(Some(TEST_TIMEOUT))
                    .expect("a time-out");
                if let Ok(socket) = tungstenite::accept(stream) {
                    let _ = tell.send(socket);
                }
            }
        });
        Board { address, opened }
    }

    fn next(&self) -> Socket {
        self.opened
            .recv_timeout(TEST_TIMEOUT)
            .expect("a socket is opened")
    }
}

/// A server that says just this to whatever upgrade comes; `{accept}` stands for what its key asks for.
fn raw_server(words: &'static str, behind: &'static [u8]) -> (SocketAddr, Receiver<TcpStream>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, came) = mpsc::channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let head = Message::read(&mut BufReader::new(stream.try_clone().expect("a clone")));
            let Some(head) = head else { continue };
            let accept = derive_accept_key(head.header("sec-websocket-key").as_bytes());
            let mut bytes = words.replace("{accept}", &accept).into_bytes();
            bytes.extend(behind);
            let _ = stream.write_all(&bytes);
            let _ = tell.send(stream);
        }
    });
    (address, came)
}

const YES: &str =
    "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {accept}\r\n\r\n";

struct Operated {
    node: Node,
    _file: Temporary,
}

fn node(tag: &str, more: &str, discovery: &Discovery, hosts: &[String]) -> Operated {
    let text = format!(
        "[stop]\nleave_for_ms = 0\n[sockets]\nclass = \"read\"\nopens_per_s = 10000.0\n{more}\n"
    );
    let file = Temporary::new(&format!("{tag}.toml"), &text);
    let node = Node::start_with_command(tag, discovery.address, hosts, 4096, |command| {
        command.env("SAFFRONPADDLE_OPERATOR", &file.0);
    });
    Operated { node, _file: file }
}

fn with_board(tag: &str, more: &str) -> (Board, Discovery, Operated) {
    let (board, discovery) = (Board::start(), Discovery::start());
    let node = node(
        tag,
        more,
        &discovery,
        &[host_json("s-1", board.address, 1, "ready")],
    );
    (board, discovery, node)
}

fn connect(node: &Node) -> TcpStream {
    let stream = TcpStream::connect(node.address).expect("it accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream
}

/// Asks for a socket of a customer.
fn ask(node: &Node, id: &str, customer: u64, spread: u32) -> Result<Socket, Error> {
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
            .insert(name, value.parse().expect("a value"));
    }
    match tungstenite::client(request, connect(node)) {
        Ok((socket, _)) => Ok(socket),
        Err(tungstenite::HandshakeError::Failure(error)) => Err(error),
        Err(tungstenite::HandshakeError::Interrupted(_)) => panic!("the stream blocks"),
    }
}

fn open(node: &Node, board: &Board, id: &str) -> (Socket, Socket) {
    let client = ask(node, id, 0xb4d6_5521, 1).expect("a socket");
    (client, board.next())
}

/// An upgrade as raw bytes, with other lines in place of some.
fn raw_upgrade(id: &str, other: &[(&str, &str)]) -> String {
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
    lines.retain(|(name, _)| other.iter().all(|(instead, _)| instead != name));
    lines.extend(other.iter().filter(|(_, value)| !value.is_empty()));
    let lines: Vec<String> = lines
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    format!(
        "GET /read/00000000b4d65521 HTTP/1.1\r\n{}\r\n",
        lines.concat()
    )
}

/// A socket in raw bytes: the stream behind the 101.
fn raw(node: &Node, id: &str) -> TcpStream {
    let mut stream = connect(node);
    stream
        .write_all(raw_upgrade(id, &[]).as_bytes())
        .expect("it is taken");
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("an answer");
        head.push(byte[0]);
    }
    assert!(
        head.starts_with(b"HTTP/1.1 101"),
        "{}",
        String::from_utf8_lossy(&head)
    );
    stream
}

/// The code of the close frame that comes next, whatever comes before it; `None` where the connection ends without.
fn close_of(socket: &mut Socket) -> Option<(u16, String)> {
    loop {
        match socket.read() {
            Ok(Said::Close(frame)) => {
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

fn masked(first: u8, payload: &[u8]) -> Vec<u8> {
    // A mask of nothing is a mask.
    [&[first, 0x80 | payload.len() as u8, 0, 0, 0, 0], payload].concat()
}

#[test]
fn messages_pass_both_ways_and_a_close_with_its_code() {
    let (board, _discovery, operated) = with_board("ws-plain", "");
    let (mut client, mut server) = open(&operated.node, &board, "a");
    for size in [0, 5, 125, 126, 70_000, 900_000] {
        client
            .send(Said::Binary(vec![7; size].into()))
            .expect("it goes");
        assert_eq!(server.read().expect("it comes").into_data().len(), size);
        server
            .send(Said::Text("é".repeat(size / 2).into()))
            .expect("it goes");
        assert_eq!(
            client.read().expect("it comes").into_data().len(),
            size / 2 * 2
        );
    }
    client.send(Said::Ping("p".into())).expect("it goes");
    assert_eq!(server.read().expect("it comes"), Said::Ping("p".into()));
    server.flush().expect("the pong goes");
    assert_eq!(client.read().expect("it comes"), Said::Pong("p".into()));
    let bye = tungstenite::protocol::CloseFrame {
        code: CloseCode::Library(4000),
        reason: "done".into(),
    };
    client.close(Some(bye)).expect("it goes");
    assert_eq!(close_of(&mut server), Some((4000, "done".to_owned())));
    server.flush().unwrap_or(());
    assert_eq!(close_of(&mut client).map(|(code, _)| code), Some(4000));
}

#[test]
fn without_the_section_an_upgrade_is_a_request_like_any_other() {
    let (servers, _discovery, node) = start_with_one_server("ws-off", &[REPLY_OK]);
    let answer = node.connect().exchange(&raw_upgrade("a", &[]));
    assert_eq!((answer.status(), &answer.body[..]), (200, &b"ranks"[..]));
    let got = servers.next_request();
    assert_eq!(
        (
            got.message.header("upgrade"),
            got.message.header("sec-websocket-key")
        ),
        ("", "")
    );
}

/// Every client and the server hear Close 1001 with advice on when to come back; what clients say after that goes nowhere.
#[test]
fn a_server_drains_while_thousands_of_sockets_sit_idle() {
    // As many as a test's descriptors allow on any machine; `saffronpaddle-bench sockets` takes thousands.
    const COUNT: usize = 200;
    let (board, discovery) = (Board::start(), Discovery::start());
    let operated = node(
        "ws-drain",
        "per_customer = 100000\nper_server = 100000\nback_per_s = 50.0",
        &discovery,
        &[host_json("s-1", board.address, 1, "ready")],
    );
    let (_, mut watch) = discovery.next_watch();
    let mut sockets: Vec<(Socket, Socket)> = (0..COUNT)
        .map(|number| open(&operated.node, &board, &format!("d{number}")))
        .collect();
    write_list(
        &mut watch,
        &list_json(2, true, &[host_json("s-1", board.address, 1, "draining")]),
    );
    let mut waits = Vec::new();
    for (client, server) in &mut sockets {
        let (code, reason) = close_of(client).expect("a close");
        assert_eq!(code, 1001);
        let wait = reason
            .strip_prefix("retry-after=")
            .and_then(|text| text.parse::<f64>().ok());
        waits.push(wait.expect("advice"));
        // tungstenite answers the close; what is written behind it must not arrive.
        let _ = client.flush();
        let _ = client.get_mut().write_all(&masked(0x81, b"late"));
        let mut heard = Vec::new();
        let code = loop {
            match server.read() {
                Ok(Said::Close(frame)) => break frame.map(|frame| u16::from(frame.code)),
                Ok(other) => heard.push(other),
                Err(_) => break None,
            }
        };
        assert_eq!((code, heard.len()), (Some(1001), 0));
        let _ = server.flush();
        assert!(server.read().is_err(), "nothing comes behind a close");
    }
    waits.sort_by(f64::total_cmp);
    let (first, last) = (waits[0], waits[COUNT - 1]);
    assert!(
        first < 0.5 && last > 3.0,
        "200 at 50 a second: {first} to {last}"
    );
}

/// The drain comes while a message is in pieces, with a ping inside: what was whole has gone, the close follows at a
/// frame's boundary.
#[test]
fn a_fragmented_message_with_a_ping_inside_when_the_drain_comes() {
    let (board, discovery, operated) = with_board("ws-pieces", "");
    let (_, mut watch) = discovery.next_watch();
    let mut client = raw(&operated.node, "a");
    let mut server = board.next();
    client.write_all(&masked(0x01, b"first")).expect("it goes");
    client.write_all(&masked(0x89, b"ping")).expect("it goes");
    // A third frame of which only a part comes before the drain, and the rest after.
    let rest = masked(0x00, b"second");
    client.write_all(&rest[..8]).expect("it goes");
    assert_eq!(server.read().expect("it comes"), Said::Ping("ping".into()));
    write_list(
        &mut watch,
        &list_json(2, true, &[host_json("s-1", board.address, 1, "draining")]),
    );
    let mut told = as_socket(
        client.try_clone().expect("a clone"),
        tungstenite::protocol::Role::Client,
    );
    assert_eq!(
        close_of(&mut told).map(|(code, _)| code),
        Some(1001),
        "the way to the client is at a boundary"
    );
    client.write_all(&rest[8..]).expect("it goes");
    client.write_all(&masked(0x80, b"third")).unwrap_or(());
    assert_eq!(
        close_of(&mut server).map(|(code, _)| code),
        Some(1001),
        "after the frame, and not within it"
    );
}

/// More than all buffers of the machine's on the way can hold together.
const BUFFERS_MOST: usize = 200 << 20;

/// The server has stopped reading: it can't be closed, so it is cut; its client is told all the same.
#[test]
fn a_slow_reader_with_a_full_buffer_at_the_drain() {
    let (board, discovery, operated) = with_board("ws-slow", "");
    let (_, mut watch) = discovery.next_watch();
    let (mut client, server) = open(&operated.node, &board, "a");
    let (mut other, mut beside) = open(&operated.node, &board, "b");
    client.get_mut().set_nonblocking(true).expect("it can be");
    let mut sent = 0;
    let since = Instant::now();
    // Until nothing has gone for a while: all buffers on the way are full.
    let mut last = Instant::now();
    while last.elapsed() < Duration::from_millis(300)
        && sent < BUFFERS_MOST
        && since.elapsed() < TEST_TIMEOUT
    {
        match client
            .write(Said::Binary(vec![1; 8192].into()))
            .and_then(|()| client.flush())
        {
            Ok(()) => (sent, last) = (sent + 8192, Instant::now()),
            Err(_) => thread::sleep(Duration::from_millis(5)),
        }
    }
    assert!(
        sent > 0 && sent < BUFFERS_MOST,
        "a slow reader holds back its writer: {sent} bytes"
    );
    // Nobody else is held back.
    other.send(Said::Text("on".into())).expect("it goes");
    assert_eq!(beside.read().expect("it comes"), Said::Text("on".into()));
    write_list(
        &mut watch,
        &list_json(2, true, &[host_json("s-1", board.address, 1, "draining")]),
    );
    assert_eq!(close_of(&mut beside).map(|(code, _)| code), Some(1001));
    // The connection is reset, and what was still under way to the server is gone with it.
    client.get_mut().set_nonblocking(false).expect("it can be");
    let (code, _) = close_of(&mut client).expect("a close");
    assert_eq!(code, 1001);
    assert!(client.read().is_err());
    let mut stream = server.get_ref();
    let mut all = vec![0; 1 << 16];
    let end = loop {
        match stream.read(&mut all) {
            Ok(0) => break None,
            Ok(_) => {}
            Err(error) => break Some(error.kind()),
        }
    };
    assert_eq!(end, Some(std::io::ErrorKind::ConnectionReset));
}

/// A client whose node has not noticed that it is gone comes back through another: its own ghost does not shut it out.
#[test]
fn a_client_reconnects_through_a_different_edge_node_before_the_first_one_noticed() {
    let (board, discovery) = (Board::start(), Discovery::start());
    let hosts = [host_json("s-1", board.address, 1, "ready")];
    let one = node("ws-ghost-1", "per_customer = 2", &discovery, &hosts);
    let two = node("ws-ghost-2", "per_customer = 2", &discovery, &hosts);
    let ghost = ask(&one.node, "a", 5, 2).expect("a socket");
    assert!(
        ask(&one.node, "b", 5, 2).is_err(),
        "its share at one of two nodes is one"
    );
    let _back = ask(&two.node, "c", 5, 2).expect("the ghost counts at its own node only");
    assert!(ask(&two.node, "d", 5, 2).is_err());
    // When the first node has noticed, the place there is free again.
    drop(ghost);
    let again = loop {
        if let Ok(socket) = ask(&one.node, "e", 5, 2) {
            break socket;
        }
        thread::sleep(Duration::from_millis(20));
    };
    drop(again);
}

#[test]
fn a_silent_client_is_asked_then_closed() {
    let (board, _discovery, operated) = with_board(
        "ws-half-1",
        "ping_after_ms = 200\nsilent_after_ms = 600\nclose_within_ms = 300",
    );
    let mut client = raw(&operated.node, "a");
    let mut server = board.next();
    // It reads nothing and says nothing. The server answers what it is asked, by reading.
    assert_eq!(close_of(&mut server).map(|(code, _)| code), Some(1001));
    let mut all = Vec::new();
    let _ = client.read_to_end(&mut all);
    assert!(all.starts_with(&[0x89]), "a ping came first: {all:?}");
}

#[test]
fn a_silent_server_is_asked_then_closed() {
    let (address, came) = raw_server(YES, b"");
    let discovery = Discovery::start();
    let operated = node(
        "ws-half-2",
        "ping_after_ms = 200\nsilent_after_ms = 600\nclose_within_ms = 300",
        &discovery,
        &[host_json("s-1", address, 1, "ready")],
    );
    let mut client = ask(&operated.node, "a", 5, 1).expect("a socket");
    let mut server = came.recv_timeout(TEST_TIMEOUT).expect("an upgrade");
    assert_eq!(close_of(&mut client).map(|(code, _)| code), Some(1001));
    let mut all = Vec::new();
    let _ = server.read_to_end(&mut all);
    assert!(all.starts_with(&[0x89]), "a ping came first: {all:?}");
}

/// A socket whose sides answer pings stands, though nobody says anything else.
#[test]
fn pings_keep_an_idle_socket() {
    let (board, _discovery, operated) =
        with_board("ws-kept", "ping_after_ms = 100\nsilent_after_ms = 5000");
    let (mut client, mut server) = open(&operated.node, &board, "a");
    for socket in [&mut client, &mut server] {
        socket
            .get_mut()
            .set_read_timeout(Some(Duration::from_millis(50)))
            .expect("a time-out");
    }
    let mut pings = 0;
    while pings < 8 {
        for socket in [&mut client, &mut server] {
            match socket.read() {
                Ok(Said::Ping(_)) => pings += 1,
                Ok(other) => panic!("{other:?}"),
                Err(Error::Io(_)) => {}
                Err(error) => panic!("{error}"),
            }
            let _ = socket.flush();
        }
    }
    server.send(Said::Text("still".into())).expect("it goes");
    client
        .get_mut()
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    let said = loop {
        match client.read().expect("it comes") {
            Said::Ping(_) => {}
            said => break said,
        }
    };
    assert_eq!(said, Said::Text("still".into()));
}

#[test]
fn the_servers_first_frames_come_in_the_same_packet_as_its_101() {
    let (address, came) = raw_server(YES, b"\x81\x05first\x82\x03two");
    let discovery = Discovery::start();
    let operated = node(
        "ws-early",
        "",
        &discovery,
        &[host_json("s-1", address, 1, "ready")],
    );
    let mut client = ask(&operated.node, "a", 5, 1).expect("a socket");
    assert_eq!(client.read().expect("it comes"), Said::Text("first".into()));
    assert_eq!(client.read().expect("it comes"), Said::Binary("two".into()));
    drop(came.recv_timeout(TEST_TIMEOUT));
}

#[test]
fn a_client_sends_frames_before_101() {
    let (board, _discovery, operated) = with_board("ws-eager", "");
    let mut stream = connect(&operated.node);
    let words = [
        raw_upgrade("a", &[]).as_bytes(),
        &masked(0x81, b"eager"),
        &masked(0x82, b"more"),
    ]
    .concat();
    stream.write_all(&words).expect("it is taken");
    let mut server = board.next();
    assert_eq!(server.read().expect("it comes"), Said::Text("eager".into()));
    assert_eq!(
        server.read().expect("it comes"),
        Said::Binary("more".into())
    );
}

#[test]
fn bad_upgrades_get_one_answer_and_reach_no_server() {
    let (board, _discovery, operated) = with_board("ws-bad", "");
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
        let mut client = operated.node.connect();
        client.write(&raw_upgrade(&format!("bad{number}"), lines));
        let answer = client.read_response().expect("an answer");
        assert_eq!(answer.status(), status, "{what}");
        assert_eq!(answer.header("sec-websocket-version"), "13", "{what}");
        assert!(
            client.read_response().is_none(),
            "{what}: nothing that comes behind is believed"
        );
    }
    let mut client = operated.node.connect();
    client.write(&raw_upgrade("post", &[]).replace("GET /read", "POST /read"));
    assert_eq!(client.read_response().expect("an answer").status(), 400);
    // Of another class than that of sockets.
    let mut client = operated.node.connect();
    let pay = raw_upgrade("pay", &[("X-Class", "pay")]).replace("/read/", "/pay/");
    client.write(&pay);
    assert_eq!(client.read_response().expect("an answer").status(), 400);
    assert!(
        board.opened.try_recv().is_err(),
        "no server heard of any of them"
    );
    open(&operated.node, &board, "good");
}

/// What a server has against it is passed on; what is no agreement is a failure; neither is a socket.
#[test]
fn only_a_right_101_opens_a_socket() {
    let wrong =
        "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: \
                 AAAAAAAAAAAAAAAAAAAAAAAAAAA=\r\n\r\n";
    let other =
        "HTTP/1.1 101 Yes\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nSec-WebSocket-Accept: {accept}\r\n\r\n";
    let unasked =
        "HTTP/1.1 101 Yes\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Protocol: x\r\n\
                   Sec-WebSocket-Accept: {accept}\r\n\r\n";
    let forbidden = "HTTP/1.1 403 No\r\nContent-Length: 6\r\n\r\nbanned";
    let served = "HTTP/1.1 200 Yes\r\nContent-Length: 2\r\n\r\nno";
    for (number, (words, status)) in [
        (wrong, 502),
        (other, 502),
        (unasked, 502),
        (served, 502),
        (forbidden, 403),
    ]
    .into_iter()
    .enumerate()
    {
        let (address, _came) = raw_server(words, b"");
        let discovery = Discovery::start();
        let tag = format!("ws-101-{number}");
        let operated = node(
            &tag,
            "",
            &discovery,
            &[host_json("s-1", address, 1, "ready")],
        );
        let mut client = operated.node.connect();
        // Its deadline bounds how often it is tried again.
        client.write(&raw_upgrade("a", &[("X-Deadline", "1500m")]));
        let answer = client.read_response().expect("an answer");
        let refused_or = if status == 502 {
            [502, 503]
        } else {
            [status; 2]
        };
        assert!(
            refused_or.contains(&answer.status()),
            "{words}: {}",
            answer.status()
        );
        if status == 403 {
            assert_eq!(answer.body, b"banned");
        }
    }
}

#[test]
fn frames_that_the_rfc_forbids_close_the_socket_and_reach_nobody() {
    let (board, _discovery, operated) =
        with_board("ws-forbidden", "frame_most = 1000\nmessage_most = 1500");
    let mut beyond = vec![0x82, 0xff];
    beyond.extend((1_u64 << 63).to_be_bytes());
    beyond.extend([0; 4]);
    let mut large = vec![0x82, 0xfe, 4, 0, 0, 0, 0, 0];
    large.extend([0; 1024]);
    let cases: [(&str, Vec<u8>, u16); 9] = [
        ("not masked", vec![0x81, 1, b'a'], 1002),
        ("a reserved bit", masked(0xc1, b"a"), 1002),
        ("a reserved opcode", masked(0x83, b"a"), 1002),
        ("a reserved control opcode", masked(0x8b, b""), 1002),
        ("a length beyond 2^63", beyond, 1002),
        ("a ping in pieces", masked(0x09, b""), 1002),
        ("the rest of nothing", masked(0x80, b"a"), 1002),
        (
            "a close code that is not allowed",
            masked(0x88, &1005_u16.to_be_bytes()),
            1002,
        ),
        ("a frame that is too large", large, 1009),
    ];
    for (number, (what, bytes, code)) in cases.into_iter().enumerate() {
        let mut client = raw(&operated.node, &format!("f{number}"));
        let mut server = board.next();
        client.write_all(&masked(0x81, b"good")).expect("it goes");
        client.write_all(&bytes).expect("it goes");
        let mut told = as_socket(client, tungstenite::protocol::Role::Client);
        assert_eq!(
            close_of(&mut told).map(|(code, _)| code),
            Some(code),
            "{what}"
        );
        assert_eq!(
            server.read().expect("what was good"),
            Said::Text("good".into()),
            "{what}"
        );
        assert_eq!(
            close_of(&mut server).map(|(code, _)| code),
            Some(1001),
            "{what}"
        );
    }
    // A server that masks is as wrong.
    let (mut client, mut server) = open(&operated.node, &board, "server");
    let mut frame = Frame::message("x", OpCode::Data(Data::Text), true);
    frame.header_mut().mask = Some([1, 2, 3, 4]);
    let mut bytes = Vec::new();
    frame.format(&mut bytes).expect("a buffer");
    server.get_mut().write_all(&bytes).expect("it goes");
    assert_eq!(close_of(&mut client).map(|(code, _)| code), Some(1001));
    assert_eq!(close_of(&mut server).map(|(code, _)| code), Some(1002));
}

#[test]
fn a_quota_that_open_sockets_use_up_is_refused_with_advice() {
    let (board, _discovery, operated) = with_board("ws-quota", "per_customer = 2");
    let (first, _one) = open(&operated.node, &board, "a");
    let (_second, _two) = open(&operated.node, &board, "b");
    let Err(Error::Http(answer)) = ask(&operated.node, "c", 0xb4d6_5521, 1) else {
        panic!("a third")
    };
    assert_eq!(answer.status(), 503);
    assert!(answer.headers().contains_key("retry-after"));
    // Another customer of the same address has its own.
    let _other = ask(&operated.node, "d", 9, 1).expect("a socket");
    drop(first);
    let back = loop {
        if let Ok(socket) = ask(&operated.node, "e", 0xb4d6_5521, 1) {
            break socket;
        }
        thread::sleep(Duration::from_millis(20));
    };
    drop(back);
}

/// A quota of the customer's plan counts for upgrades as for any request.
#[test]
fn upgrades_draw_from_the_customers_quota() {
    let (_board, _discovery, operated) = with_board("ws-draw", "");
    let statuses: Vec<u16> = (0..4)
        .map(|number| {
            let mut client = operated.node.connect();
            client.write(&raw_upgrade(
                &format!("q{number}"),
                &[("X-Tier", "tiny"), ("X-Deadline", "1000m")],
            ));
            client.read_response().expect("an answer").status()
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
fn two_customers_on_many_sockets_from_one_address() {
    let (board, _discovery, operated) = with_board("ws-two", "per_customer = 30");
    let mut all = Vec::new();
    for number in 0..30 {
        for customer in [5, 6] {
            let id = format!("{customer}-{number}");
            let client = ask(&operated.node, &id, customer, 1).expect("a socket");
            all.push((id, client, board.next()));
        }
    }
    assert!(
        ask(&operated.node, "5-more", 5, 1).is_err()
            && ask(&operated.node, "6-more", 6, 1).is_err()
    );
    for (id, client, _) in &mut all {
        client
            .send(Said::Text(id.as_str().into()))
            .expect("it goes");
    }
    for (id, client, server) in &mut all {
        assert_eq!(
            server.read().expect("it comes"),
            Said::Text(id.as_str().into())
        );
        server
            .send(Said::Text(format!("to {id}").into()))
            .expect("it goes");
        assert_eq!(
            client.read().expect("it comes"),
            Said::Text(format!("to {id}").into())
        );
    }
}

#[test]
fn sigterm_closes_sockets_with_advice_and_the_node_ends() {
    let (board, _discovery, mut operated) = with_board("ws-term", "");
    let mut sockets: Vec<_> = (0..10)
        .map(|n| open(&operated.node, &board, &format!("t{n}")))
        .collect();
    operated.node.terminate();
    for (client, server) in &mut sockets {
        let (code, reason) = close_of(client).expect("a close");
        assert!(
            code == 1001 && reason.starts_with("retry-after="),
            "{code} {reason}"
        );
        assert_eq!(close_of(server).map(|(code, _)| code), Some(1001));
    }
    drop(sockets);
    assert!(operated.node.wait().success());
}

/// Sockets never take what requests need: a node that would leave too little does not start.
#[test]
fn a_bound_on_sockets_that_starves_requests_is_refused_at_start() {
    let file = Temporary::new(
        "ws-starve.toml",
        "[sockets]\nclass = \"read\"\nper_node = 500\n",
    );
    let (status, said) = start_expecting_failure("ws-starve", 1024, |command| {
        command.env("SAFFRONPADDLE_OPERATOR", &file.0);
    });
    assert!(
        !status.success() && said.contains("sockets.per_node"),
        "{said}"
    );
}
