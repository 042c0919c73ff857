//! App servers: each has cores, a waiting room and a temper that a script may change, and starts cold.

use crate::wire::{response, HttpConnection};
use crate::{lock, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// A socket that others may bind beside it.
fn bound(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// What a server does with its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Behavior {
    /// Times its usual work that a request takes.
    pub work_multiplier: f64,
    /// It takes requests and answers none.
    pub silent: bool,
    /// Share of its requests that end in a reset, after they ran.
    pub reset_share: f64,
    /// Share of them that are answered 500, after they ran.
    pub error_share: f64,
}

impl Default for Behavior {
    fn default() -> Behavior {
        Behavior {
            work_multiplier: 1.0,
            silent: false,
            reset_share: 0.0,
            error_share: 0.0,
        }
    }
}

/// What a server is.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its name on the list.
    pub name: String,
    /// The group that drops repeats.
    pub block: u64,
    /// Requests in work at once.
    pub cores: usize,
    /// Requests held at once, beyond which it turns away unseen.
    pub slots: usize,
    /// Mean work by class, which is the first part of the path.
    pub work: Vec<(String, Duration)>,
}

#[derive(Debug)]
struct Shared {
    world: Arc<World>,
    spec: Spec,
    behavior: Mutex<Behavior>,
    cores: Semaphore,
    held_requests: AtomicUsize,
    /// When each connection was made, and how many requests came.
    handshakes: Mutex<Vec<Duration>>,
    requests: AtomicUsize,
    /// Its life: each process has a number, 0 while none runs.
    process_id: watch::Sender<u64>,
    _reserved_socket: TcpSocket,
}

/// A server. Its address stays the same over its restarts.
#[derive(Clone, Debug)]
pub struct AppServer {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl AppServer {
    /// Starts one, warm, on a port of its own.
    ///
    /// # Errors
    /// No port could be had.
    pub fn start(world: Arc<World>, spec: Spec) -> std::io::Result<AppServer> {
        // Bound but never listening: nobody else gets the port while no process runs, and connections are refused.
        let address = crate::ports::reserve_address()?;
        let keeper = bound(address)?;
        let listener = bound(address)?.listen(BACKLOG)?;
        let (life, _) = watch::channel(1);
        let cores = Semaphore::new(spec.cores);
        let (behavior, held, handshakes, requests) = Default::default();
        let shared = Shared {
            world,
            spec,
            behavior,
            cores,
            held_requests: held,
            handshakes,
            requests,
            process_id: life,
            _reserved_socket: keeper,
        };
        let shared = Arc::new(shared);
        let server = AppServer { shared, address };
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    /// Its name on the list.
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// The group that drops repeats.
    pub fn block(&self) -> u64 {
        self.shared.spec.block
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Seconds of work a second that it can do once it is warm.
    pub fn capacity(&self) -> f64 {
        self.shared.spec.cores as f64
    }

    /// When each connection was made to it, since the run's beginning, and how many requests came.
    pub fn handshakes_and_requests(&self) -> (Vec<Duration>, usize) {
        (
            lock(&self.shared.handshakes).clone(),
            self.shared.requests.load(Ordering::Relaxed),
        )
    }

    /// Changes its temper.
    pub fn set_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.shared.behavior));
    }

    /// Ends its process: connections are reset, new ones refused.
    pub fn kill(&self) {
        self.shared.process_id.send_replace(0);
    }

    /// Starts its process anew after [`AppServer::kill`]; it is cold, and the ledger watches whether it falls.
    ///
    /// # Errors
    /// Its port could not be had again.
    pub fn start_cold(&self) -> std::io::Result<()> {
        let listener = bound(self.address)?.listen(BACKLOG)?;
        let world = &self.shared.world;
        world
            .oracle()
            .server_started_cold(world.now(), self.name(), self.capacity());
        let number = world.now().as_nanos() as u64 | 1;
        self.shared.process_id.send_replace(number);
        tokio::spawn(self.clone().accept(listener));
        Ok(())
    }

