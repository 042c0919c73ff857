//! CPU per request of one node, compared with the bare relay on the same core in the same run.

use crate::process::{self, MeasuredProcess};
use anyhow::{ensure, Context, Result};
use lexopt::prelude::*;
use saffronpaddle_test_doubles::discovery::{Discovery, Entry};
use saffronpaddle_test_doubles::oracle::Bounds;
use saffronpaddle_test_doubles::wire::HttpConnection;
use saffronpaddle_test_doubles::World;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};

/// Number of the core to which the node and the relay are pinned in turn.
const MEASURED_CORE: usize = 0;

/// Runs the subcommand `cost`: measures the node, the other build if one is given, and the bare relay in turn, and prints
/// the medians over all rounds.
pub fn measure(mut arguments: lexopt::Parser) -> Result<()> {
    let (mut servers, mut connections, mut requests, mut rounds) =
        (10_usize, 16_usize, 40_000_u64, 3_usize);
    let mut against: Option<PathBuf> = None;
    while let Some(argument) = arguments.next()? {
        match argument {
            Long("servers") => servers = arguments.value()?.parse()?,
            Long("connections") => connections = arguments.value()?.parse()?,
            Long("requests") => requests = arguments.value()?.parse()?,
            Long("rounds") => rounds = arguments.value()?.parse()?,
            Long("against") => against = Some(arguments.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    ensure!(
        servers > 0 && connections > 0 && requests > 0 && rounds > 0,
        "--servers, --connections, --requests and --rounds are at least 1"
    );
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(async {
        let world = World::start(Bounds::default());
        let discovery = Discovery::new(Arc::clone(&world));
        let mut addresses = Vec::new();
        for number in 0..servers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addresses.push(listener.local_addr()?);
            tokio::spawn(serve_immediately(Arc::clone(&world), listener));
            discovery.change(vec![Entry {
                host: format!("s-{number}"),
                dial: addresses[number],
                site: "north".to_owned(),
                block: 1,
                health: "ready",
                born_ms: 0,
            }]);
        }
        let agent = discovery.start_agent(0).await?;
        let fleet = process::unlimited_fleet();
        let (mut nodes, mut relays, mut others) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..rounds {
            let node = process::start_node(&crate::program()?, &fleet, agent, &discovery.full_list())?;
            nodes.push(measure_round(&world, &node, connections, requests).await.context("measuring the node")?);
            drop(node);
            if let Some(other) = &against {
                let node = process::start_node(other, &fleet, agent, &discovery.full_list())?;
                others.push(
                    measure_round(&world, &node, connections, requests)
                        .await
                        .context("measuring the other build")?,
                );
            }
            let relay = process::start_relay("relay", &addresses)?;
            relays.push(measure_round(&world, &relay, connections, requests).await.context("measuring the relay")?);
        }
        // Ratios are formed within a round, as the speed of the machine varies more between rounds than within one.
        let mut ratios: Vec<f64> = nodes.iter().zip(&others).map(|(node, other)| node / other).collect();
        let median = |values: &mut Vec<f64>| {
            values.sort_by(f64::total_cmp);
            values[values.len() / 2]
        };
        let (node, relay) = (median(&mut nodes), median(&mut relays));
        println!("{servers} servers, {connections} connections, {requests} requests, {rounds} rounds each");
        println!("edge node {node:.1} µs of CPU a request {nodes:.1?}");
        println!("bare relay {relay:.1} µs {relays:.1?}");
        println!("ratio {:.2}", node / relay);
        if against.is_some() {
            let (other, more) = (median(&mut others), (median(&mut ratios) - 1.0) * 100.0);
            println!("other build {other:.1} µs {others:.1?}");
            println!("this build costs {more:+.1}% (median over rounds)");
        }
        Ok(())
    })
}

/// Serves HTTP and answers each request immediately.
pub async fn serve_immediately(world: Arc<World>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let world = Arc::clone(&world);
        tokio::spawn(async move {
            let mut connection = HttpConnection::new(stream);
            while let Ok(Some(_)) = connection.read_message(&world).await {
                if connection
                    .write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nranks")
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

/// Sends requests, one at a time on each connection. Returns the CPU time of the process per request, µs.
pub async fn measure_round(
    world: &Arc<World>,
    process: &MeasuredProcess,
    connections: usize,
    requests: u64,
) -> Result<f64> {
    process.pin(MEASURED_CORE)?;
    wait_until_listening(process).await?;
    // Warm-up requests, which open the connections to the servers, are not measured.
    send_requests(world, process.address, connections, requests / 8).await?;
    let before = process.main_thread_cpu_ns()?;
    send_requests(world, process.address, connections, requests).await?;
    Ok((process.main_thread_cpu_ns()? - before) as f64 / 1e3 / requests as f64)
}

/// Waits until a process accepts connections.
pub async fn wait_until_listening(process: &MeasuredProcess) -> Result<()> {
    let started = Instant::now();
    while TcpStream::connect(process.address).await.is_err() {
        ensure!(
            started.elapsed() < Duration::from_secs(20),
            "the process does not listen on {} within 20 s",
            process.address
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(())
}

async fn send_requests(
    world: &Arc<World>,
    address: SocketAddr,
    connections: usize,
    requests: u64,
) -> Result<()> {
    let remaining = Arc::new(AtomicU64::new(requests));
    let mut clients = tokio::task::JoinSet::new();
    for client in 0..connections {
        let (remaining, world) = (Arc::clone(&remaining), Arc::clone(world));
        clients.spawn(async move {
            let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
            let next = || remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| count.checked_sub(1));
            while let Ok(number) = next() {
                let request = format!(
                    "GET /read/{client:016x} HTTP/1.1\r\nHost: bench\r\nX-Request-Id: {client:x}-{number:x}-{0:x}\r\n\
                     X-Class: read\r\nX-Tier: free\r\nX-Deadline: 3000m\r\n\
                     X-Call-Terms: units=1,spread=1,first=0\r\n\r\n",
                    world.now().as_nanos() as u64
                );
                connection.write(request.as_bytes()).await?;
                let answer = connection
                    .read_message(&world)
                    .await?
                    .context("the process closed the connection without an answer")?;
                ensure!(answer.status() == 200, "a request was answered with {}", answer.start_line);
            }
            Ok::<(), anyhow::Error>(())
        });
    }
    while let Some(ended) = clients.join_next().await {
        ended??;
    }
    Ok(())
}
