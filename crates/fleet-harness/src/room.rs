//! Checks before a run starts whether this machine has enough file descriptors and memory for it.

use crate::relays::RelayPlan;
use crate::scenario::Scenario;
use anyhow::{ensure, Context, Result};
use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// Descriptors of the harness that do not depend on the size of the run.
const BASE_DESCRIPTORS: usize = 200;
/// Descriptors of the harness per instance: its listener, relay, service manager, list agent with a watch, log and
/// process.
const DESCRIPTORS_PER_INSTANCE: usize = 10;
/// Most client connections to an instance that the harness holds.
const CLIENT_CONNECTIONS_PER_INSTANCE: usize = 24;
/// Connections from instances to one app server that the harness holds: those used in the last 15 s.
const CONNECTIONS_PER_SERVER: usize = 40;
/// Descriptors for the connections through one relay, which holds both sides of each.
const DESCRIPTORS_PER_RELAY: usize = 40;
/// Memory of an instance, bytes: 8 MB idle, and as much again for its connections.
const BYTES_PER_INSTANCE: u64 = 16_000_000;
/// Most instances in a run with real processes.
const MAX_PROCESSES: usize = 400;
/// Most app servers in a run with real processes.
const MAX_SERVERS: usize = 1_000;
/// Highest load of a run with real processes, requests per second.
const MAX_RATE: f64 = 5_000.0;
/// Memory of the harness itself, bytes.
const HARNESS_BYTES: u64 = 500_000_000;

/// Returns the descriptors and the bytes of memory that a run with real processes needs.
pub fn required_resources(scenario: &Scenario) -> (u64, u64) {
    let relay_plan = RelayPlan::for_scenario(scenario);
    let relays = relay_plan.server_relays().len();
    let descriptors = BASE_DESCRIPTORS
        + scenario.instances * (DESCRIPTORS_PER_INSTANCE + CLIENT_CONNECTIONS_PER_INSTANCE)
        + scenario.servers * (2 + CONNECTIONS_PER_SERVER.min(2 * scenario.instances))
        + relays * (1 + DESCRIPTORS_PER_RELAY);
    (
        descriptors as u64,
        scenario.instances as u64 * BYTES_PER_INSTANCE + HARNESS_BYTES,
    )
}

/// Checks that the machine can hold a run with real processes, and raises this process's descriptor limit to the hard
/// limit.
///
/// # Errors
/// The machine lacks the resources for the run; the message names what is missing.
pub fn reserve(scenario: &Scenario) -> Result<()> {
    ensure!(
        scenario.instances <= MAX_PROCESSES,
        "{} instances exceed the limit of {MAX_PROCESSES} processes; larger fleets run in virtual time",
        scenario.instances
    );
    ensure!(
        scenario.servers <= MAX_SERVERS && scenario.rate <= MAX_RATE,
        "{} servers and {} requests per second exceed the limits of {MAX_SERVERS} and {MAX_RATE}; larger runs use virtual time",
        scenario.servers,
        scenario.rate
    );
    let (descriptors, bytes) = required_resources(scenario);
    let (soft, hard) =
        getrlimit(Resource::RLIMIT_NOFILE).context("reading the limit on file descriptors")?;
    ensure!(
        descriptors <= hard,
        "{} instances and {} servers need {descriptors} file descriptors; the limit of this process is {hard}",
        scenario.instances,
        scenario.servers
    );
    if soft < hard {
        setrlimit(Resource::RLIMIT_NOFILE, hard, hard)
            .context("raising the limit on file descriptors")?;
    }
    ensure_memory(scenario, bytes)
}

/// Checks that the machine has enough memory for a run in virtual time.
///
/// # Errors
/// The machine has too little memory; the message names the required and the available amount.
pub fn check_memory(scenario: &Scenario) -> Result<()> {
    ensure_memory(scenario, crate::virtually::required_bytes(scenario))
}

fn ensure_memory(scenario: &Scenario, bytes: u64) -> Result<()> {
    let free = available_bytes().unwrap_or(u64::MAX);
    ensure!(
        bytes <= free,
        "{} instances need {} MB of memory; {} MB are available",
        scenario.instances,
        bytes / 1_000_000,
        free / 1_000_000
    );
    Ok(())
}

/// Available memory in bytes; `None` if the system does not report it (`proc(5)`, `MemAvailable`).
fn available_bytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

#[cfg(test)]
mod tests;
