//! Stand-ins on loopback for all that an edge node talks to, and a ledger that judges each run.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod ledger;
