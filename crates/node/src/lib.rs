//! The I/O of the edge node. The policy, exchange and lifecycle crates make the decisions.
//!
//! Start reading at `edge`, which runs a process from start to exit. A request passes through `clients`, `node` and
//! `upstream`. `endpoint_sources` follows the endpoint list, `lifecycle_runner` handles signals and shutdown, and
//! `hot_restart` and `process_links` communicate with the other processes of the node.
#![forbid(unsafe_code)]

mod admin;
mod alarm;
mod answer;
mod bodies;
mod clients;
mod clock;
pub mod config;
mod deadline;
mod discovery;
mod discovery_status;
mod downstream;
mod edge;
mod endpoint_sources;
pub mod endpoints;
mod error;
mod event_loop;
mod forward;
mod hash;
mod head_scanner;
mod hot_restart;
mod inherited_listener;
mod lifecycle_runner;
mod manager;
mod memory;
mod node;
mod peer_listener;
pub mod peers;
mod process_links;
pub mod process_usage;
mod readiness;
mod reload;
pub mod serve;
mod shutdown;
mod signals;
mod upstream;
mod upstream_events;
mod websocket;
mod write_progress;

pub use config::{Config, ConfigError};
pub use edge::{Edge, Options};
pub use error::{NodeError, OperatorFileError};
pub use inherited_listener::{InheritedListenerError, ListenerNamesError};
pub use manager::Manager;
pub use reload::OperatorFile;
pub use signals::ProcessSignal;
