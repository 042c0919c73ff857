//! When a node calls on its discovery again, so that a whole fleet does not keep it from answering anybody.
//!
//! Danger that it guards against: a service that takes more calls than it can answer in their time, and works on them all
//! the same. Each node that calls once a second is harmless; a hundred of them keep the line of callers so long that
//! nearly every answer comes too late, for ever. So the first pause and the longest grow with the fleet, and each is drawn
//! anew.
//!
//! The other danger: a drain that a node does not hear of as it stays away from a service that is back. A change counts as
//! told 6 s after the service had it and could be reached, whatever befell the calls before. So no two calls of a node begin
//! further apart than 4.5 s, whatever the fleet's size, and the rest is for the answer. The price: a service that fails
//! gets up to a quarter as many calls a second as there are nodes (75 of 300, 675 of 2,700). So that one that bears less
//! gets through its line, a call waits up to 12 s while others go out beside it. One that gives up its callers itself
//! within that, and works on them all the same, can stay overloaded: an installation that has such a service sets [`PollLimits`].

use std::time::Duration;

/// Calls a second that a whole fleet makes at first, after a watch has ended everywhere at once.
const FIRST_A_SECOND: f64 = 25.0;
/// The same once calls have failed again and again.
const LATER_A_SECOND: f64 = 8.0;
/// Least mean of the first pause, and of the longest: what a small fleet keeps to. A service that is as small as its fleet
/// answers one call of each node in some seconds; nodes that call more often only lengthen the line that they wait in. A change
/// counts as told 4 s after a reload that moved the service: two calls begin within 2 s of it, the third mostly in time.
const LEAST: (Duration, Duration) = (Duration::from_secs(1), Duration::from_millis(1500));
/// Longest from the beginning of a call to that of the next, in a fleet of any size. Of the 6 s after which a change counts as
/// told it leaves 1.5 s for the answer.
const MOST: Duration = Duration::from_millis(4500);
/// Longest mean pause: what keeps a fleet that fails again and again to this share of its nodes a second.
const MOST_MEAN: Duration = Duration::from_secs(4);

/// Least that a call on a service that all share may take to be answered.
const ANSWER_LEAST: Duration = Duration::from_secs(3);

/// What an installation sets for calls on its list service.
#[derive(Clone, Debug, PartialEq)]
pub struct PollLimits {
    /// Calls a second that all nodes together make, whatever befalls them.
    pub calls_per_s: f64,
    /// The first call is made within this span of the start. Where more nodes start at once than the two figures allow,
    /// this one holds: a node must not stay for ever without a list.
    pub first_within: Duration,
    /// A call to be answered.
    pub answer_within: Duration,
    /// A list of two servers or more that is empty at one stroke is believed once that has lasted for so long.
    pub empty_after: Duration,
}

impl PollLimits {
    /// When a node makes its first call, from its start on: each has a place by its number, and a draw inside it, so that
    /// a fleet that starts at one stroke calls evenly.
    pub fn first_call(&self, (number, nodes): (u32, u32), draw: f64) -> Duration {
        let nodes = nodes.max(1);
        let span =
            Duration::from_secs_f64(f64::from(nodes) / self.calls_per_s).min(self.first_within);
        span.mul_f64((f64::from(number % nodes) + draw.clamp(0.0, 1.0)) / f64::from(nodes))
    }
}

/// Whether a list that has become empty at one stroke is believed. Danger: a service that is back without its entries, and
/// a fleet that therefore sends nothing to anybody.
#[derive(Clone, Debug, Default)]
pub struct EmptyListProtection {
    since: Option<Duration>,
}

impl EmptyListProtection {
    /// A whole list has come, with so many servers, where so many were known; whether it is believed at this time.
    pub fn accepts(&mut self, now: Duration, listed: usize, known: usize, after: Duration) -> bool {
        if listed > 0 || known < 2 {
            self.since = None;
            return true;
        }
        now.saturating_sub(*self.since.get_or_insert(now)) >= after
    }

    /// When a list that is in doubt is to be asked for again: then it is believed if it is still so.
    pub fn poll_again_after(&self, after: Duration) -> Option<Duration> {
        self.since.map(|since| since + after)
    }
}

/// Longest that a service may tell a node to stay away.
const TOLD_MOST: Duration = Duration::from_mins(2);

/// How calls go out to an agent on the node's own machine: so often while none is answered, and each waits so long.
///
/// Danger that it guards against: an agent that was silent for a while and has a list again counts as having told it, whether or
/// not a watch is open. A call of that moment must be there to take it, well within what a drain allows (250 ms); and an
/// agent that takes its time must not be left each time just before it answers, so several calls are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgedPolls {
    /// Between two calls.
    pub every: Duration,
    /// What each may take to be answered.
    pub answer_within: Duration,
}

/// Those of an agent: eight calls are open at the most.
const AGENT: HedgedPolls = HedgedPolls {
    every: Duration::from_millis(120),
    answer_within: Duration::from_millis(960),
};
/// Between the end of an agent's watch and the next call.
const AGENT_PAUSE: Duration = Duration::from_millis(30);

