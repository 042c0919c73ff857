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

/// Pauses between the calls of one node.
#[derive(Clone, Debug)]
pub struct Pace {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Pace {
    /// The pauses of a node in a fleet of so many.
    pub fn of(nodes: u32) -> Self {
        let share = |a_second: f64| Duration::from_secs_f64(f64::from(nodes) / a_second).min(MOST);
        let (first, longest) = (share(FIRST_A_SECOND).max(LEAST.0), share(LATER_A_SECOND).max(LEAST.1));
        Pace { first, longest: longest.max(first), next: first }
    }

    /// A call was answered: the next that fails is a first one again.
    pub fn answered(&mut self) {
        self.next = self.first;
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

    #[test]
    fn a_small_fleet_is_back_within_a_second() {
        let mut pace = Pace::of(3);
        for _ in 0..8 {
            let pause = pace.pause(0.5);
            assert!(pause <= Duration::from_secs(1), "{pause:?}");
        }
        pace.answered();
        assert!(pace.pause(0.5) <= Duration::from_millis(150));
    }
}
