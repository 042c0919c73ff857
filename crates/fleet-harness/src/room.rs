//! Whether this machine holds a run: descriptors and memory are reckoned before anything starts.

use crate::scenario::Scenario;
use crate::ways::Ways;
use anyhow::{ensure, Context, Result};
use nix::sys::resource::{getrlimit, setrlimit, Resource};

/// Descriptors of the rig for each instance: its listener, relay, manager, list agent with a watch, log and process.
const EACH_INSTANCE: usize = 10;
/// Connections of clients to an instance that the rig holds, at the most.
const EACH_DOOR: usize = 24;
/// Connections of instances to one app server that the rig holds: those that have been used in the last 15 s.
const EACH_SERVER: usize = 40;
/// Connections through one relay, twice: it has both sides.
const EACH_RELAY: usize = 40;
/// Bytes of an instance: idle it takes 8 MB, and as much again with its connections.
const INSTANCE_BYTES: u64 = 16_000_000;
/// Most instances as processes, app servers before them and tries that clients offer them a second.
const PROCESSES: usize = 400;
const SERVERS: usize = 1_000;
const RATE: f64 = 5_000.0;
/// Bytes of the rig itself.
const RIG_BYTES: u64 = 500_000_000;

/// Descriptors and bytes that a run needs.
pub fn needs(scenario: &Scenario) -> (u64, u64) {
    let ways = Ways::of(scenario);
    let relays = ways.servers().len();
    let descriptors = 200
        + scenario.instances * (EACH_INSTANCE + EACH_DOOR)
        + scenario.servers * (2 + EACH_SERVER.min(2 * scenario.instances))
        + relays * (1 + EACH_RELAY);
    (
        descriptors as u64,
        scenario.instances as u64 * INSTANCE_BYTES + RIG_BYTES,
    )
}

/// Makes room for a run: as many descriptors as this process may have.
///
/// # Errors
/// The machine can't hold it, with what it lacks.
pub fn make(scenario: &Scenario) -> Result<()> {
    ensure!(
        scenario.instances <= PROCESSES,
        "{} instances: {PROCESSES} processes are the most, and more are for virtual time",
        scenario.instances
    );
    ensure!(
        scenario.servers <= SERVERS && scenario.rate <= RATE,
        "{} servers and {} tries a second: {SERVERS} and {RATE} are the most, and more are for virtual time",
        scenario.servers,
        scenario.rate
    );
    let (descriptors, bytes) = needs(scenario);
    let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).context("the limit of descriptors")?;
    ensure!(
        descriptors <= hard,
        "{} instances and {} servers need {descriptors} descriptors, and this process may have {hard}",
        scenario.instances,
        scenario.servers
    );
    if soft < hard {
        setrlimit(Resource::RLIMIT_NOFILE, hard, hard).context("more descriptors")?;
    }
    holds(scenario, bytes)
}

/// Looks whether there is room for a run in virtual time.
///
/// # Errors
/// The machine can't hold it, with what it lacks.
pub fn look(scenario: &Scenario) -> Result<()> {
    holds(scenario, crate::virtually::needs(scenario))
}

fn holds(scenario: &Scenario, bytes: u64) -> Result<()> {
    let free = available().unwrap_or(u64::MAX);
    ensure!(
        bytes <= free,
        "{} instances need {} MB of memory, and {} are free",
        scenario.instances,
        bytes / 1_000_000,
        free / 1_000_000
    );
    Ok(())
}

/// Bytes of memory that are free for new work; none where the machine does not tell (`proc(5)`, `MemAvailable`).
fn available() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/meminfo").ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"))?;
    Some(line.split_whitespace().next()?.parse::<u64>().ok()? * 1024)
}

#[cfg(test)]
mod tests;
