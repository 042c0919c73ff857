//! The nodes of one process: their clock, their loop, and the words by which the process is told what to do.
//!
//! A process takes one line of JSON, its [`Spec`], and then words, each on a line and each answered by one line of JSON:
//!
//! - `ready`: once all nodes have a list: how long after their start each had it, µs.
//! - `look`: a [`Look`].
//! - `load` and `rest`: tries begin, or end.
//! - `restart SHARE`: that share of its nodes ends at once and starts anew; once all of these have a list again: how long each
//!   took, µs.
//! - `audit`: what was kept for a ledger since the last such word ([`Audited`](crate::audit::Audited)), if the first line says so.
//! - `faults {...}`: what befalls its nodes from now on ([`Faults`](crate::audit::Faults)).
//! - `renew SHARE`: as `restart`, without a wait for lists; `unlisted` says how many nodes have none.
//! - `acted [[SEQ, AT], ...]`: for each change of the list, when the last of its nodes had acted on it, µs after AT (none where
//!   one has not yet); and these spans over all nodes and changes.
//!
//! It ends with its standard input.

use crate::audit::{Audit, Trial};
use crate::figures::{Look, Spans, Sums, Why};
use crate::list;
use crate::node::{Node, Try};
use crate::tenants::{Drawn, Tenants};
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
use std::collections::{BinaryHeap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, Mutex, MutexGuard, Notify};

/// A connection to an app server comes up after this, µs.
const HANDSHAKE: Micros = 400;
/// What the front and the shell take of a client's time, µs.
const DELIVERY: Micros = 5_000;
/// What comes about at once before sockets are read again.
const AT_ONCE: usize = 64;
/// Between two looks at whether all nodes have a list.
const LOOK: Duration = Duration::from_millis(2);
/// Complaints that are written; the rest is counted.
const COMPLAINTS: u64 = 3;

/// What a process of hollow nodes is told.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Spec {
    /// Nodes of the whole fleet.
    pub gateways: u32,
    /// The first of them that run: tries come through these alone.
    pub present: u32,
    /// The first of this process, and how many it has.
    pub nodes: (u32, u32),
    /// Settings of node 0 as the platform gives them, and the zone's name of each node by its number, counted round.
    pub settings: String,
    /// See there.
    pub zones: Vec<String>,
    /// Where each node of the fleet takes datagrams.
    pub peers: Vec<SocketAddr>,
    /// The list service.
    pub list: SocketAddr,
    /// Connections to app servers that a node may have.
    pub links: usize,
    /// Tenants, and the exponent of their demands.
    pub tenants: (usize, f64),
    /// Nodes that a tenant's tries come through at the least; 0 for all.
    pub spread: u32,
    /// Tries a node and second.
    pub tries: f64,
    /// Mean work of an app server on a try of each class, µs.
    pub work: Vec<Micros>,
    /// Share of each class.
    pub classes: Vec<f64>,
    /// How long clients wait, by class, µs.
    pub patience: Vec<Micros>,
    /// Where all that is drawn comes from.
    pub seed: u64,
}

/// Something that comes about at its time.
enum What {
    Wake(u64),
    Happens(Event<SocketAddr>),
    Alarm,
    Try,
}

struct Due {
    at: Micros,
    serial: u64,
    place: usize,
    life: u32,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// The nodes of one process.
pub struct Shard {
    pub(crate) spec: Spec,
    settings: Settings,
    started: (Instant, Micros),
    nodes: RefCell<Vec<Rc<Node>>>,
    tenants: Tenants,
    drawn: Vec<Drawn>,
    due: RefCell<BinaryHeap<Reverse<Due>>>,
    serial: Cell<u64>,
    armed: Cell<Micros>,
    sooner: Notify,
    /// Whose list is read. Danger: a change that hundreds of nodes read in one go, while what is due to others waits.
    reading: Mutex<()>,
    random: RefCell<fastrand::Rng>,
    loading: Cell<bool>,
    /// Node, version of the list, when it was acted on.
    acted: RefCell<Vec<(u32, u64, Micros)>>,
    pub(crate) figures: RefCell<Sums>,
    lag: RefCell<Spans>,
    added: RefCell<Spans>,
    complaints: Cell<u64>,
    audit: RefCell<Audit>,
}

/// Serves the words of whoever started this process, until there are no more.
///
/// # Errors
/// What it was told makes no sense, an address could not be had, or its memory can't be told.
pub fn serve() -> Result<()> {
    let mut first = String::new();
    std::io::stdin().read_line(&mut first)?;
    let spec: Spec = serde_json::from_str(&first).context("its first line")?;
    let trial: Trial = serde_json::from_str(&first).context("its first line")?;
    let (words, told) = mpsc::unbounded_channel();
    std::thread::spawn(move || {
        for line in std::io::stdin().lines().map_while(Result::ok) {
            if words.send(line).is_err() {
                return;
            }
        }
    });
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, run(spec, trial, told))
}

