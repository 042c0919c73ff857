//! Verifies the events that the policy received, and records the attempts that it asked for.

use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::World;
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, Event as PolicyEvent, Outcome, RequestId,
};

impl<M: PolicyModel> World<M> {
    /// Verifies the recorded events of the policy, and records its sends.
    pub(super) fn verify_policy_events(&mut self, setup: &Setup) -> Result<(), PropertyViolation> {
        let recording = self.exchange.policy_mut();
        let events = std::mem::take(&mut recording.events);
        let actions = std::mem::take(&mut recording.actions);
        for action in &actions {
            if let Action::Send { id, .. } = action {
                self.notes.push(format!("{action:?}"));
                self.record_send(setup, id);
            }
        }
        for event in events {
            self.verify_policy_event(setup, event)?;
        }
        Ok(())
    }

    /// Records an attempt that the policy asked for. Attempts of requests that are answered, abandoned or past their
    /// deadline are ignored, as their end is not reported to the policy.
    fn record_send(&mut self, setup: &Setup, id: &RequestId) {
        let now = self.now(setup);
        let shutdown_deadline = self.shutdown_deadline;
        let Some(request) = self.request_of(setup, id) else {
            return;
        };
        let client = self.client_mut(request);
        if client.is_waiting() && now < client.answer_deadline(setup, shutdown_deadline) {
            client.sent_attempts |= 1 << client.sent_attempts.count_ones();
        }
    }

    fn verify_policy_event(
        &mut self,
        setup: &Setup,
        event: PolicyEvent,
    ) -> Result<(), PropertyViolation> {
        match event {
            PolicyEvent::AttemptEnded {
                id,
                attempt,
                outcome,
                request_closed,
            } => {
                self.notes.push(format!(
                    "to policy: attempt {} ended, {outcome:?}, request closed: {request_closed}",
                    attempt.0
                ));
                self.verify_attempt_end(setup, &id, attempt, outcome)
            }
            PolicyEvent::RequestAbandoned { .. } => {
                self.notes.push("to policy: request abandoned".to_owned());
                Ok(())
            }
            _ => Ok(()),
        }
    }

    fn verify_attempt_end(
        &mut self,
        setup: &Setup,
        id: &RequestId,
        attempt: AttemptNumber,
        outcome: Outcome,
    ) -> Result<(), PropertyViolation> {
        let Some(request) = self.request_of(setup, id) else {
            return Ok(());
        };
        let client = self.client_mut(request);
        let bit = 1 << attempt.0;
        if client.ended_attempts & bit != 0 || client.sent_attempts & bit == 0 {
            return violated(
                Property::OneEndPerAttempt,
                format!("the end of attempt {} of request {request} is reported twice or was not expected", attempt.0),
            );
        }
        client.ended_attempts |= bit;
        if client
            .written
            .is_some_and(|written| written.number == attempt.0)
        {
            return violated(
                Property::NoPrematureEnd,
                format!("an attempt of request {request} ends with {outcome:?} while it is still outstanding"),
            );
        }
        Ok(())
    }
}
