//! An exponentially weighted mean without a bias towards its initial value.
//!
//! A mean that starts at zero and is updated with a small weight stays too low for all of its memory. At the start of a
//! fleet the throughput of servers would be underestimated: requests that they could serve would be shed, and servers
//! in slow start would be sent too few. Here the first samples have equal weights, until the weight of a sample reaches
//! its final value.

/// Exponentially weighted mean of samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    value: f64,
    samples: f64,
}

impl DecayingMean {
    /// Restores a mean that another process computed. New samples have their final weight from the start.
    pub fn known(value: f64) -> Self {
        DecayingMean {
            value,
            samples: f64::INFINITY,
        }
    }

    /// Adds a sample with this weight (above 0, at most 1), or with one divided by the number of samples if that is
    /// greater.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.mix(sample, weight.max(1.0 / self.samples));
    }

    /// Moves the mean towards `other` by the share `weight` of the difference, without counting a sample.
    pub fn mix(&mut self, other: f64, weight: f64) {
        self.value += (other - self.value) * weight;
    }

    /// Current mean; 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Returns whether the mean has at least one sample or was restored.
    pub fn is_known(&self) -> bool {
        self.samples > 0.0
    }
}

#[cfg(test)]
mod tests;
