//! Merging of the endpoint lists of several sources.

mod support;

use saffronpaddle_endpoints::*;
use support::*;

/// Returns an update of one host that listens at `port`.
fn update_of(host: &str, status: EndpointStatus, port: u16, started_at_ms: u64) -> EndpointUpdate {
    let record = EndpointRecord {
        host: host.into(),
        address: ([127, 0, 0, 1], port).into(),
        zone: "a".into(),
        domain: 1,
        status,
        weight: 1.0,
        started_at_ms,
    };
    EndpointUpdate {
        endpoints: vec![record],
        received_at: ms(1),
        snapshot: false,
    }
}

#[test]
fn the_most_restrictive_status_of_contradicting_sources_wins() {
    use EndpointStatus::{Draining, Ready, Removed};
    use Source::{Discovery, Etcd};
    for first in [Ready, Draining, Removed] {
        for second in [Ready, Draining, Removed] {
            let mut merge = MergedList::new();
            // Both sources list the host before they contradict each other.
            merge.apply(Discovery, update_of("a", Ready, 80, 0));
            merge.apply(Etcd, update_of("a", Ready, 90, 0));
            let mut last = Ready;
            for update in [
                merge.apply(Discovery, update_of("a", first, 80, 0)),
                merge.apply(Etcd, update_of("a", second, 90, 0)),
            ] {
                last = update.endpoints.first().map_or(last, |entry| entry.status);
            }
            assert_eq!(last, first.max(second), "{first:?} and {second:?}");
        }
    }
}

#[test]
fn a_source_is_considered_only_for_hosts_that_it_has_listed() {
    use Source::{Discovery, Etcd};
    let mut merge = MergedList::new();
    let update = merge.apply(Etcd, update_of("a", EndpointStatus::Ready, 90, 5));
    assert_eq!(
        (
            update.endpoints[0].status,
            update.endpoints[0].address.port()
        ),
        (EndpointStatus::Ready, 90)
    );
    // A complete list of discovery lacks `a`, which discovery has never listed.
    let complete = EndpointUpdate {
        snapshot: true,
        ..update_of("b", EndpointStatus::Ready, 80, 0)
    };
    assert_eq!(
        statuses(&merge.apply(Discovery, complete)),
        [("b", EndpointStatus::Ready)].into()
    );
    // Once discovery has listed `a`, a complete list without it removes it. The address is discovery's; the later start
    // wins.
    let update = merge.apply(Discovery, update_of("a", EndpointStatus::Ready, 80, 3));
    assert_eq!(
        (
            update.endpoints[0].address.port(),
            update.endpoints[0].started_at_ms
        ),
        (80, 5)
    );
    let complete = EndpointUpdate {
        snapshot: true,
        ..update_of("b", EndpointStatus::Ready, 80, 0)
    };
    assert_eq!(
        statuses(&merge.apply(Discovery, complete)),
        [("a", EndpointStatus::Removed)].into()
    );
    assert!(merge
        .apply(Etcd, update_of("a", EndpointStatus::Ready, 91, 9))
        .endpoints
        .iter()
        .all(|entry| entry.status == EndpointStatus::Removed));
    // When both sources have removed it, its state is dropped and it may be listed again.
    merge.apply(Etcd, update_of("a", EndpointStatus::Removed, 91, 9));
    assert_eq!(merge.host_count(), 1);
    assert_eq!(
        statuses(&merge.apply(Etcd, update_of("a", EndpointStatus::Ready, 91, 9))),
        [("a", EndpointStatus::Ready)].into()
    );
}

#[test]
fn an_unchanged_record_yields_no_update() {
    let mut merge = MergedList::new();
    assert_eq!(
        merge
            .apply(Source::Etcd, update_of("a", EndpointStatus::Ready, 80, 0))
            .endpoints
            .len(),
        1
    );
    assert!(merge
        .apply(Source::Etcd, update_of("a", EndpointStatus::Ready, 80, 0))
        .endpoints
        .is_empty());
    assert!(merge
        .apply(
            Source::Discovery,
            update_of("a", EndpointStatus::Ready, 80, 0)
        )
        .endpoints
        .is_empty());
    assert_eq!(merge.contradictions(), 0);
}
