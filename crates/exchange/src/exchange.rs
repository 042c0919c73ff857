//! The state machine: its tables, and the dispatch of each event to the module that handles it.
//!
//! Conditions on `self.bugs.planted(...)` are for the model checker, which plants one fault at a time to show that it would be
//! found. In service nothing is planted ([`NoBugs`]), and each of them is false.

mod attempt_end;
mod bodies;
mod dispatch;
mod eligibility;
mod endpoints;
mod first_byte;
mod inspection;
mod pool;
mod requests;
mod responses;
mod statistics;
mod timers;

use crate::number_map::NumberMap;
use crate::tables::{Alarms, Connection, ReadyServer, RequestState};
use crate::{
    Bug, Bugs, Command, ConnectionId, Denial, Event, FinalAnswer, Limits, NoBugs, Policy, Ticket,
    Violations,
};
use saffronpaddle_admin::RequestCounters;
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, Event as PolicyEvent, Micros, Outcome, RequestId, ServerId,
};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

/// Requests, attempts and connections of one node. See the [crate's](crate) overview.
#[derive(Clone)]
pub struct Exchange<A, M, B = NoBugs> {
    limits: Limits,
    policy: M,
    bugs: B,
    requests: HashMap<RequestId, RequestState>,
    connections: NumberMap<ConnectionId, Connection<A>>,
    servers: NumberMap<ServerId, ReadyServer<A>>,
    alarms: Alarms,
    /// Idle connections in the order in which they became idle.
    idle: BTreeSet<(Micros, ConnectionId)>,
    stopped: bool,
    /// All requests are answered by then, as the process ends; [`Micros::MAX`] until a shutdown is announced.
    shutdown_deadline: Micros,
    last_connection: u64,
    next_ticket: u64,
    /// A request whose last piece of body is held back until the policy has handled its completion.
    unreleased_body: Option<RequestId>,
    /// How requests have ended. No decision depends on it.
    counters: RequestCounters,
    /// Steps that the guard denied, by reason.
    denials: HashMap<Denial, u64>,
    violations: Violations,
    /// Events that the policy has not handled yet.
    pending_events: VecDeque<PolicyEvent>,
}

/// Commands, in the order in which they are to be carried out.
type Commands<A> = Vec<Command<A>>;

