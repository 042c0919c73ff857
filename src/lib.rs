#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
pub mod control;
mod fuzzy;
pub mod interface;
mod message;
pub mod setup;
mod state;

pub use control::Gateway;
