//! Exhaustive test of all short sequences of events.

use crate::support::*;
use saffronpaddle_lifecycle::*;
use std::time::Duration;

/// The number of events in a sequence.
const SEQUENCE_LENGTH: u32 = 6;

/// The history of a sequence of events, and the invariants that depend on it.
#[derive(Clone, Copy, Default)]
struct History {
    ready_messages: u32,
    reloading: bool,
    stopping: bool,
    stopped_accepting: bool,
    listening: bool,
    /// Reloads that were requested and have not completed.
    open_reloads: u32,
    lame_duck: bool,
}

impl History {
    /// Whether the event can come next: the listener is bound once, and only a requested reload completes.
    fn allows(&self, event: &Event) -> bool {
        match event {
            Event::Listening => !self.listening,
            Event::Reloaded { .. } => self.open_reloads > 0,
            _ => true,
        }
    }

    fn on_event(&mut self, event: &Event) {
        match event {
            Event::Listening => self.listening = true,
            Event::Reloaded { .. } => self.open_reloads -= 1,
            Event::Lameduck => self.lame_duck = true,
            Event::Rejoin => self.lame_duck = false,
            _ => {}
        }
    }

    fn check_action(&mut self, action: &Action) {
        match action {
            Action::NotifyManager(message) => self.check_message(message),
            Action::StopAccepting => {
                assert!(self.stopping && !self.stopped_accepting);
                self.stopped_accepting = true;
            }
            Action::ReadConfiguration => {
                assert!(!self.stopping, "a reload while stopping");
                self.open_reloads += 1;
            }
            Action::KeepOpen => {
                assert!(
                    !self.stopping,
                    "connections are kept open again while stopping"
                );
            }
            Action::CloseIdle => assert!(self.lame_duck && !self.stopping),
            Action::Exit => {
                assert!(self.stopping && (self.stopped_accepting || !self.listening));
            }
            _ => {}
        }
    }

    fn check_message(&mut self, message: &ManagerMessage) {
        match message {
            ManagerMessage::Ready => {
                assert!(!self.stopping, "READY after STOPPING");
                assert!(self.listening, "READY before the node listens");
                let first = self.ready_messages == 0;
                assert!(first || self.reloading, "READY repeated without a reload");
                self.ready_messages += 1;
                self.reloading = false;
            }
            ManagerMessage::Reloading => {
                assert!(
                    self.ready_messages > 0 && !self.reloading && !self.stopping,
                    "RELOADING before READY, during a reload or while stopping"
                );
                self.reloading = true;
            }
            ManagerMessage::Stopping => {
                assert!(!self.stopping, "STOPPING twice");
                self.stopping = true;
            }
            ManagerMessage::Status(_) | ManagerMessage::ExtendTimeout(_) => {}
        }
    }

    fn check_state(&self, lifecycle: &Lifecycle) {
        if lifecycle.ready() {
            assert!(self.listening && !self.stopping, "ready while stopping");
            assert!(!self.lame_duck, "ready in lame-duck mode");
        }
        if self.lame_duck && self.listening {
            assert!(lifecycle.closes_connections());
        }
    }
}

fn events(now: Duration) -> [Event; 9] {
    [
        Event::Listening,
        Event::Observed(healthy()),
        Event::Observed(HealthSample {
            event_loop_lag: ms(9_000),
            ..healthy()
        }),
        Event::Stop { since: now },
        Event::Reload,
        Event::Reloaded { applied: true },
        Event::ConnectionsClosed,
        Event::Lameduck,
        Event::Rejoin,
    ]
}

/// Extends a sequence by each possible event, recursively. Returns the number of sequences explored.
fn explore(lifecycle: &Lifecycle, now: Duration, history: History, events_left: u32) -> u64 {
    let mut count = 1;
    if events_left == 0 || lifecycle.state() == State::Gone {
        return count;
    }
    for event in events(now) {
        if !history.allows(&event) {
            continue;
        }
        let elapsed = match event {
            Event::Observed(_) => ms(700),
            _ => ms(0),
        };
        let now = now + elapsed;
        let (mut lifecycle, mut history) = (lifecycle.clone(), history);
        history.on_event(&event);
        let mut out = Vec::new();
        lifecycle.handle(now, event, &mut out);
        for action in &out {
            history.check_action(action);
        }
        history.check_state(&lifecycle);
        count += explore(&lifecycle, now, history, events_left - 1);
    }
    count
}

/// Signals, admin commands and measurements arrive in any order. Each message to the service manager must be valid at
/// its point of the protocol, a stopping node must never become ready again, and it must stop accepting before it
/// exits.
#[test]
fn no_short_sequence_of_events_violates_the_protocol_with_manager_and_clients() {
    let lifecycle = Lifecycle::new(limits(), ms(0));
    let count = explore(&lifecycle, ms(0), History::default(), SEQUENCE_LENGTH);
    assert!(count > 30_000, "only {count} sequences were explored");
}
