//! The configuration files that a node reads at its start and at each reload.

use crate::config::Config;
use crate::error::{chain, NodeError, OperatorFileError};
use saffronpaddle_lifecycle::Limits;
use saffronpaddle_operator_config::Operator;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tracing::{info, warn};

/// The operator file of a node, with its parsed settings.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// Path that a reload reads again.
    pub path: PathBuf,
    /// The settings as they were when the file was read.
    pub settings: Operator,
}

impl OperatorFile {
    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file cannot be read or has faults. The error names the file and the keys of all faults, in one line.
    pub fn read(path: &Path) -> Result<OperatorFile, OperatorFileError> {
        let displayed_path = || path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| OperatorFileError::Read {
            path: displayed_path(),
            source,
        })?;
        let settings = Operator::parse(&text).map_err(|source| OperatorFileError::Invalid {
            path: displayed_path(),
            source,
        })?;
        Ok(OperatorFile {
            path: path.to_owned(),
            settings,
        })
    }
}

/// The files that a reload reads again, with the operator's settings as they were at the start. A reload does not
/// update those.
#[derive(Clone)]
pub struct Files {
    /// Path of the platform's configuration.
    pub config: PathBuf,
    /// The operator file, if there is one.
    pub operator: Option<OperatorFile>,
}

impl Files {
    /// The operator's settings at the start; `None` without an operator file.
    pub fn operator(&self) -> Option<&Operator> {
        self.operator.as_ref().map(|file| &file.settings)
    }

    /// Reads all files again.
    fn read(&self) -> Result<(Config, Option<Operator>), NodeError> {
        let config = Config::read(&self.config)?;
        let operator = self
            .operator
            .as_ref()
            .map(|file| OperatorFile::read(&file.path))
            .transpose()?;
        Ok((config, operator.map(|file| file.settings)))
    }
}

/// Values that determine the limits of the life cycle together with the operator file.
#[derive(Clone, Copy)]
pub struct LimitParameters {
    /// The longest deadline of a request in the settings.
    pub longest_deadline: Duration,
    /// Whether the node stops accepting as soon as it is asked to stop. New connections then wait in the listener's
    /// backlog for the next process.
    pub stops_accepting_at_once: bool,
}

impl LimitParameters {
    /// The limits of the life cycle. Without an operator file the defaults apply.
    pub fn limits(self, operator: Option<&Operator>) -> Limits {
        let Some(operator) = operator else {
            return Limits::immediate(self.longest_deadline);
        };
        Limits {
            readiness: operator.ready.clone(),
            drain_duration: if self.stops_accepting_at_once {
                Duration::ZERO
            } else {
                operator.stop.drain_duration
            },
            close_timeout: operator.stop.close_timeout.unwrap_or(self.longest_deadline),
            reload_timeout: operator.reload.within,
        }
    }
}

/// Reads both files again. If both are valid, publishes the address of discovery and returns the new limits of the life
/// cycle; all other settings need a restart. If either is invalid, applies nothing and returns `None`.
pub async fn reload(
    files: Files,
    parameters: LimitParameters,
    discovery: watch::Sender<SocketAddr>,
) -> Option<Limits> {
    let read = tokio::task::spawn_blocking(move || files.read()).await;
    match read.map_err(NodeError::Task).and_then(|read| read) {
        Ok((config, operator)) => {
            // An unchanged address is published too: discovery may have restarted its version numbers.
            discovery.send_replace(config.discovery);
            info!(
                "reloaded the configuration: discovery at {}",
                config.discovery
            );
            Some(parameters.limits(operator.as_ref()))
        }
        Err(error) => {
            warn!(
                "the old configuration stays in force, reload failed: {}",
                chain(&error)
            );
            None
        }
    }
}
