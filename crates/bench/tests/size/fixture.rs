//! A fleet of hundreds of nodes: a few processes of the program, called real nodes here, with clients and app servers
//! over HTTP, and hundreds of hollow nodes, all of them peers. One oracle checks what all of them do.
//!
//! Each server has one name and one dial address. An app server listens there if real nodes may send to it. Attempts
//! of hollow nodes to the same server are simulated and reported to the same oracle a moment later, so that the
//! oracle checks ceilings and cold servers against the sum.

use crate::list::{ListService, Server};
use crate::second_log::SecondLog;
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use saffronpaddle_hollow::audit::{AuditEvent, AuditReport, Faults};
use saffronpaddle_hollow::figures::Snapshot;
use saffronpaddle_hollow::tenants::{plans, Tenants};
use saffronpaddle_hollow::{server_id, Spec};
use saffronpaddle_subsetting::{Subset, FULL_LIST_MAX_SERVERS, TARGET_SUBSET_SIZE};
use saffronpaddle_test_doubles::links::{End, Fault, LinkSet, Links};
use saffronpaddle_test_doubles::load::{class_of, Cancellations, Customer, LoadGenerator};
use saffronpaddle_test_doubles::oracle::{
    Answer, Breach, RepeatSafety, SentRequest, Unanswered, Verdict,
};
use saffronpaddle_test_doubles::peers::Network;
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::scripted::program;
use saffronpaddle_test_doubles::servers::{self, AppServer};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig, Plan};
use saffronpaddle_test_doubles::World;
use serde::de::DeserializeOwned;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::{block_in_place, JoinSet};
use tokio::time::sleep;

/// Number of real nodes, each a process of the program.
pub const REAL_NODES: usize = 8;
/// Number of hollow nodes, which [`HOLLOW_PROCESSES`] processes simulate.
pub const HOLLOW_NODES: usize = 500;
/// Processes that the hollow nodes are spread over.
const HOLLOW_PROCESSES: usize = 4;
/// Nodes of the fleet, real and hollow.
pub const NODES: usize = REAL_NODES + HOLLOW_NODES;
/// Zones of the fleet. Nodes are assigned to them in turn.
pub const SITES: [&str; 9] = ["z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"];
/// Names of the plans, in the order of [`plans`].
const PLANS: [&str; 9] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"];
/// Concurrent requests of an app server for each core.
const SLOTS_PER_CORE: usize = 16;
/// An answer of a real node is late if it comes more than this time after its client's timeout. A process may have to
/// wait for a core on a machine that also runs hundreds of hollow nodes.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// An answer of a hollow node is late if it comes more than this time after its client's timeout. The node shares its
/// event loop with more than a hundred others and waits for them.
const LOOP_SLACK: Duration = Duration::from_secs(5);
/// A test fails if a condition that it waits for does not hold within this time.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the samples of [`SecondLog`].
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which the events of hollow nodes are read.
const AUDIT_INTERVAL: Duration = Duration::from_millis(50);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Parameters of a fleet.
#[derive(Clone, Debug)]
pub struct FleetParameters {
    /// Servers on the list.
    pub servers: usize,
    /// Number of servers in zone `z0`, the last ones of the list. The others are assigned to the other eight zones in
    /// turn.
    pub z0_servers: usize,
    /// Lengths that the list has during the run; at each of them it contains the first servers only. An app server runs
    /// at every address to which a real node may send at one of these lengths.
    pub list_lengths: Vec<usize>,
    /// Cores of a server.
    pub cores: usize,
    /// Number of tenants, and the exponent of Zipf's law for their demands.
    pub tenants: (usize, f64),
    /// Requests/s to each node.
    pub node_rate: f64,
    /// Hard ceiling as a multiple of the quota: of most plans, and of the largest tenant's plan.
    pub ceiling: (f64, f64),
    /// The setting `[quotas] fenced` of the operator file.
    pub fenced: bool,
}

