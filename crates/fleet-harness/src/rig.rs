//! Plays a scenario: starts everything, lets befall it what the steps say, and judges.

use crate::customers::customers;
use crate::instance::Instance;
use crate::manager::Manager;
use crate::report::{Report, Row};
use crate::room;
use crate::scenario::{Deed, Known, Roster, Scenario, Step, GROUP, SLOTS};
use crate::ways::Ways;
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

/// How a scenario is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program whose instances run.
    pub program: PathBuf,
    /// Draws all that the scenario leaves open, customers' behaviour and the nodes' seeds.
    pub seed: u64,
    /// Where configurations and logs go.
    pub folder: PathBuf,
    /// More lines for the operator file of all instances.
    pub operator: String,
    /// Told of each step as it is taken.
    pub say: bool,
    /// What the instances tell their logs.
    pub log_level: &'static str,
    /// A library that makes system calls of the instances fail, where the scenario says which.
    pub preload: Option<PathBuf>,
}

/// How long a drained server's process goes on after its list entry was changed.
pub(crate) const DRAINS_FOR: Duration = Duration::from_millis(1500);
/// All clients have ended by then: the longest deadline and its retries.
const CLIENTS_END: Duration = Duration::from_secs(20);
/// Memory of an instance, as on the platform's scored days.
const MEMORY_MB: usize = 192;
/// The platform kills a process that was told to stop so long after the longest deadline, of which it counts no more than
/// this.
const KILL_GRACE: Duration = Duration::from_millis(700);
const DEADLINE_COUNTED: Duration = Duration::from_secs(3);
/// How long a process may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);
/// Connections to a process that is told to stop, which first ask after that, and until when they do.
const LATE_ASKERS: usize = 6;
const ASK_WITHIN: Duration = Duration::from_millis(1300);

static RUNS: AtomicU64 = AtomicU64::new(0);

/// A fleet that runs.
struct Rig {
    world: Arc<World>,
    discovery: Arc<Discovery>,
    servers: Vec<AppServer>,
    links: Arc<Links>,
    network: Arc<Network>,
    front: Arc<LoadGenerator>,
    instances: Vec<Arc<Instance>>,
    roster: Lists,
    customers: Vec<Customer>,
    scenario: Scenario,
}

/// Where changes of the list of app servers are written.
#[derive(Clone)]
struct Lists {
    world: Arc<World>,
    discovery: Arc<Discovery>,
    etcd: Option<Etcd>,
    instances: usize,
}

/// What servers' keys begin with.
const PREFIX: &str = "/saffronpaddle/servers/";

impl Lists {
    fn change(&self, entry: Entry) {
        if let Some(etcd) = &self.etcd {
            let key = format!("{PREFIX}{}", entry.host);
            // Told to all from the write of the event on, whatever befalls their connections.
            for node in 0..self.instances {
                self.world.oracle().health_delivered(
                    self.world.now(),
                    node,
                    &entry.host,
                    entry.health == "ready",
                );
            }
            match entry.health {
                "gone" => _ = etcd.delete(&key),
                _ => _ = etcd.put(&key, &entry.value()),
            }
        }
        self.discovery.change(vec![entry]);
    }
}

/// Plays a scenario to its end, with a runtime of its own. Its folder is made, and taken away again unless it is kept.
///
/// # Errors
/// The rig itself could not be set up; what goes wrong with the fleet stands in the report.
pub fn run(scenario: Scenario, options: &Options, keep: bool) -> Result<Report> {
    let folder = &options.folder;
    room::make(&scenario)?;
    std::fs::create_dir_all(folder).with_context(|| folder.display().to_string())?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    let report = runtime.block_on(play(scenario, options));
    // What the stand-ins still do is nobody's concern any more.
    runtime.shutdown_timeout(Duration::from_secs(1));
    if !keep {
        // What is left behind harms nobody.
        let _ = std::fs::remove_dir_all(folder);
    }
    report
}

