//! The engine: its state, and the way of each event to the rule that takes it.

use crate::concurrency_limit::FuzzyConcurrencyLimit;
use crate::counters::Counters;
use crate::endpoint_table::EndpointTable;
use crate::interface::{
    Action, ClassId, CustomerId, DiscoveryMode, Event, Micros, Plan, Settings, SettingsError,
};
use crate::load_statistics::LoadStatistics;
use crate::request::{Request, RequestTable, RequestTerms};
use crate::retry_budget::RetryBudget;
use crate::shard_owners::NodeSubset;
use crate::state::{
    usage_report_interval, GrantState, PeerTable, QuotaTable, SlowStartState, Timers,
    ZoneReachability, TIMER_INTERVAL,
};

/// Where actions are gathered.
pub(crate) type Actions = Vec<Action>;

/// Span between a node's usage reports to all peers, µs, from which they are too rare to keep a quota: owners of the
/// customers' quotas are asked instead.
const LARGE_FLEET_REPORT_INTERVAL: f64 = 500_000.0;

/// Decides for one node. It does no input or output, and reads no clock.
#[derive(Clone, Debug)]
pub struct PolicyEngine {
    pub(crate) settings: Settings,
    pub(crate) random: fastrand::Rng,
    pub(crate) started_at: Micros,
    /// Whether the endpoint list was subscribed to.
    pub(crate) subscribed: bool,
    /// Whether peers are much older: this node was restarted.
    pub(crate) restarted: bool,
    /// Whether the fleet is so large, for the messages that each node may send, that usage reports to all would come too
    /// seldom: owners keep the quotas instead, and statistics are gossiped. False where nodes may not talk at all.
    pub(crate) large_fleet: bool,
    /// The shortest latency objective, µs.
    pub(crate) shortest_objective: f64,
    pub(crate) lowest_class: ClassId,
    pub(crate) requests: RequestTable,
    pub(crate) endpoints: EndpointTable,
    pub(crate) quotas: QuotaTable,
    pub(crate) grants: GrantState,
    pub(crate) peers: PeerTable,
    pub(crate) load: LoadStatistics,
    pub(crate) concurrency_limit: FuzzyConcurrencyLimit,
    pub(crate) retries: RetryBudget,
    pub(crate) zones: ZoneReachability,
    pub(crate) slow_start: SlowStartState,
    pub(crate) timers: Timers,
    pub(crate) counters: Counters,
}

impl PolicyEngine {
    /// An engine that knows its settings and nothing else. The same seed and events give the same actions.
    ///
    /// # Errors
    /// Settings that make no sense.
    pub fn new(seed: u64, settings: Settings, now: Micros) -> Result<Self, SettingsError> {
        settings.check()?;
        let classes = settings.classes.len();
        let node_count = settings.node_count;
        let report_interval = usage_report_interval(&settings);
        let large_fleet = (LARGE_FLEET_REPORT_INTERVAL..f64::INFINITY).contains(&report_interval);
        let shortest_objective = settings.shortest_objective();
        Ok(PolicyEngine {
            random: fastrand::Rng::with_seed(seed),
            started_at: now,
            subscribed: false,
            restarted: false,
            large_fleet,
            shortest_objective,
            lowest_class: settings.lowest_priority(),
            requests: RequestTable::default(),
            endpoints: EndpointTable::new(settings.node, node_count, classes, settings.subsetting),
            quotas: QuotaTable::default(),
            grants: GrantState::new(now),
            peers: PeerTable::new(now, settings.node, node_count, large_fleet),
            load: LoadStatistics::new(classes, shortest_objective),
            concurrency_limit: FuzzyConcurrencyLimit::new(classes),
            retries: RetryBudget::default(),
            zones: ZoneReachability::default(),
            slow_start: SlowStartState::new(now),
            timers: Timers::new(now),
            counters: Counters::default(),
            settings,
        })
    }

