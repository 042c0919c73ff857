//! What readiness depends on, as it is sampled on this machine.

use crate::node::Node;
use saffronpaddle_lifecycle::Facts;
use std::fs;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock that shows an earlier time is wrong: 2020-01-01, Unix time.
#[allow(clippy::duration_suboptimal_units)] // A Unix time.
const EARLIEST_PLAUSIBLE_TIME: Duration = Duration::from_secs(1_577_836_800);
/// Descriptors and memory are counted again after so long: each takes a read of `/proc`.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Samples what readiness depends on.
pub struct ReadinessSampler {
    node: Rc<Node>,
    sockets: u64,
    memory_limit: u64,
    /// Unix time and the steady clock at one moment.
    began: (Duration, Instant),
    counted: Option<(Instant, u64, u64)>,
}

impl ReadinessSampler {
    /// A sampler for a node that may use so many descriptors, and so many bytes of memory.
    pub fn new(node: Rc<Node>, sockets: usize, memory: usize) -> ReadinessSampler {
        let began = (unix(), Instant::now());
        ReadinessSampler {
            node,
            sockets: sockets as u64,
            memory_limit: memory as u64,
            began,
            counted: None,
        }
    }

    /// The node that is sampled.
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// A sample of now, in a loop that is so late.
    pub fn sample(&mut self, lag: Duration) -> Facts {
        let (_, open, memory) = match self.counted {
            Some(counted) if counted.0.elapsed() < COUNT_INTERVAL => counted,
            _ => *self
                .counted
                .insert((Instant::now(), descriptors(), resident())),
        };
        let expected = self.began.0 + self.began.1.elapsed();
        let (reachable_peers, peers) = self.node.reachable_peers();
        Facts {
            servers: self.node.ready(),
            endpoint_list_age: self.node.list_age(),
            reachable_peers,
            peers,
            free_descriptors: self.sockets.saturating_sub(open),
            memory,
            memory_limit: self.memory_limit,
            clock_moved: unix().abs_diff(expected),
            clock_implausible: self.began.0 < EARLIEST_PLAUSIBLE_TIME,
            event_loop_lag: lag,
        }
    }
}

fn unix() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

/// Descriptors that are open; 0 where the system does not report it.
fn descriptors() -> u64 {
    // The folder's size is their number (`proc(5)`, since Linux 6.2; 0 before). Listing 20,000 of them twice a second
    // would take 2% of a core.
    match fs::metadata("/proc/self/fd").map_or(0, |folder| folder.len()) {
        0 => listed_descriptors(),
        open => open,
    }
}

fn listed_descriptors() -> u64 {
    // Listing them takes one.
    fs::read_dir("/proc/self/fd").map_or(0, |list| (list.count() as u64).saturating_sub(1))
}

/// Bytes of memory in use; 0 where the system does not report it.
fn resident() -> u64 {
    // In pages, the second figure (`proc(5)`, statm).
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * page_size()
}

fn page_size() -> u64 {
    nix::unistd::sysconf(nix::unistd::SysconfVar::PAGE_SIZE)
        .ok()
        .flatten()
        .map_or(4096, |size| size as u64)
}

#[cfg(test)]
mod tests;
