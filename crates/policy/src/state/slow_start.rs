//! What is known of servers that warm up.

use crate::decaying_mean::DecayingMean;
use crate::interface::Micros;
use saffronpaddle_slow_start::{BaselineLatency, IDLE_BEFORE_TRANSFER};

/// The state of slow start at this node.
#[derive(Clone, Debug)]
pub(crate) struct SlowStartState {
    /// Whether hardly any warm server shows what servers can do, nor has shown it.
    pub uninformed: bool,
    /// Responses per second of one warm server to this node, when half of the servers were warm for the last time.
    pub responses_per_server: f64,
    /// What requests take on a server that nobody waits for.
    pub baseline: BaselineLatency,
    /// Attempts to servers in slow start since the last period.
    pub attempts: f64,
    /// The same per second.
    pub attempts_per_s: f64,
    /// Warm servers, over the time in which responses are counted.
    pub mean_warm_servers: DecayingMean,
    /// When unused permits are looked for; the end of time while there are none.
    pub transfer_check_at: Micros,
    pub next_transfer_at: Micros,
}

impl SlowStartState {
    /// Nothing is known yet.
    pub fn new(now: Micros) -> Self {
        SlowStartState {
            uninformed: false,
            responses_per_server: 0.0,
            baseline: BaselineLatency::default(),
            attempts: 0.0,
            attempts_per_s: 0.0,
            mean_warm_servers: DecayingMean::default(),
            transfer_check_at: Micros::MAX,
            next_transfer_at: now,
        }
    }

    /// Looks for unused permits once there may be some.
    pub fn schedule_transfer_check(&mut self, now: Micros) {
        let at = now.saturating_add(IDLE_BEFORE_TRANSFER);
        self.transfer_check_at = self.transfer_check_at.min(at);
    }
}
