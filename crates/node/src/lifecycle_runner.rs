//! Runs the life cycle: feeds its state machine with signals, calls, time and samples, and carries out its actions.

use crate::admin::{AdminCall, AdminReply};
use crate::clients::{Phase, ServingStatus};
use crate::deadline::reached;
use crate::event_loop;
use crate::manager::Manager;
use crate::node::Node;
use crate::readiness::ReadinessSampler;
use crate::shutdown;
use saffronpaddle_admin::Call;
use saffronpaddle_lifecycle::{Action, Event, Lifecycle, Limits, ShutdownPlan, State};
use std::future::{pending, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};
use tracing::info;

/// A signal to the process, as the program translates it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// SIGTERM: finish accepted requests, then exit.
    Stop,
    /// SIGHUP: read the configuration again.
    Reload,
}

/// Pause between attempts to send the service manager what its socket had no room for.
const NOTIFY_RETRY: Duration = Duration::from_millis(50);
/// The policy always has a timer due within half a second. If none has fired for this long (or for half of the watchdog's
/// period, if that is longer), the event loop counts as stuck, whatever else still runs in it.
const MAX_TIMER_GAP: Duration = Duration::from_secs(1);
/// Heartbeats in the time that the manager allows for one.
const HEARTBEATS_PER_WATCHDOG_PERIOD: u32 = 4;

/// Runs the life cycle's state machine.
pub struct LifecycleRunner {
    machine: Lifecycle,
    manager: Rc<Manager>,
    status: watch::Sender<ServingStatus>,
    sampler: ReadinessSampler,
    started_at: Instant,
    /// When readiness was last sampled.
    sampled_at: Instant,
    /// The plan that the node was last notified of.
    shutdown_plan: Option<ShutdownPlan>,
    /// A call that is answered once the state machine has handled it.
    pending_call: Option<AdminCall>,
}

/// What a life cycle is notified of from outside; a source that has ended is set to `None`.
pub struct Inputs {
    /// Signals to the process.
    pub signals: Option<mpsc::UnboundedReceiver<ProcessSignal>>,
    /// Calls of staff.
    pub calls: Option<mpsc::Receiver<AdminCall>>,
}

/// The outcome of reading the configuration again: the limits that it sets, or nothing where it was not applied.
type Reloaded = Option<Limits>;

