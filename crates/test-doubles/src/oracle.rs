//! The test oracle: records what clients, app servers and discovery observed during a run and checks it against the
//! five rules of correctness.
//!
//! It does no input or output and reads no clock: each record carries its time, counted from the start of the run.

mod cold_server;
mod silent_links;

use cold_server::{warm_share, ColdServer};
use indexmap::IndexMap;
use silent_links::{arrival_limit, SilentLinks};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Limits and tolerances against which a run is judged.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// How long new work may still reach a server after the node was informed that the server is draining or gone.
    pub drain_grace: Duration,
    /// Added to each time limit for the transit from one process to another.
    pub transit_slack: Duration,
    /// How long after the arrival of an attempt the close of an earlier one, which its node has ended before, may be
    /// recorded. Zero where servers record closes in the order in which the node made them.
    pub close_slack: Duration,
    /// How long after its client's timeout a response may still arrive before it counts as late.
    pub answer_slack: Duration,
    /// How long a group of servers drops repeats of an idempotency key.
    pub idempotency_window: Duration,
    /// Share of its capacity with which a server starts.
    pub cold_start_share: f64,
    /// Time after its start at which a server has its full capacity.
    pub slow_start_duration: Duration,
    /// A server is overloaded by more work than this multiple of what it can do within `overload_window`.
    pub overload_multiple: f64,
    /// Span over which the work sent to a server is summed up.
    pub overload_window: Duration,
    /// Seconds of work of an average request.
    pub mean_work: f64,
    /// How long after a client has closed its connection an attempt of its request may still begin.
    pub disconnect_grace: Duration,
    /// Tolerance of a ceiling: a share of its depth and a number of units, of which the larger applies.
    pub ceiling_slack: (f64, f64),
    /// Widens the tolerance of a ceiling by what its rate yields in this span.
    pub ceiling_delay: Duration,
}

impl Default for Bounds {
    /// The platform's values.
    fn default() -> Bounds {
        Bounds {
            drain_grace: Duration::from_millis(250),
            transit_slack: Duration::from_millis(50),
            close_slack: Duration::from_millis(50),
            answer_slack: Duration::from_millis(50),
            idempotency_window: Duration::from_secs(2),
            cold_start_share: 0.21,
            slow_start_duration: Duration::from_secs(17),
            overload_multiple: 3.0,
            overload_window: Duration::from_secs(1),
            mean_work: 0.1,
            disconnect_grace: Duration::from_millis(100),
            ceiling_slack: (0.1, 1.0),
            ceiling_delay: Duration::from_millis(150),
        }
    }
}

/// Effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// A repeat has no effect.
    Safe,
    /// Servers of the same group drop repeats of the idempotency key for [`Bounds::idempotency_window`].
    Keyed,
    /// A repeat takes effect a second time.
    Unsafe,
}

/// A request as a client sends it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Value of `X-Request-Id`.
    pub id: String,
    /// Value of `Idempotency-Key`.
    pub key: Option<String>,
    /// Effect of a repeat.
    pub repeat_safety: RepeatSafety,
    /// Number of the edge node that the request was sent to.
    pub node: usize,
    /// Id of the customer.
    pub customer: u64,
    /// Units that the request takes from the customer's quota.
    pub units: f64,
    /// How long the client waits for the response.
    pub timeout: Duration,
}

/// Kind of a final response, as the client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Status 200.
    Served,
    /// Status 429 or 503: the request may safely be retried.
    Refused,
    /// Any other status.
    Failed,
}

/// Why a request received no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// The test killed the node while it held the request.
    Killed,
    /// The test suspended the node while the request waited.
    Paused,
    /// The connection was refused, or closed before the node read the request.
    NotAccepted,
    /// The client closed its connection.
    ClientDisconnected,
    /// None of the other reasons applies: the request is lost.
    Lost,
}

/// A violated rule, with a line that describes the case. Reports print the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// A request that a node accepted received no response.
    NoAnswer(String),
    /// A second response, or bytes after the first one.
    AnsweredTwice(String),
    /// A response after the client's timeout.
    LateAnswer(String),
    /// Two attempts of a request were in flight at once.
    TwoAttempts(String),
    /// An effect took place twice.
    TwiceEffect(String),
    /// A request was refused although it may have been executed.
    RefusedAfterEffect(String),
    /// New work reached a server too long after the node was informed of its drain.
    SentAfterDrain(String),
    /// Attempts of requests whose clients had disconnected, if a run has more than two of them.
    SentAfterLeave(String),
    /// A cold server was overloaded, by nodes that were informed of its start.
    Fell(String),
    /// A customer's ceiling was exceeded.
    CeilingPassed(String),
    /// A response with status 200 whose body no server made for this request.
    ForeignAnswer(String),
}

