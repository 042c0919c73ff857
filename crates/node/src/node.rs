//! Owns the exchange, with the decision module inside, and carries out what it asks for: the clock, the alarm, and
//! whose answer goes where. Only here is the exchange entered.

use crate::alarm::Alarm;
use crate::bodies::StreamedResponseBody;
use crate::config::{Health, Host, List};
use crate::discovery::WatchStatuses;
use crate::endpoints::server_entry;
use crate::hot_restart::ProcessLinks;
use crate::peers::Peers;
use crate::upstream::{Forward, Upstream};
use crate::websocket::{UpgradedConnection, WebsocketProxy};
use anyhow::Context;
use bytes::Bytes;
use hyper::StatusCode;
use saffronpaddle_admin::{Metrics, PeerMessageCounts, RequestEnd};
use saffronpaddle_endpoints::{EndpointRecord, EndpointUpdate, Merge, Source};
use saffronpaddle_exchange::{
    Command, Event, Exchange, FinalAnswer, Invariant, Limits, OpenRequest, Ticket, Violation,
};
use saffronpaddle_policy::interface::{
    Action, ClassId, Endpoint, EndpointStatus, Event as ModuleEvent, Micros, NodeId, RequestId,
};
use saffronpaddle_policy::setup::NamedSettings;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::time::Instant;
use tracing::{debug, error, info};

/// Rounds of the loop between an alarm and what comes of it: the driver's, the connection's, the exchange's.
const LATE_TIMER_ROUNDS: usize = 3;

static NEXT_NUMBER: AtomicU64 = AtomicU64::new(0);

thread_local! {
    /// Nodes of this thread, by their numbers.
    static NODES: RefCell<HashMap<u64, Weak<Node>>> = RefCell::default();
}

impl Drop for Node {
    fn drop(&mut self) {
        // At the end of the thread it may have gone already.
        let _ = NODES.try_with(|here| here.borrow_mut().remove(&self.number));
    }
}

/// The final answer to a client's request.
#[derive(Debug)]
pub enum Answer {
    Served(Payload),
    Rejected(Option<Duration>),
    Failed,
}

/// What a server answered.
#[derive(Debug)]
pub enum Payload {
    /// A body, to a request.
    Body(Bytes),
    /// A body that goes by, to a request.
    Streaming(Box<StreamedResponseBody>),
    /// A refusal of its own, to an upgrade.
    UpgradeRejected(StatusCode, Bytes),
    /// A socket, to an upgrade.
    Upgraded(Box<UpgradedConnection>),
}

/// A request that has no final answer yet.
struct Pending {
    ticket: Ticket,
    forward: Rc<Forward>,
    answer: oneshot::Sender<Answer>,
}

/// Unix time in µs that never goes back: what discovery says of starts needs no conversion but of units.
pub struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            unix: unix.as_micros() as Micros,
        }
    }

    pub fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }
}

pub struct Node {
    pub named: NamedSettings,
    pub upstream: Upstream,
    pub peers: Option<Peers>,
    /// Other processes of this node.
    pub links: ProcessLinks,
    /// What discovery has to say.
    pub watch_statuses: WatchStatuses,
    /// Sockets, where the operator has them.
    pub websockets: Option<WebsocketProxy>,
    /// Connections to app servers that the node may have.
    each_side: usize,
    /// Which of this process's nodes it is.
    number: u64,
    clock: Clock,
    exchange: RefCell<Exchange<SocketAddr, PolicyEngine>>,
    /// Whose answer goes where.
    requests: RefCell<HashMap<RequestId, Pending>>,
    alarm: Alarm,
    /// Where there is more than one source of the list.
    merge: RefCell<Option<Merge>>,
    /// When the module was last woken, as it had asked.
    last_timer_at: Cell<Instant>,
    /// When a source of the list last said something.
    list_age: Cell<Option<Instant>>,
    /// The list as discovery last told it, for this process's heir.
    recorded_list: RefCell<(u64, BTreeMap<String, Host>)>,
    /// Peers that were heard in this life, by their numbers.
    reachable_peers: RefCell<BTreeSet<NodeId>>,
    /// The process was told to stop, and answers all that it has by then.
    answer_by: Cell<Option<Instant>>,
}

