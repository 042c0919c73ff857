//! Request bodies that are forwarded to the server while they are received from the client.

use super::{Commands, Exchange};
use crate::guard::StepFacts;
use crate::tables::{AttemptStage, ConnectionState};
use crate::{Bugs, Command, ConnectionId, FinalAnswer, Policy, Ticket};
use saffronpaddle_policy::interface::{
    AttemptNumber, Event as PolicyEvent, Micros, Outcome, RequestId,
};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Handles the end of a streaming body. The request's deadline is reset, and the last part is held back until the
    /// policy releases it: before that part the server can't have run the request, so it can still be rejected.
    pub(super) fn on_body_complete(
        &mut self,
        now: Micros,
        id: &RequestId,
        ticket: Ticket,
        deadline: Micros,
    ) {
        let Some(deadline) = self.change_body_deadline(id, ticket, deadline) else {
            return;
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.body_received = true;
        let stage = request.outstanding.as_ref().map(|attempt| attempt.stage);
        if matches!(stage, Some(AttemptStage::Closing(..))) {
            // The end of the attempt follows, and the policy ends the request.
            return;
        }
        self.pending_events.push_back(PolicyEvent::BodyComplete {
            id: id.clone(),
            timeout: deadline.saturating_sub(now),
        });
    }

    /// Handles a change of the time by which a request with an incomplete body needs its answer.
    pub(super) fn on_body_deadline_changed(
        &mut self,
        now: Micros,
        id: RequestId,
        ticket: Ticket,
        deadline: Micros,
    ) {
        if let Some(deadline) = self.change_body_deadline(&id, ticket, deadline) {
            let timeout = deadline.saturating_sub(now);
            self.pending_events
                .push_back(PolicyEvent::BodyDeadlineChanged { id, timeout });
        }
    }

    /// Fails a request whose body can't be received completely. No server can have run it.
    pub(super) fn on_body_failed(
        &mut self,
        now: Micros,
        id: &RequestId,
        ticket: Ticket,
        commands: &mut Commands<A>,
    ) {
        let receiving = self.requests.get(id).is_some_and(|request| {
            request.ticket == ticket && request.open && !request.body_complete
        });
        if receiving {
            self.force_answer(now, id, FinalAnswer::Failed, commands);
        }
    }

    /// Replaces the deadline of an open request whose body is incomplete, and of its attempt. Returns the deadline, not
    /// later than the shutdown deadline; `None` if there is no such request.
    fn change_body_deadline(
        &mut self,
        id: &RequestId,
        ticket: Ticket,
        deadline: Micros,
    ) -> Option<Micros> {
        let request = self.requests.get_mut(id)?;
        if request.ticket != ticket || !request.open || request.body_received {
            return None;
        }
        request.deadline = deadline;
        request.shortened_by_shutdown = false;
        request.limit_to_shutdown(self.shutdown_deadline);
        let deadline = request.deadline;
        if let Some(attempt) = request.outstanding.as_mut() {
            attempt.deadline = attempt.policy_deadline.min(deadline);
        }
        self.update_timer(id);
        Some(deadline)
    }

    /// Releases the last part of a body if its attempt can still send it, and aborts the attempt otherwise.
    pub(super) fn release_body(
        &mut self,
        now: Micros,
        id: &RequestId,
        attempt: AttemptNumber,
        commands: &mut Commands<A>,
    ) {
        let held_back = self.requests.get(id).is_some_and(|request| {
            let outstanding = request.outstanding.as_ref();
            let same = outstanding.is_some_and(|found| AttemptNumber(found.number) == attempt);
            same && request.body_received && !request.body_complete
        });
        if !held_back {
            return;
        }
        let Some(connection) = self.releasable_on(now, id) else {
            return self.abort_attempt(id, Outcome::Cancelled, commands);
        };
        if let Some(request) = self.requests.get_mut(id) {
            request.body_complete = true;
            self.counters.relayed += 1;
            commands.push(Command::ReleaseBody { connection });
        }
    }

    /// Returns the connection on which the last part of a body may be sent. A server that drains or has left the list
    /// finishes what it has.
    fn releasable_on(&mut self, now: Micros, id: &RequestId) -> Option<ConnectionId> {
        let request = self.requests.get(id)?;
        let attempt = request.outstanding.as_ref()?;
        let AttemptStage::OnConnection(connection) = attempt.stage else {
            return None;
        };
        let facts = StepFacts {
            now,
            attempt_deadline: attempt.deadline,
            shutdown_deadline: self.shutdown_deadline,
            client_waits: request.open,
            attempt_outstanding: false,
            body_consumed: false,
            server_ready: true,
            retry_allowed: true,
        };
        let written = self.is_in_state(connection, ConnectionState::Written);
        (written && self.permitted(&facts)).then_some(connection)
    }
}
