//! An exponentially weighted mean that is unbiased from its first sample on.
//!
//! A mean that starts at zero and moves by a small share per sample reports too little for as long as it remembers. At
//! the start of a fleet that would make servers look slow, shed requests they could serve, and give servers in slow
//! start too little. Here the first samples weigh alike, until there are so many that each has its final weight.

/// The mean of the samples so far, the latest weighing most.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    value: f64,
    samples: f64,
}

impl DecayingMean {
    /// A mean that another process computed: it moves like one of many samples.
    pub fn known(value: f64) -> Self {
        DecayingMean {
            value,
            samples: f64::INFINITY,
        }
    }

    /// Adds a sample of this weight (above 0, at most 1), or of an even part of all samples so far where that is more.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.mix(sample, weight.max(1.0 / self.samples));
    }

    /// Moves this part of the way towards a mean that somebody else computed.
    pub fn mix(&mut self, other: f64, part: f64) {
        self.value += (other - self.value) * part;
    }

    /// The mean; 0 before the first sample.
    pub fn value(&self) -> f64 {
        self.value
    }

    /// Whether there was a sample.
    pub fn is_known(&self) -> bool {
        self.samples > 0.0
    }
}

#[cfg(test)]
mod tests;
