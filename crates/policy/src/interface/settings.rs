//! The settings of an engine, and their validation.

use super::{Micros, NodeId, ZoneId};
use std::fmt;

/// Which servers deduplicate a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// Servers in the zone of the first attempt's server.
    Zone,
    /// Servers in the deduplication domain of the first attempt's server.
    Domain,
}

/// The effect of a second execution of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A second execution has no effect, so the request may be repeated.
    Idempotent,
    /// A second execution has no effect in `scope`, until `window` after the first attempt that may have run was
    /// dispatched.
    WithKey {
        /// Servers that deduplicate the request.
        scope: DeduplicationScope,
        /// How long they deduplicate it, µs.
        window: Micros,
    },
    /// A second execution does harm, so the request must never be executed twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Latency up to which a response has its full value, µs.
    pub latency_objective: Micros,
    /// Share of the full value, 0 to 1, that a response after the objective still has.
    pub late_value: f64,
    /// Value of a response within the objective, relative to other classes.
    pub priority_weight: f64,
    /// The effect of a second execution.
    pub idempotency: Idempotency,
    /// Responses are streams: once one has started, the client's deadline no longer applies.
    pub streamed: bool,
}

/// A limit on the units that all nodes together forward for one customer, which must never be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Units per second.
    pub rate: f64,
    /// Units that may be forwarded at once.
    pub capacity: f64,
}

/// A plan, which defines the quota of each of its customers over all nodes together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units per second; 0 for no rate limit.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be in flight at once; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// Factor by which the priority weight of the class is multiplied.
    pub priority_weight: f64,
    /// Share of its value, 0 to 1, that a request over the quota has.
    pub over_quota_value: f64,
    /// Cost of forwarding a request over the quota, as a share of its value.
    pub over_quota_cost: f64,
    /// Limit that must never be exceeded; `None` for no such limit.
    pub hard_limit: Option<HardLimit>,
}

/// How changes of the endpoint list reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// The node receives the changes without a subscription.
    Pushed,
    /// The node receives the changes after it has requested [`Action::Subscribe`](super::Action::Subscribe).
    Subscribed,
}

/// The capacity of a server while it warms up after its start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// Minimum share of its full capacity, 0 to 1, that a server has when it starts.
    pub initial_capacity: f64,
    /// Time after its start at which a server has its full capacity, µs.
    pub warm_up_period: Micros,
    /// Multiple of its present capacity above which load makes a server fail.
    pub overload_multiple: f64,
    /// Time for which such a load must last to make a server fail, µs.
    pub overload_window: Micros,
}

/// What the site permits the engine to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Maximum number of attempts per request.
    pub max_attempts: u32,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Whether messages may be sent to other nodes.
    pub peer_messages: bool,
}

/// The settings with which an engine starts.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the types of the other fields are documented")]
pub struct Settings {
    /// Number of this node; below `node_count`.
    pub node: NodeId,
    /// Number of nodes in the fleet.
    pub node_count: u32,
    /// The zone of this node.
    pub zone: ZoneId,
    /// Classes of requests, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Customers' plans, indexed by [`PlanId`](super::PlanId).
    pub plans: Vec<Plan>,
    pub slow_start: SlowStartRules,
    pub permissions: Permissions,
    /// Cost per request of an attempt that crosses zones.
    pub cross_zone_cost: f64,
    pub discovery: DiscoveryMode,
    /// Shortest interval between two rounds of events, µs.
    pub event_interval: Micros,
    /// Maximum number of messages per second that a node receives from peers.
    pub peer_messages_per_s: f64,
    /// Units of the largest request.
    pub max_request_units: f64,
    /// Idle time after which a server closes a connection, µs.
    pub server_idle_timeout: Micros,
    /// Whether each owner of a customer's quota holds its own share, so that owners that cannot reach each other never
    /// grant more than the entire quota. Must be the same at all nodes.
    pub partition_safe: bool,
    /// Whether a message budget limits the retransmissions of grant requests.
    pub retransmission_budget: bool,
    /// Whether each server of a long endpoint list is used by some nodes only. Must be the same at all nodes.
    pub subsetting: bool,
}

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// The list of classes is empty.
    NoClasses,
    /// The list of plans is empty.
    NoPlans,
    /// The number of this node is not below the number of nodes.
    UnknownNode,
    /// A number is negative, infinite or not a number.
    InvalidNumber,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => f.write_str("the list of classes is empty"),
            Self::NoPlans => f.write_str("the list of plans is empty"),
            Self::UnknownNode => {
                f.write_str("the number of this node is not below the number of nodes")
            }
            Self::InvalidNumber => f.write_str("a number is negative, infinite or not a number"),
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Validates the settings.
    ///
    /// # Errors
    /// Returns the first problem found.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.plans.is_empty() {
            return Err(SettingsError::NoPlans);
        }
        if self.node.0 >= self.node_count {
            return Err(SettingsError::UnknownNode);
        }
        let is_valid = |number: &f64| number.is_finite() && *number >= 0.0;
        if !self.numbers().iter().all(is_valid) {
            return Err(SettingsError::InvalidNumber);
        }
        Ok(())
    }

    /// All numbers that must be finite and not negative.
    fn numbers(&self) -> Vec<f64> {
        let mut numbers = vec![
            self.slow_start.initial_capacity,
            self.slow_start.overload_multiple,
            self.cross_zone_cost,
            self.peer_messages_per_s,
            self.max_request_units,
        ];
        for plan in &self.plans {
            numbers.extend([
                plan.rate,
                plan.burst,
                plan.priority_weight,
                plan.over_quota_value,
                plan.over_quota_cost,
            ]);
            if let Some(limit) = plan.hard_limit {
                numbers.extend([limit.rate, limit.capacity]);
            }
        }
        for class in &self.classes {
            numbers.extend([class.priority_weight, class.late_value]);
        }
        numbers
    }

    /// The shortest latency objective of all classes, at least 1 µs.
    pub(crate) fn shortest_objective(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective);
        objectives.min().unwrap_or(1).max(1) as f64
    }

    /// The class with the lowest priority weight.
    pub(crate) fn lowest_priority(&self) -> super::ClassId {
        let weight = |index: &usize| self.classes[*index].priority_weight;
        let lowest = (0..self.classes.len()).min_by(|a, b| weight(a).total_cmp(&weight(b)));
        super::ClassId(lowest.unwrap_or(0))
    }
}