/// The arrival of an attempt at a server.
#[derive(Clone, Debug)]
struct Arrival {
    at: Duration,
    server: String,
}

/// A request with all that was observed of it.
#[derive(Debug)]
struct TrackedRequest {
    request: SentRequest,
    sent_at: Duration,
    answer: Option<(Answer, Duration)>,
    unanswered: Option<Unanswered>,
    /// When its client closed the connection while waiting, and the number of attempts until then.
    disconnected: Option<(Duration, u32)>,
    attempts: u32,
    in_flight: u32,
    /// The last attempt that arrived while another one was in flight, by what the servers saw.
    overlapping_arrival: Option<Arrival>,
    /// Whether the node had two attempts open at once, by the state of its own connections.
    overlapped: bool,
    effects: u32,
    /// When its first attempt was received in full, and its units beyond the quota at that time.
    first_attempt: Option<(Duration, f64)>,
    /// Seconds of work that its last attempt takes on a warm server.
    work: f64,
    /// Refused while the customer's quota and ceiling each had room: at least half of the depth, and the units it
    /// takes.
    refused_within_limits: bool,
}

impl TrackedRequest {
    /// Whether the request has ended: with a response, or without one for a known reason.
    fn is_over(&self) -> bool {
        self.answer.is_some() || self.unanswered.is_some()
    }
}

/// A request as the oracle recorded it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// Number of the edge node that the request was sent to.
    pub node: usize,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// Kind of its final response; `None` if there was none.
    pub answer: Option<Answer>,
    /// When its first attempt was received in full, and its units beyond the quota.
    pub first_attempt: Option<(Duration, f64)>,
    /// Units that the request takes from the customer's quota.
    pub units: f64,
    /// Seconds of work that its last attempt takes on a warm server.
    pub work: f64,
    /// Refused while the customer's quota and ceiling each had room: at least half of the depth, and the units it
    /// takes.
    pub refused_within_limits: bool,
}

/// A customer's quota or ceiling.
#[derive(Debug)]
struct TokenBucket {
    /// Units per second.
    rate: f64,
    /// Largest level, units.
    depth: f64,
    /// Units available at `refilled_at`.
    level: f64,
    refilled_at: Duration,
    /// Largest deficit so far, in units.
    max_deficit: f64,
    /// Units that were beyond the quota so far, see `take_if_available`.
    units_beyond: f64,
}

impl TokenBucket {
    fn new(rate: f64, depth: f64) -> TokenBucket {
        TokenBucket {
            rate,
            depth,
            level: depth,
            refilled_at: Duration::ZERO,
            max_deficit: 0.0,
            units_beyond: 0.0,
        }
    }

    fn refill(&mut self, now: Duration) {
        let span = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.level = (self.level + self.rate * span).min(self.depth);
    }

    /// Whether at least half of the depth, and at least `units`, are available.
    fn has_room(&mut self, now: Duration, units: f64) -> bool {
        self.refill(now);
        self.level >= units.max(self.depth / 2.0)
    }

    /// Takes units whether or not they are available, as a ceiling is judged.
    fn take(&mut self, now: Duration, units: f64) {
        self.refill(now);
        self.level -= units;
        self.max_deficit = self.max_deficit.max(-self.level);
    }

    /// Takes the units if they are available. Otherwise all of them are beyond the quota and nothing is taken.
    /// Returns the units beyond the quota.
    fn take_if_available(&mut self, now: Duration, units: f64) -> f64 {
        self.refill(now);
        let beyond = if self.level >= units { 0.0 } else { units };
        self.level -= units - beyond;
        self.units_beyond += beyond;
        beyond
    }
}

/// How one node handled its requests.
#[derive(Debug, Default)]
struct NodeRecord {
    /// Requests rejected without an attempt since the node's last attempt, and when the first of them was.
    rejections_in_row: u64,
    rejecting_since: Option<Duration>,
    /// Whether the node ever rejected all requests for too long.
    rejected_all: bool,
    /// Requests of the current process that ended, and how many of them were served.
    finished: u64,
    served: u64,
    /// Ended processes of the node that never served a request.
    processes_never_serving: u64,
}

impl NodeRecord {
    fn processes_never_serving(&self) -> u64 {
        self.processes_never_serving
            + u64::from(self.finished >= MIN_REQUESTS_TO_JUDGE && self.served == 0)
    }
}

