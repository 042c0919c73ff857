//! A small fleet in virtual time: several whole exchanges with the decision module inside, servers that fail, a list that
//! changes, datagrams that are lost. Everything follows from the seed; the ledger of the fleet rig judges it.

use anyhow::Result;
use saffronpaddle_exchange::{
    Bug, Command, ConnectionId, Event, Exchange, FinalAnswer, Limits, Ticket,
};
use saffronpaddle_policy::interface::{
    Action, ClassId, CustomerId, DeduplicationDomainId, Endpoint, EndpointStatus,
    Event as ModuleEvent, Micros, NodeId, Outcome, PlanId, RequestId, ServerId, ZoneId,
};
use saffronpaddle_policy::setup::{self, NamedSettings};
use saffronpaddle_policy::PolicyEngine;
use saffronpaddle_test_doubles::ledger::{self, Answer, Asked, Ledger, Repeats, Unanswered};
use saffronpaddle_test_doubles::settings::Fleet;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// When a run begins on the nodes' clocks, µs.
const START: Micros = 1_700_000_000_000_000;
/// What a front keeps back of a client's time, µs.
const DELIVERY: Micros = 5_000;
/// Connections that a node may have to servers.
const LINKS: usize = 60;
/// How long a connection that is told to close takes, µs at the most.
const CLOSING: Micros = 200;
/// How long after the last try a run may go on, µs. All is over long before.
const AFTER: Micros = 20_000_000;

/// What is played.
#[derive(Clone, Debug)]
pub struct Play {
    /// Everything follows from it.
    pub seed: u64,
    /// Edge nodes.
    pub nodes: usize,
    /// App servers.
    pub servers: usize,
    /// Clients' tries.
    pub tries: usize,
    /// Over how long they come, µs.
    pub span: Micros,
    /// Whether a node is killed half-way.
    pub kill: bool,
    /// A fault to be planted in all nodes.
    pub bug: Option<Bug>,
}

impl Play {
    /// Three nodes and six servers, thousands of tries.
    pub fn usual(seed: u64) -> Play {
        Play {
            seed,
            nodes: 3,
            servers: 6,
            tries: 4_000,
            span: 40_000_000,
            kill: true,
            bug: None,
        }
    }
}

/// How a run went.
#[derive(Clone, Debug, PartialEq)]
pub struct Played {
    /// The ledger's judgement.
    pub verdict: ledger::Verdict,
    /// What the exchanges themselves were found to have wrong.
    pub tables: Vec<String>,
    /// Requests and connections that were left when all was over.
    pub kept: usize,
    /// Events.
    pub events: usize,
    /// A hash of all commands in their order: two runs of one seed have the same.
    pub course: u64,
}

type Core = Exchange<u32, PolicyEngine, Option<Bug>>;

struct Node {
    core: Core,
    /// Counts its lives: what is under way to an earlier one is lost.
    life: u32,
    wires: HashMap<ConnectionId, Wire>,
    rings_at: Micros,
    /// Whose answer goes where, by id.
    waits: HashMap<RequestId, Ticket>,
}

