//! The concurrency limit of the lowest class: a self-tuning fuzzy controller.
//!
//! Rule: once per controller period the limit is changed in the direction that reduces the error, the difference
//! between the set point and the worst normalized latency of the other classes. The step grows with the error and its
//! change. The two rule bases (`change_rule`, `gain_rule`) are those of "`eQoS`: Provisioning of Client-Perceived
//! End-to-End `QoS` Guarantees in Web Servers": the first gives the direction, the second the gain (self-tuning).
//!
//! Inputs: normalized latency (multiple of the objective), attempts in flight. Result: a limit on attempts in flight of
//! the lowest class at this node. A limit below one is enforced on average. There is no limit until an objective is
//! missed, and it ends after some periods in which the back end has room for more than it allows.

mod inference;

use crate::interface::{ClassId, Micros};
use inference::{infer, Level};
use serde::{Deserialize, Serialize};

/// Normalized latency that the controller regulates to (D in the controller's design).
const SET_POINT: f64 = 1.0;
/// Input scale of the error: an error of 1 is at the outermost fuzzy level.
const ERROR_SCALE: f64 = 1.0;
/// Input scale of the change of the error: a change of 0.5 is at the outermost fuzzy level.
const CHANGE_SCALE: f64 = 2.0;
/// Maximum change of the limit in one period, as a share of the attempts in flight.
const OUTPUT_GAIN: f64 = 3.0 * 0.15;
/// Minimum limit over all nodes, attempts: enough to keep measuring the latency of the class.
const MIN_LIMIT: f64 = 6.0;
/// The limit's upper bound exceeds twice the peak number in flight by at least this many attempts, over all nodes.
const MIN_HEADROOM: f64 = 12.0;
/// Normalized latency below which the back end has room for more than the limit allows.
const ROOM_LATENCY: f64 = 0.5;
/// Number of controller periods in a row with room, and with a limit of twice what is in flight, after which it ends.
const RELEASE_PERIODS: u32 = 4;
/// Maximum output of [`change_rule`].
const LARGEST_CHANGE: f64 = 3.0;
/// Maximum output of [`gain_rule`].
const LARGEST_GAIN: f64 = 6.0;

/// Returns the direction in which the other classes' share has to change, -3 to 3, for an error and its change on seven
/// levels from -3 to 3. The paper prints one entry, (PS, PM) = NL; the other entries follow its zones: a growing error
/// is counteracted strongly, an error that already decreases weakly.
fn change_rule(error: Level, change: Level) -> Level {
    -(error + change).clamp(-3, 3)
}

/// Returns the gain, 0 to 6, by the paper's five zones: large if a large error grows or a disturbance begins, small if
/// the error already decreases, zero at the set point.
fn gain_rule(error: Level, change: Level) -> Level {
    let (error_size, change_size) = (error.abs(), change.abs());
    match error * change {
        0 => (2 * (error_size + change_size)).min(6),
        1.. => (error_size + change_size + 2).min(6),
        _ => (1 + 2 * (change_size - error_size)).clamp(1, 6),
    }
}

/// Output of the two rule bases.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Inference {
    /// Direction and size of the change, -1 to 1.
    pub change: f64,
    /// Gain by which the change is multiplied, 0 to 1.
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
    /// Adds one latency, as a multiple of the objective.
    pub fn add(&mut self, normalized_latency: f64) {
        self.sum += normalized_latency;
        self.count += 1.0;
    }

    /// Returns whether the age of a request, as a multiple of its objective, exceeds the mean of the samples; `false`
    /// without samples.
    pub fn is_exceeded_by(&self, age: f64) -> bool {
        self.count > 0.0 && age > self.sum / self.count
    }
}

/// Attempts in flight at this node, and the node's share of the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    /// Attempts of the lowest class.
    pub lowest_class: f64,
    /// All attempts.
    pub total: f64,
    /// One divided by the number of nodes.
    pub node_share: f64,
}

/// The fuzzy controller and the limit that it sets.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct FuzzyConcurrencyLimit {
    /// `None` until an objective is missed, and again once the back end has had room for some periods.
    #[serde(rename = "cap")]
    limit: Option<f64>,
    #[serde(rename = "error")]
    last_error: Option<f64>,
    #[serde(rename = "peak")]
    peak_in_flight: f64,
    /// Credit for attempts under a limit below one, at most one attempt. Within one mean latency it grows by the limit.
    #[serde(rename = "paced")]
    attempt_credit: f64,
    #[serde(rename = "paced_at")]
    credit_updated_at: Micros,
    /// Controller periods in a row in which the back end had room and the limit was twice what is in flight.
    #[serde(skip)]
    periods_with_room: u32,
    /// Latency samples by class since the last controller period.
    #[serde(rename = "seen")]
    samples: Vec<LatencySamples>,
}

