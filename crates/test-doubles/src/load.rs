//! Load generator: clients, and the front-end balancer that distributes them over the edge nodes of their customer's
//! subset.
//!
//! Arrivals are drawn in advance and do not wait for earlier requests (open loop). A client keeps its connections,
//! waits until its timeout, and retries requests that were refused, failed or lost with their node a little later, as
//! new requests with the same idempotency key.

use crate::oracle::{Answer, RepeatSafety, SentRequest, Unanswered};
use crate::servers::response_body;
use crate::settings::Fleet;
use crate::wire::HttpConnection;
use crate::{lock, World};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Interval between readiness probes of a node.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long opening a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the hot node of a subset stays the same.
const HOT_NODE_PERIOD: Duration = Duration::from_secs(8);
/// Share of a customer's requests that goes to the hot node of its subset.
const HOT_NODE_SHARE: f64 = 0.6;
/// A client retries a keyed request no later than this after the first try. A node sends what it accepted within half
/// of the request's time, so the retry runs while servers still drop repeats of the first.
const KEYED_RETRY_WINDOW: Duration = Duration::from_millis(300);
/// Share of clients that honor `Retry-After`, and the cap on the delay that they honor.
const RETRY_AFTER_COMPLIANCE: (f64, Duration) = (0.5, Duration::from_secs(2));
/// Most retries of one client request.
const MAX_RETRIES: u32 = 2;
/// Connections without a request that idle clients hold open to one node: more than the node may hold.
const MAX_IDLE_CLIENTS: usize = 1100;
/// Interval between idle clients' checks of their connections.
const IDLE_CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A request and the close of its connection may cross: the close is then seen within this time after the request was
/// written.
const CROSSING_CLOSE_WINDOW: Duration = Duration::from_millis(250);
/// Most idle connections that clients keep to one node.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A customer with its subset of nodes and its offered load.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Id, below 2^33.
    pub id: u64,
    /// Index of its plan in [`Fleet::plans`].
    pub plan: usize,
    /// Index of the first node of its subset.
    pub first_node: usize,
    /// Number of nodes in its subset.
    pub node_count: usize,
    /// Requests per second.
    pub rate: f64,
}

impl Customer {
    /// The nodes of the subset in the order in which a request of this moment tries them, usually the hot node first.
    pub fn nodes(&self, all: usize, now: Duration) -> impl Iterator<Item = usize> {
        let (count, first) = (self.node_count.clamp(1, all), self.first_node);
        let period = now.as_secs() / HOT_NODE_PERIOD.as_secs().max(1) + self.id;
        let hot_index = (period.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % count;
        let position = if fastrand::f64() < HOT_NODE_SHARE {
            hot_index
        } else {
            fastrand::usize(..count)
        };
        (0..count).map(move |step| (first + (position + step) % count) % all)
    }

    /// Time until the next request. Arrivals of many independent clients have exponentially distributed gaps.
    pub fn arrival_gap(&self, draw: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - draw).ln() / self.rate)
    }
}

/// Retry state of one client request.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    started_at: Duration,
    keyed: bool,
    honors_retry_after: bool,
    retries: u32,
}

impl RetryState {
    /// State of a request that starts now.
    pub fn new(now: Duration, keyed: bool) -> RetryState {
        RetryState {
            started_at: now,
            keyed,
            honors_retry_after: fastrand::f64() < RETRY_AFTER_COMPLIANCE.0,
            retries: 0,
        }
    }

    /// Delay until the next try after one that was not served; `after` is the advised `Retry-After`. `None` once the
    /// client gives up.
    pub fn next_delay(&mut self, now: Duration, after: Option<Duration>) -> Option<Duration> {
        if self.retries >= MAX_RETRIES {
            return None;
        }
        self.retries += 1;
        let advised = after
            .filter(|_| self.honors_retry_after)
            .unwrap_or_default()
            .min(RETRY_AFTER_COMPLIANCE.1);
        let pause = advised + Duration::from_millis(100 + fastrand::u64(0..400));
        // A retry after the servers have forgotten the idempotency key would let the effect take place twice.
        (!self.keyed || now + pause <= self.started_at + KEYED_RETRY_WINDOW).then_some(pause)
    }
}

