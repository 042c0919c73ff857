use super::*;
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);
const SEAT: ConnectionState = ConnectionState {
    accepted_at: Duration::ZERO,
    last_active_at: Duration::ZERO,
    head_started_at: None,
    busy: false,
    has_requested: false,
};

#[test]
fn a_head_has_its_time_from_its_first_byte_on_and_an_idle_connection_its_own() {
    let limits = Limits::USUAL;
    assert!(!limits.over(2199 * MS, &SEAT) && limits.over(2200 * MS, &SEAT));
    // It was idle for long, then began: the head's time counts from there.
    let seat = ConnectionState {
        last_active_at: 2100 * MS,
        head_started_at: Some(2100 * MS),
        has_requested: true,
        ..SEAT
    };
    assert!(!limits.over(5099 * MS, &seat) && limits.over(5100 * MS, &seat));
    // Dribbling buys no time.
    let seat = ConnectionState {
        last_active_at: 5099 * MS,
        ..seat
    };
    assert!(limits.over(5100 * MS, &seat));
    assert!(!limits.over(60_000 * MS, &ConnectionState { busy: true, ..seat }));
}

/// Slow good clients write a piece each 200 ms for 2 s; how many have written all.
fn go_on(seats: &mut Vec<(bool, ConnectionState)>, now: Duration) -> usize {
    for (good, seat) in &mut *seats {
        if *good
            && now
                .checked_sub(seat.accepted_at)
                .unwrap()
                .as_millis()
                .is_multiple_of(200)
        {
            (seat.last_active_at, seat.head_started_at) =
                (now, Some(seat.head_started_at.unwrap_or(now)));
        }
    }
    let before = seats.len();
    seats
        .retain(|(good, seat)| !(*good && now.checked_sub(seat.accepted_at).unwrap() >= 2000 * MS));
    before - seats.len()
}

/// A crowd of thousands comes, each of which stops somewhere before the end of its head; slow good clients write a piece
/// each 200 ms for 2 s. None of them has to go, however the others come.
#[test]
fn a_crowd_that_stops_makes_way_for_those_who_go_on() {
    let (limits, most) = (Limits::USUAL, 80);
    let mut seats: Vec<(bool, ConnectionState)> = Vec::new();
    let (mut done, mut lost) = (0, 0);
    for step in 0..10_000u64 {
        let now = 5 * MS * step as u32;
        done += go_on(&mut seats, now);
        seats.retain(|(good, seat)| {
            let over = limits.over(now, seat);
            lost += usize::from(*good && over);
            !over
        });
        // 200 a second that stop, half of them after some bytes, and 10 that go on.
        let head = (step % 2 == 0).then_some(now);
        let fresh = ConnectionState {
            accepted_at: now,
            last_active_at: now,
            head_started_at: head,
            busy: false,
            has_requested: false,
        };
        let good = step % 20 == 0;
        if seats.len() >= most {
            let place = limits
                .weakest_connection(now, seats.iter().map(|(_, seat)| seat))
                .expect("somebody is free");
            lost += usize::from(seats.remove(place).0);
        }
        seats.push((good, fresh));
    }
    assert!(lost == 0 && done > 400, "{lost} lost, {done} done");
}

