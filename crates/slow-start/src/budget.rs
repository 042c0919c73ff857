//! One node's permits to send to one server that warms up.
//!
//! A request takes the permit that expires first, or the node's time slot; an answer in good time brings new permits. Inputs
//! are times in µs, the server's number, [`SlowStartLimits`] and [`AttemptResult`]. Why the permits of all nodes together
//! don't overload the server is in the crate's documentation.
//!
//! - `transfer`: unused permits that go to another node.

mod transfer;

pub use transfer::{TransferredPermit, IDLE_BEFORE_TRANSFER};

use crate::attempt::AttemptResult;
use crate::baseline_latency::BaselineLatency;
use crate::limits::{slot_length, SlowStartLimits};
use crate::Micros;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use transfer::TransferRecord;

/// Permits that an answer brings that is not in good time, but within the latency objective.
const SLOW_ANSWER_PERMITS: f64 = 0.75;
/// An answer is in good time within this fraction of the latency objective ...
const GOOD_OBJECTIVE_FRACTION: f64 = 0.5;
/// ... or within this multiple of the baseline latency ...
const GOOD_BASELINE_MULTIPLE: f64 = 1.6;
/// ... up to this fraction of the latency objective.
const MAX_GOOD_OBJECTIVE_FRACTION: f64 = 0.9;
/// A server that starts again within so many warm-up periods of its last start has restarted early.
const EARLY_RESTART_WARM_UPS: u64 = 2;
/// Most permits that one node holds for one server; bounds memory.
const MAX_PERMITS: usize = 1000;

/// One node's permits to send to one server that warms up.
///
/// Its stored names are those that earlier builds read when a node is upgraded in place.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default)]
pub struct SlowStartBudget {
    /// When the server started: permits of an earlier start are void.
    #[serde(rename = "started")]
    server_started_at: Micros,
    /// Whether the server had started not long before.
    #[serde(rename = "fallen")]
    restarted_early: bool,
    /// When each permit that was earned here expires, in order.
    #[serde(rename = "rights")]
    earned: VecDeque<Micros>,
    /// The same of permits that other nodes transferred. They are not transferred again: a fleet that has no use for them
    /// would otherwise flood itself with messages.
    #[serde(rename = "gifted")]
    received: VecDeque<Micros>,
    /// Since when there have been permits that no request used.
    #[serde(rename = "idle")]
    idle_since: Option<Micros>,
    /// Number of the last permit that was transferred from here.
    #[serde(rename = "serial")]
    last_sequence: u16,
    /// Transfers that were received and can still be duplicated.
    #[serde(rename = "came")]
    recent_transfers: VecDeque<TransferRecord>,
    /// The last time slot that was used here, counted from 1.
    #[serde(rename = "used_turn")]
    last_used_slot: u64,
    /// Whether an answer was slow since the server's start: from then on the fleet grows slowly.
    #[serde(rename = "late")]
    had_slow_answer: bool,
}

impl SlowStartBudget {
    /// The server's start time is known; `warm_up_period` is how long it takes to warm up, µs. On another start than the
    /// last one all permits are void.
    ///
    /// A server that was overloaded and restarted would otherwise be overloaded again by permits that it earned before.
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

    /// The current time slot, counted from 1, if it belongs to this node and is unused.
    fn free_slot(&self, now: Micros, server: u64, limits: &SlowStartLimits) -> Option<u64> {
        let length = slot_length(self.restarted_early);
        let index = now.checked_sub(self.server_started_at)? / length;
        let begins_at = self
            .server_started_at
            .saturating_add(index.saturating_mul(length));
        if begins_at <= limits.up_since {
            return None;
        }
        let node_count = u64::from(limits.node_count.max(1));
        // Servers number their slots differently, so that a node doesn't have its slots at all servers at once.
        let slot_owner = (server % node_count + index) % node_count;
        let slot = index + 1;
        (slot_owner == u64::from(limits.node) && slot > self.last_used_slot).then_some(slot)
    }

    /// Whether one more request may be sent now. `server` is a number that all nodes have for the server.
    pub fn has_permit(&self, now: Micros, server: u64, limits: &SlowStartLimits) -> bool {
        let has_valid =
            |permits: &VecDeque<Micros>| permits.back().is_some_and(|expires_at| *expires_at > now);
        has_valid(&self.received)
            || has_valid(&self.earned)
            || self.free_slot(now, server, limits).is_some()
    }

    /// A request is sent: it takes a permit, or else the time slot. Whether there was one.
    pub fn consume(&mut self, now: Micros, server: u64, limits: &SlowStartLimits) -> bool {
        self.remove_expired(now);
        self.idle_since = None;
        let permit = self
            .received
            .pop_front()
            .or_else(|| self.earned.pop_front());
        if permit.is_some() {
            return true;
        }
        let slot = self.free_slot(now, server, limits);
        self.last_used_slot = slot.unwrap_or(self.last_used_slot);
        slot.is_some()
    }

    /// An attempt at a request of this class has ended: an answer within its latency objective brings permits.
    ///
    /// A node that was suspended reads all its answers at once, long after they came. They say nothing of the present; as
    /// they took longer than the objective, they bring nothing.
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

    /// Permits that a result is worth, parts of one included.
    fn permits_earned(
        &mut self,
        class: usize,
        result: &AttemptResult,
        baseline: &mut BaselineLatency,
        limits: &SlowStartLimits,
    ) -> f64 {
        if !result.served || result.latency > result.latency_objective {
            self.had_slow_answer = true;
            return 0.0;
        }
        let expected_latency = baseline.update(class, result);
        if result.latency as f64 > good_latency(expected_latency, result.latency_objective) {
            self.had_slow_answer = true;
            SLOW_ANSWER_PERMITS
        } else if self.had_slow_answer || self.restarted_early {
            limits.cautious_growth()
        } else {
            limits.growth()
        }
    }

    /// Number of permits that were earned here and are valid now, without time slots.
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

/// Longest latency, µs, of an answer in good time.
fn good_latency(expected_latency: f64, latency_objective: Micros) -> f64 {
    let objective = latency_objective as f64;
    let by_baseline =
        (expected_latency * GOOD_BASELINE_MULTIPLE).min(objective * MAX_GOOD_OBJECTIVE_FRACTION);
    by_baseline.max(objective * GOOD_OBJECTIVE_FRACTION)
}
