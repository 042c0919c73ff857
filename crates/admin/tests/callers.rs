//! Which callers the table closes: the oldest when it is full, and each after its timeout.

use saffronpaddle_admin::CallerTable;
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn the_oldest_caller_is_closed_when_the_table_is_full_and_each_caller_times_out() {
    let mut table = CallerTable::new(2, ms(100));
    let (first, closed) = table.add(ms(0));
    assert_eq!(closed, None);
    let (second, closed) = table.add(ms(10));
    assert_eq!(closed, None);
    let (third, closed) = table.add(ms(20));
    assert_eq!(closed, Some(first), "the oldest caller is closed");
    table.remove(second);
    assert_eq!(table.len(), 1);
    assert_eq!(table.deadline(), Some(ms(120)));
    assert_eq!(table.remove_timed_out(ms(119)), None);
    assert_eq!(table.remove_timed_out(ms(120)), Some(third));
    assert!(table.is_empty() && table.deadline().is_none());
}
