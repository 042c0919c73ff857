//! What the program's tests share.

use saffronpaddle_fleet::{Options, Report, Scenario};
use saffronpaddle_standins::scripted::program;

/// Plays a scenario with instances of the program that stands beside this test.
pub fn fleet(tag: &str, text: &str) -> Report {
    let scenario = Scenario::parse(text, 1).expect("a good scenario");
    let folder = std::env::temp_dir().join(format!("saffronpaddle-{}-fleet-{tag}", std::process::id()));
    let options = Options { program: program(), seed: 1, folder, operator: String::new(), say: false };
    saffronpaddle_fleet::run(scenario, &options, false).expect("it is played")
}
