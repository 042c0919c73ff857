//! The list of app servers: from the snapshots and watch events of etcd and from the platform's discovery to the changes
//! that the policy engine receives.
//!
//! - [`Follower`] follows one etcd prefix through reconnects, compaction, lagging members, fragmented responses, and
//!   restored or wiped clusters.
//! - [`Merge`] merges several sources; of contradicting statuses the more careful one wins.
//! - [`read_value`] reads the value of a server's key.
//! - [`JsonObjects`] splits a stream of bytes into the lists of the platform's discovery.
//! - [`PollBackoff`], [`PollLimits`] and [`EmptyListProtection`] decide when the platform's discovery is called again, and
//!   when an empty list is believed.
//!
//! The crate does no I/O and reads no clock. What was read comes in with the time at which it was read, which is when the
//! time that a drain allows begins.
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
    Follower, FollowerEvent, FollowerStats, Header, KeyValue, LeaveReason, Listing, RereadReason,
    Rules, WatchEvent, WatchStep,
};
pub use json_objects::{JsonObjects, Unreadable};
pub use merge::{Merge, Source};
pub use poll::{EmptyListProtection, HedgedPolls, PollBackoff, PollLimits};
pub use record::{EndpointRecord, EndpointStatus};
pub use time::Time;
pub use update::EndpointUpdate;
pub use value::{read_value, ValueError, MAX_HOST_BYTES, MAX_VALUE_BYTES};
