//! Runs the steps of a scenario on the processes and test doubles of a fleet.

use crate::instance::{Instance, TimedSignal};
use crate::scenario::{Scenario, StepAction, Termination};
use crate::server_list::ServerList;
use nix::sys::signal::Signal;
use saffronpaddle_test_doubles::discovery::Discovery;
use saffronpaddle_test_doubles::etcd::Member;
use saffronpaddle_test_doubles::links::{End, Fault, LinkSet, Links};
use saffronpaddle_test_doubles::load::{Customer, LoadGenerator};
use saffronpaddle_test_doubles::servers::{AppServer, Behavior};
use saffronpaddle_test_doubles::World;
use std::collections::BTreeSet;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::MutexGuard;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// How long a drained server's process runs on after discovery has reported the drain.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// The platform kills a terminated process this long after the longest deadline, which counts at most as
/// [`MAX_DEADLINE_BEFORE_KILL`].
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Upper limit on the longest deadline when the time of the kill is computed.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// How long the platform may stall a process.
const STALL_TIME: Duration = Duration::from_millis(150);
/// Time after SIGTERM within which clients with an open connection send their requests, unless they do so until the
/// kill.
const OPEN_CLIENT_SPAN: Duration = Duration::from_millis(1300);
/// Interval at which the end of a killed process is checked.
const END_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Times of a scenario that its steps use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StepTimes {
    /// An instance that is not ready within this time counts as failed.
    ready_timeout: Duration,
    /// Delay with which discovery reports changes.
    discovery_delay: Duration,
    /// Time from SIGTERM to SIGKILL: the earliest that the platform may choose.
    killed_after: Duration,
}

impl StepTimes {
    /// The times of a scenario.
    pub fn of_scenario(scenario: &Scenario) -> StepTimes {
        let fleet = scenario.fleet();
        let deadlines = fleet.classes.iter().map(|class| class.deadline);
        let longest_deadline = deadlines.max().unwrap_or_default();
        StepTimes {
            ready_timeout: scenario.ready_timeout,
            discovery_delay: scenario.discovery_delay,
            killed_after: longest_deadline.min(MAX_DEADLINE_BEFORE_KILL) + KILL_GRACE,
        }
    }
}

/// What a step may act on.
pub(crate) struct StepRunner {
    pub world: Arc<World>,
    pub discovery: Arc<Discovery>,
    pub links: Arc<Links>,
    pub load_generator: Arc<LoadGenerator>,
    pub server_list: ServerList,
    pub instances: Vec<Arc<Instance>>,
    pub servers: Vec<AppServer>,
    pub customers: Vec<Customer>,
    pub times: StepTimes,
}

impl StepRunner {
    /// Runs one step and returns when it has ended.
    pub async fn run(self: Arc<Self>, action: StepAction) {
        let _lifecycle_guard = self.lock_instance(&action).await;
        match action {
            StepAction::Start(target) => self.start_if_ended(target).await,
            StepAction::Reload(target) => self.reload(target).await,
            StepAction::Restart(target) => self.restart(target).await,
            StepAction::Terminate(target, termination) => self.terminate(target, termination).await,
            StepAction::Kill(target, duration) => self.kill(target, duration).await,
            StepAction::KillDuringStart(target, duration) => {
                self.kill_during_start(target, duration).await;
            }
            StepAction::Pause(target, duration) => self.pause(target, duration).await,
            StepAction::LinkFault(link_set, fault, duration, heal_gap) => {
                self.fault_links(link_set, fault, duration, heal_gap).await;
            }
            StepAction::ListServiceDown(duration) => {
                self.discovery.set_limits(|limits| limits.down = true);
                sleep(duration).await;
                self.discovery.set_limits(|limits| limits.down = false);
            }
            StepAction::RestoreList(mode) => self.discovery.restore(mode),
            StepAction::AddServer(target) => self.server_list.start(&self.servers[target]),
            StepAction::LoadBurst(factor, duration) => self.burst(factor, duration).await,
            StepAction::HoldIdleConnections(target, duration) => {
                self.load_generator
                    .hold_idle_connections(target, duration)
                    .await;
            }
            StepAction::DrainServer(target, duration) => self.drain_server(target, duration).await,
            StepAction::ToggleDraining(target, duration) => {
                let server = &self.servers[target];
                self.server_list.update(server, "draining", None);
                sleep(duration).await;
                self.server_list.update(server, "ready", None);
            }
            StepAction::CrashServer(target, duration) => {
                self.server_list
                    .crash(&self.servers[target], duration)
                    .await;
            }
            StepAction::CutEtcdConnections(target) => {
                self.etcd_member(target)
                    .into_iter()
                    .for_each(Member::cut_connections);
            }
            StepAction::FreezeEtcdMember(target, duration) => {
                self.freeze_etcd_member(target, duration).await;
            }
            StepAction::CompactEtcd => {
                if let Some(etcd) = &self.server_list.etcd {
                    etcd.compact(etcd.revision());
                }
            }
            StepAction::SilenceServer(target, duration) => {
                let servers = &self.servers[target..=target];
                set_for(servers, duration, [true, false], |behavior, silent| {
                    behavior.silent = silent;
                })
                .await;
            }
            StepAction::ServerResets(target, share, duration) => {
                let servers = &self.servers[target..=target];
                set_for(servers, duration, [share, 0.0], |behavior, share| {
                    behavior.reset_share = share;
                })
                .await;
            }
            StepAction::ServerErrors(target, share, duration) => {
                let servers = &self.servers[target..=target];
                set_for(servers, duration, [share, 0.0], |behavior, share| {
                    behavior.error_share = share;
                })
                .await;
            }
            StepAction::SlowServers(factor, duration) => {
                set_for(
                    &self.servers,
                    duration,
                    [factor, 1.0],
                    |behavior, factor| {
                        behavior.work_multiplier = factor;
                    },
                )
                .await;
            }
            StepAction::SilenceDiscovery(duration) => {
                self.discovery.set_silent(true);
                sleep(duration).await;
                self.discovery.set_silent(false);
            }
        }
    }