impl FleetParameters {
    /// Parameters of a fleet with this many servers of four cores, 400 tenants and 4 requests/s to each node.
    pub fn with_servers(servers: usize) -> FleetParameters {
        FleetParameters {
            servers,
            z0_servers: servers.div_ceil(SITES.len()),
            list_lengths: vec![servers],
            cores: 4,
            tenants: (400, 0.7),
            node_rate: 4.0,
            ceiling: (1.25, 1.25),
            fenced: false,
        }
    }

    /// Whether a real node may send to a server at one of the lengths of the list.
    fn is_reachable(&self, at: usize) -> bool {
        let lengths = self.list_lengths.iter().filter(|length| at < **length);
        let mut subset = Subset::new(0, NODES as u32);
        // The ranks do not depend on the length of the list, provided that it is too long for all nodes to use it all.
        subset.resize(FULL_LIST_MAX_SERVERS + 1);
        let has_real_node = |nodes_per_server: usize| {
            let number = server_id(&format!("s-{at}")).0;
            (0..nodes_per_server.min(NODES) as u32)
                .any(|rank| (subset.node_at_rank(number, rank) as usize) < REAL_NODES)
        };
        // A subset may be up to 1.5 times its target size.
        lengths.into_iter().any(|length| {
            *length <= FULL_LIST_MAX_SERVERS
                || has_real_node((TARGET_SUBSET_SIZE * NODES).div_ceil(*length) * 3 / 2)
        })
    }

    /// The servers of zone `z0`.
    pub fn servers_in_z0(&self) -> std::ops::Range<usize> {
        self.servers - self.z0_servers..self.servers
    }
}

/// A process that is killed when this value is dropped.
struct ChildGuard(Child);

impl Drop for ChildGuard {
    fn drop(&mut self) {
        // Fails if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A process of hollow nodes.
struct HollowProcess {
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    /// Clock of the run minus clock of the process, µs.
    clock_offset: i64,
    /// Requests and served requests of each tenant.
    tenants: HashMap<u64, (u64, u64)>,
    /// Tenant of each unanswered request.
    open: HashMap<String, u64>,
    process: ChildGuard,
}

impl HollowProcess {
    fn start(spec: &Spec, fenced: bool, world: &World) -> HollowProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saffronpaddle-bench"));
        command
            .arg("hollow")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("a process of hollow nodes starts");
        let (stdin, stdout) = (
            child.stdin.take().expect("standard input is piped"),
            child.stdout.take().expect("standard output is piped"),
        );
        let mut line = serde_json::to_value(spec).expect("a spec is JSON");
        (line["audit"], line["fenced"]) = (true.into(), fenced.into());
        let (tenants, open) = Default::default();
        let stdout = BufReader::new(stdout);
        let mut process = HollowProcess {
            stdin,
            stdout,
            clock_offset: 0,
            tenants,
            open,
            process: ChildGuard(child),
        };
        let _: serde_json::Value = process.request(&line.to_string());
        let before = world.now();
        let first: AuditReport = process.request("audit");
        process.clock_offset = ((before + world.now()) / 2).as_micros() as i64 - first.at as i64;
        process
    }

    /// Sends a command and returns the answer.
    fn request<T: DeserializeOwned>(&mut self, command: &str) -> T {
        writeln!(self.stdin, "{command}").expect("the process of hollow nodes reads commands");
        let mut line = String::new();
        self.stdout
            .read_line(&mut line)
            .expect("the process of hollow nodes answers");
        serde_json::from_str(&line).unwrap_or_else(|error| panic!("{command}: {error}: {line:?}"))
    }

    /// Converts a time of the process's clock (µs) to the clock of the run.
    fn to_run_time(&self, at: u64) -> Duration {
        Duration::from_micros((at as i64 + self.clock_offset).max(0) as u64)
    }
}

/// Totals over all hollow nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HollowTotals {
    /// Attempts sent to a server after their node was informed that it is not ready.
    pub after_drain: u64,
    /// Longest time from that information to such an attempt, ms.
    pub after_drain_max_ms: f64,
    /// Attempts sent to a server more than 250 ms after their node was informed that it is not ready.
    pub late: u64,
    /// Events of the audit that were dropped.
    pub dropped_events: u64,
    /// Datagrams dropped by injected faults.
    pub dropped_datagrams: u64,
    /// Requests and served requests of the largest tenant.
    pub largest: (u64, u64),
    /// Requests and served requests of all other tenants.
    pub others: (u64, u64),
}

