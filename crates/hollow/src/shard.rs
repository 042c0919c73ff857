//! The nodes of one process: their clock, their event loop, and the commands that control the process.
//!
//! A process reads its [`Spec`] as one line of JSON from its standard input and answers with a [`Snapshot`] from
//! before it starts any node. Then it reads commands, one a line, and answers each with one line of JSON:
//!
//! - `ready`: waits until all nodes have a list; answers the time from each node's start to its first list, µs.
//! - `look`: answers a [`Snapshot`].
//! - `load` and `rest`: start or stop the clients' requests.
//! - `restart SHARE`: ends that share of the nodes without notice and starts them again; waits until all of these
//!   have a list; answers how long each took, µs.
//! - `audit`: answers the [`AuditReport`](crate::audit::AuditReport) since the last such command, if the first line
//!   enables the audit.
//! - `faults {...}`: replaces the injected [`Faults`](crate::audit::Faults).
//! - `renew SHARE`: like `restart`, without waiting for lists.
//! - `unlisted`: answers the number of nodes without a list.
//! - `acted [[SEQ, AT], ...]`: answers, for each change of the list, when the last node had applied it, µs after AT
//!   (null if a node has not yet), and the histogram of these delays over all nodes and changes.
//!
//! The process ends when its standard input is closed.

use crate::audit::{Audit, AuditOptions};
use crate::figures::{DurationHistogram, EventKind, Snapshot, Totals};
use crate::list;
use crate::node::{Node, PendingRequest};
use crate::tenants::{TenantSampler, Tenants};
use anyhow::{Context, Result};
use nix::time::{clock_gettime, ClockId};
use saffronpaddle_endpoints::EndpointRecord;
use saffronpaddle_exchange::{Command, ConnectionId, Event, FinalAnswer, Limits};
use saffronpaddle_node::config::{List, PeerAddresses};
use saffronpaddle_node::endpoints::{server_id, to_policy_endpoint};
use saffronpaddle_node::peers::Peers;
use saffronpaddle_policy::interface::{
    Action, ClassId, CustomerId, Event as ModuleEvent, Micros, NodeId, Outcome, PlanId, RequestId,
    Settings, ZoneId,
};
use saffronpaddle_policy::setup;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, Mutex, MutexGuard, Notify};

/// Time that it takes to open a connection to an app server, µs.
const CONNECT_TIME_US: Micros = 400;
/// Part of a client's timeout that delivery to and from the node takes, µs.
const DELIVERY_TIME_US: Micros = 5_000;
/// Most due events that are handled before the loop reads sockets again.
const EVENT_BATCH: usize = 64;
/// Interval between checks whether all nodes have a list.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Errors of watches that are printed; further ones are only counted.
const MAX_PRINTED_ERRORS: u64 = 3;

/// Configuration of a process of hollow nodes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Nodes of the entire fleet.
    #[serde(rename = "gateways")]
    pub fleet_size: u32,
    /// Number of nodes that run, the first ones of the fleet. Clients send requests only to these.
    #[serde(rename = "present")]
    pub running_nodes: u32,
    /// First node of this process, and the number of its nodes.
    pub nodes: (u32, u32),
    /// Settings of node 0 in the platform's JSON.
    pub settings: String,
    /// Names of the zones. Nodes are assigned to them in turn by their number.
    pub zones: Vec<String>,
    /// Address of each node of the fleet for peers' datagrams.
    pub peers: Vec<SocketAddr>,
    /// Address of the list service.
    #[serde(rename = "list")]
    pub list_address: SocketAddr,
    /// Most connections to app servers for each node.
    #[serde(rename = "links")]
    pub max_connections: usize,
    /// Number of tenants, and the exponent of Zipf's law for their demands.
    pub tenants: (usize, f64),
    /// Minimum number of nodes that a tenant sends its requests to; 0 for all.
    #[serde(rename = "spread")]
    pub min_subset_size: u32,
    /// Requests/s that clients send to each node.
    #[serde(rename = "tries")]
    pub node_rate: f64,
    /// Mean time of a warm app server for an attempt of each class, µs.
    #[serde(rename = "work")]
    pub mean_work: Vec<Micros>,
    /// Share of the requests of each class.
    #[serde(rename = "classes")]
    pub class_shares: Vec<f64>,
    /// Timeout of the clients by class, µs.
    #[serde(rename = "patience")]
    pub client_timeouts: Vec<Micros>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// An event that is due at a scheduled time.
