//! Invariants of requests that are checked at run time, with a violation counter for each.
//!
//! The guard prevents invalid steps. The invariants verify the steps that were taken, from the tables only and
//! independently of the guard. A violation is counted and reported; it never stops the process.

use saffronpaddle_policy::interface::RequestId;

/// An invariant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// Every received request gets its final answer before the process exits.
    AnsweredBeforeExit,
    /// A final answer is given while the client is still waiting for it.
    AnsweredInTime,
    /// The first byte of an attempt is not written after the deadline of its request.
    SentInTime,
    /// The first byte is written only to a ready server, at its current address.
    SentToReadyServer,
    /// The first byte is written only while no other attempt is outstanding and the client is waiting for the answer.
    SentOnce,
    /// A request is written again only where a retry can't take effect twice.
    RetriedSafely,
}

/// Number of invariants.
const COUNT: usize = 6;
/// Maximum number of violations that are stored until they are reported, which bounds the memory. Further ones are only
/// counted.
const MAX_UNREPORTED: usize = 16;

impl Invariant {
    /// All invariants, in the order of their counters.
    pub const ALL: [Invariant; COUNT] = [
        Invariant::AnsweredBeforeExit,
        Invariant::AnsweredInTime,
        Invariant::SentInTime,
        Invariant::SentToReadyServer,
        Invariant::SentOnce,
        Invariant::RetriedSafely,
    ];

    /// Returns the name of the violation counter in the metrics.
    pub fn counter_name(self) -> &'static str {
        match self {
            Invariant::AnsweredBeforeExit => "violated_answered_before_exit",
            Invariant::AnsweredInTime => "violated_answered_in_time",
            Invariant::SentInTime => "violated_sent_in_time",
            Invariant::SentToReadyServer => "violated_sent_to_ready_server",
            Invariant::SentOnce => "violated_sent_once",
            Invariant::RetriedSafely => "violated_repeated_safely",
        }
    }

    /// Returns the name of the invariant in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::AnsweredBeforeExit => "answered_before_exit",
            Invariant::AnsweredInTime => "answered_in_time",
            Invariant::SentInTime => "sent_in_time",
            Invariant::SentToReadyServer => "sent_to_ready_server",
            Invariant::SentOnce => "sent_once",
            Invariant::RetriedSafely => "repeated_safely",
        }
    }
}

/// A violation of an invariant by a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which invariant was violated.
    pub invariant: Invariant,
    /// The id of the violating request.
    pub request: RequestId,
}

/// Violations since the process started.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    counts: [u64; COUNT],
    unreported: Vec<Violation>,
}

impl Violations {
    /// Counts a violation if `holds` is false.
    pub(crate) fn check(&mut self, holds: bool, invariant: Invariant, request: &RequestId) {
        if holds {
            return;
        }
        self.counts[invariant as usize] += 1;
        if self.unreported.len() < MAX_UNREPORTED {
            self.unreported.push(Violation {
                invariant,
                request: request.clone(),
            });
        }
    }

    /// Returns how often an invariant was violated.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.counts[invariant as usize]
    }

    /// Removes and returns the violations that have not been reported yet.
    pub(crate) fn take_unreported(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.unreported)
    }

    /// Returns whether there are violations that have not been reported yet.
    pub(crate) fn any_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }
}
