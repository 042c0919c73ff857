//! Open requests, their attempts, and the attempts of sibling processes. Plain data without rules.

use crate::idempotency::DispatchedAttempt;
use crate::interface::{
    AttemptNumber, ClassId, CustomerId, Micros, NodeId, PlanId, RequestId, ServerId, SiblingAttempt,
};
use crate::shard_owners::NodeSubset;
use std::collections::BTreeMap;

/// Identifies an attempt by its request and its number.
pub(crate) type AttemptKey = (RequestId, AttemptNumber);

/// Properties of a request as given by the event that announces it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTerms {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    /// The nodes that receive the customer's requests.
    pub subset: NodeSubset,
    pub units: f64,
    pub timeout: Micros,
    /// Whether the body has been received in full, so that the request can be retried.
    pub complete: bool,
}

/// An open request: one without a final answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    /// The nodes that receive the customer's requests, as the request gives them.
    pub subset: NodeSubset,
    pub units: f64,
    pub arrived_at: Micros,
    /// Time from which only the back end delays the request: it has been admitted, and its customer's own limits no
    /// longer hold it back. Delays at this node before an attempt was written move it forward.
    pub queued_since: Micros,
    pub deadline: Micros,
    /// Number of attempts started.
    pub attempts: u32,
    /// Number of attempts of which no byte was written to a connection.
    pub unsent_attempts: u32,
    /// The attempt in flight; `None` if there is none.
    pub in_flight: Option<AttemptNumber>,
    /// Whether the attempt in flight must not be cancelled: it already was, or its response is being streamed to the
    /// client.
    pub cancelled: bool,
    /// Whether the body is still being received. The attempt in flight has then not started at the server and is not
    /// charged yet.
    pub body_incomplete: bool,
    /// Whether the body has arrived completely and its last byte is held back until an owner of the customer's quota grants
    /// the request.
    pub awaits_release: bool,
    /// Whether the body is streamed to the server as it arrives, so that the request cannot be retried.
    pub body_streamed: bool,
    /// Whether an attempt has reached a server.
    pub reached_server: bool,
    /// The first attempt that may have been executed by a server.
    pub dispatched: Option<DispatchedAttempt>,
    pub last_server: Option<ServerId>,
    pub grant: GrantProgress,
}

impl Request {
    /// Creates a request that arrives at `now`.
    pub fn new(now: Micros, terms: RequestTerms) -> Self {
        Request {
            class: terms.class,
            plan: terms.plan,
            customer: terms.customer,
            subset: terms.subset,
            units: terms.units.max(0.0),
            arrived_at: now,
            queued_since: now,
            deadline: now.saturating_add(terms.timeout),
            body_incomplete: !terms.complete,
            body_streamed: !terms.complete,
            ..Request::default()
        }
    }

    /// Returns whether the request takes its units, and thus needs a grant in a large fleet, before it goes on: before its
    /// first attempt, or before the last byte of a streamed body.
    pub fn needs_grant(&self) -> bool {
        if self.body_incomplete {
            self.awaits_release
        } else {
            self.attempts == 0
        }
    }

    /// Records that the streaming of the response has started: from then on there is no deadline and no cancellation.
    pub fn start_response_stream(&mut self) {
        self.deadline = Micros::MAX;
        self.cancelled = true;
    }

    /// Records a new attempt in flight at `server` and returns its number.
    pub fn start_attempt(&mut self, server: ServerId) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        self.in_flight = Some(number);
        self.last_server = Some(server);
        self.cancelled = false;
        number
    }

    /// Creates the attempt at `server`; `in_flight_at_server` includes this attempt.
    pub fn attempt(&self, server: ServerId, sent_at: Micros, in_flight_at_server: f64) -> Attempt {
        let stage = if self.body_incomplete {
            AttemptStage::ReceivingBody
        } else {
            AttemptStage::AtServer
        };
        Attempt {
            server,
            customer: self.customer,
            class: self.class,
            queued_since: self.queued_since,
            sent_at,
            in_flight_at_server,
            own_delay: 0,
            stage,
        }
    }
}

/// An owner of a customer's quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Owner {
    /// Index among the owners of the quota.
    pub number: u32,
    pub node: NodeId,
}

/// A grant request without a response so far.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGrantRequest {
    pub serial: u16,
    /// When it was last sent.
    pub sent_at: Micros,
}

/// Identifies a grant by the owner that issued it and the serial number of the grant request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantId {
    pub owner: NodeId,
    pub serial: u16,
}

