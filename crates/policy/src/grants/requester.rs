//! Grant requests that this node sends to owners.
//!
//! The owner of a random shard is asked first. If it denies the request or does not answer, another reachable owner is
//! asked. An unanswered datagram is retransmitted after a timeout that follows the round-trip time.
//!
//! Inputs: the customer's subset and plan, which owners are reachable, the retransmission timeout in µs. Result: the
//! request is queued, or rejected.

use super::{GrantResponseWithLease, ISOLATION_PROBE_INTERVAL, UNREACHABLE_FOR};
use crate::admission::MAX_OPEN_GRANT_REQUESTS;
use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Micros, RequestId, MILLISECOND};
use crate::peer_message::{encode, GrantRequestMessage, PeerMessage, RequesterState};
use crate::request::{GrantId, Owner, Request};
use crate::shard_owners::ShardOwners;
use crate::state::messages_per_s;
use saffronpaddle_quota::{GrantDecision, GrantResponse, GRANT_LIFETIME};

/// Limit on the owners that may deny one request, and on the owners that may time out for it.
const MAX_OWNERS_ASKED: u32 = 2;
/// Transmissions of a grant request to the first owner, so that a lost datagram is not taken for a failed owner.
const MAX_TRANSMISSIONS: u32 = 4;
/// An owner that sent any message within this time is not marked unreachable.
const ALIVE_WITHIN: Micros = 1_500 * MILLISECOND;
/// Number of the transmission that carries no lease demand. An earlier build ignores grant requests with a lease
/// demand, so it ignores the first transmission and answers the second.
const LEGACY_TRANSMISSION: u32 = 2;

/// What to do with a grant request whose retransmission timeout has expired.
enum TimeoutAction {
    Retransmit,
    /// Wait for the response, or for message budget.
    Wait,
    GiveUp,
}

impl PolicyEngine {
    /// Sends a grant request to the next owner: first the owner of a random shard, then of the next shard, or a
    /// standby. Without a reachable owner, the request is decided locally.
    pub(crate) fn request_grant(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(owner) = self.next_owner(now, &id) else {
            return;
        };
        let Some(owner) = owner else {
            return self.admit_without_owner(now, id, actions);
        };
        self.grants.next_isolation_probe_at = now + ISOLATION_PROBE_INTERVAL;
        let serial = self.grants.next_serial();
        self.grants.open.insert(serial, id.clone());
        if let Some(request) = self.requests.open.get_mut(&id) {
            request.grant.begin(now, serial, owner);
        }
        self.send_grant_request(now, &id, actions);
    }

    /// Returns the owner to ask next. The inner `None` means that no owner is reachable, the outer that the request or
    /// its bucket no longer exists.
    #[allow(clippy::option_option)]
    fn next_owner(&mut self, now: Micros, id: &RequestId) -> Option<Option<Owner>> {
        let request = self.requests.open.get(id)?;
        let bucket = self.quotas.buckets.get(&request.customer)?;
        let customer = request.customer;
        let subset = bucket.subset();
        let owners = ShardOwners::of(&self.settings.plans[request.plan.0], subset.size);
        let progress = &request.grant;
        let first_shard = if progress.denials + progress.timeouts == 0 {
            self.random.u32(0..owners.shards)
        } else {
            (progress.owner.number + progress.denials.min(1)) % owners.shards
        };
        let node_count = self.settings.node_count;
        // On an isolated node every request would wait for a timeout.
        let skips_peers = self.grants.skips_peers(now);
        let owner = owners
            .in_order(first_shard)
            .map(|number| Owner {
                number,
                node: owners.node(customer, subset, number, node_count),
            })
            .find(|owner| {
                let may_ask = !skips_peers || owner.node == self.settings.node;
                may_ask && self.grants.is_reachable(owner.node, now)
            });
        Some(owner)
    }