/// Passes to the oracle the events that a process of hollow nodes has recorded since the last call.
fn report_events(world: &World, fleet: &Fleet, process: &mut HollowProcess) -> AuditReport {
    let audit: AuditReport = process.request("audit");
    let mut oracle = world.oracle();
    for (at, event) in &audit.events {
        let at = process.to_run_time(*at);
        match event {
            AuditEvent::RequestReceived(id, node, tenant, class) => {
                process.tenants.entry(*tenant).or_default().0 += 1;
                process.open.insert(id.clone(), *tenant);
                let class = &fleet.classes[*class];
                let repeat_safety = if class.keyed {
                    RepeatSafety::Keyed
                } else {
                    RepeatSafety::Safe
                };
                let request = SentRequest {
                    id: id.clone(),
                    key: class.keyed.then(|| id.clone()),
                    repeat_safety,
                    node: *node as usize,
                    customer: *tenant,
                    units: 1.0,
                    timeout: class.deadline + LOOP_SLACK,
                };
                oracle.request_sent(at, request);
            }
            AuditEvent::AttemptReceived(id, server, work) => {
                oracle.attempt_received(at, at, server, id, *work);
            }
            AuditEvent::AttemptExecuted(id, group, arrived_at) => {
                _ = oracle.attempt_executed(at, process.to_run_time(*arrived_at), *group, id);
            }
            AuditEvent::AttemptFinished(id) => oracle.attempt_finished(id),
            AuditEvent::AttemptCanceled(id) => oracle.attempt_canceled(at, id),
            AuditEvent::ResponseSent(id, kind) => {
                let answer = [Answer::Served, Answer::Refused, Answer::Failed][usize::from(*kind)];
                oracle.response_received(at, id, answer);
                if let Some(tenant) = process.open.remove(id).filter(|_| answer == Answer::Served) {
                    process.tenants.entry(tenant).or_default().1 += 1;
                }
            }
            AuditEvent::RequestInterrupted(id) => oracle.request_unanswered(id, Unanswered::Killed),
        }
    }
    audit
}

/// Adds a sample of all processes to the log.
fn record_second(second_log: &Mutex<SecondLog>, processes: &[Mutex<HollowProcess>], real: &[u32]) {
    let ask = |process: &Mutex<HollowProcess>| {
        let mut process = lock(process);
        let snapshot: Snapshot = process.request("look");
        (snapshot, process.process.0.id())
    };
    let (snapshots, hollow): (Vec<Snapshot>, Vec<u32>) = processes.iter().map(ask).unzip();
    lock(second_log).record(&snapshots, &hollow, real);
}

/// A process of the program.
struct RealNode {
    address: SocketAddr,
    folder: PathBuf,
    number: usize,
    process: Mutex<Option<ChildGuard>>,
}

