//! Messages between a node and an owner about one customer request.
//!
//! A node sends a [`GrantRequest`] and may retransmit it with the same serial number for [`GRANT_LIFETIME`]. The owner
//! responds to every copy with a [`GrantResponse`].

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Time for which a grant request may be retransmitted, and for which its grant is valid under a hard limit, µs.
pub const GRANT_LIFETIME: Micros = 240_000;

/// A request to an owner for quota units.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantRequest {
    /// The number of the requesting node.
    pub requester: u32,
    /// The requester's serial number of this request; a retransmission has the same number.
    pub serial: u16,
    /// Quota units that the customer's request costs; 0 if an owner requests only a lease from its standby.
    pub units: f64,
}

/// An owner's decision on a grant request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GrantDecision {
    /// The request is admitted.
    Granted,
    /// The shard has too few quota tokens.
    #[serde(rename = "Short")]
    OverQuota,
    /// The customer's limit on attempts in flight is reached.
    #[serde(rename = "Full")]
    TooManyInFlight,
    /// The shard has too few hard limit tokens.
    #[serde(rename = "Over")]
    OverHardLimit,
}

/// An owner's response to a grant request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantResponse {
    /// Whether the request is admitted, and if not, which limit rejected it.
    pub decision: GrantDecision,
    /// Fraction of the customer's requests for which the node should send a grant request, 0 to 1.
    pub sampling_probability: f64,
    /// Time during which no request of the customer can be granted, µs. The node rejects requests locally until then.
    /// The retry time that the node reports to its clients is shorter, because a lease or another owner may admit their
    /// requests.
    pub retry_after: Micros,
    /// The shard's tokens as a fraction of its capacity, 0 to 1.
    pub fill_ratio: f64,
}
