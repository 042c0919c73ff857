//! One edge node from its start to its end: what is bound, what runs, and how it leaves.

use crate::clients::{self, Phase};
use crate::config::Config;
use crate::discovery;
use crate::node::Node;
use crate::peers::{self, Peers};
use crate::upstream::{Room, Upstream};
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;

/// After SIGTERM new connections go on coming for so long at the least.
const LEAVING_FOR: Duration = Duration::from_millis(600);
/// Descriptors for all but clients and app servers: listener, discovery, peers, the runtime's own.
const RESERVED: usize = 32;
/// One part in so many of the memory is for large bodies: each is held twice for a moment, and once more on its way out.
const LARGE_SHARE: usize = 8;

/// Runs one edge node as `LB_*` have it, until it is told to end.
///
/// # Errors
/// What could not be bound or read.
pub fn run() -> Result<()> {
    let config = Config::from_environment(|key| std::env::var(key).ok())?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, serve(config))
}

/// Serves until SIGTERM, then serves out what was taken.
///
/// # Errors
/// What could not be bound or read.
pub async fn serve(config: Config) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    // Guards against ending on SIGHUP, which is what it does to a process that does not ask for it.
    let hangup = signal(SignalKind::hangup()).context("SIGHUP")?;
    let listener = TcpListener::bind(config.listen).await;
    let listener = listener.with_context(|| format!("listen {}", config.listen))?;
    let peers = match config.peers {
        Some(addresses) => Some(Peers::bind(addresses, config.named.settings.me).await?),
        None => None,
    };
    let each_side = (config.sockets - RESERVED) / 2;
    let longest = Duration::from_micros(config.named.longest_deadline);
    let room = Room::new(config.memory / LARGE_SHARE);
    let upstream = Upstream::new(room, each_side, config.named.conn_idle, config.named.connect_timeout);
    let node = Node::new(config.seed, config.named, upstream, peers)?;
    eprintln!("{}: listening on {}", config.name, listener.local_addr().context("listen")?);

    let (phase, seen) = watch::channel(Phase::Serving);
    let (moved, discovery) = watch::channel(config.discovery);
    tokio::task::spawn_local(reload(hangup, config.path, moved));
    tokio::task::spawn_local(discovery::follow(Rc::clone(&node), discovery, config.known));
    tokio::task::spawn_local(peers::listen(Rc::clone(&node)));
    tokio::task::spawn_local(retire(Rc::clone(&node)));
    let clients = tokio::task::spawn_local(clients::serve(listener, node, each_side, seen));

    terminate.recv().await;
    phase.send_replace(Phase::Leaving);
    tokio::time::sleep(LEAVING_FOR).await;
    phase.send_replace(Phase::Closing);
    // All that was taken ends by its own deadline; a client that never reads must not hold up the exit.
    let _ = tokio::time::timeout(longest, clients).await;
    Ok(())
}

/// Rereads the configuration on each SIGHUP, for ever. Only discovery's address can change in service.
async fn reload(mut hangup: Signal, path: PathBuf, discovery: watch::Sender<SocketAddr>) {
    while hangup.recv().await.is_some() {
        match Config::read(&path) {
            Ok(config) => {
                // Also when it is the same address as before: its numbering may have begun anew.
                discovery.send_replace(config.discovery);
                eprintln!("reloaded: discovery at {}", config.discovery);
            }
            Err(error) => eprintln!("the old configuration stays: {error:#}"),
        }
    }
}

async fn retire(node: Rc<Node>) {
    node.upstream.retire().await;
}
