//! The recent capacities of the endpoint list, and the periods in which it was short.
//!
//! `capacity_growth` decides by it which latencies are samples and by how much the limit on the
//! lowest class changes.
//!
//! Inputs: the listed capacity before and after each change. Result: whether the latency of a request counts; no action.

use crate::interface::Micros;
use std::collections::VecDeque;

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
    pub fn record(&mut self, now: Micros, since: Micros, capacity: f64) {
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
    pub fn record_growth(&mut self, now: Micros, comparable: f64) {
        let mut recent = self.listed.iter().rev();
        let last = recent.find(|(_, listed)| *listed > comparable);
        let short_since = last.map_or(0, |(at, _)| *at);
        let contained = |period: &(Micros, Micros)| period.0 >= short_since;
        while self.short_periods.back().is_some_and(contained) {
            self.short_periods.pop_back();
        }
        self.short_periods.push_back((short_since, now));
    }

    /// Returns the factor from the last capacity above 0 to the present one, and remembers it; 1 where there is none.
    pub fn change(&mut self, before: f64, after: f64) -> f64 {
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
