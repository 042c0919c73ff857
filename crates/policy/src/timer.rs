//! The timer: ends overdue requests, and runs the periodic work of other rules.
//!
//! Rule: a request of which no attempt has reached a server gets its final answer within half of its time, so that its
//! client can still try another node; any other request by its deadline. The deadline of a request whose body is
//! incomplete is that of its body while its client delays it, and the client's own while this node holds it up. In classes whose late responses have no value,
//! a request without an attempt in flight is ended before its latency objective if it can no longer meet it, and an
//! attempt in flight is cancelled after the objective.
//!
//! Inputs: the time, and each request's arrival, deadline and latency objective, µs. Result: final answers and
//! cancellations.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Class, Micros, RequestId, MILLISECOND};
use crate::request::Request;
use crate::state::ANSWER_MARGIN;

/// Delay of the timer above which servers are not checked for stalled attempts: this node is overloaded itself, and may
/// not have read their responses yet.
const OVERLOADED_DELAY: Micros = 50 * MILLISECOND;

/// Action that is due for a request.
enum DueAction {
    Nothing,
    /// Give the request its final answer.
    FinalAnswer,
    /// Cancel the attempt in flight.
    Cancellation,
}

/// Inputs to the decision on a request that are the same for all requests.
struct DueCheck {
    now: Micros,
    /// Optimistic estimate of the latency of an attempt that starts now, µs.
    optimistic_latency: f64,
}

impl DueCheck {
    fn due_action(&self, request: &Request, class: &Class) -> DueAction {
        let now_with_margin = self.now + ANSWER_MARGIN;
        let no_attempt_in_flight = request.in_flight.is_none();
        let reached_no_server =
            request.awaits_release || no_attempt_in_flight && !request.reached_server;
        let allowed_time = request.deadline.saturating_sub(request.arrived_at);
        let answer_by = if reached_no_server {
            request.arrived_at + allowed_time / 2
        } else {
            request.deadline
        };
        if now_with_margin >= answer_by {
            return DueAction::FinalAnswer;
        }
        // The latency of a request counts from its last byte.
        if request.body_incomplete {
            return DueAction::Nothing;
        }
        if class.late_value > 0.0 {
            return DueAction::Nothing;
        }
        let objective_at = request.arrived_at.saturating_add(class.latency_objective);
        let objective_unreachable = self.now as f64 + self.optimistic_latency > objective_at as f64;
        if no_attempt_in_flight && self.now < objective_at && objective_unreachable {
            return DueAction::FinalAnswer;
        }
        if self.now > objective_at && !request.cancelled {
            // Frees servers from work on responses that no longer have a value.
            return DueAction::Cancellation;
        }
        DueAction::Nothing
    }
}

impl PolicyEngine {
    /// Runs the checks and the periodic work that depend on the time.
    pub(crate) fn on_timer(&mut self, now: Micros, actions: &mut Actions) {
        if now <= self.timers.fires_at.saturating_add(OVERLOADED_DELAY) {
            self.handle_stalled_attempts(now, actions);
        }
        self.timers.fires_at = Micros::MAX;
        let ungranted = self.requests_before_their_grant();
        self.end_overdue_requests(now, actions);
        for id in ungranted {
            self.check_grant(now, id, actions);
        }
        self.slow_start_on_timer(now, actions);
        self.run_controller_period(now, actions);
        self.broadcast_usage(now, actions);
    }

    /// Returns the requests of a large fleet that have not taken their units yet, whose grants may be missing or have
    /// expired.
    fn requests_before_their_grant(&self) -> Vec<RequestId> {
        if !self.large_fleet {
            return Vec::new();
        }
        let requests = self
            .requests
            .open
            .iter()
            .filter(|(_, request)| request.needs_grant());
        requests.map(|(id, _)| id.clone()).collect()
    }

    fn end_overdue_requests(&mut self, now: Micros, actions: &mut Actions) {
        let check = DueCheck {
            now,
            optimistic_latency: self.load.mean_latency / 2.0,
        };
        let cancellation = self.settings.permissions.cancellation;
        let mut overdue = Vec::new();
        for (id, request) in &mut self.requests.open {
            let class = &self.settings.classes[request.class.0];
            match check.due_action(request, class) {
                DueAction::Nothing => {}
                DueAction::FinalAnswer => overdue.push(id.clone()),
                DueAction::Cancellation => {
                    let Some(attempt) = request.in_flight.filter(|_| cancellation) else {
                        continue;
                    };
                    request.cancelled = true;
                    actions.push(Action::Cancel {
                        id: id.clone(),
                        attempt,
                    });
                }
            }
        }
        for id in overdue {
            let request = self.requests.open.get(&id);
            let unsent = request.is_some_and(|request| request.attempts == 0);
            let counter = if unsent {
                Counter::RejectedNotSent
            } else {
                Counter::EndedAfterAttempts
            };
            self.finish(&id, counter, actions);
        }
    }
}
