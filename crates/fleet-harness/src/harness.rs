//! Plays a scenario with real processes: starts everything, applies the steps, and checks the result.

use crate::customers::customers;
use crate::instance::Instance;
use crate::manager::ServiceManager;
use crate::relays::RelayPlan;
use crate::report::{InstanceReport, Report};
use crate::room;
use crate::scenario::{EndpointSource, InitialList, Scenario, StepAction};
use crate::server_list::{stale_list, start_servers, ServerList, KEY_PREFIX};
use crate::stall_watch::StallWatch;
use crate::step_runner::{StepRunner, StepTimes};
use crate::windows;
use anyhow::{Context, Result};
use saffronpaddle_test_doubles::discovery::Discovery;
use saffronpaddle_test_doubles::etcd::Etcd;
use saffronpaddle_test_doubles::links::{End, Links, Relay};
use saffronpaddle_test_doubles::load::{Customer, LoadGenerator};
use saffronpaddle_test_doubles::peers::Network;
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::servers::AppServer;
use saffronpaddle_test_doubles::settings::{configuration, NodeConfig};
use saffronpaddle_test_doubles::World;
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

/// Time after the load within which all clients must end. It covers the longest deadline and its retries.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);
/// Memory limit of an instance, MB, as on the platform's scored days.
const MEMORY_MB: usize = 192;
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
    let stall_watch = StallWatch::start();
    let duration = harness.scenario.duration;
    let offered = harness.offer();
    let steps_done = harness.run_steps(options.print_steps);
    let (offered, ()) = tokio::join!(timeout(duration + CLIENT_TIMEOUT, offered), steps_done);
    let longest_stall = stall_watch.longest();
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
    let overlaps = harness.world.oracle().overlaps();
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
        longest_stall: Some(longest_stall),
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

    /// Returns what runs the steps without borrowing the harness.
    fn step_runner(&self) -> Arc<StepRunner> {
        Arc::new(StepRunner {
            world: Arc::clone(&self.world),
            discovery: Arc::clone(&self.discovery),
            links: Arc::clone(&self.links),
            load_generator: Arc::clone(&self.load_generator),
            server_list: self.server_list.clone(),
            instances: self.instances.clone(),
            servers: self.servers.clone(),
            customers: self.customers.clone(),
            times: StepTimes::of_scenario(&self.scenario),
        })
    }

    /// Starts each step at its time and returns when all have ended.
    async fn run_steps(&self, print_steps: bool) {
        let load_start = self.world.now();
        let step_runner = self.step_runner();
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
            tasks.spawn(Arc::clone(&step_runner).run(step.action.clone()));
            while tasks.try_join_next().is_some() {}
        }
        while tasks.join_next().await.is_some() {}
    }
}