struct Wire {
    server: usize,
    dial: u32,
    up: bool,
    carries: Option<RequestId>,
    /// The request is at the server and not over there.
    there: bool,
    /// Bytes that nobody asked for, or the end, wait at the node.
    unasked: bool,
    closing: bool,
    /// Counts exchanges on it: what belongs to an earlier one is no answer.
    turn: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Mood {
    Fine,
    Silent,
    Resets,
    Errs,
    Full,
    Refuses,
}

struct Server {
    name: String,
    dial: u32,
    zone: u32,
    cell: u64,
    ready: bool,
    mood: Mood,
    busy_until: [Micros; 4],
    started: Option<Micros>,
}

/// Something that comes about at its time.
#[derive(Clone, Debug)]
enum Comes {
    Try(usize),
    ClientGives(usize, u32, RequestId, Ticket),
    Connects(usize, u32, ConnectionId),
    CantConnect(usize, u32, ConnectionId),
    Begins(usize, u32, ConnectionId),
    Arrives(usize, u32, ConnectionId, u32, Micros),
    Done(usize, u32, ConnectionId, u32, Outcome),
    Replies(usize, u32, ConnectionId, u32, RequestId, Outcome),
    Breaks(usize, u32, ConnectionId, u32),
    Unasked(usize, u32, ConnectionId),
    Ends(usize, u32, ConnectionId),
    Closes(usize, u32, ConnectionId),
    Rings(usize, u32, Micros),
    Wakes(usize, u32, u64),
    Hears(usize, NodeId, Vec<u8>),
    Mood(usize),
    Turns(usize),
    Told(usize, u32, usize, Endpoint, u32),
    Kill(usize),
}

struct Sim {
    play: Play,
    fleet: Fleet,
    named: Vec<NamedSettings>,
    random: fastrand::Rng,
    now: Micros,
    queue: BinaryHeap<Reverse<(Micros, u64)>>,
    coming: BTreeMap<u64, Comes>,
    serial: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    next_dial: u32,
    ledger: Ledger,
    tables: Vec<String>,
    course: DefaultHasher,
    events: usize,
    /// Whose tries still wait, and at which node.
    open: BTreeMap<RequestId, usize>,
}

/// Plays a run to its end.
///
/// # Errors
/// The settings make no sense.
pub fn play(play: &Play) -> Result<Played> {
    let mut sim = Sim::new(play.clone())?;
    sim.run()?;
    Ok(sim.judge())
}

impl Sim {
    fn new(play: Play) -> Result<Sim> {
        let fleet = Fleet::usual(play.nodes);
        let read = |me| setup::read(&fleet.settings(me).to_string()).map_err(anyhow::Error::new);
        let named: Vec<NamedSettings> = (0..play.nodes).map(read).collect::<Result<_>>()?;
        let mut sim = Sim {
            random: fastrand::Rng::with_seed(play.seed),
            now: START,
            queue: BinaryHeap::new(),
            coming: BTreeMap::new(),
            serial: 0,
            nodes: Vec::new(),
            servers: Vec::new(),
            next_dial: 100,
            ledger: Ledger::new(fleet.bounds.clone()),
            tables: Vec::new(),
            course: DefaultHasher::new(),
            events: 0,
            open: BTreeMap::new(),
            play,
            fleet,
            named,
        };
        for at in 0..sim.play.servers {
            sim.servers.push(Server {
                name: format!("s-{at}"),
                dial: at as u32,
                zone: (at % 2) as u32,
                cell: (at / 2) as u64,
                ready: true,
                mood: Mood::Fine,
                busy_until: [0; 4],
                started: None,
            });
        }
        for at in 0..sim.play.nodes {
            let core = sim.core(at)?;
            sim.nodes.push(Node {
                core,
                life: 0,
                wires: HashMap::new(),
                rings_at: Micros::MAX,
                waits: HashMap::new(),
            });
        }
        for (customer, plan) in (0..40_u64).zip(sim.fleet.plans.clone().iter().cycle()) {
            sim.ledger
                .limit(customer, (plan.rate, plan.burst), plan.ceiling);
        }
        Ok(sim)
    }

    fn core(&self, at: usize) -> Result<Core> {
        let named = &self.named[at];
        let gateway =
            PolicyEngine::new(self.play.seed ^ at as u64, named.settings.clone(), self.now)?;
        let bounds = Limits::for_node(LINKS, named.server_idle_timeout, named.connect_timeout);
        Ok(Exchange::with_bugs(bounds, gateway, self.play.bug))
    }

    fn since(&self) -> Duration {
        Duration::from_micros(self.now - START)
    }

    fn later(&mut self, after: Micros, comes: Comes) {
        self.serial += 1;
        self.queue.push(Reverse((self.now + after, self.serial)));
        self.coming.insert(self.serial, comes);
    }