enum TimedEvent {
    /// A timer that the policy engine has set.
    PolicyTimer(u64),
    /// An event for the exchange.
    Exchange(Event<SocketAddr>),
    /// The exchange's own timer.
    ExchangeTimer,
    /// A client's request.
    Request,
}

/// A scheduled event of one incarnation of a node. Events of the same time are handled in the order of `serial`.
struct ScheduledEvent {
    at: Micros,
    serial: u64,
    node_index: usize,
    incarnation: u32,
    event: TimedEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// The nodes of one process.
pub struct Shard {
    pub(crate) spec: Spec,
    settings: Settings,
    /// Start of the process, by the monotonic clock and as Unix time in µs.
    started: (Instant, Micros),
    nodes: RefCell<Vec<Rc<Node>>>,
    tenants: Tenants,
    /// The tenants that send requests to each node.
    samplers: Vec<TenantSampler>,
    schedule: RefCell<BinaryHeap<Reverse<ScheduledEvent>>>,
    /// Serial number of the next scheduled event.
    serial: Cell<u64>,
    /// Time until which the event loop sleeps.
    sleeping_until: Cell<Micros>,
    /// Wakes the event loop for an event that is due earlier.
    earlier_event: Notify,
    /// Held by the node that parses its list, so that due events are handled between the nodes when hundreds of them
    /// receive the same change.
    list_parsing: Mutex<()>,
    random: RefCell<fastrand::Rng>,
    clients_active: Cell<bool>,
    /// Node, list version, and the time at which the node applied it.
    applied_lists: RefCell<Vec<(u32, u64, Micros)>>,
    pub(crate) totals: RefCell<Totals>,
    loop_lag: RefCell<DurationHistogram>,
    added_latency: RefCell<DurationHistogram>,
    watch_errors: Cell<u64>,
    audit: RefCell<Audit>,
}

/// Runs a process of hollow nodes until its standard input is closed.
///
/// # Errors
/// Fails if the first line or a command is invalid, if an address cannot be bound, or if the memory in use
/// cannot be read.
pub fn serve() -> Result<()> {
    let mut first = String::new();
    std::io::stdin().read_line(&mut first)?;
    let spec: Spec =
        serde_json::from_str(&first).context("reading the configuration from the first line")?;
    let options: AuditOptions =
        serde_json::from_str(&first).context("reading the audit options from the first line")?;
    let (lines, commands) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if lines.send(line).is_err() {
                return;
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run(spec, options, commands))
}

async fn run(
    spec: Spec,
    options: AuditOptions,
    commands: mpsc::UnboundedReceiver<String>,
) -> Result<()> {
    let shard = Rc::new(Shard::new(spec, options)?);
    write_answer(&shard.snapshot()?)?;
    shard.start_nodes().await?;
    // The event loop runs in the main task and not in a separate one: the main task is polled after few other tasks,
    // so that due events do not wait while hundreds of tasks read a change of the list.
    tokio::select! {
        () = Rc::clone(&shard).run_event_loop() => Ok(()),
        ended = serve_commands(&shard, commands) => ended,
    }
}

/// Executes commands until the input is closed.
async fn serve_commands(
    shard: &Rc<Shard>,
    mut commands: mpsc::UnboundedReceiver<String>,
) -> Result<()> {
    while let Some(line) = commands.recv().await {
        let (command, argument) = line.split_once(' ').unwrap_or((&line, ""));
        match command {
            "ready" => write_answer(&shard.first_list_times(0).await)?,
            "look" => write_answer(&shard.snapshot()?)?,
            "load" => {
                shard.start_clients();
                write_answer(&())?;
            }
            "rest" => {
                shard.clients_active.set(false);
                write_answer(&())?;
            }
            "restart" => {
                let since = shard.now();
                shard.restart(argument.parse()?).await?;
                write_answer(&shard.first_list_times(since).await)?;
            }
            "renew" => {
                shard.restart(argument.parse()?).await?;
                write_answer(&())?;
            }
            "unlisted" => {
                let unlisted = |node: &&Rc<Node>| node.first_list_at.get().is_none();
                write_answer(&shard.nodes.borrow().iter().filter(unlisted).count())?;
            }
            "audit" => write_answer(&shard.audit.borrow_mut().take_report(shard.now()))?,
            "faults" => {
                shard.audit.borrow_mut().faults = serde_json::from_str(argument)?;
                write_answer(&())?;
            }
            "acted" => write_answer(
                &shard.list_delays(&serde_json::from_str::<Vec<(u64, Micros)>>(argument)?),
            )?,
            _ => anyhow::bail!("unknown command of a process of hollow nodes: {command}"),
        }
    }
    Ok(())
}

fn write_answer(answer: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(answer)?);
    Ok(())
}

