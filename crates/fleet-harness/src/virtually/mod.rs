//! A scenario in virtual time: the decision modules of a whole fleet in one process, with the rig's customers, servers, links
//! and faults, judged by the same ledger. It stands for fleets that no machine holds as processes, and for runs that must be
//! the same each time: everything follows from the seed. Nothing of the program's shell runs here, so what a process does with
//! sockets, descriptors and signals is the rig's to show.

mod lists;
mod servers;

use crate::customers::customers;
use crate::report::{at, Report, Row};
use crate::rig::DRAINS_FOR;
use crate::scenario::{Deed, Known, Roster, Scenario};
use crate::windows;
use anyhow::{ensure, Result};
use lists::{Follower, Service};
use saffronpaddle_endpoints::PollLimits;
use saffronpaddle_operator_config::Operator;
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, ClassId, CustomerId, Endpoint, EndpointUpdate, Event, Micros, NodeId,
    Outcome, PlanId, RequestId, ServerId,
};
use saffronpaddle_policy::setup::{self, PlatformSettings};
use saffronpaddle_policy::PolicyEngine;
use saffronpaddle_test_doubles::links::{End, LinkSet, Links};
use saffronpaddle_test_doubles::load::{class_of, Customer, LoadCounts, RetryState};
use saffronpaddle_test_doubles::oracle::{Answer, Oracle, RepeatSafety, SentRequest, Unanswered};
use saffronpaddle_test_doubles::settings::Fleet;
use servers::{Flight, Server};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// When a run begins on all clocks, µs of Unix time.
const START: Micros = 1_700_000_000_000_000;
/// What a front keeps back of a client's time, µs.
const DELIVERY: Micros = 5_000;
/// One way between two processes without a fault, µs.
const WAY: std::ops::Range<Micros> = 100..1_000;
/// From exec to ready, µs; and from then on until the front has seen it, or that a process is ready no more.
const UP: Micros = 20_000;
const SEEN: Micros = 250_000;
/// How long after SIGTERM a node takes new work, and how long what it took may take then, µs.
const LEAVES: Micros = 600_000;
const FINISHES: Micros = 3_100_000;
/// A process that stands still is dealt clients for so long, µs.
const SEEN_STILL: Micros = 1_250_000;
/// Words that the machine keeps for a process that does not read.
const UNREAD: usize = 270;
/// Load begins so long after the first process started.
const BEFORE: Micros = 500_000;
/// Bytes of a node, of what it knows of a server and of a peer, and of a try, which the ledger keeps to the end.
const NODE_BYTES: f64 = 50_000.0;
const SERVER_BYTES: f64 = 180.0;
const PEER_BYTES: f64 = 50.0;
const TRY_BYTES: f64 = 1_000.0;
/// Tries for each that is offered first: clients come again.
const TRIES: f64 = 1.5;
/// How long after the last try a run may go on. All is over long before.
const AFTER: Micros = 20_000_000;

/// Something that comes about at its time.
#[derive(Debug)]
enum Comes {
    /// The next try of a customer.
    Arrival(usize),
    /// A client's try reaches the front.
    Try(Client),
    Wakes(usize, u32, u64),
    Hears(usize, NodeId, Vec<u8>),
    Reaches(Flight),
    Done(Flight, u32),
    Replies(Flight, Outcome),
    List(usize, u32, lists::Comes),
    Step(usize),
    /// A node is taken for ready by the front, or no more.
    Opens(usize, u32, bool),
    /// A process is there after its start.
    Up(usize, u32),
    /// A node that leaves has done with what it took, or its time is over.
    Leaves(usize, u32, Micros),
    GoesOn(usize),
    Lifts(u64),
    HealsNext(
        LinkSet,
        saffronpaddle_test_doubles::links::Fault,
        Vec<End>,
        u64,
        Duration,
    ),
    ListUp,
    Discovered,
    Drained(usize, Duration),
    Flips(usize),
    Back(usize),
    Speaks(usize),
    Quick,
}

/// A client's request, over its tries.
#[derive(Clone, Debug)]
struct Client {
    customer: usize,
    class: usize,
    key: Option<String>,
    patience: RetryState,
}

