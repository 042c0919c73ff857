//! The life cycle of an edge node: which state it is in, whether it may take work, and when it ends.
//!
//! No input or output, and no clock: what is seen comes in as [`Event`]s with the time as an argument, what is to
//! be done comes out as [`Action`]s. The shell (`saffronpaddle-node`) executes them and decides nothing.
//!
//! ```
//! use saffronpaddle_lifecycle::{Action, Event, Lifecycle, Limits, State};
//! use std::time::Duration;
//! let mut life = Lifecycle::new(Limits::immediate(Duration::from_secs(3)), Duration::ZERO);
//! let mut out = Vec::new();
//! life.handle(Duration::ZERO, Event::Listening, &mut out);
//! assert_eq!(life.state(), State::Ready);
//! assert!(out.contains(&Action::NotifyManager(saffronpaddle_lifecycle::ManagerMessage::Ready)));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod action;
pub mod readiness;
mod stop;

pub use action::{Action, LifecycleEvent, ManagerMessage};
pub use readiness::{Conditions, Facts, Readiness, Reason, Reasons};
pub use stop::{kill_after, ShutdownPlan, MAX_SCHEDULING_DELAY};

use std::time::Duration;

/// A point in time: the span since some fixed moment of a clock that never goes back (`CLOCK_MONOTONIC`).
pub type Time = Duration;

/// Where an edge node stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum State {
    /// Not ready yet: something that the five rules need is not there.
    Starting,
    /// Takes work. Readiness may be lost and come back in this state; see [`Lifecycle::ready`].
    Ready,
    /// Reads its configuration anew, and goes on taking work as before.
    Reloading,
    /// Told to stop. Not ready, but what comes is still taken and served: clients and fronts notice late.
    Draining,
    /// Accepts nothing new; what was taken is finished.
    Closing,
    /// At its end: the process exits.
    Gone,
}

impl State {
    /// The state's name in logs and in `STATUS=`.
    pub fn name(self) -> &'static str {
        match self {
            State::Starting => "starting",
            State::Ready => "ready",
            State::Reloading => "reloading",
            State::Draining => "draining",
            State::Closing => "closing",
            State::Gone => "gone",
        }
    }
}

/// What a life cycle is bound by. All spans; the operator file names them.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Which conditions readiness hangs on, and for how long.
    pub readiness: readiness::Conditions,
    /// After the word to stop, work is still taken for so long. Guards against refusing clients whose front has
    /// not noticed yet.
    pub leave_for: Duration,
    /// After that, what was taken may take so long at the most. Guards against a client that never reads.
    pub finish_within: Duration,
    /// A reload that has not ended after so long has failed. Guards against a file system that hangs.
    pub reload_within: Duration,
}

impl Limits {
    /// How long new work is taken after the word to stop: the front looks every 0.1 s, and sends new connections for up
    /// to 0.4 s.
    const LEAVE_FOR: Duration = Duration::from_millis(600);

    /// Ready as soon as it listens, whatever it knows: how an edge node without an operator file behaves. It ends by
    /// itself before the platform kills it.
    pub fn immediate(longest_deadline: Duration) -> Limits {
        let whole = kill_after(longest_deadline).saturating_sub(stop::END_BEFORE_KILL);
        Limits {
            readiness: readiness::Conditions::none(),
            leave_for: Limits::LEAVE_FOR.min(whole),
            finish_within: whole.saturating_sub(Limits::LEAVE_FOR),
            reload_within: Duration::from_secs(10),
        }
    }
}

