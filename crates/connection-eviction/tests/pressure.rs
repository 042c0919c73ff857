//! How many connections are evicted at once.

use saffronpaddle_connection_eviction::{EvictionCount, EvictionPressure};
use std::time::Duration;

/// One millisecond.
const MS: Duration = Duration::from_millis(1);
/// No eviction.
const NONE: EvictionCount = EvictionCount {
    required: 0,
    allowed: 0,
};

#[test]
fn a_single_connection_evicts_one_other_and_a_flood_as_many_as_were_accepted_recently() {
    let mut pressure = EvictionPressure::default();
    pressure.record_accepted(1000 * MS);
    let one = EvictionCount {
        required: 1,
        ..NONE
    };
    assert_eq!(pressure.evictions(1000 * MS, 80, 79, 0), NONE);
    assert_eq!(pressure.evictions(1000 * MS, 80, 80, 0), one);
    assert_eq!(pressure.evictions(1000 * MS, 80, 80, 1), NONE);
    // Half of the limit was assigned to another process: all excess connections must be evicted.
    let half = EvictionCount {
        required: 41,
        ..NONE
    };
    assert_eq!(pressure.evictions(1000 * MS, 40, 80, 0), half);
    (0..9).for_each(|_| pressure.record_accepted(1050 * MS));
    let recent = EvictionCount {
        required: 1,
        allowed: 9,
    };
    assert_eq!(pressure.evictions(1050 * MS, 80, 80, 0), recent);
    (0..1000).for_each(|_| pressure.record_accepted(1090 * MS));
    let quarter = EvictionCount {
        required: 0,
        allowed: 15,
    };
    assert_eq!(pressure.evictions(1090 * MS, 80, 80, 5), quarter);
    // No connections have been accepted recently.
    assert_eq!(pressure.evictions(2000 * MS, 80, 80, 0), one);
}
