//! `saffronpaddle demo`: one node in front of simulated app servers, all on loopback and without any configuration.

use anyhow::{Context, Result};
use saffronpaddle_node::{Config, Edge, Manager, Options, ProcessSignal};
use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::ports::reserve_address;
use saffronpaddle_test_doubles::servers::{AppServer, Spec};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig};
use saffronpaddle_test_doubles::World;
use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Address that the node listens on unless the command line gives another.
const DEFAULT_LISTEN: &str = "127.0.0.1:8480";
/// Simulated app servers behind the node.
const SERVER_COUNT: usize = 3;
/// Requests that an app server processes at the same time.
const SERVER_CORES: usize = 4;
/// Most requests that an app server accepts at a time, queued ones included.
const SERVER_SLOTS: usize = 64;
/// Most sockets that the node may open.
const NODE_SOCKETS: usize = 1024;
/// Memory limit of the node, in MB.
const NODE_MEMORY_MB: usize = 192;

/// Runs the demo until the process receives SIGINT or SIGTERM.
///
/// # Errors
/// The arguments are wrong, or the node or an app server can't be started.
pub fn demo(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let mut listen: SocketAddr = DEFAULT_LISTEN.parse()?;
    while let Some(argument) = arguments.next()? {
        match argument {
            lexopt::Arg::Long("listen") => listen = lexopt::ValueExt::parse(&arguments.value()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, run(listen))?;
    Ok(ExitCode::SUCCESS)
}

async fn run(listen: SocketAddr) -> Result<()> {
    let fleet = Fleet::typical(1);
    let world = World::start(fleet.bounds.clone());
    let discovery = Discovery::new(Arc::clone(&world));
    // Dropping the servers stops them.
    let _servers = start_servers(&fleet, &world, &discovery)?;
    let options = Options {
        config: node_config(listen, &fleet, &discovery).await?,
        operator: None,
        inherited_listener: None,
        rendezvous: None,
        manager: Manager::none(),
    };
    let node = Edge::bind(options).await?;
    print_instructions(node.address());
    node.run(stop_signals()?).await;
    Ok(())
}

fn start_servers(
    fleet: &Fleet,
    world: &Arc<World>,
    discovery: &Discovery,
) -> Result<Vec<AppServer>> {
    let mut servers = Vec::new();
    for number in 0..SERVER_COUNT {
        let spec = Spec {
            name: format!("s-{number}"),
            block: 1,
            cores: SERVER_CORES,
            slots: SERVER_SLOTS,
            work: fleet
                .classes
                .iter()
                .map(|class| (class.name.to_owned(), class.work))
                .collect(),
        };
        let server = AppServer::start(Arc::clone(world), spec).context("start an app server")?;
        discovery.change(vec![Entry {
            host: server.name().to_owned(),
            dial: server.address(),
            site: fleet.sites[number % fleet.sites.len()].to_owned(),
            block: server.block(),
            health: "ready",
            born_ms: 0,
        }]);
        servers.push(server);
    }
    Ok(servers)
}

async fn node_config(
    listen: SocketAddr,
    fleet: &Fleet,
    discovery: &Arc<Discovery>,
) -> Result<Config> {
    let peer_address = reserve_address()?;
    let node_config = NodeConfig {
        name: "demo".to_owned(),
        listen,
        discovery: discovery.start_agent(0).await?,
        peer_listen: peer_address,
        peers: vec![peer_address],
        sockets: NODE_SOCKETS,
        memory_mb: NODE_MEMORY_MB,
    };
    let text = configuration(
        &node_config,
        &fleet.settings(0),
        Some(&discovery.full_list()),
        fastrand::u64(..),
    );
    Ok(Config::parse(Path::new("demo"), &text)?)
}

fn print_instructions(address: SocketAddr) {
    println!("One edge node is running in front of {SERVER_COUNT} simulated app servers. Send it a request:");
    println!();
    println!(
        "  curl -si http://{address}/read/0000000000000007 -H 'X-Request-Id: r1' -H 'X-Class: read' \\\n    \
         -H 'X-Tier: small' -H 'X-Deadline: 3000m' -H 'X-Call-Terms: units=1,spread=1,first=0'"
    );
    println!();
    println!(
        "Plan small allows bursts of 4 requests, then 0.8 per second; requests beyond that are refused. Press Ctrl-C to stop."
    );
}

/// Returns a channel that receives a request to stop at each SIGINT and SIGTERM.
fn stop_signals() -> Result<mpsc::UnboundedReceiver<ProcessSignal>> {
    let (sender, receiver) = mpsc::unbounded_channel();
    for kind in [SignalKind::interrupt(), SignalKind::terminate()] {
        let (mut signal, sender) = (signal(kind)?, sender.clone());
        tokio::task::spawn_local(async move {
            while signal.recv().await.is_some() && sender.send(ProcessSignal::stop()).is_ok() {}
        });
    }
    Ok(receiver)
}
