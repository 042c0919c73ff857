//! Clients, and the front that deals them out among the edge nodes of their customer's set.
//!
//! Arrivals are drawn ahead and wait for nothing. A client keeps its connections, waits as long as it says, and tries
//! again a little later what was refused, failed or lost with its node, as a new request under the same key.

use crate::oracle::{Answer, RepeatSafety, SentRequest, Unanswered};
use crate::servers::response_body;
use crate::settings::{Class, Fleet};
use crate::wire::HttpConnection;
use crate::{lock, World};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Between the front's looks at a node's readiness.
const READINESS_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// For how long a set's busiest node stays the same.
const HOT_NODE_PERIOD: Duration = Duration::from_secs(8);
/// Share of a customer's tries that goes to its busiest node.
const HOT_NODE_SHARE: f64 = 0.6;
/// A keyed request is sent again by its client no later than this after the first time: a node sends what it took by half
/// of its time, so that it runs while servers still drop repeats of the first.
const KEYED_RETRY_WINDOW: Duration = Duration::from_millis(300);
/// Share of clients that come back when they are told to, and longest that they stay away.
const RETRY_AFTER_COMPLIANCE: (f64, Duration) = (0.5, Duration::from_secs(2));
/// Times that a client comes again.
const MAX_RETRIES: u32 = 2;
/// Most connections without a request that idle clients hold open to one node: more than it may hold itself.
const MAX_IDLE_CLIENTS: usize = 1100;
/// Between idle clients' looks at their connections.
const IDLE_CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A request and the close of its connection may cross: the close is seen no later than so long after the request was written.
const CROSSING_CLOSE_WINDOW: Duration = Duration::from_millis(250);
/// Idle connections kept to one node.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// A customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its number, below 2^33.
    pub id: u64,
    /// Place of its plan.
    pub plan: usize,
    /// First node of its set.
    pub first_node: usize,
    /// Nodes in its set.
    pub node_count: usize,
    /// Tries a second that it sends.
    pub rate: f64,
}

impl Customer {
    /// The nodes of its set in the order in which a try of this moment is dealt out: most often the busiest first.
    pub fn nodes(&self, all: usize, now: Duration) -> impl Iterator<Item = usize> {
        let (spread, first) = (self.node_count.clamp(1, all), self.first_node);
        let turn = now.as_secs() / HOT_NODE_PERIOD.as_secs().max(1) + self.id;
        let busiest = (turn.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 33) as usize % spread;
        let place = if fastrand::f64() < HOT_NODE_SHARE {
            busiest
        } else {
            fastrand::usize(..spread)
        };
        (0..spread).map(move |step| (first + (place + step) % spread) % all)
    }

    /// How long until its next try: arrivals of many independent clients, so the gaps are exponential.
    pub fn arrival_gap(&self, draw: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - draw).ln() / self.rate)
    }
}

/// A client's request, over all of its tries.
#[derive(Clone, Copy, Debug)]
pub struct RetryState {
    started_at: Duration,
    keyed: bool,
    honors_retry_after: bool,
    retries: u32,
}

impl RetryState {
    /// One that begins now.
    pub fn new(now: Duration, keyed: bool) -> RetryState {
        RetryState {
            started_at: now,
            keyed,
            honors_retry_after: fastrand::f64() < RETRY_AFTER_COMPLIANCE.0,
            retries: 0,
        }
    }

    /// How long until it tries again, where a try was not served and `after` was advised; `None` once it gives up.
    pub fn next_delay(&mut self, now: Duration, after: Option<Duration>) -> Option<Duration> {
        if self.retries >= MAX_RETRIES {
            return None;
        }
        self.retries += 1;
        let least = after
            .filter(|_| self.honors_retry_after)
            .unwrap_or_default()
            .min(RETRY_AFTER_COMPLIANCE.1);
        let pause = least + Duration::from_millis(100 + fastrand::u64(0..400));
        // Danger: an effect that takes place twice as its client came again when servers had forgotten the key.
        (!self.keyed || now + pause <= self.started_at + KEYED_RETRY_WINDOW).then_some(pause)
    }
}

/// The class of a try, by a draw.
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

/// The way to one node, as the front sees it.
#[derive(Debug)]
struct NodeTarget {
    address: SocketAddr,
    /// Whether the front deals it clients.
    ready: AtomicBool,
    idle_connections: Mutex<Vec<HttpConnection>>,
    /// Times that it was killed, or that its process was back.
    kills: AtomicU64,
    /// Times that it was made to stand still, or went on.
    pauses: AtomicU64,
}

