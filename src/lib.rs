#![doc = include_str!("../README.md")]
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod check;
pub mod control;
mod fuzzy;
pub mod interface;
mod message;
mod state;

pub use control::Gateway;
