//! Upgrades in place: a second process of a node is started beside the first and takes over from it.

use command_fds::{CommandFdExt, FdMapping};
use saffronpaddle_test_doubles::scripted::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

/// The listener that the platform holds, and the folder that processes of one node share.
struct Platform {
    listener: TcpListener,
    folder: PathBuf,
}

impl Platform {
    fn new(tag: &str) -> Platform {
        let folder = std::env::temp_dir().join(format!("sp-{}-{tag}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform {
            listener: TcpListener::bind("127.0.0.1:0").expect("a port"),
            folder,
        }
    }

    fn gives(&self, command: &mut Command, admin: SocketAddr) {
        let parent_fd = OwnedFd::from(self.listener.try_clone().expect("a clone"));
        command
            .fd_mappings(vec![FdMapping {
                parent_fd,
                child_fd: 3,
            }])
            .expect("free numbers");
        command
            .env("LB_LISTEN_FD", "3")
            .env("TMPDIR", &self.folder)
            .env("LB_ADMIN_ADDR", admin.to_string());
    }

    /// Where a node's processes meet.
    fn meeting(&self) -> PathBuf {
        let begun = Instant::now();
        loop {
            let files = std::fs::read_dir(&self.folder)
                .expect("it is there")
                .flatten()
                .map(|file| file.path());
            let found = files
                .filter(|path| path.extension().is_none())
                .find(|path| path.is_file() || is_socket(path));
            if let Some(path) = found {
                return path;
            }
            assert!(begun.elapsed() < TEST_TIMEOUT, "nothing to meet at");
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

struct Rig {
    servers: Servers,
    discovery: Discovery,
    hosts: Vec<String>,
    platform: Platform,
}

impl Rig {
    fn new(tag: &str, does: &[Reply]) -> Rig {
        let (servers, discovery) = (Servers::new(), Discovery::start());
        let dial = servers.start("s-1", does);
        Rig {
            servers,
            discovery,
            hosts: vec![host_json("s-1", dial, 1, "ready")],
            platform: Platform::new(tag),
        }
    }

    fn first(&self, tag: &str, admin: SocketAddr) -> Node {
        Node::start_with_command(tag, self.discovery.address, &self.hosts, 1024, |command| {
            self.platform.gives(command, admin);
        })
    }

    fn next(&self, of: &Node, admin: SocketAddr) -> Node {
        of.successor(|command| self.platform.gives(command, admin))
    }
}

fn until_ready(admin: SocketAddr) {
    let begun = Instant::now();
    while !admin_request(admin, "PING\n").starts_with("SUCCESS") {
        assert!(begun.elapsed() < TEST_TIMEOUT);
    }
}

/// Waits for a line of a node's log that holds these words.
fn until_said(node: &Node, words: &str) {
    while !node.log_line().contains(words) {}
}

/// Clients go on asking while one process after another takes the node over: each request is answered, none meets a door
/// that is shut, what was under way is finished by who took it, and only the old processes end.
#[test]
fn a_node_is_upgraded_in_place_and_no_request_meets_a_shut_door() {
    let rig = Rig::new("inplace", &[REPLY_OK]);
    let (mut admin, stop) = (free_address(), std::sync::atomic::AtomicBool::new(false));
    let mut node = rig.first("inplace", admin);
    let address = node.address;
    std::thread::scope(|scope| {
        let clients: Vec<_> = (0..4)
            .map(|client| {
                let stop = &stop;
                scope.spawn(move || {
                    let mut asked = 0;
                    while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                        let stream =
                            std::net::TcpStream::connect(address).expect("the door is open");
                        stream
                            .set_read_timeout(Some(TEST_TIMEOUT))
                            .expect("a time-out");
                        let mut reader =
                            std::io::BufReader::new(stream.try_clone().expect("a clone"));
                        // A few on each connection, as clients keep them; who is told to close does.
                        for _ in 0..5 {
                            asked += 1;
                            let words = request(&format!("c{client}-{asked}"), "read", "20000m");
                            (&stream).write_all(words.as_bytes()).expect("it is read");
                            let answer =
                                Message::read(&mut reader).expect("each request is answered");
                            assert!([200, 503].contains(&answer.status()), "{}", answer.status());
                            if answer.header("connection") == "close" {
                                break;
                            }
                        }
                    }
                    asked
                })
            })
            .collect();
        for _ in 0..3 {
            let fresh = free_address();
            let next = rig.next(&node, fresh);
            until_ready(fresh);
            assert!(
                admin_request(admin, "PING\n").starts_with("SUCCESS"),
                "both serve"
            );
            node.terminate();
            assert!(node.wait().success());
            (node, admin) = (next, fresh);
        }
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        let asked: i32 = clients
            .into_iter()
            .map(|client| client.join().expect("it saw no shut door"))
            .sum();
        assert!(asked > 100, "{asked}");
    });
    assert!(node.is_running() && rig.discovery.address.port() > 0);
    let _ = rig.servers.next_request();
}

/// The heir knows what the elder knew: the list, also where discovery is silent to it.
#[test]
fn an_heir_goes_on_from_what_its_elder_knew() {
    let rig = Rig::new("knows", &[REPLY_OK]);
    let (first, second) = (free_address(), free_address());
    let elder = rig.first("knows", first);
    let dial = rig.servers.start("s-2", &[REPLY_OK]);
    let (_, mut watch) = rig.discovery.next_watch();
    write_list(
        &mut watch,
        &list_json(2, false, &[host_json("s-2", dial, 1, "ready")]),
    );
    let begun = Instant::now();
    while metric_value(&admin_request(first, "INFO\n"), "lb_registry_entries") != 2 {
        assert!(begun.elapsed() < TEST_TIMEOUT);
    }
    let heir = rig.next(&elder, second);
    until_ready(second);
    // Its configuration has one; its counts begin with it.
    let figures = admin_request(second, "INFO\n");
    assert_eq!(
        (
            metric_value(&figures, "lb_registry_entries"),
            metric_value(&figures, "lb_relayed")
        ),
        (2, 0)
    );
    drop(heir);
}

/// An heir that dies before or after its yes leaves the elder as it was: it serves, speaks to its peers, and is found by
/// the next one.
#[test]
fn an_heir_that_dies_leaves_the_elder_as_it_was() {
    let rig = Rig::new("dies", &[REPLY_OK]);
    let mut elder = rig.first("dies", free_address());
    let admin = free_address();
    let heir = rig.next(&elder, admin);
    until_ready(admin);
    drop(heir);
    until_said(&elder, "the connection was closed");
    // It hears its peers again, and speaks to them itself.
    let mut datagram = [0; 300];
    elder.peer_socket.recv(&mut datagram).expect("a count");
    let admin = free_address();
    let next = rig.next(&elder, admin);
    until_ready(admin);
    elder.terminate();
    assert!(elder.wait().success());
    until_said(&next, "taken over from a process of this node");
    assert_eq!(
        next.connect()
            .exchange(&request("a", "read", "20000m"))
            .status(),
        200
    );
}

/// One that is killed outright is no hindrance either.
#[test]
fn an_elder_that_is_killed_leaves_the_node_to_its_heir() {
    let rig = Rig::new("killed", &[REPLY_OK]);
    let elder = rig.first("killed", free_address());
    let (second, third) = (free_address(), free_address());
    let heir = rig.next(&elder, second);
    // A third while two run.
    let last = rig.next(&heir, third);
    until_ready(third);
    drop(elder);
    drop(heir);
    let mut client = last.connect();
    assert_eq!(
        client.exchange(&request("a", "read", "20000m")).status(),
        200
    );
    assert!(admin_request(third, "PING\n").starts_with("SUCCESS"));
}

/// What is no elder of use, stalls or talks rubbish, delays a start by no more than its bound and changes nothing; what is
/// no heir of use is not listened to.
#[test]
fn who_finds_rubbish_or_silence_starts_as_if_it_were_the_first() {
    let rig = Rig::new("rubbish", &[REPLY_OK]);
    let elder = rig.first("rubbish", free_address());
    let path = rig.platform.meeting();
    for words in [
        "rubbish\n",
        "{\"hello\":{\"version\":1,\"name\":\"other\"}}\n",
        "",
    ] {
        let mut stream = UnixStream::connect(&path).expect("it is met");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        stream.write_all(words.as_bytes()).expect("written");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "{words:?}");
    }
    drop(elder);
    for words in ["rubbish\n", ""] {
        std::fs::remove_file(&path).expect("it was there");
        let silent = UnixListener::bind(&path).expect("a socket");
        let stalls = std::thread::spawn(move || {
            let (mut stream, _) = silent.accept().expect("it is met");
            stream.write_all(words.as_bytes()).expect("written");
            let mut rest = Vec::new();
            let _ = stream.read_to_end(&mut rest);
        });
        let admin = free_address();
        let node = rig.first("rubbish", admin);
        until_ready(admin);
        assert_eq!(
            node.connect()
                .exchange(&request("a", "read", "20000m"))
                .status(),
            200
        );
        stalls.join().expect("it was met");
    }
}
