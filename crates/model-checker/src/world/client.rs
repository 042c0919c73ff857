//! A client and the progress of its request.

use super::setup::Setup;
use saffronpaddle_exchange::ConnectionId;
use saffronpaddle_policy::interface::Micros;
use std::hash::{Hash, Hasher};

/// A client with one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Client {
    /// When the request arrived or its streaming body was complete, µs; `None` before the request has arrived.
    pub arrived_at: Option<Micros>,
    /// The deadline while the streaming body is incomplete, if it was changed, µs.
    pub changed_deadline: Option<Micros>,
    /// The client has closed its connection.
    pub disconnected: bool,
    /// The ticket that the exchange gave to the request.
    pub ticket: u64,
    /// Number of final answers received.
    pub answers: u8,
    /// Attempts that the policy asked for, one bit per attempt number.
    pub sent_attempts: u32,
    /// Attempts whose end was reported to the policy, one bit per attempt number.
    pub ended_attempts: u32,
    /// The first attempt that may have run.
    pub first_dispatched: Option<Dispatched>,
    /// The outstanding attempt if bytes of it were written.
    pub written: Option<WrittenAttempt>,
    /// The node has received the last byte of the body.
    pub body_arrived: bool,
    /// The last part of the body was sent to a server.
    pub body_released: bool,
    /// A part of an unbuffered body was sent.
    pub body_consumed: bool,
}

/// Server and time of the dispatch of an attempt.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Dispatched {
    pub server: u8,
    /// When the first byte was written, µs.
    pub at: Micros,
}

/// An attempt of which bytes were written.
#[derive(Clone, Copy, Debug)]
pub(super) struct WrittenAttempt {
    /// The number of the attempt.
    pub number: u32,
    pub connection: ConnectionId,
    pub dispatched: Dispatched,
}

impl Client {
    /// Returns when the exchange answers the request at the latest, µs.
    pub fn answer_deadline(&self, setup: &Setup, shutdown_deadline: Option<Micros>) -> Micros {
        self.limited_deadline(setup, shutdown_deadline, setup.limits.answer_grace)
    }

    /// Returns when the client stops waiting, or the node has to have answered it, µs.
    pub fn deadline(&self, setup: &Setup, shutdown_deadline: Option<Micros>) -> Micros {
        self.limited_deadline(setup, shutdown_deadline, 0)
    }

    fn limited_deadline(
        &self,
        setup: &Setup,
        shutdown_deadline: Option<Micros>,
        grace: Micros,
    ) -> Micros {
        let arrived_at = self.arrived_at.unwrap_or(0);
        let deadline = self
            .changed_deadline
            .unwrap_or(arrived_at + setup.timeout());
        let latest = deadline + grace;
        shutdown_deadline.map_or(latest, |shutdown| latest.min(shutdown.max(arrived_at)))
    }

    /// Returns whether the client is waiting for an answer.
    pub fn is_waiting(&self) -> bool {
        self.answers == 0 && !self.disconnected
    }

    /// Returns the attempts whose end was not yet reported to the policy, one bit per attempt number.
    pub fn unended_attempts(&self) -> u32 {
        self.sent_attempts & !self.ended_attempts
    }

    /// Hashes the client; connections are identified by rank.
    pub fn digest(
        &self,
        rank_of: impl Fn(ConnectionId) -> Option<usize>,
        hasher: &mut impl Hasher,
    ) {
        self.arrived_at.hash(hasher);
        self.changed_deadline.hash(hasher);
        self.disconnected.hash(hasher);
        self.ticket.hash(hasher);
        self.answers.hash(hasher);
        self.sent_attempts.hash(hasher);
        self.ended_attempts.hash(hasher);
        self.first_dispatched.hash(hasher);
        let written = self.written.map(|written| {
            let rank = rank_of(written.connection);
            (written.number, rank, written.dispatched)
        });
        written.hash(hasher);
        self.body_arrived.hash(hasher);
        self.body_released.hash(hasher);
        self.body_consumed.hash(hasher);
    }
}
