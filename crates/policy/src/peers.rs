//! Dispatch of messages from peers, and the usage reports by which the nodes of a small fleet enforce quotas together.
//!
//! Each node broadcasts running counters of the units that it recently forwarded for each customer, and deducts the
//! units that its peers report from its own token buckets.
//!
//! Inputs: datagrams of peers, the time in µs, the messages per second that peers can receive. Results: tokens deducted
//! from buckets; a broadcast at most every 200 ms.

use crate::engine::{Actions, PolicyEngine};
use crate::grants::GrantResponseWithLease;
use crate::interface::{Action, CustomerId, Micros, NodeId, MILLISECOND, SECOND};
use crate::peer_message::{
    decode, encode, CustomerUsage, LeaseOffer, PeerMessage, UsageReport, MAX_USAGES,
};
use crate::state::{usage_report_interval, RESTART_WINDOW};
use crate::token_bucket::{count_silent_peers, USAGE_WINDOW};

/// Shortest time between two usage reports.
const MIN_REPORT_INTERVAL: Micros = 200 * MILLISECOND;
/// Interval between checks for a due report where there is no peer to report to, so that an idle node does not wake up
/// at every timer.
const NO_REPORT_INTERVAL: Micros = 500 * MILLISECOND;
/// How long a customer stays in the reports after its last request, as some reports may be lost.
const REPORTED_FOR: Micros = SECOND;
/// Step of the counters in reports, in units. It lets fractions of a unit add up.
const COUNTER_STEP: f64 = 1.0 / 8.0;

impl PolicyEngine {
    /// Decodes a datagram of a peer and handles the message. Ignores one that cannot be decoded or whose sender is
    /// unknown.
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
        self.peers.supports_leases[from.0 as usize] |= has_lease_field(&message);
        match message {
            PeerMessage::UsageReport(report) => self.on_usage_report(now, from, &report),
            PeerMessage::GrantRequest { request, payload } => {
                self.on_optional_payload(now, from, payload);
                self.respond_to_grant_request(now, from, &request, actions);
            }
            PeerMessage::GrantResponse {
                serial,
                response,
                lease,
                payload,
            } => {
                self.on_optional_payload(now, from, payload);
                let answer = GrantResponseWithLease {
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
                let answer = GrantResponseWithLease {
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

    /// Deducts the units that a peer forwarded from the token buckets of this node.
    fn on_usage_report(&mut self, now: Micros, from: NodeId, report: &UsageReport) {
        let silence = self.peers.record_report(now, from);
        self.detect_restart(now, report.incarnation);
        for CustomerUsage { customer, counter } in &report.usages {
            let Some(bucket) = self.quotas.buckets.get_mut(customer) else {
                continue;
            };
            let plan = &self.settings.plans[bucket.plan.0];
            let silent_peer_count = count_silent_peers(&self.peers.last_report_at, bucket, now);
            bucket.refill(now, plan, silent_peer_count);
            let even_rate = plan.rate / bucket.subset_size;
            let usage = bucket.peer_usage.entry(from).or_default();
            let first_since_silence = usage.received_at <= silence.since;
            let increase = usage.advance(now, USAGE_WINDOW, report.incarnation, *counter);
            // The even share of a silent peer was withheld from the refill, so units within it are not deducted again.
            let withheld = if first_since_silence {
                even_rate * silence.share_withheld_s
            } else {
                0.0
            };
            let units = (f64::from(increase) * COUNTER_STEP - withheld).max(0.0);
            if units > 0.0 {
                usage.recent.push_back((now, units));
            }
            if increase > 0 {
                bucket.tokens = (bucket.tokens - units).max(-bucket.even_capacity);
            }
        }
    }

    /// Detects that this node was restarted: a peer is older by at least [`RESTART_WINDOW`]. Peers may have used the
    /// rest of each burst already, so a restarted node reduces its buckets to its even share.
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

    /// Broadcasts a report of recent usage when one is due, even if it is empty: a node that sends no report counts as
    /// silent.
    pub(crate) fn broadcast_usage(&mut self, now: Micros, actions: &mut Actions) {
        if now < self.peers.next_report_at {
            return;
        }
        let interval = usage_report_interval(&self.settings);
        let allowed_interval = if interval < f64::INFINITY {
            interval as Micros
        } else {
            NO_REPORT_INTERVAL
        };
        self.peers.next_report_at = now + MIN_REPORT_INTERVAL.max(allowed_interval);
        let has_peers = interval > 0.0 && interval < f64::INFINITY;
        // Only one process of a node reports. Two would send peers twice the messages that one node may send.
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

    /// Running counters of the customers that other nodes serve too and that had requests recently, the latest first.
    fn recent_usages(&self, now: Micros) -> Vec<CustomerUsage> {
        let mut recent: Vec<_> = self
            .quotas
            .buckets
            .iter()
            .filter(|(_, bucket)| {
                bucket.units_forwarded > 0.0
                    && bucket.subset_size > 1.0
                    && now <= bucket.forwarded_at + REPORTED_FOR
            })
            .collect();
        recent
            .sort_by_key(|(customer, bucket)| (std::cmp::Reverse(bucket.forwarded_at), **customer));
        let counter = |units: f64| (units / COUNTER_STEP).round() as u64 as u16;
        recent
            .into_iter()
            .map(|(customer, bucket): (&CustomerId, _)| CustomerUsage {
                customer: *customer,
                counter: counter(bucket.units_forwarded),
            })
            .collect()
    }
}

/// Whether a message has a field for leases, which shows that its sender supports them.
fn has_lease_field(message: &PeerMessage) -> bool {
    match message {
        PeerMessage::GrantRequest { request, .. } => request.lease_demand.is_some(),
        PeerMessage::GrantResponse { lease, .. } => *lease != LeaseOffer::NotAsked,
        _ => false,
    }
}
