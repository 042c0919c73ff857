//! `saffronpaddle-model-checker`: visits the states of worlds and reports the number of states, the bounds and the
//! duration.

mod arguments;
mod fleet_runs;
mod worlds;

use anyhow::{bail, Result};
use arguments::{Arguments, USAGE};

fn main() -> Result<()> {
    let Some(arguments) = Arguments::from_env()? else {
        print!("{USAGE}");
        return Ok(());
    };
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let operands: Vec<&str> = arguments.operands.iter().map(String::as_str).collect();
    match operands[..] {
        ["small"] => worlds::visit_small(threads),
        ["large"] => worlds::visit_large(threads),
        ["world", name] => worlds::visit_one(name, arguments.bug, threads),
        ["real"] => worlds::visit_real(arguments.depth, threads),
        ["bugs"] => worlds::find_planted(threads),
        ["gap"] => worlds::show_known_gap(threads),
        ["walk"] => worlds::walk_random(arguments.seed, arguments.walks, arguments.steps),
        ["nodes"] => fleet_runs::run_fleets(&arguments),
        _ => {
            print!("{USAGE}");
            bail!("unknown or missing subcommand")
        }
    }
}
