//! What staff see of requests that have no final answer yet.

use crate::ids::ConnectionId;
use crate::tables::{AttemptStage, ConnectionState, RequestState};
use saffronpaddle_policy::interface::{Micros, RequestId, ServerId};
use std::fmt;

/// A request that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Its id, as the client gave it.
    pub id: RequestId,
    /// The index of its class in the settings.
    pub class: usize,
    /// When its client stops waiting, µs of the exchange's clock.
    pub deadline: Micros,
    /// Attempts that the policy has asked for so far.
    pub attempts: u32,
    /// What it waits for.
    pub waits_for: WaitsFor,
}

/// What a request without a final answer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitsFor {
    /// No attempt is outstanding: the request waits for a quota, a server or a retry.
    Decision,
    /// Another connection has to close before the connection to this server can be made.
    ConnectionSlot(ServerId),
    /// Its connection to this server is being made.
    Connect(ServerId),
    /// Its first byte to this server has not been let through.
    FirstByte(ServerId),
    /// This server has the request, or a part of it.
    Answer(ServerId),
    /// Its attempt was aborted, and the connection is being closed.
    Close(ServerId),
}

impl WaitsFor {
    /// What a request waits for; `state_of` gives the state of a connection.
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
