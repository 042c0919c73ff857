//! What the nodes of one process have counted. Sums go on for ever; spans begin anew with each look.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest span that is kept apart from longer ones, µs.
const LONGEST: u64 = 600_000_000;

/// Spans, by how many there were of each length, µs.
#[derive(Clone, Debug)]
pub struct Spans(Histogram<u64>);

impl Default for Spans {
    fn default() -> Self {
        // Bounds that are right by their values.
        Spans(
            Histogram::new_with_bounds(1, LONGEST, 3)
                .unwrap_or_else(|_| unreachable!("1 is less than 600 s")),
        )
    }
}

impl Spans {
    /// Adds one.
    pub fn add(&mut self, span: u64) {
        self.0.saturating_record(span.max(1));
    }

    /// Lengths, and how many there were of each.
    pub fn pairs(&self) -> Vec<(u64, u64)> {
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

    /// Adds what another process has counted.
    pub fn merge(&mut self, pairs: &[(u64, u64)]) {
        pairs
            .iter()
            .for_each(|(span, many)| self.0.saturating_record_n(*span, *many));
    }

    /// The length that this share of them is at the most; none where there are none.
    pub fn at(&self, share: f64) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(share) as f64)
    }

    /// How many there are.
    pub fn many(&self) -> u64 {
        self.0.len()
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.0.reset();
    }
}

/// What the decision was entered for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Why {
    /// A request, or what came of its attempts and connections.
    Request,
    /// A wake-up of its own.
    Wake,
    /// A peer's datagram.
    Word,
    /// News of the list.
    List,
}

/// How often the decision was entered, and its CPU.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spent {
    /// Times.
    pub times: u64,
    /// CPU, ns, the clock's own reading included.
    pub ns: u64,
}

/// Sums over all nodes of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sums {
    /// Tries that were due.
    pub offered: u64,
    /// Tries that have their final answer: served,
    pub served: u64,
    /// refused,
    pub refused: u64,
    /// or failed.
    pub failed: u64,
    /// Tries whose node was restarted before their answer.
    pub cut: u64,
    /// Datagrams sent, and bytes in them.
    pub sent: (u64, u64),
    /// Datagrams taken, and bytes in them.
    pub taken: (u64, u64),
    /// Calls on the list service, bytes that it wrote, and lists among these.
    pub list: (u64, u64, u64),
    /// Connections to app servers that were asked for.
    pub connects: u64,
    /// Attempts that were written.
    pub attempts: u64,
    /// Lines for the log.
    pub logged: u64,
    /// The decision's CPU: requests,
    pub on_requests: Spent,
    /// wake-ups,
    pub on_wakes: Spent,
    /// words,
    pub on_words: Spent,
    /// lists.
    pub on_lists: Spent,
}

impl Sums {
    /// Where a reason is counted.
    pub fn spent(&mut self, why: Why) -> &mut Spent {
        match why {
            Why::Request => &mut self.on_requests,
            Why::Wake => &mut self.on_wakes,
            Why::Word => &mut self.on_words,
            Why::List => &mut self.on_lists,
        }
    }

    /// Tries that have their final answer.
    pub fn done(&self) -> u64 {
        self.served + self.refused + self.failed + self.cut
    }
}

/// A look at a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Look {
    /// When, Unix time in µs.
    pub at: u64,
    /// CPU of the whole process so far, ns.
    pub cpu_ns: u64,
    /// Its memory in use, bytes.
    pub memory: u64,
    /// Connections to app servers that are open.
    pub links: usize,
    /// What the decision keeps in mind of servers and tenants, over all nodes.
    pub kept: usize,
    /// Sums.
    pub sums: Sums,
    /// How late the loop was, µs, since the last look.
    pub lag: Vec<(u64, u64)>,
    /// From a try's due time to its served answer less the app server's own work, µs, since the last look.
    pub added: Vec<(u64, u64)>,
}
