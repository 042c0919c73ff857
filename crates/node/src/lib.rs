//! The edge node as a library: a shell of sockets round the decision module. It makes no policy.
#![forbid(unsafe_code)]

mod clients;
pub mod config;
mod discovery;
mod node;
mod peers;
pub mod serve;
mod upstream;

pub use config::Config;
pub use serve::serve;
