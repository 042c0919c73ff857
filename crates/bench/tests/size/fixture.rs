//! A fleet of hundreds of nodes: a few processes of the program, each with clients and app servers that speak HTTP, and
//! hundreds of hollow nodes beside them, all one another's peers. One ledger sees what all of them do.
//!
//! Each server is one name with one dial address. Where a real node may send to it, an app server listens there; what hollow nodes send to
//! the same server is drawn by them and told to the same ledger a moment later, so that ceilings and cold servers are judged by the sum.

use crate::list::{Server, Service};
use nix::sys::resource::{getrlimit, setrlimit, Resource};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use saffronpaddle_hollow::audit::{Audited, Faults, Note};
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

/// Processes of the program, and hollow nodes beside them, in so many processes.
pub const REAL: usize = 8;
pub const HOLLOW: usize = 500;
const PROCESSES: usize = 4;
pub const NODES: usize = REAL + HOLLOW;
/// Zones of the fleet: nodes are spread over them in turn.
pub const SITES: [&str; 9] = ["z0", "z1", "z2", "z3", "z4", "z5", "z6", "z7", "z8"];
const PLANS: [&str; 9] = ["p0", "p1", "p2", "p3", "p4", "p5", "p6", "p7", "p8"];
/// Requests that an app server holds at once, for each core.
const SLOTS: usize = 16;
/// An answer of a real node later than so long after its client's time is late: with hundreds of nodes beside it on a
/// busy machine a process may have to wait for a core.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// The same for a hollow node, which shares one loop with more than a hundred others: that alone makes it late.
const LOOP_SLACK: Duration = Duration::from_secs(5);
/// Everything that is waited for comes about by then, or the test fails.
const WITHIN: Duration = Duration::from_secs(40);
const LOOK: Duration = Duration::from_millis(20);
/// Between two readings of what hollow nodes did.
const AUDIT_EVERY: Duration = Duration::from_millis(50);

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What a fleet is.
#[derive(Clone, Debug)]
pub struct Fixture {
    /// Servers on the list.
    pub servers: usize,
    /// How many of them, the last ones, are in zone `z0`; the others are in the other eight in turn.
    pub zone: usize,
    /// Lengths that the list has in the run: its first so many servers. Real servers stand wherever real nodes may send to.
    pub lengths: Vec<usize>,
    /// Cores of a server.
    pub cores: usize,
    /// Tenants, and the exponent of their demands.
    pub tenants: (usize, f64),
    /// Tries a node and second.
    pub tries: f64,
    /// A tenant's hard ceiling, in times of its quota, and that of the largest tenant's plan.
    pub ceiling: (f64, f64),
    /// `[quotas] fenced`.
    pub fenced: bool,
}

impl Fixture {
    pub fn of(servers: usize) -> Fixture {
        Fixture {
            servers,
            zone: servers.div_ceil(SITES.len()),
            lengths: vec![servers],
            cores: 4,
            tenants: (400, 0.7),
            tries: 4.0,
            ceiling: (1.25, 1.25),
            fenced: false,
        }
    }

    /// Whether a real node may send to a server, at one of the lengths of the list that has it.
    fn stands(&self, at: usize) -> bool {
        let lengths = self.lengths.iter().filter(|length| at < **length);
        let mut set = Subset::new(0, NODES as u32);
        // Places do not hang on the length, only on that not all nodes send to all servers.
        set.resize(FULL_LIST_MAX_SERVERS + 1);
        let real = |cover: usize| {
            let number = server_id(&format!("s-{at}")).0;
            (0..cover.min(NODES) as u32)
                .any(|place| (set.node_at_rank(number, place) as usize) < REAL)
        };
        // A set may be half as large again as is sought.
        lengths.into_iter().any(|length| {
            *length <= FULL_LIST_MAX_SERVERS
                || real((TARGET_SUBSET_SIZE * NODES).div_ceil(*length) * 3 / 2)
        })
    }

    /// The servers of zone `z0`.
    pub fn of_zone(&self) -> std::ops::Range<usize> {
        self.servers - self.zone..self.servers
    }
}

/// A process that ends with this value.
struct Ends(Child);

