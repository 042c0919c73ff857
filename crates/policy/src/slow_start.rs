//! Slow start: limits on the attempts to servers that have started recently, and rejection of requests that cannot be
//! sent within them.
//!
//! All nodes together send a server that warms up only a part of the load at which it fails. While warm servers show
//! the throughput of one server, or showed it before all of them were replaced, each node earns credit for attempts in
//! proportion to that throughput (`earn_slow_start_credit`). A node that has seen hardly any warm server, as when the
//! entire back end starts, lacks a throughput baseline and uses permits instead (`saffronpaddle_slow_start`).
//!
//! Inputs: start times of servers in µs, responses per second, results of attempts. Results: whether a server may be
//! sent one more attempt; requests that are rejected because they could not be sent in time.

use crate::counters::Counter;
use crate::endpoint_table::short_server_id;
use crate::engine::{Actions, PolicyEngine};
use crate::interface::{
    Action, Micros, NodeId, Outcome, RequestId, ServerId, Settings, MILLISECOND,
};
use crate::peer_message::{encode, PeerMessage};
use crate::request::Attempt;
use crate::server::Server;
use crate::state::{CONTROLLER_PERIOD_S, MAX_RETRY_AFTER};
use saffronpaddle_slow_start::{
    AttemptResult, SlowStartLimits, TransferredPermit, IDLE_BEFORE_TRANSFER,
};
use saffronpaddle_subsetting::SlowStartGroup;

/// Attempts per second that all nodes together send to one server at full capacity, unless warm servers have shown that
/// it can take more.
const ATTEMPTS_PER_S_WITHOUT_BASELINE: f64 = 1.5;
/// Credit, in attempts, that a node may save for one server.
const MAX_SAVED_CREDIT: f64 = 1.5;
/// Number of nodes per server up to which each node may keep all of its saved credit.
const NODES_KEEPING_ALL_CREDIT: f64 = 6.0;
/// Minimum share of its saved credit that a node keeps for the next period. It applies where many nodes use the server,
/// as each of them then receives few requests.
const MIN_KEPT_SHARE: f64 = 0.5;
/// Share of the overload multiple up to which a server in slow start is loaded.
const SAFE_SHARE: f64 = 0.4;
/// Share of the ready servers that must be warm for responses to show the throughput of one server. All responses are
/// divided by the number of warm servers alone, so at this share the estimate is at most twice the actual throughput.
const MIN_WARM_SHARE: f64 = 0.5;
/// Limit on the estimated throughput of a warm server, as a multiple of its throughput before the servers were
/// replaced.
const MAX_RATE_RATIO: f64 = 2.5;
/// Time for which a server counts as recently started, as a multiple of the warm-up period. For that time it is sent
/// only what permits allow while requests keep queueing.
const RECENT_START_PERIODS: u64 = 4;
/// Seconds that requests may wait for servers in slow start: half of the time that clients wait.
const MAX_USEFUL_WAIT_S: f64 = 1.5;
/// Number of queued requests up to which none is rejected, even if no attempts are sent to servers in slow start.
const MIN_QUEUED: f64 = 2.0;
/// Longest time after which a client is asked to retry while servers are in slow start, µs.
const MAX_SLOW_START_RETRY_AFTER: f64 = 2e6;
/// Weight of the latest period in the mean rate of attempts to servers in slow start.
const RATE_WEIGHT: f64 = 0.5;
/// Interval between two permit transfers. Each is a message, and the rate of messages that peers receive is limited.
const TRANSFER_INTERVAL: Micros = 100 * MILLISECOND;
/// Lower bound of the rate by which the queue length is divided, attempts per second.
const MIN_RATE: f64 = 1e-3;

/// The limits of slow start at one server. Time slots belong to the nodes that certainly use it: slots of nodes that
/// never use a server of a long list would leave the server without attempts.
fn limits(
    settings: &Settings,
    process_started_at: Micros,
    group: SlowStartGroup,
) -> SlowStartLimits {
    SlowStartLimits {
        node_count: group.size,
        node: group.rank,
        process_started_at,
        overload_multiple: settings.slow_start.overload_multiple,
        overload_window: settings.slow_start.overload_window,
    }
}