/// A request at a node that has no final answer.
struct Waiting {
    client: Client,
    sent: u32,
    /// Nobody counts its answer any more.
    given_up: bool,
}

struct Node {
    gateway: PolicyEngine,
    named: PlatformSettings,
    /// Counts its processes: what is under way to an earlier one is lost.
    life: u32,
    runs: bool,
    /// Whether the front deals it clients.
    open: bool,
    /// Since when it stands still, and what waits for it.
    still: Option<(Micros, Vec<Comes>)>,
    waits: BTreeMap<RequestId, Waiting>,
    /// Attempts that are out.
    out: BTreeMap<RequestId, (AttemptNumber, usize)>,
    /// When a connection to a server was last used.
    wires: HashMap<usize, Micros>,
    follower: Follower,
    words: (u64, u64),
    /// When its intake was last filled, and for how many words it has room.
    intake: (Micros, f64),
}

struct Virtual {
    scenario: Scenario,
    fleet: Fleet,
    customers: Vec<Customer>,
    terms: Option<PollLimits>,
    seed: u64,
    random: fastrand::Rng,
    now: Micros,
    began: Micros,
    queue: BTreeMap<(Micros, u64), Comes>,
    serial: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    slow: f64,
    service: Service,
    links: Links,
    ledger: Oracle,
    /// What modules of processes that have ended had counted.
    decided: BTreeMap<&'static str, u64>,
    processes: u64,
    words_bytes: u64,
    retries: u64,
    nobody: u64,
    /// How long served answers took, ms.
    took_ms: Vec<f64>,
    requests: u64,
}

/// Plays a scenario to its end. `operator` is the operator file of all nodes, of which the list service's terms, quotas and
/// the working set of servers count.
///
/// # Errors
/// The scenario asks for what there is not in virtual time, or the operator file is wrong.
pub fn play(scenario: Scenario, seed: u64, operator: &str) -> Result<Report> {
    ensure!(
        scenario.roster == Roster::Discovery
            && !scenario.steps.iter().any(|step| step.deed.of_processes()),
        "there is no etcd in virtual time, and no step that needs processes"
    );
    ensure!(
        scenario.leaves.share == 0.0 && scenario.absent_servers.is_empty(),
        "clients don't leave and servers don't join in virtual time"
    );
    let says = Operator::parse(operator)?;
    let mut run = Virtual::new(scenario, seed, says)?;
    run.run();
    Ok(run.report())
}

/// Bytes that a run needs, from above.
pub fn needs(scenario: &Scenario) -> u64 {
    let (nodes, servers) = (scenario.instances as f64, scenario.servers as f64);
    let fleet = Fleet::typical(scenario.instances);
    let offered: f64 = customers(scenario, &fleet, 0)
        .iter()
        .map(|customer| customer.rate)
        .sum();
    let tries = offered * scenario.duration.as_secs_f64() * TRIES;
    let node = NODE_BYTES + servers * SERVER_BYTES + nodes * PEER_BYTES;
    (nodes * node + tries * TRY_BYTES) as u64
}

impl Virtual {
    fn new(scenario: Scenario, seed: u64, says: Operator) -> Result<Virtual> {
        // What links and clients draw comes from the thread's own generator.
        fastrand::seed(seed);
        let fleet = Fleet::typical(scenario.instances);
        let customers = customers(&scenario, &fleet, seed);
        let mut ledger = Oracle::new(fleet.bounds.clone());
        customers
            .iter()
            .for_each(|customer| fleet.register_limits(&mut ledger, customer));
        let mut run = Virtual {
            random: fastrand::Rng::with_seed(seed),
            now: START,
            began: START + BEFORE,
            queue: BTreeMap::new(),
            serial: 0,
            nodes: Vec::new(),
            servers: Vec::new(),
            slow: 1.0,
            service: Service::of(&scenario),
            links: Links::default(),
            ledger,
            decided: BTreeMap::new(),
            processes: 0,
            words_bytes: 0,
            retries: 0,
            nobody: 0,
            took_ms: Vec::new(),
            requests: 0,
            scenario,
            fleet,
            customers,
            terms: says.list,
            seed,
        };
        run.begin_servers();
        for at in 0..run.scenario.instances {
            let mut named =
                setup::read(&run.fleet.settings(at).to_string()).map_err(anyhow::Error::new)?;
            (
                named.settings.partition_safe,
                named.settings.retransmission_budget,
            ) = (
                says.quotas.partition_safe,
                says.quotas.retransmission_budget,
            );
            named.settings.subsetting = says.servers.subsetting;
            let gateway = PolicyEngine::new(seed ^ at as u64, named.settings.clone(), run.now)?;
            let follower = Follower::new(run.scenario.instances as u32, run.terms.as_ref());
            run.nodes.push(Node {
                gateway,
                named,
                life: 0,
                runs: false,
                open: false,
                still: None,
                waits: BTreeMap::new(),
                out: BTreeMap::new(),
                wires: HashMap::new(),
                follower,
                words: (0, 0),
                intake: (0, 0.0),
            });
        }
        Ok(run)
    }

