//! Changes of the listed capacity: what was observed while fewer servers were listed is discounted, and the limit on the
//! lowest class follows the list.
//!
//! Rule: if a change of the list raises the capacity of the listed servers to `b`, and the most that was listed in the
//! last [`HISTORY_OBJECTIVES`] latency objectives is `a`, the samples of latency so far keep the share `a / b` of their
//! weight. Otherwise a fleet whose list was too short for a while, for example by a mistake of the list service, keeps
//! refusing requests by the latency of servers that were overloaded only because the others were not listed. It is the
//! share by which the servers known before can still serve the load, so a list that grows by one server of many changes
//! hardly anything. Servers that were listed a moment ago add no capacity, so a list that alternates between two lengths
//! discounts nothing.
//!
//! After a sudden growth, the latency of a request that was queued before it is no sample either: it waited for the
//! servers of the short list.
//!
//! The limit on the lowest class is multiplied by the ratio of the listed capacities after and before a change, so that
//! the end of a list of servers and their return cancel out.
//!
//! A server in slow start counts by its present capacity: servers that return cold take little load off the others.
//!
//! Inputs: the listed servers before and after a change. Result: changed statistics; no action.

use crate::engine::PolicyEngine;
use crate::interface::{Endpoint, EndpointUpdate, Micros, Settings};
use std::collections::VecDeque;

/// Factor of growth from which on the latencies of requests that were queued before the change do not count at all.
const SUDDEN_GROWTH: f64 = 1.5;
/// Time for which a listed capacity is remembered, as a multiple of the longest latency objective: a request that
/// misses its objective by as much is a sample before the next growth can discard it.
const HISTORY_OBJECTIVES: Micros = 2;

/// The capacities that the endpoint list has had recently.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityHistory {
    /// Times and capacities, in the order of the times. Capacities descend, as a smaller one before a larger one never
    /// is the maximum.
    listed: VecDeque<(Micros, f64)>,
    /// Capacity of the last list that had any; 0 before the first.
    last_nonzero: f64,
}

impl CapacityHistory {
    /// Records the capacity that is listed now, and forgets what was listed before `since` only.
    fn record(&mut self, now: Micros, since: Micros, capacity: f64) {
        while self
            .listed
            .back()
            .is_some_and(|(_, last)| *last <= capacity)
        {
            self.listed.pop_back();
        }
        self.listed.push_back((now, capacity));
        while self.listed.front().is_some_and(|(at, _)| *at < since) {
            self.listed.pop_front();
        }
    }

    /// Returns the highest recorded capacity; 0 without any.
    fn highest(&self) -> f64 {
        self.listed.front().map_or(0.0, |(_, capacity)| *capacity)
    }

    /// Returns the factor from the last capacity above 0 to this one, and remembers this one; 1 where one of them is 0.
    fn change_to(&mut self, before: f64, after: f64) -> f64 {
        let reference = if before > 0.0 {
            before
        } else {
            self.last_nonzero
        };
        if before > 0.0 {
            self.last_nonzero = before;
        }
        if after > 0.0 && reference > 0.0 {
            after / reference
        } else {
            1.0
        }
    }
}

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
        let since = now.saturating_sub(history_span(&self.settings));
        let before = self.listed_capacity(now);
        self.load.capacities.record(now, since, before);
        let highest = self.load.capacities.highest();
        let recent = self.recent_start_window();
        let rules = self.settings.slow_start;
        self.endpoints.apply(now, update, endpoints, &rules, recent);
        self.measure_capacity(now);
        let after = self.listed_capacity(now);
        self.load.capacities.record(now, since, after);
        let change = self.load.capacities.change_to(before, after);
        self.concurrency_limit.scale(change);
        if highest <= 0.0 || after <= highest {
            return;
        }
        self.load.discount_latencies(highest / after);
        if after >= highest * SUDDEN_GROWTH {
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
