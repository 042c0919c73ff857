//! Which clients' connections are kept and which go, where there is not room for all, or where one has stood for too long
//! without a whole request. No input or output, and no clock.
//!
//! Good clients come with a request and write it, slowly perhaps. A crowd that means no good comes and says nothing, stops in
//! mid-head, or dribbles. From outside a slow client and a bad one differ in one thing only: the slow one goes on. So who has
//! been silent longest makes way, and nobody who has a request being answered ever does.
//! How many make way at once is [`Press`]'s matter; how long a request may have waited for its loop, [`Rounds`]'.
//!
//! ```
//! use saffronpaddle_connection_eviction::{Limits, Seat};
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//! let silent = Seat { came: ms(0), last: ms(0), head: None, busy: false, asked: false };
//! let writing = Seat { last: ms(900), head: Some(ms(0)), ..silent };
//! let busy = Seat { busy: true, ..silent };
//! assert_eq!(Limits::USUAL.weakest(ms(1000), [&busy, &writing, &silent]), Some(2));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod press;
mod rounds;

pub use press::{Press, Way};
pub use rounds::{rested, Rounds};

use std::time::Duration;

/// Since some fixed moment of a clock that never goes back.
pub type Time = Duration;

/// What is seen of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seat {
    /// When it was accepted.
    pub came: Time,
    /// When its last byte came, or its last answer was out.
    pub last: Time,
    /// When the head that is coming began to come.
    pub head: Option<Time>,
    /// A request of it is being taken or answered.
    pub busy: bool,
    /// It has had a request.
    pub asked: bool,
}

/// How long connections are kept without a whole head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// A head from its first byte on. Guards against heads that are dribbled without end; a slow client needs 2 s.
    pub head_within: Duration,
    /// A connection without a byte of a next request. Guards against clients that connect and say nothing.
    pub idle_for: Duration,
    /// One that has never asked counts as silent for so much longer: good clients ask as soon as they come.
    pub never_asked: Duration,
    /// Who has been silent for less may be a slow client that goes on: it makes way for who waits, and not ahead of need.
    pub goes_on: Duration,
}

impl Limits {
    /// As nodes have them.
    pub const USUAL: Limits = Limits {
        head_within: Duration::from_secs(3),
        idle_for: Duration::from_millis(2200),
        never_asked: Duration::from_secs(1),
        goes_on: Duration::from_millis(500),
    };

    /// Whether its time is up.
    pub fn over(&self, now: Time, seat: &Seat) -> bool {
        let (since, within) = match seat.head {
            Some(since) => (since, self.head_within),
            None => (seat.last, self.idle_for),
        };
        !seat.busy && now.saturating_sub(since) >= within
    }

    /// How long one counts as silent.
    fn silent(&self, now: Time, seat: &Seat) -> Duration {
        let silent = now.saturating_sub(seat.last);
        if seat.asked || seat.head.is_some() {
            silent
        } else {
            silent + self.never_asked
        }
    }

    /// Who makes way for one more, by place: who has been silent longest. Nobody who has a request being answered.
    pub fn weakest<'a>(
        &self,
        now: Time,
        seats: impl IntoIterator<Item = &'a Seat>,
    ) -> Option<usize> {
        self.make_way(now, seats, Way { must: 1, may: 0 })
            .first()
            .copied()
    }

    /// Who makes way for several, by place: who has been silent longest first. Nobody who has a request being answered; and ahead
    /// of need nobody who may be a slow client that goes on.
    pub fn make_way<'a>(
        &self,
        now: Time,
        seats: impl IntoIterator<Item = &'a Seat>,
        way: Way,
    ) -> Vec<usize> {
        let free = seats.into_iter().enumerate().filter(|(_, seat)| !seat.busy);
        let mut free: Vec<_> = free
            .map(|(place, seat)| (self.silent(now, seat), place))
            .collect();
        free.sort_unstable_by_key(|(silent, place)| (std::cmp::Reverse(*silent), *place));
        let spared = |(at, (silent, _)): &(usize, (Duration, usize))| {
            *at < way.must || *silent >= self.goes_on
        };
        let going = free
            .into_iter()
            .take(way.must.saturating_add(way.may))
            .enumerate()
            .take_while(spared);
        going.map(|(_, (_, place))| place).collect()
    }
}

#[cfg(test)]
mod tests;
