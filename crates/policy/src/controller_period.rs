//! The controller period: twice a second updates the load statistics and the concurrency limit, decays old observations
//! and removes unused state.

use crate::concurrency_limit::{InFlight, LatencySamples};
use crate::engine::{Actions, PolicyEngine};
use crate::gossip_average::LATENCY_DECAY_S;
use crate::interface::{Action, Diagnostic, Micros, Plan};
use crate::load_statistics::{INITIAL_WAIT_SHARE, UNKNOWN_LATENCY};
use crate::request::Request;
use crate::shard_owners::ShardOwners;
use crate::state::{OwnedShard, CONTROLLER_PERIOD, CONTROLLER_PERIOD_S};
use crate::token_bucket::{bucket_retention, count_silent_peers};
use crate::utilization::SERVICE_RATE_WEIGHT;

/// Weight of a period in the mean number of attempts in flight, in a large fleet, where a node has none most of the
/// time.
const IN_FLIGHT_WEIGHT: f64 = 0.2;
/// Seconds over which the rate of responses is averaged in a small fleet.
const SERVICE_RATE_SPAN_S: f64 = 4.0;

impl PolicyEngine {
    /// Does the work of a controller period if one has ended.
    pub(crate) fn run_controller_period(&mut self, now: Micros, actions: &mut Actions) {
        if now < self.timers.next_period_at {
            return;
        }
        self.timers.next_period_at = now + CONTROLLER_PERIOD;
        self.update_normalized_latencies(now);
        self.update_concurrency_limit(actions);
        self.update_service_rate(now);
        let initial_wait = self.shortest_objective * INITIAL_WAIT_SHARE;
        self.load.typical_wait = self.endpoints.median_wait().unwrap_or(initial_wait);
        let in_flight = self.requests.in_flight();
        self.load.utilization.sample(CONTROLLER_PERIOD_S, in_flight);
        self.earn_slow_start_credit(now);
        self.decay_evidence(now, CONTROLLER_PERIOD_S);
        self.measure_capacity(now);
        self.remove_unused_state(now);
    }

    /// Updates the normalized latencies by class with the samples of the period. Open requests count once they are
    /// late, as a back end that hangs sends no responses and would otherwise look fast.
    fn update_normalized_latencies(&mut self, now: Micros) {
        let seen_until = self.seen_until(now);
        let mut samples = self.concurrency_limit.take_samples();
        for request in self.requests.open.values() {
            if self.waits_for_back_end(request) {
                let class = &self.settings.classes[request.class.0];
                let objective = class.latency_objective.max(1) as f64;
                let age = seen_until.saturating_sub(request.queued_since) as f64 / objective;
                let samples = &mut samples[request.class.0];
                if age > 1.0 || samples.is_exceeded_by(age) {
                    samples.add(age);
                }
            }
        }
        // A small fleet uses the samples of this period only, so that load shedding ends with the overload. In a large
        // fleet each node has few samples, and those of the fleet count until they have decayed.
        let decay = if self.large_fleet {
            CONTROLLER_PERIOD_S / LATENCY_DECAY_S
        } else {
            f64::INFINITY
        };
        let averages = self.load.fleet_latencies.iter_mut();
        let latencies = self.load.normalized_latencies.iter_mut();
        for ((latency, average), LatencySamples { sum, count }) in
            latencies.zip(averages).zip(samples)
        {
            average.decay(decay);
            average.add(sum, count);
            *latency = average.mean().unwrap_or(UNKNOWN_LATENCY);
        }
    }

    /// Returns whether only the back end delays a request, as far as this node knows.
    fn waits_for_back_end(&self, request: &Request) -> bool {
        let waiting = !request.body_incomplete
            && request.deadline < Micros::MAX
            && self.load.capacities.counts(request.queued_since);
        waiting && (!self.large_fleet || request.grant.granted.is_some())
    }

