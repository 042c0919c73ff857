use super::*;

#[test]
fn open_descriptors_and_resident_memory_are_counted() {
    let before = count_descriptors();
    let opened: Vec<_> = (0..5)
        .map(|_| fs::File::open("/proc/self/status").expect("/proc is mounted"))
        .collect();
    assert!(
        before >= 3 && count_descriptors() >= before + opened.len() as u64 - 2,
        "counts the opened files; concurrent tests may close up to two descriptors"
    );
    assert!(
        count_listed_descriptors().abs_diff(count_descriptors()) <= 3,
        "the directory size and the listing agree"
    );
    assert!(resident_bytes() > 100_000);
}
