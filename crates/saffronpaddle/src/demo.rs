//! `saffronpaddle demo`: one edge node before three stand-in app servers, all on loopback, with nothing to set up.

use anyhow::{Context, Result};
use saffronpaddle_node::{Config, Edge, Manager, Options, ProcessSignal};
use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::servers::{AppServer, Spec};
use saffronpaddle_test_doubles::settings::{configuration, Fleet, Places};
use saffronpaddle_test_doubles::World;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::LocalSet;

const SERVERS: usize = 3;

pub fn demo(mut arguments: lexopt::Parser) -> Result<ExitCode> {
    let mut listen: SocketAddr = "127.0.0.1:8480".parse()?;
    while let Some(argument) = arguments.next()? {
        match argument {
            lexopt::Arg::Long("listen") => listen = lexopt::ValueExt::parse(&arguments.value()?)?,
            other => return Err(other.unexpected().into()),
        }
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, play(listen))?;
    Ok(ExitCode::SUCCESS)
}

async fn play(listen: SocketAddr) -> Result<()> {
    let fleet = Fleet::usual(1);
    let world = World::begin(fleet.bounds.clone());
    let discovery = Discovery::new(Arc::clone(&world));
    let mut servers = Vec::new();
    for number in 0..SERVERS {
        let work = fleet
            .classes
            .iter()
            .map(|class| (class.name.to_owned(), class.work))
            .collect();
        let spec = Spec {
            name: format!("s-{number}"),
            block: 1,
            cores: 4,
            slots: 64,
            work,
        };
        let server = AppServer::start(Arc::clone(&world), spec).context("an app server")?;
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
    let free = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|socket| socket.local_addr())?;
    let places = Places {
        name: "demo".to_owned(),
        listen,
        discovery: discovery.agent(0).await?,
        peer_listen: free,
        peers: vec![free],
        sockets: 1024,
        memory_mb: 192,
    };
    let text = configuration(
        &places,
        &fleet.settings(0),
        Some(&discovery.known()),
        fastrand::u64(..),
    );
    let config = Config::parse(std::path::Path::new("demo"), &text)?;
    let options = Options {
        config,
        operator: None,
        inherited_listener: None,
        rendezvous: None,
        manager: Manager::none(),
    };
    let edge = Edge::bind(options).await?;
    let address = edge.address();
    println!("One edge node before {SERVERS} stand-in app servers. Ask it for ranked times:");
    println!();
    println!(
        "  curl -si http://{address}/read/0000000000000007 -H 'X-Request-Id: r1' -H 'X-Class: read' \\\n    \
         -H 'X-Tier: small' -H 'X-Deadline: 3000m' -H 'X-Call-Terms: units=1,spread=1,first=0'"
    );
    println!();
    println!(
        "Plan small allows 4 at once, then 0.8 a second: ask more often and it is refused. Ctrl-C ends it."
    );
    let (tell, words) = mpsc::unbounded_channel();
    for kind in [SignalKind::interrupt(), SignalKind::terminate()] {
        let (mut signal, tell) = (signal(kind)?, tell.clone());
        tokio::task::spawn_local(async move {
            while signal.recv().await.is_some() && tell.send(ProcessSignal::Stop).is_ok() {}
        });
    }
    edge.run(words).await;
    Ok(())
}
