//! Accounting shared by two processes of one node during a hot restart.
//!
//! While a process and its successor both accept requests, token buckets, hard limits, limits on attempts in flight and
//! slow-start budgets would otherwise count twice. So each process charges the attempts of the other as if it had sent
//! them itself, and both refill at the rate of one node. Together they act as one node, except for the time that a
//! message takes.

use crate::engine::PolicyEngine;
use crate::interface::{CustomerId, Micros, QuotaCharge, SiblingAttempt, SiblingMessage};
use crate::request::{Attempt, RemoteAttempt};
use crate::shard_owners::NodeSubset;
use crate::token_bucket::{count_silent_peers, TokenBucket};

impl PolicyEngine {
    /// Handles a message from a sibling process.
    pub(crate) fn on_sibling_message(&mut self, now: Micros, link: u32, message: SiblingMessage) {
        match message {
            SiblingMessage::AttemptStarted(sibling) => {
                self.on_sibling_attempt(now, link, sibling);
            }
            SiblingMessage::AttemptEnded { request, attempt } => {
                let ended = self.requests.sibling_attempts.remove(&(request, attempt));
                if let Some(remote) = ended {
                    self.release_attempt(&remote.attempt);
                }
            }
        }
    }

    fn on_sibling_attempt(&mut self, now: Micros, link: u32, sibling: SiblingAttempt) {
        let customer = sibling.customer;
        let charge = sibling.charge.as_ref();
        let units = charge.and_then(|charge| self.charge(now, customer, charge));
        let limits = self.slow_start_limits(sibling.server);
        let lacks_throughput_baseline = self.slow_start.lacks_throughput_baseline;
        if let Some(mut server) = self.endpoints.edit(sibling.server) {
            server.in_flight += 1;
            server.charge_slow_start(&limits, lacks_throughput_baseline, now);
        }
        if let Some(bucket) = self.quotas.buckets.get_mut(&customer) {
            bucket.record_attempt(now, units.unwrap_or(0.0), units.is_some());
        }
        let (key, attempt) = Attempt::from_sibling(sibling);
        self.requests
            .sibling_attempts
            .insert(key, RemoteAttempt { link, attempt });
    }

    /// Charges a first attempt of a sibling process to the customer's bucket. Returns the units charged, or `None` if
    /// the plan does not exist.
    fn charge(&mut self, now: Micros, customer: CustomerId, charge: &QuotaCharge) -> Option<f64> {
        let plan = self.settings.plans.get(charge.plan.0)?;
        let max_units = self.settings.max_request_units;
        let uptime = now.saturating_sub(self.started_at);
        let (first, size) = charge.subset;
        let subset = NodeSubset {
            first,
            size: size.clamp(1, self.settings.node_count),
        };
        let bucket =
            self.quotas.buckets.entry(customer).or_insert_with(|| {
                TokenBucket::new(now, uptime, charge.plan, plan, subset, max_units)
            });
        let silent_peer_count = count_silent_peers(&self.peers.last_report_at, bucket, now);
        bucket.refill(now, &self.settings.plans[bucket.plan.0], silent_peer_count);
        let max_charge = if max_units > 0.0 { max_units } else { f64::MAX };
        let units = charge.units.clamp(0.0, max_charge);
        bucket.tokens -= units;
        bucket.last_used_at = now;
        Some(units)
    }

    /// Applies a change of the sibling processes. Releases the attempts that were announced over a link that has ended.
    pub(crate) fn on_siblings_changed(
        &mut self,
        ended_link: Option<u32>,
        share_attempts: bool,
        peer_messages_delegated: bool,
    ) {
        self.requests.share_attempts = share_attempts;
        self.requests.peer_messages_delegated = peer_messages_delegated;
        let Some(ended_link) = ended_link else {
            return;
        };
        let sibling_attempts = std::mem::take(&mut self.requests.sibling_attempts);
        for (key, remote) in sibling_attempts {
            if remote.link == ended_link {
                self.release_attempt(&remote.attempt);
            } else {
                self.requests.sibling_attempts.insert(key, remote);
            }
        }
    }
}
