//! The timer: ends requests whose time is over, and runs everything that is not caused by an event.
//!
//! The rule, in one sentence: a request of which nothing reached a server is answered by half of its time, so that its
//! client can still try elsewhere; any other at its deadline. Where late answers have no value, one that cannot be answered
//! within its objective any more is answered before it, and an attempt still in flight after it is cancelled.
//!
//! Inputs: the time, each request's arrival, deadline and latency objective, µs. Result: final answers, cancellations,
//! and the periodic work of other rules.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Class, Micros, RequestId, MILLISECOND};
use crate::request::Request;
use crate::state::LAST_CALL;

/// Delay of the timer from which this node itself is too slow to judge servers: their responses may lie unread.
const OVERLOADED_DELAY: Micros = 50 * MILLISECOND;
/// What is due for a request.
enum Due {
    Nothing,
    /// Its final answer.
    Answer,
    /// The end of its attempt.
    Cancellation,
}

/// The instants that bound a request, µs.
struct RequestBounds {
    now: Micros,
    /// How much later an attempt that starts now is answered.
    expected_response: f64,
}

impl RequestBounds {
    fn due(&self, request: &Request, class: &Class) -> Due {
        let last_call = self.now + LAST_CALL;
        if request.body_incomplete {
            // What takes long is its client's doing.
            return if last_call >= request.deadline {
                Due::Answer
            } else {
                Due::Nothing
            };
        }
        let idle = request.in_flight.is_none();
        let untouched = idle && !request.reached_server;
        let time = request.deadline.saturating_sub(request.arrived_at);
        let answer_by = if untouched {
            request.arrived_at + time / 2
        } else {
            request.deadline
        };
        if last_call >= answer_by {
            return Due::Answer;
        }
        if class.late_value > 0.0 {
            return Due::Nothing;
        }
        let objective_at = request.arrived_at.saturating_add(class.latency_objective);
        let out_of_reach = self.now as f64 + self.expected_response > objective_at as f64;
        if idle && self.now < objective_at && out_of_reach {
            return Due::Answer;
        }
        if self.now > objective_at && !request.cancelled {
            // Servers must not be busy with responses that have no value any more.
            return Due::Cancellation;
        }
        Due::Nothing
    }
}

impl PolicyEngine {
    /// The timer has fired.
    pub(crate) fn on_timer(&mut self, now: Micros, actions: &mut Actions) {
        if now <= self.timers.fires_at.saturating_add(OVERLOADED_DELAY) {
            self.handle_stalled_attempts(now, actions);
        }
        self.timers.fires_at = Micros::MAX;
        let unsent = self.unsent_requests();
        self.end_overdue_requests(now, actions);
        for id in unsent {
            self.check_grant(now, id, actions);
        }
        self.slow_start_on_timer(now, actions);
        self.run_controller_period(now, actions);
        self.broadcast_usage(now, actions);
    }

    /// Requests of a large fleet that were not sent yet: a grant may be missing or have expired.
    fn unsent_requests(&self) -> Vec<RequestId> {
        if !self.large_fleet {
            return Vec::new();
        }
        let requests = self
            .requests
            .open
            .iter()
            .filter(|(_, request)| request.attempts == 0);
        requests.map(|(id, _)| id.clone()).collect()
    }

    fn end_overdue_requests(&mut self, now: Micros, actions: &mut Actions) {
        let bounds = RequestBounds {
            now,
            expected_response: self.load.mean_latency / 2.0,
        };
        let cancellation = self.settings.permissions.cancellation;
        let mut overdue = Vec::new();
        for (id, request) in &mut self.requests.open {
            let class = &self.settings.classes[request.class.0];
            match bounds.due(request, class) {
                Due::Nothing => {}
                Due::Answer => overdue.push(id.clone()),
                Due::Cancellation => {
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
