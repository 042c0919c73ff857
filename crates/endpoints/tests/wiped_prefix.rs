//! A prefix from which all keys disappear at once does not empty the list immediately.

mod support;

use saffronpaddle_endpoints::*;
use std::time::Duration;
use support::*;

#[test]
fn a_wiped_prefix_is_accepted_only_after_it_has_stayed_empty() {
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
    // The wipe is seen as events of one response, or as an empty range after a reconnect.
    let mut watched = three_servers();
    assert!(wipe(&mut watched).endpoints.is_empty());
    let mut ranged = three_servers();
    assert!(ranged
        .apply_range(header(11), &[], ms(100), NOW)
        .endpoints
        .is_empty());
    for follower in [&mut watched, &mut ranged] {
        assert_eq!(
            (follower.host_count(), follower.stats().suspected_wipes),
            (3, 1)
        );
        assert!(!follower.confirmation_due(ms(100) + Duration::from_secs(29)));
        assert_eq!(follower.confirm_empty(ms(20_000)), None);
        // One key is put again: its server is listed with the new value, and the others are kept until the time is
        // over.
        let update = respond(follower, 12, vec![put("b", 12, 12, "draining")]);
        assert_eq!(statuses(&update), [("b", EndpointStatus::Draining)].into());
        assert!(follower
            .apply_range(
                header(13),
                &[kv("b", 12, 12, value(80, "draining", 7))],
                ms(9_000),
                NOW
            )
            .endpoints
            .is_empty());
        let late = ms(100) + Duration::from_secs(30);
        assert!(follower.confirmation_due(late));
        let update = follower.confirm_empty(late).expect("30 s have passed");
        assert_eq!(
            statuses(&update),
            [
                ("a", EndpointStatus::Removed),
                ("c", EndpointStatus::Removed)
            ]
            .into()
        );
        assert_eq!(
            follower.confirm_empty(late + late),
            None,
            "the wipe is confirmed only once"
        );
    }
    // Servers whose keys are deleted one by one are removed immediately, as operators delete them that way.
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

/// A node that starts with an empty or misspelt prefix keeps the list of its configuration for a while.
#[test]
fn an_empty_first_list_is_not_accepted_immediately() {
    let mut follower = Follower::new("/board/", EmptyListRules::default());
    let update = follower.apply_range(header(10), &[], ms(1), NOW);
    assert!(!update.snapshot && update.endpoints.is_empty());
    let update = respond(&mut follower, 11, vec![put("a", 11, 11, "ready")]);
    assert!(!update.snapshot && statuses(&update) == [("a", EndpointStatus::Ready)].into());
    let update = follower
        .confirm_empty(ms(1) + Duration::from_secs(30))
        .expect("30 s have passed");
    assert!(
        update.snapshot && statuses(&update) == [("a", EndpointStatus::Ready)].into(),
        "the confirmed list contains only the server put since: {update:?}"
    );
}
