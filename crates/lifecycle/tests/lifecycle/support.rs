//! A life cycle with a simulated clock.

use saffronpaddle_lifecycle::*;
use std::time::Duration;

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn limits() -> Limits {
    Limits {
        readiness: Conditions {
            list_timeout: Some(ms(5_000)),
            max_list_age: Some(ms(10_000)),
            peers_timeout: Some(ms(2_000)),
            min_free_descriptors: Some(16),
            max_memory_fraction: Some(0.9),
            max_clock_step: Some(ms(2_000)),
            max_event_loop_lag: Some(ms(1_000)),
            failure_delay: ms(2_000),
            recovery_delay: ms(1_000),
        },
        drain_duration: ms(600),
        close_timeout: ms(3_000),
        reload_timeout: ms(10_000),
    }
}

/// Measurements that satisfy all conditions of [`limits`].
pub fn healthy() -> HealthSample {
    HealthSample {
        servers: 3,
        endpoint_list_age: Some(ms(100)),
        reachable_peers: 2,
        peers: 2,
        free_descriptors: 500,
        memory: 10,
        memory_limit: 100,
        clock_moved: ms(0),
        clock_implausible: false,
        event_loop_lag: ms(1),
    }
}

pub struct TestNode {
    pub lifecycle: Lifecycle,
    pub now: Duration,
}

impl TestNode {
    /// A node that starts at time zero.
    pub fn new() -> TestNode {
        TestNode::with_limits(limits())
    }

    pub fn with_limits(limits: Limits) -> TestNode {
        TestNode {
            lifecycle: Lifecycle::new(limits, ms(0)),
            now: ms(0),
        }
    }

    /// A node that listens and is ready.
    pub fn ready() -> TestNode {
        let mut node = TestNode::new();
        node.send(Event::Listening);
        node.send(Event::Observed(healthy()));
        assert_eq!(node.lifecycle.state(), State::Ready);
        node
    }

    pub fn send(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.lifecycle.handle(self.now, event, &mut out);
        out
    }

    /// Sends a signal to stop that is read without delay.
    pub fn stop(&mut self) -> Vec<Action> {
        let since = self.now;
        self.send(Event::Stop { since })
    }

    /// Sends the same measurements every 100 ms for `duration_ms`.
    pub fn observe_for(&mut self, sample: &HealthSample, duration_ms: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..duration_ms / 100 {
            self.now += ms(100);
            out.extend(self.send(Event::Observed(sample.clone())));
        }
        out
    }

    /// Advances the clock and sends a tick.
    pub fn advance(&mut self, duration_ms: u64) -> Vec<Action> {
        self.now += ms(duration_ms);
        self.send(Event::Tick)
    }
}

/// Counts a message to the service manager among the actions.
pub fn count_messages(out: &[Action], message: &ManagerMessage) -> usize {
    let wanted = Action::NotifyManager(message.clone());
    out.iter().filter(|action| **action == wanted).count()
}

pub fn contains(out: &[Action], action: &Action) -> bool {
    out.contains(action)
}
