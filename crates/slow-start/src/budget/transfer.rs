//! Permits that find no use at their node and go to another.
//!
//! A permit leaves its node before its message does, and a message counts at most once, so that a transfer never adds a
//! permit to the fleet's.

use super::{SlowStartBudget, MAX_PERMITS};
use crate::limits::{slot_length, SlowStartLimits};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// How long a permit stays unused before it is transferred, µs: a few times the time a message takes.
pub const IDLE_BEFORE_TRANSFER: Micros = 20_000;
/// Least remaining lifetime of a permit that is transferred, µs; with less it would expire on the way.
const MIN_TRANSFER_LIFETIME: Micros = 80_000;

/// A permit on its way to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferredPermit {
    /// When the server started that the permit is for, µs.
    pub server_started_at: Micros,
    /// When the permit expires, µs, by the clock that all machines share.
    pub expires_at: Micros,
    /// The sending node's number for the permit.
    pub sequence: u16,
}

/// A transfer that was received and can still be duplicated. It is stored as `[sender, sequence, expires_at]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "(u32, u16, Micros)", into = "(u32, u16, Micros)")]
pub(super) struct TransferRecord {
    sender: u32,
    sequence: u16,
    expires_at: Micros,
}

impl From<(u32, u16, Micros)> for TransferRecord {
    fn from((sender, sequence, expires_at): (u32, u16, Micros)) -> TransferRecord {
        TransferRecord {
            sender,
            sequence,
            expires_at,
        }
    }
}

impl From<TransferRecord> for (u32, u16, Micros) {
    fn from(record: TransferRecord) -> (u32, u16, Micros) {
        (record.sender, record.sequence, record.expires_at)
    }
}

impl SlowStartBudget {
    /// Takes out a permit, or the time slot, that no request here has used for [`IDLE_BEFORE_TRANSFER`]. To be called now
    /// and then while no request is queued.
    pub fn transfer_unused(
        &mut self,
        now: Micros,
        server: u64,
        limits: &SlowStartLimits,
    ) -> Option<TransferredPermit> {
        self.remove_expired(now);
        let slot = self.free_slot(now, server, limits);
        if self.earned.is_empty() && slot.is_none() {
            self.idle_since = None;
            return None;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if now < idle_since.saturating_add(IDLE_BEFORE_TRANSFER) {
            return None;
        }
        let expires_at = self
            .earned
            .pop_front()
            .or_else(|| slot.map(|slot| self.use_slot(slot)))?;
        self.last_sequence = self.last_sequence.wrapping_add(1);
        let remaining = expires_at.saturating_sub(now);
        let is_worthwhile = remaining >= MIN_TRANSFER_LIFETIME && limits.node_count > 1;
        is_worthwhile.then_some(TransferredPermit {
            server_started_at: self.server_started_at,
            expires_at,
            sequence: self.last_sequence,
        })
    }

    /// Marks a time slot as used; when it ends.
    fn use_slot(&mut self, slot: u64) -> Micros {
        self.last_used_slot = slot;
        let length = slot_length(self.restarted_early);
        self.server_started_at
            .saturating_add(slot.saturating_mul(length))
    }

    /// Takes in a permit from another node; whether it counts.
    ///
    /// A message that is duplicated, forged or of an earlier start of the server would be a permit that nobody gave up.
    pub fn receive_transfer(
        &mut self,
        now: Micros,
        sender: u32,
        permit: TransferredPermit,
        limits: &SlowStartLimits,
    ) -> bool {
        self.recent_transfers
            .retain(|transfer| transfer.expires_at > now);
        let slot_length = slot_length(self.restarted_early);
        // A node that restarted doesn't know which permits it took before, and a duplicate would count again. A permit lives
        // no longer than a slot, so after one slot none of them is valid.
        if now < limits.up_since.saturating_add(slot_length) {
            return false;
        }
        let longest_lifetime = limits.permit_lifetime().max(slot_length);
        let expires_at = permit.expires_at.min(now.saturating_add(longest_lifetime));
        let is_duplicate = self
            .recent_transfers
            .iter()
            .any(|transfer| transfer.sender == sender && transfer.sequence == permit.sequence);
        if is_duplicate
            || permit.server_started_at != self.server_started_at
            || expires_at <= now
            || self.recent_transfers.len() >= MAX_PERMITS
        {
            return false;
        }
        self.recent_transfers.push_back(TransferRecord {
            sender,
            sequence: permit.sequence,
            expires_at,
        });
        let position = self.received.partition_point(|other| *other <= expires_at);
        self.received.insert(position, expires_at);
        true
    }
}
