//! Log events and counters of a follower.

use crate::time::Time;
use crate::value::ValueError;
use std::fmt;

/// An event that is written to the log; `Display` gives the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A member's revision is lower than the one already applied.
    MemberBehind {
        /// The ID of the etcd member that sent the response.
        member_id: u64,
        /// The revision that the member reports.
        revision: i64,
        /// The revision already applied.
        known_revision: i64,
    },
    /// The cluster ID has changed, or the revision or raft term has decreased.
    ClusterReplaced {
        /// The ID of the current cluster.
        cluster_id: u64,
        /// The revision of the current cluster.
        revision: i64,
        /// The ID of the previous cluster.
        known_cluster_id: u64,
        /// The revision of the previous cluster that was applied.
        known_revision: i64,
    },
    /// The revision to watch from has been compacted.
    Compacted {
        /// The newest compacted revision.
        compact_revision: i64,
        /// The revision already applied.
        known_revision: i64,
    },
    /// All keys of the prefix are gone at once; the servers are kept for now.
    EmptyListSuspected {
        /// The number of servers that are kept.
        servers: usize,
        /// How long the prefix must stay empty before the empty list is accepted.
        empty_after: Time,
    },
    /// The first list was empty, and has stayed so for long enough to be accepted.
    EmptyFromStart,
    /// A prefix whose keys were all deleted at once has stayed empty for long enough; the servers are removed.
    WipeConfirmed {
        /// The number of servers that are removed.
        servers: usize,
    },
    /// The value of a key cannot be parsed.
    UnreadableValue {
        /// The full key, with its prefix.
        key: String,
        /// Why the value was rejected.
        error: ValueError,
        /// Whether the endpoint of an earlier value stays in the list.
        kept: bool,
    },
}

impl fmt::Display for FollowerEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FollowerEvent::MemberBehind {
                member_id,
                revision,
                known_revision,
            } => write!(
                f,
                "member {member_id:x} is at revision {revision}, behind the applied revision {known_revision}"
            ),
            FollowerEvent::ClusterReplaced {
                cluster_id,
                revision,
                known_cluster_id,
                known_revision,
            } => write!(
                f,
                "the cluster was replaced or restored: now cluster {cluster_id:x} at revision {revision}, previously cluster {known_cluster_id:x} at revision {known_revision}"
            ),
            FollowerEvent::Compacted {
                compact_revision,
                known_revision,
            } => write!(
                f,
                "revisions up to {compact_revision} were compacted and this node has applied revisions up to {known_revision}: reading the complete list"
            ),
            FollowerEvent::EmptyListSuspected {
                servers,
                empty_after,
            } => write!(
                f,
                "the prefix is empty: keeping {servers} servers (the configured ones if no list was read before) until it has stayed empty for {} s",
                empty_after.as_secs()
            ),
            FollowerEvent::EmptyFromStart => {
                f.write_str("the prefix was empty when it was first read: accepting its current list")
            }
            FollowerEvent::WipeConfirmed { servers } => {
                write!(f, "the keys of the emptied prefix have not been restored: removing {servers} servers")
            }
            FollowerEvent::UnreadableValue { key, error, kept } => {
                let consequence = if *kept {
                    "keeping the server's last valid entry"
                } else {
                    "the server is not listed"
                };
                write!(f, "cannot parse the value of {key} ({error}): {consequence}")
            }
        }
    }
}

/// Counters of a follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerStats {
    /// Values that could not be parsed.
    pub unreadable: u64,
    /// Events that were skipped because their revision had already been applied.
    pub stale_events: u64,
    /// Complete lists that were read.
    pub ranges: u64,
    /// Times the cluster was found to be another one, or reset to an earlier revision or term.
    pub replaced: u64,
    /// Times the list became empty at once and the servers were kept.
    pub suspected_wipes: u64,
}
