//! How a follower derives the endpoint list from etcd's responses: reconnects, compaction, fragments, unreadable
//! values, lagging members and replaced clusters.

mod support;

use saffronpaddle_endpoints::*;
use support::*;

#[test]
fn an_update_carries_the_time_at_which_its_response_was_read() {
    let mut follower = three_servers();
    let (update, _) = follower.apply_events(
        header(11),
        vec![put("a", 2, 11, "draining")],
        false,
        ms(777),
        NOW,
    );
    assert_eq!(
        (update.received_at, statuses(&update)["a"]),
        (ms(777), EndpointStatus::Draining)
    );
}

#[test]
fn several_keys_in_one_revision_are_applied_as_one_update() {
    let mut follower = three_servers();
    let events = vec![
        put("a", 2, 11, "draining"),
        delete("b", 11),
        put("d", 11, 11, "ready"),
    ];
    let update = respond(&mut follower, 11, events);
    let expected = [
        ("a", EndpointStatus::Draining),
        ("b", EndpointStatus::Removed),
        ("d", EndpointStatus::Ready),
    ];
    assert_eq!(statuses(&update), expected.into());
    assert_eq!(follower.resume_revision(), Some(12));
}

#[test]
fn a_broken_watch_resumes_from_the_next_revision_and_skips_stale_events() {
    let mut follower = three_servers();
    respond(&mut follower, 11, vec![put("a", 2, 11, "draining")]);
    follower.reset_connection();
    assert_eq!(follower.resume_revision(), Some(12));
    // The member sends events from before the requested revision.
    let update = respond(
        &mut follower,
        12,
        vec![
            put("a", 2, 11, "draining"),
            put("a", 2, 9, "ready"),
            delete("b", 12),
        ],
    );
    assert_eq!(statuses(&update), [("b", EndpointStatus::Removed)].into());
    assert_eq!(follower.stats().stale_events, 2);
    let update = respond(&mut follower, 12, vec![delete("b", 12)]);
    assert!(update.endpoints.is_empty(), "the event was already applied");
}

/// While the watch was broken, one server began to drain, another was removed and a third one was added. Then these
/// revisions were compacted, so that the watch cannot deliver them.
#[test]
fn after_compaction_a_range_yields_the_changes_that_were_missed() {
    let mut follower = three_servers();
    assert_eq!(
        follower.on_compacted(500),
        WatchStep::Reread(RereadReason::Compacted)
    );
    let kvs = [
        kv("a", 2, 400, value(80, "draining", 7)),
        kv("c", 2, 3, value(80, "ready", 7)),
        kv("d", 450, 450, value(80, "ready", 0)),
    ];
    let update = follower.apply_range(header(600), &kvs, ms(900), NOW);
    let expected = [
        ("a", EndpointStatus::Draining),
        ("b", EndpointStatus::Removed),
        ("d", EndpointStatus::Ready),
    ];
    assert_eq!(
        (statuses(&update), update.received_at, update.snapshot),
        (expected.into(), ms(900), false)
    );
    let new = update
        .endpoints
        .iter()
        .find(|entry| &*entry.host == "d")
        .expect("d is in the update");
    assert_eq!(
        new.started_at_ms, NOW,
        "d is new and its value gives no start time"
    );
    assert_eq!(follower.resume_revision(), Some(601));
}

#[test]
fn a_reconnect_between_a_drain_and_the_last_fragment_loses_neither() {
    let mut follower = three_servers();
    let drain = vec![put("a", 2, 11, "draining"), delete("c", 11)];
    let (update, step) = follower.apply_events(header(11), drain.clone(), true, ms(50), NOW);
    // Both are announced immediately; the removal is announced as a drain until the response is complete.
    let expected = [
        ("a", EndpointStatus::Draining),
        ("c", EndpointStatus::Draining),
    ];
    assert_eq!(
        (statuses(&update), step),
        (expected.into(), WatchStep::Continue)
    );
    follower.reset_connection();
    assert_eq!(
        follower.resume_revision(),
        Some(11),
        "the whole revision is requested again"
    );
    let (first, _) = follower.apply_events(header(11), drain, true, ms(200), NOW);
    let (update, _) = follower.apply_events(header(11), vec![delete("b", 11)], false, ms(210), NOW);
    assert_eq!(first.received_at, ms(200));
    let expected = [
        ("a", EndpointStatus::Draining),
        ("b", EndpointStatus::Removed),
        ("c", EndpointStatus::Removed),
    ];
    assert_eq!(
        (statuses(&update), update.received_at),
        (expected.into(), ms(200)),
        "the update carries the time of its first fragment"
    );
    assert_eq!(follower.resume_revision(), Some(12));
}

