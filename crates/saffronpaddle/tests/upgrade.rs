//! Hot restarts: a second process of a node (the child) is started while the first (the parent) still runs and takes
//! over from it.

use command_fds::{CommandFdExt, FdMapping};
use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The listener that the platform holds, and the folder in which the processes of one node find each other's socket.
struct Platform {
    listener: TcpListener,
    folder: PathBuf,
}

impl Platform {
    fn new(tag: &str) -> Platform {
        let folder = std::env::temp_dir().join(format!("sp-{}-{tag}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").expect("a loopback port is free"),
            folder,
        }
    }

    /// Passes the listener, the folder and the admin address on to a process.
    fn configure(&self, command: &mut Command, admin: SocketAddr) {
        let parent_fd = OwnedFd::from(self.listener.try_clone().expect("the socket can be cloned"));
        command
            .fd_mappings(vec![FdMapping {
                parent_fd,
                child_fd: 3,
            }])
            .expect("a single mapping has no collision");
        command
            .env("LB_LISTEN_FD", "3")
            .env("TMPDIR", &self.folder)
            .env("LB_ADMIN_ADDR", admin.to_string());
    }

    /// Waits until the node has opened the socket over which its processes communicate, and returns its path.
    fn wait_for_hand_over_socket(&self) -> PathBuf {
        let started = Instant::now();
        loop {
            let files = std::fs::read_dir(&self.folder)
                .expect("the folder exists")
                .flatten()
                .map(|file| file.path());
            let found = files
                .filter(|path| path.extension().is_none())
                .find(|path| path.is_file() || is_socket(path));
            if let Some(path) = found {
                return path;
            }
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "the node opened no hand-over socket within {TEST_TIMEOUT:?}"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

fn is_socket(path: &Path) -> bool {
    use std::os::unix::fs::FileTypeExt;
    std::fs::metadata(path).is_ok_and(|file| file.file_type().is_socket())
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A node's server, discovery service and platform.
struct Environment {
    servers: Servers,
    discovery: Discovery,
    hosts: Vec<String>,
    platform: Platform,
}

impl Environment {
    fn new(tag: &str, replies: &[Reply]) -> Environment {
        let (servers, discovery) = (Servers::new(), Discovery::start());
        let dial = servers.start("s-1", replies);
        Environment {
            servers,
            discovery,
            hosts: vec![host_json("s-1", dial, 1, "ready")],
            platform: Platform::new(tag),
        }
    }

    /// Starts the first process of the node.
    fn start_first(&self, tag: &str, admin: SocketAddr) -> Node {
        Node::start_with_command(tag, self.discovery.address, &self.hosts, 1024, |command| {
            self.platform.configure(command, admin);
        })
    }

    /// Starts a process that takes over from the parent.
    fn start_child(&self, parent: &Node, admin: SocketAddr) -> Node {
        parent.successor(|command| self.platform.configure(command, admin))
    }
}

fn wait_until_ready(admin: SocketAddr) {
    let started = Instant::now();
    while !admin_request(admin, "PING\n").starts_with("SUCCESS") {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the process did not become ready within {TEST_TIMEOUT:?}"
        );
    }
}

/// Reads a node's log up to and including a line that contains the text.
fn wait_for_log_line(node: &Node, text: &str) {
    while !node.log_line().contains(text) {}
}

/// Clients send requests while three processes in turn take over the node: no connection is refused, each request is
/// answered by the process that accepted it, and only the old processes exit.
#[test]
fn a_hot_restart_refuses_no_connection_and_answers_every_request() {
    let environment = Environment::new("inplace", &[REPLY_OK]);
    let (mut admin, stop) = (free_address(), std::sync::atomic::AtomicBool::new(false));
    let mut node = environment.start_first("inplace", admin);
    let address = node.address;
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut sent = 0;
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                        let stream = std::net::TcpStream::connect(address)
                            .expect("the listener accepts connections");
                        stream
                            .set_read_timeout(Some(TEST_TIMEOUT))
                            .expect("the read time-out is set");
                        let mut reader = std::io::BufReader::new(
                            stream.try_clone().expect("the socket can be cloned"),
                        );
                        // Five requests on each connection, as clients keep them, or fewer after `Connection: close`.
                        for _ in 0..5 {
                            sent += 1;
                            let text = request(&format!("c{client}-{sent}"), "read", "20000m");
                            (&stream)
                                .write_all(text.as_bytes())
                                .expect("the node reads the request");
                            let answer =
                                Message::read(&mut reader).expect("each request is answered");
                            assert!([200, 503].contains(&answer.status()), "{}", answer.status());
                            if answer.header("connection") == "close" {
                                break;
                            }
                        }
                    }
                    sent
                })
            })
            .collect();
        for _ in 0..3 {
            let child_admin = free_address();
            let child = environment.start_child(&node, child_admin);
            wait_until_ready(child_admin);
            assert!(
                admin_request(admin, "PING\n").starts_with("SUCCESS"),
                "the parent no longer serves"
            );
            node.terminate();
            assert!(node.wait().success());
            (node, admin) = (child, child_admin);
        }
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        let sent: i32 = clients
            .into_iter()
            .map(|client| client.join().expect("no client failed"))
            .sum();
        assert!(sent > 100, "only {sent} requests were sent");
    });
    assert!(node.is_running() && environment.discovery.address.port() > 0);
    let _ = environment.servers.next_request();
}

