//! Slow start: what may be sent to servers that have started recently, and what is rejected meanwhile.
//!
//! The rule, in one sentence: over all nodes together, a server that warms up is sent no more than a part of what makes it
//! fail. While warm servers show what one can do, or did before all of them were replaced, each node earns attempts by
//! that (`earn_slow_start_credit`). A node that has seen hardly any warm server, as when the whole back end starts, is
//! *uninformed* and goes by permits (`saffronpaddle_slow_start`).
//!
//! Inputs: start times of servers in µs, responses per second, results of attempts. Results: whether a server may be sent
//! one more; attempts that are given up because they could not be sent in time.

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

/// Attempts per second of all nodes to one server, while no warm server shows that it can take more.
const UNINFORMED_ATTEMPTS_PER_S: f64 = 1.5;
/// Attempts that a node may save up for one server.
const MAX_SAVED_CREDIT: f64 = 1.5;
/// Nodes for which it is safe that each keeps all that it has saved.
const NODES_KEEPING_ALL: f64 = 6.0;
/// Share of what is saved that more nodes keep for the next period: few requests come by.
const MIN_KEPT_SHARE: f64 = 0.5;
/// Part of the overload multiple that is used.
const SAFE_SHARE: f64 = 0.4;
/// Share of the ready servers that must be warm for their responses to tell what a server can do. All responses are
/// divided by the warm ones alone, so twice what one does is the most that is believed of it.
const MIN_WARM_SHARE: f64 = 0.5;
/// Multiple of what a warm server did before, up to which a few warm ones are believed to do.
const MAX_BELIEVED_RATE: f64 = 2.5;
/// Multiple of the warm-up period after a server's start in which it is sent only what permits allow while requests keep
/// queueing.
const PRESSED_PERIODS: u64 = 4;
/// Seconds that requests may wait for servers in slow start: half of the time that clients have.
const MAX_USEFUL_WAIT_S: f64 = 1.5;
/// Requests that may wait in any case.
const MIN_QUEUED: f64 = 2.0;
/// Longest time after which a client is told to retry while servers are in slow start, µs.
const MAX_SLOW_START_RETRY_AFTER: f64 = 2e6;
/// Weight of a period in the rate of attempts to servers in slow start.
const RATE_WEIGHT: f64 = 0.5;
/// Time between two permits that are transferred: each is a message, and peers take in only so many.
const TRANSFER_INTERVAL: Micros = 100 * MILLISECOND;
/// Lowest rate by which a queue is divided, attempts per second.
const MIN_RATE: f64 = 1e-3;

/// The limits of slow start at one server. Time slots are those of the nodes that surely use it: slots of nodes that never
/// use a server of a long list would leave it without any attempt.
fn limits(settings: &Settings, up_since: Micros, group: SlowStartGroup) -> SlowStartLimits {
    SlowStartLimits {
        node_count: group.size,
        node: group.rank,
        up_since,
        overload_multiple: settings.slow_start.overload_multiple,
        overload_window: settings.slow_start.overload_window,
    }
}

impl Server {
    /// An attempt goes to it while it warms up: a permit is used, or credit.
    pub(crate) fn spend_slow_start(
        &mut self,
        limits: &SlowStartLimits,
        uninformed: bool,
        now: Micros,
    ) {
        let number = self.endpoint.server.0;
        if !uninformed || !self.budget_mut().consume(now, number, limits) {
            self.slow_start_credit -= 1.0;
        }
    }
}

impl PolicyEngine {
    /// The limits of slow start at a server.
    pub(crate) fn slow_start_limits(&self, server: ServerId) -> SlowStartLimits {
        let group = self.endpoints.slow_start_group(server);
        limits(&self.settings, self.started_at, group)
    }

    /// For how long after its start a server counts as recently started, µs.
    pub(crate) fn recent_start_window(&self) -> Micros {
        let period = self.settings.slow_start.warm_up_period.max(1);
        period.saturating_mul(PRESSED_PERIODS)
    }

