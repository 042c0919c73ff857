//! The result of a run, as text and as JSON.

use crate::stall_watch::Stall;
use crate::windows::{SideWindows, WindowCounts};
use saffronpaddle_test_doubles::discovery::CallStats;
use saffronpaddle_test_doubles::load::LoadCounts;
use saffronpaddle_test_doubles::oracle::{Breach, Verdict};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Figures of one instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceReport {
    /// Number of processes that were started.
    pub processes: u64,
    /// Time from exec to ready of each process, ms.
    pub ready_ms: Vec<f64>,
    /// Resident memory when the first process became ready, MB.
    pub memory_idle_mb: f64,
    /// Highest resident memory seen, MB.
    pub memory_peak_mb: f64,
    /// CPU seconds of all its processes.
    pub cpu_s: f64,
    /// Datagrams sent per second.
    pub sent_s: f64,
    /// Datagrams received per second.
    pub received_s: f64,
}

/// The result of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed that drew what the scenario leaves open.
    pub seed: u64,
    /// Seconds from the start of the load until the last client ended; in virtual time, the duration of the load.
    pub seconds: f64,
    /// The oracle's verdict.
    pub verdict: Verdict,
    /// Counts of the load generator.
    pub counts: LoadCounts,
    /// Figures of each instance.
    pub instances: Vec<InstanceReport>,
    /// Work that the servers could have done while load was offered, in seconds.
    pub available_work_s: f64,
    /// How long load was offered, in whole seconds.
    pub offered_s: usize,
    /// Counts of each second, by side.
    pub windows: Vec<SideWindows>,
    /// Calls on the list service.
    pub list: CallStats,
    /// For each app server, the times of its new connections and its number of requests.
    pub handshakes_and_requests: Vec<(Vec<Duration>, usize)>,
    /// Peer datagrams above the allowed length.
    pub oversized_datagrams: u64,
    /// Bytes of all peer datagrams.
    pub peer_bytes: u64,
    /// Number of processes that were started.
    pub processes: u64,
    /// Reloads that instances reported with `RELOADING=1`.
    pub reloads: u64,
    /// Counters of the policy engines, summed over all nodes. Only in virtual time; empty otherwise.
    pub decision_counters: Vec<(&'static str, u64)>,
    /// Served requests of each class. Only in virtual time; empty otherwise.
    pub served_by_class: Vec<u64>,
    /// The longest delay of the harness itself, counted from the start of the load; `None` in virtual time.
    pub longest_stall: Option<Stall>,
    /// Instances that crashed, did not become ready or did not end, one line each.
    pub faults: Vec<String>,
}

impl Report {
    /// Whether no rule was broken, no instance failed to start or stop, and no peer datagram was too long.
    pub fn passed(&self) -> bool {
        self.verdict.breaches.is_empty() && self.faults.is_empty() && self.oversized_datagrams == 0
    }

    /// Restarted processes that were ready within [`RESTART_READY_LIMIT_MS`], and all restarted processes.
    pub fn restarts_ready_in_time(&self) -> (usize, usize) {
        let restarts = |instance: &InstanceReport| instance.processes.saturating_sub(1) as usize;
        let ready_in_time = |instance: &InstanceReport| {
            instance
                .ready_ms
                .iter()
                .rev()
                .take(restarts(instance))
                .filter(|ms| **ms <= RESTART_READY_LIMIT_MS)
                .count()
        };
        (
            self.instances.iter().map(ready_in_time).sum(),
            self.instances.iter().map(restarts).sum(),
        )
    }

    /// Number of breaches of each kind.
    pub fn breaches_by_kind(&self) -> BTreeMap<String, usize> {
        let mut kinds = BTreeMap::new();
        for breach in &self.verdict.breaches {
            let name = format!("{breach:?}");
            *kinds
                .entry(name.split('(').next().unwrap_or_default().to_owned())
                .or_default() += 1;
        }
        kinds
    }

    /// Seconds of work of the requests that were sent while load was offered and were served.
    pub fn served_work_s(&self) -> f64 {
        self.totals_between("all", 0, self.offered_s).served_work
    }

    /// Most calls on the list service within one second, from the start of the first instance on.
    pub fn max_list_calls_per_second(&self) -> usize {
        most_in_a_second(&self.list.times)
    }

