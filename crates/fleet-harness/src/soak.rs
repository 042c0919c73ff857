//! Randomized fault tests: a seed draws a fleet, its load and faults that overlap in time. Real processes run it, and
//! the oracle checks it.
//!
//! A plan is written as a scenario, so that a failing one can be kept and replayed. It is shrunk by leaving out faults
//! while it still fails.

use crate::harness::{self, Options};
use crate::report::Report;
use crate::scenario::Scenario;
use anyhow::{Context, Result};
use std::fmt::Write;
use std::path::Path;

/// Size and duration of a soak's fleets.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Fewest and most instances.
    pub instances: (usize, usize),
    /// Duration of the load, in seconds.
    pub seconds: u64,
    /// Number of faults that are drawn.
    pub faults: usize,
}

impl Size {
    /// Size of the soaks that tests run.
    pub const SHORT: Size = Size {
        instances: (10, 12),
        seconds: 14,
        faults: 14,
    };
    /// Size that `fleet soak` uses by default.
    pub const LONG: Size = Size {
        instances: (10, 40),
        seconds: 40,
        faults: 40,
    };
}

/// A fleet, its load and its faults.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The scenario's lines above its steps.
    header: String,
    /// The lines of each step.
    steps: Vec<String>,
}

/// Times at the start and at the end of a run, ms, in which no fault begins, so that all instances are ready before
/// the first fault and the fleet can recover after the last.
const FAULT_FREE_MS: (u64, u64) = (1_000, 4_000);
/// How much later than the deadline an answer may arrive, ms: the default slack of 50 ms and the 150 ms for which the
/// platform may stall a stopping process.
const ANSWER_SLACK_MS: u64 = 50 + 150;
/// System calls that fail throughout a run if a library that makes them fail is preloaded.
const FAILING_CALLS: [&str; 4] = [
    "",
    "accept=3,connect=3",
    "recv=3,send=3,short=20",
    "accept=3,connect=3,socket=3,recv=3,send=3,short=10",
];
/// One run in this many has idle clients that use up the connections of one instance.
const RUNS_PER_IDLE_CLIENTS: u32 = 3;
/// One run in this many has a list whose servers change between ready and draining again and again.
const RUNS_PER_FLAPPING_LIST: u32 = 4;
/// Changes of a flapping list.
const FLAPS: u64 = 10;
/// Intervals between the changes of a flapping list, ms.
const FLAP_INTERVALS_MS: [u64; 3] = [100, 200, 400];
/// Fewest and most clients that connect to an instance before SIGTERM and send their request until the kill.
const OPEN_CLIENTS: std::ops::RangeInclusive<usize> = 6..=24;
/// Most runs that [`shrink`] makes.
const MAX_SHRINK_RUNS: usize = 24;

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, size: Size) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed);
        let instances = random.usize(size.instances.0..=size.instances.1);
        let servers = random.usize(instances..=2 * instances);
        let rate = (instances * random.usize(6..=10)).min(300);
        let deadline_factor = [0.3, 1.0, 3.0][random.usize(0..3)];
        let sockets = [256, 1024][random.usize(0..2)];
        let discovery_delay_ms = random.u64(0..=500);
        let cancellation_share = [0.0, 0.1][random.usize(0..2)];
        let failing_calls = FAILING_CALLS[random.usize(0..FAILING_CALLS.len())];
        let mut header =
            format!("name = \"soak-{seed}\"\ninstances = {instances}\nservers = {servers}\n");
        // Writing to a string does not fail.
        let _ = write!(
            header,
            "customers = {}\nrate = {rate}\nduration_ms = {}\noperated = false\nhanded_over = false\n\
             deadline_times = {deadline_factor}\nsockets = {sockets}\nlateness_ms = {discovery_delay_ms}\nleave_share = {cancellation_share}\n\
             failing_calls = \"{failing_calls}\"\nanswer_slack_ms = {ANSWER_SLACK_MS}\n",
            instances * 5,
            size.seconds * 1000,
        );
        let (from, to) = (FAULT_FREE_MS.0, size.seconds * 1000 - FAULT_FREE_MS.1);
        let mut steps = Vec::new();
        for _ in 0..size.faults {
            let at_ms = random.u64(from..to);
            draw_fault(&mut random, at_ms, (instances, servers), &mut steps);
        }
        if random.u32(0..RUNS_PER_IDLE_CLIENTS) == 0 {
            let at_ms = random.u64(from..to);
            draw_idle_clients(&mut random, at_ms, instances, &mut steps);
        }
        if random.u32(0..RUNS_PER_FLAPPING_LIST) == 0 {
            let longest_ms = FLAPS * FLAP_INTERVALS_MS[FLAP_INTERVALS_MS.len() - 1];
            let at_ms = random.u64(from..to - longest_ms);
            draw_flapping_list(&mut random, at_ms, servers, &mut steps);
        }
        Plan { header, steps }
    }

    /// The plan as the text of a scenario.
    pub fn text(&self) -> String {
        let mut text = self.header.clone();
        for step in &self.steps {
            // Writing to a string does not fail.
            let _ = write!(text, "\n[[step]]\n{step}");
        }
        text
    }

    /// The plan without `count` of its faults.
    fn without(&self, from: usize, count: usize) -> Plan {
        let steps = self
            .steps
            .iter()
            .enumerate()
            .filter(|(index, _)| !(from..from + count).contains(index));
        Plan {
            header: self.header.clone(),
            steps: steps.map(|(_, step)| step.clone()).collect(),
        }
    }
}