/// Clients that close their connection while they wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cancellations {
    /// Share of all tries.
    pub share: f64,
    /// Shortest and longest time that they wait.
    pub delay: (Duration, Duration),
}

impl Cancellations {
    fn draw(&self) -> Option<Duration> {
        let (least, most) = self.delay;
        (fastrand::f64() < self.share)
            .then(|| least + most.saturating_sub(least).mul_f64(fastrand::f64()))
    }
}

/// The front, with all its clients.
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

#[derive(Debug, Default)]
struct Counters {
    refused_connections: AtomicU64,
    resent: AtomicU64,
    retries: AtomicU64,
    no_ready_node: AtomicU64,
    latencies_us: Mutex<Vec<u32>>,
}

/// What the front counted beside the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCounts {
    /// Connections that a node, or nobody, refused.
    pub refused_connections: u64,
    /// Tries written once more as their kept connection had closed unread.
    pub resent: u64,
    /// Retries by clients.
    pub retries: u64,
    /// Tries for which no node of the set was open.
    pub no_ready_node: u64,
    /// Median and 99th percentile of the time to a served answer, in ms.
    pub p50_ms: f64,
    /// See there.
    pub p99_ms: f64,
}

/// A try that a client sends.
struct Request {
    id: String,
    key: Option<String>,
    class: usize,
    customer: Customer,
}

fn new_key() -> String {
    format!("{:032x}", fastrand::u128(..))
}

enum RequestEnd {
    /// With how long to stay away, where that was said.
    Answered(Answer, Option<Duration>),
    Unanswered(Unanswered),
}

impl LoadGenerator {
    /// A front before nodes at these addresses, none of which it has seen ready yet.
    pub fn new(
        world: Arc<World>,
        fleet: Fleet,
        nodes: &[SocketAddr],
        seed: u64,
        leaves: Cancellations,
    ) -> Arc<LoadGenerator> {
        let target = |address: &SocketAddr| NodeTarget {
            address: *address,
            ready: AtomicBool::new(false),
            idle_connections: Mutex::default(),
            kills: AtomicU64::new(0),
            pauses: AtomicU64::new(0),
        };
        let doors = nodes.iter().map(target).collect();
        let (next, figures) = (AtomicU64::new(1), Counters::default());
        Arc::new(LoadGenerator {
            world,
            fleet,
            targets: doors,
            next_id: next,
            seed,
            cancellations: leaves,
            counters: figures,
        })
    }

    /// Notes that a node is killed in this moment, or that its process runs again: what it held or what waits for it
    /// meanwhile is lost with it.
    pub fn node_killed_or_restarted(&self, node: usize) {
        self.targets[node].kills.fetch_add(1, Ordering::SeqCst);
    }

    /// Notes that a node stands still from now on, or goes on.
    pub fn node_paused_or_resumed(&self, node: usize) {
        self.targets[node].pauses.fetch_add(1, Ordering::SeqCst);
    }

    /// Nodes that the front takes for ready.
    pub fn ready_nodes(&self) -> usize {
        self.targets
            .iter()
            .filter(|target| target.ready.load(Ordering::Relaxed))
            .count()
    }

    /// Looks at all nodes' readiness for ever.
    pub fn watch_readiness(self: &Arc<Self>) {
        for node in 0..self.targets.len() {
            let front = Arc::clone(self);
            tokio::spawn(async move {
                loop {
                    let open = matches!(
                        tokio::time::timeout(CONNECT_TIMEOUT, front.probe_ready(node)).await,
                        Ok(Some(200))
                    );
                    front.targets[node].ready.store(open, Ordering::Relaxed);
                    tokio::time::sleep(READINESS_POLL_INTERVAL).await;
                }
            });
        }
    }

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

