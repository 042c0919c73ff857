//! Operator view of the requests that have no final answer yet.

use crate::ids::ConnectionId;
use crate::tables::{AttemptStage, ConnectionState, RequestState};
use saffronpaddle_policy::interface::{Micros, RequestId, ServerId};
use std::fmt;

/// A request that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// The request id that the client has chosen.
    pub id: RequestId,
    /// Index of the request class in the settings.
    pub class: usize,
    /// When the client stops waiting, µs of the exchange's clock.
    pub deadline: Micros,
    /// Number of attempts that the policy has asked for so far.
    pub attempts: u32,
    /// What the request is waiting for.
    pub waits_for: WaitsFor,
}

/// What a request without a final answer is waiting for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitsFor {
    /// No attempt is outstanding: the request is waiting for quota, a server or a retry.
    Decision,
    /// Another connection has to be closed before one to this server can be opened.
    ConnectionSlot(ServerId),
    /// The connection to this server is being established.
    Connect(ServerId),
    /// The guard has not yet permitted the first byte to this server.
    FirstByte(ServerId),
    /// The request, or a part of it, was sent to this server.
    Answer(ServerId),
    /// The attempt was aborted, and the connection to this server is being closed.
    Close(ServerId),
}

impl WaitsFor {
    /// Returns what a request is waiting for; `state_of` returns the state of a connection.
    pub(crate) fn of(
        request: &RequestState,
        state_of: impl Fn(ConnectionId) -> Option<ConnectionState>,
    ) -> WaitsFor {
        let Some(attempt) = &request.outstanding else {
            return WaitsFor::Decision;
        };
        match attempt.stage {
            AttemptStage::AwaitingSlot(_) => WaitsFor::ConnectionSlot(attempt.server),
            AttemptStage::Closing(..) => WaitsFor::Close(attempt.server),
            AttemptStage::OnConnection(connection) => match state_of(connection) {
                Some(ConnectionState::Connecting) => WaitsFor::Connect(attempt.server),
                Some(ConnectionState::Written) => WaitsFor::Answer(attempt.server),
                _ => WaitsFor::FirstByte(attempt.server),
            },
        }
    }
}

impl fmt::Display for WaitsFor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, server) = match self {
            WaitsFor::Decision => return f.write_str("decision"),
            WaitsFor::ConnectionSlot(server) => ("connection_slot", server),
            WaitsFor::Connect(server) => ("connect", server),
            WaitsFor::FirstByte(server) => ("first_byte", server),
            WaitsFor::Answer(server) => ("answer", server),
            WaitsFor::Close(server) => ("close", server),
        };
        write!(f, "{name}:{}", server.0)
    }
}
