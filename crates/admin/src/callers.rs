//! Callers of the admin interface that have no answer yet.

use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a caller's connection. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Caller(pub u64);

/// Callers that wait for an answer, in the order in which they connected.
///
/// Callers that send nothing or half a command, and stay, hold file descriptors until the node has none for requests. So
/// only a few are kept. As a well-behaved caller sends its line at once, the one that has waited longest is closed for the
/// next.
#[derive(Debug)]
pub struct CallerTable {
    limit: usize,
    timeout: Duration,
    next_id: u64,
    waiting: VecDeque<WaitingCaller>,
}

#[derive(Debug)]
struct WaitingCaller {
    caller: Caller,
    connected_at: Duration,
}

impl CallerTable {
    /// How many callers a node keeps at once. Each takes a file descriptor.
    pub const MOST: usize = 16;
    /// How long a node waits for a caller's line.
    pub const STAY: Duration = Duration::from_secs(5);

    /// A table of at most `limit` callers (at least one), each of which is kept for `timeout`.
    pub fn new(limit: usize, timeout: Duration) -> CallerTable {
        CallerTable {
            limit: limit.max(1),
            timeout,
            next_id: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Adds a caller. If the table was full, also returns the caller that is to be closed for it.
    pub fn arrived(&mut self, now: Duration) -> (Caller, Option<Caller>) {
        let caller = Caller(self.next_id);
        self.next_id += 1;
        let closed = if self.waiting.len() >= self.limit {
            self.waiting.pop_front().map(|oldest| oldest.caller)
        } else {
            None
        };
        self.waiting.push_back(WaitingCaller {
            caller,
            connected_at: now,
        });
        (caller, closed)
    }

    /// Removes a caller that has its answer or has disconnected.
    pub fn left(&mut self, caller: Caller) {
        self.waiting.retain(|other| other.caller != caller);
    }

    /// Removes and returns a caller that has timed out, if there is one.
    pub fn stale(&mut self, now: Duration) -> Option<Caller> {
        let oldest = self.waiting.front()?;
        if now.saturating_sub(oldest.connected_at) < self.timeout {
            return None;
        }
        self.waiting.pop_front().map(|oldest| oldest.caller)
    }

    /// When the next caller times out.
    pub fn deadline(&self) -> Option<Duration> {
        let oldest = self.waiting.front()?;
        Some(oldest.connected_at + self.timeout)
    }

    /// How many callers there are.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether there is no caller.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
