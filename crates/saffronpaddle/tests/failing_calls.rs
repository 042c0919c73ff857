//! System calls that fail for a moment, as Linux documents: no request that was written whole is closed without an answer,
//! and no process ends by itself.

mod common;

use common::shim;
use saffronpaddle_test_doubles::scripted::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Clients of each process; each keeps its connection for as long as that stands.
const CLIENTS: usize = 30;
/// Requests on one connection; then the client makes a new one, which has to be accepted.
const ON_ONE: usize = 8;
/// How long they ask.
const ASK_FOR: Duration = Duration::from_secs(3);
/// Processes of each plan.
const PROCESSES: u64 = 3;

/// What clients saw: requests that were written whole, and those of them whose connection closed without an answer.
#[derive(Default)]
struct Seen {
    asked: AtomicUsize,
    unanswered: AtomicUsize,
}

/// Asks again and again on a kept connection, for as long as that stands; then on a new one.
fn client(address: SocketAddr, name: &str, until: Instant, seen: &Seen) {
    let mut number = 0;
    while Instant::now() < until {
        let Ok(mut stream) = TcpStream::connect(address) else {
            continue;
        };
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a time-out");
        let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
        while Instant::now() < until {
            number += 1;
            let class = ["read", "submit"][number % 2];
            if stream
                .write_all(request(&format!("{name}-{number}"), class, "3000m").as_bytes())
                .is_err()
            {
                // It had closed before: whoever closes between requests has taken nothing.
                break;
            }
            seen.asked.fetch_add(1, Ordering::Relaxed);
            let Some(answer) = Message::read(&mut reader) else {
                seen.unanswered.fetch_add(1, Ordering::Relaxed);
                break;
            };
            thread::sleep(Duration::from_millis(20));
            if answer.header("connection") == "close" || number % ON_ONE == 0 {
                break;
            }
        }
    }
}

/// One process whose calls fail by a plan; whether it still runs at the end.
fn play(plan: &str, seed: u64, seen: &Arc<Seen>) -> bool {
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
            .env("LD_PRELOAD", shim())
            .env("FAILING_CALLS", plan)
            .env("FAILING_SEED", seed.to_string());
    });
    let (address, until) = (node.address, Instant::now() + ASK_FOR);
    let clients = (0..CLIENTS).map(|number| {
        let (seen, name) = (Arc::clone(seen), format!("c{number}"));
        thread::spawn(move || client(address, &name, until, &seen))
    });
    let clients: Vec<_> = clients.collect();
    while Instant::now() < until {
        // Each request that was not looked at holds a descriptor of this process.
        servers.discard_requests();
        thread::sleep(Duration::from_millis(20));
    }
    clients
        .into_iter()
        .for_each(|client| client.join().expect("no panic"));
    node.is_running()
}

/// Plays a plan on several processes; fails where a request has no answer, or a process has ended.
fn answers_all(plan: &'static str) {
    let seen = Arc::new(Seen::default());
    let processes = (1..=PROCESSES).map(|seed| {
        let seen = Arc::clone(&seen);
        thread::spawn(move || play(plan, seed, &seen))
    });
    let processes: Vec<_> = processes.collect();
    let running = processes
        .into_iter()
        .filter_map(|process| process.join().ok())
        .filter(|runs| *runs)
        .count();
    let (asked, unanswered) = (
        seen.asked.load(Ordering::Relaxed),
        seen.unanswered.load(Ordering::Relaxed),
    );
    println!(
        "{plan}: {unanswered} of {asked} without an answer; {running} of {PROCESSES} processes run"
    );
    assert!(asked > 500, "{plan}: {asked} requests");
    assert_eq!(
        (unanswered, running as u64),
        (0, PROCESSES),
        "{plan}: of {asked} requests"
    );
}

#[test]
fn no_request_is_dropped_while_accept_and_connect_fail_for_a_moment() {
    answers_all("accept=5,connect=5");
}

#[test]
fn no_request_is_dropped_while_reads_and_writes_are_interrupted_and_short() {
    answers_all("recv=5,send=5,short=30");
}

#[test]
fn no_request_is_dropped_and_no_process_ends_while_all_calls_fail_for_a_moment() {
    answers_all("accept=5,connect=5,socket=5,recv=5,send=5,short=10");
}

/// A process makes its sockets at its start: what is lacking for a moment there does not end it.
#[test]
fn a_process_starts_while_sockets_can_not_be_made_for_a_moment() {
    let discovery = Discovery::start();
    for seed in 1..=6 {
        let tag = format!("failing-start-{seed}");
        let mut node = Node::start_with_command(&tag, discovery.address, &[], 1024, |command| {
            command.env("LD_PRELOAD", shim());
            command
                .env("FAILING_CALLS", "socket=60")
                .env("FAILING_SEED", seed.to_string());
        });
        assert!(node.is_running(), "seed {seed}");
    }
}
