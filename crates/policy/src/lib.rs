//! Decisions of a gateway that holds customers to their quotas before a shared back end: events in, actions
//! out, no input or output, time as an argument.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod asking;
mod begun;
mod check;
mod cold;
pub mod control;
pub mod counts;
mod crowding;
mod fuzzy;
mod homes;
pub mod idempotency;
pub mod interface;
mod mean;
mod message;
mod pairs;
mod pooled;
mod quota;
mod rto;
mod servers;
pub mod setup;
mod state;
mod twin;
mod words;

pub use control::PolicyEngine;
pub use twin::StateSnapshot;
