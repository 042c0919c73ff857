use super::*;

#[test]
fn who_waits_longest_makes_way_and_who_stays_too_long_goes() {
    let (ms, mut desk) = (
        Duration::from_millis,
        CallerTable::new(2, Duration::from_millis(100)),
    );
    let (first, goes) = desk.arrived(ms(0));
    assert_eq!(goes, None);
    let (second, goes) = desk.arrived(ms(10));
    assert_eq!(goes, None);
    let (third, goes) = desk.arrived(ms(20));
    assert_eq!(goes, Some(first));
    desk.left(second);
    assert_eq!(
        (desk.len(), desk.deadline(), desk.stale(ms(119))),
        (1, Some(ms(120)), None)
    );
    assert_eq!(desk.stale(ms(120)), Some(third));
    assert!(desk.is_empty() && desk.deadline().is_none());
}
