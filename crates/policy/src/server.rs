//! State of one server at this node. Plain data; the rules are in `outlier_ejection`, `server_selection` and
//! `slow_start`. The serialized names are those that earlier builds read.

use crate::gossip_average::GossipAverage;
use crate::idempotency::ServerLocation;
use crate::interface::{Endpoint, EndpointStatus, Micros, SlowStartRules};
use saffronpaddle_slow_start::SlowStartBudget;
use serde::{Deserialize, Serialize};

/// A server that is on the endpoint list or has attempts in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Server {
    #[serde(rename = "entry")]
    pub endpoint: Endpoint,
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Expected wait per attempt in flight at the server, µs; 0 while unknown.
    #[serde(rename = "wait")]
    pub wait_per_attempt: f64,
    /// When the expected wait was last updated.
    #[serde(rename = "learned")]
    pub wait_updated_at: Micros,
    #[serde(rename = "answered")]
    pub last_response_at: Micros,
    /// Statistics by class; empty while nothing is known, which saves memory with lists of 40,000 servers.
    #[serde(rename = "health")]
    pub statistics: Vec<OutlierStatistics>,
    /// Attempts that may be sent to the server in slow start, earned at a rate derived from the throughput of warm
    /// servers.
    #[serde(rename = "cold_credit")]
    pub slow_start_credit: f64,
    /// Permits for attempts to the server in slow start, used while this node lacks a throughput baseline; `None` while
    /// the budget is in its initial state.
    #[serde(rename = "budget", with = "crate::serde_optional_budget")]
    pub slow_start_budget: Option<Box<SlowStartBudget>>,
    /// Attempts of this process whose request bodies are still being received. They are not in flight at the server yet.
    #[serde(skip)]
    pub receiving_bodies: u32,
    /// Whether the server is in this node's subset.
    #[serde(skip)]
    pub in_subset: bool,
}

/// Statistics of one server and class that decide on its ejection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct OutlierStatistics {
    /// Share of the class's attempts that fail, 0 to 1. In a large fleet it is derived from `fleet_faults`.
    #[serde(rename = "failing")]
    pub fault_rate: f64,
    #[serde(rename = "answered")]
    pub last_response_at: Micros,
    /// When the next health probe may be sent; `Some` while the server is ejected.
    #[serde(rename = "trial")]
    pub next_probe_at: Option<Micros>,
    /// Recent fault rate across the fleet, as a gossip average.
    #[serde(rename = "pool")]
    pub fleet_faults: GossipAverage,
    /// Time of the latest observation by this node or a peer.
    #[serde(rename = "seen")]
    pub observed_at: Micros,
}

impl OutlierStatistics {
    /// Returns whether the server receives health probes only for the class.
    pub fn is_ejected(&self) -> bool {
        self.next_probe_at.is_some()
    }
}

impl Server {
    /// Creates a server without statistics.
    pub fn unknown(endpoint: Endpoint, now: Micros) -> Self {
        Server {
            endpoint,
            wait_updated_at: now,
            in_subset: true,
            ..Server::default()
        }
    }

    /// Applies a change of the endpoint list. If the server has been restarted, its statistics are reset.
    pub fn update(&mut self, endpoint: Endpoint, now: Micros, warm_up_period: Micros) {
        if self.endpoint.started_at != endpoint.started_at {
            self.reset_after_restart(endpoint, now, warm_up_period);
        }
        self.endpoint = endpoint;
    }

    fn reset_after_restart(&mut self, endpoint: Endpoint, now: Micros, warm_up_period: Micros) {
        let mut budget = self.current_budget();
        budget.on_server_start(endpoint.started_at.unwrap_or(0), warm_up_period);
        *self = Server {
            in_flight: self.in_flight,
            receiving_bodies: self.receiving_bodies,
            in_subset: self.in_subset,
            ..Server::unknown(endpoint, now)
        };
        let differs = budget != self.current_budget();
        self.slow_start_budget = differs.then(|| Box::new(budget));
    }

    /// Returns whether no attempt at the server is outstanding.
    pub fn is_without_attempts(&self) -> bool {
        self.in_flight == 0 && self.receiving_bodies == 0
    }

