//! The ledger: all that clients, app servers and discovery saw of a run, and its judgement by the five rules.
//!
//! It does no input or output and reads no clock: each entry bears its time, counted from the run's start.

use indexmap::IndexMap;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

/// What a run is judged by.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// After a node was told that a server drains or is gone, new work may reach it for so long.
    pub drain_grace: Duration,
    /// What is added to each time limit for the way from one process to another.
    pub transit_slack: Duration,
    /// An answer that comes later than so long after its client's time is late.
    pub answer_slack: Duration,
    /// How long a group of servers drops repeats of a key.
    pub idempotency_window: Duration,
    /// Share of its capacity at which a server starts.
    pub cold_start_share: f64,
    /// After so long it has all of it.
    pub slow_start_duration: Duration,
    /// More work than this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... within this span makes it fall.
    pub overload_window: Duration,
    /// Seconds of work of a mean request.
    pub mean_work: f64,
    /// After a client has closed its connection an attempt of its request may begin for so long.
    pub disconnect_grace: Duration,
    /// Slack of a ceiling: a share of its depth, or so many units, whichever is more.
    pub ceiling_slack: (f64, f64),
    /// The slack is wider by what the ceiling's rate gives in this span.
    pub ceiling_delay: Duration,
}

impl Default for Bounds {
    /// The platform's figures.
    fn default() -> Bounds {
        Bounds {
            drain_grace: Duration::from_millis(250),
            transit_slack: Duration::from_millis(50),
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

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatSafety {
    /// Nothing.
    Safe,
    /// It is dropped by servers of the same group, for a while.
    Keyed,
    /// Harm.
    Unsafe,
}

/// A try of a client, as it sends it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// `X-Request-Id`.
    pub id: String,
    /// `Idempotency-Key`.
    pub key: Option<String>,
    /// What a repeat does.
    pub repeat_safety: RepeatSafety,
    /// The edge node that it was sent to.
    pub node: usize,
    /// The customer.
    pub customer: u64,
    /// Units that it takes.
    pub units: f64,
    /// How long the client waits.
    pub timeout: Duration,
}

/// A final answer, as a client reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 200.
    Served,
    /// 429 or 503: trying again is harmless.
    Refused,
    /// Any other.
    Failed,
}

/// Why a try has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unanswered {
    /// Its node was killed with it.
    Killed,
    /// Its node stood still, by order, while it waited.
    Paused,
    /// It was never taken: the connection was refused or closed before it was read.
    NotAccepted,
    /// The client went away by itself.
    ClientDisconnected,
    /// None of these: it is lost.
    Lost,
}

/// A rule that was broken, in a line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Breach {
    /// A try that was taken got no answer.
    NoAnswer(String),
    /// A second answer, or bytes behind the first.
    AnsweredTwice(String),
    /// An answer after the client's time was up.
    LateAnswer(String),
    /// Two attempts of a request out at once.
    TwoAttempts(String),
    /// An effect that took place twice.
    TwiceEffect(String),
    /// A refusal of what may have run.
    RefusedAfterEffect(String),
    /// New work reached a server too long after the drain was told.
    SentAfterDrain(String),
    /// An attempt of a request whose client had gone, from the third on.
    SentAfterLeave(String),
    /// A cold server fell over.
    Fell(String),
    /// A ceiling was passed.
    CeilingPassed(String),
    /// Served with what no server made for it.
    ForeignAnswer(String),
}

#[derive(Debug)]
struct TrackedRequest {
    request: SentRequest,
    sent_at: Duration,
    answer: Option<(Answer, Duration)>,
    unanswered: Option<Unanswered>,
    /// When its client closed the connection while it waited, and how many attempts there had been.
    disconnected: Option<(Duration, u32)>,
    attempts: u32,
    in_flight: u32,
    /// When an attempt came while another was out.
    overlapped_at: Option<Duration>,
    effects: u32,
    /// When its first attempt had come whole, and its units beyond the quota then.
    first_attempt: Option<(Duration, f64)>,
    /// Seconds of work of its last attempt on a warm server.
    work: f64,
    /// Refused while half or more of its customer's quota and ceiling, and what it takes, was unused.
    refused_within_limits: bool,
}

impl TrackedRequest {
    /// Whether it has an end: an answer, or none for a known reason.
    fn is_over(&self) -> bool {
        self.answer.is_some() || self.unanswered.is_some()
    }
}

