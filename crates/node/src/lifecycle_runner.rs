//! Runs the life cycle: words in (signals, time, what is seen), what the state machine asks for out.

use crate::admin::{AdminCall, AdminReply};
use crate::clients::{Phase, ServingStatus};
use crate::event_loop;
use crate::manager::Manager;
use crate::node::Node;
use crate::readiness::ReadinessSampler;
use crate::shutdown;
use saffronpaddle_admin::Call;
use saffronpaddle_lifecycle::{Action, Event, Lifecycle, Limits, ShutdownPlan, State};
use std::future::{pending, Future};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio::time::{sleep, sleep_until, Instant};
use tracing::info;

/// What a node is told from outside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Stop: finish what was taken, then end.
    Stop,
    /// Read the configuration anew.
    Reload,
}

/// Between tries to tell the service manager what its socket had no room for.
const NOTIFY_RETRY: Duration = Duration::from_millis(50);
/// The decision module asks to be woken at least every half second; a loop in which that has not happened for so much
/// longer makes no progress, whatever else still runs in it.
const MAX_TIMER_GAP: Duration = Duration::from_secs(1);
/// Signs of life in the time that the manager allows for one.
const HEARTBEATS_PER_WATCHDOG_PERIOD: u32 = 4;

/// What the life cycle drives.
pub struct LifecycleRunner {
    pub machine: Lifecycle,
    pub manager: Rc<Manager>,
    pub status: watch::Sender<ServingStatus>,
    pub sampler: ReadinessSampler,
    pub started_at: Instant,
}

impl LifecycleRunner {
    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// What is said to a call that the machine has heard.
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

    /// When something must be looked at or ends by itself.
    fn next(&self, looked: Instant) -> Option<Instant> {
        let until = self.machine.deadline().map(|until| self.started_at + until);
        let look = self.machine.next_sample_in().map(|span| looked + span);
        let retry = self
            .manager
            .has_queued()
            .then(|| Instant::now() + NOTIFY_RETRY);
        [until, look, retry].into_iter().flatten().min()
    }

    /// Runs until the machine says that the process ends. `reload` reads the configuration and says what limits
    /// it sets, or nothing where it was not taken; it runs beside everything else. `served` ends once all clients have.
    pub async fn run<R: Future<Output = Option<Limits>> + 'static>(
        mut self,
        mut signals: mpsc::UnboundedReceiver<ProcessSignal>,
        mut calls: mpsc::Receiver<AdminCall>,
        reload: impl Fn() -> R,
        served: impl Future,
    ) {
        let (tell, mut reloaded) = mpsc::unbounded_channel();
        let mut succeeded = self.sampler.node().links.successor();
        tokio::pin!(served);
        let (mut clients_left, mut words_left, mut calls_left) = (true, true, true);
        let mut asked: Option<AdminCall> = None;
        // The first look is due at once.
        let mut looked = self
            .started_at
            .checked_sub(Lifecycle::SAMPLE_INTERVAL)
            .unwrap_or(self.started_at);
        let mut event = Event::Listening;
        let mut stopping: Option<ShutdownPlan> = None;
        loop {
            let mut out = Vec::new();
            let now = self.now();
            self.machine.handle(now, event, &mut out);
            let before = self.status.borrow().clone();
            let (mut phase, mut accepts, mut gone) = (before.phase, before.accepts, false);
            for action in out {
                match action {
                    Action::NotifyManager(word) => self.manager.notify(&word),
                    Action::ReadConfiguration => {
                        let (tell, reading) = (tell.clone(), reload());
                        tokio::task::spawn_local(async move {
                            // The machine may have ended meanwhile.
                            let _ = tell.send(reading.await);
                        });
                    }
                    Action::CloseAfterAnswers => phase = phase.max(Phase::Leaving),
                    Action::CloseIdle => phase = phase.max(Phase::Emptying),
                    Action::KeepOpen => phase = Phase::Serving,
                    Action::PauseAccepting => accepts = false,
                    Action::ResumeAccepting => accepts = true,
                    Action::StopAccepting => phase = Phase::Closing,
                    Action::Report(event) => info!("{event}"),
                    Action::Exit => gone = true,
                }
            }
            let plan = self.machine.shutdown_plan();
            if let Some(plan) = plan.filter(|_| plan != stopping) {
                self.begin_to_stop(now, plan);
                stopping = Some(plan);
            }
            let (ready, reasons) = (self.machine.ready(), self.machine.reasons());
            let answer_by = plan.map(|plan| self.started_at + plan.answer_by);
            let after = ServingStatus {
                phase,
                accepts,
                ready,
                reasons,
                answer_by,
            };
            if after != before {
                self.status.send_replace(after);
            }
            if let Some(asked) = asked.take() {
                // Who asked may have gone meanwhile.
                let _ = asked.answer.send(self.answer(asked.call));
            }
            if gone {
                shutdown::log_open_requests_once("gone", self.sampler.node());
                self.sampler.node().process_exits();
                // The last words are worth a moment, but no more: the manager also sees the process end.
                self.manager.retry();
                return;
            }
            let next = self.next(looked);
            event = tokio::select! {
                biased;
                word = signals.recv(), if words_left => match word {
                    Some(ProcessSignal::Stop) => self.stop(),
                    Some(ProcessSignal::Reload) => Event::Reload,
                    None => {
                        words_left = false;
                        Event::Tick
                    }
                },
                Some(limits) = reloaded.recv() => {
                    let taken = limits.is_some();
                    limits.into_iter().for_each(|limits| self.machine.set_limits(limits));
                    Event::Reloaded { applied: taken }
                }
                call = calls.recv(), if calls_left => if let Some(call) = call {
                    let event = match call.call {
                        Call::Lameduck => Event::Lameduck,
                        Call::Rejoin => Event::Rejoin,
                        Call::Ping | Call::Info => Event::Tick,
                    };
                    asked = Some(call);
                    event
                } else {
                    calls_left = false;
                    Event::Tick
                },
                Ok(()) = succeeded.changed() => Event::SuccessorPresent(*succeeded.borrow_and_update()),
                _ = &mut served, if clients_left => {
                    clients_left = false;
                    Event::ConnectionsClosed
                }
                () = until(next) => {
                    self.manager.retry();
                    let due = self.machine.next_sample_in().map(|span| looked + span);
                    match due.map(|due| Instant::now().checked_duration_since(due)) {
                        Some(Some(lag)) => {
                            looked = Instant::now();
                            Event::Observed(self.sampler.sample(lag))
                        }
                        _ => Event::Tick,
                    }
                }
            };
        }
    }
}

async fn until(moment: Option<Instant>) {
    match moment {
        Some(moment) => sleep_until(moment).await,
        None => pending().await,
    }
}

/// Feeds the manager's watchdog for as long as the node's loop makes progress. Danger: a watchdog that is fed by a
/// thread or timer of its own, while what it should guard is stuck.
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
