//! Grants: in a large fleet a request is admitted by an owner of its customer's quota, by a lease, or, while no owner can
//! be reached, by what owners granted here lately.
//!
//! In a large fleet usage reports to all peers would come too seldom: each node hardly sees a customer, and hundreds of
//! nodes with a burst each would grant many times the quota. So a few nodes of the customer's subset own its quota in
//! shards (`shard_owners`, `saffronpaddle_quota`), and a request costs a round trip to one of them. `requester` is the
//! side that asks, `owner` the side that decides.

mod owner;
mod requester;

use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, CustomerId, Micros, NodeId, RequestId, MILLISECOND, SECOND};
use crate::message_budget::MessageBudget;
use crate::peer_message::{encode, PeerMessage};
use crate::peers::messages_per_s;
use crate::request::GrantId;
use crate::retransmission_timeout::RetransmissionTimeout;
use saffronpaddle_quota::{GrantResponse, Lease};
use std::collections::BTreeMap;

/// How long an owner that did not answer is passed over; any message from it ends that.
const UNREACHABLE_FOR: Micros = 4 * SECOND;
/// Requests in a row without an answer, and nothing received from anybody, from which this node is isolated.
const ISOLATED_AFTER: u32 = 5;
/// Time between grant requests of an isolated node, which find out when that is over.
const ISOLATION_PROBE_INTERVAL: Micros = 200 * MILLISECOND;

/// A request of an owner for the lease of its standby.
#[derive(Clone, Copy, Debug)]
struct LeaseRequest {
    customer: CustomerId,
    sent_at: Micros,
}

/// An owner's answer to a grant request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantAnswer {
    pub response: GrantResponse,
    pub lease: Option<Lease>,
}

/// The state of grant requests.
#[derive(Clone, Debug)]
pub(crate) struct GrantState {
    /// Open grant requests by their serial numbers.
    pub open: BTreeMap<u16, RequestId>,
    last_serial: u16,
    /// Open lease requests of this node as an owner.
    lease_requests: BTreeMap<u16, LeaseRequest>,
    /// Owners that did not answer, and until when they are passed over.
    unreachable_until: BTreeMap<NodeId, Micros>,
    retransmission_timeout: RetransmissionTimeout,
    message_budget: MessageBudget,
    /// Requests without an answer since anything was received.
    unanswered: u32,
    next_isolation_probe_at: Micros,
}

impl GrantState {
    pub fn new(now: Micros) -> Self {
        GrantState {
            open: BTreeMap::new(),
            last_serial: 0,
            lease_requests: BTreeMap::new(),
            unreachable_until: BTreeMap::new(),
            retransmission_timeout: RetransmissionTimeout::default(),
            message_budget: MessageBudget::default(),
            unanswered: 0,
            next_isolation_probe_at: now,
        }
    }

    /// Something was received from a peer.
    pub fn record_received(&mut self, from: NodeId) {
        self.unreachable_until.remove(&from);
        self.unanswered = 0;
    }

    /// Forgets who was unreachable until now.
    pub fn forget_unreachable(&mut self, now: Micros) {
        self.unreachable_until.retain(|_, until| *until > now);
    }

    fn next_serial(&mut self) -> u16 {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.last_serial
    }

    fn is_reachable(&self, node: NodeId, now: Micros) -> bool {
        self.unreachable_until
            .get(&node)
            .is_none_or(|until| *until <= now)
    }

    /// Whether this node receives nothing from anybody, and it is not time to try again.
    fn is_isolated(&self, now: Micros) -> bool {
        self.unanswered >= ISOLATED_AFTER && now < self.next_isolation_probe_at
    }
}

impl PolicyEngine {
    /// Takes messages to peers off the message budget.
    pub(crate) fn charge_message_budget(&mut self, now: Micros, actions: &[Action]) {
        let is_message = |action: &&Action| matches!(action, Action::SendToPeer { .. });
        let messages = actions.iter().filter(is_message).count() as f64;
        let per_second = messages_per_s(&self.settings);
        self.grants.message_budget.record(now, messages, per_second);
    }

    /// For how long this node is up, as it is told to owners, seconds.
    fn uptime_s(&self, now: Micros) -> u8 {
        (self.uptime(now) / SECOND).min(u64::from(u8::MAX)) as u8
    }

    /// Gives back the in-flight permit that an owner holds for a request.
    pub(crate) fn release_permit(
        &mut self,
        grant: GrantId,
        customer: CustomerId,
        actions: &mut Actions,
    ) {
        if grant.owner == self.settings.node {
            return self.on_permit_release(customer, grant.owner, grant.serial);
        }
        let plan = self.plan_of(customer);
        if plan.is_some_and(|plan| plan.max_in_flight.is_some()) {
            let message = PeerMessage::PermitRelease {
                serial: grant.serial,
                customer,
            };
            actions.push(Action::SendToPeer {
                to: grant.owner,
                bytes: encode(&message),
            });
        }
    }
}