    fn since(&self) -> Duration {
        Duration::from_micros(self.now - START)
    }

    fn later(&mut self, after: Micros, comes: Comes) {
        self.serial += 1;
        self.queue.insert((self.now + after, self.serial), comes);
    }

    fn way(&mut self) -> Micros {
        self.random.u64(WAY)
    }

    fn run(&mut self) {
        for at in (0..self.nodes.len())
            .filter(|at| !self.scenario.absent.contains(at))
            .collect::<Vec<_>>()
        {
            self.start(at);
        }
        for customer in 0..self.customers.len() {
            let after = self.customers[customer].arrival_gap(self.random.f64());
            self.later(
                BEFORE + after.as_micros() as Micros,
                Comes::Arrival(customer),
            );
        }
        for step in 0..self.scenario.steps.len() {
            let at = self.scenario.steps[step].at.as_micros() as Micros;
            self.later(BEFORE + at, Comes::Step(step));
        }
        let end = self.began + self.scenario.duration.as_micros() as Micros + AFTER;
        while let Some(((at, _), comes)) = self.queue.pop_first() {
            self.now = at;
            if at > end || (at > end - AFTER && self.ledger.open_requests() == 0) {
                break;
            }
            self.comes(comes);
        }
    }

    fn comes(&mut self, comes: Comes) {
        if let Some(at) = Self::reader(&comes) {
            if let Some((_, unread)) = &mut self.nodes[at].still {
                let full = unread
                    .iter()
                    .filter(|comes| matches!(comes, Comes::Hears(..)))
                    .count()
                    >= UNREAD;
                if !(full && matches!(comes, Comes::Hears(..))) {
                    unread.push(comes);
                }
                return;
            }
        }
        match comes {
            Comes::Arrival(customer) => self.arrival(customer),
            Comes::Try(client) => self.tries(client),
            Comes::Wakes(at, life, token) => {
                if self.alive(at, life) {
                    self.tell(at, Event::TimerFired { token });
                }
            }
            Comes::Hears(at, from, bytes) => {
                if self.nodes[at].runs {
                    self.nodes[at].words.1 += 1;
                    self.tell(at, Event::PeerMessage { from, bytes });
                }
            }
            Comes::Reaches(flight) => self.reaches(flight),
            Comes::Done(flight, life) => self.done(flight, life),
            Comes::Replies(flight, outcome) => self.replies(&flight, outcome),
            Comes::List(at, life, comes) => {
                if self.alive(at, life) {
                    self.list(at, comes);
                }
            }
            Comes::Step(step) => {
                let deed = self.scenario.steps[step].deed.clone();
                self.deed(deed);
            }
            Comes::Opens(at, life, open) => {
                if self.alive(at, life) {
                    self.nodes[at].open = open;
                }
            }
            Comes::Up(at, life) => {
                if self.nodes[at].life == life {
                    self.up(at);
                }
            }
            Comes::Leaves(at, life, until) => {
                if self.alive(at, life) {
                    if self.nodes[at].waits.is_empty() || self.now >= until {
                        self.ends(at, Unanswered::Lost);
                        self.start(at);
                    } else {
                        self.later(20_000, Comes::Leaves(at, life, until));
                    }
                }
            }
            Comes::GoesOn(at) => self.goes_on(at),
            Comes::Lifts(number) => self.links.remove_fault(number),
            Comes::HealsNext(which, fault, mut ends, number, gap) => {
                self.links.remove_fault(number);
                let Some(_) = ends.pop() else { return };
                let rest: BTreeSet<End> = ends.iter().copied().collect();
                let healed: BTreeSet<End> = which.ends().difference(&rest).copied().collect();
                let number = self.links.add_fault(which.without(&healed), fault);
                self.later(
                    gap.as_micros() as Micros,
                    Comes::HealsNext(which, fault, ends, number, gap),
                );
            }
            Comes::ListUp => self.service.bears.down = false,
            Comes::Discovered => self.service.silent = false,
            Comes::Drained(server, lasts) => self.crash(server, lasts),
            Comes::Flips(server) => self.write(server, "ready"),
            Comes::Back(server) => self.back(server),
            Comes::Speaks(server) => self.servers[server].silent = false,
            Comes::Quick => self.slow = 1.0,
        }
    }

