//! Model checker for the exchange, the request state machine that nodes run.
//!
//! [`world`] models an exchange with its clients, servers and clock. [`search`] visits all states of a small world,
//! and [`walk`] takes random walks through larger ones. [`setups`] defines the bounds of the worlds, [`planted`] lists
//! the faults that the checker has to detect, and [`chart`] draws the trace that leads to a violation. [`fleet`]
//! simulates several nodes with the real policy in virtual time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod chart;
pub mod fleet;
pub mod planted;
pub mod search;
pub mod setups;
pub mod walk;
pub mod world;
