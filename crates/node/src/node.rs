//! Owns the exchange, with the policy engine inside, and carries out its commands: the clock, the alarm, and whose answer
//! goes where. Only here is the exchange entered.

mod commands;
mod endpoint_list;
mod figures;
mod requests;

use crate::alarm::Alarm;
use crate::answer::Payload;
use crate::clock::Clock;
use crate::discovery_status::WatchStatuses;
use crate::error::NodeError;
use crate::forward::Forward;
use crate::peers::Peers;
use crate::process_links::ProcessLinks;
use crate::upstream::Upstream;
use crate::upstream_events::{Registration, UpstreamEvents};
use crate::websocket::WebsocketProxy;
use endpoint_list::RecordedList;
use requests::Pending;
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_endpoints::Merge;
use saffronpaddle_exchange::{ConnectionId, Event, Exchange, Limits, OpenRequest, Violation};
use saffronpaddle_operator_config::Sockets;
use saffronpaddle_policy::interface::{ClassId, Event as PolicyEvent, Micros, NodeId, RequestId};
use saffronpaddle_policy::setup::PlatformSettings;
use saffronpaddle_policy::{PolicyEngine, StateSnapshot};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::time::Instant;
use tracing::{debug, error};

/// Scheduler yields before a timeout is handled, so that data already in the kernel is read first: one each for tokio's I/O
/// driver, the connection's task and the exchange.
const LATE_TIMER_YIELDS: usize = 3;

/// What a node is made of.
pub struct NodeParts {
    /// The seed of the policy's draws.
    pub seed: u64,
    /// The policy's settings, with the names that requests use.
    pub platform: PlatformSettings,
    /// Connections to app servers that all processes of the node may have open.
    pub max_upstream_connections: usize,
    /// Other processes of this node.
    pub links: ProcessLinks,
    /// Other nodes.
    pub peers: Option<Peers>,
    /// Settings of web sockets, where the operator has them.
    pub sockets: Option<Sockets>,
    /// The state of a parent process, and the number of the link that it came by.
    pub restored: Option<(StateSnapshot, u32)>,
}

/// This process's part of an edge node; other processes of the node are reached through `links`.
pub struct Node {
    /// The policy's settings, with the names that requests use.
    pub platform: PlatformSettings,
    /// Connections to app servers.
    pub upstream: Rc<Upstream>,
    /// Other nodes.
    pub peers: Option<Peers>,
    /// Other processes of this node.
    pub links: ProcessLinks,
    /// Watches on the endpoint list.
    pub watch_statuses: WatchStatuses,
    /// web sockets, where the operator has them.
    pub websockets: Option<Rc<WebsocketProxy>>,
    max_upstream_connections: usize,
    registration: Registration,
    clock: Clock,
    exchange: RefCell<Exchange<SocketAddr, PolicyEngine>>,
    /// Requests without a final answer.
    requests: RefCell<HashMap<RequestId, Pending>>,
    alarm: Alarm,
    /// Where there is more than one source of the endpoint list.
    merge: RefCell<Option<Merge>>,
    /// When a timer of the policy last fired.
    last_timer_at: Cell<Instant>,
    /// When a source of the endpoint list last sent something.
    list_contact_at: Cell<Option<Instant>>,
    /// The endpoint list as discovery last sent it, for a child of this process.
    recorded_list: RefCell<RecordedList>,
    /// Peers that this process has ever received a message of.
    reachable_peers: RefCell<BTreeSet<NodeId>>,
    /// The process was told to stop, and answers all that it has by then.
    answer_by: Cell<Option<Instant>>,
}

impl UpstreamEvents for Node {
    fn on_event(self: Rc<Self>, event: Event<SocketAddr>, payload: Option<Payload>) {
        self.handle(event, payload);
    }

    /// No longer than the client waits, nor than the process lasts.
    fn time_left(&self, forward: &Forward) -> Duration {
        let until = self
            .answer_by
            .get()
            .map_or(forward.deadline, |end| forward.deadline.min(end));
        until.saturating_duration_since(Instant::now())
    }

    fn ready_request(&self, connection: ConnectionId) -> Option<Rc<Forward>> {
        self.upstream.ready_request(connection)
    }

    fn has_unread_endpoints(&self) -> bool {
        self.watch_statuses.are_unread()
    }

    fn client_gone(self: Rc<Self>, forward: &Rc<Forward>) {
        self.abandon_forward(forward);
    }
}

impl Node {
    /// A node that serves nobody yet.
    ///
    /// # Errors
    /// The settings make no sense, or the web sockets' class is not among them.
    pub fn new(parts: NodeParts) -> Result<Rc<Node>, NodeError> {
        let NodeParts {
            seed,
            platform,
            max_upstream_connections,
            links,
            peers,
            sockets,
            restored,
        } = parts;
        let clock = Clock::start();
        let websockets = sockets
            .map(|sockets| websocket_proxy(&platform, sockets, clock))
            .transpose()?;
        let mut policy = PolicyEngine::new(seed, platform.settings.clone(), clock.now())?;
        if let Some((state, link)) = restored {
            policy.restore(state, link);
        }
        let limits = Limits::for_node(
            max_upstream_connections,
            platform.server_idle_timeout,
            platform.connect_timeout,
        );
        Ok(Rc::new_cyclic(|node: &Weak<Node>| Node {
            platform,
            upstream: Upstream::new(),
            peers,
            links,
            watch_statuses: WatchStatuses::default(),
            websockets,
            max_upstream_connections,
            registration: Registration::new(Weak::clone(node) as Weak<dyn UpstreamEvents>),
            clock,
            exchange: RefCell::new(Exchange::new(limits, policy)),
            requests: RefCell::default(),
            alarm: Alarm::new(),
            merge: RefCell::default(),
            last_timer_at: Cell::new(Instant::now()),
            list_contact_at: Cell::new(None),
            recorded_list: RefCell::default(),
            reachable_peers: RefCell::default(),
            answer_by: Cell::default(),
        }))
    }