    /// Whether a server is sent only what is known to be safe: it warms up, or is warm and was not yet seen to serve all
    /// that is queued. A fleet whose servers become warm at one moment would else send all that has queued then.
    pub(crate) fn is_warming_up(&self, server: &Server, now: Micros) -> bool {
        let rules = &self.settings.slow_start;
        let window = PRESSED_PERIODS * rules.warm_up_period;
        let recently = |started: Micros| now < started + window;
        server.capacity_fraction(rules, now) < 1.0
            || self.slow_start.uninformed && server.endpoint.started_at.is_some_and(recently)
    }

    /// Whether a server that warms up may be sent one more attempt from here.
    pub(crate) fn may_warm_up(&self, server: &Server, now: Micros) -> bool {
        if !self.slow_start.uninformed {
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

    /// How many ready servers in the subset are warm.
    fn warm_servers(&self, now: Micros) -> f64 {
        let rules = &self.settings.slow_start;
        let warming = self
            .recently_started_servers()
            .filter(|server| server.capacity_fraction(rules, now) < 1.0);
        self.endpoints.ready().in_subset - warming.count() as f64
    }

    /// Responses per second of one warm server to this node, where so many are warm now. Responses of the last seconds
    /// must not be divided by the few that are left of those that gave them, or servers in slow start are overloaded.
    fn responses_per_warm_server(&self, warm: f64) -> f64 {
        let responding = self.slow_start.mean_warm_servers.value().max(warm);
        self.load.service_rate.value() / responding
    }

    /// Counts the warm servers that gave the responses of a period.
    pub(crate) fn count_warm_servers(&mut self, now: Micros, weight: f64) {
        let warm = self.warm_servers(now);
        self.slow_start.mean_warm_servers.add(warm, weight);
    }

    /// Determines whether warm servers show enough.
    pub(crate) fn update_slow_start_mode(&mut self, now: Micros) {
        let warm = self.warm_servers(now);
        let any_warming = self
            .recently_started_servers()
            .any(|server| self.is_warming_up(server, now));
        let ready = self.endpoints.ready().in_subset;
        let few_warm = ready > 0.0 && warm < MIN_WARM_SHARE * ready;
        if !few_warm && ready != 0.0 {
            self.slow_start.responses_per_server = self.responses_per_warm_server(warm);
        }
        // A node in service, all of whose servers are replaced, still knows what such servers can do.
        let least = UNINFORMED_ATTEMPTS_PER_S / self.endpoints.nodes_per_server();
        let informed = self.slow_start.responses_per_server > least;
        // Once they are warm, it ends with the first look at which nothing is queued.
        let still_pressed =
            self.slow_start.uninformed && any_warming && !self.requests.queue.is_empty();
        self.slow_start.uninformed = few_warm && !informed || still_pressed;
    }

    /// Learns from the end of an attempt at a server that warms up.
    pub(crate) fn record_slow_start_result(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
    ) {
        if !self.slow_start.uninformed {
            return;
        }
        let limits = self.slow_start_limits(attempt.server);
        let Some(mut server) = self.endpoints.edit(attempt.server) else {
            return;
        };
        let rules = &self.settings.slow_start;
        let capacity_fraction = server.capacity_fraction(rules, attempt.sent_at);
        // What was sent to an earlier incarnation proves nothing of this one.
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

    /// A permit that another node could not use.
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

    /// Rejects what cannot be sent in time, and transfers permits that nobody here can use.
    pub(crate) fn slow_start_on_timer(&mut self, now: Micros, actions: &mut Actions) {
        self.slow_start.transfer_check_at = Micros::MAX;
        if !self.slow_start.uninformed {
            return;
        }
        self.reject_excess(now, actions);
        let has_peers = self.settings.permissions.peer_messages && self.settings.node_count >= 2;
        if self.requests.queue.is_empty() && has_peers {
            self.transfer_unused_permits(now, actions);
        }
    }

    /// Rejects the least valuable of what is queued beyond what can be sent in time. A queue in which all requests fail
    /// at the end of their time serves nobody; rejecting most at once serves the rest.
    fn reject_excess(&mut self, now: Micros, actions: &mut Actions) {
        let most = (MIN_QUEUED + self.slow_start.attempts_per_s * MAX_USEFUL_WAIT_S) as usize;
        if self.requests.queue.len() <= most {
            return;
        }
        let excess: Vec<RequestId> = self
            .queue_by_value(now)
            .into_iter()
            .skip(most)
            .map(|(_, id)| id)
            .collect();
        for id in excess {
            self.finish(&id, Counter::RejectedBySlowStart, actions);
        }
    }

    /// Transfers one permit that was not used here to a random node of the server's group.
    fn transfer_unused_permits(&mut self, now: Micros, actions: &mut Actions) {
        let due = now >= self.slow_start.next_transfer_at;
        let settings = &self.settings;
        let up_since = self.started_at;
        let mut transfer = None;
        let mut holds_permits = false;
        self.endpoints.for_each_with_permits(|subset, server| {
            let id = server.endpoint.server;
            let budget = server.budget_mut();
            if transfer.is_none() && due {
                let limits = limits(settings, up_since, subset.slow_start_group(id.0));
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

    /// When a rejected client should retry while servers are in slow start: once what is queued here will have gone.
    pub(crate) fn slow_start_retry_after(&self) -> Option<Micros> {
        if !self.slow_start.uninformed {
            return None;
        }
        let queued = self.requests.queue.len() as f64 + 1.0;
        let after = queued / self.slow_start.attempts_per_s.max(MIN_RATE) * 1e6;
        Some(after.clamp(MAX_RETRY_AFTER as f64, MAX_SLOW_START_RETRY_AFTER) as Micros)
    }

    /// Lets each server in slow start earn attempts from here: a share of what a warm one does. What is below one a
    /// period is a chance, and many nodes save nothing up, so that all of them together stay below the share.
    pub(crate) fn earn_slow_start_credit(&mut self, now: Micros) {
        let rate = self.slow_start.attempts / CONTROLLER_PERIOD_S;
        self.slow_start.attempts_per_s += (rate - self.slow_start.attempts_per_s) * RATE_WEIGHT;
        self.slow_start.attempts = 0.0;
        let rules = self.settings.slow_start;
        let nodes = self.endpoints.nodes_per_server();
        let earned_per_period = self.credit_per_period(now, nodes);
        let kept_share = (NODES_KEEPING_ALL / nodes).clamp(MIN_KEPT_SHARE, 1.0);
        let random = &mut self.random;
        self.endpoints.for_each_recently_started(|server| {
            let fraction = server.capacity_fraction(&rules, now);
            if fraction >= 1.0 {
                return;
            }
            let earned = earned_per_period * fraction + random.f64();
            let whole = earned.floor();
            let saved = server.slow_start_credit.max(0.0) * kept_share;
            // Few nodes keep all that they have saved, and parts of an attempt too.
            let credit = if kept_share < 1.0 {
                (earned + saved).floor()
            } else {
                whole + saved
            };
            server.slow_start_credit = credit.min(whole.max(MAX_SAVED_CREDIT));
        });
    }

    /// What a server at full capacity earns in a period. Where no server is warm, what one did counts; a few that have
    /// just become warm are not taken for the ones that do what all do together.
    fn credit_per_period(&self, now: Micros, nodes: f64) -> f64 {
        let warm = self.warm_servers(now);
        let before = self.slow_start.responses_per_server;
        let responses = if warm > 0.0 {
            self.responses_per_warm_server(warm)
        } else {
            before
        };
        let overload_multiple = self.settings.slow_start.overload_multiple;
        let known = responses.min(before * MAX_BELIEVED_RATE) * SAFE_SHARE * overload_multiple;
        known.max(UNINFORMED_ATTEMPTS_PER_S / nodes) * CONTROLLER_PERIOD_S
    }
}
