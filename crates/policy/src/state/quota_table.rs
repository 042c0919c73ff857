//! State of customers' quotas at this node. The names in JSON are those that earlier builds read.

use crate::interface::{CustomerId, PlanId};
use crate::token_bucket::TokenBucket;
use saffronpaddle_quota::QuotaShard;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A shard of a customer's quota that this node owns.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct OwnedShard {
    pub plan: PlanId,
    #[serde(rename = "spread")]
    pub subset_size: u32,
    /// Number of this node among the customer's owners.
    #[serde(rename = "number")]
    pub owner: u32,
    #[serde(rename = "keeper")]
    pub shard: QuotaShard,
}

/// Token buckets and owned shards by customer.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaTable {
    pub buckets: BTreeMap<CustomerId, TokenBucket>,
    pub shards: BTreeMap<CustomerId, OwnedShard>,
}
