//! Distributed rate limiting: enforces a customer's quota across hundreds of nodes, each of which sees only a small
//! part of the customer's traffic.
//!
//! A few nodes, the owners, keep the quota in shards ([`QuotaShard`]). A node that receives a request asks one owner
//! for a grant ([`GrantRequest`]). The node's [`RejectionCache`] stores two things from the owners' responses: the time
//! before which no grant is possible, so that requests until then are rejected without a message; and the fill ratio of
//! the shard, which initializes an owner that has lost its state and limits a node that cannot reach an owner.
//!
//! An owner also issues leases ([`Lease`]) to nodes that ask often: a rate for a limited time. A holder uses its lease
//! without messages, also while it cannot reach an owner.
//!
//! The crate performs no I/O. The caller passes the current time, in microseconds.
//!
//! ```
//! use saffronpaddle_quota::{GrantDecision, GrantRequest, InitialTokens, QuotaShard, ShardLimits};
//! let limits = ShardLimits { rate: 2.0, capacity: 4.0, max_in_flight: None, hard_limit: None };
//! let mut shard = QuotaShard::open(0, InitialTokens::Full, 0, &limits);
//! let request = |serial| GrantRequest { requester: 7, serial, units: 3.0 };
//! let granted = shard.decide_grant(0, request(1), &limits, 200_000);
//! assert_eq!(granted.decision, GrantDecision::Granted);
//! let denied = shard.decide_grant(0, request(2), &limits, 200_000);
//! assert_eq!(denied.decision, GrantDecision::OverQuota);
//! assert_eq!(denied.retry_after, 1_000_000, "2 of 3 units are missing, at 2 units per second");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod grant;
mod lease;
mod limits;
mod rejection_cache;
mod shard;

pub use grant::{GrantDecision, GrantRequest, GrantResponse, GRANT_LIFETIME};
pub use lease::{Lease, LeaseDemand, LeaseReport, CLOCK_DRIFT_DIVISOR, LEASE_DURATION};
pub use limits::{HardLimit, InitialTokens, ReportedFill, ShardLimits};
pub use rejection_cache::RejectionCache;
pub use shard::QuotaShard;

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

const MICROS_PER_SECOND: f64 = 1e6;

/// Returns the seconds between two times; 0 if `to` is before `from`.
fn seconds_between(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 / MICROS_PER_SECOND
}
