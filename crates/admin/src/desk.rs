//! Which callers are kept.

use std::collections::VecDeque;
use std::time::Duration;

/// A caller's connection. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Callers that have come and have no answer yet, in the order in which they came.
///
/// Danger: callers that say nothing, or half a call, and stay. They hold descriptors, so there is room for few; and as
/// good callers write their line at once, who has waited longest for an end of it makes way for the next.
#[derive(Debug)]
pub struct CallerTable {
    most: usize,
    stay: Duration,
    next: u64,
    waiting: VecDeque<(Duration, Caller)>,
}

impl CallerTable {
    /// Callers that are kept at once. Each takes a descriptor.
    pub const MOST: usize = 16;
    /// How long a caller may take for a line; those who mean no harm need a moment, and those who stay need no more.
    pub const STAY: Duration = Duration::from_secs(5);

    /// A desk with room for so many, each for so long.
    pub fn new(most: usize, stay: Duration) -> CallerTable {
        CallerTable {
            most: most.max(1),
            stay,
            next: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Somebody comes; who has to go for it, if there is no room.
    pub fn arrived(&mut self, now: Duration) -> (Caller, Option<Caller>) {
        let caller = Caller(self.next);
        self.next += 1;
        let full = self.waiting.len() >= self.most;
        let goes = if full {
            self.waiting.pop_front().map(|(_, caller)| caller)
        } else {
            None
        };
        self.waiting.push_back((now, caller));
        (caller, goes)
    }

    /// A caller has its answer, or has gone.
    pub fn left(&mut self, caller: Caller) {
        self.waiting.retain(|(_, other)| *other != caller);
    }

    /// Who has stayed too long by now; it is forgotten.
    pub fn stale(&mut self, now: Duration) -> Option<Caller> {
        let (since, caller) = *self.waiting.front()?;
        let over = now.saturating_sub(since) >= self.stay;
        over.then(|| {
            self.waiting.pop_front();
            caller
        })
    }

    /// When somebody will have stayed too long.
    pub fn deadline(&self) -> Option<Duration> {
        self.waiting.front().map(|(since, _)| *since + self.stay)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether nobody is.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests;
