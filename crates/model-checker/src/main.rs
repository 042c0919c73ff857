//! `saffronpaddle-model-checker`: what was visited, in which bounds, how long it took.

use anyhow::{bail, Context, Result};
use lexopt::prelude::*;
use saffronpaddle_exchange::Bug;
use saffronpaddle_model_checker::nodes::{self, Play};
use saffronpaddle_model_checker::search::{search, Found, Limits};
use saffronpaddle_model_checker::world::{Anything, Inside, Setup};
use saffronpaddle_model_checker::{chart, planted, setups, walk};
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency};
use std::time::Instant;

const USAGE: &str = "\
saffronpaddle-model-checker small            the worlds of CI, visited whole
saffronpaddle-model-checker large            larger ones (minutes, gigabytes)
saffronpaddle-model-checker real [--depth N] with the decision module inside, to a depth (12)
saffronpaddle-model-checker world NAME [--bug BUG]   one world, with a fault planted
saffronpaddle-model-checker bugs             all planted faults, and whether each is found
saffronpaddle-model-checker gap              the known gap: a second copy that comes late
saffronpaddle-model-checker walk [--seed N] [--walks N] [--steps N]   random walks through large worlds
saffronpaddle-model-checker nodes [--seed N] [--runs N] [--tries N]   whole nodes in virtual time, judged by the ledger
";

fn main() -> Result<()> {
    let mut words = Vec::new();
    let (mut bug, mut depth, mut seed, mut walks, mut steps) = (None, 12, 1, 200, 20_000);
    let (mut runs, mut tries) = (20, 4_000);
    let mut arguments = lexopt::Parser::from_env();
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(word) => words.push(word.string()?),
            Long("bug") => {
                let name = arguments.value()?.string()?;
                let known = Bug::ALL.into_iter().find(|bug| format!("{bug:?}") == name);
                bug = Some(known.with_context(|| format!("no fault is named {name}"))?);
            }
            Long("depth") => depth = arguments.value()?.parse()?,
            Long("seed") => seed = arguments.value()?.parse()?,
            Long("walks") => walks = arguments.value()?.parse()?,
            Long("runs") => runs = arguments.value()?.parse()?,
            Long("tries") => tries = arguments.value()?.parse()?,
            Long("steps") => steps = arguments.value()?.parse()?,
            Long("help") => {
                print!("{USAGE}");
                return Ok(());
            }
            other => return Err(other.unexpected().into()),
        }
    }
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["small"] => visit(setups::small(), threads),
        ["large"] => visit(setups::large(), threads),
        ["world", name] => {
            let all = setups::small()
                .into_iter()
                .chain(setups::large())
                .chain([setups::late_copies()]);
            let setup = all.into_iter().find(|setup| setup.name == name);
            let setup = setup.with_context(|| format!("no world is named {name}"))?;
            let found = search(&setup, Anything, bug, Limits::default(), threads);
            told(&setup, Anything, bug, &found)
        }
        ["real"] => {
            let keyed = Idempotency::WithKey {
                scope: DeduplicationScope::Domain,
                window: 0,
            };
            for effect in [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent] {
                let setup = setups::real(effect);
                let limits = Limits {
                    depth,
                    ..Limits::default()
                };
                let found = search(&setup, setups::module(&setup)?, None, limits, threads);
                told(&setup, setups::module(&setup)?, None, &found)?;
            }
            Ok(())
        }
        ["bugs"] => bugs(threads),
        ["gap"] => {
            let setup = setups::late_copies();
            let found = search(&setup, Anything, None, Limits::default(), threads);
            if found.breach.is_none() {
                bail!("the gap was not found");
            }
            let _ = told(&setup, Anything, None, &found);
            Ok(())
        }
        ["walk"] => {
            let mut taken = 0;
            for seed in seed..seed + walks {
                let setup = setups::wide(seed);
                let found = walk::walk(&setup, Anything, seed, steps);
                taken += found.steps;
                if let Some((trace, breach)) = &found.breach {
                    println!("seed {seed}, {} steps: {breach}", trace.len());
                    bail!("replay with: saffronpaddle-model-checker walk --seed {seed} --walks 1 --steps {steps}");
                }
            }
            println!("{walks} walks from seed {seed}, {taken} steps: nothing is broken");
            Ok(())
        }
        ["nodes"] => play(seed, runs, tries, bug),
        _ => {
            print!("{USAGE}");
            bail!("what is to be visited?")
        }
    }
}

fn visit(setups: Vec<Setup>, threads: usize) -> Result<()> {
    for setup in setups {
        let found = search(&setup, Anything, None, Limits::default(), threads);
        told(&setup, Anything, None, &found)?;
    }
    Ok(())
}

fn told<M: Inside>(setup: &Setup, module: M, bug: Option<Bug>, found: &Found) -> Result<()> {
    let Found {
        states,
        steps,
        depth,
        took,
        whole,
        breach,
    } = found;
    let how = if *whole { "whole" } else { "in part" };
    println!(
        "{:<12} {states:>9} states {steps:>10} steps  depth {depth:>3}  {:>6.1} s  {how}: {}",
        setup.name,
        took.as_secs_f64(),
        setup.about
    );
    let Some((trace, breach)) = breach else {
        return Ok(());
    };
    println!("{}", chart::draw(setup, module, bug, trace, breach));
    bail!("{}: {breach}", setup.name)
}

fn bugs(threads: usize) -> Result<()> {
    let mut missed = Vec::new();
    for bug in Bug::ALL {
        let (setup, found) = planted::hunt(bug, threads).context("a world for each fault")?;
        let name = format!("{bug:?}");
        let took = found.took.as_secs_f64();
        if let Some((trace, breach)) = &found.breach {
            println!(
                "{name:<30} {:<10} {:>8} states {took:>5.1} s  {} steps  {breach}",
                setup.name,
                found.states,
                trace.len()
            );
        } else {
            println!(
                "{name:<30} {:<10} {:>8} states {took:>5.1} s  NOT FOUND",
                setup.name, found.states
            );
            missed.push(name);
        }
    }
    if !missed.is_empty() {
        bail!("not found: {}", missed.join(", "));
    }
    Ok(())
}

fn play(seed: u64, runs: u64, tries: usize, bug: Option<Bug>) -> Result<()> {
    for seed in seed..seed + runs {
        let begun = Instant::now();
        let played = nodes::play(&Play {
            tries,
            bug,
            ..Play::usual(seed)
        })?;
        let verdict = &played.verdict;
        println!(
            "seed {seed}: {} events, {} tries, {} served, {} refused, {} failed, {} killed, {} attempts, {} sends after \
             a drain (latest {:.1} ms), cold at {:.2} of a fall, {:.1} s",
            played.events,
            verdict.tries,
            verdict.served,
            verdict.refused,
            verdict.failed,
            verdict.killed,
            verdict.attempts,
            verdict.after_drain,
            verdict.after_drain_most_ms,
            verdict.cold_worst,
            begun.elapsed().as_secs_f64()
        );
        if !verdict.breaches.is_empty() || !played.tables.is_empty() || played.kept > 0 {
            println!(
                "{:?}\n{:?}\n{} kept",
                verdict.breaches, played.tables, played.kept
            );
            bail!("replay with: saffronpaddle-model-checker nodes --seed {seed} --runs 1 --tries {tries}");
        }
    }
    Ok(())
}
