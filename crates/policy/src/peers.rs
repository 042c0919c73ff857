//! Peers: what is known of each, and the usage reports by which the nodes of a small fleet keep quotas together.
//!
//! The rule, in one sentence: each node broadcasts running counters of what it forwarded lately for each customer, and
//! each takes what the others forwarded off its own token buckets.
//!
//! Inputs: datagrams of peers, the time in µs, what peers can take in (messages per second). Result: tokens taken off
//! buckets; a broadcast at most every 200 ms.

use crate::engine::{Actions, PolicyEngine};
use crate::grants::GrantAnswer;
use crate::interface::{Action, CustomerId, Micros, NodeId, Settings, MILLISECOND, SECOND};
use crate::peer_message::{
    decode, encode, CustomerUsage, LeaseOffer, PeerMessage, UsageReport, MAX_USAGES,
};
use crate::token_bucket::{kept_back_s, silent_peers, USAGE_WINDOW};

/// How much older peers must be for this node to count as restarted, and for how long that matters.
pub(crate) const RESTART_WINDOW: Micros = 4 * SECOND;
/// Shortest time between two usage reports.
const MIN_REPORT_INTERVAL: Micros = 200 * MILLISECOND;
/// Time between two looks where nobody is to be told: an idle node must not wake up at every timer.
const NO_REPORT_INTERVAL: Micros = 500 * MILLISECOND;
/// Share of a peer's intake of messages that all nodes together may fill.
const INTAKE_SHARE: f64 = 0.7;
/// How long a customer stays in the reports after its last request: a few may be lost.
const REPORTED_FOR: Micros = SECOND;
/// Counters in reports are in this part of a unit, so that fractions add up.
const COUNTER_STEP: f64 = 1.0 / 8.0;

/// A time in which a peer was silent.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    /// Its last report before.
    since: Micros,
    /// For how many seconds its even share was kept back.
    kept_back_s: f64,
}

/// What is known of the nodes of the fleet, by their numbers.
#[derive(Clone, Debug)]
pub(crate) struct PeerTable {
    /// When each last sent a usage report; this node is never silent.
    pub last_report_at: Vec<Micros>,
    /// The last silence of each.
    silences: Vec<Silence>,
    /// When each last sent anything.
    pub last_received_at: Vec<Micros>,
    /// When a gossip payload of each was last taken in.
    pub last_payload_at: Vec<Micros>,
    /// Whether each is known to speak of leases.
    pub supports_leases: Vec<bool>,
    pub next_report_at: Micros,
    pub next_payload_at: Micros,
}

impl PeerTable {
    pub fn new(now: Micros, node: NodeId, node_count: u32, large_fleet: bool) -> Self {
        let nodes = node_count as usize;
        // In a large fleet peers do not report unasked, so silence is no sign.
        let mut last_report_at = vec![if large_fleet { Micros::MAX } else { now }; nodes];
        last_report_at[node.0 as usize] = Micros::MAX;
        PeerTable {
            last_report_at,
            silences: vec![Silence::default(); nodes],
            last_received_at: vec![0; nodes],
            last_payload_at: vec![0; nodes],
            supports_leases: vec![false; nodes],
            next_report_at: now,
            next_payload_at: now,
        }
    }

    /// A peer has sent a usage report; the result is its last silence.
    fn record_report(&mut self, now: Micros, from: NodeId) -> Silence {
        let peer = from.0 as usize;
        let last_report = std::mem::replace(&mut self.last_report_at[peer], now);
        let kept_back_s = kept_back_s(now, last_report);
        if kept_back_s > 0.0 {
            self.silences[peer] = Silence {
                since: last_report,
                kept_back_s,
            };
        }
        self.silences[peer]
    }
}

/// Messages per second that one node may send, so that all of them together keep to a share of each one's intake.
pub(crate) fn messages_per_s(settings: &Settings) -> f64 {
    settings.peer_messages_per_s * INTAKE_SHARE
}

/// Time between usage reports to all peers that their intake allows, µs; 0 without peers, infinite without messages.
pub(crate) fn usage_report_interval(settings: &Settings) -> f64 {
    let messages = if settings.permissions.peer_messages {
        messages_per_s(settings)
    } else {
        0.0
    };
    1e6 * f64::from(settings.node_count.saturating_sub(1)) / messages
}

impl PolicyEngine {
    /// A datagram has come from a peer.
    pub(crate) fn on_peer_message(
        &mut self,
        now: Micros,
        from: NodeId,
        bytes: &[u8],
        actions: &mut Actions,
    ) {
        let Some(message) = decode(bytes) else {
            return;
        };
        if from == self.settings.node || from.0 >= self.settings.node_count {
            return;
        }
        self.grants.record_received(from);
        self.peers.last_received_at[from.0 as usize] = now;
        self.peers.supports_leases[from.0 as usize] |= speaks_of_leases(&message);
        match message {
            PeerMessage::UsageReport(report) => self.on_usage_report(now, from, &report),
            PeerMessage::GrantRequest { request, payload } => {
                self.on_optional_payload(now, from, payload);
                self.answer_grant_request(now, from, &request, actions);
            }
            PeerMessage::GrantResponse {
                serial,
                response,
                lease,
                payload,
            } => {
                self.on_optional_payload(now, from, payload);
                let answer = GrantAnswer {
                    response,
                    lease: lease.lease(),
                };
                self.on_grant_response(now, serial, answer, actions);
            }
            PeerMessage::LegacyGrantResponse {
                serial,
                response,
                payload,
            } => {
                self.on_payload(now, from, payload);
                let answer = GrantAnswer {
                    response,
                    lease: None,
                };
                self.on_grant_response(now, serial, answer, actions);
            }
            PeerMessage::PermitTransfer {
                short_server_id,
                permit,
            } => self.on_permit_transfer(now, from, short_server_id, permit),
            PeerMessage::PermitRelease { serial, customer } => {
                self.on_permit_release(customer, from, serial);
            }
        }
    }

