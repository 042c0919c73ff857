//! A mean over a whole fleet of which each gateway sees few samples: sums and counts that fade with time and are mixed
//! with those of whoever speaks.
//!
//! Danger that it guards against: a mean that each gateway moves by a share for each sample of its own. With traffic
//! spread thin most ticks bring none, and what peers say is the same old mean again, so the fleet's mean holds on to what
//! was seen many seconds ago, the longer the less is let in. Here a sample weighs what it is worth however few there are:
//! sum and count fade alike, so their ratio is the mean of the samples of the last few seconds, at 3 gateways as at
//! 1,000, and nothing is known again once nothing was seen for some time.
//!
//! Mixing leaves the ratio of the sums over all gateways as it is on average (push-sum, Kempe, Dobra and Gehrke, "Gossip-based
//! computation of aggregate information", 2003), and brings each gateway near it after some five words.

use serde::{Deserialize, Serialize};

/// s in which a sample loses all but 1/e of its weight: of latencies.
pub const LATENCY_FADES_IN: f64 = 2.0;
/// The same of how many attempts are out.
pub const OUT_FADES_IN: f64 = 1.0;
/// The same of what tells a bad server.
pub const EVIDENCE_FADES_IN: f64 = 4.0;
/// Attempts of the whole fleet that what is usual weighs in a judgement.
const USUAL_WEIGHT: f64 = 3.0;
/// How far a gateway goes towards the pool of who speaks.
const MIXED: f64 = 0.2;
/// Samples under which nothing is known.
const LEAST: f64 = 0.01;
/// How weights travel in a byte: as their roots, in parts of 1/60, so that small ones keep two digits.
const ROOT_PART: f64 = 60.0;

/// Samples of a gateway and of those that spoke to it, faded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pooled {
    sum: f64,
    count: f64,
}

impl Pooled {
    /// The mean of so many samples.
    pub fn of(mean: f64, count: f64) -> Self {
        Pooled {
            sum: mean * count,
            count,
        }
    }

    /// Lets a span go by, in times of what its samples fade in.
    pub fn fade(&mut self, span: f64) {
        let left = (-span).exp();
        (self.sum, self.count) = (self.sum * left, self.count * left);
    }

    /// Takes samples of this gateway in: their sum, and how many.
    pub fn add(&mut self, (sum, count): (f64, f64)) {
        (self.sum, self.count) = (self.sum + sum, self.count + count);
    }

    /// Takes in the pool of who speaks.
    pub fn mix(&mut self, other: Pooled) {
        self.sum += (other.sum - self.sum) * MIXED;
        self.count += (other.count - self.count) * MIXED;
    }

    /// The fleet's mean; `None` while too little was seen.
    pub fn mean(&self) -> Option<f64> {
        (self.count >= LEAST).then(|| self.sum / self.count)
    }

    /// The mean that the samples of all gateways make likely, where so much is usual: few samples tell little. Danger:
    /// one gateway's bad luck that shuts a server out everywhere, and a hundred that each have to learn for themselves.
    pub fn likely(&self, gateways: f64, usual: f64) -> f64 {
        (self.sum * gateways + usual * USUAL_WEIGHT) / (self.count * gateways + USUAL_WEIGHT)
    }

    /// The weight as it travels.
    pub fn weight(&self) -> u8 {
        (self.count.max(0.0).sqrt() * ROOT_PART).round().min(255.0) as u8
    }

    /// What came with a mean and such a weight.
    pub fn told(mean: f64, weight: u8) -> Self {
        Pooled::of(mean, (f64::from(weight) / ROOT_PART).powi(2))
    }
}

#[cfg(test)]
mod tests;
