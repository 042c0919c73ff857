//! The settings as JSON, from the wire's words into the module's. The simulator's adapter and the edge node
//! share this reading.

use crate::interface::{
    Class, DeduplicationScope, DiscoveryMode, HardLimit, Idempotency, Micros, NodeId, Permissions,
    Plan, Settings, SlowStartRules, ZoneId,
};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Setup {
    balancers: u32,
    me: u32,
    zone: String,
    zones: Vec<String>,
    classes: Vec<WireClass>,
    packages: Vec<WirePlan>,
    ceilings: Limits,
    rules: WireRules,
    #[serde(default)]
    deductions: Deductions,
    #[serde(default)]
    extra: Extra,
    discovery: WireDiscovery,
    period_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireClass {
    name: String,
    aim_us: u64,
    #[serde(default)]
    deadline_us: u64,
    #[serde(default)]
    late_value: f64,
    worth: f64,
    repeat: Repeat,
    #[serde(default)]
    group: Option<WireGroup>,
    #[serde(default)]
    window_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Repeat {
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
    store_size: f64,
    #[serde(default)]
    at_once: u32,
    price: f64,
    #[serde(default)]
    over_worth: f64,
    #[serde(default)]
    overrun_cost: f64,
    #[serde(default)]
    cap_rate: f64,
    #[serde(default)]
    never_over_depth: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    send_cap: u32,
    cancel: bool,
    may_tell: bool,
    #[serde(default = "default_idle")]
    conn_idle_us: u64,
    #[serde(default = "default_connect")]
    connect_timeout_us: u64,
}

fn default_idle() -> u64 {
    15_000_000
}

fn default_connect() -> u64 {
    250_000
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WireRules {
    cold_from: f64,
    cold_us: u64,
    fall_multiple: f64,
    overload_for_us: u64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Deductions {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase")]
struct Extra {
    #[serde(default)]
    peer_in_per_s: f64,
    #[serde(default)]
    max_units: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum WireDiscovery {
    Automatic,
    Subscribe,
}

/// Settings, with the names that later lines use and the figures that only sockets need.
#[derive(Clone, Debug)]
pub struct NamedSettings {
    /// What the module is told.
    pub settings: Settings,
    /// Names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// Names of the plans, likewise.
    pub plans: Vec<String>,
    /// Names of the zones, likewise.
    pub zones: Vec<String>,
    /// How long a client of any class waits at the most.
    pub longest_deadline: Micros,
    /// A server closes a connection that has stood idle for so long.
    pub server_idle_timeout: Micros,
    /// A connection that has not come up by then never will.
    pub connect_timeout: Micros,
}

/// Reads settings from their JSON text.
///
/// # Errors
/// What is wrong with them, in a line.
pub fn read(text: &str) -> Result<NamedSettings, String> {
    let setup: Setup = serde_json::from_str(text).map_err(|error| error.to_string())?;
    let zone = setup.zones.iter().position(|name| *name == setup.zone);
    let zone = ZoneId(zone.ok_or("zone is not among zones")? as u32);
    let classes = setup.classes.iter().map(class).collect::<Result<_, _>>()?;
    let settings = Settings {
        node: NodeId(setup.me),
        node_count: setup.balancers,
        zone,
        classes,
        plans: setup.packages.iter().map(plan).collect(),
        slow_start: SlowStartRules {
            initial_capacity: setup.rules.cold_from,
            warm_up_period: setup.rules.cold_us,
            overload_multiple: setup.rules.fall_multiple,
            overload_window: setup.rules.overload_for_us,
        },
        permissions: Permissions {
            max_attempts: setup.ceilings.send_cap,
            cancellation: setup.ceilings.cancel,
            peer_messages: setup.ceilings.may_tell,
        },
        cross_zone_cost: setup.deductions.cross_zone,
        discovery: match setup.discovery {
            WireDiscovery::Automatic => DiscoveryMode::Pushed,
            WireDiscovery::Subscribe => DiscoveryMode::Subscribed,
        },
        event_interval: setup.period_us,
        peer_messages_per_s: setup.extra.peer_in_per_s,
        max_request_units: setup.extra.max_units,
        server_idle_timeout: setup.ceilings.conn_idle_us,
        // The installation's to set, not the platform's.
        partition_safe: false,
        retransmission_budget: false,
        subsetting: false,
    };
    Ok(NamedSettings {
        settings,
        longest_deadline: setup
            .classes
            .iter()
            .map(|class| class.deadline_us)
            .max()
            .unwrap_or(0),
        server_idle_timeout: setup.ceilings.conn_idle_us,
        connect_timeout: setup.ceilings.connect_timeout_us,
        classes: setup.classes.into_iter().map(|class| class.name).collect(),
        plans: setup.packages.into_iter().map(|plan| plan.name).collect(),
        zones: setup.zones,
    })
}

fn class(wire: &WireClass) -> Result<Class, String> {
    let effect = match wire.repeat {
        Repeat::ReadLike => Idempotency::Idempotent,
        Repeat::NonIdempotent => Idempotency::NonIdempotent,
        Repeat::IdempotencyKey => Idempotency::WithKey {
            scope: match wire.group {
                Some(WireGroup::All) => DeduplicationScope::All,
                Some(WireGroup::Zone) => DeduplicationScope::Zone,
                Some(WireGroup::Cell) => DeduplicationScope::Domain,
                None => return Err(format!("class {}: group is missing", wire.name)),
            },
            window: wire.window_us,
        },
    };
    Ok(Class {
        latency_objective: wire.aim_us,
        late_value: wire.late_value,
        priority_weight: wire.worth,
        idempotency: effect,
    })
}

fn plan(wire: &WirePlan) -> Plan {
    Plan {
        rate: wire.rate,
        burst: wire.store_size,
        max_in_flight: (wire.at_once > 0).then_some(wire.at_once),
        priority_weight: wire.price,
        over_quota_value: wire.over_worth,
        over_quota_cost: wire.overrun_cost,
        hard_limit: (wire.cap_rate > 0.0).then_some(HardLimit {
            rate: wire.cap_rate,
            capacity: wire.never_over_depth,
        }),
    }
}
