//! Stand-ins that do as a test tells them, turn by turn: app servers, discovery, clients, and one edge node as a process.
//!
//! Made for tests: what can't go on panics.

use crate::ports::reserve_address;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// No wait is longer; only a failing test gets there.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// A message of HTTP/1.1 with a body of known length, or in chunks.
#[derive(Clone, Debug)]
pub struct Message {
    /// Its first line.
    pub start_line: String,
    /// Its headers, their names in lower case.
    pub headers: HashMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Message {
    /// `None` at the end of the connection, or where the message is cut.
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let line = |stream: &mut dyn BufRead| {
            let mut line = String::new();
            stream
                .read_line(&mut line)
                .ok()
                .filter(|length| *length > 0)?;
            Some(line.trim_end().to_owned())
        };
        let start = line(stream)?;
        let mut headers = HashMap::new();
        loop {
            let line = line(stream)?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
        }
        if headers
            .get("transfer-encoding")
            .is_some_and(|coding| coding == "chunked")
        {
            let mut body = Vec::new();
            loop {
                let size = line(stream)?;
                let size =
                    usize::from_str_radix(size.split(';').next().unwrap_or_default(), 16).ok()?;
                if size == 0 {
                    while !line(stream)?.is_empty() {}
                    return Some(Message {
                        start_line: start,
                        headers,
                        body,
                    });
                }
                let from = body.len();
                body.resize(from + size, 0);
                stream.read_exact(&mut body[from..]).ok()?;
                line(stream)?;
            }
        }
        let length = headers
            .get("content-length")
            .map_or(0, |length| length.parse().expect("a length"));
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Message {
            start_line: start,
            headers,
            body,
        })
    }

    /// A header's value; empty where there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("a status")
    }
}

