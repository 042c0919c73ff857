//! Invariants of each request at run time, and how often each was violated.
//!
//! The guard keeps a wrong step from being taken; the invariants verify, from the tables alone, the steps that were
//! taken. A violation is counted and reported, and never stops the process.

use saffronpaddle_policy::interface::RequestId;

/// An invariant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A request that was received has its final answer before the process ends.
    AnsweredBeforeExit,
    /// A final answer is given while the client still waits for it.
    AnsweredInTime,
    /// The first byte of an attempt is written only before the deadline of its request.
    SentInTime,
    /// The first byte is written only to a server that is ready, at the address that it has now.
    SentToReadyServer,
    /// The first byte is written only while no other attempt is outstanding and the client waits for the answer.
    SentOnce,
    /// A request is written again only where a retry can't take effect a second time.
    RepeatedSafely,
}

/// How many invariants there are.
const COUNT: usize = 6;
/// Violations that are kept until they are reported; all are counted. Bounds the memory.
const MAX_UNREPORTED: usize = 16;

impl Invariant {
    /// All invariants.
    pub const ALL: [Invariant; COUNT] = [
        Invariant::AnsweredBeforeExit,
        Invariant::AnsweredInTime,
        Invariant::SentInTime,
        Invariant::SentToReadyServer,
        Invariant::SentOnce,
        Invariant::RepeatedSafely,
    ];

    /// The name of its counter.
    pub fn figure(self) -> &'static str {
        match self {
            Invariant::AnsweredBeforeExit => "violated_answered_before_exit",
            Invariant::AnsweredInTime => "violated_answered_in_time",
            Invariant::SentInTime => "violated_sent_in_time",
            Invariant::SentToReadyServer => "violated_sent_to_ready_server",
            Invariant::SentOnce => "violated_sent_once",
            Invariant::RepeatedSafely => "violated_repeated_safely",
        }
    }

    /// Its name in the log.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::AnsweredBeforeExit => "answered_before_exit",
            Invariant::AnsweredInTime => "answered_in_time",
            Invariant::SentInTime => "sent_in_time",
            Invariant::SentToReadyServer => "sent_to_ready_server",
            Invariant::SentOnce => "sent_once",
            Invariant::RepeatedSafely => "repeated_safely",
        }
    }
}

/// An invariant that a request violated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// The invariant.
    pub invariant: Invariant,
    /// The request.
    pub request: RequestId,
}

/// The violations since the process started.
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

    /// How often an invariant was violated.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.counts[invariant as usize]
    }

    /// Takes the violations that have not been reported yet.
    pub(crate) fn take_unreported(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.unreported)
    }

    /// Whether any has not been reported yet.
    pub(crate) fn any_unreported(&self) -> bool {
        !self.unreported.is_empty()
    }
}
