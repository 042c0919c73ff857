//! `saffronpaddle check`: reports all errors of an operator file.

use anyhow::{Context, Result};
use saffronpaddle_operator_config::Operator;
use std::path::PathBuf;
use std::process::ExitCode;

/// Checks the file that the arguments name and writes each of its errors as a line to standard error.
///
/// # Errors
/// The arguments name no file, or it can't be read.
pub fn check(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let path = PathBuf::from(arguments.value().context("check: expected FILE")?);
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    match Operator::parse(&text) {
        Ok(_) => {
            println!("{}: good", path.display());
            Ok(ExitCode::SUCCESS)
        }
        Err(errors) => {
            for error in &errors.0 {
                eprintln!("{}: {error}", path.display());
            }
            Ok(ExitCode::FAILURE)
        }
    }
}
