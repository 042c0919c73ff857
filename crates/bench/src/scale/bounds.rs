//! What a run may take of the machine. All of it is looked at before anything is started.

use anyhow::{bail, ensure, Result};
use nix::sys::resource::{getrlimit, Resource};
use std::time::Duration;

/// What the fleet of one point is.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Nodes that the fleet's settings name.
    pub nodes: usize,
    /// The first of them that run, real ones among them; 0 for all. The others take no words, and no tries come through them.
    pub present: usize,
    /// Processes of the program among them.
    pub real: usize,
    /// App servers on the list.
    pub servers: usize,
    /// Tenants.
    pub tenants: usize,
    /// Tries a node and second.
    pub tries: f64,
    /// Changes of the list a second.
    pub changes: f64,
    /// Share of the hollow nodes that is restarted.
    pub restart: f64,
    /// Nodes that a tenant's tries come through at the least; 0 for all.
    pub spread: usize,
    /// Exponent of the tenants' demands.
    pub skew: f64,
    /// How long each of the two looks takes, s.
    pub seconds: u64,
}

/// Least and most of each figure.
const NODES: (usize, usize) = (1, 2_700);
const REAL: (usize, usize) = (0, 8);
const SERVERS: (usize, usize) = (1, 100_000);
const TENANTS: (usize, usize) = (1, 1_000_000);
const TRIES: (f64, f64) = (0.0, 1_000.0);
const CHANGES: (f64, f64) = (0.0, 1_000.0);
const SHARE: (f64, f64) = (0.0, 1.0);
const SKEW: (f64, f64) = (0.0, 2.0);
const SECONDS: (u64, u64) = (1, 60);
/// The longest that one point, and that all of them, may take.
pub const POINT: Duration = Duration::from_secs(90);
pub const ALL: Duration = Duration::from_secs(590);
/// Hollow processes at the most.
const PROCESSES: usize = 6;
/// Nodes times servers for which one more is worth while, and the servers that each counts with at the least. Danger: nodes
/// that wait for one another in one loop, as no processes would.
const A_LOOP: (usize, usize) = (15_000, 200);
/// Tries a second of all nodes of one loop, above which one more process is worth while: about half of a core.
const A_LOOP_TRIES: f64 = 1_500.0;
/// How long is waited after a change of load, where a look is short, and else.
const SETTLES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(1_500));
/// A look of so many seconds is short.
const SHORT: u64 = 2;
/// Bytes of one node at the most, from the first measurements and half as much again: by itself, for each server, for each
/// peer, for each tenant whose tries it may see.
const NODE: f64 = 500e3;
const A_SERVER: f64 = 3_500.0;
const A_PEER: f64 = 120.0;
const A_TENANT: f64 = 600.0;
/// What the run itself takes, and for each of its processes.
const RUN: f64 = 400e6;
const A_PROCESS: f64 = 30e6;
/// Descriptors of a run beside those of its nodes.
const DESCRIPTORS: usize = 1_000;

fn within<T: PartialOrd + std::fmt::Display>(
    name: &str,
    of: T,
    (least, most): (T, T),
) -> Result<()> {
    ensure!(
        of >= least && of <= most,
        "{name} {of} is not from {least} to {most}"
    );
    Ok(())
}

impl Point {
    /// Nodes that run.
    pub fn running(&self) -> usize {
        if self.present == 0 {
            self.nodes
        } else {
            self.present
        }
    }

    /// Hollow nodes that run.
    pub fn hollow(&self) -> usize {
        self.running().saturating_sub(self.real)
    }

    /// Hollow processes.
    pub fn processes(&self) -> usize {
        let hollow = self.hollow();
        let by_size = (hollow * self.servers.max(A_LOOP.1)).div_ceil(A_LOOP.0);
        let by_tries = (hollow as f64 * self.tries / A_LOOP_TRIES).ceil() as usize;
        by_size.max(by_tries).min(PROCESSES).min(hollow)
    }

    /// Between what is started or ended and the next look, so that its beginning is not measured.
    pub fn settles(&self) -> Duration {
        if self.seconds <= SHORT {
            SETTLES.0
        } else {
            SETTLES.1
        }
    }

    /// The least that it takes: two looks, and what settles before them and after.
    pub fn least(&self) -> Duration {
        2 * Duration::from_secs(self.seconds) + 3 * self.settles()
    }

    /// Bytes that it takes at the most, as reckoned.
    pub fn bytes(&self) -> f64 {
        let seen = (self.tries * 3.0 * self.seconds as f64).min(self.tenants as f64);
        let node = NODE
            + self.servers as f64 * A_SERVER
            + self.nodes as f64 * A_PEER
            + (seen + self.tenants as f64 / self.running() as f64) * A_TENANT;
        let table = if self.spread == 0 {
            0.0
        } else {
            self.tenants as f64 * 16.0
        };
        RUN + self.processes() as f64 * (A_PROCESS + 16.0 * self.tenants as f64 + table)
            + self.running() as f64 * node
    }

    /// Whether the machine bears it.
    ///
    /// # Errors
    /// What is out of range, or does not fit, in one line.
    pub fn check(&self) -> Result<()> {
        within("nodes", self.nodes, NODES)?;
        within("real", self.real, REAL)?;
        ensure!(
            self.present <= self.nodes,
            "present {} is more than nodes {}",
            self.present,
            self.nodes
        );
        ensure!(
            self.real <= self.running(),
            "real {} is more than nodes {}",
            self.real,
            self.running()
        );
        within("servers", self.servers, SERVERS)?;
        within("tenants", self.tenants, TENANTS)?;
        within("tries", self.tries, TRIES)?;
        within("changes", self.changes, CHANGES)?;
        within("restart", self.restart, SHARE)?;
        within("spread", self.spread, (0, self.running()))?;
        within("skew", self.skew, SKEW)?;
        within("seconds", self.seconds, SECONDS)?;
        let least = self.least();
        ensure!(
            least < POINT,
            "two looks of {} s take {least:?}; a point may take {POINT:?}",
            self.seconds
        );
        let (all, free) = machine()?;
        let (needed, most) = (self.bytes(), (all / 2.0).min(free));
        if needed > most {
            bail!(
                "{} nodes with {} servers and {} tenants need about {:.1} GB; {:.1} GB may be used here",
                self.running(),
                self.servers,
                self.tenants,
                needed / 1e9,
                most / 1e9
            );
        }
        let (descriptors, _) = getrlimit(Resource::RLIMIT_NOFILE)?;
        // A watch of each node at the service, and twice that while calls go out beside one another.
        let needed = 3 * self.nodes + DESCRIPTORS;
        ensure!(
            needed as u64 <= descriptors,
            "{needed} descriptors are needed; this process may have {descriptors}"
        );
        Ok(())
    }
}

/// Bytes of memory of this machine, and those of them that are free (`proc(5)`, `meminfo`).
fn machine() -> Result<(f64, f64)> {
    let text = std::fs::read_to_string("/proc/meminfo")?;
    let kilobytes = |name: &str| {
        let line = text.lines().find_map(|line| line.strip_prefix(name))?;
        line.split_whitespace().next()?.parse::<f64>().ok()
    };
    let (Some(all), Some(free)) = (kilobytes("MemTotal:"), kilobytes("MemAvailable:")) else {
        bail!("/proc/meminfo does not say how much memory there is");
    };
    Ok((all * 1024.0, free * 1024.0))
}