    fn run(&mut self) -> Result<()> {
        for at in 0..self.nodes.len() {
            let entries = (0..self.servers.len())
                .map(|server| self.entry(server))
                .collect();
            self.happened(
                at,
                Event::EndpointsChanged {
                    snapshot: true,
                    endpoints: entries,
                },
                None,
            );
        }
        let (tries, span) = (self.play.tries, self.play.span);
        for number in 0..tries {
            let after = self.random.u64(..span);
            self.later(after, Comes::Try(number));
        }
        for server in 0..self.servers.len() {
            for _ in 0..span / 4_000_000 {
                let (mood, turn) = (self.random.u64(..span), self.random.u64(..span));
                self.later(mood, Comes::Mood(server));
                self.later(turn, Comes::Turns(server));
            }
        }
        if self.play.kill {
            let at = self.random.usize(..self.nodes.len());
            self.later(span / 2, Comes::Kill(at));
        }
        while let Some(Reverse((at, serial))) = self.queue.pop() {
            if at > START + span + AFTER {
                break;
            }
            self.now = at;
            self.events += 1;
            if let Some(comes) = self.coming.remove(&serial) {
                self.comes(comes)?;
            }
        }
        Ok(())
    }

    fn judge(self) -> Played {
        let kept = self
            .nodes
            .iter()
            .map(|node| node.core.table_sizes())
            .map(|(rows, links)| rows + links)
            .sum();
        Played {
            verdict: self.ledger.judge(),
            tables: self.tables,
            kept,
            events: self.events,
            course: self.course.finish(),
        }
    }

    fn entry(&self, at: usize) -> (Endpoint, u32) {
        let server = &self.servers[at];
        let entry = Endpoint {
            server: ServerId(at as u64),
            zone: ZoneId(server.zone),
            domain: DeduplicationDomainId(server.cell),
            status: if server.ready {
                EndpointStatus::Ready
            } else {
                EndpointStatus::Draining
            },
            size: 1.0,
            started_at: server.started,
        };
        (entry, server.dial)
    }

    fn alive(&self, at: usize, life: u32) -> bool {
        self.nodes[at].life == life
    }