/// State of a request's grant requests to the owners of its customer's quota.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantProgress {
    /// The owner to which the last grant request was sent.
    pub owner: Owner,
    pub open: Option<OpenGrantRequest>,
    /// When the open grant request was first sent.
    pub first_sent_at: Micros,
    /// Number of times the open grant request was sent.
    pub transmissions: u32,
    /// Number of owners that denied the request.
    pub denials: u32,
    /// Number of owners that did not respond in time.
    pub timeouts: u32,
    pub granted: Option<GrantId>,
    /// Time at which the grant expires under a hard limit.
    pub granted_until: Micros,
}

impl GrantProgress {
    /// Records the first transmission of a grant request to another owner.
    pub fn begin(&mut self, now: Micros, serial: u16, owner: Owner) {
        self.owner = owner;
        self.open = Some(OpenGrantRequest {
            serial,
            sent_at: now,
        });
        self.first_sent_at = now;
        self.transmissions = 1;
    }

    /// Records a retransmission of the open grant request.
    pub fn retransmit(&mut self, now: Micros) {
        if let Some(open) = &mut self.open {
            open.sent_at = now;
        }
        self.transmissions += 1;
    }
}

/// Stage of an attempt in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// The request's body is still being received: the attempt counts neither for the server nor for the customer.
    ReceivingBody,
    /// The server processes the request: the attempt counts for both.
    #[default]
    AtServer,
    /// The response is being streamed: the attempt counts for the customer, and no longer for the server.
    StreamingResponse,
}

/// An attempt in flight.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub customer: CustomerId,
    pub class: ClassId,
    pub queued_since: Micros,
    pub sent_at: Micros,
    /// Attempts in flight at the server when this one was sent, itself included.
    pub in_flight_at_server: f64,
    /// How long this node held up the attempt before its request was written, µs.
    pub own_delay: Micros,
    pub stage: AttemptStage,
}

impl Attempt {
    /// Returns how long the server has taken until `seen_until`, µs, without the delays at this node.
    pub(crate) fn time_at_server(&self, seen_until: Micros) -> Micros {
        seen_until.saturating_sub(self.sent_at.saturating_add(self.own_delay))
    }

    /// Converts the attempt for a message to sibling processes, without a charge. The caller adds the charge of a first
    /// attempt.
    pub(crate) fn to_sibling(&self, request: &RequestId, number: AttemptNumber) -> SiblingAttempt {
        SiblingAttempt {
            request: request.clone(),
            attempt: number,
            server: self.server,
            customer: self.customer,
            class: self.class,
            queued_since: self.queued_since,
            sent_at: self.sent_at,
            in_flight: self.in_flight_at_server,
            charge: None,
        }
    }

    /// Returns an attempt of a sibling process and its key.
    pub(crate) fn from_sibling(sibling: SiblingAttempt) -> (AttemptKey, Attempt) {
        let attempt = Attempt {
            server: sibling.server,
            customer: sibling.customer,
            class: sibling.class,
            queued_since: sibling.queued_since,
            sent_at: sibling.sent_at,
            in_flight_at_server: sibling.in_flight,
            own_delay: 0,
            stage: AttemptStage::AtServer,
        };
        ((sibling.request, sibling.attempt), attempt)
    }
}

/// An attempt of another process of this node.
#[derive(Clone, Debug)]
pub(crate) struct RemoteAttempt {
    /// Link to the sibling process that announced the attempt.
    pub link: u32,
    pub attempt: Attempt,
}

/// All open requests and attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    pub open: BTreeMap<RequestId, Request>,
    /// Admitted requests waiting for a server.
    pub queue: Vec<RequestId>,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Attempts that sibling processes have announced.
    pub sibling_attempts: BTreeMap<AttemptKey, RemoteAttempt>,
    /// Whether attempts are announced to sibling processes.
    pub share_attempts: bool,
    /// Whether a sibling process sends this node's messages to peers.
    pub peer_messages_delegated: bool,
}

impl RequestTable {
    /// Removes a request from the queue; does nothing if it is not queued.
    pub fn dequeue(&mut self, id: &RequestId) {
        self.queue.retain(|queued| queued != id);
    }

    /// Returns the attempts in stage [`AttemptStage::AtServer`], including those of sibling processes.
    pub fn at_servers(&self) -> impl Iterator<Item = &Attempt> {
        let siblings = self.sibling_attempts.values().map(|remote| &remote.attempt);
        self.attempts
            .values()
            .chain(siblings)
            .filter(|attempt| attempt.stage == AttemptStage::AtServer)
    }

    /// Returns the number of attempts at servers.
    pub fn in_flight(&self) -> f64 {
        self.at_servers().count() as f64
    }

    /// Returns the number of attempts at servers of one class.
    pub fn in_flight_of(&self, class: ClassId) -> f64 {
        self.at_servers()
            .filter(|attempt| attempt.class == class)
            .count() as f64
    }
}
