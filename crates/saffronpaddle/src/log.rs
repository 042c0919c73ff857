//! The log: one line of fields for each event, on standard error.

use anyhow::{Context, Result};
use tracing_subscriber::filter::LevelFilter;

/// Names the lowest level that is told: `error`, `warn`, `info` (the default), `debug` or `trace`.
const LEVEL_VARIABLE: &str = "LB_LOG";

/// Sends events to standard error from now on.
///
/// # Errors
/// The variable names no level.
pub fn start() -> Result<()> {
    let level = match std::env::var(LEVEL_VARIABLE) {
        Ok(text) if !text.is_empty() => {
            text.parse().with_context(|| format!("{LEVEL_VARIABLE}: {text:?} is no level"))?
        }
        _ => LevelFilter::INFO,
    };
    // The platform and the service manager date each line by themselves.
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .with_max_level(level)
        .with_ansi(false)
        .with_target(false)
        .without_time()
        .init();
    Ok(())
}
