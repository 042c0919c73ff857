//! Leases: an owner assigns a node a part of its rate, capacity and tokens for a limited time.
//!
//! The node uses its lease without messages. A node that cannot reach an owner continues to admit requests up to its
//! lease.
//!
//! **Quota.** Each token belongs either to the issuer or to one holder. While a lease is active, the issuer refills at
//! its rate minus the leased rates, up to its capacity minus the leased capacities; the holder refills at the leased
//! rate, up to the leased capacity. The sum of all tokens therefore never exceeds what a single token bucket of the
//! entire quota would hold, whichever nodes can reach each other.
//!
//! **Expiry.** The lease expires at the holder before the issuer reclaims it. The holder measures the lease's duration,
//! shortened by one part in [`CLOCK_DRIFT_DIVISOR`], from the time at which it *sent the request*; the issuer measures
//! the full duration from the time at which it *sent the response*. The request was sent before the response, so the
//! holder's expiry is the earlier one. The clocks need not be synchronized, and their rates may differ by one part in
//! [`CLOCK_DRIFT_DIVISOR`]. A late response only shortens the holder's lease. A retransmitted request gets
//! the same response and no additional lease. A lost response reduces what the issuer can use for one lease duration.
//!
//! Units that a holder has not used when its lease expires are lost to the customer and not returned to the quota.

mod active;
mod issuer;

pub(crate) use active::ActiveLease;
pub(crate) use issuer::{
    IssueOutcome, IssueRequest, LeaseBudget, LeaseIssuer, LeaseScope, HARD_LIMIT_LEASE_FRACTION,
    QUOTA_LEASE_FRACTION,
};

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Duration of a lease, µs. A longer lease wastes rate at nodes that the customer's traffic has left; a shorter one
/// expires before a partitioned node reaches its peers again.
pub const LEASE_DURATION: Micros = 6_000_000;
/// Tolerated difference between the rates of two clocks: one part in this many.
pub const CLOCK_DRIFT_DIVISOR: Micros = 100;
/// Remaining time of a lease below which its holder requests a renewal, µs.
const RENEWAL_WINDOW: Micros = 2_000_000;

/// The terms of a lease, as the issuer sends them to the holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Refill rate, units per second.
    pub rate: f64,
    /// Maximum number of units that the holder may accumulate.
    #[serde(rename = "room")]
    pub capacity: f64,
    /// Units that the holder may use immediately.
    #[serde(rename = "units")]
    pub initial_tokens: f64,
}

/// The lease that a holder reports to its issuer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseReport {
    /// Refill rate, units per second.
    pub rate: f64,
    /// Maximum number of units that the holder may accumulate.
    pub capacity: f64,
    /// Time until the lease expires at the holder, µs.
    pub remaining: Micros,
}

/// A requester's demand for a lease, sent along with a grant request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseDemand {
    /// Rate that the requester would use, units per second.
    pub rate: f64,
    /// The lease from this owner that the requester still holds, if any.
    pub current: Option<LeaseReport>,
}
