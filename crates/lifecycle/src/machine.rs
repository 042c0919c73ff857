//! The state machine of a node's life cycle.

use crate::action::{Action, LifecycleEvent, ManagerMessage};
use crate::event::Event;
use crate::limits::Limits;
use crate::readiness::{Readiness, Reasons};
use crate::shutdown::ShutdownPlan;
use crate::state::State;
use crate::time::Time;
use std::time::Duration;

/// Added to the stop timeout that the service manager is asked for, so that it never kills a node that keeps its limits.
const MANAGER_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// How long a lame duck keeps idle connections open. A front end polls readiness every 0.1 s and, once a lame duck says no,
/// sends new connections for up to 0.2 s more (0.4 s where a process is told to stop, see `Limits`); without the wait its requests would cross the close of their connection and be lost.
const LAME_DUCK_LINGER: Duration = Duration::from_millis(500);

/// The life cycle of an edge node.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    limits: Limits,
    state: State,
    readiness: Readiness,
    listening: bool,
    /// READY was sent for the start; after that it is sent for reloads only.
    ready_sent: bool,
    /// The node listened and all conditions of readiness held at the last event.
    conditions_hold: bool,
    /// When the state ends by itself.
    state_deadline: Option<Time>,
    /// How the process ends, once it was told to stop.
    shutdown_plan: Option<ShutdownPlan>,
    /// Another reload was asked for during a reload; several count once.
    reload_queued: bool,
    /// A reload is under way that began before the node was ready.
    reloading_at_start: bool,
    /// Set while staff have clients sent away. It is no state, as it goes with each state and can be taken back.
    lame_duck: Option<LameDuck>,
    /// Another process of this node accepts clients.
    successor_present: bool,
}

/// How far the node has sent its clients away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LameDuck {
    /// Answers close their connections; idle ones are closed from this time on.
    LingersUntil(Time),
    /// Idle connections are closed.
    ClosesIdle,
}

impl Lifecycle {
    /// How often [`Event::Observed`] is wanted in service. The limits hold with this precision.
    pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
    /// How often it is wanted at the start, where most conditions are met within milliseconds.
    pub const SAMPLE_INTERVAL_STARTING: Duration = Duration::from_millis(10);

    /// A node that has just started.
    pub fn new(limits: Limits, now: Time) -> Lifecycle {
        let readiness = Readiness::new(limits.readiness.clone(), now);
        Lifecycle {
            limits,
            state: State::Starting,
            readiness,
            listening: false,
            ready_sent: false,
            conditions_hold: false,
            state_deadline: None,
            shutdown_plan: None,
            reload_queued: false,
            reloading_at_start: false,
            lame_duck: None,
            successor_present: false,
        }
    }

    /// The current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Whether the node can take new work now: what `/-/ready` answers.
    pub fn ready(&self) -> bool {
        self.conditions_hold
            && self.lame_duck.is_none()
            && matches!(self.state, State::Ready | State::Reloading)
    }

    /// Whether clients are sent away, by staff or because the node is stopping.
    pub fn closes_connections(&self) -> bool {
        self.lame_duck.is_some() || self.is_stopping()
    }

    /// The conditions of readiness that fail; empty if only the state keeps the node from being ready.
    pub fn reasons(&self) -> Reasons {
        self.readiness.reasons()
    }

    /// A status line for people: the state, and why the node is not ready.
    pub fn status(&self) -> String {
        let reasons = self.reasons();
        match self.state {
            State::Ready | State::Reloading if !self.conditions_hold => {
                format!("not ready: {reasons}")
            }
            State::Starting if !reasons.is_empty() => format!("starting: waits for {reasons}"),
            State::Starting | State::Ready | State::Reloading if self.lame_duck.is_some() => {
                "lame duck".to_owned()
            }
            state => state.name().to_owned(),
        }
    }

