//! Limits of a run's parameters, time, memory and descriptors. They are checked before the run starts anything.

use anyhow::{bail, ensure, Result};
use nix::sys::resource::{getrlimit, Resource};
use std::time::Duration;

/// The fleet and load of one point of a sweep.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Nodes that the fleet's settings name.
    pub nodes: usize,
    /// Number of nodes that run, real ones included; 0 for all. The remaining nodes receive neither datagrams nor
    /// requests.
    pub present: usize,
    /// Running nodes that are processes of the program.
    pub real: usize,
    /// App servers on the list.
    pub servers: usize,
    /// Customers that send requests.
    pub tenants: usize,
    /// Requests/s to each node.
    pub tries: f64,
    /// Changes of the list, 1/s.
    pub changes: f64,
    /// Share of the hollow nodes that are restarted.
    pub restart: f64,
    /// Minimum number of nodes that a tenant sends its requests to; 0 for all.
    pub spread: usize,
    /// Exponent of Zipf's law for the tenants' demands.
    pub skew: f64,
    /// Duration of each of the two measurement windows (idle and loaded), s.
    pub seconds: u64,
}

/// Minimum and maximum of [`Point::nodes`].
const NODES_RANGE: (usize, usize) = (1, 2_700);
/// Minimum and maximum of [`Point::real`].
const REAL_RANGE: (usize, usize) = (0, 8);
/// Minimum and maximum of [`Point::servers`].
const SERVERS_RANGE: (usize, usize) = (1, 100_000);
/// Minimum and maximum of [`Point::tenants`].
const TENANTS_RANGE: (usize, usize) = (1, 1_000_000);
/// Minimum and maximum of [`Point::tries`], requests/s.
const TRIES_RANGE: (f64, f64) = (0.0, 1_000.0);
/// Minimum and maximum of [`Point::changes`], 1/s.
const CHANGES_RANGE: (f64, f64) = (0.0, 1_000.0);
/// Minimum and maximum of [`Point::restart`].
const SHARE_RANGE: (f64, f64) = (0.0, 1.0);
/// Minimum and maximum of [`Point::skew`].
const SKEW_RANGE: (f64, f64) = (0.0, 2.0);
/// Minimum and maximum of [`Point::seconds`], s.
const SECONDS_RANGE: (u64, u64) = (1, 60);
/// Longest duration of one point.
pub const MAX_POINT_TIME: Duration = Duration::from_secs(90);
/// Longest duration of all points of a run.
pub const MAX_RUN_TIME: Duration = Duration::from_secs(590);
/// Most processes of hollow nodes.
const MAX_PROCESSES: usize = 6;
/// Largest product of nodes and servers for one process of hollow nodes, and the minimum number of servers that counts in
/// this product. Beyond it, nodes in one event loop would delay one another, which nodes in separate processes do
/// not.
const NODE_SERVERS_PER_PROCESS: (usize, usize) = (15_000, 200);
/// Most requests/s for one process of hollow nodes, which take about half of a core.
const REQUEST_RATE_PER_PROCESS: f64 = 1_500.0;
/// Time between a change of load and the next window: for short windows, and for others.
const SETTLE_TIMES: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(1_500));
/// Longest window that counts as short, s.
const SHORT_WINDOW_S: u64 = 2;
/// Estimated memory of one node without servers, peers and tenants, bytes. This estimate and the following three include
/// a reserve of half as much again.
const NODE_BYTES: f64 = 500e3;
/// Estimated memory of one node for each server, bytes.
const BYTES_PER_SERVER: f64 = 3_500.0;
/// Estimated memory of one node for each peer, bytes.
const BYTES_PER_PEER: f64 = 120.0;
/// Estimated memory of one node for each tenant that sends it requests, bytes.
const BYTES_PER_TENANT: f64 = 600.0;
/// Estimated memory of the run itself, bytes.
const RUN_BYTES: f64 = 400e6;
/// Estimated memory of each process of hollow nodes without its nodes, bytes.
const PROCESS_BYTES: f64 = 30e6;
/// Descriptors that a run needs beside those of its nodes.
const BASE_DESCRIPTORS: usize = 1_000;

fn check_range<T: PartialOrd + std::fmt::Display>(
    name: &str,
    value: T,
    (min, max): (T, T),
) -> Result<()> {
    ensure!(
        value >= min && value <= max,
        "{name} {value} is not from {min} to {max}"
    );
    Ok(())
}

impl Point {
    /// Number of nodes that run, real and hollow.
    pub fn running_nodes(&self) -> usize {
        if self.present == 0 {
            self.nodes
        } else {
            self.present
        }
    }

