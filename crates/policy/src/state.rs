//! What a gateway keeps in mind: plain data, and sums over it. Nothing is decided here.

use crate::counts::Counters;
use crate::crowding::Crowding;
use crate::interface::{
    Action, AttemptNumber, ClassId, CustomerId, Endpoint, EndpointStatus, Micros, NodeId, Plan,
    PlanId, QuotaCharge, RequestId, ServerId, Settings, SlowStartRules, ZoneId,
};
use crate::mean::Mean;
use crate::message::{self, Rumour};
use crate::pooled::Pooled;
use crate::rto::Rto;
use crate::servers::Servers;
use crate::words::Words;
use saffronpaddle_quota::{QuotaShard, RejectionCache};
use saffronpaddle_slow_start::{BaselineLatency, SlowStartBudget};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Where actions are gathered.
pub(crate) type Out = Vec<Action>;
/// An attempt, by its request and its number.
pub(crate) type AttemptKey = (RequestId, AttemptNumber);

/// Where and when an attempt went that may have run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ran {
    pub place: Endpoint,
    pub sent: Micros,
}

/// What is asked of the table of effects.
pub(crate) enum Step<'a> {
    Send(&'a Server),
    Refuse,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Request {
    pub class: ClassId,
    pub plan: PlanId,
    pub customer: CustomerId,
    pub units: f64,
    pub arrived: Micros,
    /// Since when only the back end holds it up, not its customer's own quota.
    pub due: Micros,
    pub deadline: Micros,
    pub attempts: u32,
    /// Those among them of which no byte was written.
    pub unsent: u32,
    pub out: Option<AttemptNumber>,
    pub cancelled: bool,
    /// Its body has not come whole: what is out has not begun at the server, and draws nothing yet.
    pub coming: bool,
    /// Its body goes by as it comes, and can't be sent again.
    pub single: bool,
    /// Whether an attempt has come to a server.
    pub reached: bool,
    pub ran: Option<Ran>,
    pub last: Option<ServerId>,
    pub asking: Asking,
}

impl Request {
    pub fn new(
        now: Micros,
        of: (ClassId, PlanId, CustomerId),
        units: f64,
        patience: Micros,
    ) -> Self {
        let (class, plan, customer) = of;
        let (units, deadline) = (units.max(0.0), now.saturating_add(patience));
        Request {
            class,
            plan,
            customer,
            units,
            arrived: now,
            due: now,
            deadline,
            ..Request::default()
        }
    }

    /// A stream has begun: no deadline any more, and nothing to call off.
    pub fn belongs_to_client(&mut self) {
        (self.deadline, self.cancelled) = (Micros::MAX, true);
    }

    /// One more attempt is out, at this server.
    pub fn sent(&mut self, server: ServerId) -> AttemptNumber {
        let number = AttemptNumber(self.attempts);
        self.attempts += 1;
        (self.out, self.last, self.cancelled) = (Some(number), Some(server), false);
        number
    }

    pub fn attempt(&self, server: ServerId, sent: Micros, places: f64) -> Attempt {
        let stage = if self.coming {
            Stage::Coming
        } else {
            Stage::Working
        };
        Attempt {
            server,
            customer: self.customer,
            class: self.class,
            due: self.due,
            sent,
            places,
            stage,
        }
    }
}

/// How a try fares with its customer's homes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Asking {
    /// The home asked last, by its place and by its number among gateways.
    pub home: (u32, NodeId),
    /// The ask that is open, and since when.
    pub open: Option<(u16, Micros)>,
    /// When that ask was first put, and how often it was.
    pub since: Micros,
    pub put: u32,
    pub short: u32,
    pub missed: u32,
    /// Who let it go, under which ask, and until when that holds under a ceiling.
    pub granted: Option<(NodeId, u16)>,
    pub granted_until: Micros,
}

impl Asking {
    pub fn ask(&mut self, now: Micros, serial: u16, home: (u32, NodeId)) {
        (self.home, self.open, self.since, self.put) = (home, Some((serial, now)), now, 1);
    }