    /// How the process ends, once it was told to stop. No action announces it: whoever runs the machine looks at it after
    /// each event, and hands a new one to the exchange (`ShutdownAnnounced`), which bounds all requests by it.
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        self.shutdown_plan
    }

    /// When [`Event::Observed`] is wanted again, counted from the last one; `None` if there are no conditions of readiness.
    pub fn next_sample_in(&self) -> Option<Duration> {
        if self.limits.readiness.is_none() || self.is_stopping() {
            return None;
        }
        Some(if self.state == State::Starting {
            Self::SAMPLE_INTERVAL_STARTING
        } else {
            Self::SAMPLE_INTERVAL
        })
    }

    /// When [`Event::Tick`] is due, if the state or the linger of a lame duck ends by itself.
    pub fn deadline(&self) -> Option<Time> {
        let linger_end = match self.lame_duck {
            Some(LameDuck::LingersUntil(end)) => Some(end),
            Some(LameDuck::ClosesIdle) | None => None,
        };
        self.state_deadline.into_iter().chain(linger_end).min()
    }

    /// Sets other limits. A stop or reload that has begun keeps its deadline.
    pub fn set_limits(&mut self, limits: Limits) {
        self.readiness.set_conditions(limits.readiness.clone());
        self.limits = limits;
    }

    /// Handles one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let state_before = self.state;
        let status_before = self.status();
        self.apply(now, event, out);
        self.update_readiness(now, out);
        self.end_linger(now, out);
        self.end_state(now, out);
        self.report_status(state_before, &status_before, out);
    }

    fn apply(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Listening => self.listening = true,
            Event::Observed(facts) => self.readiness.observe(now, &facts),
            Event::Stop { since } => self.stop(now, since, out),
            Event::Reload => self.reload(now, out),
            Event::Reloaded { applied } => self.reload_ended(now, applied, out),
            Event::SuccessorPresent(present) => self.set_successor(present, out),
            Event::Lameduck => self.start_lame_duck(now, out),
            Event::Rejoin => self.end_lame_duck(out),
            Event::ConnectionsClosed if self.state == State::Closing => self.exit(out),
            Event::ConnectionsClosed | Event::Tick => {}
        }
    }

    fn is_stopping(&self) -> bool {
        self.state >= State::Draining
    }

    fn enter(&mut self, state: State, now: Time, timeout: Duration) {
        self.state = state;
        self.state_deadline = Some(now.saturating_add(timeout));
    }

    fn update_readiness(&mut self, now: Time, out: &mut Vec<Action>) {
        self.readiness.advance(now);
        self.conditions_hold = self.listening && self.readiness.is_ready();
        if self.state == State::Starting && self.conditions_hold {
            self.state = State::Ready;
            if !self.ready_sent {
                self.ready_sent = true;
                out.push(Action::NotifyManager(ManagerMessage::Ready));
            }
        }
    }

    fn end_state(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.state_deadline.is_none_or(|deadline| now < deadline) {
            return;
        }
        match self.state {
            State::Reloading => {
                out.push(Action::Report(LifecycleEvent::ReloadTimedOut));
                self.return_to_ready(out);
            }
            State::Draining => self.close(now, out),
            State::Closing => {
                out.push(Action::Report(LifecycleEvent::CloseTimedOut));
                self.exit(out);
            }
            State::Starting | State::Ready | State::Gone => {}
        }
    }

    fn report_status(&self, state_before: State, status_before: &str, out: &mut Vec<Action>) {
        let status = self.status();
        let changed = self.state != state_before || status != status_before;
        if !changed || self.state == State::Gone {
            return;
        }
        out.push(Action::NotifyManager(ManagerMessage::Status(
            status.clone(),
        )));
        // A node without conditions of readiness logs its stop only.
        let stop_step = self.state != state_before && self.is_stopping();
        if !self.limits.readiness.is_none() || stop_step {
            out.push(Action::Report(LifecycleEvent::StatusChanged { status }));
        }
    }
}

/// Reloads.
impl Lifecycle {
    fn reload(&mut self, now: Time, out: &mut Vec<Action>) {
        match self.state {
            State::Ready => {
                out.push(Action::NotifyManager(ManagerMessage::Reloading));
                out.push(Action::ReadConfiguration);
                self.enter(State::Reloading, now, self.limits.reload_within);
            }
            // The manager waits for READY and may get no RELOADING before it.
            State::Starting if !self.reloading_at_start => {
                self.reloading_at_start = true;
                out.push(Action::ReadConfiguration);
            }
            State::Starting | State::Reloading => self.reload_queued = true,
            State::Draining | State::Closing | State::Gone => {
                out.push(Action::Report(LifecycleEvent::ReloadRejected));
            }
        }
    }

