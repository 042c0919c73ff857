//! The edge node as a library: a shell of sockets round the decision module. It makes no policy.
#![forbid(unsafe_code)]
#![allow(missing_docs)] // Until each module's items are documented.

mod admin;
mod alarm;
mod bodies;
mod clients;
pub mod config;
mod discovery;
mod downstream;
mod endpoint_sources;
pub mod endpoints;
mod event_loop;
mod head_scanner;
mod hot_restart;
mod inherited_listener;
mod lifecycle_runner;
mod manager;
mod node;
pub mod peers;
mod readiness;
pub mod serve;
mod shutdown;
mod upstream;
mod websocket;

pub use config::Config;
pub use lifecycle_runner::ProcessSignal;
pub use manager::Manager;
pub use serve::{Edge, OperatorFile, Options};
