//! A small world round an exchange: clients, servers, wires and a clock, each of which may do anything that is possible
//! at any time; and the ledger that judges what comes of it.

use saffronpaddle_exchange::{
    Bug, Command, ConnectionId, Event, Exchange, FinalAnswer, Limits, Policy, Ticket,
};
use saffronpaddle_policy::interface::{
    Action as ModuleAction, AttemptNumber, ClassId, CustomerId, DeduplicationDomainId,
    DeduplicationScope, Endpoint, EndpointStatus, Event as ModuleEvent, Idempotency, Micros,
    NodeId, Outcome, PlanId, RequestId, ServerId, ZoneId,
};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// What decides inside the exchange.
pub trait Inside: Clone {
    /// As the exchange has it.
    fn handle(&mut self, now: Micros, event: ModuleEvent, actions: &mut Vec<ModuleAction>);
    /// All that its future hangs on.
    fn digest(&self, hasher: &mut DefaultHasher);
    /// It decides nothing by itself: the world does anything in its name.
    fn anything(&self) -> bool;
}

/// No module at all. In its name the world does what any module might do, sensible or not.
#[derive(Clone, Debug)]
pub struct Anything;

impl Inside for Anything {
    fn handle(&mut self, _: Micros, _: ModuleEvent, _: &mut Vec<ModuleAction>) {}
    fn digest(&self, _: &mut DefaultHasher) {}
    fn anything(&self) -> bool {
        true
    }
}

/// The decision module itself.
#[derive(Clone)]
pub struct Real(pub saffronpaddle_policy::PolicyEngine);

impl Inside for Real {
    fn handle(&mut self, now: Micros, event: ModuleEvent, actions: &mut Vec<ModuleAction>) {
        self.0.handle(now, event, actions);
    }
    fn digest(&self, hasher: &mut DefaultHasher) {
        format!("{:?}", self.0).hash(hasher);
    }
    fn anything(&self) -> bool {
        false
    }
}

/// A module whose words are written down.
#[derive(Clone)]
struct Heard<M> {
    module: M,
    told: Vec<ModuleEvent>,
    asked: Vec<ModuleAction>,
}

impl<M: Inside> Policy for Heard<M> {
    fn handle(&mut self, now: Micros, event: ModuleEvent, actions: &mut Vec<ModuleAction>) {
        self.told.push(event.clone());
        let from = actions.len();
        self.module.handle(now, event, actions);
        self.asked.extend_from_slice(&actions[from..]);
    }
}

/// A change of the list of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Change {
    /// A server drains.
    Drains(u8),
    /// It is ready again, or for the first time.
    Returns(u8),
    /// It moves to an address that nobody had, and its old one passes to the other server.
    Moves(u8, u8),
}

/// Whether servers say an answer twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Copies {
    /// Never.
    None,
    /// Only right behind the answer, sooner than a connection settles.
    Prompt,
    /// At any time after it.
    Late,
}

/// A server: its zone and its cell.
pub type Server = (u32, u64);

/// The bounds of a world.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it is for.
    pub about: &'static str,
    /// The requests' effects; all are of one customer.
    pub requests: Vec<Idempotency>,
    /// All requests bear one id, one after the other.
    pub one_id: bool,
    /// The servers.
    pub servers: Vec<Server>,
    /// What happens to the list, in this order.
    pub changes: Vec<Change>,
    /// Attempts that a module may ask for, a request.
    pub sends: u8,
    /// What binds the exchange.
    pub bounds: Limits,
    /// How far a request's deadline lies from its coming, in steps.
    pub patience: u64,
    /// After so many steps the clock goes on only where nothing else happens.
    pub horizon: u64,
    /// µs in a step of the clock.
    pub step: Micros,
    /// Whether answers are said twice.
    pub copies: Copies,
    /// Answers bear their request's id, and the shell looks at it.
    pub echoed: bool,
    /// Servers and wires fail: resets, refusals, lacks.
    pub faults: bool,
    /// The clients may go.
    pub leave: bool,
    /// The node may be told to leave.
    pub stop: bool,
    /// The process may be told to stop at any time; it answers all that it has so many steps later.
    pub ends_after: Option<u64>,
    /// The module may call off at any time, and send with a time-out of one step.
    pub wild: bool,
    /// It may refuse and fail at any time.
    pub verdicts: bool,
    /// The requests are upgrades.
    pub upgrades: bool,
    /// Bodies go by as they come: the last byte of a request comes later than its head, or never.
    pub coming: bool,
    /// Servers may give long answers, which go by as they come.
    pub long: bool,
    /// The loop may come late: the clock goes on though an alarm is due.
    pub late: bool,
}

