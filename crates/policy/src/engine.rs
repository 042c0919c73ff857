//! The policy engine: holds the state of all rules and routes each event to the rule that handles it.

use crate::concurrency_limit::FuzzyConcurrencyLimit;
use crate::counters::Counters;
use crate::endpoint_table::EndpointTable;
use crate::interface::{
    Action, AttemptNumber, ClassId, CustomerId, DiscoveryMode, Event, Micros, Plan, RequestId,
    Settings, SettingsError,
};
use crate::load_statistics::LoadStatistics;
use crate::request::{Request, RequestTable, RequestTerms};
use crate::retry_budget::RetryBudget;
use crate::shard_owners::NodeSubset;
use crate::state::{
    usage_report_interval, GrantState, PeerTable, QuotaTable, SlowStartState, Timers,
    ZoneReachability, TIMER_INTERVAL,
};

/// Output buffer to which handlers append actions.
pub(crate) type Actions = Vec<Action>;

/// Interval between a node's usage reports to all peers, µs, from which a fleet counts as large. Reports at this
/// interval or above are too infrequent to enforce quotas, so nodes request grants from the owners of the quotas
/// instead.
const LARGE_FLEET_REPORT_INTERVAL: f64 = 500_000.0;

/// Makes the decisions of one node. It performs no I/O and reads no clock.
#[derive(Clone, Debug)]
pub struct PolicyEngine {
    pub(crate) settings: Settings,
    pub(crate) random: fastrand::Rng,
    /// When this node started. A process that takes over from another one keeps the start time of the other.
    pub(crate) started_at: Micros,
    /// Whether the endpoint list has been subscribed to.
    pub(crate) subscribed: bool,
    /// Whether this node was restarted, inferred from peers that have been up for much longer.
    pub(crate) restarted: bool,
    /// Whether the fleet is too large for usage reports to all peers within each node's message rate. Owners then
    /// enforce the quotas, and statistics are gossiped. False if nodes may not send each other messages at all.
    pub(crate) large_fleet: bool,
    /// The shortest latency objective of all classes, µs.
    pub(crate) shortest_objective: f64,
    /// The class with the lowest priority weight, to which the concurrency limit applies.
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
    /// How long the event that is handled may have been ready before, µs.
    pub(crate) event_delay: Micros,
}

impl PolicyEngine {
    /// Creates an engine without endpoints, customers or requests. The same seed and events produce the same actions.
    ///
    /// # Errors
    /// Returns an error if the settings are invalid.
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
            event_delay: 0,
            settings,
        })
    }

    /// Processes one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        let first_new_action = actions.len();
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
            self.charge_message_budget(now, &actions[first_new_action..]);
        }
        self.set_timer(now, actions);
    }

    /// Sets how long the events that are handled from now on may have been ready before, µs: for so long the event loop
    /// was late, and what it waited for is no latency of a server.
    pub fn set_event_delay(&mut self, delay: Micros) {
        self.event_delay = delay;
    }

    /// Returns the time up to which this node has handled all that servers have sent.
    pub(crate) fn seen_until(&self, now: Micros) -> Micros {
        now.saturating_sub(self.event_delay)
    }

    /// Records that an attempt was held up by this node for `delay` µs before its request was written.
    pub fn attempt_delayed(&mut self, id: &RequestId, attempt: AttemptNumber, delay: Micros) {
        if let Some(request) = self.requests.open.get_mut(id) {
            request.queued_since = request.queued_since.saturating_add(delay);
        }
        if let Some(attempt) = self.requests.attempts.get_mut(&(id.clone(), attempt)) {
            attempt.queued_since = attempt.queued_since.saturating_add(delay);
            attempt.own_delay = attempt.own_delay.saturating_add(delay);
        }
    }

    fn on_event(&mut self, now: Micros, event: Event, actions: &mut Actions) {
        match event {
            Event::EndpointsChanged { update, endpoints } => {
                self.on_endpoints_changed(now, update, endpoints);
            }
            Event::EndpointsUnavailable => self.subscribe(actions),
            Event::RequestArrived {
                id,
                class,
                plan,
                customer,
                units,
                subset_first: first,
                subset_size,
                timeout,
                complete,
            } => {
                let subset = NodeSubset {
                    first,
                    size: subset_size.clamp(1, self.settings.node_count),
                };
                let terms = RequestTerms {
                    class,
                    plan,
                    customer,
                    subset,
                    units,
                    timeout,
                    complete,
                };
                self.on_request(now, id, Request::new(now, terms), actions);
            }
            Event::BodyComplete { id, timeout } => self.on_body_complete(now, id, timeout, actions),
            Event::BodyDeadlineChanged { id, timeout } => {
                self.on_body_deadline_changed(now, &id, timeout, actions);
            }
            Event::ResponseStarted { id } => self.on_response_started(now, &id),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                request_closed,
            } => self.on_attempt_ended(now, (id, attempt), outcome, request_closed, actions),
            Event::RequestAbandoned { id } => self.discard_request(&id, actions),
            // A timer that was superseded by one set for an earlier time, which has already fired.
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

    /// Sets the timer if it has to fire earlier than the one that is already set.
    fn set_timer(&mut self, now: Micros, actions: &mut Actions) {
        let earliest = now + TIMER_INTERVAL;
        let mut next = self.timers.next_period_at;
        if !self.large_fleet {
            next = next.min(self.peers.next_report_at);
        }
        next = if self.requests.open.is_empty() {
            next.max(earliest)
        } else {
            earliest
        };
        next = next.min(self.slow_start.transfer_check_at.max(earliest));
        if next < self.timers.fires_at {
            self.timers.fires_at = next;
            actions.push(Action::SetTimer {
                after: next - now,
                token: 0,
            });
        }
    }

    /// Whether this node broadcasts usage reports to all peers, in which case a peer that sends none is likely to be
    /// unreachable. In large fleets nodes request grants from the owners of the quotas instead.
    pub fn broadcasts_usage_reports(&self) -> bool {
        !self.large_fleet && self.settings.permissions.peer_messages
    }

    /// Returns the number of servers on the endpoint list, and how many of these currently receive no new attempts, or
    /// only health probes for at least one class.
    pub fn endpoint_counts(&self) -> (usize, usize) {
        self.endpoints.counts()
    }

    /// Number of server entries examined since the start: a measure of the work per controller period, list update or
    /// request that does not depend on the machine.
    pub fn servers_examined(&self) -> u64 {
        self.endpoints.examined()
    }

    /// Counters since the engine's start.
    pub fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Number of servers, token buckets and quota shards kept in memory.
    pub fn tracked_entries(&self) -> usize {
        self.endpoints.len() + self.quotas.buckets.len() + self.quotas.shards.len()
    }

    /// Time since this node started, µs.
    pub(crate) fn uptime(&self, now: Micros) -> Micros {
        now.saturating_sub(self.started_at)
    }

    /// The plan recorded in the customer's token bucket; `None` if the customer has no bucket at this node.
    pub(crate) fn plan_of(&self, customer: CustomerId) -> Option<&Plan> {
        let bucket = self.quotas.buckets.get(&customer)?;
        Some(&self.settings.plans[bucket.plan.0])
    }
}