    /// Its time, µs.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Has the exchange handle an event, and carries out its commands. No command waits, and none makes an event at
    /// once: the exchange is never entered twice. A payload goes with the answer that the event completes.
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

    /// Handles responses that were streamed and that nobody reads any more, for ever.
    pub async fn handle_abandoned_responses(self: Rc<Self>) {
        let Some(mut abandoned) = self.upstream.take_abandoned() else {
            return;
        };
        while let Some(connection) = abandoned.recv().await {
            self.handle(Event::ResponseAbandoned { connection }, None);
        }
    }

    /// Fires the exchange's timer when it is due, for ever.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            self.alarm
                .rings(|| self.exchange.borrow().next_alarm(), || self.clock.now())
                .await;
            // A server must not be blamed for a response that this node was late to read: what the kernel holds is
            // read first.
            for _ in 0..LATE_TIMER_YIELDS {
                tokio::task::yield_now().await;
            }
            self.handle(Event::TimerFired, None);
        }
    }

    /// The process was told to stop: all that the node has taken, and all that it takes from now on, is answered by
    /// `end`.
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

    /// The process ends: requests without an answer are violations, and logged as such.
    pub fn process_exits(&self) {
        self.exchange.borrow_mut().process_exits();
        self.log_violations();
    }

    /// Logs invariants that did not hold.
    fn log_violations(&self) {
        for Violation { invariant, request } in self.exchange.borrow_mut().take_violations() {
            error!(
                invariant = invariant.name(),
                request = &*request.0,
                "an invariant does not hold"
            );
        }
    }

    /// Accepting has ended: idle connections to servers are no longer kept, and web sockets are closed.
    pub fn stop(self: &Rc<Self>) {
        self.handle(Event::Drain, None);
        if let Some(websockets) = &self.websockets {
            websockets.stop();
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

    /// Counts a request that was answered without being taken.
    pub fn record_rejection(&self, class: ClassId, end: RequestEnd) {
        debug!(class = class.0, ?end, "turned away");
        self.exchange.borrow_mut().count_unreceived(class.0, end);
    }

    /// Has the policy handle an event that is not the exchange's.
    pub fn post(self: &Rc<Self>, event: PolicyEvent) {
        self.handle(Event::PolicyEvent(event), None);
    }

    /// Starts the policy's timers, before any endpoint list is known.
    pub fn start(self: &Rc<Self>) {
        self.post(PolicyEvent::EndpointsUnavailable);
    }

    /// The time since a timer of the policy last fired.
    pub fn since_last_timer(&self) -> Duration {
        self.last_timer_at.get().elapsed()
    }

    /// A source of the endpoint list has sent something, if only that nothing has changed.
    pub fn record_list_contact(&self) {
        self.list_contact_at.set(Some(Instant::now()));
    }

    /// The time since a source of the endpoint list last sent something; `None` if none has yet.
    pub fn list_age(&self) -> Option<Duration> {
        self.list_contact_at.get().map(|at| at.elapsed())
    }

    /// Hands a peer's datagram to the policy.
    pub fn on_peer_message(self: &Rc<Self>, from: NodeId, bytes: Vec<u8>) {
        self.reachable_peers.borrow_mut().insert(from);
        self.post(PolicyEvent::PeerMessage { from, bytes });
    }

    /// How many peers were heard of in this process, and how many there are that broadcast.
    pub fn reachable_peers(&self) -> (usize, usize) {
        let all = self.platform.settings.node_count.saturating_sub(1) as usize;
        let broadcasts = self.peers.is_some() && self.exchange.borrow().policy().broadcasts();
        (
            self.reachable_peers.borrow().len(),
            if broadcasts { all } else { 0 },
        )
    }

    /// The policy's state, for a child of this process.
    pub fn policy_snapshot(&self) -> StateSnapshot {
        self.exchange.borrow().policy().snapshot()
    }

    /// Applies this process's part of the node's connections to app servers.
    pub fn apply_connection_share(&self) {
        self.exchange
            .borrow_mut()
            .set_max_connections(self.links.part(self.max_upstream_connections));
    }
}

/// The web sockets of a node, whose class is known by name.
fn websocket_proxy(
    platform: &PlatformSettings,
    sockets: Sockets,
    clock: Clock,
) -> Result<Rc<WebsocketProxy>, NodeError> {
    let class = platform
        .classes
        .iter()
        .position(|class| *class == sockets.class);
    let Some(class) = class else {
        return Err(NodeError::UnknownSocketClass(sockets.class));
    };
    Ok(Rc::new(WebsocketProxy::new(ClassId(class), sockets, clock)))
}