/// CPU time by one of the clocks of this thread or process, ns.
fn cpu_time_ns(clock: ClockId) -> u64 {
    clock_gettime(clock).map_or(0, |time| {
        time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64
    })
}

/// Resident memory of this process, bytes (`VmRSS`, see `proc(5)`).
fn resident_memory() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("/proc/self/status has no VmRSS")?;
    Ok(line
        .split_whitespace()
        .next()
        .context("VmRSS in /proc/self/status has no value")?
        .parse::<u64>()?
        * 1024)
}

impl Shard {
    fn new(spec: Spec, options: AuditOptions) -> Result<Shard> {
        let setup = setup::read(&spec.settings).map_err(anyhow::Error::new)?;
        let tenants = Tenants::new(
            spec.tenants.0,
            spec.tenants.1,
            (spec.running_nodes, spec.node_rate),
            spec.min_subset_size,
        );
        let samplers = (0..spec.nodes.1)
            .map(|index| tenants.sampler(spec.nodes.0 + index))
            .collect();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as Micros;
        fastrand::seed(spec.seed);
        let settings = Settings {
            subsetting: true,
            partition_safe: options.fenced,
            ..setup.settings
        };
        Ok(Shard {
            audit: RefCell::new(Audit::new(options, settings.slow_start)),
            settings,
            started: (Instant::now(), unix),
            nodes: RefCell::default(),
            tenants,
            samplers,
            schedule: RefCell::default(),
            serial: Cell::new(0),
            sleeping_until: Cell::new(Micros::MAX),
            earlier_event: Notify::new(),
            list_parsing: Mutex::new(()),
            random: RefCell::new(fastrand::Rng::with_seed(spec.seed)),
            clients_active: Cell::new(false),
            applied_lists: RefCell::default(),
            totals: RefCell::default(),
            loop_lag: RefCell::default(),
            added_latency: RefCell::default(),
            watch_errors: Cell::new(0),
            spec,
        })
    }

    /// Unix time, µs; it does not jump when the machine's clock is set.
    fn now(&self) -> Micros {
        self.started.1 + self.started.0.elapsed().as_micros() as Micros
    }

    /// Counts a failed watch, and prints the first few errors.
    pub fn report_watch_error(&self, error: &anyhow::Error) {
        self.watch_errors.set(self.watch_errors.get() + 1);
        if self.watch_errors.get() <= MAX_PRINTED_ERRORS {
            eprintln!("a hollow node reconnects to the list service: {error:#}");
        }
    }

    // ---- Start and restart of nodes ----

    async fn start_nodes(self: &Rc<Self>) -> Result<()> {
        for index in 0..self.spec.nodes.1 as usize {
            let node = self.create_node(index, 0).await?;
            self.nodes.borrow_mut().push(Rc::clone(&node));
            self.start_node(&node);
        }
        Ok(())
    }

