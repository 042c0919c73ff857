//! What time alone brings about: deadlines, timeouts, idle timeouts and the end of the process.

use super::{Commands, Exchange};
use crate::tables::RequestState;
use crate::{Bug, Bugs, ConnectionId, FinalAnswer, Policy};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// Gives all requests, open and future ones, no more time than the process has.
    pub(super) fn shutdown_announced(&mut self, answer_by: Micros) {
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
            self.update_alarm(&id);
        }
    }

    /// The node drains: idle connections are closed and none is kept any more.
    pub(super) fn stop(&mut self, commands: &mut Commands<A>) {
        self.stopped = true;
        if self.bugs.planted(Bug::KeptAfterStop) {
            return;
        }
        let idle: Vec<ConnectionId> = self.idle.iter().map(|(_, id)| *id).collect();
        idle.into_iter()
            .for_each(|connection| self.close(connection, commands));
    }

    /// Answers the requests whose deadline has passed, whatever the policy does.
    pub(super) fn answer_overdue(&mut self, now: Micros, commands: &mut Commands<A>) {
        if self.alarms.first().is_none_or(|(at, _)| *at > now) {
            return;
        }
        let overdue: Vec<(RequestId, FinalAnswer)> = self
            .alarms
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
        unanswered && now >= request.answered_by(self.limits.answer_grace)
    }

    /// Aborts the attempts whose time is up, and closes the connections that have been idle for too long.
    pub(super) fn timer_fired(&mut self, now: Micros, commands: &mut Commands<A>) {
        let due: Vec<RequestId> = self
            .alarms
            .iter()
            .take_while(|(at, _)| *at <= now)
            .map(|(_, id)| id.clone())
            .collect();
        for id in due {
            let timed_out = self
                .requests
                .get(&id)
                .and_then(|request| request.outstanding.as_ref())
                .is_some_and(|attempt| now >= attempt.step_deadline);
            if timed_out {
                self.abort_attempt(&id, Outcome::TimedOut, commands);
            }
        }
        while let Some((since, connection)) = self.idle.first().copied() {
            if now < since.saturating_add(self.limits.idle_for) {
                break;
            }
            self.close(connection, commands);
        }
    }
}

/// The answer to a request whose deadline has passed. Where the shutdown shortened the client's time and a retry is
/// harmless, the client is told to retry.
fn overdue_answer(request: &RequestState) -> FinalAnswer {
    if request.shortened_by_shutdown && request.open && request.rejection_allowed() {
        FinalAnswer::Rejected(None)
    } else {
        FinalAnswer::Failed
    }
}
