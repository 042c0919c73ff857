//! The life of requests, of their attempts and of the connections that carry them, as one state machine without
//! input or output: events in, commands out, time as an argument.
//!
//! [`Exchange`] owns what the HTTP/1.1 front end and the connections to app servers have in common: which requests
//! are open, which attempt of each is outstanding, on which connection, until when, and which connections are idle. It
//! asks a [`Policy`] which server to use, whether to retry and what to reject, and does not trust it: a step that would
//! break a rule is not taken, whatever the policy says. The I/O layer carries out each [`Command`] and reports what
//! happened as an [`Event`]; `saffronpaddle-model-checker` does the same in a small world and visits all of its states.
//!
//! # The life of a request
//!
//! 1. [`Event::RequestReceived`] opens a request (`exchange/requests.rs`) and the policy is told of it.
//! 2. The policy asks for an attempt (`exchange/dispatch.rs`). [`Denial`] lists why the guard may refuse it.
//! 3. The attempt gets an idle connection or a new one (`exchange/pool.rs`).
//! 4. Right before the first byte, the guard checks the attempt again (`exchange/first_byte.rs`). What the guard let
//!    through is verified by the [`Invariant`]s.
//! 5. The response ends the attempt, or streams to the client (`exchange/responses.rs`). A request body that streams to
//!    the server is released by `exchange/bodies.rs`.
//! 6. A failed or cancelled attempt ends when its connection is closed (`exchange/attempt_end.rs`). The policy then
//!    retries, rejects or fails the request.
//! 7. A request without an answer at its deadline is failed by `exchange/timers.rs`.
//!
//! The properties that hold are listed in `docs/properties.md`, by the names that the checker uses.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bugs;
mod command;
mod event;
mod exchange;
mod guard;
mod ids;
mod invariants;
mod limits;
mod number_map;
mod open_request;
mod policy;
mod tables;

pub use bugs::{Bug, Bugs, NoBugs};
pub use command::{Command, FinalAnswer};
pub use event::Event;
pub use exchange::Exchange;
pub use guard::Denial;
pub use ids::{ConnectionId, Ticket};
pub use invariants::{Invariant, Violation, Violations};
pub use limits::Limits;
pub use open_request::{OpenRequest, WaitsFor};
pub use policy::Policy;