/// The child has the parent's list of servers, although the discovery service does not answer it.
#[test]
fn a_child_starts_with_the_state_of_its_parent() {
    let environment = Environment::new("knows", &[REPLY_OK]);
    let (first, second) = (free_address(), free_address());
    let parent = environment.start_first("knows", first);
    let dial = environment.servers.start("s-2", &[REPLY_OK]);
    let (_, mut watch) = environment.discovery.next_watch();
    write_list(
        &mut watch,
        &list_json(2, false, &[host_json("s-2", dial, 1, "ready")]),
    );
    let started = Instant::now();
    while metric_value(&admin_request(first, "INFO\n"), "lb_registry_entries") != 2 {
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "the parent did not apply the list within {TEST_TIMEOUT:?}"
        );
    }
    let child = environment.start_child(&parent, second);
    wait_until_ready(second);
    // The child's configuration has one server; the counters start at zero.
    let metrics = admin_request(second, "INFO\n");
    assert_eq!(
        (
            metric_value(&metrics, "lb_registry_entries"),
            metric_value(&metrics, "lb_relayed")
        ),
        (2, 0)
    );
    drop(child);
}

/// The child is killed after it became ready. The parent serves, exchanges messages with its peers, and hands over to
/// the next child.
#[test]
fn a_parent_continues_after_its_child_was_killed() {
    let environment = Environment::new("dies", &[REPLY_OK]);
    let mut parent = environment.start_first("dies", free_address());
    let admin = free_address();
    let child = environment.start_child(&parent, admin);
    wait_until_ready(admin);
    drop(child);
    wait_for_log_line(&parent, "the connection was closed");
    // The parent receives the datagrams of its peers again, and sends its own.
    let mut datagram = [0; 300];
    parent
        .peer_socket
        .recv(&mut datagram)
        .expect("the peer receives a datagram");
    let admin = free_address();
    let second_child = environment.start_child(&parent, admin);
    wait_until_ready(admin);
    parent.terminate();
    assert!(parent.wait().success());
    wait_for_log_line(&second_child, "taken over from a process of this node");
    assert_eq!(
        second_child
            .connect()
            .exchange(&request("a", "read", "20000m"))
            .status(),
        200
    );
}

/// Three processes run at once, and the two older ones are killed.
#[test]
fn a_child_continues_after_its_parents_were_killed() {
    let environment = Environment::new("killed", &[REPLY_OK]);
    let parent = environment.start_first("killed", free_address());
    let (second, third) = (free_address(), free_address());
    let child = environment.start_child(&parent, second);
    // A third process is started while two run.
    let last = environment.start_child(&child, third);
    wait_until_ready(third);
    drop(parent);
    drop(child);
    let mut client = last.connect();
    assert_eq!(
        client.exchange(&request("a", "read", "20000m")).status(),
        200
    );
    assert!(admin_request(third, "PING\n").starts_with("SUCCESS"));
}

/// Guards against a parent whose silence or malformed messages change the start of its child or delay it beyond the
/// time-out, and against a parent that answers a malformed or silent child.
#[test]
fn a_process_whose_parent_is_silent_or_sends_garbage_starts_as_the_first_process() {
    let environment = Environment::new("rubbish", &[REPLY_OK]);
    let parent = environment.start_first("rubbish", free_address());
    let path = environment.platform.wait_for_hand_over_socket();
    for bytes in [
        "rubbish\n",
        "{\"hello\":{\"version\":1,\"name\":\"other\"}}\n",
        "",
    ] {
        let mut stream = UnixStream::connect(&path).expect("the parent listens");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the read time-out is set");
        stream
            .write_all(bytes.as_bytes())
            .expect("the write succeeds");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "{bytes:?} was answered");
    }
    drop(parent);
    for bytes in ["rubbish\n", ""] {
        std::fs::remove_file(&path).expect("the socket exists");
        let listener = UnixListener::bind(&path).expect("the socket can be bound");
        let false_parent = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the child connects");
            stream
                .write_all(bytes.as_bytes())
                .expect("the write succeeds");
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
        });
        let admin = free_address();
        let node = environment.start_first("rubbish", admin);
        wait_until_ready(admin);
        assert_eq!(
            node.connect()
                .exchange(&request("a", "read", "20000m"))
                .status(),
            200
        );
        false_parent.join().expect("the child connected");
    }
}

/// Guards against an id that runs twice, once at each process of a node: before the upgrade at the parent and then at the
/// child, or at the other process while both serve.
#[test]
fn an_id_that_ran_at_one_process_of_a_node_does_not_run_at_the_other() {
    let environment = Environment::new("ids", &[REPLY_OK]);
    let [parent_admin, child_admin] = [free_address(), free_address()];
    let mut parent = environment.start_first("ids", parent_admin);
    let mut old_connection = parent.connect();
    let status =
        |client: &mut Client, id: &str| client.exchange(&request(id, "submit", "3000m")).status();
    assert_eq!(status(&mut old_connection, "before"), 200);
    environment.platform.wait_for_hand_over_socket();
    let child = environment.start_child(&parent, child_admin);
    let started = Instant::now();
    while !admin_request(child_admin, "PING\n").starts_with("SUCCESS") {
        assert!(started.elapsed() < TEST_TIMEOUT, "the child is not ready");
    }
    assert_eq!(status(&mut old_connection, "during"), 200);
    std::thread::sleep(Duration::from_millis(100));
    parent.terminate();
    parent.wait();
    for id in ["before", "during"] {
        assert_eq!(status(&mut child.connect(), id), 400, "{id}");
    }
    assert_eq!(status(&mut child.connect(), "after"), 200);
}
