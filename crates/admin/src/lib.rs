//! The operators' address of a running node: what a line that comes there asks for, what is answered, which callers are
//! kept, and the figures that are told.
//!
//! No input or output, and no clock. A connection carries one line and gets one answer, whose first line begins with
//! `SUCCESS` or `FAILURE`; the figures end with a line `EOT`.
//!
//! ```
//! use saffronpaddle_admin::{Call, Line};
//! let mut line = Line::default();
//! assert_eq!(line.take(b"PI"), None);
//! assert_eq!(line.take(b"NG\r\n"), Some(Ok(Call::Ping)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod desk;
mod fields;
mod figures;
mod line;

pub use desk::{Caller, CallerTable};
pub use fields::Fields;
pub use figures::{ClassCounts, Metrics, RequestCounters, RequestEnd};
pub use line::{Call, CallError, Line, LINE_MOST};

/// The line of a call that was done, or of a question whose answer is yes.
pub fn success(words: &str) -> String {
    format!("SUCCESS {words}\n")
}

/// The line of a call that was not done, or of a question whose answer is no.
pub fn failure(words: &str) -> String {
    format!("FAILURE {words}\n")
}
