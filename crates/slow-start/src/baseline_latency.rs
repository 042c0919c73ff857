//! What a request of each class takes on a warm server without a queue, as far as this node has seen.
//!
//! Inputs are the latencies of answers in µs, each scaled by the capacity that the server had; the estimate follows quicker
//! samples fast and slower ones slowly, so that queueing hardly moves it.

use crate::attempt::AttemptResult;
use serde::{Deserialize, Serialize};

/// Weight of a sample that is quicker than the estimate.
const QUICKER_SAMPLE_WEIGHT: f64 = 0.2;
/// Weight of a sample that is slower than the estimate.
const SLOWER_SAMPLE_WEIGHT: f64 = 0.02;
/// Least capacity fraction by which an estimate is divided.
const MIN_CAPACITY_FRACTION: f64 = 0.01;

/// Estimates of unqueued latency on a warm server, by request class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BaselineLatency {
    /// Estimates in µs; 0 for a class without a sample.
    #[serde(rename = "least")]
    by_class: Vec<f64>,
}

impl BaselineLatency {
    /// Takes in a sample. Returns what the request should take, unqueued, on a server of the same capacity, in µs.
    pub(crate) fn update(&mut self, class: usize, result: &AttemptResult) -> f64 {
        if self.by_class.len() <= class {
            self.by_class.resize(class + 1, 0.0);
        }
        let sample = result.latency as f64 * result.capacity_fraction;
        let estimate = &mut self.by_class[class];
        let weight = if sample < *estimate {
            QUICKER_SAMPLE_WEIGHT
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
