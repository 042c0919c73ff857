//! Growth of the endpoint list: what was observed while fewer servers were listed is discounted.
//!
//! Rule: if a change of the list raises the capacity of the listed servers from `a` to `b`, the samples of latency so
//! far keep the share `a / b` of their weight, and the limit on the lowest class grows by `b / a`. Otherwise a fleet
//! whose list was too short for a while, for example by a mistake of the list service, keeps refusing requests by the
//! latency of servers that were overloaded only because the others were not listed. It is the share by which the
//! servers known before can still serve the load, so a list that grows by one server of many changes hardly anything.
//!
//! After a sudden growth, the latency of a request that was queued before it is no sample either: it waited for the
//! servers of the short list.
//!
//! A server in slow start counts by its present capacity: servers that return cold take little load off the others.
//!
//! Inputs: the listed servers before and after a change. Result: changed statistics; no action.

use crate::engine::PolicyEngine;
use crate::interface::{Endpoint, EndpointUpdate, Micros};

/// Factor of growth from which on the latencies of requests that were queued before the change do not count at all.
const SUDDEN_GROWTH: f64 = 1.5;

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
        if before <= 0.0 || after <= before {
            return;
        }
        self.load.discount_latencies(before / after);
        self.concurrency_limit.scale(after / before);
        if after >= before * SUDDEN_GROWTH {
            self.load.latencies_count_from = now;
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