    /// Offers a customer's tries for a span, each in its own time; comes back when the last has ended.
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
            let (front, customer) = (Arc::clone(&self), customer.clone());
            clients.spawn(async move { front.run_client(customer, class).await });
            while clients.try_join_next().is_some() {}
        }
        while clients.join_next().await.is_some() {}
    }

    /// One client's request, with its retries; comes back when the last try has ended.
    pub async fn run_client(&self, customer: Customer, class: usize) {
        let key = self.fleet.classes[class].keyed.then(new_key);
        let mut patience = RetryState::new(self.world.now(), key.is_some());
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
            let Some(pause) = patience.next_delay(self.world.now(), after) else {
                return;
            };
            tokio::time::sleep(pause).await;
            self.counters.retries.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Sends one try to a node of its set; `None` where no connection came up at all.
    async fn send(&self, request: &Request) -> Option<RequestEnd> {
        let mut shut = Vec::new();
        loop {
            let Some(node) = self.pick_node(&request.customer, &shut) else {
                self.counters.no_ready_node.fetch_add(1, Ordering::Relaxed);
                return None;
            };
            let kept = lock(&self.targets[node].idle_connections).pop();
            let fresh = kept.is_none();
            let connection = match kept {
                Some(connection) => connection,
                None => {
                    if let Some(connection) = self.connect(node).await {
                        connection
                    } else {
                        shut.push(node);
                        continue;
                    }
                }
            };
            let end = self.exchange(request, node, connection, fresh).await;
            // Its connection closed unread: the client sends it once more on a new one.
            if matches!(end, RequestEnd::Unanswered(Unanswered::NotAccepted)) && !fresh {
                self.counters.resent.fetch_add(1, Ordering::Relaxed);
                lock(&self.targets[node].idle_connections).clear();
                continue;
            }
            self.record_end(&request.id, &end);
            return Some(end);
        }
    }

    /// Opens connections to a node now, each of which first asks at a moment within this span.
    pub async fn open_delayed_clients(
        self: &Arc<Self>,
        node: usize,
        customers: &[Customer],
        count: usize,
        within: Duration,
    ) -> JoinSet<()> {
        let mut askers = JoinSet::new();
        for _ in 0..count {
            let (Some(connection), Some(customer)) =
                (self.connect(node).await, fastrand::choice(customers))
            else {
                continue;
            };
            let (front, customer) = (Arc::clone(self), customer.clone());
            askers.spawn(async move {
                front
                    .send_after(node, connection, customer, within.mul_f64(fastrand::f64()))
                    .await;
            });
        }
        askers
    }

    /// Asks once on a connection, after a while.
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
        // It may close while nothing was asked; what was asked by then is asked again elsewhere.
        let end = self.exchange(&request, node, connection, false).await;
        self.record_end(&request.id, &end);
    }

    /// A request with an id of its own.
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

    /// Notes how a try has ended.
    fn record_end(&self, id: &str, end: &RequestEnd) {
        let world = &self.world;
        match end {
            RequestEnd::Answered(answer, _) => {
                world.oracle().response_received(world.now(), id, *answer)
            }
            RequestEnd::Unanswered(Unanswered::ClientDisconnected) => {
                world.oracle().client_disconnected(world.now(), id);
            }
            RequestEnd::Unanswered(why) => world.oracle().request_unanswered(id, *why),
        }
    }

    /// Fills a node's descriptors with connections that never send a word, and opens new ones where it closes some.
    pub async fn hold_idle_connections(&self, node: usize, lasts: Duration) {
        let end = self.world.now() + lasts;
        let mut held: Vec<TcpStream> = Vec::new();
        while self.world.now() < end {
            let waits = |stream: &TcpStream| matches!(stream.try_read(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock);
            held.retain(waits);
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

    /// A node of the customer's set that the front takes for open, most often the busiest of the moment.
    fn pick_node(&self, customer: &Customer, shut: &[usize]) -> Option<usize> {
        let mut nodes = customer.nodes(self.targets.len(), self.world.now());
        nodes.find(|node| !shut.contains(node) && self.targets[*node].ready.load(Ordering::Relaxed))
    }

    async fn exchange(
        &self,
        request: &Request,
        node: usize,
        mut connection: HttpConnection,
        fresh: bool,
    ) -> RequestEnd {
        let (world, target) = (&self.world, &self.targets[node]);
        let class = &self.fleet.classes[request.class];
        let kills = target.kills.load(Ordering::SeqCst);
        let pauses = target.pauses.load(Ordering::SeqCst);
        let repeats = if class.keyed {
            RepeatSafety::Keyed
        } else {
            RepeatSafety::Safe
        };
        let asked = SentRequest {
            id: request.id.clone(),
            key: request.key.clone(),
            repeat_safety: repeats,
            node,
            customer: request.customer.id,
            units: 1.0,
            timeout: class.deadline,
        };
        // Noted before the last byte is written, or the node may be quicker than the ledger.
        world.oracle().request_sent(world.now(), asked);
        let sent = world.now();
        let patience = class.deadline + self.fleet.bounds.answer_slack * 2;
        let leaves = self.cancellations.draw().filter(|after| *after < patience);
        let begun = match connection
            .write(self.request_head(request, class).as_bytes())
            .await
        {
            // It may have answered and closed before it had read all.
            Ok(()) | Err(_) => tokio::time::timeout(leaves.unwrap_or(patience), async {
                connection.read_message(world).await
            }),
        };
        let excuse = || match (
            target.kills.load(Ordering::SeqCst),
            target.pauses.load(Ordering::SeqCst),
        ) {
            // An odd count: it is dead, or stands still.
            (now, _) if now != kills || kills % 2 == 1 => Some(Unanswered::Killed),
            (_, now) if now != pauses || pauses % 2 == 1 => Some(Unanswered::Paused),
            _ => None,
        };
        match begun.await {
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
                    let took = world
                        .now()
                        .checked_sub(sent)
                        .unwrap()
                        .as_micros()
                        .min(u128::from(u32::MAX)) as u32;
                    lock(&self.counters.latencies_us).push(took);
                }
                if message.header("connection") != "close" {
                    let mut idle = lock(&target.idle_connections);
                    if idle.len() < MAX_IDLE_CONNECTIONS {
                        idle.push(connection);
                    }
                }
                if world.now() > sent + class.deadline + self.fleet.bounds.answer_slack {
                    if let Some(why) = excuse() {
                        return RequestEnd::Unanswered(why);
                    }
                }
                let after = message
                    .header("retry-after")
                    .parse()
                    .ok()
                    .filter(|after| (0.0..1e6).contains(after));
                RequestEnd::Answered(answer, after.map(Duration::from_secs_f64))
            }
            // The connection closes here.
            Err(_) if leaves.is_some() => RequestEnd::Unanswered(Unanswered::ClientDisconnected),
            ended => {
                let closed = matches!(ended, Ok(Ok(None) | Err(_)));
                // A close that crosses a request comes at once; one that comes later has dropped it.
                let crossed = world.now() < sent + CROSSING_CLOSE_WINDOW;
                let unread = crossed && world.oracle().attempt_count(&request.id) == 0;
                match excuse() {
                    Some(why) => RequestEnd::Unanswered(why),
                    // Closed between two requests: that crossed this one, and no attempt was made of it.
                    None if closed && !fresh && unread => {
                        RequestEnd::Unanswered(Unanswered::NotAccepted)
                    }
                    None => RequestEnd::Unanswered(Unanswered::Lost),
                }
            }
        }
    }

    fn request_head(&self, request: &Request, class: &Class) -> String {
        let Customer {
            id,
            plan,
            first_node: first,
            node_count: spread,
            ..
        } = &request.customer;
        let plan = self.fleet.plans[*plan].name;
        let (method, more, body) = match &request.key {
            Some(key) => (
                "POST",
                format!("Idempotency-Key: {key}\r\nContent-Length: 8\r\n"),
                "time=1:1",
            ),
            None => ("GET", String::new(), ""),
        };
        let deadline = class.deadline.as_millis();
        format!(
            "{method} /{0}/{id:016x} HTTP/1.1\r\nHost: fleet\r\nX-Request-Id: {1}\r\nX-Class: {0}\r\nX-Tier: {plan}\r\n\
             X-Deadline: {deadline}m\r\nX-Call-Terms: units=1,spread={spread},first={first}\r\n{more}\r\n{body}",
            class.name, request.id
        )
    }

    /// What was counted.
    pub fn counts(&self) -> LoadCounts {
        let mut late = lock(&self.counters.latencies_us).clone();
        late.sort_unstable();
        let at = |share: f64| {
            let place = (late.len() as f64 * share) as usize;
            late.get(place.min(late.len().saturating_sub(1)))
                .map_or(0.0, |us| f64::from(*us) / 1e3)
        };
        LoadCounts {
            refused_connections: self.counters.refused_connections.load(Ordering::Relaxed),
            resent: self.counters.resent.load(Ordering::Relaxed),
            retries: self.counters.retries.load(Ordering::Relaxed),
            no_ready_node: self.counters.no_ready_node.load(Ordering::Relaxed),
            p50_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }
}
