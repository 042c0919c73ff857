//! The command line.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_exchange::Bug;

/// The usage text.
pub const USAGE: &str = "\
saffronpaddle-model-checker small            the worlds of CI, visited whole
saffronpaddle-model-checker large            larger ones (minutes, gigabytes)
saffronpaddle-model-checker real [--depth N] with the decision module inside, to a depth (12)
saffronpaddle-model-checker world NAME [--bug BUG]   one world, with a fault planted
saffronpaddle-model-checker bugs             all planted faults, and whether each is found
saffronpaddle-model-checker gap              the known gap: a second copy that comes late
saffronpaddle-model-checker walk [--seed N] [--walks N] [--steps N]   random walks through large worlds
saffronpaddle-model-checker nodes [--seed N] [--runs N] [--tries N]   whole nodes in virtual time, judged by the ledger
";

/// What the command line asks for.
#[derive(Debug)]
pub struct Arguments {
    /// The subcommand and its operands.
    pub operands: Vec<String>,
    /// A fault to plant.
    pub bug: Option<Bug>,
    /// Most steps from the first state of a world with the real policy.
    pub depth: usize,
    /// The first seed.
    pub seed: u64,
    /// How many random walks.
    pub walks: u64,
    /// Steps of a random walk.
    pub steps: usize,
    /// How many runs of a fleet.
    pub runs: u64,
    /// Requests of a fleet's run.
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
    /// Reads the command line. None if it asks for help.
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
        .with_context(|| format!("no fault is named {name}"))
}
