//! A randomized fault soak: a seed draws a fleet, its load and faults that overlap in time; real processes play it, and the
//! ledger of clients, servers and discovery judges.
//!
//! A plan is written as a scenario, so that one that fails can be kept and played again. It is made smaller by leaving out
//! faults for as long as it goes on failing.

use crate::report::Report;
use crate::rig::{self, Options};
use crate::scenario::Scenario;
use anyhow::{Context, Result};
use std::fmt::Write;
use std::path::Path;

/// How large the fleets of a soak are, and how long each plays.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Fewest and most instances.
    pub instances: (usize, usize),
    /// Seconds for which load is offered.
    pub seconds: u64,
    /// Faults that are drawn.
    pub faults: usize,
}

impl Size {
    /// A run that fits into a test.
    pub const SHORT: Size = Size {
        instances: (10, 12),
        seconds: 14,
        faults: 14,
    };
    /// A run of the command.
    pub const LONG: Size = Size {
        instances: (10, 40),
        seconds: 40,
        faults: 40,
    };
}

/// One fleet, its load and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The scenario's lines above its steps.
    header: String,
    /// The lines of each step.
    steps: Vec<String>,
}

/// No fault begins in the first and the last part of a run: all is up, and comes to rest.
const QUIET_MS: (u64, u64) = (1_000, 4_000);
/// How late an answer may be: the usual slack, and the 0.15 s for which a process may be held up by order while it stops.
const ANSWER_SLACK_MS: u64 = 50 + 150;
/// System calls that fail throughout a run, where there is a library that makes them fail.
const FAILING_CALLS: [&str; 4] = [
    "",
    "accept=3,connect=3",
    "recv=3,send=3,short=20",
    "accept=3,connect=3,socket=3,recv=3,send=3,short=10",
];
/// Most runs that are spent on making a plan smaller.
const SHRINK_RUNS: usize = 24;

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, size: Size) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let instances = random.usize(size.instances.0..=size.instances.1);
        let servers = random.usize(instances..=2 * instances);
        let rate = (instances * random.usize(6..=10)).min(300);
        let times = [0.3, 1.0, 3.0][random.usize(0..3)];
        let sockets = [256, 1024][random.usize(0..2)];
        let lateness = random.u64(0..=500);
        let leaves = [0.0, 0.1][random.usize(0..2)];
        let calls = FAILING_CALLS[random.usize(0..FAILING_CALLS.len())];
        let mut header =
            format!("name = \"soak-{seed}\"\ninstances = {instances}\nservers = {servers}\n");
        // Writing to a string does not fail.
        let _ = write!(
            header,
            "customers = {}\nrate = {rate}\nduration_ms = {}\noperated = false\nhanded_over = false\n\
             deadline_times = {times}\nsockets = {sockets}\nlateness_ms = {lateness}\nleave_share = {leaves}\n\
             failing_calls = \"{calls}\"\nanswer_slack_ms = {ANSWER_SLACK_MS}\n",
            instances * 5,
            size.seconds * 1000,
        );
        let (from, to) = (QUIET_MS.0, size.seconds * 1000 - QUIET_MS.1);
        let mut steps = Vec::new();
        for _ in 0..size.faults {
            let at = random.u64(from..to);
            draw_fault(&mut random, at, (instances, servers), &mut steps);
        }
        Plan { header, steps }
    }

    /// The plan as a scenario's text.
    pub fn text(&self) -> String {
        let mut text = self.header.clone();
        for step in &self.steps {
            // Writing to a string does not fail.
            let _ = write!(text, "\n[[step]]\n{step}");
        }
        text
    }

    /// The same without some of its faults.
    fn without(&self, from: usize, count: usize) -> Plan {
        let steps = self
            .steps
            .iter()
            .enumerate()
            .filter(|(place, _)| !(from..from + count).contains(place));
        Plan {
            header: self.header.clone(),
            steps: steps.map(|(_, step)| step.clone()).collect(),
        }
    }
}

