//! Plays a scenario with real processes: starts everything, applies the steps, and checks the result.

use crate::customers::customers;
use crate::instance::Instance;
use crate::manager::ServiceManager;
use crate::relays::RelayPlan;
use crate::report::{InstanceReport, Report};
use crate::room;
use crate::scenario::{
    EndpointSource, InitialList, Scenario, Step, StepAction, SERVERS_PER_DEDUPLICATION_DOMAIN,
    SLOTS_PER_CORE,
};
use crate::windows;
use anyhow::{Context, Result};
use nix::sys::signal::Signal;
use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::etcd::Etcd;
use saffronpaddle_test_doubles::links::{End, Links, Relay};
use saffronpaddle_test_doubles::load::{Customer, LoadGenerator};
use saffronpaddle_test_doubles::peers::Network;
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::servers::{AppServer, Spec};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig};
use saffronpaddle_test_doubles::World;
use std::collections::BTreeSet;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Options for a run with real processes.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that instances run.
    pub program: PathBuf,
    /// Draws everything that the scenario leaves open, the customers' behavior and the nodes' seeds.
    pub seed: u64,
    /// Folder for configurations and logs.
    pub folder: PathBuf,
    /// Text of the operator file of all instances. The harness adds an `[etcd]` section if the scenario uses etcd.
    pub operator: String,
    /// Whether each step is printed to standard error when it starts.
    pub print_steps: bool,
    /// Log level of the instances (`LB_LOG`).
    pub log_level: &'static str,
    /// A library that makes system calls of the instances fail, as `failing_calls` in the scenario specifies.
    pub preload: Option<PathBuf>,
}

/// How long a drained server's process runs on after discovery has reported the drain.
pub(crate) const DRAIN_TIME: Duration = Duration::from_millis(1500);
/// Time after the load within which all clients must end. It covers the longest deadline and its retries.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Memory limit of an instance, MB, as on the platform's scored days.
const MEMORY_MB: usize = 192;
/// The platform kills a terminated process this long after the longest deadline, which counts at most as
/// [`MAX_DEADLINE_BEFORE_KILL`].
const KILL_GRACE: Duration = Duration::from_millis(700);
/// Upper limit on the longest deadline when the time of the kill is computed.
const MAX_DEADLINE_BEFORE_KILL: Duration = Duration::from_secs(3);
/// How long the platform may stall a process.
const STALL_TIME: Duration = Duration::from_millis(150);
/// Number of clients that connect before an instance is terminated and send their request after that.
const DELAYED_CLIENTS: usize = 6;
/// Time within which the delayed clients send their requests.
const DELAYED_CLIENT_SPAN: Duration = Duration::from_millis(1300);

/// Number of runs that this process has started; keeps the names of their notify sockets apart.
static RUN_COUNT: AtomicU64 = AtomicU64::new(0);

/// A running fleet and the test doubles around it.
struct Harness {
    world: Arc<World>,
    discovery: Arc<Discovery>,
    servers: Vec<AppServer>,
    links: Arc<Links>,
    network: Arc<Network>,
    load_generator: Arc<LoadGenerator>,
    instances: Vec<Arc<Instance>>,
    server_list: ServerList,
    customers: Vec<Customer>,
    scenario: Scenario,
}

/// Writes changes of the list of app servers to discovery and etcd.
#[derive(Clone)]
struct ServerList {
    world: Arc<World>,
    discovery: Arc<Discovery>,
    etcd: Option<Etcd>,
    instances: usize,
}

/// Prefix of the servers' keys in etcd.
const KEY_PREFIX: &str = "/saffronpaddle/servers/";

impl ServerList {
    /// Writes a changed entry to discovery and, if the scenario uses it, to etcd.
    fn change(&self, entry: Entry) {
        if let Some(etcd) = &self.etcd {
            let key = format!("{KEY_PREFIX}{}", entry.host);
            // Every node counts as informed once the change is written, even if its etcd connection is down: of a ready
            // server before, of another one after.
            let ready = entry.health == "ready";
            if ready {
                self.record_health(&entry.host, ready);
            }
            match entry.health {
                "gone" => _ = etcd.delete(&key),
                _ => _ = etcd.put(&key, &entry.value()),
            }
            if !ready {
                self.record_health(&entry.host, ready);
            }
        }
        self.discovery.change(vec![entry]);
    }

