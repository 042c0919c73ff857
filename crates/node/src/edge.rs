//! A process of an edge node from start to exit: binds its sockets, spawns its tasks and shuts it down.

use crate::admin::{self, Admin};
use crate::clients::{self, ServingStatus};
use crate::config::{Config, List, PeerAddresses};
use crate::endpoint_sources;
use crate::error::NodeError;
use crate::event_loop;
use crate::hot_restart::{self, ParentLink, Rendezvous};
use crate::lifecycle_runner::{self, Inputs, LifecycleRunner};
use crate::manager::Manager;
use crate::node::{Node, NodeParts};
use crate::peer_listener;
use crate::peers::Peers;
use crate::process_links::ProcessLinks;
use crate::readiness::ReadinessSampler;
use crate::reload::{reload, Files, LimitParameters, OperatorFile};
use crate::shutdown;
use crate::signals::ProcessSignal;
use saffronpaddle_lifecycle::Lifecycle;
use saffronpaddle_netio::retry_shortage;
use saffronpaddle_operator_config::{Operator, Sockets};
use saffronpaddle_policy::interface::{NodeId, RequestId};
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

/// Descriptors that are neither clients' nor app servers': the listener, discovery, peers, the runtime, and the admin
/// listener with its callers.
const RESERVED_DESCRIPTORS: usize = 32 + Admin::DESCRIPTORS;
/// Minimum number of connections per side (clients, app servers) that WebSocket connections must leave for requests.
const MIN_CONNECTIONS_PER_SIDE: usize = 32;
/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// Everything that a process of an edge node is started with.
pub struct Options {
    /// The platform's configuration.
    pub config: Config,
    /// The operator file; `None` disables everything that it configures.
    pub operator: Option<OperatorFile>,
    /// An inherited listener for clients; `None` binds `Config::listen`.
    pub inherited_listener: Option<std::net::TcpListener>,
    /// Directory of the socket over which processes of this node find each other. Set if the platform holds a listener
    /// that they share.
    pub rendezvous: Option<PathBuf>,
    /// The service manager to notify of the node's state.
    pub manager: Manager,
}

/// A node whose sockets are bound. Connections wait in the listener's backlog until [`Edge::run`].
pub struct Edge {
    node: Rc<Node>,
    listener: TcpListener,
    /// Whether the listener was inherited, so that it outlives this process.
    listener_inherited: bool,
    address: SocketAddr,
    discovery: SocketAddr,
    /// The endpoint list to start from: the parent's, else the one in the configuration.
    initial_list: Option<List>,
    capacity: Capacity,
    /// Limit on the process's open descriptors.
    descriptor_limit: usize,
    /// Limit on the process's memory, in bytes.
    memory_limit: usize,
    files: Files,
    manager: Rc<Manager>,
    admin: Option<Admin>,
    rendezvous: Option<Rendezvous>,
    parent: Option<ParentLink>,
}

/// How the process's descriptors are divided between the two sides.
#[derive(Clone, Copy)]
struct Capacity {
    /// Limit on connections of clients.
    clients: usize,
    /// Limit on connections to app servers.
    upstream: usize,
}

impl Capacity {
    /// Divides the descriptors that remain after the reserved ones and those of WebSocket connections, two for each.
    fn new(descriptors: usize, sockets: Option<&Sockets>) -> Result<Capacity, NodeError> {
        let websocket_descriptors = sockets.map_or(0, |sockets| 2 * sockets.limits.per_node);
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS + websocket_descriptors);
        // Clients get more than half, because slow and hostile clients hold their connections far longer than attempts
        // do.
        let upstream = connections * 3 / 8;
        // Without this check WebSocket connections could take the descriptors that requests need.
        if websocket_descriptors > 0 && upstream < MIN_CONNECTIONS_PER_SIDE {
            return Err(NodeError::TooManyWebsockets {
                connections: upstream,
                descriptors,
                min: MIN_CONNECTIONS_PER_SIDE,
            });
        }
        Ok(Capacity {
            clients: connections - upstream,
            upstream,
        })
    }
}

/// What a parent process has handed over; empty if there is no parent.
#[derive(Default)]
struct Handover {
    link: Option<ParentLink>,
    list: Option<List>,
    /// The policy's state, and the number of the link to the parent.
    policy: Option<(StateSnapshot, u32)>,
    /// The ids of requests that must not run again.
    used_ids: Vec<RequestId>,
}

/// Takes over the state of the process that serves the node now, if there is one.
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
        used_ids: state.finished_ids,
    }
}

