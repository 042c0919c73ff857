//! The roster from etcd's revisions: each hard case by name.

use saffronpaddle_endpoints::follower::FollowerStats;
use saffronpaddle_endpoints::*;
use std::collections::BTreeMap;
use std::time::Duration;

const CLUSTER: u64 = 0xc1;
const NOW: u64 = 1_800_000_000_000;

const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn header(revision: i64) -> Header {
    Header {
        cluster_id: CLUSTER,
        member_id: 1,
        revision,
        raft_term: 5,
    }
}

fn value(dial: u16, health: &str, born_ms: u64) -> Vec<u8> {
    format!(
        r#"{{"dial":"127.0.0.1:{dial}","site":"a","class":"k","block":3,"health":"{health}","born_ms":{born_ms}}}"#
    )
    .into_bytes()
}

fn kv(host: &str, create: i64, revision: i64, value: Vec<u8>) -> KeyValue {
    let key = format!("/board/{host}").into_bytes();
    KeyValue {
        key,
        value,
        create_revision: create,
        mod_revision: revision,
    }
}

fn put(host: &str, create: i64, revision: i64, health: &str) -> WatchEvent {
    WatchEvent {
        delete: false,
        kv: kv(host, create, revision, value(80, health, 7)),
    }
}

fn delete(host: &str, revision: i64) -> WatchEvent {
    WatchEvent {
        delete: true,
        kv: kv(host, 0, revision, Vec::new()),
    }
}

/// Three servers, known at revision 10.
fn three() -> Follower {
    let mut follower = Follower::new("/board/", Rules::default());
    let kvs: Vec<_> = ["a", "b", "c"]
        .into_iter()
        .map(|host| kv(host, 2, 3, value(80, "ready", 7)))
        .collect();
    let change = follower.range(header(10), &kvs, ms(1), NOW);
    assert!(change.snapshot && change.endpoints.len() == 3);
    follower
}

fn standings(change: &EndpointUpdate) -> BTreeMap<&str, EndpointStatus> {
    change
        .endpoints
        .iter()
        .map(|entry| (&entry.host[..], entry.status))
        .collect()
}

/// Takes in one whole response.
fn take(follower: &mut Follower, revision: i64, events: Vec<WatchEvent>) -> EndpointUpdate {
    let (change, next) = follower.events(header(revision), events, false, ms(100), NOW);
    assert_eq!(next, WatchStep::Continue);
    change
}

#[test]
fn what_is_told_counts_from_the_moment_it_was_read() {
    let mut follower = three();
    let (change, _) = follower.events(
        header(11),
        vec![put("a", 2, 11, "draining")],
        false,
        ms(777),
        NOW,
    );
    assert_eq!(
        (change.received_at, standings(&change)["a"]),
        (ms(777), EndpointStatus::Draining)
    );
}

#[test]
fn several_keys_in_one_revision_are_one_change() {
    let mut follower = three();
    let events = vec![
        put("a", 2, 11, "draining"),
        delete("b", 11),
        put("d", 11, 11, "ready"),
    ];
    let change = take(&mut follower, 11, events);
    let expected = [
        ("a", EndpointStatus::Draining),
        ("b", EndpointStatus::Removed),
        ("d", EndpointStatus::Ready),
    ];
    assert_eq!(standings(&change), expected.into());
    assert_eq!(follower.resume(), Some(12));
}

#[test]
fn a_stream_that_breaks_resumes_from_the_next_revision_and_old_events_are_passed_over() {
    let mut follower = three();
    take(&mut follower, 11, vec![put("a", 2, 11, "draining")]);
    follower.reconnected();
    assert_eq!(follower.resume(), Some(12));
    // A member that tells more than was asked for.
    let change = take(
        &mut follower,
        12,
        vec![
            put("a", 2, 11, "draining"),
            put("a", 2, 9, "ready"),
            delete("b", 12),
        ],
    );
    assert_eq!(standings(&change), [("b", EndpointStatus::Removed)].into());
    assert_eq!(follower.seen().old, 2);
    let change = take(&mut follower, 12, vec![delete("b", 12)]);
    assert!(change.endpoints.is_empty(), "twice is once");
}

