use super::*;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const SEAT: Seat = Seat { came: Duration::ZERO, last: Duration::ZERO, head: None, busy: false, asked: false };

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
            let place = limits.weakest(now, seats.iter().map(|(_, seat)| seat)).expect("somebody is free");
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
