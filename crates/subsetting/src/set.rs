//! Which gateways send to which servers.

/// Servers up to which each gateway sends to all of them.
pub const FULL_LIST_MAX: usize = 512;
/// Servers that a gateway looks for of a longer list: enough to choose from well, few enough that each is met often.
pub const TARGET_SIZE: usize = 256;
/// Gateways that each server has at the least, where there are so many. The first so many of a server are the same
/// whatever the list's length: they share what may be sent to it while nobody knows what it can do.
pub const SLOW_START_GROUP: u32 = 8;
/// How far a set may grow beyond what is sought before servers leave it. Guards against a list that goes up and down by
/// one server and moves a part of all sets each time.
const SLACK: f64 = 1.5;
/// How far it grows when it has become too small.
const STEP: f64 = 1.2;

/// What one gateway sends to, of a list of which it is told no more than its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Subset {
    node: u32,
    node_count: u32,
    nodes_per_server: u32,
}

impl Subset {
    /// The whole list, as gateway `me` of so many.
    pub fn new(me: u32, gateways: u32) -> Subset {
        let gateways = gateways.max(1);
        Subset {
            node: me,
            node_count: gateways,
            nodes_per_server: gateways,
        }
    }

    /// So many servers are listed now; whether other servers are in the set than before.
    pub fn resize(&mut self, servers: usize) -> bool {
        let before = self.nodes_per_server;
        let needed =
            (TARGET_SIZE as f64 * f64::from(self.node_count) / servers.max(1) as f64).ceil();
        let within = |cover: f64| {
            cover
                .clamp(f64::from(SLOW_START_GROUP), f64::MAX)
                .min(f64::from(self.node_count)) as u32
        };
        self.nodes_per_server = if servers <= FULL_LIST_MAX {
            self.node_count
        } else if before >= within(needed) && before <= within(needed * SLACK) {
            before
        } else {
            within((needed * STEP).ceil())
        };
        self.nodes_per_server != before
    }

    /// Whether each gateway sends to all servers.
    pub fn is_complete(&self) -> bool {
        self.nodes_per_server == self.node_count
    }

    /// How many gateways send to each server.
    pub fn nodes_per_server(&self) -> u32 {
        self.nodes_per_server
    }

    /// How many gateways share what is earned by nobody, and the place of this one among those of a server: below the count
    /// if it is one of them.
    pub fn slow_start_group(&self, server: u64) -> (u32, u32) {
        if self.is_complete() {
            return (self.node_count, self.node);
        }
        (SLOW_START_GROUP.min(self.node_count), self.rank(server))
    }

    /// Whether this gateway sends to a server.
    pub fn contains(&self, server: u64) -> bool {
        self.is_complete() || self.rank(server) < self.nodes_per_server
    }

    /// The gateway at a place among those that share what is earned by nobody.
    pub fn slow_start_member(&self, server: u64, place: u32) -> u32 {
        if self.is_complete() {
            return place % self.node_count;
        }
        self.member(server, place)
    }

    /// The gateway at a place among those of a server, of a list that is not whole.
    pub fn member(&self, server: u64, place: u32) -> u32 {
        let (first, step) = self.order(server);
        ((u64::from(first) + u64::from(place % self.node_count) * u64::from(step))
            % u64::from(self.node_count)) as u32
    }

    /// This gateway's place among all, in the order in which a server would take them.
    fn rank(&self, server: u64) -> u32 {
        let (first, step) = self.order(server);
        let gateways = u64::from(self.node_count);
        let beyond = (u64::from(self.node) + gateways - u64::from(first)) % gateways;
        (beyond * inverse(u64::from(step), gateways) % gateways) as u32
    }

    /// A server's order of gateways: where it begins, and a step that has no divisor in common with their count, so that it
    /// comes by each once.
    fn order(&self, server: u64) -> (u32, u32) {
        let gateways = u64::from(self.node_count);
        let hash = scramble(server);
        let first = (hash & 0xffff_ffff) % gateways;
        let mut step = (hash >> 32) % gateways;
        while divisor(step, gateways) != 1 {
            step = (step + 1) % gateways;
        }
        (first as u32, step as u32)
    }
}

/// Spreads numbers evenly (the finalizer of `SplitMix64`: Steele, Lea and Flood, 2014).
fn scramble(number: u64) -> u64 {
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Greatest common divisor; that of 0 and 1 is 1.
fn divisor(mut one: u64, mut other: u64) -> u64 {
    while other > 0 {
        (one, other) = (other, one % other);
    }
    one
}

/// What a step is to be taken times to come to 1, of so many (the extended Euclidean algorithm).
fn inverse(step: u64, of: u64) -> u64 {
    let (mut a, mut b) = (step as i64, of as i64);
    let (mut x, mut y) = (1_i64, 0_i64);
    while b > 0 {
        let times = a / b;
        (a, b) = (b, a - times * b);
        (x, y) = (y, x - times * y);
    }
    x.rem_euclid(of as i64) as u64
}
