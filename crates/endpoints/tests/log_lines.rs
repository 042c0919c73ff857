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
            "member ab is at revision 4, behind the applied revision 9",
        ),
        (
            FollowerEvent::ClusterReplaced {
                cluster_id: 0xee,
                revision: 4,
                known_cluster_id: 0xc1,
                known_revision: 9,
            },
            "the cluster was replaced or restored: now cluster ee at revision 4, previously cluster c1 at revision 9",
        ),
        (
            FollowerEvent::Compacted {
                compact_revision: 20,
                known_revision: 9,
            },
            "revisions up to 20 were compacted and this node has applied revisions up to 9: reading the complete list",
        ),
        (
            FollowerEvent::EmptyListSuspected {
                servers: 3,
                empty_after: Duration::from_secs(30),
            },
            "the prefix is empty: keeping 3 servers (the configured ones if no list was read before) until it has stayed empty for 30 s",
        ),
        (
            FollowerEvent::EmptyFromStart,
            "the prefix was empty when it was first read: accepting its current list",
        ),
        (
            FollowerEvent::WipeConfirmed { servers: 3 },
            "the keys of the emptied prefix have not been restored: removing 3 servers",
        ),
        (
            FollowerEvent::UnreadableValue {
                key: "/board/a".to_owned(),
                error: ValueError::OtherHost,
                kept: true,
            },
            "cannot parse the value of /board/a (the `host` field differs from the host name in the key): keeping the server's last valid entry",
        ),
        (
            FollowerEvent::UnreadableValue {
                key: "/board/a".to_owned(),
                error: ValueError::TooLong { bytes: 5000 },
                kept: false,
            },
            "cannot parse the value of /board/a (the value has 5000 bytes; the maximum is 4096): the server is not listed",
        ),
    ];
    for (event, line) in lines {
        assert_eq!(event.to_string(), line);
    }
    assert_eq!(
        ValueError::InvalidWeight.to_string(),
        "the `share` field is not a finite number above 0"
    );
    assert_eq!(
        LeaveReason::Lagging.to_string(),
        "the member lags behind the applied revision"
    );
    assert_eq!(
        LeaveReason::OldTerm.to_string(),
        "the member is in an older raft term"
    );
}