    fn comes(&mut self, comes: Comes) -> Result<()> {
        match comes {
            Comes::Try(number) => self.tries(number),
            Comes::ClientGives(at, life, id, ticket) => {
                if self.alive(at, life) && self.nodes[at].waits.get(&id) == Some(&ticket) {
                    self.ledger.unanswered(&id.0, Unanswered::Left);
                    self.nodes[at].waits.remove(&id);
                    self.open.remove(&id);
                    self.happened(at, Event::ClientGone { id, ticket }, None);
                }
            }
            Comes::Connects(at, life, link) => {
                let wire = self.wire(at, life, link);
                if let Some(wire) = wire.filter(|wire| !wire.closing) {
                    wire.up = true;
                    self.happened(at, Event::Connected { connection: link }, None);
                }
            }
            Comes::CantConnect(at, life, link) => {
                if self.wire(at, life, link).is_some_and(|wire| !wire.closing) {
                    self.nodes[at].wires.remove(&link);
                    let lack = self.random.u8(..20) == 0;
                    self.happened(
                        at,
                        Event::ConnectFailed {
                            connection: link,
                            local_shortage: lack,
                        },
                        None,
                    );
                }
            }
            Comes::Begins(at, life, link) => {
                if let Some(wire) = self.wire(at, life, link).filter(|wire| !wire.closing) {
                    let quiet = !wire.unasked;
                    self.happened(
                        at,
                        Event::FirstByteReady {
                            connection: link,
                            quiet,
                        },
                        None,
                    );
                }
            }
            Comes::Arrives(at, life, link, turn, first) => {
                self.arrives(at, life, link, turn, first);
            }
            Comes::Done(at, life, link, turn, outcome) => self.done(at, life, link, turn, outcome),
            Comes::Replies(at, life, link, turn, id, outcome) => {
                let wire = self
                    .wire(at, life, link)
                    .filter(|wire| wire.turn == turn && !wire.closing);
                if let Some(wire) = wire {
                    wire.carries = None;
                    self.happened(
                        at,
                        Event::ResponseComplete {
                            connection: link,
                            outcome,
                        },
                        Some(id),
                    );
                }
            }
            Comes::Breaks(at, life, link, turn) => {
                let wire = self
                    .wire(at, life, link)
                    .filter(|wire| wire.turn == turn && !wire.closing);
                if let Some(wire) = wire.filter(|wire| wire.carries.is_some()) {
                    wire.unasked = true;
                    if std::mem::replace(&mut wire.there, false) {
                        let id = wire
                            .carries
                            .as_ref()
                            .map(|id| id.0.to_string())
                            .unwrap_or_default();
                        self.ledger.closed(self.since(), &id);
                    }
                    self.happened(at, Event::ConnectionLost { connection: link }, None);
                }
            }
            Comes::Unasked(at, life, link) => {
                if let Some(wire) = self.wire(at, life, link).filter(|wire| !wire.closing) {
                    wire.unasked = true;
                    if wire.carries.is_none() {
                        self.happened(at, Event::ClosedByPeer { connection: link }, None);
                    }
                }
            }
            Comes::Ends(at, life, link) => {
                if self
                    .wire(at, life, link)
                    .is_some_and(|wire| wire.carries.is_none() && !wire.closing)
                {
                    self.happened(at, Event::ClosedByPeer { connection: link }, None);
                }
            }
            Comes::Closes(at, life, link) => {
                if self.alive(at, life) {
                    let wire = self.nodes[at].wires.remove(&link);
                    if let Some(Wire {
                        carries: Some(id),
                        there: true,
                        ..
                    }) = wire
                    {
                        self.ledger.closed(self.since(), &id.0);
                    }
                    self.happened(at, Event::Closed { connection: link }, None);
                }
            }
            Comes::Rings(at, life, due) => {
                if self.alive(at, life) && self.nodes[at].rings_at == due {
                    self.nodes[at].rings_at = Micros::MAX;
                    self.happened(at, Event::TimerFired, None);
                }
            }
            Comes::Wakes(at, life, token) => {
                if self.alive(at, life) {
                    self.happened(
                        at,
                        Event::PolicyEvent(ModuleEvent::TimerFired { token }),
                        None,
                    );
                }
            }
            Comes::Hears(at, from, bytes) => {
                self.happened(
                    at,
                    Event::PolicyEvent(ModuleEvent::PeerMessage { from, bytes }),
                    None,
                );
            }
            Comes::Mood(at) => {
                let moods = [
                    Mood::Silent,
                    Mood::Resets,
                    Mood::Errs,
                    Mood::Full,
                    Mood::Refuses,
                ];
                let fine = self.servers[at].mood != Mood::Fine;
                self.servers[at].mood = if fine {
                    Mood::Fine
                } else {
                    moods[self.random.usize(..moods.len())]
                };
                // A mood lasts half a second to two.
                if !fine {
                    let after = self.random.u64(500_000..2_000_000);
                    self.later(after, Comes::Mood(at));
                }
            }
            Comes::Turns(at) => self.turns(at),
            Comes::Told(at, life, server, entry, dial) => {
                if self.alive(at, life) {
                    let ready = entry.status == EndpointStatus::Ready;
                    let name = self.servers[server].name.clone();
                    self.ledger.told(self.since(), at, &name, ready);
                    self.happened(
                        at,
                        Event::EndpointsChanged {
                            snapshot: false,
                            endpoints: vec![(entry, dial)],
                        },
                        None,
                    );
                }
            }
            Comes::Kill(at) => self.kill(at)?,
        }
        Ok(())
    }

    fn wire(&mut self, at: usize, life: u32, link: ConnectionId) -> Option<&mut Wire> {
        if !self.alive(at, life) {
            return None;
        }
        self.nodes[at].wires.get_mut(&link)
    }

