//! What a node knows of one server. Its names in JSON are those that earlier builds read. Plain data; the rules are in `outlier_ejection`, `server_selection` and `slow_start`.

use crate::gossip_average::GossipAverage;
use crate::idempotency::ServerLocation;
use crate::interface::{Endpoint, EndpointStatus, Micros, SlowStartRules};
use saffronpaddle_slow_start::SlowStartBudget;
use serde::{Deserialize, Serialize};

/// A server that is listed, or has attempts in flight.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Server {
    #[serde(rename = "entry")]
    pub endpoint: Endpoint,
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Expected wait for each attempt in flight there, µs; 0 while unknown.
    #[serde(rename = "wait")]
    pub wait_per_attempt: f64,
    /// When that was last learned.
    #[serde(rename = "learned")]
    pub wait_learned_at: Micros,
    #[serde(rename = "answered")]
    pub last_response_at: Micros,
    /// By class; empty while nothing is known. A list of 40,000 servers would cost much memory otherwise.
    #[serde(rename = "health")]
    pub statistics: Vec<OutlierStatistics>,
    /// Attempts that may be sent to it in slow start, as earned from what warm servers do.
    #[serde(rename = "cold_credit")]
    pub slow_start_credit: f64,
    /// Permits to send to it in slow start while no warm server shows what servers can do; `None` while nothing has come
    /// of its start.
    #[serde(rename = "budget", with = "crate::serde_optional_budget")]
    pub slow_start_budget: Option<Box<SlowStartBudget>>,
    /// Whether it is in this node's subset.
    #[serde(skip)]
    pub in_subset: bool,
}

/// How a server fares with one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct OutlierStatistics {
    #[serde(rename = "failing")]
    pub fault_rate: f64,
    #[serde(rename = "answered")]
    pub last_response_at: Micros,
    /// When the next health probe may go; set while it is ejected.
    #[serde(rename = "trial")]
    pub next_probe_at: Option<Micros>,
    /// The faults that the fleet has seen lately.
    #[serde(rename = "pool")]
    pub fleet_faults: GossipAverage,
    /// When the newest observation was made, here or at a peer.
    #[serde(rename = "seen")]
    pub observed_at: Micros,
}

impl OutlierStatistics {
    /// Whether the server gets health probes only for the class.
    pub fn is_ejected(&self) -> bool {
        self.next_probe_at.is_some()
    }
}

impl Server {
    /// A server of which nothing is known yet.
    pub fn unknown(endpoint: Endpoint, now: Micros) -> Self {
        Server {
            endpoint,
            wait_learned_at: now,
            in_subset: true,
            ..Server::default()
        }
    }

    /// Takes in what the endpoint list says of it. One that has started again is unknown again.
    pub fn update(&mut self, endpoint: Endpoint, now: Micros, warm_up_period: Micros) {
        if self.endpoint.started_at != endpoint.started_at {
            self.restart(endpoint, now, warm_up_period);
        }
        self.endpoint = endpoint;
    }

    fn restart(&mut self, endpoint: Endpoint, now: Micros, warm_up_period: Micros) {
        let mut budget = self.current_budget();
        budget.on_server_start(endpoint.started_at.unwrap_or(0), warm_up_period);
        *self = Server {
            in_flight: self.in_flight,
            in_subset: self.in_subset,
            ..Server::unknown(endpoint, now)
        };
        let differs = budget != self.current_budget();
        self.slow_start_budget = differs.then(|| Box::new(budget));
    }

    /// Makes room for statistics of each class.
    pub fn ensure_statistics(&mut self, classes: usize) {
        if self.statistics.is_empty() {
            self.statistics = vec![OutlierStatistics::default(); classes];
        }
    }

    /// Drops what is known of how it fares.
    pub fn forget(&mut self) {
        self.statistics = Vec::new();
        self.wait_per_attempt = 0.0;
        self.last_response_at = 0;
        self.slow_start_credit = 0.0;
    }

    /// Whether its process runs and takes requests.
    pub fn is_ready(&self) -> bool {
        self.endpoint.status == EndpointStatus::Ready
    }

    /// Whether it is on the endpoint list.
    pub fn is_listed(&self) -> bool {
        self.endpoint.status != EndpointStatus::Removed
    }

    /// Where it is, as far as deduplication goes.
    pub fn location(&self) -> ServerLocation {
        ServerLocation {
            zone: self.endpoint.zone,
            domain: self.endpoint.domain,
        }
    }

    /// Whether it started less than a span ago.
    pub fn started_within(&self, now: Micros, span: Micros) -> bool {
        self.endpoint
            .started_at
            .is_some_and(|started| now < started.saturating_add(span))
    }

    /// Share of its capacity that it has at least: 1 once it is warm.
    pub fn capacity_fraction(&self, rules: &SlowStartRules, now: Micros) -> f64 {
        let Some(started) = self.endpoint.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / rules.warm_up_period.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).min(1.0)
    }

    /// When its next health probe may go, where it is ejected for a class.
    pub fn next_probe_at(&self, class: usize) -> Option<Micros> {
        self.statistics
            .get(class)
            .and_then(|statistics| statistics.next_probe_at)
    }

    /// The share of a class's attempts that fail there.
    pub fn fault_rate(&self, class: usize) -> f64 {
        self.statistics
            .get(class)
            .map_or(0.0, |statistics| statistics.fault_rate)
    }

    /// When it last answered a request of a class.
    pub fn last_response_of(&self, class: usize) -> Micros {
        self.statistics
            .get(class)
            .map_or(0, |statistics| statistics.last_response_at)
    }

    /// Its slow-start budget, as it is or as it begins.
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

    /// Its slow-start budget, to be changed.
    pub fn budget_mut(&mut self) -> &mut SlowStartBudget {
        if self.slow_start_budget.is_none() {
            self.slow_start_budget = Some(Box::new(self.current_budget()));
        }
        self.slow_start_budget.get_or_insert_with(Box::default)
    }

    /// All of it, as another process of this node reads it.
    pub fn to_snapshot(&self, classes: usize) -> Server {
        let mut server = Server {
            slow_start_budget: Some(Box::new(self.current_budget())),
            in_subset: false,
            ..self.clone()
        };
        server.ensure_statistics(classes);
        server
    }

    /// Adds a sample of its wait, observed at some time; `unknown` stands for what it was without any.
    pub fn record_wait(&mut self, observed_at: Micros, sample: f64, weight: f64, unknown: f64) {
        let before = if self.wait_per_attempt > 0.0 {
            self.wait_per_attempt
        } else {
            unknown
        };
        self.wait_per_attempt = before + (sample - before) * weight;
        self.wait_learned_at = self.wait_learned_at.max(observed_at);
    }
}
