//! Assigns the shards of a customer's quota to nodes of a large fleet, and determines the order in which they are
//! asked.
//!
//! There are as few shards as the rate of messages that one node can receive allows, because one shard of a small quota
//! may be exhausted while half of the quota is left. Each shard has a primary owner and, where the subset has
//! enough nodes, a standby that is asked while the primary owner is unreachable. Owners are determined by a hash of the
//! customer within its subset of nodes, so every node finds the same ones without messages.
//!
//! Inputs: the plan (units per second, burst, hard limit), the customer's subset of nodes. Results: a number of owners;
//! owner `n` holds shard `n % shards`, and those below `shards` are the primary owners.

use crate::interface::{CustomerId, HardLimit, NodeId, Plan};
use crate::statistics::hash_number;
use saffronpaddle_quota::{ShardLimits, GRANT_LIFETIME};

/// Units per second that one owner of a customer handles, limited by the rate of messages that a node can receive.
const UNITS_PER_S_PER_SHARD: f64 = 8.0;
/// Minimum units of a hard limit's capacity per shard, enough for a few requests.
const MIN_HARD_LIMIT_PER_SHARD: f64 = 8.0;
/// Share of a shard's hard limit (and, in partition-safe mode, of its quota) that its primary owner holds; standbys
/// hold the rest.
const PRIMARY_SHARE: f64 = 0.75;
/// Owners of each shard, if the subset has enough nodes. Each owner that is asked grants at the full rate, so more
/// owners would grant more than the quota.
const OWNERS_PER_SHARD: u32 = 2;

/// A customer's subset of nodes: `size` nodes from `first` on, by number, wrapping around.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeSubset {
    pub first: NodeId,
    pub size: u32,
}

/// The shards of a customer's quota and the nodes that own them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardOwners {
    /// Number of shards, which is also the number of primary owners.
    pub shards: u32,
    /// Number of owners of all shards, standbys included.
    pub owners: u32,
}

impl ShardOwners {
    /// The owners for a customer of a plan with a subset of `subset_size` nodes, at least one.
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

    /// The limits that one owner enforces. Each owner of a shard may grant all of the shard's quota, unless
    /// `partition_safe`, where they split it. They always split its hard limit. The capacity of the hard limit is
    /// reduced by the units that accrue during the lifetime of a grant, because a grant may be used until that ends.
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
        let permits = |max: u32| (max + self.shards - 1 - owner % self.shards) / self.shards;
        let hard_limit = |limit: HardLimit| {
            let accrued_in_lifetime = limit.rate * GRANT_LIFETIME as f64 / 1e6;
            saffronpaddle_quota::HardLimit {
                rate: limit.rate * part,
                capacity: (limit.capacity - accrued_in_lifetime) * part,
            }
        };
        ShardLimits {
            rate: plan.rate * quota_part,
            capacity: (plan.burst * quota_part).max(max_request_units),
            max_in_flight: plan.max_in_flight.map(permits),
            hard_limit: plan.hard_limit.map(hard_limit),
        }
    }

    /// The fraction of the entire hard limit that an owner holds.
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

    /// The node of an owner, given the owner's number.
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

    /// Numbers of all owners in the order in which they are asked: the primary owner of `first_shard`, its standby,
    /// then those of the next shard.
    pub fn in_order(self, first_shard: u32) -> impl Iterator<Item = u32> {
        let ShardOwners { shards, owners } = self;
        (0..shards).flat_map(move |shard| {
            ((first_shard + shard) % shards..owners).step_by(shards as usize)
        })
    }
}

#[cfg(test)]
mod tests;
