//! `saffronpaddle fleet counts`: adds up the counters that nodes wrote to their logs.

use anyhow::Result;
use lexopt::prelude::*;
use saffronpaddle_fleet_harness::counts::Counts;
use std::path::PathBuf;
use std::process::ExitCode;

/// Prints the sums of the logs that the arguments name, as a table or as CSV.
///
/// # Errors
/// The arguments are wrong, or a log can't be read.
pub fn log_counts(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let (mut paths, mut csv) = (Vec::new(), false);
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(path) => paths.push(PathBuf::from(path)),
            Long("csv") => csv = true,
            other => return Err(other.unexpected().into()),
        }
    }
    anyhow::ensure!(
        !paths.is_empty(),
        "fleet counts: expected LOGS: log files, or folders of them"
    );
    let counts = Counts::read(&paths)?;
    print!("{}", if csv { counts.csv() } else { counts.table() });
    Ok(ExitCode::SUCCESS)
}
