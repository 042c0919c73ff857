//! Request bodies that are forwarded to the server while they are received from the client.

use super::{Commands, Exchange};
use crate::tables::{AttemptStage, ConnectionState};
use crate::{Bugs, Command, FinalAnswer, Policy, Ticket};
use saffronpaddle_policy::interface::{Event as PolicyEvent, Micros, RequestId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Handles the end of a streaming body. The request's deadline is reset, and the last part is held back until
    /// the policy has handled this event: before that part the server can't have run the request, so it can still be
    /// rejected.
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
        self.pending_events.push_back(PolicyEvent::BodyComplete {
            id: id.clone(),
            timeout: deadline.saturating_sub(now),
        });
        self.unreleased_body = Some(id.clone());
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
        if request.ticket != ticket || !request.open || request.body_complete {
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

    /// Releases the last part of a body unless the policy has ended the request.
    pub(super) fn release_body(&mut self, commands: &mut Commands<A>) {
        let Some(id) = self.unreleased_body.take() else {
            return;
        };
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.open) else {
            return;
        };
        let stage = request.outstanding.as_ref().map(|attempt| attempt.stage);
        let Some(AttemptStage::OnConnection(connection)) = stage else {
            return;
        };
        let written = self
            .connections
            .get(&connection)
            .is_some_and(|found| found.state == ConnectionState::Written);
        if written {
            request.body_complete = true;
            self.counters.relayed += 1;
            commands.push(Command::ReleaseBody { connection });
        }
    }
}
