//! Samples the facts about the node and its process on which readiness depends.

use crate::node::Node;
use crate::process_usage::{count_descriptors, resident_bytes};
use saffronpaddle_lifecycle::HealthSample;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// 2020-01-01 as Unix time. A system clock that shows an earlier time is wrong.
#[allow(clippy::duration_suboptimal_units)] // Unix time is given in seconds.
const EARLIEST_PLAUSIBLE_TIME: Duration = Duration::from_secs(1_577_836_800);
/// Interval at which open descriptors and memory are counted, as each count reads `/proc`.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Samples the facts on which readiness depends.
pub struct ReadinessSampler {
    node: Rc<Node>,
    /// Limit on open file descriptors.
    descriptor_limit: u64,
    /// Limit on resident memory, in bytes.
    memory_limit: u64,
    /// Unix time and the monotonic clock, both read at the start.
    started_at: (Duration, Instant),
    /// When descriptors and memory were last counted, the open descriptors, and the resident bytes.
    last_count: Option<(Instant, u64, u64)>,
}

impl ReadinessSampler {
    /// Creates a sampler for a node that may open `descriptor_limit` descriptors and use `memory_limit` bytes of
    /// memory.
    pub fn new(node: Rc<Node>, descriptor_limit: usize, memory_limit: usize) -> ReadinessSampler {
        let started_at = (unix_time(), Instant::now());
        ReadinessSampler {
            node,
            descriptor_limit: descriptor_limit as u64,
            memory_limit: memory_limit as u64,
            started_at,
            last_count: None,
        }
    }

    /// The node that is sampled.
    pub fn node(&self) -> &Rc<Node> {
        &self.node
    }

    /// Samples the facts now. `event_loop_lag` is how late the event loop runs this sample.
    pub fn sample(&mut self, event_loop_lag: Duration) -> HealthSample {
        let (_, open_descriptors, memory) = match self.last_count {
            Some(count) if count.0.elapsed() < COUNT_INTERVAL => count,
            _ => *self
                .last_count
                .insert((Instant::now(), count_descriptors(), resident_bytes())),
        };
        let expected = self.started_at.0 + self.started_at.1.elapsed();
        let (reachable_peers, peers) = self.node.reachable_peers();
        HealthSample {
            servers: self.node.ready_servers(),
            endpoint_list_age: self.node.list_age(),
            reachable_peers,
            peers,
            free_descriptors: self.descriptor_limit.saturating_sub(open_descriptors),
            memory,
            memory_limit: self.memory_limit,
            clock_moved: unix_time().abs_diff(expected),
            clock_implausible: self.started_at.0 < EARLIEST_PLAUSIBLE_TIME,
            event_loop_lag,
        }
    }
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