#[test]
fn an_announced_drain_is_withdrawn_if_a_later_fragment_revokes_it() {
    let mut follower = three_servers();
    let (update, _) = follower.apply_events(
        header(12),
        vec![put("a", 2, 11, "draining")],
        true,
        ms(50),
        NOW,
    );
    assert_eq!(statuses(&update)["a"], EndpointStatus::Draining);
    let (update, _) = follower.apply_events(
        header(12),
        vec![put("a", 2, 12, "ready")],
        false,
        ms(60),
        NOW,
    );
    assert_eq!(statuses(&update), [("a", EndpointStatus::Ready)].into());
}

/// A lease expires and the key is created again: a new process runs at the same host. It needs slow start, also if its
/// value gives no start time.
#[test]
fn a_recreated_key_counts_as_a_new_start_of_its_server() {
    for (born, expected) in [(0, NOW), (NOW - 50, NOW - 50)] {
        let mut follower = three_servers();
        assert_eq!(
            statuses(&respond(&mut follower, 20, vec![delete("a", 20)]))["a"],
            EndpointStatus::Removed
        );
        let again = WatchEvent {
            delete: false,
            kv: kv("a", 21, 21, value(80, "ready", born)),
        };
        let update = respond(&mut follower, 21, vec![again]);
        assert_eq!(
            (
                update.endpoints[0].status,
                update.endpoints[0].started_at_ms
            ),
            (EndpointStatus::Ready, expected)
        );
        // A later value of the same process does not change its start time.
        let later = WatchEvent {
            delete: false,
            kv: kv("a", 21, 22, value(81, "ready", 0)),
        };
        let update = respond(&mut follower, 22, vec![later]);
        assert_eq!(
            (
                update.endpoints[0].address.port(),
                update.endpoints[0].started_at_ms
            ),
            (81, expected)
        );
    }
}

#[test]
fn only_the_last_event_of_a_key_in_a_response_is_applied() {
    let mut follower = three_servers();
    let last = WatchEvent {
        delete: false,
        kv: kv("a", 13, 13, value(90, "ready", 0)),
    };
    let update = respond(
        &mut follower,
        13,
        vec![put("a", 2, 11, "draining"), delete("a", 12), last],
    );
    assert_eq!(update.endpoints.len(), 1);
    let entry = &update.endpoints[0];
    assert_eq!(
        (entry.status, entry.address.port(), entry.started_at_ms),
        (EndpointStatus::Ready, 90, NOW),
        "the last event is that of a new process"
    );
    let update = respond(
        &mut follower,
        15,
        vec![put("a", 13, 14, "ready"), delete("a", 15)],
    );
    assert_eq!(statuses(&update), [("a", EndpointStatus::Removed)].into());
}

