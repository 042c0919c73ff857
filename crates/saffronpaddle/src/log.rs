//! Logging: writes each event to standard error as a line of fields.

use anyhow::{Context, Result};
use tracing_subscriber::filter::LevelFilter;

/// Environment variable that names the lowest level to log: `error`, `warn`, `info` (the default), `debug` or `trace`.
const LEVEL_VARIABLE: &str = "LB_LOG";

/// Installs the log subscriber of the process.
///
/// # Errors
/// The environment variable holds an unknown level.
pub fn start() -> Result<()> {
    let level = match std::env::var(LEVEL_VARIABLE) {
        Ok(text) if !text.is_empty() => text
            .parse()
            .with_context(|| format!("{LEVEL_VARIABLE}: {text:?} is not a log level"))?,
        _ => LevelFilter::INFO,
    };
    let subscriber = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    if level > LevelFilter::INFO {
        // Lines carry a time, as single events are compared across the logs of several processes.
        subscriber.with_max_level(level).init();
    } else {
        // The platform and the service manager add the time to each line that they collect.
        subscriber.with_max_level(level).without_time().init();
    }
    Ok(())
}
