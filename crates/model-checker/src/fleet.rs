//! Discrete-event simulation of a small fleet in virtual time: several exchanges with the real policy engine, failing
//! servers, endpoint list changes and datagram loss. A run is determined by its seed, and the oracle of the fleet tests
//! verifies it.

mod clients;
mod commands;
mod event;
mod network;
mod nodes;
mod servers;
mod simulation;

use saffronpaddle_exchange::Bug;
use saffronpaddle_policy::interface::{Micros, SettingsError};
use saffronpaddle_policy::setup::ReadError;
use saffronpaddle_test_doubles::oracle;
use simulation::Simulation;
use std::fmt;

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The seed that determines the run.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of app servers.
    pub servers: usize,
    /// Number of client requests.
    pub requests: usize,
    /// Period over which the requests arrive, µs.
    pub duration: Micros,
    /// Whether a node is killed and restarted after half of the duration.
    pub kill_node: bool,
    /// A fault to plant in all nodes.
    pub bug: Option<Bug>,
}

impl FleetSetup {
    /// Returns the default setup: three nodes, six servers, 4,000 requests in 40 s, and one killed node.
    pub fn with_seed(seed: u64) -> FleetSetup {
        FleetSetup {
            seed,
            nodes: 3,
            servers: 6,
            requests: 4_000,
            duration: 40_000_000,
            kill_node: true,
            bug: None,
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRun {
    /// The verdict of the oracle.
    pub verdict: oracle::Verdict,
    /// Inconsistencies of the tables of an exchange, and invalid commands.
    pub inconsistencies: Vec<String>,
    /// Number of requests and connections that remain at the end of the run.
    pub remaining: usize,
    /// Number of simulated events.
    pub events: usize,
    /// A hash of all commands in order, which is equal for two runs with the same seed.
    pub commands_hash: u64,
}

impl FleetRun {
    /// Returns whether no rule was violated and no request or connection remains.
    pub fn is_clean(&self) -> bool {
        self.verdict.breaches.is_empty() && self.inconsistencies.is_empty() && self.remaining == 0
    }
}

/// The reason why a run can't be carried out.
#[derive(Debug)]
pub enum FleetError {
    /// The settings of the fleet can't be read.
    UnreadableSettings(ReadError),
    /// The policy engine rejects the settings.
    InvalidSettings(SettingsError),
}

impl fmt::Display for FleetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FleetError::UnreadableSettings(error) => error.fmt(f),
            FleetError::InvalidSettings(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for FleetError {}

impl From<SettingsError> for FleetError {
    fn from(error: SettingsError) -> FleetError {
        FleetError::InvalidSettings(error)
    }
}

/// Runs a fleet until no event is left.
///
/// # Errors
/// The settings of the fleet are unreadable or invalid.
pub fn run(setup: &FleetSetup) -> Result<FleetRun, FleetError> {
    let mut simulation = Simulation::new(setup.clone())?;
    simulation.run()?;
    Ok(simulation.into_result())
}
