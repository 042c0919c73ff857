//! The life cycle of a request: receipt, answer, abandonment, and its timer.

use super::{Commands, Exchange};
use crate::tables::RequestState;
use crate::{Bug, Bugs, Command, FinalAnswer, Invariant, Policy, Ticket};
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_policy::interface::{Event as PolicyEvent, Idempotency, Micros, RequestId};
use std::hash::Hash;

/// Delay of an answer beyond which it counts as a violation, µs: the operating system may suspend the process for a
/// while.
const ANSWER_TOLERANCE: Micros = 150_000;

/// What a request asks of its attempts and its answer.
pub(super) struct RequestTerms {
    pub idempotency: Idempotency,
    /// When the client stops waiting, µs.
    pub deadline: Micros,
    /// A response that has started has no deadline, however short it is.
    pub response_streamed: bool,
}

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    pub(super) fn on_request_received(
        &mut self,
        now: Micros,
        terms: RequestTerms,
        mut policy_event: PolicyEvent,
        commands: &mut Commands<A>,
    ) {
        let PolicyEvent::RequestArrived {
            id,
            class,
            complete,
            timeout,
            ..
        } = &mut policy_event
        else {
            return;
        };
        if self.is_known(id) {
            return;
        }
        *timeout = (*timeout).min(self.shutdown_deadline.saturating_sub(now));
        let id = id.clone();
        let class = class.0;
        let body_complete = *complete;
        let ticket = self.next_ticket();
        self.next_ticket += 1;
        self.counters.record_received(class);
        if now >= self.shutdown_deadline {
            return self.reject_at_shutdown(id, class, commands);
        }
        let mut request = RequestState {
            ticket,
            class,
            idempotency: terms.idempotency,
            deadline: terms.deadline,
            response_streamed: terms.response_streamed,
            shutdown_deadline: Micros::MAX,
            shortened_by_shutdown: false,
            open: true,
            body_received: body_complete,
            body_complete,
            body_consumed: false,
            streaming: false,
            attempts: 0,
            outstanding: None,
            first_dispatched: None,
            timer_at: None,
        };
        request.limit_to_shutdown(self.shutdown_deadline);
        self.requests.insert(id.clone(), request);
        self.update_timer(&id);
        self.pending_events.push_back(policy_event);
    }

    /// Rejects a request that arrives after the shutdown deadline. Nothing of it was sent, so a retry is safe.
    fn reject_at_shutdown(&mut self, id: RequestId, class: usize, commands: &mut Commands<A>) {
        self.counters.record_end(class, RequestEnd::Throttled);
        commands.push(Command::Answer {
            id,
            answer: FinalAnswer::Rejected(None),
        });
    }

    pub(super) fn on_client_disconnected(&mut self, id: &RequestId, ticket: Ticket) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        if request.ticket == ticket || self.bugs.planted(Bug::TicketIgnored) {
            self.abandon(id, Some(RequestEnd::Disconnected));
        }
    }

    /// Closes a request that needs no further answer. The policy is notified and cancels the attempt where that is
    /// allowed. `end` is counted; it is `None` if the end of the request was already counted.
    fn abandon(&mut self, id: &RequestId, end: Option<RequestEnd>) {
        let Some(request) = self.requests.get_mut(id).filter(|request| request.open) else {
            return;
        };
        request.open = false;
        if let Some(end) = end {
            self.counters.record_end(request.class, end);
        }
        if self.bugs.planted(Bug::EndNeverTold) {
            self.requests.remove(id);
            self.timers.retain(|(_, other)| other != id);
        }
        self.pending_events
            .push_back(PolicyEvent::RequestAbandoned { id: id.clone() });
        self.update_or_remove(id);
    }

    /// Answers a request as decided by the policy or a response, unless it is already answered.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        id: &RequestId,
        answer: FinalAnswer,
        commands: &mut Commands<A>,
    ) {
        if !self.count_answer(now, id, answer) {
            return;
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.open = false;
        }
        commands.push(Command::Answer {
            id: id.clone(),
            answer,
        });
        self.update_or_remove(id);
    }

    /// Answers a request without a decision of the policy, and notifies the policy that the request is abandoned.
    pub(super) fn force_answer(
        &mut self,
        now: Micros,
        id: &RequestId,
        answer: FinalAnswer,
        commands: &mut Commands<A>,
    ) {
        self.count_answer(now, id, answer);
        commands.push(Command::Answer {
            id: id.clone(),
            answer,
        });
        self.abandon(id, None);
    }

    /// Counts the answer to an open request and verifies that it is in time. Returns false if the request is not open.
    fn count_answer(&mut self, now: Micros, id: &RequestId, answer: FinalAnswer) -> bool {
        let Some(request) = self.requests.get(id).filter(|request| request.open) else {
            return false;
        };
        let latest = request
            .answer_deadline(self.limits.answer_grace)
            .saturating_add(ANSWER_TOLERANCE);
        self.violations
            .check(now <= latest, Invariant::AnsweredInTime, id);
        self.counters.record_end(request.class, request_end(answer));
        true
    }

    /// Updates the timer of a request, or removes the request if it is closed and has no attempt.
    pub(super) fn update_or_remove(&mut self, id: &RequestId) {
        let needed = self
            .requests
            .get(id)
            .is_some_and(|request| request.open || request.outstanding.is_some());
        if needed {
            return self.update_timer(id);
        }
        if let Some(RequestState {
            timer_at: Some(at), ..
        }) = self.requests.remove(id)
        {
            self.timers.remove(&(at, id.clone()));
        }
    }

    /// Sets the timer of a request to the time when it is next due.
    pub(super) fn update_timer(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let due = request.next_due(self.limits.answer_grace);
        if request.timer_at == due {
            return;
        }
        if let Some(at) = std::mem::replace(&mut request.timer_at, due) {
            self.timers.remove(&(at, id.clone()));
        }
        if let Some(at) = due {
            self.timers.insert((at, id.clone()));
        }
    }
}

/// Returns how a request with this answer is counted.
fn request_end(answer: FinalAnswer) -> RequestEnd {
    match answer {
        FinalAnswer::Served => RequestEnd::Fulfilled,
        FinalAnswer::Rejected(_) => RequestEnd::Throttled,
        FinalAnswer::Failed => RequestEnd::Faulted,
    }
}
