//! Requests and responses that are streamed: they go by as they come, and are not kept.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Micros, Outcome, RequestId, SiblingAttempt, SiblingMessage};
use crate::request::AttemptStage;

impl PolicyEngine {
    /// The last byte of a request's body has come. Now the request is decided on: it counts, and draws its units.
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
        // The hard limit may have been used up, or the limit on attempts reached, since the body began to come.
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

    /// A streamed response has begun. Its first bytes are its latency, and the server is free for others.
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
        self.learn(now, &attempt, Outcome::Ok, false);
        self.record_response(now, &attempt);
        if let Some(in_flight) = self.endpoints.in_flight_mut(attempt.server) {
            *in_flight = in_flight.saturating_sub(1);
        }
        if let Some(attempt) = self.requests.attempts.get_mut(&key) {
            attempt.stage = AttemptStage::StreamingResponse;
        }
    }
}
