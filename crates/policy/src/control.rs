//! The decisions of a gateway, all of them. The types, events and actions that they work on are
//! in `interface.rs`; what was added to the design is marked as an exception to it, or by its danger.

use crate::counts::Counter;
use crate::crowding::SERVED_WEIGHT;
use crate::fuzzy::{chance_under, infer, rank};
use crate::homes::Homes;
use crate::interface::{
    Action, Class, ClassId, CustomerId, DeduplicationScope, DiscoveryMode, Event, HardLimit,
    Idempotency, Micros, NodeId, Outcome, Plan, QuotaCharge, RequestId, ServerId, Settings,
    SettingsError, SiblingAttempt, SiblingMessage,
};
use crate::message::{self, Ask, Message, News, Rumour};
use crate::pooled::{EVIDENCE_FADES_IN, LATENCY_FADES_IN};
use crate::quota::{kept_for, silent, HEARD_FOR, KEEP_FOR};
use crate::state::{
    Attempt, AttemptKey, Fuzzy, Health, Out, Ran, Request, Server, Stage, Step, Store,
};

pub use crate::state::PolicyEngine;

// ---- Constants: each with its unit and its reason ----

const SWEEP: Micros = 10_000; // µs between sweeps, well under the aims
const LATE: Micros = 50_000; // µs by which a sweep may be late before this gateway itself is what is slow
pub(crate) const NEWCOMER: Micros = 4_000_000; // µs by which peers are older, and for how long, where this gateway restarted
const DOUBTS: u32 = 3; // requests on end that name another plan or set, until their customer's store follows
const LAST_CALL: Micros = 2 * SWEEP; // µs before its time is up that a client is answered, if a sweep is late
pub(crate) const TICK: Micros = 500_000; // µs of a controller tick; the paper's 4 s is longer than the bursts here
const DESIRED: f64 = 1.0; // W at which the controller rests, in aims (the design's D)
const SHED: (f64, f64) = (0.5, 1.5); // W at which shedding by chance begins, and takes all but the dearest
const SHED_MOST: f64 = 0.9; // and the most of any that is shed
const K_INPUTS: (f64, f64) = (1.0, 2.0); // inverse widths, an aim: an error of 1, a change of 0.5 is large
const K_OUTPUT: f64 = 3.0 * 0.15; // output gain, a share of what is open; tuned at alpha 1, then tripled
const CAP_FLOOR: f64 = 6.0; // attempts over all gateways: the cap's floor, where its class still shows W
const CAP_LEAD: f64 = 12.0; // and how far it may lead what was open
const LAG: f64 = 0.5; // s of the peers' use that a store keeps back: sent on, but not yet told
pub(crate) const ADVICE: (Micros, Micros) = (20_000, 100_000); // µs a refused client is told to wait: aims are short
const OPEN_RISK: f64 = 0.2; // loss, of its worth, that a first attempt risks at a limit that is reached
const GOSSIP_EVERY: Micros = 200_000; // µs between messages at the least
const INTAKE_SHARE: f64 = 0.7; // share of a peer's intake that all of us together may fill
const TOLD_FOR: Micros = 1_000_000; // µs a customer stays in the messages; a few may be lost
const UNEVEN: f64 = 2.0; // even parts that the busiest of a set is given where nobody can be told: sets come unevenly
const COUNT_STEP: f64 = 1.0 / 8.0; // counts in messages are in this part of a unit, so that fractions add up
const HOMES_FROM: f64 = 500_000.0; // µs between counts to all from which they tell too little: homes instead
const OPEN_ASKS: usize = 4; // asks of one customer that one gateway has open: at a way of 76 ms there and back, 50 a second
const WEIGHED_EVERY: Micros = 500_000; // µs between two times that one gateway's news is taken in
const NEWS_EVERY: Micros = 100_000; // µs between messages that carry news: every byte of one is paid for
const RUMOURS: (usize, usize) = (6, 4); // rumours in a message, bad news and good
const NEWS_FOR: Micros = 4_000_000; // µs for which evidence is news
const HEARD_WEIGHT: f64 = 0.4; // weight of a rumour at the one told
const OUT_WEIGHT: f64 = 0.2; // weight in the fleet's mean of what is out here at a tick
const WAIT_WEIGHT: f64 = 0.15; // weights of a new sample: in a server's wait,
const FAIL_WEIGHT: f64 = 0.2; // in its share of failures,
const LATENCY_WEIGHT: f64 = 0.02; // and in the mean latency of all servers
const OTHER_CLASS: f64 = 0.25; // part of an outcome's weight that counts for the server's other classes
const FADE: f64 = 5e6; // µs in which a server's known wait fades halfway to the fleet's
const FIT: f64 = 0.3; // share of the shortest aim that a server's wait may reach; more jams it (i6cccef)
const FIT_ALL: f64 = 0.25; // the same over all servers together
const ALL_FLOOR: f64 = 4.0; // attempts that all gateways may always have out at each server
const FIRST_WAIT: f64 = 0.12; // expected wait before anything was seen, as a share of the shortest aim
const JITTER: f64 = 0.1; // spread of the choice among equal servers, so that gateways do not move as one
const CROSSING: f64 = 30.0; // places that count more in another zone, for each 1.0 that crossing costs
const HANDSHAKE: f64 = 40.0; // times a wait counts more where no connection is kept (`choose`)
const AGAIN: f64 = 4.0; // places that count more at the server tried last
const FAILING: f64 = 4.0; // times the wait counts more where all fails: failing fast must not look quick
const CUT: (f64, f64) = (0.2, 20.0); // weight of an attempt in whether its zone is cut; what that adds
const OUT_AT: f64 = 0.35; // share of failures at which a server is out, unless the fleet's is half as bad
const TRIAL_EVERY: Micros = 700_000; // µs between trial requests to a server that is out
const REMAIN: f64 = 0.5; // share of the fleet that must remain, or none is out (iac7c0b: it feeds on itself)
const STALLED: (f64, f64) = (4.0, 0.5); // silent from so many times the fleet's latency, and of the aim
const COLD_LIMIT: f64 = 0.25; // and of a cold server from so much later as it is slower, up to this
const RETRY_SHARE: f64 = 0.2; // further attempts that each first attempt earns, and the most saved up
const RETRY_MOST: f64 = 20.0;

// ---- Requests ----

