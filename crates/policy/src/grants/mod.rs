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
use crate::interface::{Action, CustomerId, Micros, MILLISECOND, SECOND};
use crate::peer_message::{encode, PeerMessage};
use crate::request::GrantId;
use crate::state::messages_per_s;
use saffronpaddle_quota::{GrantResponse, Lease};

/// How long an owner that did not answer is passed over; any message from it ends that.
const UNREACHABLE_FOR: Micros = 4 * SECOND;
/// Time between grant requests of an isolated node, which find out when that is over.
const ISOLATION_PROBE_INTERVAL: Micros = 200 * MILLISECOND;

/// An owner's answer to a grant request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantAnswer {
    pub response: GrantResponse,
    pub lease: Option<Lease>,
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
