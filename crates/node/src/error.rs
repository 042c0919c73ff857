//! Why a node does not start.

use saffronpaddle_policy::interface::SettingsError;
use thiserror::Error;

/// Why a node does not start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The operator's file names a class of `WebSockets` that the settings do not have.
    #[error("sockets.class: there is no class {0:?}")]
    UnknownSocketClass(String),
    /// The policy's settings make no sense.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
