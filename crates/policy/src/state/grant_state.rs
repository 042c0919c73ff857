//! State of grant requests: the open ones, and the owners that are unreachable.

use crate::interface::{CustomerId, Micros, NodeId, RequestId};
use crate::message_budget::MessageBudget;
use crate::retransmission_timeout::RetransmissionTimeout;
use std::collections::BTreeMap;

/// Number of unanswered transmissions of grant requests, without any message from a peer in between, from which this
/// node counts as isolated.
const ISOLATED_AFTER_UNANSWERED: u32 = 5;

/// A primary owner's request for a lease from its standby.
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
    /// Open lease requests of this node as a primary owner, by their serial numbers.
    pub lease_requests: BTreeMap<u16, LeaseRequest>,
    /// Owners that did not answer, and until when they are skipped.
    pub unreachable_until: BTreeMap<NodeId, Micros>,
    pub retransmission_timeout: RetransmissionTimeout,
    pub message_budget: MessageBudget,
    /// Unanswered transmissions of grant requests since the last message from any peer.
    pub unanswered: u32,
    pub next_isolation_probe_at: Micros,
}

impl GrantState {
    /// Creates the state without open requests. No owner is unreachable.
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

    /// Records a message from a peer, which makes it reachable and ends an isolation.
    pub fn record_received(&mut self, from: NodeId) {
        self.unreachable_until.remove(&from);
        self.unanswered = 0;
    }

    /// Drops the entries of owners that are no longer skipped.
    pub fn forget_unreachable(&mut self, now: Micros) {
        self.unreachable_until.retain(|_, until| *until > now);
    }

    /// Allocates the serial number of the next grant request. Serial numbers wrap around.
    pub fn next_serial(&mut self) -> u16 {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.last_serial
    }

    /// Whether a node may be asked, as it is not marked unreachable at present.
    pub fn is_reachable(&self, node: NodeId, now: Micros) -> bool {
        self.unreachable_until
            .get(&node)
            .is_none_or(|until| *until <= now)
    }

    /// Whether no peer may be asked: this node is isolated, and the next probe is not due yet.
    pub fn skips_peers(&self, now: Micros) -> bool {
        self.unanswered >= ISOLATED_AFTER_UNANSWERED && now < self.next_isolation_probe_at
    }
}
