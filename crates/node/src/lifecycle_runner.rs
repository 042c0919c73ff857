//! Runs the life cycle: passes signals, admin calls, timeouts and readiness samples to its state machine and executes
//! the actions that it returns.

use crate::admin::{AdminCall, AdminReply};
use crate::clients::{Phase, ServingStatus};
use crate::deadline::reached;
use crate::manager::Manager;
use crate::node::Node;
use crate::readiness::ReadinessSampler;
use crate::shutdown;
use crate::signals::ProcessSignal;
use saffronpaddle_admin::AdminCommand;
use saffronpaddle_lifecycle::{Action, Event, Lifecycle, Limits, ShutdownPlan, State};
use std::future::{pending, Future};
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, Instant};
use tracing::info;

/// Pause between attempts to send messages for which the service manager's socket had no room.
const NOTIFY_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// The event loop counts as stuck if no policy timer has fired for this long, or for half of the watchdog's period if
/// that is longer, even if other tasks still run. The policy always has a timer due within half a second.
const MAX_TIMER_GAP: Duration = Duration::from_secs(1);
/// Heartbeats sent within one period of the watchdog.
const HEARTBEATS_PER_WATCHDOG_PERIOD: u32 = 4;

/// Drives the life cycle's state machine.
pub struct LifecycleRunner {
    machine: Lifecycle,
    manager: Rc<Manager>,
    status: watch::Sender<ServingStatus>,
    sampler: ReadinessSampler,
    started_at: Instant,
    /// When readiness was last sampled.
    sampled_at: Instant,
    /// The shutdown plan that the node was last notified of.
    shutdown_plan: Option<ShutdownPlan>,
    /// An admin call that is answered once the state machine has handled its event.
    pending_call: Option<AdminCall>,
}

/// Sources of outside events. A source is set to `None` once its channel is closed.
pub struct Inputs {
    /// Signals that the process receives.
    pub signals: Option<mpsc::UnboundedReceiver<ProcessSignal>>,
    /// Calls from the admin listener.
    pub calls: Option<mpsc::Receiver<AdminCall>>,
}

/// The result of a reload: the new limits, or `None` if the new configuration was not applied.
type Reloaded = Option<Limits>;

