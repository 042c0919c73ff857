//! Backoff with jitter between the calls of a node.
//!
//! A discovery service may accept more calls than it can answer in time, and process all of them. Its queue then stays
//! so long that nearly every answer arrives after the caller's timeout, and the fleet gets no list. So a node's mean
//! pause grows with the size of the fleet, and each pause is randomized.
//!
//! Pauses are also bounded, because a node that does not call misses drains. The platform takes a change as received
//! 6 s after the service had it and was reachable, regardless of how earlier calls ended. So the starts of a node's
//! calls are at most [`MAX_CALL_INTERVAL`] apart for any fleet size; the rest of the 6 s is left for the answer.
//! Therefore a failing service receives up to a quarter as many calls per second as there are nodes. A call has a
//! timeout of up to 12 s while further calls run concurrently, so that a service with less capacity can work off its
//! queue. A service that closes calls itself before that, but still processes them, can stay overloaded; installations
//! with such a service set [`PollLimits`].

use crate::poll::limits::PollLimits;
use std::time::Duration;

/// Calls per second of all nodes together after a first failure.
const FIRST_CALLS_PER_S: f64 = 25.0;
/// Calls per second of all nodes together after repeated failures.
const LATER_CALLS_PER_S: f64 = 8.0;
/// Minimum mean of the first pause. A service that is sized for a small fleet takes some seconds to answer one call
/// from each node; more frequent calls only lengthen its queue. The platform takes a change as received 4 s after a
/// reload that moved the service: two calls start within 2 s of the reload, and the third usually early enough as well.
const MIN_FIRST_PAUSE: Duration = Duration::from_secs(1);
/// Minimum mean of the longest pause.
const MIN_LONGEST_PAUSE: Duration = Duration::from_millis(1500);
/// Maximum time between the starts of two calls. Of the 6 s after which the platform takes a change as received, it
/// leaves 1.5 s for the answer.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(4500);
/// Maximum mean pause: if all calls fail, each node makes one call per this time.
const MAX_MEAN_PAUSE: Duration = Duration::from_secs(4);
/// Minimum timeout of a call to a shared service.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// Timeout of a call, as a multiple of the longest mean pause: a node has this many calls open on average.
const ANSWER_TIMEOUT_PAUSES: u32 = 3;
/// Maximum `Retry-After` that is honoured; longer ones are shortened to it.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(2);
/// Maximum pause after an established watch has ended. The platform takes a change that a silent watch misses as
/// received 6 s after the watch's last message. Of these, 3 s pass before the watch is closed as silent, and the answer
/// to the next call takes time too. Longer pauses are only for a service that fails calls.
const MAX_PAUSE_AFTER_WATCH: Duration = Duration::from_secs(1);

/// Calls to an agent: at most eight are open at a time.
const AGENT_POLLS: HedgedPolls = HedgedPolls {
    every: Duration::from_millis(120),
    answer_within: Duration::from_millis(960),
};
/// Mean pause between the end of a watch at an agent and the next call.
const AGENT_PAUSE: Duration = Duration::from_millis(30);

/// Schedule of calls to an agent on the node's own machine, which are sent without waiting for earlier ones to be
/// answered.
///
/// When an unavailable agent has a list again, the platform takes it as sent, whether or not a watch is open. So the
/// next call must start well within the 250 ms that a drain allows. The timeout must nevertheless be long enough for a
/// slow agent to answer, so several calls are open at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgedPolls {
    /// Time between the starts of two calls.
    pub every: Duration,
    /// Timeout of a call.
    pub answer_within: Duration,
}

/// Computes the pauses between the calls of one node.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    hedged: Option<HedgedPolls>,
    /// The mean of the first pause.
    first: Duration,
    /// The mean of the longest pause.
    longest: Duration,
    /// The mean of the next pause.
    next: Duration,
    /// Maximum pause after an established watch has ended.
    after_watch_end: Duration,
    /// Maximum time between the starts of two calls; `None` for an agent and where the installation sets limits.
    max_call_interval: Option<Duration>,
}

impl PollBackoff {
    /// Creates the backoff for a fleet of `nodes` that share a service. A node's calls start at most 4.5 s apart.
    pub fn for_fleet(nodes: u32) -> Self {
        let pause_at = |calls_per_s: f64, longest| {
            Duration::from_secs_f64(f64::from(nodes) / calls_per_s).min(longest)
        };
        let first = pause_at(FIRST_CALLS_PER_S, MAX_CALL_INTERVAL / 2).max(MIN_FIRST_PAUSE);
        let longest = pause_at(LATER_CALLS_PER_S, MAX_MEAN_PAUSE)
            .max(MIN_LONGEST_PAUSE)
            .max(first);
        PollBackoff {
            hedged: None,
            first,
            longest,
            next: first,
            after_watch_end: (first * 2).min(MAX_PAUSE_AFTER_WATCH),
            max_call_interval: Some(MAX_CALL_INTERVAL),
        }
    }