impl LifecycleRunner {
    /// A life cycle that began at `started_at`.
    pub fn new(
        machine: Lifecycle,
        manager: Rc<Manager>,
        status: watch::Sender<ServingStatus>,
        sampler: ReadinessSampler,
        started_at: Instant,
    ) -> LifecycleRunner {
        // The first sample is due at once.
        let sampled_at = started_at
            .checked_sub(Lifecycle::SAMPLE_INTERVAL)
            .unwrap_or(started_at);
        LifecycleRunner {
            machine,
            manager,
            status,
            sampler,
            started_at,
            sampled_at,
            shutdown_plan: None,
            pending_call: None,
        }
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// The answer to a call that the state machine has handled.
    fn answer(&self, call: Call) -> AdminReply {
        match call {
            Call::Ping => AdminReply {
                ok: self.machine.ready(),
                text: self.machine.status(),
            },
            Call::Lameduck => AdminReply {
                ok: self.machine.closes_connections(),
                text: self.machine.status(),
            },
            Call::Rejoin => AdminReply {
                ok: self.machine.state() < State::Draining,
                text: self.machine.status(),
            },
            // The figures are the node's.
            Call::Info => AdminReply {
                ok: false,
                text: String::new(),
            },
        }
    }

    /// The event of a signal to stop. A loop that was held up reads it late, and the platform's time runs from the signal.
    fn stop(&self) -> Event {
        let since = event_loop::arrived_after()
            .map_or_else(|| self.now(), |since| since.duration_since(self.started_at));
        Event::Stop { since }
    }

    /// Bounds all that the node has taken, and all that it takes from now on, by the process's end.
    fn begin_to_stop(&self, now: Duration, plan: ShutdownPlan) {
        let node = self.sampler.node();
        info!(
            state = self.machine.state().name(),
            answer_in_ms = plan.answer_by.saturating_sub(now).as_millis() as u64,
            ends_in_ms = plan.exit_by.saturating_sub(now).as_millis() as u64,
            open_requests = node.open_requests().len(),
            "told to stop"
        );
        node.announce_shutdown(self.started_at + plan.answer_by);
    }

    /// When something is due by itself.
    fn next_wakeup(&self) -> Option<Instant> {
        let deadline = self.machine.deadline().map(|until| self.started_at + until);
        let retry = self
            .manager
            .has_queued()
            .then(|| Instant::now() + NOTIFY_RETRY);
        [deadline, self.next_sample(), retry]
            .into_iter()
            .flatten()
            .min()
    }

    /// When readiness is to be sampled next.
    fn next_sample(&self) -> Option<Instant> {
        let span = self.machine.next_sample_in();
        span.map(|span| self.sampled_at + span)
    }

    /// Runs until the state machine says that the process ends. `reload` reads the configuration again, beside everything else.
    /// `served` ends once all clients are gone.
    pub async fn run<R: Future<Output = Reloaded> + 'static>(
        mut self,
        mut inputs: Inputs,
        reload: impl Fn() -> R,
        served: impl Future,
    ) {
        let (reloaded_sender, mut reloaded) = mpsc::unbounded_channel();
        let start_reload = || {
            let (sender, reading) = (reloaded_sender.clone(), reload());
            tokio::task::spawn_local(async move {
                // The machine may have ended meanwhile.
                let _ = sender.send(reading.await);
            });
        };
        let mut successor = self.sampler.node().links.successor();
        let mut served = Some(Box::pin(served));
        let mut event = Event::Listening;
        loop {
            let now = self.now();
            let mut actions = Vec::new();
            self.machine.handle(now, event, &mut actions);
            let exits = actions.contains(&Action::Exit);
            let status = self.apply(actions, &start_reload);
            self.announce_shutdown(now);
            self.publish(status);
            self.answer_pending_call();
            if exits {
                return self.finish();
            }
            let wakeup = self.next_wakeup();
            event = tokio::select! {
                biased;
                event = self.next_input(&mut inputs, &mut reloaded) => event,
                Ok(()) = successor.changed() => Event::SuccessorPresent(*successor.borrow_and_update()),
                () = ended(&mut served) => {
                    served = None;
                    Event::ConnectionsClosed
                }
                () = reached(wakeup) => self.on_wakeup(),
            };
        }
    }

    /// Carries out what the state machine asks for; how the node serves from then on.
    fn apply(&self, actions: Vec<Action>, start_reload: &impl Fn()) -> ServingStatus {
        let mut status = self.status.borrow().clone();
        for action in actions {
            match action {
                Action::NotifyManager(message) => self.manager.notify(&message),
                Action::ReadConfiguration => start_reload(),
                Action::CloseAfterAnswers => status.phase = status.phase.max(Phase::Leaving),
                Action::CloseIdle => status.phase = status.phase.max(Phase::Emptying),
                Action::KeepOpen => status.phase = Phase::Serving,
                Action::PauseAccepting => status.accepts = false,
                Action::ResumeAccepting => status.accepts = true,
                Action::StopAccepting => status.phase = Phase::Closing,
                Action::Report(event) => info!("{event}"),
                // The loop ends after this round.
                Action::Exit => {}
            }
        }
        status
    }

    /// Notifies the node of a plan to stop that is new.
    fn announce_shutdown(&mut self, now: Duration) {
        let plan = self.machine.shutdown_plan();
        if let Some(plan) = plan.filter(|_| plan != self.shutdown_plan) {
            self.begin_to_stop(now, plan);
            self.shutdown_plan = Some(plan);
        }
    }

