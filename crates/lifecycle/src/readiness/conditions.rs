//! The configured readiness conditions, and the measurements that they are checked against.

use std::time::Duration;

/// The readiness conditions. `None` disables a condition.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// How long a starting node waits for a list of app servers from a discovery source; after that, a list from the
    /// configuration is sufficient. Without any list the node is never ready.
    pub list_timeout: Option<Duration>,
    /// The node is not ready if no discovery source has answered for longer than this.
    pub max_list_age: Option<Duration>,
    /// How long a starting node waits for a message from every peer; after that, silent peers count as down.
    pub peers_timeout: Option<Duration>,
    /// Minimum number of free file descriptors.
    pub min_free_descriptors: Option<u64>,
    /// Maximum fraction of the memory limit in use, from 0 to 1.
    pub max_memory_fraction: Option<f64>,
    /// Maximum difference that may build up between the system clock and the monotonic clock.
    pub max_clock_step: Option<Duration>,
    /// Maximum lag of the event loop.
    pub max_event_loop_lag: Option<Duration>,
    /// How long a condition must fail before the node stops being ready. Applies to the conditions that are checked
    /// after start-up.
    pub failure_delay: Duration,
    /// How long a condition that is checked after start-up must hold before the node is ready again. Prevents flapping
    /// as seen by front ends.
    pub recovery_delay: Duration,
}

impl Conditions {
    /// All conditions disabled.
    pub fn none() -> Conditions {
        Conditions {
            list_timeout: None,
            max_list_age: None,
            peers_timeout: None,
            min_free_descriptors: None,
            max_memory_fraction: None,
            max_clock_step: None,
            max_event_loop_lag: None,
            failure_delay: Duration::ZERO,
            recovery_delay: Duration::ZERO,
        }
    }

    /// Whether all conditions are disabled.
    pub fn is_none(&self) -> bool {
        let durations = [
            self.list_timeout,
            self.max_list_age,
            self.peers_timeout,
            self.max_clock_step,
            self.max_event_loop_lag,
        ];
        durations.iter().all(Option::is_none)
            && self.min_free_descriptors.is_none()
            && self.max_memory_fraction.is_none()
    }
}

/// Measurements of the I/O layer at one point in time.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthSample {
    /// Number of ready app servers on the list, from any source.
    pub servers: usize,
    /// Time since a discovery source last answered, including answers without changes; `None` before the first answer.
    pub endpoint_list_age: Option<Duration>,
    /// Number of peers that have sent a message since the process started.
    pub reachable_peers: usize,
    /// Number of all peers, not counting this node.
    pub peers: usize,
    /// Number of file descriptors that the process can still open.
    pub free_descriptors: u64,
    /// Memory in use, in bytes.
    pub memory: u64,
    /// Memory that may be used, in bytes.
    pub memory_limit: u64,
    /// Absolute change of the system clock against the monotonic clock since the process started.
    pub clock_moved: Duration,
    /// Whether the system clock showed a time before this program was written when the node started.
    pub clock_implausible: bool,
    /// Lateness of the latest iteration of the event loop.
    pub event_loop_lag: Duration,
}