    fn update_concurrency_limit(&mut self, actions: &mut Actions) {
        let worst = self.load.worst_normalized_latency(self.lowest_class);
        let weight = if self.large_fleet {
            IN_FLIGHT_WEIGHT
        } else {
            1.0
        };
        let lowest_now = self.requests.in_flight_of(self.lowest_class);
        let all_now = self.requests.in_flight();
        self.load.lowest_in_flight += (lowest_now - self.load.lowest_in_flight) * weight;
        self.load.in_flight += (all_now - self.load.in_flight) * weight;
        let lowest_class = self.load.lowest_in_flight;
        self.concurrency_limit.observe_in_flight(lowest_class);
        if let Some(worst) = worst {
            let had_limit = self.concurrency_limit.limit().is_some();
            let in_flight = InFlight {
                lowest_class,
                total: self.load.in_flight,
                node_share: 1.0 / f64::from(self.settings.node_count),
            };
            self.concurrency_limit.step(worst, in_flight);
            let limit_created = self.concurrency_limit.limit().is_some() && !had_limit;
            // Not in a large fleet, where hundreds of nodes would log the same overload.
            if limit_created && !self.large_fleet {
                actions.push(Action::Report(Diagnostic::ConcurrencyLimitStarted {
                    normalized_latency: worst,
                    in_flight: lowest_class,
                }));
            }
        }
        self.concurrency_limit.begin_period(lowest_class);
    }

    fn update_service_rate(&mut self, now: Micros) {
        let weight = if self.large_fleet {
            SERVICE_RATE_WEIGHT
        } else {
            CONTROLLER_PERIOD_S / SERVICE_RATE_SPAN_S
        };
        let rate = self.load.responses / CONTROLLER_PERIOD_S;
        self.load.service_rate.add(rate, weight);
        self.count_warm_servers(now, weight);
        self.load.responses = 0.0;
    }

    /// Updates the capacity of the healthy servers, in warm servers.
    pub(crate) fn measure_capacity(&mut self, now: Micros) {
        self.update_slow_start_mode(now);
        let rules = self.settings.slow_start;
        let ready = self.endpoints.ready();
        let healthy = self.endpoints.healthy(self.lowest_class).healthy;
        let missing_capacity: f64 = self
            .recently_started_servers()
            .filter(|server| server.next_probe_at(self.lowest_class.0).is_none())
            .map(|server| 1.0 - server.capacity_fraction(&rules, now))
            .sum();
        // Extrapolates from the servers in the subset to all listed servers.
        let scale = if ready.listed > ready.in_subset {
            ready.listed / ready.in_subset.max(1.0)
        } else {
            1.0
        };
        self.load
            .utilization
            .set_capacity((healthy - missing_capacity) * scale);
    }

    /// Removes the state of idle customers and removed servers, which would otherwise accumulate in memory.
    fn remove_unused_state(&mut self, now: Micros) {
        let plans = &self.settings.plans;
        self.grants.forget_unreachable(now);
        let last_reports = &self.peers.last_report_at;
        let retention = bucket_retention(self.quotas.buckets.len());
        self.quotas.buckets.retain(|_, bucket| {
            let silent_peer_count = count_silent_peers(last_reports, bucket, now);
            !bucket.is_idle(now, &plans[bucket.plan.0], silent_peer_count, retention)
        });
        let max_units = self.settings.max_request_units;
        let partition_safe = self.settings.partition_safe;
        let retention = bucket_retention(self.quotas.shards.len());
        self.quotas
            .shards
            .retain(|_, owned| !owned.is_idle(now, plans, max_units, partition_safe, retention));
        let recent_start_window = self.recent_start_window();
        let large_fleet = self.large_fleet;
        self.endpoints
            .remove_unused(now, recent_start_window, |server| {
                PolicyEngine::has_evidence(server, large_fleet, now)
            });
    }
}

impl OwnedShard {
    fn is_idle(
        &mut self,
        now: Micros,
        plans: &[Plan],
        max_units: f64,
        partition_safe: bool,
        retention: Micros,
    ) -> bool {
        let plan = &plans[self.plan.0];
        let owners = ShardOwners::of(plan, self.subset_size);
        let limits = owners.limits(plan, self.owner, max_units, partition_safe);
        self.shard.is_idle(now, &limits, retention)
    }
}