    /// Holds the lock of the instance that a step starts or ends. Guards against an instance that is killed while it
    /// restarts and then runs twice.
    async fn lock_instance(&self, action: &StepAction) -> Option<MutexGuard<'_, ()>> {
        let target = match action {
            StepAction::Start(target)
            | StepAction::Restart(target)
            | StepAction::Terminate(target, _)
            | StepAction::Kill(target, _)
            | StepAction::KillDuringStart(target, _)
            | StepAction::Pause(target, _) => *target,
            _ => return None,
        };
        Some(self.instances[target].lifecycle_lock.lock().await)
    }

    /// Starts an instance. A failure to start its process is recorded as a fault of the instance.
    async fn start(&self, target: usize) {
        let instance = &self.instances[target];
        if let Err(error) = instance.start(self.times.ready_timeout).await {
            instance
                .costs()
                .faults
                .push(format!("instance {target}: {error:#}"));
        }
    }

    async fn start_if_ended(&self, target: usize) {
        if !self.instances[target].is_running() {
            self.start(target).await;
        }
    }

    async fn reload(&self, target: usize) {
        self.instances[target].wait_for_first_log_line().await;
        self.instances[target].signal(Signal::SIGHUP);
    }

    async fn restart(&self, target: usize) {
        if !self.instances[target].is_running() {
            return;
        }
        self.instances[target].stop().await;
        self.world.oracle().node_restarted(target);
        self.start(target).await;
    }

    async fn terminate(&self, target: usize, termination: Termination) {
        let instance = &self.instances[target];
        if !instance.is_running() {
            return;
        }
        let span = if termination.open_clients.until_kill {
            self.times.killed_after
        } else {
            OPEN_CLIENT_SPAN
        };
        let count = termination.open_clients.count;
        let open_clients = self
            .load_generator
            .open_delayed_clients(target, &self.customers, count, span)
            .await;
        if let Some(before) = termination.reload_before {
            self.reload(target).await;
            sleep(before).await;
        }
        instance
            .terminate(self.times.killed_after, &signals_after(&termination))
            .await;
        self.world.oracle().node_restarted(target);
        open_clients.join_all().await;
        sleep(termination.restart_delay).await;
        self.start(target).await;
    }

    /// Sends SIGKILL to an instance and waits until it has ended.
    async fn kill_and_wait(&self, target: usize) {
        self.load_generator.node_killed_or_restarted(target);
        self.instances[target].signal(Signal::SIGKILL);
        while self.instances[target].is_running() {
            sleep(END_POLL_INTERVAL).await;
        }
        self.world.oracle().node_restarted(target);
        self.load_generator.node_killed_or_restarted(target);
    }

    async fn kill(&self, target: usize, duration: Duration) {
        if !self.instances[target].is_running() {
            return;
        }
        self.load_generator.node_killed_or_restarted(target);
        self.instances[target].signal(Signal::SIGKILL);
        sleep(duration).await;
        self.world.oracle().node_restarted(target);
        self.load_generator.node_killed_or_restarted(target);
        self.start_if_ended(target).await;
    }

    async fn kill_during_start(&self, target: usize, duration: Duration) {
        if !self.instances[target].is_running() {
            return;
        }
        self.kill_and_wait(target).await;
        // The process is killed whether or not it is ready by then.
        let _ = tokio::join!(sleep(duration), timeout(duration, self.start(target)));
        self.kill_and_wait(target).await;
        self.start(target).await;
    }

    async fn pause(&self, target: usize, duration: Duration) {
        let instance = &self.instances[target];
        let stopped = self.world.now();
        self.load_generator.node_paused_or_resumed(target);
        instance.was_paused.store(true, Ordering::Relaxed);
        if instance.signal(Signal::SIGSTOP) {
            sleep(duration).await;
            instance.signal(Signal::SIGCONT);
            self.world
                .oracle()
                .node_resumed(self.world.now(), target, stopped);
        }
        self.load_generator.node_paused_or_resumed(target);
    }

    async fn fault_links(
        &self,
        link_set: LinkSet,
        fault: Fault,
        duration: Option<Duration>,
        heal_gap: Duration,
    ) {
        let mut fault_id = self.links.add_fault(link_set.clone(), fault);
        self.record_silent_links();
        let Some(duration) = duration else { return };
        sleep(duration).await;
        let mut healed = BTreeSet::new();
        for end in link_set.ends().into_iter().filter(|_| !heal_gap.is_zero()) {
            healed.insert(end);
            let rest = self.links.add_fault(link_set.without(&healed), fault);
            self.links
                .remove_fault(std::mem::replace(&mut fault_id, rest));
            self.record_silent_links();
            sleep(heal_gap).await;
        }
        self.links.remove_fault(fault_id);
        self.record_silent_links();
    }

    /// Records to which nodes the list service's data does not get through now.
    fn record_silent_links(&self) {
        let (now, mut oracle) = (self.world.now(), self.world.oracle());
        for node in 0..self.instances.len() {
            let fault = self.links.fault_between(End::List, End::Node(node));
            oracle.list_link_silent(now, node, fault.stalled);
        }
    }

    async fn burst(&self, factor: f64, duration: Duration) {
        let mut clients = JoinSet::new();
        for customer in self.customers.clone() {
            let rate = customer.rate * (factor - 1.0).max(0.0);
            let generator = Arc::clone(&self.load_generator);
            clients.spawn(generator.run_customer(Customer { rate, ..customer }, duration));
        }
        while clients.join_next().await.is_some() {}
    }

    async fn drain_server(&self, target: usize, duration: Duration) {
        let server = &self.servers[target];
        self.server_list.update(server, "draining", None);
        sleep(self.times.discovery_delay + DRAIN_TIME).await;
        self.server_list.crash(server, duration).await;
    }

    /// A member of the etcd cluster, if the scenario uses one.
    fn etcd_member(&self, target: usize) -> Option<&Member> {
        let etcd = self.server_list.etcd.as_ref()?;
        Some(&etcd.members[target])
    }

    async fn freeze_etcd_member(&self, target: usize, duration: Duration) {
        let set_frozen = |frozen: bool| {
            if let Some(member) = self.etcd_member(target) {
                member.set_faults(|faults| faults.frozen = frozen);
            }
        };
        set_frozen(true);
        sleep(duration).await;
        set_frozen(false);
    }
}

/// Sets a value of the servers' behavior for a time, and the second value after it.
async fn set_for<T: Copy>(
    servers: &[AppServer],
    duration: Duration,
    [during, after]: [T; 2],
    set: impl Fn(&mut Behavior, T),
) {
    for server in servers {
        server.set_behavior(|behavior| set(behavior, during));
    }
    sleep(duration).await;
    for server in servers {
        server.set_behavior(|behavior| set(behavior, after));
    }
}

/// The signals that follow a SIGTERM, in the order of their times.
fn signals_after(termination: &Termination) -> Vec<TimedSignal> {
    let stall_end = termination.stall_at.map(|at| at + STALL_TIME);
    let mut signals: Vec<TimedSignal> = [
        (termination.stall_at, Signal::SIGSTOP),
        (stall_end, Signal::SIGCONT),
        (termination.reload_after, Signal::SIGHUP),
        (termination.repeated_after, Signal::SIGTERM),
    ]
    .into_iter()
    .filter_map(|(at, signal)| Some(TimedSignal { at: at?, signal }))
    .collect();
    signals.sort_by_key(|timed| timed.at);
    signals
}
