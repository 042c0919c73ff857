//! Backoff with jitter between the calls of a node.
//!
//! A discovery service may accept more calls than it can answer in time, and work on all of them. Its queue then stays so
//! long that nearly every answer comes after its caller has given up, and the fleet gets no list. So the mean pauses of a
//! node grow with the size of its fleet, and each pause is drawn anew.
//!
//! A node that stays away for too long misses a drain. A change counts as received 6 s after the service had it and was
//! reachable, whatever happened to earlier calls. So two calls of a node never start further apart than
//! [`MAX_CALL_INTERVAL`], whatever the size of the fleet; the rest of the 6 s is for the answer. Hence a service that fails
//! gets up to a quarter as many calls a second as there are nodes. A call may take up to 12 s while others go out beside
//! it, so that a service that bears fewer calls gets through its queue. A service that gives up its callers itself within
//! that, and works on their calls all the same, can stay overloaded; an installation that has such a service sets
//! [`PollLimits`].

use crate::poll::limits::PollLimits;
use std::time::Duration;

/// Calls per second of a whole fleet after a first failure.
const FIRST_CALLS_PER_S: f64 = 25.0;
/// Calls per second of a whole fleet after repeated failures.
const LATER_CALLS_PER_S: f64 = 8.0;
/// The least mean of the first pause. A service as small as its fleet takes some seconds to answer one call of each node;
/// more frequent calls only lengthen its queue. A change counts as received 4 s after a reload that moved the service: two
/// calls start within 2 s of it, and the third mostly in time.
const MIN_FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The least mean of the longest pause.
const MIN_LONGEST_PAUSE: Duration = Duration::from_millis(1500);
/// The longest span from the start of a call to that of the next. Of the 6 s after which a change counts as received it
/// leaves 1.5 s for the answer.
const MAX_CALL_INTERVAL: Duration = Duration::from_millis(4500);
/// The longest mean pause: a fleet whose calls fail makes one call per node in this span.
const MAX_MEAN_PAUSE: Duration = Duration::from_secs(4);
/// The least timeout of a call to a shared service.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a call, in longest mean pauses: this many calls are open on the mean.
const ANSWER_TIMEOUT_PAUSES: u32 = 3;
/// The longest `Retry-After` of a service that is honoured.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(2);
/// The longest pause after a watch that was open. What a silent watch misses counts as received 6 s after its last message;
/// 3 s of these pass before the watch is given up, and the answer to the next call needs its time too. Only a service that
/// fails calls is spared by long pauses.
const MAX_PAUSE_AFTER_WATCH: Duration = Duration::from_secs(1);

/// Calls to an agent: at most eight are open.
const AGENT_POLLS: HedgedPolls = HedgedPolls {
    every: Duration::from_millis(120),
    answer_within: Duration::from_millis(960),
};
/// The mean pause between the end of an agent's watch and the next call.
const AGENT_PAUSE: Duration = Duration::from_millis(30);

/// How calls go out to an agent on the node's own machine, some of them before earlier ones are answered.
///
/// An agent that was unavailable and has a list again counts as having sent it, whether or not a watch is open. A call must
/// be open at that moment, well within the 250 ms that a drain allows. And a slow agent's call must not be given up just
/// before it is answered each time, so several calls are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgedPolls {
    /// Between the starts of two calls.
    pub every: Duration,
    /// The timeout of a call.
    pub answer_within: Duration,
}

/// The pauses between the calls of one node.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    hedged: Option<HedgedPolls>,
    /// The mean of the first pause.
    first: Duration,
    /// The mean of the longest pause.
    longest: Duration,
    /// The mean of the next pause.
    next: Duration,
    /// The longest pause after a watch that was open.
    after_watch_end: Duration,
    /// The longest span from the start of a call to that of the next; `None` if the next call waits for the end of a call.
    max_call_interval: Option<Duration>,
}

impl PollBackoff {
    /// For a fleet of `nodes` that share a service: calls start at most 4.5 s apart.
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

    /// For a node whose discovery is an agent on its own machine, which no other node calls.
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

    /// For a fleet of `nodes` whose installation sets limits: even if all calls fail at once, all nodes together keep to
    /// them from the first pause on.
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

    /// How calls go out beside each other to an agent; `None` for a service that nodes share.
    pub fn hedged(&self) -> Option<HedgedPolls> {
        self.hedged
    }

    /// A call goes out: after how long the next one goes out beside it, if it has not been answered by then. `None` if the
    /// installation sets limits; then the next call waits for the end of this one. `draw` is from 0 to 1.
    ///
    /// The calls of a fleet may go out in one moment and stay unanswered. If each next call waited for the end of the last,
    /// little of its time would be left to draw from, and the fleet would stay in step.
    pub fn hedge_delay(&mut self, draw: f64) -> Option<Duration> {
        match (self.hedged, self.max_call_interval) {
            (Some(hedged), _) => Some(hedged.every),
            (None, Some(_)) => Some(self.after_failure(draw)),
            (None, None) => None,
        }
    }

    /// The timeout of a call beside which others go out.
    ///
    /// A service works on calls that were given up just before their answer; with a shorter timeout its queue would never
    /// get short.
    pub fn answer_within(&self) -> Option<Duration> {
        if let Some(hedged) = self.hedged {
            return Some(hedged.answer_within);
        }
        self.max_call_interval?;
        Some((self.longest * ANSWER_TIMEOUT_PAUSES).max(MIN_ANSWER_TIMEOUT))
    }

    /// How long to wait after a response with this `Retry-After`: at least that, and a pause as after a failure, so that
    /// nodes that got the same response do not call at once. `draw` is from 0 to 1.
    pub fn after_response(&mut self, retry_after: Duration, draw: f64) -> Duration {
        retry_after.min(MAX_RETRY_AFTER) + self.after_failure(draw)
    }

    /// How long to wait from now on after a response with this `Retry-After` to a call that was made `ago`, where calls go
    /// out beside each other; `None` where they do not. `draw` is from 0 to 1.
    ///
    /// A service may ask for a minute and have a drain to send a second later, so the node calls within the longest interval
    /// all the same. `Retry-After` is kept where it leaves half of the time to draw from: nodes that got the same response
    /// must not call at once.
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

    /// How long to wait after a watch that was open has ended or fallen silent. A failure after it counts as the first.
    /// `draw` is from 0 to 1.
    pub fn after_watch_end(&mut self, draw: f64) -> Duration {
        self.next = self.first;
        self.after_watch_end.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// How long to wait after a failed call. `draw` is from 0 to 1.
    ///
    /// The first pause is drawn from zero to twice its mean, so that calls that failed at once are spread; the mean of each
    /// further one is doubled up to the longest, and the pause drawn from half to one and a half of it.
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
