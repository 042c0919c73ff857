//! Processes that receive SIGTERM and later SIGKILL, as the platform sends them: each accepted request has its final
//! answer before the kill, whatever the servers do and however long its client would wait.

use saffronpaddle_test_doubles::scripted::*;
use std::thread;
use std::time::{Duration, Instant};

/// Time between SIGTERM and SIGKILL on the platform, where the longest deadline of the settings is 3 s or more.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// Processes that are stopped at the same time.
const PROCESSES: usize = 3;

/// The class and the deadline of each request.
type Requests = [(&'static str, &'static str); 4];

/// Deadlines that lie after the kill.
const LONG_DEADLINES: Requests = [
    ("read", "9113m"),
    ("submit", "4591m"),
    ("pay", "9113m"),
    ("read", "30000m"),
];
/// Deadlines of a deployment whose longest deadline is 3 s.
const SHORT_DEADLINES: Requests = [
    ("read", "3000m"),
    ("submit", "2400m"),
    ("pay", "3000m"),
    ("read", "900m"),
];

/// A request's id, and the status of its answer; `None` if its process was killed before it answered.
type Outcome = (String, Option<u16>);

/// Sends a request at the given time, and waits for the answer until the connection ends.
fn send_at(
    mut client: Client,
    at: Instant,
    id: String,
    (class, deadline): (&str, &str),
) -> Outcome {
    thread::sleep(at.saturating_duration_since(Instant::now()));
    client.write(&request(&id, class, deadline));
    let status = client.read_response().map(|answer| answer.status());
    (id, status)
}

/// Runs one process whose server never answers, stops and kills it. Requests are sent before SIGTERM, while the process
/// drains, and as the first ones of their connections while it closes.
fn stop_and_kill(number: usize, longest_deadline_us: &str, requests: Requests) -> Vec<Outcome> {
    let (servers, discovery) = (Servers::new(), Discovery::start());
    let dial = servers.start("s-1", &[Reply::NoResponse]);
    let hosts = [host_json("s-1", dial, 1, "ready")];
    let deadlines = |config: String| {
        config.replace(
            "\"deadlineUs\":30000000",
            &format!("\"deadlineUs\":{longest_deadline_us}"),
        )
    };
    let tag = format!("killed-{longest_deadline_us}-{number}");
    let mut node =
        Node::start_with_config(&tag, discovery.address, &hosts, 1024, deadlines, |_| {});
    let mut pending = Vec::new();
    let send = |node: &Node, at: Instant, id: String, class_and_deadline| {
        let client = node.connect();
        thread::spawn(move || send_at(client, at, id, class_and_deadline))
    };
    for (index, class_and_deadline) in requests.into_iter().enumerate() {
        pending.push(send(
            &node,
            Instant::now(),
            format!("before-{number}-{index}"),
            class_and_deadline,
        ));
    }
    thread::sleep(Duration::from_millis(300));
    let schedule_start = Instant::now();
    for (after, when) in [(200, "leaving"), (650, "closing"), (900, "closing-late")] {
        for (index, class_and_deadline) in requests.into_iter().enumerate() {
            let at = schedule_start + Duration::from_millis(after);
            pending.push(send(
                &node,
                at,
                format!("{when}-{number}-{index}"),
                class_and_deadline,
            ));
        }
    }
    // Gives the kernel time to accept the connections before the signal.
    thread::sleep(Duration::from_millis(50));
    let terminated = Instant::now();
    node.terminate();
    while node.is_running() && terminated.elapsed() < KILL_DELAY {
        thread::sleep(Duration::from_millis(5));
    }
    if node.is_running() {
        node.signal("-KILL");
    }
    let outcomes: Vec<Outcome> = pending
        .into_iter()
        .map(|request| request.join().expect("the client does not panic"))
        .collect();
    if outcomes.iter().any(|(_, status)| status.is_none()) {
        node.drain_log()
            .iter()
            .for_each(|line| eprintln!("n{number}: {line}"));
    }
    outcomes
}

/// The ids of the requests that had no answer when their process was killed, and the number of all requests.
fn lost_requests(longest_deadline_us: &'static str, requests: Requests) -> (Vec<String>, usize) {
    let run_process =
        move |number| thread::spawn(move || stop_and_kill(number, longest_deadline_us, requests));
    let processes: Vec<_> = (0..PROCESSES).map(run_process).collect();
    let outcomes: Vec<Outcome> = processes
        .into_iter()
        .flat_map(|process| {
            process
                .join()
                .expect("the thread of the process does not panic")
        })
        .collect();
    let sent = outcomes.len();
    (
        outcomes
            .into_iter()
            .filter(|(_, status)| status.is_none())
            .map(|(id, _)| id)
            .collect(),
        sent,
    )
}

#[test]
fn each_request_is_answered_before_the_kill_where_deadlines_lie_after_it() {
    let (lost, sent) = lost_requests("30000000", LONG_DEADLINES);
    assert!(
        lost.is_empty(),
        "{} of {sent} requests had no answer: {lost:?}",
        lost.len()
    );
}

#[test]
fn each_request_is_answered_before_the_kill_where_the_longest_deadline_is_three_seconds() {
    let (lost, sent) = lost_requests("3000000", SHORT_DEADLINES);
    assert!(
        lost.is_empty(),
        "{} of {sent} requests had no answer: {lost:?}",
        lost.len()
    );
}