    /// Sends or retransmits the open grant request to its owner. If this node is the owner, decides on it directly.
    fn send_grant_request(&mut self, now: Micros, id: &RequestId, actions: &mut Actions) {
        let Some(message) = self.grant_request_message(now, id) else {
            return;
        };
        let Some(request) = self.requests.open.get(id) else {
            return;
        };
        let owner = request.grant.owner.node;
        self.counters.add(Counter::GrantRequests);
        if owner != self.settings.node {
            let payload = self.payload_if_due(now);
            let message = PeerMessage::GrantRequest {
                request: message,
                payload,
            };
            actions.push(Action::SendToPeer {
                to: owner,
                bytes: encode(&message),
            });
            return;
        }
        let own_request = GrantRequestMessage {
            lease_demand: None,
            ..message
        };
        let answer = self.decide_grant(now, owner, &own_request, actions);
        let denied = GrantResponse {
            decision: GrantDecision::OverQuota,
            sampling_probability: 1.0,
            retry_after: 0,
            fill_ratio: 0.0,
        };
        let answer = GrantResponseWithLease {
            response: answer.map_or(denied, |answer| answer.response),
            lease: None,
        };
        self.on_grant_response(now, message.serial, answer, actions);
    }

    fn grant_request_message(&self, now: Micros, id: &RequestId) -> Option<GrantRequestMessage> {
        let request = self.requests.open.get(id)?;
        let bucket = self.quotas.buckets.get(&request.customer)?;
        let open = request.grant.open?;
        let owner = request.grant.owner;
        let may_include_demand = request.grant.transmissions != LEGACY_TRANSMISSION
            || self.peers.supports_leases[owner.node.0 as usize];
        let asks_for_lease = self.settings.partition_safe && may_include_demand;
        let rejections = &bucket.rejections;
        Some(GrantRequestMessage {
            serial: open.serial,
            customer: request.customer,
            plan: request.plan,
            subset: bucket.subset(),
            owner: owner.number as u8,
            units: request.units,
            requester: Some(RequesterState {
                uptime_s: self.uptime_s(now),
                reported_fill: rejections.reported_fill(now),
            }),
            lease_demand: asks_for_lease
                .then(|| rejections.lease_demand(now, owner.number, request.units)),
        })
    }

