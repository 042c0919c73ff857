//! Dispatch: sends queued requests to servers in descending order of value while there is capacity.
//!
//! Inputs: the queue, the current value of each request (its priority weights, reduced after its latency objective),
//! the concurrency limit of the lowest class, the limits of the customer. Result: the attempts to start.

use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Micros, RequestId, ServerId, SiblingAttempt, SiblingMessage};
use crate::request::Request;

impl PolicyEngine {
    /// Returns the value of responding to a request now.
    pub(crate) fn value(&self, request: &Request, now: Micros) -> f64 {
        let class = &self.settings.classes[request.class.0];
        let objective_at = request.arrived_at.saturating_add(class.latency_objective);
        let share = if now > objective_at {
            class.late_value
        } else {
            1.0
        };
        class.priority_weight * self.settings.plans[request.plan.0].priority_weight * share
    }

    /// Returns the queued requests with their values, in descending order of value.
    pub(crate) fn queue_by_value(&self, now: Micros) -> Vec<(f64, RequestId)> {
        let mut ordered: Vec<(f64, RequestId)> = self
            .requests
            .queue
            .iter()
            .filter_map(|id| Some((self.value(self.requests.open.get(id)?, now), id.clone())))
            .collect();
        ordered.sort_by(|a, b| b.0.total_cmp(&a.0));
        ordered
    }

    /// Sends queued requests while servers have capacity.
    pub(crate) fn dispatch_queue(&mut self, now: Micros, actions: &mut Actions) {
        if self.requests.queue.is_empty() {
            return;
        }
        let mut selectable = self.selectable_servers(now);
        if selectable.is_empty() {
            self.counters.add(Counter::NoCapacity);
        }
        let mut lowest_in_flight = self.requests.in_flight_of(self.lowest_class);
        for (_, id) in self.queue_by_value(now) {
            if selectable.is_empty() {
                break;
            }
            let Some(server) = self.next_server(now, &id, &selectable, lowest_in_flight) else {
                continue;
            };
            if self.is_lowest_class(&id) {
                lowest_in_flight += 1.0;
                self.concurrency_limit.spend();
            }
            self.send(now, id, server, actions);
            selectable = self.selectable_servers(now);
        }
    }

    fn is_lowest_class(&self, id: &RequestId) -> bool {
        let request = self.requests.open.get(id);
        request.is_some_and(|request| request.class == self.lowest_class)
    }

    /// Selects a server for a queued request. Returns `None` if a limit holds the request back or no server may take
    /// it.
    fn next_server(
        &mut self,
        now: Micros,
        id: &RequestId,
        selectable: &[ServerId],
        lowest_in_flight: f64,
    ) -> Option<ServerId> {
        let request = self.requests.open.get(id)?;
        let first_attempt = request.attempts == 0;
        let limited = request.class == self.lowest_class
            && !self
                .concurrency_limit
                .allows(lowest_in_flight, now, self.load.mean_latency);
        if first_attempt && !self.may_start(now, id) {
            // Waiting for the customer's own limit does not count as latency of the back end, as it would otherwise
            // lower the concurrency limit.
            if let Some(request) = self.requests.open.get_mut(id) {
                request.queued_since = now;
            }
            return None;
        }
        if limited {
            return None;
        }
        self.choose_server(now, id, selectable)
    }

    /// Starts an attempt of a request at a server.
    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, actions: &mut Actions) {
        let probe_interval = self.probe_interval();
        let slow_start_limits = self.slow_start_limits(server);
        let lacks_throughput_baseline = self.slow_start.lacks_throughput_baseline;
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        let Some(mut target) = self.endpoints.edit(server) else {
            return;
        };
        let is_first_attempt = request.attempts == 0;
        let body_complete = !request.body_incomplete;
        if body_complete {
            if let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) {
                bucket.record_attempt(now, request.units, is_first_attempt);
            }
            target.in_flight += 1;
        } else {
            target.receiving_bodies += 1;
        }
        if is_first_attempt {
            self.retries.earn();
            self.counters.add(Counter::FirstAttempts);
        } else {
            self.counters.add(Counter::Retries);
        }
        let rules = &self.settings.slow_start;
        if lacks_throughput_baseline || target.capacity_fraction(rules, now) < 1.0 {
            target.charge_slow_start(&slow_start_limits, lacks_throughput_baseline, now);
            self.slow_start.attempts += 1.0;
            self.counters.add(Counter::SlowStartAttempts);
        }
        if let Some(at) = &mut target.statistics[request.class.0].next_probe_at {
            *at = now.saturating_add(probe_interval);
            self.counters.add(Counter::HealthProbes);
        }
        let number = request.start_attempt(server);
        let attempt = request.attempt(server, now, f64::from(target.in_flight));
        drop(target);
        if self.requests.share_attempts && body_complete {
            let bucket = self.quotas.buckets.get(&request.customer);
            let charge = bucket
                .filter(|_| is_first_attempt)
                .map(|bucket| bucket.charge(request.units));
            actions.push(Action::SendToSiblings(SiblingMessage::AttemptStarted(
                SiblingAttempt {
                    charge,
                    ..attempt.to_sibling(&id, number)
                },
            )));
        }
        self.requests.attempts.insert((id.clone(), number), attempt);
        self.requests.dequeue(&id);
        actions.push(Action::Send {
            id,
            server,
            timeout: None,
        });
    }
}
