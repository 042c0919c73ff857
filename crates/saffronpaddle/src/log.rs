//! The log: one line of fields for each event, on standard error.

use anyhow::{Context, Result};
use tracing_subscriber::filter::LevelFilter;

/// Environment variable that names the lowest level to log: `error`, `warn`, `info` (the default), `debug` or `trace`.
const LEVEL_VARIABLE: &str = "LB_LOG";

/// Writes events to standard error from now on.
///
/// # Errors
/// The variable names no level.
pub fn start() -> Result<()> {
    let level = match std::env::var(LEVEL_VARIABLE) {
        Ok(text) if !text.is_empty() => text
            .parse()
            .with_context(|| format!("{LEVEL_VARIABLE}: {text:?} is no level"))?,
        _ => LevelFilter::INFO,
    };
    let lines = tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .with_target(false);
    if level > LevelFilter::INFO {
        // Single events are compared across the logs of several processes, which takes their time.
        lines.with_max_level(level).init();
    } else {
        // The platform and the service manager add the time to each line.
        lines.with_max_level(level).without_time().init();
    }
    Ok(())
}