    /// Handles an owner's response: queues the request if it is granted, otherwise calls `on_denial`.
    pub(crate) fn on_grant_response(
        &mut self,
        now: Micros,
        serial: u16,
        answer: GrantResponseWithLease,
        actions: &mut Actions,
    ) {
        if self.on_lease_response(now, serial, answer.lease) {
            return;
        }
        let Some(id) = self.grants.open.remove(&serial) else {
            return self.counters.add(Counter::GrantResponsesLate);
        };
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        if request.grant.open.is_none_or(|open| open.serial != serial) {
            return;
        }
        request.grant.open = None;
        if request.grant.transmissions == 1 {
            let round_trip = now.saturating_sub(request.grant.first_sent_at);
            self.grants.retransmission_timeout.sample(round_trip);
        } else {
            self.grants.retransmission_timeout.back_off();
        }
        let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) else {
            return;
        };
        if let Some(lease) = answer.lease {
            let requested_at = request.grant.first_sent_at;
            let issuer = request.grant.owner.number;
            bucket
                .rejections
                .on_lease_received(now, requested_at, issuer, lease);
        }
        if answer.response.decision == GrantDecision::Granted {
            bucket
                .rejections
                .record_response(now, &answer.response, true);
            bucket.rejections.record_grant(now, request.units);
            self.counters.add(Counter::GrantsReceived);
            accept_grant(request, now, serial);
            return self.on_admitted(now, id, actions);
        }
        self.on_denial(now, id, &answer.response, actions);
    }

    /// Handles a denial: admits the request by a lease, asks another owner, or rejects it.
    fn on_denial(
        &mut self,
        now: Micros,
        id: RequestId,
        response: &GrantResponse,
        actions: &mut Actions,
    ) {
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) else {
            return;
        };
        request.grant.denials += 1;
        let plan = &self.settings.plans[request.plan.0];
        let shards = ShardOwners::of(plan, bucket.subset().size).shards;
        let last = request.grant.denials >= MAX_OWNERS_ASKED.min(shards)
            || response.sampling_probability < 1.0;
        bucket.rejections.record_response(now, response, last);
        let needs_permit = plan.max_in_flight.is_some();
        if !needs_permit && bucket.rejections.take_from_lease(now, request.units, true) {
            return self.admit_locally(now, id, Counter::AdmittedByLease, actions);
        }
        if !last {
            return self.request_grant(now, id, actions);
        }
        self.finish(&id, Counter::RejectedOverQuota, actions);
    }

    /// Checks a request that has not taken its units yet. Asks again if its grant has expired or if it has no open grant
    /// request, and handles an expired retransmission timeout.
    pub(crate) fn check_grant(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(&id) else {
            return;
        };
        if let Some(grant) = request.grant.granted {
            if self.is_granted(request, now) {
                return;
            }
            self.expire_grant(&id, grant, actions);
        } else if let Some(open) = request.grant.open {
            let timeout = self.grants.retransmission_timeout.value();
            if now <= open.sent_at.saturating_add(timeout) {
                return;
            }
            match self.on_timeout(now, &id) {
                TimeoutAction::Wait => return,
                TimeoutAction::Retransmit => return self.send_grant_request(now, &id, actions),
                TimeoutAction::GiveUp => {}
            }
            if self.give_up_owner(now, &id, open.serial) {
                return self.admit_without_owner(now, id, actions);
            }
        } else if request.awaits_release {
            return self.request_release(now, id, actions);
        }
        self.request_grant(now, id, actions);
    }

    /// Whether the request has a grant that may still be used. Grants expire only under a hard limit, which late use could
    /// exceed.
    pub(crate) fn is_granted(&self, request: &Request, now: Micros) -> bool {
        let plan = &self.settings.plans[request.plan.0];
        let in_time = plan.hard_limit.is_none() || now <= request.grant.granted_until;
        request.grant.granted.is_some() && in_time
    }

    fn expire_grant(&mut self, id: &RequestId, grant: GrantId, actions: &mut Actions) {
        let Some(request) = self.requests.open.get_mut(id) else {
            return;
        };
        request.grant.granted = None;
        let customer = request.customer;
        self.counters.add(Counter::GrantsExpired);
        self.requests.dequeue(id);
        self.release_permit(grant, customer, actions);
    }

    /// Decides what to do with a grant request whose retransmission timeout has expired.
    fn on_timeout(&mut self, now: Micros, id: &RequestId) -> TimeoutAction {
        let per_second = messages_per_s(&self.settings);
        let budgeted = self.settings.retransmission_budget;
        let Some(request) = self.requests.open.get_mut(id) else {
            return TimeoutAction::Wait;
        };
        let progress = &mut request.grant;
        let max_transmissions = max_transmissions(progress.timeouts);
        let in_time = now <= progress.first_sent_at.saturating_add(GRANT_LIFETIME);
        let may_retransmit = progress.transmissions < max_transmissions && in_time;
        if may_retransmit && budgeted && !self.grants.message_budget.allows(now, per_second) {
            return TimeoutAction::Wait;
        }
        self.counters.add(Counter::GrantRequestTimeouts);
        self.grants.unanswered += 1;
        if may_retransmit {
            progress.retransmit(now);
            return TimeoutAction::Retransmit;
        }
        if progress.transmissions < max_transmissions {
            self.counters.add(Counter::GrantRequestsGivenUp);
        }
        TimeoutAction::GiveUp
    }

    /// Stops waiting for an owner. Returns whether the limit of unanswered owners is reached. The owner is marked
    /// unreachable only if nothing was received from it recently: a busy owner that loses some responses is still
    /// alive, and passing it over would grant its quota twice.
    fn give_up_owner(&mut self, now: Micros, id: &RequestId, serial: u16) -> bool {
        self.grants.open.remove(&serial);
        let Some(request) = self.requests.open.get_mut(id) else {
            return false;
        };
        let progress = &mut request.grant;
        progress.timeouts += 1;
        progress.open = None;
        let owner = progress.owner.node;
        let last_received_at = self.peers.last_received_at[owner.0 as usize];
        if now > last_received_at.saturating_add(ALIVE_WITHIN) {
            let until = now.saturating_add(UNREACHABLE_FOR);
            self.grants.unreachable_until.insert(owner, until);
        }
        progress.timeouts >= MAX_OWNERS_ASKED
    }

    /// Decides on a request while no owner is reachable: by a lease first, then by a rate derived from what owners
    /// recently granted to this node. Under a hard limit or in partition-safe mode only leases admit.
    fn admit_without_owner(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(&id) else {
            return;
        };
        let units = request.units;
        let has_hard_limit = self.settings.plans[request.plan.0].hard_limit.is_some();
        let may_admit_without_lease = !self.settings.partition_safe && !has_hard_limit;
        let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) else {
            return;
        };
        if bucket.rejections.take_from_lease(now, units, true) {
            self.admit_locally(now, id, Counter::AdmittedByLease, actions);
        } else if may_admit_without_lease && bucket.rejections.admit_without_owner(now, units) {
            self.admit_locally(now, id, Counter::AdmittedWithoutOwner, actions);
        } else {
            self.finish(&id, Counter::RejectedNoOwner, actions);
        }
    }

    /// Admits a request without an owner's grant. It gets a new serial number, because an owner may hold an in-flight
    /// permit under the previous one, which is released by that number.
    pub(crate) fn admit_locally(
        &mut self,
        now: Micros,
        id: RequestId,
        counter: Counter,
        actions: &mut Actions,
    ) {
        self.counters.add(counter);
        let serial = self.grants.next_serial();
        let owner = self.settings.node;
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        request.grant.granted = Some(GrantId { owner, serial });
        request.grant.granted_until = now.saturating_add(GRANT_LIFETIME);
        request.queued_since = now;
        self.on_admitted(now, id, actions);
    }

    /// Lets an admitted request go on: queues it, or releases the last byte of its body.
    fn on_admitted(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let awaits_release = |request: &Request| request.awaits_release;
        if self.requests.open.get(&id).is_some_and(awaits_release) {
            self.release_body(now, &id, actions);
        } else {
            self.requests.queue.push(id);
        }
    }

    /// Admits a request whose body is complete by a lease or requests a grant for it. Waits while as many grant requests of
    /// the customer are open as are allowed; the timer then checks the request again.
    pub(crate) fn request_release(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(&id) else {
            return;
        };
        let (customer, units) = (request.customer, request.units);
        let (plan_id, subset) = (request.plan, request.subset);
        let needs_permit = self.settings.plans[plan_id.0].max_in_flight.is_some();
        self.ensure_bucket(now, customer, plan_id, subset);
        let Some(bucket) = self.quotas.buckets.get_mut(&customer) else {
            return;
        };
        // Keeps the bucket until the response.
        bucket.last_used_at = now;
        if bucket.rejections.is_rejecting(now) {
            return self.finish(&id, Counter::RejectedByCachedDecision, actions);
        }
        if !needs_permit && bucket.rejections.take_from_lease(now, units, false) {
            return self.admit_locally(now, id, Counter::AdmittedByLease, actions);
        }
        if self.open_grant_requests(customer) < MAX_OPEN_GRANT_REQUESTS {
            self.request_grant(now, id, actions);
        }
    }
}

/// Records a grant at its request. Its lifetime starts when the grant was first requested.
fn accept_grant(request: &mut Request, now: Micros, serial: u16) {
    let progress = &mut request.grant;
    progress.granted_until = progress.first_sent_at.saturating_add(GRANT_LIFETIME);
    progress.granted = Some(GrantId {
        owner: progress.owner.node,
        serial,
    });
    request.queued_since = now;
}

/// Limit on transmissions to one owner, where `timeouts` other owners did not answer.
fn max_transmissions(timeouts: u32) -> u32 {
    if timeouts == 0 {
        MAX_TRANSMISSIONS
    } else {
        1
    }
}