    /// The open ask is put once more.
    pub fn put_again(&mut self, now: Micros) {
        (self.open, self.put) = (self.open.map(|(serial, _)| (serial, now)), self.put + 1);
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Attempt {
    pub server: ServerId,
    pub customer: CustomerId,
    pub class: ClassId,
    pub due: Micros,
    pub sent: Micros,
    /// Attempts out at the server, with this one.
    pub places: f64,
    #[serde(default)]
    pub stage: Stage,
}

/// An attempt of another process of this gateway, and over which link it is heard.
pub(crate) type Abroad = BTreeMap<(RequestId, AttemptNumber), (u32, Attempt)>;

/// How far an attempt is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Stage {
    /// Its request is still coming: it holds no place.
    Coming,
    /// The server has it.
    #[default]
    Working,
    /// Its answer goes by: it holds a place of its customer's, and none at the server.
    Passing,
}

/// What a peer has been heard to send on for a customer: its running count, and when how much came.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Heard {
    pub birth: u32,
    pub count: u16,
    /// When it was last heard.
    pub at: Micros,
    pub recent: VecDeque<(Micros, f64)>,
}

impl Heard {
    /// Takes in a running count; how much it rose. Messages may be late, twice or out of order; after `silence` one that
    /// is lower has begun anew, as its sender had dropped the customer.
    pub fn steps(&mut self, now: Micros, silence: Micros, birth: u32, count: u16) -> u16 {
        let anew = now.saturating_sub(std::mem::replace(&mut self.at, now)) > silence
            && count < self.count;
        let steps = match self.birth {
            known if known == birth && anew => count,
            known if known == birth => count.wrapping_sub(self.count),
            0 => 0, // first heard of: what was sent before is no news
            _ => count,
        };
        if steps > u16::MAX / 2 {
            return 0; // a count that went back is an old one
        }
        (self.birth, self.count) = (birth, count);
        steps
    }
}

/// A customer's store, or the part of it that a home keeps.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Store {
    pub plan: PlanId,
    pub first: NodeId,
    pub spread: f64,
    pub depth: f64,
    pub level: f64,
    pub filled: Micros,
    /// Requests on end that named another plan or set.
    pub doubts: u32,
    /// When a try last drew on it.
    pub used: Micros,
    pub sent: f64,
    pub sent_at: Micros,
    pub open: u32,
    #[serde(with = "crate::pairs")]
    pub heard: BTreeMap<NodeId, Heard>,
    pub ceiling: f64,
    /// What part of the quota and of the ceiling is kept here.
    pub share: f64,
    pub ceiling_share: f64,
    /// What its homes have said.
    pub memory: RejectionCache,
}

/// A part of a customer's quota that is kept here.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Home {
    pub plan: PlanId,
    pub spread: u32,
    pub number: u32,
    pub keeper: QuotaShard,
}

impl Store {
    /// Units a second that the peers were heard to send on over a span.
    pub fn peers(&mut self, now: Micros, span: Micros) -> f64 {
        let mut units = 0.0;
        for heard in self.heard.values_mut() {
            while heard.recent.front().is_some_and(|(at, _)| at + span < now) {
                heard.recent.pop_front();
            }
            units += heard.recent.iter().map(|(_, units)| units).sum::<f64>();
        }
        units / (span as f64 / 1e6)
    }

    /// One more attempt of the customer is out here; a first one is told to peers.
    pub fn sent_on(&mut self, now: Micros, units: f64, first: bool) {
        self.open += 1;
        if first {
            (self.sent, self.sent_at, self.ceiling) =
                (self.sent + units, now, self.ceiling - units);
        }
    }

    /// The terms of a try that draws on it, for another process of this gateway.
    pub fn terms(&self, units: f64) -> QuotaCharge {
        QuotaCharge {
            plan: self.plan,
            units,
            set: (self.first, self.spread as u32),
        }
    }
}

/// State of the self-tuning fuzzy controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Fuzzy {
    pub cap: Option<f64>,
    pub error: Option<f64>,
    pub peak: f64,
    /// Attempts that a cap under one still lets go, saved up at its pace since when.
    pub paced: f64,
    pub paced_at: Micros,
    /// By class: latency in aims of what was answered since the last tick, and how many.
    pub seen: Vec<(f64, f64)>,
}

