//! What a follower reports for the log, and counts for metrics.

use crate::time::Time;
use crate::value::ValueError;
use std::fmt;

/// Something to log. `Display` gives the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowerEvent {
    /// A member's revision is behind the one that was read.
    MemberBehind {
        /// The member.
        member_id: u64,
        /// Its revision.
        revision: i64,
        /// The revision that was read.
        known_revision: i64,
    },
    /// The cluster is not the one before, or has gone back in revisions or terms.
    ClusterReplaced {
        /// The cluster now.
        cluster_id: u64,
        /// Its revision.
        revision: i64,
        /// The cluster before.
        known_cluster_id: u64,
        /// The revision that was read of it.
        known_revision: i64,
    },
    /// The revision to watch from is compacted.
    Compacted {
        /// The newest compacted revision.
        compact_revision: i64,
        /// The revision that was read.
        known_revision: i64,
    },
    /// The prefix was empty at once, which is not believed yet.
    EmptyListSuspected {
        /// How many servers are kept.
        servers: usize,
        /// How long the prefix must stay empty to be believed.
        empty_after: Time,
    },
    /// An empty first list is believed.
    EmptyFromStart,
    /// A prefix that was emptied at once is believed to be so.
    WipeConfirmed {
        /// How many servers are removed.
        servers: usize,
    },
    /// The value of a key cannot be read.
    UnreadableValue {
        /// The key.
        key: String,
        /// Why not.
        error: ValueError,
        /// Whether an earlier value of the key is kept.
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
                "member {member_id:x} is at revision {revision}, behind {known_revision}"
            ),
            FollowerEvent::ClusterReplaced {
                cluster_id,
                revision,
                known_cluster_id,
                known_revision,
            } => write!(
                f,
                "the cluster was replaced or restored: {cluster_id:x} at revision {revision}, before {known_cluster_id:x} at {known_revision}"
            ),
            FollowerEvent::Compacted {
                compact_revision,
                known_revision,
            } => write!(
                f,
                "revisions up to {compact_revision} are compacted, this node was at {known_revision}: the list is read whole"
            ),
            FollowerEvent::EmptyListSuspected {
                servers,
                empty_after,
            } => write!(
                f,
                "the prefix is empty: {servers} servers, or those known at the start, are kept until that has lasted {} s",
                empty_after.as_secs()
            ),
            FollowerEvent::EmptyFromStart => {
                f.write_str("the prefix is empty, and was so from the start")
            }
            FollowerEvent::WipeConfirmed { servers } => {
                write!(f, "the wiped prefix stays so: {servers} servers are gone")
            }
            FollowerEvent::UnreadableValue { key, error, kept } => {
                let consequence = if *kept {
                    "its last good entry stays"
                } else {
                    "it is not listed"
                };
                write!(f, "{key} can't be read ({error}): {consequence}")
            }
        }
    }
}

/// Counters of a follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerStats {
    /// Values that could not be read.
    pub unreadable: u64,
    /// Events that were known already.
    pub old: u64,
    /// Complete lists that were read.
    pub ranges: u64,
    /// Clusters that were not the one before, or had gone back.
    pub replaced: u64,
    /// Lists that were empty at once and not believed.
    pub doubted: u64,
}