    /// Creates a node with empty state and binds its address for datagrams.
    async fn create_node(&self, index: usize, incarnation: u32) -> Result<Rc<Node>> {
        let number = self.spec.nodes.0 + index as u32;
        let zone = ZoneId(number % self.spec.zones.len().max(1) as u32);
        let settings = Settings {
            node: NodeId(number),
            zone,
            ..self.settings.clone()
        };
        let listen =
            *self.spec.peers.get(number as usize).with_context(|| {
                format!("the configuration has no peer address for node {number}")
            })?;
        let addresses = PeerAddresses {
            listen,
            each: self.spec.peers.clone(),
            all: None,
        };
        let peers = Peers::bind(addresses, settings.node, false).await?;
        let limits = Limits::for_node(
            self.spec.max_connections,
            settings.server_idle_timeout,
            250_000,
        );
        let seed = self.spec.seed ^ u64::from(number) << 20 ^ u64::from(incarnation);
        Node::new(
            (index, incarnation),
            settings,
            limits,
            peers,
            (seed, self.now()),
        )
    }

    /// Starts a node's tasks and, if clients are active, its requests.
    fn start_node(self: &Rc<Self>, node: &Rc<Node>) {
        self.handle(
            node,
            Event::PolicyEvent(ModuleEvent::EndpointsUnavailable),
            EventKind::Timer,
        );
        let messages =
            tokio::task::spawn_local(receive_peer_messages(Rc::clone(self), Rc::clone(node)));
        let list = tokio::task::spawn_local(list::follow(Rc::clone(self), Rc::clone(node)));
        node.tasks.borrow_mut().extend([messages, list]);
        if self.clients_active.get() {
            self.schedule_request(node, self.now());
        }
    }

    /// Ends a share of the nodes without notice, and starts them again with empty state.
    async fn restart(self: &Rc<Self>, share: f64) -> Result<()> {
        let count = (self.nodes.borrow().len() as f64 * share).ceil() as usize;
        let ended: Vec<Rc<Node>> = self.nodes.borrow().iter().take(count).cloned().collect();
        for node in ended {
            let (index, incarnation) = (node.index, node.incarnation + 1);
            let tasks: Vec<_> = node.tasks.borrow_mut().drain(..).collect();
            for task in tasks {
                task.abort();
                // The task holds its socket until it has ended.
                let _ = task.await;
            }
            node.peers.take();
            self.audit
                .borrow_mut()
                .node_ended(self.now(), node.id.0, node.pending.borrow().keys());
            let restarted = self.create_node(index, incarnation).await?;
            self.totals.borrow_mut().interrupted += node.pending.borrow().len() as u64;
            self.nodes.borrow_mut()[index] = Rc::clone(&restarted);
            self.start_node(&restarted);
        }
        Ok(())
    }

