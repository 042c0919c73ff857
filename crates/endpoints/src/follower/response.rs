//! etcd's responses as the follower takes them, and the steps that it asks of the connection.

use std::fmt;

/// The header of each response (`etcdserverpb.ResponseHeader`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The ID of the etcd cluster. A different ID means that the cluster was replaced, so its revisions are unrelated.
    pub cluster_id: u64,
    /// The ID of the member that sent the response.
    pub member_id: u64,
    /// The store's revision at the time of the response.
    pub revision: i64,
    /// The raft term at the time of the response.
    pub raft_term: u64,
}

/// A key and its value (`mvccpb.KeyValue`).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValue {
    /// The full key, with its prefix.
    pub key: Vec<u8>,
    /// The value; empty in a delete event.
    pub value: Vec<u8>,
    /// The revision in which the key was created.
    pub create_revision: i64,
    /// The revision of the key's last change.
    pub mod_revision: i64,
}

/// A watch event (`mvccpb.Event`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// True if the key was deleted or its lease expired; false if it was put.
    pub delete: bool,
    /// The key after the event.
    pub kv: KeyValue,
}

/// What the connection does after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Continue the watch.
    Continue,
    /// Read the entire prefix, then watch from the revision of that range.
    Reread(RereadReason),
    /// Connect to another member and watch from the same revision.
    Leave(LeaveReason),
}

/// Why the entire prefix has to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RereadReason {
    /// The response comes from another cluster.
    OtherCluster,
    /// The prefix has not been read yet.
    NothingRead,
    /// The fragments of a response contain more events than are buffered.
    TooManyFragments,
    /// The revision to watch from has been compacted.
    Compacted,
}

/// Why the connection has to leave a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// Its revision is lower than the one already applied.
    Lagging,
    /// Its raft term is lower than one already received.
    OldTerm,
}

impl fmt::Display for LeaveReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaveReason::Lagging => "the member lags behind the applied revision",
            LeaveReason::OldTerm => "the member is in an older raft term",
        })
    }
}
