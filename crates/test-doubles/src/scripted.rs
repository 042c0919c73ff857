//! Test doubles that follow a script step by step: app servers, discovery, clients, and one edge node as a process.
//!
//! They are made for tests and panic on any failure.

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

/// Upper bound of every wait; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_mins(1);

/// An HTTP/1.1 message with a body of known length or in chunks.
#[derive(Clone, Debug)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with names in lower case.
    pub headers: HashMap<String, String>,
    /// The body, without the framing of chunks.
    pub body: Vec<u8>,
}

impl Message {
    /// Reads a message; `None` at the end of the connection or if the message is truncated.
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
        let length = headers.get("content-length").map_or(0, |length| {
            length.parse().expect("the content length is a number")
        });
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        Some(Message {
            start_line: start,
            headers,
            body,
        })
    }

    /// Value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.start_line
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .expect("the start line has a status")
    }
}

/// How an app server responds to a request.
#[derive(Clone, Debug)]
pub enum Reply {
    /// Writes these bytes.
    Respond(&'static str),
    /// Writes these bytes and closes the connection.
    RespondAndClose(&'static str),
    /// Writes nothing and keeps the connection open.
    NoResponse,
}

/// Responds with status 200 and a body, and keeps the connection open.
pub const REPLY_OK: Reply = Reply::Respond("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks");
/// Responds with status 500 and keeps the connection open.
pub const REPLY_ERROR: Reply = Reply::Respond("HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n");
/// Responds with status 503 and the header that marks the request as not run, and keeps the connection open.
pub const REPLY_OVERLOADED: Reply =
    Reply::Respond("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");

/// A request that an app server received in full, with its connection.
pub struct ReceivedRequest {
    /// Name of the server.
    pub server: String,
    /// The request as the server read it.
    pub message: Message,
    /// Number of the connection at that server, from 0.
    pub connection: usize,
    /// Whether no earlier attempt of the request was still in flight.
    pub only_attempt: bool,
    /// The connection on which the request arrived; the test writes the response to it.
    pub stream: TcpStream,
}

/// Replies in order; the last one repeats.
pub type ReplyQueue = Arc<Mutex<Vec<Reply>>>;

/// Scripted app servers, which report the requests that they receive.
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
    /// Creates the double without any servers.
    pub fn new() -> Servers {
        let (sender, received) = mpsc::channel();
        Servers {
            received,
            sender,
            unanswered: Arc::default(),
        }
    }

    /// Starts a server with its own replies and returns its address.
    pub fn start(&self, name: &str, replies: &[Reply]) -> SocketAddr {
        self.start_with_queue(name, &Arc::new(Mutex::new(replies.to_vec())))
    }

    /// Starts a server that takes its replies from a queue shared with others, and returns its address.
    pub fn start_with_queue(&self, name: &str, reply_queue: &ReplyQueue) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let server = Server {
            name: name.to_owned(),
            reply_queue: Arc::clone(reply_queue),
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

    /// The next request that any of the servers has received.
    pub fn next_request(&self) -> ReceivedRequest {
        let received = self
            .received
            .recv_timeout(TEST_TIMEOUT)
            .expect("an app server receives a request");
        assert!(
            received.only_attempt,
            "two attempts of a request are in flight at once"
        );
        received
    }

    /// Discards all requests that were received and not fetched yet, and closes this side's handles of their
    /// connections.
    pub fn discard_requests(&self) {
        self.received.try_iter().for_each(drop);
    }

    /// Panics if a request was received and not fetched.
    pub fn assert_no_more_requests(&self) {
        assert!(
            self.received.try_recv().is_err(),
            "an app server received an unexpected request"
        );
    }
}

/// A scripted app server.
#[derive(Clone)]
struct Server {
    name: String,
    reply_queue: ReplyQueue,
    sender: Sender<ReceivedRequest>,
    unanswered: Arc<Mutex<Vec<(String, TcpStream)>>>,
}

impl Server {
    /// Reports each request on a connection to the test, and replies to it.
    fn serve(&self, connection: usize, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while let Some(message) = Message::read(&mut reader) {
            let reply = {
                let mut reply_queue = self.reply_queue.lock().expect("the lock is not poisoned");
                if reply_queue.len() > 1 {
                    reply_queue.remove(0)
                } else {
                    reply_queue[0].clone()
                }
            };
            let id = message.header("x-request-id").to_owned();
            let mut unanswered = self.unanswered.lock().expect("the lock is not poisoned");
            let earlier = unanswered.iter().filter(|(other, _)| *other == id);
            let only_attempt = earlier.into_iter().all(|(_, stream)| is_closed(stream));
            if matches!(reply, Reply::NoResponse) {
                unanswered.push((id, stream.try_clone().expect("the socket can be cloned")));
            }
            drop(unanswered);
            let (server, handle) = (
                self.name.clone(),
                stream.try_clone().expect("the socket can be cloned"),
            );
            // The test may have ended.
            let _ = self.sender.send(ReceivedRequest {
                server,
                message,
                connection,
                only_attempt,
                stream: handle,
            });
            match reply {
                Reply::Respond(text) => stream.write_all(text.as_bytes()).unwrap_or(()),
                Reply::RespondAndClose(text) => {
                    stream.write_all(text.as_bytes()).unwrap_or(());
                    let _ = stream.shutdown(Shutdown::Both);
                }
                Reply::NoResponse => {}
            }
        }
    }
}

/// A discovery agent that hands each watch to the test, which writes to it.
pub struct Discovery {
    /// Address of the agent.
    pub address: SocketAddr,
    watches: Receiver<(String, TcpStream)>,
}

impl Discovery {
    /// Starts an agent.
    pub fn start() -> Discovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the socket has an address");
        let (sender, watches) = mpsc::channel();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                stream.set_nodelay(true).expect("TCP_NODELAY can be set");
                let head = Message::read(&mut BufReader::new(
                    stream.try_clone().expect("the socket can be cloned"),
                ));
                let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                if let (Some(head), Ok(())) = (head, stream.write_all(chunked)) {
                    let _ = sender.send((head.start_line, stream));
                }
            }
        });
        Discovery { address, watches }
    }

    /// The next watch that the edge node opens: its request line, and the connection to write to.
    pub fn next_watch(&self) -> (String, TcpStream) {
        self.watches
            .recv_timeout(TEST_TIMEOUT)
            .expect("the node opens a watch")
    }
}