async fn run(spec: Spec, trial: Trial, told: mpsc::UnboundedReceiver<String>) -> Result<()> {
    let shard = Rc::new(Shard::new(spec, trial)?);
    say(&shard.look()?)?;
    shard.begin().await?;
    // Danger: what is due behind a change that is just read by hundreds of tasks. This one is looked at between few of them.
    tokio::select! {
        () = Rc::clone(&shard).drive() => Ok(()),
        over = obey(&shard, told) => over,
    }
}

/// Does what it is told, until there are no more words.
async fn obey(shard: &Rc<Shard>, mut told: mpsc::UnboundedReceiver<String>) -> Result<()> {
    while let Some(word) = told.recv().await {
        let (word, rest) = word.split_once(' ').unwrap_or((&word, ""));
        match word {
            "ready" => say(&shard.listed_all(0).await)?,
            "look" => say(&shard.look()?)?,
            "load" => {
                shard.load();
                say(&())?;
            }
            "rest" => {
                shard.loading.set(false);
                say(&())?;
            }
            "restart" => {
                let from = shard.now();
                shard.restart(rest.parse()?).await?;
                say(&shard.listed_all(from).await)?;
            }
            "renew" => {
                shard.restart(rest.parse()?).await?;
                say(&())?;
            }
            "unlisted" => {
                let unlisted = |node: &&Rc<Node>| node.listed.get().is_none();
                say(&shard.nodes.borrow().iter().filter(unlisted).count())?;
            }
            "audit" => say(&shard.audit.borrow_mut().take(shard.now()))?,
            "faults" => {
                shard.audit.borrow_mut().faults = serde_json::from_str(rest)?;
                say(&())?;
            }
            "acted" => say(&shard.acted_on(&serde_json::from_str::<Vec<(u64, Micros)>>(rest)?))?,
            _ => anyhow::bail!("an unknown word: {word}"),
        }
    }
    Ok(())
}

fn say(what: &impl Serialize) -> Result<()> {
    println!("{}", serde_json::to_string(what)?);
    Ok(())
}

/// CPU of this thread, or of the process, ns.
fn cpu(clock: ClockId) -> u64 {
    clock_gettime(clock).map_or(0, |time| {
        time.tv_sec() as u64 * 1_000_000_000 + time.tv_nsec() as u64
    })
}

/// Bytes of memory in use (`proc(5)`, `VmRSS`).
fn memory() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("VmRSS")?;
    Ok(line
        .split_whitespace()
        .next()
        .context("VmRSS")?
        .parse::<u64>()?
        * 1024)
}

impl Shard {
    fn new(spec: Spec, trial: Trial) -> Result<Shard> {
        let named = setup::read(&spec.settings).map_err(anyhow::Error::new)?;
        let tenants = Tenants::new(
            spec.tenants.0,
            spec.tenants.1,
            (spec.present, spec.tries),
            spec.spread,
        );
        let drawn = (0..spec.nodes.1)
            .map(|place| tenants.at(spec.nodes.0 + place))
            .collect();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_micros() as Micros;
        fastrand::seed(spec.seed);
        let settings = Settings {
            subsetting: true,
            partition_safe: trial.fenced,
            ..named.settings
        };
        Ok(Shard {
            audit: RefCell::new(Audit::new(trial, settings.slow_start)),
            settings,
            started: (Instant::now(), unix),
            nodes: RefCell::default(),
            tenants,
            drawn,
            due: RefCell::default(),
            serial: Cell::new(0),
            armed: Cell::new(Micros::MAX),
            sooner: Notify::new(),
            reading: Mutex::new(()),
            random: RefCell::new(fastrand::Rng::with_seed(spec.seed)),
            loading: Cell::new(false),
            acted: RefCell::default(),
            figures: RefCell::default(),
            lag: RefCell::default(),
            added: RefCell::default(),
            complaints: Cell::new(0),
            spec,
        })
    }

