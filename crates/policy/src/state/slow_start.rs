//! State of slow start.

use crate::decaying_mean::DecayingMean;
use crate::interface::Micros;
use saffronpaddle_slow_start::{BaselineLatency, IDLE_BEFORE_TRANSFER};

/// The state of slow start at this node.
#[derive(Clone, Debug)]
pub(crate) struct SlowStartState {
    /// Whether the throughput of a warm server is unknown: too few servers are warm, and none has shown it before.
    pub lacks_throughput_baseline: bool,
    /// Responses per second of one warm server to this node, as of the last time at which half of the servers were
    /// warm.
    pub responses_per_server: f64,
    /// Latency of requests on a server without a queue.
    pub baseline: BaselineLatency,
    /// Attempts to servers in slow start since the last controller period began.
    pub attempts: f64,
    /// Mean rate of attempts to servers in slow start, per second.
    pub attempts_per_s: f64,
    /// Mean number of warm servers, over the same time as the response rate.
    pub mean_warm_servers: DecayingMean,
    /// When to check for unused permits; [`Micros::MAX`] while there are none.
    pub transfer_check_at: Micros,
    pub next_transfer_at: Micros,
}

impl SlowStartState {
    /// Creates the state of a node that has not observed any server yet.
    pub fn new(now: Micros) -> Self {
        SlowStartState {
            lacks_throughput_baseline: false,
            responses_per_server: 0.0,
            baseline: BaselineLatency::default(),
            attempts: 0.0,
            attempts_per_s: 0.0,
            mean_warm_servers: DecayingMean::default(),
            transfer_check_at: Micros::MAX,
            next_transfer_at: now,
        }
    }

    /// Schedules a check for unused permits for the earliest time at which there may be one.
    pub fn schedule_transfer_check(&mut self, now: Micros) {
        let at = now.saturating_add(IDLE_BEFORE_TRANSFER);
        self.transfer_check_at = self.transfer_check_at.min(at);
    }
}
