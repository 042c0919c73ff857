use super::*;
use std::mem::size_of;

/// Bytes of one server in the table and beside it, its name aside. A bound: growth is to be seen, not forbidden.
#[test]
fn a_server_costs_few_bytes() {
    let (row, held) = (size_of::<(Arc<str>, Box<Held>)>(), size_of::<Held>());
    assert!(row + held <= 136, "{row} in the table, {held} beside it");
}

/// A zone that goes at one instant, each server by a revision of its own.
#[test]
fn changes_that_come_in_one_response_are_one_change_that_costs_what_it_names() {
    const HEADER: Header = Header {
        cluster_id: 1,
        member_id: 1,
        revision: 10,
        raft_term: 1,
    };
    let value = |health: &str| {
        format!(r#"{{"dial":"10.0.0.1:80","site":"a","health":"{health}"}}"#).into_bytes()
    };
    let kv = |number: usize, revision: i64, health: &str| KeyValue {
        key: format!("/board/s-{number}").into_bytes(),
        value: value(health),
        create_revision: 2,
        mod_revision: revision,
    };
    let mut follower = Follower::new("/board/", Rules::default());
    let all: Vec<KeyValue> = (0..40_000).map(|number| kv(number, 2, "ready")).collect();
    assert_eq!(
        follower.range(HEADER, &all, Time::ZERO, 0).endpoints.len(),
        40_000
    );
    let events = (0..4_400).map(|number| kv(number, 11 + number as i64, "draining"));
    let events = events.map(|kv| WatchEvent { delete: false, kv }).collect();
    let header = Header {
        revision: 4_410,
        ..HEADER
    };
    let (change, next) = follower.events(header, events, false, Time::ZERO, 0);
    assert_eq!(
        (change.endpoints.len(), change.snapshot, next),
        (4_400, false, WatchStep::Continue)
    );
    assert!(change
        .endpoints
        .iter()
        .all(|entry| entry.status == EndpointStatus::Draining));
    assert_eq!((follower.hosts(), follower.resume()), (40_000, Some(4_411)));
}