    /// Takes in one event; what is to be done about it is added to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let first_new = actions.len();
        self.subscribe_once(actions);
        if let Event::RequestArrived {
            id, class, plan, ..
        } = &event
        {
            let known = class.0 < self.settings.classes.len() && plan.0 < self.settings.plans.len();
            if !known {
                actions.push(Action::Fail { id: id.clone() });
                return;
            }
        }
        self.on_event(now, event, actions);
        self.dispatch_queue(now, actions);
        if self.settings.retransmission_budget {
            self.charge_message_budget(now, &actions[first_new..]);
        }
        self.set_timer(now, actions);
    }

    fn on_event(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        match event {
            Event::EndpointsChanged { update, endpoints } => {
                let recent = self.recent_start_window();
                let rules = self.settings.slow_start;
                self.endpoints.apply(now, update, endpoints, &rules, recent);
                self.measure_capacity(now);
            }
            Event::EndpointsUnavailable => self.subscribe(actions),
            Event::RequestArrived {
                id,
                class,
                plan,
                customer,
                units,
                subset_first: first,
                subset_size: spread,
                timeout,
                complete,
            } => {
                let terms = RequestTerms {
                    class,
                    plan,
                    customer,
                    units,
                    timeout,
                    complete,
                };
                let subset = NodeSubset {
                    first,
                    size: spread.clamp(1, self.settings.node_count),
                };
                self.on_request(now, id, Request::new(now, terms), subset, actions);
            }
            Event::BodyComplete { id, timeout } => self.on_body_complete(now, id, timeout, actions),
            Event::ResponseStarted { id } => self.on_response_started(now, &id),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                request_closed,
            } => self.on_attempt_ended(now, (id, attempt), outcome, request_closed, actions),
            Event::RequestAbandoned { id } => self.forget_request(&id, actions),
            // A timer that was superseded by an earlier one.
            Event::TimerFired { .. } if now < self.timers.fires_at => {}
            Event::TimerFired { .. } => self.on_timer(now, actions),
            Event::PeerMessage { from, bytes } => self.on_peer_message(now, from, &bytes, actions),
            Event::SiblingMessage { link, message } => self.on_sibling_message(now, link, message),
            Event::SiblingsChanged {
                ended_link,
                share_attempts,
                peer_messages_delegated,
            } => self.on_siblings_changed(ended_link, share_attempts, peer_messages_delegated),
        }
    }

    fn subscribe_once(&mut self, actions: &mut Actions) {
        if !self.subscribed {
            self.subscribed = true;
            self.subscribe(actions);
        }
    }

    fn subscribe(&self, actions: &mut Actions) {
        if self.settings.discovery == DiscoveryMode::Subscribed {
            actions.push(Action::Subscribe);
        }
    }

    /// Sets the timer, where it has to fire sooner than it would.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let soonest = now + TIMER_INTERVAL;
        let mut next = self.timers.next_period_at;
        if !self.large_fleet {
            next = next.min(self.peers.next_report_at);
        }
        next = if self.requests.open.is_empty() {
            next.max(soonest)
        } else {
            soonest
        };
        next = next.min(self.slow_start.transfer_check_at.max(soonest));
        if next < self.timers.fires_at {
            self.timers.fires_at = next;
            actions.push(Action::SetTimer {
                after: next - now,
                token: 0,
            });
        }
    }

    /// Whether all peers are told of what is forwarded, so that a silent one is a sign of trouble. In large fleets the
    /// owners of the customers' quotas are asked instead.
    pub fn broadcasts(&self) -> bool {
        !self.large_fleet && self.settings.permissions.peer_messages
    }

    /// How many servers are on the endpoint list, and how many of these get nothing new at present, or health probes
    /// only for some class.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.endpoints.counts()
    }

    /// How many servers were examined since the start: what a period, a list update or a request costs, on any machine.
    pub fn servers_examined(&self) -> u64 {
        self.endpoints.examined()
    }

    /// What it has done since its start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// How many servers and customers are kept in memory.
    pub fn tracked(&self) -> usize {
        self.endpoints.len() + self.quotas.buckets.len() + self.quotas.shards.len()
    }

    pub(crate) fn uptime(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }

    pub(crate) fn plan_of(&self, customer: CustomerId) -> Option<&Plan> {
        let bucket = self.quotas.buckets.get(&customer)?;
        Some(&self.settings.plans[bucket.plan.0])
    }
}
