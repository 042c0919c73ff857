//! `saffronpaddle fleet`: runs a scenario on a local fleet and prints the report.

use crate::{log_counts, soak};
use anyhow::{Context, Result};
use lexopt::prelude::*;
use saffronpaddle_fleet_harness::scenario::SHIPPED;
use saffronpaddle_fleet_harness::{room, virtually, Options, Overrides, Report, Scenario};
use std::path::PathBuf;
use std::process::ExitCode;

/// The command that the arguments of `fleet` select.
enum Command {
    Counts(lexopt::Parser),
    Soak(lexopt::Parser),
    Scenario(Box<ScenarioArguments>),
}

/// Arguments of a scenario's run.
struct ScenarioArguments {
    /// Path of a scenario file, or name of a built-in scenario.
    scenario: String,
    seed: u64,
    /// File to which the report is written as JSON.
    json: Option<PathBuf>,
    /// Folder in which configurations and logs are kept. If `None`, a temporary folder is used.
    output_folder: Option<PathBuf>,
    /// Whether to print a table with a row for each second.
    print_table: bool,
    in_virtual_time: bool,
    /// The program that instances run. If `None`, this program.
    program: Option<PathBuf>,
    /// Text of the instances' operator file. If empty, that of the scenario is used.
    operator: String,
    overrides: Overrides,
}

/// Runs a scenario, `fleet counts` or `fleet soak`.
///
/// # Errors
/// The arguments or the scenario are wrong, or the fleet can't be started.
pub fn fleet(arguments: lexopt::Parser) -> Result<ExitCode> {
    match parse(arguments)? {
        Command::Counts(arguments) => log_counts::log_counts(arguments),
        Command::Soak(arguments) => soak::soak(arguments),
        Command::Scenario(arguments) => run_scenario(*arguments),
    }
}

fn parse(mut arguments: lexopt::Parser) -> Result<Command> {
    let (mut scenario, mut seed, mut json, mut output_folder) = (None, 1, None, None);
    let (mut print_table, mut program, mut operator) = (false, None, String::new());
    let mut in_virtual_time = false;
    let mut overrides = Overrides::default();
    while let Some(argument) = arguments.next()? {
        match argument {
            Value(name) if scenario.is_none() => match name.to_str() {
                Some("counts") => return Ok(Command::Counts(arguments)),
                Some("soak") => return Ok(Command::Soak(arguments)),
                _ => scenario = Some(name.to_string_lossy().into_owned()),
            },
            Long("seed") => seed = arguments.value()?.parse()?,
            Long("json") => json = Some(PathBuf::from(arguments.value()?)),
            Long("keep") => output_folder = Some(PathBuf::from(arguments.value()?)),
            Long("table") => print_table = true,
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
            Long("roster") => overrides.endpoint_source = Some(arguments.value()?.parse()?),
            Long("seconds") => overrides.seconds = Some(arguments.value()?.parse()?),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Command::Scenario(Box::new(ScenarioArguments {
        scenario: scenario.context("fleet: expected SCENARIO")?,
        seed,
        json,
        output_folder,
        print_table,
        in_virtual_time,
        program,
        operator,
        overrides,
    })))
}

fn run_scenario(arguments: ScenarioArguments) -> Result<ExitCode> {
    let scenario = read_scenario(&arguments)?;
    let (json, print_table) = (arguments.json.clone(), arguments.print_table);
    let report = play(scenario, arguments)?;
    if let Some(path) = json {
        std::fs::write(&path, format!("{:#}\n", report.json()))
            .with_context(|| path.display().to_string())?;
    }
    if print_table {
        print!("{}", report.table());
    }
    println!("{report}");
    Ok(crate::exit_code(report.passed()))
}

fn read_scenario(arguments: &ScenarioArguments) -> Result<Scenario> {
    let name = &arguments.scenario;
    let built_in = SHIPPED
        .iter()
        .find(|(built_in_name, _)| built_in_name == name)
        .map(|(_, text)| (*text).to_owned());
    let text = match built_in {
        Some(text) => text,
        None => std::fs::read_to_string(name).with_context(|| name.clone())?,
    };
    Scenario::parse_with(&text, &arguments.overrides, arguments.seed).with_context(|| name.clone())
}

fn play(scenario: Scenario, arguments: ScenarioArguments) -> Result<Report> {
    // The command line's operator file takes precedence over the scenario's.
    let operator = if arguments.operator.is_empty() {
        scenario.operator.clone()
    } else {
        arguments.operator
    };
    let program = crate::instance_program(arguments.program)?;
    if arguments.in_virtual_time {
        room::check_memory(&scenario)?;
        return virtually::play(scenario, arguments.seed, &operator);
    }
    let temporary_folder =
        || std::env::temp_dir().join(format!("saffronpaddle-fleet-{}", std::process::id()));
    let keep_folder = arguments.output_folder.is_some();
    let options = Options {
        program,
        seed: arguments.seed,
        folder: arguments.output_folder.unwrap_or_else(temporary_folder),
        operator,
        print_steps: true,
        log_level: "info",
        preload: None,
    };
    saffronpaddle_fleet_harness::run(scenario, &options, keep_folder)
}