    /// The node whose process has to run for something to come about.
    fn reader(comes: &Comes) -> Option<usize> {
        match comes {
            Comes::Wakes(at, ..) | Comes::Hears(at, ..) | Comes::List(at, ..) => Some(*at),
            Comes::Replies(flight, _) => Some(flight.node),
            _ => None,
        }
    }

    fn alive(&self, at: usize, life: u32) -> bool {
        self.nodes[at].runs && self.nodes[at].life == life
    }

    // ---- Processes ----

    fn start(&mut self, at: usize) {
        let life = self.nodes[at].life;
        self.later(UP, Comes::Up(at, life));
    }

    fn up(&mut self, at: usize) {
        self.processes += 1;
        let number = self.serial;
        let (seed, terms) = (
            self.seed ^ (at as u64).wrapping_mul(0x9e37) ^ number,
            self.terms.clone(),
        );
        let (now, nodes) = (self.now, self.nodes.len() as u32);
        let node = &mut self.nodes[at];
        // The settings were good when the run began.
        if let Ok(gateway) = PolicyEngine::new(seed, node.named.settings.clone(), now) {
            node.gateway = gateway;
        }
        node.follower = Follower::new(nodes, terms.as_ref());
        (node.runs, node.intake) = (true, (0, 0.0));
        node.wires.clear();
        let life = node.life;
        self.tell(at, Event::EndpointsUnavailable);
        match self.scenario.known {
            Known::Nothing => {}
            Known::Fresh => self.knows(at, false),
            Known::Stale => self.knows(at, true),
        }
        let draw = self.random.f64();
        let first = terms.map_or(Duration::ZERO, |terms| {
            terms.first_call((at as u32, nodes), draw)
        });
        self.later(
            first.as_micros() as Micros,
            Comes::List(at, life, lists::Comes::Call),
        );
        let seen = if self.now < self.began { 0 } else { SEEN };
        self.later(seen, Comes::Opens(at, life, true));
    }

    /// Adds up what its module has counted.
    fn count(&mut self, at: usize) {
        for (name, count) in self.nodes[at].gateway.counters().by_name() {
            *self.decided.entry(name).or_default() += count;
        }
        *self.decided.entry("servers_looked_at").or_default() +=
            self.nodes[at].gateway.servers_examined();
    }

    /// Its process ends in this moment, with all that it held.
    fn ends(&mut self, at: usize, why: Unanswered) {
        let since = self.since();
        self.count(at);
        self.unwatch(at);
        let node = &mut self.nodes[at];
        (node.runs, node.open, node.still) = (false, false, None);
        node.life += 1;
        for (id, waiting) in std::mem::take(&mut node.waits) {
            if !waiting.given_up {
                self.ledger.request_unanswered(&id.0, why);
            }
        }
        for (id, _) in std::mem::take(&mut node.out) {
            self.ledger.attempt_canceled(since, &id.0);
        }
        self.ledger.node_restarted(at);
    }

