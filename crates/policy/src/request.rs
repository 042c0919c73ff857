//! Requests that have no final answer yet, their attempts, and the attempts of sibling processes. Plain data.

use crate::idempotency::DispatchedAttempt;
use crate::interface::{
    AttemptNumber, ClassId, CustomerId, Micros, NodeId, PlanId, RequestId, ServerId, SiblingAttempt,
};
use std::collections::BTreeMap;

/// An attempt, by its request and its number.
pub(crate) type AttemptKey = (RequestId, AttemptNumber);

/// What a request is, as its client sent it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestTerms {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    pub timeout: Micros,
    /// Its body is complete: it can be sent again.
    pub complete: bool,
}

/// A request that has no final answer yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    pub arrived_at: Micros,
    /// Since when it waits for the back end: it has been admitted, and its customer's own limits no longer delay it.
    pub queued_since: Micros,
    pub deadline: Micros,
    pub attempts: u32,
    /// Attempts of which no byte was written.
    pub unsent_attempts: u32,
    /// The attempt in flight.
    pub in_flight: Option<AttemptNumber>,
    /// That attempt must not be cancelled: it already was, or its response is streamed to the client.
    pub cancelled: bool,
    /// Its body is not complete: what is in flight has not begun at the server, and draws nothing yet.
    pub body_incomplete: bool,
    /// Its body is streamed as it comes, and cannot be sent again.
    pub body_streamed: bool,
    /// An attempt has reached a server.
    pub reached_server: bool,
    /// The first attempt that may have run.
    pub dispatched: Option<DispatchedAttempt>,
    pub last_server: Option<ServerId>,
    pub grant: GrantProgress,
}

impl Request {
    /// A request that has come in now.
    pub fn new(now: Micros, terms: RequestTerms) -> Self {
        Request {
            class: terms.class,
            plan: terms.plan,
            customer: terms.customer,
            units: terms.units.max(0.0),
            arrived_at: now,
            queued_since: now,
            deadline: now.saturating_add(terms.timeout),
            body_incomplete: !terms.complete,
            body_streamed: !terms.complete,
            ..Request::default()
        }
    }

    /// A streamed response has begun: there is no deadline any more, and nothing to cancel.
    pub fn hand_over_to_client(&mut self) {
        self.deadline = Micros::MAX;
        self.cancelled = true;
    }

    /// Records that one more attempt is in flight at this server.
    pub fn start_attempt(&mut self, server: ServerId) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        self.in_flight = Some(number);
        self.last_server = Some(server);
        self.cancelled = false;
        number
    }

    /// The attempt at a server that has `in_flight_at_server` attempts in flight, with this one.
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
            stage,
        }
    }
}

/// An owner of a customer's quota, by its number among the owners and as a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Owner {
    pub number: u32,
    pub node: NodeId,
}

/// A grant request that was not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OpenGrantRequest {
    pub serial: u16,
    /// When it was last sent.
    pub sent_at: Micros,
}

/// A grant, by who gave it and under which grant request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GrantId {
    pub owner: NodeId,
    pub serial: u16,
}

/// How a request fares with the owners of its customer's quota.
#[derive(Clone, Debug, Default)]
pub(crate) struct GrantProgress {
    /// The owner asked last.
    pub owner: Owner,
    pub open: Option<OpenGrantRequest>,
    /// When the open grant request was first sent.
    pub first_sent_at: Micros,
    /// How often it was sent.
    pub transmissions: u32,
    /// Owners that denied it.
    pub denials: u32,
    /// Owners that did not answer.
    pub timeouts: u32,
    pub granted: Option<GrantId>,
    /// Until when the grant holds under a hard limit.
    pub granted_until: Micros,
}

impl GrantProgress {
    /// A grant request goes to another owner.
    pub fn begin(&mut self, now: Micros, serial: u16, owner: Owner) {
        self.owner = owner;
        self.open = Some(OpenGrantRequest {
            serial,
            sent_at: now,
        });
        self.first_sent_at = now;
        self.transmissions = 1;
    }

    /// The open grant request is sent once more.
    pub fn retransmit(&mut self, now: Micros) {
        if let Some(open) = &mut self.open {
            open.sent_at = now;
        }
        self.transmissions += 1;
    }
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AttemptStage {
    /// Its request's body is still coming: it counts nowhere yet.
    ReceivingBody,
    /// The server has it.
    #[default]
    AtServer,
    /// Its response is streamed: it counts for its customer, and no longer at the server.
    StreamingResponse,
}

/// An attempt that is in flight.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub customer: CustomerId,
    pub class: ClassId,
    pub queued_since: Micros,
    pub sent_at: Micros,
    /// Attempts in flight at the server when it was sent, with this one.
    pub in_flight_at_server: f64,
    pub stage: AttemptStage,
}

impl Attempt {
    /// How it is described to sibling processes. The charge goes with a first attempt only.
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

    /// An attempt of a sibling process, and its key.
    pub(crate) fn of_sibling(sibling: SiblingAttempt) -> (AttemptKey, Attempt) {
        let attempt = Attempt {
            server: sibling.server,
            customer: sibling.customer,
            class: sibling.class,
            queued_since: sibling.queued_since,
            sent_at: sibling.sent_at,
            in_flight_at_server: sibling.in_flight,
            stage: AttemptStage::AtServer,
        };
        ((sibling.request, sibling.attempt), attempt)
    }
}

/// An attempt of another process of this node.
#[derive(Clone, Debug)]
pub(crate) struct RemoteAttempt {
    /// The link over which it was announced.
    pub link: u32,
    pub attempt: Attempt,
}

/// All open requests and attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestTable {
    pub open: BTreeMap<RequestId, Request>,
    /// Admitted requests that wait for a server.
    pub queue: Vec<RequestId>,
    pub attempts: BTreeMap<AttemptKey, Attempt>,
    /// Attempts of sibling processes.
    pub sibling_attempts: BTreeMap<AttemptKey, RemoteAttempt>,
    /// Whether sibling processes have to be told of attempts.
    pub share_attempts: bool,
    /// Whether a sibling process sends this node's messages to peers.
    pub peer_messages_delegated: bool,
}

impl RequestTable {
    /// Takes a request off the queue.
    pub fn dequeue(&mut self, id: &RequestId) {
        self.queue.retain(|queued| queued != id);
    }

    /// All attempts that servers have, those of sibling processes among them.
    pub fn at_servers(&self) -> impl Iterator<Item = &Attempt> {
        let siblings = self.sibling_attempts.values().map(|remote| &remote.attempt);
        self.attempts
            .values()
            .chain(siblings)
            .filter(|attempt| attempt.stage == AttemptStage::AtServer)
    }

    /// How many of them there are.
    pub fn in_flight(&self) -> f64 {
        self.at_servers().count() as f64
    }

    /// How many of them are of one class.
    pub fn in_flight_of(&self, class: ClassId) -> f64 {
        self.at_servers()
            .filter(|attempt| attempt.class == class)
            .count() as f64
    }
}
