//! Which clients' connections are kept and which go, where there is not room for all, or where one has stood for too long
//! without a whole request. No input or output, and no clock.
//!
//! Good clients come with a request and write it, slowly perhaps. A crowd that means no good comes and says nothing, stops in
//! mid-head, or dribbles. From outside a slow client and a bad one differ in one thing only: the slow one goes on. So who has
//! been silent longest makes way, and nobody who has a request being answered ever does.
//!
//! ```
//! use saffronpaddle_crowd::{Limits, Seat};
//! use std::time::Duration;
//! let ms = Duration::from_millis;
//! let silent = Seat { came: ms(0), last: ms(0), head: None, busy: false, asked: false };
//! let writing = Seat { last: ms(900), head: Some(ms(0)), ..silent };
//! let busy = Seat { busy: true, ..silent };
//! assert_eq!(Limits::USUAL.weakest(ms(1000), [&busy, &writing, &silent]), Some(2));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

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
}

impl Limits {
    /// As nodes have them.
    pub const USUAL: Limits = Limits {
        head_within: Duration::from_millis(3000),
        idle_for: Duration::from_millis(2200),
        never_asked: Duration::from_secs(1),
    };

    /// Whether its time is up.
    pub fn over(&self, now: Time, seat: &Seat) -> bool {
        let (since, within) = match seat.head {
            Some(since) => (since, self.head_within),
            None => (seat.last, self.idle_for),
        };
        !seat.busy && now.saturating_sub(since) >= within
    }

    /// Who makes way for one more, by place: who has been silent longest. Nobody who has a request being answered.
    pub fn weakest<'a>(&self, now: Time, seats: impl IntoIterator<Item = &'a Seat>) -> Option<usize> {
        let silent = |seat: &Seat| {
            let silent = now.saturating_sub(seat.last);
            if seat.asked || seat.head.is_some() {
                silent
            } else {
                silent + self.never_asked
            }
        };
        let free = seats.into_iter().enumerate().filter(|(_, seat)| !seat.busy);
        free.max_by_key(|(place, seat)| (silent(seat), std::cmp::Reverse(*place))).map(|(place, _)| place)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const MS: Duration = Duration::from_millis(1);
    const SEAT: Seat =
        Seat { came: Duration::ZERO, last: Duration::ZERO, head: None, busy: false, asked: false };

    #[test]
    fn a_head_has_its_time_from_its_first_byte_on_and_an_idle_connection_its_own() {
        let limits = Limits::USUAL;
        assert!(!limits.over(2199 * MS, &SEAT) && limits.over(2200 * MS, &SEAT));
        // It was idle for long, then began: the head's time counts from there.
        let seat = Seat { last: 2100 * MS, head: Some(2100 * MS), asked: true, ..SEAT };
        assert!(!limits.over(5099 * MS, &seat) && limits.over(5100 * MS, &seat));
        // Dribbling buys no time.
        let seat = Seat { last: 5099 * MS, ..seat };
        assert!(limits.over(5100 * MS, &seat));
        assert!(!limits.over(60_000 * MS, &Seat { busy: true, ..seat }));
    }

    /// A crowd of thousands comes, each of which stops somewhere before the end of its head; slow good clients write a piece
    /// each 200 ms for 2 s. None of them has to go, however the others come.
    #[test]
    fn a_crowd_that_stops_makes_way_for_those_who_go_on() {
        let (limits, most) = (Limits::USUAL, 80);
        let mut seats: Vec<(bool, Seat)> = Vec::new();
        let (mut done, mut lost) = (0, 0);
        for step in 0..10_000u64 {
            let now = 5 * MS * step as u32;
            for (good, seat) in &mut seats {
                if *good && (now - seat.came).as_millis().is_multiple_of(200) {
                    (seat.last, seat.head) = (now, Some(seat.head.unwrap_or(now)));
                }
            }
            let before = seats.len();
            seats.retain(|(good, seat)| !(*good && now - seat.came >= 2000 * MS));
            done += before - seats.len();
            seats.retain(|(good, seat)| {
                let over = limits.over(now, seat);
                lost += usize::from(*good && over);
                !over
            });
            // 200 a second that stop, half of them after some bytes, and 10 that go on.
            let head = (step % 2 == 0).then_some(now);
            let fresh = Seat { came: now, last: now, head, busy: false, asked: false };
            let good = step % 20 == 0;
            if seats.len() >= most {
                let place =
                    limits.weakest(now, seats.iter().map(|(_, seat)| seat)).expect("somebody is free");
                lost += usize::from(seats.remove(place).0);
            }
            seats.push((good, fresh));
        }
        assert!(lost == 0 && done > 400, "{lost} lost, {done} done");
    }

    proptest! {
        #[test]
        fn the_busy_stay_and_somebody_goes_if_anybody_can(
            seats in prop::collection::vec((0u32..5000, any::<bool>(), any::<bool>(), any::<bool>()), 0..30),
        ) {
            let seats: Vec<Seat> = seats.into_iter().map(|(last, head, busy, asked)| {
                let last = last * MS;
                Seat { came: Duration::ZERO, last, head: head.then_some(last), busy, asked }
            }).collect();
            let weakest = Limits::USUAL.weakest(5000 * MS, &seats);
            prop_assert_eq!(weakest.is_some(), seats.iter().any(|seat| !seat.busy));
            prop_assert!(weakest.is_none_or(|place| !seats[place].busy));
        }
    }
}
