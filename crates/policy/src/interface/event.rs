//! Events that the engine is notified of.

use super::{
    AttemptNumber, ClassId, CustomerId, Endpoint, EndpointUpdate, Micros, NodeId, PlanId,
    RequestId, SiblingMessage,
};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The server served the request.
    Ok,
    /// The server answered with an error. It may have executed the request.
    Error,
    /// The server rejected the request and did not execute it.
    Rejected,
    /// No response arrived in time. The server may have executed the request, or may still do so.
    TimedOut,
    /// No connection could be established, so the request was not executed.
    Unreachable,
    /// The connection was lost. The server may have executed the request.
    ConnectionLost,
    /// The attempt was cancelled. The server may have executed the request.
    Cancelled,
    /// The attempt was not sent, so the request was not executed.
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

/// An event that the engine is notified of.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs, reason = "the types of the other fields are documented")]
pub enum Event {
    /// The endpoint list has changed.
    EndpointsChanged {
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    },
    /// The endpoint list could not be read, or updates to it have stopped. The engine keeps the list that it has.
    EndpointsUnavailable,
    /// A client's request has arrived.
    RequestArrived {
        id: RequestId,
        class: ClassId,
        /// Plan of the customer.
        plan: PlanId,
        customer: CustomerId,
        /// Units that the request is charged against the quota.
        units: f64,
        /// First node of the customer's subset; the others follow by number, wrapping around.
        subset_first: NodeId,
        /// Size of the customer's subset of nodes.
        subset_size: u32,
        /// How long the client waits for an answer, µs.
        timeout: Micros,
        /// Whether the body has arrived completely. The rest of an incomplete body is streamed to one server, without
        /// retries. [`Event::BodyComplete`] follows, and until then `timeout` limits the arrival of the body.
        complete: bool,
    },
    /// The last byte of a request's body has arrived. The byte is held back until [`Action::ReleaseBody`].
    ///
    /// [`Action::ReleaseBody`]: super::Action::ReleaseBody
    BodyComplete {
        id: RequestId,
        /// How long the client waits for an answer from now on, µs.
        timeout: Micros,
    },
    /// The time by which a request needs its answer has changed although its body is incomplete: the node has stopped or
    /// resumed the receipt. While it does not read, the client may already have sent the last byte.
    BodyDeadlineChanged {
        id: RequestId,
        /// How long the client is sure to wait for an answer from now on, µs.
        timeout: Micros,
    },
    /// A streamed response has started. From now on the request has no deadline, and the engine does not cancel the
    /// attempt.
    ResponseStarted { id: RequestId },
    /// An attempt has ended. There is exactly one of these events for each dispatched attempt.
    AttemptEnded {
        id: RequestId,
        attempt: AttemptNumber,
        outcome: Outcome,
        /// Whether the request has its final answer or its client has disconnected, so that no answer is due.
        request_closed: bool,
    },
    /// The client no longer waits for an answer to the request.
    RequestAbandoned { id: RequestId },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) has fired.
    TimerFired {
        /// The token that was given when the timer was set.
        token: u64,
    },
    /// A message from another node has arrived.
    PeerMessage {
        /// The sender.
        from: NodeId,
        /// The datagram.
        bytes: Vec<u8>,
    },
    /// A message from another process of this node has arrived.
    SiblingMessage {
        /// Number of the link over which it arrived.
        link: u32,
        message: SiblingMessage,
    },
    /// A process of this node has started or ended, or its role has changed.
    SiblingsChanged {
        /// A link that has ended, and with it the attempts that were announced over it.
        ended_link: Option<u32>,
        /// Whether attempts must be announced to another process.
        share_attempts: bool,
        /// Whether another process sends this node's messages to peers.
        peer_messages_delegated: bool,
    },
}
