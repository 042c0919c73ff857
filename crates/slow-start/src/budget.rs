//! One node's permits to send to one server that is warming up.
//!
//! A request takes a permit, first one received from another node, then one earned here, in each case the one that
//! expires first. Without permits it takes the node's current time slot. A response within the latency objective earns
//! new permits. Times are in µs. The crate documentation explains why the permits of all nodes together do not overload
//! the server.
//!
//! - `transfer`: transfers unused permits to other nodes.

mod transfer;

pub use transfer::{TransferredPermit, IDLE_BEFORE_TRANSFER};

use crate::attempt::AttemptResult;
use crate::baseline_latency::BaselineLatency;
use crate::limits::{slot_length, SlowStartLimits};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use transfer::TransferRecord;

/// Permits earned by a slow response that is within the latency objective.
const SLOW_RESPONSE_PERMITS: f64 = 0.75;
/// A response is fast if its latency is at most this fraction of the latency objective.
const FAST_RESPONSE_OBJECTIVE_FRACTION: f64 = 0.5;
/// A response is also fast if its latency is at most this multiple of the baseline latency ...
const FAST_RESPONSE_BASELINE_MULTIPLE: f64 = 1.6;
/// ... and at most this fraction of the latency objective.
const MAX_FAST_RESPONSE_OBJECTIVE_FRACTION: f64 = 0.9;
/// A restart counts as early within this number of warm-up periods after the previous start.
const EARLY_RESTART_WARM_UPS: u64 = 2;
/// Maximum number of permits that one node holds for one server; bounds memory.
const MAX_PERMITS: usize = 1000;

/// One node's permits to send to one server that is warming up.
///
/// The serialized field names stay as they are, so that earlier and later builds can read them in an in-place upgrade.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowStartBudget {
    /// When the server started. Permits for an earlier start are invalid.
    #[serde(rename = "started")]
    server_started_at: Micros,
    /// Whether the server restarted early, that is, soon after its previous start.
    #[serde(rename = "fallen")]
    restarted_early: bool,
    /// Expiry times of the permits earned here, in ascending order.
    #[serde(rename = "rights")]
    earned: VecDeque<Micros>,
    /// Expiry times of the permits received from other nodes, in ascending order. They are not transferred again: a
    /// fleet that doesn't need them would otherwise flood itself with messages.
    #[serde(rename = "gifted")]
    received: VecDeque<Micros>,
    /// Since when there have been unused permits; `None` if there are none or one was just used.
    #[serde(rename = "idle")]
    idle_since: Option<Micros>,
    /// Sequence number of the last permit that this node transferred.
    #[serde(rename = "serial")]
    last_sequence: u16,
    /// Received transfers of which a duplicate may still arrive.
    #[serde(rename = "came")]
    recent_transfers: VecDeque<TransferRecord>,
    /// The last time slot that this node used, counted from 1; 0 for none.
    #[serde(rename = "used_turn")]
    last_used_slot: u64,
    /// Whether there was a slow or failed attempt since the server's start. From then on, fast responses earn fewer
    /// permits.
    #[serde(rename = "late")]
    had_slow_response: bool,
}

impl SlowStartBudget {
    /// Sets the server's start time. `warm_up_period` is how long the server takes to warm up, µs. If the start time
    /// has changed, all permits become invalid.
    ///
    /// Otherwise a server that was overloaded and restarted would be overloaded again by permits earned before the
    /// restart.
    pub fn on_server_start(&mut self, server_started_at: Micros, warm_up_period: Micros) {
        if server_started_at == self.server_started_at {
            return;
        }
        let restarted_early = self.server_started_at > 0
            && server_started_at
                < self
                    .server_started_at
                    .saturating_add(EARLY_RESTART_WARM_UPS * warm_up_period);
        *self = SlowStartBudget {
            server_started_at,
            restarted_early,
            ..SlowStartBudget::default()
        };
    }

