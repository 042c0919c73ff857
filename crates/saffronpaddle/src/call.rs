//! A call to a running node at its operators' address.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

/// A node answers within a second; one that does not is in trouble, which is an answer too.
const WITHIN: Duration = Duration::from_secs(3);
/// Most bytes of an answer. Guards against an address that is none of a node's.
const MOST: u64 = 1 << 20;

/// Calls and prints what is answered. Success is an answer of `SUCCESS`, or figures that came whole.
pub fn call(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let address: SocketAddr = arguments
        .value()
        .context("call takes an address and a word")?
        .parse()?;
    let word = arguments
        .value()
        .context("call takes a word: PING, INFO, LAMEDUCK or REJOIN")?;
    let word = word.to_string_lossy().to_uppercase();
    let mut stream = TcpStream::connect_timeout(&address, WITHIN)
        .with_context(|| format!("no node at {address}"))?;
    stream.set_read_timeout(Some(WITHIN))?;
    stream.write_all(format!("{word}\n").as_bytes())?;
    let mut answer = String::new();
    stream
        .take(MOST)
        .read_to_string(&mut answer)
        .with_context(|| format!("{address} is silent"))?;
    let whole = answer.strip_suffix("EOT\n");
    print!("{}", whole.unwrap_or(&answer));
    let good = whole.is_some() || answer.starts_with("SUCCESS");
    Ok(if good {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
