//! Converts endpoint records into the types of the exchange and the policy.

use crate::hash::fnv1a;
use saffronpaddle_endpoints::EndpointRecord;
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, ServerId, ZoneId,
};
use std::net::SocketAddr;

/// A server's id, the same at every edge node: FNV-1a of its name.
pub fn server_id(host: &str) -> ServerId {
    ServerId(fnv1a(host))
}

/// An entry of the endpoint list for the policy, and its server's address. `zones` are the settings' names in their
/// order; a zone that is not among them is none of them.
pub fn server_entry(entry: &EndpointRecord, zones: &[String]) -> (Endpoint, SocketAddr) {
    let zone = zones.iter().position(|zone| **zone == *entry.zone);
    let server = Endpoint {
        server: server_id(&entry.host),
        zone: ZoneId(zone.map_or(u32::MAX, |place| place as u32)),
        domain: DeduplicationDomainId(entry.domain),
        status: match entry.status {
            saffronpaddle_endpoints::EndpointStatus::Ready => EndpointStatus::Ready,
            saffronpaddle_endpoints::EndpointStatus::Draining => EndpointStatus::Draining,
            saffronpaddle_endpoints::EndpointStatus::Removed => EndpointStatus::Removed,
        },
        size: entry.weight,
        started_at: (entry.started_at_ms > 0).then_some(entry.started_at_ms.saturating_mul(1000)),
    };
    (server, entry.address)
}
