//! Streamed requests and responses: bodies that are relayed as they arrive and are not buffered.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Micros, Outcome, RequestId, SiblingAttempt, SiblingMessage};
use crate::request::AttemptStage;
use crate::state::ANSWER_MARGIN;

impl PolicyEngine {
    /// Handles the last byte of a request's body. From then on the attempt counts at the server and for the customer,
    /// which is charged the request's units; the deadline is reset.
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
        let customer = request.customer;
        let units = request.units;
        let in_flight = request.in_flight;
        if timeout <= ANSWER_MARGIN {
            return self.finish(&id, Counter::RejectedNotSent, actions);
        }
        // The customer's hard limit or its limit on attempts in flight may have been reached while the body was
        // received.
        let Some(number) = in_flight.filter(|_| self.may_start(customer, units, now)) else {
            return self.finish(&id, Counter::RejectedOverQuota, actions);
        };
        if let Some(request) = self.requests.open.get_mut(&id) {
            request.body_incomplete = false;
        }
        let key = (id, number);
        let Some(attempt) = self.requests.attempts.get_mut(&key) else {
            return;
        };
        let Some(in_flight_at_server) = self.endpoints.in_flight_mut(attempt.server) else {
            return;
        };
        *in_flight_at_server += 1;
        attempt.stage = AttemptStage::AtServer;
        attempt.sent_at = now;
        attempt.queued_since = now;
        attempt.in_flight_at_server = f64::from(*in_flight_at_server);
        let sibling_attempt = attempt.to_sibling(&key.0, number);
        let Some(bucket) = self.quotas.buckets.get_mut(&customer) else {
            return;
        };
        bucket.record_attempt(now, units, true);
        if self.requests.share_attempts {
            actions.push(Action::SendToSiblings(SiblingMessage::AttemptStarted(
                SiblingAttempt {
                    charge: Some(bucket.charge(units)),
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
