//! Counters and lists for operators.

use super::Exchange;
use crate::{
    Bugs, ConnectionId, Denial, Invariant, OpenRequest, Policy, Violation, Violations, WaitsFor,
};
use saffronpaddle_admin::{RequestCounters, RequestEnd};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Returns the number of ready servers.
    pub fn ready_servers(&self) -> usize {
        self.servers.len()
    }

    /// Returns the number of requests and the number of connections in the tables.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.requests.len(), self.connections.len())
    }

    /// Returns the number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.idle.len()
    }

    /// Returns the requests that have no final answer yet, in arbitrary order.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest> + '_ {
        let state_of = |id: ConnectionId| self.connections.get(&id).map(|found| found.state);
        self.requests
            .iter()
            .filter(|(_, request)| request.open)
            .map(move |(id, request)| OpenRequest {
                id: id.clone(),
                class: request.class,
                deadline: request.deadline,
                attempts: request.attempts,
                waits_for: WaitsFor::of(request, state_of),
            })
    }

    /// Returns how requests have ended so far, and how many attempts were written.
    pub fn counters(&self) -> &RequestCounters {
        &self.counters
    }

    /// Returns how often the guard denied a step, by reason.
    pub fn denials(&self) -> impl Iterator<Item = (Denial, u64)> + '_ {
        Denial::ALL
            .into_iter()
            .map(|denial| (denial, self.denials.get(&denial).copied().unwrap_or(0)))
    }

    /// Returns how often each invariant was violated, with the violations that were not reported yet.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Removes and returns the violations that were not reported yet.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        if self.violations.any_unreported() {
            self.violations.take_unreported()
        } else {
            Vec::new()
        }
    }

    /// Counts a violation for each request that is still open: the process exits now and never answers it.
    pub fn process_exits(&mut self) {
        for (id, request) in &self.requests {
            self.violations
                .check(!request.open, Invariant::AnsweredBeforeExit, id);
        }
    }

    /// Counts a request that the I/O layer answered itself because it was malformed or its id is in use.
    pub fn count_answered_locally(&mut self, class: usize, end: RequestEnd) {
        self.counters.record_received(class);
        self.counters.record_end(class, end);
    }
}