impl Fuzzy {
    pub fn saw(&mut self, class: ClassId, aims: f64) {
        let seen = &mut self.seen[class.0];
        *seen = (seen.0 + aims, seen.1 + 1.0);
    }

    /// What was seen since the last tick; the next begins with nothing.
    pub fn take_seen(&mut self) -> Vec<(f64, f64)> {
        let none = vec![(0.0, 0.0); self.seen.len()];
        std::mem::replace(&mut self.seen, none)
    }
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Server {
    pub entry: Endpoint,
    pub open: u32,
    /// µs of wait that one place here costs, and when that was last learned.
    pub wait: f64,
    pub learned: Micros,
    pub answered: Micros,
    /// By class; empty while nothing is known of it. Danger: 40,000 servers of which next to nothing is known.
    pub health: Vec<Health>,
    pub cold_credit: f64,
    /// Rights to send to it while it is cold and no warm one tells what servers can do; none while nothing has come of its
    /// start.
    #[serde(with = "crate::begun")]
    pub budget: Option<Box<SlowStartBudget>>,
    /// Whether this gateway sends to it.
    #[serde(skip)]
    pub held: bool,
}

/// How a server fares with one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Health {
    pub failing: f64,
    pub answered: Micros,
    /// Set while it is out: when the next trial may go.
    pub trial: Option<Micros>,
    /// What the fleet has seen lately of its failing.
    pub pool: Pooled,
    /// When the newest evidence was seen, here or elsewhere.
    pub seen: Micros,
}

impl Server {
    pub fn unknown(entry: Endpoint, now: Micros) -> Self {
        Server {
            entry,
            learned: now,
            held: true,
            ..Server::default()
        }
    }

    /// Takes in what the list says of it. One that started anew is unknown again.
    pub fn follow(&mut self, entry: Endpoint, now: Micros, cold_for: Micros) {
        if self.entry.started_at != entry.started_at {
            let mut budget = self.rights();
            budget.on_server_start(entry.started_at.unwrap_or(0), cold_for);
            *self = Server {
                open: self.open,
                held: self.held,
                ..Server::unknown(entry, now)
            };
            self.budget = (budget != self.rights()).then(|| Box::new(budget));
        }
        self.entry = entry;
    }

    /// There is something to be noted of it, by class.
    pub fn learns(&mut self, classes: usize) {
        if self.health.is_empty() {
            self.health = vec![Health::default(); classes];
        }
    }

    /// Forgets how it fared.
    pub fn forget(&mut self) {
        (self.health, self.wait, self.answered, self.cold_credit) = (Vec::new(), 0.0, 0, 0.0);
    }

    /// Whether it started less than a span ago.
    pub fn is_young(&self, now: Micros, span: Micros) -> bool {
        self.entry
            .started_at
            .is_some_and(|started| now < started.saturating_add(span))
    }

    /// When its next trial may go, where it is out for a class.
    pub fn trial(&self, class: usize) -> Option<Micros> {
        self.health.get(class).and_then(|health| health.trial)
    }

    /// What share of a class fails there.
    pub fn failing(&self, class: usize) -> f64 {
        self.health.get(class).map_or(0.0, |health| health.failing)
    }

    /// When it last answered a request of a class.
    pub fn answered(&self, class: usize) -> Micros {
        self.health.get(class).map_or(0, |health| health.answered)
    }

    /// Its rights, as they are or as they begin.
    pub fn rights(&self) -> SlowStartBudget {
        self.budget.as_deref().cloned().unwrap_or_else(|| {
            let mut budget = SlowStartBudget::default();
            budget.on_server_start(self.entry.started_at.unwrap_or(0), 0);
            budget
        })
    }

    /// The same, to be changed.
    pub fn budget(&mut self) -> &mut SlowStartBudget {
        if self.budget.is_none() {
            self.budget = Some(Box::new(self.rights()));
        }
        self.budget.get_or_insert_with(Box::default)
    }

    /// All of it, as another process reads it.
    pub fn whole(&self, classes: usize) -> Server {
        let mut whole = Server {
            budget: Some(Box::new(self.rights())),
            held: false,
            ..self.clone()
        };
        whole.learns(classes);
        whole
    }

