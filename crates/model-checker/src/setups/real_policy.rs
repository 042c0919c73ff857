//! Worlds with the policy engine that nodes run.

use super::base;
use crate::world::{class_of, EndpointChange, RealPolicy, Setup};
use saffronpaddle_exchange::Limits;
use saffronpaddle_policy::interface::{
    Class, DeduplicationScope, DiscoveryMode, HardLimit, Idempotency, Micros, NodeId, Permissions,
    Plan, Settings, SettingsError, SlowStartRules, ZoneId,
};
use saffronpaddle_policy::PolicyEngine;

/// Unit of the settings below, in µs.
const MILLISECOND: Micros = 1_000;
/// How long servers deduplicate keys, µs.
const DEDUPLICATION_WINDOW: Micros = 2_000 * MILLISECOND;
/// Seed of the policy engine.
const POLICY_SEED: u64 = 1;
/// The time at which the policy engine starts, µs.
const POLICY_START: Micros = 1_000_000;

/// Returns a world for the real policy engine, with clock ticks of 50 ms.
pub fn real(idempotency: Idempotency) -> Setup {
    let idempotency = match idempotency {
        Idempotency::WithKey { scope, .. } => Idempotency::WithKey {
            scope,
            window: DEDUPLICATION_WINDOW,
        },
        other => other,
    };
    let name = ["real-safe", "real-keyed", "real-unsafe"][class_of(idempotency)];
    Setup {
        requests: vec![idempotency],
        endpoint_changes: vec![EndpointChange::Drain(0), EndpointChange::Move(1, 0)],
        limits: Limits {
            max_connections: 2,
            max_idle_per_server: 2,
            idle_timeout: 300 * MILLISECOND,
            reuse_delay: 10 * MILLISECOND,
            connect_timeout: 100 * MILLISECOND,
            answer_grace: 2 * MILLISECOND,
            max_attempts: 32,
        },
        timeout_ticks: 4,
        horizon_ticks: 5,
        tick: 50 * MILLISECOND,
        faults: true,
        clients_leave: true,
        // One tick covers both the deadline of the policy and that of the exchange, which is 2 ms later.
        late_timers: true,
        ..base(
            name,
            "one request with the real policy engine; a drain, an address change, all faults",
        )
    }
}

/// Returns the policy engine for such a world: one node, and one customer far below its quota.
///
/// # Errors
/// The policy engine rejects its settings.
pub fn real_policy(setup: &Setup) -> Result<RealPolicy, SettingsError> {
    let settings = settings(key_scope(setup));
    let engine = PolicyEngine::new(POLICY_SEED, settings, POLICY_START)?;
    Ok(RealPolicy(engine))
}

/// Returns the deduplication scope of the requests with a key.
fn key_scope(setup: &Setup) -> DeduplicationScope {
    setup
        .requests
        .iter()
        .find_map(|idempotency| match idempotency {
            Idempotency::WithKey { scope, .. } => Some(*scope),
            _ => None,
        })
        .unwrap_or(DeduplicationScope::Domain)
}

fn settings(scope: DeduplicationScope) -> Settings {
    let keyed = Idempotency::WithKey {
        scope,
        window: DEDUPLICATION_WINDOW,
    };
    Settings {
        node: NodeId(0),
        node_count: 1,
        zone: ZoneId(0),
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed),
            class(Idempotency::NonIdempotent),
        ],
        plans: vec![plan()],
        slow_start: SlowStartRules {
            initial_capacity: 0.1,
            warm_up_period: 1_000_000,
            overload_multiple: 2.0,
            overload_window: 1_000_000,
        },
        permissions: Permissions {
            max_attempts: 3,
            cancellation: true,
            peer_messages: false,
        },
        cross_zone_cost: 0.0,
        discovery: DiscoveryMode::Pushed,
        event_interval: 1_000,
        peer_messages_per_s: 0.0,
        max_request_units: 1.0,
        server_idle_timeout: 15_000_000,
        partition_safe: false,
        retransmission_budget: false,
        subsetting: false,
    }
}

fn class(idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 100 * MILLISECOND,
        late_value: 0.5,
        streamed: false,
        priority_weight: 1.0,
        idempotency,
    }
}

fn plan() -> Plan {
    Plan {
        rate: 100.0,
        burst: 100.0,
        max_in_flight: None,
        priority_weight: 1.0,
        over_quota_value: 0.0,
        over_quota_cost: 0.0,
        hard_limit: Some(HardLimit {
            rate: 200.0,
            capacity: 200.0,
        }),
    }
}
