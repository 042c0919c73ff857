//! A prefix that is emptied by mistake does not empty the list at once.

mod support;

use saffronpaddle_endpoints::*;
use std::time::Duration;
use support::*;

#[test]
fn a_wiped_prefix_is_believed_only_once_it_has_lasted() {
    let wipe = |follower: &mut Follower| {
        respond(
            follower,
            11,
            ["a", "b", "c"]
                .into_iter()
                .map(|host| delete(host, 11))
                .collect(),
        )
    };
    // By events of one response, or by an empty range after a reconnect.
    let mut watched = three_servers();
    assert!(wipe(&mut watched).endpoints.is_empty());
    let mut ranged = three_servers();
    assert!(ranged
        .range(header(11), &[], ms(100), NOW)
        .endpoints
        .is_empty());
    for follower in [&mut watched, &mut ranged] {
        assert_eq!((follower.hosts(), follower.seen().doubted), (3, 1));
        assert!(!follower.confirmation_due(ms(100) + Duration::from_secs(29)));
        assert_eq!(follower.confirm_empty(ms(20_000)), None);
        // One is put again: it is listed, and the others are kept for the rest of the time.
        let update = respond(follower, 12, vec![put("b", 12, 12, "draining")]);
        assert_eq!(statuses(&update), [("b", EndpointStatus::Draining)].into());
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
        assert!(follower.confirmation_due(late));
        let update = follower.confirm_empty(late).expect("it has lasted");
        assert_eq!(
            statuses(&update),
            [
                ("a", EndpointStatus::Removed),
                ("c", EndpointStatus::Removed)
            ]
            .into()
        );
        assert_eq!(follower.confirm_empty(late + late), None, "only once");
    }
    // Deleted one after the other they are removed at once: staff did that.
    let mut follower = three_servers();
    for (revision, host) in [(11, "a"), (12, "b"), (13, "c")] {
        assert_eq!(
            statuses(&respond(
                &mut follower,
                revision,
                vec![delete(host, revision)]
            )),
            [(host, EndpointStatus::Removed)].into()
        );
    }
}

/// A node that starts with a prefix that is empty, or misspelt, keeps the list of its configuration for a while.
#[test]
fn an_empty_first_list_is_not_believed_at_once() {
    let mut follower = Follower::new("/board/", Rules::default());
    let update = follower.range(header(10), &[], ms(1), NOW);
    assert!(!update.snapshot && update.endpoints.is_empty());
    let update = respond(&mut follower, 11, vec![put("a", 11, 11, "ready")]);
    assert!(!update.snapshot && statuses(&update) == [("a", EndpointStatus::Ready)].into());
    let update = follower
        .confirm_empty(ms(1) + Duration::from_secs(30))
        .expect("it has lasted");
    assert!(
        update.snapshot && statuses(&update) == [("a", EndpointStatus::Ready)].into(),
        "{update:?}"
    );
}
