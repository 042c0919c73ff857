//! Handling of time: request deadlines, attempt timeouts, idle timeouts and the shutdown deadline.

use super::{Commands, Exchange};
use crate::tables::RequestState;
use crate::{Bug, Bugs, ConnectionId, FinalAnswer, Policy};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Limits the deadlines of all open and future requests to the shutdown deadline.
    pub(super) fn on_shutdown_announced(&mut self, answer_by: Micros) {
        self.shutdown_deadline = self.shutdown_deadline.min(answer_by);
        if self.bugs.planted(Bug::EndForgotten) {
            return;
        }
        let open: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, request)| request.open)
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            if let Some(request) = self.requests.get_mut(&id) {
                request.limit_to_shutdown(self.shutdown_deadline);
            }
            self.update_timer(&id);
        }
    }

    /// Starts to drain the node: closes the idle connections and keeps none from then on.
    pub(super) fn on_drain(&mut self, commands: &mut Commands<A>) {
        self.draining = true;
        if self.bugs.planted(Bug::KeptAfterStop) {
            return;
        }
        self.close_idle(0, commands);
    }

    /// Closes the connections to servers that have been idle longest, except for `kept` of them.
    pub(super) fn close_idle(&mut self, kept: usize, commands: &mut Commands<A>) {
        let closed = self.idle.len().saturating_sub(kept);
        let idle = self.idle.iter().take(closed).map(|(_, id)| *id);
        let idle: Vec<ConnectionId> = idle.collect();
        idle.into_iter()
            .for_each(|connection| self.close(connection, commands));
    }

    /// Answers the requests whose deadline and grace have passed without an answer by the policy.
    pub(super) fn answer_overdue(&mut self, now: Micros, commands: &mut Commands<A>) {
        if self.timers.first().is_none_or(|(at, _)| *at > now) {
            return;
        }
        let overdue: Vec<(RequestId, FinalAnswer)> = self
            .timers
            .iter()
            .take_while(|(at, _)| *at <= now)
            .filter_map(|(_, id)| {
                let request = self.requests.get(id)?;
                self.is_overdue(now, request)
                    .then(|| (id.clone(), overdue_answer(request)))
            })
            .collect();
        for (id, answer) in &overdue {
            self.force_answer(now, id, *answer, commands);
        }
    }

    fn is_overdue(&self, now: Micros, request: &RequestState) -> bool {
        let unanswered = request.open || self.bugs.planted(Bug::DeadlineRacedByReply);
        unanswered && now >= request.answer_deadline(self.limits.answer_grace)
    }

    /// Aborts the attempts that have timed out, and closes the connections whose idle timeout has passed.
    pub(super) fn on_timer_fired(&mut self, now: Micros, commands: &mut Commands<A>) {
        let due: Vec<RequestId> = self
            .timers
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        for id in due {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let attempt = request.outstanding.as_ref();
            if attempt.is_some_and(|attempt| attempt.is_timed_out(now)) {
                self.counters.responses_ended_at_deadline += u64::from(request.streaming);
                self.abort_attempt(&id, Outcome::TimedOut, commands);
            }
        }
        while let Some((since, connection)) = self.idle.first().copied() {
            if now < since.saturating_add(self.limits.idle_timeout) {
                break;
            }
            self.close(connection, commands);
        }
    }
}

/// Returns the answer to a request whose deadline has passed. It is rejected, so that the client can retry, if the
/// shutdown shortened its deadline and a retry is safe; otherwise it fails.
fn overdue_answer(request: &RequestState) -> FinalAnswer {
    if request.shortened_by_shutdown && request.open && request.rejection_allowed() {
        FinalAnswer::Rejected(None)
    } else {
        FinalAnswer::Failed
    }
}
