//! How long bytes may have waited before the event loop reads them.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_connection_eviction::{rested, ReceiveTimeBound};
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
/// The longest sleep that the loop asks for.
const LONGEST_SLEEP: Duration = Duration::from_millis(110);

#[test]
fn what_is_read_was_received_after_the_last_sleep_or_completed_round() {
    let mut sweep = ReceiveTimeBound::NEW;
    sweep.on_sleep(10 * MS);
    sweep.on_wake(60 * MS, LONGEST_SLEEP);
    assert_eq!(sweep.earliest(), 60 * MS);
    assert_eq!(rested(sweep.earliest(), 64 * MS), Duration::ZERO);
    // A long round.
    assert_eq!(rested(sweep.earliest(), 90 * MS), 30 * MS);
    // Bytes were there already: they may have been received at any time of that round.
    sweep.on_sleep(90 * MS);
    sweep.on_wake(90 * MS, LONGEST_SLEEP);
    assert_eq!(sweep.earliest(), 60 * MS);
    // A round that started later has been completed.
    sweep.on_round_completed(91 * MS);
    assert_eq!(sweep.earliest(), 91 * MS);
    // The sleep was longer than asked for: the process was stopped, and bytes may have been received at once.
    sweep.on_sleep(95 * MS);
    sweep.on_wake(2000 * MS, LONGEST_SLEEP);
    assert_eq!(rested(sweep.earliest(), 2000 * MS), 1909 * MS);
    // The kernel reported no event at the wake.
    sweep.on_sleep(2000 * MS);
    sweep.on_wake(2000 * MS, LONGEST_SLEEP);
    assert_eq!(sweep.earliest(), 91 * MS);
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// Whatever a loop does, the earliest time of receipt never goes back, and is never later than now.
    #[test]
    fn the_earliest_time_of_receipt_only_grows(
        steps in prop::collection::vec((0u32..300, 0u8..3), 0..60),
    ) {
        let (mut sweep, mut now, mut before) = (ReceiveTimeBound::NEW, Duration::ZERO, Duration::ZERO);
        for (span, step) in steps {
            now += span * MS;
            match step {
                0 => sweep.on_sleep(now),
                1 => sweep.on_wake(now, LONGEST_SLEEP),
                _ => sweep.on_round_completed(now.saturating_sub(MS)),
            }
            prop_assert!(sweep.earliest() >= before && sweep.earliest() <= now);
            before = sweep.earliest();
        }
    }
}
