use super::*;
use crate::record::EndpointStatus;
use std::mem::size_of;

/// A list of 40,000 servers has to fit in memory. The bound, in bytes of one server without its name, makes growth show.
#[test]
fn a_server_takes_few_bytes() {
    let row = size_of::<(Arc<str>, Box<KnownEndpoint>)>();
    let boxed = size_of::<KnownEndpoint>();
    assert!(row + boxed <= 136, "{row} in the table, {boxed} boxed");
}

/// A zone fails at one moment, and each of its servers is put in a revision of its own.
#[test]
fn events_of_one_response_are_one_change_of_the_servers_that_they_name() {
    /// Of the first list.
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
