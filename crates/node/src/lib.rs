//! The edge node as a library: a shell of sockets round the decision module. It makes no policy.
#![forbid(unsafe_code)]
#![allow(missing_docs)] // Until each module's items are documented.

mod admin;
mod alarm;
mod bodies;
mod clients;
pub mod config;
mod discovery;
mod facts;
mod handed;
mod handover;
mod heads;
mod life;
pub mod listed;
mod manager;
mod node;
pub mod peers;
mod roster;
mod seats;
pub mod serve;
mod shutdown;
mod sockets;
mod upstream;

pub use config::Config;
pub use life::Word;
pub use manager::Manager;
pub use serve::{Edge, OperatorFile, Options};
