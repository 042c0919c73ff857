//! `saffronpaddle fleet soak`: runs fleets with random faults that overlap, one seed after another.

use anyhow::Result;
use lexopt::prelude::*;
use saffronpaddle_fleet_harness::soak::{self, Plan, Size};
use saffronpaddle_fleet_harness::Options;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `fleet soak`.
struct SoakArguments {
    first_seed: u64,
    runs: u64,
    size: Size,
    /// Whether to shrink a plan that fails, by leaving out faults.
    shrink: bool,
    /// The program that instances run.
    program: PathBuf,
    /// Folder in which the logs of failed seeds are kept.
    folder: PathBuf,
    /// Whether to keep the logs of seeds that pass, too.
    keep_passed: bool,
    /// Whether to print the plans of the seeds without playing them.
    only_plan: bool,
    /// Library that is preloaded into the instances and makes system calls fail. If `None`, no library is preloaded.
    preload: Option<PathBuf>,
}

/// Runs the seeds that the arguments select. The exit code is a failure if any of them violated a rule.
///
/// # Errors
/// The arguments are wrong, or a fleet can't be started.
pub fn soak(arguments: lexopt::Parser) -> Result<ExitCode> {
    let arguments = SoakArguments::parse(arguments)?;
    let runs = arguments.runs;
    let seeds = arguments.first_seed..arguments.first_seed + runs;
    if arguments.only_plan {
        for seed in seeds {
            println!("# Seed {seed}\n{}", Plan::draw(seed, arguments.size).text());
        }
        return Ok(ExitCode::SUCCESS);
    }
    let mut failed = 0;
    for seed in seeds {
        if !arguments.run_seed(seed)? {
            failed += 1;
        }
    }
    println!("{failed} of {runs} seeds failed");
    Ok(crate::exit_code(failed == 0))
}

impl SoakArguments {
    fn parse(mut arguments: lexopt::Parser) -> Result<Self> {
        let (mut first_seed, mut runs, mut size, mut shrink) = (1, 1, Size::LONG, true);
        let (mut program, mut preload) = (None, None);
        let (mut keep_passed, mut only_plan) = (false, false);
        let mut folder =
            std::env::temp_dir().join(format!("saffronpaddle-soak-{}", std::process::id()));
        while let Some(argument) = arguments.next()? {
            match argument {
                Long("seed") => first_seed = arguments.value()?.parse()?,
                Long("runs") => runs = arguments.value()?.parse()?,
                Long("short") => size = Size::SHORT,
                Long("program") => program = Some(PathBuf::from(arguments.value()?)),
                Long("keep") => folder = PathBuf::from(arguments.value()?),
                Long("keep-passed") => keep_passed = true,
                Long("plan") => only_plan = true,
                Long("no-shrink") => shrink = false,
                Long("preload") => preload = Some(PathBuf::from(arguments.value()?)),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(SoakArguments {
            first_seed,
            runs,
            size,
            shrink,
            program: crate::instance_program(program)?,
            folder,
            keep_passed,
            only_plan,
            preload,
        })
    }

    fn options(&self, seed: u64, folder: &Path) -> Options {
        Options {
            program: self.program.clone(),
            seed,
            folder: folder.to_owned(),
            operator: String::new(),
            print_steps: false,
            log_level: "debug",
            preload: self.preload.clone(),
        }
    }

    /// Runs one seed and prints its report. Returns whether all rules were kept.
    fn run_seed(&self, seed: u64) -> Result<bool> {
        let folder = self.folder.join(seed.to_string());
        let plan = Plan::draw(seed, self.size);
        let report = soak::play(&plan, &self.options(seed, &folder))?;
        println!("{report}");
        if report.passed() {
            if !self.keep_passed {
                std::fs::remove_dir_all(&folder)?;
            }
            return Ok(true);
        }
        println!("seed {seed} failed; its logs are in {}", folder.display());
        println!("{}", soak::timeline(&report, &folder));
        let smallest = if self.shrink {
            let options = self.options(seed, &self.folder.join("shrinks"));
            soak::shrink(&plan, &report, &options)?
        } else {
            plan
        };
        println!("smallest plan found that fails:\n{}", smallest.text());
        Ok(false)
    }
}
