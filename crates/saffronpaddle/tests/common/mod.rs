//! What the program's tests share.

use saffronpaddle_fleet_harness::{Options, Report, Scenario};
use saffronpaddle_test_doubles::scripted::program;
use std::path::PathBuf;
use std::process::Command;
use std::sync::{Condvar, Mutex, OnceLock, PoisonError};

/// Fleets that one test program plays at once.
const AT_ONCE: usize = 2;
/// How many play now, and a word when one has ended.
static PLAYING: (Mutex<usize>, Condvar) = (Mutex::new(0), Condvar::new());

/// A place among the fleets that play. Danger: eight fleets of 30 processes beside one another on a small machine, where what the ledger
/// sees of one connection's end comes so late that it takes two attempts one behind the other for two at once.
pub struct Place;

impl Place {
    /// Waits for one.
    pub fn taken() -> Place {
        let playing = PLAYING.0.lock().unwrap_or_else(PoisonError::into_inner);
        let wait = PLAYING.1.wait_while(playing, |playing| *playing >= AT_ONCE);
        *wait.unwrap_or_else(PoisonError::into_inner) += 1;
        Place
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        *PLAYING.0.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        PLAYING.1.notify_one();
    }
}

/// How a randomized run is played.
#[allow(dead_code)]
pub fn soak_options(seed: u64) -> Options {
    let folder =
        std::env::temp_dir().join(format!("saffronpaddle-{}-soak-{seed}", std::process::id()));
    let (operator, log_level, preload) = (String::new(), "debug", Some(shim().clone()));
    Options {
        program: program(),
        seed,
        folder,
        operator,
        say: false,
        log_level,
        preload,
    }
}

/// The library that makes system calls fail, built once.
#[allow(dead_code)]
pub fn shim() -> &'static PathBuf {
    static SHIM: OnceLock<PathBuf> = OnceLock::new();
    SHIM.get_or_init(|| {
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
            compiler.status().expect("a C compiler").success(),
            "the shim builds"
        );
        library
    })
}

/// Plays a scenario with instances of the program that stands beside this test.
#[allow(dead_code)]
pub fn fleet(tag: &str, text: &str) -> Report {
    fleet_with(tag, text, "")
}

/// The same with an operator file.
#[allow(dead_code)]
pub fn fleet_with(tag: &str, text: &str, operator: &str) -> Report {
    let scenario = Scenario::parse(text, 1).expect("a good scenario");
    let folder =
        std::env::temp_dir().join(format!("saffronpaddle-{}-fleet-{tag}", std::process::id()));
    let operator = operator.to_owned();
    let (log_level, preload) = ("info", None);
    let options = Options {
        program: program(),
        seed: 1,
        folder,
        operator,
        say: false,
        log_level,
        preload,
    };
    let _place = Place::taken();
    saffronpaddle_fleet_harness::run(scenario, &options, false).expect("it is played")
}