    fn goes_on(&mut self, at: usize) {
        let Some((stopped, unread)) = self.nodes[at].still.take() else {
            return;
        };
        let (now, stopped) = (self.since(), Duration::from_micros(stopped - START));
        self.ledger.node_resumed(now, at, stopped);
        unread.into_iter().for_each(|comes| self.comes(comes));
        let life = self.nodes[at].life;
        self.later(SEEN, Comes::Opens(at, life, true));
    }

    // ---- Clients ----

    fn arrival(&mut self, customer: usize) {
        let end = self.began + self.scenario.duration.as_micros() as Micros;
        if self.now >= end {
            return;
        }
        let class = class_of(&self.fleet, self.random.f64());
        let keyed = self.fleet.classes[class].keyed;
        let key = keyed.then(|| format!("k{}", self.serial));
        let patience = RetryState::new(self.since(), keyed);
        self.tries(Client {
            customer,
            class,
            key,
            patience,
        });
        let gap = self.customers[customer].arrival_gap(self.random.f64());
        self.later(gap.as_micros() as Micros, Comes::Arrival(customer));
    }

    fn tries(&mut self, client: Client) {
        let customer = &self.customers[client.customer];
        let since = self.since();
        let mut nodes = customer.nodes(self.nodes.len(), since);
        let Some(at) = nodes.find(|node| self.nodes[*node].open) else {
            self.nobody += 1;
            return;
        };
        self.requests += 1;
        let id = RequestId(format!("t{}", self.requests).into());
        let class = &self.fleet.classes[client.class];
        let asked = SentRequest {
            id: id.0.to_string(),
            key: client.key.clone(),
            repeat_safety: if class.keyed {
                RepeatSafety::Keyed
            } else {
                RepeatSafety::Safe
            },
            node: at,
            customer: customer.id,
            units: 1.0,
            timeout: class.deadline,
        };
        self.ledger.request_sent(since, asked);
        if self.nodes[at].still.is_some() {
            self.ledger.request_unanswered(&id.0, Unanswered::Paused);
            return;
        }
        let tell = Event::RequestArrived {
            id: id.clone(),
            class: ClassId(client.class),
            plan: PlanId(customer.plan),
            customer: CustomerId(customer.id),
            units: 1.0,
            subset_first: NodeId(customer.first_node as u32),
            subset_size: customer.node_count as u32,
            timeout: class.deadline.as_micros() as Micros - DELIVERY,
            complete: true,
        };
        self.nodes[at].waits.insert(
            id,
            Waiting {
                client,
                sent: 0,
                given_up: false,
            },
        );
        self.tell(at, tell);
    }

    fn answered(&mut self, at: usize, id: &RequestId, answer: Answer, advice: Option<Micros>) {
        let Some(mut waiting) = self.nodes[at].waits.remove(id) else {
            return;
        };
        if waiting.given_up {
            return;
        }
        let since = self.since();
        self.ledger.response_received(since, &id.0, answer);
        if answer == Answer::Served {
            return;
        }
        if let Some(pause) = waiting
            .client
            .patience
            .next_delay(since, advice.map(Duration::from_micros))
        {
            self.retries += 1;
            self.later(pause.as_micros() as Micros, Comes::Try(waiting.client));
        }
    }

    // ---- The decision module ----

    fn tell(&mut self, at: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[at].gateway.handle(self.now, event, &mut out);
        for action in out {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: Action) {
        let life = self.nodes[at].life;
        match action {
            Action::SetTimer { after, token } => self.later(after, Comes::Wakes(at, life, token)),
            Action::SendToPeer { to, bytes } => self.word(at, to.0 as usize, bytes),
            Action::Broadcast { bytes } => {
                for to in (0..self.nodes.len()).filter(|to| *to != at) {
                    self.word(at, to, bytes.clone());
                }
            }
            Action::Reject {
                id,
                retry_after: retry_in,
            } => self.answered(at, &id, Answer::Refused, retry_in),
            Action::Fail { id } => self.answered(at, &id, Answer::Failed, None),
            Action::Send { id, server, .. } => self.sends(at, id, server),
            Action::Cancel { id, attempt } => {
                let same = |(number, _): &(AttemptNumber, usize)| *number == attempt;
                if self.nodes[at].out.get(&id).is_some_and(same) {
                    let since = self.since();
                    self.ledger.attempt_canceled(since, &id.0);
                    self.over(at, id, Outcome::Cancelled);
                }
            }
            Action::SendToSiblings(_) | Action::Subscribe | Action::Report(_) => {}
        }
    }

    /// An attempt that is out has ended.
    fn over(&mut self, at: usize, id: RequestId, outcome: Outcome) {
        let Some((attempt, server)) = self.nodes[at].out.remove(&id) else {
            return;
        };
        let now = self.now;
        match outcome {
            Outcome::Ok | Outcome::Rejected => _ = self.nodes[at].wires.insert(server, now),
            _ => _ = self.nodes[at].wires.remove(&server),
        }
        if outcome == Outcome::Ok {
            self.answered(at, &id, Answer::Served, None);
        }
        let closed = !self.nodes[at].waits.contains_key(&id);
        self.tell(
            at,
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                request_closed: closed,
            },
        );
    }

