//! Exhaustive checking in the small. [`world`] holds an exchange, the very code that a node runs, in a small world of
//! clients, servers and a clock; [`search`] visits all of its states and [`walk`] walks through larger ones at random;
//! [`setups`] are the bounds, [`planted`] the faults that it must find, [`chart`] shows how it came to a violation.
//! [`fleet`] runs several nodes with the real policy in virtual time.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod chart;
pub mod fleet;
pub mod planted;
pub mod search;
pub mod setups;
pub mod walk;
pub mod world;