/// A try as the ledger saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestRecord {
    /// The edge node that it was sent to.
    pub node: usize,
    /// When its last byte was written.
    pub sent_at: Duration,
    /// Its final answer, if it got one.
    pub answer: Option<Answer>,
    /// When its first attempt had come whole, and its units beyond the quota.
    pub first_attempt: Option<(Duration, f64)>,
    /// Units that it takes.
    pub units: f64,
    /// Seconds of work of its last attempt on a warm server.
    pub work: f64,
    /// Refused while half or more of its customer's quota and ceiling, and what it takes, was unused.
    pub refused_within_limits: bool,
}

#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    depth: f64,
    level: f64,
    refilled_at: Duration,
    /// Farthest below nothing that it ever was.
    max_deficit: f64,
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

    /// Whether half of it or more is unused, and so much is there.
    fn has_room(&mut self, now: Duration, units: f64) -> bool {
        self.refill(now);
        self.level >= units.max(self.depth / 2.0)
    }

    /// Takes units whether or not they are there, as a ceiling is judged.
    fn take(&mut self, now: Duration, units: f64) {
        self.refill(now);
        self.level -= units;
        self.max_deficit = self.max_deficit.max(-self.level);
    }

    /// Takes units if they are there; otherwise they are beyond the quota and take nothing.
    /// Returns the units that are beyond.
    fn take_if_available(&mut self, now: Duration, units: f64) -> f64 {
        self.refill(now);
        let beyond = if self.level >= units { 0.0 } else { units };
        self.level -= units - beyond;
        self.units_beyond += beyond;
        beyond
    }
}

#[derive(Debug)]
struct ColdServer {
    started_at: Duration,
    /// Seconds of work a second at full capacity.
    capacity: f64,
    work: VecDeque<(Duration, f64)>,
    max_load: f64,
    /// Most requests of mean work in the window, as a share of what a Poisson stream of the bound's mean stays within.
    max_crowding: f64,
    overloaded: bool,
}

/// What one node did with what it got.
#[derive(Debug, Default)]
struct NodeRecord {
    /// Turned away unsent since its last attempt, and when the first of these was.
    rejections_in_row: u64,
    rejecting_since: Option<Duration>,
    /// Whether it ever turned away all for too long.
    rejected_all: bool,
    /// Requests of its present process that had an end, and those of them that were served.
    finished: u64,
    served: u64,
    /// Processes of it that have ended and served nobody.
    processes_never_serving: u64,
}

impl NodeRecord {
    fn processes_never_serving(&self) -> u64 {
        self.processes_never_serving
            + u64::from(self.finished >= MIN_REQUESTS_TO_JUDGE && self.served == 0)
    }
}

/// A node that turns away so many, and all that it gets, for so long, is shut.
const REJECTING_ALL: (u64, Duration) = (15, Duration::from_secs(4));
/// A process that has got so many requests and served none serves nobody.
const MIN_REQUESTS_TO_JUDGE: u64 = 5;
/// Attempts after their clients had gone that break no rule.
const MAX_ATTEMPTS_AFTER_DISCONNECT: usize = 2;

/// The keys that a group has run, and when first.
type ExecutedKeys = HashMap<(u64, String), Duration>;

/// The ledger of one run.
#[derive(Debug)]
pub struct Oracle {
    bounds: Bounds,
    /// In the order in which they were asked: sums over them come out the same each time.
    requests: IndexMap<String, TrackedRequest>,
    /// How many of them have no end yet.
    open_count: usize,
    executed_keys: ExecutedKeys,
    /// By key: how many of its effects took place in all groups.
    effects_by_key: HashMap<String, u32>,
    /// When a node was last told that a server drains or is gone, and how late the latest new work reached it after that.
    unhealthy_since: HashMap<(usize, String), (Duration, Duration)>,
    /// The same of drains that are over.
    ended_drains: Vec<Duration>,
    ceilings: BTreeMap<u64, TokenBucket>,
    quotas: BTreeMap<u64, TokenBucket>,
    cold_servers: BTreeMap<String, ColdServer>,
    /// The highest share of servers' earlier lives.
    max_crowding: f64,
    node_records: BTreeMap<usize, NodeRecord>,
    after_leave: Vec<Breach>,
    delays_after_drain: Vec<Duration>,
    after_drain: u64,
    unsolicited_attempts: u64,
    breaches: Vec<Breach>,
}

