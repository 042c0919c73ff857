//! The program `saffronpaddle`: runs the subcommand that the command line names.
//!
//! Exit codes: 0 for success, 1 for a failure, which is explained on standard error.
#![forbid(unsafe_code)]

mod call;
mod check;
mod demo;
mod fleet;
mod log;
mod log_counts;
mod soak;
mod usage;

use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_node::serve;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// Environment variable that names the operator file if the command line doesn't.
const OPERATOR_VARIABLE: &str = "SAFFRONPADDLE_OPERATOR";

fn main() -> ExitCode {
    match run_subcommand() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("saffronpaddle: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run_subcommand() -> Result<ExitCode> {
    let mut arguments = lexopt::Parser::from_env();
    let subcommand = match arguments.next()? {
        None => "run".to_owned(),
        Some(Long("help") | Short('h')) => {
            print!("{}", usage::USAGE);
            return Ok(ExitCode::SUCCESS);
        }
        Some(Long("version") | Short('V')) => {
            println!("saffronpaddle {}", env!("CARGO_PKG_VERSION"));
            return Ok(ExitCode::SUCCESS);
        }
        Some(Value(name)) => name.to_string_lossy().into_owned(),
        // An option without a subcommand is one of `run`.
        Some(Long("operator")) => return run_node(Some(arguments.value()?), arguments),
        Some(other) => return Err(other.unexpected().into()),
    };
    match subcommand.as_str() {
        "run" => run_node(None, arguments),
        "check" => check::check(arguments),
        "call" => call::call(arguments),
        "demo" => {
            log::start()?;
            demo::demo(arguments)
        }
        "fleet" => fleet::fleet(arguments),
        _ => anyhow::bail!("unknown subcommand {subcommand:?}; --help lists them"),
    }
}

/// Runs one node until a signal stops it.
fn run_node(mut operator: Option<OsString>, mut arguments: lexopt::Parser) -> Result<ExitCode> {
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("operator") => operator = Some(arguments.value()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let from_environment = || std::env::var_os(OPERATOR_VARIABLE).filter(|name| !name.is_empty());
    log::start()?;
    serve::run(operator.or_else(from_environment).map(PathBuf::from))?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the program that the instances of a fleet run: `named`, or this program if it is `None`.
fn instance_program(named: Option<PathBuf>) -> Result<PathBuf> {
    named
        .map_or_else(std::env::current_exe, Ok)
        .context("find the path of this program")
}

fn exit_code(succeeded: bool) -> ExitCode {
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
