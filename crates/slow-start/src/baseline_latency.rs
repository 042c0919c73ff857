//! This node's estimates of the latency of each request class on a warm server without queueing.
//!
//! Each sample is the latency of a response in µs, scaled by the server's capacity fraction. The estimate follows
//! faster samples quickly and slower ones slowly, so that queueing hardly affects it.

use crate::attempt::AttemptResult;
use serde::{Deserialize, Serialize};

/// Weight of a sample below the estimate.
const FASTER_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample above the estimate.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.02;
/// Minimum capacity fraction by which an estimate is divided.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// Estimated latency without queueing on a warm server, by request class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BaselineLatency {
    /// Estimates in µs; 0 for a class without a sample.
    #[serde(rename = "least")]
    by_class: Vec<f64>,
}

impl BaselineLatency {
    /// Adds a sample. Returns the expected latency without queueing on a server of the same capacity, µs.
    pub(crate) fn update(&mut self, class: usize, result: &AttemptResult) -> f64 {
        if self.by_class.len() <= class {
            self.by_class.resize(class + 1, 0.0);
        }
        let sample = result.latency as f64 * result.capacity_fraction;
        let estimate = &mut self.by_class[class];
        let weight = if sample < *estimate {
            FASTER_SAMPLE_WEIGHT
        } else {
            SLOWER_SAMPLE_WEIGHT
        };
        *estimate = if *estimate > 0.0 {
            *estimate + (sample - *estimate) * weight
        } else {
            sample
        };
        *estimate / result.capacity_fraction.max(MIN_CAPACITY_FRACTION)
    }
}