    /// Records that all nodes are informed of a server's health.
    fn record_health(&self, host: &str, ready: bool) {
        let (now, mut oracle) = (self.world.now(), self.world.oracle());
        for node in 0..self.instances {
            oracle.health_delivered(now, node, host, ready);
        }
    }
}

/// Plays a scenario on a new runtime. Creates the folder of `options`, and removes it at the end unless `keep`
/// is set.
///
/// # Errors
/// The harness could not be set up. Failures of the fleet are in the report.
pub fn run(scenario: Scenario, options: &Options, keep: bool) -> Result<Report> {
    let folder = &options.folder;
    room::reserve(&scenario)?;
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(play(scenario, options));
    // The test doubles' remaining tasks no longer matter.
    runtime.shutdown_timeout(Duration::from_secs(1));
    if !keep {
        // A failure to remove the folder does not affect the result.
        let _ = std::fs::remove_dir_all(folder);
    }
    report
}

/// Plays a scenario to its end.
///
/// # Errors
/// The harness could not be set up. Failures of the fleet are in the report.
pub async fn play(scenario: Scenario, options: &Options) -> Result<Report> {
    let harness = Harness::set_up(scenario, options).await?;
    harness.start().await?;
    let (datagrams_before, load_start) = (harness.datagrams(), harness.world.now());
    let duration = harness.scenario.duration;
    let offered = harness.offer();
    let steps_done = harness.run_steps(options.print_steps);
    let (offered, ()) = tokio::join!(timeout(duration + CLIENT_TIMEOUT, offered), steps_done);
    let mut faults = Vec::new();
    if offered.is_err() {
        faults.push(format!(
            "{} requests were still open {CLIENT_TIMEOUT:?} after the end of the load",
            harness.world.oracle().open_requests()
        ));
    }
    let seconds = harness
        .world
        .now()
        .checked_sub(load_start)
        .unwrap()
        .as_secs_f64();
    let datagrams_after = harness.datagrams();
    let mut stops = tokio::task::JoinSet::new();
    for instance in harness.instances.clone() {
        stops.spawn(async move { instance.stop().await });
    }
    while stops.join_next().await.is_some() {}
    // The task that watches each process records its end and costs up to 500 ms later.
    sleep(Duration::from_millis(700)).await;
    let instance_report = |instance: &Arc<Instance>| {
        let costs = instance.costs().clone();
        let (at_start, at_end) = (
            datagrams_before[instance.number],
            datagrams_after[instance.number],
        );
        InstanceReport {
            processes: costs.processes,
            ready_ms: costs
                .ready
                .iter()
                .map(|time| time.as_secs_f64() * 1e3)
                .collect(),
            memory_idle_mb: costs.memory_idle as f64 / 1e6,
            memory_peak_mb: costs.memory_peak as f64 / 1e6,
            cpu_s: costs.cpu_ended + costs.cpu_running,
            sent_s: (at_end.0 - at_start.0) as f64 / seconds,
            received_s: (at_end.1 - at_start.1) as f64 / seconds,
        }
    };
    faults.extend(
        harness
            .instances
            .iter()
            .flat_map(|instance| instance.costs().faults.clone()),
    );
    faults.extend(
        harness
            .instances
            .iter()
            .flat_map(|instance| instance.violations()),
    );
    faults.extend(harness.find_interference());
    let overlaps = harness.world.oracle().overlaps().to_vec();
    faults.extend(
        overlaps
            .iter()
            .map(|overlap| format!("two attempts at once: {overlap}")),
    );
    let capacities: Vec<(String, f64)> = harness
        .servers
        .iter()
        .map(|server| (server.name().to_owned(), server.capacity()))
        .collect();
    let (verdict, available_work_s, windows) = {
        let oracle = harness.world.oracle();
        let available_work = oracle.available_work(&capacities, load_start, load_start + duration);
        (
            oracle.verdict(),
            available_work,
            windows::tally_seconds(&oracle, &harness.scenario.sides, load_start),
        )
    };
    Ok(Report {
        scenario: harness.scenario.name.clone(),
        seed: options.seed,
        seconds,
        verdict,
        counts: harness.load_generator.counts(),
        instances: harness.instances.iter().map(instance_report).collect(),
        available_work_s,
        offered_s: duration.as_secs() as usize,
        windows,
        list: harness.discovery.call_stats(),
        handshakes_and_requests: harness
            .servers
            .iter()
            .map(AppServer::handshakes_and_requests)
            .collect(),
        oversized_datagrams: harness.network.oversized_datagrams(),
        peer_bytes: harness.network.bytes(),
        processes: harness
            .instances
            .iter()
            .map(|instance| instance.costs().processes)
            .sum(),
        reloads: harness
            .instances
            .iter()
            .map(|instance| instance.manager.notifications().reloads)
            .sum(),
        decision_counters: Vec::new(),
        served_by_class: Vec::new(),
        faults,
    })
}