/// A node that rejects at least this many requests, and all that it gets, for this long counts as rejecting all.
const REJECTING_ALL: (u64, Duration) = (15, Duration::from_secs(4));
/// A process that received this many requests and served none counts as never serving.
const MIN_REQUESTS_TO_JUDGE: u64 = 5;
/// Number of attempts after their clients disconnected up to which a run breaks no rule.
const MAX_ATTEMPTS_AFTER_DISCONNECT: usize = 2;

/// The time in which a node must not send new work to a server that is draining or gone.
#[derive(Debug)]
struct Drain {
    /// When the node was informed of it.
    informed_at: Duration,
    /// When the node may have been informed that the server is ready again; `None` if it was not.
    ended_at: Option<Duration>,
    /// Largest delay with which new work reached the server.
    max_delay: Duration,
}

/// Idempotency keys that each group has executed, with the time of the first execution.
type ExecutedKeys = HashMap<(u64, String), Duration>;

/// Records and judges one run.
#[derive(Debug)]
pub struct Oracle {
    bounds: Bounds,
    /// In the order in which they were sent, so that sums over them are reproducible.
    requests: IndexMap<String, TrackedRequest>,
    /// Requests that have not ended yet.
    open_count: usize,
    executed_keys: ExecutedKeys,
    /// By idempotency key: effects that took place, over all groups.
    effects_by_key: HashMap<String, u32>,
    /// The last drain of each server, by the node that was informed of it and the server.
    drains: HashMap<(usize, String), Drain>,
    silent_links: SilentLinks,
    /// The largest delays of drains that are no longer in `drains`.
    earlier_drains: Vec<Duration>,
    ceilings: BTreeMap<u64, TokenBucket>,
    quotas: BTreeMap<u64, TokenBucket>,
    cold_servers: BTreeMap<String, ColdServer>,
    /// Highest [`ColdServer::max_mean_load`] of server processes that have ended.
    max_mean_load: f64,
    node_records: BTreeMap<usize, NodeRecord>,
    attempts_after_disconnect: Vec<Breach>,
    delays_after_drain: Vec<Duration>,
    attempts_after_drain: u64,
    unsolicited_attempts: u64,
    /// Pairs of attempts that a node had open at once.
    overlaps: Vec<String>,
    breaches: Vec<Breach>,
}

/// The result of a run: requests by outcome, attempts, and violated rules.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Requests that were sent, each counted once.
    pub requests: u64,
    /// Requests with status 200.
    pub served: u64,
    /// Requests that were refused and may safely be retried.
    pub refused: u64,
    /// Requests with any other status.
    pub failed: u64,
    /// Requests without a response because the test killed their node.
    pub killed: u64,
    /// Requests without a response because the test suspended their node.
    pub paused: u64,
    /// Requests without a response because the node never accepted them.
    pub not_accepted: u64,
    /// Requests without a response because the client disconnected.
    pub disconnected: u64,
    /// Requests without a response for any other reason.
    pub lost: u64,
    /// Attempts that reached a server in full.
    pub attempts: u64,
    /// Attempts whose first byte arrived after the node was informed of the server's drain.
    pub attempts_after_drain: u64,
    /// Largest delay of such an attempt after the node was informed, in ms.
    pub attempts_after_drain_max_ms: f64,
    /// Drains that nodes were informed of, each counted once per node.
    pub drains: u64,
    /// Median over these drains of the largest delay of new work, in ms; 0 for a drain without new work.
    pub drain_median_ms: f64,
    /// Effects of keyed requests that took place.
    pub effects: u64,
    /// Idempotency keys with more than one effect over all groups. A client's retry of a failed request may cause
    /// one, so they break no rule.
    pub duplicated_keys: u64,
    /// Highest load of a cold server: work sent within the window, as a share of what overloads it.
    pub cold_load_max: f64,
    /// Most requests of average work that a cold server received from all nodes within the window, as a share of N + 2
    /// sqrt(N) + 2, where N is the number that overloads it on average.
    pub cold_mean_load_max: f64,
    /// Requests whose clients disconnected before the first attempt.
    pub disconnected_before_attempt: u64,
    /// Attempts that began too long after their clients disconnected.
    pub attempts_after_disconnect: u64,
    /// Nodes that rejected all requests for 4 s, at least 15 of them, with no attempt in between.
    pub nodes_rejecting_all: u64,
    /// Processes that received at least five requests and served none.
    pub processes_never_serving: u64,
    /// Units sent beyond quotas, as a share of all units sent.
    pub share_beyond_quota: f64,
    /// Largest excess over a ceiling, in units, without the tolerance.
    pub ceiling_excess_max: f64,
    /// Attempts that no client request accounts for.
    pub unsolicited_attempts: u64,
    /// Violated rules, sorted.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// Requests that received no response although their clients waited, for any reason.
    pub fn unanswered(&self) -> u64 {
        self.killed + self.paused + self.not_accepted + self.lost
    }
}

