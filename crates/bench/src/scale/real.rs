//! Processes of the program in a scale run: their clients, which speak HTTP, and the same tries without a node between.

use crate::process::{self, Measured};
use anyhow::{ensure, Context, Result};
use saffronpaddle_hollow::figures::Spans;
use saffronpaddle_hollow::tenants::Tenants;
use saffronpaddle_test_doubles::settings::{configuration, Fleet, NodeConfig};
use saffronpaddle_test_doubles::wire::{HttpConnection, Message};
use saffronpaddle_test_doubles::World;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Descriptors that each may hold, and its memory as its configuration says, MB.
const SOCKETS: usize = 4_096;
const MEMORY_MB: usize = 256;
/// How long one may take to be ready, and between two looks.
const READY: (Duration, Duration) = (Duration::from_secs(30), Duration::from_millis(5));
/// Idle connections that the clients of one keep.
const IDLE: usize = 256;

/// One process.
pub struct Real {
    pub process: Measured,
    pub me: usize,
    pub ready_ms: f64,
}

/// Starts one, and waits until it is ready.
pub async fn start(
    world: &Arc<World>,
    me: usize,
    settings: &Value,
    peers: &[SocketAddr],
    discovery: SocketAddr,
) -> Result<Real> {
    let listen = saffronpaddle_test_doubles::ports::reserve_address()?;
    let places = NodeConfig {
        name: format!("n{me}"),
        listen,
        discovery,
        peer_listen: peers[me],
        peers: peers.to_vec(),
        sockets: SOCKETS,
        memory_mb: MEMORY_MB,
    };
    let begun = Instant::now();
    let process = process::member(
        &crate::program()?,
        listen,
        &configuration(&places, settings, None, me as u64 + 1),
    )?;
    while !matches!(
        tokio::time::timeout(READY.0, ready(world, listen)).await,
        Ok(Ok(true))
    ) {
        ensure!(
            begun.elapsed() < READY.0,
            "a process of the program is not ready within {:?}",
            READY.0
        );
        tokio::time::sleep(READY.1).await;
    }
    Ok(Real {
        process,
        me,
        ready_ms: begun.elapsed().as_secs_f64() * 1e3,
    })
}

async fn ready(world: &World, address: SocketAddr) -> Result<bool> {
    let mut wire = HttpConnection::new(TcpStream::connect(address).await?);
    wire.write(b"GET /-/ready HTTP/1.1\r\nHost: bench\r\n\r\n")
        .await?;
    Ok(wire
        .read_message(world)
        .await?
        .context("an answer")?
        .status()
        == 200)
}

/// What clients saw.
#[derive(Default)]
pub struct Seen {
    pub offered: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    /// Statuses of those; 0 for none.
    pub statuses: Vec<u16>,
    /// From when a try was due to its served answer, µs.
    pub took: Spans,
}

/// Clients of one address, whose tries wait for nothing.
pub struct Clients {
    world: Arc<World>,
    fleet: Fleet,
    tenants: Tenants,
    address: SocketAddr,
    me: u32,
    idle: Mutex<Vec<HttpConnection>>,
    seen: Mutex<Seen>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Clients {
    pub fn new(
        world: Arc<World>,
        fleet: Fleet,
        tenants: Tenants,
        (address, me): (SocketAddr, usize),
    ) -> Arc<Clients> {
        let (idle, seen) = (Mutex::default(), Mutex::default());
        Arc::new(Clients {
            world,
            fleet,
            tenants,
            address,
            me: me as u32,
            idle,
            seen,
        })
    }

    /// Sends so many tries a second for a span; comes back when the last has its answer.
    pub async fn offer(self: Arc<Self>, tries: f64, span: Duration) {
        let mut random = fastrand::Rng::with_seed(u64::from(self.me) ^ 0x5eed);
        let drawn = self.tenants.at(self.me);
        let (begun, mut at, mut number) = (Instant::now(), Duration::ZERO, 0_u64);
        let mut out = tokio::task::JoinSet::new();
        if tries <= 0.0 {
            return;
        }
        loop {
            at += Duration::from_secs_f64(-(1.0 - random.f64()).ln() / tries);
            if at >= span {
                break;
            }
            tokio::time::sleep(at.saturating_sub(begun.elapsed())).await;
            number += 1;
            let class = random.f64();
            let class = usize::from(class >= self.fleet.classes[0].share);
            let head = self.head(number, class, drawn.draw(random.f64()));
            let (clients, due) = (Arc::clone(&self), begun + at);
            out.spawn(async move { clients.send(head, due).await });
            while out.try_join_next().is_some() {}
        }
        while out.join_next().await.is_some() {}
    }

    fn head(&self, number: u64, class: usize, place: usize) -> String {
        let tenant = self.tenants.tenant(place);
        let (class, plan) = (
            &self.fleet.classes[class],
            self.fleet.plans[tenant.plan].name,
        );
        let (method, more, body) = if class.keyed {
            (
                "POST",
                format!(
                    "Idempotency-Key: {:x}-{number:032x}\r\nContent-Length: 8\r\n",
                    self.me
                ),
                "time=1:1",
            )
        } else {
            ("GET", String::new(), "")
        };
        let begun = self.world.now().as_nanos();
        format!(
            "{method} /{0}/{1:016x} HTTP/1.1\r\nHost: scale\r\nX-Request-Id: {2:x}-{number:x}-{begun:x}\r\nX-Class: {0}\r\n\
             X-Tier: {plan}\r\nX-Deadline: {3}m\r\nX-Call-Terms: units=1,spread={4},first={5}\r\n{more}\r\n{body}",
            class.name,
            tenant.id,
            self.me,
            class.deadline.as_millis(),
            tenant.spread,
            tenant.first
        )
    }

    async fn send(&self, head: String, due: Instant) {
        lock(&self.seen).offered += 1;
        let status = self.exchange(&head).await.unwrap_or(0);
        let took = due.elapsed().as_micros() as u64;
        let mut seen = lock(&self.seen);
        match status {
            200 => {
                seen.served += 1;
                seen.took.add(took);
            }
            429 | 503 => seen.refused += 1,
            other => {
                seen.failed += 1;
                seen.statuses.push(other);
            }
        }
    }

    /// On a kept connection, if there is one; where that has closed unread, on a new one, as clients do.
    async fn exchange(&self, head: &str) -> Result<u16> {
        let kept = lock(&self.idle).pop();
        if let Some(mut wire) = kept {
            let unread = wire.write(head.as_bytes()).await.is_err();
            let answer = if unread {
                Ok(None)
            } else {
                wire.read_message(&self.world).await
            };
            if let Ok(Some(answer)) = answer {
                return Ok(self.keep(wire, &answer));
            }
        }
        let mut wire = HttpConnection::new(TcpStream::connect(self.address).await?);
        wire.write(head.as_bytes()).await?;
        let answer = wire.read_message(&self.world).await?.context("an answer")?;
        Ok(self.keep(wire, &answer))
    }

    fn keep(&self, wire: HttpConnection, answer: &Message) -> u16 {
        let mut idle = lock(&self.idle);
        if answer.header("connection") != "close" && idle.len() < IDLE {
            idle.push(wire);
        }
        answer.status()
    }

    /// What was seen since the last look.
    pub fn seen(&self) -> Seen {
        std::mem::take(&mut lock(&self.seen))
    }
}
