//! Counters and duration histograms of the nodes of one process. The counters are never reset; each snapshot resets the
//! histograms.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Longest duration that the histogram distinguishes, µs. Longer ones are recorded as this one.
const MAX_DURATION_US: u64 = 600_000_000;

/// A histogram of durations, µs.
#[derive(Clone, Debug)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        DurationHistogram(
            Histogram::new_with_bounds(1, MAX_DURATION_US, 3)
                .unwrap_or_else(|_| unreachable!("1 is less than 600 s")),
        )
    }
}

impl DurationHistogram {
    /// Records one duration, µs; 0 counts as 1.
    pub fn record(&mut self, duration: u64) {
        self.0.saturating_record(duration.max(1));
    }

    /// Recorded durations, µs, each with its count.
    pub fn buckets(&self) -> Vec<(u64, u64)> {
        self.0
            .iter_recorded()
            .map(|value| {
                (
                    value.value_iterated_to(),
                    value.count_since_last_iteration(),
                )
            })
            .collect()
    }

    /// Adds the buckets of another process.
    pub fn merge(&mut self, buckets: &[(u64, u64)]) {
        buckets
            .iter()
            .for_each(|(duration, count)| self.0.saturating_record_n(*duration, *count));
    }

    /// The quantile at `share` (0 to 1), µs; `None` without recorded durations.
    pub fn quantile(&self, share: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(share) as f64)
    }

    /// Number of recorded durations.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Removes all recorded durations.
    pub fn reset(&mut self) {
        self.0.reset();
    }
}

/// Kind of event that the exchange and its policy engine handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EventKind {
    /// A request, or an event of its attempts and connections.
    Request,
    /// A timer of the policy engine.
    #[serde(rename = "Wake")]
    Timer,
    /// A datagram of a peer.
    #[serde(rename = "Word")]
    PeerMessage,
    /// A list of app servers, or a change of it.
    #[serde(rename = "List")]
    EndpointList,
}

/// Number of handled events and the CPU time that they took.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandlingCost {
    /// Handled events.
    #[serde(rename = "times")]
    pub events: u64,
    /// CPU time, ns, including the reading of the clock.
    #[serde(rename = "ns")]
    pub cpu_ns: u64,
}

/// Totals over all nodes of a process since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Requests that clients sent.
    pub offered: u64,
    /// Requests answered as served.
    pub served: u64,
    /// Requests answered as refused.
    pub refused: u64,
    /// Requests answered as failed.
    pub failed: u64,
    /// Requests whose node was restarted before their answer.
    #[serde(rename = "cut")]
    pub interrupted: u64,
    /// Datagrams sent, and their payload in bytes.
    #[serde(rename = "sent")]
    pub datagrams_sent: (u64, u64),
    /// Datagrams received, and their payload in bytes.
    #[serde(rename = "taken")]
    pub datagrams_received: (u64, u64),
    /// Calls to the list service, bytes that it sent, and the lists in them.
    #[serde(rename = "list")]
    pub list_traffic: (u64, u64, u64),
    /// Connections to app servers that the exchange opened.
    pub connects: u64,
    /// Attempts that were written to an app server.
    pub attempts: u64,
    /// Reports of the policy engine that a node would log.
    #[serde(rename = "logged")]
    pub reports: u64,
    /// Cost of events of requests.
    #[serde(rename = "on_requests")]
    pub request_cost: HandlingCost,
    /// Cost of timers.
    #[serde(rename = "on_wakes")]
    pub timer_cost: HandlingCost,
    /// Cost of datagrams of peers.
    #[serde(rename = "on_words")]
    pub peer_message_cost: HandlingCost,
    /// Cost of lists.
    #[serde(rename = "on_lists")]
    pub list_cost: HandlingCost,
}

impl Totals {
    /// The cost counter of a kind of event.
    pub fn cost_mut(&mut self, kind: EventKind) -> &mut HandlingCost {
        match kind {
            EventKind::Request => &mut self.request_cost,
            EventKind::Timer => &mut self.timer_cost,
            EventKind::PeerMessage => &mut self.peer_message_cost,
            EventKind::EndpointList => &mut self.list_cost,
        }
    }

    /// Requests that are answered or were interrupted by a restart.
    pub fn completed(&self) -> u64 {
        self.served + self.refused + self.failed + self.interrupted
    }
}

/// State of a process of hollow nodes at one time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Unix time, µs.
    pub at: u64,
    /// CPU time of the process since its start, ns.
    pub cpu_ns: u64,
    /// Resident memory of the process, bytes.
    #[serde(rename = "memory")]
    pub memory_bytes: u64,
    /// Open connections to app servers.
    #[serde(rename = "links")]
    pub open_connections: usize,
    /// Entries that the policy engines of all nodes hold on servers and tenants.
    #[serde(rename = "kept")]
    pub tracked_entries: usize,
    /// Totals since the start of the process.
    #[serde(rename = "sums")]
    pub totals: Totals,
    /// Delay of the event loop, µs, as histogram buckets since the last snapshot.
    #[serde(rename = "lag")]
    pub loop_lag: Vec<(u64, u64)>,
    /// Time from a request's due time to its served answer less the app server's own work, µs, as histogram buckets
    /// since the last snapshot.
    #[serde(rename = "added")]
    pub added_latency: Vec<(u64, u64)>,
    /// Counters of the policy engines' decisions by their exported names, summed over the nodes that run.
    #[serde(rename = "decisions", default)]
    pub decisions: BTreeMap<String, u64>,
}
