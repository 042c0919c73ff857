//! Danger: a node that stays away from a list service that is back, and sends new work to a server that it lists as draining. A
//! change counts as told 6 s after the service had it and could be reached, whatever befell the calls before. Several
//! processes, each one of a fleet of 300 whose nodes ask for their lists; what the machine itself held up is no fault of theirs.

use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const NODES: usize = 4;
/// How long the service is away: long enough for pauses to have grown.
const AWAY: Duration = Duration::from_secs(9);
/// When a change counts as told.
const TOLD: Duration = Duration::from_secs(6);

/// What the service does with a call.
#[derive(Clone)]
enum Mode {
    NoResponse,
    Refuses(&'static str),
    Lists(String),
}

/// A list service that listens here from now on.
struct Service {
    mode: Arc<Mutex<Mode>>,
    /// When it wrote its list, call by call.
    told: Receiver<Instant>,
}

impl Service {
    fn start(address: SocketAddr, mode: Mode) -> Service {
        let listener = TcpListener::bind(address).expect("nobody else has it");
        let mode = Arc::new(Mutex::new(mode));
        let shared = Arc::clone(&mode);
        let (tell, told) = channel();
        thread::spawn(move || {
            // Calls that were left unanswered stay open, and are never answered.
            let mut held = Vec::new();
            for mut stream in listener.incoming().flatten() {
                let mode = shared.lock().expect("no panic").clone();
                match mode {
                    Mode::NoResponse => {}
                    Mode::Refuses(words) => {
                        let _ = read(&mut stream)
                            .and_then(|()| stream.write_all(words.as_bytes()).ok());
                    }
                    Mode::Lists(list) => {
                        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                        if read(&mut stream)
                            .and_then(|()| stream.write_all(chunked).ok())
                            .is_some()
                        {
                            write_list(&mut stream, &list);
                            // The test may have ended.
                            let _ = tell.send(Instant::now());
                        }
                    }
                }
                held.push(stream);
            }
        });
        Service { mode, told }
    }

    fn does(&self, mode: Mode) {
        *self.mode.lock().expect("no panic") = mode;
    }
}

fn read(stream: &mut TcpStream) -> Option<()> {
    Message::read(&mut BufReader::new(stream.try_clone().ok()?)).map(|_| ())
}

/// The longest that the machine has held up a thread that sleeps for 10 ms again and again.
struct HeldUp {
    most: Arc<AtomicU64>,
    ends: Arc<AtomicBool>,
}

impl HeldUp {
    fn watched() -> HeldUp {
        let (most, ends) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (told, until) = (Arc::clone(&most), Arc::clone(&ends));
        thread::spawn(move || {
            while !until.load(Ordering::Relaxed) {
                let begun = Instant::now();
                thread::sleep(Duration::from_millis(10));
                told.fetch_max(begun.elapsed().as_millis() as u64, Ordering::Relaxed);
            }
        });
        HeldUp { most, ends }
    }

    fn most(&self) -> Duration {
        Duration::from_millis(self.most.load(Ordering::Relaxed))
    }
}

impl Drop for HeldUp {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
    }
}

/// Which server the next try that is answered went to.
fn goes_to(client: &mut Client, servers: &Servers, tag: &str) -> String {
    let begun = Instant::now();
    for number in 0.. {
        let answer = client.exchange(&request(&format!("{tag}-{number}"), "read", "20000m"));
        if answer.status() == 200 {
            return servers.next_request().server;
        }
        assert!(
            begun.elapsed() < TEST_TIMEOUT,
            "{tag}: {}",
            answer.start_line
        );
        thread::sleep(Duration::from_millis(5));
    }
    unreachable!("it goes on until there is an answer")
}

/// Nodes that know two servers and can't have a list. Then the service is back, and lists one of the two as draining.
fn back_with_a_drain(tag: &str, before: Option<Mode>) {
    let address = reserve_address().expect("an address");
    let service = before.map(|mode| Service::start(address, mode));
    let servers = Servers::new();
    let dials = ["s-1", "s-2"].map(|name| servers.start(name, &[REPLY_OK]));
    let hosts = [
        host_json("s-1", dials[0], 1, "ready"),
        host_json("s-2", dials[1], 2, "ready"),
    ];
    let asks = |text: String| {
        let large = text.replace(r#""balancers":2"#, r#""balancers":300"#);
        large.replace(r#""discovery":"automatic""#, r#""discovery":"subscribe""#)
    };
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| {
            Node::start_with_config(
                &format!("{tag}-{number}"),
                address,
                &hosts,
                1024,
                asks,
                |_| {},
            )
        })
        .collect();
    for (number, node) in nodes.iter().enumerate() {
        let mut client = node.connect();
        while goes_to(&mut client, &servers, &format!("{tag}-{number}-before")) != "s-1" {}
    }
    thread::sleep(AWAY);
    let held_up = HeldUp::watched();
    let back = Mode::Lists(list_json(
        2,
        true,
        &[
            host_json("s-1", dials[0], 1, "draining"),
            host_json("s-2", dials[1], 2, "ready"),
        ],
    ));
    let begun = Instant::now();
    let service = match service {
        Some(service) => {
            service.does(back);
            service
        }
        None => Service::start(address, back),
    };
    // A node opens one watch. This waits past the bound, so that the machine's own delay is known when it is judged.
    let told: Vec<Duration> = (0..NODES)
        .map(|_| {
            service
                .told
                .recv_timeout(TEST_TIMEOUT)
                .expect("each node asks")
                - begun
        })
        .collect();
    let late = TOLD + held_up.most();
    assert!(
        told.iter().all(|told| *told <= late),
        "{tag}: asked after {told:?}, {late:?} are allowed"
    );
    while begun.elapsed() < late {
        thread::sleep(Duration::from_millis(10));
    }
    for (number, node) in nodes.iter().enumerate() {
        let mut client = node.connect();
        for row in 0..12 {
            let server = goes_to(
                &mut client,
                &servers,
                &format!("{tag}-{number}-after-{row}"),
            );
            assert_eq!(server, "s-2", "node {number} has not heard of the drain");
        }
    }
}

#[test]
fn a_drain_is_acted_on_in_time_after_connections_were_refused() {
    back_with_a_drain("refused", None);
}

#[test]
fn a_drain_is_acted_on_in_time_after_calls_were_left_unanswered() {
    back_with_a_drain("silent", Some(Mode::NoResponse));
}

#[test]
fn a_drain_is_acted_on_in_time_after_calls_were_told_to_come_back_in_a_minute() {
    let words = "HTTP/1.1 503 Later\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
    back_with_a_drain("later", Some(Mode::Refuses(words)));
}