impl Node {
    /// A node that may have so many connections to app servers open.
    pub fn new(
        seed: u64,
        named: NamedSettings,
        upstream: Upstream,
        bounds: (usize, ProcessLinks),
        peers: Option<Peers>,
        sockets: Option<saffronpaddle_operator_config::Sockets>,
        kept: Option<(StateSnapshot, u32)>,
    ) -> anyhow::Result<Rc<Node>> {
        let (each_side, links) = bounds;
        let clock = Clock::start();
        let websockets = match sockets {
            Some(says) => {
                let class = named.classes.iter().position(|class| *class == says.class);
                let class = class.with_context(|| {
                    format!("sockets.class: there is no class {:?}", says.class)
                })?;
                Some(WebsocketProxy::new(ClassId(class), says, clock.now()))
            }
            None => None,
        };
        let mut gateway = PolicyEngine::new(seed, named.settings.clone(), clock.now())?;
        kept.into_iter()
            .for_each(|(kept, link)| gateway.restore(kept, link));
        let bounds = Limits::for_node(each_side, named.server_idle_timeout, named.connect_timeout);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let node = Rc::new(Node {
            named,
            upstream,
            peers,
            links,
            watch_statuses: WatchStatuses::default(),
            websockets,
            each_side,
            number,
            clock,
            exchange: RefCell::new(Exchange::new(bounds, gateway)),
            requests: RefCell::default(),
            alarm: Alarm::new(),
            merge: RefCell::default(),
            last_timer_at: Cell::new(Instant::now()),
            list_age: Cell::new(None),
            recorded_list: RefCell::default(),
            reachable_peers: RefCell::default(),
            answer_by: Cell::default(),
        });
        NODES.with_borrow_mut(|here| here.insert(number, Rc::downgrade(&node)));
        Ok(node)
    }

    /// This process's node of a number, if it runs in this thread: the way back from what must not hold a node itself.
    pub fn by_number(number: u64) -> Option<Rc<Node>> {
        NODES.with_borrow(|here| here.get(&number).and_then(Weak::upgrade))
    }

    /// Its number, for [`Node::by_number`].
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Its time, µs.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Tells the exchange what happened, and does what it asks for. No command waits, and none makes an event at once:
    /// the exchange is never entered twice. A payload goes with the answer that it belongs to.
    pub fn handle(self: &Rc<Self>, event: Event<SocketAddr>, payload: Option<Payload>) {
        let mut commands = Vec::new();
        debug!(?event, "exchange");
        self.exchange
            .borrow_mut()
            .handle(self.clock.now(), event, &mut commands);
        self.log_violations();
        self.alarm.set(self.exchange.borrow().next_alarm());
        let mut payload = payload;
        commands
            .into_iter()
            .for_each(|command| self.carry_out(command, &mut payload));
    }

    /// Hears of answers that went by and that nobody takes any more, for ever.
    pub async fn handle_abandoned_responses(self: Rc<Self>) {
        let Some(mut left) = self.upstream.left() else {
            return;
        };
        while let Some(link) = left.recv().await {
            self.handle(Event::ResponseAbandoned { connection: link }, None);
        }
    }