/// Index of the class for a uniform random number in 0..1.
pub fn class_of(fleet: &Fleet, draw: f64) -> usize {
    let share = |class: usize| {
        fleet.classes[..=class]
            .iter()
            .map(|class| class.share)
            .sum::<f64>()
    };
    let class = (0..fleet.classes.len()).find(|class| draw < share(*class));
    class.unwrap_or(fleet.classes.len() - 1)
}

/// State of one node as the load generator sees it.
#[derive(Debug)]
struct NodeTarget {
    address: SocketAddr,
    /// Whether new requests are sent to the node.
    ready: AtomicBool,
    idle_connections: Mutex<Vec<HttpConnection>>,
    /// Number of times that the node was killed or its process was restarted; odd while it is not running.
    kills: AtomicU64,
    /// Number of times that the node was suspended or resumed; odd while it is suspended.
    pauses: AtomicU64,
}

/// Clients that close their connection while they wait for the response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cancellations {
    /// Share of all requests.
    pub share: f64,
    /// Shortest and longest time until the client closes its connection.
    pub delay: (Duration, Duration),
}

impl Cancellations {
    /// Draws after what time the client closes its connection; `None` if it waits for the response.
    fn draw(&self) -> Option<Duration> {
        let (shortest, longest) = self.delay;
        (fastrand::f64() < self.share)
            .then(|| shortest + longest.saturating_sub(shortest).mul_f64(fastrand::f64()))
    }
}

/// Generates the load of all clients.
#[derive(Debug)]
pub struct LoadGenerator {
    world: Arc<World>,
    fleet: Fleet,
    targets: Vec<NodeTarget>,
    next_id: AtomicU64,
    seed: u64,
    cancellations: Cancellations,
    counters: Counters,
}

/// Counters behind [`LoadCounts`].
#[derive(Debug, Default)]
struct Counters {
    refused_connections: AtomicU64,
    resent: AtomicU64,
    retries: AtomicU64,
    no_ready_node: AtomicU64,
    latencies_us: Mutex<Vec<u32>>,
}

/// Counters of the load generator, in addition to the oracle's.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCounts {
    /// Connections that failed to open.
    pub refused_connections: u64,
    /// Requests sent again because their reused connection had closed before the node read them.
    pub resent: u64,
    /// Retries by clients.
    pub retries: u64,
    /// Requests for which no node of the subset was ready.
    pub no_ready_node: u64,
    /// Median time to a response with status 200, in ms.
    pub p50_ms: f64,
    /// 99th percentile of the same time, in ms.
    pub p99_ms: f64,
}

/// A request as a client sends it.
struct Request {
    id: String,
    key: Option<String>,
    class: usize,
    customer: Customer,
}

/// A random idempotency key.
fn new_key() -> String {
    format!("{:032x}", fastrand::u128(..))
}

/// How a request ended for its client.
enum RequestEnd {
    /// The response, with the advised `Retry-After` if there was one.
    Answered(Answer, Option<Duration>),
    Unanswered(Unanswered),
}

impl LoadGenerator {
    /// Creates a load generator for nodes at these addresses, all of which count as not ready until they are probed.
    pub fn new(
        world: Arc<World>,
        fleet: Fleet,
        nodes: &[SocketAddr],
        seed: u64,
        cancellations: Cancellations,
    ) -> Arc<LoadGenerator> {
        let target = |address: &SocketAddr| NodeTarget {
            address: *address,
            ready: AtomicBool::new(false),
            idle_connections: Mutex::default(),
            kills: AtomicU64::new(0),
            pauses: AtomicU64::new(0),
        };
        let targets = nodes.iter().map(target).collect();
        Arc::new(LoadGenerator {
            world,
            fleet,
            targets,
            next_id: AtomicU64::new(1),
            seed,
            cancellations,
            counters: Counters::default(),
        })
    }

