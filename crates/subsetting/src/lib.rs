//! Deterministic subsetting of a long list of servers among the nodes of a fleet, and an incrementally updated median.
//!
//! If each of thousands of nodes sends to all of tens of thousands of servers, a node sends to each server only once in
//! several minutes: nearly every attempt needs a new handshake, and the node's information about a server is always
//! stale. A node must also store, iterate over and connect to all servers. Limiting each node to a subset prevents
//! this.
//!
//! - [`Subset`]: with up to [`FULL_LIST_MAX_SERVERS`] servers, each node sends to all of them. In a longer list, each
//!   server is assigned [`Subset::nodes_per_server`] nodes. The assignment depends only on the server's number, so
//!   adding or removing a server does not reassign the others, and each node can compute the nodes of a server without
//!   messages.
//! - [`Median`]: the median of a changing set of values, without sorting them.
//!
//! The crate performs no I/O and uses no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod median;
mod subset;

pub use median::Median;
pub use subset::{
    SlowStartGroup, Subset, FULL_LIST_MAX_SERVERS, SLOW_START_GROUP_SIZE, TARGET_SUBSET_SIZE,
};
