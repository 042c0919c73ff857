//! Which nodes of a large fleet own a customer's quota, in how many shards, and in which order they are asked.
//!
//! The rule: as few shards as one node's intake of messages allows, since a small quota in several shards may be
//! exhausted in one while half of the whole is left. Each shard has an owner and, in a subset of two nodes or more, a
//! standby that is asked while the owner is unreachable. Owners are found by a hash of the customer within its subset of
//! nodes, so every node finds the same ones without a message.
//!
//! Inputs: the plan (units per second, burst, hard limit), the customer's subset of nodes. Results: a number of owners;
//! owner `n` holds shard `n % shards`, and those below `shards` are the primary owners.

use crate::interface::{CustomerId, HardLimit, NodeId, Plan};
use crate::statistics::hash_number;
use saffronpaddle_quota::{ShardLimits, GRANT_LIFETIME};

/// Units per second that one owner of a customer looks after: its intake of messages bounds it.
const UNITS_PER_S_PER_SHARD: f64 = 8.0;
/// Units of a hard limit's capacity that a shard holds at least: a few requests.
const MIN_HARD_LIMIT_PER_SHARD: f64 = 8.0;
/// Share of a shard's hard limit (and, in partition-safe mode, of its quota) that its primary owner holds; standbys hold
/// the rest.
const PRIMARY_SHARE: f64 = 0.75;
/// Owners of each shard. Each that is asked grants at the full rate, so more would grant more than the quota.
const OWNERS_PER_SHARD: u32 = 2;

/// A customer's subset of nodes: the first by number, and how many, wrapping around.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeSubset {
    pub first: NodeId,
    pub size: u32,
}

/// The shards of a customer's quota and the nodes that own them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardOwners {
    /// Shards.
    pub shards: u32,
    /// Owners of all shards, standbys included.
    pub owners: u32,
}

impl ShardOwners {
    /// The owners for a customer of this plan with a subset of so many nodes, at least one.
    pub fn of(plan: &Plan, subset_size: u32) -> Self {
        let max_shards = plan.hard_limit.map_or(subset_size, |limit| {
            (limit.capacity / MIN_HARD_LIMIT_PER_SHARD) as u32
        });
        let wanted = (plan.rate / UNITS_PER_S_PER_SHARD).ceil() as u32;
        let shards = wanted.min(max_shards).clamp(1, subset_size);
        ShardOwners {
            shards,
            owners: (shards * OWNERS_PER_SHARD).min(subset_size),
        }
    }

    /// The limits of the part that one owner holds. Owners of one shard share its quota, unless `partition_safe`, and
    /// always split its hard limit. Of a hard limit each keeps back what accrues during the life of a grant, as grants
    /// are void after that.
    pub fn limits(
        self,
        plan: &Plan,
        owner: u32,
        max_request_units: f64,
        partition_safe: bool,
    ) -> ShardLimits {
        let shards = f64::from(self.shards);
        let part = self.part_of_hard_limit(owner);
        let quota_part = if partition_safe { part } else { 1.0 / shards };
        let permits = |most: u32| (most + self.shards - 1 - owner % self.shards) / self.shards;
        let hard_limit = |limit: HardLimit| {
            let in_grants = limit.rate * GRANT_LIFETIME as f64 / 1e6;
            saffronpaddle_quota::HardLimit {
                rate: limit.rate * part,
                capacity: (limit.capacity - in_grants) * part,
            }
        };
        ShardLimits {
            rate: plan.rate * quota_part,
            capacity: (plan.burst * quota_part).max(max_request_units),
            max_in_flight: plan.max_in_flight.map(permits),
            hard_limit: plan.hard_limit.map(hard_limit),
        }
    }

    /// The part of the whole hard limit that an owner holds.
    fn part_of_hard_limit(self, owner: u32) -> f64 {
        let shards = f64::from(self.shards);
        let standbys_per_shard = f64::from(self.owners - self.shards) / shards;
        let primary = if standbys_per_shard > 0.0 {
            PRIMARY_SHARE
        } else {
            1.0
        };
        let share = if owner < self.shards {
            primary
        } else {
            (1.0 - primary) / standbys_per_shard
        };
        share / shards
    }

    /// The node that is an owner by its number.
    pub fn node(
        self,
        customer: CustomerId,
        subset: NodeSubset,
        owner: u32,
        node_count: u32,
    ) -> NodeId {
        let hash = (hash_number(customer.0) >> 33) as u32;
        let step = (hash % subset.size + owner * (subset.size / self.owners)) % subset.size;
        NodeId((subset.first.0 % node_count + step) % node_count)
    }

    /// All owners from a shard on: its primary owner, its standby, then those of the next shard.
    pub fn in_order(self, first_shard: u32) -> impl Iterator<Item = u32> {
        let ShardOwners { shards, owners } = self;
        (0..shards).flat_map(move |shard| {
            ((first_shard + shard) % shards..owners).step_by(shards as usize)
        })
    }
}

#[cfg(test)]
mod tests;