    /// Waits until all nodes that were started since have a list. Returns the time from each one's start to its list,
    /// µs.
    async fn first_list_times(&self, since: Micros) -> Vec<Micros> {
        loop {
            let times: Option<Vec<Micros>> = {
                let nodes = self.nodes.borrow();
                let started = nodes.iter().filter(|node| node.started_at >= since);
                started
                    .map(|node| node.first_list_at.get().map(|at| at - node.started_at))
                    .collect()
            };
            if let Some(times) = times {
                return times;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    // ---- Event loop ----

    /// Schedules an event, and wakes the event loop if it would sleep beyond it.
    fn schedule(&self, node: &Node, at: Micros, event: TimedEvent) {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        self.schedule.borrow_mut().push(Reverse(ScheduledEvent {
            at,
            serial,
            node_index: node.index,
            incarnation: node.incarnation,
            event,
        }));
        if at < self.sleeping_until.get() {
            self.earlier_event.notify_one();
        }
    }

    /// Handles events when they are due, in batches between which sockets are read; never returns.
    async fn run_event_loop(self: Rc<Self>) {
        loop {
            let mut handled = 0;
            loop {
                let now = self.now();
                let due = {
                    let mut queue = self.schedule.borrow_mut();
                    let is_due = queue.peek().is_some_and(|Reverse(due)| due.at <= now);
                    if is_due && handled < EVENT_BATCH {
                        queue.pop()
                    } else {
                        None
                    }
                };
                let Some(Reverse(due)) = due else { break };
                handled += 1;
                self.loop_lag.borrow_mut().record(now - due.at);
                self.dispatch(due);
            }
            if handled >= EVENT_BATCH {
                tokio::task::yield_now().await;
                continue;
            }
            let next = self
                .schedule
                .borrow()
                .peek()
                .map_or(Micros::MAX, |Reverse(due)| due.at);
            self.sleeping_until.set(next);
            let sleep_us = next.saturating_sub(self.now()).min(60_000_000);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_micros(sleep_us)) => {}
                () = self.earlier_event.notified() => {}
            }
            self.sleeping_until.set(0);
        }
    }

    /// Handles a due event, unless its node was restarted since.
    fn dispatch(self: &Rc<Self>, due: ScheduledEvent) {
        let node = self.nodes.borrow().get(due.node_index).cloned();
        let Some(node) = node.filter(|node| node.incarnation == due.incarnation) else {
            return;
        };
        let delay = self.now().saturating_sub(due.at);
        match due.event {
            TimedEvent::PolicyTimer(token) => {
                self.handle_delayed(
                    &node,
                    delay,
                    Event::PolicyEvent(ModuleEvent::TimerFired { token }),
                    EventKind::Timer,
                );
            }
            TimedEvent::Exchange(event) => {
                if let Event::ResponseComplete { connection, .. } = &event {
                    self.audit
                        .borrow_mut()
                        .attempt_finished(self.now(), node.id.0, *connection);
                }
                self.handle_delayed(&node, delay, event, EventKind::Request);
            }
            TimedEvent::ExchangeTimer => {
                if node.next_alarm.get() == due.at {
                    node.next_alarm.set(Micros::MAX);
                    self.handle_delayed(&node, delay, Event::TimerFired, EventKind::Request);
                }
            }
            TimedEvent::Request => self.send_request(&node, due.at),
        }
    }

    /// Passes an event to a node's exchange and executes the commands that it returns.
    pub fn handle(&self, node: &Rc<Node>, event: Event<SocketAddr>, kind: EventKind) {
        self.handle_delayed(node, 0, event, kind);
    }

    /// Like [`Shard::handle`], for an event that was due `delay` µs ago.
    fn handle_delayed(
        &self,
        node: &Rc<Node>,
        mut delay: Micros,
        event: Event<SocketAddr>,
        kind: EventKind,
    ) {
        let (mut events, mut commands) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            let now = self.now();
            let before = cpu_time_ns(ClockId::CLOCK_THREAD_CPUTIME_ID);
            // Further events are caused by this one, and follow at once.
            let delay = std::mem::take(&mut delay);
            node.exchange
                .borrow_mut()
                .handle_delayed(now, delay, event, &mut commands);
            let cpu_ns = cpu_time_ns(ClockId::CLOCK_THREAD_CPUTIME_ID).saturating_sub(before);
            {
                let mut totals = self.totals.borrow_mut();
                let cost = totals.cost_mut(kind);
                cost.events += 1;
                cost.cpu_ns += cpu_ns;
            }
            commands
                .drain(..)
                .for_each(|command| self.execute(node, now, command, &mut events));
        }
        let next = node.exchange.borrow().next_alarm();
        if let Some(next) = next.filter(|next| *next < node.next_alarm.get()) {
            node.next_alarm.set(next);
            self.schedule(node, next, TimedEvent::ExchangeTimer);
        }
    }

