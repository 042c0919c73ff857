//! `saffronpaddle fleet`: plays a scenario and prints the verdict.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_fleet::scenario::SHIPPED;
use saffronpaddle_fleet::{play, Options, Scenario};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

pub fn fleet(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let (mut named, mut seed, mut json, mut keep) = (None, 1, None, None);
    let (mut instances, mut rate, mut seconds, mut roster) = (None, None, None, None);
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(name) if named.is_none() => named = Some(name.to_string_lossy().into_owned()),
            Long("seed") => seed = arguments.value()?.parse()?,
            Long("json") => json = Some(PathBuf::from(arguments.value()?)),
            Long("keep") => keep = Some(PathBuf::from(arguments.value()?)),
            Long("instances") => instances = Some(arguments.value()?.parse::<usize>()?),
            Long("rate") => rate = Some(arguments.value()?.parse::<f64>()?),
            Long("roster") => roster = Some(arguments.value()?.parse::<String>()?),
            Long("seconds") => seconds = Some(arguments.value()?.parse::<u64>()?),
            other => return Err(other.unexpected().into()),
        }
    }
    let named = named.context("fleet takes a scenario")?;
    let shipped = SHIPPED.iter().find(|(name, _)| *name == named).map(|(_, text)| (*text).to_owned());
    let text = match shipped {
        Some(text) => text,
        None => std::fs::read_to_string(&named).with_context(|| named.clone())?,
    };
    let mut table = text.clone();
    // The command line overrules the file's first lines.
    for (key, value) in [
        ("instances", instances.map(|value| value.to_string())),
        ("rate", rate.map(|value| format!("{value:?}"))),
        ("roster", roster.map(|value| format!("{value:?}"))),
        ("duration_ms", seconds.map(|value| (value * 1000).to_string())),
    ] {
        let Some(value) = value else { continue };
        let other = table.lines().filter(|line| !line.trim_start().starts_with(&format!("{key} =")));
        table = format!("{key} = {value}\n{}\n", other.collect::<Vec<_>>().join("\n"));
    }
    let scenario = Scenario::parse(&table, seed).with_context(|| named.clone())?;
    let scenario = Scenario {
        steps: scenario.steps.iter().filter(|step| step.at < scenario.duration).cloned().collect(),
        ..scenario
    };
    let folder = keep
        .clone()
        .unwrap_or_else(|| std::env::temp_dir().join(format!("saffronpaddle-fleet-{}", std::process::id())));
    std::fs::create_dir_all(&folder).with_context(|| folder.display().to_string())?;
    let report = run(scenario, seed, &folder);
    if keep.is_none() {
        // What is left behind harms nobody.
        let _ = std::fs::remove_dir_all(&folder);
    }
    let report = report?;
    if let Some(path) = json {
        std::fs::write(&path, format!("{:#}\n", report.json()))
            .with_context(|| path.display().to_string())?;
    }
    println!("{report}");
    Ok(if report.good() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn run(scenario: Scenario, seed: u64, folder: &Path) -> Result<saffronpaddle_fleet::Report> {
    let program = std::env::current_exe().context("this program")?;
    let options = Options { program, seed, folder: folder.to_owned(), operator: String::new(), say: true };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(play(scenario, &options));
    runtime.shutdown_timeout(Duration::from_secs(1));
    report
}
