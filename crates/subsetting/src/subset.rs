//! Deterministic subsetting: determines which nodes send to which servers.
//!
//! A server's number determines an order of all nodes, and the first [`Subset::nodes_per_server`] nodes of this order
//! send to the server. That number depends only on the number of nodes and the length of the list, within a tolerance,
//! so small changes of the list do not change any subset.

/// Maximum number of servers with which each node sends to all servers.
pub const FULL_LIST_MAX_SERVERS: usize = 512;
/// Target number of servers in a node's subset of a longer list: enough for load balancing, but few enough that the
/// node sends to each of them often.
pub const TARGET_SUBSET_SIZE: usize = 256;
/// Minimum number of nodes per server, if the fleet has as many. These first nodes of a server's order don't depend on
/// the length of the list. They share the server's slow start.
pub const SLOW_START_GROUP_SIZE: u32 = 8;
/// Maximum ratio of the number of nodes per server to the number needed. Above it, the number of nodes per server is
/// reduced. Without this tolerance, a list whose length alternates by one server would change part of all subsets each
/// time.
const MAX_RATIO_BEFORE_SHRINK: f64 = 1.5;
/// Ratio of the number of nodes per server to the number needed, right after the number of nodes per server was
/// recomputed.
const RESIZE_RATIO: f64 = 1.2;

/// The group of nodes that share a server's slow start, and one node's rank in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartGroup {
    /// Number of nodes in the group.
    pub size: u32,
    /// This node's rank in the server's order of nodes, from 0. The node belongs to the group if its rank is below
    /// `size`.
    pub rank: u32,
}

/// The servers to which one node sends. Whether a server belongs to it depends on the server's number and the length of
/// the list, but not on the other servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subset {
    node: u32,
    node_count: u32,
    nodes_per_server: u32,
}

impl Subset {
    /// Creates a subset with all servers for node number `node` of `node_count` nodes.
    pub fn new(node: u32, node_count: u32) -> Subset {
        let node_count = node_count.max(1);
        Subset {
            node,
            node_count,
            nodes_per_server: node_count,
        }
    }

    /// Adjusts the subset to a list of `server_count` servers. Returns whether the number of nodes per server has
    /// changed.
    pub fn resize(&mut self, server_count: usize) -> bool {
        let before = self.nodes_per_server;
        self.nodes_per_server = self.nodes_per_server_for(server_count);
        self.nodes_per_server != before
    }

    /// Returns the number of nodes per server for a list of `server_count` servers, which is the current number while
    /// that is within the tolerance.
    fn nodes_per_server_for(&self, server_count: usize) -> u32 {
        if server_count <= FULL_LIST_MAX_SERVERS {
            return self.node_count;
        }
        let needed = (TARGET_SUBSET_SIZE as f64 * f64::from(self.node_count)
            / server_count.max(1) as f64)
            .ceil();
        let is_within_tolerance = (self.clamp_node_count(needed)
            ..=self.clamp_node_count(needed * MAX_RATIO_BEFORE_SHRINK))
            .contains(&self.nodes_per_server);
        if is_within_tolerance {
            self.nodes_per_server
        } else {
            self.clamp_node_count((needed * RESIZE_RATIO).ceil())
        }
    }

    /// Limits a number of nodes to at least [`SLOW_START_GROUP_SIZE`] and at most all nodes.
    fn clamp_node_count(&self, nodes: f64) -> u32 {
        nodes
            .max(f64::from(SLOW_START_GROUP_SIZE))
            .min(f64::from(self.node_count)) as u32
    }

    /// Returns whether each node sends to all servers.
    pub fn is_complete(&self) -> bool {
        self.nodes_per_server == self.node_count
    }

    /// Returns the number of nodes that send to each server.
    pub fn nodes_per_server(&self) -> u32 {
        self.nodes_per_server
    }

    /// Returns the group of nodes that share a server's slow start, with this node's rank.
    pub fn slow_start_group(&self, server: u64) -> SlowStartGroup {
        if self.is_complete() {
            return SlowStartGroup {
                size: self.node_count,
                rank: self.node,
            };
        }
        SlowStartGroup {
            size: SLOW_START_GROUP_SIZE.min(self.node_count),
            rank: self.rank(server),
        }
    }

    /// Returns whether this node sends to a server.
    pub fn contains(&self, server: u64) -> bool {
        self.is_complete() || self.rank(server) < self.nodes_per_server
    }

    /// Returns the node with the given rank in the group that shares a server's slow start.
    pub fn slow_start_node_at_rank(&self, server: u64, rank: u32) -> u32 {
        if self.is_complete() {
            return rank % self.node_count;
        }
        self.node_at_rank(server, rank)
    }

    /// Returns the node with the given rank in a server's order of nodes. Only meaningful if the subset is not
    /// complete.
    pub fn node_at_rank(&self, server: u64, rank: u32) -> u32 {
        let order = self.order(server);
        let distance = u64::from(rank % self.node_count) * order.step;
        ((order.first + distance) % u64::from(self.node_count)) as u32
    }

    /// Returns this node's rank in a server's order of nodes.
    fn rank(&self, server: u64) -> u32 {
        let order = self.order(server);
        let node_count = u64::from(self.node_count);
        let distance = (u64::from(self.node) + node_count - order.first) % node_count;
        (distance * modular_inverse(order.step, node_count) % node_count) as u32
    }

    /// Computes a server's order of nodes from a hash of its number.
    fn order(&self, server: u64) -> NodeOrder {
        let node_count = u64::from(self.node_count);
        let hash = hash_number(server);
        let mut step = (hash >> 32) % node_count;
        while greatest_common_divisor(step, node_count) != 1 {
            step = (step + 1) % node_count;
        }
        NodeOrder {
            first: (hash & 0xffff_ffff) % node_count,
            step,
        }
    }
}

/// A server's order of all nodes: it starts at `first` and advances by `step`, modulo the number of nodes. The step is
/// coprime to the number of nodes, so that the order contains each node exactly once.
struct NodeOrder {
    first: u64,
    step: u64,
}

/// Hashes a number with the finalizer of `SplitMix64` (Steele, Lea and Flood, 2014), so that results are evenly
/// distributed.
fn hash_number(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Returns the greatest common divisor of two numbers; 1 for 0 and 1.
fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a
}

/// Returns the modular multiplicative inverse of `number`, computed with the extended Euclidean algorithm. `number`
/// must be coprime to `modulus`.
fn modular_inverse(number: u64, modulus: u64) -> u64 {
    let (mut a, mut b) = (number as i64, modulus as i64);
    let (mut x, mut y) = (1_i64, 0_i64);
    while b > 0 {
        let quotient = a / b;
        (a, b) = (b, a - quotient * b);
        (x, y) = (y, x - quotient * y);
    }
    x.rem_euclid(modulus as i64) as u64
}
