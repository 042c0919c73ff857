//! What a node and an owner exchange about one request.
//!
//! A node sends a [`GrantRequest`] and may repeat it under the same serial number for [`GRANT_LIFETIME`]; the owner answers
//! each with a [`GrantResponse`].

use crate::Micros;
use serde::{Deserialize, Serialize};

/// How long a grant request may be repeated, and how long its grant is valid under a hard limit, µs.
pub const GRANT_LIFETIME: Micros = 240_000;

/// A request for a grant, sent to an owner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRequest {
    /// The node that asks.
    pub requester: u32,
    /// The requester's number for this request; a repetition has the same.
    pub serial: u16,
    /// Quota units that the customer's request costs; 0 where an owner asks its standby for a lease alone.
    pub units: f64,
}

/// An owner's decision on a grant request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantDecision {
    /// The request is admitted.
    Granted,
    /// The shard has too few tokens.
    #[serde(rename = "Short")]
    OverQuota,
    /// As many attempts are in flight as the customer may have.
    #[serde(rename = "Full")]
    TooManyInFlight,
    /// The shard has too few tokens of the hard limit.
    #[serde(rename = "Over")]
    OverHardLimit,
}

/// An owner's answer to a grant request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantResponse {
    /// Whether the request is admitted.
    pub decision: GrantDecision,
    /// Fraction of the customer's requests for which the node should ask an owner, 0 to 1.
    pub sampling_probability: f64,
    /// Time within which no request of the customer can be granted, µs. The node rejects by itself meanwhile. What its clients
    /// are told is decided there, and is shorter: their requests may also be covered by a lease or another owner.
    pub retry_after: Micros,
    /// Tokens of the shard as a fraction of its capacity, 0 to 1.
    pub fill_ratio: f64,
}