    fn now(&self) -> Micros {
        self.started.1 + self.started.0.elapsed().as_micros() as Micros
    }

    /// Something went wrong with a watch, which is called for again.
    pub fn complain(&self, error: &anyhow::Error) {
        self.complaints.set(self.complaints.get() + 1);
        if self.complaints.get() <= COMPLAINTS {
            eprintln!("a hollow node's list: {error:#}");
        }
    }

    // ---- Lives of nodes ----

    async fn begin(self: &Rc<Self>) -> Result<()> {
        for place in 0..self.spec.nodes.1 as usize {
            let node = self.node(place, 0).await?;
            self.nodes.borrow_mut().push(Rc::clone(&node));
            self.starts(&node);
        }
        Ok(())
    }

    async fn node(&self, place: usize, life: u32) -> Result<Rc<Node>> {
        let me = self.spec.nodes.0 + place as u32;
        let zone = ZoneId(me % self.spec.zones.len().max(1) as u32);
        let settings = Settings {
            node: NodeId(me),
            zone,
            ..self.settings.clone()
        };
        let listen = *self
            .spec
            .peers
            .get(me as usize)
            .context("an address for each node")?;
        let addresses = PeerAddresses {
            listen,
            each: self.spec.peers.clone(),
            all: None,
        };
        let peers = Peers::bind(addresses, settings.node, false).await?;
        let bounds = Limits::for_node(self.spec.links, settings.server_idle_timeout, 250_000);
        let seed = self.spec.seed ^ u64::from(me) << 20 ^ u64::from(life);
        Node::new((place, life), settings, bounds, peers, (seed, self.now()))
    }

    fn starts(self: &Rc<Self>, node: &Rc<Node>) {
        self.happened(
            node,
            Event::PolicyEvent(ModuleEvent::EndpointsUnavailable),
            Why::Wake,
        );
        let words = tokio::task::spawn_local(hear(Rc::clone(self), Rc::clone(node)));
        let list = tokio::task::spawn_local(list::follow(Rc::clone(self), Rc::clone(node)));
        node.tasks.borrow_mut().extend([words, list]);
        if self.loading.get() {
            self.next_try(node, self.now());
        }
    }

    /// Ends a share of the nodes, with all that they hold, and starts them anew.
    async fn restart(self: &Rc<Self>, share: f64) -> Result<()> {
        let many = (self.nodes.borrow().len() as f64 * share).ceil() as usize;
        let ends: Vec<Rc<Node>> = self.nodes.borrow().iter().take(many).cloned().collect();
        for node in ends {
            let (place, life) = (node.place, node.life + 1);
            let tasks: Vec<_> = node.tasks.borrow_mut().drain(..).collect();
            for task in tasks {
                task.abort();
                // Its socket is free when it has ended.
                let _ = task.await;
            }
            node.peers.take();
            self.audit
                .borrow_mut()
                .ended(self.now(), node.me.0, node.tries.borrow().keys());
            let fresh = self.node(place, life).await?;
            self.figures.borrow_mut().cut += node.tries.borrow().len() as u64;
            self.nodes.borrow_mut()[place] = Rc::clone(&fresh);
            self.starts(&fresh);
        }
        Ok(())
    }