/// What an app server does with a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Says this.
    Respond(&'static str),
    /// Closes the connection, without a word, after what it says.
    RespondAndClose(&'static str),
    /// Says nothing and keeps the connection open.
    NoResponse,
}

/// Serves.
pub const REPLY_OK: Reply = Reply::Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks");
/// Answers with an error.
pub const REPLY_ERROR: Reply = Reply::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
/// Turns away unseen.
pub const REPLY_OVERLOADED: Reply =
    Reply::Respond("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");

/// A request that came whole to an app server, and the connection on which it came.
pub struct ReceivedRequest {
    /// Which server.
    pub server: String,
    /// The request.
    pub message: Message,
    /// Number of the connection at that server, from 0.
    pub connection: usize,
    /// No earlier attempt of the request was still out.
    pub only_attempt: bool,
    /// The connection.
    pub stream: TcpStream,
}

/// What is to be done by turns; the last of it for ever.
pub type ReplyQueue = Arc<Mutex<Vec<Reply>>>;

/// App servers, which do what they are told.
pub struct Servers {
    received: Receiver<ReceivedRequest>,
    sender: Sender<ReceivedRequest>,
    /// Attempts that were never answered, by the request's id.
    unanswered: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

impl Default for Servers {
    fn default() -> Self {
        Servers::new()
    }
}

impl Servers {
    /// None yet.
    pub fn new() -> Servers {
        let (tell, got) = mpsc::channel();
        Servers {
            received: got,
            sender: tell,
            unanswered: Arc::default(),
        }
    }

    /// Starts one that has its own turns.
    pub fn start(&self, name: &str, does: &[Reply]) -> SocketAddr {
        self.start_with_queue(name, &Arc::new(Mutex::new(does.to_vec())))
    }

    /// Starts one that takes turns with others.
    pub fn start_with_queue(&self, name: &str, turns: &ReplyQueue) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let server = Server {
            name: name.to_owned(),
            turns: Arc::clone(turns),
            sender: self.sender.clone(),
            unanswered: Arc::clone(&self.unanswered),
        };
        thread::spawn(move || {
            for (connection, stream) in listener.incoming().flatten().enumerate() {
                let server = server.clone();
                thread::spawn(move || server.serve(connection, stream));
            }
        });
        address
    }

    /// The next request that has come to any of them.
    pub fn next_request(&self) -> ReceivedRequest {
        let got = self
            .received
            .recv_timeout(TEST_TIMEOUT)
            .expect("a request comes to an app server");
        assert!(
            got.only_attempt,
            "two attempts of a request are out at once"
        );
        got
    }

    /// Drops all requests that have come and were not looked at, and their connections here.
    pub fn discard_requests(&self) {
        self.received.try_iter().for_each(drop);
    }

    /// Fails if a request has come that was not looked at.
    pub fn assert_no_more_requests(&self) {
        assert!(self.received.try_recv().is_err(), "one attempt too many");
    }
}

#[derive(Clone)]
struct Server {
    name: String,
    turns: ReplyQueue,
    sender: Sender<ReceivedRequest>,
    unanswered: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

impl Server {
    fn serve(&self, connection: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        while let Some(message) = Message::read(&mut reader) {
            let turn = {
                let mut turns = self.turns.lock().expect("no panic");
                if turns.len() > 1 {
                    turns.remove(0)
                } else {
                    turns[0].clone()
                }
            };
            let id = message.header("x-request-id").to_owned();
            let mut unanswered = self.unanswered.lock().expect("no panic");
            let earlier = unanswered.iter().filter(|(other, _)| *other == id);
            let alone = earlier.into_iter().all(|(_, stream)| is_closed(stream));
            if matches!(turn, Reply::NoResponse) {
                unanswered.push((id, stream.try_clone().expect("a clone")));
            }
            drop(unanswered);
            let (server, told) = (self.name.clone(), stream.try_clone().expect("a clone"));
            // The test may have ended.
            let _ = self.sender.send(ReceivedRequest {
                server,
                message,
                connection,
                only_attempt: alone,
                stream: told,
            });
            match turn {
                Reply::Respond(words) => stream.write_all(words.as_bytes()).unwrap_or(()),
                Reply::RespondAndClose(words) => {
                    stream.write_all(words.as_bytes()).unwrap_or(());
                    let _ = stream.shutdown(Shutdown::Both);
                }
                Reply::NoResponse => {}
            }
        }
    }
}

/// An agent of discovery. Watches come to the test, which writes to them.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts one.
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (tell, watches) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("it can be");
                let head = Message::read(&mut BufReader::new(stream.try_clone().expect("a clone")));
                let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if let (Some(head), Ok(())) = (head, stream.write_all(chunked)) {
                    let _ = tell.send((head.start_line, stream));
                }
            }
        });
        Discovery { address, watches }
    }

    /// The next watch that the edge node opens: how it was asked for, and where to write.
    pub fn next_watch(&self) -> (String, TcpStream) {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("a watch is opened")
    }
}

/// Writes a piece of a watch, as it is: in one write. Danger: a piece in several writes, of which the machine keeps all but the
/// first here until the other side's has said that it has that.
pub fn write_chunk(watch: &mut TcpStream, piece: &str) {
    let chunk = format!("{:x}\r\n{piece}\r\n", piece.len());
    watch
        .write_all(chunk.as_bytes())
        .expect("the watch is open");
}

/// Writes a line of a watch.
pub fn write_list(watch: &mut TcpStream, list: &str) {
    write_chunk(watch, &format!("{list}\n"));
}

/// Bytes that a connection's other side, a process of this machine, has there and has not read yet (`/proc/net/tcp`).
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let own = stream.local_addr().expect("an address");
    let other = stream.peer_addr().expect("it is connected");
    let shown = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            format!(
                "{:08X}:{:04X}",
                u32::from_ne_bytes(address.ip().octets()),
                address.port()
            )
        }
        SocketAddr::V6(_) => panic!("tests connect by IPv4"),
    };
    let ends = (shown(other), shown(own));
    let table =
        std::fs::read_to_string("/proc/net/tcp").expect("the machine tells of its connections");
    let row = table.lines().find_map(|row| {
        let mut fields = row.split_whitespace().skip(1);
        let row_ends = (fields.next()?.to_owned(), fields.next()?.to_owned());
        (row_ends == ends).then(|| fields.nth(1).map(str::to_owned))?
    });
    let queues = row.expect("the other side is of this machine");
    let (_, unread) = queues.split_once(':').expect("two queues");
    usize::from_str_radix(unread, 16).expect("a number")
}

