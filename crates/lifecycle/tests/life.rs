//! The life cycle: each state, each word in it, and all short orders of words.

use saffronpaddle_lifecycle::readiness::Conditions;
use saffronpaddle_lifecycle::*;
use std::time::Duration;

const fn ms(span: u64) -> Duration {
    Duration::from_millis(span)
}

fn limits() -> Limits {
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

fn good() -> Facts {
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

struct Life {
    life: Lifecycle,
    now: Duration,
}

impl Life {
    fn new() -> Life {
        Life {
            life: Lifecycle::new(limits(), ms(0)),
            now: ms(0),
        }
    }

    fn ready() -> Life {
        let mut life = Life::new();
        life.tell(Event::Listening);
        life.tell(Event::Observed(good()));
        assert_eq!(life.life.state(), State::Ready);
        life
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.life.handle(self.now, event, &mut out);
        out
    }

    /// Tells it to stop, by a signal that is read at once.
    fn stop(&mut self) -> Vec<Action> {
        let since = self.now;
        self.tell(Event::Stop { since })
    }

    /// Shows the same facts every 100 ms for a span.
    fn sees(&mut self, facts: &Facts, span: u64) -> Vec<Action> {
        let mut out = Vec::new();
        for _ in 0..span / 100 {
            self.now += ms(100);
            out.extend(self.tell(Event::Observed(facts.clone())));
        }
        out
    }

    fn after(&mut self, span: u64) -> Vec<Action> {
        self.now += ms(span);
        self.tell(Event::Tick)
    }
}

fn says(out: &[Action], word: &ManagerMessage) -> usize {
    out.iter()
        .filter(|action| **action == Action::NotifyManager(word.clone()))
        .count()
}

fn does(out: &[Action], what: &Action) -> bool {
    out.contains(what)
}

#[test]
fn ready_is_said_once_and_only_when_it_listens_and_all_holds() {
    let mut life = Life::new();
    assert_eq!(
        says(&life.tell(Event::Observed(good())), &ManagerMessage::Ready),
        0,
        "it does not listen yet"
    );
    assert_eq!(
        says(&life.tell(Event::Listening), &ManagerMessage::Ready),
        1
    );
    assert!(life.life.ready());
    let out = life.sees(&good(), 5_000);
    assert_eq!(says(&out, &ManagerMessage::Ready), 0);
}

#[test]
fn a_node_that_starts_while_discovery_and_all_peers_are_silent_waits_then_serves_from_its_old_list()
{
    let silent = Facts {
        endpoint_list_age: None,
        reachable_peers: 0,
        ..good()
    };
    let mut life = Life::new();
    life.tell(Event::Listening);
    life.sees(&silent, 1_900);
    assert!(
        life.life.reasons().contains(Reason::NoList)
            && life.life.reasons().contains(Reason::PeersUnreachable)
    );
    life.sees(&silent, 200);
    assert!(
        !life.life.reasons().contains(Reason::PeersUnreachable),
        "their silence is allowed for"
    );
    assert!(!life.life.ready());
    let out = life.sees(&silent, 3_000);
    assert!(
        life.life.ready() && says(&out, &ManagerMessage::Ready) == 1,
        "{}",
        life.life.status()
    );
}

#[test]
fn without_any_list_a_node_is_never_ready() {
    let nothing = Facts {
        servers: 0,
        endpoint_list_age: None,
        ..good()
    };
    let mut life = Life::new();
    life.tell(Event::Listening);
    life.sees(&nothing, 60_000);
    assert_eq!(life.life.status(), "starting: waits for no-list");
    life.sees(&good(), 100);
    assert!(life.life.ready());
}

#[test]
fn readiness_is_lost_by_name_once_a_condition_has_failed_for_long_and_comes_back_late() {
    let cases = [
        (
            Facts {
                endpoint_list_age: Some(ms(10_001)),
                ..good()
            },
            "list-stale",
        ),
        (
            Facts {
                free_descriptors: 15,
                ..good()
            },
            "descriptors",
        ),
        (
            Facts {
                memory: 91,
                ..good()
            },
            "memory",
        ),
        (
            Facts {
                clock_moved: ms(2_001),
                ..good()
            },
            "clock",
        ),
        (
            Facts {
                clock_implausible: true,
                ..good()
            },
            "clock",
        ),
        (
            Facts {
                event_loop_lag: ms(1_001),
                ..good()
            },
            "lagging",
        ),
    ];
    for (bad, name) in cases {
        let mut life = Life::ready();
        life.sees(&bad, 1_900);
        assert!(life.life.ready(), "{name}: not at once");
        let out = life.sees(&bad, 300);
        assert!(
            !life.life.ready() && life.life.state() == State::Ready,
            "{name}"
        );
        assert_eq!(
            says(&out, &ManagerMessage::Status(format!("not ready: {name}"))),
            1,
            "{out:?}"
        );
        life.sees(&good(), 900);
        assert!(!life.life.ready(), "{name}: not back at once");
        let out = life.sees(&good(), 300);
        assert!(life.life.ready(), "{name}");
        assert_eq!(
            says(&out, &ManagerMessage::Ready),
            0,
            "READY is said once: {out:?}"
        );
    }
}

#[test]
fn a_condition_that_flaps_faster_than_it_must_last_changes_nothing() {
    let mut life = Life::ready();
    let bad = Facts {
        event_loop_lag: ms(5_000),
        ..good()
    };
    for _ in 0..50 {
        let out = [life.sees(&bad, 1_500), life.sees(&good(), 200)].concat();
        assert!(life.life.ready() && out.is_empty(), "{out:?}");
    }
}

#[test]
fn what_fails_at_the_start_is_not_taken_on_trust() {
    let mut life = Life::new();
    life.tell(Event::Listening);
    life.tell(Event::Observed(Facts {
        free_descriptors: 0,
        ..good()
    }));
    assert_eq!(life.life.status(), "starting: waits for descriptors");
}

#[test]
fn a_stop_takes_work_for_a_while_then_finishes_inside_its_bound() {
    let mut life = Life::ready();
    let out = life.stop();
    assert!(
        says(&out, &ManagerMessage::Stopping) == 1 && does(&out, &Action::CloseAfterAnswers),
        "{out:?}"
    );
    assert_eq!(says(&out, &ManagerMessage::ExtendTimeout(ms(4_600))), 1);
    assert!(!life.life.ready());
    assert!(!does(&life.after(599), &Action::StopAccepting));
    assert!(does(&life.after(1), &Action::StopAccepting));
    assert_eq!(life.life.state(), State::Closing);
    assert!(!does(&life.after(2_999), &Action::Exit));
    assert!(
        does(&life.after(1), &Action::Exit),
        "a client that never reads does not hold it up"
    );
}

#[test]
fn a_stop_ends_as_soon_as_all_is_served() {
    let mut life = Life::ready();
    life.stop();
    life.after(600);
    assert!(does(&life.tell(Event::ConnectionsClosed), &Action::Exit));
}

#[test]
fn a_second_sigterm_takes_nothing_new_but_still_finishes() {
    let mut life = Life::ready();
    life.stop();
    life.after(100);
    let out = life.stop();
    assert!(
        does(&out, &Action::StopAccepting) && !does(&out, &Action::Exit),
        "{out:?}"
    );
    let out = life.stop();
    assert!(
        !does(&out, &Action::Exit),
        "a third changes nothing: {out:?}"
    );
    assert!(does(&life.after(3_000), &Action::Exit));
}

#[test]
fn sigterm_while_starting_ends_it() {
    let mut life = Life::new();
    let out = life.stop();
    assert!(
        says(&out, &ManagerMessage::Stopping) == 1 && does(&out, &Action::Exit),
        "nothing was taken: {out:?}"
    );
    // Once it listens, something may have been taken.
    let mut life = Life::new();
    life.tell(Event::Listening);
    let out = life.stop();
    assert!(!does(&out, &Action::Exit) && life.life.state() == State::Draining);
    let out = life.sees(&good(), 500);
    assert_eq!(
        says(&out, &ManagerMessage::Ready),
        0,
        "a node that stops never becomes ready"
    );
}

#[test]
fn a_reload_in_service_is_framed_for_the_manager_and_the_node_stays_ready() {
    for taken in [true, false] {
        let mut life = Life::ready();
        let out = life.tell(Event::Reload);
        assert!(
            says(&out, &ManagerMessage::Reloading) == 1 && does(&out, &Action::ReadConfiguration)
        );
        assert!(life.life.ready() && life.life.state() == State::Reloading);
        assert_eq!(
            says(
                &life.tell(Event::Reloaded { applied: taken }),
                &ManagerMessage::Ready
            ),
            1,
            "also where it failed"
        );
        assert_eq!(life.life.state(), State::Ready);
    }
}

#[test]
fn a_reload_during_a_reload_is_done_once_more_after_it() {
    let mut life = Life::ready();
    life.tell(Event::Reload);
    for _ in 0..5 {
        assert!(!does(&life.tell(Event::Reload), &Action::ReadConfiguration));
    }
    let out = life.tell(Event::Reloaded { applied: true });
    assert!(does(&out, &Action::ReadConfiguration), "{out:?}");
    let out = life.tell(Event::Reloaded { applied: true });
    assert!(!does(&out, &Action::ReadConfiguration) && life.life.state() == State::Ready);
}

#[test]
fn a_reload_while_starting_is_done_and_not_told() {
    let mut life = Life::new();
    let out = life.tell(Event::Reload);
    assert!(does(&out, &Action::ReadConfiguration) && says(&out, &ManagerMessage::Reloading) == 0);
    life.tell(Event::Listening);
    assert_eq!(
        says(&life.tell(Event::Observed(good())), &ManagerMessage::Ready),
        1
    );
    let out = life.tell(Event::Reloaded { applied: true });
    assert_eq!(
        says(&out, &ManagerMessage::Ready),
        0,
        "the start's own word was said: {out:?}"
    );
}

#[test]
fn sighup_while_stopping_is_passed_over() {
    for span in [0, 600] {
        let mut life = Life::ready();
        life.stop();
        life.after(span);
        let out = life.tell(Event::Reload);
        assert!(
            !does(&out, &Action::ReadConfiguration) && says(&out, &ManagerMessage::Reloading) == 0,
            "{out:?}"
        );
    }
}

#[test]
fn a_stop_during_a_reload_wins() {
    let mut life = Life::ready();
    life.tell(Event::Reload);
    life.tell(Event::Reload);
    assert_eq!(says(&life.stop(), &ManagerMessage::Stopping), 1);
    let out = life.tell(Event::Reloaded { applied: true });
    assert!(
        says(&out, &ManagerMessage::Ready) == 0 && !does(&out, &Action::ReadConfiguration),
        "{out:?}"
    );
    assert_eq!(life.life.state(), State::Draining);
}

#[test]
fn a_reload_that_hangs_is_given_up() {
    let mut life = Life::ready();
    life.tell(Event::Reload);
    assert_eq!(says(&life.after(9_999), &ManagerMessage::Ready), 0);
    assert_eq!(says(&life.after(1), &ManagerMessage::Ready), 1);
    assert_eq!(life.life.state(), State::Ready);
}

#[test]
fn a_lame_duck_says_no_at_once_empties_itself_and_comes_back() {
    let mut life = Life::ready();
    let out = life.tell(Event::Lameduck);
    assert!(
        !life.life.ready()
            && does(&out, &Action::CloseAfterAnswers)
            && !does(&out, &Action::CloseIdle)
    );
    // What comes while the front has not noticed finds its connection open.
    assert!(!does(&life.after(499), &Action::CloseIdle));
    assert!(does(&life.after(1), &Action::CloseIdle));
    assert!(!does(&life.after(60_000), &Action::CloseIdle), "said once");
    // Twice is once, and nothing ends by itself.
    assert!(life.tell(Event::Lameduck).is_empty() && !life.life.ready());
    assert!(does(&life.tell(Event::Rejoin), &Action::KeepOpen) && life.life.ready());
    assert!(life.tell(Event::Rejoin).is_empty());
}

#[test]
fn a_lame_duck_that_rejoins_before_it_is_empty_closes_nothing() {
    let mut life = Life::ready();
    life.tell(Event::Lameduck);
    life.after(300);
    life.tell(Event::Rejoin);
    assert!(!does(&life.after(10_000), &Action::CloseIdle) && life.life.ready());
}

#[test]
fn a_lame_duck_stops_reloads_and_starts_as_any_other() {
    let mut life = Life::ready();
    life.tell(Event::Lameduck);
    assert!(does(&life.tell(Event::Reload), &Action::ReadConfiguration));
    life.tell(Event::Reloaded { applied: true });
    assert!(!life.life.ready());
    assert_eq!(says(&life.stop(), &ManagerMessage::Stopping), 1);
    // There is no way back from a stop, and its own times hold.
    assert!(!does(&life.tell(Event::Rejoin), &Action::KeepOpen));
    assert!(
        !does(&life.after(500), &Action::StopAccepting)
            && does(&life.after(100), &Action::StopAccepting)
    );
    // A node that is told so before it is ready comes up lame.
    let mut life = Life::new();
    life.tell(Event::Lameduck);
    life.tell(Event::Listening);
    life.tell(Event::Observed(good()));
    assert!(!life.life.ready());
    life.tell(Event::Rejoin);
    assert!(life.life.ready());
}

/// All orders of nine kinds of events up to six long, from the start.
#[test]
fn no_short_order_of_events_breaks_a_promise() {
    #[derive(Clone, Copy)]
    struct Seen {
        readies: u32,
        reloading: bool,
        stopping: bool,
        stopped_accepting: bool,
        listening: bool,
        reads: u32,
        lame: bool,
    }
    fn explore(life: &Lifecycle, now: Duration, seen: Seen, depth: u32, count: &mut u64) {
        *count += 1;
        if depth == 0 || life.state() == State::Gone {
            return;
        }
        let events = [
            Event::Listening,
            Event::Observed(good()),
            Event::Observed(Facts {
                event_loop_lag: ms(9_000),
                ..good()
            }),
            Event::Stop { since: now },
            Event::Reload,
            Event::Reloaded { applied: true },
            Event::ConnectionsClosed,
            Event::Lameduck,
            Event::Rejoin,
        ];
        for event in events {
            let spans = if matches!(event, Event::Observed(_)) {
                ms(700)
            } else {
                ms(0)
            };
            let (mut life, now, mut seen) = (copy(life), now + spans, seen);
            if event == Event::Listening && std::mem::replace(&mut seen.listening, true) {
                continue; // it comes up once
            }
            if matches!(event, Event::Reloaded { .. }) && seen.reads == 0 {
                continue; // nothing was asked for
            }
            seen.reads -= u32::from(matches!(event, Event::Reloaded { .. }));
            let mut out = Vec::new();
            seen.lame = (seen.lame || event == Event::Lameduck) && event != Event::Rejoin;
            life.handle(now, event, &mut out);
            for action in out {
                match action {
                    Action::NotifyManager(ManagerMessage::Ready) => {
                        assert!(!seen.stopping, "READY after STOPPING");
                        assert!(seen.listening, "READY before it listens");
                        assert!(seen.readies == 0 || seen.reloading, "READY out of place");
                        (seen.readies, seen.reloading) = (seen.readies + 1, false);
                    }
                    Action::NotifyManager(ManagerMessage::Reloading) => {
                        assert!(
                            seen.readies > 0 && !seen.reloading && !seen.stopping,
                            "RELOADING out of place"
                        );
                        seen.reloading = true;
                    }
                    Action::NotifyManager(ManagerMessage::Stopping) => {
                        assert!(
                            !std::mem::replace(&mut seen.stopping, true),
                            "STOPPING twice"
                        );
                    }
                    Action::StopAccepting => {
                        assert!(
                            seen.stopping && !std::mem::replace(&mut seen.stopped_accepting, true)
                        );
                    }
                    Action::ReadConfiguration => {
                        assert!(!seen.stopping, "a reload while stopping");
                        seen.reads += 1;
                    }
                    Action::KeepOpen => {
                        assert!(!seen.stopping, "connections are kept again while stopping");
                    }
                    Action::CloseIdle => assert!(seen.lame && !seen.stopping),
                    Action::Exit => {
                        assert!(seen.stopping && (seen.stopped_accepting || !seen.listening));
                    }
                    _ => {}
                }
            }
            assert!(
                !life.ready() || seen.listening && !seen.stopping,
                "ready while stopping"
            );
            assert!(
                !life.ready() || !seen.lame,
                "ready while clients are sent away"
            );
            assert!(!(seen.lame && seen.listening) || life.closes_connections());
            explore(&life, now, seen, depth - 1, count);
        }
    }
    fn copy(life: &Lifecycle) -> Lifecycle {
        life.clone()
    }
    let seen = Seen {
        readies: 0,
        reloading: false,
        stopping: false,
        stopped_accepting: false,
        listening: false,
        reads: 0,
        lame: false,
    };
    let mut count = 0;
    explore(&Lifecycle::new(limits(), ms(0)), ms(0), seen, 6, &mut count);
    assert!(count > 30_000, "{count} orders");
}

/// The platform's time for a process that was told to stop: 0.7 s after its longest deadline, of which 3 s count at most.
#[test]
fn a_process_ends_before_the_platform_kills_it_whatever_the_longest_deadline_is() {
    for (longest, killed_after) in [
        (400, 1_100),
        (2_900, 3_600),
        (3_000, 3_700),
        (9_113, 3_700),
        (3_600_000, 3_700),
    ] {
        assert_eq!(kill_after(ms(longest)), ms(killed_after));
        let mut life = Life::new();
        life.life = Lifecycle::new(Limits::immediate(ms(longest)), ms(0));
        life.tell(Event::Listening);
        life.now = ms(10_000);
        life.stop();
        let plan = life.life.shutdown_plan().expect("it was told to stop");
        let killed = ms(10_000 + killed_after);
        assert!(plan.exit_by < killed, "{longest}: {plan:?}");
        assert!(
            plan.answer_by + MAX_SCHEDULING_DELAY < killed,
            "{longest}: {plan:?}"
        );
        assert!(
            plan.answer_by > ms(10_000 + killed_after - 400),
            "{longest}: time is not wasted: {plan:?}"
        );
        while life.life.state() != State::Gone {
            assert!(life.now < plan.exit_by, "it ends by then");
            life.now = life.life.deadline().expect("it ends by itself");
            life.tell(Event::Tick);
        }
    }
}

/// A process that was held up reads the signal late: the platform's time runs from when it was sent.
#[test]
fn a_signal_that_is_read_late_leaves_less_time() {
    let mut life = Life::ready();
    life.now = ms(20_000);
    life.tell(Event::Stop { since: ms(19_850) });
    let plan = life.life.shutdown_plan().expect("it was told to stop");
    assert_eq!(plan.exit_by, ms(19_850 + 3_600));
    // One that was held up for longer than it has still gives its answers.
    let mut life = Life::ready();
    life.now = ms(60_000);
    life.tell(Event::Stop { since: ms(0) });
    let plan = life.life.shutdown_plan().expect("it was told to stop");
    assert!(
        plan.answer_by > life.now && plan.exit_by < life.now + ms(300),
        "{plan:?}"
    );
}

/// A reload that ends after the word to stop sets limits for another life; this one's end stays.
#[test]
fn limits_that_are_set_after_the_word_to_stop_do_not_move_the_end() {
    let mut life = Life::ready();
    life.tell(Event::Reload);
    life.stop();
    let plan = life.life.shutdown_plan();
    life.life.set_limits(Limits {
        finish_within: ms(60_000),
        leave_for: ms(60_000),
        ..limits()
    });
    life.tell(Event::Reloaded { applied: true });
    assert!(does(&life.after(600), &Action::StopAccepting));
    assert_eq!(life.life.shutdown_plan(), plan);
    assert!(does(&life.after(3_000), &Action::Exit));
}

/// A second word to stop only ever brings the end nearer.
#[test]
fn a_second_sigterm_never_moves_the_end_away() {
    let mut life = Life::ready();
    life.stop();
    let first = life.life.shutdown_plan().expect("it was told to stop");
    life.after(599);
    life.stop();
    let second = life.life.shutdown_plan().expect("it was told to stop");
    assert!(
        second.exit_by <= first.exit_by && second.answer_by <= first.answer_by,
        "{first:?} {second:?}"
    );
}

/// Staff search the log for these lines.
#[test]
fn each_reported_event_has_its_log_line() {
    let status = "ready".to_owned();
    let lines = [
        (
            LifecycleEvent::StatusChanged { status },
            "life cycle: ready",
        ),
        (LifecycleEvent::LameDuckStarted, "clients are sent away"),
        (LifecycleEvent::LameDuckEnded, "back to work"),
        (
            LifecycleEvent::ReloadRejected,
            "no reload: the node is stopping",
        ),
        (
            LifecycleEvent::ReloadFailed,
            "reload: the old configuration stays",
        ),
        (
            LifecycleEvent::ReloadTimedOut,
            "reload: given up, it took too long",
        ),
        (
            LifecycleEvent::CloseTimedOut,
            "closing: the bound is reached, connections are dropped",
        ),
    ];
    for (event, line) in lines {
        assert_eq!(event.to_string(), line);
    }
}