/// Something that happens. Wires are counted in the order in which they were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// A client's request has come whole.
    Asks(u8),
    /// Its client goes, or is done with the answer.
    Leaves(u8),
    /// Its last byte comes.
    Ends(u8),
    /// The rest of a long answer comes.
    Finishes(u8),
    /// The client of a long answer takes no more of it.
    Drops(u8),
    /// The module sends it to a server, for as long as the client waits or (`true`) for one step.
    Sends(u8, u8, bool),
    /// The module refuses it.
    Refuses(u8),
    /// The module fails it.
    Fails(u8),
    /// The module calls its attempt off.
    CallsOff(u8),
    /// A connect succeeds.
    Connects(u8),
    /// A connect fails.
    CantConnect(u8),
    /// A connect fails for a lack on this side.
    Lacks(u8),
    /// The machine takes bytes: the request's first would go.
    Begins(u8),
    /// The server runs what it got and answers so.
    Answers(u8, Reply),
    /// It says its last answer again.
    Repeats(u8),
    /// It ends the connection; `true` if what it had said before is lost with it.
    Resets(u8, bool),
    /// The node reads an answer.
    Reads(u8),
    /// The node sees an end, or bytes that it has not asked for.
    SeesEnd(u8),
    /// A connection that was to be closed is closed.
    Closes(u8),
    /// The next change of the list is told.
    Changes,
    /// The node is told to leave.
    Stops,
    /// The process is told when it ends.
    Ending,
    /// The clock goes on by a step.
    Passes,
    /// The alarm rings.
    Rings,
}

/// What a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reply {
    /// Served.
    Ok,
    /// An error: it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// Served, and the connection is a socket from now on.
    Upgrade,
    /// Served by an answer that goes by as it comes.
    Long,
}

impl Reply {
    /// What a server may answer to a request, or to an upgrade.
    fn all(setup: &Setup) -> &'static [Reply] {
        if setup.long {
            &[Reply::Long, Reply::Ok, Reply::Full]
        } else if setup.upgrades {
            &[Reply::Upgrade, Reply::Error, Reply::Full]
        } else {
            &[Reply::Ok, Reply::Error, Reply::Full]
        }
    }

    fn outcome(self) -> Outcome {
        match self {
            Reply::Ok | Reply::Upgrade | Reply::Long => Outcome::Ok,
            Reply::Error => Outcome::Error,
            Reply::Full => Outcome::Rejected,
        }
    }
}

/// A property that does not hold, and where that showed. The names are those of `docs/properties.md`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Which.
    pub property: &'static str,
    /// How it showed.
    pub how: String,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.property, self.how)
    }
}

fn breach<T>(property: &'static str, how: impl Into<String>) -> Result<T, Breach> {
    Err(Breach {
        property,
        how: how.into(),
    })
}

#[derive(Clone, Debug, Default, Hash)]
struct Client {
    asked: Option<Micros>,
    left: bool,
    ticket: u64,
    finals: u8,
    /// Attempts that were asked for, and those whose end was told, one bit each.
    sends: u32,
    ends: u32,
    /// The first attempt that may have run, and when its first byte was let through.
    ran: Option<(u8, Micros)>,
    /// The attempt that is out with bytes written.
    out: Option<Written>,
    /// Its last byte has come, and has been let go to a server.
    ended: bool,
    released: bool,
    /// Some of a body that is not kept has gone.
    spent: bool,
}

impl Client {
    /// When its request is ended, whatever the module says: sooner where the process does not last so long.
    fn last(&self, setup: &Setup, answer_by: Option<Micros>) -> Micros {
        let asked = self.asked.unwrap_or(0);
        let last = asked + setup.patience * setup.step + setup.bounds.answer_grace;
        answer_by.map_or(last, |end| last.min(end.max(asked)))
    }
}

/// An attempt of which bytes were written: its number, its wire, its server, and since when.
#[derive(Clone, Copy, Debug, Hash)]
struct Written {
    attempt: u32,
    link: ConnectionId,
    server: u8,
    at: Micros,
}

#[derive(Clone, Debug, Hash)]
struct Wire {
    server: u8,
    dial: u8,
    up: bool,
    /// The request that was made ready on it, and whether its first byte is out.
    carries: Option<(u8, bool)>,
    answered: bool,
    /// Answers under way to the node: whose, what.
    inbound: Vec<(u8, Reply)>,
    last: Option<(u8, Reply, Micros)>,
    repeated: bool,
    reset: bool,
    seen_end: bool,
    closing: bool,
    /// It carries a long answer, and whether its client takes no more.
    passing: bool,
    dropped: bool,
    /// It was answered before the request on it was whole.
    unfinished: bool,
}

/// One state of the world.
#[derive(Clone)]
pub struct World<M: Inside> {
    exchange: Exchange<u8, Heard<M>, Option<Bug>>,
    /// Steps of the clock since the start.
    clock: u64,
    clients: Vec<Client>,
    wires: BTreeMap<ConnectionId, Wire>,
    /// Address of each server, and whether it is ready, as the node was told.
    told: Vec<(u8, bool)>,
    changed: usize,
    stopped: bool,
    /// All is answered by then, as the process ends.
    answer_by: Option<Micros>,
    rung: bool,
    /// The module has just refused.
    refuses: bool,
    wakes: Vec<(Micros, u64)>,
    next_address: u8,
    /// What the last step brought about, for charts.
    pub notes: Vec<String>,
}

/// When worlds begin, µs.
const START: Micros = 1_000_000;

