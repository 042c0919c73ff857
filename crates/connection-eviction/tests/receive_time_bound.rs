//! The lower bound for the time at which bytes were received.

use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;
use saffronpaddle_connection_eviction::{time_unread, ReceiveTimeBound};
use std::time::Duration;

/// One millisecond.
const MS: Duration = Duration::from_millis(1);
/// The longest sleep that the loop requests.
const LONGEST_SLEEP: Duration = Duration::from_millis(110);

#[test]
fn bytes_read_were_received_after_the_last_sleep_or_completed_iteration() {
    let mut bound = ReceiveTimeBound::NEW;
    bound.on_sleep(10 * MS);
    bound.on_wake(60 * MS, LONGEST_SLEEP);
    assert_eq!(bound.earliest(), 60 * MS);
    assert_eq!(time_unread(bound.earliest(), 64 * MS), Duration::ZERO);
    // The iteration takes long.
    assert_eq!(time_unread(bound.earliest(), 90 * MS), 30 * MS);
    // The loop did not sleep, as bytes were available: they may have been received at any time during the iteration.
    bound.on_sleep(90 * MS);
    bound.on_wake(90 * MS, LONGEST_SLEEP);
    assert_eq!(bound.earliest(), 60 * MS);
    // The loop has completed an iteration that started later.
    bound.on_iteration_completed(91 * MS);
    assert_eq!(bound.earliest(), 91 * MS);
    // The sleep was longer than requested: the process was suspended, and bytes may have been received at its start.
    bound.on_sleep(95 * MS);
    bound.on_wake(2000 * MS, LONGEST_SLEEP);
    assert_eq!(time_unread(bound.earliest(), 2000 * MS), 1909 * MS);
    // The loop wakes up without having slept.
    bound.on_sleep(2000 * MS);
    bound.on_wake(2000 * MS, LONGEST_SLEEP);
    assert_eq!(bound.earliest(), 91 * MS);
}

proptest! {
    #![proptest_config(ProptestConfig::with_failure_persistence(
        FileFailurePersistence::WithSource("proptest-regressions")
    ))]

    /// For any sequence of calls, the bound never decreases and is never later than the current time.
    #[test]
    fn the_bound_never_decreases_and_is_never_in_the_future(
        steps in prop::collection::vec((0u32..300, 0u8..3), 0..60),
    ) {
        let (mut bound, mut now, mut before) = (ReceiveTimeBound::NEW, Duration::ZERO, Duration::ZERO);
        for (elapsed_ms, step) in steps {
            now += elapsed_ms * MS;
            match step {
                0 => bound.on_sleep(now),
                1 => bound.on_wake(now, LONGEST_SLEEP),
                _ => bound.on_iteration_completed(now.saturating_sub(MS)),
            }
            prop_assert!(bound.earliest() >= before && bound.earliest() <= now);
            before = bound.earliest();
        }
    }
}

/// Guards against a log that leaves out the time for which a suspended process did not run.
#[test]
fn a_sleep_that_is_longer_than_requested_is_reported_until_the_loop_wakes() {
    let mut bound = ReceiveTimeBound::NEW;
    assert_eq!(bound.overslept(5 * MS, LONGEST_SLEEP), Duration::ZERO);
    bound.on_sleep(10 * MS);
    let wakes_at = 10 * MS + LONGEST_SLEEP + 700 * MS;
    assert_eq!(bound.overslept(wakes_at, LONGEST_SLEEP), 700 * MS);
    bound.on_wake(wakes_at, LONGEST_SLEEP);
    assert_eq!(bound.overslept(wakes_at, LONGEST_SLEEP), Duration::ZERO);
}

/// Guards against time in which the loop could not run that counts as a sleep: bytes that were there before would count as
/// new.
#[test]
fn time_without_a_wait_is_no_sleep() {
    let mut bound = ReceiveTimeBound::NEW;
    bound.on_sleep(10 * MS);
    bound.on_wake(60 * MS, LONGEST_SLEEP);
    bound.on_sleep(700 * MS);
    bound.on_wake_without_wait();
    assert_eq!(bound.earliest(), 60 * MS);
    // A wake-up without a sleep before it changes nothing.
    bound.on_wake(720 * MS, LONGEST_SLEEP);
    assert_eq!(bound.earliest(), 60 * MS);
}
