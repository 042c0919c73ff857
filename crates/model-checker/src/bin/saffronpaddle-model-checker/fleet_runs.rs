//! The subcommand that runs fleets in virtual time.

use crate::arguments::Arguments;
use anyhow::{bail, Result};
use saffronpaddle_model_checker::fleet::{self, FleetRun, FleetSetup};
use std::time::{Duration, Instant};

/// Runs fleets, a seed after another, until one breaks a rule.
pub fn play(arguments: &Arguments) -> Result<()> {
    let requests = arguments.requests;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let started = Instant::now();
        let run = fleet::run(&FleetSetup {
            requests,
            bug: arguments.bug,
            ..FleetSetup::usual(seed)
        })?;
        report(seed, &run, started.elapsed());
        if !run.is_clean() {
            println!(
                "{:?}\n{:?}\n{} kept",
                run.verdict.breaches, run.inconsistencies, run.kept
            );
            bail!("replay with: saffronpaddle-model-checker nodes --seed {seed} --runs 1 --tries {requests}");
        }
    }
    Ok(())
}

fn report(seed: u64, run: &FleetRun, duration: Duration) {
    let verdict = &run.verdict;
    println!(
        "seed {seed}: {} events, {} tries, {} served, {} refused, {} failed, {} killed, {} attempts, {} sends after \
         a drain (latest {:.1} ms), cold at {:.2} of a fall, {:.1} s",
        run.events,
        verdict.requests,
        verdict.served,
        verdict.refused,
        verdict.failed,
        verdict.killed,
        verdict.attempts,
        verdict.attempts_after_drain,
        verdict.attempts_after_drain_max_ms,
        verdict.cold_load_max,
        duration.as_secs_f64()
    );
}
