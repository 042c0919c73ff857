//! Changes of the listed capacity: what was observed while fewer servers were listed is discounted, and the limit on the
//! lowest class follows the list.
//!
//! Rule: if a change of the list raises the capacity of the listed servers from `a` to `b`, the samples of latency so far
//! keep the share `a / b` of their weight. Otherwise a fleet whose list was too short for a while, for example by a
//! mistake of the list service, keeps refusing requests by the latency of servers that were overloaded only because the
//! others were not listed. It is the share by which the servers known before can still serve the load, so a list that
//! grows by one server of many changes hardly anything.
//!
//! After a sudden growth, the latency of a request that was queued while the list was short is no sample either: it waited
//! for the servers of the short list. In a small fleet, whose limit goes by latencies alone, one that was queued before,
//! while the list was as long, is a sample: a list that alternates quickly between two lengths, as with health checks that
//! flap, does not hide an overload. A large fleet sheds load by its utilization as well, and discards all of them.
//!
//! The limit on the lowest class is multiplied by the ratio of the listed capacities after and before a change, so that
//! the end of a list of servers and their return cancel out.
//!
//! A server in slow start counts by its present capacity: servers that return cold take little load off the others.
//!
//! Inputs: the listed servers before and after a change. Result: changed statistics; no action.

use crate::engine::PolicyEngine;
use crate::interface::{Endpoint, EndpointUpdate, Micros, Settings};

/// Factor of growth from which on the latencies of requests that were queued while the list was short do not count.
const SUDDEN_GROWTH: f64 = 1.5;
/// Time for which listed capacities and periods with a short list are remembered, as a multiple of the longest latency
/// objective.
const HISTORY_OBJECTIVES: Micros = 2;

/// Time for which listed capacities are remembered.
fn history_span(settings: &Settings) -> Micros {
    let objectives = settings.classes.iter().map(|class| class.latency_objective);
    HISTORY_OBJECTIVES * objectives.max().unwrap_or(0)
}

impl PolicyEngine {
    /// Applies a change of the endpoint list.
    pub(crate) fn on_endpoints_changed(
        &mut self,
        now: Micros,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        let before = self.listed_capacity(now);
        let recent = self.recent_start_window();
        let rules = self.settings.slow_start;
        self.endpoints.apply(now, update, endpoints, &rules, recent);
        self.measure_capacity(now);
        let after = self.listed_capacity(now);
        let since = now.saturating_sub(history_span(&self.settings));
        let capacities = &mut self.load.capacities;
        capacities.record(now, since, before);
        if before > 0.0 && after >= before * SUDDEN_GROWTH {
            let comparable = if self.large_fleet {
                f64::INFINITY
            } else {
                after / SUDDEN_GROWTH
            };
            capacities.record_growth(now, comparable);
        }
        capacities.record(now, since, after);
        self.concurrency_limit
            .scale(capacities.change(before, after));
        if before > 0.0 && after > before {
            self.load.discount_latencies(before / after);
        }
    }

    /// Returns the capacity of all servers that are listed as ready, ejected or not, in warm servers.
    fn listed_capacity(&self, now: Micros) -> f64 {
        let rules = self.settings.slow_start;
        let ready = self.endpoints.ready();
        let missing: f64 = self
            .recently_started_servers()
            .map(|server| 1.0 - server.capacity_fraction(&rules, now))
            .sum();
        (ready.in_subset - missing) * ready.listed / ready.in_subset.max(1.0)
    }
}