    /// Most new connections to one app server within one second.
    pub fn max_handshakes_per_second(&self) -> usize {
        self.handshakes_and_requests
            .iter()
            .map(|(at, _)| most_in_a_second(at))
            .max()
            .unwrap_or(0)
    }

    /// Times at which nodes received their first list, in ms since the first call, sorted.
    pub fn first_list_times_ms(&self) -> Vec<f64> {
        let first = self.list.times.iter().min().copied().unwrap_or_default();
        let mut all: Vec<f64> = self
            .list
            .first_answers
            .values()
            .map(|at| at.saturating_sub(first).as_secs_f64() * 1e3)
            .collect();
        all.sort_by(f64::total_cmp);
        all
    }

    /// Sums the counts from second `from_s` to second `to_s` of the load on one side; "all" is the entire fleet.
    pub fn totals_between(&self, side: &str, from_s: usize, to_s: usize) -> WindowCounts {
        let windows = self.windows.iter().find(|windows| windows.side == side);
        let seconds = windows.map_or(&[][..], |windows| &windows.seconds);
        seconds
            .iter()
            .take(to_s)
            .skip(from_s)
            .fold(WindowCounts::default(), WindowCounts::plus)
    }

    /// The counts of each second as a text table, by side.
    pub fn table(&self) -> String {
        crate::windows::table(&self.windows)
    }

    fn sorted_ready_ms(&self) -> Vec<f64> {
        let mut all: Vec<f64> = self
            .instances
            .iter()
            .flat_map(|instance| instance.ready_ms.iter().copied())
            .collect();
        all.sort_by(f64::total_cmp);
        all
    }

    fn mean(&self, of: impl Fn(&InstanceReport) -> f64) -> f64 {
        self.instances.iter().map(of).sum::<f64>() / self.instances.len().max(1) as f64
    }

    /// CPU time of all instances per request, µs.
    pub fn cpu_us_per_request(&self) -> f64 {
        self.instances
            .iter()
            .map(|instance| instance.cpu_s)
            .sum::<f64>()
            * 1e6
            / (self.verdict.requests.max(1) as f64)
    }

    /// The complete report as JSON.
    pub fn json(&self) -> Value {
        let verdict = &self.verdict;
        let breaches: Vec<String> = verdict
            .breaches
            .iter()
            .map(|breach| format!("{breach:?}"))
            .collect();
        let ready = self.sorted_ready_ms();
        json!({
            "scenario": self.scenario, "seed": self.seed, "seconds": self.seconds, "good": self.passed(),
            "instances": self.instances.len(), "processes": self.processes, "reloads": self.reloads,
            "tries": verdict.requests, "served": verdict.served, "refused": verdict.refused, "failed": verdict.failed,
            "killed": verdict.killed, "paused": verdict.paused, "not_taken": verdict.not_accepted, "lost": verdict.lost,
            "attempts": verdict.attempts, "after_drain": verdict.attempts_after_drain,
            "after_drain_most_ms": verdict.attempts_after_drain_max_ms, "drains": verdict.drains,
            "drain_median_ms": verdict.drain_median_ms, "effects": verdict.effects,
            "keys_repeated": verdict.duplicated_keys, "cold_worst": verdict.cold_load_max,
            "cold_crowded": verdict.cold_mean_load_max, "left": verdict.disconnected,
            "left_unsent": verdict.disconnected_before_attempt,
            "after_leave": verdict.attempts_after_disconnect, "shut": verdict.nodes_rejecting_all,
            "unserving": verdict.processes_never_serving,
            "unanswered": verdict.unanswered(), "restarted": self.restarts_ready_in_time(),
            "beyond_quota": verdict.share_beyond_quota, "ceiling_over_most": verdict.ceiling_excess_max,
            "unasked": verdict.unsolicited_attempts, "breaches": breaches, "faults": self.faults,
            "refused_connections": self.counts.refused_connections, "resent": self.counts.resent,
            "retries": self.counts.retries, "nobody": self.counts.no_ready_node,
            "p50_ms": self.counts.p50_ms, "p99_ms": self.counts.p99_ms,
            "ready_ms": {"first": ready.first(), "last": ready.last(), "median": ready.get(ready.len() / 2)},
            "memory_idle_mb": self.mean(|instance| instance.memory_idle_mb),
            "memory_most_mb": self.instances.iter().map(|instance| instance.memory_peak_mb).fold(0.0, f64::max),
            "cpu_us_per_try": self.cpu_us_per_request(), "cpu_s_per_instance": self.mean(|instance| instance.cpu_s),
            "cpu_share_per_instance": self.mean(|instance| instance.cpu_s) / self.seconds.max(0.001),
            "peer_sent_s": self.mean(|instance| instance.sent_s), "peer_received_s": self.mean(|instance| instance.received_s),
            "peer_received_s_most": self.instances.iter().map(|instance| instance.received_s).fold(0.0, f64::max),
            "peer_bytes": self.peer_bytes, "peer_too_long": self.oversized_datagrams,
            "could_s": self.available_work_s, "served_s": self.served_work_s(),
            "list": {
                "calls": self.list.times.len(), "calls_most_s": self.max_list_calls_per_second(),
                "bytes": self.list.list_bytes,
                "open_most": self.list.max_open_watches, "turned_away": self.list.rejected,
                "first_ms": percentiles(&self.first_list_times_ms(), &[0.5, 0.99]),
            },
            "servers": {
                "handshakes": self.handshakes_and_requests.iter().map(|(at, _)| at.len()).sum::<usize>(),
                "handshakes_most_s": self.max_handshakes_per_second(),
                "requests": self.handshakes_and_requests.iter().map(|(_, requests)| requests).collect::<Vec<_>>(),
            },
            "decided": self.decision_counters.iter().map(|(name, count)| json!([name, count])).collect::<Vec<_>>(),
            "windows": self.windows.iter().map(SideWindows::json).collect::<Vec<_>>(),
        })
    }
}