    /// Notes that a node is killed now, or that its process runs again. Requests that it held or that wait for it
    /// meanwhile are lost.
    pub fn node_killed_or_restarted(&self, node: usize) {
        self.targets[node].kills.fetch_add(1, Ordering::SeqCst);
    }

    /// Notes that a node is suspended from now on, or resumed.
    pub fn node_paused_or_resumed(&self, node: usize) {
        self.targets[node].pauses.fetch_add(1, Ordering::SeqCst);
    }

    /// Number of nodes that were ready at their last probe.
    pub fn ready_nodes(&self) -> usize {
        self.targets
            .iter()
            .filter(|target| target.ready.load(Ordering::Relaxed))
            .count()
    }

    /// Starts probing the readiness of all nodes, for the rest of the run.
    pub fn watch_readiness(self: &Arc<Self>) {
        for node in 0..self.targets.len() {
            let generator = Arc::clone(self);
            tokio::spawn(async move {
                loop {
                    let is_ready = matches!(
                        tokio::time::timeout(CONNECT_TIMEOUT, generator.probe_ready(node)).await,
                        Ok(Some(200))
                    );
                    generator.targets[node]
                        .ready
                        .store(is_ready, Ordering::Relaxed);
                    tokio::time::sleep(READINESS_POLL_INTERVAL).await;
                }
            });
        }
    }

    /// The status of the node's readiness endpoint; `None` if it does not answer.
    async fn probe_ready(&self, node: usize) -> Option<u16> {
        let mut connection =
            HttpConnection::new(TcpStream::connect(self.targets[node].address).await.ok()?);
        connection
            .write(b"GET /-/ready HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n")
            .await
            .ok()?;
        connection
            .read_message(&self.world)
            .await
            .ok()?
            .map(|message| message.status())
    }

    /// Generates a customer's requests for a span, each at its own time. Returns when the last one has ended.
    pub async fn run_customer(self: Arc<Self>, customer: Customer, span: Duration) {
        let mut random =
            fastrand::Rng::with_seed(self.seed ^ customer.id.wrapping_mul(0x9e37_79b9));
        let mut clients = tokio::task::JoinSet::new();
        let mut at = self.world.now();
        let end = at + span;
        if customer.rate <= 0.0 {
            return;
        }
        loop {
            at += customer.arrival_gap(random.f64());
            if at >= end {
                break;
            }
            tokio::time::sleep(at.saturating_sub(self.world.now())).await;
            let class = class_of(&self.fleet, random.f64());
            let (generator, customer) = (Arc::clone(&self), customer.clone());
            clients.spawn(async move { generator.run_client(customer, class).await });
            while clients.try_join_next().is_some() {}
        }
        while clients.join_next().await.is_some() {}
    }

