//! Which clients' connections are kept and which go, where there is not room for all, or where one has stood for too long
//! without a whole request. No input or output, and no clock.
//!
//! Good clients come with a request and write it, slowly perhaps. A crowd that means no good comes and says nothing, stops in
//! mid-head, or dribbles. From outside a slow client and a bad one differ in one thing only: the slow one goes on. So who has
//! been silent longest makes way, and nobody who has a request being answered ever does.
//! How many make way at once is [`EvictionPressure`]'s matter; how long a request may have waited for its loop, [`IdleSweep`]'.
//!
//! ```
//! use saffronpaddle_connection_eviction::{Limits, ConnectionState};
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//! let silent = ConnectionState { accepted_at: ms(0), last_active_at: ms(0), head_started_at: None, busy: false, has_requested: false };
//! let writing = ConnectionState { last_active_at: ms(900), head_started_at: Some(ms(0)), ..silent };
//! let busy = ConnectionState { busy: true, ..silent };
//! assert_eq!(Limits::USUAL.weakest_connection(ms(1000), [&busy, &writing, &silent]), Some(2));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod press;
mod rounds;

pub use press::{EvictionCount, EvictionPressure};
pub use rounds::{rested, IdleSweep};

use std::time::Duration;

/// Since some fixed moment of a clock that never goes back.
pub type Time = Duration;

/// What is seen of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionState {
    /// When it was accepted.
    pub accepted_at: Time,
    /// When its last byte came, or its last answer was out.
    pub last_active_at: Time,
    /// When the head that is coming began to come.
    pub head_started_at: Option<Time>,
    /// A request of it is being taken or answered.
    pub busy: bool,
    /// It has had a request.
    pub has_requested: bool,
}

/// How long connections are kept without a whole head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A head from its first byte on. Guards against heads that are dribbled without end; a slow client needs 2 s.
    pub head_timeout: Duration,
    /// A connection without a byte of a next request. Guards against clients that connect and say nothing.
    pub idle_timeout: Duration,
    /// One that has never asked counts as silent for so much longer: good clients ask as soon as they come.
    pub first_request_timeout: Duration,
    /// Who has been silent for less may be a slow client that goes on: it makes way for who waits, and not ahead of need.
    pub goes_on: Duration,
}

impl Limits {
    /// As nodes have them.
    pub const USUAL: Limits = Limits {
        head_timeout: Duration::from_secs(3),
        idle_timeout: Duration::from_millis(2200),
        first_request_timeout: Duration::from_secs(1),
        goes_on: Duration::from_millis(500),
    };

    /// Whether its time is up.
    pub fn over(&self, now: Time, seat: &ConnectionState) -> bool {
        let (since, within) = match seat.head_started_at {
            Some(since) => (since, self.head_timeout),
            None => (seat.last_active_at, self.idle_timeout),
        };
        !seat.busy && now.saturating_sub(since) >= within
    }

    /// How long one counts as silent.
    fn silent(&self, now: Time, seat: &ConnectionState) -> Duration {
        let silent = now.saturating_sub(seat.last_active_at);
        if seat.has_requested || seat.head_started_at.is_some() {
            silent
        } else {
            silent + self.first_request_timeout
        }
    }

    /// Who makes way for one more, by place: who has been silent longest. Nobody who has a request being answered.
    pub fn weakest_connection<'a>(
        &self,
        now: Time,
        seats: impl IntoIterator<Item = &'a ConnectionState>,
    ) -> Option<usize> {
        self.choose_evictions(
            now,
            seats,
            EvictionCount {
                required: 1,
                allowed: 0,
            },
        )
        .first()
        .copied()
    }

    /// Who makes way for several, by place: who has been silent longest first. Nobody who has a request being answered; and ahead
    /// of need nobody who may be a slow client that goes on.
    pub fn choose_evictions<'a>(
        &self,
        now: Time,
        seats: impl IntoIterator<Item = &'a ConnectionState>,
        way: EvictionCount,
    ) -> Vec<usize> {
        let free = seats.into_iter().enumerate().filter(|(_, seat)| !seat.busy);
        let mut free: Vec<_> = free
            .map(|(place, seat)| (self.silent(now, seat), place))
            .collect();
        free.sort_unstable_by_key(|(silent, place)| (std::cmp::Reverse(*silent), *place));
        let spared = |(at, (silent, _)): &(usize, (Duration, usize))| {
            *at < way.required || *silent >= self.goes_on
        };
        let going = free
            .into_iter()
            .take(way.required.saturating_add(way.allowed))
            .enumerate()
            .take_while(spared);
        going.map(|(_, (_, place))| place).collect()
    }
}

#[cfg(test)]
mod tests;