impl Oracle {
    /// An oracle without records.
    pub fn new(bounds: Bounds) -> Oracle {
        Oracle {
            bounds,
            requests: IndexMap::new(),
            open_count: 0,
            executed_keys: HashMap::new(),
            effects_by_key: HashMap::new(),
            drains: HashMap::new(),
            silent_links: SilentLinks::default(),
            earlier_drains: Vec::new(),
            ceilings: BTreeMap::new(),
            quotas: BTreeMap::new(),
            cold_servers: BTreeMap::new(),
            max_mean_load: 0.0,
            node_records: BTreeMap::new(),
            attempts_after_disconnect: Vec::new(),
            delays_after_drain: Vec::new(),
            attempts_after_drain: 0,
            unsolicited_attempts: 0,
            overlaps: Vec::new(),
            breaches: Vec::new(),
        }
    }

    /// Sets a customer's quota and, if there is one, its hard ceiling: units per second, and depth in units.
    pub fn set_limits(&mut self, customer: u64, quota: (f64, f64), ceiling: Option<(f64, f64)>) {
        self.quotas
            .insert(customer, TokenBucket::new(quota.0, quota.1));
        if let Some((rate, depth)) = ceiling {
            self.ceilings
                .insert(customer, TokenBucket::new(rate, depth));
        }
    }

    /// Records that the last byte of a request was written. A request that is sent again because its connection
    /// closed before it was read counts once.
    pub fn request_sent(&mut self, now: Duration, request: SentRequest) {
        let id = request.id.clone();
        let entry = TrackedRequest {
            request,
            sent_at: now,
            answer: None,
            unanswered: None,
            disconnected: None,
            attempts: 0,
            in_flight: 0,
            overlapping_arrival: None,
            overlapped: false,
            effects: 0,
            first_attempt: None,
            work: 0.0,
            refused_within_limits: false,
        };
        let (node, before) = (entry.request.node, self.requests.len());
        self.requests.entry(id).or_insert(entry).request.node = node;
        self.open_count += self.requests.len() - before;
    }

    /// Records that a request's final response was received in full.
    pub fn response_received(&mut self, now: Duration, id: &str, answer: Answer) {
        let bounds = &self.bounds;
        let Some(entry) = self.requests.get_mut(id) else {
            return self.breaches.push(Breach::ForeignAnswer(format!(
                "{id}: response to an unknown request"
            )));
        };
        if entry.is_over() {
            return self.breaches.push(Breach::AnsweredTwice(id.to_owned()));
        }
        entry.answer = Some((answer, now));
        self.open_count -= 1;
        let (customer, units) = (entry.request.customer, entry.request.units);
        let room = |limits: &mut BTreeMap<u64, TokenBucket>| {
            limits
                .get_mut(&customer)
                .is_none_or(|limit| limit.has_room(now, units))
        };
        entry.refused_within_limits =
            answer == Answer::Refused && room(&mut self.quotas) && room(&mut self.ceilings);
        let record = self.node_records.entry(entry.request.node).or_default();
        record.finished += 1;
        if answer == Answer::Served {
            record.served += 1;
        } else if entry.attempts == 0 {
            record.rejections_in_row += 1;
            let since = *record.rejecting_since.get_or_insert(now);
            record.rejected_all |= record.rejections_in_row >= REJECTING_ALL.0
                && now.saturating_sub(since) >= REJECTING_ALL.1;
        }
        if now > entry.sent_at + entry.request.timeout + bounds.answer_slack {
            let delay = now
                .checked_sub(entry.sent_at)
                .unwrap()
                .checked_sub(entry.request.timeout)
                .unwrap()
                .as_millis();
            self.breaches
                .push(Breach::LateAnswer(format!("{id}: {delay} ms")));
        }
    }

    /// Records that bytes followed a response.
    pub fn extra_bytes_received(&mut self, id: &str) {
        self.breaches.push(Breach::AnsweredTwice(format!(
            "{id}: bytes after the response"
        )));
    }

    /// Records a response with status 200 whose body no server made for this request.
    pub fn wrong_response_received(&mut self, id: &str) {
        self.breaches.push(Breach::ForeignAnswer(id.to_owned()));
    }

