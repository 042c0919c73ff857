//! A small fleet in virtual time: several exchanges with the real policy engine inside, servers that fail, an endpoint
//! list that changes, datagrams that are lost. Everything follows from the seed; the ledger of the fleet tests judges
//! it.

mod clients;
mod commands;
mod network;
mod nodes;
mod occurrence;
mod servers;
mod simulation;

use saffronpaddle_exchange::Bug;
use saffronpaddle_policy::interface::{Micros, SettingsError};
use saffronpaddle_policy::setup::ReadError;
use saffronpaddle_test_doubles::oracle;
use simulation::Simulation;
use std::fmt;

/// What a run consists of.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// The seed that everything follows from.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// App servers.
    pub servers: usize,
    /// Clients' requests.
    pub requests: usize,
    /// Over how long the requests arrive, µs.
    pub duration: Micros,
    /// Whether a node is killed half-way.
    pub kill_node: bool,
    /// A fault to be planted in all nodes.
    pub bug: Option<Bug>,
}

impl FleetSetup {
    /// Three nodes and six servers, thousands of requests.
    pub fn usual(seed: u64) -> FleetSetup {
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

/// How a run went.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetRun {
    /// The ledger's judgement.
    pub verdict: oracle::Verdict,
    /// Disagreements between the tables of an exchange.
    pub inconsistencies: Vec<String>,
    /// Requests and connections that were left when all was over.
    pub kept: usize,
    /// Occurrences that were simulated.
    pub events: usize,
    /// A hash of all commands in their order: two runs of one seed have the same.
    pub commands_hash: u64,
}

impl FleetRun {
    /// Whether no rule was broken and nothing was left.
    pub fn is_clean(&self) -> bool {
        self.verdict.breaches.is_empty() && self.inconsistencies.is_empty() && self.kept == 0
    }
}

/// Why a run can't start.
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

/// Runs a fleet to its end.
///
/// # Errors
/// The settings of the fleet are unreadable or invalid.
pub fn run(setup: &FleetSetup) -> Result<FleetRun, FleetError> {
    let mut simulation = Simulation::new(setup.clone())?;
    simulation.run()?;
    Ok(simulation.judge())
}
