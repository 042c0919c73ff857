//! The machine itself: its tables, and the way of each event to the part that takes it.

mod attempts;
mod checks;
mod choice;
mod connections;
mod requests;
mod servers;
mod time;

use crate::table::{Alarms, ByNumber, Link, Place, Row};
use crate::{
    Bug, Bugs, Command, ConnectionId, Denial, Event, FinalAnswer, Invariant, Limits, OpenRequest,
    Policy, Sound, Ticket, Violation, Violations, WaitsFor,
};
use saffronpaddle_admin::{RequestCounters, RequestEnd};
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, Event as ModuleEvent, Micros, Outcome, RequestId, ServerId,
};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::Hash;

/// Requests, attempts and connections of one node. See the [crate's](crate) words.
#[derive(Clone)]
pub struct Exchange<A, M, B = Sound> {
    bounds: Limits,
    policy: M,
    bugs: B,
    rows: HashMap<RequestId, Row>,
    links: ByNumber<ConnectionId, Link<A>>,
    places: ByNumber<ServerId, Place<A>>,
    alarms: Alarms,
    /// Idle connections in the order in which they came back.
    idle: BTreeSet<(Micros, ConnectionId)>,
    stopped: bool,
    /// All is answered by then, as the process ends; the end of time where it was not told to.
    answer_by: Micros,
    next_link: u64,
    next_ticket: u64,
    /// A request whose last piece waits for what the module says of it.
    releasing: Option<RequestId>,
    /// How requests have ended. Nothing hangs on it here.
    tally: RequestCounters,
    /// Steps that the guard did not let through, by why.
    denials: HashMap<Denial, u64>,
    violations: Violations,
    /// What the module is told when it has done with what it was told before.
    pending: VecDeque<ModuleEvent>,
}

/// How much later than that a process that was held up may still give an answer, µs.
const LATE: Micros = 150_000;

/// How a request ends with an answer.
fn end_of(verdict: FinalAnswer) -> RequestEnd {
    match verdict {
        FinalAnswer::Served => RequestEnd::Fulfilled,
        FinalAnswer::Rejected(_) => RequestEnd::Throttled,
        FinalAnswer::Failed => RequestEnd::Faulted,
    }
}

/// Commands, in the order in which they are to be carried out.
type Commands<A> = Vec<Command<A>>;

