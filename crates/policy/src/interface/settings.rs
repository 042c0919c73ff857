//! The settings of an engine, and their validation.

use super::{Micros, NodeId, ZoneId};
use std::fmt;

/// Which servers drop a second execution of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every server.
    All,
    /// Servers in the zone of the first attempt's server.
    Zone,
    /// Servers in its deduplication domain.
    Domain,
}

/// What a second execution of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: it may be repeated.
    Idempotent,
    /// It is dropped inside `scope`, for `window` after the first attempt that may have run was dispatched.
    WithKey {
        /// Where second executions are dropped.
        scope: DeduplicationScope,
        /// For how long they are dropped, µs.
        window: Micros,
    },
    /// Harm: it must never run twice.
    NonIdempotent,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// A response within this span, µs, has its full value.
    pub latency_objective: Micros,
    /// Share of its value, 0 to 1, that a response after the objective still has.
    pub late_value: f64,
    /// Value of one request in time, against those of other classes.
    pub priority_weight: f64,
    /// What a second execution does.
    pub idempotency: Idempotency,
}

/// A limit on what all nodes together forward for one customer, which must never be exceeded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Units per second.
    pub rate: f64,
    /// Most units at once.
    pub capacity: f64,
}

/// A plan: the quota of each of its customers, over all nodes together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units per second; 0 for no limit by rate.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Attempts that may be in flight at once; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// Factor on the priority weight of the class.
    pub priority_weight: f64,
    /// Share of its value, 0 to 1, that a request beyond the quota has.
    pub over_quota_value: f64,
    /// Share of its value that forwarding a request beyond the quota costs.
    pub over_quota_cost: f64,
    /// The hard limit, if the plan has one.
    pub hard_limit: Option<HardLimit>,
}

/// How changes of the endpoint list reach the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// By themselves.
    Pushed,
    /// After [`Action::Subscribe`](super::Action::Subscribe).
    Subscribed,
}

/// What a server that has just started can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartRules {
    /// Share of its capacity, 0 to 1, that a server has at least when it starts.
    pub initial_capacity: f64,
    /// Span after which it has its full capacity, µs.
    pub warm_up_period: Micros,
    /// Work above this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... over this span, µs, makes it fail.
    pub overload_window: Micros,
}

/// What the site permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Attempts may be cancelled.
    pub cancellation: bool,
    /// Messages may be sent to other nodes.
    pub peer_messages: bool,
}

/// All that an engine is given at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This node.
    pub node: NodeId,
    /// How many nodes there are.
    pub node_count: u32,
    /// This node's zone.
    pub zone: ZoneId,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// Customers' plans.
    pub plans: Vec<Plan>,
    /// What servers that have just started can take.
    pub slow_start: SlowStartRules,
    /// What the site permits.
    pub permissions: Permissions,
    /// Cost of an attempt that crosses zones, per request.
    pub cross_zone_cost: f64,
    /// How changes of the endpoint list come.
    pub discovery: DiscoveryMode,
    /// Shortest span between two rounds of events, µs.
    pub event_interval: Micros,
    /// Messages from peers that a node receives per second at most.
    pub peer_messages_per_s: f64,
    /// Units of the largest request.
    pub max_request_units: f64,
    /// A server closes a connection that has been idle for so long, µs.
    pub server_idle_timeout: Micros,
    /// Whether each owner of a customer's quota holds a share of its own, so that owners that cannot reach each other
    /// never grant more than the whole. The same at all nodes.
    pub partition_safe: bool,
    /// Whether grant requests are retransmitted only within a message budget.
    pub retransmission_budget: bool,
    /// Whether each server of a long endpoint list is used by some nodes only. The same at all nodes.
    pub subsetting: bool,
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettingsError {
    /// There is no class.
    NoClasses,
    /// There is no plan.
    NoPlans,
    /// There is no node, or this one's number is not among them.
    UnknownNode,
    /// A number is negative, infinite or not a number.
    InvalidNumber,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoClasses => f.write_str("settings name no class"),
            Self::NoPlans => f.write_str("settings name no plan"),
            Self::UnknownNode => f.write_str("this gateway's number is not among the gateways"),
            Self::InvalidNumber => {
                f.write_str("settings hold a figure that is negative or no number")
            }
        }
    }
}

impl std::error::Error for SettingsError {}

impl Settings {
    /// Checks that the settings make sense.
    ///
    /// # Errors
    /// The first thing that does not.
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
        let sound = |number: &f64| number.is_finite() && *number >= 0.0;
        if !self.numbers().iter().all(sound) {
            return Err(SettingsError::InvalidNumber);
        }
        Ok(())
    }

    /// Every number that must be finite and not negative.
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

    /// The shortest latency objective of all classes, µs, at least 1.
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