/// Plays a scenario to its end.
///
/// # Errors
/// The rig itself could not be set up; what goes wrong with the fleet stands in the report.
pub async fn play(scenario: Scenario, options: &Options) -> Result<Report> {
    let rig = Rig::set_up(scenario, options).await?;
    rig.start().await?;
    let (before, begun) = (rig.datagrams(), rig.world.now());
    let duration = rig.scenario.duration;
    let offered = rig.offer();
    let befallen = rig.befall(options.say);
    let (offered, ()) = tokio::join!(timeout(duration + CLIENTS_END, offered), befallen);
    let mut faults = Vec::new();
    if offered.is_err() {
        faults.push(format!(
            "{} tries had no end",
            rig.world.oracle().open_requests()
        ));
    }
    let seconds = rig.world.now().checked_sub(begun).unwrap().as_secs_f64();
    let after = rig.datagrams();
    let mut stops = tokio::task::JoinSet::new();
    for instance in rig.instances.clone() {
        stops.spawn(async move { instance.stop().await });
    }
    while stops.join_next().await.is_some() {}
    // The watch over each process sees its end and what it cost a moment later.
    sleep(Duration::from_millis(700)).await;
    let row = |instance: &Arc<Instance>| {
        let cost = instance.cost().clone();
        let (was, is) = (before[instance.number], after[instance.number]);
        Row {
            processes: cost.processes,
            ready_ms: cost
                .ready
                .iter()
                .map(|span| span.as_secs_f64() * 1e3)
                .collect(),
            memory_idle_mb: cost.memory_idle as f64 / 1e6,
            memory_most_mb: cost.memory_most as f64 / 1e6,
            cpu_s: cost.cpu_before + cost.cpu_now,
            sent_s: (is.0 - was.0) as f64 / seconds,
            received_s: (is.1 - was.1) as f64 / seconds,
        }
    };
    faults.extend(
        rig.instances
            .iter()
            .flat_map(|instance| instance.cost().faults.clone()),
    );
    faults.extend(
        rig.instances
            .iter()
            .flat_map(|instance| instance.violations()),
    );
    faults.extend(rig.meddled());
    let capacities: Vec<(String, f64)> = rig
        .servers
        .iter()
        .map(|server| (server.name().to_owned(), server.capacity()))
        .collect();
    let (verdict, could_s, windows) = {
        let ledger = rig.world.oracle();
        let could = ledger.available_work(&capacities, begun, begun + duration);
        (
            ledger.verdict(),
            could,
            windows::cut(&ledger, &rig.scenario.sides, begun),
        )
    };
    Ok(Report {
        scenario: rig.scenario.name.clone(),
        seed: options.seed,
        seconds,
        verdict,
        counts: rig.front.counts(),
        rows: rig.instances.iter().map(row).collect(),
        could_s,
        offered_s: duration.as_secs() as usize,
        windows,
        list: rig.discovery.call_stats(),
        met: rig
            .servers
            .iter()
            .map(AppServer::handshakes_and_requests)
            .collect(),
        too_long: rig.network.too_long(),
        peer_bytes: rig.network.bytes(),
        processes: rig
            .instances
            .iter()
            .map(|instance| instance.cost().processes)
            .sum(),
        reloads: rig
            .instances
            .iter()
            .map(|instance| instance.manager.heard().reloads)
            .sum(),
        decided: Vec::new(),
        faults,
    })
}