impl PolicyEngine {
    /// A gateway that knows its settings and nothing else.
    ///
    /// # Errors
    /// Settings that make no sense.
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let worth = |place: &usize| settings.classes[*place].priority_weight;
        let lowest = (0..settings.classes.len()).min_by(|a, b| worth(a).total_cmp(&worth(b)));
        let pace = gossip_pace(&settings);
        let mut gateway = PolicyEngine::blank(seed, settings, now);
        gateway.lowest = ClassId(lowest.unwrap_or(0));
        gateway.wide = (HOMES_FROM..f64::INFINITY).contains(&pace);
        gateway.spoke[gateway.settings.node.0 as usize] = Micros::MAX;
        if gateway.wide {
            gateway.spoke.fill(Micros::MAX); // peers do not speak unasked, so silence is no sign
        }
        let first = gateway.shortest_aim * FIRST_WAIT;
        (gateway.latency, gateway.typical, gateway.retries) = (first, first, RETRY_MOST);
        gateway.next_tick = now + TICK;
        Ok(gateway)
    }

    /// Takes in one event; what is to be done about it is added to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Out) {
        let before = out.len();
        let follow =
            (self.settings.discovery == DiscoveryMode::Subscribed).then_some(Action::Subscribe);
        if !std::mem::replace(&mut self.begun, true) {
            out.extend(follow.clone());
        }
        match event {
            Event::EndpointsChanged {
                update: kind,
                endpoints: entries,
            } => {
                let (rules, lately) = (self.settings.slow_start, self.young_for());
                self.servers.list(now, kind, entries, &rules, lately);
                self.measure(now);
            }
            Event::EndpointsUnavailable => out.extend(follow),
            Event::RequestArrived {
                id,
                class,
                plan,
                customer,
                units,
                first,
                spread,
                timeout: patience,
                complete: whole,
            } => {
                if self.settings.classes.len() <= class.0 || self.settings.plans.len() <= plan.0 {
                    return out.push(Action::Fail { id });
                }
                let request = Request::new(now, (class, plan, customer), units, patience);
                let request = Request {
                    coming: !whole,
                    single: !whole,
                    ..request
                };
                self.arrive(now, id, request, (first, spread), out);
            }
            Event::BodyComplete {
                id,
                timeout: patience,
            } => self.whole(now, id, patience, out),
            Event::ResponseStarted { id } => self.started(now, &id),
            Event::AttemptEnded {
                id,
                attempt: n,
                outcome,
                request_closed: closed,
            } => self.ended(now, (id, n), outcome, closed, out),
            Event::RequestAbandoned { id } => self.forget(&id, out),
            Event::TimerFired { .. } if now < self.woken => {} // one that is no longer wanted
            Event::TimerFired { .. } => self.sweep(now, out),
            Event::PeerMessage { from, bytes } => self.heard(now, from, &bytes, out),
            Event::SiblingMessage {
                link,
                message: twin,
            } => self.twin(now, link, twin),
            Event::SiblingsChanged {
                ended_link: ended,
                share_attempts: shared,
                peer_messages_delegated: hushed,
            } => self.twins(ended, shared, hushed),
        }
        self.dispatch(now, out);
        if self.settings.retransmission_budget {
            let told = out
                .iter()
                .skip(before)
                .filter(|action| matches!(action, Action::SendToPeer { .. }));
            self.words
                .said(now, told.count() as f64, self.words_a_second());
        }
        let next = if self.wide {
            self.next_tick
        } else {
            self.next_tick.min(self.next_gossip)
        };
        let next = if self.requests.is_empty() {
            next.max(now + SWEEP)
        } else {
            now + SWEEP
        };
        let next = next.min(self.spare_at.max(now + SWEEP));
        if next < self.woken {
            self.woken = next;
            out.push(Action::SetTimer {
                after: next - now,
                token: 0,
            });
        }
    }

    fn arrive(
        &mut self,
        now: Micros,
        id: RequestId,
        request: Request,
        set: (NodeId, u32),
        out: &mut Out,
    ) {
        let plans = &self.settings.plans;
        let (units, shed) = (request.units, self.shed(&request));
        let set = (set.0, set.1.clamp(1, self.settings.node_count));
        let most = self.settings.max_request_units;
        let store = self.stores.entry(request.customer);
        let up = now.saturating_sub(self.born);
        let store = store.or_insert_with(|| {
            let store = Store::new(now, up, request.plan, &plans[request.plan.0], set, most);
            let part = self.wide || self.newcomer && up < NEWCOMER;
            let level = if part { store.depth } else { store.level };
            // In a wide set it is no more than what advice to refused clients goes by: this gateway's even part.
            let share = if self.wide {
                1.0 / store.spread
            } else {
                store.share
            };
            // Danger: gateways that may not talk, each of which would grant the whole quota.
            if self.settings.permissions.peer_messages || store.spread <= 1.0 {
                return Store {
                    level,
                    share,
                    ..store
                };
            }
            let share = (UNEVEN / store.spread).min(1.0);
            // A part of less than a request is held whole by some of the set: so many that all of them together grant no more
            // than the quota over the time for which a store is kept.
            let plan = &plans[store.plan.0];
            let kept = (plan.burst + plan.rate * KEEP_FOR as f64 / 1e6) / store.spread;
            let whole = share * plan.burst < store.depth && self.random.f64() * store.depth < kept;
            let level = if whole {
                store.depth
            } else {
                share * plan.burst
            };
            Store {
                level,
                share,
                ..store
            }
        });
        // Danger: one request, by mistake or malice, that fixes a wrong plan or set for its customer for good.
        let named = (request.plan, set.0, f64::from(set.1));
        let same = named == (store.plan, store.first, store.spread);
        store.doubts = if same { 0 } else { store.doubts + 1 };
        if store.doubts >= DOUBTS {
            let ceiling = if plans[store.plan.0].hard_limit.is_some() {
                store.ceiling.min(0.0)
            } else {
                0.0
            };
            store.follow(
                Store::new(now, 0, request.plan, &plans[request.plan.0], set, most),
                ceiling,
            );
        }
        let plan = &plans[store.plan.0];
        store.fill(now, plan, silent(&self.spoke, store, now));
        let gap = if store.used == 0 {
            Micros::MAX
        } else {
            now - store.used
        };
        store.used = now;
        self.counts.add(match gap {
            0..1_000_000 => Counter::SeenWithinOneSecond,
            1_000_000..10_000_000 => Counter::SeenWithinTenSeconds,
            _ => Counter::SeenForTheFirstTime,
        });
        // Danger: a home that drowns, and every try of its customer that is put to it again and again.
        let open = self.asks.values().filter(|id| {
            self.requests
                .get(id)
                .is_some_and(|of| of.customer == request.customer)
        });
        let held = self.wide && (store.memory.is_rejecting(now) || open.count() >= OPEN_ASKS);
        let asks = store.memory.sampling_probability(now);
        let draw = if self.wide { self.random.f64() } else { 0.0 };
        // Danger: a client that waits so briefly that the next sweep would answer too late.
        let hopeless = request.deadline <= now.saturating_add(LAST_CALL);
        // A place under a limit on attempts at once is a home's to give.
        let lent = self.wide && !hopeless && plan.max_in_flight.is_none() && draw <= 1.0 - shed;
        let lent = lent && store.memory.take_from_lease(now, units, false);
        let thinned = !lent && (held || self.wide && draw > asks * (1.0 - shed));
        let kept = (store.peers(now, HEARD_FOR) * LAG)
            .min(plan.burst - store.depth)
            .max(0.0);
        let short = plan.rate > 0.0 && store.level - kept < units;
        store.level -= units;
        self.requests.insert(id.clone(), request);
        if hopeless || thinned || short && !self.wide {
            let why = if !thinned {
                Counter::RejectedOverQuota
            } else if held {
                Counter::RejectedByCachedDecision
            } else if draw > asks {
                Counter::RejectedBySampling
            } else {
                Counter::RejectedByLoadShedding
            };
            self.finish(now, &id, why, out);
        } else if lent {
            self.goes(now, id, Counter::AdmittedByLease);
        } else if self.wide {
            self.ask(now, id, out);
        } else {
            self.waiting.push(id);
        }
    }

    /// Exception to the design, where a gateway has too little out for its cap to press: as the fleet's W
    /// comes near the aim, tries are refused by chance, least worth first. Danger: a jam that hundreds of
    /// gateways with one attempt each never see. It hurts where W is high for other reasons.
    fn shed(&self, request: &Request) -> f64 {
        if self.blind {
            return 0.0; // answers of cold servers are late by nature, and what goes to them is bounded by itself
        }
        let worst = self.worst().unwrap_or(0.0);
        let press = ((worst - SHED.0) / (SHED.1 - SHED.0))
            .max(self.crowding() - 1.0)
            .clamp(0.0, 1.0);
        let worth = |class: &Class, plan: &Plan| class.priority_weight * plan.priority_weight;
        let own = worth(
            &self.settings.classes[request.class.0],
            &self.settings.plans[request.plan.0],
        );
        let plans = &self.settings.plans;
        let of = |class| plans.iter().map(move |plan| worth(class, plan));
        let all = self.settings.classes.iter().flat_map(of);
        (2.0 * press - rank(own, all)).clamp(0.0, SHED_MOST)
    }

    /// How crowded the servers are by what the fleet has out.
    fn crowding(&self) -> f64 {
        let gateways = f64::from(self.settings.node_count);
        if self.wide {
            self.crowd
                .now(gateways, self.served.now(), self.shortest_aim / 1e6)
        } else {
            0.0
        }
    }

    /// The table of effects: every send and every refusal passes here. Danger: an effect that happens twice.
    fn permits(&self, request: &Request, now: Micros, step: Step) -> bool {
        if request.out.is_some() && !request.coming {
            return false;
        }
        let Some(ran) = request.ran else { return true };
        match (self.settings.classes[request.class.0].idempotency, step) {
            (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::WithKey { scope: group, .. }, Step::Refuse) => {
                group == DeduplicationScope::All
            }
            (
                Idempotency::WithKey {
                    scope: group,
                    window,
                },
                Step::Send(server),
            ) => {
                let inside = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => server.entry.zone == ran.place.zone,
                    DeduplicationScope::Domain => server.entry.domain == ran.place.domain,
                };
                inside && now <= ran.sent.saturating_add(window)
            }
        }
    }

    /// Ends a request: refused where that promise holds, else failed.
    pub(crate) fn finish(&mut self, now: Micros, id: &RequestId, why: Counter, out: &mut Out) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        self.counts.add(why);
        let (refused, id_told) = (self.permits(request, now, Step::Refuse), id.clone());
        let retry_in = Some(self.advice(request));
        let refusal = |id| Action::Reject {
            id,
            retry_after: retry_in,
        };
        out.push(if refused {
            refusal(id_told)
        } else {
            Action::Fail { id: id_told }
        });
        self.forget(id, out);
    }

    /// When a refused client may come back: once its store and ceiling are likely to hold what it asks for.
    fn advice(&self, request: &Request) -> Micros {
        if let Some(after) = self.cold_advice() {
            return after;
        }
        let Some(store) = self.stores.get(&request.customer) else {
            return ADVICE.0;
        };
        let plan = &self.settings.plans[request.plan.0];
        let until = |short: f64, rate: f64| {
            if short > 0.0 {
                short / rate.max(f64::EPSILON) * 1e6
            } else {
                0.0
            }
        };
        // What a try takes is off the level already, and comes back if it was never sent.
        let quota = if plan.rate > 0.0 {
            until(-store.level, plan.rate * store.share)
        } else {
            0.0
        };
        let over = |ceiling: &HardLimit| {
            until(
                request.units - store.ceiling,
                ceiling.rate * store.ceiling_share,
            )
        };
        let ceiling = plan.hard_limit.as_ref().map_or(0.0, over);
        (quota.max(ceiling) as Micros).clamp(ADVICE.0, ADVICE.1)
    }

    /// Drops a request. Its attempt may still be out: nobody waits for it, so it is called off.
    fn forget(&mut self, id: &RequestId, out: &mut Out) {
        let Some(request) = self.take_request(id) else {
            return;
        };
        if let Some(granted) = request.asking.granted {
            self.give_back(granted, request.customer, out);
        }
        if let (Some(attempt), false, true) = (
            request.out,
            request.cancelled,
            self.settings.permissions.cancellation,
        ) {
            out.push(Action::Cancel {
                id: id.clone(),
                attempt,
            });
        }
    }

    fn sweep(&mut self, now: Micros, out: &mut Out) {
        // Danger: servers blamed for answers that lie here unread, as this gateway had no CPU.
        if now <= self.woken.saturating_add(LATE) {
            self.stalled(now, out);
        }
        self.woken = Micros::MAX;
        let soon = self.latency / 2.0;
        let (mut over, mut asking) = (Vec::new(), Vec::new());
        for (id, request) in &mut self.requests {
            asking.extend((self.wide && request.attempts == 0).then(|| id.clone()));
            let class = &self.settings.classes[request.class.0];
            let aimed = request.arrived.saturating_add(class.latency_objective);
            let worthless = class.late_value <= 0.0;
            let half = request.arrived + request.deadline.saturating_sub(request.arrived) / 2;
            let unsent = request.out.is_none() && !request.reached;
            if request.coming {
                // What takes long is its client's doing.
                over.extend((now + LAST_CALL >= request.deadline).then(|| id.clone()));
            } else if now + LAST_CALL >= if unsent { half } else { request.deadline } {
                // Exception to the design, which refuses at the deadline: a client that is told by half of its
                // time that nothing was sent can still try elsewhere. What was sent has until the deadline.
                over.push(id.clone());
            } else if request.out.is_none()
                && worthless
                && now < aimed
                && now as f64 + soon > aimed as f64
            {
                // Exception to the design, which refuses at the deadline: no worth is left to wait for.
                over.push(id.clone());
            } else if worthless
                && now > aimed
                && !request.cancelled
                && self.settings.permissions.cancellation
            {
                // Danger: servers busy with answers that are worth nothing any more.
                let Some(attempt) = request.out else { continue };
                request.cancelled = true;
                out.push(Action::Cancel {
                    id: id.clone(),
                    attempt,
                });
            }
        }
        for id in over {
            let unsent = self
                .requests
                .get(&id)
                .is_some_and(|request| request.attempts == 0);
            self.finish(
                now,
                &id,
                if unsent {
                    Counter::RejectedNotSent
                } else {
                    Counter::EndedAfterAttempts
                },
                out,
            );
        }
        asking
            .into_iter()
            .for_each(|id| self.unanswered(now, id, out));
        self.while_cold(now, out);
        self.tick(now, out);
        self.gossip(now, out);
    }

    pub(crate) fn value(&self, request: &Request, now: Micros) -> f64 {
        let class = &self.settings.classes[request.class.0];
        let share = if now > request.arrived.saturating_add(class.latency_objective) {
            class.late_value
        } else {
            1.0
        };
        class.priority_weight * self.settings.plans[request.plan.0].priority_weight * share
    }

    /// Sends what waits, the worthiest first, while servers have room.
    fn dispatch(&mut self, now: Micros, out: &mut Out) {
        if self.waiting.is_empty() {
            return;
        }
        let mut able = self.able(now);
        if able.is_empty() {
            self.counts.add(Counter::NoCapacity);
        }
        let waiting = self
            .waiting
            .iter()
            .filter_map(|id| Some((id, self.requests.get(id)?)));
        let mut order: Vec<_> = waiting
            .map(|(id, request)| (self.value(request, now), id.clone()))
            .collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut low = self.open_of(self.lowest);
        for (_, id) in order {
            let Some(request) = self.requests.get(&id).filter(|_| !able.is_empty()) else {
                continue;
            };
            let lowest = request.class == self.lowest;
            let capped = lowest && !self.fuzzy.allows(low, now, self.latency);
            let (customer, units) = (request.customer, request.units);
            if request.attempts == 0 && !self.may_open(customer, units, now) {
                // Danger: a customer at its own limit taken for a pressed back end, so that the cap closes.
                self.requests
                    .entry(id)
                    .and_modify(|request| request.due = now);
                continue;
            }
            let Some(server) = (if capped {
                None
            } else {
                self.choose(now, &id, &able)
            }) else {
                continue;
            };
            if lowest {
                (low, self.fuzzy.paced) = (low + 1.0, self.fuzzy.paced - 1.0);
            }
            self.send(now, id, server, out);
            able = self.able(now);
        }
    }
}

