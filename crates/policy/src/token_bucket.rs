//! The token bucket of a customer at this node, and the usage that peers report for the customer.
//!
//! In a small fleet every node broadcasts the units that it forwarded for each customer, and every receiver deducts
//! them from its own bucket, so that the nodes together enforce one quota while they receive each other's reports. The
//! even share of a silent peer is withheld until the peer counts as failed, so that the two sides of a partition do not
//! both grant the entire quota. In a large fleet the owners of the customer's shards decide (`grants`), and this bucket
//! only determines when a rejected client should retry.
//!
//! The names in JSON are those that earlier builds read.
//!
//! Inputs: the plan (units per second, burst), the time in µs, the number of silent peers of the customer's subset.
//! Results: tokens, in units. The hard limit is enforced by a fixed share per node that is empty at the start of a
//! node: it needs no messages, and holds when messages are lost and when nodes restart.

use crate::interface::{HardLimit, Micros, NodeId, Plan, PlanId, QuotaCharge, MILLISECOND, SECOND};
use crate::shard_owners::NodeSubset;
use saffronpaddle_quota::RejectionCache;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Age at which usage that peers reported no longer counts towards their rate.
pub(crate) const USAGE_WINDOW: Micros = 2 * SECOND;
/// Time without a report after which a peer counts as silent and its even share is withheld.
const SILENT_AFTER: Micros = 800 * MILLISECOND;
/// Time without a report after which a peer counts as failed and the others use its share.
const FAILED_AFTER: Micros = 25 * SECOND;
/// Minimum time for which a customer's bucket is kept after its last request.
pub(crate) const MIN_BUCKET_RETENTION: Micros = 60 * SECOND;
/// Number of customers from which on buckets are kept for a shorter time only, so that requests of ever new customers
/// take no more memory: three times as many as a node of a large fleet sees within the longer one.
const MANY_BUCKETS: usize = 16_384;
/// Minimum time for which a bucket is kept where there are many.
const SHORT_BUCKET_RETENTION: Micros = 2 * SECOND;
/// Usage that peers have forwarded but not reported yet, estimated as seconds at their reported rate.
const UNREPORTED_USE_S: f64 = 0.5;
/// Consecutive requests that must name another plan or subset before the bucket changes. A single request with a wrong
/// plan, by mistake or malice, must not change its customer's quota.
const MISMATCHES_BEFORE_CHANGE: u32 = 3;

/// When a report was received, and the units in it.
type ReportedUnits = (Micros, f64);

/// Usage of a customer that one peer reports as a running counter, and the units of its recent reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct PeerUsage {
    /// Start time of the peer, ms modulo 2^32; 0 before the first report.
    #[serde(rename = "birth")]
    pub incarnation: u32,
    #[serde(rename = "count")]
    pub counter: u16,
    /// When the last report of this customer was received.
    #[serde(rename = "at")]
    pub received_at: Micros,
    pub recent: VecDeque<ReportedUnits>,
}

impl PeerUsage {
    /// Records a running counter and returns its increase. Messages may be late, duplicated or out of order. A lower
    /// counter after more than `silence` without a report has restarted from zero, because its sender had dropped the
    /// customer.
    pub fn advance(&mut self, now: Micros, silence: Micros, incarnation: u32, counter: u16) -> u16 {
        let last_received_at = std::mem::replace(&mut self.received_at, now);
        let was_silent = now.saturating_sub(last_received_at) > silence;
        let has_reset = was_silent && counter < self.counter;
        let increase = match self.incarnation {
            known if known == incarnation && has_reset => counter,
            known if known == incarnation => counter.wrapping_sub(self.counter),
            0 => 0, // First report: the counter covers usage from before, which is not charged here.
            _ => counter,
        };
        if increase > u16::MAX / 2 {
            return 0; // The counter went back: an old message.
        }
        self.incarnation = incarnation;
        self.counter = counter;
        increase
    }
}