/// Writes a chunk of a watch in a single write. With several writes the kernel would hold back all but the first
/// until the other side has acknowledged it.
pub fn write_chunk(watch: &mut TcpStream, text: &str) {
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    watch
        .write_all(chunk.as_bytes())
        .expect("the watch is open");
}

/// Writes a line of a watch.
pub fn write_list(watch: &mut TcpStream, list: &str) {
    write_chunk(watch, &format!("{list}\n"));
}

/// Bytes that the process on the other side of the connection, on this machine, has received and not read yet
/// (`/proc/net/tcp`).
pub fn unread_bytes(stream: &TcpStream) -> usize {
    let own = stream.local_addr().expect("the socket has an address");
    let other = stream.peer_addr().expect("the stream is connected");
    let hex_address = |address: SocketAddr| match address {
        SocketAddr::V4(address) => {
            format!(
                "{:08X}:{:04X}",
                u32::from_ne_bytes(address.ip().octets()),
                address.port()
            )
        }
        SocketAddr::V6(_) => panic!("tests connect by IPv4"),
    };
    let addresses = (hex_address(other), hex_address(own));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("/proc/net/tcp can be read");
    let row = table.lines().find_map(|row| {
        let mut fields = row.split_whitespace().skip(1);
        let row_addresses = (fields.next()?.to_owned(), fields.next()?.to_owned());
        (row_addresses == addresses).then(|| fields.nth(1).map(str::to_owned))?
    });
    let queues = row.expect("the other side is on this machine");
    let (_, unread) = queues
        .split_once(':')
        .expect("the row has two queue lengths");
    usize::from_str_radix(unread, 16).expect("the queue length is a hexadecimal number")
}

/// Waits until the other side of the connection has at least this many unread bytes.
pub fn wait_for_unread(stream: &TcpStream, bytes: usize) {
    let started = Instant::now();
    while unread_bytes(stream) < bytes {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the other side has fewer than {bytes} unread bytes after {TEST_TIMEOUT:?}"
        );
        thread::sleep(Duration::from_millis(1));
    }
}