    /// Number of hollow nodes that run.
    pub fn hollow_nodes(&self) -> usize {
        self.running_nodes().saturating_sub(self.real)
    }

    /// Number of processes that the hollow nodes are spread over.
    pub fn hollow_processes(&self) -> usize {
        let hollow = self.hollow_nodes();
        let by_size = (hollow * self.servers.max(NODE_SERVERS_PER_PROCESS.1))
            .div_ceil(NODE_SERVERS_PER_PROCESS.0);
        let by_request_rate =
            (hollow as f64 * self.tries / REQUEST_RATE_PER_PROCESS).ceil() as usize;
        by_size.max(by_request_rate).min(MAX_PROCESSES).min(hollow)
    }

    /// Time between a change of load and the next window, so that start-up effects are not measured.
    pub fn settle_time(&self) -> Duration {
        if self.seconds <= SHORT_WINDOW_S {
            SETTLE_TIMES.0
        } else {
            SETTLE_TIMES.1
        }
    }

    /// Shortest duration of the point: two windows, and the settle time before, between and after them.
    pub fn min_duration(&self) -> Duration {
        2 * Duration::from_secs(self.seconds) + 3 * self.settle_time()
    }

    /// Estimate of the memory that the point needs at most, bytes.
    pub fn estimated_bytes(&self) -> f64 {
        let active_tenants = (self.tries * 3.0 * self.seconds as f64).min(self.tenants as f64);
        let node = NODE_BYTES
            + self.servers as f64 * BYTES_PER_SERVER
            + self.nodes as f64 * BYTES_PER_PEER
            + (active_tenants + self.tenants as f64 / self.running_nodes() as f64)
                * BYTES_PER_TENANT;
        let sampler_bytes = if self.spread == 0 {
            0.0
        } else {
            self.tenants as f64 * 16.0
        };
        RUN_BYTES
            + self.hollow_processes() as f64
                * (PROCESS_BYTES + 16.0 * self.tenants as f64 + sampler_bytes)
            + self.running_nodes() as f64 * node
    }

    /// Checks the parameters and the resources of this machine.
    ///
    /// # Errors
    /// Fails with one line on the parameter that is out of range or the resource that is too small.
    pub fn check(&self) -> Result<()> {
        check_range("nodes", self.nodes, NODES_RANGE)?;
        check_range("real", self.real, REAL_RANGE)?;
        ensure!(
            self.present <= self.nodes,
            "present {} is more than nodes {}",
            self.present,
            self.nodes
        );
        ensure!(
            self.real <= self.running_nodes(),
            "real {} is more than nodes {}",
            self.real,
            self.running_nodes()
        );
        check_range("servers", self.servers, SERVERS_RANGE)?;
        check_range("tenants", self.tenants, TENANTS_RANGE)?;
        check_range("tries", self.tries, TRIES_RANGE)?;
        check_range("changes", self.changes, CHANGES_RANGE)?;
        check_range("restart", self.restart, SHARE_RANGE)?;
        check_range("spread", self.spread, (0, self.running_nodes()))?;
        check_range("skew", self.skew, SKEW_RANGE)?;
        check_range("seconds", self.seconds, SECONDS_RANGE)?;
        let duration = self.min_duration();
        ensure!(
            duration < MAX_POINT_TIME,
            "two windows of {} s take {duration:?}; a point may take {MAX_POINT_TIME:?}",
            self.seconds
        );
        let (total, available) = machine_memory()?;
        let (needed, usable) = (self.estimated_bytes(), (total / 2.0).min(available));
        if needed > usable {
            bail!(
                "{} nodes with {} servers and {} tenants need about {:.1} GB; {:.1} GB may be used here",
                self.running_nodes(),
                self.servers,
                self.tenants,
                needed / 1e9,
                usable / 1e9
            );
        }
        let (descriptor_limit, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        // The list service holds one watch for each node, and up to three while hedged calls are open.
        let needed = 3 * self.nodes + BASE_DESCRIPTORS;
        ensure!(
            needed as u64 <= descriptor_limit,
            "{needed} descriptors are needed; this process may have {descriptor_limit}"
        );
        Ok(())
    }
}

/// Total and available memory of this machine, bytes (`meminfo`, see `proc(5)`).
fn machine_memory() -> Result<(f64, f64)> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let kilobytes = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    let (Some(total), Some(available)) = (kilobytes("MemTotal:"), kilobytes("MemAvailable:"))
    else {
        bail!("/proc/meminfo has no MemTotal or no MemAvailable");
    };
    Ok((total * 1024.0, available * 1024.0))
}
