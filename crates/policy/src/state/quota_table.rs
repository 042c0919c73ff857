//! What is kept of customers' quotas at this node. The names in JSON are those that earlier builds read.

use crate::interface::{CustomerId, PlanId};
use crate::token_bucket::TokenBucket;
use saffronpaddle_quota::QuotaShard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A part of a customer's quota that this node owns.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct OwnedShard {
    pub plan: PlanId,
    #[serde(rename = "spread")]
    pub subset_size: u32,
    /// Its number among the owners.
    #[serde(rename = "number")]
    pub owner: u32,
    #[serde(rename = "keeper")]
    pub shard: QuotaShard,
}

/// What is kept of customers' quotas here.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaTable {
    pub buckets: BTreeMap<CustomerId, TokenBucket>,
    pub shards: BTreeMap<CustomerId, OwnedShard>,
}