impl<M: Inside> World<M> {
    /// A world in which nothing has happened, but that the list was told.
    pub fn new(setup: &Setup, module: M, bug: Option<Bug>) -> World<M> {
        let heard = Heard {
            module,
            told: Vec::new(),
            asked: Vec::new(),
        };
        let mut exchange = Exchange::with_bugs(setup.bounds.clone(), heard, bug);
        let told: Vec<(u8, bool)> = (0..setup.servers.len())
            .map(|at| (at as u8, true))
            .collect();
        let entries = (0..told.len())
            .map(|at| (entry(setup, at, true), told[at].0))
            .collect();
        let mut commands = Vec::new();
        exchange.handle(
            START,
            Event::EndpointsChanged {
                snapshot: true,
                endpoints: entries,
            },
            &mut commands,
        );
        let mut world = World {
            exchange,
            clock: 0,
            clients: vec![Client::default(); setup.requests.len()],
            wires: BTreeMap::new(),
            next_address: told.len() as u8,
            told,
            changed: 0,
            stopped: false,
            answer_by: None,
            rung: false,
            refuses: false,
            wakes: Vec::new(),
            notes: Vec::new(),
        };
        // What the module asks for here is a wake-up at the most.
        let _ = world.carry_out(setup, commands, None);
        world.notes.clear();
        world
    }

