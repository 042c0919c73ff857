//! How a customer's quota is kept over hundreds of gateways that each see little of it.
//!
//! A few gateways, its homes, keep the quota in parts ([`QuotaShard`]); who sees a try asks one. What a home says is remembered by
//! who asked ([`RejectionCache`]): until when nothing can be had, so that tries till then are turned away here and at once, without
//! a word; and how full the part was, so that a home that has lost its state, or a gateway that hears no home, can go by that.
//!
//! A home also lends: a rate, for a while, to who has asked often ([`Lease`]), which is used without a word and goes on
//! where no home is heard.
//!
//! No input or output; time, in µs, is an argument.
//!
//! ```
//! use saffronpaddle_quota::{GrantDecision, GrantRequest, InitialTokens, QuotaShard, ShardLimits};
//! let limits = ShardLimits { rate: 2.0, capacity: 4.0, max_in_flight: None, hard_limit: None };
//! let mut shard = QuotaShard::open(0, InitialTokens::Full, 0, &limits);
//! let request = |serial| GrantRequest { requester: 7, serial, units: 3.0 };
//! let granted = shard.request_grant(0, request(1), &limits, 200_000);
//! assert_eq!(granted.decision, GrantDecision::Granted);
//! let denied = shard.request_grant(0, request(2), &limits, 200_000);
//! assert_eq!(denied.decision, GrantDecision::OverQuota);
//! assert_eq!(denied.retry_after, 1_000_000, "two of three units are missing, at two a second");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod keeper;
mod lease;
mod memory;

pub use keeper::{
    GrantDecision, GrantRequest, GrantResponse, InitialTokens, QuotaShard, ShardLimits,
    GRANT_LIFETIME,
};
pub use lease::{
    ActiveLease, Lease, LeaseDemand, LeaseIssuer, CLOCK_DRIFT_DIVISOR, LEASE_DURATION,
};
pub use memory::RejectionCache;

/// A time or a span, in microseconds.
pub type Micros = u64;
