//! Runs one edge node that is configured by environment variables and files.

use crate::config::Config;
use crate::edge::{Edge, Options};
use crate::error::NodeError;
use crate::event_loop;
use crate::inherited_listener;
use crate::manager::Manager;
use crate::reload::OperatorFile;
use crate::signals;
use std::path::PathBuf;
use tracing::warn;

/// Runs one edge node until it is asked to stop. `operator` is the path of the operator file; the environment gives all
/// else.
///
/// # Errors
/// A file is missing or invalid, or an address or the runtime is not available.
pub fn run(operator: Option<PathBuf>) -> Result<(), NodeError> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = event_loop::observe_parking(&mut runtime)
        .enable_all()
        .build()
        .map_err(NodeError::Runtime)?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Installs signal handlers before reading the files: without a handler, a SIGHUP sent meanwhile would end the
        // process.
        let signals = signals::install()?;
        let edge = Edge::bind(options(operator)?).await?;
        edge.run(signals).await;
        Ok(())
    })
}

/// Reads the options of a node from the environment, the configuration and the operator file.
fn options(operator: Option<PathBuf>) -> Result<Options, NodeError> {
    let config = Config::from_environment(|key| std::env::var(key).ok())?;
    let operator = operator.as_deref().map(OperatorFile::read).transpose()?;
    let mut listener = None;
    if let Some(OperatorFile { settings, .. }) = &operator {
        if settings.listen.handed_over {
            listener = inherited_listener::take(&settings.listen.name)?;
        }
    }
    let manager = operator.as_ref().map_or_else(Manager::none, manager);
    let mut rendezvous = None;
    let descriptor = std::env::var("LB_LISTEN_FD").ok();
    if let Some(inherited) = inherited_listener::take_platform_listener(descriptor.as_deref())? {
        listener = Some(inherited);
        rendezvous = std::env::var_os("TMPDIR")
            .filter(|directory| !directory.is_empty())
            .map(PathBuf::from);
    }
    Ok(Options {
        config,
        operator,
        inherited_listener: listener,
        rendezvous,
        manager,
    })
}

/// The service manager at `NOTIFY_SOCKET`, if the operator file enables notifications.
fn manager(OperatorFile { settings, .. }: &OperatorFile) -> Manager {
    let socket = std::env::var_os("NOTIFY_SOCKET").filter(|_| settings.manager.notify);
    let Some(address) = socket.filter(|address| !address.is_empty()) else {
        return Manager::none();
    };
    let watchdog = sd_notify::watchdog_enabled().filter(|_| settings.manager.watchdog);
    // A node that cannot notify its manager still serves clients.
    Manager::at(&address, watchdog).unwrap_or_else(|error| {
        warn!(%error, "NOTIFY_SOCKET cannot be used; no notifications are sent to the service manager");
        Manager::none()
    })
}
