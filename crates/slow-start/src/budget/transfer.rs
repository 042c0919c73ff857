//! Transfers of unused permits to other nodes.
//!
//! The sender removes a permit before it sends the message, and a message counts at most once, so that a transfer never
//! increases the number of permits in the fleet.

use super::{SlowStartBudget, MAX_PERMITS};
use crate::limits::{slot_length, SlowStartLimits};
use crate::Micros;
use serde::{Deserialize, Serialize};

/// Time for which a permit must be unused before it is transferred, µs: a small multiple of the message latency.
pub const IDLE_BEFORE_TRANSFER: Micros = 20_000;
/// Minimum remaining lifetime of a transferred permit, µs. With less, it could expire in transit.
const MIN_TRANSFER_LIFETIME: Micros = 80_000;

/// A permit as it is sent to another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferredPermit {
    /// Start time of the server for which the permit is valid, µs.
    pub server_started_at: Micros,
    /// Expiry time of the permit, µs, by the clock that all machines share.
    pub expires_at: Micros,
    /// The sender's sequence number of the transfer.
    pub sequence: u16,
}

/// A received transfer of which a duplicate may still arrive. Serialized as `[sender, sequence, expires_at]`.
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
    /// Removes a permit, or the current time slot, that no request here has used for [`IDLE_BEFORE_TRANSFER`], and
    /// returns it for transfer. Call it periodically while no request is queued.
    ///
    /// Returns `None` if nothing has been unused for that long, or if the removed permit is discarded because it could
    /// expire in transit or there is no other node.
    pub fn transfer_unused(
        &mut self,
        now: Micros,
        server: u64,
        limits: &SlowStartLimits,
    ) -> Option<TransferredPermit> {
        self.remove_expired(now);
        let slot = self.unused_slot(now, server, limits);
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
        let is_transferable = remaining >= MIN_TRANSFER_LIFETIME && limits.node_count > 1;
        is_transferable.then_some(TransferredPermit {
            server_started_at: self.server_started_at,
            expires_at,
            sequence: self.last_sequence,
        })
    }

    /// Marks a time slot as used. Returns when it ends.
    fn use_slot(&mut self, slot: u64) -> Micros {
        self.last_used_slot = slot;
        let length = slot_length(self.restarted_early);
        self.server_started_at
            .saturating_add(slot.saturating_mul(length))
    }

    /// Receives a permit from another node. Returns whether it was accepted.
    ///
    /// Duplicated and forged messages and those for an earlier start of the server are rejected, because they would add
    /// a permit that no other node has removed.
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
        // A restarted node doesn't know which transfers it received before, so a duplicate of one would count again. A
        // permit is valid for at most one slot length, so all of these have expired one slot length after the restart.
        if now < limits.process_started_at.saturating_add(slot_length) {
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
