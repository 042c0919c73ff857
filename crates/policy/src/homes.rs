//! Who keeps a customer's quota in a wide fleet: in how many parts, by which gateways, and who is asked in which order.
//!
//! Danger that it guards against: a small quota in several parts, of which each may be short while half of the whole is
//! left. So there are as few parts as one gateway's intake of messages allows, and each has who stands by while its home
//! is silent.

use crate::fuzzy::mix;
use crate::interface::{CustomerId, HardLimit, NodeId, Plan};
use saffronpaddle_quota::{ShardLimits, GRANT_LIFETIME};

/// Units a second that one home of a customer looks after: its intake bounds it.
const RATE: f64 = 8.0;
/// Units of a ceiling's depth that a part must hold at the least: a few tries.
const CEILING: f64 = 8.0;
/// Share of a part of a ceiling, and of a store where keepers are fenced, that its home holds, beside those that stand by.
const HOME_PART: f64 = 0.75;
/// Gateways that keep each part: its home, and who stands by. Danger of more: each that is asked grants at the full rate.
const KEEPERS: u32 = 2;

/// The parts of a customer's quota, and how many gateways keep one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Homes {
    /// Parts; the keepers of the same number are their homes.
    pub parts: u32,
    /// Keepers in all. Number n keeps part n modulo the parts.
    pub keepers: u32,
}

impl Homes {
    /// Those of a plan's customer with a set of so many gateways, of which there is one at the least.
    pub fn of(plan: &Plan, spread: u32) -> Self {
        let most = plan
            .hard_limit
            .map_or(spread, |ceiling| (ceiling.capacity / CEILING) as u32);
        let parts = ((plan.rate / RATE).ceil() as u32)
            .min(most)
            .clamp(1, spread);
        Homes {
            parts,
            keepers: (parts * KEEPERS).min(spread),
        }
    }

    /// The terms of the part that a number keeps: keepers of one part share its store's, unless they are `fenced`, and never its
    /// ceiling's. Of a ceiling it
    /// keeps back what comes in while its grants are under way: they are void after that.
    pub fn terms(self, plan: &Plan, number: u32, most_units: f64, fenced: bool) -> ShardLimits {
        let parts = f64::from(self.parts);
        // Who stands by holds a part of its own, so that no word is needed; the home, which is asked nearly always, the most.
        let beside = f64::from(self.keepers - self.parts) / parts;
        let own = if beside > 0.0 { HOME_PART } else { 1.0 };
        let part = if number < self.parts {
            own
        } else {
            (1.0 - own) / beside
        } / parts;
        let places = |most: u32| (most + self.parts - 1 - number % self.parts) / self.parts;
        let ceiling = |ceiling: HardLimit| {
            let late = ceiling.rate * GRANT_LIFETIME as f64 / 1e6;
            saffronpaddle_quota::HardLimit {
                rate: ceiling.rate * part,
                capacity: (ceiling.capacity - late) * part,
            }
        };
        let of_store = if fenced { part } else { 1.0 / parts };
        ShardLimits {
            rate: plan.rate * of_store,
            capacity: (plan.burst * of_store).max(most_units),
            max_in_flight: plan.max_in_flight.map(places),
            hard_limit: plan.hard_limit.map(ceiling),
        }
    }

    /// The gateway that is a keeper by its number: found by hash in the customer's set, `spread` from `first`.
    pub fn keeper(
        self,
        of: CustomerId,
        (first, spread): (NodeId, u32),
        number: u32,
        gateways: u32,
    ) -> NodeId {
        let mixed = (mix(of.0) >> 33) as u32;
        let step = (mixed % spread + number * (spread / self.keepers)) % spread;
        NodeId((first.0 % gateways + step) % gateways)
    }

    /// All keepers from a part on: its home, who stands by, then those of the next part.
    pub fn in_turn(self, start: u32) -> impl Iterator<Item = u32> {
        let Homes { parts, keepers } = self;
        (0..parts).flat_map(move |part| ((start + part) % parts..keepers).step_by(parts as usize))
    }
}

#[cfg(test)]
mod tests;
