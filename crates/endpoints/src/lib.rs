//! The roster of app servers: from etcd's snapshots and watch events, with their revisions, to the list that the
//! decision module is told. No input or output and no clock; what was read comes in with the moment at which it was
//! read, and that moment is when the 250 ms of a drain begin.
//!
//! - [`follower`]: one etcd prefix, through breaks, compaction, lag, fragments, restored and wiped clusters.
//! - [`merge`]: several sources at once; the more careful standing wins.
//! - [`entry`]: what stands under a key.
//! - [`objects`]: lists out of a stream of bytes.
//! - [`pace`]: when discovery is called on again.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod entry;
pub mod follower;
pub mod merge;
pub mod objects;
pub mod pace;

pub use entry::{EndpointRecord, EndpointStatus};
pub use follower::{Follower, Header, KeyValue, Listing, Rules, WatchEvent, WatchStep};
pub use merge::{Merge, Source};
pub use objects::{JsonObjects, Unreadable};
pub use pace::{EmptyListProtection, HedgedPolls, PollBackoff, PollLimits};

/// A point in time: the span since some fixed moment of a clock that never goes back.
pub type Time = std::time::Duration;

/// News of the roster from one source: each host at most once.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Entries that changed; one that is gone is among them as such.
    pub endpoints: Vec<EndpointRecord>,
    /// The moment at which the first byte of it was read off the socket: when it was told.
    pub received_at: Time,
    /// Whether hosts that are not among the entries are unknown to this source: its first whole list.
    pub snapshot: bool,
}

impl EndpointUpdate {
    /// Whether it tells of anything: of an entry, or that there is none beside those it has.
    pub fn says_something(&self) -> bool {
        self.snapshot || !self.endpoints.is_empty()
    }
}