    /// Returns the current time slot, counted from 1, if it belongs to this node and is unused.
    fn unused_slot(&self, now: Micros, server: u64, limits: &SlowStartLimits) -> Option<u64> {
        let length = slot_length(self.restarted_early);
        let index = now.checked_sub(self.server_started_at)? / length;
        let begins_at = self
            .server_started_at
            .saturating_add(index.saturating_mul(length));
        if begins_at <= limits.process_started_at {
            return None;
        }
        let node_count = u64::from(limits.node_count.max(1));
        // The slot order depends on the server, so that a node doesn't own the slots of all servers at the same time.
        let slot_owner = (server % node_count + index) % node_count;
        let slot = index + 1;
        (slot_owner == u64::from(limits.node) && slot > self.last_used_slot).then_some(slot)
    }

    /// Returns whether a request may be sent now. `server` identifies the server and must be the same at all nodes.
    pub fn has_permit(&self, now: Micros, server: u64, limits: &SlowStartLimits) -> bool {
        let has_valid =
            |permits: &VecDeque<Micros>| permits.back().is_some_and(|expires_at| *expires_at > now);
        has_valid(&self.received)
            || has_valid(&self.earned)
            || self.unused_slot(now, server, limits).is_some()
    }

    /// Takes a permit, or else the current time slot, for a request. Returns whether there was one.
    pub fn take_permit(&mut self, now: Micros, server: u64, limits: &SlowStartLimits) -> bool {
        self.remove_expired(now);
        self.idle_since = None;
        let permit = self
            .received
            .pop_front()
            .or_else(|| self.earned.pop_front());
        if permit.is_some() {
            return true;
        }
        let slot = self.unused_slot(now, server, limits);
        self.last_used_slot = slot.unwrap_or(self.last_used_slot);
        slot.is_some()
    }

    /// Records the result of an attempt at a request of this class. A response within its latency objective earns
    /// permits.
    ///
    /// A node that was suspended reads all pending responses at once, long after they arrived. They don't reflect the
    /// server's current state. They earn no permits, because their measured latency exceeds the objective.
    pub fn record_result(
        &mut self,
        now: Micros,
        class: usize,
        result: AttemptResult,
        baseline: &mut BaselineLatency,
        limits: &SlowStartLimits,
    ) {
        let permits = self.permits_earned(class, &result, baseline, limits);
        let whole_permits = (permits + result.random_fraction.clamp(0.0, 1.0)).floor() as usize;
        self.remove_expired(now);
        let expires_at = now.saturating_add(limits.permit_lifetime());
        let capacity = MAX_PERMITS.saturating_sub(self.earned.len());
        self.earned
            .extend(std::iter::repeat_n(expires_at, whole_permits.min(capacity)));
    }

    /// Returns the number of permits that a result earns, which may be fractional.
    fn permits_earned(
        &mut self,
        class: usize,
        result: &AttemptResult,
        baseline: &mut BaselineLatency,
        limits: &SlowStartLimits,
    ) -> f64 {
        if !result.served || result.latency > result.latency_objective {
            self.had_slow_response = true;
            return 0.0;
        }
        let expected_latency = baseline.update(class, result);
        if result.latency as f64
            > max_fast_response_latency(expected_latency, result.latency_objective)
        {
            self.had_slow_response = true;
            SLOW_RESPONSE_PERMITS
        } else if self.had_slow_response || self.restarted_early {
            limits.cautious_growth()
        } else {
            limits.growth()
        }
    }

    /// Returns the number of valid permits earned here, without received permits and time slots.
    pub fn earned_permits(&self, now: Micros) -> usize {
        self.earned
            .iter()
            .filter(|expires_at| **expires_at > now)
            .count()
    }

    fn remove_expired(&mut self, now: Micros) {
        for permits in [&mut self.earned, &mut self.received] {
            while permits.front().is_some_and(|expires_at| *expires_at <= now) {
                permits.pop_front();
            }
        }
    }
}

/// Returns the maximum latency of a fast response, µs.
fn max_fast_response_latency(expected_latency: f64, latency_objective: Micros) -> f64 {
    let objective = latency_objective as f64;
    let by_baseline = (expected_latency * FAST_RESPONSE_BASELINE_MULTIPLE)
        .min(objective * MAX_FAST_RESPONSE_OBJECTIVE_FRACTION);
    by_baseline.max(objective * FAST_RESPONSE_OBJECTIVE_FRACTION)
}
