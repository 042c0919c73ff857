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
use std::collections::VecDeque;

/// Factor of growth from which on the latencies of requests that were queued while the list was short do not count.
const SUDDEN_GROWTH: f64 = 1.5;
/// Time for which listed capacities and periods with a short list are remembered, as a multiple of the longest latency
/// objective.
const HISTORY_OBJECTIVES: Micros = 2;

/// The capacities that the endpoint list has had recently, and the periods in which it was short.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapacityHistory {
    /// Times and capacities, in the order of the times. Capacities descend: one before a larger one is dropped.
    listed: VecDeque<(Micros, f64)>,
    /// Begin and end of the periods in which the list was short.
    short_periods: VecDeque<(Micros, Micros)>,
    /// Capacity of the last list that had any; 0 before the first.
    last_nonzero: f64,
}

impl CapacityHistory {
    /// Returns whether the latency of a request that was queued at this time is a sample: not if the list was short then.
    pub fn counts(&self, queued_since: Micros) -> bool {
        let mut periods = self.short_periods.iter();
        !periods.any(|(from, to)| (*from..*to).contains(&queued_since))
    }

    /// Records the capacity that is listed now, and forgets what ended before `since`.
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
        while self
            .short_periods
            .front()
            .is_some_and(|(_, to)| *to < since)
        {
            self.short_periods.pop_front();
        }
    }

    /// Records a sudden growth, which ends the period since the list last had more than the `comparable` capacity.
    fn record_growth(&mut self, now: Micros, comparable: f64) {
        let mut recent = self.listed.iter().rev();
        let last = recent.find(|(_, listed)| *listed > comparable);
        let short_since = last.map_or(0, |(at, _)| *at);
        self.short_periods.push_back((short_since, now));
    }

    /// Returns the factor from the last capacity above 0 to the present one, and remembers it; 1 where there is none.
    fn change(&mut self, before: f64, after: f64) -> f64 {
        if before > 0.0 {
            self.last_nonzero = before;
        }
        if after > 0.0 && self.last_nonzero > 0.0 {
            after / self.last_nonzero
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
