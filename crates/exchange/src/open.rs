//! What is told of requests that have no final answer yet.

use crate::table::{Row, Stage, State};
use crate::ConnectionId;
use saffronpaddle_policy::interface::{Micros, RequestId, ServerId};
use std::fmt;

/// A request that has no final answer yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OpenRequest {
    /// Its id, as the client gave it.
    pub id: RequestId,
    /// Its class, by its place in the settings.
    pub class: usize,
    /// When it is answered at the latest, in µs of the exchange's clock.
    pub deadline: Micros,
    /// Attempts that the decision module has asked for so far.
    pub attempts: u32,
    /// What it waits for.
    pub waits_for: WaitsFor,
}

/// What a request without a final answer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitsFor {
    /// The decision module has no attempt out for it: a quota, a server or a retry is waited for.
    Decision,
    /// A connection has to end before its own can be made.
    ConnectionSlot(ServerId),
    /// Its connection to this server is being made.
    Connect(ServerId),
    /// Its first byte to this server has not been let through.
    FirstByte(ServerId),
    /// This server has the request, or a part of it.
    Answer(ServerId),
    /// Its attempt was given up, and the connection is being closed.
    Close(ServerId),
}

impl WaitsFor {
    /// What a row waits for; `state` is that of the connection that its attempt is on.
    pub(crate) fn of(row: &Row, state: impl Fn(ConnectionId) -> Option<State>) -> WaitsFor {
        let Some(out) = &row.out else {
            return WaitsFor::Decision;
        };
        match out.stage {
            Stage::Waiting(_) => WaitsFor::ConnectionSlot(out.server),
            Stage::Ending(..) => WaitsFor::Close(out.server),
            Stage::On(link) => match state(link) {
                Some(State::Connecting) => WaitsFor::Connect(out.server),
                Some(State::Written) => WaitsFor::Answer(out.server),
                _ => WaitsFor::FirstByte(out.server),
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
