//! Errors of the start and the reload of a node.

use crate::config::ConfigError;
use crate::inherited_listener::InheritedListenerError;
use saffronpaddle_operator_config::Faults;
use saffronpaddle_policy::interface::SettingsError;
use std::error::Error as StdError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// Why a node cannot start or reload.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The platform's configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The operator file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The inherited listener cannot be used.
    #[error(transparent)]
    InheritedListener(#[from] InheritedListenerError),
    /// The policy's settings are invalid.
    #[error("settings are invalid")]
    Settings(#[from] SettingsError),
    /// An address cannot be bound.
    #[error("{setting}: cannot bind {address}")]
    Bind {
        /// Key of the setting that contains the address.
        setting: &'static str,
        /// The address that could not be bound.
        address: SocketAddr,
        /// The operating system's error.
        source: io::Error,
    },
    /// The local address of the clients' listener cannot be read.
    #[error("listen: cannot read the listener's local address")]
    ListenerAddress(#[source] io::Error),
    /// A signal handler cannot be installed.
    #[error("cannot install a signal handler")]
    Signals(#[source] io::Error),
    /// The async runtime cannot be built.
    #[error("cannot build the async runtime")]
    Runtime(#[source] io::Error),
    /// The operator file names a class of WebSocket connections that the settings do not contain.
    #[error("sockets.class: the settings contain no class {0:?}")]
    UnknownWebsocketClass(String),
    /// WebSocket connections leave requests too few descriptors.
    #[error(
        "sockets.per_node: leaves {connections} connections to app servers for requests, out of {descriptors} descriptors; at least {min} are required"
    )]
    TooManyWebsockets {
        /// Connections to app servers that are left for requests.
        connections: usize,
        /// Limit on the process's open descriptors.
        descriptors: usize,
        /// Minimum number of connections that requests need.
        min: usize,
    },
    /// The task that reads the files panicked or was cancelled.
    #[error("the task that reads the configuration files failed")]
    Task(#[from] tokio::task::JoinError),
}

/// Why the operator file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be read.
    #[error("cannot read {path}")]
    Read {
        /// Path of the file.
        path: String,
        /// The operating system's error.
        source: io::Error,
    },
    /// The file was read, but has faults.
    #[error("{path}")]
    Invalid {
        /// Path of the file.
        path: String,
        /// All faults in the file.
        source: Faults,
    },
}

/// Formats an error and its causes in one line, separated by colons.
pub fn chain(error: &dyn StdError) -> String {
    let mut line = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        line = format!("{line}: {cause}");
        source = cause.source();
    }
    line
}
