//! Readiness: whether a node can take new work now.
//!
//! The conditions of the start (a list of app servers, a message from every peer) are met once and not checked again. The
//! conditions in service come and go; each has to fail or hold for some time before readiness follows.

mod conditions;
mod debounce;
mod reason;

pub use conditions::{Conditions, Facts};
pub use reason::{Reason, Reasons};

use crate::time::Time;
use debounce::Debounced;

/// The conditions that are checked in service.
const IN_SERVICE: [Reason; 5] = [
    Reason::ListStale,
    Reason::Descriptors,
    Reason::Memory,
    Reason::Clock,
    Reason::Lagging,
];

/// Whether the conditions of readiness hold.
#[derive(Clone, Debug)]
pub struct Readiness {
    conditions: Conditions,
    started_at: Time,
    /// The last observation.
    facts: Option<Facts>,
    /// The start still waits for a list from a discovery source.
    list_awaited: bool,
    /// The start still waits for messages of peers.
    peers_awaited: bool,
    /// In the order of [`IN_SERVICE`].
    in_service: [Debounced; IN_SERVICE.len()],
    reasons: Reasons,
}

impl Readiness {
    /// The readiness of a node that starts now, before the first observation.
    pub fn new(conditions: Conditions, now: Time) -> Readiness {
        let mut readiness = Readiness {
            conditions,
            started_at: now,
            facts: None,
            list_awaited: true,
            peers_awaited: true,
            in_service: Default::default(),
            reasons: Reasons::default(),
        };
        readiness.advance(now);
        readiness
    }

    /// Sets other conditions.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Takes an observation in. [`Readiness::advance`] has to follow.
    pub fn observe(&mut self, now: Time, facts: &Facts) {
        let first = self.facts.is_none();
        let conditions = &self.conditions;
        for (reason, condition) in IN_SERVICE.into_iter().zip(&mut self.in_service) {
            let failing = fails(reason, conditions, facts);
            // At the start nothing could have lasted yet, and nothing is assumed to hold.
            if first {
                condition.reset(failing);
            } else {
                let (lose_after, regain_after) = (conditions.lose_after, conditions.regain_after);
                condition.observe(now, failing, lose_after, regain_after);
            }
        }
        self.facts = Some(facts.clone());
    }

    /// Brings the reasons up to date with the last observation and the time.
    pub fn advance(&mut self, now: Time) {
        let no_list = self.list_missing(now);
        self.reasons.set(Reason::NoList, no_list);
        let peers_unreachable = self.peers_missing(now);
        self.reasons
            .set(Reason::PeersUnreachable, peers_unreachable);
        for (reason, condition) in IN_SERVICE.into_iter().zip(&self.in_service) {
            self.reasons.set(reason, condition.is_failing());
        }
    }

    /// Whether no list is there, or the start still waits for one from a discovery source.
    fn list_missing(&mut self, now: Time) -> bool {
        let Some(timeout) = self.conditions.list_within else {
            return false;
        };
        let facts = self.facts.as_ref();
        let received = facts.is_some_and(|facts| facts.endpoint_list_age.is_some());
        let configured = facts.is_some_and(|facts| facts.servers > 0);
        let timed_out = now.saturating_sub(self.started_at) >= timeout;
        self.list_awaited &= !received && !timed_out;
        self.list_awaited || !(received || configured)
    }

    /// Whether the start still waits for messages of peers.
    fn peers_missing(&mut self, now: Time) -> bool {
        let Some(timeout) = self.conditions.peers_within else {
            return false;
        };
        let facts = self.facts.as_ref();
        let all_reachable = facts.is_some_and(|facts| facts.reachable_peers >= facts.peers);
        let timed_out = now.saturating_sub(self.started_at) >= timeout;
        self.peers_awaited &= !all_reachable && !timed_out;
        self.peers_awaited
    }

    /// Whether all conditions hold. Before the first observation only a node without conditions is ready.
    pub fn is_ready(&self) -> bool {
        self.reasons.is_empty() && (self.facts.is_some() || self.conditions.is_none())
    }

    /// The conditions that fail.
    pub fn reasons(&self) -> Reasons {
        self.reasons
    }
}

/// Whether an observation fails a condition in service; a condition that is left out holds.
fn fails(reason: Reason, conditions: &Conditions, facts: &Facts) -> bool {
    match reason {
        Reason::ListStale => conditions
            .list_stale_after
            .is_some_and(|longest| facts.endpoint_list_age.is_some_and(|age| age > longest)),
        Reason::Descriptors => conditions
            .free_descriptors
            .is_some_and(|fewest| facts.free_descriptors < fewest),
        Reason::Memory => conditions
            .memory_share
            .is_some_and(|share| facts.memory as f64 > facts.memory_limit as f64 * share),
        Reason::Clock => conditions
            .clock_step
            .is_some_and(|largest| facts.clock_implausible || facts.clock_moved > largest),
        Reason::Lagging => conditions
            .lag
            .is_some_and(|longest| facts.event_loop_lag > longest),
        // Conditions of the start, which time ends.
        Reason::NoList | Reason::PeersUnreachable => false,
    }
}