    /// A hash of all that the future hangs on. 64 bits: of ten million states some two are taken for one with a
    /// probability of three in a million.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.exchange.digest(&mut hasher);
        self.exchange.policy().module.digest(&mut hasher);
        (
            self.clock,
            &self.told,
            self.changed,
            self.stopped,
            self.rung,
            &self.wakes,
        )
            .hash(&mut hasher);
        self.answer_by.hash(&mut hasher);
        let rank = |link: ConnectionId| self.wires.keys().position(|other| *other == link);
        for client in &self.clients {
            let out = client
                .out
                .map(|out| (out.attempt, rank(out.link), out.server, out.at));
            (client.asked, client.left, client.ticket, client.finals).hash(&mut hasher);
            (client.sends, client.ends, client.ran, out).hash(&mut hasher);
            (client.ended, client.released, client.spent).hash(&mut hasher);
        }
        self.wires.values().for_each(|wire| wire.hash(&mut hasher));
        hasher.finish()
    }

    fn now(&self, setup: &Setup) -> Micros {
        START + self.clock * setup.step
    }

    fn link(&self, rank: u8) -> Option<ConnectionId> {
        self.wires.keys().nth(usize::from(rank)).copied()
    }

    fn due(&self, setup: &Setup) -> bool {
        self.exchange
            .next_alarm()
            .is_some_and(|at| at <= self.now(setup))
    }

    /// All that may happen now.
    pub fn steps(&self, setup: &Setup) -> Vec<Step> {
        let mut steps = Vec::new();
        let free = self.exchange.policy().module.anything();
        for (at, client) in self.clients.iter().enumerate() {
            let r = at as u8;
            if client.asked.is_none() {
                let first = at == 0 || !setup.one_id || self.clients[at - 1].asked.is_some();
                // Same requests come in the order of their numbers: which is which makes no difference.
                let same = at > 0 && setup.requests[at] == setup.requests[at - 1];
                let turn = !same || self.clients[at - 1].asked.is_some();
                if first
                    && turn
                    && self.clock < setup.horizon
                    && !self.exchange.contains(&id(setup, r))
                {
                    steps.push(Step::Asks(r));
                }
                continue;
            }
            if !client.left
                && (if client.finals > 0 {
                    setup.one_id
                } else {
                    setup.leave
                })
            {
                steps.push(Step::Leaves(r));
            }
            let current = !setup.one_id
                || self
                    .clients
                    .get(at + 1)
                    .is_none_or(|next| next.asked.is_none());
            if free && current {
                let asked = client.sends.count_ones() as u8;
                if asked < setup.sends && client.finals == 0 {
                    for server in 0..setup.servers.len() as u8 {
                        steps.push(Step::Sends(r, server, false));
                        if setup.wild {
                            steps.push(Step::Sends(r, server, true));
                        }
                    }
                }
                if client.finals == 0 && setup.verdicts {
                    steps.extend([Step::Refuses(r), Step::Fails(r)]);
                }
                if client.sends != client.ends && setup.wild {
                    steps.push(Step::CallsOff(r));
                }
            }
        }
        for (at, wire) in self.wires.values().enumerate() {
            let l = at as u8;
            if wire.closing {
                steps.push(Step::Closes(l));
            }
            if !wire.up {
                if !wire.closing {
                    steps.push(Step::Connects(l));
                    if setup.faults {
                        steps.extend([Step::CantConnect(l), Step::Lacks(l)]);
                    }
                }
                continue;
            }
            let begun = matches!(wire.carries, Some((_, true)));
            let queued = matches!(wire.carries, Some((_, false)));
            if queued && !wire.closing {
                steps.push(Step::Begins(l));
            }
            if wire.passing && !wire.reset && !wire.dropped {
                steps.extend([Step::Finishes(l), Step::Drops(l)]);
            }
            if let Some((r, true)) = wire.carries {
                if setup.coming
                    && !self.clients[usize::from(r)].ended
                    && !wire.closing
                    && self.clock < setup.horizon
                {
                    steps.push(Step::Ends(r));
                }
            }
            if begun && !wire.answered && !wire.reset {
                let all = Reply::all(setup).iter();
                steps.extend(all.map(|reply| Step::Answers(l, *reply)));
            }
            if let (Some((_, _, when)), false, false) = (wire.last, wire.repeated, wire.reset) {
                let prompt = self.now(setup) < when + setup.bounds.reuse_delay;
                if setup.copies == Copies::Late || (setup.copies == Copies::Prompt && prompt) {
                    steps.push(Step::Repeats(l));
                }
            }
            if setup.faults && !wire.reset {
                steps.push(Step::Resets(l, false));
                if !wire.inbound.is_empty() {
                    steps.push(Step::Resets(l, true));
                }
            }
            if begun && !wire.inbound.is_empty() {
                // Also while it is being closed: what was read just before may come just after.
                steps.push(Step::Reads(l));
            }
            let unasked = !begun && !wire.inbound.is_empty();
            if (wire.reset || unasked) && !wire.seen_end && !wire.closing {
                steps.push(Step::SeesEnd(l));
            }
        }
        if self.changed < setup.changes.len() {
            steps.push(Step::Changes);
        }
        if setup.stop && !self.stopped {
            steps.push(Step::Stops);
        }
        if setup.ends_after.is_some() && self.answer_by.is_none() && self.clock < setup.horizon {
            steps.push(Step::Ending);
        }
        if self.due(setup) && !self.rung {
            steps.push(Step::Rings);
        }
        if self.clock < setup.horizon && (setup.late || self.rung || !self.due(setup)) {
            steps.push(Step::Passes);
        }
        steps
    }

    /// What happens if nobody does anything any more: connections that are being closed close, the alarm rings, and the
    /// clock goes on. Nothing once all is over.
    pub fn left_alone(&self, setup: &Setup) -> Option<Step> {
        if let Some(at) = self.wires.values().position(|wire| wire.closing) {
            return Some(Step::Closes(at as u8));
        }
        // A server goes on, or its end shows: that of a long answer which nobody cuts.
        if let Some(at) = self
            .wires
            .values()
            .position(|wire| wire.passing && !wire.dropped)
        {
            let (at, reset) = (
                at as u8,
                self.wires.values().nth(at).is_some_and(|wire| wire.reset),
            );
            return Some(if reset {
                Step::SeesEnd(at)
            } else {
                Step::Finishes(at)
            });
        }
        if self.due(setup) && !self.rung {
            return Some(Step::Rings);
        }
        let more = self.exchange.next_alarm().is_some() || self.rung;
        (more || self.exchange.table_sizes() != (0, 0)).then_some(Step::Passes)
    }

    /// Lets something happen.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn take(&mut self, setup: &Setup, step: Step) -> Result<(), Breach> {
        self.notes.clear();
        let now = self.now(setup);
        let mut commands = Vec::new();
        let mut read = None;
        let event = match step {
            Step::Passes => {
                self.clock += 1;
                self.rung = false;
                let now = self.now(setup);
                let (due, later) = self.wakes.iter().partition(|(at, _)| *at <= now);
                self.wakes = later;
                let due: Vec<(Micros, u64)> = due;
                for (_, token) in due {
                    let woke = Event::PolicyEvent(ModuleEvent::TimerFired { token });
                    self.exchange.handle(now, woke, &mut commands);
                }
                return self.carry_out(setup, commands, None);
            }
            Step::Rings => {
                self.rung = true;
                Event::TimerFired
            }
            Step::Asks(r) => {
                let at = usize::from(r);
                let patience = setup.patience * setup.step;
                self.clients[at].asked = Some(now);
                let tell = ModuleEvent::RequestArrived {
                    id: id(setup, r),
                    class: ClassId(class(setup.requests[at])),
                    plan: PlanId(0),
                    customer: CustomerId(7),
                    units: 1.0,
                    first: NodeId(0),
                    spread: 1,
                    timeout: patience,
                    complete: !setup.coming,
                };
                Event::RequestReceived {
                    effect: setup.requests[at],
                    deadline: now + patience,
                    policy_event: tell,
                }
            }
            Step::Leaves(r) => {
                let client = &mut self.clients[usize::from(r)];
                client.left = true;
                Event::ClientGone {
                    id: id(setup, r),
                    ticket: Ticket(client.ticket),
                }
            }
            Step::Ends(r) => {
                let client = &mut self.clients[usize::from(r)];
                client.ended = true;
                let patience = setup.patience * setup.step;
                if client.finals == 0 && !client.left {
                    client.asked = Some(now);
                }
                Event::BodyComplete {
                    id: id(setup, r),
                    ticket: Ticket(client.ticket),
                    deadline: now + patience,
                }
            }
            Step::Finishes(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                let Some(wire) = self.wires.get_mut(&link) else {
                    return Ok(());
                };
                wire.passing = false;
                if let Some((r, _)) = wire.carries.take_if(|_| !wire.closing) {
                    wire.answered = false;
                    self.over(r, link, true);
                }
                Event::ResponseComplete {
                    connection: link,
                    outcome: Outcome::Ok,
                }
            }
            Step::Drops(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                self.with(link, |wire| wire.dropped = true);
                Event::ResponseAbandoned { connection: link }
            }
            Step::Sends(r, server, short) => {
                let (id, server) = (id(setup, r), ServerId(u64::from(server)));
                let time_out = short.then_some(setup.step);
                return self.acts(
                    setup,
                    ModuleAction::Send {
                        id,
                        server,
                        timeout: time_out,
                    },
                );
            }
            Step::Refuses(r) => {
                return self.acts(
                    setup,
                    ModuleAction::Reject {
                        id: id(setup, r),
                        retry_after: None,
                    },
                );
            }
            Step::Fails(r) => return self.acts(setup, ModuleAction::Fail { id: id(setup, r) }),
            Step::CallsOff(r) => {
                let client = &self.clients[usize::from(r)];
                let last = (client.sends & !client.ends).checked_ilog2().unwrap_or(0);
                return self.acts(
                    setup,
                    ModuleAction::Cancel {
                        id: id(setup, r),
                        attempt: AttemptNumber(last),
                    },
                );
            }
            Step::Connects(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                self.with(link, |wire| wire.up = true);
                Event::Connected { connection: link }
            }
            Step::CantConnect(l) | Step::Lacks(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                self.wires.remove(&link);
                Event::ConnectFailed {
                    connection: link,
                    local_shortage: matches!(step, Step::Lacks(_)),
                }
            }
            Step::Begins(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                let wire = &self.wires[&link];
                Event::FirstByteReady {
                    connection: link,
                    quiet: wire.inbound.is_empty() && !wire.reset,
                }
            }
            Step::Answers(l, reply) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                self.with(link, |wire| {
                    wire.answered = true;
                    if let Some((r, _)) = wire.carries {
                        wire.inbound.push((r, reply));
                        wire.last = Some((r, reply, now));
                    }
                });
                return Ok(());
            }
            Step::Repeats(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                self.with(link, |wire| {
                    wire.repeated = true;
                    wire.inbound
                        .extend(wire.last.map(|(r, reply, _)| (r, reply)));
                });
                return Ok(());
            }
            Step::Resets(l, lost) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                self.with(link, |wire| {
                    wire.reset = true;
                    if lost {
                        wire.inbound.clear();
                    }
                });
                return Ok(());
            }
            Step::Reads(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                let Some(wire) = self.wires.get_mut(&link) else {
                    return Ok(());
                };
                let (of, reply) = wire.inbound.remove(0);
                let Some((r, _)) = wire.carries else {
                    return Ok(());
                };
                if setup.echoed && of != r {
                    Event::ConnectionLost { connection: link }
                } else {
                    let wire_closing = wire.closing;
                    read = Some((of, wire_closing));
                    let long = reply == Reply::Long;
                    let waits = self.clients[usize::from(r)].finals == 0
                        && !self.clients[usize::from(r)].left;
                    wire.passing = long && !wire_closing && waits;
                    wire.unfinished = setup.coming && !self.clients[usize::from(r)].released;
                    if !wire_closing && !long {
                        wire.carries = None;
                        wire.answered = false;
                        // Who answers before the last byte, and not that it was full, says that it has run.
                        self.over(r, link, reply != Reply::Full);
                    }
                    if reply == Reply::Upgrade {
                        if !wire_closing {
                            // The socket has it now.
                            self.wires.remove(&link);
                        }
                        Event::Upgraded { connection: link }
                    } else if long {
                        Event::ResponseStreaming { connection: link }
                    } else {
                        Event::ResponseComplete {
                            connection: link,
                            outcome: reply.outcome(),
                        }
                    }
                }
            }
            Step::SeesEnd(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                let Some(wire) = self.wires.get_mut(&link) else {
                    return Ok(());
                };
                wire.seen_end = true;
                match wire.carries {
                    Some((_, true)) if wire.inbound.is_empty() => {
                        Event::ConnectionLost { connection: link }
                    }
                    Some((_, false)) => Event::ConnectionLost { connection: link },
                    _ => Event::ClosedByPeer { connection: link },
                }
            }
            Step::Closes(l) => {
                let Some(link) = self.link(l) else {
                    return Ok(());
                };
                if let Some(Wire {
                    carries: Some((r, true)),
                    ..
                }) = self.wires.remove(&link)
                {
                    let whole = !setup.coming || self.clients[usize::from(r)].released;
                    self.over(r, link, whole);
                }
                Event::Closed { connection: link }
            }
            Step::Changes => {
                let change = setup.changes[self.changed];
                self.changed += 1;
                let touched = self.change(change);
                let entries = touched.into_iter().map(|at| {
                    let (address, ready) = self.told[at];
                    (entry(setup, at, ready), address)
                });
                Event::EndpointsChanged {
                    snapshot: false,
                    endpoints: entries.collect(),
                }
            }
            Step::Ending => {
                let answer_by = now + setup.ends_after.unwrap_or(0) * setup.step;
                self.answer_by = Some(answer_by);
                Event::ShutdownAnnounced { answer_by }
            }
            Step::Stops => {
                self.stopped = true;
                Event::Stop
            }
        };
        if let Step::Asks(r) = step {
            self.clients[usize::from(r)].ticket = self.exchange.next_ticket().0;
        }
        self.exchange.handle(now, event, &mut commands);
        self.carry_out(setup, commands, read)?;
        if step == Step::Rings && self.due(setup) {
            return breach("liveness", "the alarm rings again at once");
        }
        Ok(())
    }

    fn with(&mut self, link: ConnectionId, change: impl FnOnce(&mut Wire)) {
        if let Some(wire) = self.wires.get_mut(&link) {
            change(wire);
        }
    }

    fn change(&mut self, change: Change) -> Vec<usize> {
        match change {
            Change::Drains(at) => {
                self.told[usize::from(at)].1 = false;
                vec![usize::from(at)]
            }
            Change::Returns(at) => {
                self.told[usize::from(at)].1 = true;
                vec![usize::from(at)]
            }
            Change::Moves(at, other) => {
                let (at, other) = (usize::from(at), usize::from(other));
                self.told[other].0 = self.told[at].0;
                self.told[at].0 = self.next_address;
                self.next_address += 1;
                vec![at, other]
            }
        }
    }

    /// The module does something of its own accord.
    fn acts(&mut self, setup: &Setup, action: ModuleAction) -> Result<(), Breach> {
        let mut commands = Vec::new();
        self.exchange.policy_mut().asked.push(action.clone());
        let now = self.now(setup);
        self.refuses = matches!(action, ModuleAction::Reject { .. });
        self.exchange.act(now, action, &mut commands);
        let done = self.carry_out(setup, commands, None);
        self.refuses = false;
        done
    }

    /// The attempt of a request with bytes written is over.
    fn over(&mut self, r: u8, link: ConnectionId, may_have_run: bool) {
        let client = &mut self.clients[usize::from(r)];
        if let Some(out) = client.out.take_if(|out| out.link == link) {
            if may_have_run {
                client.ran.get_or_insert((out.server, out.at));
            }
        }
    }

    /// Which client a request's id means now.
    fn client(&self, setup: &Setup, id: &RequestId) -> Option<u8> {
        let mut mine = (0..self.clients.len() as u8)
            .rev()
            .filter(|r| self::id(setup, *r) == *id);
        mine.find(|r| self.clients[usize::from(*r)].asked.is_some())
    }

    /// Carries commands out as a shell does, and judges them.
    fn carry_out(
        &mut self,
        setup: &Setup,
        commands: Vec<Command<u8>>,
        read: Option<(u8, bool)>,
    ) -> Result<(), Breach> {
        let now = self.now(setup);
        self.hear(setup)?;
        for command in commands {
            if !matches!(command, Command::ForPolicy(_)) {
                self.notes.push(format!("{command:?}"));
            }
            match command {
                Command::Connect {
                    connection: link,
                    address: dial,
                } => {
                    let at = self
                        .told
                        .iter()
                        .position(|(address, ready)| *address == dial && *ready);
                    let Some(server) = at else {
                        return breach("drain", "a connect to who is not ready there");
                    };
                    let wire = Wire {
                        server: server as u8,
                        dial,
                        up: false,
                        carries: None,
                        answered: false,
                        inbound: Vec::new(),
                        last: None,
                        repeated: false,
                        reset: false,
                        seen_end: false,
                        closing: false,
                        passing: false,
                        dropped: false,
                        unfinished: false,
                    };
                    if self.wires.len() >= setup.bounds.max_connections {
                        return breach("resources", "more connections than may be");
                    }
                    self.wires.insert(link, wire);
                }
                Command::Send {
                    connection: link,
                    id,
                    ..
                } => {
                    let r = self.client(setup, &id);
                    let Some(wire) = self.wires.get_mut(&link) else {
                        return breach("one owner", "a request on a connection that is none");
                    };
                    if !wire.up || wire.closing || wire.carries.is_some() {
                        return breach("one owner", "a request on a connection that is not free");
                    }
                    (wire.carries, wire.answered) = (r.map(|r| (r, false)), false);
                }
                Command::Write { connection: link } => self.written(setup, link)?,
                Command::ReleaseBody { connection: link } => self.released(link)?,
                Command::Close { connection: link } => {
                    let Some(wire) = self.wires.get_mut(&link) else {
                        return breach("resources", "a connection that is none is closed");
                    };
                    if std::mem::replace(&mut wire.closing, true) {
                        return breach("resources", "a connection is closed twice");
                    }
                    if wire.passing && !wire.reset && !wire.dropped {
                        return breach(
                            "uncut",
                            "an answer that goes by is cut off, and its client takes it",
                        );
                    }
                }
                Command::Answer {
                    id,
                    answer: verdict,
                } => {
                    let Some(r) = self.client(setup, &id) else {
                        return breach("one answer", "an answer to nobody");
                    };
                    let client = &mut self.clients[usize::from(r)];
                    client.finals += 1;
                    if client.finals > 1 {
                        return breach("one answer", format!("request {r} is answered twice"));
                    }
                    let last = client.last(setup, self.answer_by);
                    let in_time = if verdict == FinalAnswer::Served {
                        now < last
                    } else {
                        now <= last || setup.late
                    };
                    if !in_time {
                        return breach(
                            "in time",
                            format!("request {r} is answered after its deadline"),
                        );
                    }
                    let maybe = client.ran.is_some()
                        || (client.out.is_some() && (client.released || !setup.coming));
                    // Of a body that has not gone whole nothing has run, and the client is told so, if the module says so.
                    let wanted = self.refuses && matches!(verdict, FinalAnswer::Failed);
                    if setup.coming && wanted && !maybe && now < last {
                        return breach(
                            "refusal",
                            format!("request {r} has never run, and its refusal fails"),
                        );
                    }
                    let held = maybe && !refusable(setup.requests[usize::from(r)]);
                    if matches!(verdict, FinalAnswer::Rejected(_)) && held {
                        return breach(
                            "refusal",
                            format!("request {r} is refused and may have run"),
                        );
                    }
                    if verdict == FinalAnswer::Served && read == Some((r, true)) {
                        return breach(
                            "own answer",
                            format!("request {r} is served by what was called off"),
                        );
                    }
                    if verdict == FinalAnswer::Served && read != Some((r, false)) {
                        return breach(
                            "own answer",
                            format!("request {r} gets what is not its answer"),
                        );
                    }
                }
                Command::ForPolicy(ModuleAction::SetTimer { after, token }) => {
                    self.wakes.push((now + after, token));
                    self.wakes.sort_unstable();
                }
                Command::ForPolicy(_) => {}
            }
        }
        if self
            .wires
            .values()
            .any(|wire| wire.unfinished && !wire.closing)
        {
            return breach(
                "whole",
                "a connection is kept though the request on it never went whole",
            );
        }
        self.exchange
            .consistent()
            .or_else(|what| breach("tables", what))?;
        let links = self.exchange.table_sizes().1;
        if links != self.wires.len() {
            return breach(
                "resources",
                format!("{links} connections counted, {} there", self.wires.len()),
            );
        }
        Ok(())
    }

    /// What the module was told, and what it asked for.
    fn hear(&mut self, setup: &Setup) -> Result<(), Breach> {
        let now = self.now(setup);
        let told = std::mem::take(&mut self.exchange.policy_mut().told);
        let asked = std::mem::take(&mut self.exchange.policy_mut().asked);
        for action in asked {
            let ModuleAction::Send { id, .. } = &action else {
                continue;
            };
            self.notes.push(format!("{action:?}"));
            if let Some(r) = self.client(setup, id) {
                let client = &mut self.clients[usize::from(r)];
                // What is answered, abandoned or past its time is owed nothing.
                let last = client.last(setup, self.answer_by);
                if client.finals == 0 && !client.left && now < last {
                    client.sends |= 1 << client.sends.count_ones();
                }
            }
        }
        for event in told {
            match event {
                ModuleEvent::AttemptEnded {
                    id,
                    attempt,
                    outcome,
                    request_closed: closed,
                } => {
                    self.notes.push(format!(
                        "module hears: attempt {} ended, {outcome:?}, closed {closed}",
                        attempt.0
                    ));
                    let Some(r) = self.client(setup, &id) else {
                        continue;
                    };
                    let client = &mut self.clients[usize::from(r)];
                    let bit = 1 << attempt.0;
                    if client.ends & bit != 0 || client.sends & bit == 0 {
                        return breach(
                            "one end",
                            format!("an end of attempt {} of {r} too many", attempt.0),
                        );
                    }
                    client.ends |= bit;
                    if client.out.is_some_and(|out| out.attempt == attempt.0) {
                        return breach(
                            "honest end",
                            format!("an attempt of {r} ends {outcome:?} and is still out"),
                        );
                    }
                }
                ModuleEvent::RequestAbandoned { .. } => {
                    self.notes.push("module hears: abandoned".to_owned());
                }
                _ => {}
            }
        }
        Ok(())
    }

    /// The first byte of a request goes out.
    fn written(&mut self, setup: &Setup, link: ConnectionId) -> Result<(), Breach> {
        let now = self.now(setup);
        let Some(wire) = self.wires.get_mut(&link) else {
            return breach("one owner", "bytes on no connection");
        };
        let Some((r, begun)) = &mut wire.carries else {
            return breach("one owner", "bytes of no request");
        };
        *begun = true;
        let (r, server) = (*r, wire.server);
        if !wire.inbound.is_empty() || wire.reset {
            return breach(
                "quiet",
                "a request on a connection on which something waits",
            );
        }
        let (address, ready) = self.told[usize::from(server)];
        if !ready {
            return breach(
                "drain",
                format!("bytes of {r} to server {server}, which drains"),
            );
        }
        if address != wire.dial {
            return breach(
                "address",
                format!("bytes of {r} for server {server} to an address it has left"),
            );
        }
        let client = &mut self.clients[usize::from(r)];
        if client.out.is_some() {
            return breach("one attempt", format!("two attempts of {r} are out"));
        }
        if client.finals > 0 || client.left {
            return breach(
                "one attempt",
                format!("bytes of {r}, for which nobody waits"),
            );
        }
        if let Some((first, at)) = client.ran {
            let (old, new) = (
                setup.servers[usize::from(first)],
                setup.servers[usize::from(server)],
            );
            let may = match setup.requests[usize::from(r)] {
                Idempotency::Idempotent => true,
                Idempotency::NonIdempotent => false,
                Idempotency::WithKey {
                    scope: group,
                    window,
                } => {
                    let inside = match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => old.0 == new.0,
                        DeduplicationScope::Domain => old.1 == new.1,
                    };
                    inside && now <= at + window
                }
            };
            if !may {
                return breach(
                    "one effect",
                    format!("bytes of {r} again, and it may have run"),
                );
            }
        }
        if client.spent {
            return breach(
                "kept body",
                format!("bytes of {r} again, whose body is gone"),
            );
        }
        client.spent = setup.coming;
        // All attempts but this one have ended.
        let attempt = (client.sends & !client.ends).trailing_zeros();
        client.out = Some(Written {
            attempt,
            link,
            server,
            at: now,
        });
        Ok(())
    }

    /// The last piece of a body goes out.
    fn released(&mut self, link: ConnectionId) -> Result<(), Breach> {
        let Some(wire) = self.wires.get(&link).filter(|wire| !wire.closing) else {
            return breach(
                "one owner",
                "the last piece of a body on a connection that is none",
            );
        };
        let Some((r, true)) = wire.carries else {
            return breach("one owner", "the last piece of no request");
        };
        let client = &mut self.clients[usize::from(r)];
        if client.finals > 0 || client.left {
            return breach(
                "one attempt",
                format!("the last piece of {r}, for which nobody waits"),
            );
        }
        if !client.ended || std::mem::replace(&mut client.released, true) {
            return breach(
                "whole",
                format!("the last piece of {r}, which has not come or has gone"),
            );
        }
        Ok(())
    }

    /// What must hold once nothing is left to happen.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn over_and_done(&self) -> Result<(), Breach> {
        for (r, client) in self
            .clients
            .iter()
            .enumerate()
            .filter(|(_, client)| client.asked.is_some())
        {
            if client.finals == 0 && !client.left {
                return breach("liveness", format!("request {r} is never answered"));
            }
            if client.sends != client.ends && client.finals == 0 && !client.left {
                return breach(
                    "one end",
                    format!("the module never hears of the end of an attempt of {r}"),
                );
            }
        }
        if self.exchange.table_sizes() != (0, 0) || !self.wires.is_empty() {
            return breach(
                "resources",
                format!(
                    "{:?} requests and connections are kept",
                    self.exchange.table_sizes()
                ),
            );
        }
        Ok(())
    }

    /// After a stop, when connections have closed, only those with an attempt may be left.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn left_after_stop(&self) -> Result<(), Breach> {
        let idle = self
            .wires
            .values()
            .any(|wire| !wire.closing && wire.up && wire.carries.is_none());
        if self.stopped && idle {
            return breach("resources", "a connection is kept though the node leaves");
        }
        Ok(())
    }

    /// The module's ends: each attempt that was asked for has had one, when no attempt is out.
    ///
    /// # Errors
    /// The property that does not hold.
    pub fn ends_are_told(&self, setup: &Setup) -> Result<(), Breach> {
        for (r, client) in self.clients.iter().enumerate() {
            let later = setup.one_id
                && self
                    .clients
                    .get(r + 1)
                    .is_some_and(|next| next.asked.is_some());
            if !later && client.sends != client.ends && !self.exchange.contains(&id(setup, r as u8))
            {
                return breach(
                    "one end",
                    format!("an attempt of {r} is forgotten and its end was not told"),
                );
            }
        }
        Ok(())
    }

    /// Steps of the clock since the start.
    pub fn clock(&self) -> u64 {
        self.clock
    }
}

fn refusable(effect: Idempotency) -> bool {
    matches!(
        effect,
        Idempotency::Idempotent
            | Idempotency::WithKey {
                scope: DeduplicationScope::All,
                ..
            }
    )
}

fn id(setup: &Setup, r: u8) -> RequestId {
    RequestId(if setup.one_id {
        "r".into()
    } else {
        format!("r{r}").into()
    })
}

/// The place of an effect among the classes that the real module is given.
pub(crate) fn class(effect: Idempotency) -> usize {
    match effect {
        Idempotency::Idempotent => 0,
        Idempotency::WithKey { .. } => 1,
        Idempotency::NonIdempotent => 2,
    }
}

fn entry(setup: &Setup, at: usize, ready: bool) -> Endpoint {
    let (zone, cell) = setup.servers[at];
    Endpoint {
        server: ServerId(at as u64),
        zone: ZoneId(zone),
        domain: DeduplicationDomainId(cell),
        status: if ready {
            EndpointStatus::Ready
        } else {
            EndpointStatus::Draining
        },
        size: 1.0,
        started_at: None,
    }
}
