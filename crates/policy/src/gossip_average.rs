//! A mean across the fleet for quantities of which each node has few samples. Each node keeps a sum and a count
//! that decay with time and are averaged with those of each peer that sends a message.
//!
//! In expectation averaging preserves the ratio of the sums over all nodes (push-sum: Kempe, Dobra and Gehrke,
//! "Gossip-based computation of aggregate information", 2003) and brings each node close to it after about five
//! messages. Sum and count decay at the same rate, so their ratio is the mean of the samples of the last few seconds,
//! with 3 nodes as with 1,000. An exponentially weighted mean per sample would be outdated on a node with few samples,
//! and the more so the fewer requests are admitted.

use serde::{Deserialize, Serialize};

/// Time constant of latency samples, seconds.
pub const LATENCY_DECAY_S: f64 = 2.0;
/// Time constant of the count of attempts in flight, seconds.
pub const IN_FLIGHT_DECAY_S: f64 = 1.0;
/// Time constant of a server's fault rate, seconds.
pub const FAULT_DECAY_S: f64 = 4.0;
/// Weight of the prior in an estimate, in attempts of the entire fleet.
const PRIOR_WEIGHT: f64 = 3.0;
/// Weight of a received average when it is mixed into the node's own.
const MIX_SHARE: f64 = 0.2;
/// Number of samples below which the mean is unknown.
const MIN_COUNT: f64 = 0.01;
/// Steps per unit of the square root of a count, which is how a count is encoded in one byte. The root keeps about two
/// digits of small counts.
const ROOT_STEPS: f64 = 60.0;

/// Decayed sum and number of the samples of this node and of the nodes that sent it messages.
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

    /// Decays the samples by a number of time constants.
    pub fn decay(&mut self, time_constants: f64) {
        self.discount((-time_constants).exp());
    }

    /// Leaves a share of their weight to the samples so far.
    pub fn discount(&mut self, share: f64) {
        self.sum *= share;
        self.count *= share;
    }

    /// Adds `count` samples of this node with the given sum.
    pub fn add(&mut self, sum: f64, count: f64) {
        self.sum += sum;
        self.count += count;
    }

    /// Moves this average towards one that a peer sent.
    pub fn mix(&mut self, other: GossipAverage) {
        self.sum += (other.sum - self.sum) * MIX_SHARE;
        self.count += (other.count - self.count) * MIX_SHARE;
    }

    /// The fleet's mean; `None` while there are too few samples.
    pub fn mean(&self) -> Option<f64> {
        (self.count >= MIN_COUNT).then(|| self.sum / self.count)
    }

    /// Estimates the mean from the samples of `nodes` nodes and from a prior mean. Without the prior, a few chance
    /// failures at one node would eject a server at every node.
    pub fn estimate(&self, nodes: f64, prior: f64) -> f64 {
        (self.sum * nodes + prior * PRIOR_WEIGHT) / (self.count * nodes + PRIOR_WEIGHT)
    }

    /// The count as it is encoded in a message.
    pub fn encoded_count(&self) -> u8 {
        (self.count.max(0.0).sqrt() * ROOT_STEPS).round().min(255.0) as u8
    }

    /// Decodes an average from the mean and the encoded count in a message.
    pub fn decoded(mean: f64, encoded_count: u8) -> Self {
        GossipAverage::of(mean, (f64::from(encoded_count) / ROOT_STEPS).powi(2))
    }
}

#[cfg(test)]
mod tests;