impl Server {
    /// Charges an attempt to the server while it warms up: uses a permit if this node lacks a throughput baseline and
    /// has a permit, otherwise credit.
    pub(crate) fn charge_slow_start(
        &mut self,
        limits: &SlowStartLimits,
        lacks_throughput_baseline: bool,
        now: Micros,
    ) {
        let number = self.endpoint.server.0;
        if !lacks_throughput_baseline || !self.budget_mut().take_permit(now, number, limits) {
            self.slow_start_credit -= 1.0;
        }
    }
}

impl PolicyEngine {
    /// Returns the limits of slow start that apply to this node at a server.
    pub(crate) fn slow_start_limits(&self, server: ServerId) -> SlowStartLimits {
        let group = self.endpoints.slow_start_group(server);
        limits(&self.settings, self.started_at, group)
    }

    /// How long after its start a server counts as recently started, µs.
    pub(crate) fn recent_start_window(&self) -> Micros {
        let period = self.settings.slow_start.warm_up_period.max(1);
        period.saturating_mul(RECENT_START_PERIODS)
    }

    /// Whether a server is limited by slow start: it warms up, or it started recently and this node still lacks a
    /// throughput baseline. Without the second condition, servers that all become warm at the same time would be sent
    /// the entire queue at once.
    pub(crate) fn is_limited_by_slow_start(&self, server: &Server, now: Micros) -> bool {
        let rules = &self.settings.slow_start;
        let window = RECENT_START_PERIODS * rules.warm_up_period;
        let recently = |started: Micros| now < started + window;
        server.capacity_fraction(rules, now) < 1.0
            || self.slow_start.lacks_throughput_baseline
                && server.endpoint.started_at.is_some_and(recently)
    }

    /// Whether this node may send one more attempt to a server that warms up.
    pub(crate) fn may_send_in_slow_start(&self, server: &Server, now: Micros) -> bool {
        if !self.slow_start.lacks_throughput_baseline {
            return server.slow_start_credit >= 1.0;
        }
        let id = server.endpoint.server;
        let limits = self.slow_start_limits(id);
        match &server.slow_start_budget {
            Some(budget) => budget.has_permit(now, id.0, &limits),
            None => server.current_budget().has_permit(now, id.0, &limits),
        }
    }

    /// Ready servers in the subset that started recently.
    pub(crate) fn recently_started_servers(&self) -> impl Iterator<Item = &Server> {
        self.endpoints
            .recently_started()
            .filter(|server| server.is_ready())
    }

    /// Number of warm servers among the ready ones in the subset.
    fn warm_servers(&self, now: Micros) -> f64 {
        let rules = &self.settings.slow_start;
        let warming = self
            .recently_started_servers()
            .filter(|server| server.capacity_fraction(rules, now) < 1.0);
        self.endpoints.ready().in_subset - warming.count() as f64
    }

    /// Estimates the responses per second of one warm server to this node, where `warm` servers are warm now. When most
    /// servers have been removed, dividing the responses of the last seconds by the remaining ones would overestimate
    /// each and overload servers in slow start. So the divisor is at least the mean number of warm servers.
    fn responses_per_warm_server(&self, warm: f64) -> f64 {
        let responding = self.slow_start.mean_warm_servers.value().max(warm);
        self.load.service_rate.value() / responding
    }

    /// Updates the mean number of warm servers, with the weight that the period's responses have in the response rate.
    pub(crate) fn count_warm_servers(&mut self, now: Micros, weight: f64) {
        let warm = self.warm_servers(now);
        self.slow_start.mean_warm_servers.add(warm, weight);
    }

