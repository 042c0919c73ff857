//! What is known of a request from outside the policy, and the rules that its actions have to keep:
//!
//! 1. Each request gets exactly one answer, by its deadline.
//! 2. One attempt is in flight at a time, and a request is executed again only where its class allows that.
//! 3. Nothing is sent to a server that is not ready (checked by [`TestNode`](super::test_node::TestNode)).

use super::settings::domain_of;
use saffronpaddle_policy::interface::*;

/// Time after its deadline by which an answer must have come: timers have a resolution.
const ANSWER_DELAY: Micros = 8 * MILLISECOND;

/// A request as its client and the servers see it.
pub struct ObservedRequest {
    idempotency: Idempotency,
    max_attempts: u32,
    deadline: Micros,
    /// Neither answered nor abandoned.
    pub open: bool,
    attempts: u32,
    /// Of these, attempts of which no byte was written.
    unsent_attempts: u32,
    attempt_in_flight: bool,
    /// Where it may first have been executed.
    executed_in: Option<DeduplicationDomainId>,
}

impl ObservedRequest {
    /// A request of a class with this idempotency that has just arrived.
    pub fn new(idempotency: Idempotency, max_attempts: u32, deadline: Micros) -> Self {
        ObservedRequest {
            idempotency,
            max_attempts,
            deadline,
            open: true,
            attempts: 0,
            unsent_attempts: 0,
            attempt_in_flight: false,
            executed_in: None,
        }
    }

    /// Checks that an attempt may be sent to `server`, and counts it.
    pub fn check_send(&mut self, server: ServerId) -> AttemptNumber {
        assert!(self.open, "rule 1: sent after its answer");
        assert!(!self.attempt_in_flight, "rule 2: two attempts at once");
        assert!(
            self.attempts - self.unsent_attempts < self.max_attempts
                && self.attempts < 2 * self.max_attempts,
            "too many attempts"
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
                    "rule 2: left its deduplication domain"
                );
            }
        }
    }

    /// Checks that the request may be answered without a response of a server.
    pub fn check_answer(&mut self, rejected: bool) {
        assert!(self.open, "rule 1: a second answer");
        self.open = false;
        let maybe_executed = self.executed_in.is_some() || self.attempt_in_flight;
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
            "rule 2: rejected, so that its client repeats it"
        );
    }

    /// Checks that the request is answered by its deadline.
    pub fn check_deadline(&self, id: &RequestId, now: Micros) {
        assert!(
            !self.open || now <= self.deadline + ANSWER_DELAY,
            "rule 1: {id:?} had no answer"
        );
    }

    /// Records the end of the attempt at `server`; whether the request is closed.
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
