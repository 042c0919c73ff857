//! Owns the exchange, which contains the policy engine, and executes its commands. Supplies the exchange with the time,
//! wakes it at its deadlines and routes answers to the requests that wait for them. No other module calls the exchange.

mod commands;
mod endpoint_list;
mod metrics;
mod requests;

use crate::alarm::Alarm;
use crate::answer::Payload;
use crate::clock::Clock;
use crate::discovery_status::WatchStatuses;
use crate::error::NodeError;
use crate::event_loop;
use crate::forward::Forward;
use crate::memory::Memory;
use crate::peers::Peers;
use crate::process_links::ProcessLinks;
use crate::upstream::Upstream;
use crate::upstream_events::{Registration, UpstreamEvents};
use crate::websocket::WebsocketProxy;
use endpoint_list::RecordedList;
use requests::Pending;
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_endpoints::MergedList;
use saffronpaddle_exchange::{ConnectionId, Event, Exchange, Limits, OpenRequest, Violation};
use saffronpaddle_netio::read_received;
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

/// The parts from which [`Node::new`] builds a node.
pub struct NodeParts {
    /// Seed of the policy's random number generator.
    pub seed: u64,
    /// The policy's settings, and the names by which requests refer to classes and zones.
    pub platform: PlatformSettings,
    /// Limit on open connections to app servers, shared by all processes of the node.
    pub max_upstream_connections: usize,
    /// Limit on resident memory in bytes, shared by all processes of the node.
    pub memory_limit: u64,
    /// Links to the other processes of this node.
    pub links: ProcessLinks,
    /// Message socket to the other nodes; `None` on a node without peers.
    pub peers: Option<Peers>,
    /// Settings of WebSocket connections; `None` disables them.
    pub sockets: Option<Sockets>,
    /// State received from a parent process, and the number of the link that it was received on.
    pub restored: Option<(StateSnapshot, u32)>,
}

/// One process of an edge node. Other processes of the same node are reached through `links`.
pub struct Node {
    /// The policy's settings, and the names by which requests refer to classes and zones.
    pub platform: PlatformSettings,
    /// Connections to app servers.
    pub upstream: Rc<Upstream>,
    /// Message socket to the other nodes; `None` on a node without peers.
    pub peers: Option<Peers>,
    /// Links to the other processes of this node.
    pub links: ProcessLinks,
    /// State of the watches on the endpoint list.
    pub watch_statuses: WatchStatuses,
    /// What this process may hold for its clients and servers.
    pub memory: Memory,
    /// The WebSocket proxy; `None` if the operator file configures none.
    pub websockets: Option<Rc<WebsocketProxy>>,
    max_upstream_connections: usize,
    memory_limit: u64,
    registration: Registration,
    clock: Clock,
    exchange: RefCell<Exchange<SocketAddr, PolicyEngine>>,
    /// Requests that have no final answer yet, by id.
    requests: RefCell<HashMap<RequestId, Pending>>,
    alarm: Alarm,
    /// Merges the sources of the endpoint list; `None` with a single source.
    merge: RefCell<Option<MergedList>>,
    /// When a policy timer last fired.
    last_timer_at: Cell<Instant>,
    /// When a source of the endpoint list last answered; `None` if none has yet.
    list_contact_at: Cell<Option<Instant>>,
    /// The endpoint list as discovery last sent it. A child process starts from it.
    recorded_list: RefCell<RecordedList>,
    /// Peers from which this process has received at least one message.
    reachable_peers: RefCell<BTreeSet<NodeId>>,
    /// When every request must have its answer, once the process has been asked to stop.
    answer_by: Cell<Option<Instant>>,
}

impl UpstreamEvents for Node {
    fn on_event(self: Rc<Self>, event: Event<SocketAddr>, payload: Option<Payload>) {
        self.handle(event, payload);
    }

    /// Returns the time until the request's deadline or the shutdown deadline, whichever is earlier.
    fn time_left(&self, forward: &Forward) -> Duration {
        let answer_by = self
            .answer_by
            .get()
            .map_or(forward.deadline, |shutdown| forward.deadline.min(shutdown));
        answer_by.saturating_duration_since(Instant::now())
    }

