//! The concurrency limit of the lowest class: a self-tuning fuzzy controller.
//!
//! The rule, in one sentence: once per controller period the limit moves against the error, which is how far the worst
//! normalized latency of the other classes is from its set point, by a step that grows with the error and its change.
//! The two rule bases (`change_rule`, `gain_rule`) are those of "`eQoS`: Provisioning of Client-Perceived End-to-End `QoS`
//! Guarantees in Web Servers": the first gives the direction, the second the gain (self-tuning).
//!
//! Inputs: normalized latency (multiple of the objective), attempts in flight. Result: a limit on attempts in flight of
//! the lowest class at this node, possibly below one, which is kept on average. No limit stands until an objective is
//! missed for the first time.

mod inference;

use crate::interface::{ClassId, Micros};
use inference::{infer, Level};
use serde::{Deserialize, Serialize};

/// Normalized latency at which the controller rests (the design's D).
const SET_POINT: f64 = 1.0;
/// Scale of the error: an error of 1 is large.
const ERROR_SCALE: f64 = 1.0;
/// Scale of the change of the error: a change of 0.5 is large.
const CHANGE_SCALE: f64 = 2.0;
/// Largest move in a period, as a share of what is in flight.
const OUTPUT_GAIN: f64 = 3.0 * 0.15;
/// Lowest limit over all nodes, attempts: enough of the class to show what its latency is.
const MIN_LIMIT: f64 = 6.0;
/// How far the limit may lead what is in flight, over all nodes, attempts.
const MAX_LEAD: f64 = 12.0;
/// Largest value of the change rule.
const LARGEST_CHANGE: f64 = 3.0;
/// Largest value of the gain rule.
const LARGEST_GAIN: f64 = 6.0;

/// The direction in which the other classes' share has to change, -3 to 3, for an error and its change on seven levels
/// from -3 to 3. The paper prints one entry, (PS, PM) = NL; the others follow its zones: reverse what gets worse, go easy
/// on what corrects itself.
fn change_rule(error: Level, change: Level) -> Level {
    -(error + change).clamp(-3, 3)
}

/// The gain, 0 to 6, by the paper's five zones: large where a large error grows or a disturbance begins, small where it
/// corrects itself, zero at rest.
fn gain_rule(error: Level, change: Level) -> Level {
    let (error_size, change_size) = (error.abs(), change.abs());
    match error * change {
        0 => (2 * (error_size + change_size)).min(6),
        1.. => (error_size + change_size + 2).min(6),
        _ => (1 + 2 * (change_size - error_size)).clamp(1, 6),
    }
}

/// What the rules infer of an error and its change.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inference {
    /// The change that is asked for, -1 to 1.
    pub change: f64,
    /// The gain, 0 to 1.
    pub gain: f64,
}

/// Applies both rule bases to an error and its change, each scaled to -1 to 1.
pub fn infer_step(error: f64, change: f64) -> Inference {
    Inference {
        change: infer(change_rule, error, change, LARGEST_CHANGE),
        gain: infer(gain_rule, error, change, LARGEST_GAIN),
    }
}

/// Latency samples of one class, as multiples of its objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub(crate) struct LatencySamples {
    pub sum: f64,
    pub count: f64,
}

impl From<(f64, f64)> for LatencySamples {
    fn from((sum, count): (f64, f64)) -> Self {
        LatencySamples { sum, count }
    }
}

impl From<LatencySamples> for (f64, f64) {
    fn from(samples: LatencySamples) -> Self {
        (samples.sum, samples.count)
    }
}

impl LatencySamples {
    /// Adds one sample.
    pub fn add(&mut self, normalized_latency: f64) {
        self.sum += normalized_latency;
        self.count += 1.0;
    }

    /// Whether a request of this age, as a multiple of its objective, is later than the mean of the samples.
    pub fn is_exceeded_by(&self, age: f64) -> bool {
        self.count > 0.0 && age > self.sum / self.count
    }
}

