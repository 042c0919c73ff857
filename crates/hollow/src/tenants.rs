//! Tenants: how the tries are spread over them (Zipf), what quota each has, and through which nodes its tries come.

use std::sync::Arc;

/// Units a second of the least plan; each further plan has so many times more.
const LEAST: (f64, f64) = (0.8, 4.0);
/// What a plan allows at once, in seconds of its rate, and the least of that.
const AT_ONCE: (f64, f64) = (4.0, 4.0);
/// Plans at the most: the largest has 0.8 x 4^8 = 52,429 units a second.
const PLANS: usize = 9;
/// A usual tenant uses this share of its quota at the most; each fifth one gets the plan below that.
const USUAL: f64 = 0.7;
/// Share of one node's tries that a tenant's demand may be, or its set is larger than the least.
const OF_A_NODE: f64 = 0.25;

/// All tenants of a fleet. Their order is that of their demand, the largest first.
#[derive(Clone, Debug)]
pub struct Tenants {
    nodes: u32,
    /// Tries a second of one node.
    tries: f64,
    /// Nodes in a set at the least; 0 for all.
    spread: u32,
    /// Share of all tries of the tenants up to each place.
    cumulative: Arc<Vec<f64>>,
}

/// A tenant as tries tell of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Its id.
    pub id: u64,
    /// Place of its plan in [`plans`].
    pub plan: usize,
    /// First node of its set.
    pub first: u32,
    /// Nodes in its set.
    pub spread: u32,
}

/// Units a second, and at once, of each plan.
pub fn plans() -> Vec<(f64, f64)> {
    let rate = |place: usize| LEAST.0 * LEAST.1.powi(place as i32);
    (0..PLANS)
        .map(|place| (rate(place), (rate(place) * AT_ONCE.0).max(AT_ONCE.1)))
        .collect()
}

/// Mixes a number (splitmix64's finisher): neighbours have nothing in common.
fn mix(number: u64) -> u64 {
    let mut mixed = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

impl Tenants {
    /// So many, one at the least, whose demands follow Zipf's law with this exponent.
    pub fn new(many: usize, skew: f64, (nodes, tries): (u32, f64), spread: u32) -> Tenants {
        let mut sum = 0.0;
        let weight = |place: usize| (place as f64 + 1.0).powf(-skew);
        let mut cumulative: Vec<f64> = (0..many.max(1))
            .map(|place| {
                sum += weight(place);
                sum
            })
            .collect();
        cumulative.iter_mut().for_each(|share| *share /= sum);
        Tenants {
            nodes: nodes.max(1),
            tries,
            spread,
            cumulative: Arc::new(cumulative),
        }
    }

    /// How many there are.
    pub fn many(&self) -> usize {
        self.cumulative.len()
    }

    fn share(&self, place: usize) -> f64 {
        let before = place
            .checked_sub(1)
            .map_or(0.0, |before| self.cumulative[before]);
        self.cumulative[place] - before
    }

    /// Tries a second of one of them, through all nodes.
    pub fn demand(&self, place: usize) -> f64 {
        self.share(place) * f64::from(self.nodes) * self.tries
    }

    /// One of them.
    pub fn tenant(&self, place: usize) -> Tenant {
        let demand = self.demand(place);
        let id = 1 + (mix(place as u64) >> 31);
        let wanted = plans()
            .iter()
            .position(|(rate, _)| *rate * USUAL >= demand)
            .unwrap_or(PLANS - 1);
        let plan = if place % 5 == 4 {
            wanted.saturating_sub(1)
        } else {
            wanted
        };
        let needed = (demand / (OF_A_NODE * self.tries.max(f64::EPSILON))).ceil() as u32;
        let spread = if self.spread == 0 {
            self.nodes
        } else {
            self.spread.max(needed).min(self.nodes)
        };
        let first = if spread == self.nodes {
            0
        } else {
            (mix(id) % u64::from(self.nodes)) as u32
        };
        Tenant {
            id,
            plan,
            first,
            spread,
        }
    }

    /// Those whose tries come through a node, to draw from.
    pub fn at(&self, node: u32) -> Drawn {
        if self.spread == 0 || self.spread >= self.nodes {
            return Drawn {
                places: None,
                cumulative: Arc::clone(&self.cumulative),
            };
        }
        let (mut places, mut cumulative, mut sum) = (Vec::new(), Vec::new(), 0.0);
        for place in 0..self.many() {
            let Tenant { first, spread, .. } = self.tenant(place);
            if (node + self.nodes - first) % self.nodes < spread {
                sum += self.share(place) / f64::from(spread);
                places.push(place as u32);
                cumulative.push(sum);
            }
        }
        if places.is_empty() {
            return Drawn {
                places: Some(vec![0]),
                cumulative: Arc::new(vec![1.0]),
            };
        }
        cumulative.iter_mut().for_each(|share| *share /= sum);
        Drawn {
            places: Some(places),
            cumulative: Arc::new(cumulative),
        }
    }
}

/// The tenants of one node.
#[derive(Clone, Debug)]
pub struct Drawn {
    /// Their places; none where all tenants come through it.
    places: Option<Vec<u32>>,
    cumulative: Arc<Vec<f64>>,
}

impl Drawn {
    /// The place of a tenant, by a draw from 0 to 1.
    pub fn draw(&self, draw: f64) -> usize {
        let place = self
            .cumulative
            .partition_point(|share| *share < draw)
            .min(self.cumulative.len() - 1);
        self.places
            .as_ref()
            .map_or(place, |places| places[place] as usize)
    }

    /// How many there are.
    pub fn many(&self) -> usize {
        self.cumulative.len()
    }
}
