//! The state machine of a node's life cycle.

use crate::action::{Action, LifecycleEvent, ManagerMessage};
use crate::event::Event;
use crate::limits::Limits;
use crate::readiness::{Readiness, Reasons};
use crate::shutdown::ShutdownPlan;
use crate::state::State;
use crate::time::Time;
use std::time::Duration;

/// Added to the stop timeout that the service manager is asked for, so that it never kills a node that stops in time.
const MANAGER_TIMEOUT_MARGIN: Duration = Duration::from_secs(1);

/// How long a lame-duck node keeps idle connections open. A front end polls readiness every 0.1 s and, after a lame
/// duck has reported that it is not ready, opens new connections for up to 0.2 s more (0.4 s if a stop was
/// requested, see `Limits`). Without the delay, its requests could arrive while the node closes their connection, and
/// be lost.
const LAME_DUCK_LINGER: Duration = Duration::from_millis(500);

/// The life cycle of an edge node.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    limits: Limits,
    state: State,
    readiness: Readiness,
    listening: bool,
    /// `READY=1` was sent for start-up; after that it is sent for reloads only.
    ready_sent: bool,
    /// At the latest event the node listened and all readiness conditions held.
    conditions_hold: bool,
    /// When the current state times out; `None` if it has no timeout.
    state_deadline: Option<Time>,
    /// Set once a stop was requested.
    shutdown_plan: Option<ShutdownPlan>,
    /// At least one more reload was requested during a reload; one reload serves them all.
    reload_queued: bool,
    /// A reload that began before the node was ready is still running.
    reloading_at_start: bool,
    /// Set in lame-duck mode. It is not a [`State`], because it combines with any state and can be revoked.
    lame_duck: Option<LameDuck>,
    /// Another process of this node accepts connections.
    successor_present: bool,
}

/// The phase of lame-duck mode.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LameDuck {
    /// Responses close their connections; idle connections stay open until this time.
    LingersUntil(Time),
    /// Idle connections are closed too.
    ClosesIdle,
}

impl Lifecycle {
    /// Interval between [`Event::Observed`] after start-up. It is the resolution of the readiness delays.
    pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
    /// Interval during start-up, when most conditions are met within milliseconds.
    pub const SAMPLE_INTERVAL_STARTING: Duration = Duration::from_millis(10);

    /// Creates the life cycle of a process that starts at `now`.
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

    /// Whether the node accepts new requests, as `/-/ready` reports it.
    pub fn ready(&self) -> bool {
        self.conditions_hold
            && self.lame_duck.is_none()
            && matches!(self.state, State::Ready | State::Reloading)
    }

    /// Whether responses close their connections, because of lame-duck mode or because the node is stopping.
    pub fn closes_connections(&self) -> bool {
        self.lame_duck.is_some() || self.is_stopping()
    }

    /// The failing readiness conditions; empty if only the state keeps the node from being ready.
    pub fn reasons(&self) -> Reasons {
        self.readiness.reasons()
    }

    /// A human-readable status line: the state, and why the node is not ready.
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

    /// The deadlines of the shutdown; `None` until a stop is requested. No action announces a change: the
    /// caller checks the plan after each event and passes a new one to the exchange (`ShutdownAnnounced`), which caps
    /// the deadlines of all requests with it.
    pub fn shutdown_plan(&self) -> Option<ShutdownPlan> {
        self.shutdown_plan
    }

    /// Delay between the latest [`Event::Observed`] and the next; `None` if no more are needed, because there are no
    /// readiness conditions or the node is stopping.
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

    /// When [`Event::Tick`] is due; `None` if neither the state nor the linger of a lame duck has a timeout.
    pub fn deadline(&self) -> Option<Time> {
        let linger_end = match self.lame_duck {
            Some(LameDuck::LingersUntil(end)) => Some(end),
            Some(LameDuck::ClosesIdle) | None => None,
        };
        self.state_deadline.into_iter().chain(linger_end).min()
    }

    /// Replaces the limits. A shutdown or reload that has begun keeps its deadline.
    pub fn set_limits(&mut self, limits: Limits) {
        self.readiness.set_conditions(limits.readiness.clone());
        self.limits = limits;
    }

    /// Handles one event and appends the resulting actions to `out`.
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
            Event::Observed(sample) => self.readiness.observe(now, &sample),
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
        // A node without readiness conditions logs only the states of its shutdown.
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
                self.enter(State::Reloading, now, self.limits.reload_timeout);
            }
            // The service manager still waits for READY=1 and must not receive RELOADING=1 before it.
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
        // Sent even if the node is no longer ready: for the service manager, READY=1 only marks the end of the reload.
        out.push(Action::NotifyManager(ManagerMessage::Ready));
    }
}

/// Lame-duck mode.
impl Lifecycle {
    fn start_lame_duck(&mut self, now: Time, out: &mut Vec<Action>) {
        // A stopping node closes its connections already.
        if self.lame_duck.is_some() || self.is_stopping() {
            return;
        }
        let linger_end = now.saturating_add(LAME_DUCK_LINGER);
        self.lame_duck = Some(LameDuck::LingersUntil(linger_end));
        out.push(Action::CloseAfterResponses);
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
            // A stopping node closes idle connections when it enters `Closing`.
            if !self.is_stopping() {
                out.push(Action::CloseIdle);
            }
        }
    }
}

/// Shutdown.
impl Lifecycle {
    fn stop(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        match self.state {
            State::Starting if !self.listening => {
                // No connection was accepted, so no request is in flight.
                out.push(Action::NotifyManager(ManagerMessage::Stopping));
                self.exit(out);
            }
            State::Starting | State::Ready | State::Reloading => self.drain(now, since, out),
            State::Draining => self.shorten_shutdown(now, since, out),
            State::Closing | State::Gone => {}
        }
    }

    fn drain(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        let max_duration = self.limits.drain_duration + self.limits.close_timeout;
        let plan = ShutdownPlan::new(now, since, max_duration);
        self.shutdown_plan = Some(plan);
        let left = plan.exit_by.saturating_sub(now);
        self.enter(State::Draining, now, self.limits.drain_duration.min(left));
        out.push(Action::NotifyManager(ManagerMessage::Stopping));
        let manager_timeout = max_duration + MANAGER_TIMEOUT_MARGIN;
        out.push(Action::NotifyManager(ManagerMessage::ExtendTimeout(
            manager_timeout,
        )));
        out.push(Action::CloseAfterResponses);
        if self.successor_present {
            out.push(Action::PauseAccepting);
        }
    }

    /// Handles a second signal to stop: closes the listener now and brings the shutdown deadline forward.
    fn shorten_shutdown(&mut self, now: Time, since: Time, out: &mut Vec<Action>) {
        let plan = ShutdownPlan::new(now, since, self.limits.close_timeout);
        self.shutdown_plan = Some(
            self.shutdown_plan
                .map_or(plan, |before| before.earlier(plan)),
        );
        self.close(now, out);
    }

    fn close(&mut self, now: Time, out: &mut Vec<Action>) {
        // The plan takes precedence over limits that a reload has set since: the platform's kill timeout runs from the
        // signal.
        let left = self
            .shutdown_plan
            .map_or(self.limits.close_timeout, |plan| {
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

    /// A stopping node leaves new connections to its successor while one is present.
    fn set_successor(&mut self, present: bool, out: &mut Vec<Action>) {
        let changed = self.successor_present != present;
        self.successor_present = present;
        if changed && matches!(self.state, State::Draining | State::Closing) {
            out.push(if present {
                Action::PauseAccepting
            } else {
                Action::ResumeAccepting
            });
        }
    }
}