    /// One more sample of its wait, seen at some time; `unknown` stands for none so far.
    pub fn waited(&mut self, seen: Micros, sample: f64, weight: f64, unknown: f64) {
        let before = if self.wait > 0.0 { self.wait } else { unknown };
        self.wait = before + (sample - before) * weight;
        self.learned = self.learned.max(seen);
    }

    /// Takes in a rumour, of a class that there is; whether it tells of later than what is known.
    pub fn hear(&mut self, now: Micros, rumour: &Rumour, weight: f64, unknown: f64) -> bool {
        let seen = now.saturating_sub(rumour.age);
        let Some(health) = self.health.get_mut(rumour.class.0) else {
            return false;
        };
        health.pool.mix(rumour.pool);
        let later = seen > health.seen;
        if later {
            health.seen = seen;
            self.waited(seen, rumour.wait, weight, unknown);
        }
        later
    }

    pub fn ready(&self) -> bool {
        self.entry.status == EndpointStatus::Ready
    }

    /// Share of its capacity that it has at the least: 1 once it is warm.
    pub fn warmth(&self, rules: &SlowStartRules, now: Micros) -> f64 {
        let Some(started) = self.entry.started_at else {
            return 1.0;
        };
        let age = now.saturating_sub(started) as f64 / rules.warm_up_period.max(1) as f64;
        (rules.initial_capacity + (1.0 - rules.initial_capacity) * age).min(1.0)
    }
}

/// Decides for one gateway. It does no input or output, and reads no clock.
#[derive(Clone, Debug)]
pub struct PolicyEngine {
    pub(crate) settings: Settings,
    pub(crate) random: fastrand::Rng,
    pub(crate) born: Micros,
    pub(crate) begun: bool,
    /// Whether peers are much older: this gateway has been restarted.
    pub(crate) newcomer: bool,
    pub(crate) shortest_aim: f64,
    pub(crate) lowest: ClassId,
    pub(crate) requests: BTreeMap<RequestId, Request>,
    pub(crate) waiting: Vec<RequestId>,
    pub(crate) attempts: BTreeMap<(RequestId, AttemptNumber), Attempt>,
    /// Attempts of other processes of this gateway; whether attempts are told, and whether others speak to peers.
    pub(crate) abroad: Abroad,
    pub(crate) shared: bool,
    pub(crate) hushed: bool,
    pub(crate) servers: Servers,
    pub(crate) stores: BTreeMap<CustomerId, Store>,
    /// Whether customers have homes; the parts kept here as a home; open asks and the number of the last;
    /// who did not answer, and until when it is passed over.
    pub(crate) wide: bool,
    pub(crate) homes: BTreeMap<CustomerId, Home>,
    pub(crate) asks: BTreeMap<u16, RequestId>,
    pub(crate) serial: u16,
    /// What may be said that need not be.
    pub(crate) words: Words,
    /// Asks of homes for what their stand-bys hold: whose quota, and since when.
    pub(crate) borrows: BTreeMap<u16, (CustomerId, Micros)>,
    pub(crate) mute: BTreeMap<NodeId, Micros>,
    pub(crate) rto: Rto,
    /// Asks in vain since anything was heard, and when one may be put all the same.
    pub(crate) deaf: u32,
    pub(crate) next_probe: Micros,
    /// Share of the attempts into each zone that found no connection.
    pub(crate) cut: BTreeMap<ZoneId, f64>,
    pub(crate) fuzzy: Fuzzy,
    /// When each gateway was last heard; this one is never silent.
    pub(crate) spoke: Vec<Micros>,
    /// Since when each gateway was silent when it last was, and for how many s its share was kept back then.
    pub(crate) silence: Vec<(Micros, f64)>,
    /// µs: mean latency, and the median wait of the servers.
    pub(crate) latency: f64,
    pub(crate) typical: f64,
    /// Mean attempts out, of the lowest class and in all; each class's latency in aims, below 0 if unknown.
    pub(crate) low_out: f64,
    pub(crate) all_out: f64,
    pub(crate) aims: Vec<f64>,
    /// What the fleet has seen of each class's latency, in aims.
    pub(crate) pooled: Vec<Pooled>,
    pub(crate) crowd: Crowding,
    /// When each gateway's news was last taken in.
    pub(crate) weighed: Vec<Micros>,
    /// When each gateway last said anything, and whether it is known to speak as this build does.
    pub(crate) lately: Vec<Micros>,
    pub(crate) newer: Vec<bool>,
    /// Answers a second at one gateway, and those since the last tick.
    pub(crate) served: Mean,
    /// How many servers were warm over the same time.
    pub(crate) warmed: Mean,
    pub(crate) done: f64,
    pub(crate) retries: f64,
    /// When the next wake-up, gossip and tick are due.
    pub(crate) woken: Micros,
    pub(crate) next_gossip: Micros,
    pub(crate) next_news: Micros,
    pub(crate) next_tick: Micros,
    pub(crate) counts: Counters,
    /// Whether hardly any warm server tells what servers can do, nor has told it; answers a second of one, here, when last half of them were warm; what requests take where nobody waits; attempts at
    /// cold servers since the last tick, and a second; when rights that nobody used here are given away.
    pub(crate) blind: bool,
    pub(crate) pace: f64,
    pub(crate) natural: BaselineLatency,
    pub(crate) cold_sent: f64,
    pub(crate) cold_rate: f64,
    pub(crate) spare_at: Micros,
    pub(crate) next_gift: Micros,
}