proptest! {
    /// As many go as are needed, if so many are free; ahead of need at most a share, and nobody who may go on. No more descriptors
    /// are ever in use than there are places, once those who were told have gone.
    #[test]
    fn as_many_make_way_as_are_needed_and_who_goes_on_is_spared_ahead_of_need(
        seats in prop::collection::vec((0u32..5000, any::<bool>(), any::<bool>(), any::<bool>()), 0..60),
        most in 1usize..60, came in 0usize..200, going in 0usize..60,
    ) {
        let now = 5000 * MS;
        let seats: Vec<ConnectionState> = seats.into_iter().map(|(last, head, busy, asked)| {
            let last = last * MS;
            ConnectionState { accepted_at: Duration::ZERO, last_active_at: last, head_started_at: head.then_some(last), busy, has_requested: asked }
        }).collect();
        let mut press = EvictionPressure::default();
        (0..came).for_each(|_| press.accepted(now));
        let going = going.min(seats.iter().filter(|seat| seat.busy).count());
        let way = press.evictions(now, most, seats.len(), going);
        let needed = (seats.len() + 1).saturating_sub(most);
        prop_assert_eq!(way.required, needed.saturating_sub(going));
        prop_assert!(needed > 0 || way.allowed == 0);
        prop_assert!(way.allowed == 0 || way.required + way.allowed + going <= needed.max(most / 4));
        let places = Limits::USUAL.choose_evictions(now, &seats, way);
        let free = seats.iter().filter(|seat| !seat.busy).count();
        prop_assert!(places.len() >= way.required.min(free) && places.len() <= way.required + way.allowed);
        let mut once = places.clone();
        once.sort_unstable();
        once.dedup();
        prop_assert_eq!(once.len(), places.len());
        prop_assert!(places.iter().all(|place| !seats[*place].busy));
        for place in places.iter().skip(way.required) {
            prop_assert!(Limits::USUAL.silent(now, &seats[*place]) >= Limits::USUAL.goes_on);
        }
        // Nobody stays who has been silent for longer than one who goes.
        let silent = |place: usize| Limits::USUAL.silent(now, &seats[place]);
        let stays = (0..seats.len()).filter(|place| !seats[*place].busy && !places.contains(place));
        let longest = stays.map(silent).max().unwrap_or_default();
        prop_assert!(places.iter().all(|place| silent(*place) >= longest));
    }

    /// Whatever a loop does, what it takes for the earliest moment never goes back, and is never later than now.
    #[test]
    fn what_is_known_of_a_loops_rounds_only_grows(
        steps in prop::collection::vec((0u32..300, 0u8..3), 0..60),
    ) {
        let (mut rounds, mut now, mut before) = (IdleSweep::NEW, Duration::ZERO, Duration::ZERO);
        for (span, what) in steps {
            now += span * MS;
            match what {
                0 => rounds.sleeps(now),
                1 => rounds.wakes(now, 110 * MS),
                _ => rounds.passed(now.saturating_sub(MS)),
            }
            prop_assert!(rounds.since() >= before && rounds.since() <= now);
            before = rounds.since();
        }
    }

    #[test]
    fn the_busy_stay_and_somebody_goes_if_anybody_can(
        seats in prop::collection::vec((0u32..5000, any::<bool>(), any::<bool>(), any::<bool>()), 0..30),
    ) {
        let seats: Vec<ConnectionState> = seats.into_iter().map(|(last, head, busy, asked)| {
            let last = last * MS;
            ConnectionState { accepted_at: Duration::ZERO, last_active_at: last, head_started_at: head.then_some(last), busy, has_requested: asked }
        }).collect();
        let weakest_connection = Limits::USUAL.weakest_connection(5000 * MS, &seats);
        prop_assert_eq!(weakest_connection.is_some(), seats.iter().any(|seat| !seat.busy));
        prop_assert!(weakest_connection.is_none_or(|place| !seats[place].busy));
    }
}

