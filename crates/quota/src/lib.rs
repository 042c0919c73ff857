//! Holds a customer to its quota over hundreds of nodes that each see only a little of its traffic.
//!
//! A few nodes, the owners, keep the quota in shards ([`QuotaShard`]). A node that receives a request asks one owner for a
//! grant ([`GrantRequest`]). The [`RejectionCache`] of that node keeps what owners answered: until when no grant can be had,
//! so that requests until then are rejected without a message; and how full the shard was, so that an owner that has lost its
//! state, or a node that reaches no owner, can go by that.
//!
//! An owner also issues leases ([`Lease`]): a rate, for a limited time, to a node that has asked often. A lease is used without
//! messages, and remains usable while no owner can be reached.
//!
//! The crate does no input or output. Time is an argument, in microseconds.
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
//! assert_eq!(denied.retry_after, 1_000_000, "two of three units are missing, at two a second");
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

/// A time or a span, in microseconds.
pub type Micros = u64;

/// Microseconds in a second.
const MICROS_PER_SECOND: f64 = 1e6;

/// Seconds from one time to another; 0 if the second is the earlier.
fn seconds_between(from: Micros, to: Micros) -> f64 {
    to.saturating_sub(from) as f64 / MICROS_PER_SECOND
}
