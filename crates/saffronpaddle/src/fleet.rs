//! `saffronpaddle fleet`: plays a scenario and prints the verdict.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_fleet_harness::scenario::SHIPPED;
use saffronpaddle_fleet_harness::soak::{self, Plan, Size};
use saffronpaddle_fleet_harness::{Options, Overrides, Scenario};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Adds the counts in logs up: a table, or CSV.
fn counts(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let (mut paths, mut csv) = (Vec::new(), false);
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(path) => paths.push(PathBuf::from(path)),
            Long("csv") => csv = true,
            other => return Err(other.unexpected().into()),
        }
    }
    anyhow::ensure!(
        !paths.is_empty(),
        "fleet counts takes logs, or folders of logs"
    );
    let counts = saffronpaddle_fleet_harness::counts::Counts::read(&paths)?;
    print!("{}", if csv { counts.csv() } else { counts.table() });
    Ok(ExitCode::SUCCESS)
}

/// Plays fleets with random faults, a seed after the other, until one breaks a rule.
fn soak(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let (mut seed, mut runs, mut size, mut shrinks) = (1, 1, Size::LONG, true);
    let (mut program, mut preload) = (None, None);
    let mut folder =
        std::env::temp_dir().join(format!("saffronpaddle-soak-{}", std::process::id()));
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("seed") => seed = arguments.value()?.parse()?,
            Long("runs") => runs = arguments.value()?.parse()?,
            Long("short") => size = Size::SHORT,
            Long("program") => program = Some(PathBuf::from(arguments.value()?)),
            Long("keep") => folder = PathBuf::from(arguments.value()?),
            Long("no-shrink") => shrinks = false,
            Long("preload") => preload = Some(PathBuf::from(arguments.value()?)),
            other => return Err(other.unexpected().into()),
        }
    }
    let program = program
        .map_or_else(std::env::current_exe, Ok)
        .context("this program")?;
    let mut failed = 0;
    for seed in seed..seed + runs {
        let of_seed = folder.join(seed.to_string());
        let options = |folder: &Path| Options {
            program: program.clone(),
            seed,
            folder: folder.to_owned(),
            operator: String::new(),
            say: false,
            log_level: "debug",
            preload: preload.clone(),
        };
        let plan = Plan::draw(seed, size);
        let report = soak::play(&plan, &options(&of_seed))?;
        println!("{report}");
        if report.good() {
            std::fs::remove_dir_all(&of_seed)?;
            continue;
        }
        failed += 1;
        println!("seed {seed} fails; logs are in {}", of_seed.display());
        println!("{}", soak::timeline(&report, &of_seed));
        let smallest = if shrinks {
            soak::shrink(&plan, &report, &options(&folder.join("shrinks")))?
        } else {
            plan
        };
        println!(
            "the smallest plan that was seen to fail:\n{}",
            smallest.text()
        );
    }
    println!("{failed} of {runs} seeds failed");
    Ok(if failed == 0 {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

pub fn fleet(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let (mut named, mut seed, mut json, mut keep) = (None, 1, None, None);
    let (mut table, mut program, mut operator) = (false, None, String::new());
    let mut in_virtual_time = false;
    let mut overrides = Overrides::default();
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(name) if named.is_none() && name == "counts" => return counts(arguments),
            Value(name) if named.is_none() && name == "soak" => return soak(arguments),
            Value(name) if named.is_none() => named = Some(name.to_string_lossy().into_owned()),
            Long("seed") => seed = arguments.value()?.parse()?,
            Long("json") => json = Some(PathBuf::from(arguments.value()?)),
            Long("keep") => keep = Some(PathBuf::from(arguments.value()?)),
            Long("table") => table = true,
            Long("virtual") => in_virtual_time = true,
            Long("program") => program = Some(PathBuf::from(arguments.value()?)),
            Long("operator") => {
                let path = PathBuf::from(arguments.value()?);
                operator =
                    std::fs::read_to_string(&path).with_context(|| path.display().to_string())?;
            }
            Long("servers") => overrides.servers = Some(arguments.value()?.parse()?),
            Long("instances") => overrides.instances = Some(arguments.value()?.parse()?),
            Long("rate") => overrides.rate = Some(arguments.value()?.parse()?),
            Long("roster") => overrides.roster = Some(arguments.value()?.parse()?),
            Long("seconds") => overrides.seconds = Some(arguments.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let named = named.context("fleet takes a scenario")?;
    let shipped = SHIPPED
        .iter()
        .find(|(name, _)| *name == named)
        .map(|(_, text)| (*text).to_owned());
    let text = match shipped {
        Some(text) => text,
        None => std::fs::read_to_string(&named).with_context(|| named.clone())?,
    };
    let scenario = Scenario::parse_with(&text, &overrides, seed).with_context(|| named.clone())?;
    // What the command line names goes before what the scenario says.
    let operator = if operator.is_empty() {
        scenario.operator.clone()
    } else {
        operator
    };
    let program = program
        .map_or_else(std::env::current_exe, Ok)
        .context("this program")?;
    let temporary =
        || std::env::temp_dir().join(format!("saffronpaddle-fleet-{}", std::process::id()));
    let (kept, folder) = (keep.is_some(), keep.unwrap_or_else(temporary));
    let options = Options {
        program,
        seed,
        folder,
        operator,
        say: true,
        log_level: "info",
        preload: None,
    };
    let report = if in_virtual_time {
        saffronpaddle_fleet_harness::room::look(&scenario)?;
        saffronpaddle_fleet_harness::virtually::play(scenario, seed, &options.operator)?
    } else {
        saffronpaddle_fleet_harness::run(scenario, &options, kept)?
    };
    if let Some(path) = json {
        std::fs::write(&path, format!("{:#}\n", report.json()))
            .with_context(|| path.display().to_string())?;
    }
    if table {
        print!("{}", report.table());
    }
    println!("{report}");
    Ok(if report.good() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
