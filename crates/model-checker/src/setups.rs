//! The bounds of the worlds that the checker visits.

mod large;
mod random;
mod real_policy;
mod small;

pub use large::large;
pub use random::random;
pub use real_policy::{real, real_policy};
pub use small::{late_duplicates, small};

use crate::world::{DuplicateResponses, Setup};
use saffronpaddle_exchange::Limits;
use saffronpaddle_policy::idempotency::ServerLocation;
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, DeduplicationScope, Idempotency, ZoneId,
};

/// An idempotency key that servers in the domain of the first attempt deduplicate for two ticks.
const KEYED: Idempotency = Idempotency::WithKey {
    scope: DeduplicationScope::Domain,
    window: 2,
};

/// Returns limits whose times are counted in ticks of 1 µs.
fn limits(max_connections: usize) -> Limits {
    Limits {
        max_connections,
        max_idle_per_server: 2,
        idle_timeout: 3,
        reuse_delay: 1,
        connect_timeout: 2,
        answer_grace: 1,
        max_attempts: 4,
    }
}

/// Returns the location of a server in a zone and a deduplication domain.
fn server(zone: u32, domain: u64) -> ServerLocation {
    ServerLocation {
        zone: ZoneId(zone),
        domain: DeduplicationDomainId(domain),
    }
}

/// Returns the setup on which the others are based: one idempotent request, two servers in different domains, at most
/// two connections and no faults.
fn base(name: &'static str, description: &'static str) -> Setup {
    Setup {
        name,
        description,
        requests: vec![Idempotency::Idempotent],
        shared_id: false,
        servers: vec![server(0, 0), server(0, 1)],
        endpoint_changes: Vec::new(),
        max_sends: 2,
        limits: limits(2),
        timeout_ticks: 3,
        horizon_ticks: 4,
        tick: 1,
        duplicate_responses: DuplicateResponses::Never,
        responses_carry_id: false,
        faults: false,
        clients_leave: false,
        node_drains: false,
        shutdown_ticks: None,
        policy_cancels: false,
        policy_rejects: true,
        upgrades: false,
        streaming_bodies: false,
        streaming_responses: false,
        late_timers: false,
    }
}