#[test]
fn an_unreadable_value_keeps_the_last_valid_record_and_is_logged_once() {
    let mut follower = three_servers();
    for (revision, bad) in [
        (11, &b"{"[..]),
        (12, br#"{"dial":"nowhere","site":"a"}"#),
        (13, &[0xff; 5000]),
    ] {
        let event = WatchEvent {
            delete: false,
            kv: kv("a", 2, revision, bad.to_vec()),
        };
        assert!(respond(&mut follower, revision, vec![event])
            .endpoints
            .is_empty());
    }
    let logs = follower.take_events();
    assert!(
        logs.len() == 1 && logs[0].to_string().contains("/board/a"),
        "one log line names the key: {logs:?}"
    );
    assert_eq!((follower.stats().unreadable, follower.host_count()), (3, 3));
    // A readable value and then another unreadable one: it is logged again.
    assert_eq!(
        statuses(&respond(
            &mut follower,
            14,
            vec![put("a", 2, 14, "draining")]
        ))["a"],
        EndpointStatus::Draining
    );
    let event = WatchEvent {
        delete: false,
        kv: kv("a", 2, 15, b"x".to_vec()),
    };
    respond(&mut follower, 15, vec![event]);
    assert_eq!(follower.take_events().len(), 1);
    // A host none of whose values could be read is not listed, and its removal has no effect.
    let event = WatchEvent {
        delete: false,
        kv: kv("new", 16, 16, b"x".to_vec()),
    };
    assert!(respond(&mut follower, 16, vec![event]).endpoints.is_empty());
    assert!(respond(&mut follower, 17, vec![delete("new", 17)])
        .endpoints
        .is_empty());
}

#[test]
fn keys_without_a_valid_host_name_are_skipped() {
    let mut follower = three_servers();
    let mut odd = put("x/y", 2, 11, "ready");
    assert!(respond(
        &mut follower,
        11,
        vec![odd.clone(), put("", 2, 11, "ready")]
    )
    .endpoints
    .is_empty());
    odd.kv.key = b"/other/z".to_vec();
    odd.kv.mod_revision = 12;
    assert!(respond(&mut follower, 12, vec![odd]).endpoints.is_empty());
}

#[test]
fn a_lagging_member_is_left_and_the_list_is_unchanged() {
    let mut follower = three_servers();
    respond(&mut follower, 20, vec![put("a", 2, 20, "draining")]);
    assert_eq!(
        follower.check_header(header(19)),
        WatchStep::Leave(LeaveReason::Lagging)
    );
    let (update, step) = follower.apply_events(
        header(19),
        vec![put("a", 2, 19, "ready")],
        false,
        ms(5),
        NOW,
    );
    assert!(update.endpoints.is_empty() && matches!(step, WatchStep::Leave(_)));
    let older = Header {
        raft_term: 4,
        ..header(30)
    };
    assert!(matches!(
        follower.apply_progress(older),
        WatchStep::Leave(_)
    ));
    assert_eq!(follower.resume_revision(), Some(21));
}

/// The member now serves another cluster, one restored from a backup, or one whose raft terms restarted. Its events
/// must not be applied to the list of the known cluster; a range of it replaces the list.
#[test]
fn a_range_of_a_recreated_or_restored_cluster_replaces_the_list() {
    let other = Header {
        cluster_id: 0xee,
        ..header(50)
    };
    let mut follower = three_servers();
    let (update, step) = follower.apply_events(other, vec![delete("a", 50)], false, ms(5), NOW);
    assert_eq!(
        (update.endpoints.len(), step),
        (0, WatchStep::Reread(RereadReason::OtherCluster))
    );
    let restored = [
        (other, "another cluster"),
        (header(4), "a lower revision"),
        (
            Header {
                raft_term: 2,
                ..header(40)
            },
            "a lower term",
        ),
    ];
    for (header, what) in restored {
        let mut follower = three_servers();
        let kvs = [
            kv("b", 2, 3, value(80, "ready", 7)),
            kv("z", 3, 4, value(80, "ready", 9)),
        ];
        let update = follower.apply_range(header, &kvs, ms(5), NOW);
        let expected = [
            ("a", EndpointStatus::Removed),
            ("c", EndpointStatus::Removed),
            ("z", EndpointStatus::Ready),
        ];
        assert_eq!(statuses(&update), expected.into(), "after {what}");
        assert_eq!(
            (follower.stats().replaced, follower.resume_revision()),
            (1, Some(header.revision + 1)),
            "after {what}"
        );
        assert_eq!(
            follower.check_header(header),
            WatchStep::Continue,
            "after {what}"
        );
    }
}

/// Otherwise the resume revision of a watch without events would be compacted sooner or later.
#[test]
fn progress_advances_the_resume_revision_of_a_watch_without_events() {
    let mut follower = three_servers();
    assert_eq!(follower.apply_progress(header(90)), WatchStep::Continue);
    assert_eq!(
        follower.resume_revision(),
        Some(11),
        "the revision advances only after a second progress response"
    );
    assert_eq!(follower.apply_progress(header(95)), WatchStep::Continue);
    assert_eq!(follower.resume_revision(), Some(91));
    // It does not advance past a response whose last fragment has not been received.
    follower.apply_events(header(95), vec![put("a", 2, 92, "ready")], true, ms(5), NOW);
    follower.apply_progress(header(99));
    assert_eq!(follower.resume_revision(), Some(91));
}

/// etcd before 3.5.8 may send a progress response before the events up to its revision. These events must not be
/// skipped as stale.
#[test]
fn events_that_follow_their_progress_response_are_applied() {
    let mut follower = three_servers();
    follower.apply_progress(header(12));
    assert_eq!(
        statuses(&respond(
            &mut follower,
            12,
            vec![put("a", 2, 11, "draining")]
        ))["a"],
        EndpointStatus::Draining
    );
    follower.apply_progress(header(14));
    follower.reset_connection();
    assert_eq!(
        follower.resume_revision(),
        Some(13),
        "13 and 14 may not have been sent, and are requested again"
    );
}
