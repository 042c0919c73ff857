use super::*;

const MS: Micros = 1_000;
/// Deadline of each request here; its response has begun at 50 ms.
const DEADLINE: Micros = 750 * MS;
const START: Micros = 50 * MS;
/// The latest time at which the client of a short response has to see its end.
const LATEST_END: Micros = DEADLINE + 500 * MS;
/// What makes a response long.
const LONG_BYTES: u64 = 64 * 1024;

/// Gives parts of `bytes` with an interval from `start` on. Returns when the response is ended for want of more, or `None`
/// if it exceeds [`LONG_BYTES`] before.
fn end_of(pace: &mut ResponsePace, start: Micros, bytes: u64, interval: Micros) -> Option<Micros> {
    let mut now = start;
    loop {
        let end = pace.may_go_on_until(DEADLINE);
        if pace.received_bytes > 0 && now >= end {
            return Some(end);
        }
        pace.record_received(now, bytes);
        if pace.received_bytes > LONG_BYTES {
            return None;
        }
        now += interval;
    }
}

#[test]
fn servers_that_go_on_giving_make_a_response_long() {
    for (bytes, interval_ms) in [
        (60_000, 1_000),
        (60_000, 1_900),
        (40_000, 900),
        (25_000, 900),
        (4_096, 55),
        (4_096, 250),
        (512, 40),
        (64, 10),
    ] {
        let end = end_of(&mut ResponsePace::default(), START, bytes, interval_ms * MS);
        assert_eq!(end, None, "{bytes} bytes every {interval_ms} ms");
    }
}

#[test]
fn servers_that_all_but_stop_leave_a_response_short() {
    for (first, bytes, interval_ms) in [
        (40_000, 1, 143),
        (65_000, 1, 200),
        (30, 1, 143),
        (40_000, 5, 1_000),
        (40_000, 1, 50),
        (40_000, 1, 5),
        (100, 300, 100),
    ] {
        let mut pace = ResponsePace::default();
        pace.record_received(START, first);
        let end = end_of(&mut pace, START + interval_ms * MS, bytes, interval_ms * MS);
        assert!(
            end.is_some_and(|end| end <= LATEST_END),
            "{first} bytes, then {bytes} every {interval_ms} ms: {end:?}"
        );
    }
}

#[test]
fn a_response_that_stops_early_is_ended_in_time() {
    for bytes in [1, 1_000, 30_000] {
        let mut pace = ResponsePace::default();
        pace.record_received(START, bytes);
        assert!(
            pace.may_go_on_until(DEADLINE) <= LATEST_END,
            "{bytes} bytes"
        );
    }
}

/// What has come can't tell a long response that pauses from a short one whose server has stopped.
#[test]
fn a_silent_response_that_is_likely_long_may_pause_for_two_seconds() {
    let mut pace = ResponsePace::default();
    pace.record_received(DEADLINE - MS, LIKELY_LONG_BYTES);
    assert_eq!(pace.may_go_on_until(DEADLINE), DEADLINE - MS + MAX_SILENCE);
}
