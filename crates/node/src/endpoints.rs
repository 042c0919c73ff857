//! Converts records of the endpoint list into the policy's endpoints.

use crate::hash::fnv1a;
use saffronpaddle_endpoints::EndpointRecord;
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, ServerId, ZoneId,
};
use std::net::SocketAddr;

/// Returns a server's id, which is the same on every node: the FNV-1a hash of the server's name.
pub fn server_id(host: &str) -> ServerId {
    ServerId(fnv1a(host))
}

/// Converts a record of the endpoint list into the policy's endpoint and the server's address. `zones`: the zone names
/// in the order of the settings. A zone that is not among them becomes `ZoneId(u32::MAX)`, which matches none.
pub fn to_policy_endpoint(entry: &EndpointRecord, zones: &[String]) -> (Endpoint, SocketAddr) {
    let zone = zones.iter().position(|zone| **zone == *entry.zone);
    let server = Endpoint {
        server: server_id(&entry.host),
        zone: ZoneId(zone.map_or(u32::MAX, |index| index as u32)),
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