    fn prepared_request(&self, connection: ConnectionId) -> Option<Rc<Forward>> {
        self.upstream.prepared_request(connection)
    }

    fn has_unread_endpoints(&self) -> bool {
        self.watch_statuses.are_unread()
    }

    fn on_client_disconnected(self: Rc<Self>, forward: &Rc<Forward>) {
        self.abandon_forward(forward);
    }
}

impl Node {
    /// Creates a node that does not serve clients yet.
    ///
    /// # Errors
    /// The settings are invalid, or they do not contain the class of WebSocket connections.
    pub fn new(parts: NodeParts) -> Result<Rc<Node>, NodeError> {
        let NodeParts {
            seed,
            platform,
            max_upstream_connections,
            memory_limit,
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
        let memory = Memory::new(memory_limit);
        Ok(Rc::new_cyclic(|node: &Weak<Node>| Node {
            platform,
            upstream: Upstream::new(memory.clone()),
            peers,
            links,
            watch_statuses: WatchStatuses::default(),
            memory,
            websockets,
            max_upstream_connections,
            memory_limit,
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

    /// Unix time of the node's clock, in µs. It never goes back.
    pub fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Passes an event to the exchange and executes the commands that it returns. A command neither waits nor raises an
    /// event synchronously, so the exchange is never re-entered. `payload` is sent with the answer that the event
    /// completes.
    pub fn handle(self: &Rc<Self>, event: Event<SocketAddr>, payload: Option<Payload>) {
        let mut commands = Vec::new();
        debug!(?event, "handling exchange event");
        let delay = event_loop::unread_time().as_micros() as Micros;
        self.exchange
            .borrow_mut()
            .handle_delayed(self.clock.now(), delay, event, &mut commands);
        self.log_violations();
        self.alarm.set(self.exchange.borrow().next_alarm());
        let mut payload = payload;
        commands
            .into_iter()
            .for_each(|command| self.execute(command, &mut payload));
    }

    /// Reports to the exchange each streamed response that its client has stopped reading. Runs until it is dropped.
    pub async fn handle_abandoned_responses(self: Rc<Self>) {
        let Some(mut abandoned) = self.upstream.take_abandoned() else {
            return;
        };
        while let Some(connection) = abandoned.recv().await {
            self.handle(Event::ResponseAbandoned { connection }, None);
        }
    }

    /// Fires the exchange's timer whenever it is due. Runs until it is dropped.
    pub async fn run_timer(self: Rc<Self>) {
        loop {
            self.alarm
                .wait_until_due(|| self.exchange.borrow().next_alarm(), || self.clock.now())
                .await;
            // Reads what the kernel has already received first, so that a timeout is not charged to a server whose
            // response this node was late to read.
            read_received().await;
            self.handle(Event::TimerFired, None);
        }
    }

    /// Sets the shutdown deadline: every open request, and every request received from now on, is answered by
    /// `answer_by`. A second call may move the deadline to an earlier time, but not to a later one.
    pub fn announce_shutdown(self: &Rc<Self>, answer_by: Instant) {
        let is_earlier_set = self.answer_by.get().is_some_and(|set| set <= answer_by);
        if !is_earlier_set {
            self.answer_by.set(Some(answer_by));
        }
        let remaining = answer_by
            .saturating_duration_since(Instant::now())
            .as_micros() as Micros;
        self.handle(
            Event::ShutdownAnnounced {
                answer_by: self.clock.now() + remaining,
            },
            None,
        );
    }

    /// Records every request that is still unanswered at the exit of the process as a violation, and logs it.
    pub fn process_exits(&self) {
        self.exchange.borrow_mut().process_exits();
        self.log_violations();
    }

    /// Logs each violation of an invariant since the last call.
    fn log_violations(&self) {
        for Violation { invariant, request } in self.exchange.borrow_mut().take_violations() {
            error!(
                invariant = invariant.name(),
                request = &*request.0,
                "an invariant does not hold"
            );
        }
    }

    /// Stops keeping idle connections to servers and closes WebSocket connections. Called when the node no longer
    /// accepts clients.
    pub fn stop(self: &Rc<Self>) {
        self.handle(Event::Drain, None);
        if let Some(websockets) = &self.websockets {
            websockets.stop();
        }
    }

    /// Checks the memory of this process, and lets idle connections to servers go of which it allows fewer.
    pub fn sweep_memory(self: &Rc<Self>) {
        self.memory.sweep();
        let max_idle = self.memory.max_idle_server_connections();
        if self.exchange.borrow().idle_connections() > max_idle {
            self.handle(Event::IdleConnectionsLimited { max_idle }, None);
        }
    }

    /// Number of ready app servers.
    pub fn ready_servers(&self) -> usize {
        self.exchange.borrow().ready_servers()
    }

    /// Requests that have no final answer yet, in the order of their deadlines.
    pub fn open_requests(&self) -> Vec<OpenRequest> {
        let mut open: Vec<OpenRequest> = self.exchange.borrow().open_requests().collect();
        open.sort_by_key(|request| request.deadline);
        open
    }

    /// Counts a request that was answered without being submitted to the exchange.
    pub fn record_rejection(&self, class: ClassId, end: RequestEnd) {
        debug!(class = class.0, ?end, "request rejected before submission");
        self.exchange
            .borrow_mut()
            .count_answered_locally(class.0, end);
    }

    /// Passes an event to the policy engine that the exchange itself does not use.
    pub fn handle_policy_event(self: &Rc<Self>, event: PolicyEvent) {
        self.handle(Event::PolicyEvent(event), None);
    }

    /// Starts the policy's timers. Called before any endpoint list is known.
    pub fn start(self: &Rc<Self>) {
        self.handle_policy_event(PolicyEvent::EndpointsUnavailable);
    }

    /// Time since a policy timer last fired.
    pub fn since_last_timer(&self) -> Duration {
        self.last_timer_at.get().elapsed()
    }

    /// Records that a source of the endpoint list has answered, even if only that nothing has changed.
    pub fn record_list_contact(&self) {
        self.list_contact_at.set(Some(Instant::now()));
    }

    /// Time since a source of the endpoint list last answered; `None` if none has yet.
    pub fn list_age(&self) -> Option<Duration> {
        self.list_contact_at.get().map(|at| at.elapsed())
    }

    /// Passes a peer's datagram to the policy engine.
    pub fn on_peer_message(self: &Rc<Self>, from: NodeId, bytes: Vec<u8>) {
        self.reachable_peers.borrow_mut().insert(from);
        self.handle_policy_event(PolicyEvent::PeerMessage { from, bytes });
    }

    /// Number of peers from which this process has received a message, and number of peers that broadcast. The second
    /// is 0 where the policy does not broadcast or the node has no peers.
    pub fn reachable_peers(&self) -> (usize, usize) {
        let all = self.platform.settings.node_count.saturating_sub(1) as usize;
        let broadcasts =
            self.peers.is_some() && self.exchange.borrow().policy().broadcasts_usage_reports();
        (
            self.reachable_peers.borrow().len(),
            if broadcasts { all } else { 0 },
        )
    }

    /// Snapshot of the policy's state, from which a child process starts.
    pub fn policy_snapshot(&self) -> StateSnapshot {
        self.exchange.borrow().policy().snapshot()
    }

    /// Sets this process's limits on connections to app servers and on memory to its share of the node's limits.
    pub fn apply_shared_limits(&self) {
        let memory_limit = self.links.share_of(self.memory_limit as usize);
        self.memory.set_limit(memory_limit as u64);
        self.exchange
            .borrow_mut()
            .set_max_connections(self.links.share_of(self.max_upstream_connections));
    }
}

/// Creates the WebSocket proxy and looks up the class of WebSocket connections by its name.
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
        return Err(NodeError::UnknownWebsocketClass(sockets.class));
    };
    Ok(Rc::new(WebsocketProxy::new(ClassId(class), sockets, clock)))
}
