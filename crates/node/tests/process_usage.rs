//! Counts of what the process uses. This is the only test of its process: other tests would open and close descriptors
//! between the counts.

use saffronpaddle_node::process_usage::{
    count_descriptors, count_listed_descriptors, resident_bytes,
};
use std::fs::File;

/// Guards against a count of open descriptors that is too low, which would keep a node ready while it runs out of them.
#[test]
fn open_descriptors_and_resident_memory_are_counted() {
    let before = count_descriptors();
    assert!(before >= 3, "standard input, output and error are open");
    let opened: Vec<File> = (0..5)
        .map(|_| File::open("/proc/self/status").expect("/proc is mounted"))
        .collect();
    assert_eq!(count_descriptors(), before + opened.len() as u64);
    assert_eq!(count_listed_descriptors(), count_descriptors());
    drop(opened);
    assert_eq!(count_descriptors(), before);
    assert!(resident_bytes() > 100_000);
}
