//! One app server on the list.

use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// A server's status; the more careful one is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStatus {
    /// It takes requests.
    Ready,
    /// It finishes its requests and takes no new ones.
    Draining,
    /// It is not on the list any more.
    Removed,
}

/// A server on the list, with the fields of the platform's discovery.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Its name, the same at every node.
    pub host: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of its zone.
    pub zone: Arc<str>,
    /// Its deduplication domain: the group of servers that drops repeats of a key.
    pub domain: u64,
    /// Its status.
    pub status: EndpointStatus,
    /// Its size relative to other servers, above 0.
    pub weight: f64,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    pub started_at_ms: u64,
}
