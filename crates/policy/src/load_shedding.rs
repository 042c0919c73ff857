//! Load shedding: as the back end comes near overload, requests are rejected at random, those of the lowest priority
//! first.
//!
//! Only in a large fleet: requests of a small one are shed by its token buckets and its concurrency limit alone.
//!
//! The rule, in one sentence: the probability rises with the pressure on the back end, twice as fast as the request's
//! rank by priority, up to a maximum that never closes any class entirely. A concurrency limit alone cannot do this where
//! hundreds of nodes have one attempt in flight each: none of them has enough in flight for a limit to bind.
//!
//! Inputs: the worst normalized latency (multiple of the objective), the utilization of the back end (multiple of what it
//! bears, large fleets only), the priority weights of classes and plans. Result: a probability, 0 to
//! [`MAX_SHED_PROBABILITY`].

use crate::engine::PolicyEngine;
use crate::interface::{Class, Plan};
use crate::request::Request;
use crate::statistics::rank;

/// Normalized latency at which shedding begins.
const SHED_FROM_LATENCY: f64 = 0.5;
/// Normalized latency at which all but the highest priority is shed.
const SHED_ALL_AT_LATENCY: f64 = 1.5;
/// Highest probability of being shed.
const MAX_SHED_PROBABILITY: f64 = 0.9;

/// The priority weight of a request of a class and a plan.
fn priority_weight(class: &Class, plan: &Plan) -> f64 {
    class.priority_weight * plan.priority_weight
}

impl PolicyEngine {
    /// The probability with which a request is shed.
    pub(crate) fn shed_probability(&self, request: &Request) -> f64 {
        if self.slow_start.uninformed {
            // Responses of servers in slow start are late by nature, and what is sent to them has a bound of its own.
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

    /// How close the back end is to overload: 0 for not at all, 1 for fully.
    fn pressure(&self) -> f64 {
        let worst = self
            .load
            .worst_normalized_latency(self.lowest_class)
            .unwrap_or(0.0);
        let by_latency = (worst - SHED_FROM_LATENCY) / (SHED_ALL_AT_LATENCY - SHED_FROM_LATENCY);
        by_latency.max(self.utilization() - 1.0).clamp(0.0, 1.0)
    }

    /// Utilization of the back end by the whole fleet; 0 in a small fleet, whose nodes have no gossip averages.
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