/// Draws one fault; some bring others with them that overlap.
fn draw_fault(
    random: &mut fastrand::Rng,
    at: u64,
    counts: (usize, usize),
    steps: &mut Vec<String>,
) {
    let (instances, servers) = counts;
    let (instance, server) = (random.usize(..instances), random.usize(..servers));
    let lasts = random.u64(300..4_000);
    let step = |kind: &str, more: &str| format!("do = \"{kind}\"\nat_ms = {at}\n{more}");
    let of_instance = |more: &str| format!("who = {instance}\n{more}");
    let of_server = |more: &str| format!("who = {server}\nfor_ms = {lasts}\n{more}");
    match random.u32(0..21) {
        0..=4 => {
            let back_after = random.u64(0..1_500);
            let mut more = of_instance(&format!("for_ms = {back_after}\n"));
            if random.bool() {
                // Writing to a string does not fail.
                let _ = writeln!(more, "held_up_at_ms = {}", random.u64(0..3_600));
            }
            steps.push(step("terminate", &more));
            if random.bool() {
                let count = random.usize(servers.div_ceil(4)..=servers.div_ceil(2));
                let hang = format!("count = {count}\nfor_ms = {}\n", random.u64(2_000..6_000));
                steps.push(step("silent", &hang));
            }
        }
        5 => steps.push(step(
            "kill",
            &of_instance(&format!("for_ms = {}\n", random.u64(50..1_500))),
        )),
        6 => steps.push(step(
            "kill-early",
            &of_instance(&format!("for_ms = {}\n", random.u64(20..400))),
        )),
        7 => steps.push(step(
            "pause",
            &of_instance(&format!("for_ms = {}\n", random.u64(150..5_000))),
        )),
        8 => {
            for later in [0, 30, 90] {
                let at = at + later;
                steps.push(format!("do = \"reload\"\nat_ms = {at}\nwho = {instance}\n"));
            }
        }
        9 => steps.push(step("silent", &of_server(""))),
        10 => steps.push(step("resets", &of_server("share = 0.3\n"))),
        11 => steps.push(step("errors", &of_server("share = 0.3\n"))),
        12 => steps.push(step("crash", &of_server(""))),
        13 => steps.push(step("drain", &of_server(""))),
        14 => steps.push(step("flip", &of_server(""))),
        15 => steps.push(step("undiscovered", &format!("for_ms = {lasts}\n"))),
        16 => steps.push(step("list-down", &format!("for_ms = {lasts}\n"))),
        17 => {
            let loss = "loss = 0.2\ndelay_ms = 300\n";
            steps.push(step("link", &format!("for_ms = {lasts}\n{loss}")));
        }
        18 => {
            let half: Vec<String> = (0..instances / 2).map(|node| format!("n{node}")).collect();
            let one_way = random.bool();
            let from = half.join(",");
            let more = format!(
                "for_ms = {lasts}\nfrom = \"{from}\"\nstalled = true\none_way = {one_way}\n"
            );
            steps.push(step("link", &more));
        }
        19 => {
            let fault = ["stalled = true", "reset = true", "loss = 0.5"][random.usize(0..3)];
            let nodes = format!("n{instance}");
            steps.push(step(
                "link",
                &format!("for_ms = {lasts}\nfrom = \"{nodes}\"\nto = \"list\"\n{fault}\n"),
            ));
        }
        _ => {
            let times = 1.5 + 2.0 * random.f64();
            steps.push(step(
                "slow",
                &format!("for_ms = {lasts}\ntimes = {times:.2}\n"),
            ));
        }
    }
}

/// Plays a plan; its folder stays, for its logs.
///
/// # Errors
/// The rig could not be set up.
pub fn play(plan: &Plan, options: &Options) -> Result<Report> {
    let scenario = Scenario::parse(&plan.text(), options.seed).context("a drawn plan")?;
    rig::run(scenario, options, true)
}

/// Makes a plan that fails smaller, by leaving out faults while it still breaks one of the same rules.
///
/// # Errors
/// The rig could not be set up.
pub fn shrink(plan: &Plan, report: &Report, options: &Options) -> Result<Plan> {
    let (mut plan, mut runs) = (plan.clone(), 0);
    let mut count = plan.steps.len().div_ceil(2);
    loop {
        let mut from = 0;
        while from < plan.steps.len() && runs < SHRINK_RUNS {
            let smaller = plan.without(from, count);
            runs += 1;
            if fails_alike(report, &play(&smaller, options)?) {
                plan = smaller;
            } else {
                from += count;
            }
        }
        if count <= 1 || runs >= SHRINK_RUNS {
            return Ok(plan);
        }
        count = count.div_ceil(2);
    }
}

/// Whether two runs break a rule of the same kind, or both have faults of their processes.
fn fails_alike(one: &Report, other: &Report) -> bool {
    let kinds = other.kinds();
    let same_rule = one.kinds().keys().any(|kind| kinds.contains_key(kind));
    same_rule || (!one.faults.is_empty() && !other.faults.is_empty())
}

/// Requests whose way through the logs is told.
const TOLD_MOST: usize = 3;
/// Lines of each that are told.
const LINES_MOST: usize = 60;

/// The way of the first requests that broke a rule through all logs of a run, and what processes said of their ends.
pub fn timeline(report: &Report, folder: &Path) -> String {
    let mut told = String::new();
    for breach in report.verdict.breaches.iter().take(TOLD_MOST) {
        // Writing to a string does not fail.
        let _ = writeln!(told, "{breach:?}");
        let shown = format!("{breach:?}");
        let id = shown
            .split('"')
            .nth(1)
            .and_then(|line| line.split([' ', ':']).next())
            .unwrap_or_default();
        let mut lines = lines_with(folder, id);
        lines.sort();
        lines
            .iter()
            .take(LINES_MOST)
            .for_each(|line| told.push_str(line));
    }
    told
}

/// The lines of a folder's logs that name a request, each with the instance's log in front.
fn lines_with(folder: &Path, id: &str) -> Vec<String> {
    let mut found = Vec::new();
    let Ok(files) = std::fs::read_dir(folder) else {
        return found;
    };
    for file in files
        .flatten()
        .filter(|file| file.path().extension().is_some_and(|end| end == "log"))
    {
        let text = std::fs::read(file.path()).unwrap_or_default();
        let name = file.file_name().to_string_lossy().into_owned();
        let text = String::from_utf8_lossy(&text).into_owned();
        let of_it = text
            .lines()
            .filter(|line| !id.is_empty() && line.contains(id));
        found.extend(of_it.map(|line| format!("  {line} ({name})\n")));
    }
    found
}
