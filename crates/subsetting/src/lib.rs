//! Which gateways of a fleet send to which servers of a long list, and sums over servers that need no walk.
//!
//! Danger that it guards against: 2,700 gateways that each keep state of, walk over and connect to 40,000 servers. A
//! gateway then meets each server once in minutes, nearly every attempt is a handshake, and what it knows of a server is
//! always old.
//!
//! - [`Subset`]: up to [`FULL_LIST_MAX`] servers each gateway sends to all of them. Of a longer list each server has
//!   [`Subset::nodes_per_server`] gateways, drawn by its number alone, so a server that comes or goes moves no other, and the gateways
//!   of a server can be reckoned by each of them without a word.
//! - [`Median`]: the median of numbers that change one by one.
//!
//! No input or output, and no clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod median;
mod set;

pub use median::Median;
pub use set::{Subset, FULL_LIST_MAX, SLOW_START_GROUP, TARGET_SIZE};
