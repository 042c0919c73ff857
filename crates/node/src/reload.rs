//! The files that a node reads, at its start and at each reload.

use crate::config::Config;
use crate::error::{chain, NodeError, OperatorFileError};
use saffronpaddle_lifecycle::Limits;
use saffronpaddle_operator_config::Operator;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::sync::watch;
use tracing::{info, warn};

/// The operator's file that a node was given.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// Where it stands, to be read again.
    pub path: PathBuf,
    /// What it sets.
    pub settings: Operator,
}

impl OperatorFile {
    /// Reads it.
    ///
    /// # Errors
    /// All that is wrong with it, in one line that names the file and the keys.
    pub fn read(path: &Path) -> Result<OperatorFile, OperatorFileError> {
        let shown = || path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|source| OperatorFileError::Read {
            path: shown(),
            source,
        })?;
        let settings = Operator::parse(&text).map_err(|source| OperatorFileError::Invalid {
            path: shown(),
            source,
        })?;
        Ok(OperatorFile {
            path: path.to_owned(),
            settings,
        })
    }
}

/// The paths that a reload reads again, and the operator's settings as they were at the start, which a reload does not
/// update.
#[derive(Clone)]
pub struct Files {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file, if there is one.
    pub operator: Option<OperatorFile>,
}

impl Files {
    /// What the operator's file sets, if there is one.
    pub fn operator(&self) -> Option<&Operator> {
        self.operator.as_ref().map(|file| &file.settings)
    }

    /// Reads the files again.
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

/// What the limits of a life cycle depend on, beside the operator's file.
#[derive(Clone, Copy)]
pub struct LimitTerms {
    /// The longest deadline of a request.
    pub longest_deadline: Duration,
    /// The listener is left at once: what comes to it waits for its next owner.
    pub leaves_at_once: bool,
}

impl LimitTerms {
    /// The limits of the life cycle.
    pub fn limits(self, operator: Option<&Operator>) -> Limits {
        let Some(operator) = operator else {
            return Limits::immediate(self.longest_deadline);
        };
        Limits {
            readiness: operator.ready.clone(),
            leave_for: if self.leaves_at_once {
                Duration::ZERO
            } else {
                operator.stop.leave_for
            },
            finish_within: operator.stop.finish_within.unwrap_or(self.longest_deadline),
            reload_within: operator.reload.within,
        }
    }
}

/// Reads both files again. If either is bad, nothing is applied and the result is `None`. Otherwise discovery's address is
/// published and the life cycle's new limits are returned. All other settings need a restart.
pub async fn reload(
    files: Files,
    terms: LimitTerms,
    discovery: watch::Sender<SocketAddr>,
) -> Option<Limits> {
    let read = tokio::task::spawn_blocking(move || files.read()).await;
    match read.map_err(NodeError::Task).and_then(|read| read) {
        Ok((config, operator)) => {
            // Also when it is the same address as before: its numbering may have begun anew.
            discovery.send_replace(config.discovery);
            info!("reloaded: discovery at {}", config.discovery);
            Some(terms.limits(operator.as_ref()))
        }
        Err(error) => {
            warn!("the old configuration stays: {}", chain(&error));
            None
        }
    }
}
