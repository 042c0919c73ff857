//! What etcd sends, and what the connection has to do next.

use std::fmt;

/// The header of each response (`etcdserverpb.ResponseHeader`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Header {
    /// The cluster.
    pub cluster_id: u64,
    /// The member that sent the response.
    pub member_id: u64,
    /// The store's revision at the time of the response.
    pub revision: i64,
    /// The raft term at the time of the response.
    pub raft_term: u64,
}

/// A key and its value (`mvccpb.KeyValue`).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: Vec<u8>,
    /// The value; empty in a delete.
    pub value: Vec<u8>,
    /// The revision in which the key was created.
    pub create_revision: i64,
    /// The revision of the key's last change.
    pub mod_revision: i64,
}

/// An event of a watch (`mvccpb.Event`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WatchEvent {
    /// Whether the key was deleted or its lease expired; otherwise it was put.
    pub delete: bool,
    /// The key after the event.
    pub kv: KeyValue,
}

/// What to do after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchStep {
    /// Continue the watch.
    Continue,
    /// The watch cannot be continued: read the whole prefix, then watch from there.
    Reread(RereadReason),
    /// Connect to another member, and watch there from the same revision.
    Leave(LeaveReason),
}

/// Why the whole prefix has to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RereadReason {
    /// The response is of another cluster.
    OtherCluster,
    /// The prefix has not been read yet.
    NothingRead,
    /// The fragments of a response have too many events.
    TooManyFragments,
    /// The revision to watch from is compacted.
    Compacted,
}

/// Why a member is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaveReason {
    /// Its revision is behind the one that was read.
    Lagging,
    /// Its raft term is older than one that was seen.
    OldTerm,
}

impl fmt::Display for LeaveReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LeaveReason::Lagging => "the member lags",
            LeaveReason::OldTerm => "the member is in an older term",
        })
    }
}
