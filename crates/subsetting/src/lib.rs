//! Which nodes of a fleet send to which servers of a long list, and a median of values that change one by one.
//!
//! Where thousands of nodes each keep the state of, iterate over and connect to tens of thousands of servers, a node meets
//! each server once in minutes: nearly every attempt needs a handshake, and what the node knows of a server is always old. A
//! subset for each node prevents both.
//!
//! - [`Subset`]: each node sends to all of up to [`FULL_LIST_MAX`] servers. Of a longer list each server has
//!   [`Subset::nodes_per_server`] nodes, drawn by the server's number alone, so a server that comes or goes moves no other,
//!   and each node can compute the nodes of a server without messages.
//! - [`Median`]: the median of values that change one by one, without sorting them all.
//!
//! The crate does no input or output, and has no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod median;
mod subset;

pub use median::Median;
pub use subset::{SlowStartGroup, Subset, FULL_LIST_MAX, SLOW_START_GROUP, TARGET_SIZE};