    /// Records that a request will get no response.
    pub fn request_unanswered(&mut self, id: &str, reason: Unanswered) {
        if let Some(entry) = self.requests.get_mut(id) {
            self.open_count -= usize::from(!entry.is_over());
            entry.unanswered.get_or_insert(reason);
            let counts_as_finished = reason == Unanswered::Lost;
            self.node_records
                .entry(entry.request.node)
                .or_default()
                .finished += u64::from(counts_as_finished);
        }
    }

    /// Records that a client closed its connection while its request waited.
    pub fn client_disconnected(&mut self, now: Duration, id: &str) {
        self.request_unanswered(id, Unanswered::ClientDisconnected);
        if let Some(entry) = self.requests.get_mut(id) {
            entry.disconnected.get_or_insert((now, entry.attempts));
        }
    }

    /// Records that a node was informed of a server's health: ready, or else draining or gone. What a node may do from
    /// then on is recorded before the first byte is written to it (ready), what it may not do after the last one.
    pub fn health_delivered(&mut self, now: Duration, node: usize, server: &str, ready: bool) {
        let node_and_server = (node, server.to_owned());
        let stands = |drain: &Drain| drain.ended_at.is_none();
        if ready {
            let drain = self.drains.get_mut(&node_and_server);
            if let Some(drain) = drain.filter(|drain| stands(drain)) {
                drain.ended_at = Some(now);
            }
            return;
        }
        if self.drains.get(&node_and_server).is_some_and(stands) {
            return;
        }
        let drain = Drain {
            informed_at: now,
            ended_at: None,
            max_delay: Duration::ZERO,
        };
        let earlier = self.drains.insert(node_and_server, drain);
        self.earlier_drains
            .extend(earlier.map(|earlier| earlier.max_delay));
    }

    /// Records that a node was not informed that a server is ready: writing to the node failed. `recorded_at` is the time
    /// for which that was recorded.
    pub fn ready_not_delivered(&mut self, recorded_at: Duration, node: usize, server: &str) {
        if let Some(drain) = self.drains.get_mut(&(node, server.to_owned())) {
            drain.ended_at = drain.ended_at.filter(|at| *at != recorded_at);
        }
    }

    /// Records that a node's process was restarted. The new process has not received the notifications of the old one.
    pub fn node_restarted(&mut self, node: usize) {
        let drains = std::mem::take(&mut self.drains);
        let (of_node, of_others) = drains
            .into_iter()
            .partition(|((other, _), _)| *other == node);
        self.drains = of_others;
        let of_node: HashMap<_, Drain> = of_node;
        let ended = of_node
            .into_values()
            .filter(|drain| drain.ended_at.is_some());
        self.earlier_drains
            .extend(ended.map(|drain| drain.max_delay));
        let record = self.node_records.entry(node).or_default();
        (
            record.processes_never_serving,
            record.finished,
            record.served,
        ) = (record.processes_never_serving(), 0, 0);
    }

    /// Records that a server started cold; `capacity` is in seconds of work per second once it is warm.
    pub fn server_started_cold(&mut self, now: Duration, server: &str, capacity: f64) {
        let cold = ColdServer::new(now, capacity);
        let before = self.cold_servers.insert(server.to_owned(), cold);
        self.max_mean_load = before.map_or(self.max_mean_load, |before| {
            before.max_mean_load.max(self.max_mean_load)
        });
    }

    /// Records that a server that started cold is listed with this start time, in Unix ms, of which none of the nodes is
    /// informed yet. Without this record, all nodes count as informed.
    pub fn cold_start_listed(&mut self, server: &str, listed_start: u64, nodes: usize) {
        if let Some(cold) = self.cold_servers.get_mut(server) {
            cold.listed(listed_start, nodes);
        }
    }

    /// Records that a node was informed of a server with this listed start time.
    pub fn start_reported(&mut self, now: Duration, node: usize, server: &str, listed_start: u64) {
        let informed_at = self.silent_links.informed_at(node, now);
        if let Some(cold) = self.cold_servers.get_mut(server) {
            cold.start_reported(node, listed_start, informed_at);
        }
    }