/// An entry of the list in discovery's format.
pub fn host_json(name: &str, dial: SocketAddr, block: u32, health: &str) -> String {
    format!(
        r#"{{"host":"{name}","dial":"{dial}","site":"a","class":"k","block":{block},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// A list in discovery's format.
pub fn list_json(seq: u64, whole: bool, hosts: &[String]) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#,
        hosts.join(",")
    )
}

/// Settings of node 0 of a fleet of two nodes, in the platform's JSON.
const SETTINGS: &str = r#"{"balancers":2,"me":0,"zone":"a","zones":["a"],"periodUs":2000,"discovery":"automatic","ceilings":{"cancel":true,"probes":false,"mayTell":true,"secondCopies":false,"sendCap":4,"connIdleUs":15000000,"connectTimeoutUs":250000},"classes":[{"name":"read","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":3.0,"repeat":"read_like"},{"name":"submit","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":2.0,"repeat":"idempotency_key","group":"cell","windowUs":60000000},{"name":"pay","aimUs":400000,"deadlineUs":30000000,"lateValue":0.2,"worth":9.0,"repeat":"non_idempotent"}],"packages":[{"name":"p","rate":1000.0,"storeSize":1000.0,"price":1.0},{"name":"tiny","rate":0.5,"storeSize":1.0,"price":1.0}],"rules":{"coldFrom":0.2,"coldUs":1000000,"fallMultiple":3.0,"overloadForUs":1000000},"extra":{"peerInPerS":60.0,"maxUnits":1}}"#;

/// A temporary file, which is removed when this value is dropped.
pub struct TempFile(pub PathBuf);

impl TempFile {
    /// Writes a file; the tag distinguishes it from others of this process.
    pub fn new(tag: &str, text: &str) -> TempFile {
        let path = std::env::temp_dir().join(format!("saffronpaddle-{}-{tag}", std::process::id()));
        std::fs::write(&path, text).expect("the file can be written");
        TempFile(path)
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// A running edge node, with the address of its datagrams and the socket of its only peer.
pub struct Node {
    child: Child,
    /// Address for clients.
    pub address: SocketAddr,
    /// Socket that receives the datagrams for the peer.
    pub peer_socket: UdpSocket,
    /// Address at which the node receives datagrams.
    pub datagram_address: SocketAddr,
    config: PathBuf,
    /// Lines of the node's log.
    log: Receiver<String>,
}

/// Waits until a node's process listens. Returns its address and the lines of its log from then on.
fn wait_until_listening(mut child: Child) -> (Child, SocketAddr, Receiver<String>) {
    let mut log = BufReader::new(child.stderr.take().expect("standard error is piped"));
    let (sender, lines) = mpsc::channel();
    let address = loop {
        let mut line = String::new();
        log.read_line(&mut line)
            .expect("the node writes a log line");
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
            "unexpected log line before the node listens: {line}"
        );
        let _ = sender.send(line.trim_end().to_owned());
    };
    // Keeps reading after the receiver is dropped: a full pipe would block the node.
    thread::spawn(move || {
        log.lines()
            .map_while(Result::ok)
            .for_each(|line| _ = sender.send(line));
    });
    (child, address, lines)
}

/// A log line without its level.
fn log_message(line: &str) -> &str {
    let line = line.trim_start();
    ["INFO ", "WARN ", "ERROR "]
        .iter()
        .find_map(|level| line.strip_prefix(level))
        .unwrap_or(line)
}

/// Path of the edge node's program, which is built next to the tests of its package.
pub fn program() -> std::path::PathBuf {
    let test = std::env::current_exe().expect("the path of the test's program is known");
    let folder = test
        .ancestors()
        .nth(2)
        .expect("the test's program is two levels below the build folder");
    folder.join("saffronpaddle")
}

/// Starts the program with a configuration, with which it may exit at once. Returns the process and the path of its
/// configuration file.
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
    (command.spawn().expect("the node's program starts"), path)
}

/// The configuration of a node whose initial list holds these app servers.
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

