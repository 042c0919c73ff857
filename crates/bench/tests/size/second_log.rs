//! What a fleet did in each second: the requests, the reasons of rejections, and how long its processes were kept from
//! running. Printed with the result of a test, so that a run that fails shows which decision rejected the requests and
//! whether the machine was busy.

use saffronpaddle_hollow::figures::Snapshot;
use std::collections::BTreeMap;

/// Counters of the policy engine that say why a request was rejected or ended, in the order of the columns.
const REASONS: [&str; 8] = [
    "refused_short",
    "refused_held",
    "refused_thinned",
    "refused_shed",
    "refused_homeless",
    "refused_unsent",
    "refused_spent",
    "refused_too_cold",
];

/// State of the hollow nodes and of the scheduler at one time.
#[derive(Clone, Debug, Default)]
struct Sample {
    offered: u64,
    served: u64,
    reasons: BTreeMap<String, u64>,
    /// Longest delay of an event loop since the sample before, µs.
    max_loop_lag: u64,
    /// Time that the processes have waited for a core so far, ns: of the hollow nodes, and of the real ones.
    run_queue_waits: (u64, u64),
}

/// Samples of a fleet, about one for each second.
#[derive(Debug, Default)]
pub struct SecondLog {
    samples: Vec<Sample>,
}

impl SecondLog {
    /// Adds a sample: the snapshots of the processes of hollow nodes, and the ids of these and of the real nodes.
    pub fn record(&mut self, snapshots: &[Snapshot], hollow: &[u32], real: &[u32]) {
        let waits = |pids: &[u32]| pids.iter().map(|pid| run_queue_wait(*pid)).sum();
        let mut sample = Sample {
            run_queue_waits: (waits(hollow), waits(real)),
            ..Sample::default()
        };
        for snapshot in snapshots {
            sample.offered += snapshot.totals.offered;
            sample.served += snapshot.totals.served;
            for (name, count) in &snapshot.decisions {
                *sample.reasons.entry(name.clone()).or_default() += count;
            }
            let lags = snapshot.loop_lag.iter().map(|(lag, _)| *lag);
            sample.max_loop_lag = sample.max_loop_lag.max(lags.max().unwrap_or(0));
        }
        self.samples.push(sample);
    }

    /// Prints a line for each second. Processes that have ended, and restarted nodes, take their counts with them.
    pub fn print(&self) {
        println!(
            "second offered served {} | longest lag ms | run queue wait ms: hollow, real",
            REASONS.join(" ")
        );
        for (second, pair) in self.samples.windows(2).enumerate() {
            let (before, after) = (&pair[0], &pair[1]);
            let reasons: Vec<String> = REASONS
                .iter()
                .map(|reason| {
                    let count = |sample: &Sample| sample.reasons.get(*reason).copied().unwrap_or(0);
                    count(after).saturating_sub(count(before)).to_string()
                })
                .collect();
            println!(
                "{second} {} {} {} | {} | {} {}",
                after.offered - before.offered,
                after.served - before.served,
                reasons.join(" "),
                after.max_loop_lag / 1_000,
                (after
                    .run_queue_waits
                    .0
                    .saturating_sub(before.run_queue_waits.0))
                    / 1_000_000,
                (after
                    .run_queue_waits
                    .1
                    .saturating_sub(before.run_queue_waits.1))
                    / 1_000_000,
            );
        }
    }
}

/// Time that the main thread of a process has waited for a core so far, ns; 0 where the kernel does not tell
/// (`/proc/PID/schedstat`, second field).
fn run_queue_wait(pid: u32) -> u64 {
    std::fs::read_to_string(format!("/proc/{pid}/schedstat"))
        .ok()
        .and_then(|text| text.split_ascii_whitespace().nth(1)?.parse().ok())
        .unwrap_or(0)
}
