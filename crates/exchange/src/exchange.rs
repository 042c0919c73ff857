//! The state machine: its tables, and the dispatch of each event to its handler.
//!
//! Conditions on `self.bugs.planted(...)` exist for the model checker, which plants one fault at a time to prove that
//! it detects it. In production no fault is planted ([`NoBugs`]), and all of these conditions are false.

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

use crate::finished_ids::FinishedIds;
use crate::number_map::NumberMap;
use crate::tables::{Connection, ReadyServer, RequestState, TimerQueue};
use crate::{
    Bug, Bugs, Command, ConnectionId, Denial, Event, FinalAnswer, Limits, NoBugs, Policy, Ticket,
    Violations,
};
use requests::RequestTerms;
use saffronpaddle_admin::RequestCounters;
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, Event as PolicyEvent, Micros, Outcome, RequestId, ServerId,
};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

/// The requests, attempts and connections of one node. See the [crate documentation](crate) for an overview.
///
/// `A` is the type of a server address, `P` the policy and `B` the planted faults.
#[derive(Clone)]
pub struct Exchange<A, P, B = NoBugs> {
    limits: Limits,
    policy: P,
    bugs: B,
    requests: HashMap<RequestId, RequestState>,
    finished_ids: FinishedIds,
    connections: NumberMap<ConnectionId, Connection<A>>,
    servers: NumberMap<ServerId, ReadyServer<A>>,
    timers: TimerQueue,
    /// Idle connections, ordered by the time at which they became idle (µs).
    idle: BTreeSet<(Micros, ConnectionId)>,
    draining: bool,
    /// When the process has to have answered all requests, µs; [`Micros::MAX`] until a shutdown is announced.
    shutdown_deadline: Micros,
    last_connection: u64,
    next_ticket: u64,
    /// Counts how requests have ended. No decision depends on it.
    counters: RequestCounters,
    /// Number of steps that the guard denied, by reason.
    denials: HashMap<Denial, u64>,
    violations: Violations,
    /// Events that the policy has not handled yet.
    pending_events: VecDeque<PolicyEvent>,
    /// How long the event that is handled may have been ready before, µs.
    event_delay: Micros,
}

/// Commands in the order in which the I/O layer has to carry them out.
type Commands<A> = Vec<Command<A>>;

