//! A client and what has become of its request.

use super::setup::Setup;
use saffronpaddle_exchange::ConnectionId;
use saffronpaddle_policy::interface::Micros;
use std::hash::{Hash, Hasher};

/// A client with one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Client {
    /// When its request arrived, or when its streaming body was complete, µs.
    pub arrived_at: Option<Micros>,
    pub left: bool,
    pub ticket: u64,
    /// Final answers that it was given.
    pub answers: u8,
    /// Attempts that the policy asked for, one bit each.
    pub sends: u32,
    /// Attempts whose end the policy was told, one bit each.
    pub ends: u32,
    /// The first attempt that may have run.
    pub first_dispatched: Option<Dispatched>,
    /// The outstanding attempt, if bytes of it were written.
    pub written: Option<WrittenAttempt>,
    /// The last byte of its body has arrived at the node.
    pub body_arrived: bool,
    /// The last piece of its body was released to a server.
    pub body_released: bool,
    /// Some of a body that is not buffered was sent.
    pub body_consumed: bool,
}

/// Where and when an attempt was dispatched.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Dispatched {
    pub server: u8,
    /// When its first byte was let through, µs.
    pub at: Micros,
}

/// An attempt of which bytes were written.
#[derive(Clone, Copy, Debug)]
pub(super) struct WrittenAttempt {
    pub number: u32,
    pub connection: ConnectionId,
    pub dispatched: Dispatched,
}

impl Client {
    /// When its request is answered at the latest, whatever the policy does, µs.
    pub fn answered_by(&self, setup: &Setup, shutdown_deadline: Option<Micros>) -> Micros {
        let arrived_at = self.arrived_at.unwrap_or(0);
        let latest = arrived_at + setup.timeout() + setup.limits.answer_grace;
        shutdown_deadline.map_or(latest, |shutdown| latest.min(shutdown.max(arrived_at)))
    }

    /// Whether it waits for an answer.
    pub fn waits(&self) -> bool {
        self.answers == 0 && !self.left
    }

    /// Attempts that the policy asked for and whose end it was not told, one bit each.
    pub fn unended_sends(&self) -> u32 {
        self.sends & !self.ends
    }

    /// Hashes it, with connections by their rank.
    pub fn digest(
        &self,
        rank_of: impl Fn(ConnectionId) -> Option<usize>,
        hasher: &mut impl Hasher,
    ) {
        self.arrived_at.hash(hasher);
        self.left.hash(hasher);
        self.ticket.hash(hasher);
        self.answers.hash(hasher);
        self.sends.hash(hasher);
        self.ends.hash(hasher);
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
