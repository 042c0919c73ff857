//! The log lines of a follower, and the texts of its reasons to leave a member.

use saffronpaddle_endpoints::{FollowerEvent, LeaveReason, ValueError};
use std::time::Duration;

/// Operators search the log for these lines, which docs/etcd.md explains.
#[test]
fn events_and_errors_have_their_documented_texts() {
    let lines = [
        (
            FollowerEvent::MemberBehind {
                member_id: 0xab,
                revision: 4,
                known_revision: 9,
            },
            "member ab is at revision 4, behind 9",
        ),
        (
            FollowerEvent::ClusterReplaced {
                cluster_id: 0xee,
                revision: 4,
                known_cluster_id: 0xc1,
                known_revision: 9,
            },
            "the cluster was replaced or restored: ee at revision 4, before c1 at 9",
        ),
        (
            FollowerEvent::Compacted {
                compact_revision: 20,
                known_revision: 9,
            },
            "revisions up to 20 are compacted, this node was at 9: the list is read whole",
        ),
        (
            FollowerEvent::EmptyListSuspected {
                servers: 3,
                empty_after: Duration::from_secs(30),
            },
            "the prefix is empty: 3 servers, or those known at the start, are kept until that has lasted 30 s",
        ),
        (
            FollowerEvent::EmptyFromStart,
            "the prefix is empty, and was so from the start",
        ),
        (
            FollowerEvent::WipeConfirmed { servers: 3 },
            "the wiped prefix stays so: 3 servers are gone",
        ),
        (
            FollowerEvent::UnreadableValue {
                key: "/board/a".to_owned(),
                error: ValueError::OtherHost,
                kept: true,
            },
            "/board/a can't be read (its host is not the one of its key): its last good entry stays",
        ),
        (
            FollowerEvent::UnreadableValue {
                key: "/board/a".to_owned(),
                error: ValueError::TooLong { bytes: 5000 },
                kept: false,
            },
            "/board/a can't be read (5000 bytes, more than 4096): it is not listed",
        ),
    ];
    for (event, line) in lines {
        assert_eq!(event.to_string(), line);
    }
    assert_eq!(
        ValueError::InvalidWeight.to_string(),
        "its share is not above 0"
    );
    assert_eq!(LeaveReason::Lagging.to_string(), "the member lags");
    assert_eq!(
        LeaveReason::OldTerm.to_string(),
        "the member is in an older term"
    );
}