impl Drop for Ends {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// A process of hollow nodes.
struct Shard {
    stdin: ChildStdin,
    stdout: BufReader<ChildStdout>,
    /// The run's clock less the process's, µs.
    offset: i64,
    /// Tries by their tenants, and how many of them were served; whose those are that have no answer yet.
    tenants: HashMap<u64, (u64, u64)>,
    open: HashMap<String, u64>,
    _process: Ends,
}

impl Shard {
    fn start(spec: &Spec, fenced: bool, world: &World) -> Shard {
        let mut command = Command::new(env!("CARGO_BIN_EXE_saffronpaddle-bench"));
        command
            .arg("hollow")
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("a process of hollow nodes starts");
        let (stdin, stdout) = (
            child.stdin.take().expect("input"),
            child.stdout.take().expect("output"),
        );
        let mut line = serde_json::to_value(spec).expect("a spec is JSON");
        (line["audit"], line["fenced"]) = (true.into(), fenced.into());
        let (tenants, open) = Default::default();
        let stdout = BufReader::new(stdout);
        let mut shard = Shard {
            stdin,
            stdout,
            offset: 0,
            tenants,
            open,
            _process: Ends(child),
        };
        let _: serde_json::Value = shard.ask(&line.to_string());
        let before = world.now();
        let first: Audited = shard.ask("audit");
        shard.offset = ((before + world.now()) / 2).as_micros() as i64 - first.at as i64;
        shard
    }

    fn ask<T: DeserializeOwned>(&mut self, word: &str) -> T {
        writeln!(self.stdin, "{word}").expect("a process of hollow nodes listens");
        let mut line = String::new();
        self.stdout.read_line(&mut line).expect("it answers");
        serde_json::from_str(&line).unwrap_or_else(|error| panic!("{word}: {error}: {line:?}"))
    }

    fn at(&self, at: u64) -> Duration {
        Duration::from_micros((at as i64 + self.offset).max(0) as u64)
    }
}

/// What hollow nodes did with servers that were not ready.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Hollow {
    pub after_drain: u64,
    pub after_drain_most_ms: f64,
    pub late: u64,
    pub lost: u64,
    pub unheard: u64,
    /// Tries of the largest tenant and of all others, and how many of them were served.
    pub largest: (u64, u64),
    pub others: (u64, u64),
}

/// Takes into the ledger what a process of hollow nodes did since the last time.
fn take_in(world: &World, fleet: &Fleet, shard: &mut Shard) -> Audited {
    let audited: Audited = shard.ask("audit");
    let mut ledger = world.oracle();
    for (at, note) in &audited.notes {
        let at = shard.at(*at);
        match note {
            Note::Asked(id, node, tenant, class) => {
                shard.tenants.entry(*tenant).or_default().0 += 1;
                shard.open.insert(id.clone(), *tenant);
                let class = &fleet.classes[*class];
                let repeats = if class.keyed {
                    RepeatSafety::Keyed
                } else {
                    RepeatSafety::Safe
                };
                let asked = SentRequest {
                    id: id.clone(),
                    key: class.keyed.then(|| id.clone()),
                    repeat_safety: repeats,
                    node: *node as usize,
                    customer: *tenant,
                    units: 1.0,
                    timeout: class.deadline + LOOP_SLACK,
                };
                ledger.request_sent(at, asked);
            }
            Note::Arrived(id, server, work) => ledger.attempt_received(at, at, server, id, *work),
            Note::Ran(id, group, came) => {
                _ = ledger.attempt_executed(at, shard.at(*came), *group, id);
            }
            Note::Over(id) => ledger.attempt_finished(id),
            Note::Closed(id) => ledger.attempt_canceled(at, id),
            Note::Answered(id, kind) => {
                let answer = [Answer::Served, Answer::Refused, Answer::Failed][usize::from(*kind)];
                ledger.response_received(at, id, answer);
                if let Some(tenant) = shard.open.remove(id).filter(|_| answer == Answer::Served) {
                    shard.tenants.entry(tenant).or_default().1 += 1;
                }
            }
            Note::Cut(id) => ledger.request_unanswered(id, Unanswered::Killed),
        }
    }
    audited
}

/// A process of the program.
struct Node {
    address: SocketAddr,
    folder: PathBuf,
    me: usize,
    process: Mutex<Option<Ends>>,
}

