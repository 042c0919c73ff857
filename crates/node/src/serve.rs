//! One edge node from its start to its end: what is bound, what runs, and how it leaves.

use crate::admin::{self, Admin};
use crate::clients::{self, ServingStatus};
use crate::config::Config;
use crate::endpoint_sources;
use crate::event_loop;
use crate::hot_restart::{self, Rendezvous};
use crate::inherited_listener;
use crate::lifecycle_runner::{self, LifecycleRunner, ProcessSignal};
use crate::manager::Manager;
use crate::node::{Node, NodeParts};
use crate::peer_listener;
use crate::peers::Peers;
use crate::process_links::ProcessLinks;
use crate::readiness::ReadinessSampler;
use crate::shutdown;
use anyhow::{Context, Result};
use saffronpaddle_lifecycle::{Lifecycle, Limits};
use saffronpaddle_netio::retry_shortage;
use saffronpaddle_operator_config::Operator;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing::{info, warn};

/// Descriptors for all but clients and app servers: listener, discovery, peers, the runtime's own; the operators' and its
/// callers.
const RESERVED_DESCRIPTORS: usize = 32 + Admin::DESCRIPTORS;
/// Connections of either side that sockets must leave to requests.
const MIN_CONNECTIONS_PER_SIDE: usize = 32;
/// Connections that may wait to be accepted.
const LISTEN_BACKLOG: i32 = 1024;

/// The operator file that a node was given.
#[derive(Clone, Debug)]
pub struct OperatorFile {
    /// Where it stands, to be read again.
    pub path: PathBuf,
    /// What it says.
    pub settings: Operator,
}

impl OperatorFile {
    /// Reads it.
    ///
    /// # Errors
    /// All that is wrong with it, in one line that names the file and the keys.
    pub fn read(path: &Path) -> Result<OperatorFile> {
        let shown = path.display().to_string();
        let text = std::fs::read_to_string(path).with_context(|| shown.clone())?;
        let settings = Operator::parse(&text).with_context(|| shown)?;
        Ok(OperatorFile {
            path: path.to_owned(),
            settings,
        })
    }
}

/// What one node is made of.
pub struct Options {
    /// What the platform tells it.
    pub config: Config,
    /// What the operator sets; `None` leaves all of that off.
    pub operator: Option<OperatorFile>,
    /// A listener that is handed over, in place of one of the node's own.
    pub inherited_listener: Option<std::net::TcpListener>,
    /// Where processes of this node meet, if the platform holds the listener that they share.
    pub rendezvous: Option<PathBuf>,
    /// Who is told how it goes.
    pub manager: Manager,
}

/// Runs one edge node as the environment has it, until it is told to end.
///
/// # Errors
/// What could not be bound or read.
pub fn run(operator: Option<PathBuf>) -> Result<()> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = event_loop::observe_parking(&mut runtime)
        .enable_all()
        .build()?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        // Danger: a reload that is told while the files are still read for the first time, which would end the process.
        let words = signals()?;
        let edge = Edge::bind(options(operator)?).await?;
        edge.run(words).await;
        Ok(())
    })
}

/// What the environment, the configuration and the operator file make of a node.
fn options(operator: Option<PathBuf>) -> Result<Options> {
    let config = Config::from_environment(|key| std::env::var(key).ok())?;
    let operator = operator.as_deref().map(OperatorFile::read).transpose()?;
    let (mut inherited_listener, mut manager) = (None, Manager::none());
    if let Some(OperatorFile { settings, .. }) = &operator {
        if settings.listen.handed_over {
            inherited_listener = inherited_listener::take(&settings.listen.name)?;
        }
        let socket = std::env::var_os("NOTIFY_SOCKET").filter(|_| settings.manager.notify);
        if let Some(address) = socket.filter(|address| !address.is_empty()) {
            let watchdog = sd_notify::watchdog_enabled().filter(|_| settings.manager.watchdog);
            // A node that can't tell how it goes still serves.
            manager = Manager::at(&address, watchdog).unwrap_or_else(|error| {
                warn!(%error, "NOTIFY_SOCKET: no notifications are sent");
                Manager::none()
            });
        }
    }
    let mut rendezvous = None;
    if let Some(inherited) =
        inherited_listener::inherited(std::env::var("LB_LISTEN_FD").ok().as_deref())?
    {
        inherited_listener = Some(inherited);
        rendezvous = std::env::var_os("TMPDIR")
            .filter(|folder| !folder.is_empty())
            .map(PathBuf::from);
    }
    Ok(Options {
        config,
        operator,
        inherited_listener,
        rendezvous,
        manager,
    })
}

