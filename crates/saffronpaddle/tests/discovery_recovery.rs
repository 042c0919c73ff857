//! Guards against a node that, after an outage of the list service, calls it again too late, and meanwhile sends new
//! requests to a server that the list has as draining. A change counts as announced 6 s after the service had it and was reachable,
//! however the earlier calls ended. Several processes run, each configured as one of a fleet of 300 nodes in
//! `subscribe` mode. The longest delay that the machine itself caused is added to the bound.

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
/// How long the service is unavailable: long enough for the backoff between calls to have grown.
const OUTAGE: Duration = Duration::from_secs(9);
/// Time after which a change counts as announced.
const ANNOUNCED_AFTER: Duration = Duration::from_secs(6);

/// How the service answers a call.
#[derive(Clone)]
enum Mode {
    NoResponse,
    Refuse(&'static str),
    SendList(String),
}

/// A double of the list service.
struct Service {
    mode: Arc<Mutex<Mode>>,
    /// The time of each call that was answered with the list.
    answered_at: Receiver<Instant>,
}

impl Service {
    /// Listens at the address from now on.
    fn start(address: SocketAddr, mode: Mode) -> Service {
        let listener = TcpListener::bind(address).expect("the reserved address is free");
        let mode = Arc::new(Mutex::new(mode));
        let shared = Arc::clone(&mode);
        let (record, answered_at) = channel();
        thread::spawn(move || {
            // Unanswered calls stay open and are never answered.
            let mut open = Vec::new();
            for mut stream in listener.incoming().flatten() {
                let mode = shared
                    .lock()
                    .expect("no thread panicked with the lock")
                    .clone();
                match mode {
                    Mode::NoResponse => {}
                    Mode::Refuse(response) => {
                        let _ = read_call(&mut stream)
                            .and_then(|()| stream.write_all(response.as_bytes()).ok());
                    }
                    Mode::SendList(list) => {
                        let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                        if read_call(&mut stream)
                            .and_then(|()| stream.write_all(chunked).ok())
                            .is_some()
                        {
                            write_list(&mut stream, &list);
                            // Fails only after the test has ended.
                            let _ = record.send(Instant::now());
                        }
                    }
                }
                open.push(stream);
            }
        });
        Service { mode, answered_at }
    }

    fn set_mode(&self, mode: Mode) {
        *self.mode.lock().expect("no thread panicked with the lock") = mode;
    }
}

fn read_call(stream: &mut TcpStream) -> Option<()> {
    Message::read(&mut BufReader::new(stream.try_clone().ok()?)).map(|_| ())
}

/// Measures the longest sleep of a thread that sleeps for 10 ms again and again: the delay that the machine causes.
struct SchedulingDelay {
    longest_ms: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
}

impl SchedulingDelay {
    /// Starts the thread that measures.
    fn measure() -> SchedulingDelay {
        let (longest_ms, stop) = (
            Arc::new(AtomicU64::new(0)),
            Arc::new(AtomicBool::new(false)),
        );
        let (measured, stopped) = (Arc::clone(&longest_ms), Arc::clone(&stop));
        thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                let started = Instant::now();
                thread::sleep(Duration::from_millis(10));
                measured.fetch_max(started.elapsed().as_millis() as u64, Ordering::Relaxed);
            }
        });
        SchedulingDelay { longest_ms, stop }
    }

    fn longest(&self) -> Duration {
        Duration::from_millis(self.longest_ms.load(Ordering::Relaxed))
    }
}

impl Drop for SchedulingDelay {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Sends requests until one is served, and returns the server that it went to.
fn next_serving_server(client: &mut Client, servers: &Servers, tag: &str) -> String {
    let started = Instant::now();
    for number in 0.. {
        let answer = client.exchange(&request(&format!("{tag}-{number}"), "read", "20000m"));
        if answer.status() == 200 {
            return servers.next_request().server;
        }
        assert!(
            started.elapsed() < TEST_TIMEOUT,
            "{tag}: no request was served within {TEST_TIMEOUT:?}; the last answer: {}",
            answer.start_line
        );
        thread::sleep(Duration::from_millis(5));
    }
    unreachable!("the loop ends only with an answer or a panic")
}

/// Nodes know two servers and cannot fetch a list, since the service answers as `outage` specifies (`None`: it does not
/// listen). Then the service recovers, with one of the two as draining. Asserts that each node receives the drain in
/// time.
fn assert_drain_is_received_after(tag: &str, outage: Option<Mode>) {
    let address = reserve_address().expect("an address is free");
    let service = outage.map(|mode| Service::start(address, mode));
    let servers = Servers::new();
    let dials = ["s-1", "s-2"].map(|name| servers.start(name, &[REPLY_OK]));
    let hosts = [
        host_json("s-1", dials[0], 1, "ready"),
        host_json("s-2", dials[1], 2, "ready"),
    ];
    let in_large_fleet = |text: String| {
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
                in_large_fleet,
                |_| {},
            )
        })
        .collect();
    for (number, node) in nodes.iter().enumerate() {
        let mut client = node.connect();
        while next_serving_server(&mut client, &servers, &format!("{tag}-{number}-before")) != "s-1"
        {
        }
    }
    thread::sleep(OUTAGE);
    let delay = SchedulingDelay::measure();
    let recovered = Mode::SendList(list_json(
        2,
        true,
        &[
            host_json("s-1", dials[0], 1, "draining"),
            host_json("s-2", dials[1], 2, "ready"),
        ],
    ));
    let started = Instant::now();
    let service = match service {
        Some(service) => {
            service.set_mode(recovered);
            service
        }
        None => Service::start(address, recovered),
    };
    // Each node opens one watch. The wait is longer than the bound, so that the machine's delay is known at the
    // assertion.
    let answered_after: Vec<Duration> = (0..NODES)
        .map(|_| {
            service
                .answered_at
                .recv_timeout(TEST_TIMEOUT)
                .expect("each node calls the service")
                - started
        })
        .collect();
    let bound = ANNOUNCED_AFTER + delay.longest();
    assert!(
        answered_after.iter().all(|after| *after <= bound),
        "{tag}: the nodes called after {answered_after:?}, the bound is {bound:?}"
    );
    while started.elapsed() < bound {
        thread::sleep(Duration::from_millis(10));
    }
    for (number, node) in nodes.iter().enumerate() {
        let mut client = node.connect();
        for repetition in 0..12 {
            let server = next_serving_server(
                &mut client,
                &servers,
                &format!("{tag}-{number}-after-{repetition}"),
            );
            assert_eq!(server, "s-2", "node {number} has not applied the drain");
        }
    }
}

#[test]
fn a_drain_is_applied_in_time_after_refused_connections() {
    assert_drain_is_received_after("refused", None);
}

#[test]
fn a_drain_is_applied_in_time_after_unanswered_calls() {
    assert_drain_is_received_after("silent", Some(Mode::NoResponse));
}

#[test]
fn a_drain_is_applied_in_time_after_calls_refused_with_retry_after_one_minute() {
    let response = "HTTP/1.1 503 Later\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n";
    assert_drain_is_received_after("later", Some(Mode::Refuse(response)));
}
