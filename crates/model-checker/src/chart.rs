//! Draws a path to a violation as a sequence chart in text.

use crate::world::{PolicyModel, PropertyViolation, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::cmp::Ordering;
use std::fmt::Write;

/// A lane of the chart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    Clients,
    Node,
    Connections,
    Servers,
}

impl Lane {
    /// Its column in characters.
    fn column(self) -> usize {
        match self {
            Lane::Clients => 4,
            Lane::Node => 24,
            Lane::Connections => 44,
            Lane::Servers => 64,
        }
    }
}

/// A line of the chart: who acts, on whom, and what happens.
struct Arrow {
    from: Lane,
    to: Lane,
    caption: String,
}

impl Arrow {
    fn new(from: Lane, to: Lane, caption: impl Into<String>) -> Arrow {
        Arrow {
            from,
            to,
            caption: caption.into(),
        }
    }

    fn of(step: Step) -> Arrow {
        client_arrow(step)
            .or_else(|| policy_arrow(step))
            .or_else(|| server_arrow(step))
            .or_else(|| connection_arrow(step))
            .unwrap_or_else(|| node_arrow(step))
    }

    /// The arrow between its lanes; `*` for what happens inside a lane.
    fn line(&self) -> String {
        let left = self.from.min(self.to).column();
        let right = self.from.max(self.to).column();
        let indent = " ".repeat(left);
        let shaft = "-".repeat(right - left);
        match self.from.cmp(&self.to) {
            Ordering::Less => format!("{indent}{shaft}>"),
            Ordering::Greater => format!("{indent}<{shaft}"),
            Ordering::Equal => format!("{indent}*"),
        }
    }
}

fn client_arrow(step: Step) -> Option<Arrow> {
    let caption = match step {
        Step::RequestArrives(r) => format!("request {r} is whole"),
        Step::ClientLeaves(r) => format!("client {r} goes"),
        Step::BodyArrives(r) => format!("the last byte of {r} comes"),
        Step::ResponseDropped(c) => {
            format!("the client of wire {c}'s long answer takes no more")
        }
        _ => return None,
    };
    Some(Arrow::new(Lane::Clients, Lane::Node, caption))
}

fn policy_arrow(step: Step) -> Option<Arrow> {
    let caption = match step {
        Step::PolicySends {
            request,
            server,
            short,
        } => {
            let timeout = if short { " for one step" } else { "" };
            format!("module: send {request} to s{server}{timeout}")
        }
        Step::PolicyRejects(r) => format!("module: refuse {r}"),
        Step::PolicyFails(r) => format!("module: fail {r}"),
        Step::PolicyCancels(r) => format!("module: call off {r}"),
        _ => return None,
    };
    Some(Arrow::new(Lane::Node, Lane::Node, caption))
}

fn server_arrow(step: Step) -> Option<Arrow> {
    let caption = match step {
        Step::ResponseFinishes(c) => format!("the rest of a long answer on wire {c}"),
        Step::ServerResponds(c, response) => format!("answer {response:?} on wire {c}"),
        Step::ServerRepeats(c) => format!("the same answer again on wire {c}"),
        Step::ConnectionResets {
            connection,
            unread_lost,
        } => {
            let lost = if unread_lost {
                ", what it held is lost"
            } else {
                ""
            };
            format!("wire {connection} is reset{lost}")
        }
        _ => return None,
    };
    Some(Arrow::new(Lane::Servers, Lane::Connections, caption))
}

fn connection_arrow(step: Step) -> Option<Arrow> {
    let caption = match step {
        Step::ConnectSucceeds(c) => format!("wire {c} is up"),
        Step::ConnectFails(c) => format!("wire {c} can't be made"),
        Step::ConnectLacksResource(c) => format!("no descriptor for wire {c}"),
        Step::FirstByteReady(c) => format!("wire {c} takes bytes"),
        Step::NodeReads(c) => format!("an answer is read from wire {c}"),
        Step::NodeSeesEnd(c) => format!("wire {c} has ended"),
        Step::ConnectionCloses(c) => format!("wire {c} is closed"),
        _ => return None,
    };
    Some(Arrow::new(Lane::Connections, Lane::Node, caption))
}

fn node_arrow(step: Step) -> Arrow {
    match step {
        Step::EndpointsChange => Arrow::new(Lane::Servers, Lane::Node, "the list changes"),
        Step::ShutdownAnnounced => {
            Arrow::new(Lane::Node, Lane::Node, "the process is told when it ends")
        }
        Step::NodeStops => Arrow::new(Lane::Node, Lane::Node, "the node is told to leave"),
        Step::ClockTicks => Arrow::new(Lane::Node, Lane::Node, "a step of the clock"),
        _ => Arrow::new(Lane::Node, Lane::Node, "the alarm rings"),
    }
}

/// The chart of a trace: a line for each step, and under it what the exchange does about it.
pub fn draw<M: PolicyModel>(
    setup: &Setup,
    policy: M,
    bug: Option<Bug>,
    trace: &[Step],
    violation: &PropertyViolation,
) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "step  time  {:<18}  {:<18}  {:<18}  {:<18}",
        "clients", "node", "wires", "servers"
    );
    let mut world = World::new(setup, policy, bug);
    for (index, step) in trace.iter().enumerate() {
        let clock = world.clock();
        let taken = world.take(setup, *step);
        let arrow = Arrow::of(*step);
        let number = index + 1;
        let line = arrow.line();
        let _ = writeln!(text, "{number:>4}  {clock:>4}{line:<70}{}", arrow.caption);
        for note in &world.notes {
            let _ = writeln!(text, "{:>34} {note}", "|");
        }
        if taken.is_err() {
            break;
        }
    }
    let _ = writeln!(text, "broken: {violation}");
    text
}
