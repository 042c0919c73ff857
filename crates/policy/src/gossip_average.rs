//! A mean over the whole fleet, of which each node sees few samples: sums and counts that decay with time and are
//! averaged with those of whichever peer sends a message.
//!
//! Averaging leaves the ratio of the sums over all nodes as it is in expectation (push-sum: Kempe, Dobra and Gehrke,
//! "Gossip-based computation of aggregate information", 2003) and brings each node near it after some five messages.
//! Sum and count decay alike, so their ratio is the mean of the samples of the last few seconds at 3 nodes as at 1,000.
//! A mean that each node moves by a share per sample of its own would, where a node sees few samples, still report what was
//! seen long ago; and it would do so for longer the fewer requests are admitted.

use serde::{Deserialize, Serialize};

/// Time constant of latency samples, seconds.
pub const LATENCY_DECAY_S: f64 = 2.0;
/// Time constant of the count of attempts in flight, seconds.
pub const IN_FLIGHT_DECAY_S: f64 = 1.0;
/// Time constant of a server's fault rate, seconds.
pub const FAULT_DECAY_S: f64 = 4.0;
/// Weight of the fleet's usual rate in an estimate, in attempts of the whole fleet.
const PRIOR_WEIGHT: f64 = 3.0;
/// Share of the way that a node moves towards the average of whoever sends it one.
const MIX_SHARE: f64 = 0.2;
/// Count of samples below which nothing is known.
const MIN_COUNT: f64 = 0.01;
/// Counts travel in a byte as their square roots, in parts of 1/60, so that small ones keep two digits.
const ROOT_STEPS: f64 = 60.0;

/// Samples of this node and of those that sent it messages, decayed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct GossipAverage {
    sum: f64,
    count: f64,
}

impl GossipAverage {
    /// The average of `count` samples with this mean.
    pub fn of(mean: f64, count: f64) -> Self {
        GossipAverage {
            sum: mean * count,
            count,
        }
    }

    /// Lets time pass, in multiples of the time constant.
    pub fn decay(&mut self, time_constants: f64) {
        let left = (-time_constants).exp();
        self.sum *= left;
        self.count *= left;
    }

    /// Adds samples of this node: their sum and their number.
    pub fn add(&mut self, sum: f64, count: f64) {
        self.sum += sum;
        self.count += count;
    }

    /// Averages with what a peer sent.
    pub fn mix(&mut self, other: GossipAverage) {
        self.sum += (other.sum - self.sum) * MIX_SHARE;
        self.count += (other.count - self.count) * MIX_SHARE;
    }

    /// The fleet's mean; `None` while too little was seen.
    pub fn mean(&self) -> Option<f64> {
        (self.count >= MIN_COUNT).then(|| self.sum / self.count)
    }

    /// The mean that the samples of `nodes` nodes make likely where `usual` is the prior: few samples say little. Without
    /// the prior, one node's bad luck would eject a server everywhere.
    pub fn estimate(&self, nodes: f64, usual: f64) -> f64 {
        (self.sum * nodes + usual * PRIOR_WEIGHT) / (self.count * nodes + PRIOR_WEIGHT)
    }

    /// The count as it travels in a message.
    pub fn encoded_count(&self) -> u8 {
        (self.count.max(0.0).sqrt() * ROOT_STEPS).round().min(255.0) as u8
    }

    /// What a message carried.
    pub fn decoded(mean: f64, encoded_count: u8) -> Self {
        GossipAverage::of(mean, (f64::from(encoded_count) / ROOT_STEPS).powi(2))
    }
}

#[cfg(test)]
mod tests;