impl Rig {
    async fn set_up(scenario: Scenario, options: &Options) -> Result<Rig> {
        let fleet = scenario.fleet();
        let world = World::start(fleet.bounds.clone());
        let discovery = Discovery::new(Arc::clone(&world));
        let servers = servers(&scenario, &fleet, &world, &discovery)?;
        let datagrams = (0..scenario.instances).map(|_| reserve_address());
        let datagrams = datagrams
            .collect::<std::io::Result<Vec<_>>>()
            .context("ports for datagrams")?;
        let links = Arc::new(Links::default());
        let network = Network::start(datagrams.clone(), Arc::clone(&links)).await;
        let network = network.context("the network between instances")?;
        discovery.set_limits(|bears| {
            (bears.calls_per_s, bears.bytes_per_s) = scenario.list_bears;
            bears.sheds_load = scenario.list_turns_away;
        });
        let ways = Ways::of(&scenario);
        let relays = ways.servers();
        anyhow::ensure!(
            relays.is_empty() || scenario.roster == Roster::Discovery,
            "links to servers need the platform's discovery"
        );
        for (nodes, server) in relays {
            let (listen, target) = (reserve_address()?, &servers[server]);
            let ends = (End::Node(nodes[0]), End::Server(server));
            Relay::start(&links, ends, listen, target.address())
                .await
                .context("a relay to a server")?;
            nodes
                .iter()
                .for_each(|node| discovery.redirect(*node, target.name(), listen));
        }
        let mut operator = options.operator.clone();
        let etcd = match scenario.roster {
            Roster::Discovery => None,
            _ => Some(
                Etcd::start(scenario.members)
                    .await
                    .context("the etcd cluster")?,
            ),
        };
        if let Some(etcd) = &etcd {
            let endpoints: Vec<String> = etcd
                .endpoints()
                .iter()
                .map(|address| format!("\"{address}\""))
                .collect();
            let instead = scenario.roster == Roster::Etcd;
            operator.push_str(&format!(
                "\n[etcd]\nendpoints = [{}]\ninstead = {instead}\nprobe_every_ms = 200\nsilent_after_ms = 800\n",
                endpoints.join(", ")
            ));
            servers
                .iter()
                .filter_map(|server| discovery.entry(server.name()))
                .for_each(|entry| {
                    etcd.put(&format!("{PREFIX}{}", entry.host), &entry.value());
                });
        }
        std::fs::write(options.folder.join("operator.toml"), operator)?;
        // Several runs of one process must not share their managers' names.
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let (mut instances, mut doors) = (Vec::new(), Vec::new());
        for (number, peer_listen) in datagrams.into_iter().enumerate() {
            let listener = TcpListener::bind(reserve_address()?).context("a listener")?;
            let address = listener.local_addr()?;
            let manager = Manager::start(&format!(
                "saffronpaddle-fleet-{}-{run}-{number}",
                std::process::id()
            ))?;
            let listener = scenario.handed_over.then_some(listener);
            let mut instance = Instance::new(
                number,
                address,
                listener,
                manager,
                &options.program,
                &options.folder,
            );
            (instance.operated, instance.log_level) = (scenario.operated, options.log_level);
            let plan = Some(scenario.failing_calls.clone()).filter(|plan| !plan.is_empty());
            instance.preload = options.preload.clone().zip(plan);
            let (me, mut agent, mut door) = (
                End::Node(number),
                discovery.start_agent(number).await?,
                address,
            );
            if ways.touches(me, End::List) {
                let behind = std::mem::replace(&mut agent, reserve_address()?);
                Relay::start(&links, (me, End::List), agent, behind)
                    .await
                    .context("a relay to the list")?;
            }
            if ways.touches(me, End::Clients) {
                door = reserve_address()?;
                Relay::start(&links, (End::Clients, me), door, address)
                    .await
                    .context("a relay for clients")?;
            }
            doors.push(door);
            let places = NodeConfig {
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
            let known = match scenario.known {
                Known::Fresh => Some(discovery.full_list_for(number)),
                Known::Nothing => None,
                Known::Stale => Some(yesterday(&discovery.full_list_for(number))?),
            };
            let text = configuration(&places, &settings, known.as_deref(), seed);
            std::fs::write(instance.configuration(), text)?;
            instances.push(Arc::new(instance));
        }
        let customers = customers(&scenario, &fleet, options.seed);
        let front = LoadGenerator::new(
            Arc::clone(&world),
            fleet,
            &doors,
            options.seed,
            scenario.leaves,
        );
        let roster = Lists {
            world: Arc::clone(&world),
            discovery: Arc::clone(&discovery),
            etcd,
            instances: scenario.instances,
        };
        Ok(Rig {
            world,
            discovery,
            servers,
            links,
            network,
            front,
            instances,
            roster,
            customers,
            scenario,
        })
    }

    /// Starts all instances and waits until the front takes all of them for ready.
    async fn start(&self) -> Result<()> {
        let within = self.scenario.ready_within;
        let mut starts = tokio::task::JoinSet::new();
        let absent = &self.scenario.absent;
        let present = |instance: &Arc<Instance>| !absent.contains(&instance.number);
        for instance in self.instances.iter().filter(|instance| present(instance)) {
            let instance = Arc::clone(instance);
            if self.scenario.together {
                starts.spawn(async move { instance.start(within).await });
            } else {
                instance.start(within).await?;
            }
        }
        while let Some(started) = starts.join_next().await {
            started.context("a start")??;
        }
        self.front.watch_readiness();
        let all = async {
            while self.front.ready_nodes() < self.instances.len() - absent.len() {
                sleep(Duration::from_millis(20)).await;
            }
        };
        // One that is not ready is a fault of its own already.
        let _ = timeout(within, all).await;
        Ok(())
    }

    /// What shows that this run and another meet: words of strangers, or a fleet that talks and hears nobody though no
    /// step says so.
    fn meddled(&self) -> Option<String> {
        let strangers = self.network.from_unknown_senders();
        let all = self.datagrams();
        let (sent, received): (u64, u64) = (
            all.iter().map(|(sent, _)| sent).sum(),
            all.iter().map(|(_, received)| received).sum(),
        );
        let cut = self
            .scenario
            .steps
            .iter()
            .any(|step| matches!(step.deed, Deed::Link(..)));
        if strangers > 0 {
            return Some(format!(
                "{strangers} datagrams came from strangers: another run meddles with this one"
            ));
        }
        (sent > 0 && received == 0 && !cut)
            .then(|| format!("{sent} words told, none heard, and no step says so"))
    }

    fn datagrams(&self) -> Vec<(u64, u64)> {
        (0..self.instances.len())
            .map(|node| self.network.counts(node))
            .collect()
    }

    /// Offers all customers' tries, and comes back when the last has ended.
    async fn offer(&self) {
        let fleet = self.scenario.fleet();
        let mut clients = tokio::task::JoinSet::new();
        for customer in &self.customers {
            fleet.register_limits(&mut self.world.oracle(), customer);
            clients.spawn(
                Arc::clone(&self.front).run_customer(customer.clone(), self.scenario.duration),
            );
        }
        while clients.join_next().await.is_some() {}
    }

    async fn befall(&self, say: bool) {
        let begun = self.world.now();
        let mut deeds = tokio::task::JoinSet::new();
        for step in &self.scenario.steps {
            sleep((begun + step.at).saturating_sub(self.world.now())).await;
            if say {
                eprintln!(
                    "{:>7.2} s  {:?}",
                    self.world.now().checked_sub(begun).unwrap().as_secs_f64(),
                    step.deed
                );
            }
            deeds.spawn(self.deed(step));
            while deeds.try_join_next().is_some() {}
        }
        while deeds.join_next().await.is_some() {}
    }

    /// What one step does, by itself.
    fn deed(&self, step: &Step) -> impl std::future::Future<Output = ()> + Send + 'static {
        let (world, discovery) = (Arc::clone(&self.world), Arc::clone(&self.discovery));
        let (links, front, roster) = (
            Arc::clone(&self.links),
            Arc::clone(&self.front),
            self.roster.clone(),
        );
        let (instances, servers) = (self.instances.clone(), self.servers.clone());
        let customers = self.customers.clone();
        let (within, lateness) = (self.scenario.ready_within, self.scenario.lateness);
        let longest = self
            .scenario
            .fleet()
            .classes
            .iter()
            .map(|class| class.deadline)
            .max();
        let killed_after = longest.unwrap_or_default().min(DEADLINE_COUNTED) + KILL_GRACE;
        let deed = step.deed.clone();
        async move {
            let whose = match deed {
                Deed::Start(who) | Deed::Restart(who) | Deed::Terminate(who, _) => Some(who),
                Deed::Kill(who, _) | Deed::Killearly(who, _) | Deed::Pause(who, _) => Some(who),
                _ => None,
            };
            // Danger: an instance that is killed while it is restarted, and runs twice.
            let _turn = match whose {
                Some(who) => Some(instances[who].turn.lock().await),
                None => None,
            };
            match deed {
                Deed::Start(who) if !instances[who].runs() => start(&instances[who], within).await,
                Deed::Start(_) => {}
                Deed::Reload(who) => {
                    instances[who].speaks().await;
                    instances[who].signal(Signal::SIGHUP);
                }
                Deed::Restart(who) if instances[who].runs() => {
                    let old = Arc::clone(&instances[who]);
                    world.oracle().node_restarted(who);
                    old.stop().await;
                    start(&old, within).await;
                }
                Deed::Restart(_) => {}
                Deed::Terminate(who, how) if instances[who].runs() => {
                    let late = front
                        .open_delayed_clients(who, &customers, LATE_ASKERS, ASK_WITHIN)
                        .await;
                    instances[who]
                        .terminate(killed_after, how.held_up_at, HOLD_UP)
                        .await;
                    world.oracle().node_restarted(who);
                    late.join_all().await;
                    sleep(how.back_after).await;
                    start(&instances[who], within).await;
                }
                Deed::Terminate(..) => {}
                Deed::Kill(who, lasts) if instances[who].runs() => {
                    front.node_killed_or_restarted(who);
                    instances[who].signal(Signal::SIGKILL);
                    sleep(lasts).await;
                    world.oracle().node_restarted(who);
                    front.node_killed_or_restarted(who);
                    if !instances[who].runs() {
                        start(&instances[who], within).await;
                    }
                }
                Deed::Kill(..) => {}
                Deed::Killearly(who, lasts) if instances[who].runs() => {
                    for early in [true, false] {
                        front.node_killed_or_restarted(who);
                        instances[who].signal(Signal::SIGKILL);
                        while instances[who].runs() {
                            sleep(Duration::from_millis(5)).await;
                        }
                        world.oracle().node_restarted(who);
                        front.node_killed_or_restarted(who);
                        if early {
                            // Whether or not it is ready by then.
                            let _ = tokio::join!(
                                sleep(lasts),
                                timeout(lasts, start(&instances[who], within))
                            );
                        } else {
                            start(&instances[who], within).await;
                        }
                    }
                }
                Deed::Killearly(..) => {}
                Deed::Pause(who, lasts) => {
                    let stopped = world.now();
                    front.node_paused_or_resumed(who);
                    instances[who].stood_still.store(true, Ordering::Relaxed);
                    if instances[who].signal(Signal::SIGSTOP) {
                        sleep(lasts).await;
                        instances[who].signal(Signal::SIGCONT);
                        world.oracle().node_resumed(world.now(), who, stopped);
                    }
                    front.node_paused_or_resumed(who);
                }
                Deed::Link(which, fault, lasts, heal_gap) => {
                    let mut laid = links.add_fault(which.clone(), fault);
                    let Some(lasts) = lasts else { return };
                    sleep(lasts).await;
                    let mut healed = BTreeSet::new();
                    for end in which.ends().into_iter().filter(|_| !heal_gap.is_zero()) {
                        healed.insert(end);
                        let rest = links.add_fault(which.without(&healed), fault);
                        links.remove_fault(std::mem::replace(&mut laid, rest));
                        sleep(heal_gap).await;
                    }
                    links.remove_fault(laid);
                }
                Deed::ListDown(lasts) => {
                    discovery.set_limits(|bears| bears.down = true);
                    sleep(lasts).await;
                    discovery.set_limits(|bears| bears.down = false);
                }
                Deed::ListBack(back) => discovery.restore(back),
                Deed::Join(who) => begin(&world, &roster, &servers[who]),
                Deed::Burst(times, lasts) => {
                    let mut clients = tokio::task::JoinSet::new();
                    for customer in customers {
                        let rate = customer.rate * (times - 1.0).max(0.0);
                        clients.spawn(
                            Arc::clone(&front).run_customer(Customer { rate, ..customer }, lasts),
                        );
                    }
                    while clients.join_next().await.is_some() {}
                }
                Deed::Crowd(who, lasts) => front.hold_idle_connections(who, lasts).await,
                Deed::Drain(who, lasts) => {
                    list(&roster, &servers[who], "draining", None);
                    sleep(lateness + DRAINS_FOR).await;
                    crash(&world, &roster, &servers[who], lasts).await;
                }
                Deed::Flip(who, lasts) => {
                    list(&roster, &servers[who], "draining", None);
                    sleep(lasts).await;
                    list(&roster, &servers[who], "ready", None);
                }
                Deed::Crash(who, lasts) => crash(&world, &roster, &servers[who], lasts).await,
                Deed::Etcdcut(who) => roster
                    .etcd
                    .iter()
                    .for_each(|etcd| etcd.members[who].cut_connections()),
                Deed::Etcdfreeze(who, lasts) => {
                    let members = roster.etcd.iter().map(|etcd| etcd.members[who].clone());
                    let members: Vec<_> = members.collect();
                    members
                        .iter()
                        .for_each(|member| member.set_faults(|faults| faults.frozen = true));
                    sleep(lasts).await;
                    members
                        .iter()
                        .for_each(|member| member.set_faults(|faults| faults.frozen = false));
                }
                Deed::Etcdcompact => roster
                    .etcd
                    .iter()
                    .for_each(|etcd| etcd.compact(etcd.revision())),
                Deed::Silent(who, lasts) => {
                    servers[who].set_behavior(|temper| temper.silent = true);
                    sleep(lasts).await;
                    servers[who].set_behavior(|temper| temper.silent = false);
                }
                Deed::Resets(who, share, lasts) => {
                    servers[who].set_behavior(|temper| temper.reset_share = share);
                    sleep(lasts).await;
                    servers[who].set_behavior(|temper| temper.reset_share = 0.0);
                }
                Deed::Errors(who, share, lasts) => {
                    servers[who].set_behavior(|temper| temper.error_share = share);
                    sleep(lasts).await;
                    servers[who].set_behavior(|temper| temper.error_share = 0.0);
                }
                Deed::Slow(times, lasts) => {
                    servers.iter().for_each(|server| {
                        server.set_behavior(|temper| temper.work_multiplier = times);
                    });
                    sleep(lasts).await;
                    servers.iter().for_each(|server| {
                        server.set_behavior(|temper| temper.work_multiplier = 1.0);
                    });
                }
                Deed::Undiscovered(lasts) => {
                    discovery.set_silent(true);
                    sleep(lasts).await;
                    discovery.set_silent(false);
                }
            }
        }
    }
}

