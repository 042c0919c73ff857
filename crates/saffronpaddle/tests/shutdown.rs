//! Processes that are told to stop and killed later, as the platform does it: each request that was taken has its final
//! answer before the kill, whatever servers do and however long its client would wait.

use saffronpaddle_test_doubles::scripted::*;
use std::thread;
use std::time::{Duration, Instant};

/// The platform kills so long after SIGTERM, where the longest deadline of the settings is 3 s or more.
const KILLED_AFTER: Duration = Duration::from_millis(3_700);
/// Processes that are told to stop together.
const PROCESSES: usize = 3;

/// Classes of requests, each with what its client waits.
type Asked = [(&'static str, &'static str); 4];

/// Clients that wait longer than the process has left.
const LONG: Asked = [
    ("read", "9113m"),
    ("submit", "4591m"),
    ("pay", "9113m"),
    ("read", "30000m"),
];
/// Clients of a deployment whose longest deadline is 3 s.
const SHORT: Asked = [
    ("read", "3000m"),
    ("submit", "2400m"),
    ("pay", "3000m"),
    ("read", "900m"),
];

/// What became of a request: who asked, and the status of its answer, if it got one before its process was killed.
type Outcome = (String, Option<u16>);

/// Asks once `at` has come, and waits for the answer until the connection ends.
fn ask_at(mut client: Client, at: Instant, id: String, (class, deadline): (&str, &str)) -> Outcome {
    thread::sleep(at.saturating_duration_since(Instant::now()));
    client.write(&request(&id, class, deadline));
    let status = client.read_response().map(|answer| answer.status());
    (id, status)
}

/// One process whose server never answers: requests are taken before SIGTERM, while it leaves, and on connections that
/// first ask while it closes.
fn stopped_and_killed(number: usize, longest_us: &str, requests: Asked) -> Vec<Outcome> {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let deadlines = |config: String| {
        config.replace(
            "\"deadlineUs\":30000000",
            &format!("\"deadlineUs\":{longest_us}"),
        )
    };
    let tag = format!("killed-{longest_us}-{number}");
    let mut node =
        Node::start_with_config(&tag, discovery.address, &hosts, 1024, deadlines, |_| {});
    let mut asked = Vec::new();
    let ask = |node: &Node, at: Instant, id: String, what| {
        let client = node.connect();
        thread::spawn(move || ask_at(client, at, id, what))
    };
    for (place, what) in requests.into_iter().enumerate() {
        asked.push(ask(
            &node,
            Instant::now(),
            format!("before-{number}-{place}"),
            what,
        ));
    }
    thread::sleep(Duration::from_millis(300));
    let told = Instant::now();
    for (after, when) in [(200, "leaving"), (650, "closing"), (900, "closing-late")] {
        for (place, what) in requests.into_iter().enumerate() {
            let at = told + Duration::from_millis(after);
            asked.push(ask(&node, at, format!("{when}-{number}-{place}"), what));
        }
    }
    // The machine has accepted them before the signal.
    thread::sleep(Duration::from_millis(50));
    let told = Instant::now();
    node.terminate();
    while node.is_running() && told.elapsed() < KILLED_AFTER {
        thread::sleep(Duration::from_millis(5));
    }
    if node.is_running() {
        node.signal("-KILL");
    }
    let outcomes: Vec<Outcome> = asked
        .into_iter()
        .map(|asked| asked.join().expect("no panic"))
        .collect();
    if outcomes.iter().any(|(_, status)| status.is_none()) {
        node.drain_log()
            .iter()
            .for_each(|line| eprintln!("n{number}: {line}"));
    }
    outcomes
}

/// Requests that had no answer when their process was killed, of how many.
fn lost(longest_us: &'static str, requests: Asked) -> (Vec<String>, usize) {
    let play =
        move |number| thread::spawn(move || stopped_and_killed(number, longest_us, requests));
    let processes: Vec<_> = (0..PROCESSES).map(play).collect();
    let outcomes: Vec<Outcome> = processes
        .into_iter()
        .flat_map(|process| process.join().expect("no panic"))
        .collect();
    let asked = outcomes.len();
    (
        outcomes
            .into_iter()
            .filter(|(_, status)| status.is_none())
            .map(|(id, _)| id)
            .collect(),
        asked,
    )
}

#[test]
fn each_request_is_answered_before_the_kill_where_clients_wait_longer_than_the_process_has() {
    let (lost, asked) = lost("30000000", LONG);
    assert!(
        lost.is_empty(),
        "{} of {asked} requests had no answer: {lost:?}",
        lost.len()
    );
}

#[test]
fn each_request_is_answered_before_the_kill_where_the_longest_deadline_is_three_seconds() {
    let (lost, asked) = lost("3000000", SHORT);
    assert!(
        lost.is_empty(),
        "{} of {asked} requests had no answer: {lost:?}",
        lost.len()
    );
}