impl Node {
    fn start(&self) {
        let mut command = Command::new(program());
        let file = |kind: &str| self.folder.join(format!("{}.{kind}", self.me));
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
            .expect("a log");
        command
            .env("LB_CONFIG", file("json"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command
            .spawn()
            .expect("the program is built beside this test");
        *lock(&self.process) = Some(Ends(child));
    }

    fn signal(&self, signal: Signal) {
        let process = lock(&self.process);
        let pid = process
            .as_ref()
            .map(|process| Pid::from_raw(process.0.id() as i32))
            .expect("it runs");
        kill(pid, signal).expect("it takes signals");
    }

    /// Whether it has ended by itself.
    fn ended(&self) -> bool {
        lock(&self.process)
            .as_mut()
            .is_some_and(|process| !matches!(process.0.try_wait(), Ok(None)))
    }
}

/// A fleet that runs. What it started ends with it.
pub struct Rig {
    pub world: Arc<World>,
    pub list: Arc<Service>,
    pub fixture: Fixture,
    pub fleet: Fleet,
    pub tenants: Tenants,
    pub links: Arc<Links>,
    pub stands: BTreeMap<usize, AppServer>,
    pub front: Arc<LoadGenerator>,
    nodes: Vec<Node>,
    shards: Arc<Vec<Mutex<Shard>>>,
    faults: Mutex<Faults>,
    over: Arc<AtomicBool>,
    pump: Option<std::thread::JoinHandle<()>>,
    offers: JoinSet<()>,
    /// Whether clients of real nodes have ended.
    rests: watch::Sender<bool>,
    folder: PathBuf,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.over.store(true, Ordering::Relaxed);
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// One tenant's clients at real nodes, until they are told to rest and the last has its answer.
async fn clients(
    front: Arc<LoadGenerator>,
    fleet: Fleet,
    customer: Customer,
    mut rests: watch::Receiver<bool>,
) {
    let mut random = fastrand::Rng::with_seed(customer.id);
    let mut all = JoinSet::new();
    loop {
        tokio::select! {
            () = sleep(customer.arrival_gap(random.f64())) => {}
            _ = rests.wait_for(|rests| *rests) => break,
        }
        let (front, customer, class) = (
            Arc::clone(&front),
            customer.clone(),
            class_of(&fleet, random.f64()),
        );
        all.spawn(async move { front.run_client(customer, class).await });
        while all.try_join_next().is_some() {}
    }
    while all.join_next().await.is_some() {}
}

/// Waits until something has come about.
pub async fn until(what: &str, mut such: impl FnMut() -> bool) {
    let begun = Instant::now();
    while !such() {
        assert!(begun.elapsed() < WITHIN, "not within {WITHIN:?}: {what}");
        sleep(LOOK).await;
    }
}

/// Nodes of the fleet, real ones among them, whose zone is one of these.
pub fn nodes_in(zones: &[&str]) -> HashSet<u32> {
    (0..NODES as u32)
        .filter(|node| zones.contains(&SITES[*node as usize % SITES.len()]))
        .collect()
}

impl Rig {
    /// Starts a fleet, and waits until each node has the list.
    pub async fn begin(tag: &str, fixture: Fixture) -> Rig {
        let (soft, hard) = getrlimit(Resource::RLIMIT_NOFILE).expect("the limit of descriptors");
        if soft < hard {
            setrlimit(Resource::RLIMIT_NOFILE, hard, hard)
                .expect("as many as this process may have");
        }
        let tenants = Tenants::new(
            fixture.tenants.0,
            fixture.tenants.1,
            (NODES as u32, fixture.tries),
            0,
        );
        let largest = tenants.tenant(0).plan;
        let plan = |(place, (rate, burst)): (usize, (f64, f64))| {
            let times = if place == largest {
                fixture.ceiling.1
            } else {
                fixture.ceiling.0
            };
            Plan {
                name: PLANS[place],
                rate,
                burst,
                ceiling: Some((rate * times, burst * times)),
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

        let mut stands = BTreeMap::new();
        let mut listed = Vec::new();
        for at in 0..fixture.servers {
            let block = (at / 3) as u64;
            let site = if fixture.of_zone().contains(&at) {
                0
            } else {
                1 + at % (SITES.len() - 1)
            };
            let mut dial = None;
            if fixture.stands(at) {
                let work = fleet
                    .classes
                    .iter()
                    .map(|class| (class.name.to_owned(), class.work))
                    .collect();
                let cores = fixture.cores;
                let slots = cores * SLOTS;
                let spec = servers::Spec {
                    name: format!("s-{at}"),
                    block,
                    cores,
                    slots,
                    work,
                };
                let server = AppServer::start(Arc::clone(&world), spec).expect("an app server");
                dial = Some(server.address());
                stands.insert(at, server);
            }
            let dial = dial.unwrap_or_else(|| reserve_address().expect("an address"));
            let stands = stands.contains_key(&at);
            listed.push(Server {
                dial,
                site: SITES[site],
                block,
                health: "ready",
                born_ms: 0,
                stands,
            });
        }
        let list = Service::new(Arc::clone(&world), listed, REAL);

        let peers: Vec<SocketAddr> = (0..NODES)
            .map(|_| reserve_address().expect("an address"))
            .collect();
        let links = Arc::new(Links::default());
        let network = Network::start(peers.clone(), Arc::clone(&links))
            .await
            .expect("the network between nodes");
        // Real nodes talk to all through relays, and all to them; hollow ones hear one another straight.
        let relays = network.peers_of(NODES - 1).expect("addresses");
        let hollow_peers: Vec<SocketAddr> = (0..NODES)
            .map(|node| {
                if node < REAL {
                    relays[node]
                } else {
                    peers[node]
                }
            })
            .collect();
        let shared = list.open(None).await;
        let of = |number: usize| HOLLOW * number / PROCESSES;
        let micros = |span: Duration| span.as_micros() as u64;
        let spec = |number: usize| Spec {
            gateways: NODES as u32,
            present: NODES as u32,
            nodes: (
                (REAL + of(number)) as u32,
                (of(number + 1) - of(number)) as u32,
            ),
            settings: fleet.settings(0).to_string(),
            zones: SITES.iter().map(|site| (*site).to_owned()).collect(),
            peers: hollow_peers.clone(),
            list: shared,
            links: 2_000,
            tenants: fixture.tenants,
            spread: 0,
            tries: fixture.tries,
            work: fleet
                .classes
                .iter()
                .map(|class| micros(class.work))
                .collect(),
            classes: fleet.classes.iter().map(|class| class.share).collect(),
            patience: fleet
                .classes
                .iter()
                .map(|class| micros(class.deadline))
                .collect(),
            seed: number as u64 + 1,
        };
        let shards: Vec<Mutex<Shard>> = block_in_place(|| {
            std::thread::scope(|scope| {
                let starts: Vec<_> = (0..PROCESSES)
                    .map(|number| {
                        let (spec, world, fenced) = (spec(number), &world, fixture.fenced);
                        scope.spawn(move || Mutex::new(Shard::start(&spec, fenced, world)))
                    })
                    .collect();
                starts
                    .into_iter()
                    .map(|start| start.join().expect("it starts"))
                    .collect()
            })
        });

        let folder =
            std::env::temp_dir().join(format!("saffronpaddle-size-{}-{tag}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        let operator = format!(
            "[ready]\nlist_within_ms = 0\npeers_within_ms = 0\n[servers]\nworking_set = true\n[quotas]\nfenced = {}\n",
            fixture.fenced
        );
        std::fs::write(folder.join("operator.toml"), operator).expect("an operator file");
        let mut nodes = Vec::new();
        for (me, peer_listen) in peers.iter().copied().enumerate().take(REAL) {
            let address = reserve_address().expect("an address");
            let places = NodeConfig {
                name: format!("n{me}"),
                listen: address,
                discovery: list.open(Some(me)).await,
                peer_listen,
                peers: network.peers_of(me).expect("addresses"),
                sockets: 2_048,
                memory_mb: 256,
            };
            let text = configuration(&places, &fleet.settings(me), None, me as u64 + 1);
            std::fs::write(folder.join(format!("{me}.json")), text).expect("a configuration");
            let node = Node {
                address,
                folder: folder.clone(),
                me,
                process: Mutex::default(),
            };
            node.start();
            nodes.push(node);
        }
        let doors: Vec<SocketAddr> = nodes.iter().map(|node| node.address).collect();
        let front = LoadGenerator::new(
            Arc::clone(&world),
            fleet.clone(),
            &doors,
            1,
            Cancellations::default(),
        );
        Arc::clone(&front).watch_readiness();
        let rig = Rig {
            world,
            list,
            fixture,
            fleet,
            tenants,
            links,
            stands,
            front,
            nodes,
            shards: Arc::new(shards),
            faults: Mutex::default(),
            over: Arc::default(),
            pump: None,
            offers: JoinSet::new(),
            rests: watch::channel(false).0,
            folder,
        };
        rig.all_listed(1).await;
        rig
    }

    /// Tells all processes of hollow nodes a word at once.
    fn ask<T: DeserializeOwned + Send>(&self, word: &str) -> Vec<T> {
        block_in_place(|| {
            std::thread::scope(|scope| {
                let asks: Vec<_> = self
                    .shards
                    .iter()
                    .map(|shard| scope.spawn(move || lock(shard).ask(word)))
                    .collect();
                asks.into_iter()
                    .map(|ask| ask.join().expect("it answers"))
                    .collect()
            })
        })
    }

    /// Waits until each node has a list, and each real one has been written this version.
    pub async fn all_listed(&self, seq: u64) {
        until("each hollow node has a list", || {
            self.ask::<usize>("unlisted").iter().sum::<usize>() == 0
        })
        .await;
        until("each real node is open and has the list", || {
            self.front.ready_nodes() == REAL && self.list.reached(seq, 0..REAL)
        })
        .await;
    }

    /// Waits until each node has acted on a version of the list, real ones at least been written it.
    pub async fn acted(&self, seq: u64) {
        type Acted = (Vec<Option<u64>>, Vec<(u64, u64)>);
        let word = format!("acted [[{seq},0]]");
        until("each node has acted on the list", || {
            let acted: Vec<Acted> = self.ask(&word);
            acted
                .iter()
                .all(|(last, _)| last.iter().all(Option::is_some))
                && self.list.reached(seq, 0..REAL)
        })
        .await;
    }

    /// Clients of all nodes begin.
    pub fn load(&mut self) {
        for place in 0..self.tenants.many() {
            let tenant = self.tenants.tenant(place);
            let rate = self.tenants.demand(place) * REAL as f64 / NODES as f64;
            let customer = Customer {
                id: tenant.id,
                plan: tenant.plan,
                first_node: tenant.first as usize,
                node_count: tenant.spread as usize,
                rate,
            };
            self.fleet
                .register_limits(&mut self.world.oracle(), &customer);
            let rests = self.rests.subscribe();
            self.offers.spawn(clients(
                Arc::clone(&self.front),
                self.fleet.clone(),
                customer,
                rests,
            ));
        }
        let (world, fleet, shards, over) = (
            Arc::clone(&self.world),
            self.fleet.clone(),
            Arc::clone(&self.shards),
            Arc::clone(&self.over),
        );
        self.pump = Some(std::thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                std::thread::sleep(AUDIT_EVERY);
                shards
                    .iter()
                    .for_each(|shard| _ = take_in(&world, &fleet, &mut lock(shard)));
            }
        }));
        let _: Vec<()> = self.ask("load");
    }

    /// Changes what befalls hollow nodes.
    pub fn befall(&self, change: impl FnOnce(&mut Faults)) {
        let word = {
            let mut faults = lock(&self.faults);
            change(&mut faults);
            format!("faults {}", json!(*faults))
        };
        let _: Vec<()> = self.ask(&word);
    }

    /// Lays a fault on the links between real nodes and all others.
    pub fn lay(&self, which: LinkSet, fault: Fault) {
        self.links.add_fault(which, fault);
    }

    /// Ends of all nodes.
    pub fn ends(nodes: impl Iterator<Item = u32>) -> BTreeSet<End> {
        nodes.map(|node| End::Node(node as usize)).collect()
    }

    /// A share of the hollow nodes ends and starts anew.
    pub fn renew(&self, share: f64) {
        let _: Vec<()> = self.ask(&format!("renew {share}"));
    }

    /// A real node is killed, and its successor started.
    pub fn kill(&self, node: usize) {
        self.front.node_killed_or_restarted(node);
        lock(&self.nodes[node].process).take();
        self.list.forget(node);
        self.world.oracle().node_restarted(node);
        self.nodes[node].start();
        self.front.node_killed_or_restarted(node);
    }

    /// A real node stands still for as long as something takes.
    pub async fn still(&self, node: usize, meanwhile: impl std::future::Future<Output = ()>) {
        let stopped = self.world.now();
        self.front.node_paused_or_resumed(node);
        self.nodes[node].signal(Signal::SIGSTOP);
        meanwhile.await;
        self.world
            .oracle()
            .node_resumed(self.world.now(), node, stopped);
        self.nodes[node].signal(Signal::SIGCONT);
        self.front.node_paused_or_resumed(node);
    }

    /// Tries that began since then at some nodes, and how many of them were served by now.
    pub fn since(&self, since: Duration, at: impl Fn(usize) -> bool) -> (u64, u64) {
        let ledger = self.world.oracle();
        ledger
            .requests()
            .filter(|seen| seen.sent_at >= since && at(seen.node))
            .fold((0, 0), |(tries, served), seen| {
                (
                    tries + 1,
                    served + u64::from(seen.answer == Some(Answer::Served)),
                )
            })
    }

    /// Waits until so many tries have begun in all.
    pub async fn offered(&self, many: u64) {
        until("tries go on", || {
            self.since(Duration::ZERO, |_| true).0 >= many
        })
        .await;
    }

    /// Waits until so many tries that began since then were served, by real nodes and by hollow ones.
    pub async fn serves(&self, since: Duration, many: u64) {
        for real in [true, false] {
            let what = format!("{many} tries since {since:?} are served (real: {real})");
            until(&what, || {
                self.since(since, |node| (node < REAL) == real).1 >= many
            })
            .await;
        }
    }

    /// Processes of these servers end at once, and connections to them with them; what hollow nodes have written there is never
    /// answered.
    pub fn die(&self, servers: &[usize]) {
        servers
            .iter()
            .filter_map(|at| self.stands.get(at))
            .for_each(AppServer::kill);
    }

    /// They start anew, cold, and are listed in one version.
    pub fn start_cold(&self, servers: &[usize]) -> u64 {
        for at in servers {
            if let Some(server) = self.stands.get(at) {
                server.start_cold().expect("its address is kept");
            } else {
                let (now, capacity) = (self.world.now(), self.fixture.cores as f64);
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

    /// Names of servers.
    pub fn names(servers: &[usize]) -> HashSet<String> {
        servers.iter().map(|at| format!("s-{at}")).collect()
    }

    /// Ends the load, waits until each try has its end or its time is over, and judges.
    pub async fn judge(&mut self) -> (Verdict, Hollow) {
        let _: Vec<()> = self.ask("rest");
        self.rests.send_replace(true);
        while self.offers.join_next().await.is_some() {}
        let longest = self
            .fleet
            .classes
            .iter()
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default();
        let begun = Instant::now();
        while self.world.oracle().open_requests() > 0 && begun.elapsed() < longest + LOOP_SLACK {
            sleep(LOOK).await;
        }
        self.over.store(true, Ordering::Relaxed);
        if let Some(pump) = self.pump.take() {
            block_in_place(|| pump.join()).expect("all was taken into the ledger");
        }
        let mut hollow = Hollow::default();
        let largest = self.tenants.tenant(0).id;
        for shard in self.shards.iter() {
            let mut shard = lock(shard);
            let audited = take_in(&self.world, &self.fleet, &mut shard);
            for (tenant, (tries, served)) in &shard.tenants {
                let sums = if *tenant == largest {
                    &mut hollow.largest
                } else {
                    &mut hollow.others
                };
                (sums.0, sums.1) = (sums.0 + tries, sums.1 + served);
            }
            hollow.after_drain += audited.after_drain;
            hollow.after_drain_most_ms = hollow
                .after_drain_most_ms
                .max(audited.after_drain_most as f64 / 1e3);
            hollow.late += audited.late;
            hollow.lost += audited.lost;
            hollow.unheard += audited.unheard;
        }
        for node in &self.nodes {
            let log = std::fs::read_to_string(self.folder.join(format!("{}.log", node.me)));
            assert!(!node.ended(), "node {} ended by itself: {log:?}", node.me);
        }
        let verdict = self.world.oracle().verdict();
        println!("{verdict:?}\n{hollow:?}");
        (verdict, hollow)
    }
}

/// The five rules, over all nodes: each try taken has one final answer in time, nothing takes effect twice, nothing new reaches a server
/// 250 ms after its node was told that it is not ready, no cold server falls, and no ceiling is passed.
pub fn kept((verdict, hollow): &(Verdict, Hollow)) {
    let breaches: Vec<&Breach> = verdict.breaches.iter().take(20).collect();
    assert!(
        verdict.breaches.is_empty(),
        "{} breaches: {breaches:?}",
        verdict.breaches.len()
    );
    assert_eq!((hollow.late, hollow.lost), (0, 0), "{hollow:?}");
    assert_eq!(verdict.lost, 0, "{verdict:?}");
    assert_eq!(
        verdict.unsolicited_attempts, 0,
        "no attempt that nobody asked for: {verdict:?}"
    );
    assert!(verdict.cold_load_max < 1.0, "{verdict:?}");
    assert!(
        verdict.requests > 500 && verdict.served > 0,
        "it was used: {verdict:?}"
    );
}
