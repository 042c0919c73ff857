//! The subcommands that visit worlds.

use anyhow::{bail, Context, Result};
use saffronpaddle_exchange::Bug;
use saffronpaddle_model_checker::search::{search, Limits, SearchResult};
use saffronpaddle_model_checker::world::{AnyPolicy, PolicyModel, Setup};
use saffronpaddle_model_checker::{chart, planted, setups, walk};
use saffronpaddle_policy::interface::{DeduplicationScope, Idempotency};

/// Visits all states of the small worlds.
pub fn visit_small(threads: usize) -> Result<()> {
    visit_all(setups::small(), threads)
}

/// Visits all states of the large worlds.
pub fn visit_large(threads: usize) -> Result<()> {
    visit_all(setups::large(), threads)
}

fn visit_all(setups: Vec<Setup>, threads: usize) -> Result<()> {
    for setup in setups {
        let result = search(&setup, AnyPolicy, None, Limits::default(), threads);
        report(&setup, AnyPolicy, None, &result)?;
    }
    Ok(())
}

/// Visits all states of the world with a name, with a planted fault if one is given.
pub fn visit_one(name: &str, bug: Option<Bug>, threads: usize) -> Result<()> {
    let setup = setups::small()
        .into_iter()
        .chain(setups::large())
        .chain([setups::late_duplicates()])
        .find(|setup| setup.name == name)
        .with_context(|| format!("unknown world \"{name}\""))?;
    let result = search(&setup, AnyPolicy, bug, Limits::default(), threads);
    report(&setup, AnyPolicy, bug, &result)
}

/// Visits the worlds with the real policy up to a depth.
pub fn visit_real(depth: usize, threads: usize) -> Result<()> {
    let keyed = Idempotency::WithKey {
        scope: DeduplicationScope::Domain,
        window: 0,
    };
    let limits = Limits {
        depth,
        ..Limits::default()
    };
    for idempotency in [Idempotency::Idempotent, keyed, Idempotency::NonIdempotent] {
        let setup = setups::real(idempotency);
        let policy = setups::real_policy(&setup)?;
        let result = search(&setup, policy.clone(), None, limits, threads);
        report(&setup, policy, None, &result)?;
    }
    Ok(())
}

/// Shows the known gap: a late duplicate of a response is served as the next response.
pub fn show_known_gap(threads: usize) -> Result<()> {
    let setup = setups::late_duplicates();
    let result = search(&setup, AnyPolicy, None, Limits::default(), threads);
    if result.violation.is_none() {
        bail!("the known gap was not found in world late-copies");
    }
    // The violation that it reports is the expected one.
    let _ = report(&setup, AnyPolicy, None, &result);
    Ok(())
}

/// Takes random walks through random worlds, with consecutive seeds.
pub fn walk_random(first_seed: u64, walks: u64, steps: usize) -> Result<()> {
    let mut taken = 0;
    for seed in first_seed..first_seed + walks {
        let setup = setups::random(seed);
        let result = walk::walk(&setup, AnyPolicy, seed, steps);
        taken += result.steps;
        if let Some((trace, violation)) = &result.violation {
            println!("seed {seed}, {} steps: {violation}", trace.len());
            bail!("replay with: saffronpaddle-model-checker walk --seed {seed} --walks 1 --steps {steps}");
        }
    }
    println!("{walks} walks from seed {first_seed}, {taken} steps: no violation");
    Ok(())
}

/// Searches for each planted fault.
pub fn find_planted(threads: usize) -> Result<()> {
    let mut missed = Vec::new();
    for bug in Bug::ALL {
        let (setup, result) = planted::find_bug(bug, threads)
            .with_context(|| format!("no world for the fault {bug:?}"))?;
        let name = format!("{bug:?}");
        let seconds = result.duration.as_secs_f64();
        let summary = if let Some((trace, violation)) = &result.violation {
            format!("{} steps  {violation}", trace.len())
        } else {
            missed.push(name.clone());
            "NOT FOUND".to_owned()
        };
        println!(
            "{name:<30} {:<10} {:>8} states {seconds:>5.1} s  {summary}",
            setup.name, result.states
        );
    }
    if !missed.is_empty() {
        bail!("planted faults that were not found: {}", missed.join(", "));
    }
    Ok(())
}

/// Prints the result of a search, including the chart of a violation.
///
/// # Errors
/// The violation, if there is one.
fn report<M: PolicyModel>(
    setup: &Setup,
    policy: M,
    bug: Option<Bug>,
    result: &SearchResult,
) -> Result<()> {
    let extent = if result.complete {
        "complete"
    } else {
        "partial"
    };
    println!(
        "{:<12} {:>9} states {:>10} steps  depth {:>3}  {:>6.1} s  {extent}: {}",
        setup.name,
        result.states,
        result.steps,
        result.depth,
        result.duration.as_secs_f64(),
        setup.description
    );
    let Some((trace, violation)) = &result.violation else {
        return Ok(());
    };
    println!("{}", chart::draw(setup, policy, bug, trace, violation));
    bail!("{}: {violation}", setup.name)
}