/// Attempts by how they ended at servers, answers by kind and what broke: a run in figures.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    /// Tries that were sent, each counted once.
    pub requests: u64,
    /// By final answer.
    pub served: u64,
    /// Refused: trying again is harmless.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Unanswered as their node was killed with them.
    pub killed: u64,
    /// Unanswered as their node stood still by order.
    pub paused: u64,
    /// Unanswered as they were never taken.
    pub not_accepted: u64,
    /// Unanswered as the client left.
    pub disconnected: u64,
    /// Unanswered for no such reason.
    pub lost: u64,
    /// Attempts that reached a server whole.
    pub attempts: u64,
    /// Attempts whose first byte came after a node was told of a drain, and how late at the most, in ms.
    pub attempts_after_drain: u64,
    /// The latest of them.
    pub attempts_after_drain_max_ms: f64,
    /// Drains that nodes were told, each counted once a node, and the median over them of how late the latest new work
    /// came, in ms; nought where none came.
    pub drains: u64,
    /// See there.
    pub drain_median_ms: f64,
    /// Effects of keyed requests that took place, and keys with more than one over all groups (a client that retried
    /// what had failed may cause these; they break no rule).
    pub effects: u64,
    /// Keys with several effects.
    pub duplicated_keys: u64,
    /// Worst load of a cold server: work sent within the window, as a share of what makes it fall.
    pub cold_load_max: f64,
    /// Most requests of mean work that a cold server got from all nodes within the window, as a share of N + 2 sqrt(N) + 2,
    /// N being how many make it fall on the mean.
    pub cold_crowding_max: f64,
    /// Requests whose clients left while they waited for their first attempt.
    pub disconnected_before_attempt: u64,
    /// Attempts that began too long after their clients had left.
    pub attempts_after_disconnect: u64,
    /// Nodes that turned away all that they got for 4 s on end, 15 requests or more, with no attempt in between.
    pub nodes_rejecting_all: u64,
    /// Processes that got five requests or more and served none.
    pub processes_never_serving: u64,
    /// Units sent beyond quotas, as a share of all units sent.
    pub share_beyond_quota: f64,
    /// Farthest that a ceiling was passed, in units over its slack-free bound.
    pub ceiling_excess_max: f64,
    /// Attempts that no client asked for.
    pub unsolicited_attempts: u64,
    /// What broke, sorted.
    pub breaches: Vec<Breach>,
}

impl Verdict {
    /// Requests that got no answer though their clients waited, whatever befell their nodes.
    pub fn unanswered(&self) -> u64 {
        self.killed + self.paused + self.not_accepted + self.lost
    }
}

impl Oracle {
    /// An empty one.
    pub fn new(bounds: Bounds) -> Oracle {
        Oracle {
            bounds,
            requests: IndexMap::new(),
            open_count: 0,
            executed_keys: HashMap::new(),
            effects_by_key: HashMap::new(),
            unhealthy_since: HashMap::new(),
            ended_drains: Vec::new(),
            ceilings: BTreeMap::new(),
            quotas: BTreeMap::new(),
            cold_servers: BTreeMap::new(),
            max_crowding: 0.0,
            node_records: BTreeMap::new(),
            after_leave: Vec::new(),
            delays_after_drain: Vec::new(),
            after_drain: 0,
            unsolicited_attempts: 0,
            breaches: Vec::new(),
        }
    }

    /// A customer's quota, and its hard ceiling if there is one: units a second, and units at once.
    pub fn set_limits(&mut self, customer: u64, quota: (f64, f64), ceiling: Option<(f64, f64)>) {
        self.quotas
            .insert(customer, TokenBucket::new(quota.0, quota.1));
        if let Some((rate, depth)) = ceiling {
            self.ceilings
                .insert(customer, TokenBucket::new(rate, depth));
        }
    }

    /// A try's last byte is written. The same try, sent once more as its connection had closed unread, counts once.
    pub fn request_sent(&mut self, now: Duration, asked: SentRequest) {
        let id = asked.id.clone();
        let entry = TrackedRequest {
            request: asked,
            sent_at: now,
            answer: None,
            unanswered: None,
            disconnected: None,
            attempts: 0,
            in_flight: 0,
            overlapped_at: None,
            effects: 0,
            first_attempt: None,
            work: 0.0,
            refused_within_limits: false,
        };
        let (node, before) = (entry.request.node, self.requests.len());
        self.requests.entry(id).or_insert(entry).request.node = node;
        self.open_count += self.requests.len() - before;
    }

