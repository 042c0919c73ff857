//! What the engine asks for.

use super::{AttemptNumber, Micros, NodeId, RequestId, ServerId, SiblingMessage};
use std::fmt;

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Diagnostic {
    /// A server has answered nothing for too long: it gets health probes only.
    ServerSilent {
        /// The server.
        server: ServerId,
    },
    /// Latency objectives are missed: the lowest class is bound by a concurrency limit from now on.
    ConcurrencyLimitStarted {
        /// Latency of the worst class, as a multiple of its objective.
        normalized_latency: f64,
        /// Attempts of the lowest class in flight at this node on average, from which the limit starts.
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

/// What the engine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Forward the request. Attempts are numbered from 0 in the order in which this is asked for.
    Send {
        /// The request.
        id: RequestId,
        /// The server.
        server: ServerId,
        /// Give the attempt up after this span, µs; `None` for when the client does.
        timeout: Option<Micros>,
    },
    /// Final answer: rejected; trying again is harmless.
    Reject {
        /// The request.
        id: RequestId,
        /// When the client should try again, µs from now.
        retry_after: Option<Micros>,
    },
    /// Final answer: failed, with no promise.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: AttemptNumber,
    },
    /// Send a message to every peer.
    Broadcast {
        /// The datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Send a message to one peer.
    SendToPeer {
        /// The peer.
        to: NodeId,
        /// The datagram, at most 256 bytes.
        bytes: Vec<u8>,
    },
    /// Send a message to the other processes of this node.
    SendToSiblings(SiblingMessage),
    /// Set a timer.
    SetTimer {
        /// After this span, µs.
        after: Micros,
        /// Comes back as given.
        token: u64,
    },
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Something worth a line in the log.
    Report(Diagnostic),
}
