//! Owns the decision module and all that it speaks of: the clock, the open requests and their attempts.
//! Only here is the module called; what it asks for is done in the order in which it asks.

use crate::config::List;
use crate::peers::Peers;
use crate::upstream::{Forward, Upstream};
use bytes::Bytes;
use saffronpaddle_decision::interface::{
    Action, AttemptNo, CellId, Event, GatewayId, ListKind, Micros, Outcome, RequestId, ServerEntry, ServerId,
    Standing, ZoneId,
};
use saffronpaddle_decision::setup::Named;
use saffronpaddle_decision::Gateway;
use saffronpaddle_roster::{Change, Entry, Merge, Source};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// The final answer to a client's request.
#[derive(Debug)]
pub enum Answer {
    Served(Bytes),
    Refused(Option<Duration>),
    Failed,
}

/// A request that has no final answer yet.
struct Pending {
    forward: Rc<Forward>,
    answer: oneshot::Sender<Answer>,
    attempts: u32,
}

/// Unix time in µs that never goes back: what discovery says of starts needs no conversion but of units.
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

pub struct Node {
    pub named: Named,
    pub upstream: Upstream,
    pub peers: Option<Peers>,
    clock: Clock,
    gateway: RefCell<Gateway>,
    requests: RefCell<HashMap<RequestId, Pending>>,
    /// Attempts that are out, one of a request at the most; a word, or its loss, calls one off.
    out: RefCell<HashMap<RequestId, (AttemptNo, oneshot::Sender<()>)>>,
    /// Where there is more than one source of the list.
    merge: RefCell<Option<Merge>>,
    /// When the module was last woken, as it had asked.
    woken: Cell<Instant>,
    /// When a source of the list last said something.
    list_heard: Cell<Option<Instant>>,
    /// Peers that were heard in this life, by their numbers.
    peers_heard: RefCell<BTreeSet<GatewayId>>,
}

impl Node {
    pub fn new(
        seed: u64, named: Named, upstream: Upstream, peers: Option<Peers>,
    ) -> anyhow::Result<Rc<Node>> {
        let clock = Clock::start();
        let gateway = Gateway::new(seed, named.settings.clone(), clock.now())?;
        Ok(Rc::new(Node {
            named,
            upstream,
            peers,
            clock,
            gateway: RefCell::new(gateway),
            requests: RefCell::default(),
            out: RefCell::default(),
            merge: RefCell::default(),
            woken: Cell::new(Instant::now()),
            list_heard: Cell::new(None),
            peers_heard: RefCell::default(),
        }))
    }

    /// Gives the module an event and does what it asks for. No action waits, and none makes an event at once:
    /// the module is never entered twice.
    pub fn post(self: &Rc<Self>, event: Event) {
        let mut actions = Vec::new();
        self.gateway.borrow_mut().handle(self.clock.now(), event, &mut actions);
        actions.into_iter().for_each(|action| self.apply(action));
    }

    /// Lets the module's clock begin, before any list is known.
    pub fn begin(self: &Rc<Self>) {
        self.post(Event::ListFailed);
    }

    /// How long ago the module was last woken.
    pub fn progressed(&self) -> Duration {
        self.woken.get().elapsed()
    }

    /// A source of the list has said something, if only that nothing has changed.
    pub fn heard_list(&self) {
        self.list_heard.set(Some(Instant::now()));
    }

    /// How long ago a source of the list last said something; `None` if none has yet.
    pub fn list_heard(&self) -> Option<Duration> {
        self.list_heard.get().map(|at| at.elapsed())
    }

    /// Hands a peer's datagram to the module.
    pub fn heard_peer(self: &Rc<Self>, from: GatewayId, bytes: Vec<u8>) {
        self.peers_heard.borrow_mut().insert(from);
        self.post(Event::Peer { from, bytes });
    }

    /// How many peers were heard in this life, and how many there are that speak unasked.
    pub fn peers_heard(&self) -> (usize, usize) {
        let all = self.named.settings.gateways.saturating_sub(1) as usize;
        let speak = self.peers.is_some() && self.gateway.borrow().tells_all();
        (self.peers_heard.borrow().len(), if speak { all } else { 0 })
    }

