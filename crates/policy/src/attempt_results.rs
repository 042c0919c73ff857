//! Attempt results: updates statistics when an attempt ends, and decides whether the request is retried.
//!
//! Rule: a request is retried while it has time, attempts and retry budget left, its response still has a value, and a
//! second execution is harmless.
//!
//! Inputs: the outcome, the request's attempts so far, the retry budget, the class's idempotency and latency objective.
//! Result: the request is queued again, or gets its final answer.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::idempotency::DispatchedAttempt;
use crate::interface::{Action, Idempotency, Micros, Outcome, RequestId, SiblingMessage};
use crate::request::{Attempt, AttemptKey, AttemptStage, Request};

/// What happens to a request after its attempt has ended.
enum NextStep {
    /// Reject or fail the request.
    GiveUp,
    /// Queue the request again.
    Retry {
        /// Whether the retry is not charged to the retry budget.
        exempt_from_budget: bool,
    },
    /// Keep the request open until the timer ends it, as a late response would have no value.
    Wait,
}

impl PolicyEngine {
    /// Handles the end of an attempt. `request_closed`: the request has been answered or abandoned.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Micros,
        key: AttemptKey,
        outcome: Outcome,
        request_closed: bool,
        actions: &mut Actions,
    ) {
        let Some(attempt) = self.remove_attempt(&key) else {
            return;
        };
        let (id, attempt_number) = key;
        if self.requests.share_attempts {
            actions.push(Action::SendToSiblings(SiblingMessage::AttemptEnded {
                request: id.clone(),
                attempt: attempt_number,
            }));
        }
        let at_server = attempt.stage == AttemptStage::AtServer;
        if at_server {
            self.record_end_at_server(now, &id, &attempt, outcome);
        }
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        request.in_flight = None;
        if request_closed {
            return self.discard_request(&id, actions);
        }
        if !at_server {
            // The client may have been slow to send the body or to read the response, so the attempt is no evidence
            // about the server.
            return self.finish(&id, Counter::EndedAfterAttempts, actions);
        }
        self.record_outcome(&id, &attempt, outcome);
        match self.next_step(now, &id, outcome) {
            NextStep::GiveUp => self.finish(&id, Counter::EndedAfterAttempts, actions),
            NextStep::Retry { exempt_from_budget } => {
                if !exempt_from_budget {
                    self.retries.spend();
                }
                self.requests.queue.push(id);
            }
            NextStep::Wait => {}
        }
    }

    fn record_end_at_server(
        &mut self,
        now: Micros,
        id: &RequestId,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        let request = self.requests.open.get(id);
        let cancelled = request.is_some_and(|request| request.cancelled);
        let stalled = cancelled && outcome == Outcome::Cancelled;
        self.update_statistics(now, attempt, outcome, stalled);
        if outcome == Outcome::Ok {
            self.record_response(now, attempt);
        }
    }

    /// Records a response and its latency, measured from the time at which only the back end delayed the request until the
    /// response may have arrived.
    pub(crate) fn record_response(&mut self, now: Micros, attempt: &Attempt) {
        self.load.responses += 1.0;
        if !self.load.capacities.counts(attempt.queued_since) {
            return;
        }
        let class = &self.settings.classes[attempt.class.0];
        let objective = class.latency_objective.max(1) as f64;
        let latency = self.seen_until(now).saturating_sub(attempt.queued_since) as f64;
        self.concurrency_limit
            .record(attempt.class, latency / objective);
    }

    /// Records the outcome of an attempt at its request.
    fn record_outcome(&mut self, id: &RequestId, attempt: &Attempt, outcome: Outcome) {
        let Some(request) = self.requests.open.get_mut(id) else {
            return;
        };
        request.cancelled = false;
        request.reached_server |= outcome.reached_server();
        if outcome == Outcome::NotSent {
            request.unsent_attempts += 1;
        }
        if outcome.may_have_run() && request.dispatched.is_none() {
            let server = self.endpoints.get(attempt.server);
            request.dispatched = server.map(|server| DispatchedAttempt {
                location: server.location(),
                at: attempt.sent_at,
            });
        }
    }

    fn next_step(&self, now: Micros, id: &RequestId, outcome: Outcome) -> NextStep {
        let Some(request) = self.requests.open.get(id) else {
            return NextStep::Wait;
        };
        let class = &self.settings.classes[request.class.0];
        let max_attempts = self.settings.permissions.max_attempts;
        // Of the attempts that ended before their first byte was written, up to `max_attempts` are not counted.
        let exempt_from_budget =
            outcome == Outcome::NotSent && request.unsent_attempts <= max_attempts;
        let may_have_run = request.dispatched.is_some();
        let unsafe_to_repeat = may_have_run && class.idempotency == Idempotency::NonIdempotent;
        if now >= request.deadline
            || self.cannot_be_retried(request, exempt_from_budget)
            || unsafe_to_repeat
        {
            return NextStep::GiveUp;
        }
        let objective_at = request.arrived_at.saturating_add(class.latency_objective);
        if class.late_value > 0.0 || now < objective_at {
            NextStep::Retry { exempt_from_budget }
        } else {
            NextStep::Wait
        }
    }

    /// Returns whether a request cannot be retried: no attempts or no retry budget are left, or its body was streamed.
    fn cannot_be_retried(&self, request: &Request, exempt_from_budget: bool) -> bool {
        let max_attempts = self.settings.permissions.max_attempts;
        let uncounted = request.unsent_attempts.min(max_attempts);
        let no_attempts_left = request.attempts >= max_attempts + uncounted;
        let no_budget = !exempt_from_budget && !self.retries.allows();
        no_attempts_left || no_budget || request.body_streamed
    }

    /// Removes an ended attempt from all tables.
    fn remove_attempt(&mut self, key: &AttemptKey) -> Option<Attempt> {
        let attempt = self.requests.attempts.remove(key)?;
        self.release_attempt(&attempt);
        Some(attempt)
    }

    /// Stops counting an ended attempt of this process or a sibling process at its server and its customer.
    pub(crate) fn release_attempt(&mut self, attempt: &Attempt) {
        match attempt.stage {
            AttemptStage::ReceivingBody => self.endpoints.end_receiving_body(attempt.server),
            AttemptStage::AtServer => {
                if let Some(in_flight) = self.endpoints.in_flight_mut(attempt.server) {
                    *in_flight = in_flight.saturating_sub(1);
                }
            }
            AttemptStage::StreamingResponse => {}
        }
        if attempt.stage != AttemptStage::ReceivingBody {
            if let Some(bucket) = self.quotas.buckets.get_mut(&attempt.customer) {
                bucket.in_flight = bucket.in_flight.saturating_sub(1);
            }
        }
    }
}