/// Starts a node that can't run. Returns its exit status and what it wrote to standard error.
pub fn start_expecting_failure(
    tag: &str,
    sockets: usize,
    change: impl FnOnce(&mut Command),
) -> (ExitStatus, String) {
    let unused = reserve_address().expect("an address is free");
    let (child, config) = start_with(
        tag,
        &configuration(
            unused,
            &[],
            sockets,
            reserve_address().expect("an address is free"),
            unused,
        ),
        change,
    );
    let output = child.wait_with_output().expect("the process exits");
    let _ = std::fs::remove_file(config);
    (
        output.status,
        String::from_utf8_lossy(&output.stderr).into_owned(),
    )
}

impl Node {
    /// Starts a node whose initial list holds these app servers.
    pub fn start(tag: &str, discovery: SocketAddr, hosts: &[String]) -> Node {
        Node::with_sockets(tag, discovery, hosts, 1024)
    }

    /// Starts a node with a limit of descriptors.
    pub fn with_sockets(
        tag: &str,
        discovery: SocketAddr,
        hosts: &[String],
        sockets: usize,
    ) -> Node {
        Node::start_with_command(tag, discovery, hosts, sockets, |_| {})
    }

    /// Starts a node with changes to its command.
    pub fn start_with_command(
        tag: &str,
        discovery: SocketAddr,
        hosts: &[String],
        sockets: usize,
        change: impl FnOnce(&mut Command),
    ) -> Node {
        Node::start_with_config(tag, discovery, hosts, sockets, |text| text, change)
    }

    /// Starts a node with changes to its configuration and its command.
    pub fn start_with_config(
        tag: &str,
        discovery: SocketAddr,
        hosts: &[String],
        sockets: usize,
        change_config: impl FnOnce(String) -> String,
        change_command: impl FnOnce(&mut Command),
    ) -> Node {
        let peer = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
        peer.set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the time-out can be set");
        let datagrams = reserve_address().expect("an address is free");
        let peer_address = peer.local_addr().expect("the socket has an address");
        let config = configuration(discovery, hosts, sockets, datagrams, peer_address);
        let (child, config) = start_with(tag, &change_config(config), change_command);
        let (child, address, log) = wait_until_listening(child);
        Node {
            child,
            address,
            peer_socket: peer,
            datagram_address: datagrams,
            config,
            log,
        }
    }

    /// Starts another process with the same configuration, as the successor of this one.
    #[must_use]
    pub fn successor(&self, change: impl FnOnce(&mut Command)) -> Node {
        let text = std::fs::read_to_string(&self.config).expect("the configuration is there");
        let tag = format!("{}-successor", self.child.id());
        let (child, config) = start_with(&tag, &text, change);
        let (child, address, log) = wait_until_listening(child);
        let peer = self
            .peer_socket
            .try_clone()
            .expect("the socket can be cloned");
        Node {
            child,
            address,
            peer_socket: peer,
            datagram_address: self.datagram_address,
            config,
            log,
        }
    }

    /// Opens a client connection to the node.
    pub fn connect(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the edge node accepts");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the time-out can be set");
        let reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        Client { stream, reader }
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and has the node reload it. Returns once the reload has ended.
    pub fn reload(&self, change: impl FnOnce(String) -> String) {
        let text = std::fs::read_to_string(&self.config).expect("the configuration is there");
        let new_path = self.config.with_extension("new");
        std::fs::write(&new_path, change(text)).expect("the configuration is written");
        std::fs::rename(new_path, &self.config).expect("the configuration is replaced");
        self.signal("-HUP");
        // Two overlapping reload signals cause one more reload than a test expects.
        let outcomes = ["reloaded", "the old configuration stays", "no reload"];
        loop {
            let line = self.log_line();
            if outcomes.iter().any(|word| line.starts_with(word)) {
                return;
            }
        }
    }

    /// Suspends the process. Returns once all of its threads have stopped: the signal takes effect only after it was
    /// sent.
    pub fn suspend(&self) {
        self.signal("-STOP");
        self.wait_until_stopped();
    }

