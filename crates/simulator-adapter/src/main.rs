//! Translates between the simulator's line protocol and the policy engine. All decisions are made by the policy engine.
//!
//! Reads batches from standard input and writes a reply to each to standard output. On input that violates the
//! protocol, the program prints one line to standard error and exits with code 1.
#![forbid(unsafe_code)]

mod action;
mod endpoint_list;
mod error;
mod event;
mod line;
mod link;
mod protocol;
mod reader;

use std::io::{self, BufWriter};
use std::process::ExitCode;

fn main() -> ExitCode {
    let output = BufWriter::new(io::stdout().lock());
    match link::run(io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("saffronpaddle-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
