//! App servers: each has cores, a queue and a behavior that a script may change, and starts cold after a kill.

use crate::attempts::{Attempt, ReceivedAttempt};
use crate::wire::{response, HttpConnection};
use crate::{lock, World};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{watch, Semaphore};

/// Length of the accept queue, connections.
const BACKLOG: u32 = 1024;

/// Binds a socket to an address that further sockets may bind, too.
fn bind_reusable(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    // Connections that an earlier process closed may remain in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// How a server handles its requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Behavior {
    /// Factor on the time that a request takes.
    pub work_multiplier: f64,
    /// Whether the server accepts requests and answers none.
    pub silent: bool,
    /// Share of requests whose connection is reset after they ran.
    pub reset_share: f64,
    /// Share of requests that are answered with status 500 after they ran.
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

/// Properties of a server.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Name on the list.
    pub name: String,
    /// Group of servers that drops repeats of an idempotency key together.
    pub block: u64,
    /// Requests executed at once.
    pub cores: usize,
    /// Requests held at once; the server rejects further ones without running them.
    pub slots: usize,
    /// Mean work by class, which is the first segment of the path.
    pub work: Vec<(String, Duration)>,
}

/// State of a server that its connections share.
#[derive(Debug)]
struct Shared {
    world: Arc<World>,
    spec: Spec,
    behavior: Mutex<Behavior>,
    cores: Semaphore,
    /// Requests that the server holds now.
    held_requests: AtomicUsize,
    /// When each connection was accepted.
    handshakes: Mutex<Vec<Duration>>,
    /// Requests received.
    requests: AtomicUsize,
    /// Number of the current process; 0 while none runs.
    process_number: watch::Sender<u64>,
    /// Keeps the address reserved while no process runs.
    _reserved_socket: TcpSocket,
}

/// An app server. Its address stays the same over restarts.
#[derive(Clone, Debug)]
pub struct AppServer {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl AppServer {
    /// Starts a warm server on an unused port.
    ///
    /// # Errors
    /// No address is available.
    pub fn start(world: Arc<World>, spec: Spec) -> std::io::Result<AppServer> {
        // Bound but never listening: while no process runs, the port stays reserved and connections are refused.
        let address = crate::ports::reserve_address()?;
        let reserved_socket = bind_reusable(address)?;
        let listener = bind_reusable(address)?.listen(BACKLOG)?;
        let (process, _) = watch::channel(1);
        let cores = Semaphore::new(spec.cores);
        let (behavior, held_requests, handshakes, requests) = Default::default();
        let shared = Shared {
            world,
            spec,
            behavior,
            cores,
            held_requests,
            handshakes,
            requests,
            process_number: process,
            _reserved_socket: reserved_socket,
        };
        let shared = Arc::new(shared);
        let server = AppServer { shared, address };
        tokio::spawn(server.clone().accept(listener));
        Ok(server)
    }

    /// Name on the list.
    pub fn name(&self) -> &str {
        &self.shared.spec.name
    }

    /// Group of servers that drops repeats of an idempotency key together.
    pub fn block(&self) -> u64 {
        self.shared.spec.block
    }

    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Seconds of work per second once the server is warm.
    pub fn capacity(&self) -> f64 {
        self.shared.spec.cores as f64
    }

    /// When each connection was accepted, since the start of the run, and the number of requests received.
    pub fn handshakes_and_requests(&self) -> (Vec<Duration>, usize) {
        (
            lock(&self.shared.handshakes).clone(),
            self.shared.requests.load(Ordering::Relaxed),
        )
    }

    /// Changes the behavior of the server.
    pub fn set_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        change(&mut lock(&self.shared.behavior));
    }

    /// Ends the process: connections are reset and new ones refused.
    pub fn kill(&self) {
        self.shared.process_number.send_replace(0);
    }

    /// Starts a new process after [`AppServer::kill`]. It is cold, and the oracle checks whether it is overloaded.
    ///
    /// # Errors
    /// The port can't be bound again.
    pub fn start_cold(&self) -> std::io::Result<()> {
        let listener = bind_reusable(self.address)?.listen(BACKLOG)?;
        let world = &self.shared.world;
        world
            .oracle()
            .server_started_cold(world.now(), self.name(), self.capacity());
        let number = world.now().as_nanos() as u64 | 1;
        self.shared.process_number.send_replace(number);
        tokio::spawn(self.clone().accept(listener));
        Ok(())
    }

