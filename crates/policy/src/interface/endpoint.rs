//! Entries of the endpoint list. Their names in JSON are those in the state that earlier builds stored.

use super::{DeduplicationDomainId, Micros, ServerId, ZoneId};
use serde::{Deserialize, Serialize};

/// Status of a server on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// The server accepts requests.
    Ready,
    /// The server finishes its requests in flight and accepts no new ones.
    Draining,
    /// The server was removed from the list.
    #[default]
    #[serde(rename = "Gone")]
    Removed,
}

/// One server on the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[allow(missing_docs, reason = "the types of the other fields are documented")]
pub struct Endpoint {
    pub server: ServerId,
    pub zone: ZoneId,
    /// Domain within which the server deduplicates requests with idempotency keys.
    #[serde(rename = "cell")]
    pub domain: DeduplicationDomainId,
    #[serde(rename = "standing")]
    pub status: EndpointStatus,
    /// Approximate capacity relative to other servers; above 0.
    pub size: f64,
    /// When the server last started, µs; `None` if that was long ago.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
}

/// Whether an update of the endpoint list replaces the list or changes some of its entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The complete list. A server that is not on it was removed.
    Snapshot,
    /// Only the entries that have changed.
    Delta,
}