impl<A: Copy + Eq + Hash, P: Policy> Exchange<A, P> {
    /// Creates an exchange without requests, connections or servers.
    pub fn new(limits: Limits, policy: P) -> Self {
        Exchange::with_bugs(limits, policy, NoBugs)
    }
}

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Creates an empty exchange with planted faults, for the model checker.
    pub fn with_bugs(limits: Limits, policy: P, bugs: B) -> Self {
        Exchange {
            limits,
            policy,
            bugs,
            requests: HashMap::new(),
            finished_ids: FinishedIds::default(),
            connections: NumberMap::default(),
            servers: NumberMap::default(),
            timers: TimerQueue::new(),
            idle: BTreeSet::new(),
            draining: false,
            shutdown_deadline: Micros::MAX,
            last_connection: 0,
            next_ticket: 0,
            counters: RequestCounters::default(),
            denials: HashMap::new(),
            violations: Violations::default(),
            pending_events: VecDeque::new(),
            event_delay: 0,
        }
    }

    /// Returns the policy that decides on requests, for its metrics and snapshots.
    pub fn policy(&self) -> &P {
        &self.policy
    }

    /// Returns mutable access to the policy, for the model checker.
    pub fn policy_mut(&mut self) -> &mut P {
        &mut self.policy
    }

    /// Returns whether a request id is in use: the request has no answer yet, or its attempt is still outstanding.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.requests.contains_key(id)
    }

    /// Returns whether a request with this id must not be submitted: one is in the tables, or may have run.
    pub fn is_known(&self, id: &RequestId) -> bool {
        self.contains(id) || self.finished_ids.contains(id)
    }

    /// Returns the ids of requests that may have run and are not in the tables.
    pub fn finished_ids(&self) -> impl Iterator<Item = &RequestId> {
        self.finished_ids.iter()
    }

    /// Returns the ticket that the next received request will get.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket)
    }

    /// Changes the connection limit. Existing connections beyond the new limit are closed only when they are idle and
    /// their slot is needed.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.limits.max_connections = max_connections;
    }

    /// Returns when [`Event::TimerFired`] is due next, µs; `None` if no timer is set.
    pub fn next_alarm(&self) -> Option<Micros> {
        let request = self.timers.first().map(|(at, _)| *at);
        let idle = self
            .idle
            .first()
            .map(|(since, _)| since.saturating_add(self.limits.idle_timeout));
        request.into_iter().chain(idle).min()
    }

    /// Handles an event at `now` (µs) and appends the commands to carry out.
    pub fn handle(&mut self, now: Micros, event: Event<A>, commands: &mut Commands<A>) {
        // A delayed event loop may deliver a response after the deadline of its request. The deadline passed first, so
        // the request is failed first.
        self.answer_overdue(now, commands);
        self.handle_event(now, event, commands);
        self.run_policy(now, commands);
    }

    /// Handles an event that may have been ready for up to `delay` µs before `now`, as the event loop was late. The policy
    /// does not count this time as latency of a server.
    pub fn handle_delayed(
        &mut self,
        now: Micros,
        delay: Micros,
        event: Event<A>,
        commands: &mut Commands<A>,
    ) {
        self.set_event_delay(delay);
        self.handle(now, event, commands);
        self.set_event_delay(0);
    }

    fn set_event_delay(&mut self, delay: Micros) {
        self.event_delay = delay;
        self.policy.set_event_delay(delay);
    }

    /// Applies an action as if the policy had requested it, for the model checker.
    pub fn inject_action(&mut self, now: Micros, action: Action, commands: &mut Commands<A>) {
        self.answer_overdue(now, commands);
        self.apply_action(now, action, commands);
        self.run_policy(now, commands);
    }

    fn handle_event(&mut self, now: Micros, event: Event<A>, commands: &mut Commands<A>) {
        match event {
            Event::RequestReceived {
                idempotency,
                deadline,
                response_streamed,
                policy_event,
            } => {
                let terms = RequestTerms {
                    idempotency,
                    deadline,
                    response_streamed,
                };
                self.on_request_received(now, terms, policy_event, commands);
            }
            Event::ClientGone { id, ticket } => self.on_client_disconnected(&id, ticket),
            Event::Connected { connection } => self.on_connected(now, connection, commands),
            Event::ConnectFailed {
                connection,
                local_shortage,
            } => self.on_connect_failed(connection, local_shortage),
            Event::FirstByteReady {
                connection,
                no_unread_bytes,
            } => {
                self.on_first_byte_ready(now, connection, no_unread_bytes, commands);
            }
            Event::ResponseComplete {
                connection,
                outcome,
            } => self.on_response_complete(now, connection, outcome, commands),
            Event::ResponseStreaming { connection, long } => {
                self.on_response_streaming(now, connection, long, commands);
            }
            Event::ResponseProgress { connection, bytes } => {
                self.on_response_progress(now, connection, bytes);
            }
            Event::ResponseLong { connection } => self.on_response_long(connection),
            Event::ResponseAbandoned { connection } => {
                self.on_response_abandoned(connection, commands);
            }
            Event::BodyComplete {
                id,
                ticket,
                deadline,
            } => self.on_body_complete(now, &id, ticket, deadline),
            Event::BodyDeadlineChanged {
                id,
                ticket,
                deadline,
            } => self.on_body_deadline_changed(now, id, ticket, deadline),
            Event::BodyFailed { id, ticket } => self.on_body_failed(now, &id, ticket, commands),
            Event::Upgraded { connection } => self.on_upgraded(now, connection, commands),
            Event::ConnectionLost { connection } => {
                self.on_connection_lost(now, connection, commands);
            }
            Event::ClosedByPeer { connection } => self.on_closed_by_peer(connection, commands),
            Event::Closed { connection } => self.on_closed(now, connection, commands),
            Event::EndpointsChanged {
                snapshot,
                endpoints,
            } => self.on_endpoints_changed(snapshot, endpoints, commands),
            Event::ShutdownAnnounced { answer_by } => self.on_shutdown_announced(answer_by),
            Event::Drain => self.on_drain(commands),
            Event::IdleConnectionsLimited { max_idle } => self.close_idle(max_idle, commands),
            Event::TimerFired => self.on_timer_fired(now, commands),
            Event::RanElsewhere { ids } => ids
                .into_iter()
                .for_each(|id| self.finished_ids.record(now, id)),
            Event::PolicyEvent(event) => self.pending_events.push_back(event),
        }
    }

    /// Passes all pending events to the policy. Its actions may cause further events; these are queued, so that the
    /// policy is never called reentrantly and its actions are applied in order.
    fn run_policy(&mut self, now: Micros, commands: &mut Commands<A>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending_events.pop_front() {
            self.policy.handle(now, event, &mut actions);
            actions
                .drain(..)
                .for_each(|action| self.apply_action(now, action, commands));
        }
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
            Action::ReleaseBody { id, attempt } => self.release_body(now, &id, attempt, commands),
            other => commands.push(Command::PolicyAction(other)),
        }
    }

    /// Returns the answer to a request that the policy rejects: a failure if a retry by the client would not be safe.
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

    /// Cancels an attempt unless its response is streaming: the client has already received a part of that response.
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
