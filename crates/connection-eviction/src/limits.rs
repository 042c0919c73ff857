//! Connection timeouts, and the choice of connections to evict.

use crate::connection::ConnectionState;
use crate::pressure::EvictionCount;
use crate::time::Time;
use std::cmp::Reverse;
use std::time::Duration;

/// The timeouts of connections without a complete request head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum time from the first byte of a request head to its last. Closes connections that send a head byte by byte
    /// without end; a slow client needs 2 s for a head.
    pub head_timeout: Duration,
    /// Maximum time without a byte of the next request. Closes connections of clients that connect and send nothing.
    pub idle_timeout: Duration,
    /// Added to the silence of a connection that has never sent a byte, because clients send a request as soon as they
    /// connect.
    pub unused_connection_penalty: Duration,
    /// A connection that has been silent for less than this may belong to a slow client that is still sending. It is
    /// evicted only if a waiting connection requires it, not proactively.
    pub slow_client_max_silence: Duration,
    /// A connection in the middle of a request body that has been silent for less than this belongs to a client that is
    /// still sending. It is never evicted.
    pub body_max_silence: Duration,
}

impl Limits {
    /// The limits that a node uses.
    pub const USUAL: Limits = Limits {
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_millis(2200),
        unused_connection_penalty: Duration::from_secs(1),
        slow_client_max_silence: Duration::from_millis(500),
        body_max_silence: Duration::from_secs(1),
    };

    /// Whether a connection has timed out. A busy connection never has, nor one whose client sends a body.
    pub fn has_timed_out(&self, now: Time, connection: &ConnectionState) -> bool {
        let (since, timeout) = match connection.head_started_at {
            Some(head_started_at) => (head_started_at, self.head_timeout),
            None => (connection.last_active_at, self.idle_timeout),
        };
        !connection.busy && !connection.awaits_body && now.saturating_sub(since) >= timeout
    }

    /// How long a connection counts as silent, including the penalty of an unused connection.
    fn silence(&self, now: Time, connection: &ConnectionState) -> Duration {
        let silence = now.saturating_sub(connection.last_active_at);
        if connection.has_requested || connection.head_started_at.is_some() {
            silence
        } else {
            silence + self.unused_connection_penalty
        }
    }

    /// Whether a connection may be evicted. A client that has stopped in the middle of a request body loses nothing, as it
    /// has not sent all of its request; one that goes on is kept.
    fn is_candidate(&self, now: Time, connection: &ConnectionState) -> bool {
        let silence = now.saturating_sub(connection.last_active_at);
        let sends_body = connection.awaits_body && silence < self.body_max_silence;
        !connection.busy && !sends_body
    }

    /// Returns the indexes in `connections` of the connections to evict, the longest silent first, and those in the middle
    /// of a request body after all others. Busy connections are never chosen, and connections that may belong to slow
    /// clients only for the required evictions.
    pub fn choose_evictions<'a>(
        &self,
        now: Time,
        connections: impl IntoIterator<Item = &'a ConnectionState>,
        count: EvictionCount,
    ) -> Vec<usize> {
        let mut candidates: Vec<Candidate> = connections
            .into_iter()
            .enumerate()
            .filter(|(_, connection)| self.is_candidate(now, connection))
            .map(|(index, connection)| Candidate {
                index,
                awaits_body: connection.awaits_body,
                silence: self.silence(now, connection),
            })
            .collect();
        candidates.sort_unstable_by_key(|candidate| {
            let silence = Reverse(candidate.silence);
            (candidate.awaits_body, silence, candidate.index)
        });
        let max_evictions = count.required.saturating_add(count.allowed);
        let mut evictions = Vec::new();
        for candidate in candidates.into_iter().take(max_evictions) {
            let required = evictions.len() < count.required;
            if !required && candidate.silence < self.slow_client_max_silence {
                break;
            }
            evictions.push(candidate.index);
        }
        evictions
    }
}

/// A connection that may be evicted.
struct Candidate {
    /// The index in the list of connections.
    index: usize,
    /// The client is in the middle of a request body.
    awaits_body: bool,
    silence: Duration,
}
