//! `saffronpaddle call`: sends one admin command to a running node and prints its response.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// Longest time to connect, and between two reads of the response. A healthy node takes less than a second.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Longest response, in bytes. Without a limit, a program that is not a node could send until memory is exhausted.
const MAX_RESPONSE_BYTES: u64 = 1 << 20;
/// The line that ends a response of several lines.
const END_OF_TEXT: &str = "EOT\n";
/// Start of the response to a command that succeeded.
const SUCCESS: &str = "SUCCESS";

/// Sends the command that the arguments name and prints the response.
///
/// The exit code is success if the command succeeded, or if the metrics were received completely.
///
/// # Errors
/// The arguments are wrong, or no node responds at the address.
pub fn call(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let address: SocketAddr = arguments
        .value()
        .context("call: expected ADDRESS and COMMAND")?
        .parse()?;
    let command = arguments
        .value()
        .context("call: expected COMMAND: PING, INFO, LAMEDUCK or REJOIN")?;
    let command = command.to_string_lossy().to_uppercase();
    let response = exchange(address, &command)?;
    let complete_metrics = response.strip_suffix(END_OF_TEXT);
    print!("{}", complete_metrics.unwrap_or(&response));
    let succeeded = complete_metrics.is_some() || response.starts_with(SUCCESS);
    Ok(crate::exit_code(succeeded))
}

fn exchange(address: SocketAddr, command: &str) -> Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)
        .with_context(|| format!("connect to the admin address {address}"))?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("{command}\n").as_bytes())?;
    let mut response = String::new();
    stream
        .take(MAX_RESPONSE_BYTES)
        .read_to_string(&mut response)
        .with_context(|| format!("read the response of {address} to {command}"))?;
    Ok(response)
}
