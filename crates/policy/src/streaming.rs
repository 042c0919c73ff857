//! Streamed requests and responses: bodies that are relayed as they arrive and are not buffered.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Micros, Outcome, RequestId, SiblingAttempt, SiblingMessage};
use crate::request::{AttemptKey, AttemptStage};
use crate::state::ANSWER_MARGIN;

impl PolicyEngine {
    /// Handles the last byte of a request's body: resets the deadline, and releases the byte or rejects the request.
    pub(crate) fn on_body_complete(
        &mut self,
        now: Micros,
        id: RequestId,
        timeout: Micros,
        actions: &mut Actions,
    ) {
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        if !request.body_incomplete {
            return;
        }
        request.arrived_at = now;
        request.queued_since = now;
        request.deadline = now.saturating_add(timeout);
        if timeout <= ANSWER_MARGIN {
            return self.finish(&id, Counter::RejectedNotSent, actions);
        }
        self.release_body(now, &id, actions);
    }

    /// Releases the last byte of a request's body if its customer's limits allow that now, and rejects the request
    /// otherwise: a limit may have been reached while the body was received. A byte that is released is always charged.
    fn release_body(&mut self, now: Micros, id: &RequestId, actions: &mut Actions) {
        let Some(key) = self.attempt_receiving_body(id) else {
            return self.finish(id, Counter::RejectedNotSent, actions);
        };
        if !self.may_start(now, id) {
            return self.finish(id, Counter::RejectedOverQuota, actions);
        }
        self.charge_released_body(now, &key, actions);
        let (id, attempt) = key;
        actions.push(Action::ReleaseBody { id, attempt });
    }

    /// Returns the attempt that waits for the last byte of its body.
    fn attempt_receiving_body(&self, id: &RequestId) -> Option<AttemptKey> {
        let request = self.requests.open.get(id)?;
        let key = (id.clone(), request.in_flight?);
        self.requests.attempts.contains_key(&key).then_some(key)
    }

    /// Counts an attempt whose body is complete at its server, if that is still known, and for its customer, which is
    /// charged the units, and reports it to the sibling processes.
    fn charge_released_body(&mut self, now: Micros, key: &AttemptKey, actions: &mut Actions) {
        let (Some(request), Some(attempt)) = (
            self.requests.open.get_mut(&key.0),
            self.requests.attempts.get_mut(key),
        ) else {
            return;
        };
        request.body_incomplete = false;
        self.endpoints.end_receiving_body(attempt.server);
        if let Some(in_flight) = self.endpoints.in_flight_mut(attempt.server) {
            *in_flight += 1;
            attempt.in_flight_at_server = f64::from(*in_flight);
        }
        attempt.stage = AttemptStage::AtServer;
        attempt.sent_at = now;
        attempt.queued_since = now;
        let sibling_attempt = attempt.to_sibling(&key.0, key.1);
        let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) else {
            return;
        };
        bucket.record_attempt(now, request.units, true);
        if self.requests.share_attempts {
            actions.push(Action::SendToSiblings(SiblingMessage::AttemptStarted(
                SiblingAttempt {
                    charge: Some(bucket.charge(request.units)),
                    ..sibling_attempt
                },
            )));
        }
    }

    /// Handles a change of the time by which a request with an incomplete body needs its answer. If that time has passed
    /// already, the request is rejected: no server can have executed it.
    pub(crate) fn on_body_deadline_changed(
        &mut self,
        now: Micros,
        id: &RequestId,
        timeout: Micros,
        actions: &mut Actions,
    ) {
        let Some(request) = self.requests.open.get_mut(id) else {
            return;
        };
        if !request.body_incomplete {
            return;
        }
        request.arrived_at = now;
        request.deadline = now.saturating_add(timeout);
        if timeout <= ANSWER_MARGIN {
            self.finish(id, Counter::RejectedNotSent, actions);
        }
    }

    /// Handles the start of a streamed response. The time to its first bytes counts as its latency, and the attempt no
    /// longer counts at the server.
    pub(crate) fn on_response_started(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.requests.open.get_mut(id) else {
            return;
        };
        request.start_response_stream();
        let Some(number) = request.in_flight else {
            return;
        };
        let key = (id.clone(), number);
        let Some(attempt) = self.requests.attempts.get(&key).cloned() else {
            return;
        };
        self.update_statistics(now, &attempt, Outcome::Ok, false);
        self.record_response(now, &attempt);
        if let Some(in_flight) = self.endpoints.in_flight_mut(attempt.server) {
            *in_flight = in_flight.saturating_sub(1);
        }
        if let Some(attempt) = self.requests.attempts.get_mut(&key) {
            attempt.stage = AttemptStage::StreamingResponse;
        }
    }
}