/// Longest time from exec to ready, ms, for which [`Report::restarts_ready_in_time`] counts a restarted process as ready
/// in time.
pub const RESTART_READY_LIMIT_MS: f64 = 10_000.0;

/// Highest number of the given times that lie within one second.
fn most_in_a_second(times: &[Duration]) -> usize {
    let mut times = times.to_vec();
    times.sort();
    let mut first = 0;
    let mut most = 0;
    for (index, moment) in times.iter().enumerate() {
        while times[first] + Duration::from_secs(1) <= *moment {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// The percentiles of sorted values, given as shares from 0 to 1; 0 if there are none.
pub(crate) fn percentiles(sorted: &[f64], shares: &[f64]) -> Vec<f64> {
    let index = |share: f64| (sorted.len() as f64 * share) as usize;
    shares
        .iter()
        .map(|share| sorted.get(index(*share)).copied().unwrap_or(0.0))
        .collect()
}

/// Maximum number of breaches that the text shows individually.
const MAX_BREACHES_SHOWN: usize = 10;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = &self.verdict;
        let ready = self.sorted_ready_ms();
        let ready_percentiles = percentiles(&ready, &[0.0, 0.5]);
        writeln!(
            f,
            "{} (seed {}): {} instances, {} processes, {} reloads, {:.0} s",
            self.scenario,
            self.seed,
            self.instances.len(),
            self.processes,
            self.reloads,
            self.seconds
        )?;
        writeln!(
            f,
            "requests {}: served {}, refused {}, failed {}; unanswered by a killed instance {}, by a paused one {}; lost {}",
            verdict.requests, verdict.served, verdict.refused, verdict.failed, verdict.killed, verdict.paused, verdict.lost
        )?;
        writeln!(
            f,
            "attempts {}; effects of keyed requests {}, keys with more than one {}; drain notifications {}: {} attempts after them, latest after {:.1} ms, median over drains {:.1} ms",
            verdict.attempts, verdict.effects, verdict.duplicated_keys, verdict.drains, verdict.attempts_after_drain,
            verdict.attempts_after_drain_max_ms, verdict.drain_median_ms
        )?;
        writeln!(
            f,
            "highest load of a cold server {:.2} of what overloads it; {:.3} of the units beyond quotas; ceilings exceeded by at most {:.1} units",
            verdict.cold_load_max, verdict.share_beyond_quota, verdict.ceiling_excess_max
        )?;
        writeln!(
            f,
            "most requests at a cold server {:.2} of N + 2 sqrt(N) + 2; clients that disconnected {}, before the first attempt {}; attempts after a disconnection {}",
            verdict.cold_mean_load_max, verdict.disconnected, verdict.disconnected_before_attempt,
            verdict.attempts_after_disconnect
        )?;
        let (ready_in_time, restarts) = self.restarts_ready_in_time();
        writeln!(
            f,
            "unanswered {}; processes that served no request {}; nodes that rejected all requests for 4 s {}; restarted processes {restarts}, ready within 10 s {ready_in_time}",
            verdict.unanswered(), verdict.processes_never_serving, verdict.nodes_rejecting_all
        )?;
        writeln!(
            f,
            "load generator: {} connections refused, {} requests without a ready node, {} resent, {} retries; time to a served response: median {:.0} ms, p99 {:.0} ms",
            self.counts.refused_connections, self.counts.no_ready_node, self.counts.resent, self.counts.retries,
            self.counts.p50_ms, self.counts.p99_ms
        )?;
        if let Some(stall) = self.longest_stall {
            writeln!(
                f,
                "harness: itself late by at most {:.0} ms, {:.2} s after the start of the load",
                stall.length.as_secs_f64() * 1e3,
                stall.ended_at.as_secs_f64()
            )?;
        }
        writeln!(
            f,
            "instances: ready in {:.0} to {:.0} ms, median {:.0} ms; memory {:.1} MB idle; CPU {:.0} µs per request, {:.4} of a core per instance",
            ready_percentiles[0], ready.last().copied().unwrap_or(0.0), ready_percentiles[1], self.mean(|instance| instance.memory_idle_mb),
            self.cpu_us_per_request(), self.mean(|instance| instance.cpu_s) / self.seconds.max(0.001)
        )?;
        writeln!(
            f,
            "peers: each instance sends {:.1} and receives {:.1} datagrams per second (at most {:.1}; the limit is 60)",
            self.mean(|instance| instance.sent_s),
            self.mean(|instance| instance.received_s),
            self.instances.iter().map(|instance| instance.received_s).fold(0.0, f64::max)
        )?;
        let first = percentiles(&self.first_list_times_ms(), &[0.5, 0.99]);
        writeln!(
            f,
            "list service: {} calls, at most {} in a second, {} bytes, at most {} open watches, {} calls rejected; first list after a median of {:.0} ms, p99 {:.0} ms",
            self.list.times.len(), self.max_list_calls_per_second(), self.list.list_bytes, self.list.max_open_watches,
            self.list.rejected, first[0], first[1]
        )?;
        writeln!(
            f,
            "servers: {:.1} s of work served of {:.1} s available: {:.2}; {} handshakes, at most {} in a second at one server",
            self.served_work_s(), self.available_work_s, self.served_work_s() / self.available_work_s.max(1e-9),
            self.handshakes_and_requests.iter().map(|(at, _)| at.len()).sum::<usize>(), self.max_handshakes_per_second()
        )?;
        let all = self.totals_between("all", 0, usize::MAX);
        writeln!(
            f,
            "refused within the customer's limits: {} of {} requests: {:.3}",
            all.refused_within_limits,
            all.requests,
            all.refused_within_limits as f64 / all.requests.max(1) as f64
        )?;
        let decision_counters: Vec<String> = self
            .decision_counters
            .iter()
            .map(|(name, count)| format!("{name}={count}"))
            .collect();
        if !decision_counters.is_empty() {
            writeln!(f, "decision counters: {}", decision_counters.join(" "))?;
        }
        for (kind, count) in self.breaches_by_kind() {
            writeln!(f, "BROKEN {kind}: {count}")?;
        }
        let shown = |breach: &&Breach| format!("  {breach:?}");
        for line in verdict
            .breaches
            .iter()
            .take(MAX_BREACHES_SHOWN)
            .map(|breach| shown(&breach))
        {
            writeln!(f, "{line}")?;
        }
        for fault in &self.faults {
            writeln!(f, "FAULT {fault}")?;
        }
        write!(
            f,
            "{}",
            if self.passed() {
                "rules kept"
            } else {
                "RULES BROKEN"
            }
        )
    }
}