    /// Executes a command of a node's exchange. Events that it causes immediately are added to `events`.
    fn execute(
        &self,
        node: &Rc<Node>,
        now: Micros,
        command: Command<SocketAddr>,
        events: &mut VecDeque<Event<SocketAddr>>,
    ) {
        match command {
            Command::Connect { connection, .. } => {
                self.totals.borrow_mut().connects += 1;
                self.schedule(
                    node,
                    now + CONNECT_TIME_US,
                    TimedEvent::Exchange(Event::Connected { connection }),
                );
            }
            Command::Send {
                connection,
                id,
                server,
            } => {
                self.audit
                    .borrow_mut()
                    .attempt_started(node.id.0, connection, &id, server);
                node.in_flight.borrow_mut().insert(connection, id);
                events.push_back(Event::FirstByteReady {
                    connection,
                    no_unread_bytes: true,
                });
            }
            Command::Write { connection } => self.serve_attempt(node, now, connection),
            Command::Close { connection } => {
                node.in_flight.borrow_mut().remove(&connection);
                self.audit
                    .borrow_mut()
                    .connection_closed(now, node.id.0, connection);
                events.push_back(Event::Closed { connection });
            }
            Command::Answer { id, answer } => self.count_answer(node, now, &id, answer),
            Command::PolicyAction(action) => self.execute_policy_action(node, now, action),
            // Requests arrive with their complete body.
            Command::ReleaseBody { .. } => {}
        }
    }

    fn execute_policy_action(&self, node: &Rc<Node>, now: Micros, action: Action) {
        match action {
            Action::Broadcast { bytes } => {
                node.peers
                    .borrow()
                    .iter()
                    .for_each(|peers| peers.broadcast(&bytes));
                self.count_datagrams(
                    u64::from(self.spec.fleet_size.saturating_sub(1)),
                    bytes.len(),
                );
            }
            Action::SendToPeer { to, bytes } => {
                node.peers
                    .borrow()
                    .iter()
                    .for_each(|peers| peers.send_to(to, &bytes));
                self.count_datagrams(1, bytes.len());
            }
            Action::SetTimer { after, token } => {
                self.schedule(node, now + after, TimedEvent::PolicyTimer(token));
            }
            Action::Report(_) => self.totals.borrow_mut().reports += 1,
            // As in a process of the program: the list is always followed, and the exchange executes the remaining
            // actions. A hollow node has no sibling process.
            Action::Subscribe
            | Action::SendToSiblings(_)
            | Action::Send { .. }
            | Action::Reject { .. }
            | Action::Fail { .. }
            | Action::Cancel { .. }
            | Action::ReleaseBody { .. } => {}
        }
    }

    fn count_datagrams(&self, count: u64, bytes: usize) {
        let mut totals = self.totals.borrow_mut();
        totals.datagrams_sent.0 += count;
        totals.datagrams_sent.1 += count * bytes as u64;
    }

