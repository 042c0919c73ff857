//! One edge node as a process, with its configuration and its log.

use super::{list_json, Client, TEST_TIMEOUT};
use crate::ports::reserve_address;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, Receiver};
use std::thread;
use std::time::{Duration, Instant};

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