    async fn accept(self, listener: TcpListener) {
        let mut life = self.shared.process_id.subscribe();
        let mine = *life.borrow_and_update();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        lock(&self.shared.handshakes).push(self.shared.world.now());
                        tokio::spawn(self.clone().serve(stream, mine));
                    }
                }
                _ = life.wait_for(|now| *now != mine) => return,
            }
        }
    }

    async fn serve(self, stream: TcpStream, mine: u64) {
        let mut life = self.shared.process_id.subscribe();
        let mut connection = HttpConnection::new(stream);
        let died = async move {
            let _ = life.wait_for(|now| *now != mine).await;
        };
        tokio::pin!(died);
        loop {
            let message = tokio::select! {
                message = connection.read_message(&self.shared.world) => message,
                () = &mut died => None.ok_or(std::io::ErrorKind::ConnectionReset.into()),
            };
            let Ok(Some(message)) = message else { break };
            let id = message.header("x-request-id").to_owned();
            let class = message
                .target()
                .trim_start_matches('/')
                .split('/')
                .next()
                .unwrap_or("")
                .to_owned();
            let shared = Arc::clone(&self.shared);
            shared.requests.fetch_add(1, Ordering::Relaxed);
            let work = shared.work(&class);
            let world = &shared.world;
            world.oracle().attempt_received(
                world.now(),
                message.first_byte_at,
                &shared.spec.name,
                &id,
                work,
            );
            let held = HeldRequest::take(Arc::clone(&shared));
            if held.count > shared.spec.slots || world.oracle().is_overloaded(&shared.spec.name) {
                world.oracle().attempt_finished(&id);
                if connection
                    .write(&response("503 Full", "X-Not-Run: 1\r\n", ""))
                    .await
                    .is_err()
                {
                    break;
                }
                continue;
            }
            // The work goes on when nobody waits for it any more.
            let job = tokio::spawn(execute(Arc::clone(&shared), id.clone(), work, held, mine));
            tokio::pin!(job);
            let done = tokio::select! {
                done = &mut job => done.ok(),
                () = connection.wait_until_closed() => {
                    world.oracle().attempt_canceled(world.now(), &id);
                    return;
                }
                () = &mut died => None,
            };
            match done {
                Some(Outcome::Answer(words)) => {
                    // Over once it is written: the node may send elsewhere from then on.
                    world.oracle().attempt_finished(&id);
                    if connection.write(&words).await.is_err() {
                        break;
                    }
                }
                Some(Outcome::Reset) | None => {
                    world.oracle().attempt_finished(&id);
                    break;
                }
            }
        }
        // A process that dies resets its connections: an end in the middle would look like an answer's.
        let _ = connection.stream.set_zero_linger();
    }
}

enum Outcome {
    Answer(Vec<u8>),
    Reset,
}

async fn execute(
    shared: Arc<Shared>,
    id: String,
    work: f64,
    _held: HeldRequest,
    mine: u64,
) -> Outcome {
    let world = &shared.world;
    let came = world.now();
    let behavior = *lock(&shared.behavior);
    if behavior.silent {
        let mut life = shared.process_id.subscribe();
        let _ = life.wait_for(|now| *now != mine).await;
        return Outcome::Reset;
    }
    // It is never closed.
    let Ok(_core) = shared.cores.acquire().await else {
        return Outcome::Reset;
    };
    let warmth = world
        .oracle()
        .capacity_share(world.now(), &shared.spec.name);
    tokio::time::sleep(Duration::from_secs_f64(
        work * behavior.work_multiplier / warmth,
    ))
    .await;
    if *shared.process_id.borrow() != mine {
        return Outcome::Reset;
    }
    world
        .oracle()
        .attempt_executed(world.now(), came, shared.spec.block, &id);
    match fastrand::f64() {
        chance if chance < behavior.reset_share => Outcome::Reset,
        chance if chance < behavior.reset_share + behavior.error_share => {
            Outcome::Answer(response("500 Oh", "", ""))
        }
        _ => Outcome::Answer(response("200 OK", "", &response_body(&id))),
    }
}

/// What a server answers to a request: no other has the same.
pub fn response_body(id: &str) -> String {
    format!("ranks for {id}\n")
}

impl Shared {
    /// Seconds of work that a request takes, half to one and a half of its class's mean.
    fn work(&self, class: &str) -> f64 {
        let mean = self.spec.work.iter().find(|(name, _)| name == class);
        mean.map_or(0.0, |(_, mean)| mean.as_secs_f64()) * (0.5 + fastrand::f64())
    }
}

/// A place in a server, in work or waiting.
struct HeldRequest {
    shared: Arc<Shared>,
    count: usize,
}

impl HeldRequest {
    fn take(shared: Arc<Shared>) -> HeldRequest {
        let count = shared.held_requests.fetch_add(1, Ordering::Relaxed) + 1;
        HeldRequest { shared, count }
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        self.shared.held_requests.fetch_sub(1, Ordering::Relaxed);
    }
}
