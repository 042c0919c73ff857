use super::*;
use crate::record::EndpointStatus;
use std::mem::size_of;

/// Guards the memory use of a list of 40,000 servers. The bound is in bytes per server, without its host name.
#[test]
fn a_stored_endpoint_takes_at_most_136_bytes() {
    let row = size_of::<(Arc<str>, Box<KnownEndpoint>)>();
    let boxed = size_of::<KnownEndpoint>();
    assert!(row + boxed <= 136, "{row} in the table, {boxed} boxed");
}

/// A zone fails, and each of its servers is put in its own revision. All of these revisions arrive in one response.
#[test]
fn events_of_one_response_are_applied_as_one_update() {
    /// The header of the first list.
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
    let mut follower = Follower::new("/board/", EmptyListRules::default());
    let all: Vec<KeyValue> = (0..40_000).map(|number| kv(number, 2, "ready")).collect();
    assert_eq!(
        follower
            .apply_range(HEADER, &all, Time::ZERO, 0)
            .endpoints
            .len(),
        40_000
    );
    let events = (0..4_400).map(|number| kv(number, 11 + number as i64, "draining"));
    let events = events.map(|kv| WatchEvent { delete: false, kv }).collect();
    let header = Header {
        revision: 4_410,
        ..HEADER
    };
    let (change, next) = follower.apply_events(header, events, false, Time::ZERO, 0);
    assert_eq!(
        (change.endpoints.len(), change.snapshot, next),
        (4_400, false, WatchStep::Continue)
    );
    assert!(change
        .endpoints
        .iter()
        .all(|entry| entry.status == EndpointStatus::Draining));
    assert_eq!(
        (follower.host_count(), follower.resume_revision()),
        (40_000, Some(4_411))
    );
}