/// Waits until a connection's other side has so many bytes there that it has not read.
pub fn wait_for_unread(stream: &TcpStream, bytes: usize) {
    let begun = Instant::now();
    while unread_bytes(stream) < bytes {
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "{bytes} bytes come to the other side's machine"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// An entry of the list, in discovery's form.
pub fn host_json(name: &str, dial: SocketAddr, block: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list in discovery's form.
pub fn list_json(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}

const SETTINGS: &str = r#"{"balancers":2,"me":0,"zone":"a","zones":["a"],"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"probes":false,"mayTell":true,"secondCopies":false,"sendCap":4,"connIdleUs":15000000,"connectTimeoutUs":250000},"classes":[{"name":"read","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":3.0,"repeat":"read_like"},{"name":"submit","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":2.0,"repeat":"idempotency_key","group":"cell","windowUs":60000000},{"name":"pay","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":9.0,"repeat":"non_idempotent"}],"packages":[{"name":"p","rate":1000.0,"storeSize":1000.0,"price":1.0},{"name":"tiny","rate":0.5,"storeSize":1.0,"price":1.0}],"rules":{"coldFrom":0.2,"coldUs":1000000,"fallMultiple":3.0,"overloadForUs":1000000},"extra":{"peerInPerS":60.0,"maxUnits":1}}"#;

/// A file of a test, which goes with it.
pub struct TempFile(pub PathBuf);

impl TempFile {
    /// Writes one; the tag names it among those of this process.
    pub fn new(tag: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("saffronpaddle-{}-{tag}", std::process::id()));
        std::fs::write(&path, text).expect("it is written");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// An edge node that runs, with its peers' and its own datagrams' addresses.
pub struct Node {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Where the peer's datagrams come in.
    pub peer_socket: UdpSocket,
    /// Where the node's come in.
    pub datagram_address: SocketAddr,
    config: PathBuf,
    /// Lines of its log.
    log: Receiver<String>,
}

/// Waits until a node's process listens: where, and the lines of its log from then on.
fn listening(mut child: Child) -> (Child, SocketAddr, Receiver<String>) {
    let mut log = BufReader::new(child.stderr.take().expect("piped"));
    let (tell, lines) = mpsc::channel();
    let address = loop {
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let listens = line.contains(": listening on ");
        let address = line
            .trim_end()
            .rsplit(' ')
            .next()
            .and_then(|word| word.parse().ok())
            .filter(|_| listens);
        if let Some(address) = address {
            break address;
        }
        assert!(
            log_message(&line).starts_with("hand-over: "),
            "it listens: {line}"
        );
        let _ = tell.send(line.trim_end().to_owned());
    };
    // Read on when nobody listens any more: a full pipe would hold the node up.
    thread::spawn(move || {
        log.lines()
            .map_while(Result::ok)
            .for_each(|line| _ = tell.send(line));
    });
    (child, address, lines)
}

/// A line of a log without the level that it begins with.
fn log_message(line: &str) -> &str {
    let line = line.trim_start();
    ["INFO ", "WARN ", "ERROR "]
        .iter()
        .find_map(|level| line.strip_prefix(level))
        .unwrap_or(line)
}

/// The edge node's program, which is built beside the tests of its package.
pub fn program() -> std::path::PathBuf {
    let test = std::env::current_exe().expect("this test's program");
    let folder = test
        .ancestors()
        .nth(2)
        .expect("it stands in the folder of tests");
    folder.join("saffronpaddle")
}

/// Starts the program with a configuration; it may fail.
pub fn start(tag: &str, config: &str) -> (Child, PathBuf) {
    start_with(tag, config, |_| {})
}

fn start_with(tag: &str, config: &str, change: impl FnOnce(&mut Command)) -> (Child, PathBuf) {
    let file = format!("saffronpaddle-{}-{tag}.json", std::process::id());
    let path = std::env::temp_dir().join(file);
    std::fs::write(&path, config).expect("the configuration is written");
    let mut command = Command::new(program());
    for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
        command.env_remove(key);
    }
    command.env("LB_CONFIG", &path).stderr(Stdio::piped());
    change(&mut command);
    (command.spawn().expect("it starts"), path)
}

/// The configuration of a node that knows these app servers.
fn configuration(
    discovery: SocketAddr,
    hosts: &[String],
    sockets: usize,
    datagrams: SocketAddr,
    peer_address: SocketAddr,
) -> String {
    let known = if hosts.is_empty() {
        String::new()
    } else {
        format!(r#""known":{},"#, list_json(1, true, hosts))
    };
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"peer_listen":"{datagrams}","peers":["{datagrams}","{peer_address}"],{known}"settings":{SETTINGS}}}"#
    )
}

/// Starts a node that can't go on: how it ended, and what it said.
pub fn start_expecting_failure(
    tag: &str,
    sockets: usize,
    change: impl FnOnce(&mut Command),
) -> (ExitStatus, String) {
    let nowhere = reserve_address().expect("a port");
    let (child, config) = start_with(
        tag,
        &configuration(
            nowhere,
            &[],
            sockets,
            reserve_address().expect("a port"),
            nowhere,
        ),
        change,
    );
    let output = child.wait_with_output().expect("it ends");
    let _ = std::fs::remove_file(config);
    (
        output.status,
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

impl Node {
    /// Starts one that knows these app servers.
    pub fn start(tag: &str, discovery: SocketAddr, hosts: &[String]) -> Node {
        Node::with_sockets(tag, discovery, hosts, 1024)
    }

    /// The same with so many descriptors.
    pub fn with_sockets(
        tag: &str,
        discovery: SocketAddr,
        hosts: &[String],
        sockets: usize,
    ) -> Node {
        Node::start_with_command(tag, discovery, hosts, sockets, |_| {})
    }

    /// The same, with the command changed before it is run.
    pub fn start_with_command(
        tag: &str,
        discovery: SocketAddr,
        hosts: &[String],
        sockets: usize,
        change: impl FnOnce(&mut Command),
    ) -> Node {
        Node::start_with_config(tag, discovery, hosts, sockets, |text| text, change)
    }

    /// The same with another configuration.
    pub fn start_with_config(
        tag: &str,
        discovery: SocketAddr,
        hosts: &[String],
        sockets: usize,
        alter: impl FnOnce(String) -> String,
        change: impl FnOnce(&mut Command),
    ) -> Node {
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port");
        peer.set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let datagrams = reserve_address().expect("a port");
        let peer_address = peer.local_addr().expect("an address");
        let config = configuration(discovery, hosts, sockets, datagrams, peer_address);
        let (child, config) = start_with(tag, &alter(config), change);
        let (child, address, log) = listening(child);
        Node {
            child,
            address,
            peer_socket: peer,
            datagram_address: datagrams,
            config,
            log,
        }
    }

    /// Another process with the same configuration, which takes its place as this one's successor.
    #[must_use]
    pub fn successor(&self, change: impl FnOnce(&mut Command)) -> Node {
        let text = std::fs::read_to_string(&self.config).expect("the configuration is there");
        let tag = format!("{}-successor", self.child.id());
        let (child, config) = start_with(&tag, &text, change);
        let (child, address, log) = listening(child);
        let peer = self.peer_socket.try_clone().expect("a clone");
        Node {
            child,
            address,
            peer_socket: peer,
            datagram_address: self.datagram_address,
            config,
            log,
        }
    }

    /// A client's connection to it.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the edge node accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let reader = BufReader::new(stream.try_clone().expect("a clone"));
        Client { stream, reader }
    }

    /// Tells it to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Puts another text in place of its configuration, then has it read again; comes back once that is done.
    pub fn reload(&self, change: impl FnOnce(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the configuration is there");
        let new = self.config.with_extension("new");
        std::fs::write(&new, change(text)).expect("the configuration is written");
        std::fs::rename(new, &self.config).expect("the configuration is replaced");
        self.signal("-HUP");
        // Two words that overlap are one more reload than a test expects.
        let done = ["reloaded", "the old configuration stays", "no reload"];
        loop {
            let line = self.log_line();
            if done.iter().any(|word| line.starts_with(word)) {
                return;
            }
        }
    }

    /// Has it stand still, and comes back once all of its threads do. Danger: a signal that was sent and has not got there.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let tasks = format!("/proc/{}/task", self.child.id());
        let stands = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| rest.starts_with('T'))
        };
        let begun = Instant::now();
        while !std::fs::read_dir(&tasks)
            .expect("it runs")
            .flatten()
            .all(stands)
        {
            assert!(begun.elapsed() < TEST_TIMEOUT, "it stands still");
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends it a signal, as `kill` names it.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
    }

    /// Its process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The next line of its log, without its level.
    pub fn log_line(&self) -> String {
        let line = self.log.recv_timeout(TEST_TIMEOUT);
        log_message(&line.expect("a line of the log")).to_owned()
    }

    /// The lines of its log that were written and not read yet.
    pub fn drain_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Whether it runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("its state is known").is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A free address, for a node that is told it.
pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("an address")
}

/// Calls a node at its operators' address; all that it answers.
pub fn admin_request(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("it is called");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    stream.write_all(line.as_bytes()).expect("written");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer
}

/// A figure of an answer to `INFO`, by its name and labels.
pub fn metric_value(answer: &str, name: &str) -> u64 {
    let value = answer
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_else(|| panic!("{name} in {answer}"))
}

/// An edge node that knows one app server, which does this.
pub fn start_with_one_server(tag: &str, does: &[Reply]) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", does);
    let node = Node::start(
        tag,
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    (servers, discovery, node)
}

/// A client's connection.
pub struct Client {
    /// The connection.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A request of a class, as its method goes.
pub fn request(id: &str, class: &str, deadline: &str) -> String {
    let (method, more) = match class {
        "read" => ("GET", ""),
        "submit" => ("POST", "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "POST" { "time" } else { "" };
    format!(
        "{method} /{class}/00000000b4d65521?game=7 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: p\r\nX-Deadline: {deadline}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\
         {more}\r\n{body}"
    )
}

impl Client {
    /// Writes.
    pub fn write(&mut self, words: &str) {
        self.stream
            .write_all(words.as_bytes())
            .expect("the connection is open");
    }

    /// The next answer; `None` where the connection ended first.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes a request and reads its answer.
    pub fn exchange(&mut self, words: &str) -> Message {
        self.write(words);
        self.read_response().expect("a whole answer")
    }

    /// Comes back once the edge node has closed the connection; nothing more may have come on it.
    pub fn expect_close(&mut self) {
        let mut rest = Vec::new();
        let read = self.reader.read_to_end(&mut rest);
        assert!(
            read.is_ok() && rest.is_empty(),
            "{read:?}: {:?}",
            String::from_utf8_lossy(&rest)
        );
    }
}

/// Waits until the edge node has closed a connection to an app server.
pub fn wait_until_closed(got: &ReceivedRequest) -> bool {
    got.stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a time-out");
    matches!(got.stream.peek(&mut [0]), Ok(0) | Err(_))
}

/// Whether the edge node has closed a connection to an app server.
pub fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("a mode");
    let seen = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("a mode");
    matches!(seen, Ok(0)) || seen.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}