// ---- Quota stores and gossip ----

/// µs between rounds of counts to all peers that their intake allows; 0 without peers, endless without words.
fn gossip_pace(settings: &Settings) -> f64 {
    let words = if settings.permissions.peer_messages {
        settings.peer_messages_per_s * INTAKE_SHARE
    } else {
        0.0
    };
    1e6 * f64::from(settings.node_count.saturating_sub(1)) / words
}

impl PolicyEngine {
    /// Words a second that one gateway may say: all of them together keep to this share of each one's intake.
    pub(crate) fn words_a_second(&self) -> f64 {
        self.settings.peer_messages_per_s * INTAKE_SHARE
    }

    /// How many servers and customers are kept in mind.
    pub fn tracked(&self) -> usize {
        self.servers.len() + self.stores.len() + self.homes.len()
    }

    /// Drops what tells nothing any more. Danger: memory that grows with every customer and server ever seen.
    fn tidy(&mut self, now: Micros) {
        let (plans, spoke) = (&self.settings.plans, &self.spoke);
        self.mute.retain(|_, until| *until > now);
        self.stores.retain(|_, store| {
            !store.is_idle(now, &plans[store.plan.0], silent(spoke, store, now))
        });
        let (most, fenced) = (
            self.settings.max_request_units,
            self.settings.partition_safe,
        );
        self.homes.retain(|_, home| {
            let plan = &plans[home.plan.0];
            let terms = Homes::of(plan, home.spread).terms(plan, home.number, most, fenced);
            !home.keeper.is_idle(now, &terms, KEEP_FOR)
        });
        let (young_for, wide) = (self.young_for(), self.wide);
        let counts = |health: &Health| {
            let pooled = wide && health.pool.mean().is_some();
            health.trial.is_some() || pooled || now < health.seen.saturating_add(NEWS_FOR)
        };
        self.servers
            .tidy(now, young_for, |server| server.health.iter().any(counts));
    }

