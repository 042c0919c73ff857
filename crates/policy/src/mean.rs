//! A mean that forgets, and begins with what it sees first.
//!
//! Danger that it guards against: a mean that starts at nought and moves by a small share for each sample. For as long as it
//! remembers it tells a part of what is: a fleet that has just come up takes its servers for slow, refuses what they could
//! serve, and sends those that warm up a part of what they bear.

/// Samples weigh alike until so many are in that each weighs what it always will.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    value: f64,
    samples: f64,
}

impl Mean {
    /// One that another process came to: it moves as one of many samples.
    pub fn known(value: f64) -> Self {
        Mean {
            value,
            samples: f64::INFINITY,
        }
    }

    /// Takes in a sample of this weight (above 0, at most 1), or of an even part of all samples so far where that is more.
    pub fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.mix(sample, weight.max(1.0 / self.samples));
    }

    /// Goes this part of the way towards a mean that somebody else came to.
    pub fn mix(&mut self, other: f64, part: f64) {
        self.value += (other - self.value) * part;
    }

    /// The mean; 0 before the first sample.
    pub fn now(&self) -> f64 {
        self.value
    }

    /// Whether anything was seen.
    pub fn is_known(&self) -> bool {
        self.samples > 0.0
    }
}

#[cfg(test)]
mod tests;
