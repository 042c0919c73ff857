//! Fleet harness: runs real instances of the program on one machine against test doubles, as a scenario describes, and
//! checks the run with the test doubles' oracle.
#![recursion_limit = "256"]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod counts;
pub mod customers;
pub mod harness;
pub mod instance;
pub mod link_ends;
pub mod manager;
pub mod relays;
pub mod report;
pub mod room;
pub mod scenario;
mod server_list;
pub mod soak;
pub mod stall_watch;
mod step_runner;
pub mod virtually;
pub mod windows;

pub use harness::{play, run, Options};
pub use report::Report;
pub use scenario::{Overrides, Scenario};
