//! Growth of the traffic between peers and of each instance's CPU with the fleet: runs the scenario `calm` at three
//! sizes and prints a table.

use anyhow::{Context, Result};
use lexopt::prelude::*;
use std::process::{Command, Stdio};

/// Instances of the measured fleets.
const FLEET_SIZES: [usize; 3] = [3, 10, 30];

/// Runs the subcommand `size`.
pub fn measure(mut arguments: lexopt::Parser) -> Result<()> {
    let mut seconds = 30_u64;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("seconds") => seconds = arguments.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    println!("| instances | datagrams sent, a second each | received | most received | CPU, of a core each | CPU a try, all | idle memory | ready, median |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for size in FLEET_SIZES {
        let file = std::env::temp_dir().join(format!(
            "saffronpaddle-size-{}-{size}.json",
            std::process::id()
        ));
        let mut command = Command::new(crate::program()?);
        command.args([
            "fleet",
            "calm",
            "--instances",
            &size.to_string(),
            "--seconds",
            &seconds.to_string(),
        ]);
        command.arg("--json").arg(&file).stdout(Stdio::null());
        let status = command.status().context("starting the fleet harness")?;
        let text =
            std::fs::read_to_string(&file).context("reading the report of the fleet harness")?;
        let _ = std::fs::remove_file(&file);
        let report: serde_json::Value = serde_json::from_str(&text)?;
        let figure = |key: &str| report[key].as_f64().unwrap_or(f64::NAN);
        println!(
            "| {size} | {:.1} | {:.1} | {:.1} | {:.2}% | {:.0} µs | {:.1} MB | {:.0} ms |{}",
            figure("peer_sent_s"),
            figure("peer_received_s"),
            figure("peer_received_s_most"),
            figure("cpu_share_per_instance") * 100.0,
            figure("cpu_us_per_try"),
            figure("memory_idle_mb"),
            report["ready_ms"]["median"].as_f64().unwrap_or(f64::NAN),
            if status.success() {
                ""
            } else {
                " rules violated"
            }
        );
    }
    Ok(())
}
