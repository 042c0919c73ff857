//! The side that asks for grants.
//!
//! The rule, in one sentence: a request asks the owner of a random shard first, then another that is reachable if the
//! first denies it or does not answer; a lost datagram is retransmitted after the round-trip time.
//!
//! Inputs: the customer's subset and plan, which owners are reachable, the retransmission timeout in µs. Result: the
//! request is queued, or rejected.

use super::{GrantAnswer, ISOLATION_PROBE_INTERVAL, UNREACHABLE_FOR};
use crate::counters::Counter;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, Micros, RequestId, MILLISECOND};
use crate::peer_message::{encode, GrantRequestMessage, PeerMessage, RequesterState};
use crate::request::{GrantId, Owner, Request};
use crate::shard_owners::ShardOwners;
use crate::state::messages_per_s;
use saffronpaddle_quota::{GrantDecision, GrantResponse, GRANT_LIFETIME};

/// Owners that may deny one request, and owners that it waits for in vain.
const MAX_OWNERS_ASKED: u32 = 2;
/// Transmissions of a grant request to one owner: a lost datagram must not look like a dead owner.
const MAX_TRANSMISSIONS: u32 = 4;
/// A node that sent something this recently is not taken for dead.
const ALIVE_WITHIN: Micros = 1_500 * MILLISECOND;
/// The transmission without a lease demand. An earlier build passes over requests with one, so the first transmission fails
/// there and the second is answered.
const LEGACY_TRANSMISSION: u32 = 2;

/// What an unanswered grant request comes to.
enum Unanswered {
    Retransmit,
    /// It waits on: for its answer, or for message budget.
    Wait,
    GiveUp,
}

impl PolicyEngine {
    /// Asks an owner for a request: at first of any shard, then of the next shard, or a standby.
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

