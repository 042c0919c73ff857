//! The life cycle of requests, their attempts and the connections to servers as a state machine without I/O: it takes
//! events and the current time, and returns commands.
//!
//! [`Exchange`] holds the state that the HTTP/1.1 front end and the connections to app servers share: the open
//! requests, the outstanding attempt of each with its connection and deadline, and the idle connections. A [`Policy`]
//! decides which server to use, whether to retry and what to reject. The exchange does not trust it: a step that would
//! violate a rule is denied. The I/O layer carries out each [`Command`] and reports the results as [`Event`]s;
//! `saffronpaddle-model-checker` takes its place in small worlds and visits all of their states.
//!
//! # The life cycle of a request
//!
//! 1. [`Event::RequestReceived`] opens a request (`exchange/requests.rs`), and the policy is notified.
//! 2. The policy asks for an attempt (`exchange/dispatch.rs`). [`Denial`] lists why the guard may refuse it.
//! 3. The attempt is assigned an idle connection (`exchange/pool.rs`) or a new one.
//! 4. Immediately before the first byte, the guard checks the attempt again (`exchange/first_byte.rs`). The
//!    [`Invariant`]s verify each first byte that the guard has permitted.
//! 5. The response ends the attempt or is streamed to the client (`exchange/responses.rs`). The last part of a
//!    streaming request body is released by `exchange/bodies.rs`.
//! 6. A failed or cancelled attempt ends when its connection is closed (`exchange/attempt_end.rs`). The policy then
//!    retries, rejects or fails the request.
//! 7. A request without an answer at its deadline is answered by `exchange/timers.rs`.
//!
//! `docs/properties.md` lists the guaranteed properties under the names that the model checker prints.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod bugs;
mod command;
mod event;
mod exchange;
mod finished_ids;
mod guard;
mod ids;
mod invariants;
mod limits;
mod number_map;
mod open_request;
mod policy;
mod response_pace;
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
