//! Maintains the list of app servers: turns etcd's range and watch responses and the lists of the platform's discovery
//! into updates for the policy engine.
//!
//! - [`Follower`] tracks one etcd prefix across reconnects, compaction, lagging members, fragmented responses, and
//!   restored or wiped clusters.
//! - [`MergedList`] merges several sources. If they report different statuses, the most restrictive one wins.
//! - [`read_value`] parses the value of a server's key.
//! - [`JsonObjects`] splits a byte stream into the lists of the platform's discovery.
//! - [`PollBackoff`] and [`PollLimits`] schedule the calls to the platform's discovery; [`EmptyListProtection`] decides
//!   when an empty list is accepted.
//!
//! The crate does no I/O and reads no clock. The caller passes in the time at which each response was read: the time
//! limit of a drain runs from that moment.
//!
//! ```
//! use saffronpaddle_endpoints::{read_value, EndpointStatus};
//! let value = br#"{"dial": "127.0.0.1:80", "site": "a", "health": "draining"}"#;
//! let record = read_value("server-1", value).expect("a value");
//! assert_eq!(record.status, EndpointStatus::Draining);
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod compact;
mod follower;
mod json_objects;
mod merge;
mod poll;
mod record;
mod time;
mod update;
mod value;

pub use follower::{
    EmptyListRules, Follower, FollowerEvent, FollowerStats, Header, KeyValue, LeaveReason, Listing,
    RereadReason, WatchEvent, WatchStep,
};
pub use json_objects::{JsonObjects, JsonStreamError};
pub use merge::{MergedList, Source};
pub use poll::{CallSlots, EmptyListProtection, HedgedPolls, PollBackoff, PollLimits};
pub use record::{EndpointRecord, EndpointStatus};
pub use time::Time;
pub use update::EndpointUpdate;
pub use value::{read_value, ValueError, MAX_HOST_BYTES, MAX_VALUE_BYTES};
