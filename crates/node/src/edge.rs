//! A process of an edge node from its start to its end: what is bound, what runs, and its shutdown.

use crate::admin::{self, Admin};
use crate::clients::{self, ServingStatus};
use crate::config::{Config, List, PeerAddresses};
use crate::endpoint_sources;
use crate::error::NodeError;
use crate::event_loop;
use crate::hot_restart::{self, ParentLink, Rendezvous};
use crate::lifecycle_runner::{self, Inputs, LifecycleRunner, ProcessSignal};
use crate::manager::Manager;
use crate::node::{Node, NodeParts};
use crate::peer_listener;
use crate::peers::Peers;
use crate::process_links::ProcessLinks;
use crate::readiness::ReadinessSampler;
use crate::reload::{reload, Files, LimitTerms, OperatorFile};
use crate::shutdown;
use saffronpaddle_lifecycle::Lifecycle;
use saffronpaddle_netio::retry_shortage;
use saffronpaddle_operator_config::{Operator, Sockets};
use saffronpaddle_policy::interface::NodeId;
use saffronpaddle_policy::snapshot::{SnapshotSize, StateSnapshot};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::Instant;
use tracing::info;

/// Descriptors for all but clients and app servers: listener, discovery, peers, the runtime's own; the admin listener and its
/// callers.
const RESERVED_DESCRIPTORS: usize = 32 + Admin::DESCRIPTORS;
/// Connections of either side that web sockets must leave to requests.
const MIN_CONNECTIONS_PER_SIDE: usize = 32;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// What one node is made of.
pub struct Options {
    /// What the platform tells it.
    pub config: Config,
    /// What the operator sets; `None` leaves all of that off.
    pub operator: Option<OperatorFile>,
    /// A listener that is handed over, in place of one of the node's own.
    pub inherited_listener: Option<std::net::TcpListener>,
    /// The folder where processes of this node meet, if the platform holds the listener that they share.
    pub rendezvous: Option<PathBuf>,
    /// The service manager, which is notified of the node's state.
    pub manager: Manager,
}

/// A node that is bound: connections wait in its backlog, but nothing runs yet.
pub struct Edge {
    node: Rc<Node>,
    listener: TcpListener,
    /// The listener was inherited and outlives this process.
    shared: bool,
    address: SocketAddr,
    discovery: SocketAddr,
    known: Option<List>,
    capacity: Capacity,
    /// Descriptors that the process may have.
    descriptors: usize,
    /// Memory that the process may have, bytes.
    memory: usize,
    files: Files,
    manager: Rc<Manager>,
    admin: Option<Admin>,
    rendezvous: Option<Rendezvous>,
    parent: Option<ParentLink>,
}

/// How the process's descriptors are shared out.
#[derive(Clone, Copy)]
struct Capacity {
    /// Connections of clients.
    clients: usize,
    /// Connections to app servers.
    upstream: usize,
}

impl Capacity {
    /// Shares descriptors out. web sockets have their own.
    fn new(descriptors: usize, sockets: Option<&Sockets>) -> Result<Capacity, NodeError> {
        let apart = sockets.map_or(0, |sockets| 2 * sockets.limits.per_node);
        let both_sides = descriptors.saturating_sub(RESERVED_DESCRIPTORS + apart);
        // Slow and hostile clients keep their connections far longer than attempts do.
        let upstream = both_sides * 3 / 8;
        // Otherwise web sockets would take the descriptors that requests need.
        if apart > 0 && upstream < MIN_CONNECTIONS_PER_SIDE {
            return Err(NodeError::TooManySockets {
                connections: upstream,
                descriptors,
                min: MIN_CONNECTIONS_PER_SIDE,
            });
        }
        Ok(Capacity {
            clients: both_sides - upstream,
            upstream,
        })
    }
}

/// What a parent process has handed over; nothing where there is none.
#[derive(Default)]
struct Handover {
    link: Option<ParentLink>,
    list: Option<List>,
    /// The policy's state, and the number of the link.
    policy: Option<(StateSnapshot, u32)>,
}