    /// A try's final answer has come whole.
    pub fn response_received(&mut self, now: Duration, id: &str, answer: Answer) {
        let bounds = &self.bounds;
        let Some(entry) = self.requests.get_mut(id) else {
            return self
                .breaches
                .push(Breach::ForeignAnswer(format!("{id}: an answer to nothing")));
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
            let late = now
                .checked_sub(entry.sent_at)
                .unwrap()
                .checked_sub(entry.request.timeout)
                .unwrap()
                .as_millis();
            self.breaches
                .push(Breach::LateAnswer(format!("{id}: {late} ms")));
        }
    }

    /// Bytes came behind an answer.
    pub fn extra_bytes_received(&mut self, id: &str) {
        self.breaches.push(Breach::AnsweredTwice(format!(
            "{id}: bytes behind the answer"
        )));
    }

    /// A served answer was not what a server made for this try.
    pub fn wrong_response_received(&mut self, id: &str) {
        self.breaches.push(Breach::ForeignAnswer(id.to_owned()));
    }

    /// A try will get no answer.
    pub fn request_unanswered(&mut self, id: &str, why: Unanswered) {
        if let Some(entry) = self.requests.get_mut(id) {
            self.open_count -= usize::from(!entry.is_over());
            entry.unanswered.get_or_insert(why);
            let got = why == Unanswered::Lost;
            self.node_records
                .entry(entry.request.node)
                .or_default()
                .finished += u64::from(got);
        }
    }

    /// A client has closed its connection while its request waited.
    pub fn client_disconnected(&mut self, now: Duration, id: &str) {
        self.request_unanswered(id, Unanswered::ClientDisconnected);
        if let Some(entry) = self.requests.get_mut(id) {
            entry.disconnected.get_or_insert((now, entry.attempts));
        }
    }

    /// A node was told a server's standing: ready, or else draining or gone.
    pub fn health_delivered(&mut self, now: Duration, node: usize, server: &str, ready: bool) {
        let place = (node, server.to_owned());
        if ready {
            self.ended_drains.extend(
                self.unhealthy_since
                    .remove(&place)
                    .map(|(_, latest)| latest),
            );
        } else {
            self.unhealthy_since
                .entry(place)
                .or_insert((now, Duration::ZERO));
        }
    }

    /// A node's process has started anew: it knows nothing of what its predecessor was told.
    pub fn node_restarted(&mut self, node: usize) {
        self.unhealthy_since.retain(|(other, _), _| *other != node);
        let record = self.node_records.entry(node).or_default();
        (
            record.processes_never_serving,
            record.finished,
            record.served,
        ) = (record.processes_never_serving(), 0, 0);
    }

    /// A server has started cold; `capacity` in seconds of work a second once it is warm.
    pub fn server_started_cold(&mut self, now: Duration, server: &str, capacity: f64) {
        let cold = ColdServer {
            started_at: now,
            capacity,
            work: VecDeque::new(),
            max_load: 0.0,
            max_crowding: 0.0,
            overloaded: false,
        };
        let before = self.cold_servers.insert(server.to_owned(), cold);
        self.max_crowding = before.map_or(self.max_crowding, |before| {
            before.max_crowding.max(self.max_crowding)
        });
    }

    /// Share of its capacity that a server has.
    pub fn capacity_share(&self, now: Duration, server: &str) -> f64 {
        let Some(cold) = self.cold_servers.get(server) else {
            return 1.0;
        };
        warmth(&self.bounds, now.saturating_sub(cold.started_at))
    }

    /// Whether a server has fallen over.
    pub fn is_overloaded(&self, server: &str) -> bool {
        self.cold_servers
            .get(server)
            .is_some_and(|cold| cold.overloaded)
    }