    fn sends(&mut self, at: usize, id: RequestId, to: ServerId) {
        let Some(waiting) = self.nodes[at].waits.get_mut(&id) else {
            return;
        };
        let attempt = AttemptNumber(waiting.sent);
        waiting.sent += 1;
        let server = to.0 as usize;
        self.nodes[at].out.insert(id.clone(), (attempt, server));
        let (way, life) = (self.way(), self.nodes[at].life);
        let flight = Flight {
            node: at,
            life,
            id,
            attempt,
            server,
            first: self.now + way,
        };
        self.fly(flight, way);
    }

    fn word(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.nodes[from].words.0 += 1;
        self.words_bytes += bytes.len() as u64;
        if to >= self.nodes.len() {
            return;
        }
        let fault = self.links.fault_between(End::Node(from), End::Node(to));
        for _ in 0..=usize::from(fastrand::f64() < fault.duplicated) {
            if fault.drops_datagram() || !self.takes_in(to) {
                continue;
            }
            let way = self.way() + fault.draw_delay().as_micros() as Micros;
            self.later(way, Comes::Hears(to, NodeId(from as u32), bytes.clone()));
        }
    }

    /// Whether a node's intake has room for one more word: so many a second, and as many at once.
    fn takes_in(&mut self, at: usize) -> bool {
        let most = self.nodes[at].named.settings.peer_messages_per_s;
        let (filled, level) = &mut self.nodes[at].intake;
        let span = self.now.saturating_sub(*filled) as f64 / 1e6;
        (*level, *filled) = ((*level + most * span).min(most), self.now);
        let takes = *level >= 1.0;
        *level -= f64::from(u8::from(takes));
        takes
    }

    // ---- Steps ----