/// Takes over from the process that serves the node, if there is one.
async fn take_over(rendezvous: Option<&Rendezvous>, links: &ProcessLinks) -> Handover {
    let Some(rendezvous) = rendezvous else {
        return Handover::default();
    };
    let Some((link, state)) = rendezvous.connect_to_parent(links).await else {
        return Handover::default();
    };
    let list = hot_restart::transferred_list(&state);
    let SnapshotSize { customers, servers } = state.policy.size();
    info!(
        "hand-over: taken over from a process of this node: {customers} customers, {servers} servers"
    );
    Handover {
        policy: Some((state.policy, link.number())),
        link: Some(link),
        list,
    }
}

async fn bind_peers(
    addresses: Option<PeerAddresses>,
    me: NodeId,
    reuse: bool,
) -> Result<Option<Peers>, NodeError> {
    match addresses {
        Some(addresses) => Ok(Some(Peers::bind(addresses, me, reuse).await?)),
        None => Ok(None),
    }
}

async fn bind_admin(address: Option<SocketAddr>) -> Result<Option<Admin>, NodeError> {
    match address {
        Some(address) => Ok(Some(Admin::bind(address).await?)),
        None => Ok(None),
    }
}

impl Edge {
    /// Binds a node's sockets.
    ///
    /// # Errors
    /// What could not be bound, or is set wrong.
    pub async fn bind(options: Options) -> Result<Edge, NodeError> {
        let Options {
            mut config,
            operator,
            inherited_listener,
            rendezvous,
            manager,
        } = options;
        let settings = operator.as_ref().map(|file| &file.settings);
        if let Some(settings) = settings {
            apply_operator(&mut config, settings);
        }
        let shared = inherited_listener.is_some();
        let links = ProcessLinks::new(&config.name, rendezvous.is_some());
        let rendezvous = rendezvous.map(|folder| Rendezvous::new(&folder, &config.name));
        // Before anything is bound: a takeover that fails must not disturb the parent, which still serves.
        let handover = take_over(rendezvous.as_ref(), &links).await;
        let reuse = settings.is_some_and(|settings| settings.listen.reuse_port);
        let listener = listen(config.listen, inherited_listener, reuse).await?;
        let me = config.platform.settings.node;
        let peers = bind_peers(config.peers, me, reuse || shared).await?;
        let sockets = settings.and_then(|settings| settings.sockets.clone());
        let capacity = Capacity::new(config.sockets, sockets.as_ref())?;
        let Handover {
            link: parent,
            list: transferred_list,
            policy: restored,
        } = handover;
        let node = Node::new(NodeParts {
            seed: config.seed,
            platform: config.platform,
            max_upstream_connections: capacity.upstream,
            links,
            peers,
            sockets,
            restored,
        })?;
        let admin = bind_admin(config.admin).await?;
        let address = listener.local_addr().map_err(NodeError::ListenerAddress)?;
        info!("{}: listening on {address}", config.name);
        Ok(Edge {
            node,
            listener,
            shared,
            address,
            discovery: config.discovery,
            known: transferred_list.or(config.known),
            capacity,
            descriptors: config.sockets,
            memory: config.memory,
            files: Files {
                config: config.path,
                operator,
            },
            manager: Rc::new(manager),
            admin,
            rendezvous,
            parent,
        })
    }