/// In the gap one server began to drain, another was removed and a third one came.
#[test]
fn compaction_past_our_revision_is_a_range_and_its_difference_counts_as_told_then() {
    let mut follower = three();
    assert_eq!(follower.compacted(500), WatchStep::Reread("compacted"));
    let kvs = [
        kv("a", 2, 400, value(80, "draining", 7)),
        kv("c", 2, 3, value(80, "ready", 7)),
        kv("d", 450, 450, value(80, "ready", 0)),
    ];
    let change = follower.range(header(600), &kvs, ms(900), NOW);
    let expected = [
        ("a", EndpointStatus::Draining),
        ("b", EndpointStatus::Removed),
        ("d", EndpointStatus::Ready),
    ];
    assert_eq!(
        (standings(&change), change.received_at, change.snapshot),
        (expected.into(), ms(900), false)
    );
    let new = change
        .endpoints
        .iter()
        .find(|entry| &*entry.host == "d")
        .expect("it is told");
    assert_eq!(
        new.started_at_ms, NOW,
        "it came in the gap and tells no start of its own: cold"
    );
    assert_eq!(follower.resume(), Some(601));
}

#[test]
fn a_reconnect_between_a_drain_and_its_last_fragment_loses_neither() {
    let mut follower = three();
    let drain = vec![put("a", 2, 11, "draining"), delete("c", 11)];
    let (change, next) = follower.events(header(11), drain.clone(), true, ms(50), NOW);
    // Told at once; a removal as a drain until all is there.
    let expected = [
        ("a", EndpointStatus::Draining),
        ("c", EndpointStatus::Draining),
    ];
    assert_eq!(
        (standings(&change), next),
        (expected.into(), WatchStep::Continue)
    );
    follower.reconnected();
    assert_eq!(
        follower.resume(),
        Some(11),
        "the revision is asked for again, whole"
    );
    let (first, _) = follower.events(header(11), drain, true, ms(200), NOW);
    let (change, _) = follower.events(header(11), vec![delete("b", 11)], false, ms(210), NOW);
    assert_eq!(first.received_at, ms(200));
    let expected = [
        ("a", EndpointStatus::Draining),
        ("b", EndpointStatus::Removed),
        ("c", EndpointStatus::Removed),
    ];
    assert_eq!(
        (standings(&change), change.received_at),
        (expected.into(), ms(200)),
        "told with its first fragment"
    );
    assert_eq!(follower.resume(), Some(12));
}

#[test]
fn a_drain_that_the_same_response_takes_back_is_taken_back() {
    let mut follower = three();
    let (change, _) = follower.events(
        header(12),
        vec![put("a", 2, 11, "draining")],
        true,
        ms(50),
        NOW,
    );
    assert_eq!(standings(&change)["a"], EndpointStatus::Draining);
    let (change, _) = follower.events(
        header(12),
        vec![put("a", 2, 12, "ready")],
        false,
        ms(60),
        NOW,
    );
    assert_eq!(standings(&change), [("a", EndpointStatus::Ready)].into());
}

/// Same host, new process: it is cold again, also where its value tells no start of its own.
#[test]
fn a_lease_that_expires_and_is_granted_anew_makes_a_server_cold_again() {
    for (born, expected) in [(0, NOW), (NOW - 50, NOW - 50)] {
        let mut follower = three();
        assert_eq!(
            standings(&take(&mut follower, 20, vec![delete("a", 20)]))["a"],
            EndpointStatus::Removed
        );
        let again = WatchEvent {
            delete: false,
            kv: kv("a", 21, 21, value(80, "ready", born)),
        };
        let change = take(&mut follower, 21, vec![again]);
        assert_eq!(
            (
                change.endpoints[0].status,
                change.endpoints[0].started_at_ms
            ),
            (EndpointStatus::Ready, expected)
        );
        // A later word of the same process makes it no younger.
        let later = WatchEvent {
            delete: false,
            kv: kv("a", 21, 22, value(81, "ready", 0)),
        };
        let change = take(&mut follower, 22, vec![later]);
        assert_eq!(
            (
                change.endpoints[0].address.port(),
                change.endpoints[0].started_at_ms
            ),
            (81, expected)
        );
    }
}

