//! Helpers that the program's tests share: fleets of processes, and the library that makes system calls fail.

use saffronpaddle_fleet_harness::{Options, Report, Scenario};
use saffronpaddle_test_doubles::scripted::program;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};

/// Most fleets that run at the same time in one test program.
const MAX_CONCURRENT_FLEETS: usize = 2;
/// Count of running fleets, and the condition variable that is notified when one ends.
static RUNNING_FLEETS: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A permit to run a fleet; it is released when dropped.
///
/// The limit guards against false violations: with eight fleets of 30 processes side by side on a small machine, the
/// test oracle sees the end of a connection so late that it counts two consecutive attempts as concurrent.
pub struct FleetPermit;

impl FleetPermit {
    /// Blocks until a permit is free.
    pub fn acquire() -> FleetPermit {
        let running = RUNNING_FLEETS
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let wait = RUNNING_FLEETS
            .1
            .wait_while(running, |running| *running >= MAX_CONCURRENT_FLEETS);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        FleetPermit
    }
}

impl Drop for FleetPermit {
    fn drop(&mut self) {
        *RUNNING_FLEETS
            .0
            .lock()
            .unwrap_or_else(PoisonError::into_inner) -= 1;
        RUNNING_FLEETS.1.notify_one();
    }
}

/// Returns the options of a run with random faults.
#[allow(dead_code)]
pub fn soak_options(seed: u64) -> Options {
    let folder =
        std::env::temp_dir().join(format!("saffronpaddle-{}-soak-{seed}", std::process::id()));
    let (operator, log_level, preload) = (
        String::new(),
        "debug",
        Some(failing_calls_library().clone()),
    );
    Options {
        program: program(),
        seed,
        folder,
        operator,
        print_steps: false,
        log_level,
        preload,
    }
}

/// Builds the library that makes system calls fail, once per process, and returns its path.
#[allow(dead_code)]
pub fn failing_calls_library() -> &'static PathBuf {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/failing_calls.c");
        let name = format!("saffronpaddle-{}-failing_calls.so", std::process::id());
        let library = std::env::temp_dir().join(name);
        let mut compiler = Command::new("cc");
        compiler
            .args(["-O1", "-shared", "-fPIC", "-o"])
            .arg(&library)
            .arg(source)
            .arg("-ldl");
        assert!(
            compiler.status().expect("`cc` can be run").success(),
            "the library that makes system calls fail compiles"
        );
        library
    })
}

/// Runs a scenario with instances of the program that was built with this test.
#[allow(dead_code)]
pub fn run_scenario(tag: &str, text: &str) -> Report {
    run_scenario_with_operator(tag, text, "")
}

/// Runs a scenario whose instances have an operator file with the text `operator`.
#[allow(dead_code)]
pub fn run_scenario_with_operator(tag: &str, text: &str, operator: &str) -> Report {
    let scenario = Scenario::parse(text, 1).expect("the scenario is valid");
    let folder =
        std::env::temp_dir().join(format!("saffronpaddle-{}-fleet-{tag}", std::process::id()));
    let operator = operator.to_owned();
    let (log_level, preload) = ("info", None);
    let options = Options {
        program: program(),
        seed: 1,
        folder,
        operator,
        print_steps: false,
        log_level,
        preload,
    };
    let _permit = FleetPermit::acquire();
    let report =
        saffronpaddle_fleet_harness::run(scenario, &options, true).expect("the fleet runs");
    // A failed run keeps its logs for the search for the cause.
    if report.passed() {
        std::fs::remove_dir_all(&options.folder).expect("its folder is removed");
    } else {
        let load = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
        eprintln!(
            "logs in {}; load of the machine: {load}",
            options.folder.display()
        );
    }
    report
}