    /// Takes what a peer forwarded off the token buckets here.
    fn on_usage_report(&mut self, now: Micros, from: NodeId, report: &UsageReport) {
        let silence = self.peers.record_report(now, from);
        self.detect_restart(now, report.incarnation);
        for CustomerUsage { customer, counter } in &report.usages {
            let Some(bucket) = self.quotas.buckets.get_mut(customer) else {
                continue;
            };
            let plan = &self.settings.plans[bucket.plan.0];
            let silent = silent_peers(&self.peers.last_report_at, bucket, now);
            bucket.refill(now, plan, silent);
            let even_rate = plan.rate / bucket.subset_size;
            let usage = bucket.peer_usage.entry(from).or_default();
            let first_since_silence = usage.received_at <= silence.since;
            let rise = usage.advance(now, USAGE_WINDOW, report.incarnation, *counter);
            // A peer that was silent had its even share kept back: what it forwarded of that is not taken off again.
            let kept_back = if first_since_silence {
                even_rate * silence.kept_back_s
            } else {
                0.0
            };
            let units = (f64::from(rise) * COUNTER_STEP - kept_back).max(0.0);
            if units > 0.0 {
                usage.recent.push_back((now, units));
            }
            if rise > 0 {
                bucket.tokens = (bucket.tokens - units).max(-bucket.even_capacity);
            }
        }
    }

    /// Notices by a peer's age that this node was restarted. A restarted node must not fill its buckets anew, as others
    /// have drawn on the quotas: only its even share of each burst is taken for granted.
    fn detect_restart(&mut self, now: Micros, peer_incarnation: u32) {
        let age = now.saturating_sub(self.started_at);
        let peer_age_ms = ((now / MILLISECOND) as u32).wrapping_sub(peer_incarnation);
        let peer_is_older = u64::from(peer_age_ms) * MILLISECOND >= age + RESTART_WINDOW;
        if self.restarted || age > RESTART_WINDOW || !peer_is_older {
            return;
        }
        self.restarted = true;
        for bucket in self.quotas.buckets.values_mut() {
            let burst = self.settings.plans[bucket.plan.0].burst;
            let beyond_even_share = (burst - bucket.even_capacity).max(0.0);
            bucket.tokens = (bucket.tokens - beyond_even_share).max(-bucket.even_capacity);
        }
    }

    /// Reports to all peers what was forwarded lately, also where that is nothing: a node that sends no report counts as
    /// silent.
    pub(crate) fn broadcast_usage(&mut self, now: Micros, actions: &mut Actions) {
        if now < self.peers.next_report_at {
            return;
        }
        let interval = usage_report_interval(&self.settings);
        let paced = if interval < f64::INFINITY {
            interval as Micros
        } else {
            NO_REPORT_INTERVAL
        };
        self.peers.next_report_at = now + MIN_REPORT_INTERVAL.max(paced);
        let has_peers = interval > 0.0 && interval < f64::INFINITY;
        // Two processes of one node must not both report: the peers' intake would be filled twice.
        if self.large_fleet || self.requests.peer_messages_delegated || !has_peers {
            return;
        }
        let mut usages = self.recent_usages(now);
        usages.truncate(MAX_USAGES);
        let report = UsageReport {
            incarnation: (self.started_at / MILLISECOND) as u32,
            usages,
        };
        actions.push(Action::Broadcast {
            bytes: encode(&PeerMessage::UsageReport(report)),
        });
    }

    /// Running counters of customers with peers that were busy lately, the latest first.
    fn recent_usages(&self, now: Micros) -> Vec<CustomerUsage> {
        let mut busy: Vec<_> = self
            .quotas
            .buckets
            .iter()
            .filter(|(_, bucket)| {
                bucket.units_forwarded > 0.0
                    && bucket.subset_size > 1.0
                    && now <= bucket.forwarded_at + REPORTED_FOR
            })
            .collect();
        busy.sort_by_key(|(customer, bucket)| (std::cmp::Reverse(bucket.forwarded_at), **customer));
        let counter = |units: f64| (units / COUNTER_STEP).round() as u64 as u16;
        busy.into_iter()
            .map(|(customer, bucket): (&CustomerId, _)| CustomerUsage {
                customer: *customer,
                counter: counter(bucket.units_forwarded),
            })
            .collect()
    }
}

fn speaks_of_leases(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::GrantRequest { request, .. } => request.lease_demand.is_some(),
        PeerMessage::GrantResponse { lease, .. } => *lease != LeaseOffer::NotAsked,
        _ => false,
    }
}