/// Draws one fault. Some kinds add further faults that overlap with the first.
fn draw_fault(
    random: &mut fastrand::Rng,
    at_ms: u64,
    counts: (usize, usize),
    steps: &mut Vec<String>,
) {
    let (instances, servers) = counts;
    let (instance, server) = (random.usize(..instances), random.usize(..servers));
    let duration_ms = random.u64(300..4_000);
    let step = |kind: &str, extra: &str| format!("do = \"{kind}\"\nat_ms = {at_ms}\n{extra}");
    let on_instance = |extra: &str| format!("who = {instance}\n{extra}");
    let on_server = |extra: &str| format!("who = {server}\nfor_ms = {duration_ms}\n{extra}");
    match random.u32(0..21) {
        0..=4 => {
            let termination = draw_termination(random);
            steps.push(step("terminate", &on_instance(&termination)));
            if random.bool() {
                let count = random.usize(servers.div_ceil(4)..=servers.div_ceil(2));
                let silent_servers =
                    format!("count = {count}\nfor_ms = {}\n", random.u64(2_000..6_000));
                steps.push(step("silent", &silent_servers));
            }
        }
        5 => steps.push(step(
            "kill",
            &on_instance(&format!("for_ms = {}\n", random.u64(50..1_500))),
        )),
        6 => steps.push(step(
            "kill-early",
            &on_instance(&format!("for_ms = {}\n", random.u64(20..400))),
        )),
        7 => steps.push(step(
            "pause",
            &on_instance(&format!("for_ms = {}\n", random.u64(150..5_000))),
        )),
        8 => {
            for later_ms in [0, 30, 90] {
                let at_ms = at_ms + later_ms;
                steps.push(format!(
                    "do = \"reload\"\nat_ms = {at_ms}\nwho = {instance}\n"
                ));
            }
        }
        9 => steps.push(step("silent", &on_server(""))),
        10 => steps.push(step("resets", &on_server("share = 0.3\n"))),
        11 => steps.push(step("errors", &on_server("share = 0.3\n"))),
        12 => steps.push(step("crash", &on_server(""))),
        13 => steps.push(step("drain", &on_server(""))),
        14 => steps.push(step("flip", &on_server(""))),
        15 => steps.push(step("undiscovered", &format!("for_ms = {duration_ms}\n"))),
        16 => steps.push(step("list-down", &format!("for_ms = {duration_ms}\n"))),
        17 => {
            let loss = "loss = 0.2\ndelay_ms = 300\n";
            steps.push(step("link", &format!("for_ms = {duration_ms}\n{loss}")));
        }
        18 => {
            let half: Vec<String> = (0..instances / 2).map(|node| format!("n{node}")).collect();
            let one_way = random.bool();
            let from = half.join(",");
            let extra = format!(
                "for_ms = {duration_ms}\nfrom = \"{from}\"\nstalled = true\none_way = {one_way}\n"
            );
            steps.push(step("link", &extra));
        }
        19 => {
            let fault = ["stalled = true", "reset = true", "loss = 0.5"][random.usize(0..3)];
            let nodes = format!("n{instance}");
            steps.push(step(
                "link",
                &format!("for_ms = {duration_ms}\nfrom = \"{nodes}\"\nto = \"list\"\n{fault}\n"),
            ));
        }
        _ => {
            let factor = 1.5 + 2.0 * random.f64();
            steps.push(step(
                "slow",
                &format!("for_ms = {duration_ms}\ntimes = {factor:.2}\n"),
            ));
        }
    }
}

/// Draws how an instance is terminated: its clients use their open connections until the kill, further signals come
/// before and after SIGTERM, and the platform may stall the process.
fn draw_termination(random: &mut fastrand::Rng) -> String {
    let restart_delay = random.u64(0..1_500);
    let open_clients = random.usize(OPEN_CLIENTS);
    let mut lines =
        format!("for_ms = {restart_delay}\nopen_clients = {open_clients}\nuntil_kill = true\n");
    let signals = [
        ("held_up_at_ms", 3_600),
        ("reload_before_ms", 150),
        ("reload_after_ms", 1_000),
        ("repeated_after_ms", 1_500),
    ];
    for (key, latest_ms) in signals {
        if random.bool() {
            // Writing to a string does not fail.
            let _ = writeln!(lines, "{key} = {}", random.u64(0..latest_ms));
        }
    }
    lines
}

