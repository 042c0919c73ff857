//! Parses the settings from the JSON that the platform writes, and maps its names to the terms of this crate. Used by
//! the simulator's adapter and by the edge node.

use crate::interface::{
    Class, DeduplicationScope, DiscoveryMode, HardLimit, Idempotency, Micros, NodeId, Permissions,
    Plan, Settings, SlowStartRules, ZoneId,
};
use serde::Deserialize;
use std::fmt;

/// The settings as the platform writes them. Fields that this crate does not use are ignored.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireSettings {
    #[serde(rename = "balancers")]
    node_count: u32,
    #[serde(rename = "me")]
    node: u32,
    zone: String,
    zones: Vec<String>,
    classes: Vec<WireClass>,
    #[serde(rename = "packages")]
    plans: Vec<WirePlan>,
    #[serde(rename = "ceilings")]
    limits: WireLimits,
    rules: WireRules,
    #[serde(default, rename = "deductions")]
    costs: WireCosts,
    #[serde(default)]
    extra: WireExtra,
    discovery: WireDiscovery,
    period_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    name: String,
    #[serde(rename = "aimUs")]
    latency_objective_us: u64,
    #[serde(default)]
    deadline_us: u64,
    #[serde(default)]
    late_value: f64,
    #[serde(rename = "worth")]
    priority_weight: f64,
    repeat: WireIdempotency,
    #[serde(default)]
    group: Option<WireGroup>,
    #[serde(default)]
    window_us: u64,
    #[serde(default)]
    streamed: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireIdempotency {
    ReadLike,
    IdempotencyKey,
    NonIdempotent,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum WireGroup {
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WirePlan {
    name: String,
    rate: f64,
    #[serde(rename = "storeSize")]
    burst: f64,
    #[serde(default, rename = "atOnce")]
    max_in_flight: u32,
    #[serde(rename = "price")]
    priority_weight: f64,
    #[serde(default, rename = "overWorth")]
    over_quota_value: f64,
    #[serde(default, rename = "overrunCost")]
    over_quota_cost: f64,
    #[serde(default, rename = "capRate")]
    hard_limit_rate: f64,
    #[serde(default, rename = "neverOverDepth")]
    hard_limit_capacity: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireLimits {
    #[serde(rename = "sendCap")]
    max_attempts: u32,
    cancel: bool,
    #[serde(rename = "mayTell")]
    peer_messages: bool,
    #[serde(default = "default_idle_timeout_us", rename = "connIdleUs")]
    server_idle_timeout_us: u64,
    #[serde(default = "default_connect_timeout_us")]
    connect_timeout_us: u64,
}

fn default_idle_timeout_us() -> u64 {
    15_000_000
}

fn default_connect_timeout_us() -> u64 {
    250_000
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    #[serde(rename = "coldFrom")]
    initial_capacity: f64,
    #[serde(rename = "coldUs")]
    warm_up_us: u64,
    #[serde(rename = "fallMultiple")]
    overload_multiple: f64,
    #[serde(rename = "overloadForUs")]
    overload_window_us: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct WireCosts {
    #[serde(default, rename = "crossZone")]
    cross_zone_cost: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct WireExtra {
    #[serde(default, rename = "peerInPerS")]
    peer_messages_per_s: f64,
    #[serde(default, rename = "maxUnits")]
    max_request_units: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireDiscovery {
    Automatic,
    Subscribe,
}

/// The engine's settings, the names by which requests and endpoints refer to classes, plans and zones, and the time
/// limits of clients and connections.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// The engine's settings.
    pub settings: Settings,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// Names of the plans, in the order of their ids.
    pub plans: Vec<String>,
    /// Names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// Longest time that a client of any class waits, µs.
    pub longest_deadline: Micros,
    /// Idle time after which a server closes a connection, µs.
    pub server_idle_timeout: Micros,
    /// Time after which an attempt to establish a connection is given up, µs.
    pub connect_timeout: Micros,
}

/// Why settings could not be read.
#[derive(Debug)]
pub enum ReadError {
    /// The text is not JSON, or lacks a required field, or has one of a wrong type.
    Json(serde_json::Error),
    /// The node's zone is not in the list of zones.
    UnknownZone,
    /// A class with idempotency keys lacks the group of servers that deduplicate them.
    MissingGroup {
        /// Name of the class.
        class: String,
    },
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ReadError::Json(error) => error.fmt(f),
            ReadError::UnknownZone => {
                f.write_str("the value of field `zone` is not in field `zones`")
            }
            ReadError::MissingGroup { class } => write!(
                f,
                "class {class}: `repeat` is `idempotency_key`, but field `group` is missing"
            ),
        }
    }
}

impl std::error::Error for ReadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            ReadError::Json(error) => Some(error),
            ReadError::UnknownZone | ReadError::MissingGroup { .. } => None,
        }
    }
}