/// The words that signals stand for, from now on.
fn signals() -> Result<mpsc::UnboundedReceiver<ProcessSignal>> {
    let (tell, words) = mpsc::unbounded_channel();
    // SIGHUP ends a process that does not ask for it.
    let kinds = [
        (SignalKind::terminate(), ProcessSignal::Stop),
        (SignalKind::hangup(), ProcessSignal::Reload),
    ];
    for (kind, word) in kinds {
        let mut signal = signal(kind).context("signals")?;
        let tell = tell.clone();
        tokio::task::spawn_local(async move {
            while signal.recv().await.is_some() && tell.send(word).is_ok() {}
        });
    }
    Ok(words)
}

/// A node that is bound: connections wait in its backlog, but nothing runs yet.
pub struct Edge {
    node: Rc<Node>,
    listener: TcpListener,
    shared: bool,
    /// Processes of this node may overlap.
    overlaps: bool,
    address: SocketAddr,
    discovery: SocketAddr,
    known: Option<crate::config::List>,
    max_clients: usize,
    sockets: usize,
    memory: usize,
    files: Files,
    manager: Rc<Manager>,
    admin: Option<Admin>,
    rendezvous: Option<Rendezvous>,
    parent: Option<hot_restart::ParentLink>,
}

/// The files that a reload reads, and what the operator file last said.
#[derive(Clone)]
struct Files {
    config: PathBuf,
    operator: Option<OperatorFile>,
}