    /// Whether ceiling and attempts open at once let a first attempt out now; if not, it waits.
    fn may_open(&mut self, customer: CustomerId, units: f64, now: Micros) -> bool {
        if self.wide {
            return true; // a home has let it go
        }
        let Some(store) = self.stores.get_mut(&customer) else {
            return true;
        };
        let plan = &self.settings.plans[store.plan.0];
        store.fill(now, plan, silent(&self.spoke, store, now));
        if plan.hard_limit.is_some() && store.ceiling < units {
            return false;
        }
        let Some(limit) = plan.max_in_flight else {
            return true;
        };
        // Peers' attempts are not told in time: rate and latency make so many likely, as chance has it.
        let even = (f64::from(limit) / store.spread).round().max(1.0);
        let likely = store.peers(now, HEARD_FOR) * self.latency / 1e6;
        let under = chance_under(limit.saturating_sub(store.open), likely);
        f64::from(store.open) < even && (1.0 - under) * (1.0 + plan.over_quota_cost) < OPEN_RISK
    }

    fn heard(&mut self, now: Micros, from: NodeId, bytes: &[u8], out: &mut Out) {
        let Some(message) = message::read(bytes) else {
            return;
        };
        if from == self.settings.node || from.0 >= self.settings.node_count {
            return;
        }
        self.mute.remove(&from);
        self.deaf = 0;
        self.lately[from.0 as usize] = now;
        self.newer[from.0 as usize] |= matches!(
            message,
            Message::Ask(Ask { wish: Some(_), .. }, _) | Message::Answer(_, _, Some(_), _)
        );
        let (birth, counts) = match message {
            Message::Counters(birth, counts) => (birth, counts),
            Message::Ask(ask, news) => {
                news.into_iter().for_each(|news| self.told(now, from, news));
                let Some((said, lease)) = self.grant(now, from, &ask, out) else {
                    return;
                };
                let answer = match ask.beside {
                    Some(_) => Message::Answer(
                        ask.serial,
                        said,
                        ask.wish.map(|_| lease),
                        self.news_if_due(now),
                    ),
                    None => Message::OldAnswer(ask.serial, said, self.news(now)),
                };
                return out.push(Action::SendToPeer {
                    to: from,
                    bytes: message::write(&answer),
                });
            }
            Message::Answer(serial, said, lease, news) => {
                news.into_iter().for_each(|news| self.told(now, from, news));
                return self.answered(now, serial, (said, lease.flatten()), out);
            }
            Message::OldAnswer(serial, said, news) => {
                self.told(now, from, news);
                return self.answered(now, serial, (said, None), out);
            }
            Message::Gift(server, gift) => return self.given(now, from, server, gift),
            Message::Done(serial, of) => {
                return self
                    .homes
                    .get_mut(&of)
                    .into_iter()
                    .for_each(|home| home.keeper.release(from.0, serial));
            }
        };
        let spoke = std::mem::replace(&mut self.spoke[from.0 as usize], now);
        let (silence, kept_for) = (&mut self.silence[from.0 as usize], kept_for(now, spoke));
        *silence = if kept_for > 0.0 {
            (spoke, kept_for)
        } else {
            *silence
        };
        let (silent_from, kept_for) = *silence;
        self.met(now, birth);
        for (customer, count) in counts {
            let Some(store) = self.stores.get_mut(&customer) else {
                continue;
            };
            let plan = &self.settings.plans[store.plan.0];
            store.fill(now, plan, silent(&self.spoke, store, now));
            let heard = store.heard.entry(from).or_default();
            let first = heard.at <= silent_from;
            let steps = heard.steps(now, HEARD_FOR, birth, count);
            // Danger: a peer that is heard again, and all that it sent meanwhile taken off a store that had kept its share for it.
            let kept = if first {
                plan.rate / store.spread * kept_for
            } else {
                0.0
            };
            let units = (f64::from(steps) * COUNT_STEP - kept).max(0.0);
            heard.recent.extend((units > 0.0).then_some((now, units)));
            store.level = if steps > 0 {
                (store.level - units).max(-store.depth)
            } else {
                store.level
            };
        }
    }

    /// A peer was born then. Danger: a restart that fills stores anew, which others have drawn on: where peers are
    /// older, only the even part of each burst is taken for granted at first.
    fn met(&mut self, now: Micros, birth: u32) {
        let (age, its_age) = (
            now.saturating_sub(self.born),
            ((now / 1000) as u32).wrapping_sub(birth),
        );
        if self.newcomer || age > NEWCOMER || u64::from(its_age) * 1000 < age + NEWCOMER {
            return;
        }
        self.newcomer = true;
        for store in self.stores.values_mut() {
            let beyond = (self.settings.plans[store.plan.0].burst - store.depth).max(0.0);
            store.level = (store.level - beyond).max(-store.depth);
        }
    }

    /// Tells the peers what was lately sent on. It goes out even when there is nothing to tell.
    fn gossip(&mut self, now: Micros, out: &mut Out) {
        let pace = gossip_pace(&self.settings);
        if now < self.next_gossip {
            return;
        }
        // Danger: an hour that stays due where nobody is to be told, so that an idle gateway wakes at every sweep.
        self.next_gossip = now
            + GOSSIP_EVERY.max(if pace < f64::INFINITY {
                pace as Micros
            } else {
                TICK
            });
        // Danger: two processes that tell the same counts, so that the peers' intake is filled twice.
        if self.wide || self.hushed || !(pace > 0.0 && pace < f64::INFINITY) {
            return;
        }
        let counts = self.counts(now, TOLD_FOR, COUNT_STEP).into_iter();
        let counts = Message::Counters(
            (self.born / 1000) as u32,
            counts.take(message::ROOM).collect(),
        );
        out.push(Action::Broadcast {
            bytes: message::write(&counts),
        });
    }
    // ---- News of the fleet ----

