//! Streamed requests and responses: bodies that are relayed as they arrive and are not buffered.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{
    Action, AttemptNumber, Micros, Outcome, RequestId, SiblingAttempt, SiblingMessage,
};
use crate::request::AttemptStage;
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
        if self.large_fleet {
            request.awaits_release = true;
            return self.request_release(now, id, actions);
        }
        self.release_body(now, &id, actions);
    }

    /// Releases the last byte of a request's body if its customer's limits allow that now, and rejects the request
    /// otherwise: a limit may have been reached while the body was received. A byte that is released is always charged.
    pub(crate) fn release_body(&mut self, now: Micros, id: &RequestId, actions: &mut Actions) {
        if !self.may_start(now, id) {
            if self.large_fleet {
                // The grant has expired: another one is requested.
                return self.check_grant(now, id.clone(), actions);
            }
            return self.finish(id, Counter::RejectedOverQuota, actions);
        }
        let Some(attempt) = self.charge_released_body(now, id, actions) else {
            return self.finish(id, Counter::RejectedNotSent, actions);
        };
        let id = id.clone();
        actions.push(Action::ReleaseBody { id, attempt });
    }

    /// Counts the attempt in flight, whose body is complete, at its server, if that is still known, and for its customer,
    /// which is charged the units, and reports it to the sibling processes. Returns its number; `None` if nothing was
    /// charged, as the request has no such attempt.
    fn charge_released_body(
        &mut self,
        now: Micros,
        id: &RequestId,
        actions: &mut Actions,
    ) -> Option<AttemptNumber> {
        let request = self.requests.open.get_mut(id)?;
        let number = request.in_flight?;
        let attempt = self.requests.attempts.get_mut(&(id.clone(), number))?;
        let bucket = self.quotas.buckets.get_mut(&request.customer)?;
        request.body_incomplete = false;
        request.awaits_release = false;
        self.endpoints.end_receiving_body(attempt.server);
        if let Some(in_flight) = self.endpoints.in_flight_mut(attempt.server) {
            *in_flight += 1;
            attempt.in_flight_at_server = f64::from(*in_flight);
        }
        attempt.stage = AttemptStage::AtServer;
        attempt.sent_at = now;
        attempt.queued_since = now;
        bucket.last_used_at = now;
        bucket.record_attempt(now, request.units, true);
        if self.requests.share_attempts {
            actions.push(Action::SendToSiblings(SiblingMessage::AttemptStarted(
                SiblingAttempt {
                    charge: Some(bucket.charge(request.units)),
                    ..attempt.to_sibling(id, number)
                },
            )));
        }
        Some(number)
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