    /// Waits for the permit to parse a list. Nodes parse one after another, and due events are handled between them.
    pub async fn list_permit(&self) -> MutexGuard<'_, ()> {
        let permit = self.list_parsing.lock().await;
        tokio::task::yield_now().await;
        permit
    }

    /// Passes a list to a node and records when the node has applied it.
    pub fn apply_list(&self, node: &Rc<Node>, list: &List) {
        self.audit
            .borrow_mut()
            .list_received(self.now(), node.id.0, list, server_id);
        let entry = |host| to_policy_endpoint(&EndpointRecord::from(host), &self.spec.zones);
        let entries = list.hosts.iter().map(entry).collect();
        self.handle(
            node,
            Event::EndpointsChanged {
                snapshot: list.whole,
                endpoints: entries,
            },
            EventKind::EndpointList,
        );
        let now = self.now();
        self.totals.borrow_mut().list_traffic.2 += 1;
        self.applied_lists
            .borrow_mut()
            .push((node.id.0, list.seq, now));
        if node.first_list_at.get().is_none() {
            node.first_list_at.set(Some(now));
        }
    }

    // ---- Clients and app servers ----

    fn start_clients(&self) {
        if !self.clients_active.replace(true) {
            let nodes: Vec<Rc<Node>> = self.nodes.borrow().clone();
            nodes
                .iter()
                .for_each(|node| self.schedule_request(node, self.now()));
        }
    }

    /// Schedules the next request to a node. Clients do not wait for answers (open loop), so the gaps are exponential.
    fn schedule_request(&self, node: &Rc<Node>, from: Micros) {
        if self.spec.node_rate > 0.0 {
            let gap = -(1.0 - self.random.borrow_mut().f64()).ln() / self.spec.node_rate;
            self.schedule(node, from + (gap * 1e6) as Micros, TimedEvent::Request);
        }
    }

    /// Passes a random request that is due to a node, and schedules the next one.
    fn send_request(&self, node: &Rc<Node>, due_at: Micros) {
        if !self.clients_active.get() {
            return;
        }
        self.schedule_request(node, due_at);
        let (tenant_draw, class_draw, number) = {
            let mut random = self.random.borrow_mut();
            (random.f64(), random.f64(), self.serial.get())
        };
        let tenant = self
            .tenants
            .tenant(self.samplers[node.index].rank(tenant_draw));
        let mut cumulative = 0.0;
        let class = self.spec.class_shares.iter().position(|share| {
            cumulative += share;
            class_draw < cumulative
        });
        let class = class.unwrap_or(0);
        self.totals.borrow_mut().offered += 1;
        let Some(idempotency) = self
            .settings
            .classes
            .get(class)
            .map(|class| class.idempotency)
        else {
            return;
        };
        let timeout = self
            .spec
            .client_timeouts
            .get(class)
            .map_or(1_000_000, |timeout| {
                timeout - DELIVERY_TIME_US.min(*timeout)
            });
        let id = RequestId(format!("{:x}-{number:x}", node.id.0).into());
        let policy_event = ModuleEvent::RequestArrived {
            id: id.clone(),
            class: ClassId(class),
            plan: PlanId(tenant.plan),
            customer: CustomerId(tenant.id),
            units: 1.0,
            subset_first: NodeId(tenant.subset_first),
            subset_size: tenant.subset_size,
            timeout,
            complete: true,
        };
        self.audit
            .borrow_mut()
            .request_received(self.now(), &id, node.id.0, tenant.id, class);
        node.pending.borrow_mut().insert(
            id,
            PendingRequest {
                due_at,
                class,
                work: 0,
            },
        );
        let deadline = self.now() + timeout;
        self.handle(
            node,
            Event::RequestReceived {
                idempotency,
                deadline,
                response_streamed: false,
                policy_event,
            },
            EventKind::Request,
        );
    }

    /// Simulates an app server: schedules the answer to the attempt on a connection.
    fn serve_attempt(&self, node: &Rc<Node>, now: Micros, connection: ConnectionId) {
        self.totals.borrow_mut().attempts += 1;
        let draw = self.random.borrow_mut().f64();
        let id = node.in_flight.borrow().get(&connection).cloned();
        let mut pending = node.pending.borrow_mut();
        let request = id.and_then(|id| pending.get_mut(&id));
        let class = request.as_ref().map_or(0, |request| request.class);
        let mean = self.spec.mean_work.get(class).copied().unwrap_or(0) as f64;
        let work = (mean * (0.5 + draw)) as Micros;
        request.into_iter().for_each(|request| request.work += work);
        drop(pending);
        let Some(work) = self
            .audit
            .borrow_mut()
            .attempt_sent(now, (node.id.0, connection), work)
        else {
            return;
        };
        self.schedule(
            node,
            now + work,
            TimedEvent::Exchange(Event::ResponseComplete {
                connection,
                outcome: Outcome::Ok,
            }),
        );
    }

    /// Counts a final answer and, if the request was served, records the latency that the node added.
    fn count_answer(&self, node: &Rc<Node>, now: Micros, id: &RequestId, answer: FinalAnswer) {
        self.audit.borrow_mut().response_sent(now, id, answer);
        let Some(request) = node.pending.borrow_mut().remove(id) else {
            return;
        };
        let mut totals = self.totals.borrow_mut();
        match answer {
            FinalAnswer::Served => {
                totals.served += 1;
                self.added_latency.borrow_mut().record(
                    now.saturating_sub(request.due_at)
                        .saturating_sub(request.work),
                );
            }
            FinalAnswer::Rejected(_) => totals.refused += 1,
            FinalAnswer::Failed => totals.failed += 1,
        }
    }

    // ---- Answers to commands ----

    /// The state of the process. Resets the histograms.
    fn snapshot(&self) -> Result<Snapshot> {
        let nodes = self.nodes.borrow();
        let sizes = |node: &Rc<Node>| {
            let exchange = node.exchange.borrow();
            (
                exchange.table_sizes().1,
                exchange.policy().tracked_entries(),
            )
        };
        let (open_connections, tracked_entries) = nodes
            .iter()
            .map(sizes)
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let snapshot = Snapshot {
            at: self.now(),
            cpu_ns: cpu_time_ns(ClockId::CLOCK_PROCESS_CPUTIME_ID),
            memory_bytes: resident_memory()?,
            open_connections,
            tracked_entries,
            totals: *self.totals.borrow(),
            loop_lag: self.loop_lag.borrow().buckets(),
            added_latency: self.added_latency.borrow().buckets(),
            decisions: decision_counters(&nodes),
        };
        self.loop_lag.borrow_mut().reset();
        self.added_latency.borrow_mut().reset();
        Ok(snapshot)
    }

    /// For each change of the list, given as version and time of publication, the delay until the last node had
    /// applied it; and the histogram of the delays of all nodes.
    fn list_delays(&self, changes: &[(u64, Micros)]) -> (Vec<Option<Micros>>, Vec<(u64, u64)>) {
        let mut by_node: Vec<Vec<(u64, Micros)>> = vec![Vec::new(); self.spec.nodes.1 as usize];
        for (node, seq, at) in self.applied_lists.borrow().iter() {
            if let Some(applied) = by_node.get_mut((node - self.spec.nodes.0) as usize) {
                applied.push((*seq, *at));
            }
        }
        let mut delays = DurationHistogram::default();
        let mut last_delays = Vec::with_capacity(changes.len());
        let mut next = vec![0; by_node.len()];
        for (seq, published) in changes {
            let mut last_delay = Some(0);
            for (applied, next) in by_node.iter().zip(&mut next) {
                // Versions only rise, except when a node restarts, so an entry that is too old for one change is too
                // old for all later ones.
                while applied
                    .get(*next)
                    .is_some_and(|(version, at)| version < seq || at < published)
                {
                    *next += 1;
                }
                let delay = applied.get(*next).map(|(_, at)| at - published);
                delay.into_iter().for_each(|delay| delays.record(delay));
                last_delay = last_delay.zip(delay).map(|(one, other)| one.max(other));
            }
            last_delays.push(last_delay);
        }
        (last_delays, delays.buckets())
    }
}

/// Sums the counters of the policy engines' decisions over nodes.
fn decision_counters(nodes: &[Rc<Node>]) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for node in nodes {
        let exchange = node.exchange.borrow();
        for (name, count) in exchange.policy().counters().by_name() {
            *sums.entry(name.to_owned()).or_default() += count;
        }
    }
    sums
}

/// Receives peers' datagrams; never returns.
async fn receive_peer_messages(shard: Rc<Shard>, node: Rc<Node>) {
    let Some(peers) = node.peers.borrow().clone() else {
        return;
    };
    loop {
        if let Some((from, bytes)) = peers.receive().await {
            {
                let mut totals = shard.totals.borrow_mut();
                totals.datagrams_received.0 += 1;
                totals.datagrams_received.1 += bytes.len() as u64;
            }
            if shard.audit.borrow_mut().delivers(from.0, node.id.0) {
                shard.handle(
                    &node,
                    Event::PolicyEvent(ModuleEvent::PeerMessage { from, bytes }),
                    EventKind::PeerMessage,
                );
            }
        }
    }
}