    /// Determines whether this node lacks a throughput baseline: too few servers are warm, and none has shown its
    /// throughput before.
    pub(crate) fn update_slow_start_mode(&mut self, now: Micros) {
        let warm = self.warm_servers(now);
        let any_warming = self
            .recently_started_servers()
            .any(|server| self.is_limited_by_slow_start(server, now));
        let ready = self.endpoints.ready().in_subset;
        let few_warm = ready > 0.0 && warm < MIN_WARM_SHARE * ready;
        if !few_warm && ready != 0.0 {
            self.slow_start.responses_per_server = self.responses_per_warm_server(warm);
        }
        // A node that has been serving still knows the throughput of such servers after all of them are replaced.
        let rate_without_baseline =
            ATTEMPTS_PER_S_WITHOUT_BASELINE / self.endpoints.nodes_per_server();
        let has_baseline = self.slow_start.responses_per_server > rate_without_baseline;
        // After the servers have become warm, the mode ends at the first check that finds an empty queue.
        let has_backlog = self.slow_start.lacks_throughput_baseline
            && any_warming
            && !self.requests.queue.is_empty();
        self.slow_start.lacks_throughput_baseline = few_warm && !has_baseline || has_backlog;
    }

    /// Records the result of an attempt at a server in slow start, from which the server's budget earns permits.
    pub(crate) fn record_slow_start_result(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        if !self.slow_start.lacks_throughput_baseline {
            return;
        }
        let limits = self.slow_start_limits(attempt.server);
        let Some(mut server) = self.endpoints.edit(attempt.server) else {
            return;
        };
        let rules = &self.settings.slow_start;
        let capacity_fraction = server.capacity_fraction(rules, attempt.sent_at);
        // An attempt at an earlier incarnation of the server is no evidence about this one.
        let started_at = server.endpoint.started_at;
        if started_at.is_none_or(|started| attempt.sent_at < started) {
            return;
        }
        let class = &self.settings.classes[attempt.class.0];
        let result = AttemptResult {
            served: outcome == Outcome::Ok,
            latency: now.saturating_sub(attempt.sent_at),
            latency_objective: class.latency_objective,
            capacity_fraction,
            random_fraction: self.random.f64(),
        };
        let baseline = &mut self.slow_start.baseline;
        server
            .budget_mut()
            .record_result(now, attempt.class.0, result, baseline, &limits);
        self.slow_start.schedule_transfer_check(now);
    }

    /// Receives a permit that another node did not use.
    pub(crate) fn on_permit_transfer(
        &mut self,
        now: Micros,
        from: NodeId,
        short_server_id: u16,
        permit: TransferredPermit,
    ) {
        let Some(id) = self.endpoints.by_short_id(short_server_id) else {
            return;
        };
        let limits = self.slow_start_limits(id);
        let Some(mut server) = self.endpoints.edit(id) else {
            return;
        };
        if server
            .budget_mut()
            .receive_transfer(now, from.0, permit, &limits)
        {
            self.counters.add(Counter::PermitsReceived);
            self.slow_start.schedule_transfer_check(now);
        }
    }

    /// Rejects queued requests that cannot be sent in time, and transfers permits that this node does not need.
    pub(crate) fn slow_start_on_timer(&mut self, now: Micros, actions: &mut Actions) {
        self.slow_start.transfer_check_at = Micros::MAX;
        if !self.slow_start.lacks_throughput_baseline {
            return;
        }
        self.reject_excess(now, actions);
        let has_peers = self.settings.permissions.peer_messages && self.settings.node_count >= 2;
        if self.requests.queue.is_empty() && has_peers {
            self.transfer_unused_permits(now, actions);
        }
    }

    /// Rejects the least valuable queued requests beyond the number that can be sent in time. In a queue that is too
    /// long all requests would time out; rejecting most of them at once lets the rest be served.
    fn reject_excess(&mut self, now: Micros, actions: &mut Actions) {
        let max_queued = (MIN_QUEUED + self.slow_start.attempts_per_s * MAX_USEFUL_WAIT_S) as usize;
        if self.requests.queue.len() <= max_queued {
            return;
        }
        let excess: Vec<RequestId> = self
            .queue_by_value(now)
            .into_iter()
            .skip(max_queued)
            .map(|(_, id)| id)
            .collect();
        for id in excess {
            self.finish(&id, Counter::RejectedBySlowStart, actions);
        }
    }