    /// Runs one client request with its retries. Returns when the last try has ended.
    pub async fn run_client(&self, customer: Customer, class: usize) {
        let key = self.fleet.classes[class].keyed.then(new_key);
        let mut retry = RetryState::new(self.world.now(), key.is_some());
        loop {
            let request = self.request(customer.clone(), class, key.clone());
            let after = match self.send(&request).await {
                Some(
                    RequestEnd::Answered(Answer::Served, _)
                    | RequestEnd::Unanswered(Unanswered::ClientDisconnected),
                ) => return,
                Some(RequestEnd::Answered(_, after)) => after,
                Some(RequestEnd::Unanswered(_)) | None => None,
            };
            let Some(pause) = retry.next_delay(self.world.now(), after) else {
                return;
            };
            tokio::time::sleep(pause).await;
            self.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends one request to a node of the customer's subset; `None` where no connection could be opened.
    async fn send(&self, request: &Request) -> Option<RequestEnd> {
        let mut unreachable = Vec::new();
        let mut first_sent = None;
        loop {
            let Some(node) = self.pick_node(&request.customer, &unreachable) else {
                self.counters.no_ready_node.fetch_add(1, Ordering::Relaxed);
                return None;
            };
            let reused = lock(&self.targets[node].idle_connections).pop();
            let is_new = reused.is_none();
            let connection = match reused {
                Some(connection) => connection,
                None => {
                    if let Some(connection) = self.connect(node).await {
                        connection
                    } else {
                        unreachable.push(node);
                        continue;
                    }
                }
            };
            let now = self.world.now();
            let elapsed = now.saturating_sub(*first_sent.get_or_insert(now));
            let remaining = self.fleet.classes[request.class]
                .deadline
                .saturating_sub(elapsed);
            if remaining.is_zero() {
                let end = RequestEnd::Unanswered(Unanswered::NotAccepted);
                self.record_end(&request.id, &end);
                return Some(end);
            }
            let end = self
                .exchange(request, node, connection, is_new, remaining)
                .await;
            // The connection closed before the node read the request: the client sends it again on a new one.
            if matches!(end, RequestEnd::Unanswered(Unanswered::NotAccepted)) && !is_new {
                self.counters.resent.fetch_add(1, Ordering::Relaxed);
                lock(&self.targets[node].idle_connections).clear();
                continue;
            }
            self.record_end(&request.id, &end);
            return Some(end);
        }
    }

    /// Opens connections to a node now, each of which sends its first request at a random time within this span.
    pub async fn open_delayed_clients(
        self: &Arc<Self>,
        node: usize,
        customers: &[Customer],
        count: usize,
        within: Duration,
    ) -> JoinSet<()> {
        let mut clients = JoinSet::new();
        for _ in 0..count {
            let (Some(connection), Some(customer)) =
                (self.connect(node).await, fastrand::choice(customers))
            else {
                continue;
            };
            let (generator, customer) = (Arc::clone(self), customer.clone());
            clients.spawn(async move {
                generator
                    .send_after(node, connection, customer, within.mul_f64(fastrand::f64()))
                    .await;
            });
        }
        clients
    }

    /// Sends one request on a connection after a delay.
    async fn send_after(
        &self,
        node: usize,
        connection: HttpConnection,
        customer: Customer,
        after: Duration,
    ) {
        tokio::time::sleep(after).await;
        let class = class_of(&self.fleet, fastrand::f64());
        let request = self.request(customer, class, None);
        // The node may close a connection without requests; a request that it has not read is sent again elsewhere.
        let deadline = self.fleet.classes[class].deadline;
        let end = self
            .exchange(&request, node, connection, false, deadline)
            .await;
        self.record_end(&request.id, &end);
    }

    /// Creates a request with a new id.
    fn request(&self, customer: Customer, class: usize, key: Option<String>) -> Request {
        let number = self.next_id.fetch_add(1, Ordering::Relaxed);
        let key = key.or_else(|| self.fleet.classes[class].keyed.then(new_key));
        Request {
            id: format!("{:08x}{number:08x}", self.seed as u32),
            key,
            class,
            customer,
        }
    }

    /// Records how a request has ended.
    fn record_end(&self, id: &str, end: &RequestEnd) {
        let world = &self.world;
        match end {
            RequestEnd::Answered(answer, _) => {
                world.oracle().response_received(world.now(), id, *answer);
            }
            RequestEnd::Unanswered(Unanswered::ClientDisconnected) => {
                world.oracle().client_disconnected(world.now(), id);
            }
            RequestEnd::Unanswered(reason) => world.oracle().request_unanswered(id, *reason),
        }
    }

    /// Uses up a node's descriptors with connections that never send anything, and opens new ones where the node
    /// closes some.
    pub async fn hold_idle_connections(&self, node: usize, duration: Duration) {
        let end = self.world.now() + duration;
        let mut held: Vec<TcpStream> = Vec::new();
        while self.world.now() < end {
            let is_open = |stream: &TcpStream| matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
            held.retain(is_open);
            while held.len() < MAX_IDLE_CLIENTS && self.world.now() < end {
                match tokio::time::timeout(
                    IDLE_CLIENT_CHECK_INTERVAL,
                    TcpStream::connect(self.targets[node].address),
                )
                .await
                {
                    Ok(Ok(stream)) => held.push(stream),
                    _ => break,
                }
            }
            tokio::time::sleep(IDLE_CLIENT_CHECK_INTERVAL).await;
        }
    }

    /// Opens a connection to a node; `None` if that fails.
    async fn connect(&self, node: usize) -> Option<HttpConnection> {
        let connect = TcpStream::connect(self.targets[node].address);
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
            Some(HttpConnection::new(stream))
        } else {
            self.counters
                .refused_connections
                .fetch_add(1, Ordering::Relaxed);
            None
        }
    }

    /// A ready node of the customer's subset, usually the hot one of the moment.
    fn pick_node(&self, customer: &Customer, unreachable: &[usize]) -> Option<usize> {
        let mut nodes = customer.nodes(self.targets.len(), self.world.now());
        nodes.find(|node| {
            !unreachable.contains(node) && self.targets[*node].ready.load(Ordering::Relaxed)
        })
    }

    /// Sends a request on a connection and waits until it ends; `remaining` is what is left of the client's time. Unless
    /// `is_new`, the request counts as not accepted if the connection closes before the node has read it.
    async fn exchange(
        &self,
        request: &Request,
        node: usize,
        mut connection: HttpConnection,
        is_new: bool,
        remaining: Duration,
    ) -> RequestEnd {
        let (world, target) = (&self.world, &self.targets[node]);
        let class = &self.fleet.classes[request.class];
        let kills = target.kills.load(Ordering::SeqCst);
        let pauses = target.pauses.load(Ordering::SeqCst);
        let repeat_safety = if class.keyed {
            RepeatSafety::Keyed
        } else {
            RepeatSafety::Safe
        };
        let sent_request = SentRequest {
            id: request.id.clone(),
            key: request.key.clone(),
            repeat_safety,
            node,
            customer: request.customer.id,
            units: 1.0,
            timeout: class.deadline,
        };
        // Recorded before the last byte is written; otherwise the node could respond before the request is in the
        // oracle.
        world.oracle().request_sent(world.now(), sent_request);
        let sent = world.now();
        let wait_limit = remaining + self.fleet.bounds.answer_slack * 2;
        let cancel_after = self
            .cancellations
            .draw()
            .filter(|after| *after < wait_limit);
        let pending_response = match connection
            .write(self.request_text(request, remaining).as_bytes())
            .await
        {
            // The node may have responded and closed the connection before it had read everything.
            Ok(()) | Err(_) => tokio::time::timeout(cancel_after.unwrap_or(wait_limit), async {
                connection.read_message(world).await
            }),
        };
        let node_outage = || match (
            target.kills.load(Ordering::SeqCst),
            target.pauses.load(Ordering::SeqCst),
        ) {
            // An odd count means that the node is not running or is suspended.
            (now, _) if now != kills || kills % 2 == 1 => Some(Unanswered::Killed),
            (_, now) if now != pauses || pauses % 2 == 1 => Some(Unanswered::Paused),
            _ => None,
        };
        match pending_response.await {
            Ok(Ok(Some(message))) => {
                let answer = match message.status() {
                    200 => Answer::Served,
                    429 | 503 => Answer::Refused,
                    _ => Answer::Failed,
                };
                if connection.has_unread_bytes() {
                    world.oracle().extra_bytes_received(&request.id);
                }
                if answer == Answer::Served {
                    if message.body != response_body(&request.id).as_bytes() {
                        world.oracle().wrong_response_received(&request.id);
                    }
                    let latency_us = world
                        .now()
                        .checked_sub(sent)
                        .unwrap()
                        .as_micros()
                        .min(u128::from(u32::MAX)) as u32;
                    lock(&self.counters.latencies_us).push(latency_us);
                }
                if message.header("connection") != "close" {
                    let mut idle = lock(&target.idle_connections);
                    if idle.len() < MAX_IDLE_CONNECTIONS {
                        idle.push(connection);
                    }
                }
                if world.now() > sent + remaining + self.fleet.bounds.answer_slack {
                    if let Some(reason) = node_outage() {
                        return RequestEnd::Unanswered(reason);
                    }
                }
                let after = message
                    .header("retry-after")
                    .parse()
                    .ok()
                    .filter(|after| (0.0..1e6).contains(after));
                RequestEnd::Answered(answer, after.map(Duration::from_secs_f64))
            }
            // The connection is closed here.
            Err(_) if cancel_after.is_some() => {
                RequestEnd::Unanswered(Unanswered::ClientDisconnected)
            }
            ended => {
                let closed = matches!(ended, Ok(Ok(None) | Err(_)));
                // A close that crosses a request arrives at once; a later close means that the node dropped the
                // request.
                let crossed = world.now() < sent + CROSSING_CLOSE_WINDOW;
                let unread = crossed && world.oracle().attempt_count(&request.id) == 0;
                match node_outage() {
                    Some(reason) => RequestEnd::Unanswered(reason),
                    // Closed between two requests: the close crossed this request, and no attempt of it was made.
                    None if closed && !is_new && unread => {
                        RequestEnd::Unanswered(Unanswered::NotAccepted)
                    }
                    None => RequestEnd::Unanswered(Unanswered::Lost),
                }
            }
        }
    }

    /// The complete text of a request whose client waits for this long.
    fn request_text(&self, request: &Request, remaining: Duration) -> String {
        let class = &self.fleet.classes[request.class];
        let Customer {
            id,
            plan,
            first_node: first,
            node_count: spread,
            ..
        } = &request.customer;
        let plan = self.fleet.plans[*plan].name;
        let (method, extra_headers, body) = match &request.key {
            Some(key) => (
                "POST",
                format!("Idempotency-Key: {key}\r\nContent-Length: 8\r\n"),
                "time=1:1",
            ),
            None => ("GET", String::new(), ""),
        };
        let deadline = remaining.as_millis().max(1);
        format!(
            "{method} /{0}/{id:016x} HTTP/1.1\r\nHost: fleet\r\nX-Request-Id: {1}\r\nX-Class: {0}\r\nX-Tier: {plan}\r\n\
             X-Deadline: {deadline}m\r\nX-Call-Terms: units=1,spread={spread},first={first}\r\n{extra_headers}\r\n{body}",
            class.name, request.id
        )
    }

    /// The counters so far.
    pub fn counts(&self) -> LoadCounts {
        let mut latencies = lock(&self.counters.latencies_us).clone();
        latencies.sort_unstable();
        let percentile_ms = |share: f64| {
            let index = (latencies.len() as f64 * share) as usize;
            latencies
                .get(index.min(latencies.len().saturating_sub(1)))
                .map_or(0.0, |us| f64::from(*us) / 1e3)
        };
        LoadCounts {
            refused_connections: self.counters.refused_connections.load(Ordering::Relaxed),
            resent: self.counters.resent.load(Ordering::Relaxed),
            retries: self.counters.retries.load(Ordering::Relaxed),
            no_ready_node: self.counters.no_ready_node.load(Ordering::Relaxed),
            p50_ms: percentile_ms(0.5),
            p99_ms: percentile_ms(0.99),
        }
    }
}