    /// Returns once all threads of the process have stopped, as after SIGSTOP.
    pub fn wait_until_stopped(&self) {
        let tasks = format!("/proc/{}/task", self.child.id());
        let is_stopped = |task: std::fs::DirEntry| {
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            stat.rsplit_once(") ")
                .is_some_and(|(_, rest)| rest.starts_with('T'))
        };
        let started = Instant::now();
        while !std::fs::read_dir(&tasks)
            .expect("the process exists")
            .flatten()
            .all(is_stopped)
        {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "not all threads of the node are stopped after {TEST_TIMEOUT:?}"
            );
            thread::sleep(Duration::from_millis(1));
        }
    }

    /// Sends a signal, named as for `kill`.
    pub fn signal(&self, name: &str) {
        let kill = Command::new("kill")
            .args([name, &self.child.id().to_string()])
            .status();
        assert!(
            kill.expect("the kill program runs").success(),
            "sending the signal {name} failed"
        );
    }

    /// The most memory that the process has used so far, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))
            .expect("the node is running");
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .expect("the status has the peak memory");
        peak.trim()
            .trim_end_matches("kB")
            .trim()
            .parse()
            .expect("the peak memory is a number of kB")
    }

    /// Process id of the node.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The next line of the log, without its level.
    pub fn log_line(&self) -> String {
        let line = self.log.recv_timeout(TEST_TIMEOUT);
        log_message(&line.expect("the node writes a log line")).to_owned()
    }

    /// The log lines written and not read yet.
    pub fn drain_log(&self) -> Vec<String> {
        self.log.try_iter().collect()
    }

    /// Waits for the process to exit.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process exits")
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        self.child
            .try_wait()
            .expect("the process's state is known")
            .is_none()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

/// A free address for a node that gets its address from the configuration. No client of this machine is assigned it
/// before the node binds it.
pub fn free_address() -> SocketAddr {
    reserve_address().expect("an address is free")
}

/// Sends a command to a node's admin address and returns the complete answer.
pub fn admin_request(address: SocketAddr, line: &str) -> String {
    let mut stream = TcpStream::connect(address).expect("the admin address accepts");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the time-out can be set");
    stream
        .write_all(line.as_bytes())
        .expect("the command can be written");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("the answer can be read");
    answer
}

/// The value of a metric in the answer to `INFO`, by its name with labels.
pub fn metric_value(answer: &str, name: &str) -> u64 {
    let value = answer
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok());
    value.unwrap_or_else(|| panic!("no metric {name} in {answer}"))
}

/// Starts an edge node and one app server with these replies.
pub fn start_with_one_server(tag: &str, replies: &[Reply]) -> (Servers, Discovery, Node) {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", replies);
    let node = Node::start(
        tag,
        discovery.address,
        &[host_json("s-1", dial, 1, "ready")],
    );
    (servers, discovery, node)
}

/// A client's connection to the edge node.
pub struct Client {
    /// The connection; responses are read through a buffer.
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

/// A request of a class, with the method and body that the class takes.
pub fn request(id: &str, class: &str, deadline: &str) -> String {
    let (method, extra_headers) = match class {
        "read" => ("GET", ""),
        "submit" => ("POST", "Idempotency-Key: 5c0f6e1a\r\nContent-Length: 4\r\n"),
        _ => ("POST", "Content-Length: 4\r\n"),
    };
    let body = if method == "POST" { "time" } else { "" };
    format!(
        "{method} /{class}/00000000b4d65521?game=7 HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {id}\r\n\
         X-Class: {class}\r\nX-Tier: p\r\nX-Deadline: {deadline}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\
         {extra_headers}\r\n{body}"
    )
}

impl Client {
    /// Sends text. Panics if the connection is closed.
    pub fn write(&mut self, text: &str) {
        self.stream
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    /// Reads the next response; `None` if the connection ends first.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Writes a request and reads its response.
    pub fn exchange(&mut self, text: &str) -> Message {
        self.write(text);
        self.read_response()
            .expect("the node sends a complete response")
    }

    /// Waits until the edge node has closed the connection, and panics if anything more arrives on it.
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

/// Waits up to [`TEST_TIMEOUT`] for the edge node to close a connection to an app server. Returns false only if it
/// sends data first: a time-out counts as closed.
pub fn wait_until_closed(received: &ReceivedRequest) -> bool {
    received
        .stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the time-out can be set");
    matches!(received.stream.peek(&mut [0]), Ok(0) | Err(_))
}

/// Whether the edge node has closed a connection to an app server.
pub fn is_closed(stream: &TcpStream) -> bool {
    stream.set_nonblocking(true).expect("the mode can be set");
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false).expect("the mode can be set");
    matches!(peeked, Ok(0))
        || peeked.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
}