impl RealNode {
    fn start(&self) {
        let mut command = Command::new(program());
        let file = |kind: &str| self.folder.join(format!("{}.{kind}", self.number));
        command
            .arg("run")
            .arg("--operator")
            .arg(self.folder.join("operator.toml"));
        for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(key);
        }
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(file("log"))
            .expect("the log can be opened");
        command
            .env("LB_CONFIG", file("json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command
            .spawn()
            .expect("the program is built into the folder of this test");
        *lock(&self.process) = Some(ChildGuard(child));
    }

    fn signal(&self, signal: Signal) {
        let process = lock(&self.process);
        let pid = process
            .as_ref()
            .map(|process| Pid::from_raw(process.0.id() as i32))
            .expect("the node runs");
        kill(pid, signal).expect("the node can be signaled");
    }

    /// Whether the process has ended by itself.
    fn has_ended(&self) -> bool {
        lock(&self.process)
            .as_mut()
            .is_some_and(|process| !matches!(process.0.try_wait(), Ok(None)))
    }
}

/// A running fleet. Its processes are killed when this value is dropped.
pub struct TestFleet {
    pub world: Arc<World>,
    pub list: Arc<ListService>,
    pub parameters: FleetParameters,
    pub fleet: Fleet,
    pub tenants: Tenants,
    pub links: Arc<Links>,
    /// Running app servers, by their index in the list.
    pub app_servers: BTreeMap<usize, AppServer>,
    pub load: Arc<LoadGenerator>,
    nodes: Vec<RealNode>,
    hollow_processes: Arc<Vec<Mutex<HollowProcess>>>,
    faults: Mutex<Faults>,
    /// Stops the thread that reads the events of hollow nodes.
    stop_audit: Arc<AtomicBool>,
    audit_thread: Option<std::thread::JoinHandle<()>>,
    second_log: Arc<Mutex<SecondLog>>,
    clients: JoinSet<()>,
    /// Whether the clients of real nodes are to stop.
    stop_clients: watch::Sender<bool>,
    folder: PathBuf,
}

impl Drop for TestFleet {
    fn drop(&mut self) {
        self.stop_audit.store(true, Ordering::Relaxed);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Sends one tenant's requests to real nodes until `stop` is set. Returns when all are answered.
async fn run_clients(
    load: Arc<LoadGenerator>,
    fleet: Fleet,
    customer: Customer,
    mut stop: watch::Receiver<bool>,
) {
    let mut random = fastrand::Rng::with_seed(customer.id);
    let mut requests = JoinSet::new();
    loop {
        tokio::select! {
            () = sleep(customer.arrival_gap(random.f64())) => {}
            _ = stop.wait_for(|stop| *stop) => break,
        }
        let (load, customer, class) = (
            Arc::clone(&load),
            customer.clone(),
            class_of(&fleet, random.f64()),
        );
        requests.spawn(async move { load.run_client(customer, class).await });
        while requests.try_join_next().is_some() {}
    }
    while requests.join_next().await.is_some() {}
}

/// Waits until a condition holds. Fails after [`WAIT_TIMEOUT`].
pub async fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "not within {WAIT_TIMEOUT:?}: {description}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

/// Nodes of the fleet, real and hollow, in these zones.
pub fn nodes_in(zones: &[&str]) -> HashSet<u32> {
    (0..NODES as u32)
        .filter(|node| zones.contains(&SITES[*node as usize % SITES.len()]))
        .collect()
}

impl TestFleet {
    /// Starts a fleet and waits until each node has the list.
    pub async fn start(tag: &str, parameters: FleetParameters) -> TestFleet {
        let (soft, hard) =
            getrlimit(Resource::RLIMIT_NOFILE).expect("the limit of descriptors can be read");
        if soft < hard {
            setrlimit(Resource::RLIMIT_NOFILE, hard, hard)
                .expect("the limit of descriptors can be raised to the hard limit");
        }
        let tenants = Tenants::new(
            parameters.tenants.0,
            parameters.tenants.1,
            (NODES as u32, parameters.node_rate),
            0,
        );
        let largest = tenants.tenant(0).plan;
        let plan = |(index, (rate, burst)): (usize, (f64, f64))| {
            let multiple = if index == largest {
                parameters.ceiling.1
            } else {
                parameters.ceiling.0
            };
            Plan {
                name: PLANS[index],
                rate,
                burst,
                ceiling: Some((rate * multiple, burst * multiple)),
            }
        };
        let plans = plans().into_iter().enumerate().map(plan).collect();
        let mut fleet = Fleet {
            plans,
            sites: SITES.to_vec(),
            ..Fleet::typical(NODES)
        };
        fleet.bounds.answer_slack = ANSWER_SLACK;
        let world = World::start(fleet.bounds.clone());

        let mut app_servers = BTreeMap::new();
        let mut listed = Vec::new();
        for at in 0..parameters.servers {
            let block = (at / 3) as u64;
            let site = if parameters.servers_in_z0().contains(&at) {
                0
            } else {
                1 + at % (SITES.len() - 1)
            };
            let mut dial = None;
            if parameters.is_reachable(at) {
                let work = fleet
                    .classes
                    .iter()
                    .map(|class| (class.name.to_owned(), class.work))
                    .collect();
                let cores = parameters.cores;
                let slots = cores * SLOTS_PER_CORE;
                let spec = servers::Spec {
                    name: format!("s-{at}"),
                    block,
                    cores,
                    slots,
                    work,
                };
                let server =
                    AppServer::start(Arc::clone(&world), spec).expect("the app server starts");
                dial = Some(server.address());
                app_servers.insert(at, server);
            }
            let dial = dial.unwrap_or_else(|| reserve_address().expect("an address is free"));
            let is_running = app_servers.contains_key(&at);
            listed.push(Server {
                dial,
                site: SITES[site],
                block,
                health: "ready",
                born_ms: 0,
                is_running,
            });
        }
        let list = ListService::new(Arc::clone(&world), listed, REAL_NODES);

        let peers: Vec<SocketAddr> = (0..NODES)
            .map(|_| reserve_address().expect("an address is free"))
            .collect();
        let links = Arc::new(Links::default());
        let network = Network::start(peers.clone(), Arc::clone(&links))
            .await
            .expect("the network between nodes starts");
        // Datagrams from and to real nodes pass through relays; hollow nodes send to one another directly.
        let relays = network
            .peers_of(NODES - 1)
            .expect("each relay has an address");
        let hollow_peers: Vec<SocketAddr> = (0..NODES)
            .map(|node| {
                if node < REAL_NODES {
                    relays[node]
                } else {
                    peers[node]
                }
            })
            .collect();
        let hollow_list_address = list.open(None).await;
        let first_hollow = |number: usize| HOLLOW_NODES * number / HOLLOW_PROCESSES;
        let micros = |span: Duration| span.as_micros() as u64;
        let spec = |number: usize| Spec {
            fleet_size: NODES as u32,
            running_nodes: NODES as u32,
            nodes: (
                (REAL_NODES + first_hollow(number)) as u32,
                (first_hollow(number + 1) - first_hollow(number)) as u32,
            ),
            settings: fleet.settings(0).to_string(),
            zones: SITES.iter().map(|site| (*site).to_owned()).collect(),
            peers: hollow_peers.clone(),
            list_address: hollow_list_address,
            max_connections: 2_000,
            tenants: parameters.tenants,
            min_subset_size: 0,
            node_rate: parameters.node_rate,
            mean_work: fleet
                .classes
                .iter()
                .map(|class| micros(class.work))
                .collect(),
            class_shares: fleet.classes.iter().map(|class| class.share).collect(),
            client_timeouts: fleet
                .classes
                .iter()
                .map(|class| micros(class.deadline))
                .collect(),
            seed: number as u64 + 1,
        };
        let hollow_processes: Vec<Mutex<HollowProcess>> = block_in_place(|| {
            std::thread::scope(|scope| {
                let starts: Vec<_> = (0..HOLLOW_PROCESSES)
                    .map(|number| {
                        let (spec, world, fenced) = (spec(number), &world, parameters.fenced);
                        scope.spawn(move || Mutex::new(HollowProcess::start(&spec, fenced, world)))
                    })
                    .collect();
                starts
                    .into_iter()
                    .map(|start| start.join().expect("a process of hollow nodes starts"))
                    .collect()
            })
        });

        let folder =
            std::env::temp_dir().join(format!("saffronpaddle-size-{}-{tag}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        let operator = format!(
            "[ready]\nlist_within_ms = 0\npeers_within_ms = 0\n[servers]\nworking_set = true\n[quotas]\nfenced = {}\n",
            parameters.fenced
        );
        std::fs::write(folder.join("operator.toml"), operator)
            .expect("the operator file can be written");
        let mut nodes = Vec::new();
        for (number, peer_listen) in peers.iter().copied().enumerate().take(REAL_NODES) {
            let address = reserve_address().expect("an address is free");
            let config = NodeConfig {
                name: format!("n{number}"),
                listen: address,
                discovery: list.open(Some(number)).await,
                peer_listen,
                peers: network.peers_of(number).expect("each relay has an address"),
                sockets: 2_048,
                memory_mb: 256,
            };
            let text = configuration(&config, &fleet.settings(number), None, number as u64 + 1);
            std::fs::write(folder.join(format!("{number}.json")), text)
                .expect("the configuration can be written");
            let node = RealNode {
                address,
                folder: folder.clone(),
                number,
                process: Mutex::default(),
            };
            node.start();
            nodes.push(node);
        }
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let load = LoadGenerator::new(
            Arc::clone(&world),
            fleet.clone(),
            &addresses,
            1,
            Cancellations::default(),
        );
        Arc::clone(&load).watch_readiness();
        let running = TestFleet {
            world,
            list,
            parameters,
            fleet,
            tenants,
            links,
            app_servers,
            load,
            nodes,
            hollow_processes: Arc::new(hollow_processes),
            faults: Mutex::default(),
            stop_audit: Arc::default(),
            audit_thread: None,
            second_log: Arc::default(),
            clients: JoinSet::new(),
            stop_clients: watch::channel(false).0,
            folder,
        };
        running.wait_all_listed(1).await;
        running
    }

    /// Sends a command to all processes of hollow nodes concurrently and returns their answers.
    fn request<T: DeserializeOwned + Send>(&self, command: &str) -> Vec<T> {
        block_in_place(|| {
            std::thread::scope(|scope| {
                let requests: Vec<_> = self
                    .hollow_processes
                    .iter()
                    .map(|process| scope.spawn(move || lock(process).request(command)))
                    .collect();
                requests
                    .into_iter()
                    .map(|request| request.join().expect("a process of hollow nodes answers"))
                    .collect()
            })
        })
    }

    /// Waits until each node has a list and this version was sent to each real node.
    pub async fn wait_all_listed(&self, seq: u64) {
        wait_until("each hollow node has a list", || {
            self.request::<usize>("unlisted").iter().sum::<usize>() == 0
        })
        .await;
        wait_until("each real node is ready and was sent the list", || {
            self.load.ready_nodes() == REAL_NODES && self.list.was_sent(seq, 0..REAL_NODES)
        })
        .await;
    }

    /// Waits until each hollow node has applied a version of the list and it was sent to each real node.
    pub async fn wait_applied(&self, seq: u64) {
        type ListDelays = (Vec<Option<u64>>, Vec<(u64, u64)>);
        let command = format!("acted [[{seq},0]]");
        wait_until(
            "each hollow node has applied the list, and each real node was sent it",
            || {
                let delays: Vec<ListDelays> = self.request(&command);
                delays
                    .iter()
                    .all(|(last, _)| last.iter().all(Option::is_some))
                    && self.list.was_sent(seq, 0..REAL_NODES)
            },
        )
        .await;
    }

    /// Starts the clients of all nodes.
    pub fn start_clients(&mut self) {
        for rank in 0..self.tenants.count() {
            let tenant = self.tenants.tenant(rank);
            let rate = self.tenants.demand(rank) * REAL_NODES as f64 / NODES as f64;
            let customer = Customer {
                id: tenant.id,
                plan: tenant.plan,
                first_node: tenant.subset_first as usize,
                node_count: tenant.subset_size as usize,
                rate,
            };
            self.fleet
                .register_limits(&mut self.world.oracle(), &customer);
            let stop = self.stop_clients.subscribe();
            self.clients.spawn(run_clients(
                Arc::clone(&self.load),
                self.fleet.clone(),
                customer,
                stop,
            ));
        }
        let (world, fleet, processes, stop) = (
            Arc::clone(&self.world),
            self.fleet.clone(),
            Arc::clone(&self.hollow_processes),
            Arc::clone(&self.stop_audit),
        );
        let (second_log, real) = (Arc::clone(&self.second_log), self.real_process_ids());
        self.audit_thread = Some(std::thread::spawn(move || {
            let mut next_sample = Instant::now();
            while !stop.load(Ordering::Relaxed) {
                std::thread::sleep(AUDIT_INTERVAL);
                processes
                    .iter()
                    .for_each(|process| _ = report_events(&world, &fleet, &mut lock(process)));
                if next_sample <= Instant::now() {
                    next_sample += SAMPLE_INTERVAL;
                    record_second(&second_log, &processes, &real);
                }
            }
        }));
        let _: Vec<()> = self.request("load");
    }

    /// Ids of the processes of the real nodes that run now.
    fn real_process_ids(&self) -> Vec<u32> {
        let id = |node: &RealNode| lock(&node.process).as_ref().map(|process| process.0.id());
        self.nodes.iter().filter_map(id).collect()
    }

    /// Changes the faults injected into hollow nodes.
    pub fn change_hollow_faults(&self, change: impl FnOnce(&mut Faults)) {
        let command = {
            let mut faults = lock(&self.faults);
            change(&mut faults);
            format!("faults {}", json!(*faults))
        };
        let _: Vec<()> = self.request(&command);
    }

    /// Injects a fault into the links between real nodes and all others.
    pub fn add_link_fault(&self, which: LinkSet, fault: Fault) {
        self.links.add_fault(which, fault);
    }

    /// The link ends of these nodes.
    pub fn link_ends(nodes: impl Iterator<Item = u32>) -> BTreeSet<End> {
        nodes.map(|node| End::Node(node as usize)).collect()
    }

    /// Restarts a share, 0 to 1, of the hollow nodes.
    pub fn restart_hollow(&self, share: f64) {
        let _: Vec<()> = self.request(&format!("renew {share}"));
    }

    /// Kills a real node and starts it again.
    pub fn kill_and_restart(&self, node: usize) {
        self.load.node_killed_or_restarted(node);
        lock(&self.nodes[node].process).take();
        self.list.forget(node);
        self.world.oracle().node_restarted(node);
        self.nodes[node].start();
        self.load.node_killed_or_restarted(node);
    }

    /// Suspends a real node while `meanwhile` runs.
    pub async fn while_paused(
        &self,
        node: usize,
        meanwhile: impl std::future::Future<Output = ()>,
    ) {
        let paused_at = self.world.now();
        self.load.node_paused_or_resumed(node);
        self.nodes[node].signal(Signal::SIGSTOP);
        meanwhile.await;
        self.world
            .oracle()
            .node_resumed(self.world.now(), node, paused_at);
        self.nodes[node].signal(Signal::SIGCONT);
        self.load.node_paused_or_resumed(node);
    }

    /// Number of requests sent since a time to the selected nodes, and how many of them were served.
    pub fn requests_since(&self, since: Duration, selected: impl Fn(usize) -> bool) -> (u64, u64) {
        let oracle = self.world.oracle();
        oracle
            .requests()
            .filter(|request| request.sent_at >= since && selected(request.node))
            .fold((0, 0), |(requests, served), request| {
                (
                    requests + 1,
                    served + u64::from(request.answer == Some(Answer::Served)),
                )
            })
    }

    /// Waits until `count` requests have been sent since the start.
    pub async fn wait_requests(&self, count: u64) {
        wait_until(&format!("{count} requests are sent"), || {
            self.requests_since(Duration::ZERO, |_| true).0 >= count
        })
        .await;
    }

    /// Waits until real nodes have served `count` requests sent since a time, and hollow nodes as many.
    pub async fn wait_served(&self, since: Duration, count: u64) {
        for real in [true, false] {
            let description =
                format!("{count} requests since {since:?} are served (real nodes: {real})");
            wait_until(&description, || {
                self.requests_since(since, |node| (node < REAL_NODES) == real)
                    .1
                    >= count
            })
            .await;
        }
    }

    /// Kills these app servers with their connections. Attempts of hollow nodes to them stay unanswered.
    pub fn kill_servers(&self, servers: &[usize]) {
        servers
            .iter()
            .filter_map(|at| self.app_servers.get(at))
            .for_each(AppServer::kill);
    }

    /// Starts these servers cold and lists them in one new version. Returns the version.
    pub fn start_cold(&self, servers: &[usize]) -> u64 {
        for at in servers {
            if let Some(server) = self.app_servers.get(at) {
                server
                    .start_cold()
                    .expect("the server's address is still reserved");
            } else {
                let (now, capacity) = (self.world.now(), self.parameters.cores as f64);
                self.world
                    .oracle()
                    .server_started_cold(now, &format!("s-{at}"), capacity);
            }
        }
        let born_ms = self.world.unix_ms();
        self.list.change(servers, |server| {
            (server.health, server.born_ms) = ("ready", born_ms);
        })
    }

    /// Names of these servers.
    pub fn server_names(servers: &[usize]) -> HashSet<String> {
        servers.iter().map(|at| format!("s-{at}")).collect()
    }

    /// Stops the clients, waits until all requests are answered or timed out, and returns the oracle's verdict.
    pub async fn finish(&mut self) -> (Verdict, HollowTotals) {
        let _: Vec<()> = self.request("rest");
        self.stop_clients.send_replace(true);
        while self.clients.join_next().await.is_some() {}
        let longest_timeout = self
            .fleet
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default();
        let started = Instant::now();
        while self.world.oracle().open_requests() > 0
            && started.elapsed() < longest_timeout + LOOP_SLACK
        {
            sleep(POLL_INTERVAL).await;
        }
        self.stop_audit.store(true, Ordering::Relaxed);
        if let Some(thread) = self.audit_thread.take() {
            block_in_place(|| thread.join()).expect("the thread that reads the audit succeeds");
        }
        let mut totals = HollowTotals::default();
        let largest = self.tenants.tenant(0).id;
        for process in self.hollow_processes.iter() {
            let mut process = lock(process);
            let audit = report_events(&self.world, &self.fleet, &mut process);
            for (tenant, (requests, served)) in &process.tenants {
                let sums = if *tenant == largest {
                    &mut totals.largest
                } else {
                    &mut totals.others
                };
                (sums.0, sums.1) = (sums.0 + requests, sums.1 + served);
            }
            totals.after_drain += audit.after_drain;
            totals.after_drain_max_ms = totals
                .after_drain_max_ms
                .max(audit.after_drain_max as f64 / 1e3);
            totals.late += audit.late;
            totals.dropped_events += audit.dropped_events;
            totals.dropped_datagrams += audit.dropped_datagrams;
        }
        for node in &self.nodes {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", node.number)));
            assert!(
                !node.has_ended(),
                "node {} ended by itself: {log:?}",
                node.number
            );
        }
        let verdict = self.world.oracle().verdict();
        println!("{verdict:?}\n{totals:?}");
        lock(&self.second_log).print();
        (verdict, totals)
    }
}

/// Asserts the five rules over all nodes: each accepted request has one final answer in time, nothing takes effect
/// twice, no new attempt reaches a server more than 250 ms after its node was informed that the server is not ready, no
/// cold server is overloaded, and no ceiling is exceeded.
pub fn assert_rules_kept((verdict, totals): &(Verdict, HollowTotals)) {
    let breaches: Vec<&Breach> = verdict.breaches.iter().take(20).collect();
    assert!(
        verdict.breaches.is_empty(),
        "{} breaches: {breaches:?}",
        verdict.breaches.len()
    );
    assert_eq!((totals.late, totals.dropped_events), (0, 0), "{totals:?}");
    assert_eq!(verdict.lost, 0, "{verdict:?}");
    assert_eq!(
        verdict.unsolicited_attempts, 0,
        "no attempt without a request: {verdict:?}"
    );
    assert!(verdict.cold_load_max < 1.0, "{verdict:?}");
    assert!(
        verdict.requests > 500 && verdict.served > 0,
        "the fleet had load: {verdict:?}"
    );
}