    /// Comes back once all nodes that were born since have a list: how long each took, µs.
    async fn listed_all(&self, since: Micros) -> Vec<Micros> {
        loop {
            let spans: Option<Vec<Micros>> = {
                let nodes = self.nodes.borrow();
                let young = nodes.iter().filter(|node| node.born >= since);
                young
                    .map(|node| node.listed.get().map(|at| at - node.born))
                    .collect()
            };
            if let Some(spans) = spans {
                return spans;
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    // ---- The loop ----

    fn later(&self, node: &Node, at: Micros, what: What) {
        let serial = self.serial.get();
        self.serial.set(serial + 1);
        self.due.borrow_mut().push(Reverse(Due {
            at,
            serial,
            place: node.place,
            life: node.life,
            what,
        }));
        if at < self.armed.get() {
            self.sooner.notify_one();
        }
    }

    async fn drive(self: Rc<Self>) {
        loop {
            let mut many = 0;
            loop {
                let now = self.now();
                let due = {
                    let mut queue = self.due.borrow_mut();
                    let is_due = queue.peek().is_some_and(|Reverse(due)| due.at <= now);
                    if is_due && many < AT_ONCE {
                        queue.pop()
                    } else {
                        None
                    }
                };
                let Some(Reverse(due)) = due else { break };
                many += 1;
                self.lag.borrow_mut().add(now - due.at);
                self.comes(due);
            }
            if many >= AT_ONCE {
                tokio::task::yield_now().await;
                continue;
            }
            let next = self
                .due
                .borrow()
                .peek()
                .map_or(Micros::MAX, |Reverse(due)| due.at);
            self.armed.set(next);
            let span = next.saturating_sub(self.now()).min(60_000_000);
            tokio::select! {
                () = tokio::time::sleep(Duration::from_micros(span)) => {}
                () = self.sooner.notified() => {}
            }
            self.armed.set(0);
        }
    }

    fn comes(self: &Rc<Self>, due: Due) {
        let node = self.nodes.borrow().get(due.place).cloned();
        let Some(node) = node.filter(|node| node.life == due.life) else {
            return;
        };
        match due.what {
            What::Wake(token) => {
                self.happened(
                    &node,
                    Event::PolicyEvent(ModuleEvent::TimerFired { token }),
                    Why::Wake,
                );
            }
            What::Happens(event) => {
                if let Event::ResponseComplete {
                    connection: link, ..
                } = &event
                {
                    self.audit.borrow_mut().over(self.now(), node.me.0, *link);
                }
                self.happened(&node, event, Why::Request);
            }
            What::Alarm => {
                if node.alarm.get() == due.at {
                    node.alarm.set(Micros::MAX);
                    self.happened(&node, Event::TimerFired, Why::Request);
                }
            }
            What::Try => self.tried(&node, due.at),
        }
    }

    /// Tells a node's exchange what happened, and does what it asks for.
    pub fn happened(&self, node: &Rc<Node>, event: Event<SocketAddr>, why: Why) {
        let (mut events, mut commands) = (VecDeque::from([event]), Vec::new());
        while let Some(event) = events.pop_front() {
            let now = self.now();
            let before = cpu(ClockId::CLOCK_THREAD_CPUTIME_ID);
            node.exchange.borrow_mut().handle(now, event, &mut commands);
            let ns = cpu(ClockId::CLOCK_THREAD_CPUTIME_ID).saturating_sub(before);
            {
                let mut figures = self.figures.borrow_mut();
                let spent = figures.spent(why);
                spent.times += 1;
                spent.ns += ns;
            }
            commands
                .drain(..)
                .for_each(|command| self.carry_out(node, now, command, &mut events));
        }
        let next = node.exchange.borrow().next_alarm();
        if let Some(next) = next.filter(|next| *next < node.alarm.get()) {
            node.alarm.set(next);
            self.later(node, next, What::Alarm);
        }
    }

    fn carry_out(
        &self,
        node: &Rc<Node>,
        now: Micros,
        command: Command<SocketAddr>,
        events: &mut VecDeque<Event<SocketAddr>>,
    ) {
        match command {
            Command::Connect {
                connection: link, ..
            } => {
                self.figures.borrow_mut().connects += 1;
                self.later(
                    node,
                    now + HANDSHAKE,
                    What::Happens(Event::Connected { connection: link }),
                );
            }
            Command::Send {
                connection: link,
                id,
                server,
            } => {
                self.audit.borrow_mut().sends(node.me.0, link, &id, server);
                node.on.borrow_mut().insert(link, id);
                events.push_back(Event::FirstByteReady {
                    connection: link,
                    no_unread_bytes: true,
                });
            }
            Command::Write { connection: link } => self.works(node, now, link),
            Command::Close { connection: link } => {
                node.on.borrow_mut().remove(&link);
                self.audit.borrow_mut().closed(now, node.me.0, link);
                events.push_back(Event::Closed { connection: link });
            }
            Command::Answer {
                id,
                answer: verdict,
            } => self.answered(node, now, &id, verdict),
            Command::PolicyAction(action) => self.act(node, now, action),
            // Tries come whole.
            Command::ReleaseBody { .. } => {}
        }
    }

    fn act(&self, node: &Rc<Node>, now: Micros, action: Action) {
        match action {
            Action::Broadcast { bytes } => {
                node.peers
                    .borrow()
                    .iter()
                    .for_each(|peers| peers.broadcast(&bytes));
                self.said(u64::from(self.spec.gateways.saturating_sub(1)), bytes.len());
            }
            Action::SendToPeer { to, bytes } => {
                node.peers
                    .borrow()
                    .iter()
                    .for_each(|peers| peers.send_to(to, &bytes));
                self.said(1, bytes.len());
            }
            Action::SetTimer { after, token } => self.later(node, now + after, What::Wake(token)),
            Action::Report(_) => self.figures.borrow_mut().logged += 1,
            // As in a process: the list is always followed, there is no twin, and the rest is the exchange's.
            Action::Subscribe
            | Action::SendToSiblings(_)
            | Action::Send { .. }
            | Action::Reject { .. }
            | Action::Fail { .. }
            | Action::Cancel { .. } => {}
        }
    }

    fn said(&self, many: u64, bytes: usize) {
        let mut figures = self.figures.borrow_mut();
        figures.sent.0 += many;
        figures.sent.1 += many * bytes as u64;
    }

    /// Comes back when the node may read its list: one after another, and between two of them comes what else is due.
    pub async fn turn(&self) -> MutexGuard<'_, ()> {
        let turn = self.reading.lock().await;
        tokio::task::yield_now().await;
        turn
    }

    /// A list has come; when it was acted on is noted.
    pub fn listed(&self, node: &Rc<Node>, list: &List) {
        self.audit
            .borrow_mut()
            .listed(self.now(), node.me.0, list, server_id);
        let entry = |host| to_policy_endpoint(&EndpointRecord::from(host), &self.spec.zones);
        let entries = list.hosts.iter().map(entry).collect();
        self.happened(
            node,
            Event::EndpointsChanged {
                snapshot: list.whole,
                endpoints: entries,
            },
            Why::List,
        );
        let now = self.now();
        self.figures.borrow_mut().list.2 += 1;
        self.acted.borrow_mut().push((node.me.0, list.seq, now));
        if node.listed.get().is_none() {
            node.listed.set(Some(now));
        }
    }

    // ---- Clients and app servers ----

    fn load(&self) {
        if !self.loading.replace(true) {
            let nodes: Vec<Rc<Node>> = self.nodes.borrow().clone();
            nodes
                .iter()
                .for_each(|node| self.next_try(node, self.now()));
        }
    }

    /// The next try of a node's clients: they wait for nothing, so the gaps are exponential.
    fn next_try(&self, node: &Rc<Node>, from: Micros) {
        if self.spec.tries > 0.0 {
            let gap = -(1.0 - self.random.borrow_mut().f64()).ln() / self.spec.tries;
            self.later(node, from + (gap * 1e6) as Micros, What::Try);
        }
    }

    fn tried(&self, node: &Rc<Node>, due: Micros) {
        if !self.loading.get() {
            return;
        }
        self.next_try(node, due);
        let (who, kind, number) = {
            let mut random = self.random.borrow_mut();
            (random.f64(), random.f64(), self.serial.get())
        };
        let tenant = self.tenants.tenant(self.drawn[node.place].draw(who));
        let mut share = 0.0;
        let class = self.spec.classes.iter().position(|of| {
            share += of;
            kind < share
        });
        let class = class.unwrap_or(0);
        self.figures.borrow_mut().offered += 1;
        let Some(effect) = self
            .settings
            .classes
            .get(class)
            .map(|class| class.idempotency)
        else {
            return;
        };
        let patience = self
            .spec
            .patience
            .get(class)
            .map_or(1_000_000, |patience| patience - DELIVERY.min(*patience));
        let id = RequestId(format!("{:x}-{number:x}", node.me.0).into());
        let tell = ModuleEvent::RequestArrived {
            id: id.clone(),
            class: ClassId(class),
            plan: PlanId(tenant.plan),
            customer: CustomerId(tenant.id),
            units: 1.0,
            subset_first: NodeId(tenant.first),
            subset_size: tenant.spread,
            timeout: patience,
            complete: true,
        };
        self.audit
            .borrow_mut()
            .asked(self.now(), &id, node.me.0, tenant.id, class);
        node.tries.borrow_mut().insert(
            id,
            Try {
                due,
                class,
                work: 0,
            },
        );
        let deadline = self.now() + patience;
        self.happened(
            node,
            Event::RequestReceived {
                idempotency: effect,
                deadline,
                policy_event: tell,
            },
            Why::Request,
        );
    }

    /// An app server has a try, and answers it in its time.
    fn works(&self, node: &Rc<Node>, now: Micros, link: ConnectionId) {
        self.figures.borrow_mut().attempts += 1;
        let draw = self.random.borrow_mut().f64();
        let id = node.on.borrow().get(&link).cloned();
        let mut tries = node.tries.borrow_mut();
        let of = id.and_then(|id| tries.get_mut(&id));
        let class = of.as_ref().map_or(0, |of| of.class);
        let mean = self.spec.work.get(class).copied().unwrap_or(0) as f64;
        let work = (mean * (0.5 + draw)) as Micros;
        of.into_iter().for_each(|of| of.work += work);
        drop(tries);
        let Some(work) = self
            .audit
            .borrow_mut()
            .written(now, (node.me.0, link), work)
        else {
            return;
        };
        self.later(
            node,
            now + work,
            What::Happens(Event::ResponseComplete {
                connection: link,
                outcome: Outcome::Ok,
            }),
        );
    }

    fn answered(&self, node: &Rc<Node>, now: Micros, id: &RequestId, verdict: FinalAnswer) {
        self.audit.borrow_mut().answered(now, id, verdict);
        let Some(of) = node.tries.borrow_mut().remove(id) else {
            return;
        };
        let mut figures = self.figures.borrow_mut();
        match verdict {
            FinalAnswer::Served => {
                figures.served += 1;
                self.added
                    .borrow_mut()
                    .add(now.saturating_sub(of.due).saturating_sub(of.work));
            }
            FinalAnswer::Rejected(_) => figures.refused += 1,
            FinalAnswer::Failed => figures.failed += 1,
        }
    }

    // ---- What is told ----

    fn look(&self) -> Result<Look> {
        let nodes = self.nodes.borrow();
        let of = |node: &Rc<Node>| {
            let exchange = node.exchange.borrow();
            (
                exchange.table_sizes().1,
                exchange.policy().tracked_entries(),
            )
        };
        let (links, kept) = nodes
            .iter()
            .map(of)
            .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let look = Look {
            at: self.now(),
            cpu_ns: cpu(ClockId::CLOCK_PROCESS_CPUTIME_ID),
            memory: memory()?,
            links,
            kept,
            sums: *self.figures.borrow(),
            lag: self.lag.borrow().pairs(),
            added: self.added.borrow().pairs(),
        };
        self.lag.borrow_mut().clear();
        self.added.borrow_mut().clear();
        Ok(look)
    }

    /// For each change, when the last node had acted on it, and these spans over all nodes.
    fn acted_on(&self, changes: &[(u64, Micros)]) -> (Vec<Option<Micros>>, Vec<(u64, u64)>) {
        let mut by_node: Vec<Vec<(u64, Micros)>> = vec![Vec::new(); self.spec.nodes.1 as usize];
        for (me, seq, at) in self.acted.borrow().iter() {
            if let Some(of) = by_node.get_mut((me - self.spec.nodes.0) as usize) {
                of.push((*seq, *at));
            }
        }
        let mut all = Spans::default();
        let mut last = Vec::with_capacity(changes.len());
        let mut next = vec![0; by_node.len()];
        for (seq, told) in changes {
            let mut latest = Some(0);
            for (of, next) in by_node.iter().zip(&mut next) {
                // Versions only rise, but where a node has begun anew: what is passed over once is old for all that follow.
                while of
                    .get(*next)
                    .is_some_and(|(reached, at)| reached < seq || at < told)
                {
                    *next += 1;
                }
                let acted = of.get(*next).map(|(_, at)| at - told);
                acted.into_iter().for_each(|span| all.add(span));
                latest = latest.zip(acted).map(|(one, other)| one.max(other));
            }
            last.push(latest);
        }
        (last, all.pairs())
    }
}

/// Hears peers for ever.
async fn hear(shard: Rc<Shard>, node: Rc<Node>) {
    let Some(peers) = node.peers.borrow().clone() else {
        return;
    };
    loop {
        if let Some((from, bytes)) = peers.receive().await {
            {
                let mut figures = shard.figures.borrow_mut();
                figures.taken.0 += 1;
                figures.taken.1 += bytes.len() as u64;
            }
            if shard.audit.borrow_mut().hears(from.0, node.me.0) {
                shard.happened(
                    &node,
                    Event::PolicyEvent(ModuleEvent::PeerMessage { from, bytes }),
                    Why::Word,
                );
            }
        }
    }
}
