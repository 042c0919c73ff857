//! The subcommand that runs fleets in virtual time.

use crate::arguments::Arguments;
use anyhow::{bail, Result};
use saffronpaddle_model_checker::fleet::{self, FleetRun, FleetSetup};
use std::time::{Duration, Instant};

/// Simulates fleets with consecutive seeds until one violates a rule.
pub fn run_fleets(arguments: &Arguments) -> Result<()> {
    let requests = arguments.requests;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let started = Instant::now();
        let run = fleet::run(&FleetSetup {
            requests,
            bug: arguments.bug,
            ..FleetSetup::with_seed(seed)
        })?;
        report(seed, &run, started.elapsed());
        if !run.is_clean() {
            println!(
                "rule violations: {:?}\ninconsistencies: {:?}\n{} requests and connections kept",
                run.verdict.breaches, run.inconsistencies, run.remaining
            );
            bail!("replay with: saffronpaddle-model-checker nodes --seed {seed} --runs 1 --tries {requests}");
        }
    }
    Ok(())
}

fn report(seed: u64, run: &FleetRun, duration: Duration) {
    let verdict = &run.verdict;
    println!(
        "seed {seed}: {} events, {} requests, {} served, {} rejected, {} failed, {} killed with their node, \
         {} attempts, {} first bytes after a drain (latest {:.1} ms), \
         load of cold servers at most {:.2} of their failure point, {:.1} s",
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