    /// Records whether the link from the list service to a node lets nothing through from now on. What is written to the
    /// node meanwhile arrives when the link recovers, and counts as received at the latest six seconds after it fell
    /// silent.
    pub fn list_link_silent(&mut self, now: Duration, node: usize, silent: bool) {
        let Some(since) = self.silent_links.set(now, node, silent) else {
            return;
        };
        let of_node = self
            .drains
            .iter_mut()
            .filter(|((other, _), _)| *other == node);
        for (_, drain) in of_node {
            if drain.informed_at >= since {
                drain.informed_at = now.min(arrival_limit(drain.informed_at, since));
            }
        }
        for cold in self.cold_servers.values_mut() {
            cold.list_received(now, node);
        }
    }

    /// Share of its capacity that a server has at this time.
    pub fn capacity_share(&self, now: Duration, server: &str) -> f64 {
        let Some(cold) = self.cold_servers.get(server) else {
            return 1.0;
        };
        warm_share(&self.bounds, now.saturating_sub(cold.started_at))
    }

    /// Whether a server has been overloaded since it started.
    pub fn is_overloaded(&self, server: &str) -> bool {
        self.cold_servers
            .get(server)
            .is_some_and(|cold| cold.overloaded)
    }

    /// Records that an attempt was received by a server in full. `first` is when its first byte arrived, `work` the
    /// seconds that it takes on a warm server.
    pub fn attempt_received(
        &mut self,
        now: Duration,
        first: Duration,
        server: &str,
        id: &str,
        work: f64,
    ) {
        let bounds = &self.bounds;
        let Some(entry) = self.requests.get_mut(id) else {
            // The client may only just have written its last byte, in which case the request is recorded a little
            // later.
            self.unsolicited_attempts += 1;
            return;
        };
        entry.attempts += 1;
        entry.in_flight += 1;
        entry.work = work;
        if entry.in_flight > 1 {
            // The end of the earlier attempt may still be in transit; `attempt_canceled` clears this if it comes
            // soon.
            entry.overlapping_arrival = Some(Arrival {
                at: now,
                server: server.to_owned(),
            });
        }
        let record = self.node_records.entry(entry.request.node).or_default();
        (record.rejections_in_row, record.rejecting_since) = (0, None);
        if let Some((disconnected_at, _)) = entry.disconnected {
            if first > disconnected_at + bounds.disconnect_grace + bounds.transit_slack {
                let delay = first.checked_sub(disconnected_at).unwrap().as_millis();
                let line = format!(
                    "{id} from node {} to {server} after {delay} ms",
                    entry.request.node
                );
                self.attempts_after_disconnect
                    .push(Breach::SentAfterLeave(line));
            }
        }
        let node = entry.request.node;
        let drain = self
            .drains
            .get_mut(&(node, server.to_owned()))
            .filter(|drain| drain.ended_at.is_none_or(|ended_at| first < ended_at));
        if let Some(drain) = drain {
            let informed_at = self.silent_links.informed_at(node, drain.informed_at);
            if let Some(delay) = first.checked_sub(informed_at) {
                drain.max_delay = delay.max(drain.max_delay);
                self.attempts_after_drain += 1;
                self.delays_after_drain.push(delay);
                if delay > bounds.drain_grace + bounds.transit_slack {
                    let line = format!("{id} to {server} after {} ms", delay.as_millis());
                    self.breaches.push(Breach::SentAfterDrain(line));
                }
            }
        }
        if entry.attempts == 1 {
            let (customer, units) = (entry.request.customer, entry.request.units);
            if let Some(ceiling) = self.ceilings.get_mut(&customer) {
                ceiling.take(now, units);
                let (share, min_units) = bounds.ceiling_slack;
                let slack = (ceiling.depth * share).max(min_units)
                    + ceiling.rate * bounds.ceiling_delay.as_secs_f64();
                if ceiling.level < -slack {
                    let over = -ceiling.level - slack;
                    let line =
                        format!("customer {customer:x} by {over:.2} units beyond the tolerance");
                    self.breaches.push(Breach::CeilingPassed(line));
                }
            }
            let beyond = self
                .quotas
                .get_mut(&customer)
                .map_or(0.0, |quota| quota.take_if_available(now, units));
            entry.first_attempt = Some((now, beyond));
        }
        let cold = self.cold_servers.get_mut(server);
        let overload = cold.and_then(|cold| cold.attempt_received(bounds, now, node, work));
        self.breaches
            .extend(overload.map(|overload| Breach::Fell(format!("{server}, {overload}"))));
    }

