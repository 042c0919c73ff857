//! When a node calls on its discovery again, so that a whole fleet does not keep it from answering anybody.
//!
//! Danger that it guards against: a service that takes more calls than it can answer in their time, and works on them all
//! the same. Each node that calls once a second is harmless; a hundred of them keep the line of callers so long that
//! nearly every answer comes too late, for ever. What all nodes together call must stay under what such a service bears,
//! whatever the number of nodes: so the first pause and the longest grow with the fleet, and each is drawn anew.

use std::time::Duration;

/// Calls a second that a whole fleet makes at first, after a watch has ended everywhere at once.
const FIRST_A_SECOND: f64 = 25.0;
/// The same once calls have failed again and again.
const LATER_A_SECOND: f64 = 8.0;
/// Least first pause, and least longest: what a small fleet keeps to.
const LEAST: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));
/// Longest pause of any fleet. Guards drains, which a node without its list does not hear of.
const MOST: Duration = Duration::from_secs(12);

/// What an installation sets for calls on its list service.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
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

impl Terms {
    /// When a node makes its first call, from its start on: each has a place by its number, and a draw inside it, so that
    /// a fleet that starts at one stroke calls evenly.
    pub fn first_call(&self, (number, nodes): (u32, u32), draw: f64) -> Duration {
        let nodes = nodes.max(1);
        let span = Duration::from_secs_f64(f64::from(nodes) / self.calls_per_s).min(self.first_within);
        span.mul_f64((f64::from(number % nodes) + draw.clamp(0.0, 1.0)) / f64::from(nodes))
    }
}

/// Whether a list that has become empty at one stroke is believed. Danger: a service that is back without its entries, and
/// a fleet that therefore sends nothing to anybody.
#[derive(Clone, Debug, Default)]
pub struct Doubt {
    since: Option<Duration>,
}

impl Doubt {
    /// A whole list has come, with so many servers, where so many were known; whether it is believed at this time.
    pub fn believes(&mut self, now: Duration, listed: usize, known: usize, after: Duration) -> bool {
        if listed > 0 || known < 2 {
            self.since = None;
            return true;
        }
        now.saturating_sub(*self.since.get_or_insert(now)) >= after
    }

    /// When a list that is in doubt is to be asked for again: then it is believed if it is still so.
    pub fn asks_again(&self, after: Duration) -> Option<Duration> {
        self.since.map(|since| since + after)
    }
}

/// Longest that a service may tell a node to stay away.
const TOLD_MOST: Duration = Duration::from_secs(120);

/// How calls go out to an agent on the node's own machine: so often while none is answered, and each waits so long.
///
/// Danger that it guards against: an agent that was silent for a while and has a list again counts as having told it, whether or
/// not a watch is open. A call of that moment must be there to take it, well within what a drain allows (250 ms); and an
/// agent that takes its time must not be left each time just before it answers, so several calls are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hedged {
    /// Between two calls.
    pub every: Duration,
    /// What each may take to be answered.
    pub answer_within: Duration,
}

/// Those of an agent: eight calls are open at the most.
const AGENT: Hedged = Hedged { every: Duration::from_millis(120), answer_within: Duration::from_millis(960) };
/// Between the end of an agent's watch and the next call.
const AGENT_PAUSE: Duration = Duration::from_millis(30);

/// Longest pause after a watch that was open. Danger that it guards against: a list service that is well, whose watches have
/// fallen silent. What such a watch misses counts as told 6 s after its last word; 3 s of these pass before it is taken for
/// dead, and the answer needs its time too. Only a service that does not answer is spared by long pauses: the call that
/// follows finds out. An installation that sets what its service bears ([`Terms`]) has that kept here too.
const ENDED_MOST: Duration = Duration::from_secs(1);

/// Pauses between the calls of one node.
#[derive(Clone, Debug)]
pub struct Pace {
    hedged: Option<Hedged>,
    first: Duration,
    longest: Duration,
    next: Duration,
    /// Longest pause after a watch that was open.
    ended: Duration,
}

impl Pace {
    /// The pauses of a node in a fleet of so many.
    pub fn of(nodes: u32) -> Self {
        let share = |a_second: f64| Duration::from_secs_f64(f64::from(nodes) / a_second).min(MOST);
        let (first, longest) = (share(FIRST_A_SECOND).max(LEAST.0), share(LATER_A_SECOND).max(LEAST.1));
        let ended = (first * 2).min(ENDED_MOST);
        Pace { hedged: None, first, longest: longest.max(first), next: first, ended }
    }

