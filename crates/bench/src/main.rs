//! Measurements of the edge node, one for each subcommand. They use only the loopback interface and end by themselves.
#![forbid(unsafe_code)]

mod cost;
mod idle;
mod process;
mod relay;
mod roster;
mod scale;
mod size;
mod sockets;

use anyhow::{bail, Result};
use lexopt::prelude::*;
use std::path::PathBuf;

/// The usage text.
const USAGE: &str = "\
saffronpaddle-bench: measurements of the edge node (build with --release first)

  cost [--servers N] [--connections N] [--requests N] [--rounds N] [--against PROGRAM]
        CPU per request of one node, of a bare hyper relay and optionally of another build of the node, on the same core
        in the same run, as ratios
  idle [--starts N]
        time from exec to readiness, and memory of an idle instance
  size [--seconds N]
        peer traffic and CPU of fleets of 3, 10 and 30 instances
  roster [--hosts N] [--changes N] [--seconds N]
        a list of servers in etcd: time to the whole list, memory and CPU at the given rate of changes per second
  scale [--quick] [--sweep NAME --points X,Y,...] [--seconds N] [--csv FILE] [--plot FILE.svg] [--nodes N] [--servers N]
        [--tenants N] [--tries R] [--changes R] [--restart SHARE] [--real N] [--spread N] [--skew S] [--list agent|service]
        processes of the program beside hollow nodes, one parameter of the fleet swept at a time (docs/scale.md)
  sockets [--count N] [--echoes N] [--talkers N] [--requests N]
        WebSocket: echoes compared with bare relays, memory and CPU of idle sockets, the drain of their server
  byte-relay | frame-relay LISTEN SERVER
        the bare relays that `sockets` compares with
  relay LISTEN SERVER...
        the bare hyper relay that `cost` compares with
";

fn main() -> Result<()> {
    let mut arguments = lexopt::Parser::from_env();
    let Some(Value(subcommand)) = arguments.next()? else {
        print!("{USAGE}");
        return Ok(());
    };
    match &*subcommand.to_string_lossy() {
        "cost" => cost::measure(arguments),
        "idle" => idle::measure(arguments),
        "roster" => roster::measure(arguments),
        "scale" => scale::measure(arguments),
        "hollow" => saffronpaddle_hollow::serve(),
        "size" => size::measure(arguments),
        "sockets" => sockets::measure(arguments),
        "byte-relay" => sockets::serve_relay(arguments, false),
        "frame-relay" => sockets::serve_relay(arguments, true),
        "relay" => relay::serve(arguments),
        other => bail!("unknown subcommand {other:?}\n{USAGE}"),
    }
}

/// Path of the edge node's program, which is built into the same folder as this one.
fn program() -> Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("saffronpaddle");
    if !program.exists() {
        bail!(
            "{} does not exist: run cargo build --release",
            program.display()
        );
    }
    Ok(program)
}
