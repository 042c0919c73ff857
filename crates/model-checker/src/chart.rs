//! Draws the trace to a violation as a text sequence chart.

use crate::world::{PolicyModel, PropertyViolation, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::cmp::Ordering;
use std::fmt::Write;

/// A lane (column) of the chart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Lane {
    Clients,
    Node,
    Connections,
    Servers,
}

impl Lane {
    /// Returns the position of the lane, in characters.
    fn column(self) -> usize {
        match self {
            Lane::Clients => 4,
            Lane::Node => 24,
            Lane::Connections => 44,
            Lane::Servers => 64,
        }
    }
}

/// A line of the chart: an arrow from the acting lane to the affected one, with a caption.
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

    /// Returns the arrow between the lanes; `*` marks a step within one lane.
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
        Step::RequestArrives(r) => format!("request {r} arrives"),
        Step::ClientLeaves(r) => format!("client {r} disconnects"),
        Step::BodyArrives(r) => format!("the last body byte of request {r} arrives"),
        Step::BodyFails(r) => format!("the client of request {r} stops in the middle of its body"),
        Step::BodyDeadlineChanges { request: r, short } => {
            let change = if short { "pauses" } else { "goes on" };
            format!("the receipt of the body of request {r} {change}")
        }
        Step::ResponseDropped(c) => {
            format!("the client of the streaming response on connection {c} stops reading")
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
            let timeout = if short {
                " with a timeout of one tick"
            } else {
                ""
            };
            format!("policy: send request {request} to server {server}{timeout}")
        }
        Step::PolicyRejects(r) => format!("policy: reject request {r}"),
        Step::PolicyFails(r) => format!("policy: fail request {r}"),
        Step::PolicyReleases(r) => format!("policy: release the body of request {r}"),
        Step::PolicyCancels(r) => format!("policy: cancel the attempt of request {r}"),
        _ => return None,
    };
    Some(Arrow::new(Lane::Node, Lane::Node, caption))
}

fn server_arrow(step: Step) -> Option<Arrow> {
    let caption = match step {
        Step::ResponseFinishes(c) => {
            format!("the rest of the streaming response on connection {c} arrives")
        }
        Step::ResponseTurnsLong(c) => {
            format!("the streaming response on connection {c} turns out to be long")
        }
        Step::ServerResponds(c, response) => format!("response {response:?} on connection {c}"),
        Step::ServerRepeats(c) => format!("duplicate of the last response on connection {c}"),
        Step::ConnectionResets {
            connection,
            unread_lost,
        } => {
            let lost = if unread_lost {
                ", unread responses are lost"
            } else {
                ""
            };
            format!("connection {connection} is reset{lost}")
        }
        _ => return None,
    };
    Some(Arrow::new(Lane::Servers, Lane::Connections, caption))
}

fn connection_arrow(step: Step) -> Option<Arrow> {
    let caption = match step {
        Step::ConnectSucceeds(c) => format!("connection {c} is established"),
        Step::ConnectFails(c) => format!("connect of connection {c} fails"),
        Step::ConnectLacksResource(c) => {
            format!("connect of connection {c} fails: the node lacks a resource")
        }
        Step::FirstByteReady(c) => format!("connection {c} is ready for the first byte"),
        Step::NodeReads(c) => format!("a response is read from connection {c}"),
        Step::NodeSeesEnd(c) => {
            format!("the end of connection {c} or unsolicited bytes are noticed")
        }
        Step::ConnectionCloses(c) => format!("connection {c} is closed"),
        _ => return None,
    };
    Some(Arrow::new(Lane::Connections, Lane::Node, caption))
}

fn node_arrow(step: Step) -> Arrow {
    match step {
        Step::EndpointsChange => Arrow::new(Lane::Servers, Lane::Node, "the endpoint list changes"),
        Step::ShutdownAnnounced => Arrow::new(Lane::Node, Lane::Node, "a shutdown is announced"),
        Step::NodeDrains => Arrow::new(Lane::Node, Lane::Node, "the node starts to drain"),
        Step::ClockTicks => Arrow::new(Lane::Node, Lane::Node, "the clock ticks"),
        _ => Arrow::new(Lane::Node, Lane::Node, "the timer fires"),
    }
}

/// Returns the chart of a trace: a line for each step, followed by the commands and policy events that it causes.
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
        "clients", "node", "connections", "servers"
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
    let _ = writeln!(text, "violated: {violation}");
    text
}
