//! Readiness: whether a node can accept new requests.
//!
//! Start-up conditions (a list of app servers, a message from every peer) are no longer awaited once they have been met
//! or have timed out. Runtime conditions are checked continuously and debounced: each must fail or hold for a minimum
//! time before readiness changes.

mod conditions;
mod debounce;
mod reason;

pub use conditions::{Conditions, HealthSample};
pub use reason::{Reason, Reasons};

use crate::time::Time;
use debounce::Debounced;

/// The conditions that are checked continuously.
const RUNTIME_CONDITIONS: [Reason; 5] = [
    Reason::ListStale,
    Reason::Descriptors,
    Reason::Memory,
    Reason::Clock,
    Reason::Lagging,
];

/// Evaluates the readiness conditions of one node over time.
#[derive(Clone, Debug)]
pub struct Readiness {
    conditions: Conditions,
    started_at: Time,
    /// The latest measurements; `None` before the first.
    sample: Option<HealthSample>,
    /// The node still waits for a list from a discovery source.
    list_awaited: bool,
    /// The node still waits for messages from peers.
    peers_awaited: bool,
    /// In the order of [`RUNTIME_CONDITIONS`].
    runtime: [Debounced; RUNTIME_CONDITIONS.len()],
    reasons: Reasons,
}

impl Readiness {
    /// Creates the readiness of a node that starts at `now`, before the first measurements.
    pub fn new(conditions: Conditions, now: Time) -> Readiness {
        let mut readiness = Readiness {
            conditions,
            started_at: now,
            sample: None,
            list_awaited: true,
            peers_awaited: true,
            runtime: Default::default(),
            reasons: Reasons::default(),
        };
        readiness.advance(now);
        readiness
    }

    /// Replaces the conditions. The debounced state and the start-up waits are kept.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Records measurements. The caller must call [`Readiness::advance`] afterwards.
    pub fn observe(&mut self, now: Time, sample: &HealthSample) {
        let first = self.sample.is_none();
        let conditions = &self.conditions;
        for (reason, condition) in RUNTIME_CONDITIONS.into_iter().zip(&mut self.runtime) {
            let failing = fails(reason, conditions, sample);
            // There is no earlier measurement to debounce against, and no condition is assumed to hold at start-up.
            if first {
                condition.reset(failing);
            } else {
                let (failure_delay, recovery_delay) =
                    (conditions.failure_delay, conditions.recovery_delay);
                condition.observe(now, failing, failure_delay, recovery_delay);
            }
        }
        self.sample = Some(sample.clone());
    }

    /// Updates the reasons from the latest measurements and the time.
    pub fn advance(&mut self, now: Time) {
        let no_list = self.list_missing(now);
        self.reasons.set(Reason::NoList, no_list);
        let peers_unreachable = self.peers_missing(now);
        self.reasons
            .set(Reason::PeersUnreachable, peers_unreachable);
        for (reason, condition) in RUNTIME_CONDITIONS.into_iter().zip(&self.runtime) {
            self.reasons.set(reason, condition.is_failing());
        }
    }

    /// Whether no list is known, or the node still waits for one from a discovery source.
    fn list_missing(&mut self, now: Time) -> bool {
        let Some(timeout) = self.conditions.list_timeout else {
            return false;
        };
        let sample = self.sample.as_ref();
        let received = sample.is_some_and(|sample| sample.endpoint_list_age.is_some());
        let configured = sample.is_some_and(|sample| sample.servers > 0);
        let timed_out = now.saturating_sub(self.started_at) >= timeout;
        self.list_awaited &= !received && !timed_out;
        self.list_awaited || !(received || configured)
    }

    /// Whether the start still waits for messages of peers.
    fn peers_missing(&mut self, now: Time) -> bool {
        let Some(timeout) = self.conditions.peers_timeout else {
            return false;
        };
        let sample = self.sample.as_ref();
        let all_reachable = sample.is_some_and(|sample| sample.reachable_peers >= sample.peers);
        let timed_out = now.saturating_sub(self.started_at) >= timeout;
        self.peers_awaited &= !all_reachable && !timed_out;
        self.peers_awaited
    }

    /// Whether all conditions hold. Before the first measurements, only a node without conditions is ready.
    pub fn is_ready(&self) -> bool {
        self.reasons.is_empty() && (self.sample.is_some() || self.conditions.is_none())
    }

    /// The failing conditions.
    pub fn reasons(&self) -> Reasons {
        self.reasons
    }
}

/// Whether the measurements violate a runtime condition. A disabled condition never fails.
fn fails(reason: Reason, conditions: &Conditions, sample: &HealthSample) -> bool {
    match reason {
        Reason::ListStale => conditions
            .max_list_age
            .is_some_and(|maximum| sample.endpoint_list_age.is_some_and(|age| age > maximum)),
        Reason::Descriptors => conditions
            .min_free_descriptors
            .is_some_and(|minimum| sample.free_descriptors < minimum),
        Reason::Memory => conditions
            .max_memory_fraction
            .is_some_and(|share| sample.memory as f64 > sample.memory_limit as f64 * share),
        Reason::Clock => conditions
            .max_clock_step
            .is_some_and(|maximum| sample.clock_implausible || sample.clock_moved > maximum),
        Reason::Lagging => conditions
            .max_event_loop_lag
            .is_some_and(|maximum| sample.event_loop_lag > maximum),
        // Start-up conditions, see `list_missing` and `peers_missing`.
        Reason::NoList | Reason::PeersUnreachable => false,
    }
}