    /// Rings when the exchange asks for it, for ever.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            self.alarm
                .rings(|| self.exchange.borrow().next_alarm(), || self.clock.now())
                .await;
            // Guards against blaming a server for an answer that this node was late to read: what the machine holds is
            // read first.
            for _ in 0..LATE_TIMER_ROUNDS {
                tokio::task::yield_now().await;
            }
            self.handle(Event::TimerFired, None);
        }
    }

    /// The process was told to stop: all that the node has taken, and all that it takes from now on, is answered by then.
    pub fn announce_shutdown(self: &Rc<Self>, end: Instant) {
        let earlier = self.answer_by.get().is_some_and(|earlier| earlier <= end);
        if !earlier {
            self.answer_by.set(Some(end));
        }
        let left = end.saturating_duration_since(Instant::now()).as_micros() as Micros;
        self.handle(
            Event::ShutdownAnnounced {
                answer_by: self.clock.now() + left,
            },
            None,
        );
    }

    /// How long a server that gets a request now has to answer: no longer than the client waits, nor than the process lasts.
    pub fn time_left(&self, forward: &Forward) -> Duration {
        let until = self
            .answer_by
            .get()
            .map_or(forward.deadline, |end| forward.deadline.min(end));
        until.saturating_duration_since(Instant::now())
    }

    /// The process ends: requests without an answer are violations, and told as such.
    pub fn process_exits(&self) {
        self.exchange.borrow_mut().process_exits();
        self.log_violations();
    }

    /// Tells the log of invariants that did not hold.
    fn log_violations(&self) {
        for Violation { invariant, request } in self.exchange.borrow_mut().take_violations() {
            error!(
                invariant = invariant.name(),
                request = &*request.0,
                "an invariant does not hold"
            );
        }
    }

    /// The node leaves: no connection to a server is kept any more.
    pub fn stop(self: &Rc<Self>) {
        self.handle(Event::Stop, None);
        if let Some(websockets) = &self.websockets {
            websockets.stop(self.now());
        }
    }

    /// How many servers are ready.
    pub fn ready(&self) -> usize {
        self.exchange.borrow().ready_servers()
    }

    /// The requests that have no final answer yet; those that have been open longest first.
    pub fn open_requests(&self) -> Vec<OpenRequest> {
        let mut open: Vec<OpenRequest> = self.exchange.borrow().open_requests().collect();
        open.sort_by_key(|request| request.deadline);
        open
    }

    /// The figures as staff are told them.
    #[allow(clippy::redundant_closure_for_method_calls)] // The method is not general over its lifetime.
    pub fn figures(&self) -> String {
        self.with_figures(|figures| figures.exposition())
    }

    /// Tells the log the figures so often, for ever.
    pub async fn log_counts(self: Rc<Self>, every: Option<Duration>) {
        let Some(every) = every else { return };
        let born = Instant::now();
        let me = self.named.settings.node.0;
        loop {
            tokio::time::sleep(every).await;
            let at_ms = born.elapsed().as_millis() as u64;
            let line = self.with_figures(|figures| figures.log_line(me, at_ms));
            // `fleet counts` reads these lines, at every level of the log: they are records, not events. A log that
            // cannot be written ends no node.
            let _ = writeln!(io::stderr(), "{line}");
        }
    }

    fn with_figures(&self, write: impl FnOnce(&Metrics) -> String) -> String {
        let exchange = self.exchange.borrow();
        let (registry_entries, out_of_rotation) = exchange.policy().endpoint_counts();
        let (names, tally) = (&self.named.classes, exchange.tally().clone());
        let mut decided: Vec<(&'static str, u64)> = exchange.policy().counters().named().collect();
        decided.extend(
            exchange
                .denials()
                .map(|(denial, count)| (denial.figure(), count)),
        );
        let violations = exchange.violations();
        decided.extend(
            Invariant::ALL.map(|invariant| (invariant.figure(), violations.count(invariant))),
        );
        let (sent, received) = self.peers.as_ref().map_or((0, 0), Peers::message_counts);
        write(&Metrics {
            names,
            tally,
            registry_entries,
            out_of_rotation,
            peer_messages: PeerMessageCounts { sent, received },
            policy_counters: decided,
        })
    }

    /// A request that was not taken was answered all the same.
    pub fn record_rejection(&self, class: ClassId, end: RequestEnd) {
        debug!(class = class.0, ?end, "turned away");
        self.exchange.borrow_mut().turned_away(class.0, end);
    }

    /// Tells the module something that is none of the exchange's.
    pub fn post(self: &Rc<Self>, event: ModuleEvent) {
        self.handle(Event::PolicyEvent(event), None);
    }

    /// Lets the module's clock begin, before any list is known.
    pub fn start(self: &Rc<Self>) {
        self.post(ModuleEvent::EndpointsUnavailable);
    }

    /// How long ago the module was last woken.
    pub fn since_last_timer(&self) -> Duration {
        self.last_timer_at.get().elapsed()
    }

    /// A source of the list has said something, if only that nothing has changed.
    pub fn record_list_contact(&self) {
        self.list_age.set(Some(Instant::now()));
    }

    /// How long ago a source of the list last said something; `None` if none has yet.
    pub fn list_age(&self) -> Option<Duration> {
        self.list_age.get().map(|at| at.elapsed())
    }

    /// Hands a peer's datagram to the module.
    pub fn on_peer_message(self: &Rc<Self>, from: NodeId, bytes: Vec<u8>) {
        self.reachable_peers.borrow_mut().insert(from);
        self.post(ModuleEvent::PeerMessage { from, bytes });
    }

    /// How many peers were heard in this life, and how many there are that speak unasked.
    pub fn reachable_peers(&self) -> (usize, usize) {
        let all = self.named.settings.node_count.saturating_sub(1) as usize;
        let speak = self.peers.is_some() && self.exchange.borrow().policy().broadcasts();
        (
            self.reachable_peers.borrow().len(),
            if speak { all } else { 0 },
        )
    }

    fn carry_out(self: &Rc<Self>, command: Command<SocketAddr>, payload: &mut Option<Payload>) {
        debug!(?command, "exchange");
        match command {
            Command::Connect {
                connection: link,
                address: dial,
            } => self.upstream.connect(self, link, dial),
            Command::Send {
                connection: link,
                id,
                server,
            } => {
                let forward = self
                    .requests
                    .borrow()
                    .get(&id)
                    .map(|pending| Rc::clone(&pending.forward));
                if let Some(forward) = forward {
                    self.upstream.send(self, link, server, forward);
                }
            }
            Command::Write { connection: link } => self.upstream.open(link),
            Command::ReleaseBody { connection: link } => self.upstream.release(link),
            Command::Close { connection: link } => self.upstream.close(self, link),
            Command::Answer {
                id,
                answer: verdict,
            } => {
                let answer = match verdict {
                    FinalAnswer::Served => payload.take().map_or(Answer::Failed, Answer::Served),
                    FinalAnswer::Rejected(retry_in) => {
                        Answer::Rejected(retry_in.map(Duration::from_micros))
                    }
                    FinalAnswer::Failed => Answer::Failed,
                };
                if let Some(pending) = self.requests.borrow_mut().remove(&id) {
                    // A client that has gone meanwhile takes no answer.
                    let _ = pending.answer.send(answer);
                }
            }
            Command::ForPolicy(action) => self.apply(action),
        }
    }

    fn apply(self: &Rc<Self>, action: Action) {
        match action {
            Action::Broadcast { bytes } => {
                self.peers.iter().for_each(|peers| peers.broadcast(&bytes));
            }
            Action::SendToPeer { to, bytes } => {
                self.peers
                    .iter()
                    .for_each(|peers| peers.send_to(to, &bytes));
            }
            Action::SetTimer { after, token } => {
                let node = Rc::clone(self);
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    node.last_timer_at.set(Instant::now());
                    node.post(ModuleEvent::TimerFired { token });
                });
            }
            Action::SendToSiblings(twin) => self.links.send_to_siblings(twin),
            Action::Log(line) => info!("{line}"),
            // Discovery is always followed, and the rest is the exchange's.
            Action::Subscribe
            | Action::Send { .. }
            | Action::Reject { .. }
            | Action::Fail { .. }
            | Action::Cancel { .. } => {}
        }
    }

    /// Takes a request in. `None` if its id is in use: two owners of one id would mix up their answers.
    pub fn submit(
        self: &Rc<Self>,
        arrival: ModuleEvent,
        forward: Forward,
    ) -> Option<(oneshot::Receiver<Answer>, Ticket)> {
        let id = forward.id.clone();
        let ticket = {
            let exchange = self.exchange.borrow();
            if exchange.contains(&id) {
                return None;
            }
            exchange.next_ticket()
        };
        let effect = forward.effect;
        let left = forward.deadline.saturating_duration_since(Instant::now());
        let deadline = self.clock.now() + left.as_micros() as Micros;
        let (answer, answered) = oneshot::channel();
        forward
            .coming()
            .into_iter()
            .for_each(|pipe| pipe.set_ticket(ticket));
        let pending = Pending {
            ticket,
            forward: Rc::new(forward),
            answer,
        };
        self.requests.borrow_mut().insert(id, pending);
        self.handle(
            Event::RequestReceived {
                effect,
                deadline,
                policy_event: arrival,
            },
            None,
        );
        Some((answered, ticket))
    }

    /// Nobody waits for this request any more. One that was answered needs no such word.
    pub fn abandon(self: &Rc<Self>, id: &RequestId, ticket: Ticket) {
        let waits = self
            .requests
            .borrow()
            .get(id)
            .is_some_and(|pending| pending.ticket == ticket);
        if waits {
            self.requests.borrow_mut().remove(id);
            self.handle(
                Event::ClientGone {
                    id: id.clone(),
                    ticket,
                },
                None,
            );
        }
    }

    /// A request's client has gone, and its connection has not said so yet.
    pub fn client_gone(self: &Rc<Self>, forward: &Rc<Forward>) {
        let pending = self
            .requests
            .borrow()
            .get(&forward.id)
            .map(|row| (row.ticket, Rc::clone(&row.forward)));
        if let Some((ticket, _)) = pending.filter(|(_, open)| Rc::ptr_eq(open, forward)) {
            self.abandon(&forward.id, ticket);
        }
    }

    /// What the module keeps in mind, for its next process.
    pub fn policy_snapshot(&self) -> StateSnapshot {
        self.exchange.borrow().policy().snapshot()
    }

    /// Keeps to this process's part of the node's connections to app servers.
    pub fn apply_connection_share(&self) {
        self.exchange
            .borrow_mut()
            .set_max_connections(self.links.part(self.each_side));
    }

    /// Keeps what discovery has told, for this process's heir, where there can be one.
    pub fn record_list(&self, list: &List) {
        if !self.links.enabled() {
            return;
        }
        let mut recorded_list = self.recorded_list.borrow_mut();
        recorded_list.0 = list.seq;
        if list.whole {
            recorded_list.1.clear();
        }
        for host in &list.hosts {
            if host.health == Health::Gone {
                recorded_list.1.remove(&host.host);
            } else {
                recorded_list.1.insert(host.host.clone(), host.clone());
            }
        }
    }

    /// What discovery has told so far, as one list; none if it has told nothing.
    pub fn last_list(&self) -> Option<List> {
        let recorded_list = self.recorded_list.borrow();
        let hosts: Vec<Host> = recorded_list.1.values().cloned().collect();
        (!hosts.is_empty()).then_some(List {
            seq: recorded_list.0,
            whole: true,
            hosts,
        })
    }

    /// Follows the platform's discovery.
    pub fn on_discovery_list(self: &Rc<Self>, list: &List) {
        let entries = list.hosts.iter().map(EndpointRecord::from).collect();
        self.on_endpoint_update(
            Source::Discovery,
            EndpointUpdate {
                endpoints: entries,
                received_at: Duration::ZERO,
                snapshot: list.whole,
            },
        );
    }

    /// Follows a source of the list. Where there are several, they are merged.
    pub fn on_endpoint_update(self: &Rc<Self>, source: Source, change: EndpointUpdate) {
        let change = match &mut *self.merge.borrow_mut() {
            Some(merge) => merge.take(source, change),
            None => change,
        };
        if !change.endpoints.is_empty() || change.snapshot {
            self.apply_endpoints(&change.endpoints, change.snapshot);
        }
    }

    fn apply_endpoints(self: &Rc<Self>, list: &[EndpointRecord], whole: bool) {
        let entries = list
            .iter()
            .map(|entry| server_entry(entry, &self.named.zones));
        let entries: Vec<(Endpoint, SocketAddr)> = entries.collect();
        if let Some(websockets) = &self.websockets {
            let recorded_list = entries
                .iter()
                .map(|(entry, dial)| (entry.server, entry.status == EndpointStatus::Ready, *dial));
            websockets.on_endpoints(self.now(), whole, recorded_list);
        }
        self.handle(
            Event::EndpointsChanged {
                snapshot: whole,
                endpoints: entries,
            },
            None,
        );
    }

    /// Several sources of the list will be followed: from now on they are merged.
    pub fn merge_endpoint_sources(&self) {
        self.merge.borrow_mut().get_or_insert_with(Merge::new);
    }
}
