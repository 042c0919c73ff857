//! The life of requests, of their attempts and of the connections that carry these, as one state machine: events in,
//! commands out, no input or output, time as an argument.
//!
//! [`Exchange`] owns what a front (the HTTP/1.1 one today) and the links to app servers have in common: which requests
//! are open, which attempt of each is out, on which connection, until when, and which connections stand idle. It asks a
//! [`Policy`] which server, whether to try again and what to turn away, and does not trust it: what would break a rule
//! is not done, whatever the module says. The shell carries out [`Command`]s and tells what happened as [`Event`]s;
//! `saffronpaddle-model-checker` does the same in a small world and visits all of its states.
//!
//! The properties that hold are listed in `docs/properties.md`, by the names that the checker uses.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bugs;
mod exchange;
mod guard;
mod invariants;
mod open;
mod table;

pub use bugs::{Bug, Bugs, Sound};
pub use exchange::Exchange;
pub use guard::Denial;
pub use invariants::{Invariant, Violation, Violations};
pub use open::{OpenRequest, WaitsFor};

use saffronpaddle_policy::interface::{
    Action, Endpoint, Event as ModuleEvent, Idempotency, Micros, Outcome, RequestId, ServerId,
};

/// Decides which server, whether to try again and what to turn away.
pub trait Policy {
    /// Takes an event in and adds what is to be done, in its order.
    fn handle(&mut self, now: Micros, event: ModuleEvent, actions: &mut Vec<Action>);
}

impl Policy for saffronpaddle_policy::PolicyEngine {
    fn handle(&mut self, now: Micros, event: ModuleEvent, actions: &mut Vec<Action>) {
        saffronpaddle_policy::PolicyEngine::handle(self, now, event, actions);
    }
}

/// A connection to an app server, from the command to connect until it is closed. Numbers are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// One taking of a request. Ids come from clients, who may use one again; tickets are never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// What binds an exchange.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Connections to app servers that may be open together, those that are being made or closed among them. Guards
    /// against running out of descriptors.
    pub max_connections: usize,
    /// Idle connections that are kept at one server.
    pub max_idle_per_server: usize,
    /// How long a connection may stand idle, µs. Guards against a request written to a connection that the server is
    /// closing: it would end as a reset, which may have run.
    pub idle_for: Micros,
    /// How long a connection stands after an answer before it is used again, µs. Guards against what comes right behind
    /// an answer: a second copy that arrives just after the next request was written would pass for its answer.
    pub reuse_delay: Micros,
    /// How long a connection may take to come up, µs.
    pub connect_timeout: Micros,
    /// How much later than its deadline a request that the module forgot fails here, µs.
    pub answer_grace: Micros,
    /// Attempts of one request. Guards against a module that sends for ever what is never sent.
    pub max_attempts: u32,
}

/// Idle connections that a node keeps at one server.
const IDLE_AT_ONE: usize = 64;
/// Share of the servers' idle limit for which a connection is kept: it must go before its server closes it.
const IDLE_SHARE: f64 = 0.6;
/// How long a connection of a node stands after an answer, µs.
const SETTLE: Micros = 10_000;
/// How much later than the module's own last word a node ends a request, µs.
const OVERDUE: Micros = 2_000;
/// Attempts of one request of a node.
const ATTEMPTS_MOST: u32 = 256;

impl Limits {
    /// The bounds of a node that may have so many connections to app servers, which close one that has stood idle for
    /// `conn_idle` µs.
    pub fn for_node(links: usize, conn_idle: Micros, connect_within: Micros) -> Limits {
        Limits {
            max_connections: links,
            max_idle_per_server: IDLE_AT_ONE,
            idle_for: (conn_idle as f64 * IDLE_SHARE) as Micros,
            reuse_delay: SETTLE,
            connect_timeout: connect_within,
            answer_grace: OVERDUE,
            max_attempts: ATTEMPTS_MOST,
        }
    }
}