/// A list of yesterday: each second server has another name, and each third address is another server's.
fn yesterday(known: &str) -> Result<String> {
    let mut list: serde_json::Value = serde_json::from_str(known)?;
    let hosts = list["hosts"].as_array_mut().context("a list of hosts")?;
    let dials: Vec<_> = hosts.iter().map(|host| host["dial"].clone()).collect();
    for (place, host) in hosts.iter_mut().enumerate() {
        host["born_ms"] = 0.into();
        if place % 2 == 1 {
            host["host"] = format!("gone-{place}").into();
        }
        if place % 3 == 0 {
            host["dial"] = dials[(place + 1) % dials.len()].clone();
        }
    }
    list["seq"] = 0.into();
    Ok(list.to_string())
}

async fn start(instance: &Arc<Instance>, within: Duration) {
    if let Err(error) = instance.start(within).await {
        instance
            .cost()
            .faults
            .push(format!("instance {}: {error:#}", instance.number));
    }
}

fn list(roster: &Lists, server: &AppServer, health: &'static str, born_ms: Option<u64>) {
    if let Some(entry) = roster.discovery.entry(server.name()) {
        let born_ms = born_ms.unwrap_or(entry.born_ms);
        roster.change(Entry {
            health,
            born_ms,
            ..entry
        });
    }
}

