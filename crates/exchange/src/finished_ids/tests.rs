use super::*;

fn id(number: usize) -> RequestId {
    RequestId(format!("r{number}").into())
}

#[test]
fn ids_are_remembered_until_they_are_old() {
    let mut ids = FinishedIds::default();
    ids.record(0, id(0));
    ids.record(MEMORY_DURATION, id(1));
    assert!(ids.contains(&id(0)) && ids.contains(&id(1)));
    ids.record(MEMORY_DURATION + 1, id(2));
    assert!(!ids.contains(&id(0)) && ids.contains(&id(1)));
}

#[test]
fn an_id_that_is_recorded_again_is_remembered_from_then_on() {
    let mut ids = FinishedIds::default();
    ids.record(0, id(0));
    ids.record(MEMORY_DURATION, id(0));
    ids.record(2 * MEMORY_DURATION, id(1));
    assert!(ids.contains(&id(0)));
}

#[test]
fn the_oldest_of_too_many_ids_are_forgotten() {
    let mut ids = FinishedIds::default();
    (0..2 * MAX_IDS).for_each(|number| ids.record(0, id(number)));
    assert_eq!(ids.iter().count(), MAX_IDS);
    assert!(!ids.contains(&id(MAX_IDS - 1)) && ids.contains(&id(MAX_IDS)));
}