    /// Transfers one unused permit to a random other node of the server's slow-start group, and schedules the next
    /// check while there are permits.
    fn transfer_unused_permits(&mut self, now: Micros, actions: &mut Actions) {
        let due = now >= self.slow_start.next_transfer_at;
        let settings = &self.settings;
        let process_started_at = self.started_at;
        let mut transfer = None;
        let mut holds_permits = false;
        self.endpoints.for_each_with_permits(|subset, server| {
            let id = server.endpoint.server;
            let budget = server.budget_mut();
            if transfer.is_none() && due {
                let limits = limits(settings, process_started_at, subset.slow_start_group(id.0));
                let permit = budget.transfer_unused(now, id.0, &limits);
                transfer = permit.map(|permit| (id, permit));
            }
            holds_permits |= budget.earned_permits(now) > 0;
        });
        if holds_permits {
            self.slow_start.transfer_check_at = now.saturating_add(IDLE_BEFORE_TRANSFER);
        }
        let Some((server, permit)) = transfer else {
            return;
        };
        self.slow_start.next_transfer_at = now.saturating_add(TRANSFER_INTERVAL);
        let group = self.endpoints.slow_start_group(server);
        let other = group.rank % group.size + self.random.u32(1..group.size);
        let to = self.endpoints.slow_start_member(server, other);
        self.counters.add(Counter::PermitsTransferred);
        let message = PeerMessage::PermitTransfer {
            short_server_id: short_server_id(server),
            permit,
        };
        actions.push(Action::SendToPeer {
            to,
            bytes: encode(&message),
        });
    }

    /// When a rejected client should retry, µs from now: after the time in which the queue is sent. `None` unless this
    /// node lacks a throughput baseline.
    pub(crate) fn slow_start_retry_after(&self) -> Option<Micros> {
        if !self.slow_start.lacks_throughput_baseline {
            return None;
        }
        let queued = self.requests.queue.len() as f64 + 1.0;
        let after = queued / self.slow_start.attempts_per_s.max(MIN_RATE) * 1e6;
        Some(after.clamp(MAX_RETRY_AFTER as f64, MAX_SLOW_START_RETRY_AFTER) as Micros)
    }

    /// Adds a period's credit to each server in slow start: a share of the throughput of a warm one. A fraction of an
    /// attempt is rounded up at random with that probability. Where many nodes use a server, none saves fractions, so
    /// that all of them together stay within the share.
    pub(crate) fn earn_slow_start_credit(&mut self, now: Micros) {
        let rate = self.slow_start.attempts / CONTROLLER_PERIOD_S;
        self.slow_start.attempts_per_s += (rate - self.slow_start.attempts_per_s) * RATE_WEIGHT;
        self.slow_start.attempts = 0.0;
        let rules = self.settings.slow_start;
        let nodes = self.endpoints.nodes_per_server();
        let earned_per_period = self.credit_per_period(now, nodes);
        let kept_share = (NODES_KEEPING_ALL_CREDIT / nodes).clamp(MIN_KEPT_SHARE, 1.0);
        let random = &mut self.random;
        self.endpoints.for_each_recently_started(|server| {
            let fraction = server.capacity_fraction(&rules, now);
            if fraction >= 1.0 {
                return;
            }
            let earned = earned_per_period * fraction + random.f64();
            let whole = earned.floor();
            let saved = server.slow_start_credit.max(0.0) * kept_share;
            // Where few nodes use the server, each keeps all of its saved credit, fractions included.
            let credit = if kept_share < 1.0 {
                (earned + saved).floor()
            } else {
                whole + saved
            };
            server.slow_start_credit = credit.min(whole.max(MAX_SAVED_CREDIT));
        });
    }

    /// Credit that a server at full capacity earns in a period. Where no server is warm, the last known throughput is
    /// used. That throughput also bounds the estimate, because a few servers that have just become warm would otherwise
    /// be credited with the responses of all servers.
    fn credit_per_period(&self, now: Micros, nodes: f64) -> f64 {
        let warm = self.warm_servers(now);
        let before = self.slow_start.responses_per_server;
        let responses = if warm > 0.0 {
            self.responses_per_warm_server(warm)
        } else {
            before
        };
        let overload_multiple = self.settings.slow_start.overload_multiple;
        let safe_rate = responses.min(before * MAX_RATE_RATIO) * SAFE_SHARE * overload_multiple;
        safe_rate.max(ATTEMPTS_PER_S_WITHOUT_BASELINE / nodes) * CONTROLLER_PERIOD_S
    }
}
