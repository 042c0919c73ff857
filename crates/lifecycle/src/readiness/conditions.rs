//! The conditions of readiness as configured, and the observations that they are checked against.

use std::time::Duration;

/// What readiness depends on. `None` leaves a condition out.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// How long the start waits for a list of app servers from a discovery source; after that a list from the
    /// configuration will do. Without any list the node is never ready.
    pub list_within: Option<Duration>,
    /// The node is not ready once all discovery sources have been silent for longer.
    pub list_stale_after: Option<Duration>,
    /// How long the start waits to hear from every peer; after that the silent ones count as down.
    pub peers_within: Option<Duration>,
    /// The fewest free file descriptors.
    pub free_descriptors: Option<u64>,
    /// The largest fraction of the memory limit in use, from 0 to 1.
    pub memory_share: Option<f64>,
    /// The farthest that the system clock may move against the monotonic clock.
    pub clock_step: Option<Duration>,
    /// The largest lag of the event loop.
    pub lag: Option<Duration>,
    /// How long a condition must fail before readiness is lost. Applies to the conditions that are checked in service.
    pub lose_after: Duration,
    /// How long such a condition must hold again before readiness is back, so that front ends see no flapping.
    pub regain_after: Duration,
}

impl Conditions {
    /// No condition at all.
    pub fn none() -> Conditions {
        Conditions {
            list_within: None,
            list_stale_after: None,
            peers_within: None,
            free_descriptors: None,
            memory_share: None,
            clock_step: None,
            lag: None,
            lose_after: Duration::ZERO,
            regain_after: Duration::ZERO,
        }
    }

    /// Whether there is no condition.
    pub fn is_none(&self) -> bool {
        let spans = [
            self.list_within,
            self.list_stale_after,
            self.peers_within,
            self.clock_step,
            self.lag,
        ];
        spans.iter().all(Option::is_none)
            && self.free_descriptors.is_none()
            && self.memory_share.is_none()
    }
}

/// What the I/O layer observes. All spans end now.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// Ready app servers on the list, from any source.
    pub servers: usize,
    /// Time since a discovery source last answered, even if only that nothing changed; `None` if none has yet.
    pub endpoint_list_age: Option<Duration>,
    /// Peers that were heard from since the process started.
    pub reachable_peers: usize,
    /// All peers, without this node.
    pub peers: usize,
    /// File descriptors that could still be opened.
    pub free_descriptors: u64,
    /// Memory in use, in bytes.
    pub memory: u64,
    /// Memory that may be used, in bytes.
    pub memory_limit: u64,
    /// How far the system clock has moved against the monotonic clock since the start, in either direction.
    pub clock_moved: Duration,
    /// Whether the system clock showed an impossible time when the node started.
    pub clock_implausible: bool,
    /// How late the event loop came round last.
    pub event_loop_lag: Duration,
}