/// What happens to an edge node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// Its listener is up: connections come in, or wait in the backlog.
    Listening,
    /// What is known of the conditions now; wanted after each [`Lifecycle::look_after`].
    Observed(Facts),
    /// The word to stop (SIGTERM).
    Stop {
        /// It was sent after this moment: a process that was held up reads it late.
        since: Time,
    },
    /// The word to read the configuration anew (SIGHUP).
    Reload,
    /// The reload that was asked for has ended, well or not.
    Reloaded {
        /// Whether the new configuration stands.
        applied: bool,
    },
    /// Staff want clients sent away (`LAMEDUCK`); the process goes on.
    Lameduck,
    /// Staff want the node back at work (`REJOIN`).
    Rejoin,
    /// Whether another process of this node takes clients too, from the same listener.
    SuccessorPresent(bool),
    /// All connections of clients have ended.
    ConnectionsClosed,
    /// Time passes.
    Tick,
}

/// An edge node's life cycle.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    limits: Limits,
    state: State,
    readiness: Readiness,
    listening: bool,
    /// Whether the manager was told READY once: it may be told so again only after a reload.
    announced: bool,
    /// Whether readiness held when it was last looked at.
    ready: bool,
    /// When the state ends by itself.
    deadline: Option<Time>,
    /// How the process ends, once it was told to stop.
    stop: Option<ShutdownPlan>,
    /// A word to reload that came during a reload; it counts once.
    again: bool,
    /// A reload is under way that began before the node was ready.
    quietly: bool,
    /// Clients are sent away by staff. Beside the states, as it goes with each of them and can be taken back.
    lame: Option<Lame>,
    /// Another process of this node takes clients too.
    succeeded: bool,
}

/// How far the node has sent clients away, which it can take back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Lame {
    /// Answers close their connections; idle ones are closed from then on.
    Until(Time),
    /// Nothing is kept open.
    Emptied,
}

impl Lifecycle {
    /// How often [`Event::Seen`] must come in service for the bounds to hold to this span.
    pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
    /// The same while it starts: what it waits for is mostly a matter of milliseconds.
    pub const SAMPLE_INTERVAL_STARTING: Duration = Duration::from_millis(10);

    /// A node that has just started.
    pub fn new(limits: Limits, now: Time) -> Lifecycle {
        let readiness = Readiness::new(limits.readiness.clone(), now);
        Lifecycle {
            limits,
            state: State::Starting,
            readiness,
            listening: false,
            announced: false,
            ready: false,
            deadline: None,
            stop: None,
            again: false,
            quietly: false,
            lame: None,
            succeeded: false,
        }
    }

    /// Where the node stands.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the five rules can be kept now for new work: what `/-/ready` answers.
    pub fn ready(&self) -> bool {
        self.ready && self.lame.is_none() && matches!(self.state, State::Ready | State::Reloading)
    }

    /// Whether clients are sent away, by staff or as the node is stopping.
    pub fn closes_connections(&self) -> bool {
        self.lame.is_some() || self.state >= State::Draining
    }

    /// Why it is not ready, by name; empty where only the state stands in the way.
    pub fn reasons(&self) -> Reasons {
        self.readiness.reasons()
    }

    /// A line for people: the state, and why the node is not ready.
    pub fn status(&self) -> String {
        let reasons = self.reasons();
        match self.state {
            State::Ready | State::Reloading if !self.ready => format!("not ready: {reasons}"),
            State::Starting if !reasons.is_empty() => format!("starting: waits for {reasons}"),
            State::Starting | State::Ready | State::Reloading if self.lame.is_some() => {
                "lame duck".to_owned()
            }
            state => state.name().to_owned(),
        }
    }

    /// Other limits from now on; what has begun under the old ones keeps its end.
    pub fn set_limits(&mut self, limits: Limits) {
        self.readiness.set_conditions(limits.readiness.clone());
        self.limits = limits;
    }