    /// What rides on a message, now and then.
    pub(crate) fn news_if_due(&mut self, now: Micros) -> Option<News> {
        let due = now >= self.next_news;
        self.next_news = if due {
            now + NEWS_EVERY
        } else {
            self.next_news
        };
        due.then(|| self.news(now))
    }

    /// What rides on a message: how this gateway's answers fare, bad servers, and what was seen last.
    fn news(&mut self, now: Micros) -> News {
        let typical = self.typical;
        let poor = |rumour: &Rumour| rumour.failing > OUT_AT / 2.0 || rumour.wait > 2.0 * typical;
        let (mut bad, mut good): (Vec<_>, Vec<_>) =
            self.evidence(now, NEWS_FOR).into_iter().partition(poor);
        self.random.shuffle(&mut bad);
        self.random.shuffle(&mut good);
        let rumours = bad
            .into_iter()
            .take(RUMOURS.0)
            .chain(good.into_iter().take(RUMOURS.1))
            .collect();
        News {
            served: self.served.now(),
            aims: self.pooled.clone(),
            out: self.crowd.out,
            rumours,
        }
    }

    /// Takes in news. Danger: one gateway's word, said often, that shuts servers out or tries away; it is weighed now
    /// and then, and what it did fades.
    fn told(&mut self, now: Micros, from: NodeId, news: News) {
        let last = &mut self.weighed[from.0 as usize];
        if now < last.saturating_add(WEIGHED_EVERY) {
            return;
        }
        *last = now;
        self.served.mix(news.served, SERVED_WEIGHT);
        self.crowd.out.mix(news.out);
        self.pooled
            .iter_mut()
            .zip(news.aims)
            .for_each(|(pool, told)| pool.mix(told));
        for rumour in news.rumours {
            let Some(id) = self
                .servers
                .named(rumour.server)
                .filter(|_| rumour.age < NEWS_FOR)
            else {
                continue;
            };
            // Danger: a class that there is not, from a forged datagram.
            if rumour.class.0 >= self.settings.classes.len() {
                continue;
            }
            let (fleet, cover) = (
                self.servers.mean_failing(rumour.class),
                self.wide.then(|| self.servers.cover()),
            );
            let Some(mut server) = self.servers.edit(id) else {
                continue;
            };
            if server.hear(now, &rumour, HEARD_WEIGHT, self.typical) {
                self.counts.add(Counter::ObservationsReceived);
            }
            let next = now.saturating_add(trial_after(&mut self.random, cover));
            if judged(&mut server.health[rumour.class.0], cover, fleet, next) {
                self.counts.add(Counter::Ejections);
            }
        }
    }
}

/// Until the next trial of a server that is out: the trials of all that send to it, in a wide fleet, come at a steady pace.
fn trial_after(random: &mut fastrand::Rng, cover: Option<f64>) -> Micros {
    let all = 0.5 + random.f64();
    (TRIAL_EVERY as f64 * cover.map_or(1.0, |cover| cover * all)) as Micros
}

/// Shuts a server out for a class, or takes it back in, against what share of all fails; whether it is shut out now. In a wide
/// fleet so many gateways send to it.
fn judged(health: &mut Health, cover: Option<f64>, fleet: f64, next: Micros) -> bool {
    if let Some(cover) = cover {
        health.failing = health.pool.likely(cover, fleet.min(OUT_AT / 2.0));
    }
    if health.failing > OUT_AT.max(2.0 * fleet) {
        let anew = health.trial.is_none();
        health.trial = health.trial.or(Some(next));
        return anew;
    }
    health.trial = health.trial.filter(|_| health.failing >= OUT_AT / 2.0);
    false
}

// ---- STFC: the self-tuning fuzzy controller ----

/// Change of what the aimed classes get, -3 to 3, for such levels of error and change. The paper prints one
/// entry, (PS, PM) = NL; the rest follow its zones: reverse what goes away, go easy on what corrects itself.
fn change_rule(error: i32, change: i32) -> i32 {
    -(error + change).clamp(-3, 3)
}

/// Alpha, 0 to 6, from the paper's five zones: large where a large error grows or a disturbance begins,
/// small where it corrects itself, nought at rest.
fn alpha_rule(error: i32, change: i32) -> i32 {
    let (far, fast) = (error.abs(), change.abs());
    match error * change {
        0 => (2 * (far + fast)).min(6),
        1.. => (far + fast + 2).min(6),
        _ => (1 + 2 * (fast - far)).clamp(1, 6),
    }
}

/// What the two levels say of an error and its change scaled to 1: the change asked for, -1 to 1, and alpha.
pub fn inferred(error: f64, change: f64) -> (f64, f64) {
    (
        infer(change_rule, error, change, 3.0),
        infer(alpha_rule, error, change, 6.0),
    )
}

impl Fuzzy {
    /// Whether one more of the lowest class may go out. A cap of less than one is kept on average, by pacing.
    fn allows(&mut self, open: f64, now: Micros, latency: f64) -> bool {
        let Some(cap) = self.cap else { return true };
        let span = now.saturating_sub(self.paced_at) as f64 / latency.max(1.0);
        (self.paced, self.paced_at) = ((self.paced.max(0.0) + cap * span).min(1.0), now);
        open + 1.0 <= cap || cap < 1.0 && open < 1.0 && self.paced >= 1.0
    }

    fn step(&mut self, worst: f64, open: f64, total: f64, part: f64) {
        let error = DESIRED - worst;
        let change = error - self.error.unwrap_or(error);
        self.error = Some(error);
        let Some(cap) = self.cap else {
            self.cap = (worst > DESIRED).then_some(open.max(CAP_FLOOR * part));
            return;
        };
        let (asked, alpha) = inferred(error * K_INPUTS.0, change * K_INPUTS.1);
        let moved = alpha * K_OUTPUT * asked;
        // Danger: wind-up. A cap far above what is open would take long to bind again.
        let (floor, lead) = (CAP_FLOOR * part, (CAP_LEAD * part).max(total / 2.0));
        let most = (self.peak.max(open) * 2.0 + lead).max(floor);
        self.cap = Some((cap - moved * total.max(floor / 2.0)).clamp(floor, most));
    }
}