    /// Those of a node whose agent answers at once and at no cost: nobody else is kept waiting by its calls.
    pub fn agent() -> Self {
        let first = AGENT_PAUSE;
        Pace { hedged: Some(AGENT), first, longest: first, next: first, ended: first * 2 }
    }

    /// Whether more calls go out while one is open, and how.
    pub fn hedged(&self) -> Option<Hedged> {
        self.hedged
    }

    /// Those of a node whose installation says what the service bears: where all calls fail at once, all nodes together
    /// still keep to that, from the first pause on.
    pub fn within(nodes: u32, terms: &Terms) -> Self {
        let share = Duration::from_secs_f64(f64::from(nodes) / terms.calls_per_s);
        let first = share.max(LEAST.0);
        Pace { hedged: None, first, longest: (first * 2).max(LEAST.1), next: first, ended: first * 2 }
    }

    /// The service has said when to come back: no sooner, and spread out behind that as after any other end.
    pub fn told(&mut self, after: Duration, draw: f64) -> Duration {
        after.min(TOLD_MOST) + self.pause(draw)
    }

    /// A watch was open and has ended, or has fallen silent: how long until the next call. One that fails is a first one again.
    pub fn ended(&mut self, draw: f64) -> Duration {
        self.next = self.first;
        self.ended.mul_f64(draw.clamp(0.0, 1.0))
    }