impl Edge {
    /// Binds a node's sockets.
    ///
    /// # Errors
    /// What could not be bound.
    pub async fn bind(options: Options) -> Result<Edge> {
        let Options {
            mut config,
            operator,
            inherited_listener,
            rendezvous,
            manager,
        } = options;
        if let Some(file) = &operator {
            let settings = &mut config.named.settings;
            (settings.partition_safe, settings.retransmission_budget) = (
                file.settings.quotas.fenced,
                file.settings.quotas.spare_words,
            );
            settings.subsetting = file.settings.servers.working_set;
        }
        let shared = inherited_listener.is_some();
        let overlaps = rendezvous.is_some();
        let links = ProcessLinks::new(&config.name, overlaps);
        let rendezvous = rendezvous.map(|folder| Rendezvous::new(&folder, &config.name));
        // Before anything is bound: until then the elder has all to itself.
        let met = match &rendezvous {
            Some(rendezvous) => rendezvous.connect_to_parent(&links).await,
            None => None,
        };
        let (parent, state) = met.unzip();
        let transferred_list = state.as_ref().and_then(hot_restart::transferred_list);
        let kept = parent
            .as_ref()
            .map(hot_restart::ParentLink::number)
            .zip(state)
            .map(|(no, state)| (state.policy, no));
        if let Some((kept, _)) = &kept {
            let (customers, servers) = kept.size();
            info!(
                "hand-over: taken over from a process of this node: {customers} customers, {servers} servers"
            );
        }
        let reuse = operator
            .as_ref()
            .is_some_and(|file| file.settings.listen.reuse_port);
        let listener = match inherited_listener {
            Some(listener) => TcpListener::from_std(listener),
            None if reuse => retry_shortage(|| async { bind_reusing(config.listen) }).await,
            None => retry_shortage(|| TcpListener::bind(config.listen)).await,
        };
        let listener = listener.with_context(|| format!("listen {}", config.listen))?;
        let peers = match config.peers {
            Some(addresses) => {
                Some(Peers::bind(addresses, config.named.settings.node, reuse || shared).await?)
            }
            None => None,
        };
        let sockets = operator
            .as_ref()
            .and_then(|file| file.settings.sockets.clone());
        let apart = sockets
            .as_ref()
            .map_or(0, |sockets| 2 * sockets.limits.per_node);
        let both_sides = config.sockets.saturating_sub(RESERVED_DESCRIPTORS + apart);
        // Clients that are slow, or mean no good, hold theirs far longer than attempts do.
        let each_side = both_sides * 3 / 8;
        // Guards requests: sockets never take the descriptors that these need.
        anyhow::ensure!(
            apart == 0 || each_side >= MIN_CONNECTIONS_PER_SIDE,
            "sockets.per_node: leaves {each_side} connections for requests of {} descriptors; {MIN_CONNECTIONS_PER_SIDE} are \
             the least",
            config.sockets
        );
        let node = Node::new(NodeParts {
            seed: config.seed,
            named: config.named,
            max_upstream_connections: each_side,
            links,
            peers,
            sockets,
            restored: kept,
        })?;
        let admin = match config.admin {
            Some(address) => Some(Admin::bind(address).await?),
            None => None,
        };
        let address = listener.local_addr().context("listen")?;
        info!("{}: listening on {address}", config.name);
        Ok(Edge {
            node,
            listener,
            shared,
            address,
            discovery: config.discovery,
            known: transferred_list.or(config.known),
            overlaps,
            max_clients: both_sides - each_side,
            sockets: config.sockets,
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

    /// A task that the node's loop runs. Tests use it to make the loop stick.
    pub fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        tokio::task::spawn_local(task);
    }

    /// Runs it until its life cycle ends. Inside a `LocalSet` only.
    pub async fn run(self, words: mpsc::UnboundedReceiver<ProcessSignal>) {
        let Edge {
            node,
            manager,
            files,
            ..
        } = self;
        // Danger: a module that was told nothing yet asks for no wake-up, and a loop without one looks stuck.
        node.start();
        let longest = Duration::from_micros(node.named.longest_deadline);
        // What comes to a listener that is handed over waits for its next owner; but where processes overlap, the next
        // owner is there, or there is none yet.
        let leave_at_once = self.shared && !self.overlaps;
        let limits = limits(
            files.operator.as_ref().map(|file| &file.settings),
            longest,
            leave_at_once,
        );
        let sampler = ReadinessSampler::new(Rc::clone(&node), self.sockets, self.memory);
        let started_at = Instant::now();
        let (status, seen) = watch::channel(ServingStatus::unready());
        let (moved, discovery) = watch::channel(self.discovery);
        let operator = files.operator.as_ref().map(|file| &file.settings);
        let sources = operator
            .map(|operator| (operator.etcd.clone(), operator.list.clone()))
            .unwrap_or_default();
        let counts_every = files
            .operator
            .as_ref()
            .and_then(|file| file.settings.log.counts_every);
        let (ask, calls) = mpsc::channel(admin::MAX_QUEUED_CALLS);
        let tasks = [
            tokio::task::spawn_local(endpoint_sources::follow(
                Rc::clone(&node),
                sources,
                discovery,
                self.known,
            )),
            tokio::task::spawn_local(peer_listener::run(Rc::clone(&node))),
            tokio::task::spawn_local(Rc::clone(&node).run_timer()),
            tokio::task::spawn_local(Rc::clone(&node).handle_abandoned_responses()),
            tokio::task::spawn_local(hot_restart::serve(
                Rc::clone(&node),
                self.rendezvous,
                self.parent,
            )),
            tokio::task::spawn_local(admin::serve(self.admin, Rc::clone(&node), ask)),
            tokio::task::spawn_local(ring_sockets(Rc::clone(&node))),
            tokio::task::spawn_local(Rc::clone(&node).log_counts(counts_every)),
            tokio::task::spawn_local(event_loop::confirm_rounds()),
            tokio::task::spawn_local(lifecycle_runner::feed_watchdog(
                Rc::clone(&node),
                Rc::clone(&manager),
            )),
            tokio::task::spawn_local(shutdown::log_open_requests(Rc::clone(&node), seen.clone())),
        ];
        let clients = clients::serve(self.listener, self.shared, node, self.max_clients, seen);
        let clients = tokio::task::spawn_local(clients);
        let machine = Lifecycle::new(limits, Duration::ZERO);
        let life = LifecycleRunner {
            machine,
            manager,
            status,
            sampler,
            started_at,
        };
        let moved = Rc::new(moved);
        let shared = leave_at_once;
        let reload = move || {
            let (files, moved) = (files.clone(), Rc::clone(&moved));
            async move {
                let operator = reread(files, moved).await?;
                Some(self::limits(operator.as_ref(), longest, shared))
            }
        };
        life.run(words, calls, reload, clients).await;
        tasks.iter().for_each(tokio::task::JoinHandle::abort);
    }
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

/// What binds the life cycle. A listener that is shared is left at once: what comes waits for its next owner.
fn limits(operator: Option<&Operator>, longest_deadline: Duration, shared: bool) -> Limits {
    let Some(operator) = operator else {
        return Limits::immediate(longest_deadline);
    };
    Limits {
        readiness: operator.ready.clone(),
        leave_for: if shared {
            Duration::ZERO
        } else {
            operator.stop.leave_for
        },
        finish_within: operator.stop.finish_within.unwrap_or(longest_deadline),
        reload_within: operator.reload.within,
    }
}

/// Reads the files again; what the operator's says, or nothing if one of them is bad: then none is taken. Only
/// discovery's address and the operator's limits can change in service.
async fn reread(
    files: Files,
    discovery: Rc<watch::Sender<SocketAddr>>,
) -> Option<Option<Operator>> {
    let read = tokio::task::spawn_blocking(move || -> Result<(Config, Option<Operator>)> {
        let config = Config::read(&files.config)?;
        let operator = files
            .operator
            .as_ref()
            .map(|file| OperatorFile::read(&file.path))
            .transpose()?;
        Ok((config, operator.map(|file| file.settings)))
    });
    match read
        .await
        .map_err(anyhow::Error::from)
        .and_then(|config| config)
    {
        Ok((config, operator)) => {
            // Also when it is the same address as before: its numbering may have begun anew.
            discovery.send_replace(config.discovery);
            info!("reloaded: discovery at {}", config.discovery);
            Some(operator)
        }
        Err(error) => {
            warn!("the old configuration stays: {error:#}");
            None
        }
    }
}

async fn ring_sockets(node: Rc<Node>) {
    if let Some(websockets) = &node.websockets {
        websockets.run_timer().await;
    }
}