async fn crash(world: &World, roster: &Lists, server: &AppServer, lasts: Duration) {
    server.kill();
    list(roster, server, "gone", None);
    sleep(lasts).await;
    begin(world, roster, server);
}

/// Its process starts, cold, and is listed.
fn begin(world: &World, roster: &Lists, server: &AppServer) {
    match server.start_cold() {
        Ok(()) => list(roster, server, "ready", Some(world.unix_ms())),
        Err(error) => eprintln!("{} does not start: {error}", server.name()),
    }
}

fn servers(
    scenario: &Scenario,
    fleet: &Fleet,
    world: &Arc<World>,
    discovery: &Discovery,
) -> Result<Vec<AppServer>> {
    let cores = scenario.cores_of(fleet);
    let mut servers = Vec::new();
    let mut entries = Vec::new();
    for number in 0..scenario.servers {
        let spec = Spec {
            name: format!("s-{number}"),
            block: (number / GROUP) as u64,
            cores,
            slots: cores * SLOTS,
            work: fleet
                .classes
                .iter()
                .map(|class| (class.name.to_owned(), class.work))
                .collect(),
        };
        let block = spec.block;
        let server = AppServer::start(Arc::clone(world), spec).context("an app server")?;
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
    discovery.set_delay(scenario.lateness);
    Ok(servers)
}
