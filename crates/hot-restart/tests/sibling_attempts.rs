//! Two processes of one node, each with its policy engine: what they admit together, and the cleanup after one exits.

mod support;

use saffronpaddle_policy::interface::*;
use support::{Process, HARD_LIMIT_CAPACITY, HARD_LIMIT_RATE, START};

/// Delivers the sibling messages of both processes until none are left.
fn exchange(now: Micros, parent: &mut Process, child: &mut Process) {
    while !(parent.sibling_messages.is_empty() && child.sibling_messages.is_empty()) {
        deliver(now, parent, child);
        deliver(now, child, parent);
    }
}

fn deliver(now: Micros, from: &mut Process, to: &mut Process) {
    for message in std::mem::take(&mut from.sibling_messages) {
        to.handle(now, Event::SiblingMessage { link: 0, message });
    }
}

/// The units that two processes have sent together, and the units that the hard limit allows.
struct Overlap {
    /// Units that the parent and the child have sent, each since its start.
    sent: u32,
    /// The capacity of the hard limit, plus the units that it refills while both processes run.
    allowed: f64,
}

/// Sends requests alternately to a parent and its child. `linked` determines whether the two processes share state and
/// attempts.
fn overlap(linked: bool, requests: u32) -> Overlap {
    let mut parent = Process::new(START);
    // A node's share of a hard limit starts empty and refills over time.
    let mut now = START + 20_000_000;
    parent.request(now, 0);
    let snapshot =
        serde_json::to_string(&parent.engine.snapshot()).expect("a snapshot can be encoded");
    let mut child = Process::new(now);
    if linked {
        let snapshot = serde_json::from_str(&snapshot).expect("a snapshot can be decoded");
        child.engine.restore(snapshot, 0);
        let siblings_changed = Event::SiblingsChanged {
            ended_link: None,
            share_attempts: true,
            peer_messages_delegated: false,
        };
        parent.handle(now, siblings_changed.clone());
        child.handle(now, siblings_changed);
    }
    let overlap_start = now;
    for number in 1..=requests {
        now += 20_000;
        if number % 2 == 0 {
            parent.request(now, number);
        } else {
            child.request(now, number);
        }
        exchange(now, &mut parent, &mut child);
    }
    let seconds = (now - overlap_start) as f64 / 1e6;
    Overlap {
        sent: parent.attempts_sent + child.attempts_sent,
        allowed: HARD_LIMIT_CAPACITY + HARD_LIMIT_RATE * seconds,
    }
}

/// Two linked processes use the hard limit fully and never exceed it together. Without the link, the child's share of
/// the limit, which starts empty, refills in addition to the parent's, and both together exceed the limit.
#[test]
fn two_linked_processes_keep_one_hard_limit() {
    let Overlap { sent, allowed } = overlap(true, 400);
    assert!(
        f64::from(sent) <= allowed + 1.0,
        "the processes sent {sent} units, but the limit allows {allowed}"
    );
    assert!(
        f64::from(sent) > allowed * 0.8,
        "the processes sent only {sent} of {allowed} units that the limit allows"
    );
    let Overlap { sent, allowed } = overlap(false, 400);
    assert!(
        f64::from(sent) > allowed * 1.3,
        "without the link, the processes sent only {sent} units, and the limit allows {allowed}"
    );
}

/// A sibling process exits with attempts in flight and never reports their end. They must not count against concurrency
/// limits forever or stay in memory.
#[test]
fn attempts_of_an_exited_process_are_released() {
    let mut process = Process::new(START);
    let attempt = |number: u32| SiblingAttempt {
        request: RequestId(format!("t{number}").into()),
        attempt: AttemptNumber(0),
        server: ServerId(1),
        customer: CustomerId(9),
        class: ClassId(0),
        queued_since: START,
        sent_at: START,
        in_flight: 1.0,
        charge: None,
    };
    for number in 0..10_000 {
        process.handle(
            START,
            Event::SiblingMessage {
                link: number % 2,
                message: SiblingMessage::AttemptStarted(attempt(number)),
            },
        );
    }
    let bytes_with_attempts = snapshot_bytes(&process);
    for (ended_link, share_attempts) in [(0, true), (1, false)] {
        process.handle(
            START,
            Event::SiblingsChanged {
                ended_link: Some(ended_link),
                share_attempts,
                peer_messages_delegated: false,
            },
        );
    }
    let bytes_after_exit = snapshot_bytes(&process);
    assert!(
        bytes_after_exit * 100 < bytes_with_attempts,
        "a snapshot still has {bytes_after_exit} bytes, and had {bytes_with_attempts} with the attempts"
    );
}

fn snapshot_bytes(process: &Process) -> usize {
    serde_json::to_string(&process.engine.snapshot())
        .expect("a snapshot can be encoded")
        .len()
}

/// Only one of two processes exchanges messages with peers. If it exits, the other process resumes the exchange.
#[test]
fn one_of_two_processes_exchanges_peer_messages() {
    let mut now = START;
    let mut process = Process::new(now);
    let mut broadcasts_in_two_seconds = |process: &mut Process| {
        let before = process.broadcasts;
        for _ in 0..100 {
            now += 20_000;
            process.handle(now, Event::TimerFired { token: 0 });
        }
        process.broadcasts - before
    };
    assert!(
        broadcasts_in_two_seconds(&mut process) > 5,
        "a process without siblings sends messages to its peers"
    );
    process.handle(
        START + 2_000_000,
        Event::SiblingsChanged {
            ended_link: None,
            share_attempts: true,
            peer_messages_delegated: true,
        },
    );
    assert_eq!(
        broadcasts_in_two_seconds(&mut process),
        0,
        "the sibling process sends the messages to peers"
    );
    process.handle(
        START + 4_000_000,
        Event::SiblingsChanged {
            ended_link: Some(0),
            share_attempts: false,
            peer_messages_delegated: false,
        },
    );
    assert!(
        broadcasts_in_two_seconds(&mut process) > 5,
        "the process sends messages to its peers again after its sibling has exited"
    );
}
