//! Admission in a large fleet. A request is admitted by a grant from an owner of its customer's quota, by a lease, or,
//! while no owner is reachable, at a rate derived from what owners recently granted to this node.
//!
//! Usage reports to all peers do not work in a large fleet: they could not be sent often enough, each node sees few of
//! a customer's requests, and hundreds of nodes with a burst each would grant many times the quota. Instead, a few
//! nodes of the customer's subset own its quota in shards (`shard_owners`, `saffronpaddle_quota`), and a request costs
//! a round trip to one of them. `requester` sends grant requests, `owner` decides on them.

mod owner;
mod requester;

use crate::engine::{Actions, PolicyEngine};
use crate::interface::{Action, CustomerId, Micros, MILLISECOND, SECOND};
use crate::peer_message::{encode, PeerMessage};
use crate::request::GrantId;
use crate::state::messages_per_s;
use saffronpaddle_quota::{GrantResponse, Lease};

/// How long an owner that did not answer is skipped. Any message from it ends this earlier.
const UNREACHABLE_FOR: Micros = 4 * SECOND;
/// Interval at which an isolated node sends a grant request to detect that its peers are reachable again.
const ISOLATION_PROBE_INTERVAL: Micros = 200 * MILLISECOND;

/// An owner's response to a grant request, with the lease that it issued, if any.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantResponseWithLease {
    pub response: GrantResponse,
    pub lease: Option<Lease>,
}

impl PolicyEngine {
    /// Charges the messages to peers among `actions` to the message budget.
    pub(crate) fn charge_message_budget(&mut self, now: Micros, actions: &[Action]) {
        let is_message = |action: &&Action| matches!(action, Action::SendToPeer { .. });
        let messages = actions.iter().filter(is_message).count() as f64;
        let per_second = messages_per_s(&self.settings);
        self.grants.message_budget.record(now, messages, per_second);
    }

    /// Uptime of this node as sent to owners: seconds, at most 255.
    fn uptime_s(&self, now: Micros) -> u8 {
        (self.uptime(now) / SECOND).min(u64::from(u8::MAX)) as u8
    }

    /// Releases the in-flight permit that a request holds at an owner. An owner on another node is sent a message.
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
