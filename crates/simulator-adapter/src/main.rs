//! Carries the simulator's line protocol to the policy engine and back: it translates and decides nothing.
//!
//! Batches come on standard input and are answered on standard output. Input that doesn't keep to the protocol ends the
//! program with exit code 1 and one line on standard error.
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
