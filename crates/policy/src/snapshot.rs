//! Snapshot of an engine's state for the next process of its node. The names in JSON are those that earlier builds
//! write; fields that are missing get their defaults.

use crate::concurrency_limit::FuzzyConcurrencyLimit;
use crate::decaying_mean::DecayingMean;
use crate::engine::PolicyEngine;
use crate::interface::{CustomerId, Micros, SiblingAttempt};
use crate::request::{Attempt, AttemptStage, RemoteAttempt};
use crate::retry_budget::RetryBudget;
use crate::server::Server;
use crate::state::OwnedShard;
use crate::token_bucket::TokenBucket;
use serde::{Deserialize, Serialize};

/// The state of an engine except for its open requests, which stay with the process that accepted them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StateSnapshot {
    #[serde(rename = "born")]
    started_at: Micros,
    #[serde(rename = "newcomer")]
    restarted: bool,
    #[serde(rename = "stores")]
    buckets: Vec<(CustomerId, TokenBucket)>,
    servers: Vec<Server>,
    /// Earlier builds had a field `homes` in another format. Reusing its name would make the full state fail to parse.
    #[serde(rename = "parts")]
    shards: Vec<(CustomerId, OwnedShard)>,
    #[serde(rename = "fuzzy")]
    concurrency_limit: FuzzyConcurrencyLimit,
    #[serde(rename = "spoke")]
    last_report_at: Vec<Micros>,
    #[serde(rename = "latency")]
    mean_latency: f64,
    #[serde(rename = "typical")]
    typical_wait: f64,
    #[serde(rename = "low_out")]
    lowest_in_flight: f64,
    #[serde(rename = "all_out")]
    in_flight: f64,
    #[serde(rename = "aims")]
    normalized_latencies: Vec<f64>,
    #[serde(rename = "served")]
    service_rate: f64,
    #[serde(rename = "retries")]
    retry_tokens: f64,
    #[serde(rename = "out")]
    attempts: Vec<SiblingAttempt>,
}

/// Number of entries in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SnapshotSize {
    /// Customers with a token bucket.
    pub customers: usize,
    /// Servers of the subset, and others with attempts in flight.
    pub servers: usize,
}

impl StateSnapshot {
    /// Number of customers and servers in the snapshot.
    pub fn size(&self) -> SnapshotSize {
        SnapshotSize {
            customers: self.buckets.len(),
            servers: self.servers.len(),
        }
    }
}

impl PolicyEngine {
    /// Takes a snapshot for the next process of this node.
    pub fn snapshot(&self) -> StateSnapshot {
        let classes = self.settings.classes.len();
        let copy_bucket =
            |(customer, bucket): (&CustomerId, &TokenBucket)| (*customer, bucket.clone());
        let copy_shard = |(customer, shard): (&CustomerId, &OwnedShard)| (*customer, shard.clone());
        let servers = self.endpoints.to_snapshot();
        StateSnapshot {
            started_at: self.started_at,
            restarted: self.restarted,
            buckets: self.quotas.buckets.iter().map(copy_bucket).collect(),
            servers: servers.map(|server| server.to_snapshot(classes)).collect(),
            shards: self.quotas.shards.iter().map(copy_shard).collect(),
            concurrency_limit: self.concurrency_limit.clone(),
            last_report_at: self.peers.last_report_at.clone(),
            mean_latency: self.load.mean_latency,
            typical_wait: self.load.typical_wait,
            lowest_in_flight: self.load.lowest_in_flight,
            in_flight: self.load.in_flight,
            normalized_latencies: self.load.normalized_latencies.clone(),
            service_rate: self.load.service_rate.value(),
            retry_tokens: self.retries.tokens(),
            attempts: self.attempts_for_siblings(),
        }
    }

    /// Attempts in flight of this process and of its siblings, in the form in which a new process receives them.
    fn attempts_for_siblings(&self) -> Vec<SiblingAttempt> {
        let own = self
            .requests
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == AttemptStage::AtServer)
            .map(|((id, number), attempt)| attempt.to_sibling(id, *number));
        let remote = self
            .requests
            .sibling_attempts
            .iter()
            .map(|((id, number), remote)| remote.attempt.to_sibling(id, *number));
        own.chain(remote).collect()
    }

    /// Restores the state of another process of this node when this one starts. Entries that do not match the settings
    /// are ignored. The attempts in flight of the other process are recorded as announced over `link`.
    pub fn restore(&mut self, snapshot: StateSnapshot, link: u32) {
        let now = self.started_at;
        self.started_at = now.min(snapshot.started_at);
        self.restarted = snapshot.restarted;
        self.restore_quotas(snapshot.buckets, snapshot.shards);
        self.restore_servers(snapshot.servers, now);
        self.restore_concurrency_limit(snapshot.concurrency_limit, snapshot.normalized_latencies);
        if snapshot.last_report_at.len() == self.peers.last_report_at.len() {
            self.peers.last_report_at = snapshot.last_report_at;
        }
        let is_known = |value: f64| value.is_finite() && value > 0.0;
        if is_known(snapshot.mean_latency) && is_known(snapshot.typical_wait) {
            self.load.mean_latency = snapshot.mean_latency;
            self.load.typical_wait = snapshot.typical_wait;
        }
        self.load.lowest_in_flight = snapshot.lowest_in_flight;
        self.load.in_flight = snapshot.in_flight;
        self.load.service_rate = DecayingMean::known(snapshot.service_rate);
        self.retries = RetryBudget::with_tokens(snapshot.retry_tokens);
        self.requests.sibling_attempts = snapshot
            .attempts
            .into_iter()
            .map(Attempt::from_sibling)
            .map(|(key, attempt)| (key, RemoteAttempt { link, attempt }))
            .collect();
    }

    fn restore_quotas(
        &mut self,
        buckets: Vec<(CustomerId, TokenBucket)>,
        shards: Vec<(CustomerId, OwnedShard)>,
    ) {
        let plans = self.settings.plans.len();
        self.quotas.buckets = buckets
            .into_iter()
            .filter(|(_, bucket)| bucket.plan.0 < plans && bucket.subset_size >= 1.0)
            .collect();
        self.quotas.shards = shards
            .into_iter()
            .filter(|(_, shard)| shard.plan.0 < plans && shard.subset_size >= 1)
            .collect();
    }

    fn restore_servers(&mut self, servers: Vec<Server>, now: Micros) {
        let classes = self.settings.classes.len();
        let known = servers
            .into_iter()
            .filter(|server| server.statistics.len() == classes);
        let recent = self.recent_start_window();
        self.endpoints.restore(known, now, recent);
    }

    fn restore_concurrency_limit(
        &mut self,
        concurrency_limit: FuzzyConcurrencyLimit,
        normalized_latencies: Vec<f64>,
    ) {
        let classes = self.settings.classes.len();
        if normalized_latencies.len() != classes {
            return;
        }
        if let Some(restored) = concurrency_limit.restored(classes) {
            self.concurrency_limit = restored;
            self.load.normalized_latencies = normalized_latencies;
        }
    }
}