impl PolicyEngine {
    /// A tick: the worst mean latency in aims, over all classes but the lowest-worth one, moves the cap.
    fn tick(&mut self, now: Micros, out: &mut Out) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        let mut seen = self.fuzzy.take_seen();
        let released = |request: &&Request| {
            let waits = !request.coming && request.deadline < Micros::MAX;
            waits && (!self.wide || request.asking.granted.is_some())
        };
        for request in self.requests.values().filter(released) {
            // Danger: a hang that looks fast, as nothing is answered. What is open counts once late.
            let aim = self.settings.classes[request.class.0]
                .latency_objective
                .max(1) as f64;
            let age = now.saturating_sub(request.due) as f64 / aim;
            let (sum, count) = seen[request.class.0];
            if age > 1.0 || (count > 0.0 && age > sum / count) {
                seen[request.class.0] = (sum + age, count + 1.0);
            }
        }
        for ((mean, pool), seen) in self.aims.iter_mut().zip(&mut self.pooled).zip(seen) {
            // Danger: a jam that is over and still sheds. Where each gateway sees little, the fleet's samples count.
            pool.fade(if self.wide {
                TICK as f64 / 1e6 / LATENCY_FADES_IN
            } else {
                f64::INFINITY
            });
            pool.add(seen);
            *mean = pool.mean().unwrap_or(-1.0);
        }
        let worst = self.worst();
        let weight = if self.wide { OUT_WEIGHT } else { 1.0 }; // on average, where mostly nothing is out
        self.low_out += (self.open_of(self.lowest) - self.low_out) * weight;
        self.all_out += (self.all_attempts().count() as f64 - self.all_out) * weight;
        let open = self.low_out;
        self.fuzzy.peak = self.fuzzy.peak.max(open);
        if let Some(worst) = worst {
            let had = self.fuzzy.cap.is_some() || self.wide; // no flood of lines from hundreds of gateways
            self.fuzzy.step(
                worst,
                open,
                self.all_out,
                1.0 / f64::from(self.settings.node_count),
            );
            let started = self.fuzzy.cap.is_some() && !had;
            let line = || Action::Log(format!("aim missed: W {worst:.2}; cap starts at {open:.2}"));
            out.extend(started.then(line));
        }
        self.fuzzy.peak = open;
        let span = TICK as f64 / 1e6;
        let weight = if self.wide { SERVED_WEIGHT } else { span / 4.0 };
        self.served.add(self.done / span, weight);
        self.count_warm(now, weight);
        self.done = 0.0;
        self.typical = self
            .servers
            .median_wait()
            .unwrap_or(self.shortest_aim * FIRST_WAIT);
        let out = self.all_attempts().count() as f64;
        self.crowd.tick(TICK as f64 / 1e6, out);
        self.credit(now);
        self.fade(now);
        self.measure(now);
        self.tidy(now);
    }

    // ---- Server choice and health ----

    /// Notes how many servers are ready, and how many warm ones those are worth that may take anything now.
    fn measure(&mut self, now: Micros) {
        self.look_for_warm(now);
        let rules = self.settings.slow_start;
        let ((ready, held), (_, well)) =
            (self.servers.ready(), self.servers.in_health(self.lowest));
        let fresh = self
            .fresh()
            .filter(|server| server.trial(self.lowest.0).is_none());
        // What each of those lacks that is not warm yet.
        let lacks: f64 = fresh.map(|server| 1.0 - server.warmth(&rules, now)).sum();
        // The servers that are sent to from here stand for all.
        let of_all = if ready > held {
            ready / held.max(1.0)
        } else {
            1.0
        };
        self.crowd.servers((well - lacks) * of_all);
    }

    /// Lets evidence fade, and judges all servers anew: what nobody has seen for long keeps none out.
    fn fade(&mut self, now: Micros) {
        if !self.wide {
            return;
        }
        let classes = self.settings.classes.len();
        self.servers.fade(TICK as f64 / 1e6 / EVIDENCE_FADES_IN);
        // Once a class, not once a server: a tick must not walk all servers for each of them.
        let usual: Vec<f64> = (0..classes)
            .map(|class| self.servers.mean_failing(ClassId(class)))
            .collect();
        let (cover, random, counts) = (self.servers.cover(), &mut self.random, &mut self.counts);
        self.servers.judge(|server| {
            for (health, usual) in server.health.iter_mut().zip(&usual) {
                let next = now.saturating_add(trial_after(random, Some(cover)));
                if judged(health, Some(cover), *usual, next) {
                    counts.add(Counter::Ejections);
                }
            }
        });
    }

    /// Expected wait of one place at a server; what is old fades to the fleet's.
    fn place_wait(&self, server: &Server, now: Micros) -> f64 {
        let fleet = self.typical;
        let keep = 0.5f64.powf(now.saturating_sub(server.learned) as f64 / FADE);
        if server.wait <= 0.0 {
            return fleet / server.warmth(&self.settings.slow_start, now).max(0.1);
        }
        server.wait * keep + fleet * (1.0 - keep)
    }

    /// Servers that may be chosen from now: listed and with room.
    fn able(&mut self, now: Micros) -> Vec<ServerId> {
        let random = &mut self.random;
        let ready = self.servers.choice(|count| random.usize(..count));
        // Danger: many gateways, each with one out at every server, overdrive them all (iac7c0b, i417db4).
        let (all, held) = self.servers.ready();
        let floor = (ALL_FLOOR * all / f64::from(self.settings.node_count)).max(1.0);
        let parts = ready
            .iter()
            .map(|server| self.shortest_aim / self.place_wait(server, now).max(1.0));
        let of_held = held.max(1.0) / ready.len().max(1) as f64;
        let out = self.all_attempts().count() as f64;
        if out >= floor && out >= FIT_ALL * of_held * parts.sum::<f64>() {
            return Vec::new();
        }
        let room = ready
            .into_iter()
            .filter(|server| self.has_room(server, now));
        room.map(|server| server.entry.server).collect()
    }

    /// A bound on what is open at a server: its expected wait must leave time within the shortest aim.
    fn has_room(&self, server: &Server, now: Micros) -> bool {
        let cold = self.is_warming(server, now) && !self.may_warm(server, now);
        let wait = || self.place_wait(server, now) * f64::from(server.open + 1);
        !cold && (server.open == 0 || wait() <= FIT * self.shortest_aim)
    }

    /// The server with the least expected wait, of those healthy for the request's class.
    fn choose(&mut self, now: Micros, id: &RequestId, able: &[ServerId]) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let class = request.class.0;
        let safe = self.settings.classes[class].idempotency == Idempotency::Idempotent;
        let (all, healthy) = self.servers.in_health(request.class);
        // Danger: ejecting all when all are bad. With too few left, the trouble lies elsewhere: none is out.
        let few = healthy < all * REMAIN;
        let fits = |server: &&Server| {
            let trial = server.trial(class);
            let due = few || trial.is_none_or(|at| at <= now && server.open == 0);
            // A trial may be lost, so it takes only what can be sent again.
            let risky = trial.is_some() && !safe && able.len() > 1;
            due && !risky && self.permits(request, now, Step::Send(server))
        };
        let mut from: Vec<_> = able
            .iter()
            .filter_map(|id| self.servers.get(*id))
            .filter(fits)
            .collect();
        if self.wide {
            // A cold server's rare token is spent first, so that it warms; then trials.
            self.random.shuffle(&mut from);
            let first = |server: &&Server| {
                let trial = server.trial(class).is_some() && !few && request.attempts == 0;
                trial || server.warmth(&self.settings.slow_start, now) < 1.0
            };
            if let Some(place) = from.iter().position(first) {
                from = vec![from[place]];
            }
        }
        let mut best = (f64::INFINITY, None);
        for server in from {
            let id = server.entry.server;
            let crossing = if server.entry.zone == self.settings.zone {
                0.0
            } else {
                self.settings.cross_zone_cost
            };
            let again = if request.last == Some(id) { AGAIN } else { 0.0 };
            let places = f64::from(server.open) + 1.0 + CROSSING * crossing + again;
            let cut = self.cut.get(&server.entry.zone).copied().unwrap_or(0.0) * CUT.1;
            let score = places
                * self.place_wait(server, now)
                * (1.0 + server.failing(class) * FAILING + cut);
            // Danger: hundreds of gateways that each meet every server, with a handshake for nearly every attempt. Each
            // keeps to those that it has a connection to; as their waits rise it turns elsewhere, one by one.
            let kept = server.open == 0
                && now
                    < server
                        .answered
                        .saturating_add(self.settings.server_idle_timeout / 2);
            let score = if kept || !self.wide {
                score
            } else {
                score * HANDSHAKE
            };
            let trial =
                server.trial(class).is_some() && request.attempts == 0 && !(few && self.wide);
            // Danger: hundreds of gateways that flock to the server last heard to be quick. Where each knows
            // little, a server's share is in inverse to its wait; the least of such draws does that.
            let draw = self.random.f64();
            let draw = if self.wide {
                -draw.max(1e-9).ln()
            } else {
                1.0 + JITTER * draw
            };
            let score = if trial { 0.0 } else { score * draw };
            best = if score < best.0 {
                (score, Some(id))
            } else {
                best
            };
        }
        best.1
    }

    /// Until the next trial of a server that is out.
    fn trial_after(&mut self) -> Micros {
        trial_after(&mut self.random, self.wide.then(|| self.servers.cover()))
    }

    /// Shuts a server out for a class, or takes it back in, by what is known of it.
    fn judge(&mut self, now: Micros, id: ServerId, class: ClassId) {
        let fleet = self.servers.mean_failing(class);
        let next = now.saturating_add(self.trial_after());
        let cover = self.wide.then(|| self.servers.cover());
        let Some(mut server) = self.servers.edit(id) else {
            return;
        };
        if judged(&mut server.health[class.0], cover, fleet, next) {
            self.counts.add(Counter::Ejections);
        }
    }

    fn learn(&mut self, now: Micros, attempt: &Attempt, outcome: Outcome, stalled: bool) {
        let took = now.saturating_sub(attempt.sent) as f64;
        self.counts.ended(outcome, stalled);
        self.earn(now, attempt, outcome);
        let Some(mut edited) = self.servers.edit(attempt.server) else {
            return;
        };
        let server = &mut *edited;
        let class = attempt.class.0;
        let since = server.health[class].answered > attempt.sent && !stalled;
        let bad = match outcome {
            Outcome::Ok => false,
            Outcome::Cancelled | Outcome::TimedOut => !since,
            Outcome::NotSent => return,
            _ => true,
        };
        for (other, health) in server.health.iter_mut().enumerate() {
            // One class may fail alone, so it tells less of the others.
            let weight = if other == class {
                FAIL_WEIGHT
            } else {
                FAIL_WEIGHT * OTHER_CLASS
            };
            health.failing += (f64::from(u8::from(bad)) - health.failing) * weight;
            let counts = if other == class { 1.0 } else { OTHER_CLASS };
            health.pool.add((f64::from(u8::from(bad)) * counts, counts));
        }
        // Danger: links of a whole zone cut, found server by server. Peers elsewhere still reach them, so
        // only what is seen here counts. It hurts where many servers of one zone die for other reasons.
        // A trial of a server that is out tells nothing of its zone, though a hung machine takes no connection.
        let unreachable = outcome == Outcome::Unreachable;
        if !unreachable || server.health[class].trial.is_none() {
            let cut = self.cut.entry(server.entry.zone).or_default();
            *cut += (f64::from(u8::from(unreachable)) - *cut) * CUT.0;
        }
        server.health[class].seen = now;
        let took = if bad {
            took.max(self.shortest_aim / 2.0)
        } else {
            took
        };
        let unknown = if self.wide {
            self.typical
        } else {
            took / attempt.places
        };
        server.waited(now, took / attempt.places, WAIT_WEIGHT, unknown);
        // Danger: what is called off left out of the mean, so that a slow fleet looks fast and is ejected.
        self.latency += (took - self.latency) * LATENCY_WEIGHT;
        let health = &mut server.health[class];
        if outcome == Outcome::Ok {
            (server.answered, health.answered) = (now, now);
        }
        if !self.wide && outcome == Outcome::Ok {
            // Back in once few fail; until then a trial that was served is followed by the next at once.
            health.failing *= if health.trial.is_some() { 0.5 } else { 1.0 };
            health.trial = health
                .trial
                .filter(|_| health.failing >= OUT_AT / 2.0)
                .map(|_| now);
        }
        drop(edited);
        if self.wide || outcome != Outcome::Ok && bad {
            self.judge(now, attempt.server, attempt.class);
        }
    }

    /// Danger: a server that takes work and answers none, or cut links. It is out once an attempt is far
    /// older than the fleet's latency and nothing came since; what may be repeated is called off. It hurts
    /// when a rare heavy request is alone on its server: then it is run again elsewhere.
    fn stalled(&mut self, now: Micros, out: &mut Out) {
        let mut silent = Vec::new();
        let working = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.stage == Stage::Working);
        for ((id, number), attempt) in working {
            let limit = self.settings.classes[attempt.class.0].latency_objective as f64 * STALLED.1;
            let limit = limit.max(self.latency * STALLED.0);
            let Some(server) = self.servers.get(attempt.server) else {
                continue;
            };
            // Danger: a cold server, which takes that much longer, put on trial for it while it warms up.
            let limit = limit
                / server
                    .warmth(&self.settings.slow_start, attempt.sent)
                    .max(COLD_LIMIT);
            let alone = if server.open < 2 { 1.5 } else { 1.0 };
            let answered = server.answered(attempt.class.0);
            if answered < attempt.sent && now.saturating_sub(attempt.sent) as f64 > limit * alone {
                silent.push((
                    id.clone(),
                    *number,
                    attempt.server,
                    attempt.class,
                    attempt.sent,
                ));
            }
        }
        for (id, attempt, server, class, sent) in silent {
            let next = now.saturating_add(self.trial_after());
            let Some(mut server) = self.servers.edit(server) else {
                continue;
            };
            let whole = server.answered < sent;
            if server.health[class.0].trial.is_none() {
                self.counts.add(Counter::Ejections);
                let line =
                    || Action::Log(format!("server {} silent: on trial", server.entry.server.0));
                out.extend((!self.wide).then(line));
                server.health[class.0].seen = now;
                for (other, health) in server.health.iter_mut().enumerate() {
                    if other == class.0 || whole {
                        health.failing = 1.0;
                        health.trial = Some(next);
                    }
                }
            }
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            let again = self.settings.classes[request.class.0].idempotency
                != Idempotency::NonIdempotent
                && !request.single;
            let more = request.attempts < self.settings.permissions.max_attempts
                && self.settings.permissions.cancellation;
            if again && more && !request.cancelled && self.retries >= 1.0 {
                request.cancelled = true;
                out.push(Action::Cancel { id, attempt });
            }
        }
    }

    // ---- Attempts ----

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, out: &mut Out) {
        let (next, rules) = (self.trial_after(), self.warming(server));
        let (Some(request), Some(mut to)) = (self.requests.get_mut(&id), self.servers.edit(server))
        else {
            return;
        };
        let first = request.attempts == 0;
        let counts = !request.coming;
        if counts {
            let drawn = |store: &mut Store| store.sent_on(now, request.units, first);
            self.stores.entry(request.customer).and_modify(drawn);
            to.open += 1;
        }
        self.retries = if first {
            (self.retries + RETRY_SHARE).min(RETRY_MOST)
        } else {
            self.retries
        };
        self.counts.add(if first {
            Counter::FirstAttempts
        } else {
            Counter::Retries
        });
        if self.blind || to.warmth(&self.settings.slow_start, now) < 1.0 {
            to.warm_up(&rules, self.blind, now);
            self.cold_sent += 1.0;
            self.counts.add(Counter::SlowStartAttempts);
        }
        if let Some(at) = &mut to.health[request.class.0].trial {
            *at = now.saturating_add(next);
            self.counts.add(Counter::HealthProbes);
        }
        let number = request.sent(server);
        let attempt = request.attempt(server, now, f64::from(to.open));
        drop(to);
        if self.shared && counts {
            let store = self.stores.get(&request.customer).filter(|_| first);
            let first = store.map(|store| store.terms(request.units));
            out.push(Action::SendToSiblings(SiblingMessage::AttemptStarted(
                SiblingAttempt {
                    charge: first,
                    ..attempt.told(&id, number)
                },
            )));
        }
        self.attempts.insert((id.clone(), number), attempt);
        self.waiting.retain(|other| *other != id);
        out.push(Action::Send {
            id,
            server,
            timeout: None,
        });
    }

    fn ended(
        &mut self,
        now: Micros,
        key: AttemptKey,
        outcome: Outcome,
        closed: bool,
        out: &mut Out,
    ) {
        let Some(attempt) = self.take_attempt(&key) else {
            return;
        };
        let (id, attempt_no) = key;
        out.extend(self.shared.then(|| {
            Action::SendToSiblings(SiblingMessage::AttemptEnded {
                request: id.clone(),
                attempt: attempt_no,
            })
        }));
        if attempt.stage != Stage::Working {
            // Nothing is learned from what a client, not a server, has taken its time for.
            let Some(request) = self.requests.get_mut(&id) else {
                return;
            };
            request.out = None;
            return if closed {
                self.forget(&id, out);
            } else {
                self.finish(now, &id, Counter::EndedAfterAttempts, out);
            };
        }
        let called_off = self
            .requests
            .get(&id)
            .is_some_and(|request| request.cancelled);
        self.learn(
            now,
            &attempt,
            outcome,
            called_off && outcome == Outcome::Cancelled,
        );
        if outcome == Outcome::Ok {
            self.done += 1.0;
            let aim = self.settings.classes[attempt.class.0]
                .latency_objective
                .max(1) as f64;
            self.fuzzy
                .saw(attempt.class, now.saturating_sub(attempt.due) as f64 / aim);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.out = None;
        if closed {
            return self.forget(&id, out);
        }
        request.cancelled = false;
        request.reached |= !matches!(outcome, Outcome::Unreachable | Outcome::NotSent);
        request.unsent += u32::from(outcome == Outcome::NotSent);
        let unproved = !matches!(
            outcome,
            Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
        );
        if unproved && request.ran.is_none() {
            let server = self.servers.get(attempt.server);
            request.ran = server.map(|server| Ran {
                place: server.entry,
                sent: attempt.sent,
            });
        }
        let class = &self.settings.classes[request.class.0];
        let worth =
            class.late_value > 0.0 || now < request.arrived.saturating_add(class.latency_objective);
        // What was turned away before its first byte is no attempt; but that has an end too.
        let most = self.settings.permissions.max_attempts;
        let free = outcome == Outcome::NotSent && request.unsent <= most;
        let spent = request.attempts >= most + request.unsent.min(most);
        let spent = spent || !free && self.retries < 1.0 || request.single;
        let never = request.ran.is_some() && class.idempotency == Idempotency::NonIdempotent;
        if now >= request.deadline || spent || never {
            self.finish(now, &id, Counter::EndedAfterAttempts, out);
        } else if worth {
            self.retries -= if free { 0.0 } else { 1.0 };
            self.waiting.push(id);
        }
    }

    // ---- Two processes of one gateway ----

    // Danger: a store, a ceiling, a limit on attempts at once or a cold server's budget that counts twice while a
    // process and its successor both take requests. Each draws here on what the other sends, as if it had sent it; both
    // fill at the one rate, so that the two together are one gateway but for the way that a word takes.

    fn twin(&mut self, now: Micros, link: u32, twin: SiblingMessage) {
        match twin {
            SiblingMessage::AttemptStarted(told) => {
                let (server, customer) = (told.server, told.customer);
                let drawn = told
                    .charge
                    .as_ref()
                    .and_then(|terms| self.drawn_by_twin(now, customer, terms));
                let rules = self.warming(server);
                if let Some(mut server) = self.servers.edit(server) {
                    server.open += 1;
                    server.warm_up(&rules, self.blind, now);
                }
                let sent =
                    |store: &mut Store| store.sent_on(now, drawn.unwrap_or(0.0), drawn.is_some());
                self.stores.entry(customer).and_modify(sent);
                let (key, attempt) = told.attempt(link);
                self.abroad.insert(key, attempt);
            }
            SiblingMessage::AttemptEnded {
                request: id,
                attempt,
            } => {
                let ended = self.abroad.remove(&(id, attempt));
                ended
                    .into_iter()
                    .for_each(|(_, attempt)| self.release(&attempt));
            }
        }
    }

    /// The units that a first attempt of the other process takes, off the store's level here too.
    fn drawn_by_twin(
        &mut self,
        now: Micros,
        customer: CustomerId,
        terms: &QuotaCharge,
    ) -> Option<f64> {
        let plan = self.settings.plans.get(terms.plan.0)?;
        let (set, most) = (
            (terms.set.0, terms.set.1.clamp(1, self.settings.node_count)),
            self.settings.max_request_units,
        );
        let up = now.saturating_sub(self.born);
        let fresh = || Store::new(now, up, terms.plan, plan, set, most);
        let store = self.stores.entry(customer).or_insert_with(fresh);
        store.fill(
            now,
            &self.settings.plans[store.plan.0],
            silent(&self.spoke, store, now),
        );
        let units = terms
            .units
            .clamp(0.0, if most > 0.0 { most } else { f64::MAX });
        (store.level, store.used) = (store.level - units, now);
        Some(units)
    }

    fn twins(&mut self, ended: Option<u32>, shared: bool, hushed: bool) {
        (self.shared, self.hushed) = (shared, hushed);
        let Some(ended) = ended else { return };
        let gone: crate::state::Abroad;
        (gone, self.abroad) = std::mem::take(&mut self.abroad)
            .into_iter()
            .partition(|(_, (link, _))| *link == ended);
        gone.values().for_each(|(_, attempt)| self.release(attempt));
    }

    // ---- Bodies that go by ----

    /// The last byte of a request has come: now its try is judged, counts and takes its units.
    fn whole(&mut self, now: Micros, id: RequestId, patience: Micros, out: &mut Out) {
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.coming) else {
            return;
        };
        (request.arrived, request.due, request.deadline) = (now, now, now.saturating_add(patience));
        let (customer, units, number) = (request.customer, request.units, request.out);
        // Danger: a ceiling that has been used up, or a limit that is reached, since the body began to come.
        let Some(number) = number.filter(|_| self.may_open(customer, units, now)) else {
            return self.finish(now, &id, Counter::RejectedOverQuota, out);
        };
        self.requests
            .entry(id.clone())
            .and_modify(|request| request.coming = false);
        let key = (id, number);
        let Some(attempt) = self.attempts.get_mut(&key) else {
            return;
        };
        let Some(open) = self.servers.open(attempt.server) else {
            return;
        };
        *open += 1;
        (attempt.stage, attempt.sent, attempt.due) = (Stage::Working, now, now);
        attempt.places = f64::from(*open);
        let told = attempt.told(&key.0, number);
        let Some(store) = self.stores.get_mut(&customer) else {
            return;
        };
        store.sent_on(now, units, true);
        if self.shared {
            let first = Some(store.terms(units));
            out.push(Action::SendToSiblings(SiblingMessage::AttemptStarted(
                SiblingAttempt {
                    charge: first,
                    ..told
                },
            )));
        }
    }

    /// An answer has begun that goes by: its first bytes are what counts, and the server is free for others.
    fn started(&mut self, now: Micros, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.belongs_to_client();
        let Some(key) = request.out.map(|number| (id.clone(), number)) else {
            return;
        };
        let Some(attempt) = self.attempts.get(&key).cloned() else {
            return;
        };
        self.learn(now, &attempt, Outcome::Ok, false);
        self.done += 1.0;
        let aim = self.settings.classes[attempt.class.0]
            .latency_objective
            .max(1) as f64;
        self.fuzzy
            .saw(attempt.class, now.saturating_sub(attempt.due) as f64 / aim);
        if let Some(open) = self.servers.open(attempt.server) {
            *open = open.saturating_sub(1);
        }
        self.attempts
            .entry(key)
            .and_modify(|attempt| attempt.stage = Stage::Passing);
    }
}
