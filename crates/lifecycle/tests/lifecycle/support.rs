//! A node's life cycle with a clock that the test moves.

use saffronpaddle_lifecycle::*;
use std::time::Duration;

pub const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

pub fn limits() -> Limits {
    Limits {
        readiness: Conditions {
            list_within: Some(ms(5_000)),
            list_stale_after: Some(ms(10_000)),
            peers_within: Some(ms(2_000)),
            free_descriptors: Some(16),
            memory_share: Some(0.9),
            clock_step: Some(ms(2_000)),
            lag: Some(ms(1_000)),
            lose_after: ms(2_000),
            regain_after: ms(1_000),
        },
        leave_for: ms(600),
        finish_within: ms(3_000),
        reload_within: ms(10_000),
    }
}

/// An observation under which all conditions of [`limits`] hold.
pub fn healthy() -> Facts {
    Facts {
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
    /// A node that has just started.
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

    /// Sends a signal to stop that is read at once.
    pub fn stop(&mut self) -> Vec<Action> {
        let since = self.now;
        self.send(Event::Stop { since })
    }

    /// Sends the same observation every 100 ms for `span` milliseconds.
    pub fn observe_for(&mut self, facts: &Facts, span: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..span / 100 {
            self.now += ms(100);
            out.extend(self.send(Event::Observed(facts.clone())));
        }
        out
    }

    /// Lets `span` milliseconds pass.
    pub fn advance(&mut self, span: u64) -> Vec<Action> {
        self.now += ms(span);
        self.send(Event::Tick)
    }
}

/// How often a message to the service manager is among the actions.
pub fn messages(out: &[Action], message: &ManagerMessage) -> usize {
    let wanted = Action::NotifyManager(message.clone());
    out.iter().filter(|action| **action == wanted).count()
}

pub fn contains(out: &[Action], action: &Action) -> bool {
    out.contains(action)
}
