//! Open grant requests, and which owners can be reached.

use crate::interface::{CustomerId, Micros, NodeId, RequestId};
use crate::message_budget::MessageBudget;
use crate::retransmission_timeout::RetransmissionTimeout;
use std::collections::BTreeMap;

/// Transmissions of grant requests in a row without an answer, and nothing received from any peer, from which this node
/// counts as isolated.
const ISOLATED_AFTER: u32 = 5;
/// A request of an owner for the lease of its standby.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LeaseRequest {
    pub customer: CustomerId,
    pub sent_at: Micros,
}

/// The state of grant requests.
#[derive(Clone, Debug)]
pub(crate) struct GrantState {
    /// Open grant requests by their serial numbers.
    pub open: BTreeMap<u16, RequestId>,
    last_serial: u16,
    /// Open lease requests of this node as an owner.
    pub lease_requests: BTreeMap<u16, LeaseRequest>,
    /// Owners that did not answer, and until when they are passed over.
    pub unreachable_until: BTreeMap<NodeId, Micros>,
    pub retransmission_timeout: RetransmissionTimeout,
    pub message_budget: MessageBudget,
    /// Transmissions without an answer since anything was received.
    pub unanswered: u32,
    pub next_isolation_probe_at: Micros,
}

impl GrantState {
    /// No grant request yet.
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

    /// The serial number of the next grant request.
    pub fn next_serial(&mut self) -> u16 {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.last_serial
    }

    /// Whether a node is not passed over.
    pub fn is_reachable(&self, node: NodeId, now: Micros) -> bool {
        self.unreachable_until
            .get(&node)
            .is_none_or(|until| *until <= now)
    }

    /// Whether no peer is to be asked: this node receives nothing from anybody, and it is not time to try again.
    pub fn skips_peers(&self, now: Micros) -> bool {
        self.unanswered >= ISOLATED_AFTER && now < self.next_isolation_probe_at
    }
}
