//! System calls that fail temporarily, with errors that Linux documents: no connection is closed before a completely
//! written request on it is answered, and no process exits.

mod common;

use common::failing_calls_library;
use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Concurrent clients of each process. Each reuses its connection until the node closes it.
const CLIENTS: usize = 30;
/// Requests on one connection; then the client opens a new one, so that the node has to accept.
const REQUESTS_PER_CONNECTION: usize = 8;
/// Time for which clients send requests.
const LOAD_DURATION: Duration = Duration::from_secs(3);
/// Processes that run with each plan.
const PROCESSES: u64 = 3;

/// Counts of the clients.
#[derive(Default)]
struct ClientCounts {
    /// Requests that were written completely.
    sent: AtomicUsize,
    /// Those of `sent` whose connection closed without a response.
    unanswered: AtomicUsize,
}

/// Sends requests on a connection until it closes, then on a new one.
fn run_client(address: SocketAddr, name: &str, until: Instant, counts: &ClientCounts) {
    let mut number = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("the read time-out is set");
        let mut reader = BufReader::new(stream.try_clone().expect("the socket can be cloned"));
        while Instant::now() < until {
            number += 1;
            let class = ["read", "submit"][number % 2];
            if stream
                .write_all(request(&format!("{name}-{number}"), class, "3000m").as_bytes())
                .is_err()
            {
                // The node closed the connection between two requests, and so has not accepted this one.
                break;
            }
            counts.sent.fetch_add(1, Ordering::Relaxed);
            let Some(answer) = Message::read(&mut reader) else {
                counts.unanswered.fetch_add(1, Ordering::Relaxed);
                break;
            };
            thread::sleep(Duration::from_millis(20));
            if answer.header("connection") == "close" || number % REQUESTS_PER_CONNECTION == 0 {
                break;
            }
        }
    }
}

/// Runs one process whose system calls fail by the plan. Returns whether it still runs at the end.
fn run_process(plan: &str, seed: u64, counts: &Arc<ClientCounts>) -> bool {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let hosts: Vec<String> = (0..3)
        .map(|number| {
            host_json(
                &format!("s-{number}"),
                servers.start(&format!("s-{number}"), &[REPLY_OK]),
                number,
                "ready",
            )
        })
        .collect();
    let tag = format!("failing-{}-{seed}", plan.replace(['=', ','], "-"));
    let mut node = Node::start_with_command(&tag, discovery.address, &hosts, 1024, |command| {
        command
            .env("LD_PRELOAD", failing_calls_library())
            .env("FAILING_CALLS", plan)
            .env("FAILING_SEED", seed.to_string());
    });
    let (address, until) = (node.address, Instant::now() + LOAD_DURATION);
    let clients = (0..CLIENTS).map(|number| {
        let (counts, name) = (Arc::clone(counts), format!("c{number}"));
        thread::spawn(move || run_client(address, &name, until, &counts))
    });
    let clients: Vec<_> = clients.collect();
    while Instant::now() < until {
        // Each received request that is not discarded keeps a file descriptor of the test process open.
        servers.discard_requests();
        thread::sleep(Duration::from_millis(20));
    }
    clients
        .into_iter()
        .for_each(|client| client.join().expect("the client does not panic"));
    node.is_running()
}

/// Runs several processes with a plan. Panics if a request is unanswered or a process has exited.
fn assert_all_answered(plan: &'static str) {
    let counts = Arc::new(ClientCounts::default());
    let processes = (1..=PROCESSES).map(|seed| {
        let counts = Arc::clone(&counts);
        thread::spawn(move || run_process(plan, seed, &counts))
    });
    let processes: Vec<_> = processes.collect();
    let running = processes
        .into_iter()
        .filter_map(|process| process.join().ok())
        .filter(|is_running| *is_running)
        .count();
    let (sent, unanswered) = (
        counts.sent.load(Ordering::Relaxed),
        counts.unanswered.load(Ordering::Relaxed),
    );
    println!(
        "{plan}: {unanswered} of {sent} requests unanswered; {running} of {PROCESSES} processes running"
    );
    assert!(sent > 500, "{plan}: only {sent} requests were sent");
    assert_eq!(
        (unanswered, running as u64),
        (0, PROCESSES),
        "{plan}: (unanswered, running) of {sent} requests"
    );
}

#[test]
fn no_request_is_dropped_while_accept_and_connect_fail_temporarily() {
    assert_all_answered("accept=5,connect=5");
}

