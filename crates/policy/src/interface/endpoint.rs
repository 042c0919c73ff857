//! Entries of the endpoint list. Their names in JSON are those of the state that earlier builds stored.

use super::{DeduplicationDomainId, Micros, ServerId, ZoneId};
use serde::{Deserialize, Serialize};

/// What the endpoint list says of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointStatus {
    /// Its process runs.
    Ready,
    /// It finishes its work and takes nothing new.
    Draining,
    /// It was removed.
    #[default]
    #[serde(rename = "Gone")]
    Removed,
}

/// One server on the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The server.
    pub server: ServerId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its deduplication domain.
    #[serde(rename = "cell")]
    pub domain: DeduplicationDomainId,
    /// Its status.
    #[serde(rename = "standing")]
    pub status: EndpointStatus,
    /// Rough size against the others; above 0.
    pub size: f64,
    /// When it last started, µs; `None` for long ago.
    #[serde(rename = "started")]
    pub started_at: Option<Micros>,
}

/// How a change of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The complete list: a server that is not on it was removed.
    Snapshot,
    /// Only the endpoints that changed.
    Delta,
}