    /// Where clients connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Spawns a task on the node's loop. Tests use it to block the loop.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        spawn_local(task);
    }

    /// Runs it until its life cycle ends. Inside a `LocalSet` only.
    pub async fn run(self, signals: mpsc::UnboundedReceiver<ProcessSignal>) {
        // Starts the policy's timers: without one the watchdog would take the loop for stuck.
        self.node.start();
        let terms = LimitTerms {
            longest_deadline: Duration::from_micros(self.node.platform.longest_deadline),
            // On an inherited listener new connections wait in the backlog for the next process, so there is no need to keep
            // accepting. With a rendezvous this does not hold: a successor already accepts, or none has been started.
            leaves_at_once: self.shared && self.rendezvous.is_none(),
        };
        let files = self.files.clone();
        let sampler = ReadinessSampler::new(Rc::clone(&self.node), self.descriptors, self.memory);
        let started_at = Instant::now();
        let (status, seen) = watch::channel(ServingStatus::unready());
        let (moved, discovery) = watch::channel(self.discovery);
        let (ask, calls) = mpsc::channel(admin::MAX_QUEUED_CALLS);
        let manager = Rc::clone(&self.manager);
        let (tasks, clients) = self.spawn_tasks(discovery, ask, seen);
        let machine = Lifecycle::new(terms.limits(files.operator()), Duration::ZERO);
        let runner = LifecycleRunner::new(machine, manager, status, sampler, started_at);
        let reload = move || reload(files.clone(), terms, moved.clone());
        let inputs = Inputs {
            signals: Some(signals),
            calls: Some(calls),
        };
        runner.run(inputs, reload, clients).await;
        tasks.iter().for_each(JoinHandle::abort);
    }

    /// Spawns all that runs beside the life cycle, for ever; and what serves clients, until they are gone.
    fn spawn_tasks(
        self,
        discovery: watch::Receiver<SocketAddr>,
        calls: mpsc::Sender<admin::AdminCall>,
        status: watch::Receiver<ServingStatus>,
    ) -> (Vec<JoinHandle<()>>, JoinHandle<()>) {
        let node = || Rc::clone(&self.node);
        let operator = self.files.operator();
        let etcd = operator.and_then(|operator| operator.etcd.clone());
        let poll_limits = operator.and_then(|operator| operator.list.clone());
        let counts_every = operator.and_then(|operator| operator.log.counts_every);
        let manager = Rc::clone(&self.manager);
        let tasks = vec![
            spawn_local(endpoint_sources::follow(
                node(),
                etcd,
                poll_limits,
                discovery,
                self.known,
            )),
            spawn_local(peer_listener::run(node())),
            spawn_local(node().run_timer()),
            spawn_local(node().handle_abandoned_responses()),
            spawn_local(hot_restart::serve(node(), self.rendezvous, self.parent)),
            spawn_local(admin::serve(self.admin, node(), calls)),
            spawn_local(run_websocket_timer(node())),
            spawn_local(node().log_counts(counts_every)),
            spawn_local(event_loop::confirm_iterations()),
            spawn_local(lifecycle_runner::feed_watchdog(node(), manager)),
            spawn_local(shutdown::log_open_requests(node(), status.clone())),
        ];
        let clients = self.capacity.clients;
        let clients = clients::serve(self.listener, self.shared, node(), clients, status);
        (tasks, spawn_local(clients))
    }
}

/// Sets what the operator's file says of the policy.
fn apply_operator(config: &mut Config, operator: &Operator) {
    let settings = &mut config.platform.settings;
    settings.partition_safe = operator.quotas.partition_safe;
    settings.retransmission_budget = operator.quotas.retransmission_budget;
    settings.subsetting = operator.servers.subsetting;
}

/// The clients' listener: one that was handed over, or one of the node's own.
async fn listen(
    address: SocketAddr,
    inherited: Option<std::net::TcpListener>,
    reuse: bool,
) -> Result<TcpListener, NodeError> {
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None if reuse => retry_shortage(|| async { bind_reusing(address) }).await,
        None => retry_shortage(|| TcpListener::bind(address)).await,
    };
    listener.map_err(|source| NodeError::Bind {
        setting: "listen",
        address,
        source,
    })
}

/// A listener that a successor can bind beside this node.
fn bind_reusing(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn run_websocket_timer(node: Rc<Node>) {
    if let Some(websockets) = &node.websockets {
        websockets.run_timer().await;
    }
}
