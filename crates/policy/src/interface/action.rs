//! Actions that the engine requests.

use super::{AttemptNumber, Micros, NodeId, RequestId, ServerId, SiblingMessage};
use std::fmt;

/// An occurrence that should be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Diagnostic {
    /// A server has not answered any attempt for too long. It is ejected and sent health probes only.
    ServerSilent {
        /// The ejected server.
        server: ServerId,
    },
    /// Latency objectives are missed. From now on a concurrency limit applies to the class with the lowest priority.
    ConcurrencyLimitStarted {
        /// Latency of the worst class, as a multiple of its objective.
        normalized_latency: f64,
        /// Mean attempts in flight of that class at this node. The limit starts at this value, or at its minimum if
        /// that is higher.
        in_flight: f64,
    },
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Diagnostic::ServerSilent { server } => {
                write!(f, "server {} silent: on trial", server.0)
            }
            Diagnostic::ConcurrencyLimitStarted {
                normalized_latency,
                in_flight,
            } => write!(
                f,
                "aim missed: W {normalized_latency:.2}; cap starts at {in_flight:.2}"
            ),
        }
    }
}

/// An action that the engine requests from the process that embeds it.
#[derive(Clone, Debug, PartialEq)]
#[allow(
    missing_docs,
    reason = "the ids of requests, attempts and servers need no explanation"
)]
pub enum Action {
    /// Dispatch an attempt of a request to a server. The attempts of a request are numbered from 0 in the order of
    /// these actions.
    Send {
        id: RequestId,
        server: ServerId,
        /// Time after which the attempt times out, µs; `None` to wait as long as the client does.
        timeout: Option<Micros>,
    },
    /// Reject the request, which is its final answer. The client may safely retry.
    Reject {
        id: RequestId,
        /// When the client should retry, µs from now; `None` for no advice.
        retry_after: Option<Micros>,
    },
    /// Fail the request, which is its final answer. It may have been executed.
    Fail { id: RequestId },
    /// Cancel an attempt.
    Cancel {
        id: RequestId,
        attempt: AttemptNumber,
    },
    /// Send the last byte of a request's body, which was held back until now, to the server of the attempt in flight. The
    /// attempt is charged from now on.
    ReleaseBody {
        id: RequestId,
        attempt: AttemptNumber,
    },
    /// Send a message to every peer.
    Broadcast {
        /// The datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Send a message to one peer.
    SendToPeer {
        to: NodeId,
        /// The datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Send a message to the other processes of this node.
    SendToSiblings(SiblingMessage),
    /// Set a timer.
    SetTimer {
        /// Time until it fires, µs.
        after: Micros,
        /// Returned unchanged in [`Event::TimerFired`](super::Event::TimerFired).
        token: u64,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a diagnostic to the log.
    Report(Diagnostic),
}