    /// A client's try comes whole to one of its customer's nodes.
    fn tries(&mut self, number: usize) {
        let customer = self.random.u64(..40);
        let plan = customer as usize % self.fleet.plans.len();
        let class = usize::from(self.random.f64() > self.fleet.classes[0].share);
        let (name, keyed) = (
            self.fleet.classes[class].name,
            self.fleet.classes[class].keyed,
        );
        let deadline = self.fleet.classes[class].deadline;
        let (spread, first) = (
            2.min(self.nodes.len() as u32),
            customer as u32 % self.nodes.len() as u32,
        );
        let at = (first + self.random.u32(..spread)) as usize % self.nodes.len();
        let id = RequestId(format!("{name}-{number}").into());
        let asked = Asked {
            id: id.0.to_string(),
            key: keyed.then(|| id.0.to_string()),
            repeats: if keyed { Repeats::Keyed } else { Repeats::Safe },
            node: at,
            customer,
            units: 1.0,
            patience: deadline,
        };
        self.ledger.asked(self.since(), asked);
        let patience = deadline.as_micros() as Micros - DELIVERY;
        let effect = self.named[at].settings.classes[class].idempotency;
        let tell = ModuleEvent::RequestArrived {
            id: id.clone(),
            class: ClassId(class),
            plan: PlanId(plan),
            customer: CustomerId(customer),
            units: 1.0,
            first: NodeId(first),
            spread,
            timeout: patience,
            complete: true,
        };
        let ticket = self.nodes[at].core.next_ticket();
        self.nodes[at].waits.insert(id.clone(), ticket);
        self.open.insert(id.clone(), at);
        if self.random.u8(..25) == 0 {
            let (after, life) = (self.random.u64(..patience), self.nodes[at].life);
            self.later(after, Comes::ClientGives(at, life, id, ticket));
        }
        self.happened(
            at,
            Event::RequestReceived {
                effect,
                deadline: self.now + patience,
                policy_event: tell,
            },
            None,
        );
    }

    /// A server drains, or comes back: at another address, cold.
    fn turns(&mut self, at: usize) {
        let since = self.since();
        let (dial, now) = (self.next_dial, self.now);
        let server = &mut self.servers[at];
        server.ready = !server.ready;
        if server.ready {
            // The address that it had goes to whoever comes next; this one takes the last that became free.
            server.dial = dial;
            server.started = Some(now);
            server.busy_until = [now; 4];
            self.next_dial += 1;
            let (name, capacity) = (server.name.clone(), server.busy_until.len() as f64);
            self.ledger.cold(since, &name, capacity);
        }
        let (entry, dial) = self.entry(at);
        for node in 0..self.nodes.len() {
            let (after, life) = (self.random.u64(1_000..80_000), self.nodes[node].life);
            self.later(after, Comes::Told(node, life, at, entry, dial));
        }
        // Out for a second or two.
        if !self.servers[at].ready {
            let after = self.random.u64(800_000..2_500_000);
            self.later(after, Comes::Turns(at));
        }
    }

