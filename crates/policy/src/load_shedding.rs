//! Load shedding: rejects requests at random as the back end approaches overload, beginning with the lowest priority.
//!
//! Used in large fleets only; a small fleet limits the load by its token buckets and its concurrency limit.
//!
//! Rule: the probability is twice the pressure on the back end minus the request's rank by priority, up to a maximum
//! below one, so that no class is ever rejected entirely. A concurrency limit alone does not suffice where hundreds of
//! nodes have one attempt in flight each: no node has enough attempts in flight to reach its limit.
//!
//! Inputs: the worst normalized latency (multiple of the objective), the utilization of the back end (multiple of its
//! capacity, large fleets only), the priority weights of classes and plans. Result: a probability, 0 to
//! [`MAX_SHED_PROBABILITY`].

use crate::engine::PolicyEngine;
use crate::interface::{Class, Plan};
use crate::request::Request;
use crate::statistics::rank;

/// Normalized latency up to which the pressure is 0.
const NO_PRESSURE_LATENCY: f64 = 0.5;
/// Normalized latency from which the pressure is 1 and requests of every priority are shed with
/// [`MAX_SHED_PROBABILITY`].
const FULL_PRESSURE_LATENCY: f64 = 1.5;
/// Maximum probability with which a request is shed.
const MAX_SHED_PROBABILITY: f64 = 0.9;

/// Returns the priority weight of a request of a class and a plan.
fn priority_weight(class: &Class, plan: &Plan) -> f64 {
    class.priority_weight * plan.priority_weight
}

impl PolicyEngine {
    /// Returns the probability with which a request is shed.
    pub(crate) fn shed_probability(&self, request: &Request) -> f64 {
        if self.slow_start.lacks_throughput_baseline {
            // Servers in slow start respond slowly even without overload, and the attempts sent to them are limited by
            // permits.
            return 0.0;
        }
        let settings = &self.settings;
        let class = &settings.classes[request.class.0];
        let plan = &settings.plans[request.plan.0];
        let weights = settings.classes.iter().flat_map(|class| {
            let plans = settings.plans.iter();
            plans.map(move |plan| priority_weight(class, plan))
        });
        let rank = rank(priority_weight(class, plan), weights);
        (2.0 * self.pressure() - rank).clamp(0.0, MAX_SHED_PROBABILITY)
    }

    /// Returns how close the back end is to overload, from 0 (not at all) to 1 (overloaded).
    fn pressure(&self) -> f64 {
        let worst = self
            .load
            .worst_normalized_latency(self.lowest_class)
            .unwrap_or(0.0);
        let by_latency =
            (worst - NO_PRESSURE_LATENCY) / (FULL_PRESSURE_LATENCY - NO_PRESSURE_LATENCY);
        by_latency.max(self.utilization() - 1.0).clamp(0.0, 1.0)
    }

    /// Returns the utilization of the back end by the entire fleet; 0 in a small fleet, which has no gossip averages.
    fn utilization(&self) -> f64 {
        if !self.large_fleet {
            return 0.0;
        }
        let nodes = f64::from(self.settings.node_count);
        let service_rate = self.load.service_rate.value();
        let objective_s = self.shortest_objective / 1e6;
        self.load
            .utilization
            .value(nodes, service_rate, objective_s)
    }
}