    /// Records that the work of an attempt was done; `received_at` is when it was received in full. Returns whether its
    /// effect took place: a keyed attempt does nothing if its group remembered the key when the attempt was received.
    /// The time of receipt decides, because a repeat that came in time may wait before it is executed.
    pub fn attempt_executed(
        &mut self,
        now: Duration,
        received_at: Duration,
        group: u64,
        id: &str,
    ) -> bool {
        let window = self.bounds.idempotency_window;
        let Some(entry) = self.requests.get_mut(id) else {
            return false;
        };
        match (entry.request.repeat_safety, entry.request.key.clone()) {
            (RepeatSafety::Safe, _) => return false,
            (RepeatSafety::Keyed, Some(key)) => {
                let known = self.executed_keys.get(&(group, key.clone()));
                if known.is_some_and(|at| received_at.saturating_sub(*at) <= window) {
                    return false;
                }
                self.executed_keys.insert((group, key.clone()), now);
                *self.effects_by_key.entry(key).or_default() += 1;
            }
            _ => {}
        }
        entry.effects += 1;
        if entry.effects > 1 {
            self.breaches.push(Breach::TwiceEffect(id.to_owned()));
        }
        true
    }

    /// Records that an attempt ended at its server: its response is written, or its connection has ended.
    pub fn attempt_finished(&mut self, id: &str) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// Records that a node had two attempts of a request open at once, by the state of its own connections; `line` names
    /// both.
    pub fn attempts_overlapped(&mut self, id: &str, line: String) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.overlapped = true;
            self.overlaps.push(line);
        }
    }

    /// A line on each pair of attempts that a node had open at once, by its own connections or by what servers saw.
    pub fn overlaps(&self) -> Vec<String> {
        let by_servers = self.requests.iter().filter_map(|(id, entry)| {
            let Arrival { at, server } = entry.overlapping_arrival.as_ref()?;
            let seconds = at.as_secs_f64();
            Some(format!(
                "{id} at {server} after {seconds:.3} s, while a server held another"
            ))
        });
        self.overlaps.iter().cloned().chain(by_servers).collect()
    }

    /// Records that the node closed the connection of an attempt, which is then no longer in flight. Ends of
    /// connections may be observed with a delay, so one within [`Bounds::close_slack`] after the arrival of another
    /// attempt counts as an end before that arrival.
    pub fn attempt_canceled(&mut self, now: Duration, id: &str) {
        let slack = self.bounds.close_slack;
        if let Some(entry) = self.requests.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            let arrival = entry.overlapping_arrival.take();
            entry.overlapping_arrival = arrival.filter(|arrival| now > arrival.at + slack);
        }
    }

    /// Number of attempts of a request that reached a server.
    pub fn attempt_count(&self, id: &str) -> u32 {
        self.requests.get(id).map_or(0, |entry| entry.attempts)
    }

    /// Records that a suspended node was resumed: what was written to it meanwhile counts as received now.
    pub fn node_resumed(&mut self, now: Duration, node: usize, paused_at: Duration) {
        let informed = self
            .drains
            .iter_mut()
            .filter(|((other, _), drain)| *other == node && drain.informed_at >= paused_at);
        informed.for_each(|(_, drain)| drain.informed_at = now);
        // The same holds for a client's close.
        let node_requests = self
            .requests
            .values_mut()
            .filter(|entry| entry.request.node == node);
        node_requests
            .filter_map(|entry| entry.disconnected.as_mut())
            .filter(|(at, _)| *at >= paused_at)
            .for_each(|(at, _)| *at = now);
    }

    /// All requests, in the order in which they were sent.
    pub fn requests(&self) -> impl Iterator<Item = RequestRecord> + '_ {
        self.requests.values().map(|entry| RequestRecord {
            node: entry.request.node,
            sent_at: entry.sent_at,
            answer: entry.answer.map(|(answer, _)| answer),
            first_attempt: entry.first_attempt,
            units: entry.request.units,
            work: entry.work,
            refused_within_limits: entry.refused_within_limits,
        })
    }

    /// Seconds of work that these servers could do between two times: each has its capacity, or a part of it while it
    /// is cold.
    pub fn available_work(&self, servers: &[(String, f64)], from: Duration, to: Duration) -> f64 {
        /// Step of the sum. The capacity rises linearly, so few steps suffice.
        const STEP: Duration = Duration::from_millis(100);
        let steps = (to.saturating_sub(from).as_secs_f64() / STEP.as_secs_f64()) as u32;
        let middle_of = |step: u32| from + STEP * step + STEP / 2;
        // Looked up once per server: there may be tens of thousands.
        let work_of = |(name, capacity): &(String, f64)| {
            let started_at = self.cold_servers.get(name).map(|cold| cold.started_at);
            let warm_share = |now: Duration| {
                started_at.map_or(1.0, |started_at| {
                    warm_share(&self.bounds, now.saturating_sub(started_at))
                })
            };
            (0..steps)
                .map(|step| capacity * warm_share(middle_of(step)) * STEP.as_secs_f64())
                .sum::<f64>()
        };
        servers.iter().map(work_of).sum()
    }

    /// Number of requests that have not ended yet.
    pub fn open_requests(&self) -> usize {
        self.open_count
    }

    /// Judges the finished run: requests that have not ended by now are lost.
    pub fn verdict(&self) -> Verdict {
        let mut breaches = self.breaches.clone();
        let mut answered = [0_u64; 3];
        let mut unanswered = [0_u64; 5];
        for (id, entry) in &self.requests {
            let overlapped = entry.overlapped || entry.overlapping_arrival.is_some();
            breaches.extend(overlapped.then(|| Breach::TwoAttempts(id.clone())));
            match (entry.answer, entry.unanswered) {
                (Some((answer, _)), _) => {
                    answered[answer as usize] += 1;
                    if answer == Answer::Refused && entry.effects > 0 {
                        breaches.push(Breach::RefusedAfterEffect(id.clone()));
                    }
                }
                (None, reason) => {
                    let reason = reason.unwrap_or(Unanswered::Lost);
                    unanswered[reason as usize] += 1;
                    if reason == Unanswered::Lost {
                        breaches.push(Breach::NoAnswer(format!(
                            "{id} at node {}",
                            entry.request.node
                        )));
                    }
                }
            }
        }
        if self.attempts_after_disconnect.len() > MAX_ATTEMPTS_AFTER_DISCONNECT {
            breaches.extend_from_slice(&self.attempts_after_disconnect);
        }
        breaches.sort();
        let mut drains: Vec<Duration> = self.drains.values().map(|drain| drain.max_delay).collect();
        drains.extend(&self.earlier_drains);
        drains.sort();
        let sent: f64 = self
            .requests
            .values()
            .filter(|entry| entry.attempts > 0)
            .map(|entry| entry.request.units)
            .sum();
        let beyond: f64 = self.quotas.values().map(|quota| quota.units_beyond).sum();
        Verdict {
            requests: self.requests.len() as u64,
            served: answered[Answer::Served as usize],
            refused: answered[Answer::Refused as usize],
            failed: answered[Answer::Failed as usize],
            killed: unanswered[Unanswered::Killed as usize],
            paused: unanswered[Unanswered::Paused as usize],
            not_accepted: unanswered[Unanswered::NotAccepted as usize],
            disconnected: unanswered[Unanswered::ClientDisconnected as usize],
            lost: unanswered[Unanswered::Lost as usize],
            attempts: self
                .requests
                .values()
                .map(|entry| u64::from(entry.attempts))
                .sum(),
            attempts_after_drain: self.attempts_after_drain,
            drains: drains.len() as u64,
            drain_median_ms: drains
                .get(drains.len() / 2)
                .map_or(0.0, |delay| delay.as_secs_f64() * 1e3),
            attempts_after_drain_max_ms: self
                .delays_after_drain
                .iter()
                .max()
                .map_or(0.0, |delay| delay.as_secs_f64() * 1e3),
            effects: self
                .effects_by_key
                .values()
                .map(|count| u64::from(*count))
                .sum(),
            duplicated_keys: self
                .effects_by_key
                .values()
                .filter(|count| **count > 1)
                .count() as u64,
            cold_load_max: self
                .cold_servers
                .values()
                .map(|cold| cold.max_load)
                .fold(0.0, f64::max),
            cold_mean_load_max: self
                .cold_servers
                .values()
                .map(|cold| cold.max_mean_load)
                .fold(self.max_mean_load, f64::max),
            disconnected_before_attempt: self
                .requests
                .values()
                .filter(|entry| matches!(entry.disconnected, Some((_, 0))))
                .count() as u64,
            attempts_after_disconnect: self.attempts_after_disconnect.len() as u64,
            nodes_rejecting_all: self
                .node_records
                .values()
                .filter(|record| record.rejected_all)
                .count() as u64,
            processes_never_serving: self
                .node_records
                .values()
                .map(NodeRecord::processes_never_serving)
                .sum(),
            share_beyond_quota: if sent > 0.0 { beyond / sent } else { 0.0 },
            ceiling_excess_max: self
                .ceilings
                .values()
                .map(|ceiling| ceiling.max_deficit)
                .fold(0.0, f64::max),
            unsolicited_attempts: self.unsolicited_attempts,
            breaches,
        }
    }
}

#[cfg(test)]
mod tests;
