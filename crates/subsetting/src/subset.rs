//! Deterministic subsetting: which nodes send to which servers.
//!
//! A server's number gives an order of all nodes, and the first of them send to it. Inputs are the node's number, the
//! number of nodes and the length of the list; the results are the number of nodes for each server and whether this node is
//! among them. The list's length alone decides how many nodes a server has, within a tolerance, so small changes of the list
//! move no server.

/// Servers up to which each node sends to all of them.
pub const FULL_LIST_MAX: usize = 512;
/// Servers that a node aims to have of a longer list: enough to choose from, few enough that each is met often.
pub const TARGET_SIZE: usize = 256;
/// Nodes that each server has at the least, if there are so many. The first so many nodes of a server don't depend on the
/// list's length: they share what may be sent to it while it warms up.
pub const SLOW_START_GROUP: u32 = 8;
/// How far a subset may exceed what is needed before servers leave it. Without a tolerance a list whose length goes up and
/// down by one server would move a part of all subsets each time.
const SHRINK_TOLERANCE: f64 = 1.5;
/// How far a subset that no longer fits is set above what is needed.
const RESIZE_MARGIN: f64 = 1.2;

/// The nodes that share a server's slow start, as one node sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlowStartGroup {
    /// Number of nodes that share it.
    pub size: u32,
    /// This node's rank among the server's nodes, from 0; below `size` if the node is one of the group.
    pub rank: u32,
}

/// The servers that one node sends to, of a list of which it needs to know only the length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subset {
    node: u32,
    node_count: u32,
    nodes_per_server: u32,
}

impl Subset {
    /// The whole list, for node `node` of `node_count`.
    pub fn new(node: u32, node_count: u32) -> Subset {
        let node_count = node_count.max(1);
        Subset {
            node,
            node_count,
            nodes_per_server: node_count,
        }
    }

    /// The list has so many servers now. Whether the subset has changed.
    pub fn resize(&mut self, server_count: usize) -> bool {
        let before = self.nodes_per_server;
        self.nodes_per_server = self.nodes_per_server_for(server_count);
        self.nodes_per_server != before
    }

    fn nodes_per_server_for(&self, server_count: usize) -> u32 {
        if server_count <= FULL_LIST_MAX {
            return self.node_count;
        }
        let needed =
            (TARGET_SIZE as f64 * f64::from(self.node_count) / server_count.max(1) as f64).ceil();
        let fits = (self.bounded(needed)..=self.bounded(needed * SHRINK_TOLERANCE))
            .contains(&self.nodes_per_server);
        if fits {
            self.nodes_per_server
        } else {
            self.bounded((needed * RESIZE_MARGIN).ceil())
        }
    }

    /// A number of nodes, at least [`SLOW_START_GROUP`] and at most all.
    fn bounded(&self, nodes: f64) -> u32 {
        nodes
            .max(f64::from(SLOW_START_GROUP))
            .min(f64::from(self.node_count)) as u32
    }

    /// Whether each node sends to all servers.
    pub fn is_complete(&self) -> bool {
        self.nodes_per_server == self.node_count
    }

    /// Number of nodes that send to each server.
    pub fn nodes_per_server(&self) -> u32 {
        self.nodes_per_server
    }

    /// The nodes that share a server's slow start.
    pub fn slow_start_group(&self, server: u64) -> SlowStartGroup {
        if self.is_complete() {
            return SlowStartGroup {
                size: self.node_count,
                rank: self.node,
            };
        }
        SlowStartGroup {
            size: SLOW_START_GROUP.min(self.node_count),
            rank: self.rank(server),
        }
    }

    /// Whether this node sends to a server.
    pub fn contains(&self, server: u64) -> bool {
        self.is_complete() || self.rank(server) < self.nodes_per_server
    }

    /// The node with a rank in the group that shares a server's slow start.
    pub fn slow_start_node_at_rank(&self, server: u64, rank: u32) -> u32 {
        if self.is_complete() {
            return rank % self.node_count;
        }
        self.node_at_rank(server, rank)
    }

    /// The node with a rank among a server's nodes, in a subset that is not complete.
    pub fn node_at_rank(&self, server: u64, rank: u32) -> u32 {
        let order = self.order(server);
        let distance = u64::from(rank % self.node_count) * order.step;
        ((order.first + distance) % u64::from(self.node_count)) as u32
    }

    /// This node's rank among all, in a server's order.
    fn rank(&self, server: u64) -> u32 {
        let order = self.order(server);
        let node_count = u64::from(self.node_count);
        let distance = (u64::from(self.node) + node_count - order.first) % node_count;
        (distance * modular_inverse(order.step, node_count) % node_count) as u32
    }

    fn order(&self, server: u64) -> NodeOrder {
        let node_count = u64::from(self.node_count);
        let hash = mix(server);
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

/// A server's order of all nodes: from the first on in steps that have no divisor in common with the number of nodes, so
/// that it comes by each node once.
struct NodeOrder {
    first: u64,
    step: u64,
}

/// Spreads numbers evenly (the finalizer of `SplitMix64`: Steele, Lea and Flood, 2014).
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Greatest common divisor; that of 0 and 1 is 1.
fn greatest_common_divisor(mut a: u64, mut b: u64) -> u64 {
    while b > 0 {
        (a, b) = (b, a % b);
    }
    a
}

/// The number that, times `number`, is 1 modulo `modulus` (the extended Euclidean algorithm).
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
