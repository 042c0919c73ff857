//! What must hold of each request at run time, and how often it did not.
//!
//! The guard keeps steps from being taken; this looks, by other means, at what was done. A violation is counted and told, and
//! never stops the process.

use saffronpaddle_policy::interface::RequestId;

/// Something that must hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// A request that was taken has its final answer before the process ends.
    AnsweredBeforeExit,
    /// A final answer is given while the client still waits for it.
    AnsweredInTime,
    /// The first byte of an attempt is written only while the request has time left.
    SentInTime,
    /// It is written only to a server that is ready, at the address that it has now.
    SentToReadyServer,
    /// It is written only while no other attempt is out and somebody waits for the answer.
    SentOnce,
    /// It is written again only where a repeat can't take effect a second time.
    RepeatedSafely,
}

/// How many there are.
const COUNT: usize = 6;
/// Violations that are kept until they are taken to be told. Limits the memory; all are counted.
const KEPT_MOST: usize = 16;

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; COUNT] = [
        Invariant::AnsweredBeforeExit,
        Invariant::AnsweredInTime,
        Invariant::SentInTime,
        Invariant::SentToReadyServer,
        Invariant::SentOnce,
        Invariant::RepeatedSafely,
    ];

    /// The name of its count among the figures.
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

/// An invariant that did not hold of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// What did not hold.
    pub invariant: Invariant,
    /// Of which request.
    pub request: RequestId,
}

/// The violations since the process began.
#[derive(Clone, Debug, Default)]
pub struct Violations {
    counts: [u64; COUNT],
    untold: Vec<Violation>,
}

impl Violations {
    /// Counts one if `holds` is false.
    pub(crate) fn check(&mut self, holds: bool, invariant: Invariant, request: &RequestId) {
        if holds {
            return;
        }
        self.counts[invariant as usize] += 1;
        if self.untold.len() < KEPT_MOST {
            self.untold.push(Violation {
                invariant,
                request: request.clone(),
            });
        }
    }

    /// How often an invariant did not hold.
    pub fn count(&self, invariant: Invariant) -> u64 {
        self.counts[invariant as usize]
    }

    /// Those that have not been told yet; a few at the most.
    pub(crate) fn take(&mut self) -> Vec<Violation> {
        std::mem::take(&mut self.untold)
    }

    /// Whether any has not been told yet.
    pub(crate) fn any_untold(&self) -> bool {
        !self.untold.is_empty()
    }
}
