//! What the program's tests share.

use saffronpaddle_fleet::{Options, Report, Scenario};
use saffronpaddle_standins::scripted::program;

/// Plays a scenario with instances of the program that stands beside this test.
#[allow(dead_code)]
pub fn fleet(tag: &str, text: &str) -> Report {
    fleet_with(tag, text, "")
}

/// The same with an operator file.
pub fn fleet_with(tag: &str, text: &str, operator: &str) -> Report {
    let scenario = Scenario::parse(text, 1).expect("a good scenario");
    let folder = std::env::temp_dir().join(format!("saffronpaddle-{}-fleet-{tag}", std::process::id()));
    let options = Options { program: program(), seed: 1, folder, operator: operator.to_owned(), say: false };
    saffronpaddle_fleet::run(scenario, &options, false).expect("it is played")
}