impl<A: Copy + Eq + Hash, M: Policy> Exchange<A, M> {
    /// An exchange with nothing in it.
    pub fn new(bounds: Limits, module: M) -> Self {
        Exchange::with_bugs(bounds, module, Sound)
    }
}

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// An exchange with faults in it, for the checker.
    pub fn with_bugs(bounds: Limits, module: M, bugs: B) -> Self {
        Exchange {
            bounds,
            policy: module,
            bugs,
            rows: HashMap::new(),
            links: ByNumber::default(),
            places: ByNumber::default(),
            alarms: Alarms::new(),
            idle: BTreeSet::new(),
            stopped: false,
            answer_by: Micros::MAX,
            next_link: 0,
            next_ticket: 0,
            releasing: None,
            tally: RequestCounters::default(),
            denials: HashMap::new(),
            violations: Violations::default(),
            pending: VecDeque::new(),
        }
    }

    /// The module inside.
    pub fn policy(&self) -> &M {
        &self.policy
    }

    /// The module inside, to be looked at by a checker.
    pub fn policy_mut(&mut self) -> &mut M {
        &mut self.policy
    }

    /// Whether a request's id is in use: it has no answer yet, or its attempt is still out.
    pub fn contains(&self, id: &RequestId) -> bool {
        self.rows.contains_key(id)
    }

    /// The ticket of the request that is taken next.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket)
    }

    /// How many servers are ready.
    pub fn ready_servers(&self) -> usize {
        self.places.len()
    }

    /// How many requests, and how many connections, there are; nothing else is kept of either.
    pub fn table_sizes(&self) -> (usize, usize) {
        (self.rows.len(), self.links.len())
    }

    /// The requests that have no final answer yet, in no order.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest> + '_ {
        let state = |link: ConnectionId| self.links.get(&link).map(|link| link.state);
        self.rows
            .iter()
            .filter(|(_, row)| row.open)
            .map(move |(id, row)| OpenRequest {
                id: id.clone(),
                class: row.class,
                deadline: row.deadline,
                attempts: row.attempts,
                waits_for: WaitsFor::of(row, state),
            })
    }

    /// Other bounds on connections from now on; those beyond it go as they fall idle and room is wanted.
    pub fn set_max_connections(&mut self, most: usize) {
        self.bounds.max_connections = most;
    }

    /// How requests have ended so far, and attempts been written.
    pub fn tally(&self) -> &RequestCounters {
        &self.tally
    }

    /// How often an attempt was kept from its next step, by why.
    pub fn denials(&self) -> impl Iterator<Item = (Denial, u64)> + '_ {
        Denial::ALL
            .into_iter()
            .map(|denial| (denial, self.denials.get(&denial).copied().unwrap_or(0)))
    }

    /// How often an invariant did not hold.
    pub fn violations(&self) -> &Violations {
        &self.violations
    }

    /// Violations that nobody was told of yet.
    pub fn take_violations(&mut self) -> Vec<Violation> {
        if self.violations.any_untold() {
            self.violations.take()
        } else {
            Vec::new()
        }
    }

    /// The process ends now: whoever still waits is never answered.
    pub fn process_exits(&mut self) {
        for (id, row) in &self.rows {
            self.violations
                .check(!row.open, Invariant::AnsweredBeforeExit, id);
        }
    }

    /// A request that could not be taken was answered by the shell: its words made no request, or its id is in use.
    pub fn turned_away(&mut self, class: usize, end: RequestEnd) {
        self.tally.taken(class);
        self.tally.ended(class, end);
    }

    /// When [`Event::Tick`] is due next.
    pub fn next_alarm(&self) -> Option<Micros> {
        let row = self.alarms.first().map(|(at, _)| *at);
        let idle = self
            .idle
            .first()
            .map(|(since, _)| since.saturating_add(self.bounds.idle_for));
        row.into_iter().chain(idle).min()
    }

    /// Takes an event in, and adds what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event<A>, commands: &mut Commands<A>) {
        // What is past its time is so before anything that comes now. Danger: a late loop that still serves it.
        self.expire(now, commands);
        match event {
            Event::RequestReceived {
                effect,
                deadline,
                policy_event: tell,
            } => self.asked(now, effect, deadline, tell, commands),
            Event::ClientGone { id, ticket } => self.client_gone(&id, ticket),
            Event::Connected { connection: link } => self.connected(now, link, commands),
            Event::ConnectFailed {
                connection: link,
                local_shortage: lack,
            } => self.connect_failed(link, lack),
            Event::FirstByteReady {
                connection: link,
                quiet,
            } => self.begin(now, link, quiet, commands),
            Event::ResponseComplete {
                connection: link,
                outcome,
            } => self.replied(now, link, outcome, commands),
            Event::ResponseStreaming { connection: link } => self.passing(now, link, commands),
            Event::ResponseAbandoned { connection: link } => self.left(link, commands),
            Event::BodyComplete {
                id,
                ticket,
                deadline,
            } => self.whole(now, &id, ticket, deadline),
            Event::Upgraded { connection: link } => self.upgraded(now, link, commands),
            Event::ConnectionLost { connection: link } => self.broken(now, link, commands),
            Event::ClosedByPeer { connection: link } => self.gone(link, commands),
            Event::Closed { connection: link } => self.closed(now, link, commands),
            Event::EndpointsChanged {
                snapshot: whole,
                endpoints: entries,
            } => self.listed(whole, entries, commands),
            Event::ShutdownAnnounced { answer_by } => self.ending(answer_by),
            Event::Stop => self.stop(commands),
            Event::TimerFired => self.tick(now, commands),
            Event::PolicyEvent(event) => self.pending.push_back(event),
        }
        self.pump(now, commands);
    }

    /// Carries out one action as if the module had asked for it, at any time: a checker's module.
    pub fn act(&mut self, now: Micros, action: Action, commands: &mut Commands<A>) {
        self.expire(now, commands);
        self.apply(now, action, commands);
        self.pump(now, commands);
    }

    /// The module is never entered twice, and what it asks for is done in the order in which it asks.
    fn pump(&mut self, now: Micros, commands: &mut Commands<A>) {
        let mut actions = Vec::new();
        while let Some(event) = self.pending.pop_front() {
            self.policy.handle(now, event, &mut actions);
            actions
                .drain(..)
                .for_each(|action| self.apply(now, action, commands));
        }
        self.release(commands);
    }

    fn apply(&mut self, now: Micros, action: Action, commands: &mut Commands<A>) {
        match action {
            Action::Send {
                id,
                server,
                timeout: time_out,
            } => self.send(now, &id, server, time_out, commands),
            Action::Reject {
                id,
                retry_after: retry_in,
            } => {
                let may_refuse = self.rows.get(&id).is_some_and(Row::may_be_refused);
                let kept = may_refuse || self.bugs.planted(Bug::RefusalAfterRun);
                let verdict = if kept {
                    FinalAnswer::Rejected(retry_in)
                } else {
                    FinalAnswer::Failed
                };
                self.answer(now, &id, verdict, commands);
            }
            Action::Fail { id } => self.answer(now, &id, FinalAnswer::Failed, commands),
            Action::Cancel { id, attempt } => {
                let out = self.rows.get(&id).and_then(|row| row.out.as_ref());
                let passing = self.rows.get(&id).is_some_and(|row| row.passing)
                    && !self.bugs.planted(Bug::PassingCalledOff);
                if !passing && out.is_some_and(|out| AttemptNumber(out.number) == attempt) {
                    self.give_up(&id, Outcome::Cancelled, commands);
                }
            }
            other => commands.push(Command::ForPolicy(other)),
        }
    }
}
