//! Settings of a small node: four classes that differ in idempotency, and four plans that differ in their limits.

use saffronpaddle_policy::interface::*;

/// A class whose requests may be executed any number of times.
pub const IDEMPOTENT: ClassId = ClassId(0);
/// A class whose requests carry a key that servers of one deduplication domain recognize.
pub const KEYED_IN_DOMAIN: ClassId = ClassId(1);
/// A class whose requests must not be executed twice.
pub const NON_IDEMPOTENT: ClassId = ClassId(2);
/// A class whose requests carry a key that all servers recognize.
pub const KEYED_EVERYWHERE: ClassId = ClassId(3);

/// Index of a plan of 1 unit per second with a burst of 4.
pub const METERED: usize = 0;
/// Index of a plan without a quota.
pub const UNLIMITED: usize = 1;
/// Index of a plan whose quota is far above its hard limit of 8 units per second with a burst of 12.
pub const HARD_LIMITED: usize = 2;
/// Index of a plan with two attempts in flight over all nodes.
pub const TWO_IN_FLIGHT: usize = 3;

/// Deduplication window of keyed requests, µs.
const KEY_WINDOW: Micros = 500 * MILLISECOND;

/// Returns the settings of node `node` in a fleet of `node_count` nodes.
pub fn settings(node: u32, node_count: u32) -> Settings {
    Settings {
        node: NodeId(node),
        node_count,
        zone: ZoneId(0),
        classes: classes(),
        plans: plans(),
        slow_start: SlowStartRules {
            initial_capacity: 0.2,
            warm_up_period: 10 * SECOND,
            overload_multiple: 3.0,
            overload_window: SECOND,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancellation: true,
            peer_messages: true,
        },
        cross_zone_cost: 0.0,
        discovery: DiscoveryMode::Pushed,
        event_interval: 2 * MILLISECOND,
        peer_messages_per_s: 60.0,
        max_request_units: 1.0,
        server_idle_timeout: 15 * SECOND,
        partition_safe: false,
        retransmission_budget: false,
        subsetting: true,
    }
}

fn classes() -> Vec<Class> {
    let class = |priority_weight, idempotency| Class {
        latency_objective: 800 * MILLISECOND,
        late_value: 0.2,
        streamed: false,
        priority_weight,
        idempotency,
    };
    let keyed = |scope| Idempotency::WithKey {
        scope,
        window: KEY_WINDOW,
    };
    vec![
        class(1.0, Idempotency::Idempotent),
        class(2.0, keyed(DeduplicationScope::Domain)),
        class(9.0, Idempotency::NonIdempotent),
        class(3.0, keyed(DeduplicationScope::All)),
    ]
}

fn plans() -> Vec<Plan> {
    let metered = Plan {
        rate: 1.0,
        burst: 4.0,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.5,
        hard_limit: None,
    };
    let unlimited = Plan {
        rate: 0.0,
        ..metered.clone()
    };
    let hard_limited = Plan {
        rate: 1000.0,
        burst: 1000.0,
        hard_limit: Some(HardLimit {
            rate: 8.0,
            capacity: 12.0,
        }),
        ..metered.clone()
    };
    let two_in_flight = Plan {
        rate: 1000.0,
        burst: 1000.0,
        max_in_flight: Some(2),
        ..metered.clone()
    };
    vec![metered, unlimited, hard_limited, two_in_flight]
}

/// Returns a ready server. Odd and even ids are in different zones and deduplication domains.
pub fn endpoint(server: u64) -> Endpoint {
    Endpoint {
        server: ServerId(server),
        zone: ZoneId((server % 2) as u32),
        domain: domain_of(ServerId(server)),
        status: EndpointStatus::Ready,
        size: 1.0,
        started_at: None,
    }
}

/// Returns the deduplication domain of a server created by [`endpoint`].
pub fn domain_of(server: ServerId) -> DeduplicationDomainId {
    DeduplicationDomainId(server.0 % 2)
}