impl FuzzyConcurrencyLimit {
    /// Creates a controller without a limit for this number of classes.
    pub fn new(classes: usize) -> Self {
        FuzzyConcurrencyLimit {
            samples: vec![LatencySamples::default(); classes],
            ..FuzzyConcurrencyLimit::default()
        }
    }

    /// Restores the controller of another process of this node, without its samples. Returns `None` if the number of
    /// classes differs.
    pub fn restored(self, classes: usize) -> Option<Self> {
        if self.samples.len() != classes {
            return None;
        }
        Some(FuzzyConcurrencyLimit {
            samples: vec![LatencySamples::default(); classes],
            ..self
        })
    }

    /// Current limit on attempts in flight at this node; `None` while there is none.
    pub fn limit(&self) -> Option<f64> {
        self.limit
    }

    /// Multiplies the limit, as the capacity of the listed servers has changed by this factor.
    pub fn scale(&mut self, factor: f64) {
        self.limit = self.limit.map(|limit| limit * factor);
    }

    /// Adds a latency sample, as a multiple of the class's objective.
    pub fn record(&mut self, class: ClassId, normalized_latency: f64) {
        self.samples[class.0].add(normalized_latency);
    }

    /// Returns the samples by class since the last call and resets them.
    pub fn take_samples(&mut self) -> Vec<LatencySamples> {
        let empty = vec![LatencySamples::default(); self.samples.len()];
        std::mem::replace(&mut self.samples, empty)
    }

    /// Returns whether one more attempt of the lowest class may start. A limit below one is enforced on average.
    pub fn allows(&mut self, in_flight: f64, now: Micros, mean_latency: f64) -> bool {
        let Some(limit) = self.limit else {
            return true;
        };
        let elapsed_latencies =
            now.saturating_sub(self.credit_updated_at) as f64 / mean_latency.max(1.0);
        self.attempt_credit = (self.attempt_credit.max(0.0) + limit * elapsed_latencies).min(1.0);
        self.credit_updated_at = now;
        let has_credit = limit < 1.0 && in_flight < 1.0 && self.attempt_credit >= 1.0;
        in_flight + 1.0 <= limit || has_credit
    }

    /// Debits the start of an attempt of the lowest class.
    pub fn spend(&mut self) {
        self.attempt_credit -= 1.0;
    }

    /// Updates the peak of attempts in flight of the lowest class since the start of the controller period.
    pub fn observe_in_flight(&mut self, lowest_class: f64) {
        self.peak_in_flight = self.peak_in_flight.max(lowest_class);
    }

    /// Starts the next controller period with the current attempts in flight as its peak.
    pub fn begin_period(&mut self, lowest_class: f64) {
        self.peak_in_flight = lowest_class;
    }

    /// Updates the limit by the worst normalized latency. The first latency above the set point creates the limit.
    pub fn step(&mut self, worst_latency: f64, in_flight: InFlight) {
        let InFlight {
            lowest_class,
            total,
            node_share,
        } = in_flight;
        let error = SET_POINT - worst_latency;
        let change = error - self.last_error.unwrap_or(error);
        self.last_error = Some(error);
        let Some(limit) = self.limit else {
            let missed = worst_latency > SET_POINT;
            self.limit = missed.then_some(lowest_class.max(MIN_LIMIT * node_share));
            return;
        };
        let inferred = infer_step(error * ERROR_SCALE, change * CHANGE_SCALE);
        let step = inferred.gain * OUTPUT_GAIN * inferred.change;
        // Anti-windup: a limit far above the attempts in flight would take many periods to become effective again.
        let floor = MIN_LIMIT * node_share;
        let headroom = (MIN_HEADROOM * node_share).max(total / 2.0);
        let twice_in_flight = self.peak_in_flight.max(lowest_class) * 2.0;
        let ceiling = (twice_in_flight + headroom).max(floor);
        let next = (limit - step * total.max(floor / 2.0)).clamp(floor, ceiling);
        let has_room = next >= twice_in_flight && worst_latency < ROOM_LATENCY;
        self.periods_with_room = if has_room {
            self.periods_with_room + 1
        } else {
            0
        };
        self.limit = (self.periods_with_room < RELEASE_PERIODS).then_some(next);
    }
}
