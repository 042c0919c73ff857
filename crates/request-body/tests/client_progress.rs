//! When a client that sends a body counts as stopped.

use proptest::prelude::*;
use saffronpaddle_request_body::{ClientProgress, MAX_SILENCE};
use std::time::Duration;

/// The rate of a slow client, in bytes per second.
const SLOW_BYTES_PER_SECOND: usize = 64_000;
/// How often a client sends single bytes.
const SINGLE_BYTE_INTERVAL: Duration = Duration::from_millis(10);

/// Guards against a client that holds its connection for as long as all that it has sent would allow.
#[test]
fn a_client_that_stops_is_recognized_after_its_silence_however_much_it_sent() {
    for bytes in [0, 1, 70_000, 10_000_000] {
        let mut progress = ClientProgress::default();
        progress.record_received(Duration::ZERO, bytes);
        assert_eq!(progress.time_left(), MAX_SILENCE, "{bytes} bytes");
    }
}

#[test]
fn a_client_that_sends_single_bytes_lasts_little_longer_than_one_that_sends_nothing() {
    let mut progress = ClientProgress::default();
    let mut lasted = Duration::ZERO;
    while progress.time_left() > SINGLE_BYTE_INTERVAL {
        progress.record_received(SINGLE_BYTE_INTERVAL, 1);
        lasted += SINGLE_BYTE_INTERVAL;
    }
    assert!(
        lasted < MAX_SILENCE + Duration::from_millis(100),
        "{lasted:?}"
    );
}

/// A node that is late, or has no room, does not wait for its client.
#[test]
fn a_client_whose_bytes_were_there_already_uses_no_time_up() {
    let mut progress = ClientProgress::default();
    progress.record_received(MAX_SILENCE / 2, 1);
    let left = progress.time_left();
    for _ in 0..1000 {
        progress.record_received(Duration::ZERO, 1);
        assert!(progress.time_left() >= left);
    }
}

proptest! {
    /// A client of the slow rate is never cut off, in whichever pieces it sends, if none takes longer than a second.
    #[test]
    fn a_slow_client_is_never_cut_off(pieces in prop::collection::vec(1..SLOW_BYTES_PER_SECOND, 1..200)) {
        let mut progress = ClientProgress::default();
        for bytes in pieces {
            let waited = Duration::from_secs_f64(bytes as f64 / SLOW_BYTES_PER_SECOND as f64);
            prop_assert!(waited < progress.time_left());
            progress.record_received(waited, bytes);
        }
    }
}