    /// An attempt has come whole to a server. `first` is when its first byte came, `work` the seconds that it takes on
    /// a warm server.
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
            // The client may have written its last byte in this very moment; then it is known a little later.
            self.unsolicited_attempts += 1;
            return;
        };
        entry.attempts += 1;
        entry.in_flight += 1;
        entry.work = work;
        if entry.in_flight > 1 {
            // The end of the earlier one may be on its way; it clears this if it comes at once.
            entry.overlapped_at = Some(now);
        }
        let record = self.node_records.entry(entry.request.node).or_default();
        (record.rejections_in_row, record.rejecting_since) = (0, None);
        if let Some((left, _)) = entry.disconnected {
            if first > left + bounds.disconnect_grace + bounds.transit_slack {
                let late = first.checked_sub(left).unwrap().as_millis();
                let line = format!(
                    "{id} from node {} to {server} after {late} ms",
                    entry.request.node
                );
                self.after_leave.push(Breach::SentAfterLeave(line));
            }
        }
        if let Some((told, latest)) = self
            .unhealthy_since
            .get_mut(&(entry.request.node, server.to_owned()))
        {
            if let Some(late) = first.checked_sub(*told) {
                *latest = late.max(*latest);
                self.after_drain += 1;
                self.delays_after_drain.push(late);
                if late > bounds.drain_grace + bounds.transit_slack {
                    let line = format!("{id} to {server} after {} ms", late.as_millis());
                    self.breaches.push(Breach::SentAfterDrain(line));
                }
            }
        }
        if entry.attempts == 1 {
            let (customer, units) = (entry.request.customer, entry.request.units);
            if let Some(ceiling) = self.ceilings.get_mut(&customer) {
                ceiling.take(now, units);
                let (share, least) = bounds.ceiling_slack;
                let slack = (ceiling.depth * share).max(least)
                    + ceiling.rate * bounds.ceiling_delay.as_secs_f64();
                if ceiling.level < -slack {
                    let over = -ceiling.level - slack;
                    let line = format!("customer {customer:x} by {over:.2} units beyond the slack");
                    self.breaches.push(Breach::CeilingPassed(line));
                }
            }
            let beyond = self
                .quotas
                .get_mut(&customer)
                .map_or(0.0, |quota| quota.take_if_available(now, units));
            entry.first_attempt = Some((now, beyond));
        }
        if let Some(cold) = self.cold_servers.get_mut(server) {
            let age = now.saturating_sub(cold.started_at);
            if age < bounds.slow_start_duration {
                cold.work.push_back((now, work));
                while cold
                    .work
                    .front()
                    .is_some_and(|(at, _)| *at + bounds.overload_window < now)
                {
                    cold.work.pop_front();
                }
                let sent: f64 = cold.work.iter().map(|(_, work)| work).sum();
                let can =
                    cold.capacity * warmth(bounds, age) * bounds.overload_window.as_secs_f64();
                // One heavy request alone is chance, not a push.
                let load = if cold.work.len() > 1 {
                    sent / (can * bounds.overload_multiple)
                } else {
                    0.0
                };
                cold.max_load = cold.max_load.max(load);
                let allowed = can * bounds.overload_multiple / bounds.mean_work;
                let crowd = sent / bounds.mean_work / (allowed + 2.0 * allowed.sqrt() + 2.0);
                cold.max_crowding = cold.max_crowding.max(crowd);
                if load > 1.0 && !std::mem::replace(&mut cold.overloaded, true) {
                    let line = format!(
                        "{server}, {} ms old, at {load:.2} of its bound",
                        age.as_millis()
                    );
                    self.breaches.push(Breach::Fell(line));
                }
            }
        }
    }

    /// An attempt's work was done, which came whole at that time. Whether its effect took place: a keyed one that its group
    /// remembered when it came does nothing. Danger: a repeat that came in time and waited, judged by when it was done.
    pub fn attempt_executed(
        &mut self,
        now: Duration,
        came: Duration,
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
                if known.is_some_and(|at| came.saturating_sub(*at) <= window) {
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

    /// An attempt is over at its server: its answer is written, or its connection has ended.
    pub fn attempt_finished(&mut self, id: &str) {
        if let Some(entry) = self.requests.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
        }
    }

    /// The node has closed an attempt's connection: it is not out any more. Ends of connections are seen a little late,
    /// so one that comes within the slack after another attempt's arrival stands for an end before it.
    pub fn attempt_canceled(&mut self, now: Duration, id: &str) {
        let slack = self.bounds.transit_slack;
        if let Some(entry) = self.requests.get_mut(id) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.overlapped_at = entry.overlapped_at.filter(|at| now > *at + slack);
        }
    }

    /// How many attempts of a try have reached a server.
    pub fn attempt_count(&self, id: &str) -> u32 {
        self.requests.get(id).map_or(0, |entry| entry.attempts)
    }

    /// A node that stood still goes on: what was written to it meanwhile counts as told now.
    pub fn node_resumed(&mut self, now: Duration, node: usize, stopped: Duration) {
        let of = self
            .unhealthy_since
            .iter_mut()
            .filter(|((other, _), (at, _))| *other == node && *at >= stopped);
        of.for_each(|(_, (at, _))| *at = now);
        // So does a client's close.
        let tries = self
            .requests
            .values_mut()
            .filter(|entry| entry.request.node == node);
        tries
            .filter_map(|entry| entry.disconnected.as_mut())
            .filter(|(at, _)| *at >= stopped)
            .for_each(|(at, _)| *at = now);
    }

    /// All tries, in the order in which they were asked.
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

    /// Seconds of work that all of these servers could do between two moments: each has its capacity, or the part of it
    /// that it has while it is cold.
    pub fn available_work(&self, servers: &[(String, f64)], from: Duration, to: Duration) -> f64 {
        /// Steps of the sum; the warmth rises in a straight line, so that few will do.
        const STEP: Duration = Duration::from_millis(100);
        let steps = (to.saturating_sub(from).as_secs_f64() / STEP.as_secs_f64()) as u32;
        let at = |step: u32| from + STEP * step + STEP / 2;
        // Looked up once a server: there may be tens of thousands.
        let of = |(name, capacity): &(String, f64)| {
            let born = self.cold_servers.get(name).map(|cold| cold.started_at);
            let warmth = |now: Duration| {
                born.map_or(1.0, |born| warmth(&self.bounds, now.saturating_sub(born)))
            };
            (0..steps)
                .map(|step| capacity * warmth(at(step)) * STEP.as_secs_f64())
                .sum::<f64>()
        };
        servers.iter().map(of).sum()
    }

    /// Tries that have no end yet.
    pub fn open_requests(&self) -> usize {
        self.open_count
    }

    /// Judges the run, which is over: what has no end by now is lost.
    pub fn verdict(&self) -> Verdict {
        let mut breaches = self.breaches.clone();
        let mut count = [0_u64; 3];
        let mut unanswered = [0_u64; 5];
        for (id, entry) in &self.requests {
            breaches.extend(entry.overlapped_at.map(|_| Breach::TwoAttempts(id.clone())));
            match (entry.answer, entry.unanswered) {
                (Some((answer, _)), _) => {
                    count[answer as usize] += 1;
                    if answer == Answer::Refused && entry.effects > 0 {
                        breaches.push(Breach::RefusedAfterEffect(id.clone()));
                    }
                }
                (None, why) => {
                    let why = why.unwrap_or(Unanswered::Lost);
                    unanswered[why as usize] += 1;
                    if why == Unanswered::Lost {
                        breaches.push(Breach::NoAnswer(format!(
                            "{id} at node {}",
                            entry.request.node
                        )));
                    }
                }
            }
        }
        if self.after_leave.len() > MAX_ATTEMPTS_AFTER_DISCONNECT {
            breaches.extend_from_slice(&self.after_leave);
        }
        breaches.sort();
        let mut drains: Vec<Duration> = self
            .unhealthy_since
            .values()
            .map(|(_, latest)| *latest)
            .collect();
        drains.extend(&self.ended_drains);
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
            served: count[Answer::Served as usize],
            refused: count[Answer::Refused as usize],
            failed: count[Answer::Failed as usize],
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
            attempts_after_drain: self.after_drain,
            drains: drains.len() as u64,
            drain_median_ms: drains
                .get(drains.len() / 2)
                .map_or(0.0, |late| late.as_secs_f64() * 1e3),
            attempts_after_drain_max_ms: self
                .delays_after_drain
                .iter()
                .max()
                .map_or(0.0, |late| late.as_secs_f64() * 1e3),
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
            cold_crowding_max: self
                .cold_servers
                .values()
                .map(|cold| cold.max_crowding)
                .fold(self.max_crowding, f64::max),
            disconnected_before_attempt: self
                .requests
                .values()
                .filter(|entry| matches!(entry.disconnected, Some((_, 0))))
                .count() as u64,
            attempts_after_disconnect: self.after_leave.len() as u64,
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

fn warmth(bounds: &Bounds, age: Duration) -> f64 {
    let grown = age.as_secs_f64() / bounds.slow_start_duration.as_secs_f64().max(1e-9);
    (bounds.cold_start_share + (1.0 - bounds.cold_start_share) * grown).min(1.0)
}

#[cfg(test)]
mod tests;
