//! The state of a request as observed from outside the policy, and the rules that the policy's actions must follow:
//!
//! 1. Each request gets exactly one final answer, by its deadline.
//! 2. At most one attempt is in flight at a time, and a request is executed again only if its class allows that.
//! 3. Nothing is sent to a server that is not ready (checked by [`TestNode`](super::test_node::TestNode)).

use super::settings::domain_of;
use saffronpaddle_policy::interface::*;

/// Maximum delay of a final answer after the deadline, because of the resolution of the timers, µs.
const MAX_ANSWER_DELAY: Micros = 8 * MILLISECOND;

/// A request as observed by its client and the servers.
pub struct ObservedRequest {
    idempotency: Idempotency,
    max_attempts: u32,
    pub deadline: Micros,
    /// Whether the last byte may have been sent to the server of an attempt.
    released: bool,
    /// Whether the request is neither answered nor abandoned.
    pub open: bool,
    attempts: u32,
    /// Number of attempts of which no byte was written.
    unsent_attempts: u32,
    attempt_in_flight: bool,
    /// Deduplication domain of the first attempt that may have been executed.
    executed_in: Option<DeduplicationDomainId>,
}

impl ObservedRequest {
    /// Creates a request without attempts.
    pub fn new(
        idempotency: Idempotency,
        max_attempts: u32,
        deadline: Micros,
        complete: bool,
    ) -> Self {
        ObservedRequest {
            idempotency,
            max_attempts,
            deadline,
            released: complete,
            open: true,
            attempts: 0,
            unsent_attempts: 0,
            attempt_in_flight: false,
            executed_in: None,
        }
    }

    /// Asserts that an attempt may be sent to `server`, records it and returns its number.
    pub fn check_send(&mut self, server: ServerId) -> AttemptNumber {
        assert!(
            self.open,
            "rule 1: an attempt was sent after the final answer"
        );
        assert!(
            !self.attempt_in_flight,
            "rule 2: a second attempt was sent while one is in flight"
        );
        assert!(
            self.attempts - self.unsent_attempts < self.max_attempts
                && self.attempts < 2 * self.max_attempts,
            "attempt {} exceeds the limit of {}, with {} unsent attempts",
            self.attempts + 1,
            self.max_attempts,
            self.unsent_attempts
        );
        self.check_repeated_execution(server);
        let attempt = AttemptNumber(self.attempts);
        self.attempt_in_flight = true;
        self.attempts += 1;
        attempt
    }

    fn check_repeated_execution(&self, server: ServerId) {
        match (self.executed_in, self.idempotency) {
            (None, _) | (_, Idempotency::Idempotent) => {}
            (Some(_), Idempotency::NonIdempotent) => {
                panic!("rule 2: a non-idempotent request was sent again")
            }
            (Some(domain), Idempotency::WithKey { scope, .. }) => {
                assert!(
                    scope == DeduplicationScope::All || domain == domain_of(server),
                    "rule 2: a keyed request was sent again outside its deduplication domain"
                );
            }
        }
    }

    /// Asserts that the last byte may be sent to the server of an attempt, and records it.
    pub fn check_release(&mut self, attempt: AttemptNumber) {
        assert!(self.open, "rule 1: a body was released after the answer");
        assert!(!self.released, "rule 2: a body was released twice");
        assert!(
            self.attempt_in_flight && attempt.0 + 1 == self.attempts,
            "rule 2: a body was released to an attempt that is not in flight"
        );
        self.released = true;
    }

    /// Asserts that the request may get a final answer without a response of a server, and records it.
    pub fn check_answer(&mut self, rejected: bool) {
        assert!(self.open, "rule 1: a second final answer was given");
        self.open = false;
        let maybe_executed = self.executed_in.is_some() || self.attempt_in_flight && self.released;
        let may_be_repeated_anywhere = matches!(
            self.idempotency,
            Idempotency::Idempotent
                | Idempotency::WithKey {
                    scope: DeduplicationScope::All,
                    ..
                }
        );
        assert!(
            !rejected || !maybe_executed || may_be_repeated_anywhere,
            "rule 2: the request was rejected although a repetition by its client may execute it twice"
        );
    }

    /// Asserts that the request is not open after its deadline.
    pub fn check_deadline(&self, id: &RequestId, now: Micros) {
        assert!(
            !self.open || now <= self.deadline + MAX_ANSWER_DELAY,
            "rule 1: {id:?} has no final answer by its deadline"
        );
    }

    /// Records the end of the attempt at `server`. Returns whether the request is closed.
    pub fn attempt_ended(&mut self, server: ServerId, outcome: Outcome) -> bool {
        self.attempt_in_flight = false;
        self.unsent_attempts += u32::from(outcome == Outcome::NotSent);
        if !matches!(
            outcome,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
        ) {
            self.executed_in.get_or_insert(domain_of(server));
        }
        let closed = outcome == Outcome::Ok || !self.open;
        if outcome == Outcome::Ok {
            self.open = false;
        }
        closed
    }
}