    fn reload_ended(&mut self, now: Time, applied: bool, out: &mut Vec<Action>) {
        let began_at_start = std::mem::take(&mut self.reloading_at_start);
        if self.state == State::Reloading && !began_at_start {
            self.return_to_ready(out);
        }
        if !applied {
            out.push(Action::Report(LifecycleEvent::ReloadFailed));
        }
        let queued = std::mem::take(&mut self.reload_queued);
        if queued && !self.is_stopping() {
            self.reload(now, out);
        }
    }

    fn return_to_ready(&mut self, out: &mut Vec<Action>) {
        self.state = State::Ready;
        self.state_deadline = None;
        // Also if readiness was lost meanwhile: for the manager READY only ends the reload.
        out.push(Action::NotifyManager(ManagerMessage::Ready));
    }
}

/// Sending clients away and taking them back.
impl Lifecycle {
    fn start_lame_duck(&mut self, now: Time, out: &mut Vec<Action>) {
        // A node that stops sends clients away already.
        if self.lame_duck.is_some() || self.is_stopping() {
            return;
        }
        let linger_end = now.saturating_add(LAME_DUCK_LINGER);
        self.lame_duck = Some(LameDuck::LingersUntil(linger_end));
        out.push(Action::CloseAfterAnswers);
        out.push(Action::Report(LifecycleEvent::LameDuckStarted));
    }

    fn end_lame_duck(&mut self, out: &mut Vec<Action>) {
        if !self.is_stopping() && self.lame_duck.take().is_some() {
            out.push(Action::KeepOpen);
            out.push(Action::Report(LifecycleEvent::LameDuckEnded));
        }
    }

    fn end_linger(&mut self, now: Time, out: &mut Vec<Action>) {
        if matches!(self.lame_duck, Some(LameDuck::LingersUntil(end)) if now >= end) {
            self.lame_duck = Some(LameDuck::ClosesIdle);
            // A node that stops closes idle connections when it enters `Closing`.
            if !self.is_stopping() {
                out.push(Action::CloseIdle);
            }
        }
    }
}

/// Stopping.
impl Lifecycle {
    fn stop(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        match self.state {
            State::Starting if !self.listening => {
                // No connection was accepted, so there is nothing to finish.
                out.push(Action::NotifyManager(ManagerMessage::Stopping));
                self.exit(out);
            }
            State::Starting | State::Ready | State::Reloading => self.drain(now, since, out),
            State::Draining => self.hasten_stop(now, since, out),
            State::Closing | State::Gone => {}
        }
    }

    fn drain(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        let longest = self.limits.leave_for + self.limits.finish_within;
        let plan = ShutdownPlan::new(now, since, longest);
        self.shutdown_plan = Some(plan);
        let left = plan.exit_by.saturating_sub(now);
        self.enter(State::Draining, now, self.limits.leave_for.min(left));
        out.push(Action::NotifyManager(ManagerMessage::Stopping));
        let manager_timeout = longest + MANAGER_TIMEOUT_MARGIN;
        out.push(Action::NotifyManager(ManagerMessage::ExtendTimeout(
            manager_timeout,
        )));
        out.push(Action::CloseAfterAnswers);
        if self.successor_present {
            out.push(Action::PauseAccepting);
        }
    }

    /// A second signal to stop: nothing new is accepted from now on, and work in flight has less time.
    fn hasten_stop(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        let plan = ShutdownPlan::new(now, since, self.limits.finish_within);
        self.shutdown_plan = Some(
            self.shutdown_plan
                .map_or(plan, |before| before.earlier(plan)),
        );
        self.close(now, out);
    }

    fn close(&mut self, now: Time, out: &mut Vec<Action>) {
        // The plan goes before limits that a reload has set meanwhile: the platform's time runs from the signal.
        let left = self
            .shutdown_plan
            .map_or(self.limits.finish_within, |plan| {
                plan.exit_by.saturating_sub(now)
            });
        self.enter(State::Closing, now, left);
        out.push(Action::StopAccepting);
    }

    fn exit(&mut self, out: &mut Vec<Action>) {
        self.state = State::Gone;
        self.state_deadline = None;
        out.push(Action::Exit);
    }

    /// A node that drains leaves new connections to its successor, for as long as there is one.
    fn set_successor(&mut self, present: bool, out: &mut Vec<Action>) {
        let changed = self.successor_present != present;
        self.successor_present = present;
        if changed && self.state == State::Draining {
            out.push(if present {
                Action::PauseAccepting
            } else {
                Action::ResumeAccepting
            });
        }
    }
}