    /// Accepts connections until the process ends.
    async fn accept(self, listener: TcpListener) {
        let mut process = self.shared.process_number.subscribe();
        let own_process = *process.borrow_and_update();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, _)) = accepted {
                        lock(&self.shared.handshakes).push(self.shared.world.now());
                        tokio::spawn(self.clone().serve(stream, own_process));
                    }
                }
                _ = process.wait_for(|now| *now != own_process) => return,
            }
        }
    }

    /// Serves the requests on a connection until it is closed or the process ends.
    async fn serve(self, stream: TcpStream, own_process: u64) {
        let mut process = self.shared.process_number.subscribe();
        let mut connection = HttpConnection::new(stream);
        let process_ended = async move {
            let _ = process.wait_for(|now| *now != own_process).await;
        };
        tokio::pin!(process_ended);
        loop {
            let message = tokio::select! {
                message = connection.read_message(&self.shared.world) => message,
                () = &mut process_ended => None.ok_or(std::io::ErrorKind::ConnectionReset.into()),
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
            let received = ReceivedAttempt {
                id: &id,
                first_byte_at: message.first_byte_at,
                server: &shared.spec.name,
                work,
            };
            let Ok(attempt) = Attempt::begin(world, &connection.stream, &received) else {
                break;
            };
            let held = HeldRequest::take(Arc::clone(&shared));
            if held.count > shared.spec.slots || world.oracle().is_overloaded(&shared.spec.name) {
                attempt.finished();
                if connection
                    .write(&response("503 Full", "X-Not-Run: 1\r\n", ""))
                    .await
                    .is_err()
                {
                    break;
                }
                continue;
            }
            // The work goes on if the client no longer waits.
            let job = tokio::spawn(execute(
                Arc::clone(&shared),
                id.clone(),
                work,
                held,
                own_process,
            ));
            tokio::pin!(job);
            let outcome = tokio::select! {
                outcome = &mut job => outcome.ok(),
                () = connection.wait_until_closed() => {
                    attempt.canceled();
                    return;
                }
                () = &mut process_ended => None,
            };
            match outcome {
                Some(Outcome::Answer(bytes)) => {
                    // Finished as soon as the response is written: the node may send elsewhere from then on.
                    attempt.finished();
                    if connection.write(&bytes).await.is_err() {
                        break;
                    }
                }
                Some(Outcome::Reset) | None => {
                    attempt.finished();
                    break;
                }
            }
        }
        // A killed process resets its connections: an orderly close in the middle of a response would look like its
        // end.
        let _ = connection.stream.set_zero_linger();
    }
}

/// How the server ends an attempt.
enum Outcome {
    /// Writes this response.
    Answer(Vec<u8>),
    /// Resets the connection.
    Reset,
}

/// Runs a request: waits for a free core, works on it, and reports its effect to the oracle.
async fn execute(
    shared: Arc<Shared>,
    id: String,
    work: f64,
    _held: HeldRequest,
    own_process: u64,
) -> Outcome {
    let world = &shared.world;
    let received_at = world.now();
    let behavior = *lock(&shared.behavior);
    if behavior.silent {
        let mut process = shared.process_number.subscribe();
        let _ = process.wait_for(|now| *now != own_process).await;
        return Outcome::Reset;
    }
    // The semaphore is never closed.
    let Ok(_core) = shared.cores.acquire().await else {
        return Outcome::Reset;
    };
    let share = world
        .oracle()
        .capacity_share(world.now(), &shared.spec.name);
    tokio::time::sleep(Duration::from_secs_f64(
        work * behavior.work_multiplier / share,
    ))
    .await;
    if *shared.process_number.borrow() != own_process {
        return Outcome::Reset;
    }
    world
        .oracle()
        .attempt_executed(world.now(), received_at, shared.spec.block, &id);
    match fastrand::f64() {
        draw if draw < behavior.reset_share => Outcome::Reset,
        draw if draw < behavior.reset_share + behavior.error_share => {
            Outcome::Answer(response("500 Oh", "", ""))
        }
        _ => Outcome::Answer(response("200 OK", "", &response_body(&id))),
    }
}

/// The body that a server returns for a request, unique per request id.
pub fn response_body(id: &str) -> String {
    format!("ranks for {id}\n")
}

impl Shared {
    /// Seconds of work that a request takes: 0.5 to 1.5 times the mean of its class.
    fn work(&self, class: &str) -> f64 {
        let mean = self.spec.work.iter().find(|(name, _)| name == class);
        mean.map_or(0.0, |(_, mean)| mean.as_secs_f64()) * (0.5 + fastrand::f64())
    }
}

/// Counts a request while the server holds it.
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

#[cfg(test)]
mod tests;
