//! What an exchange keeps of requests, attempts, connections and servers.

use crate::ids::{ConnectionId, Ticket};
use saffronpaddle_policy::idempotency::{rejection_allowed, DispatchedAttempt, ServerLocation};
use saffronpaddle_policy::interface::{Idempotency, Micros, Outcome, RequestId, ServerId};
use std::collections::BTreeSet;

/// A request that has no final answer yet, or whose attempt is still outstanding.
#[derive(Clone, Debug)]
pub(crate) struct RequestState {
    pub ticket: Ticket,
    /// The index of its class in the settings.
    pub class: usize,
    pub idempotency: Idempotency,
    /// When its client stops waiting, or the process ends if that is sooner.
    pub deadline: Micros,
    /// The process answers it by then; [`Micros::MAX`] until a shutdown is announced.
    pub shutdown_deadline: Micros,
    /// Its client would wait for longer than the process lasts.
    pub shortened_by_shutdown: bool,
    /// It has no final answer, and its client waits for one.
    pub open: bool,
    /// The last byte of its body has arrived and may be written: before that, no server can have run it.
    pub body_complete: bool,
    /// Some of a body that is not buffered may have gone to a server, so that it can't be sent again.
    pub body_consumed: bool,
    /// Its response streams to the client.
    pub streaming: bool,
    /// Attempts that the policy has asked for.
    pub attempts: u32,
    pub outstanding: Option<OutstandingAttempt>,
    /// The first ended attempt that may have run.
    pub first_dispatched: Option<DispatchedAttempt>,
    /// Its entry in the order of alarms.
    pub alarm: Option<Micros>,
}

/// The attempt of a request that has not ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct OutstandingAttempt {
    pub number: u32,
    pub server: ServerId,
    /// When the attempt is given up.
    pub deadline: Micros,
    /// When the current step is given up: sooner than the attempt while its connection is being made.
    pub step_deadline: Micros,
    /// Where and when its first byte was let through.
    pub dispatched: Option<DispatchedAttempt>,
    pub stage: AttemptStage,
}

/// How far an outstanding attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum AttemptStage {
    /// Waits until this connection of another attempt is closed and frees its slot.
    AwaitingSlot(ConnectionId),
    /// On this connection, which is being made, has the request, or is written to.
    OnConnection(ConnectionId),
    /// Ends with this outcome when this connection is closed.
    Closing(ConnectionId, Outcome),
}

/// A connection to a server at an address.
#[derive(Clone, Debug)]
pub(crate) struct Connection<A> {
    pub server: ServerId,
    pub address: A,
    pub state: ConnectionState,
    /// It has carried a response before.
    pub reused: bool,
    /// The server has closed it.
    pub closed_by_peer: bool,
    /// The request whose attempt it carries, or whose attempt waits for its close.
    pub request: Option<RequestId>,
}

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ConnectionState {
    Connecting,
    /// Idle since that time, µs.
    Idle(Micros),
    /// It has a request, of which nothing is written yet.
    Assigned,
    /// Bytes of a request may have been written.
    Written,
    Closing,
}

/// A server that is ready.
#[derive(Clone, Debug)]
pub(crate) struct ReadyServer<A> {
    pub address: A,
    pub location: ServerLocation,
    /// Its idle connections, in the order in which they became idle.
    pub idle: Vec<ConnectionId>,
}

/// When each request has to be looked at, in the order of time.
pub(crate) type Alarms = BTreeSet<(Micros, RequestId)>;

impl RequestState {
    /// When something has to be done about it if nothing happens, µs.
    pub fn next_due(&self, answer_grace: Micros) -> Option<Micros> {
        let step_deadline = self
            .outstanding
            .as_ref()
            .filter(|attempt| !matches!(attempt.stage, AttemptStage::Closing(..)))
            .map(|attempt| attempt.step_deadline)
            .filter(|deadline| *deadline < Micros::MAX);
        let answer_deadline = self.open.then(|| self.answered_by(answer_grace));
        step_deadline.into_iter().chain(answer_deadline).min()
    }

    /// When it is answered at the latest, whatever the policy does, µs.
    pub fn answered_by(&self, answer_grace: Micros) -> Micros {
        self.deadline
            .saturating_add(answer_grace)
            .min(self.shutdown_deadline)
    }

    /// Gives it no more time than the process has.
    pub fn limit_to_shutdown(&mut self, shutdown_deadline: Micros) {
        self.shutdown_deadline = shutdown_deadline;
        if self.deadline > shutdown_deadline {
            self.deadline = shutdown_deadline;
            self.shortened_by_shutdown = true;
        }
    }

    /// Whether it may be rejected, which promises its client that a retry is harmless.
    pub fn rejection_allowed(&self) -> bool {
        let outstanding = self
            .outstanding
            .as_ref()
            .and_then(|attempt| attempt.dispatched)
            .filter(|_| self.body_complete);
        rejection_allowed(self.idempotency, self.first_dispatched.or(outstanding))
    }
}
