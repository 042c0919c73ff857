//! The edge node's program.
#![forbid(unsafe_code)]

use std::process::ExitCode;

fn main() -> ExitCode {
    match saffronpaddle_node::serve::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("saffronpaddle: {error:#}");
            ExitCode::FAILURE
        }
    }
}