impl PolicyEngine {
    /// Whether all peers are told of what is sent on, unasked, so that a silent one is a sign. In wide fleets the
    /// customers' homes are asked instead.
    pub fn broadcasts(&self) -> bool {
        !self.wide && self.settings.permissions.peer_messages
    }

    /// How many servers are on the list, and how many of these get nothing new at present, or nothing of some class
    /// but a trial now and then.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.servers.rotation()
    }

    /// How many servers it has looked at since its start: what a tick, a change or a try costs, whatever the machine.
    pub fn servers_examined(&self) -> u64 {
        self.servers.looked_at()
    }

    /// What it has done since its start.
    pub fn counters(&self) -> &Counters {
        &self.counts
    }

    /// A gateway that has seen nothing.
    pub(crate) fn blank(seed: u64, settings: Settings, now: Micros) -> Self {
        let classes = settings.classes.len();
        PolicyEngine {
            random: fastrand::Rng::with_seed(seed),
            born: now,
            begun: false,
            newcomer: false,
            shortest_aim: settings
                .classes
                .iter()
                .map(|class| class.latency_objective)
                .min()
                .unwrap_or(1)
                .max(1) as f64,
            lowest: ClassId(0),
            requests: BTreeMap::new(),
            waiting: Vec::new(),
            attempts: BTreeMap::new(),
            abroad: Abroad::new(),
            shared: false,
            hushed: false,
            servers: Servers::new(
                (settings.node, settings.node_count),
                classes,
                settings.subsetting,
            ),
            stores: BTreeMap::new(),
            wide: false,
            homes: BTreeMap::new(),
            asks: BTreeMap::new(),
            serial: 0,
            mute: BTreeMap::new(),
            rto: Rto::default(),
            deaf: 0,
            next_probe: now,
            cut: BTreeMap::new(),
            fuzzy: Fuzzy {
                seen: vec![(0.0, 0.0); classes],
                ..Fuzzy::default()
            },
            spoke: vec![now; settings.node_count as usize],
            silence: vec![(0, 0.0); settings.node_count as usize],
            words: Words::default(),
            borrows: BTreeMap::new(),
            latency: 0.0,
            typical: 0.0,
            low_out: 0.0,
            all_out: 0.0,
            aims: vec![-1.0; classes],
            pooled: vec![Pooled::default(); classes],
            crowd: Crowding::default(),
            weighed: vec![0; settings.node_count as usize],
            lately: vec![0; settings.node_count as usize],
            newer: vec![false; settings.node_count as usize],
            served: Mean::default(),
            warmed: Mean::default(),
            done: 0.0,
            retries: 0.0,
            woken: Micros::MAX,
            next_gossip: now,
            next_news: now,
            next_tick: now,
            counts: Counters::default(),
            blind: false,
            pace: 0.0,
            natural: BaselineLatency::default(),
            cold_sent: 0.0,
            cold_rate: 0.0,
            spare_at: Micros::MAX,
            next_gift: now,
            settings,
        }
    }

    /// Takes a request off all lists; what it took from the store here goes back if it was never sent.
    pub(crate) fn take_request(&mut self, id: &RequestId) -> Option<Request> {
        let request = self.requests.remove(id)?;
        self.waiting.retain(|other| other != id);
        if let (0, Some(store)) = (request.attempts, self.stores.get_mut(&request.customer)) {
            store.level += request.units;
        }
        request
            .asking
            .open
            .and_then(|(serial, _)| self.asks.remove(&serial));
        Some(request)
    }

    /// Takes an ended attempt off all lists.
    pub(crate) fn take_attempt(&mut self, key: &(RequestId, AttemptNumber)) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.release(&attempt);
        Some(attempt)
    }

    /// Frees the places of an attempt that has ended, here or at another process of this gateway.
    pub(crate) fn release(&mut self, attempt: &Attempt) {
        let (open, store) = (
            self.servers.open(attempt.server),
            self.stores.get_mut(&attempt.customer),
        );
        let (here, counted) = (
            attempt.stage == Stage::Working,
            attempt.stage != Stage::Coming,
        );
        open.filter(|_| here)
            .into_iter()
            .for_each(|open| *open = open.saturating_sub(1));
        store
            .filter(|_| counted)
            .into_iter()
            .for_each(|store| store.open = store.open.saturating_sub(1));
    }

    /// All attempts that servers have in hand, those of other processes of this gateway among them.
    pub(crate) fn all_attempts(&self) -> impl Iterator<Item = &Attempt> {
        let all = self
            .attempts
            .values()
            .chain(self.abroad.values().map(|(_, attempt)| attempt));
        all.filter(|attempt| attempt.stage == Stage::Working)
    }

    /// All evidence on ready servers that is younger than a span.
    pub(crate) fn evidence(&self, now: Micros, span: Micros) -> Vec<Rumour> {
        let mut all = Vec::new();
        for server in self.servers.lately().filter(|server| server.ready()) {
            for (class, health) in server
                .health
                .iter()
                .enumerate()
                .filter(|(_, health)| health.seen > 0)
            {
                let (age, named) = (
                    now.saturating_sub(health.seen),
                    message::short(server.entry.server),
                );
                let (class, failing) = (ClassId(class), health.failing);
                let (pool, wait) = (health.pool, server.wait);
                let rumour = Rumour {
                    server: named,
                    class,
                    failing,
                    pool,
                    wait,
                    age,
                };
                all.extend((age < span).then_some(rumour));
            }
        }
        all
    }

    /// Running counts of what was sent on, in steps of a unit: customers with peers that were busy within a
    /// span, the latest first.
    pub(crate) fn counts(&self, now: Micros, span: Micros, step: f64) -> Vec<(CustomerId, u16)> {
        let told =
            |store: &Store| store.sent > 0.0 && store.spread > 1.0 && now <= store.sent_at + span;
        let mut busy: Vec<_> = self
            .stores
            .iter()
            .filter(|(_, store)| told(store))
            .collect();
        busy.sort_by_key(|(customer, store)| (std::cmp::Reverse(store.sent_at), **customer));
        let count = |store: &Store| (store.sent / step).round() as u64 as u16;
        busy.into_iter()
            .map(|(customer, store)| (*customer, count(store)))
            .collect()
    }

    /// W: the worst class's latency in aims, of all but the lowest-worth one; none while nothing is known.
    pub(crate) fn worst(&self) -> Option<f64> {
        let only = self.aims.len() == 1;
        let aimed = self
            .aims
            .iter()
            .enumerate()
            .filter(|(class, _)| *class != self.lowest.0 || only);
        aimed
            .map(|(_, mean)| *mean)
            .max_by(f64::total_cmp)
            .filter(|worst| *worst >= 0.0)
    }

    pub(crate) fn plan_of(&self, customer: CustomerId) -> Option<&Plan> {
        self.stores
            .get(&customer)
            .map(|store| &self.settings.plans[store.plan.0])
    }

    pub(crate) fn open_of(&self, class: ClassId) -> f64 {
        self.all_attempts()
            .filter(|attempt| attempt.class == class)
            .count() as f64
    }
}