/// Parses settings from JSON.
///
/// # Errors
/// Returns an error if the text does not parse, if the node's zone is not listed, or if a class with idempotency keys
/// has no group.
pub fn read(text: &str) -> Result<PlatformSettings, ReadError> {
    let wire: WireSettings = serde_json::from_str(text).map_err(ReadError::Json)?;
    let settings = wire.to_settings()?;
    let deadlines = wire.classes.iter().map(|class| class.deadline_us);
    Ok(PlatformSettings {
        settings,
        longest_deadline: deadlines.max().unwrap_or(0),
        server_idle_timeout: wire.limits.server_idle_timeout_us,
        connect_timeout: wire.limits.connect_timeout_us,
        classes: wire.classes.into_iter().map(|class| class.name).collect(),
        plans: wire.plans.into_iter().map(|plan| plan.name).collect(),
        zones: wire.zones,
    })
}

impl WireSettings {
    fn to_settings(&self) -> Result<Settings, ReadError> {
        let zone = self.zones.iter().position(|name| *name == self.zone);
        let zone = zone.ok_or(ReadError::UnknownZone)?;
        let classes = self.classes.iter().map(WireClass::to_class);
        Ok(Settings {
            node: NodeId(self.node),
            node_count: self.node_count,
            zone: ZoneId(zone as u32),
            classes: classes.collect::<Result<_, _>>()?,
            plans: self.plans.iter().map(WirePlan::to_plan).collect(),
            slow_start: SlowStartRules {
                initial_capacity: self.rules.initial_capacity,
                warm_up_period: self.rules.warm_up_us,
                overload_multiple: self.rules.overload_multiple,
                overload_window: self.rules.overload_window_us,
            },
            permissions: Permissions {
                max_attempts: self.limits.max_attempts,
                cancellation: self.limits.cancel,
                peer_messages: self.limits.peer_messages,
            },
            cross_zone_cost: self.costs.cross_zone_cost,
            discovery: match self.discovery {
                WireDiscovery::Automatic => DiscoveryMode::Pushed,
                WireDiscovery::Subscribe => DiscoveryMode::Subscribed,
            },
            event_interval: self.period_us,
            peer_messages_per_s: self.extra.peer_messages_per_s,
            max_request_units: self.extra.max_request_units,
            server_idle_timeout: self.limits.server_idle_timeout_us,
            // These are not in the platform's settings; the operator sets them.
            partition_safe: false,
            retransmission_budget: false,
            subsetting: false,
        })
    }
}

impl WireClass {
    fn to_class(&self) -> Result<Class, ReadError> {
        let idempotency = match self.repeat {
            WireIdempotency::ReadLike => Idempotency::Idempotent,
            WireIdempotency::NonIdempotent => Idempotency::NonIdempotent,
            WireIdempotency::IdempotencyKey => Idempotency::WithKey {
                scope: self.scope()?,
                window: self.window_us,
            },
        };
        Ok(Class {
            latency_objective: self.latency_objective_us,
            late_value: self.late_value,
            priority_weight: self.priority_weight,
            idempotency,
            streamed: self.streamed,
        })
    }

    fn scope(&self) -> Result<DeduplicationScope, ReadError> {
        let class = self.name.clone();
        let group = self.group.ok_or(ReadError::MissingGroup { class })?;
        Ok(match group {
            WireGroup::All => DeduplicationScope::All,
            WireGroup::Zone => DeduplicationScope::Zone,
            WireGroup::Cell => DeduplicationScope::Domain,
        })
    }
}

impl WirePlan {
    fn to_plan(&self) -> Plan {
        let hard_limit = HardLimit {
            rate: self.hard_limit_rate,
            capacity: self.hard_limit_capacity,
        };
        Plan {
            rate: self.rate,
            burst: self.burst,
            max_in_flight: (self.max_in_flight > 0).then_some(self.max_in_flight),
            priority_weight: self.priority_weight,
            over_quota_value: self.over_quota_value,
            over_quota_cost: self.over_quota_cost,
            hard_limit: (hard_limit.rate > 0.0).then_some(hard_limit),
        }
    }
}
