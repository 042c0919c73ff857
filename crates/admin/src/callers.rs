//! Connections to the admin interface that have not been answered yet.

use std::collections::VecDeque;
use std::time::Duration;

/// Identifies a caller's connection. Identifiers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// The callers that have not been answered yet, in the order in which they connected.
///
/// Callers that send nothing or an incomplete command and stay connected could use up the file descriptors that the
/// node needs for requests. So their number is limited. A well-behaved caller sends its command immediately, so when
/// the table is full, the caller that has been connected longest is closed for the next.
#[derive(Debug)]
pub struct CallerTable {
    /// Maximum number of callers.
    limit: usize,
    /// How long a caller may stay connected without an answer.
    timeout: Duration,
    next_id: u64,
    waiting: VecDeque<WaitingCaller>,
}

#[derive(Debug)]
struct WaitingCaller {
    caller: CallerId,
    connected_at: Duration,
}

impl CallerTable {
    /// Maximum number of callers of a node. Each takes a file descriptor.
    pub const MAX_CALLERS: usize = 16;
    /// How long a node waits for a caller's command.
    pub const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

    /// Creates a table of at most `limit` callers, each of which is closed after `timeout`. A `limit` of 0 counts as 1.
    pub fn new(limit: usize, timeout: Duration) -> CallerTable {
        CallerTable {
            limit: limit.max(1),
            timeout,
            next_id: 0,
            waiting: VecDeque::new(),
        }
    }

    /// Adds a caller that has connected. If the table was full, also returns the caller that must be closed for it.
    pub fn add(&mut self, now: Duration) -> (CallerId, Option<CallerId>) {
        let caller = CallerId(self.next_id);
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

    /// Removes a caller that has been answered or has disconnected.
    pub fn remove(&mut self, caller: CallerId) {
        self.waiting.retain(|other| other.caller != caller);
    }

    /// Removes and returns the oldest caller if it has timed out.
    pub fn remove_timed_out(&mut self, now: Duration) -> Option<CallerId> {
        let oldest = self.waiting.front()?;
        if now.saturating_sub(oldest.connected_at) < self.timeout {
            return None;
        }
        self.waiting.pop_front().map(|oldest| oldest.caller)
    }

    /// When the next caller times out; `None` if there are no callers.
    pub fn deadline(&self) -> Option<Duration> {
        let oldest = self.waiting.front()?;
        Some(oldest.connected_at + self.timeout)
    }

    /// The number of callers.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether there are no callers.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
