//! The fleet rig: real instances of the program on one machine, before stand-ins, played by a written scenario and
//! judged by the stand-ins' ledger.
#![recursion_limit = "256"]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod counts;
pub mod customers;
pub mod ends;
pub mod instance;
pub mod manager;
pub mod report;
pub mod rig;
pub mod room;
pub mod scenario;
pub mod soak;
pub mod virtually;
pub mod ways;
pub mod windows;

pub use report::Report;
pub use rig::{play, run, Options};
pub use scenario::{Overrides, Scenario};
