//! What an exchange keeps of requests, attempts, connections and servers.

use crate::{ConnectionId, Ticket};
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Idempotency, Micros, Outcome, RequestId, ServerId, ZoneId,
};
use std::collections::{BTreeSet, HashMap};
use std::hash::{BuildHasherDefault, Hasher};

/// Hashes numbers that this process, or the list of servers, gave out: clients have no say in them, and so no way to have
/// them collide.
#[derive(Clone, Default)]
pub(crate) struct Numbers(u64);

impl Hasher for Numbers {
    fn write(&mut self, bytes: &[u8]) {
        bytes
            .iter()
            .for_each(|byte| self.write_u64(u64::from(*byte)));
    }

    fn write_u64(&mut self, number: u64) {
        // Fibonacci hashing; the table takes its bits from both ends.
        self.0 = (self.0 ^ number)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15)
            .rotate_left(29);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// A table by such numbers.
pub(crate) type ByNumber<K, V> = HashMap<K, V, BuildHasherDefault<Numbers>>;

/// A request that has no final answer yet, or whose attempt is still out.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub ticket: Ticket,
    /// Its class, by its place in the settings.
    pub class: usize,
    pub effect: Idempotency,
    pub deadline: Micros,
    /// The process answers it by then; the end of time where it was not told to stop.
    pub process_end: Micros,
    /// Its client would wait for longer than that.
    pub cut_short: bool,
    /// It has no final answer, and somebody waits for one.
    pub open: bool,
    /// Its last byte has come and may be written: before that nothing of it can have run.
    pub whole: bool,
    /// Some of a body that is not kept may have gone to a server.
    pub spent: bool,
    /// Its answer goes on as it comes.
    pub passing: bool,
    /// Attempts that the module was given numbers for.
    pub attempts: u32,
    pub out: Option<Out>,
    /// The first attempt that may have run.
    pub ran: Option<Ran>,
    /// Where it stands in the order of alarms.
    pub alarm: Option<Micros>,
}

/// Where a repeat of a keyed request is dropped, and from when on that is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Ran {
    pub zone: ZoneId,
    pub cell: DeduplicationDomainId,
    pub at: Micros,
}

/// The attempt of a request that is out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Out {
    pub number: u32,
    pub server: ServerId,
    /// When it is given up.
    pub until: Micros,
    /// When the step at hand is given up: sooner than that while its connection is made.
    pub limit: Micros,
    /// Where and when its first byte was let through.
    pub began: Option<Ran>,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
    /// Waits until this connection, which carries something else's end, is closed.
    Waiting(ConnectionId),
    /// On this connection, which is made, has the request, or is written to.
    On(ConnectionId),
    /// Ends so when this connection is closed.
    Ending(ConnectionId, Outcome),
}

#[derive(Clone, Debug)]
pub(crate) struct Link<A> {
    pub server: ServerId,
    pub dial: A,
    pub state: State,
    /// It has carried an answer before.
    pub used: bool,
    /// The other side has ended it.
    pub gone: bool,
    /// Whose attempt it carries, or whose waits for its end.
    pub of: Option<RequestId>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum State {
    Connecting,
    Idle(Micros),
    /// It has a request, of which nothing is written yet.
    Queued,
    /// Bytes of a request may have been written.
    Written,
    Closing,
}

/// A server that is ready.
#[derive(Clone, Debug)]
pub(crate) struct Place<A> {
    pub dial: A,
    pub zone: ZoneId,
    pub cell: DeduplicationDomainId,
    /// Connections that stand idle there, in the order in which they came back.
    pub idle: Vec<ConnectionId>,
}

/// Who is to be looked at when.
pub(crate) type Alarms = BTreeSet<(Micros, RequestId)>;

impl Row {
    /// When something has to be done about it, if nothing happens.
    pub fn due(&self, overdue: Micros) -> Option<Micros> {
        let attempt = self
            .out
            .as_ref()
            .filter(|out| !matches!(out.stage, Stage::Ending(..)));
        let attempt = attempt
            .map(|out| out.limit)
            .filter(|limit| *limit < Micros::MAX);
        let last = self.open.then(|| self.answered_by(overdue));
        attempt.into_iter().chain(last).min()
    }

    /// When it is answered at the latest, whatever the module says.
    pub fn answered_by(&self, overdue: Micros) -> Micros {
        self.deadline.saturating_add(overdue).min(self.process_end)
    }

    /// Gives it no more time than the process has.
    pub fn cut(&mut self, process_end: Micros) {
        self.process_end = process_end;
        if self.deadline > process_end {
            (self.deadline, self.cut_short) = (process_end, true);
        }
    }
}
