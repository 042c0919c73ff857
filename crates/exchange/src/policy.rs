//! The interface between the exchange and the policy.

use saffronpaddle_policy::interface::{Action, Event, Micros};

/// Decides which server to use, whether to retry and what to reject.
pub trait Policy {
    /// Handles an event at `now` (µs) and appends the actions to take, in order.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);
}

impl Policy for saffronpaddle_policy::PolicyEngine {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        saffronpaddle_policy::PolicyEngine::handle(self, now, event, actions);
    }
}
