//! The order in which an agent of the discovery double writes a change and records it in the oracle.

use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::World;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Number of the node whose agent is called.
const NODE: usize = 0;
/// How long a change that must not be written is waited for.
const ABSENCE: Duration = Duration::from_millis(300);
/// How long a change that must be written is waited for.
const PRESENCE: Duration = Duration::from_secs(30);

fn entry(health: &'static str) -> Entry {
    Entry {
        host: "s-1".to_owned(),
        dial: SocketAddr::from(([127, 0, 0, 1], 1)),
        site: "a".to_owned(),
        block: 1,
        health,
        born_ms: 0,
    }
}

/// Reads from a watch until it contains a text; `false` if it does not within the time.
fn reads(watch: &mut TcpStream, text: &str, within: Duration) -> bool {
    watch
        .set_read_timeout(Some(within))
        .expect("the read time-out is set");
    let mut received = Vec::new();
    loop {
        if String::from_utf8_lossy(&received).contains(text) {
            return true;
        }
        let mut buffer = [0; 4096];
        match watch.read(&mut buffer) {
            Ok(0) => return false,
            Ok(bytes) => received.extend_from_slice(&buffer[..bytes]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                return false
            }
            Err(error) => panic!("reading the watch failed: {error}"),
        }
    }
}

/// Opens a watch on the list of a new service, on which the server has the given health.
async fn open_watch(health: &'static str) -> (Arc<World>, Arc<Discovery>, TcpStream) {
    let world = World::start(Bounds::default());
    let discovery = Discovery::new(Arc::clone(&world));
    discovery.change(vec![entry(health)]);
    let address = discovery
        .start_agent(NODE)
        .await
        .expect("an address is available");
    let mut watch = TcpStream::connect(address).expect("the agent accepts");
    watch
        .write_all(b"GET /api/targets?watch=1 HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("the agent reads");
    assert!(reads(&mut watch, health, PRESENCE), "the first list");
    // The agent records the first list only after it has written it, and needs the oracle for that.
    while !discovery.call_stats().first_answers.contains_key(&NODE) {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    (world, discovery, watch)
}

/// Guards against a ready server that is recorded only after its line was written: where the agent is held up between
/// the two, a node that sends to the server at once would count as sending to a drained one.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_ready_server_is_recorded_before_it_is_written() {
    let (world, discovery, mut watch) = open_watch("draining").await;
    let oracle = world.oracle();
    discovery.change(vec![entry("ready")]);
    assert!(
        !reads(&mut watch, "ready", ABSENCE),
        "the change is written although it cannot be recorded"
    );
    drop(oracle);
    assert!(reads(&mut watch, "ready", PRESENCE));
}

/// Asserts that the agent writes a change, of which its line contains this text, before it records it.
async fn assert_written_before_recorded(health: &'static str, change: Entry, text: &str) {
    let (world, discovery, mut watch) = open_watch(health).await;
    let oracle = world.oracle();
    discovery.change(vec![change]);
    assert!(
        reads(&mut watch, text, PRESENCE),
        "the change waits until it is recorded"
    );
    drop(oracle);
}

/// Guards against a drain that is recorded before its line was written, for which a node would be blamed too early.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_is_written_before_it_is_recorded() {
    assert_written_before_recorded("ready", entry("draining"), "draining").await;
}

/// Guards against a node that counts as informed of a start before the line was written to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_start_is_written_before_it_is_recorded() {
    let change = Entry {
        born_ms: 7_777,
        ..entry("gone")
    };
    assert_written_before_recorded("draining", change, "7777").await;
}

/// Guards against a node that is blamed for a drain that was written to the connection of its ended process, whose
/// successor has received a list without it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_drain_that_is_written_to_a_closed_connection_is_not_recorded() {
    let (world, discovery, watch) = open_watch("ready").await;
    discovery.set_delay(ABSENCE);
    discovery.change(vec![entry("draining")]);
    drop(watch);
    tokio::time::sleep(2 * ABSENCE).await;
    assert_eq!(world.oracle().verdict().drains, 0);
}
