//! Decisions of an owner of a shard of a customer's quota on grant requests.
//!
//! A request is granted if the shard's tokens, hard limit and in-flight permits cover it. Tokens that the shard does
//! not need are issued as leases (`saffronpaddle_quota`).
//!
//! A restarted node must not grant again what its previous incarnation granted. It detects the restart by the
//! requester's uptime and initializes the shard with the fill that the requester last received. A standby starts with
//! the units of one request; with a full shard, one lost response would be enough to grant the quota from two buckets.

use super::GrantResponseWithLease;
use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, CustomerId, Micros, NodeId, SECOND};
use crate::peer_message::{encode, GrantRequestMessage, LeaseOffer, PeerMessage, RequesterState};
use crate::shard_owners::{NodeSubset, ShardOwners};
use crate::state::{LeaseRequest, OwnedShard, RESTART_WINDOW};
use saffronpaddle_quota::{
    GrantDecision, GrantRequest, InitialTokens, Lease, QuotaShard, ShardLimits, LEASE_DURATION,
};

/// Limit on lease requests to standbys that are open at the same time.
const MAX_LEASE_REQUESTS: usize = 256;
/// Fill ratio below which an owner requests a lease from its standby.
const LEASE_BELOW_FILL: f64 = 0.5;

impl PolicyEngine {
    /// Decides on a peer's grant request and sends the response.
    pub(crate) fn respond_to_grant_request(
        &mut self,
        now: Micros,
        from: NodeId,
        request: &GrantRequestMessage,
        actions: &mut Actions,
    ) {
        let Some(answer) = self.decide_grant(now, from, request, actions) else {
            return;
        };
        let serial = request.serial;
        let response = answer.response;
        let message = if request.requester.is_some() {
            let lease = match (request.lease_demand, answer.lease) {
                (None, _) => LeaseOffer::NotAsked,
                (Some(_), None) => LeaseOffer::Denied,
                (Some(_), Some(lease)) => LeaseOffer::Issued(lease),
            };
            PeerMessage::GrantResponse {
                serial,
                response,
                lease,
                payload: self.payload_if_due(now),
            }
        } else {
            PeerMessage::LegacyGrantResponse {
                serial,
                response,
                payload: self.payload(now),
            }
        };
        actions.push(Action::SendToPeer {
            to: from,
            bytes: encode(&message),
        });
    }

    /// Decides on a grant request. Returns `None` if its plan or its owner number does not exist, or if another node is
    /// that owner.
    pub(super) fn decide_grant(
        &mut self,
        now: Micros,
        from: NodeId,
        request: &GrantRequestMessage,
        actions: &mut Actions,
    ) -> Option<GrantResponseWithLease> {
        let plan = self.settings.plans.get(request.plan.0)?;
        let node_count = self.settings.node_count;
        let subset = NodeSubset {
            first: request.subset.first,
            size: request.subset.size.clamp(1, node_count),
        };
        let owners = ShardOwners::of(plan, subset.size);
        let owner = u32::from(request.owner);
        let owner_node = owners.node(request.customer, subset, owner, node_count);
        if owner_node != self.settings.node || owner >= owners.owners {
            return None;
        }
        self.counters.add(Counter::GrantRequestsReceived);
        let max_units = self.settings.max_request_units;
        let limits = owners.limits(plan, owner, max_units, self.settings.partition_safe);
        self.open_shard(now, request, subset, owners, &limits);
        let answer = self.decide_by_shard(now, from, request, &limits)?;
        self.count_decision(answer.response.decision);
        let is_primary = owner < owners.shards;
        let is_low = answer.response.fill_ratio < LEASE_BELOW_FILL;
        if self.settings.partition_safe && is_primary && is_low {
            self.request_lease_of_standby(now, request, owners, actions);
        }
        Some(answer)
    }

    /// Creates the shard if it does not exist, and updates its plan, subset size and owner number.
    fn open_shard(
        &mut self,
        now: Micros,
        request: &GrantRequestMessage,
        subset: NodeSubset,
        owners: ShardOwners,
        limits: &ShardLimits,
    ) {
        let uptime = self.uptime(now);
        let requester = request.requester.unwrap_or(RequesterState {
            uptime_s: 0,
            reported_fill: None,
        });
        self.restarted |= u64::from(requester.uptime_s) * SECOND > uptime + RESTART_WINDOW;
        let owner = u32::from(request.owner);
        let initial_tokens = match requester.reported_fill {
            _ if owner >= owners.shards => InitialTokens::AccruedSince {
                units: request.units,
                elapsed: 0,
            },
            _ if !self.restarted => InitialTokens::Full,
            Some(fill) if fill.age > uptime => InitialTokens::Reported(fill),
            _ => InitialTokens::AccruedSince {
                units: request.units,
                elapsed: uptime,
            },
        };
        let owned = self
            .quotas
            .shards
            .entry(request.customer)
            .or_insert_with(|| OwnedShard {
                shard: QuotaShard::open(now, initial_tokens, uptime, limits),
                ..OwnedShard::default()
            });
        owned.plan = request.plan;
        owned.subset_size = subset.size;
        owned.owner = owner;
    }

