//! The edge node's program: which of its jobs is wanted, and with what.
#![forbid(unsafe_code)]

mod call;
mod demo;
mod fleet;
mod log;

use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_node::serve;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
saffronpaddle: an edge node that holds customers to their quotas before a shared back end

  saffronpaddle [run] [--operator FILE]   one edge node, as LB_CONFIG, LB_NAME, LB_LISTEN and LB_DISCOVERY have it;
                                          SAFFRONPADDLE_OPERATOR names the operator file as --operator does
  saffronpaddle check FILE                tells all that is wrong with an operator file
  saffronpaddle call ADDRESS WORD         asks a running node at its operators' address: PING, INFO, LAMEDUCK or REJOIN
  saffronpaddle demo [--listen ADDRESS]   one edge node before stand-in app servers on loopback, nothing to set up
  saffronpaddle fleet SCENARIO            plays a scenario on real instances before stand-ins, all on loopback;
        [--seed N] [--json FILE]          a file, or the name of one that comes with the program:
        [--instances N] [--rate N]        thirty, short, forty-cold, cold-thirty, cold-hundreds, calm, drains, etcd, flips,
                                          halves, apart
        [--seconds N] [--keep FOLDER]   [--roster] reads from discovery, etcd or both, whatever the scenario says;
        [--servers N] [--table]           --table shows each second by side; --operator FILE is the instances' operator
        [--operator FILE] [--program P]   file; --program plays another build of the program; --virtual plays the decision
        [--virtual]                       modules of the fleet alone, in virtual time, up to 10,000
                                          nodes and 100,000 servers as memory allows: some 180 bytes
                                          for each server that each node knows, 50 for each peer
  saffronpaddle fleet counts LOGS...      adds up the figures that nodes told their logs (log.counts_every_ms): a table,
        [--csv]                           or CSV with a line a node; LOGS are files or folders
  saffronpaddle fleet soak                plays fleets of 10 to 40 processes with random faults that overlap, judged by the rules:
        [--seed N] [--runs N] [--short]   one that fails is told with the way of its requests through all logs, and is made
        [--keep FOLDER] [--no-shrink]     smaller by leaving out faults
        [--program P] [--preload LIBRARY] LIBRARY makes system calls fail, as tests/shim/failing_calls.c does
  saffronpaddle --help | --version
";

fn main() -> ExitCode {
    match act() {
        Ok(code) => code,
        Err(error) => {
            eprintln!("saffronpaddle: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn act() -> Result<ExitCode> {
    let mut arguments = lexopt::Parser::from_env();
    let job = match arguments.next()? {
        None => "run".to_owned(),
        Some(Long("help") | Short('h')) => {
            print!("{USAGE}");
            return Ok(ExitCode::SUCCESS);
        }
        Some(Long("version") | Short('V')) => {
            println!("saffronpaddle {}", env!("CARGO_PKG_VERSION"));
            return Ok(ExitCode::SUCCESS);
        }
        Some(Value(job)) => job.to_string_lossy().into_owned(),
        // Options without a job are those of `run`.
        Some(Long("operator")) => return run(Some(arguments.value()?), arguments),
        Some(other) => return Err(other.unexpected().into()),
    };
    match &job[..] {
        "run" => run(None, arguments),
        "check" => check(arguments),
        "call" => call::call(arguments),
        "demo" => {
            log::start()?;
            demo::demo(arguments)
        }
        "fleet" => fleet::fleet(arguments),
        _ => anyhow::bail!("unknown job {job:?}; --help tells which there are"),
    }
}

fn run(operator: Option<OsString>, mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let mut operator = operator;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("operator") => operator = Some(arguments.value()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let named = || std::env::var_os("SAFFRONPADDLE_OPERATOR").filter(|name| !name.is_empty());
    log::start()?;
    serve::run(operator.or_else(named).map(PathBuf::from))?;
    Ok(ExitCode::SUCCESS)
}

fn check(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let path = PathBuf::from(arguments.value().context("check takes a file")?);
    let text = std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
    match saffronpaddle_operator_config::Operator::parse(&text) {
        Ok(_) => {
            println!("{}: good", path.display());
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => {
            faults
                .0
                .iter()
                .for_each(|fault| eprintln!("{}: {fault}", path.display()));
            Ok(ExitCode::FAILURE)
        }
    }
}