async fn bind_peers(
    addresses: Option<PeerAddresses>,
    node_id: NodeId,
    reuse_address: bool,
) -> Result<Option<Peers>, NodeError> {
    match addresses {
        Some(addresses) => Ok(Some(Peers::bind(addresses, node_id, reuse_address).await?)),
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
    /// Takes over the state of a parent process, if there is one, and binds the node's sockets.
    ///
    /// # Errors
    /// An address cannot be bound, or a setting is invalid.
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
        let listener_inherited = inherited_listener.is_some();
        let links = ProcessLinks::new(&config.name, rendezvous.is_some());
        let rendezvous = rendezvous.map(|directory| Rendezvous::new(&directory, &config.name));
        // Precedes all binding, so that a failed takeover does not disturb the parent, which still serves.
        let handover = take_over(rendezvous.as_ref(), &links).await;
        let reuse_port = settings.is_some_and(|settings| settings.listen.reuse_port);
        let listener = listen(config.listen, inherited_listener, reuse_port).await?;
        let node_id = config.platform.settings.node;
        let peers = bind_peers(config.peers, node_id, reuse_port || listener_inherited).await?;
        let sockets = settings.and_then(|settings| settings.sockets.clone());
        let capacity = Capacity::new(config.sockets, sockets.as_ref())?;
        let Handover {
            link: parent,
            list: transferred_list,
            policy: restored,
            used_ids,
        } = handover;
        let node = Node::new(NodeParts {
            seed: config.seed,
            platform: config.platform,
            max_upstream_connections: capacity.upstream,
            memory_limit: config.memory as u64,
            links,
            peers,
            sockets,
            restored,
        })?;
        node.record_used_ids(used_ids);
        let admin = bind_admin(config.admin).await?;
        let address = listener.local_addr().map_err(NodeError::ListenerAddress)?;
        info!("{}: listening on {address}", config.name);
        Ok(Edge {
            node,
            listener,
            listener_inherited,
            address,
            discovery: config.discovery,
            initial_list: transferred_list.or(config.known),
            capacity,
            descriptor_limit: config.sockets,
            memory_limit: config.memory,
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

    /// The address on which the node accepts clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Spawns a task on the node's event loop. Tests use it to block the loop.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        spawn_local(task);
    }

    /// Runs the node until its life cycle ends. Must be called inside a `LocalSet`.
    pub async fn run(self, signals: mpsc::UnboundedReceiver<ProcessSignal>) {
        // Without a running policy timer the watchdog would consider the event loop stuck.
        self.node.start();
        let limit_parameters = LimitParameters {
            longest_deadline: Duration::from_micros(self.node.platform.longest_deadline),
            // On an inherited listener, new connections wait in the backlog for the next process, so this one need not
            // keep accepting. With a rendezvous, a successor either accepts already or has not been started.
            stops_accepting_at_once: self.listener_inherited && self.rendezvous.is_none(),
        };
        let files = self.files.clone();
        let sampler = ReadinessSampler::new(
            Rc::clone(&self.node),
            self.descriptor_limit,
            self.memory_limit,
        );
        let started_at = Instant::now();
        let (status, status_receiver) = watch::channel(ServingStatus::unready());
        let (discovery_sender, discovery) = watch::channel(self.discovery);
        let (call_sender, calls) = mpsc::channel(admin::MAX_QUEUED_CALLS);
        let manager = Rc::clone(&self.manager);
        let (tasks, clients) = self.spawn_tasks(discovery, call_sender, status_receiver);
        let machine = Lifecycle::new(limit_parameters.limits(files.operator()), Duration::ZERO);
        let runner = LifecycleRunner::new(machine, manager, status, sampler, started_at);
        let reload = move || reload(files.clone(), limit_parameters, discovery_sender.clone());
        let inputs = Inputs {
            signals: Some(signals),
            calls: Some(calls),
        };
        runner.run(inputs, reload, clients).await;
        tasks.iter().for_each(JoinHandle::abort);
    }

    /// Spawns the tasks that run beside the life cycle. Returns those that run until they are aborted, and the one that
    /// serves clients until their connections have closed.
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
        let counts_interval = operator.and_then(|operator| operator.log.metrics_interval);
        let manager = Rc::clone(&self.manager);
        let tasks = vec![
            spawn_local(endpoint_sources::follow(
                node(),
                etcd,
                poll_limits,
                discovery,
                self.initial_list,
            )),
            spawn_local(peer_listener::run(node())),
            spawn_local(node().run_timer()),
            spawn_local(node().handle_abandoned_responses()),
            spawn_local(hot_restart::serve(node(), self.rendezvous, self.parent)),
            spawn_local(admin::serve(self.admin, node(), calls)),
            spawn_local(run_websocket_timer(node())),
            spawn_local(node().log_counts(counts_interval)),
            spawn_local(event_loop::measure_iterations()),
            spawn_local(lifecycle_runner::send_heartbeats(node(), manager)),
            spawn_local(shutdown::log_open_requests(node(), status.clone())),
        ];
        let clients = self.capacity.clients;
        let clients = clients::serve(
            self.listener,
            self.listener_inherited,
            node(),
            clients,
            status,
        );
        (tasks, spawn_local(clients))
    }
}

/// Copies the operator file's settings of the policy into the configuration.
fn apply_operator(config: &mut Config, operator: &Operator) {
    let settings = &mut config.platform.settings;
    settings.partition_safe = operator.quotas.partition_safe;
    settings.retransmission_budget = operator.quotas.retransmission_budget;
    settings.subsetting = operator.servers.subsetting;
}

/// Returns the listener for clients: the inherited one, or a new one bound to `address`.
async fn listen(
    address: SocketAddr,
    inherited: Option<std::net::TcpListener>,
    reuse_port: bool,
) -> Result<TcpListener, NodeError> {
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None if reuse_port => retry_shortage(|| async { bind_reusing_port(address) }).await,
        None => retry_shortage(|| TcpListener::bind(address)).await,
    };
    listener.map_err(|source| NodeError::Bind {
        setting: "listen",
        address,
        source,
    })
}

/// Binds a listener with `SO_REUSEPORT`, so that a successor can bind the same address while this node runs.
fn bind_reusing_port(address: SocketAddr) -> std::io::Result<TcpListener> {
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