impl LifecycleRunner {
    /// Creates the runner of a life cycle that began at `started_at`.
    pub fn new(
        machine: Lifecycle,
        manager: Rc<Manager>,
        status: watch::Sender<ServingStatus>,
        sampler: ReadinessSampler,
        started_at: Instant,
    ) -> LifecycleRunner {
        // Makes the first sample due immediately.
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

    /// The reply to a command whose event the state machine has handled.
    fn answer(&self, command: AdminCommand) -> AdminReply {
        match command {
            AdminCommand::Ping => AdminReply {
                ok: self.machine.ready(),
                text: self.machine.status(),
            },
            AdminCommand::Lameduck => AdminReply {
                ok: self.machine.closes_connections(),
                text: self.machine.status(),
            },
            AdminCommand::Rejoin => AdminReply {
                ok: self.machine.state() < State::Draining,
                text: self.machine.status(),
            },
            // The admin listener answers `INFO` itself and does not pass it on.
            AdminCommand::Info => AdminReply {
                ok: false,
                text: String::new(),
            },
        }
    }

    /// Logs a shutdown plan and passes its deadline to the node.
    fn start_shutdown(&self, now: Duration, plan: ShutdownPlan) {
        let node = self.sampler.node();
        info!(
            state = self.machine.state().name(),
            answer_in_ms = plan.answer_by.saturating_sub(now).as_millis() as u64,
            ends_in_ms = plan.exit_by.saturating_sub(now).as_millis() as u64,
            open_requests = node.open_requests().len(),
            "stopping: shutdown deadlines set"
        );
        node.announce_shutdown(self.started_at + plan.answer_by);
    }

    /// When the loop must wake without an input: for a timeout, a readiness sample or a retry; `None` if nothing is
    /// due.
    fn next_wakeup(&self) -> Option<Instant> {
        let deadline = self
            .machine
            .deadline()
            .map(|elapsed| self.started_at + elapsed);
        let retry = self
            .manager
            .has_queued()
            .then(|| Instant::now() + NOTIFY_RETRY_INTERVAL);
        [deadline, self.next_sample(), retry]
            .into_iter()
            .flatten()
            .min()
    }

    /// When readiness is to be sampled next; `None` if readiness has no conditions.
    fn next_sample(&self) -> Option<Instant> {
        let interval = self.machine.next_sample_in();
        interval.map(|interval| self.sampled_at + interval)
    }

    /// Runs until the state machine ends the process. `reload` reads the configuration again, concurrently with
    /// everything else. `connections_closed` completes once all client connections have closed.
    pub async fn run<R: Future<Output = Reloaded> + 'static>(
        mut self,
        mut inputs: Inputs,
        reload: impl Fn() -> R,
        connections_closed: impl Future,
    ) {
        let (reloaded_sender, mut reloaded) = mpsc::unbounded_channel();
        let start_reload = || {
            let (sender, reloading) = (reloaded_sender.clone(), reload());
            tokio::task::spawn_local(async move {
                // Sending fails if the runner has finished.
                let _ = sender.send(reloading.await);
            });
        };
        let mut successor = self.sampler.node().links.watch_successor();
        let mut connections_closed = Some(Box::pin(connections_closed));
        let mut event = Event::Listening;
        loop {
            let now = self.now();
            let mut actions = Vec::new();
            self.machine.handle(now, event, &mut actions);
            let exits = actions.contains(&Action::Exit);
            let status = self.execute(actions, &start_reload);
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
                () = ended(&mut connections_closed) => {
                    connections_closed = None;
                    Event::ConnectionsClosed
                }
                () = reached(wakeup) => self.on_wakeup(),
            };
        }
    }

    /// Executes the actions of the state machine. Returns the resulting status, which is not published yet.
    fn execute(&self, actions: Vec<Action>, start_reload: &impl Fn()) -> ServingStatus {
        let mut status = self.status.borrow().clone();
        for action in actions {
            match action {
                Action::NotifyManager(message) => self.manager.notify(&message),
                Action::ReadConfiguration => start_reload(),
                Action::CloseAfterResponses => {
                    status.phase = status.phase.max(Phase::CloseAfterResponse);
                }
                Action::CloseIdle => status.phase = status.phase.max(Phase::CloseIdle),
                Action::KeepOpen => status.phase = Phase::Serving,
                Action::PauseAccepting => status.accepts = false,
                Action::ResumeAccepting => status.accepts = true,
                Action::StopAccepting => status.phase = Phase::StopAccepting,
                Action::Report(event) => info!("{event}"),
                // `run` returns after this iteration.
                Action::Exit => {}
            }
        }
        status
    }

    /// Notifies the node of the shutdown plan if it has changed.
    fn announce_shutdown(&mut self, now: Duration) {
        let plan = self.machine.shutdown_plan();
        if let Some(plan) = plan.filter(|_| plan != self.shutdown_plan) {
            self.start_shutdown(now, plan);
            self.shutdown_plan = Some(plan);
        }
    }

    /// Publishes the serving status if it has changed.
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

    /// Answers the pending admin call, whose event the state machine has handled.
    fn answer_pending_call(&mut self) {
        if let Some(pending) = self.pending_call.take() {
            // Sending fails if the caller has disconnected.
            let _ = pending.answer.send(self.answer(pending.command));
        }
    }

    /// Logs the requests that are still open at the exit of the process.
    fn finish(self) {
        shutdown::log_open_requests_once("gone", self.sampler.node());
        self.sampler.node().process_exits();
        // Tries queued messages once more without waiting; the manager also notices that the process has exited.
        self.manager.retry();
    }

    /// The event of the next signal, reload result or admin call; in this order if several are ready.
    async fn next_input(
        &mut self,
        inputs: &mut Inputs,
        reloaded: &mut mpsc::UnboundedReceiver<Reloaded>,
    ) -> Event {
        tokio::select! {
            biased;
            signal = received(&mut inputs.signals) => match signal {
                // The platform's kill timeout runs from when the signal was sent.
                Some(ProcessSignal::Stop { sent_after }) => Event::Stop {
                    since: sent_after.saturating_duration_since(self.started_at),
                },
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
                let event = match call.command {
                    AdminCommand::Lameduck => Event::Lameduck,
                    AdminCommand::Rejoin => Event::Rejoin,
                    AdminCommand::Ping | AdminCommand::Info => Event::Tick,
                };
                self.pending_call = Some(call);
                event
            }
        }
    }

    /// Retries queued messages, and samples readiness if a sample is due.
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

/// The next signal. Returns `None` once when the channel is closed, and is pending from then on.
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

/// The next admin call. Returns `None` once when the channel is closed, and is pending from then on.
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

/// Waits for a future to complete. Never completes if the future has completed before.
async fn ended<F: Future>(future: &mut Option<Pin<Box<F>>>) {
    match future {
        Some(future) => _ = future.await,
        None => pending().await,
    }
}

/// Sends heartbeats to the manager's watchdog as long as the node's event loop makes progress, which is checked by the
/// policy's own timers. A separate thread or timer would send heartbeats while the loop is stuck, and the manager would
/// never restart the node.
pub async fn send_heartbeats(node: Rc<Node>, manager: Rc<Manager>) {
    let Some(watchdog_period) = manager.watchdog() else {
        return;
    };
    loop {
        if node.since_last_timer() <= MAX_TIMER_GAP.max(watchdog_period / 2) {
            manager.send_heartbeat();
        }
        sleep(watchdog_period / HEARTBEATS_PER_WATCHDOG_PERIOD).await;
    }
}