    /// Takes in one event; what is to be done about it is added to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let before = (self.state, self.status());
        match event {
            Event::Listening => self.listening = true,
            Event::Observed(facts) => self.readiness.observe(now, &facts),
            Event::Stop { since } => self.stop(now, since, out),
            Event::Reload => self.reload(now, out),
            Event::Reloaded { applied: taken } => self.reloaded(now, taken, out),
            Event::SuccessorPresent(yes) => self.succeeded(yes, out),
            Event::Lameduck => self.lameduck(now, out),
            Event::Rejoin => self.rejoin(out),
            Event::ConnectionsClosed if self.state == State::Closing => self.gone(out),
            Event::ConnectionsClosed | Event::Tick => {}
        }
        self.pass(now, out);
        let after = (self.state, self.status());
        if before != after && self.state != State::Gone {
            out.push(Action::NotifyManager(ManagerMessage::Status(
                after.1.clone(),
            )));
            // Without conditions nothing is said that was not said before there were any.
            if !self.limits.readiness.is_none()
                || before.0 != after.0 && self.state >= State::Draining
            {
                out.push(Action::Report(LifecycleEvent::StatusChanged {
                    status: after.1,
                }));
            }
        }
    }

    fn stop(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        match self.state {
            State::Starting if !self.listening => {
                // Nothing was taken: there is nothing to finish.
                out.push(Action::NotifyManager(ManagerMessage::Stopping));
                self.gone(out);
            }
            State::Starting | State::Ready | State::Reloading => {
                let longest = self.limits.leave_for + self.limits.finish_within;
                let plan = ShutdownPlan::new(now, since, longest);
                self.stop = Some(plan);
                self.enter(
                    State::Draining,
                    now,
                    self.limits.leave_for.min(plan.exit_by.saturating_sub(now)),
                );
                out.push(Action::NotifyManager(ManagerMessage::Stopping));
                out.push(Action::NotifyManager(ManagerMessage::ExtendTimeout(
                    longest + Self::EXTEND,
                )));
                out.push(Action::CloseAfterAnswers);
                if self.succeeded {
                    out.push(Action::PauseAccepting);
                }
            }
            // Said twice: nothing new is taken from now on, and what was taken has less time.
            State::Draining => {
                let plan = ShutdownPlan::new(now, since, self.limits.finish_within);
                self.stop = Some(self.stop.map_or(plan, |before| before.earlier(plan)));
                self.close(now, out);
            }
            State::Closing | State::Gone => {}
        }
    }

    /// What the manager is asked for beyond the bounds here, so that it never kills a node that keeps them.
    const EXTEND: Duration = Duration::from_secs(1);

    /// A node that is stopping leaves what comes to its successor, for as long as there is one.
    fn succeeded(&mut self, yes: bool, out: &mut Vec<Action>) {
        if std::mem::replace(&mut self.succeeded, yes) != yes && self.state == State::Draining {
            out.push(if yes {
                Action::PauseAccepting
            } else {
                Action::ResumeAccepting
            });
        }
    }

    /// After the word to send clients away, idle connections stand for so long: the front looks every 0.1 s and sends
    /// new connections for 0.2 s more, and what is idle now is mostly used or closed by its client till then. Guards
    /// requests that cross the close of their connection.
    const LINGER: Duration = Duration::from_millis(500);

    fn lameduck(&mut self, now: Time, out: &mut Vec<Action>) {
        // A node that stops sends clients away already.
        if self.lame.is_none() && self.state < State::Draining {
            self.lame = Some(Lame::Until(now.saturating_add(Self::LINGER)));
            out.push(Action::CloseAfterAnswers);
            out.push(Action::Report(LifecycleEvent::LameDuckStarted));
        }
    }

    fn rejoin(&mut self, out: &mut Vec<Action>) {
        if self.state < State::Draining && self.lame.take().is_some() {
            out.push(Action::KeepOpen);
            out.push(Action::Report(LifecycleEvent::LameDuckEnded));
        }
    }

    fn reload(&mut self, now: Time, out: &mut Vec<Action>) {
        match self.state {
            State::Ready => {
                out.push(Action::NotifyManager(ManagerMessage::Reloading));
                out.push(Action::ReadConfiguration);
                self.enter(State::Reloading, now, self.limits.reload_within);
            }
            // The manager awaits READY for the start: it is told of no reload before that.
            State::Starting if !self.quietly => {
                self.quietly = true;
                out.push(Action::ReadConfiguration);
            }
            State::Starting | State::Reloading => self.again = true,
            State::Draining | State::Closing | State::Gone => {
                out.push(Action::Report(LifecycleEvent::ReloadRejected));
            }
        }
    }

    fn reloaded(&mut self, now: Time, taken: bool, out: &mut Vec<Action>) {
        let began_starting = std::mem::take(&mut self.quietly);
        if self.state == State::Reloading && !began_starting {
            self.back_to_ready(out);
        }
        if !taken {
            out.push(Action::Report(LifecycleEvent::ReloadFailed));
        }
        if std::mem::take(&mut self.again) && self.state < State::Draining {
            self.reload(now, out);
        }
    }

    fn back_to_ready(&mut self, out: &mut Vec<Action>) {
        (self.state, self.deadline) = (State::Ready, None);
        // Ends the reload for the manager, also where readiness was lost meanwhile: that is another matter.
        out.push(Action::NotifyManager(ManagerMessage::Ready));
    }

    fn close(&mut self, now: Time, out: &mut Vec<Action>) {
        // Limits that a reload has set meanwhile change nothing: the platform's time runs from the signal.
        let left = self.stop.map_or(self.limits.finish_within, |plan| {
            plan.exit_by.saturating_sub(now)
        });
        self.enter(State::Closing, now, left);
        out.push(Action::StopAccepting);
    }

    fn gone(&mut self, out: &mut Vec<Action>) {
        (self.state, self.deadline) = (State::Gone, None);
        out.push(Action::Exit);
    }

    fn enter(&mut self, state: State, now: Time, most: Duration) {
        (self.state, self.deadline) = (state, Some(now.saturating_add(most)));
    }

    /// What time alone, or what was seen, brings about.
    fn pass(&mut self, now: Time, out: &mut Vec<Action>) {
        self.readiness.advance(now);
        self.ready = self.listening && self.readiness.is_ready();
        if self.state == State::Starting && self.ready {
            self.state = State::Ready;
            if !std::mem::replace(&mut self.announced, true) {
                out.push(Action::NotifyManager(ManagerMessage::Ready));
            }
        }
        if matches!(self.lame, Some(Lame::Until(at)) if now >= at) {
            self.lame = Some(Lame::Emptied);
            // One that stops meanwhile closes idle connections when its own time has come.
            if self.state < State::Draining {
                out.push(Action::CloseIdle);
            }
        }
        if self.deadline.is_some_and(|until| now >= until) {
            match self.state {
                State::Reloading => {
                    out.push(Action::Report(LifecycleEvent::ReloadTimedOut));
                    self.back_to_ready(out);
                }
                State::Draining => self.close(now, out),
                State::Closing => {
                    out.push(Action::Report(LifecycleEvent::CloseTimedOut));
                    self.gone(out);
                }
                _ => {}
            }
        }
    }

    /// How the process ends, once it was told to stop.
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        self.stop
    }

    /// After how long [`Event::Seen`] is wanted again; `None` where readiness hangs on nothing.
    pub fn next_sample_in(&self) -> Option<Duration> {
        let span = if self.state == State::Starting {
            Self::SAMPLE_INTERVAL_STARTING
        } else {
            Self::SAMPLE_INTERVAL
        };
        (!self.limits.readiness.is_none() && self.state < State::Draining).then_some(span)
    }

    /// When the state ends by itself, if it does.
    pub fn deadline(&self) -> Option<Time> {
        let lame = self.lame.and_then(|lame| match lame {
            Lame::Until(at) => Some(at),
            Lame::Emptied => None,
        });
        self.deadline.into_iter().chain(lame).min()
    }
}
