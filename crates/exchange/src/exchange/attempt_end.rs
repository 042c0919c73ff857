//! The end of an attempt, by itself or by an abort.

use super::{Commands, Exchange};
use crate::tables::AttemptStage;
use crate::{Bug, Bugs, Policy};
use saffronpaddle_policy::interface::{AttemptNumber, Event as PolicyEvent, Outcome, RequestId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Aborts the outstanding attempt of a request. `reason` becomes its outcome if it may have run. The attempt ends
    /// only when its connection is closed; otherwise a retry could run while the server is still running this attempt.
    pub(super) fn abort_attempt(
        &mut self,
        id: &RequestId,
        reason: Outcome,
        commands: &mut Commands<A>,
    ) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let Some(attempt) = request.outstanding.as_ref() else {
            return;
        };
        // A server can't have run an incomplete request.
        let complete = request.body_complete || self.bugs.planted(Bug::RunsBeforeWhole);
        let may_have_run = attempt.dispatched.is_some() && complete;
        let outcome = aborted_outcome(reason, may_have_run);
        let number = attempt.number;
        let deadline = attempt.deadline;
        match attempt.stage {
            AttemptStage::Closing(..) => {}
            AttemptStage::AwaitingSlot(_) => self.end_attempt(id, Outcome::NotSent),
            AttemptStage::OnConnection(connection)
                if reason == Outcome::Cancelled && self.bugs.planted(Bug::CancelWithoutClose) =>
            {
                self.keep_idle(deadline, connection, commands);
                self.end_attempt(id, outcome);
            }
            AttemptStage::OnConnection(connection) => {
                self.close_for(connection, id, commands);
                self.set_stage(id, AttemptStage::Closing(connection, outcome), None);
                if reason == Outcome::TimedOut && self.bugs.planted(Bug::EndToldTwice) {
                    self.notify_attempt_ended(id, number, outcome, false);
                }
            }
        }
    }

    /// Ends the attempt of a request, whose connection is closed or idle.
    pub(super) fn end_attempt(&mut self, id: &RequestId, outcome: Outcome) {
        let window_from_last = self.bugs.planted(Bug::WindowFromLastSend);
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Some(attempt) = request.outstanding.take() else {
            return;
        };
        let was_streaming = std::mem::take(&mut request.streaming);
        self.counters.streaming -= u64::from(was_streaming);
        let ran = outcome == Outcome::Ok || may_have_run(outcome);
        if let Some(dispatched) = attempt.dispatched.filter(|_| ran) {
            self.finished_ids.record(dispatched.at, id.clone());
        }
        if may_have_run(outcome) {
            request.first_dispatched = if window_from_last {
                attempt.dispatched.or(request.first_dispatched)
            } else {
                request.first_dispatched.or(attempt.dispatched)
            };
        }
        let request_closed = !request.open;
        self.notify_attempt_ended(id, attempt.number, outcome, request_closed);
        self.update_or_remove(id);
    }

    /// Notifies the policy of the end of an attempt.
    pub(super) fn notify_attempt_ended(
        &mut self,
        id: &RequestId,
        number: u32,
        outcome: Outcome,
        request_closed: bool,
    ) {
        self.pending_events.push_back(PolicyEvent::AttemptEnded {
            id: id.clone(),
            attempt: AttemptNumber(number),
            outcome,
            request_closed,
        });
    }
}

/// Returns the outcome of an aborted attempt. If the attempt can't have run, the outcome shows it, and the policy may
/// retry the request.
fn aborted_outcome(reason: Outcome, may_have_run: bool) -> Outcome {
    match reason {
        _ if may_have_run => reason,
        Outcome::ConnectionLost | Outcome::TimedOut => Outcome::Unreachable,
        _ => Outcome::NotSent,
    }
}

/// Returns whether an attempt with this outcome may have run although the request was not served.
fn may_have_run(outcome: Outcome) -> bool {
    !matches!(
        outcome,
        Outcome::Ok | Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
    )
}