    fn kill(&mut self, at: usize) -> Result<()> {
        let held: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, node)| **node == at)
            .map(|(id, _)| id.clone())
            .collect();
        for id in held {
            self.ledger.unanswered(&id.0, Unanswered::Killed);
            self.open.remove(&id);
        }
        let wires = std::mem::take(&mut self.nodes[at].wires);
        let mut there: Vec<RequestId> = wires
            .into_values()
            .filter(|wire| wire.there)
            .filter_map(|wire| wire.carries)
            .collect();
        there.sort();
        there
            .iter()
            .for_each(|id| self.ledger.closed(self.since(), &id.0));
        self.ledger.restarted(at);
        let core = self.core(at)?;
        let node = &mut self.nodes[at];
        (node.core, node.rings_at) = (core, Micros::MAX);
        node.life += 1;
        node.waits.clear();
        let entries = (0..self.servers.len())
            .map(|server| self.entry(server))
            .collect();
        self.happened(
            at,
            Event::EndpointsChanged {
                snapshot: true,
                endpoints: entries,
            },
            None,
        );
        Ok(())
    }

    /// A request has come whole to its server.
    fn arrives(&mut self, at: usize, life: u32, link: ConnectionId, turn: u32, first: Micros) {
        let Some(wire) = self
            .wire(at, life, link)
            .filter(|wire| wire.turn == turn && !wire.closing)
        else {
            return;
        };
        let Some(id) = wire.carries.clone() else {
            return;
        };
        wire.there = true;
        let at_server = wire.server;
        let class = usize::from(id.0.starts_with("submit"));
        let mean = self.fleet.classes[class].work.as_micros() as f64;
        let work = mean * (0.5 + self.random.f64());
        let (name, first) = (
            self.servers[at_server].name.clone(),
            Duration::from_micros(first - START),
        );
        self.ledger
            .arrived(self.since(), first, &name, &id.0, work / 1e6);
        let warmth = self.ledger.warmth(self.since(), &name);
        let (mood, now) = (self.servers[at_server].mood, self.now);
        // Whether it runs is settled as it comes: what is called off later has run all the same.
        let runs = match mood {
            Mood::Full => false,
            Mood::Silent | Mood::Resets => self.random.bool(),
            Mood::Fine | Mood::Errs | Mood::Refuses => true,
        };
        if runs {
            let cell = self.servers[at_server].cell;
            self.ledger.ran(self.since(), self.since(), cell, &id.0);
        }
        match mood {
            Mood::Silent => {}
            Mood::Full => self.later(300, Comes::Done(at, life, link, turn, Outcome::Rejected)),
            Mood::Resets => self.later(500, Comes::Breaks(at, life, link, turn)),
            Mood::Fine | Mood::Errs | Mood::Refuses => {
                let lanes = &mut self.servers[at_server].busy_until;
                let Some(lane) = lanes.iter_mut().min() else {
                    return;
                };
                *lane = (*lane).max(now) + (work / warmth.max(0.05)) as Micros;
                let after = *lane - now;
                let outcome = if mood == Mood::Errs {
                    Outcome::Error
                } else {
                    Outcome::Ok
                };
                self.later(after, Comes::Done(at, life, link, turn, outcome));
            }
        }
    }

    /// A server has done with a request, and answers if the connection is still there.
    fn done(&mut self, at: usize, life: u32, link: ConnectionId, turn: u32, outcome: Outcome) {
        let Some(wire) = self
            .wire(at, life, link)
            .filter(|wire| wire.turn == turn && wire.there)
        else {
            return;
        };
        let Some(id) = wire.carries.clone() else {
            return;
        };
        wire.there = false;
        self.ledger.over(&id.0);
        let way = self.random.u64(50..2_000);
        self.later(way, Comes::Replies(at, life, link, turn, id, outcome));
        match self.random.u8(..40) {
            // A second copy right behind it, or the end of the connection.
            0 => {
                let behind = self.random.u64(..8_000);
                self.later(way + behind, Comes::Unasked(at, life, link));
            }
            1 => self.later(way + 1, Comes::Ends(at, life, link)),
            _ => {}
        }
    }

    /// Tells an exchange, and carries out what it asks for. `answer`: the request whose answer this is.
    fn happened(&mut self, at: usize, event: Event<u32>, answer: Option<RequestId>) {
        let mut commands = Vec::new();
        let (now, life) = (self.now, self.nodes[at].life);
        self.nodes[at].core.handle(now, event, &mut commands);
        for command in commands {
            (at, format!("{command:?}")).hash(&mut self.course);
            match command {
                // Requests come whole here.
                Command::ReleaseBody { .. } => {}
                Command::Connect {
                    connection: link,
                    address: dial,
                } => {
                    let server = self.servers.iter().position(|server| server.dial == dial);
                    let wire = Wire {
                        server: server.unwrap_or(0),
                        dial,
                        up: false,
                        carries: None,
                        there: false,
                        unasked: false,
                        closing: false,
                        turn: 0,
                    };
                    self.nodes[at].wires.insert(link, wire);
                    let refuses =
                        server.is_none_or(|server| self.servers[server].mood == Mood::Refuses);
                    let after = self.random.u64(100..3_000);
                    let after = if self.random.u8(..60) == 0 {
                        after * 200
                    } else {
                        after
                    };
                    let comes = if refuses {
                        Comes::CantConnect(at, life, link)
                    } else {
                        Comes::Connects(at, life, link)
                    };
                    self.later(after, comes);
                }
                Command::Send {
                    connection: link,
                    id,
                    ..
                } => {
                    let after = self.random.u64(..300);
                    if let Some(wire) = self.nodes[at].wires.get_mut(&link) {
                        wire.carries = Some(id);
                        wire.turn += 1;
                        self.later(after, Comes::Begins(at, life, link));
                    }
                }
                Command::Write { connection: link } => {
                    let after = self.random.u64(50..2_000);
                    if let Some(wire) = self.nodes[at].wires.get(&link) {
                        let (turn, server, dial) = (wire.turn, wire.server, wire.dial);
                        // Who has left its address is not there any more.
                        let gone = self.servers[server].dial != dial;
                        let comes = Comes::Arrives(at, life, link, turn, now);
                        self.later(
                            after,
                            if gone {
                                Comes::Breaks(at, life, link, turn)
                            } else {
                                comes
                            },
                        );
                    }
                }
                Command::Close { connection: link } => {
                    let after = self.random.u64(..CLOSING);
                    match self.nodes[at].wires.get_mut(&link) {
                        Some(wire) if !wire.closing => {
                            wire.closing = true;
                            self.later(after, Comes::Closes(at, life, link));
                        }
                        _ => self.tables.push(format!("node {at} closes what is closed")),
                    }
                }
                Command::Answer {
                    id,
                    answer: verdict,
                } => self.answered(at, &id, verdict, answer.as_ref()),
                Command::ForPolicy(action) => self.acts(at, life, action),
            }
        }
        if let Err(what) = self.nodes[at].core.consistent() {
            self.tables.push(format!("node {at}: {what}"));
        }
        let node = &mut self.nodes[at];
        let due = node.core.next_alarm().unwrap_or(Micros::MAX);
        if due < node.rings_at {
            node.rings_at = due;
            let late = self.random.u64(..2_000);
            self.later(due.saturating_sub(now) + late, Comes::Rings(at, life, due));
        }
    }

    fn answered(
        &mut self,
        at: usize,
        id: &RequestId,
        verdict: FinalAnswer,
        answer: Option<&RequestId>,
    ) {
        self.nodes[at].waits.remove(id);
        self.open.remove(id);
        if verdict == FinalAnswer::Served && answer != Some(id) {
            self.ledger.foreign(&id.0);
        }
        let answer = match verdict {
            FinalAnswer::Served => Answer::Served,
            FinalAnswer::Rejected(_) => Answer::Refused,
            FinalAnswer::Failed => Answer::Failed,
        };
        self.ledger.answered(self.since(), &id.0, answer);
    }

    fn acts(&mut self, at: usize, life: u32, action: Action) {
        let from = NodeId(at as u32);
        match action {
            Action::SetTimer { after, token } => self.later(after, Comes::Wakes(at, life, token)),
            Action::Broadcast { bytes } => {
                for to in (0..self.nodes.len()).filter(|to| *to != at) {
                    self.datagram(from, to, bytes.clone());
                }
            }
            Action::SendToPeer { to, bytes } => self.datagram(from, to.0 as usize, bytes),
            _ => {}
        }
    }

    /// Some are lost, some come twice, none in order.
    fn datagram(&mut self, from: NodeId, to: usize, bytes: Vec<u8>) {
        let copies = match self.random.u8(..50) {
            0 => 0,
            1 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let after = self.random.u64(100..20_000);
            if to < self.nodes.len() {
                self.later(after, Comes::Hears(to, from, bytes.clone()));
            }
        }
    }
}
