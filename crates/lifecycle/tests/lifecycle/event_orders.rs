//! All short orders of events.

use crate::support::*;
use saffronpaddle_lifecycle::*;
use std::time::Duration;

/// How many events an order has.
const ORDER_LENGTH: u32 = 6;

/// What has happened in an order of events so far, and the checks that go by it.
#[derive(Clone, Copy, Default)]
struct History {
    ready_messages: u32,
    reloading: bool,
    stopping: bool,
    stopped_accepting: bool,
    listening: bool,
    /// Reloads that were asked for and have not ended.
    open_reloads: u32,
    lame_duck: bool,
}

impl History {
    /// Whether the event can come next: the listener comes up once, and only a reload that was asked for ends.
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
                assert!(!self.stopping, "connections are kept again while stopping");
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
                assert!(self.listening, "READY before it listens");
                let first = self.ready_messages == 0;
                assert!(first || self.reloading, "READY out of place");
                self.ready_messages += 1;
                self.reloading = false;
            }
            ManagerMessage::Reloading => {
                assert!(
                    self.ready_messages > 0 && !self.reloading && !self.stopping,
                    "RELOADING out of place"
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
            assert!(!self.lame_duck, "ready while clients are sent away");
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
        Event::Observed(Facts {
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

/// Continues an order by each event in turn; returns how many orders were seen.
fn explore(lifecycle: &Lifecycle, now: Duration, history: History, events_left: u32) -> u64 {
    let mut count = 1;
    if events_left == 0 || lifecycle.state() == State::Gone {
        return count;
    }
    for event in events(now) {
        if !history.allows(&event) {
            continue;
        }
        let span = match event {
            Event::Observed(_) => ms(700),
            _ => ms(0),
        };
        let now = now + span;
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

/// Signals, commands of staff and observations come in any order. The service manager must get each message in its place,
/// a node that stops must never take work again, and it must exit only after it has stopped accepting.
#[test]
fn no_short_order_of_events_breaks_the_protocol_with_manager_and_clients() {
    let lifecycle = Lifecycle::new(limits(), ms(0));
    let count = explore(&lifecycle, ms(0), History::default(), ORDER_LENGTH);
    assert!(count > 30_000, "{count} orders");
}