/// The token bucket of one customer at this node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct TokenBucket {
    pub plan: PlanId,
    /// First node of the customer's subset.
    #[serde(rename = "first")]
    pub first_node: NodeId,
    #[serde(rename = "spread")]
    pub subset_size: f64,
    /// This node's even share of the burst, at least the units of the largest request.
    #[serde(rename = "depth")]
    pub even_capacity: f64,
    /// Units left of the quota; below 0 after deductions that it did not cover.
    #[serde(rename = "level")]
    pub tokens: f64,
    #[serde(rename = "filled")]
    pub refilled_at: Micros,
    /// Consecutive requests that named another plan or subset.
    #[serde(rename = "doubts")]
    pub mismatches: u32,
    /// When a request was last charged to the bucket.
    #[serde(rename = "used")]
    pub last_used_at: Micros,
    /// Units forwarded so far, which are reported to peers.
    #[serde(rename = "sent")]
    pub units_forwarded: f64,
    /// When `units_forwarded` last increased.
    #[serde(rename = "sent_at")]
    pub forwarded_at: Micros,
    #[serde(rename = "open")]
    pub in_flight: u32,
    #[serde(rename = "heard", with = "crate::serde_map_as_pairs")]
    pub peer_usage: BTreeMap<NodeId, PeerUsage>,
    /// Units left of this node's share of the hard limit; not used if the plan has no hard limit.
    #[serde(rename = "ceiling")]
    pub hard_limit_tokens: f64,
    /// Share of the quota that this node grants, 0 to 1.
    pub share: f64,
    /// Share of the hard limit that this node grants, 0 to 1.
    #[serde(rename = "ceiling_share")]
    pub hard_limit_share: f64,
    /// Recent responses of the customer's owners, and the leases that they issued.
    #[serde(rename = "memory")]
    pub rejections: RejectionCache,
}

impl TokenBucket {
    /// Creates the bucket of a customer that this node has not served since it started, `uptime` ago. It holds the
    /// full burst: usage of peers is reported soon enough, while a customer that uses nearly all of its quota would
    /// never recover tokens that are missing at first. Its share of the hard limit holds only the units that have
    /// accrued since the start of the node, because an earlier incarnation may have used up the rest.
    pub(crate) fn new(
        now: Micros,
        uptime: Micros,
        plan_id: PlanId,
        plan: &Plan,
        subset: NodeSubset,
        max_request_units: f64,
    ) -> Self {
        let subset_size = f64::from(subset.size.max(1));
        let even_capacity = (plan.burst / subset_size).max(max_request_units);
        let mut bucket = TokenBucket {
            plan: plan_id,
            first_node: subset.first,
            subset_size,
            even_capacity,
            tokens: plan.burst.max(even_capacity),
            refilled_at: now,
            share: 1.0,
            hard_limit_share: 1.0 / subset_size,
            ..TokenBucket::default()
        };
        bucket.refill_hard_limit(plan, uptime as f64 / 1e6);
        bucket
    }

    /// Returns the customer's subset of nodes.
    pub(crate) fn subset(&self) -> NodeSubset {
        NodeSubset {
            first: self.first_node,
            size: self.subset_size as u32,
        }
    }

    /// Records the plan and subset that a request names. Returns whether enough consecutive requests differ from the
    /// bucket's own that it has to change.
    pub(crate) fn record_plan_and_subset(&mut self, plan: PlanId, subset: NodeSubset) -> bool {
        let named = (plan, subset.first, f64::from(subset.size));
        let same = named == (self.plan, self.first_node, self.subset_size);
        self.mismatches = if same { 0 } else { self.mismatches + 1 };
        self.mismatches >= MISMATCHES_BEFORE_CHANGE
    }

    /// Changes to the plan and subset of `fresh`. The tokens do not increase, and the attempts in flight, the units
    /// forwarded and the usage of peers are kept.
    pub(crate) fn change_plan_and_subset(&mut self, fresh: TokenBucket, hard_limit_tokens: f64) {
        let old = std::mem::take(self);
        *self = TokenBucket {
            tokens: old.tokens.min(fresh.tokens),
            hard_limit_tokens,
            in_flight: old.in_flight,
            units_forwarded: old.units_forwarded,
            forwarded_at: old.forwarded_at,
            peer_usage: old.peer_usage,
            ..fresh
        };
    }

    /// Refills the bucket up to `now`, without the shares of the customer's `silent_peers`.
    pub(crate) fn refill(&mut self, now: Micros, plan: &Plan, silent_peers: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1e6;
        self.refilled_at = now;
        let reachable_share = 1.0 - silent_peers / self.subset_size;
        let refilled = self.tokens + self.share * plan.rate * reachable_share * elapsed_s;
        self.tokens = refilled.min(self.capacity(plan));
        self.refill_hard_limit(plan, elapsed_s);
    }