    /// Publishes how the node serves, if that has changed.
    fn publish(&self, status: ServingStatus) {
        let plan = self.machine.shutdown_plan();
        let status = ServingStatus {
            ready: self.machine.ready(),
            reasons: self.machine.reasons(),
            answer_by: plan.map(|plan| self.started_at + plan.answer_by),
            ..status
        };
        self.status.send_if_modified(|published| {
            let changed = *published != status;
            *published = status;
            changed
        });
    }

    /// Answers the call that the state machine has handled.
    fn answer_pending_call(&mut self) {
        if let Some(pending) = self.pending_call.take() {
            // The caller may have gone meanwhile.
            let _ = pending.answer.send(self.answer(pending.call));
        }
    }

    /// The process ends: what is still open is logged.
    fn finish(self) {
        shutdown::log_open_requests_once("gone", self.sampler.node());
        self.sampler.node().process_exits();
        // The last messages are worth one more attempt and no wait: the manager also sees the process end.
        self.manager.retry();
    }

    /// The next signal, reloaded configuration or call, in this order where there are several.
    async fn next_input(
        &mut self,
        inputs: &mut Inputs,
        reloaded: &mut mpsc::UnboundedReceiver<Reloaded>,
    ) -> Event {
        tokio::select! {
            biased;
            signal = received(&mut inputs.signals) => match signal {
                Some(ProcessSignal::Stop) => self.stop(),
                Some(ProcessSignal::Reload) => Event::Reload,
                None => Event::Tick,
            },
            Some(limits) = reloaded.recv() => {
                let applied = limits.is_some();
                limits.into_iter().for_each(|limits| self.machine.set_limits(limits));
                Event::Reloaded { applied }
            }
            call = received_call(&mut inputs.calls) => {
                let Some(call) = call else { return Event::Tick };
                let event = match call.call {
                    Call::Lameduck => Event::Lameduck,
                    Call::Rejoin => Event::Rejoin,
                    Call::Ping | Call::Info => Event::Tick,
                };
                self.pending_call = Some(call);
                event
            }
        }
    }

    /// Something is due: samples readiness if that is.
    fn on_wakeup(&mut self) -> Event {
        self.manager.retry();
        let lag = self
            .next_sample()
            .and_then(|due| Instant::now().checked_duration_since(due));
        match lag {
            Some(lag) => {
                self.sampled_at = Instant::now();
                Event::Observed(self.sampler.sample(lag))
            }
            None => Event::Tick,
        }
    }
}

/// The next signal; `None` once, when there will be no more.
async fn received(
    signals: &mut Option<mpsc::UnboundedReceiver<ProcessSignal>>,
) -> Option<ProcessSignal> {
    let Some(receiver) = signals else {
        return pending().await;
    };
    let signal = receiver.recv().await;
    if signal.is_none() {
        *signals = None;
    }
    signal
}

/// The next call; `None` once, when there will be no more.
async fn received_call(calls: &mut Option<mpsc::Receiver<AdminCall>>) -> Option<AdminCall> {
    let Some(receiver) = calls else {
        return pending().await;
    };
    let call = receiver.recv().await;
    if call.is_none() {
        *calls = None;
    }
    call
}

/// Waits for a future's end; for ever where it has ended before.
async fn ended<F: Future>(future: &mut Option<Pin<Box<F>>>) {
    match future {
        Some(future) => _ = future.await,
        None => pending().await,
    }
}

/// Feeds the manager's watchdog for as long as the node's loop makes progress. A thread or timer of its own would feed it
/// while the loop is stuck, and the manager would never restart the node: so what is checked is the policy's own timer.
pub async fn feed_watchdog(node: Rc<Node>, manager: Rc<Manager>) {
    let Some(allowed) = manager.watchdog() else {
        return;
    };
    loop {
        if node.since_last_timer() <= MAX_TIMER_GAP.max(allowed / 2) {
            manager.send_heartbeat();
        }
        sleep(allowed / HEARTBEATS_PER_WATCHDOG_PERIOD).await;
    }
}