    /// How long to wait now; `draw` is from 0 to 1. The first pause is anything up to twice its mean, so that what ended
    /// at once does not come back at once; each further one is twice as long.
    pub fn pause(&mut self, draw: f64) -> Duration {
        let spread = if self.next == self.first { 2.0 * draw } else { 0.5 + draw };
        let pause = self.next.mul_f64(spread);
        self.next = (self.next * 2).min(self.longest);
        pause
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A service that answers so many calls a second in turn, works on each that it has taken, and takes more than it can
    /// answer in the 2 s that a caller waits. Returns after how many s nine tenths of the nodes have had an answer.
    fn comes_back(nodes: u32, a_second: f64, pace: impl Fn(u32) -> Pace) -> Option<f64> {
        const WAIT: f64 = 2.0;
        let mut random = fastrand::Rng::with_seed(3);
        let mut paces: Vec<Pace> = (0..nodes).map(|_| pace(nodes)).collect();
        let mut due: Vec<(f64, usize)> = Vec::new();
        for (node, pace) in paces.iter_mut().enumerate() {
            due.push((pace.pause(random.f64()).as_secs_f64(), node));
        }
        let (mut busy_until, mut answered) = (0.0_f64, 0);
        loop {
            due.sort_by(|a, b| b.0.total_cmp(&a.0));
            let (now, node) = due.pop()?;
            if now > 120.0 {
                return None;
            }
            let begins = busy_until.max(now);
            let failed = if begins - now > 3.0 * WAIT {
                Some(now)
            } else {
                busy_until = begins + 1.0 / a_second;
                (busy_until - now > WAIT).then_some(now + WAIT)
            };
            match failed {
                Some(at) => due.push((at + paces[node].pause(random.f64()).as_secs_f64(), node)),
                None => answered += 1,
            }
            if answered * 10 >= nodes * 9 {
                return Some(busy_until);
            }
        }
    }

    #[test]
    fn a_fleet_gets_its_lists_back_from_a_service_that_takes_too_many_calls() {
        // It can answer each node of a large fleet once in 5 s.
        for nodes in [3, 30, 100, 1000] {
            let after = comes_back(nodes, (f64::from(nodes) / 5.0).max(10.0), Pace::of);
            assert!(after.is_some_and(|after| after < 30.0), "{nodes} nodes: {after:?} s");
        }
        // What a small fleet keeps to, kept to by a hundred: the line never gets short.
        assert!(comes_back(100, 20.0, |_| Pace::of(3)).is_none_or(|after| after > 60.0));
    }

    fn terms() -> Terms {
        let s = Duration::from_secs;
        Terms { calls_per_s: 25.0, first_within: s(60), answer_within: s(10), empty_after: s(30) }
    }

    /// The most calls in any second of these.
    fn most(mut at: Vec<f64>) -> usize {
        at.sort_by(f64::total_cmp);
        (0..at.len())
            .map(|place| at[place..].iter().take_while(|later| **later < at[place] + 1.0).count())
            .max()
            .unwrap_or(0)
    }

    #[test]
    fn first_calls_of_a_fleet_that_starts_at_once_are_even() {
        let mut random = fastrand::Rng::with_seed(7);
        for nodes in [3, 30, 300, 1000] {
            let calls =
                (0..nodes).map(|number| terms().first_call((number, nodes), random.f64()).as_secs_f64());
            let calls: Vec<f64> = calls.collect();
            let last = calls.iter().copied().fold(0.0, f64::max);
            assert!(last <= f64::from(nodes) / 25.0, "{nodes} nodes: {last} s");
            let most = most(calls);
            assert!(most <= 27, "{nodes} nodes: {most} in a second");
        }
        // The span is what holds where the two can't both.
        let soon = Terms { first_within: Duration::from_secs(4), ..terms() };
        assert!(soon.first_call((999, 1000), 1.0) <= Duration::from_secs(4));
    }

    #[test]
    fn calls_that_all_fail_keep_to_what_the_service_bears() {
        let mut random = fastrand::Rng::with_seed(9);
        for nodes in [30, 300, 1000] {
            let mut at = Vec::new();
            for _ in 0..nodes {
                let (mut pace, mut now) = (Pace::within(nodes, &terms()), 0.0);
                while now < 100.0 {
                    now += pace.pause(random.f64()).as_secs_f64();
                    at.push(now);
                }
            }
            // Chance gathers some: four deviations above the mean of 25.
            let most = most(at);
            assert!(most <= 50, "{nodes} nodes: {most} in a second");
        }
    }

    #[test]
    fn who_is_told_when_to_come_back_comes_no_sooner() {
        let mut pace = Pace::within(300, &terms());
        for draw in [0.0, 0.5, 1.0] {
            assert!(pace.told(Duration::from_secs(7), draw) >= Duration::from_secs(7));
        }
        assert!(
            pace.told(Duration::from_secs(86_400), 0.0) < Duration::from_secs(200),
            "a forged one has an end"
        );
    }

    #[test]
    fn an_empty_list_is_believed_once_it_has_lasted() {
        let (mut doubt, s) = (Doubt::default(), Duration::from_secs);
        assert!(doubt.believes(s(0), 5, 0, s(30)));
        assert!(!doubt.believes(s(1), 0, 5, s(30)));
        assert_eq!(doubt.asks_again(s(30)), Some(s(31)));
        assert!(!doubt.believes(s(30), 0, 5, s(30)));
        assert!(doubt.believes(s(31), 0, 5, s(30)));
        assert!(doubt.believes(s(32), 3, 5, s(30)), "and one with servers at once");
        assert!(!doubt.believes(s(40), 0, 3, s(30)), "the doubt begins anew");
        assert!(doubt.believes(s(41), 0, 1, s(30)), "the last server may go");
    }

    /// The rule on drains leaves 250 ms from when an agent has a list: a call has to be there within that, whatever the size
    /// of the fleet.
    #[test]
    fn an_agent_that_has_a_list_again_is_called_within_what_a_drain_allows() {
        let mut pace = Pace::agent();
        let hedged = pace.hedged().expect("several calls are open");
        let pause = (0..50).map(|draw| pace.pause(f64::from(draw) / 50.0)).max().expect("some");
        assert!(pause + hedged.every <= Duration::from_millis(200), "{pause:?} and {hedged:?}");
        assert!(hedged.answer_within >= hedged.every * 4, "a slow agent gets its time");
        assert!(Pace::of(300).hedged().is_none(), "a service that all share is not called so");
    }

    /// The rule on drains counts from 6 s after a watch fell silent, of which a node needs 3 s to notice.
    #[test]
    fn after_a_watch_that_was_open_a_fleet_of_any_size_calls_within_a_second() {
        for nodes in [3, 30, 300, 1000] {
            for mut pace in [Pace::of(nodes), Pace::agent()] {
                // Calls had failed before that watch was opened.
                (0..5).for_each(|_| _ = pace.pause(1.0));
                let longest = (0..=10).map(|draw| pace.ended(f64::from(draw) / 10.0)).max();
                assert!(longest <= Some(Duration::from_secs(1)), "{nodes} nodes: {longest:?}");
            }
        }
        // The fleet is spread over that second all the same, and what fails then waits as long as ever.
        let mut pace = Pace::of(300);
        assert!(pace.ended(1.0) == Duration::from_secs(1) && pace.ended(0.1) == Duration::from_millis(100));
        assert!(pace.pause(0.5) >= Duration::from_secs(12), "{pace:?}");
        assert_eq!(Pace::within(300, &terms()).ended(0.5), Duration::from_secs(12), "what is set is kept to");
    }

    #[test]
    fn a_small_fleet_is_back_within_a_second() {
        let mut pace = Pace::of(3);
        for _ in 0..8 {
            let pause = pace.pause(0.5);
            assert!(pause <= Duration::from_secs(1), "{pause:?}");
        }
        assert!(pace.ended(0.5) <= Duration::from_millis(150));
        assert!(pace.pause(0.5) <= Duration::from_millis(150));
    }
}