#[test]
fn put_delete_and_put_of_one_key_inside_one_response_end_as_the_last_says() {
    let mut follower = three();
    let last = WatchEvent {
        delete: false,
        kv: kv("a", 13, 13, value(90, "ready", 0)),
    };
    let change = take(
        &mut follower,
        13,
        vec![put("a", 2, 11, "draining"), delete("a", 12), last],
    );
    assert_eq!(change.endpoints.len(), 1);
    let entry = &change.endpoints[0];
    assert_eq!(
        (entry.status, entry.address.port(), entry.started_at_ms),
        (EndpointStatus::Ready, 90, NOW),
        "a new process"
    );
    let change = take(
        &mut follower,
        15,
        vec![put("a", 13, 14, "ready"), delete("a", 15)],
    );
    assert_eq!(standings(&change), [("a", EndpointStatus::Removed)].into());
}

#[test]
fn a_value_that_can_not_be_read_keeps_the_last_good_entry_and_is_told_once() {
    let mut follower = three();
    for (revision, bad) in [
        (11, &b"{"[..]),
        (12, br#"{"dial":"nowhere","site":"a"}"#),
        (13, &[0xff; 5000]),
    ] {
        let event = WatchEvent {
            delete: false,
            kv: kv("a", 2, revision, bad.to_vec()),
        };
        assert!(take(&mut follower, revision, vec![event])
            .endpoints
            .is_empty());
    }
    let logs = follower.logs();
    assert!(logs.len() == 1 && logs[0].contains("/board/a"), "{logs:?}");
    assert_eq!((follower.seen().unreadable, follower.hosts()), (3, 3));
    // Good again, and bad once more: told anew.
    assert_eq!(
        standings(&take(&mut follower, 14, vec![put("a", 2, 14, "draining")]))["a"],
        EndpointStatus::Draining
    );
    let event = WatchEvent {
        delete: false,
        kv: kv("a", 2, 15, b"x".to_vec()),
    };
    take(&mut follower, 15, vec![event]);
    assert_eq!(follower.logs().len(), 1);
    // One that was never good is not listed, and its removal tells nothing.
    let event = WatchEvent {
        delete: false,
        kv: kv("new", 16, 16, b"x".to_vec()),
    };
    assert!(take(&mut follower, 16, vec![event]).endpoints.is_empty());
    assert!(take(&mut follower, 17, vec![delete("new", 17)])
        .endpoints
        .is_empty());
}

#[test]
fn keys_that_name_no_host_are_passed_over() {
    let mut follower = three();
    let mut odd = put("x/y", 2, 11, "ready");
    assert!(take(
        &mut follower,
        11,
        vec![odd.clone(), put("", 2, 11, "ready")]
    )
    .endpoints
    .is_empty());
    odd.kv.key = b"/other/z".to_vec();
    odd.kv.mod_revision = 12;
    assert!(take(&mut follower, 12, vec![odd]).endpoints.is_empty());
}

#[test]
fn a_member_that_lags_is_left_and_the_list_stands() {
    let mut follower = three();
    take(&mut follower, 20, vec![put("a", 2, 20, "draining")]);
    assert_eq!(
        follower.header(header(19)),
        WatchStep::Leave("the member lags")
    );
    let (change, next) = follower.events(
        header(19),
        vec![put("a", 2, 19, "ready")],
        false,
        ms(5),
        NOW,
    );
    assert!(change.endpoints.is_empty() && matches!(next, WatchStep::Leave(_)));
    let older = Header {
        raft_term: 4,
        ..header(30)
    };
    assert!(matches!(follower.progress(older), WatchStep::Leave(_)));
    assert_eq!(follower.resume(), Some(21));
}

/// Another cluster, one that went back to a backup, and one whose terms began anew: each is read whole.
#[test]
fn a_cluster_that_was_recreated_or_restored_is_read_whole_and_never_half_believed() {
    let other = Header {
        cluster_id: 0xee,
        ..header(50)
    };
    let mut follower = three();
    let (change, next) = follower.events(other, vec![delete("a", 50)], false, ms(5), NOW);
    assert_eq!(
        (change.endpoints.len(), next),
        (0, WatchStep::Reread("another cluster"))
    );
    let restored = [
        (other, "another cluster"),
        (header(4), "revisions that run backwards"),
        (
            Header {
                raft_term: 2,
                ..header(40)
            },
            "terms that run backwards",
        ),
    ];
    for (header, what) in restored {
        let mut follower = three();
        let kvs = [
            kv("b", 2, 3, value(80, "ready", 7)),
            kv("z", 3, 4, value(80, "ready", 9)),
        ];
        let change = follower.range(header, &kvs, ms(5), NOW);
        let expected = [
            ("a", EndpointStatus::Removed),
            ("c", EndpointStatus::Removed),
            ("z", EndpointStatus::Ready),
        ];
        assert_eq!(standings(&change), expected.into(), "{what}");
        assert_eq!(
            (follower.seen().replaced, follower.resume()),
            (1, Some(header.revision + 1)),
            "{what}"
        );
        assert_eq!(follower.header(header), WatchStep::Continue, "{what}");
    }
}

#[test]
fn a_wiped_prefix_does_not_empty_the_fleet_by_mistake() {
    let wipe = |follower: &mut Follower| {
        take(
            follower,
            11,
            ["a", "b", "c"]
                .into_iter()
                .map(|host| delete(host, 11))
                .collect(),
        )
    };
    // As events of one response, or as an empty range after a gap.
    let mut watched = three();
    assert!(wipe(&mut watched).endpoints.is_empty());
    let mut ranged = three();
    assert!(ranged
        .range(header(11), &[], ms(100), NOW)
        .endpoints
        .is_empty());
    for follower in [&mut watched, &mut ranged] {
        assert_eq!((follower.hosts(), follower.seen().doubted), (3, 1));
        assert!(!follower.doubts(ms(100) + Duration::from_secs(29)));
        assert_eq!(follower.believe(ms(20_000)), None);
        // One is put back: it is settled, and the others are kept for their time.
        let change = take(follower, 12, vec![put("b", 12, 12, "draining")]);
        assert_eq!(standings(&change), [("b", EndpointStatus::Draining)].into());
        assert!(follower
            .range(
                header(13),
                &[kv("b", 12, 12, value(80, "draining", 7))],
                ms(9_000),
                NOW
            )
            .endpoints
            .is_empty());
        let late = ms(100) + Duration::from_secs(30);
        assert!(follower.doubts(late));
        let change = follower.believe(late).expect("it has lasted");
        assert_eq!(
            standings(&change),
            [
                ("a", EndpointStatus::Removed),
                ("c", EndpointStatus::Removed)
            ]
            .into()
        );
        assert_eq!(follower.believe(late + late), None, "once");
    }
    // Removed one after the other they are gone at once: that is an operator's doing.
    let mut follower = three();
    for (revision, host) in [(11, "a"), (12, "b"), (13, "c")] {
        assert_eq!(
            standings(&take(&mut follower, revision, vec![delete(host, revision)])),
            [(host, EndpointStatus::Removed)].into()
        );
    }
}

/// A node that starts against an empty, or misspelt, prefix keeps the list of its configuration for a while.
#[test]
fn a_first_list_that_is_empty_is_not_believed_at_once() {
    let mut follower = Follower::new("/board/", Rules::default());
    let change = follower.range(header(10), &[], ms(1), NOW);
    assert!(!change.snapshot && change.endpoints.is_empty());
    let change = take(&mut follower, 11, vec![put("a", 11, 11, "ready")]);
    assert!(!change.snapshot && standings(&change) == [("a", EndpointStatus::Ready)].into());
    let change = follower
        .believe(ms(1) + Duration::from_secs(30))
        .expect("it has lasted");
    assert!(
        change.snapshot && standings(&change) == [("a", EndpointStatus::Ready)].into(),
        "{change:?}"
    );
}

#[test]
fn progress_moves_the_revision_so_that_quiet_watches_are_not_compacted_away() {
    let mut follower = three();
    assert_eq!(follower.progress(header(90)), WatchStep::Continue);
    assert_eq!(follower.resume(), Some(11), "once it has said so again");
    assert_eq!(follower.progress(header(95)), WatchStep::Continue);
    assert_eq!(follower.resume(), Some(91));
    // But not past a response of which the rest is still to come.
    follower.events(header(95), vec![put("a", 2, 92, "ready")], true, ms(5), NOW);
    follower.progress(header(99));
    assert_eq!(follower.resume(), Some(91));
}

/// A member that says how far it is before it has sent the events up to there, as etcd before 3.5.8 may.
#[test]
fn a_progress_that_overtakes_its_events_loses_none() {
    let mut follower = three();
    follower.progress(header(12));
    assert_eq!(
        standings(&take(&mut follower, 12, vec![put("a", 2, 11, "draining")]))["a"],
        EndpointStatus::Draining
    );
    follower.progress(header(14));
    follower.reconnected();
    assert_eq!(
        follower.resume(),
        Some(13),
        "what it may not have sent, 13 and 14, is asked for again"
    );
}

fn said(host: &str, standing: EndpointStatus, dial: u16, born_ms: u64) -> EndpointUpdate {
    let dial = format!("127.0.0.1:{dial}").parse().expect("an address");
    let (host, site) = (host.into(), "a".into());
    let entry = EndpointRecord {
        host,
        address: dial,
        zone: site,
        domain: 1,
        status: standing,
        weight: 1.0,
        started_at_ms: born_ms,
    };
    EndpointUpdate {
        endpoints: vec![entry],
        received_at: ms(1),
        snapshot: false,
    }
}

#[test]
fn of_two_sources_that_contradict_each_other_the_more_careful_standing_wins() {
    use EndpointStatus::{Draining, Ready, Removed};
    use Source::{Discovery, Etcd};
    for first in [Ready, Draining, Removed] {
        for second in [Ready, Draining, Removed] {
            let mut merge = Merge::new();
            // Both have listed it before they disagree.
            merge.take(Discovery, said("a", Ready, 80, 0));
            merge.take(Etcd, said("a", Ready, 90, 0));
            let mut last = Ready;
            for change in [
                merge.take(Discovery, said("a", first, 80, 0)),
                merge.take(Etcd, said("a", second, 90, 0)),
            ] {
                last = change.endpoints.first().map_or(last, |entry| entry.status);
            }
            assert_eq!(last, first.max(second), "{first:?} and {second:?}");
        }
    }
}

#[test]
fn a_source_has_a_say_only_once_it_has_listed_a_host() {
    use Source::{Discovery, Etcd};
    let mut merge = Merge::new();
    let change = merge.take(Etcd, said("a", EndpointStatus::Ready, 90, 5));
    assert_eq!(
        (
            change.endpoints[0].status,
            change.endpoints[0].address.port()
        ),
        (EndpointStatus::Ready, 90)
    );
    // Discovery lists another one, whole: it says nothing of `a`.
    let whole = EndpointUpdate {
        snapshot: true,
        ..said("b", EndpointStatus::Ready, 80, 0)
    };
    assert_eq!(
        standings(&merge.take(Discovery, whole)),
        [("b", EndpointStatus::Ready)].into()
    );
    // Once it has, its whole list without it is a removal; the later start and discovery's address hold.
    let change = merge.take(Discovery, said("a", EndpointStatus::Ready, 80, 3));
    assert_eq!(
        (
            change.endpoints[0].address.port(),
            change.endpoints[0].started_at_ms
        ),
        (80, 5)
    );
    let whole = EndpointUpdate {
        snapshot: true,
        ..said("b", EndpointStatus::Ready, 80, 0)
    };
    assert_eq!(
        standings(&merge.take(Discovery, whole)),
        [("a", EndpointStatus::Removed)].into()
    );
    assert!(merge
        .take(Etcd, said("a", EndpointStatus::Ready, 91, 9))
        .endpoints
        .iter()
        .all(|entry| entry.status == EndpointStatus::Removed));
    // When both have dropped it, it is forgotten, and may come anew.
    merge.take(Etcd, said("a", EndpointStatus::Removed, 91, 9));
    assert_eq!(merge.hosts(), 1);
    assert_eq!(
        standings(&merge.take(Etcd, said("a", EndpointStatus::Ready, 91, 9))),
        [("a", EndpointStatus::Ready)].into()
    );
}

#[test]
fn what_changes_nothing_tells_nothing() {
    let mut merge = Merge::new();
    assert_eq!(
        merge
            .take(Source::Etcd, said("a", EndpointStatus::Ready, 80, 0))
            .endpoints
            .len(),
        1
    );
    assert!(merge
        .take(Source::Etcd, said("a", EndpointStatus::Ready, 80, 0))
        .endpoints
        .is_empty());
    assert!(merge
        .take(Source::Discovery, said("a", EndpointStatus::Ready, 80, 0))
        .endpoints
        .is_empty());
    assert_eq!(merge.contradictions(), 0);
}

/// Whatever order a break leaves events and ranges in, what is held in the end is what the store holds.
#[test]
fn random_histories_with_breaks_end_as_the_store_does() {
    let mut seed = 1_u64;
    let mut random = move |below: u64| {
        seed = seed
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % below
    };
    for _ in 0..300 {
        let mut store: BTreeMap<String, KeyValue> = BTreeMap::new();
        let mut history: Vec<WatchEvent> = Vec::new();
        let mut follower = Follower::new("/board/", Rules::default());
        let mut told: BTreeMap<String, EndpointStatus> = BTreeMap::new();
        let mut note = |change: EndpointUpdate| {
            for entry in change.endpoints {
                told.insert(entry.host.to_string(), entry.status);
            }
        };
        store.insert("anchor".into(), kv("anchor", 1, 1, value(80, "ready", 7)));
        let mut revision = 1;
        note(follower.range(
            header(1),
            &store.values().cloned().collect::<Vec<_>>(),
            ms(0),
            NOW,
        ));
        for _ in 0..40 {
            revision += 1;
            let host = ["a", "b", "c", "d"][random(4) as usize];
            if random(3) == 0 && store.remove(host).is_some() {
                history.push(delete(host, revision));
            } else {
                let create = store.get(host).map_or(revision, |kv| kv.create_revision);
                let event = put(
                    host,
                    create,
                    revision,
                    if random(2) == 0 { "ready" } else { "draining" },
                );
                store.insert(host.to_owned(), event.kv.clone());
                history.push(event);
            }
            match random(6) {
                0 => follower.reconnected(),
                1 => {
                    let all: Vec<_> = store.values().cloned().collect();
                    note(follower.range(header(revision), &all, ms(0), NOW));
                }
                2 | 3 => {
                    // From where it resumes, in up to three pieces, of which the last may be lost.
                    let from = follower.resume().expect("it was ranged over");
                    let events: Vec<_> = history
                        .iter()
                        .filter(|event| event.kv.mod_revision >= from)
                        .cloned()
                        .collect();
                    let cut = random(events.len() as u64 + 1) as usize;
                    let (one, two) = events.split_at(cut);
                    note(
                        follower
                            .events(header(revision), one.to_vec(), true, ms(0), NOW)
                            .0,
                    );
                    if random(3) > 0 {
                        note(
                            follower
                                .events(header(revision), two.to_vec(), false, ms(0), NOW)
                                .0,
                        );
                    } else {
                        follower.reconnected();
                    }
                }
                _ => {}
            }
        }
        let from = follower.resume().expect("it was ranged over");
        let rest = history
            .iter()
            .filter(|event| event.kv.mod_revision >= from)
            .cloned()
            .collect();
        note(follower.events(header(revision), rest, false, ms(0), NOW).0);
        told.retain(|_, standing| *standing != EndpointStatus::Removed);
        let held: BTreeMap<String, EndpointStatus> = store
            .iter()
            .map(|(host, kv)| {
                (
                    host.clone(),
                    entry::read(host, &kv.value).expect("good").status,
                )
            })
            .collect();
        assert_eq!(told, held);
        assert_eq!(follower.hosts(), store.len());
    }
    assert_eq!(
        Follower::new("/", Rules::default()).seen(),
        FollowerStats::default()
    );
}