    fn apply(self: &Rc<Self>, action: Action) {
        match action {
            Action::Send { id, server, time_out } => self.send(id, server, time_out),
            Action::Refuse { id, retry_in } => {
                self.answer(&id, Answer::Refused(retry_in.map(Duration::from_micros)));
            }
            Action::Fail { id } => {
                self.answer(&id, Answer::Failed);
            }
            Action::Cancel { id, attempt } => {
                // Dropping the sender is the word; the attempt closes its connection, then reports.
                let mut out = self.out.borrow_mut();
                if out.get(&id).is_some_and(|(number, _)| *number == attempt) {
                    out.remove(&id);
                }
            }
            Action::TellAll { bytes } => self.peers.iter().for_each(|peers| peers.tell_all(&bytes)),
            Action::Tell { to, bytes } => self.peers.iter().for_each(|peers| peers.tell(to, &bytes)),
            Action::Wake { after, token } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    node.woken.set(Instant::now());
                    node.post(Event::Woke { token });
                });
            }
            Action::Follow => {} // discovery is always followed
            Action::Log(line) => eprintln!("{line}"),
        }
    }

    /// Takes a request in. `None` if its id is in use: two owners of one id would mix up their answers.
    pub fn take(self: &Rc<Self>, event: Event, forward: Forward) -> Option<oneshot::Receiver<Answer>> {
        let (answer, answered) = oneshot::channel();
        let id = forward.id.clone();
        if self.is_open(&id) || self.out.borrow().contains_key(&id) {
            return None;
        }
        let pending = Pending { forward: Rc::new(forward), answer, attempts: 0 };
        self.requests.borrow_mut().insert(id, pending);
        self.post(event);
        Some(answered)
    }

    /// Nobody waits for this request any more: its client is gone, or its time is up.
    pub fn abandon(self: &Rc<Self>, id: &RequestId) {
        if self.requests.borrow_mut().remove(id).is_some() {
            self.post(Event::Abandoned { id: id.clone() });
        }
    }

    fn is_open(&self, id: &RequestId) -> bool {
        self.requests.borrow().contains_key(id)
    }

    /// Answers a request, unless that has been done: the table entry is the right to answer.
    fn answer(&self, id: &RequestId, answer: Answer) {
        if let Some(pending) = self.requests.borrow_mut().remove(id) {
            // A client that has gone meanwhile takes no answer.
            let _ = pending.answer.send(answer);
        }
    }

    fn send(self: &Rc<Self>, id: RequestId, server: ServerId, time_out: Option<Micros>) {
        let (forward, attempt) = {
            let mut requests = self.requests.borrow_mut();
            // The module hears at once of each request that is answered or abandoned, and sends no such one.
            let Some(pending) = requests.get_mut(&id) else { return };
            pending.attempts += 1;
            (Rc::clone(&pending.forward), AttemptNo(pending.attempts - 1))
        };
        let limit = time_out.and_then(|span| Instant::now().checked_add(Duration::from_micros(span)));
        let until = limit.map_or(forward.deadline, |limit| limit.min(forward.deadline));
        let (call_off, called_off) = oneshot::channel();
        self.out.borrow_mut().insert(id.clone(), (attempt, call_off));
        let node = Rc::clone(self);
        tokio::task::spawn_local(async move {
            let open = || node.is_open(&id);
            let (outcome, body) = node.upstream.attempt(&forward, server, until, called_off, open).await;
            node.ended(id, attempt, outcome, body);
        });
    }

    /// The connection of the attempt is closed or free again by now, so that no two attempts are ever out.
    fn ended(self: &Rc<Self>, id: RequestId, attempt: AttemptNo, outcome: Outcome, body: Option<Bytes>) {
        self.out.borrow_mut().remove(&id);
        if let Some(body) = body {
            self.answer(&id, Answer::Served(body));
        }
        let closed = !self.is_open(&id);
        self.post(Event::Ended { id, attempt, outcome, closed });
    }

    /// Follows the platform's discovery.
    pub fn listed(self: &Rc<Self>, list: &List) {
        let entries = list.hosts.iter().map(Entry::from).collect();
        self.roster(Source::Discovery, Change { entries, told: Duration::ZERO, whole: list.whole });
    }

    /// Follows a source of the list. Where there are several, they are merged.
    pub fn roster(self: &Rc<Self>, source: Source, change: Change) {
        let change = match &mut *self.merge.borrow_mut() {
            Some(merge) => merge.take(source, change),
            None => change,
        };
        if !change.entries.is_empty() || change.whole {
            self.take_list(&change.entries, change.whole);
        }
    }

    /// The addresses first, so that nothing waiting for a connection goes to who left.
    fn take_list(self: &Rc<Self>, list: &[Entry], whole: bool) {
        let kind = if whole { ListKind::Complete } else { ListKind::Changes };
        let zone = |name: &String| self.named.zones.iter().position(|zone| zone == name);
        let entries = list.iter().map(|entry| ServerEntry {
            server: server_id(&entry.host),
            zone: ZoneId(zone(&entry.site).map_or(u32::MAX, |place| place as u32)),
            cell: CellId(entry.block),
            standing: match entry.standing {
                saffronpaddle_roster::Standing::Ready => Standing::Ready,
                saffronpaddle_roster::Standing::Draining => Standing::Draining,
                saffronpaddle_roster::Standing::Gone => Standing::Gone,
            },
            size: entry.share,
            started: (entry.born_ms > 0).then_some(entry.born_ms.saturating_mul(1000)),
        });
        let entries = entries.collect();
        let ready = |entry: &Entry| entry.standing == saffronpaddle_roster::Standing::Ready;
        let dials = list.iter().map(|entry| (server_id(&entry.host), entry.dial, ready(entry)));
        self.upstream.listed(whole, dials);
        self.post(Event::Servers { kind, entries });
    }

    /// Several sources of the list will be followed: from now on they are merged.
    pub fn merge_sources(&self) {
        self.merge.borrow_mut().get_or_insert_with(Merge::new);
    }
}

/// A server's id, the same at every edge node: FNV-1a of its name.
fn server_id(host: &str) -> ServerId {
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    ServerId(host.bytes().fold(0xcbf2_9ce4_8422_2325, step))
}