impl Harness {
    /// Starts the test doubles and writes the configurations of the instances, without starting them.
    async fn set_up(scenario: Scenario, options: &Options) -> Result<Harness> {
        let fleet = scenario.fleet();
        let relay_plan = RelayPlan::for_scenario(&scenario);
        let relays = relay_plan.server_relays();
        let mut bounds = fleet.bounds.clone();
        bounds.close_slack = Duration::ZERO;
        let world = World::start(bounds);
        let discovery = Discovery::new(Arc::clone(&world));
        let servers = start_servers(&scenario, &fleet, &world, &discovery)?;
        let peer_addresses = (0..scenario.instances).map(|_| reserve_address());
        let peer_addresses = peer_addresses
            .collect::<std::io::Result<Vec<_>>>()
            .context("reserving ports for peer datagrams")?;
        let links = Arc::new(Links::default());
        let network = Network::start(peer_addresses.clone(), Arc::clone(&links)).await;
        let network = network.context("starting the peer network")?;
        discovery.set_limits(|limits| {
            (limits.calls_per_s, limits.bytes_per_s) = scenario.list_service_limits;
            limits.sheds_load = scenario.list_service_sheds_load;
        });
        anyhow::ensure!(
            relays.is_empty() || scenario.endpoint_source == EndpointSource::Discovery,
            "faults on links to app servers need roster = \"discovery\""
        );
        for (nodes, server) in relays {
            let (listen, target) = (reserve_address()?, &servers[server]);
            let ends = (End::Node(nodes[0]), End::Server(server));
            Relay::start_to_server(&world, &links, ends, listen, target.address())
                .await
                .context("starting a relay to an app server")?;
            nodes
                .iter()
                .for_each(|node| discovery.redirect(*node, target.name(), listen));
        }
        let mut operator = options.operator.clone();
        let etcd = match scenario.endpoint_source {
            EndpointSource::Discovery => None,
            _ => Some(
                Etcd::start(scenario.etcd_members)
                    .await
                    .context("starting the etcd cluster")?,
            ),
        };
        if let Some(etcd) = &etcd {
            let endpoints: Vec<String> = etcd
                .endpoints()
                .iter()
                .map(|address| format!("\"{address}\""))
                .collect();
            let replaces_discovery = scenario.endpoint_source == EndpointSource::Etcd;
            operator.push_str(&format!(
                "\n[etcd]\nendpoints = [{}]\ninstead = {replaces_discovery}\nprobe_every_ms = 200\nsilent_after_ms = 800\n",
                endpoints.join(", ")
            ));
            servers
                .iter()
                .filter_map(|server| discovery.entry(server.name()))
                .for_each(|entry| {
                    etcd.put(&format!("{KEY_PREFIX}{}", entry.host), &entry.value());
                });
        }
        std::fs::write(options.folder.join("operator.toml"), operator)?;
        // Several runs in one process need different notify-socket names.
        let run = RUN_COUNT.fetch_add(1, Ordering::Relaxed);
        let (mut instances, mut client_addresses) = (Vec::new(), Vec::new());
        for (number, peer_listen) in peer_addresses.into_iter().enumerate() {
            let listener =
                TcpListener::bind(reserve_address()?).context("binding a client listener")?;
            let address = listener.local_addr()?;
            let manager = ServiceManager::start(&format!(
                "saffronpaddle-fleet-{}-{run}-{number}",
                std::process::id()
            ))?;
            let listener = scenario.listeners_passed.then_some(listener);
            let mut instance = Instance::new(
                number,
                address,
                listener,
                manager,
                &options.program,
                &options.folder,
            );
            (instance.has_operator_file, instance.log_level) =
                (scenario.has_operator_file, options.log_level);
            let failing_calls = Some(scenario.failing_calls.clone())
                .filter(|failing_calls| !failing_calls.is_empty());
            instance.preload = options.preload.clone().zip(failing_calls);
            let (node_end, mut agent, mut client_address) = (
                End::Node(number),
                discovery.start_agent(number).await?,
                address,
            );
            if relay_plan.affects(node_end, End::List) {
                let agent_address = std::mem::replace(&mut agent, reserve_address()?);
                Relay::start(&links, (node_end, End::List), agent, agent_address)
                    .await
                    .context("starting a relay to the list service")?;
            }
            if relay_plan.affects(node_end, End::Clients) {
                client_address = reserve_address()?;
                Relay::start(&links, (End::Clients, node_end), client_address, address)
                    .await
                    .context("starting a relay for clients")?;
            }
            client_addresses.push(client_address);
            let node_config = NodeConfig {
                name: format!("n{number}"),
                listen: address,
                discovery: agent,
                peer_listen,
                peers: network.peers_of(number)?,
                sockets: scenario.sockets,
                memory_mb: MEMORY_MB,
            };
            let seed = options
                .seed
                .wrapping_add(number as u64)
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let settings = fleet.settings(number);
            let initial_list = match scenario.initial_list {
                InitialList::Current => Some(discovery.full_list_for(number)),
                InitialList::Absent => None,
                InitialList::Stale => Some(stale_list(&discovery.full_list_for(number))?),
            };
            let text = configuration(&node_config, &settings, initial_list.as_deref(), seed);
            std::fs::write(instance.configuration(), text)?;
            instances.push(Arc::new(instance));
        }
        let customers = customers(&scenario, &fleet, options.seed);
        let load_generator = LoadGenerator::new(
            Arc::clone(&world),
            fleet,
            &client_addresses,
            options.seed,
            scenario.cancellations,
        );
        let server_list = ServerList {
            world: Arc::clone(&world),
            discovery: Arc::clone(&discovery),
            etcd,
            instances: scenario.instances,
        };
        Ok(Harness {
            world,
            discovery,
            servers,
            links,
            network,
            load_generator,
            instances,
            server_list,
            customers,
            scenario,
        })
    }