    fn decide_by_shard(
        &mut self,
        now: Micros,
        from: NodeId,
        request: &GrantRequestMessage,
        limits: &ShardLimits,
    ) -> Option<GrantResponseWithLease> {
        let shard = &mut self.quotas.shards.get_mut(&request.customer)?.shard;
        let grant_request = GrantRequest {
            requester: from.0,
            serial: request.serial,
            units: request.units,
        };
        // A primary owner that requests a lease from its standby asks for no units.
        let asks_for_units = request.units > 0.0;
        let (response, request_units, may_issue) = if asks_for_units {
            let attempt_duration = self.load.mean_latency as Micros;
            let response = shard.decide_grant(now, grant_request, limits, attempt_duration);
            (response, request.units, shard.is_uncontended(now))
        } else {
            let max_units = self.settings.max_request_units;
            (shard.status(now, limits), max_units, true)
        };
        let demand = request.lease_demand.filter(|_| may_issue);
        let lease = demand.and_then(|demand| {
            shard.issue_lease(now, grant_request, &demand, limits, request_units)
        });
        if lease.is_some() {
            self.counters.add(Counter::LeasesIssued);
        }
        Some(GrantResponseWithLease { response, lease })
    }

    fn count_decision(&mut self, decision: GrantDecision) {
        match decision {
            GrantDecision::Granted => {}
            GrantDecision::OverQuota => self.counters.add(Counter::GrantsDeniedOverQuota),
            GrantDecision::TooManyInFlight => self.counters.add(Counter::GrantsDeniedInFlight),
            GrantDecision::OverHardLimit => self.counters.add(Counter::GrantsDeniedHardLimit),
        }
    }

    /// Requests a lease of the standby's share of the shard. In partition-safe mode each owner holds its own share of
    /// the quota, because two owners that each granted all of it would exceed it while they cannot reach each other.
    fn request_lease_of_standby(
        &mut self,
        now: Micros,
        request: &GrantRequestMessage,
        owners: ShardOwners,
        actions: &mut Actions,
    ) {
        let Some(owned) = self.quotas.shards.get_mut(&request.customer) else {
            return;
        };
        let standby = u32::from(request.owner) + owners.shards;
        if standby >= owners.owners || !owned.shard.should_request_lease(now) {
            return;
        }
        let node_count = self.settings.node_count;
        let to = owners.node(request.customer, request.subset, standby, node_count);
        let serial = self.grants.next_serial();
        // Drops requests that were never answered: a lease that they were issued has expired by now.
        self.grants
            .lease_requests
            .retain(|_, request| request.sent_at + LEASE_DURATION > now);
        let too_many = self.grants.lease_requests.len() >= MAX_LEASE_REQUESTS;
        if to == self.settings.node || too_many {
            return;
        }
        let lease_request = LeaseRequest {
            customer: request.customer,
            sent_at: now,
        };
        self.grants.lease_requests.insert(serial, lease_request);
        let lease_demand = Some(owned.shard.lease_demand(now));
        let message = GrantRequestMessage {
            serial,
            owner: standby as u8,
            units: 0.0,
            requester: Some(RequesterState {
                uptime_s: self.uptime_s(now),
                reported_fill: None,
            }),
            lease_demand,
            ..*request
        };
        let message = PeerMessage::GrantRequest {
            request: message,
            payload: None,
        };
        actions.push(Action::SendToPeer {
            to,
            bytes: encode(&message),
        });
    }

    /// Handles a standby's response to a lease request. Returns whether `serial` belongs to an open lease request.
    pub(super) fn on_lease_response(
        &mut self,
        now: Micros,
        serial: u16,
        lease: Option<Lease>,
    ) -> bool {
        let Some(request) = self.grants.lease_requests.remove(&serial) else {
            return false;
        };
        let owned = self.quotas.shards.get_mut(&request.customer);
        if let (Some(owned), Some(lease)) = (owned, lease) {
            owned.shard.on_lease_received(now, request.sent_at, lease);
        }
        true
    }

    /// Releases the in-flight permit of a shard on this node after the attempt that held it has ended.
    pub(crate) fn on_permit_release(
        &mut self,
        customer: CustomerId,
        requester: NodeId,
        serial: u16,
    ) {
        if let Some(owned) = self.quotas.shards.get_mut(&customer) {
            owned.shard.release(requester.0, serial);
        }
    }
}
