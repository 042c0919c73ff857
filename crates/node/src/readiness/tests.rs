use super::*;

#[test]
fn descriptors_and_memory_in_use_are_counted() {
    let before = descriptors();
    let more: Vec<_> = (0..5)
        .map(|_| fs::File::open("/proc/self/status").expect("it is there"))
        .collect();
    assert!(
        before >= 3 && descriptors() >= before + more.len() as u64 - 2,
        "others may close some"
    );
    assert!(
        listed_descriptors().abs_diff(descriptors()) <= 3,
        "both ways of counting agree"
    );
    assert!(resident() > 100_000);
}
