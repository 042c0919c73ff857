//! Measurements of the edge node, each a command. All of it stays on loopback and stops by itself.
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

const USAGE: &str = "\
saffronpaddle-bench: measurements of the edge node (build with --release first)

  cost [--servers N] [--connections N] [--requests N] [--rounds N] [--against PROGRAM]
        CPU a request of one node, of a bare hyper relay and, if asked, of another build of the node, on the same core
        in the same run, as ratios
  idle [--starts N]
        time from exec to the first answer, and memory of an idle instance
  size [--seconds N]
        peer traffic and CPU of fleets of 3, 10 and 30 instances
  roster [--hosts N] [--changes N] [--seconds N]
        a roster in etcd: time to the whole list, memory and CPU at so many changes a second
  scale [--quick] [--sweep NAME --points X,Y,...] [--seconds N] [--csv FILE] [--plot FILE.svg] [--nodes N] [--servers N]
        [--tenants N] [--tries R] [--changes R] [--restart SHARE] [--real N] [--spread N] [--skew S] [--list agent|service]
        real processes beside hollow nodes, one figure of the fleet swept at a time (docs/scale.md)
  sockets [--count N] [--echoes N] [--talkers N] [--requests N]
        WebSocket: echoes beside bare relays, memory and CPU of idle sockets, the drain of the server that has them all
  byte-relay | frame-relay LISTEN SERVER
        the bare relays of that
  relay LISTEN SERVER...
        the bare hyper relay itself
";

fn main() -> Result<()> {
    let mut arguments = lexopt::Parser::from_env();
    let Some(Value(job)) = arguments.next()? else {
        print!("{USAGE}");
        return Ok(());
    };
    match &*job.to_string_lossy() {
        "cost" => cost::measure(arguments),
        "idle" => idle::measure(arguments),
        "roster" => roster::measure(arguments),
        "scale" => scale::measure(arguments),
        "hollow" => saffronpaddle_hollow::serve(),
        "size" => size::measure(arguments),
        "sockets" => sockets::measure(arguments),
        "byte-relay" => sockets::relay(arguments, false),
        "frame-relay" => sockets::relay(arguments, true),
        "relay" => relay::serve(arguments),
        other => bail!("unknown job {other:?}\n{USAGE}"),
    }
}

/// The edge node's program, which is built beside this one.
fn program() -> Result<PathBuf> {
    let program = std::env::current_exe()?.with_file_name("saffronpaddle");
    if !program.exists() {
        bail!("{} is not there: cargo build --release", program.display());
    }
    Ok(program)
}