/// What a node has in flight, and its part of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    /// Attempts of the lowest class.
    pub lowest_class: f64,
    /// All attempts.
    pub total: f64,
    /// This node's part of the fleet: one by the number of nodes.
    pub part: f64,
}

/// The controller and its limit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct FuzzyConcurrencyLimit {
    /// `None` until an objective is missed.
    #[serde(rename = "cap")]
    limit: Option<f64>,
    #[serde(rename = "error")]
    last_error: Option<f64>,
    #[serde(rename = "peak")]
    peak_in_flight: f64,
    /// Attempts that a limit below one still lets go, saved up since when.
    #[serde(rename = "paced")]
    saved_attempts: f64,
    #[serde(rename = "paced_at")]
    saved_at: Micros,
    /// By class: latencies since the last controller period.
    #[serde(rename = "seen")]
    samples: Vec<LatencySamples>,
}

impl FuzzyConcurrencyLimit {
    /// A controller of so many classes, without a limit.
    pub fn new(classes: usize) -> Self {
        FuzzyConcurrencyLimit {
            samples: vec![LatencySamples::default(); classes],
            ..FuzzyConcurrencyLimit::default()
        }
    }

    /// Takes over what another process had, for so many classes; `None` where those differ.
    pub fn restored(self, classes: usize) -> Option<Self> {
        if self.samples.len() != classes {
            return None;
        }
        Some(FuzzyConcurrencyLimit {
            samples: vec![LatencySamples::default(); classes],
            ..self
        })
    }

    /// The limit, attempts in flight at this node.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Adds a latency as a multiple of its class's objective.
    pub fn record(&mut self, class: ClassId, normalized_latency: f64) {
        self.samples[class.0].add(normalized_latency);
    }

    /// The samples since the last call.
    pub fn take_samples(&mut self) -> Vec<LatencySamples> {
        let none = vec![LatencySamples::default(); self.samples.len()];
        std::mem::replace(&mut self.samples, none)
    }

    /// Whether one more attempt of the lowest class may go. A limit below one is kept on average.
    pub fn allows(&mut self, in_flight: f64, now: Micros, mean_latency: f64) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let latencies = now.saturating_sub(self.saved_at) as f64 / mean_latency.max(1.0);
        self.saved_attempts = (self.saved_attempts.max(0.0) + limit * latencies).min(1.0);
        self.saved_at = now;
        let saved_one = limit < 1.0 && in_flight < 1.0 && self.saved_attempts >= 1.0;
        in_flight + 1.0 <= limit || saved_one
    }

    /// An attempt of the lowest class goes.
    pub fn spend(&mut self) {
        self.saved_attempts -= 1.0;
    }

    /// Ends a controller period without a known latency.
    pub fn observe_in_flight(&mut self, lowest_class: f64) {
        self.peak_in_flight = self.peak_in_flight.max(lowest_class);
    }

    /// Begins the next controller period.
    pub fn begin_period(&mut self, lowest_class: f64) {
        self.peak_in_flight = lowest_class;
    }

    /// Moves the limit by the worst normalized latency.
    pub fn step(&mut self, worst_latency: f64, in_flight: InFlight) {
        let InFlight {
            lowest_class,
            total,
            part,
        } = in_flight;
        let error = SET_POINT - worst_latency;
        let change = error - self.last_error.unwrap_or(error);
        self.last_error = Some(error);
        let Some(limit) = self.limit else {
            let missed = worst_latency > SET_POINT;
            self.limit = missed.then_some(lowest_class.max(MIN_LIMIT * part));
            return;
        };
        let inferred = infer_step(error * ERROR_SCALE, change * CHANGE_SCALE);
        let step = inferred.gain * OUTPUT_GAIN * inferred.change;
        // Anti-windup: a limit far above what is in flight would take long to bind again.
        let floor = MIN_LIMIT * part;
        let lead = (MAX_LEAD * part).max(total / 2.0);
        let ceiling = (self.peak_in_flight.max(lowest_class) * 2.0 + lead).max(floor);
        self.limit = Some((limit - step * total.max(floor / 2.0)).clamp(floor, ceiling));
    }
}
