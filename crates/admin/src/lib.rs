//! The admin interface of a running node: its commands, the connections of its callers, and the metrics that it returns
//! and logs.
//!
//! Each connection carries one command, which is a line, and one answer. An answer starts with `SUCCESS` or `FAILURE`,
//! except for the metrics, which end with the line `EOT`. The crate does no I/O and reads no clock.
//!
//! ```
//! use saffronpaddle_admin::{AdminCommand, Line};
//! let mut line = Line::default();
//! assert_eq!(line.receive(b"PI"), None);
//! assert_eq!(line.receive(b"NG\r\n"), Some(Ok(AdminCommand::Ping)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod callers;
mod counters;
mod line;
mod log_fields;
mod metrics;

pub use callers::{CallerId, CallerTable};
pub use counters::{ClassCounts, RequestCounters, RequestEnd};
pub use line::{AdminCommand, CommandError, Line, MAX_LINE_BYTES};
pub use log_fields::CounterLine;
pub use metrics::{Metrics, PeerMessageCounts};

/// Returns the answer to a command that succeeded, or to a query whose result is positive.
pub fn success(text: &str) -> String {
    format!("SUCCESS {text}\n")
}

/// Returns the answer to a command that failed, or to a query whose result is negative.
pub fn failure(text: &str) -> String {
    format!("FAILURE {text}\n")
}
