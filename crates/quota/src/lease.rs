//! Leases: an owner gives a node a rate, a capacity and units of its own for a limited time, to be used without messages, so
//! that a node that reaches no owner goes on with what it leased and no more.
//!
//! **Quota.** Each unit is in one place: the issuer's tokens, or one holder's. While a lease stands, the issuer fills at its
//! rate less the rates that it has issued, up to its capacity less the capacities that it has issued; the holder fills at
//! the leased rate, up to the leased capacity. So the sum of all tokens never passes what one token bucket of the whole
//! quota would hold, whichever nodes can reach each other.
//!
//! **The holder's lease ends before the issuer counts it as its own again.** The holder counts the lease's duration from when
//! it *requested* it, shortened by one part in [`CLOCK_DRIFT_DIVISOR`]; the issuer counts all of it from when it *answered*.
//! The request left before it arrived, so the holder's end is the earlier one. The clocks need not agree, and their rates may
//! differ by one part in [`CLOCK_DRIFT_DIVISOR`]. A late answer only shortens the holder's lease; a repeated request is
//! answered as before and leases nothing more; a lost answer leaves the issuer with less for one lease duration.
//!
//! Units of a lease that are not used by its end are lost to the customer, and not added to the quota.

mod active;
mod issuer;

pub(crate) use active::ActiveLease;
pub(crate) use issuer::{
    IssueOutcome, IssueRequest, LeaseBudget, LeaseIssuer, LeaseScope, HARD_LIMIT_LEASE_FRACTION,
    QUOTA_LEASE_FRACTION,
};

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How long a lease lasts, µs. A longer one leaves rate idle where a customer's traffic has moved on; a shorter one leaves a
/// node that is cut off with nothing before it reaches its peers again.
pub const LEASE_DURATION: Micros = 6_000_000;
/// How far the rates of two clocks may differ: one part in this many.
pub const CLOCK_DRIFT_DIVISOR: Micros = 100;
/// A holder asks for renewal once less than this is left of its lease, µs.
const RENEWAL_WINDOW: Micros = 2_000_000;

/// A lease as it is sent to its holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lease {
    /// Units a second.
    pub rate: f64,
    /// Most units that the holder may accumulate.
    #[serde(rename = "room")]
    pub capacity: f64,
    /// Units that the holder has from the start.
    #[serde(rename = "units")]
    pub initial_tokens: f64,
}

/// What a holder reports to the issuer of its lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LeaseReport {
    /// Units a second.
    pub rate: f64,
    /// Most units that the holder may accumulate.
    pub capacity: f64,
    /// Time until the lease ends at the holder, µs.
    pub remaining: Micros,
}

/// What a requester tells an owner about leases.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaseDemand {
    /// Units a second that the requester would use.
    pub rate: f64,
    /// The lease that it still holds of this owner.
    pub current: Option<LeaseReport>,
}