    /// Creates the backoff for an agent on the node's own machine, which no other node calls.
    pub fn for_agent() -> Self {
        PollBackoff {
            hedged: Some(AGENT_POLLS),
            first: AGENT_PAUSE,
            longest: AGENT_PAUSE,
            next: AGENT_PAUSE,
            after_watch_end: AGENT_PAUSE * 2,
            max_call_interval: None,
        }
    }

    /// Creates the backoff for a fleet of `nodes` with limits set by the installation. If all calls fail at once, the
    /// fleet as a whole keeps to these limits from the first pause on.
    pub fn with_limits(nodes: u32, limits: &PollLimits) -> Self {
        let pause = Duration::from_secs_f64(f64::from(nodes) / limits.calls_per_s);
        let first = pause.max(MIN_FIRST_PAUSE);
        PollBackoff {
            hedged: None,
            first,
            longest: (first * 2).max(MIN_LONGEST_PAUSE),
            next: first,
            after_watch_end: first * 2,
            max_call_interval: None,
        }
    }

    /// Returns the schedule of concurrent calls to an agent; `None` for a shared service.
    pub fn hedged(&self) -> Option<HedgedPolls> {
        self.hedged
    }

    /// Returns how long after the start of a call the next one is sent if there is no answer by then. `None` if the
    /// installation sets limits: the next call then waits for this one to end. `draw` is a random number from 0 to 1.
    ///
    /// All nodes of a fleet may call at the same moment and get no answer. If the next call waited for the previous one
    /// to end, little of the call interval would be left for jitter, and the fleet would stay synchronized.
    pub fn hedge_delay(&mut self, draw: f64) -> Option<Duration> {
        match (self.hedged, self.max_call_interval) {
            (Some(hedged), _) => Some(hedged.every),
            (None, Some(_)) => Some(self.after_failure(draw)),
            (None, None) => None,
        }
    }

    /// Returns the timeout of a call that runs concurrently with others; `None` if the installation sets limits.
    ///
    /// A service also processes calls whose callers have timed out. With a shorter timeout, its queue would never
    /// shrink.
    pub fn answer_within(&self) -> Option<Duration> {
        if let Some(hedged) = self.hedged {
            return Some(hedged.answer_within);
        }
        self.max_call_interval?;
        Some((self.longest * ANSWER_TIMEOUT_PAUSES).max(MIN_ANSWER_TIMEOUT))
    }

    /// Returns the pause after a response with this `Retry-After`: the requested time plus a pause as after a failure,
    /// so that nodes that received the same response do not call at the same time. `draw` is a random number from 0 to
    /// 1.
    pub fn after_response(&mut self, retry_after: Duration, draw: f64) -> Duration {
        retry_after.min(MAX_RETRY_AFTER) + self.after_failure(draw)
    }

    /// Returns the remaining pause after a response with this `Retry-After` to a call that was started `ago`, if calls
    /// run concurrently; `None` if they do not. `draw` is a random number from 0 to 1.
    ///
    /// A service may ask for a minute and have a drain to report a second later, so the next call still starts within
    /// the maximum interval. `Retry-After` is honoured up to half of the remaining time; the other half is for jitter,
    /// because nodes that received the same response must not call at the same time.
    pub fn after_hedged_response(
        &self,
        retry_after: Duration,
        ago: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let left = self.max_call_interval?.saturating_sub(ago);
        let least = retry_after.min(left / 2);
        let jitter = left.saturating_sub(least).mul_f64(draw.clamp(0.0, 1.0));
        Some(least + jitter)
    }

    /// Returns the pause after an established watch has ended or become silent, and resets the backoff. `draw` is a
    /// random number from 0 to 1.
    pub fn after_watch_end(&mut self, draw: f64) -> Duration {
        self.next = self.first;
        self.after_watch_end.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// Returns the pause after a failed call. `draw` is a random number from 0 to 1.
    ///
    /// The first pause is uniform from zero to twice its mean, so that calls that failed at the same time are spread.
    /// After that the mean doubles with each failure up to its maximum, and the pause is uniform from 0.5 to 1.5 times
    /// the mean.
    pub fn after_failure(&mut self, draw: f64) -> Duration {
        let mean = self.next;
        let spread = if mean == self.first { mean } else { mean / 2 };
        let spread = self
            .max_call_interval
            .map_or(spread, |longest| spread.min(longest.saturating_sub(mean)));
        self.next = (self.next * 2).min(self.longest);
        mean.saturating_sub(spread) + (spread * 2).mul_f64(draw.clamp(0.0, 1.0))
    }
}
