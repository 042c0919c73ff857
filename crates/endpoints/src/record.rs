//! The record of an app server in the endpoint list.

use serde::Deserialize;
use std::net::SocketAddr;
use std::sync::Arc;

/// A server's status, ordered from the least to the most restrictive one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStatus {
    /// The server accepts requests.
    Ready,
    /// The server finishes its open requests and accepts no new ones.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// An app server with the properties that the platform's discovery lists.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// The server's name, which is the same at every node.
    pub host: Arc<str>,
    /// The address to connect to, which may differ from node to node.
    pub address: SocketAddr,
    /// The name of the server's zone.
    pub zone: Arc<str>,
    /// The deduplication domain: the group of servers within which repeated idempotency keys are dropped.
    pub domain: u64,
    /// Whether the server accepts requests.
    pub status: EndpointStatus,
    /// The server's capacity relative to other servers, above 0.
    pub weight: f64,
    /// When the server last started, in Unix milliseconds; 0 if it started long ago.
    pub started_at_ms: u64,
}
