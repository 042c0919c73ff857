//! Command-line arguments.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_exchange::Bug;

/// The usage text.
pub const USAGE: &str = "\
saffronpaddle-model-checker small            visit all states of the small worlds that CI runs
saffronpaddle-model-checker large            visit all states of the large worlds (minutes, gigabytes)
saffronpaddle-model-checker real [--depth N] visit worlds with the real policy engine up to a depth (default 12)
saffronpaddle-model-checker world NAME [--bug BUG]   visit one world, optionally with a planted fault
saffronpaddle-model-checker bugs             search for each planted fault
saffronpaddle-model-checker gap              show the known gap: a late duplicate of a response
saffronpaddle-model-checker walk [--seed N] [--walks N] [--steps N]   take random walks through large worlds
saffronpaddle-model-checker nodes [--seed N] [--runs N] [--tries N]   simulate fleets in virtual time, verified by the oracle
";

/// The parsed command line.
#[derive(Debug)]
pub struct Arguments {
    /// The subcommand and its operands.
    pub operands: Vec<String>,
    /// The fault to plant, if any.
    pub bug: Option<Bug>,
    /// Most steps from the initial state of a world with the real policy.
    pub depth: usize,
    /// The seed of the first walk or run; later ones use consecutive seeds.
    pub seed: u64,
    /// Number of random walks.
    pub walks: u64,
    /// Number of steps per random walk.
    pub steps: usize,
    /// Number of fleet runs.
    pub runs: u64,
    /// Number of requests per fleet run.
    pub requests: usize,
}

impl Default for Arguments {
    fn default() -> Arguments {
        Arguments {
            operands: Vec::new(),
            bug: None,
            depth: 12,
            seed: 1,
            walks: 200,
            steps: 20_000,
            runs: 20,
            requests: 4_000,
        }
    }
}

impl Arguments {
    /// Parses the command line. Returns `None` if help is requested.
    pub fn from_env() -> Result<Option<Arguments>> {
        let mut arguments = Arguments::default();
        let mut parser = lexopt::Parser::from_env();
        while let Some(argument) = parser.next()? {
            match argument {
                Value(word) => arguments.operands.push(word.string()?),
                Long("bug") => arguments.bug = Some(parse_bug(&parser.value()?.string()?)?),
                Long("depth") => arguments.depth = parser.value()?.parse()?,
                Long("seed") => arguments.seed = parser.value()?.parse()?,
                Long("walks") => arguments.walks = parser.value()?.parse()?,
                Long("runs") => arguments.runs = parser.value()?.parse()?,
                Long("tries") => arguments.requests = parser.value()?.parse()?,
                Long("steps") => arguments.steps = parser.value()?.parse()?,
                Long("help") => return Ok(None),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(Some(arguments))
    }
}

fn parse_bug(name: &str) -> Result<Bug> {
    Bug::ALL
        .into_iter()
        .find(|bug| format!("{bug:?}") == name)
        .with_context(|| format!("unknown fault \"{name}\""))
}