/// Longest pause after a watch that was open. Danger that it guards against: a list service that is well, whose watches have
/// fallen silent. What such a watch misses counts as told 6 s after its last word; 3 s of these pass before it is taken for
/// dead, and the answer needs its time too. Only a service that does not answer is spared by long pauses: the call that
/// follows finds out. An installation that sets what its service bears ([`PollLimits`]) has that kept here too.
const ENDED_MOST: Duration = Duration::from_secs(1);

/// Pauses between the calls of one node.
#[derive(Clone, Debug)]
pub struct PollBackoff {
    hedged: Option<HedgedPolls>,
    first: Duration,
    longest: Duration,
    next: Duration,
    /// Longest pause after a watch that was open.
    after_watch_end: Duration,
    /// Longest from the beginning of a call to that of the next.
    most: Option<Duration>,
}

impl PollBackoff {
    /// The pauses of a node in a fleet of so many: calls begin 4.5 s apart at the most, as long as one fails within that.
    pub fn for_fleet(nodes: u32) -> Self {
        let share =
            |a_second: f64, most| Duration::from_secs_f64(f64::from(nodes) / a_second).min(most);
        let first = share(FIRST_A_SECOND, MOST / 2).max(LEAST.0);
        let longest = share(LATER_A_SECOND, MOST_MEAN).max(LEAST.1).max(first);
        let ended = (first * 2).min(ENDED_MOST);
        PollBackoff {
            hedged: None,
            first,
            longest,
            next: first,
            after_watch_end: ended,
            most: Some(MOST),
        }
    }

    /// Those of a node whose agent answers at once and at no cost: nobody else is kept waiting by its calls.
    pub fn for_agent() -> Self {
        let first = AGENT_PAUSE;
        let ended = first * 2;
        PollBackoff {
            hedged: Some(AGENT),
            first,
            longest: first,
            next: first,
            after_watch_end: ended,
            most: None,
        }
    }

    /// Whether more calls go out while one is open, and how.
    pub fn hedged(&self) -> Option<HedgedPolls> {
        self.hedged
    }

    /// Those of a node whose installation says what the service bears: where all calls fail at once, all nodes together
    /// still keep to that, from the first pause on.
    pub fn with_limits(nodes: u32, terms: &PollLimits) -> Self {
        let share = Duration::from_secs_f64(f64::from(nodes) / terms.calls_per_s);
        let first = share.max(LEAST.0);
        let longest = (first * 2).max(LEAST.1);
        PollBackoff {
            hedged: None,
            first,
            longest,
            next: first,
            after_watch_end: first * 2,
            most: None,
        }
    }

    /// A call goes out: after how long another one goes out beside it, if it is neither answered nor given up, or has failed.
    /// `None` where an installation says what its service bears: there the next call waits for the end of this one.
    ///
    /// Danger that it guards against: a fleet whose calls went out in one moment and are left unanswered. If the next call waited
    /// for the end of the last, little of the time for it would be left to be drawn, and the fleet would go on in step.
    pub fn hedge_delay(&mut self, draw: f64) -> Option<Duration> {
        match (self.hedged, self.most) {
            (Some(hedged), _) => Some(hedged.every),
            (None, Some(_)) => Some(self.after_failure(draw)),
            (None, None) => None,
        }
    }

    /// How long a call may take to be answered where others go out beside it. Danger: calls that are given up just before
    /// they are answered, by a service that has worked on them: then its line of callers never gets short. Half a dozen are open
    /// at the most.
    pub fn answer_within(&self) -> Option<Duration> {
        let shared = self.most.map(|_| (self.longest * 3).max(ANSWER_LEAST));
        self.hedged.map(|hedged| hedged.answer_within).or(shared)
    }

    /// The service has said when to come back: no sooner, and spread out behind that as after any other end.
    pub fn after_response(&mut self, after: Duration, draw: f64) -> Duration {
        after.min(TOLD_MOST) + self.after_failure(draw)
    }

    /// The same where calls go out beside one another: how long from now on, as the call was made so long ago. Danger: a
    /// service that says a minute and has a drain to tell a second later. A node comes back in time all the same, and no
    /// sooner than told where that leaves half of the time to be drawn: those that were all told the same do not come at
    /// once.
    pub fn after_hedged_response(
        &self,
        after: Duration,
        ago: Duration,
        draw: f64,
    ) -> Option<Duration> {
        let room = self.most?.saturating_sub(ago);
        let from = after.min(room / 2);
        Some(
            from + room
                .checked_sub(from)
                .unwrap()
                .mul_f64(draw.clamp(0.0, 1.0)),
        )
    }

    /// A watch was open and has ended, or has fallen silent: how long until the next call. One that fails is a first one again.
    pub fn after_watch_end(&mut self, draw: f64) -> Duration {
        self.next = self.first;
        self.after_watch_end.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// How long to wait now; `draw` is from 0 to 1. The first pause is anything up to twice its mean, so that what ended
    /// at once does not come back at once; each further one is twice as long, and drawn around that.
    pub fn after_failure(&mut self, draw: f64) -> Duration {
        let mean = self.next;
        let half = if mean == self.first { mean } else { mean / 2 };
        let half = self
            .most
            .map_or(half, |most| half.min(most.saturating_sub(mean)));
        self.next = (self.next * 2).min(self.longest);
        mean.checked_sub(half).unwrap() + (half * 2).mul_f64(draw.clamp(0.0, 1.0))
    }
}

#[cfg(test)]
mod tests;
