//! The table entries of an exchange: requests, attempts, connections and servers.

use crate::ids::{ConnectionId, Ticket};
use crate::response_pace::ResponsePace;
use saffronpaddle_policy::idempotency::{rejection_allowed, DispatchedAttempt, ServerLocation};
use saffronpaddle_policy::interface::{Idempotency, Micros, Outcome, RequestId, ServerId};
use std::collections::BTreeSet;

/// A request that has no final answer yet, or whose attempt is still outstanding.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub ticket: Ticket,
    /// Index of the request class in the settings.
    pub class: usize,
    pub idempotency: Idempotency,
    /// When the client stops waiting or the shutdown deadline passes, whichever is earlier, µs.
    pub deadline: Micros,
    /// A response that has started has no deadline, however short it is.
    pub response_streamed: bool,
    /// When the process has to have answered the request, µs; [`Micros::MAX`] until a shutdown is announced.
    pub shutdown_deadline: Micros,
    /// The shutdown deadline is earlier than the time at which the client stops waiting.
    pub shortened_by_shutdown: bool,
    /// The request has no final answer, and its client is waiting for one.
    pub open: bool,
    /// The last byte of the body has arrived.
    pub body_received: bool,
    /// The last byte of the body has arrived and may be written. Before that, no server can have run the request.
    pub body_complete: bool,
    /// A part of an unbuffered body may have been sent to a server, so that the request can't be sent again.
    pub body_consumed: bool,
    /// The response is streaming to the client.
    pub streaming: bool,
    /// Number of attempts that the policy has asked for.
    pub attempts: u32,
    pub outstanding: Option<OutstandingAttempt>,
    /// The first ended attempt that may have run.
    pub first_dispatched: Option<DispatchedAttempt>,
    /// The time of its entry in the timer queue, µs; `None` if it has no entry.
    pub timer_at: Option<Micros>,
}

/// The attempt of a request that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OutstandingAttempt {
    pub number: u32,
    pub server: ServerId,
    /// When the policy wants the attempt to time out, µs; [`Micros::MAX`] if it sets no time of its own.
    pub policy_deadline: Micros,
    /// When the attempt times out, µs: with its request, or earlier if the policy wants it.
    pub deadline: Micros,
    /// When the current stage times out, µs; [`Micros::MAX`] if it has no timeout of its own, as the connect has.
    pub stage_deadline: Micros,
    /// Where and when the guard permitted the first byte; `None` before that.
    pub dispatched: Option<DispatchedAttempt>,
    pub stage: AttemptStage,
    /// How the server gives its streaming response while it may be short.
    pub response_pace: ResponsePace,
}

impl OutstandingAttempt {
    /// Returns whether the attempt or its current stage has timed out and the attempt is not being aborted yet.
    pub fn is_timed_out(&self, now: Micros) -> bool {
        let closing = matches!(self.stage, AttemptStage::Closing(..));
        !closing && now >= self.step_deadline()
    }

    /// Returns when the attempt or its current stage times out, whichever is earlier, µs.
    pub fn step_deadline(&self) -> Micros {
        self.stage_deadline.min(self.deadline)
    }
}

/// The stage of an outstanding attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AttemptStage {
    /// Waiting until this idle connection is closed and its slot is free.
    AwaitingSlot(ConnectionId),
    /// Assigned to this connection, which is being established, has the request prepared, or is being written to.
    OnConnection(ConnectionId),
    /// Aborted: the attempt ends with this outcome when this connection is closed.
    Closing(ConnectionId, Outcome),
}

/// A connection to a server at an address.
#[derive(Clone, Debug)]
pub(crate) struct Connection<A> {
    pub server: ServerId,
    pub address: A,
    pub state: ConnectionState,
    /// The connection has carried a response before.
    pub reused: bool,
    /// The server has closed its side.
    pub closed_by_peer: bool,
    /// The request whose attempt uses the connection, or whose attempt waits for it to be closed.
    pub request: Option<RequestId>,
}

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ConnectionState {
    Connecting,
    /// Idle since this time, µs.
    Idle(Micros),
    /// Assigned to a request of which no byte is written yet.
    Assigned,
    /// Bytes of a request may have been written.
    Written,
    Closing,
}

/// A server that is ready.
#[derive(Clone, Debug)]
pub(crate) struct ReadyServer<A> {
    pub address: A,
    /// When its process last started, µs; `None` if that was long ago.
    pub started_at: Option<Micros>,
    pub location: ServerLocation,
    /// The idle connections to it, in the order in which they became idle.
    pub idle: Vec<ConnectionId>,
}

/// When each request is next due, ordered by time (µs).
pub(crate) type TimerQueue = BTreeSet<(Micros, RequestId)>;

impl RequestState {
    /// Returns when the request is next due if no event arrives before, µs.
    pub fn next_due(&self, answer_grace: Micros) -> Option<Micros> {
        let step_deadline = self
            .outstanding
            .as_ref()
            .filter(|attempt| !matches!(attempt.stage, AttemptStage::Closing(..)))
            .map(OutstandingAttempt::step_deadline)
            .filter(|deadline| *deadline < Micros::MAX);
        let answer_deadline = self.open.then(|| self.answer_deadline(answer_grace));
        step_deadline.into_iter().chain(answer_deadline).min()
    }

    /// Returns when the exchange answers the request if the policy has not done so, µs.
    pub fn answer_deadline(&self, answer_grace: Micros) -> Micros {
        self.deadline
            .saturating_add(answer_grace)
            .min(self.shutdown_deadline)
    }

    /// Limits the deadline to the shutdown deadline.
    pub fn limit_to_shutdown(&mut self, shutdown_deadline: Micros) {
        self.shutdown_deadline = shutdown_deadline;
        if self.deadline > shutdown_deadline {
            self.deadline = shutdown_deadline;
            self.shortened_by_shutdown = true;
        }
    }

    /// Returns whether the request may be rejected: a rejection signals to the client that a retry is safe.
    pub fn rejection_allowed(&self) -> bool {
        let outstanding = self
            .outstanding
            .as_ref()
            .and_then(|attempt| attempt.dispatched)
            .filter(|_| self.body_complete);
        rejection_allowed(self.idempotency, self.first_dispatched.or(outstanding))
    }
}
