//! Why a node does not start, or does not reload.

use crate::config::ConfigError;
use crate::inherited_listener::InheritedListenerError;
use saffronpaddle_operator_config::Faults;
use saffronpaddle_policy::interface::SettingsError;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a node does not start, or does not reload.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The listener that was handed over cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The policy's settings make no sense.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("{setting} {address}")]
    Bind {
        /// The setting that names the address.
        setting: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The clients' listener has no address.
    #[error("listen")]
    ListenerAddress(#[source] io::Error),
    /// Signals cannot be received.
    #[error("signals")]
    Signals(#[source] io::Error),
    /// The runtime cannot be built.
    #[error(transparent)]
    Runtime(io::Error),
    /// The operator's file names a class of web sockets that the settings do not have.
    #[error("sockets.class: there is no class {0:?}")]
    UnknownSocketClass(String),
    /// web sockets leave requests too few descriptors.
    #[error(
        "sockets.per_node: leaves {connections} connections for requests of {descriptors} descriptors; {min} are the least"
    )]
    TooManySockets {
        /// Connections of either side that are left for requests.
        connections: usize,
        /// Descriptors that the process may have.
        descriptors: usize,
        /// Connections that requests need.
        min: usize,
    },
    /// The task that reads the files ended without a result.
    #[error(transparent)]
    Task(#[from] tokio::task::JoinError),
}

/// Why the operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// It cannot be read.
    #[error("{path}")]
    Read {
        /// The file.
        path: String,
        /// The system's error.
        source: io::Error,
    },
    /// Its text has faults.
    #[error("{path}")]
    Invalid {
        /// The file.
        path: String,
        /// All that is wrong with it.
        source: Faults,
    },
}

/// An error and its causes in one line.
pub fn chain(error: &dyn StdError) -> String {
    let mut line = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        line = format!("{line}: {cause}");
        source = cause.source();
    }
    line
}