    fn deed(&mut self, deed: Deed) {
        let us = |span: Duration| span.as_micros() as Micros;
        match deed {
            Deed::Start(at) if !self.nodes[at].runs => self.start(at),
            Deed::Restart(at) if self.nodes[at].runs => {
                let life = self.nodes[at].life;
                self.later(SEEN, Comes::Opens(at, life, false));
                self.later(
                    LEAVES,
                    Comes::Leaves(at, life, self.now + LEAVES + FINISHES),
                );
            }
            Deed::Kill(at, lasts) if self.nodes[at].runs => {
                self.ends(at, Unanswered::Killed);
                let life = self.nodes[at].life;
                self.later(us(lasts) + UP, Comes::Up(at, life));
            }
            Deed::Pause(at, lasts) if self.nodes[at].runs && self.nodes[at].still.is_none() => {
                let ids: Vec<RequestId> = self.nodes[at].waits.keys().cloned().collect();
                for id in ids {
                    self.ledger.request_unanswered(&id.0, Unanswered::Paused);
                    self.nodes[at]
                        .waits
                        .entry(id)
                        .and_modify(|waiting| waiting.given_up = true);
                }
                self.nodes[at].still = Some((self.now, Vec::new()));
                let life = self.nodes[at].life;
                if us(lasts) > SEEN_STILL {
                    self.later(SEEN_STILL, Comes::Opens(at, life, false));
                }
                self.later(us(lasts), Comes::GoesOn(at));
            }
            // The configuration stays the same here.
            Deed::Start(_)
            | Deed::Restart(_)
            | Deed::Kill(..)
            | Deed::Pause(..)
            | Deed::Reload(_) => {}
            Deed::Link(which, fault, lasts, heal_gap) => {
                let number = self.links.add_fault(which.clone(), fault);
                let Some(lasts) = lasts else { return };
                if heal_gap.is_zero() {
                    return self.later(us(lasts), Comes::Lifts(number));
                }
                let ends: Vec<End> = which.ends().into_iter().rev().collect();
                self.later(
                    us(lasts),
                    Comes::HealsNext(which, fault, ends, number, heal_gap),
                );
            }
            Deed::ListDown(lasts) => {
                self.service.bears.down = true;
                self.end_watches();
                self.later(us(lasts), Comes::ListUp);
            }
            Deed::ListBack(back) => {
                self.service.back(back);
                self.push();
            }
            Deed::Drain(server, lasts) => {
                self.write(server, "draining");
                let after = us(self.scenario.lateness + DRAINS_FOR);
                self.later(after, Comes::Drained(server, lasts));
            }
            Deed::Flip(server, lasts) => {
                self.write(server, "draining");
                self.later(us(lasts), Comes::Flips(server));
            }
            Deed::Crash(server, lasts) => self.crash(server, lasts),
            Deed::Silent(server, lasts) => {
                self.servers[server].silent = true;
                self.later(us(lasts), Comes::Speaks(server));
            }
            Deed::Slow(times, lasts) => {
                self.slow = times;
                self.later(us(lasts), Comes::Quick);
            }
            Deed::Undiscovered(lasts) => {
                self.service.silent = true;
                self.later(us(lasts), Comes::Discovered);
            }
            // Refused when the run began.
            Deed::Etcdcut(_) | Deed::Etcdfreeze(..) | Deed::Etcdcompact => {}
            Deed::Killearly(..)
            | Deed::Join(_)
            | Deed::Burst(..)
            | Deed::Crowd(..)
            | Deed::Terminate(..)
            | Deed::Resets(..)
            | Deed::Errors(..) => {}
        }
    }

    fn report(mut self) -> Report {
        let (began, duration) = (
            Duration::from_micros(self.began - START),
            self.scenario.duration,
        );
        let seconds = duration.as_secs_f64();
        for at in 0..self.nodes.len() {
            if self.nodes[at].runs {
                self.count(at);
            }
        }
        let capacities: Vec<(String, f64)> = self
            .servers
            .iter()
            .map(|server| (server.name.clone(), server.capacity()))
            .collect();
        let row = |node: &Node| Row {
            ready_ms: Vec::new(),
            processes: 0,
            memory_idle_mb: 0.0,
            memory_most_mb: 0.0,
            cpu_s: 0.0,
            sent_s: node.words.0 as f64 / seconds,
            received_s: node.words.1 as f64 / seconds,
        };
        self.took_ms.sort_by(f64::total_cmp);
        let took = at(&self.took_ms, &[0.5, 0.99]);
        let counts = LoadCounts {
            refused_connections: 0,
            resent: 0,
            retries: self.retries,
            no_ready_node: self.nobody,
            p50_ms: took[0],
            p99_ms: took[1],
        };
        Report {
            scenario: self.scenario.name.clone(),
            seed: self.seed,
            seconds,
            verdict: self.ledger.verdict(),
            counts,
            rows: self.nodes.iter().map(row).collect(),
            could_s: self
                .ledger
                .available_work(&capacities, began, began + duration),
            offered_s: duration.as_secs() as usize,
            windows: windows::cut(&self.ledger, &self.scenario.sides, began),
            list: self.service.calls.clone(),
            met: self.servers.iter().map(Server::met).collect(),
            too_long: 0,
            peer_bytes: self.words_bytes,
            processes: self.processes,
            reloads: 0,
            decided: self.decided.into_iter().collect(),
            faults: Vec::new(),
        }
    }

    /// Tells a node of servers.
    fn listed(&mut self, at: usize, kind: EndpointUpdate, entries: Vec<Endpoint>) {
        self.tell(
            at,
            Event::EndpointsChanged {
                update: kind,
                endpoints: entries,
            },
        );
    }
}
