//! Processes of the program in a scale run, and their HTTP clients. The same clients also send requests directly to a
//! server, for comparison.

use crate::process::{self, MeasuredProcess};
use anyhow::{ensure, Context, Result};
use saffronpaddle_hollow::figures::DurationHistogram;
use saffronpaddle_hollow::tenants::Tenants;
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig};
use saffronpaddle_test_doubles::wire::{HttpConnection, Message};
use saffronpaddle_test_doubles::World;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Limit of sockets in the configuration of a process.
const SOCKET_LIMIT: usize = 4_096;
/// Memory in the configuration of a process, MB.
const MEMORY_MB: usize = 256;
/// Longest time until a process is ready, and the interval between two checks.
const READY_TIMEOUT: (Duration, Duration) = (Duration::from_secs(30), Duration::from_millis(5));
/// Most idle connections that the clients of one address keep.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// A process of the program.
pub struct RealNode {
    pub process: MeasuredProcess,
    /// Number of the node in the fleet.
    pub node: usize,
    /// Time from exec to readiness, ms.
    pub ready_ms: f64,
}

/// Starts a process and waits until it is ready.
pub async fn start(
    world: &Arc<World>,
    node: usize,
    settings: &Value,
    peers: &[SocketAddr],
    discovery: SocketAddr,
) -> Result<RealNode> {
    let listen = saffronpaddle_test_doubles::ports::reserve_address()?;
    let config = NodeConfig {
        name: format!("n{node}"),
        listen,
        discovery,
        peer_listen: peers[node],
        peers: peers.to_vec(),
        sockets: SOCKET_LIMIT,
        memory_mb: MEMORY_MB,
    };
    let started = Instant::now();
    let process = process::start_fleet_node(
        &crate::program()?,
        listen,
        &configuration(&config, settings, None, node as u64 + 1),
    )?;
    while !matches!(
        tokio::time::timeout(READY_TIMEOUT.0, is_ready(world, listen)).await,
        Ok(Ok(true))
    ) {
        ensure!(
            started.elapsed() < READY_TIMEOUT.0,
            "node {node} is not ready within {:?}",
            READY_TIMEOUT.0
        );
        tokio::time::sleep(READY_TIMEOUT.1).await;
    }
    Ok(RealNode {
        process,
        node,
        ready_ms: started.elapsed().as_secs_f64() * 1e3,
    })
}

async fn is_ready(world: &World, address: SocketAddr) -> Result<bool> {
    let mut connection = HttpConnection::new(TcpStream::connect(address).await?);
    connection
        .write(b"GET /-/ready HTTP/1.1\r\nHost: bench\r\n\r\n")
        .await?;
    Ok(connection
        .read_message(world)
        .await?
        .context("the node closed the connection without an answer")?
        .status()
        == 200)
}

/// Outcomes of the requests of clients.
#[derive(Default)]
pub struct ClientStats {
    /// Requests sent.
    pub offered: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests answered with status 429 or 503.
    pub refused: u64,
    /// Requests with another status or without an answer.
    pub failed: u64,
    /// HTTP statuses of failed requests; 0 for no answer.
    pub failed_statuses: Vec<u16>,
    /// Time from the scheduled start of a served request to its answer, µs.
    pub latency: DurationHistogram,
}