/// The same crowd, let in as fast as it comes, with many sent away at once.
#[test]
fn a_crowd_that_makes_way_in_batches_costs_no_slow_client_its_place() {
    let (limits, most) = (Limits::USUAL, 80);
    let (mut seats, mut press): (Vec<(bool, ConnectionState)>, _) =
        (Vec::new(), EvictionPressure::default());
    let (mut done, mut lost, mut batches) = (0, 0, 0);
    for step in 0..2000u64 {
        let now = 5 * MS * step as u32;
        done += go_on(&mut seats, now);
        // 200 a second that stop, half of them after some bytes; 10 that go on; and now and then 300 at once that say nothing.
        let burst = if step % 200 == 100 { 300 } else { 0 };
        let head = (step % 2 == 0).then_some(now);
        let fresh = ConnectionState {
            accepted_at: now,
            last_active_at: now,
            head_started_at: head,
            busy: false,
            has_requested: false,
        };
        let silent = ConnectionState {
            head_started_at: None,
            ..fresh
        };
        let good = (step % 20 == 0, fresh);
        for (good, seat) in (0..burst).map(|_| (false, silent)).chain([good]) {
            press.accepted(now);
            let way = press.evictions(now, most, seats.len(), 0);
            let places = limits.choose_evictions(now, seats.iter().map(|(_, seat)| seat), way);
            batches += usize::from(places.len() > 1);
            let mut at = 0;
            seats.retain(|(good, _)| {
                at += 1;
                let goes = places.contains(&(at - 1));
                lost += usize::from(*good && goes);
                !goes
            });
            assert!(seats.len() < most);
            seats.push((good, seat));
        }
    }
    // Each of the 80 that came two seconds or more before the end.
    assert!(
        lost == 0 && done == 80 && batches > 50,
        "{lost} lost, {done} done, {batches} batches"
    );
}

#[test]
fn one_newcomer_takes_one_place_and_a_crowd_as_many_as_came_lately() {
    let mut press = EvictionPressure::default();
    press.accepted(1000 * MS);
    assert_eq!(
        press.evictions(1000 * MS, 80, 79, 0),
        EvictionCount::default()
    );
    assert_eq!(
        press.evictions(1000 * MS, 80, 80, 0),
        EvictionCount {
            required: 1,
            allowed: 0
        }
    );
    assert_eq!(
        press.evictions(1000 * MS, 80, 80, 1),
        EvictionCount::default()
    );
    // Half of the places went to another process: as many have to go.
    assert_eq!(
        press.evictions(1000 * MS, 40, 80, 0),
        EvictionCount {
            required: 41,
            allowed: 0
        }
    );
    (0..9).for_each(|_| press.accepted(1050 * MS));
    assert_eq!(
        press.evictions(1050 * MS, 80, 80, 0),
        EvictionCount {
            required: 1,
            allowed: 9
        }
    );
    (0..1000).for_each(|_| press.accepted(1090 * MS));
    assert_eq!(
        press.evictions(1090 * MS, 80, 80, 5),
        EvictionCount {
            required: 0,
            allowed: 15
        }
    );
    // It is over.
    assert_eq!(
        press.evictions(2000 * MS, 80, 80, 0),
        EvictionCount {
            required: 1,
            allowed: 0
        }
    );
}

#[test]
fn what_is_read_came_after_the_loops_last_sleep_or_round() {
    let longest = 110 * MS;
    let mut rounds = IdleSweep::NEW;
    rounds.sleeps(10 * MS);
    rounds.wakes(60 * MS, longest);
    assert_eq!(
        (rounds.since(), rested(rounds.since(), 64 * MS)),
        (60 * MS, Duration::ZERO)
    );
    // A long turn of work.
    assert_eq!(rested(rounds.since(), 90 * MS), 30 * MS);
    // Something lay there already: it may have come at any time of that turn.
    rounds.sleeps(90 * MS);
    rounds.wakes(90 * MS, longest);
    assert_eq!(rounds.since(), 60 * MS);
    // A round that began later has gone by.
    rounds.passed(91 * MS);
    assert_eq!(rounds.since(), 91 * MS);
    // It slept for longer than it asked to: it was stopped, and something may have come at once.
    rounds.sleeps(95 * MS);
    rounds.wakes(2000 * MS, longest);
    assert_eq!(rested(rounds.since(), 2000 * MS), 1909 * MS);
    // The machine told of nothing as it woke.
    rounds.sleeps(2000 * MS);
    rounds.wakes(2000 * MS, longest);
    assert_eq!(rounds.since(), 91 * MS);
}
