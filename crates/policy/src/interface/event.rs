//! What the engine is notified of.

use super::{
    AttemptNumber, ClassId, CustomerId, Endpoint, EndpointUpdate, Micros, NodeId, PlanId,
    RequestId, SiblingMessage,
};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server answered with an error; it may have run.
    Error,
    /// The server rejected it: it did not run.
    Rejected,
    /// No response in time; it may have run, or still may.
    TimedOut,
    /// No connection: it did not run.
    Unreachable,
    /// The connection was lost; it may have run.
    ConnectionLost,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

impl Outcome {
    /// Whether the server may have executed the request.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
        )
    }

    /// Whether the attempt reached a server.
    pub(crate) fn reached_server(self) -> bool {
        !matches!(self, Outcome::Unreachable | Outcome::NotSent)
    }
}

/// What the engine is notified of.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsChanged {
        /// How to read the endpoints.
        update: EndpointUpdate,
        /// The endpoints.
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list could not be had, or is no longer followed; the old one stands.
    EndpointsUnavailable,
    /// A client's request has come in.
    RequestArrived {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// Its customer's plan.
        plan: PlanId,
        /// Its customer.
        customer: CustomerId,
        /// Units that it counts against the quota.
        units: f64,
        /// First node of the customer's subset; the others follow by number, wrapping around.
        subset_first: NodeId,
        /// Size of the customer's subset of nodes.
        subset_size: u32,
        /// How long the client waits for an answer, µs.
        timeout: Micros,
        /// Whether its body is complete. Of one that is not, the rest is streamed to one server, once;
        /// [`Event::BodyComplete`] follows, and until then `timeout` bounds the arrival of the body.
        complete: bool,
    },
    /// The last byte of a request's body has come. It is held back until this is handled, and goes to the server of the
    /// attempt in flight if the request is open then.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// How long the client waits from now on, µs.
        timeout: Micros,
    },
    /// A streamed response has begun: the attempt belongs to the client now.
    ResponseStarted {
        /// The request.
        id: RequestId,
    },
    /// An attempt has ended. Each dispatched attempt gets exactly one of these.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
        /// How.
        outcome: Outcome,
        /// The request has its final answer, or its client has gone: nothing more is owed.
        request_closed: bool,
    },
    /// Nobody waits for this request any more.
    RequestAbandoned {
        /// The request.
        id: RequestId,
    },
    /// A timer that was set has fired.
    TimerFired {
        /// As given.
        token: u64,
    },
    /// A message from another node.
    PeerMessage {
        /// Who sent it.
        from: NodeId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A message from another process of this node.
    SiblingMessage {
        /// Over which link.
        link: u32,
        /// The message.
        message: SiblingMessage,
    },
    /// The processes of this node have changed.
    SiblingsChanged {
        /// A link that has ended: its attempts are no more.
        ended_link: Option<u32>,
        /// Whether another process has to be told of attempts.
        share_attempts: bool,
        /// Whether another process sends this node's messages to peers.
        peer_messages_delegated: bool,
    },
}
