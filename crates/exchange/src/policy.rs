//! The interface between the exchange and the policy.

use saffronpaddle_policy::interface::{Action, AttemptNumber, Event, Micros, RequestId};

/// Decides which server to use, whether to retry and what to reject.
pub trait Policy {
    /// Handles an event at `now` (µs) and appends the actions to take, in order.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// Sets how long the events that are handled from now on may have been ready before, µs.
    fn set_event_delay(&mut self, _delay: Micros) {}

    /// Records that an attempt was held up by this node for `delay` µs before its request was written.
    fn attempt_delayed(&mut self, _id: &RequestId, _attempt: AttemptNumber, _delay: Micros) {}
}

impl Policy for saffronpaddle_policy::PolicyEngine {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        saffronpaddle_policy::PolicyEngine::handle(self, now, event, actions);
    }

    fn set_event_delay(&mut self, delay: Micros) {
        saffronpaddle_policy::PolicyEngine::set_event_delay(self, delay);
    }

    fn attempt_delayed(&mut self, id: &RequestId, attempt: AttemptNumber, delay: Micros) {
        saffronpaddle_policy::PolicyEngine::attempt_delayed(self, id, attempt, delay);
    }
}