impl<A: Copy + Eq + Hash, M: Policy> Exchange<A, M> {
    /// An empty exchange.
    pub fn new(limits: Limits, policy: M) -> Self {
        Exchange::with_bugs(limits, policy, NoBugs)
    }
}

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// An empty exchange with planted faults, for the model checker.
    pub fn with_bugs(limits: Limits, policy: M, bugs: B) -> Self {
        Exchange {
            limits,
            policy,
            bugs,
            requests: HashMap::new(),
            connections: NumberMap::default(),
            servers: NumberMap::default(),
            alarms: Alarms::new(),
            idle: BTreeSet::new(),
            stopped: false,
            shutdown_deadline: Micros::MAX,
            last_connection: 0,
            next_ticket: 0,
            unreleased_body: None,
            counters: RequestCounters::default(),
            denials: HashMap::new(),
            violations: Violations::default(),
            pending_events: VecDeque::new(),
        }
    }

    /// The policy.
    pub fn policy(&self) -> &M {
        &self.policy
    }

    /// The policy, for the model checker.
    pub fn policy_mut(&mut self) -> &mut M {
        &mut self.policy
    }

    /// Whether a request's id is in use: it has no answer yet, or its attempt is still outstanding.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id)
    }

    /// The ticket of the request that is received next.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket)
    }

    /// Another limit of connections from now on. Connections beyond it are closed when they are idle and their slot is
    /// needed.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.limits.max_connections = max_connections;
    }

    /// When [`Event::TimerFired`] is due next, µs.
    pub fn next_alarm(&self) -> Option<Micros> {
        let request = self.alarms.first().map(|(at, _)| *at);
        let idle = self
            .idle
            .first()
            .map(|(since, _)| since.saturating_add(self.limits.idle_for));
        request.into_iter().chain(idle).min()
    }

    /// Handles an event at `now` (µs) and appends the commands to carry out.
    pub fn handle(&mut self, now: Micros, event: Event<A>, commands: &mut Commands<A>) {
        // A late event loop may deliver a response after its request's deadline. The deadline passed first, so the
        // request fails first.
        self.answer_overdue(now, commands);
        self.handle_event(now, event, commands);
        self.run_policy(now, commands);
    }

    /// Carries out one action as if the policy had asked for it, for the model checker.
    pub fn act(&mut self, now: Micros, action: Action, commands: &mut Commands<A>) {
        self.answer_overdue(now, commands);
        self.apply_action(now, action, commands);
        self.run_policy(now, commands);
    }

    fn handle_event(&mut self, now: Micros, event: Event<A>, commands: &mut Commands<A>) {
        match event {
            Event::RequestReceived {
                idempotency: effect,
                deadline,
                policy_event,
            } => self.request_received(now, effect, deadline, policy_event, commands),
            Event::ClientGone { id, ticket } => self.client_gone(&id, ticket),
            Event::Connected { connection } => self.connected(now, connection, commands),
            Event::ConnectFailed {
                connection,
                local_shortage,
            } => self.connect_failed(connection, local_shortage),
            Event::FirstByteReady { connection, quiet } => {
                self.first_byte_ready(now, connection, quiet, commands);
            }
            Event::ResponseComplete {
                connection,
                outcome,
            } => self.response_complete(now, connection, outcome, commands),
            Event::ResponseStreaming { connection } => {
                self.response_streaming(now, connection, commands);
            }
            Event::ResponseAbandoned { connection } => {
                self.response_abandoned(connection, commands);
            }
            Event::BodyComplete {
                id,
                ticket,
                deadline,
            } => self.body_complete(now, &id, ticket, deadline),
            Event::Upgraded { connection } => self.upgraded(now, connection, commands),
            Event::ConnectionLost { connection } => self.connection_lost(now, connection, commands),
            Event::ClosedByPeer { connection } => self.closed_by_peer(connection, commands),
            Event::Closed { connection } => self.closed(now, connection, commands),
            Event::EndpointsChanged {
                snapshot,
                endpoints,
            } => self.endpoints_changed(snapshot, endpoints, commands),
            Event::ShutdownAnnounced { answer_by } => self.shutdown_announced(answer_by),
            Event::Drain => self.stop(commands),
            Event::TimerFired => self.timer_fired(now, commands),
            Event::PolicyEvent(event) => self.pending_events.push_back(event),
        }
    }

    /// Lets the policy handle all pending events. Its actions may add events: these are queued, so that the policy is
    /// never entered twice and its actions are carried out in their order.
    fn run_policy(&mut self, now: Micros, commands: &mut Commands<A>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.policy.handle(now, event, &mut actions);
            actions
                .drain(..)
                .for_each(|action| self.apply_action(now, action, commands));
        }
        self.release_body(commands);
    }

    fn apply_action(&mut self, now: Micros, action: Action, commands: &mut Commands<A>) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
            } => self.dispatch(now, &id, server, timeout, commands),
            Action::Reject { id, retry_after } => {
                let answer = self.checked_rejection(&id, retry_after);
                self.answer(now, &id, answer, commands);
            }
            Action::Fail { id } => self.answer(now, &id, FinalAnswer::Failed, commands),
            Action::Cancel { id, attempt } => self.cancel(&id, attempt, commands),
            other => commands.push(Command::PolicyAction(other)),
        }
    }

    /// The answer to a request that the policy rejects: a failure where a rejection would promise too much.
    fn checked_rejection(&self, id: &RequestId, retry_after: Option<Micros>) -> FinalAnswer {
        let allowed = self
            .requests
            .get(id)
            .is_some_and(RequestState::rejection_allowed);
        if allowed || self.bugs.planted(Bug::RefusalAfterRun) {
            FinalAnswer::Rejected(retry_after)
        } else {
            FinalAnswer::Failed
        }
    }

    /// Cancels an attempt, unless its response streams: the client has a part of that response already.
    fn cancel(&mut self, id: &RequestId, attempt: AttemptNumber, commands: &mut Commands<A>) {
        let Some(request) = self.requests.get(id) else {
            return;
        };
        let streaming = request.streaming && !self.bugs.planted(Bug::PassingCalledOff);
        let outstanding = request
            .outstanding
            .as_ref()
            .is_some_and(|outstanding| AttemptNumber(outstanding.number) == attempt);
        if outstanding && !streaming {
            self.abort_attempt(id, Outcome::Cancelled, commands);
        }
    }
}