    /// The owner to ask next; the inner `None` where none can be reached, the outer where the request is gone.
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
        // Every request would wait in vain where no peer can be reached at all.
        let skips_peers = self.grants.skips_peers(now);
        let owner = owners
            .in_order(first_shard)
            .map(|number| Owner {
                number,
                node: owners.node(customer, subset, number, node_count),
            })
            .find(|owner| {
                let answers = !skips_peers || owner.node == self.settings.node;
                answers && self.grants.is_reachable(owner.node, now)
            });
        Some(owner)
    }

    /// Sends the open grant request to its owner, for the first time or again.
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
        let answer = GrantAnswer {
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
        let understands_leases = request.grant.transmissions != LEGACY_TRANSMISSION
            || self.peers.supports_leases[owner.node.0 as usize];
        let asks_for_lease = self.settings.partition_safe && understands_leases;
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

    /// An owner has answered a grant request.
    pub(crate) fn on_grant_response(
        &mut self,
        now: Micros,
        serial: u16,
        answer: GrantAnswer,
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
            let took = now.saturating_sub(request.grant.first_sent_at);
            self.grants.retransmission_timeout.sample(took);
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
            self.requests.queue.push(id);
            return;
        }
        self.on_denial(now, id, &answer.response, actions);
    }

    /// An owner has denied a request: a lease may cover it, another owner may grant it.
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
            return self.admit_locally(now, id, Counter::AdmittedByLease);
        }
        if !last {
            return self.request_grant(now, id, actions);
        }
        self.finish(&id, Counter::RejectedOverQuota, actions);
    }

    /// Looks after a request that was not sent yet: its grant may have expired, its owner may not have answered, or its
    /// customer's limit may be full.
    pub(crate) fn check_grant(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(&id) else {
            return;
        };
        if let Some(grant) = request.grant.granted {
            if self.is_grant_valid(request, now) {
                return;
            }
            self.expire_grant(&id, grant, actions);
        } else if let Some(open) = request.grant.open {
            let timeout = self.grants.retransmission_timeout.wait();
            if now <= open.sent_at.saturating_add(timeout) {
                return;
            }
            match self.on_timeout(now, &id) {
                Unanswered::Wait => return,
                Unanswered::Retransmit => return self.send_grant_request(now, &id, actions),
                Unanswered::GiveUp => {}
            }
            if self.give_up_owner(now, &id, open.serial) {
                return self.admit_without_owner(now, id, actions);
            }
        }
        self.request_grant(now, id, actions);
    }

    /// Whether a request may still go by its grant. Under a hard limit grants that are used late could exceed it.
    fn is_grant_valid(&self, request: &Request, now: Micros) -> bool {
        let plan = &self.settings.plans[request.plan.0];
        plan.hard_limit.is_none() || now <= request.grant.granted_until
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

    /// The retransmission timeout of a grant request is over.
    fn on_timeout(&mut self, now: Micros, id: &RequestId) -> Unanswered {
        let per_second = messages_per_s(&self.settings);
        let budgeted = self.settings.retransmission_budget;
        let Some(request) = self.requests.open.get_mut(id) else {
            return Unanswered::Wait;
        };
        let progress = &mut request.grant;
        let max_transmissions = max_transmissions(progress.timeouts);
        let in_time = now <= progress.first_sent_at.saturating_add(GRANT_LIFETIME);
        let again = progress.transmissions < max_transmissions && in_time;
        if again && budgeted && !self.grants.message_budget.allows(now, per_second) {
            return Unanswered::Wait;
        }
        self.counters.add(Counter::GrantRequestTimeouts);
        self.grants.unanswered += 1;
        if again {
            progress.retransmit(now);
            return Unanswered::Retransmit;
        }
        if progress.transmissions < max_transmissions {
            self.counters.add(Counter::GrantRequestsGivenUp);
        }
        Unanswered::GiveUp
    }

    /// Gives up on an owner; the result is whether no other is to be asked. A busy owner whose responses are lost now and
    /// then must not be taken for dead, or its quota would be granted twice.
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

    /// No owner can be reached: a lease goes first, then what owners granted here lately decides. A hard limit is kept by
    /// leases alone.
    fn admit_without_owner(&mut self, now: Micros, id: RequestId, actions: &mut Actions) {
        let Some(request) = self.requests.open.get(&id) else {
            return;
        };
        let units = request.units;
        let has_hard_limit = self.settings.plans[request.plan.0].hard_limit.is_some();
        let may_go_on = !self.settings.partition_safe && !has_hard_limit;
        let Some(bucket) = self.quotas.buckets.get_mut(&request.customer) else {
            return;
        };
        if bucket.rejections.take_from_lease(now, units, true) {
            self.admit_locally(now, id, Counter::AdmittedByLease);
        } else if may_go_on && bucket.rejections.admit_without_owner(now, units) {
            self.admit_locally(now, id, Counter::AdmittedWithoutOwner);
        } else {
            self.finish(&id, Counter::RejectedNoOwner, actions);
        }
    }

    /// Admits a request by what is held here. It gets a serial number of its own: the last one may hold an in-flight
    /// permit that is given back with it.
    pub(crate) fn admit_locally(&mut self, now: Micros, id: RequestId, counter: Counter) {
        self.counters.add(counter);
        let serial = self.grants.next_serial();
        let owner = self.settings.node;
        let Some(request) = self.requests.open.get_mut(&id) else {
            return;
        };
        request.grant.granted = Some(GrantId { owner, serial });
        request.grant.granted_until = now.saturating_add(GRANT_LIFETIME);
        request.queued_since = now;
        self.requests.queue.push(id);
    }
}

/// Records a grant at its request. Its life begins when it was asked for.
fn accept_grant(request: &mut Request, now: Micros, serial: u16) {
    let progress = &mut request.grant;
    progress.granted_until = progress.first_sent_at.saturating_add(GRANT_LIFETIME);
    progress.granted = Some(GrantId {
        owner: progress.owner.node,
        serial,
    });
    request.queued_since = now;
}

/// Transmissions to an owner, after so many others did not answer.
fn max_transmissions(timeouts: u32) -> u32 {
    if timeouts == 0 {
        MAX_TRANSMISSIONS
    } else {
        1
    }
}
