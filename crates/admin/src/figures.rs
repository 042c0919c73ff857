//! The counts of a process, and how they are told.

use crate::fields::Fields;
use std::fmt::Write;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// Served: 200.
    Fulfilled,
    /// Refused: 429 or 503.
    Throttled,
    /// Failed: any other answer.
    Faulted,
    /// Its client had gone before any answer.
    Gone,
}

/// The requests of one class since the process began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassCounts {
    /// Taken in.
    pub taken: u64,
    /// Served.
    pub fulfilled: u64,
    /// Refused.
    pub throttled: u64,
    /// Failed.
    pub faulted: u64,
    /// Left by their clients before an answer.
    pub gone: u64,
}

impl ClassCounts {
    /// Taken, and neither answered nor left.
    pub fn open(&self) -> u64 {
        self.taken - self.fulfilled - self.throttled - self.faulted - self.gone
    }
}

/// Counts that all begin at 0 with the process. Each request that is taken ends once: what has been taken is always what
/// has ended in one of the four ways and what is open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestCounters {
    /// By class, in the order of the settings.
    pub classes: Vec<ClassCounts>,
    /// Attempts written whole to app servers.
    pub relayed: u64,
    /// Connections to app servers that were begun: each is a handshake.
    pub connects: u64,
    /// Those of them that never came up.
    pub connects_failed: u64,
    /// Attempts that a kept connection took.
    pub connections_reused: u64,
    /// Answers whose last byte is not out yet, though their requests have ended.
    pub streaming: u64,
}

impl RequestCounters {
    fn class(&mut self, class: usize) -> &mut ClassCounts {
        if self.classes.len() <= class {
            self.classes.resize(class + 1, ClassCounts::default());
        }
        &mut self.classes[class]
    }

    /// A request was taken.
    pub fn taken(&mut self, class: usize) {
        self.class(class).taken += 1;
    }

    /// A request that was taken has ended.
    pub fn ended(&mut self, class: usize, end: RequestEnd) {
        let counts = self.class(class);
        *match end {
            RequestEnd::Fulfilled => &mut counts.fulfilled,
            RequestEnd::Throttled => &mut counts.throttled,
            RequestEnd::Faulted => &mut counts.faulted,
            RequestEnd::Gone => &mut counts.gone,
        } += 1;
    }

    /// Requests that are taken and not ended, in all classes.
    pub fn open(&self) -> u64 {
        self.classes.iter().map(ClassCounts::open).sum::<u64>() + self.streaming
    }
}

/// One of the counts of a class.
type CountOf = fn(&ClassCounts) -> u64;

/// What is told on a call for the figures.
#[derive(Clone, Debug, Default)]
pub struct Metrics<'a> {
    /// Names of the classes.
    pub names: &'a [String],
    /// The counts.
    pub tally: RequestCounters,
    /// App servers on the list.
    pub registry_entries: usize,
    /// Those of them that get nothing new at present.
    pub out_of_rotation: usize,
    /// Messages to peers and from them.
    pub peer_messages: (u64, u64),
    /// What the decision module has done, by name: added up over a fleet they tell where tries and attempts go.
    pub policy_counters: Vec<(&'static str, u64)>,
}

impl Metrics<'_> {
    /// The figures in the text form of Prometheus, a sample a line, and the line that ends them.
    pub fn exposition(&self) -> String {
        let mut text =
            String::with_capacity(64 * (3 * self.names.len() + 11 + self.policy_counters.len()));
        let kinds: [(&str, CountOf); 3] = [
            ("fulfilled", |counts| counts.fulfilled),
            ("throttled", |counts| counts.throttled),
            ("faulted", |counts| counts.faulted),
        ];
        for (kind, of) in kinds {
            for (place, name) in self.names.iter().enumerate() {
                let count = self.tally.classes.get(place).map_or(0, of);
                // Writing to a string does not fail.
                let _ = writeln!(text, "lb_{kind}{{priority=\"{}\"}} {count}", escaped(name));
            }
        }
        for (name, count) in self.plain() {
            let _ = writeln!(text, "lb_{name} {count}");
        }
        text.push_str("EOT\n");
        text
    }

    /// The figures that have no label.
    fn plain(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let plain = [
            ("relayed", self.tally.relayed),
            ("connects", self.tally.connects),
            ("connects_failed", self.tally.connects_failed),
            ("connections_kept_used", self.tally.connections_reused),
            ("open_requests", self.tally.open()),
            ("registry_entries", self.registry_entries as u64),
            ("out_of_rotation", self.out_of_rotation as u64),
            ("words_told", self.peer_messages.0),
            ("words_heard", self.peer_messages.1),
        ];
        plain
            .into_iter()
            .chain(self.policy_counters.iter().copied())
    }

    /// The same in one line of fields for the log, with the ends of requests over all classes.
    pub fn log_line(&self, node: u32, at_ms: u64) -> String {
        let sum = |of: fn(&ClassCounts) -> u64| self.tally.classes.iter().map(of).sum();
        let ends = [
            ("taken", sum(|counts| counts.taken)),
            ("fulfilled", sum(|counts| counts.fulfilled)),
            ("throttled", sum(|counts| counts.throttled)),
            ("faulted", sum(|counts| counts.faulted)),
        ];
        Fields::line(node, at_ms, ends.into_iter().chain(self.plain()))
    }
}

/// A label's value as the text form has it.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