    fn capacity(&self, plan: &Plan) -> f64 {
        (plan.burst * self.share).max(self.even_capacity)
    }

    fn refill_hard_limit(&mut self, plan: &Plan, elapsed_s: f64) {
        let Some(limit) = plan.hard_limit else {
            return;
        };
        let refilled = self.hard_limit_tokens + limit.rate * self.hard_limit_share * elapsed_s;
        self.hard_limit_tokens = refilled.min(self.hard_limit_capacity(&limit));
    }

    fn hard_limit_capacity(&self, limit: &HardLimit) -> f64 {
        limit.capacity * self.hard_limit_share
    }

    /// Units of the burst that are reserved for usage that peers have not reported yet.
    pub(crate) fn reserved_for_peers(&mut self, now: Micros, plan: &Plan) -> f64 {
        (self.peer_units_per_s(now, USAGE_WINDOW) * UNREPORTED_USE_S)
            .min(plan.burst - self.even_capacity)
            .max(0.0)
    }

    /// Units per second that the peers reported over a window.
    pub(crate) fn peer_units_per_s(&mut self, now: Micros, window: Micros) -> f64 {
        let mut units = 0.0;
        for usage in self.peer_usage.values_mut() {
            while usage
                .recent
                .front()
                .is_some_and(|(at, _)| at + window < now)
            {
                usage.recent.pop_front();
            }
            units += usage.recent.iter().map(|(_, units)| units).sum::<f64>();
        }
        units / (window as f64 / 1e6)
    }

    /// Counts an attempt in flight. The first attempt of a request is also reported to peers and charged to the hard
    /// limit.
    pub(crate) fn record_attempt(&mut self, now: Micros, units: f64, first: bool) {
        self.in_flight += 1;
        if first {
            self.units_forwarded += units;
            self.forwarded_at = now;
            self.hard_limit_tokens -= units;
        }
    }

    /// Returns the charge of a request for the bucket of a sibling process.
    pub(crate) fn charge(&self, units: f64) -> QuotaCharge {
        QuotaCharge {
            plan: self.plan,
            units,
            subset: (self.first_node, self.subset_size as u32),
        }
    }

    /// Whether dropping the bucket would change no decision: it has been unused for `retention` and is full. One that holds a
    /// share of its own is always kept for the longer time, as its next one would draw another share.
    pub(crate) fn is_idle(
        &mut self,
        now: Micros,
        plan: &Plan,
        silent_peers: f64,
        retention: Micros,
    ) -> bool {
        let retention = if self.share < 1.0 {
            MIN_BUCKET_RETENTION
        } else {
            retention
        };
        if self.in_flight > 0 || now.saturating_sub(self.last_used_at) < retention {
            return false;
        }
        self.refill(now, plan, silent_peers);
        let hard_limit_full = plan
            .hard_limit
            .as_ref()
            .is_none_or(|limit| self.hard_limit_tokens >= self.hard_limit_capacity(limit));
        let full = plan.rate <= 0.0 || self.tokens >= self.capacity(plan);
        hard_limit_full && full && self.peer_units_per_s(now, USAGE_WINDOW) <= 0.0
    }
}

/// Returns the minimum time for which each of `count` buckets is kept after its last request.
pub(crate) fn bucket_retention(count: usize) -> Micros {
    if count > MANY_BUCKETS {
        SHORT_BUCKET_RETENTION
    } else {
        MIN_BUCKET_RETENTION
    }
}

/// Counts the silent nodes of a customer's subset, given when each node last reported. The even share of each is
/// withheld.
pub(crate) fn count_silent_peers(
    last_reports: &[Micros],
    bucket: &TokenBucket,
    now: Micros,
) -> f64 {
    let first = bucket.first_node.0 as usize;
    let members = (0..bucket.subset_size as usize).map(|step| (first + step) % last_reports.len());
    let is_silent = |member: &usize| {
        (SILENT_AFTER..FAILED_AFTER).contains(&now.saturating_sub(last_reports[*member]))
    };
    members.filter(is_silent).count() as f64
}

/// Seconds for which a node's share was withheld, where it last reported at `last_report`.
pub(crate) fn share_withheld_s(now: Micros, last_report: Micros) -> f64 {
    now.saturating_sub(last_report)
        .min(FAILED_AFTER)
        .saturating_sub(SILENT_AFTER) as f64
        / 1e6
}
