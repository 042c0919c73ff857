//! Tenants: their shares of the requests (Zipf's law), their quotas, and the nodes that their requests arrive at.

use std::sync::Arc;

/// Rate of the smallest plan, units/s, and the factor from each plan to the next.
const SMALLEST_PLAN: (f64, f64) = (0.8, 4.0);
/// Burst of a plan, in seconds of its rate, and the smallest burst, units.
const BURST: (f64, f64) = (4.0, 4.0);
/// Number of plans: the largest has 0.8 x 4^8 = 52,429 units/s.
const PLAN_COUNT: usize = 9;
/// Largest share of its quota that a tenant uses. Every fifth tenant gets the next smaller plan and may exceed it.
const MAX_USE_OF_QUOTA: f64 = 0.7;
/// A tenant's subset of nodes is larger than the minimum if otherwise more than this share of a node's requests would come
/// from the tenant.
const MAX_SHARE_OF_NODE: f64 = 0.25;

/// All tenants of a fleet, in descending order of their demand. A tenant's rank is its index in this order.
#[derive(Clone, Debug)]
pub struct Tenants {
    nodes: u32,
    /// Requests/s of one node.
    node_rate: f64,
    /// Minimum number of nodes in a tenant's subset; 0 for all nodes.
    min_subset_size: u32,
    /// Share of all requests that the tenants up to each rank send together.
    cumulative: Arc<Vec<f64>>,
}

/// A tenant as its requests describe it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Customer id in the requests.
    pub id: u64,
    /// Index of its plan in [`plans`].
    pub plan: usize,
    /// First node of its subset.
    pub subset_first: u32,
    /// Number of nodes in its subset.
    pub subset_size: u32,
}

/// Rate (units/s) and burst (units) of each plan.
pub fn plans() -> Vec<(f64, f64)> {
    let rate = |plan: usize| SMALLEST_PLAN.0 * SMALLEST_PLAN.1.powi(plan as i32);
    (0..PLAN_COUNT)
        .map(|plan| (rate(plan), (rate(plan) * BURST.0).max(BURST.1)))
        .collect()
}

/// Hashes a number with the finalizer of splitmix64, so that consecutive numbers give unrelated values.
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Tenants {
    /// `count` tenants (at least one) whose demands follow Zipf's law with the exponent `skew`, on `nodes` nodes with
    /// `node_rate` requests/s each.
    pub fn new(
        count: usize,
        skew: f64,
        (nodes, node_rate): (u32, f64),
        min_subset_size: u32,
    ) -> Tenants {
        let mut sum = 0.0;
        let weight = |rank: usize| (rank as f64 + 1.0).powf(-skew);
        let mut cumulative: Vec<f64> = (0..count.max(1))
            .map(|rank| {
                sum += weight(rank);
                sum
            })
            .collect();
        cumulative.iter_mut().for_each(|share| *share /= sum);
        Tenants {
            nodes: nodes.max(1),
            node_rate,
            min_subset_size,
            cumulative: Arc::new(cumulative),
        }
    }

    /// Number of tenants.
    pub fn count(&self) -> usize {
        self.cumulative.len()
    }

    /// Share of all requests that the tenant of this rank sends.
    fn share(&self, rank: usize) -> f64 {
        let before = rank
            .checked_sub(1)
            .map_or(0.0, |before| self.cumulative[before]);
        self.cumulative[rank] - before
    }

    /// Requests/s of the tenant of this rank, over all nodes.
    pub fn demand(&self, rank: usize) -> f64 {
        self.share(rank) * f64::from(self.nodes) * self.node_rate
    }

    /// The tenant of this rank.
    pub fn tenant(&self, rank: usize) -> Tenant {
        let demand = self.demand(rank);
        let id = 1 + (mix(rank as u64) >> 31);
        let wanted = plans()
            .iter()
            .position(|(rate, _)| *rate * MAX_USE_OF_QUOTA >= demand)
            .unwrap_or(PLAN_COUNT - 1);
        let plan = if rank % 5 == 4 {
            wanted.saturating_sub(1)
        } else {
            wanted
        };
        let needed =
            (demand / (MAX_SHARE_OF_NODE * self.node_rate.max(f64::EPSILON))).ceil() as u32;
        let subset_size = if self.min_subset_size == 0 {
            self.nodes
        } else {
            self.min_subset_size.max(needed).min(self.nodes)
        };
        let subset_first = if subset_size == self.nodes {
            0
        } else {
            (mix(id) % u64::from(self.nodes)) as u32
        };
        Tenant {
            id,
            plan,
            subset_first,
            subset_size,
        }
    }

    /// The tenants whose requests arrive at a node.
    pub fn sampler(&self, node: u32) -> TenantSampler {
        if self.min_subset_size == 0 || self.min_subset_size >= self.nodes {
            return TenantSampler {
                ranks: None,
                cumulative: Arc::clone(&self.cumulative),
            };
        }
        let (mut ranks, mut cumulative, mut sum) = (Vec::new(), Vec::new(), 0.0);
        for rank in 0..self.count() {
            let Tenant {
                subset_first,
                subset_size,
                ..
            } = self.tenant(rank);
            if (node + self.nodes - subset_first) % self.nodes < subset_size {
                sum += self.share(rank) / f64::from(subset_size);
                ranks.push(rank as u32);
                cumulative.push(sum);
            }
        }
        if ranks.is_empty() {
            return TenantSampler {
                ranks: Some(vec![0]),
                cumulative: Arc::new(vec![1.0]),
            };
        }
        cumulative.iter_mut().for_each(|share| *share /= sum);
        TenantSampler {
            ranks: Some(ranks),
            cumulative: Arc::new(cumulative),
        }
    }
}

/// Draws tenants of one node in proportion to the requests that they send to it.
#[derive(Clone, Debug)]
pub struct TenantSampler {
    /// Ranks of its tenants; `None` if all tenants send requests to it.
    ranks: Option<Vec<u32>>,
    /// Share of the node's requests that its tenants up to each index send together.
    cumulative: Arc<Vec<f64>>,
}

impl TenantSampler {
    /// The rank of the tenant that a uniform random number from 0 to 1 selects.
    pub fn rank(&self, draw: f64) -> usize {
        let rank = self
            .cumulative
            .partition_point(|share| *share < draw)
            .min(self.cumulative.len() - 1);
        self.ranks
            .as_ref()
            .map_or(rank, |ranks| ranks[rank] as usize)
    }

    /// Number of tenants that send requests to the node.
    pub fn count(&self) -> usize {
        self.cumulative.len()
    }
}
