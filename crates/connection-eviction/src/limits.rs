//! When a connection times out, and which connections are closed to make room.

use crate::connection::ConnectionState;
use crate::pressure::EvictionCount;
use crate::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// How long connections are kept without a complete request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// From the first byte of a head to its end. It ends heads that are sent byte by byte without end; a slow client needs
    /// 2 s.
    pub head_timeout: Duration,
    /// Without a byte of a next request. It ends connections of clients that connect and send nothing.
    pub idle_timeout: Duration,
    /// Added to the silence of a connection that has never sent a byte of a request: clients send one as soon as they
    /// connect.
    pub first_request_timeout: Duration,
    /// A connection that has been silent for less may be a slow client that goes on. It is closed for a connection that
    /// waits, but not ahead of need.
    pub goes_on: Duration,
}

impl Limits {
    /// The limits of a node.
    pub const USUAL: Limits = Limits {
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_millis(2200),
        first_request_timeout: Duration::from_secs(1),
        goes_on: Duration::from_millis(500),
    };

    /// Whether a connection has timed out.
    pub fn over(&self, now: Time, connection: &ConnectionState) -> bool {
        let (since, timeout) = match connection.head_started_at {
            Some(head_started_at) => (head_started_at, self.head_timeout),
            None => (connection.last_active_at, self.idle_timeout),
        };
        !connection.busy && now.saturating_sub(since) >= timeout
    }

    /// For how long a connection counts as silent.
    fn silence(&self, now: Time, connection: &ConnectionState) -> Duration {
        let silence = now.saturating_sub(connection.last_active_at);
        if connection.has_requested || connection.head_started_at.is_some() {
            silence
        } else {
            silence + self.first_request_timeout
        }
    }

    /// The connections to close, by their place in `connections`, the longest silent first. A busy one is never among them,
    /// and one that may be a slow client only where it is required.
    pub fn choose_evictions<'a>(
        &self,
        now: Time,
        connections: impl IntoIterator<Item = &'a ConnectionState>,
        count: EvictionCount,
    ) -> Vec<usize> {
        let mut candidates: Vec<Candidate> = connections
            .into_iter()
            .enumerate()
            .filter(|(_, connection)| !connection.busy)
            .map(|(place, connection)| Candidate {
                place,
                silence: self.silence(now, connection),
            })
            .collect();
        candidates.sort_unstable_by_key(|candidate| (Reverse(candidate.silence), candidate.place));
        let most = count.required.saturating_add(count.allowed);
        let mut evictions = Vec::new();
        for candidate in candidates.into_iter().take(most) {
            let required = evictions.len() < count.required;
            if !required && candidate.silence < self.goes_on {
                break;
            }
            evictions.push(candidate.place);
        }
        evictions
    }
}

/// A connection that may be closed.
struct Candidate {
    place: usize,
    silence: Duration,
}