#[test]
fn no_request_is_dropped_while_reads_and_writes_are_interrupted_and_short() {
    assert_all_answered("recv=5,send=5,short=30");
}

#[test]
fn no_request_is_dropped_and_no_process_exits_while_all_calls_fail_temporarily() {
    assert_all_answered("accept=5,connect=5,socket=5,recv=5,send=5,short=10");
}

/// A process creates its sockets when it starts; temporary failures of these calls must not end it.
#[test]
fn a_process_starts_while_creating_sockets_fails_temporarily() {
    let discovery = Discovery::start();
    for seed in 1..=6 {
        let tag = format!("failing-start-{seed}");
        let mut node = Node::start_with_command(&tag, discovery.address, &[], 1024, |command| {
            command.env("LD_PRELOAD", failing_calls_library());
            command
                .env("FAILING_CALLS", "socket=60")
                .env("FAILING_SEED", seed.to_string());
        });
        assert!(node.is_running(), "seed {seed}");
    }
}

/// Starts processes whose writes are interrupted, also those through which a signal handler wakes its reader.
fn start_interrupted(tag: &str, count: u64, discovery: &Discovery, hosts: &[String]) -> Vec<Node> {
    let start = |seed: u64| {
        let tag = format!("{tag}-{seed}");
        Node::start_with_command(&tag, discovery.address, hosts, 1024, |command| {
            command
                .env("LD_PRELOAD", failing_calls_library())
                .env("FAILING_CALLS", "send=30")
                .env("FAILING_UNIX", "1")
                .env("FAILING_SEED", seed.to_string());
        })
    };
    (1..=count).map(start).collect()
}

/// Guards against a SIGTERM that is lost because the call that wakes its reader is interrupted: the process works on
/// until it is killed, and all requests that are open then have no answer.
#[test]
fn no_signal_to_stop_is_lost_while_sends_are_interrupted() {
    const STOP_TIMEOUT: Duration = Duration::from_secs(20);
    let discovery = Discovery::start();
    let mut nodes = start_interrupted("failing-stop", 100, &discovery, &[]);
    nodes.iter().for_each(Node::terminate);
    let deadline = Instant::now() + STOP_TIMEOUT;
    while nodes.iter_mut().any(Node::is_running) && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(50));
    }
    let count = nodes.len();
    let running = nodes.iter_mut().map(Node::is_running);
    let running = running.filter(|is_running| *is_running).count();
    assert_eq!(running, 0, "processes that did not stop, of {count}");
}

/// Guards against a SIGHUP that is lost in the same way: a drain that the new configuration leads to is not heard.
#[test]
fn no_signal_to_reload_is_lost_while_sends_are_interrupted() {
    let discovery = Discovery::start();
    for node in start_interrupted("failing-reload", 50, &discovery, &[]) {
        node.reload(|text| text);
    }
}

/// Latest time of an answer after SIGTERM, where the longest deadline of the settings is 3 s or more: 150 ms, for which the
/// platform may keep a process from running, before SIGKILL.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(3_700 - 150);

/// Guards against a stop that is timed from when its signal is found, after a lost wake-up, and not from when it was sent.
#[test]
fn a_stop_is_timed_from_its_signal_while_sends_are_interrupted() {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let address = servers.start("s-1", &[Reply::NoResponse]);
    let hosts = [host_json("s-1", address, 1, "ready")];
    let nodes = start_interrupted("failing-stop-time", 30, &discovery, &hosts);
    let mut clients: Vec<Client> = nodes.iter().map(Node::connect).collect();
    for (number, client) in clients.iter_mut().enumerate() {
        client.write(&request(&format!("hung-{number}"), "read", "30000m"));
    }
    for _ in &nodes {
        servers.next_request();
    }
    let stop = |(node, mut client): (&Node, Client)| {
        let sent_at = Instant::now();
        node.terminate();
        thread::spawn(move || client.read_response().map(|_| sent_at.elapsed()))
    };
    let answers: Vec<_> = nodes.iter().zip(clients).map(stop).collect();
    let times = answers
        .into_iter()
        .map(|answer| answer.join().expect("the client does not panic"));
    let late: Vec<Option<Duration>> = times
        .filter(|time| time.is_none_or(|time| time > ANSWER_TIMEOUT))
        .collect();
    assert!(late.is_empty(), "answers that come too late: {late:?}");
}