    /// Starts all instances and waits until the load generator sees all of them as ready.
    async fn start(&self) -> Result<()> {
        let ready_timeout = self.scenario.ready_timeout;
        let mut starts = tokio::task::JoinSet::new();
        let absent = &self.scenario.absent;
        let present = |instance: &Arc<Instance>| !absent.contains(&instance.number);
        for instance in self.instances.iter().filter(|instance| present(instance)) {
            let instance = Arc::clone(instance);
            if self.scenario.start_together {
                starts.spawn(async move { instance.start(ready_timeout).await });
            } else {
                instance.start(ready_timeout).await?;
            }
        }
        while let Some(started) = starts.join_next().await {
            started.context("starting an instance")??;
        }
        self.load_generator.watch_readiness();
        let all_ready = async {
            while self.load_generator.ready_nodes() < self.instances.len() - absent.len() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        // An instance that does not become ready has already recorded a fault.
        let _ = timeout(ready_timeout, all_ready).await;
        Ok(())
    }

    /// Detects that another run interferes with this one: datagrams from unknown senders, or datagrams that were sent
    /// but never received although no step affects links.
    fn find_interference(&self) -> Option<String> {
        let stray_datagrams = self.network.from_unknown_senders();
        let all = self.datagrams();
        let (sent, received): (u64, u64) = (
            all.iter().map(|(sent, _)| sent).sum(),
            all.iter().map(|(_, received)| received).sum(),
        );
        let affects_links = self
            .scenario
            .steps
            .iter()
            .any(|step| matches!(step.action, StepAction::LinkFault(..)));
        if stray_datagrams > 0 {
            return Some(format!(
                "{stray_datagrams} datagrams came from unknown senders: another run interferes with this one"
            ));
        }
        (sent > 0 && received == 0 && !affects_links).then(|| {
            format!("{sent} peer datagrams sent and none received, although no step affects links")
        })
    }

    /// Peer datagrams sent and received by each instance.
    fn datagrams(&self) -> Vec<(u64, u64)> {
        (0..self.instances.len())
            .map(|node| self.network.counts(node))
            .collect()
    }

    /// Offers the load of all customers and returns when the last client has ended.
    async fn offer(&self) {
        let fleet = self.scenario.fleet();
        let mut clients = tokio::task::JoinSet::new();
        for customer in &self.customers {
            fleet.register_limits(&mut self.world.oracle(), customer);
            clients.spawn(
                Arc::clone(&self.load_generator)
                    .run_customer(customer.clone(), self.scenario.duration),
            );
        }
        while clients.join_next().await.is_some() {}
    }

    /// Starts each step at its time and returns when all have ended.
    async fn run_steps(&self, print_steps: bool) {
        let load_start = self.world.now();
        let mut tasks = tokio::task::JoinSet::new();
        for step in &self.scenario.steps {
            sleep((load_start + step.at).saturating_sub(self.world.now())).await;
            if print_steps {
                eprintln!(
                    "{:>7.2} s  {:?}",
                    self.world
                        .now()
                        .checked_sub(load_start)
                        .unwrap()
                        .as_secs_f64(),
                    step.action
                );
            }
            tasks.spawn(self.run_step(step));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }

    /// Returns a future that runs one step and does not borrow the harness.
    fn run_step(&self, step: &Step) -> impl std::future::Future<Output = ()> + Send + 'static {
        let (world, discovery) = (Arc::clone(&self.world), Arc::clone(&self.discovery));
        let (links, load_generator, server_list) = (
            Arc::clone(&self.links),
            Arc::clone(&self.load_generator),
            self.server_list.clone(),
        );
        let (instances, servers) = (self.instances.clone(), self.servers.clone());
        let customers = self.customers.clone();
        let (ready_timeout, discovery_delay) =
            (self.scenario.ready_timeout, self.scenario.discovery_delay);
        let longest_deadline = self
            .scenario
            .fleet()
            .classes
            .iter()
            .map(|class| class.deadline)
            .max();
        let killed_after = longest_deadline
            .unwrap_or_default()
            .min(MAX_DEADLINE_BEFORE_KILL)
            + KILL_GRACE;
        let action = step.action.clone();
        async move {
            let locked_instance = match action {
                StepAction::Start(target)
                | StepAction::Restart(target)
                | StepAction::Terminate(target, _) => Some(target),
                StepAction::Kill(target, _)
                | StepAction::KillDuringStart(target, _)
                | StepAction::Pause(target, _) => Some(target),
                _ => None,
            };
            // Guards against an instance that is killed while it restarts and then runs twice.
            let _lifecycle_guard = match locked_instance {
                Some(target) => Some(instances[target].lifecycle_lock.lock().await),
                None => None,
            };
            match action {
                StepAction::Start(target) if !instances[target].is_running() => {
                    start_instance(&instances[target], ready_timeout).await;
                }
                StepAction::Start(_) => {}
                StepAction::Reload(target) => {
                    instances[target].wait_for_first_log_line().await;
                    instances[target].signal(Signal::SIGHUP);
                }
                StepAction::Restart(target) if instances[target].is_running() => {
                    let old = Arc::clone(&instances[target]);
                    old.stop().await;
                    world.oracle().node_restarted(target);
                    start_instance(&old, ready_timeout).await;
                }
                StepAction::Restart(_) => {}
                StepAction::Terminate(target, termination) if instances[target].is_running() => {
                    let delayed_clients = load_generator
                        .open_delayed_clients(
                            target,
                            &customers,
                            DELAYED_CLIENTS,
                            DELAYED_CLIENT_SPAN,
                        )
                        .await;
                    instances[target]
                        .terminate(killed_after, termination.stall_at, STALL_TIME)
                        .await;
                    world.oracle().node_restarted(target);
                    delayed_clients.join_all().await;
                    sleep(termination.restart_delay).await;
                    start_instance(&instances[target], ready_timeout).await;
                }
                StepAction::Terminate(..) => {}
                StepAction::Kill(target, duration) if instances[target].is_running() => {
                    load_generator.node_killed_or_restarted(target);
                    instances[target].signal(Signal::SIGKILL);
                    sleep(duration).await;
                    world.oracle().node_restarted(target);
                    load_generator.node_killed_or_restarted(target);
                    if !instances[target].is_running() {
                        start_instance(&instances[target], ready_timeout).await;
                    }
                }
                StepAction::Kill(..) => {}
                StepAction::KillDuringStart(target, duration) if instances[target].is_running() => {
                    for during_start in [true, false] {
                        load_generator.node_killed_or_restarted(target);
                        instances[target].signal(Signal::SIGKILL);
                        while instances[target].is_running() {
                            sleep(Duration::from_millis(5)).await;
                        }
                        world.oracle().node_restarted(target);
                        load_generator.node_killed_or_restarted(target);
                        if during_start {
                            // The process is killed whether or not it is ready by then.
                            let _ = tokio::join!(
                                sleep(duration),
                                timeout(
                                    duration,
                                    start_instance(&instances[target], ready_timeout)
                                )
                            );
                        } else {
                            start_instance(&instances[target], ready_timeout).await;
                        }
                    }
                }
                StepAction::KillDuringStart(..) => {}
                StepAction::Pause(target, duration) => {
                    let stopped = world.now();
                    load_generator.node_paused_or_resumed(target);
                    instances[target].was_paused.store(true, Ordering::Relaxed);
                    if instances[target].signal(Signal::SIGSTOP) {
                        sleep(duration).await;
                        instances[target].signal(Signal::SIGCONT);
                        world.oracle().node_resumed(world.now(), target, stopped);
                    }
                    load_generator.node_paused_or_resumed(target);
                }
                StepAction::LinkFault(link_set, fault, duration, heal_gap) => {
                    let mut fault_id = links.add_fault(link_set.clone(), fault);
                    let Some(duration) = duration else { return };
                    sleep(duration).await;
                    let mut healed = BTreeSet::new();
                    for end in link_set.ends().into_iter().filter(|_| !heal_gap.is_zero()) {
                        healed.insert(end);
                        let rest = links.add_fault(link_set.without(&healed), fault);
                        links.remove_fault(std::mem::replace(&mut fault_id, rest));
                        sleep(heal_gap).await;
                    }
                    links.remove_fault(fault_id);
                }
                StepAction::ListServiceDown(duration) => {
                    discovery.set_limits(|limits| limits.down = true);
                    sleep(duration).await;
                    discovery.set_limits(|limits| limits.down = false);
                }
                StepAction::RestoreList(mode) => discovery.restore(mode),
                StepAction::AddServer(target) => {
                    start_server(&world, &server_list, &servers[target]);
                }
                StepAction::LoadBurst(factor, duration) => {
                    let mut clients = tokio::task::JoinSet::new();
                    for customer in customers {
                        let rate = customer.rate * (factor - 1.0).max(0.0);
                        clients.spawn(
                            Arc::clone(&load_generator)
                                .run_customer(Customer { rate, ..customer }, duration),
                        );
                    }
                    while clients.join_next().await.is_some() {}
                }
                StepAction::HoldIdleConnections(target, duration) => {
                    load_generator.hold_idle_connections(target, duration).await;
                }
                StepAction::DrainServer(target, duration) => {
                    update_entry(&server_list, &servers[target], "draining", None);
                    sleep(discovery_delay + DRAIN_TIME).await;
                    crash_server(&world, &server_list, &servers[target], duration).await;
                }
                StepAction::ToggleDraining(target, duration) => {
                    update_entry(&server_list, &servers[target], "draining", None);
                    sleep(duration).await;
                    update_entry(&server_list, &servers[target], "ready", None);
                }
                StepAction::CrashServer(target, duration) => {
                    crash_server(&world, &server_list, &servers[target], duration).await;
                }
                StepAction::CutEtcdConnections(target) => server_list
                    .etcd
                    .iter()
                    .for_each(|etcd| etcd.members[target].cut_connections()),
                StepAction::FreezeEtcdMember(target, duration) => {
                    let members = server_list
                        .etcd
                        .iter()
                        .map(|etcd| etcd.members[target].clone());
                    let members: Vec<_> = members.collect();
                    members
                        .iter()
                        .for_each(|member| member.set_faults(|faults| faults.frozen = true));
                    sleep(duration).await;
                    members
                        .iter()
                        .for_each(|member| member.set_faults(|faults| faults.frozen = false));
                }
                StepAction::CompactEtcd => server_list
                    .etcd
                    .iter()
                    .for_each(|etcd| etcd.compact(etcd.revision())),
                StepAction::SilenceServer(target, duration) => {
                    servers[target].set_behavior(|behavior| behavior.silent = true);
                    sleep(duration).await;
                    servers[target].set_behavior(|behavior| behavior.silent = false);
                }
                StepAction::ServerResets(target, share, duration) => {
                    servers[target].set_behavior(|behavior| behavior.reset_share = share);
                    sleep(duration).await;
                    servers[target].set_behavior(|behavior| behavior.reset_share = 0.0);
                }
                StepAction::ServerErrors(target, share, duration) => {
                    servers[target].set_behavior(|behavior| behavior.error_share = share);
                    sleep(duration).await;
                    servers[target].set_behavior(|behavior| behavior.error_share = 0.0);
                }
                StepAction::SlowServers(factor, duration) => {
                    servers.iter().for_each(|server| {
                        server.set_behavior(|behavior| behavior.work_multiplier = factor);
                    });
                    sleep(duration).await;
                    servers.iter().for_each(|server| {
                        server.set_behavior(|behavior| behavior.work_multiplier = 1.0);
                    });
                }
                StepAction::SilenceDiscovery(duration) => {
                    discovery.set_silent(true);
                    sleep(duration).await;
                    discovery.set_silent(false);
                }
            }
        }
    }
}

/// Returns the list as an outdated one: every second server gets the name of one that does not exist, and every third
/// gets another server's address.
fn stale_list(current: &str) -> Result<String> {
    let mut list: serde_json::Value = serde_json::from_str(current)?;
    let hosts = list["hosts"]
        .as_array_mut()
        .context("the list has no hosts")?;
    let addresses: Vec<_> = hosts.iter().map(|host| host["dial"].clone()).collect();
    for (index, host) in hosts.iter_mut().enumerate() {
        host["born_ms"] = 0.into();
        if index % 2 == 1 {
            host["host"] = format!("gone-{index}").into();
        }
        if index % 3 == 0 {
            host["dial"] = addresses[(index + 1) % addresses.len()].clone();
        }
    }
    list["seq"] = 0.into();
    Ok(list.to_string())
}

/// Starts an instance. A failure to start its process is recorded as a fault of the instance.
async fn start_instance(instance: &Arc<Instance>, ready_timeout: Duration) {
    if let Err(error) = instance.start(ready_timeout).await {
        instance
            .costs()
            .faults
            .push(format!("instance {}: {error:#}", instance.number));
    }
}

/// Changes the health of a server's list entry, and its start time if `born_ms` is given.
fn update_entry(
    server_list: &ServerList,
    server: &AppServer,
    health: &'static str,
    born_ms: Option<u64>,
) {
    if let Some(entry) = server_list.discovery.entry(server.name()) {
        let born_ms = born_ms.unwrap_or(entry.born_ms);
        server_list.change(Entry {
            health,
            born_ms,
            ..entry
        });
    }
}

/// Kills a server's process and lists it as gone; starts it again, cold, after `duration`.
async fn crash_server(
    world: &World,
    server_list: &ServerList,
    server: &AppServer,
    duration: Duration,
) {
    server.kill();
    update_entry(server_list, server, "gone", None);
    sleep(duration).await;
    start_server(world, server_list, server);
}

/// Starts a server's process cold and lists it as ready.
fn start_server(world: &World, server_list: &ServerList, server: &AppServer) {
    match server.start_cold() {
        Ok(()) => update_entry(server_list, server, "ready", Some(world.unix_ms())),
        Err(error) => eprintln!("app server {} could not be started: {error}", server.name()),
    }
}

/// Starts the app servers of a scenario and lists them in discovery.
fn start_servers(
    scenario: &Scenario,
    fleet: &Fleet,
    world: &Arc<World>,
    discovery: &Discovery,
) -> Result<Vec<AppServer>> {
    let cores = scenario.cores_per_server(fleet);
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..scenario.servers {
        let spec = Spec {
            name: format!("s-{number}"),
            block: (number / SERVERS_PER_DEDUPLICATION_DOMAIN) as u64,
            cores,
            slots: cores * SLOTS_PER_CORE,
            work: fleet
                .classes
                .iter()
                .map(|class| (class.name.to_owned(), class.work))
                .collect(),
        };
        let block = spec.block;
        let server = AppServer::start(Arc::clone(world), spec).context("starting an app server")?;
        let born_ms = if scenario.cold { world.unix_ms() } else { 0 };
        let absent = scenario.absent_servers.contains(&number);
        if absent {
            server.kill();
        } else if scenario.cold {
            world
                .oracle()
                .server_started_cold(world.now(), server.name(), server.capacity());
        }
        entries.push(Entry {
            host: server.name().to_owned(),
            dial: server.address(),
            site: fleet.sites[number % fleet.sites.len()].to_owned(),
            block,
            health: if absent { "gone" } else { "ready" },
            born_ms,
        });
        servers.push(server);
    }
    discovery.change(entries);
    discovery.set_delay(scenario.discovery_delay);
    Ok(servers)
}
