//! Draws a way to a breach as a sequence chart in text.

use crate::world::{Breach, Inside, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::fmt::Write;

/// Columns of the lanes: clients, the node, its connections, servers.
const LANES: [usize; 4] = [4, 24, 44, 64];

/// Who moves, who is moved, and in which words.
fn arrow(step: Step) -> (usize, usize, String) {
    match step {
        Step::Asks(r) => (0, 1, format!("request {r} is whole")),
        Step::Leaves(r) => (0, 1, format!("client {r} goes")),
        Step::Ends(r) => (0, 1, format!("the last byte of {r} comes")),
        Step::Finishes(l) => (3, 2, format!("the rest of a long answer on wire {l}")),
        Step::Drops(l) => (
            0,
            1,
            format!("the client of wire {l}'s long answer takes no more"),
        ),
        Step::Sends(r, server, short) => (
            1,
            1,
            format!(
                "module: send {r} to s{server}{}",
                if short { " for one step" } else { "" }
            ),
        ),
        Step::Refuses(r) => (1, 1, format!("module: refuse {r}")),
        Step::Fails(r) => (1, 1, format!("module: fail {r}")),
        Step::CallsOff(r) => (1, 1, format!("module: call off {r}")),
        Step::Connects(l) => (2, 1, format!("wire {l} is up")),
        Step::CantConnect(l) => (2, 1, format!("wire {l} can't be made")),
        Step::Lacks(l) => (2, 1, format!("no descriptor for wire {l}")),
        Step::Begins(l) => (2, 1, format!("wire {l} takes bytes")),
        Step::Answers(l, reply) => (3, 2, format!("answer {reply:?} on wire {l}")),
        Step::Repeats(l) => (3, 2, format!("the same answer again on wire {l}")),
        Step::Resets(l, lost) => (
            3,
            2,
            format!(
                "wire {l} is reset{}",
                if lost { ", what it held is lost" } else { "" }
            ),
        ),
        Step::Reads(l) => (2, 1, format!("an answer is read from wire {l}")),
        Step::SeesEnd(l) => (2, 1, format!("wire {l} has ended")),
        Step::Closes(l) => (2, 1, format!("wire {l} is closed")),
        Step::Changes => (3, 1, "the list changes".to_owned()),
        Step::Ending => (1, 1, "the process is told when it ends".to_owned()),
        Step::Stops => (1, 1, "the node is told to leave".to_owned()),
        Step::Passes => (1, 1, "a step of the clock".to_owned()),
        Step::Rings => (1, 1, "the alarm rings".to_owned()),
    }
}

/// The chart of a trace: one line for what happens, and under it what the exchange does about it.
pub fn draw<M: Inside>(
    setup: &Setup,
    module: M,
    bug: Option<Bug>,
    trace: &[Step],
    breach: &Breach,
) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "step  time  {:<18}  {:<18}  {:<18}  {:<18}",
        "clients", "node", "wires", "servers"
    );
    let mut world = World::new(setup, module, bug);
    for (number, step) in trace.iter().enumerate() {
        let clock = world.clock();
        let end = world.take(setup, *step);
        let (from, to, words) = arrow(*step);
        let (left, right) = (LANES[from.min(to)], LANES[from.max(to)]);
        let line = match from.cmp(&to) {
            std::cmp::Ordering::Less => {
                format!("{}{}>", " ".repeat(left), "-".repeat(right - left))
            }
            std::cmp::Ordering::Greater => {
                format!("{}<{}", " ".repeat(left), "-".repeat(right - left))
            }
            std::cmp::Ordering::Equal => format!("{}*", " ".repeat(left)),
        };
        let _ = writeln!(text, "{:>4}  {clock:>4}{line:<70}{words}", number + 1);
        for note in &world.notes {
            let _ = writeln!(text, "{:>34} {note}", "|");
        }
        if end.is_err() {
            break;
        }
    }
    let _ = writeln!(text, "broken: {breach}");
    text
}