    /// Allocates the statistics of each class if they are not allocated yet.
    pub fn ensure_statistics(&mut self, classes: usize) {
        if self.statistics.is_empty() {
            self.statistics = vec![OutlierStatistics::default(); classes];
        }
    }

    /// Resets the statistics, the expected wait and the slow-start credit.
    pub fn forget(&mut self) {
        self.statistics = Vec::new();
        self.wait_per_attempt = 0.0;
        self.last_response_at = 0;
        self.slow_start_credit = 0.0;
    }

    /// Returns whether the endpoint list marks the server as ready for requests.
    pub fn is_ready(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready
    }

    /// Returns whether the server is on the endpoint list.
    pub fn is_listed(&self) -> bool {
        self.endpoint.status != EndpointStatus::Removed
    }

    /// Returns the location of the server for deduplication.
    pub fn location(&self) -> ServerLocation {
        ServerLocation {
            zone: self.endpoint.zone,
            domain: self.endpoint.domain,
        }
    }

    /// Returns whether the server started less than `span` ago; `false` if its start is unknown.
    pub fn started_within(&self, now: Micros, span: Micros) -> bool {
        self.endpoint
            .started_at
            .is_some_and(|started| now < started.saturating_add(span))
    }

    /// Returns the minimum share of its full capacity that the server has: 1 once it is warm or if its start is
    /// unknown.
    pub fn capacity_fraction(&self, rules: &SlowStartRules, now: Micros) -> f64 {
        let Some(started) = self.endpoint.started_at else {
            return 1.0;
        };
        let warm_up_progress =
            now.saturating_sub(started) as f64 / rules.warm_up_period.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * warm_up_progress).min(1.0)
    }

    /// Returns when the next health probe of a class may be sent; `None` if the server is not ejected for the class.
    pub fn next_probe_at(&self, class: usize) -> Option<Micros> {
        self.statistics
            .get(class)
            .and_then(|statistics| statistics.next_probe_at)
    }

    /// Returns the share of a class's attempts that fail at the server; 0 while unknown.
    pub fn fault_rate(&self, class: usize) -> f64 {
        self.statistics
            .get(class)
            .map_or(0.0, |statistics| statistics.fault_rate)
    }

    /// Returns when the server last responded to a request of a class; 0 if it never did.
    pub fn last_response_for_class(&self, class: usize) -> Micros {
        self.statistics
            .get(class)
            .map_or(0, |statistics| statistics.last_response_at)
    }

    /// Returns a copy of the slow-start budget, in its initial state if none is stored.
    pub fn current_budget(&self) -> SlowStartBudget {
        self.slow_start_budget
            .as_deref()
            .cloned()
            .unwrap_or_else(|| {
                let mut budget = SlowStartBudget::default();
                budget.on_server_start(self.endpoint.started_at.unwrap_or(0), 0);
                budget
            })
    }

    /// Returns the slow-start budget for a change, and stores the initial one first if there is none.
    pub fn budget_mut(&mut self) -> &mut SlowStartBudget {
        if self.slow_start_budget.is_none() {
            self.slow_start_budget = Some(Box::new(self.current_budget()));
        }
        self.slow_start_budget.get_or_insert_with(Box::default)
    }

    /// Returns a copy for another process of this node, with all optional parts filled in.
    pub fn to_snapshot(&self, classes: usize) -> Server {
        let mut server = Server {
            slow_start_budget: Some(Box::new(self.current_budget())),
            in_subset: false,
            ..self.clone()
        };
        server.ensure_statistics(classes);
        server
    }

    /// Updates the expected wait with a sample of this weight. `unknown` is the value before the first sample.
    pub fn record_wait(&mut self, observed_at: Micros, sample: f64, weight: f64, unknown: f64) {
        let before = if self.wait_per_attempt > 0.0 {
            self.wait_per_attempt
        } else {
            unknown
        };
        self.wait_per_attempt = before + (sample - before) * weight;
        self.wait_updated_at = self.wait_updated_at.max(observed_at);
    }
}
