//! The metrics of a node, formatted as the answer to `INFO` and as a log line.

use crate::counters::{ClassCounts, RequestCounters};
use crate::log_fields::CounterLine;
use std::fmt::Write;

/// Marks the end of the metrics, so that a caller can tell that it has received all of them.
const END_OF_TEXT: &str = "EOT\n";

/// Numbers of messages exchanged with peers since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerMessageCounts {
    /// Messages sent to peers.
    pub sent: u64,
    /// Messages received from peers.
    pub received: u64,
}

/// A snapshot of all metrics of a node.
#[derive(Clone, Debug, Default)]
pub struct Metrics<'a> {
    /// The names of the classes, in the order of the settings.
    pub class_names: &'a [String],
    /// Counts of requests by class, and of attempts and connections, since the process started.
    pub request_counters: RequestCounters,
    /// Number of app servers on the list.
    pub registry_entries: usize,
    /// Number of app servers on the list that currently get no new requests.
    pub out_of_rotation: usize,
    /// Numbers of messages exchanged with peers.
    pub peer_messages: PeerMessageCounts,
    /// Counters of the policy engine by name. Summed over a fleet, they show how requests and attempts were handled.
    pub policy_counters: Vec<(&'static str, u64)>,
}

/// A counter of a class's requests, exposed with the class's name as a label.
struct ClassMetric {
    name: &'static str,
    count: fn(&ClassCounts) -> u64,
}

/// The counters that are exposed for each class.
const CLASS_METRICS: [ClassMetric; 3] = [
    ClassMetric {
        name: "fulfilled",
        count: |counts| counts.fulfilled,
    },
    ClassMetric {
        name: "throttled",
        count: |counts| counts.throttled,
    },
    ClassMetric {
        name: "faulted",
        count: |counts| counts.faulted,
    },
];

impl Metrics<'_> {
    /// Formats the metrics in the Prometheus text format, one sample per line, followed by the line `EOT`.
    pub fn exposition(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        for metric in CLASS_METRICS {
            for (class, class_name) in self.class_names.iter().enumerate() {
                let count = self
                    .request_counters
                    .classes
                    .get(class)
                    .map_or(0, metric.count);
                let label = escape_label(class_name);
                let _ = writeln!(text, "lb_{}{{priority=\"{label}\"}} {count}", metric.name);
            }
        }
        for (name, count) in self.unlabelled() {
            let _ = writeln!(text, "lb_{name} {count}");
        }
        text.push_str(END_OF_TEXT);
        text
    }

    /// Formats the metrics as one log line, without the line feed. Request counters are summed over all classes.
    /// `at_ms` is the time since the process started, in milliseconds.
    pub fn log_line(&self, node: u32, at_ms: u64) -> String {
        let sums = [
            ("taken", self.request_counters.sum(|counts| counts.received)),
            (
                "fulfilled",
                self.request_counters.sum(|counts| counts.fulfilled),
            ),
            (
                "throttled",
                self.request_counters.sum(|counts| counts.throttled),
            ),
            (
                "faulted",
                self.request_counters.sum(|counts| counts.faulted),
            ),
        ];
        CounterLine::format(node, at_ms, sums.into_iter().chain(self.unlabelled()))
    }

    /// Returns the metrics that are exposed without a label, each with its name.
    fn unlabelled(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        let request_and_peer_counters = [
            ("relayed", self.request_counters.relayed),
            ("connects", self.request_counters.connects),
            ("connects_failed", self.request_counters.connects_failed),
            (
                "connections_kept_used",
                self.request_counters.connections_reused,
            ),
            (
                "responses_ended_at_deadline",
                self.request_counters.responses_ended_at_deadline,
            ),
            ("open_requests", self.request_counters.open()),
            ("registry_entries", self.registry_entries as u64),
            ("out_of_rotation", self.out_of_rotation as u64),
            ("words_told", self.peer_messages.sent),
            ("words_heard", self.peer_messages.received),
        ];
        request_and_peer_counters
            .into_iter()
            .chain(self.policy_counters.iter().copied())
    }
}

/// Escapes a label value for the Prometheus text format.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