/// What happened. Instants are µs of the same clock as `now`.
#[derive(Clone, Debug, PartialEq)]
pub enum Event<A> {
    /// A request has come whole, its head read and found good. One whose id is in use is passed over: ask
    /// [`Exchange::knows`] first.
    RequestReceived {
        /// What it may do.
        effect: Idempotency,
        /// When its client stops waiting.
        deadline: Micros,
        /// What the module is told: a [`ModuleEvent::Request`].
        policy_event: ModuleEvent,
    },
    /// Nobody waits for the answer any more.
    ClientGone {
        /// The request.
        id: RequestId,
        /// Which taking of it.
        ticket: Ticket,
    },
    /// A connection has come up.
    Connected {
        /// Which.
        connection: ConnectionId,
    },
    /// A connection could not be made; nothing is left of it.
    ConnectFailed {
        /// Which.
        connection: ConnectionId,
        /// This process lacked something (descriptors, ports, memory): the server is not to blame.
        local_shortage: bool,
    },
    /// The first byte of the request is about to be written.
    FirstByteReady {
        /// On which connection.
        connection: ConnectionId,
        /// Nothing has come on it since the last answer, not even an end.
        quiet: bool,
    },
    /// An answer has come whole.
    ResponseComplete {
        /// On which connection.
        connection: ConnectionId,
        /// What it says.
        outcome: Outcome,
    },
    /// An answer has begun to come that goes on to its client as it comes: that is the request's final answer. The attempt is
    /// out until `Replied`, `Broken` or `Left`.
    ResponseStreaming {
        /// On which connection.
        connection: ConnectionId,
    },
    /// Nobody takes the rest of an answer that goes on as it comes.
    ResponseAbandoned {
        /// On which connection.
        connection: ConnectionId,
    },
    /// The last byte of a request that did not come whole has come; it is held back.
    BodyComplete {
        /// The request.
        id: RequestId,
        /// Which taking of it.
        ticket: Ticket,
        /// When its client stops waiting.
        deadline: Micros,
    },
    /// An answer has come that makes the connection a socket: it is the client's now, and no longer the exchange's.
    Upgraded {
        /// Which.
        connection: ConnectionId,
    },
    /// The exchange on a connection came to nothing: it broke, or what came is no answer to the request.
    ConnectionLost {
        /// Which.
        connection: ConnectionId,
    },
    /// The other side has ended the connection, or said something unasked.
    ClosedByPeer {
        /// Which.
        connection: ConnectionId,
    },
    /// A connection that was to be closed is closed.
    Closed {
        /// Which.
        connection: ConnectionId,
    },
    /// News of the list of servers, with the address of each.
    EndpointsChanged {
        /// The whole list; who is not on it is gone.
        snapshot: bool,
        /// The entries.
        endpoints: Vec<(Endpoint, A)>,
    },
    /// The process was told to stop: all that it has taken, and all that it takes from now on, is answered by then, whatever
    /// time the clients have left.
    ShutdownAnnounced {
        /// When.
        answer_by: Micros,
    },
    /// The node leaves: idle connections are closed, and none is kept any more. What is open goes on.
    Stop,
    /// The time of [`Exchange::next_alarm`] has come.
    TimerFired,
    /// Something for the module alone.
    PolicyEvent(ModuleEvent),
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command<A> {
    /// Make a connection. [`Event::Connected`] or [`Event::ConnectFailed`] follows, or, after a close, `Closed` alone.
    Connect {
        /// By this number.
        connection: ConnectionId,
        /// To whom.
        address: A,
    },
    /// Get the request ready on a connection. [`Event::Begin`] follows before its first byte, `Replied` or `Broken` at
    /// its end; after a close, `Closed` alone.
    Send {
        /// On which connection.
        connection: ConnectionId,
        /// Which request.
        id: RequestId,
        /// To whom.
        server: ServerId,
    },
    /// The first byte may be written, now.
    Write {
        /// On which connection.
        connection: ConnectionId,
    },
    /// The last piece of a request's body may be written, now.
    ReleaseBody {
        /// On which connection.
        connection: ConnectionId,
    },
    /// Close a connection, whatever is on it. [`Event::Closed`] follows.
    Close {
        /// Which.
        connection: ConnectionId,
    },
    /// Give the client its final answer.
    Answer {
        /// The request.
        id: RequestId,
        /// Which.
        answer: FinalAnswer,
    },
    /// Something that the module asks for and that is none of the exchange's.
    ForPolicy(Action),
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FinalAnswer {
    /// What the server answered; it came with the [`Event::Replied`], [`Event::Passing`] or [`Event::Upgraded`] that is being handled.
    Served,
    /// Refused, and trying again is harmless; come back after so many µs.
    Rejected(Option<Micros>),
    /// Failed, with no promise.
    Failed,
}