/// Open-loop clients of one address: they send requests at random times without waiting for earlier answers.
pub struct Clients {
    world: Arc<World>,
    fleet: Fleet,
    tenants: Tenants,
    address: SocketAddr,
    node: u32,
    idle: Mutex<Vec<HttpConnection>>,
    stats: Mutex<ClientStats>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Clients {
    /// Clients of the node at an address. `node` selects the tenants that send requests to it.
    pub fn new(
        world: Arc<World>,
        fleet: Fleet,
        tenants: Tenants,
        (address, node): (SocketAddr, usize),
    ) -> Arc<Clients> {
        let (idle, stats) = (Mutex::default(), Mutex::default());
        Arc::new(Clients {
            world,
            fleet,
            tenants,
            address,
            node: node as u32,
            idle,
            stats,
        })
    }

    /// Sends `rate` requests/s for `duration`. Returns when all are answered.
    pub async fn send_requests(self: Arc<Self>, rate: f64, duration: Duration) {
        let mut random = fastrand::Rng::with_seed(u64::from(self.node) ^ 0x5eed);
        let sampler = self.tenants.sampler(self.node);
        let (started, mut at, mut number) = (Instant::now(), Duration::ZERO, 0_u64);
        let mut in_flight = tokio::task::JoinSet::new();
        if rate <= 0.0 {
            return;
        }
        loop {
            at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / rate);
            if at >= duration {
                break;
            }
            tokio::time::sleep(at.saturating_sub(started.elapsed())).await;
            number += 1;
            let class = random.f64();
            let class = usize::from(class >= self.fleet.classes[0].share);
            let request = self.request_text(number, class, sampler.rank(random.f64()));
            let (clients, due_at) = (Arc::clone(&self), started + at);
            in_flight.spawn(async move { clients.send(request, due_at).await });
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    fn request_text(&self, number: u64, class: usize, tenant_rank: usize) -> String {
        let tenant = self.tenants.tenant(tenant_rank);
        let (class, plan) = (
            &self.fleet.classes[class],
            self.fleet.plans[tenant.plan].name,
        );
        let (method, extra_headers, body) = if class.keyed {
            (
                "POST",
                format!(
                    "Idempotency-Key: {:x}-{number:032x}\r\nContent-Length: 8\r\n",
                    self.node
                ),
                "time=1:1",
            )
        } else {
            ("GET", String::new(), "")
        };
        let now_ns = self.world.now().as_nanos();
        format!(
            "{method} /{0}/{1:016x} HTTP/1.1\r\nHost: scale\r\nX-Request-Id: {2:x}-{number:x}-{now_ns:x}\r\nX-Class: {0}\r\n\
             X-Tier: {plan}\r\nX-Deadline: {3}m\r\nX-Call-Terms: units=1,spread={4},first={5}\r\n{extra_headers}\r\n{body}",
            class.name,
            tenant.id,
            self.node,
            class.deadline.as_millis(),
            tenant.subset_size,
            tenant.subset_first
        )
    }

    async fn send(&self, request: String, due_at: Instant) {
        lock(&self.stats).offered += 1;
        let status = self.exchange(&request).await.unwrap_or(0);
        let latency = due_at.elapsed().as_micros() as u64;
        let mut stats = lock(&self.stats);
        match status {
            200 => {
                stats.served += 1;
                stats.latency.record(latency);
            }
            429 | 503 => stats.refused += 1,
            other => {
                stats.failed += 1;
                stats.failed_statuses.push(other);
            }
        }
    }

    /// Sends a request on an idle connection, if there is one. If the node has closed that one without an answer,
    /// uses a new connection, as HTTP clients do.
    async fn exchange(&self, request: &str) -> Result<u16> {
        let idle = lock(&self.idle).pop();
        if let Some(mut connection) = idle {
            let write_failed = connection.write(request.as_bytes()).await.is_err();
            let answer = if write_failed {
                Ok(None)
            } else {
                connection.read_message(&self.world).await
            };
            if let Ok(Some(answer)) = answer {
                return Ok(self.keep(connection, &answer));
            }
        }
        let mut connection = HttpConnection::new(TcpStream::connect(self.address).await?);
        connection.write(request.as_bytes()).await?;
        let answer = connection
            .read_message(&self.world)
            .await?
            .context("the node closed the connection without an answer")?;
        Ok(self.keep(connection, &answer))
    }

    /// Keeps a connection for further requests unless it is to be closed. Returns the status of the answer.
    fn keep(&self, connection: HttpConnection, answer: &Message) -> u16 {
        let mut idle = lock(&self.idle);
        if answer.header("connection") != "close" && idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(connection);
        }
        answer.status()
    }

    /// Takes the outcomes since the last call.
    pub fn take_stats(&self) -> ClientStats {
        std::mem::take(&mut lock(&self.stats))
    }
}