/// Draws idle clients that hold more connections to an instance than it may. In half of the cases the instance
/// is terminated meanwhile.
fn draw_idle_clients(
    random: &mut fastrand::Rng,
    at_ms: u64,
    instances: usize,
    steps: &mut Vec<String>,
) {
    let instance = random.usize(..instances);
    let duration_ms = random.u64(3_000..8_000);
    steps.push(format!(
        "do = \"crowd\"\nat_ms = {at_ms}\nwho = {instance}\nfor_ms = {duration_ms}\n"
    ));
    if random.bool() {
        let at_ms = at_ms + random.u64(500..3_000);
        let termination = draw_termination(random);
        steps.push(format!(
            "do = \"terminate\"\nat_ms = {at_ms}\nwho = {instance}\n{termination}"
        ));
    }
}

/// Draws a list that flaps: a part of the servers is listed as draining for half of each interval.
fn draw_flapping_list(
    random: &mut fastrand::Rng,
    at_ms: u64,
    servers: usize,
    steps: &mut Vec<String>,
) {
    let count = random.usize(servers.div_ceil(4)..=(3 * servers).div_ceil(4));
    let interval_ms = FLAP_INTERVALS_MS[random.usize(..FLAP_INTERVALS_MS.len())];
    for flap in 0..FLAPS {
        let at_ms = at_ms + flap * interval_ms;
        let duration_ms = interval_ms / 2;
        steps.push(format!(
            "do = \"flip\"\nat_ms = {at_ms}\ncount = {count}\nfor_ms = {duration_ms}\n"
        ));
    }
}

/// Plays a plan and keeps the folder of `options` with the logs.
///
/// # Errors
/// The harness could not be set up.
pub fn play(plan: &Plan, options: &Options) -> Result<Report> {
    let scenario = Scenario::parse(&plan.text(), options.seed).context("parsing a drawn plan")?;
    harness::run(scenario, options, true)
}

/// Shrinks a failing plan: leaves out faults as long as the run still fails in the same way as `report`.
///
/// # Errors
/// The harness could not be set up.
pub fn shrink(plan: &Plan, report: &Report, options: &Options) -> Result<Plan> {
    let (mut plan, mut runs) = (plan.clone(), 0);
    let mut count = plan.steps.len().div_ceil(2);
    loop {
        let mut from = 0;
        while from < plan.steps.len() && runs < MAX_SHRINK_RUNS {
            let smaller = plan.without(from, count);
            runs += 1;
            if fails_the_same_way(report, &play(&smaller, options)?) {
                plan = smaller;
            } else {
                from += count;
            }
        }
        if count <= 1 || runs >= MAX_SHRINK_RUNS {
            return Ok(plan);
        }
        count = count.div_ceil(2);
    }
}

/// Whether two runs break a rule of the same kind, or instances failed in both.
fn fails_the_same_way(one: &Report, other: &Report) -> bool {
    let kinds = other.breaches_by_kind();
    let same_rule = one
        .breaches_by_kind()
        .keys()
        .any(|kind| kinds.contains_key(kind));
    same_rule || (!one.faults.is_empty() && !other.faults.is_empty())
}

/// Most breaches that [`timeline`] shows.
const MAX_BREACHES_SHOWN: usize = 3;
/// Most log lines that [`timeline`] shows per breach.
const MAX_LINES_PER_REQUEST: usize = 60;

/// The first breaches of a run, each followed by the log lines of all instances about its request.
pub fn timeline(report: &Report, folder: &Path) -> String {
    let mut timeline = String::new();
    for breach in report.verdict.breaches.iter().take(MAX_BREACHES_SHOWN) {
        // Writing to a string does not fail.
        let _ = writeln!(timeline, "{breach:?}");
        let shown = format!("{breach:?}");
        let id = shown
            .split('"')
            .nth(1)
            .and_then(|line| line.split([' ', ':']).next())
            .unwrap_or_default();
        let mut lines = log_lines_with(folder, id);
        lines.sort();
        lines
            .iter()
            .take(MAX_LINES_PER_REQUEST)
            .for_each(|line| timeline.push_str(line));
    }
    timeline
}

/// The lines of a folder's logs that contain a request's id, each followed by the name of its log.
fn log_lines_with(folder: &Path, id: &str) -> Vec<String> {
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
        let matching = text
            .lines()
            .filter(|line| !id.is_empty() && line.contains(id));
        found.extend(matching.map(|line| format!("  {line} ({name})\n")));
    }
    found
}
