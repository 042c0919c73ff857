//! The admin interface of a running node: the commands that staff send, the callers that are kept, and the metrics that
//! are answered and logged.
//!
//! A connection carries one command, a line, and gets one answer, whose first line begins with `SUCCESS` or `FAILURE`;
//! metrics end with a line `EOT` instead. The crate does no I/O and reads no clock.
//!
//! ```
//! use saffronpaddle_admin::{Call, Line};
//! let mut line = Line::default();
//! assert_eq!(line.take(b"PI"), None);
//! assert_eq!(line.take(b"NG\r\n"), Some(Ok(Call::Ping)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod callers;
mod counters;
mod line;
mod log_fields;
mod metrics;

pub use callers::{Caller, CallerTable};
pub use counters::{ClassCounts, RequestCounters, RequestEnd};
pub use line::{Call, CallError, Line, LINE_MOST};
pub use log_fields::Fields;
pub use metrics::{Metrics, PeerMessageCounts};

/// The answer to a command that was carried out, or to a question whose answer is yes.
pub fn success(text: &str) -> String {
    format!("SUCCESS {text}\n")
}

/// The answer to a command that was not carried out, or to a question whose answer is no.
pub fn failure(text: &str) -> String {
    format!("FAILURE {text}\n")
}
