//! The machine itself.

use crate::guard::{self, Facts};
use crate::table::{Alarms, ByNumber, Link, Out, Place, Ran, Row, Stage, State};
use crate::{
    Bounds, Bug, Bugs, Command, Denial, Event, Invariant, LinkId, Module, OpenRequest, Sound, Ticket,
    Verdict, Violation, Violations, WaitsFor,
};
use saffronpaddle_admin::{End, Tally};
use saffronpaddle_decision::interface::{
    Action, AttemptNo, Effect, Event as ModuleEvent, Group, ListKind, Micros, Outcome, RequestId,
    ServerEntry, ServerId, Standing,
};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};

/// Requests, attempts and connections of one node. See the [crate's](crate) words.
#[derive(Clone)]
pub struct Exchange<A, M, B = Sound> {
    bounds: Bounds,
    module: M,
    bugs: B,
    rows: HashMap<RequestId, Row>,
    links: ByNumber<LinkId, Link<A>>,
    places: ByNumber<ServerId, Place<A>>,
    alarms: Alarms,
    /// Idle connections in the order in which they came back.
    idle: BTreeSet<(Micros, LinkId)>,
    stopped: bool,
    /// All is answered by then, as the process ends; the end of time where it was not told to.
    answer_by: Micros,
    next_link: u64,
    next_ticket: u64,
    /// A request whose last piece waits for what the module says of it.
    releasing: Option<RequestId>,
    /// How requests have ended. Nothing hangs on it here.
    tally: Tally,
    /// Steps that the guard did not let through, by why.
    denials: HashMap<Denial, u64>,
    violations: Violations,
    /// What the module is told when it has done with what it was told before.
    pending: VecDeque<ModuleEvent>,
}

/// How much later than that a process that was held up may still give an answer, µs.
const LATE: Micros = 150_000;

/// How a request ends with an answer.
fn end_of(verdict: Verdict) -> End {
    match verdict {
        Verdict::Served => End::Fulfilled,
        Verdict::Refused(_) => End::Throttled,
        Verdict::Failed => End::Faulted,
    }
}

/// Commands, in the order in which they are to be carried out.
type Commands<A> = Vec<Command<A>>;

impl<A: Copy + Eq + Hash, M: Module> Exchange<A, M> {
    /// An exchange with nothing in it.
    pub fn new(bounds: Bounds, module: M) -> Self {
        Exchange::with_bugs(bounds, module, Sound)
    }
}

impl<A: Copy + Eq + Hash, M: Module, B: Bugs> Exchange<A, M, B> {
    /// An exchange with faults in it, for the checker.
    pub fn with_bugs(bounds: Bounds, module: M, bugs: B) -> Self {
        Exchange {
            bounds,
            module,
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
            tally: Tally::default(),
            denials: HashMap::new(),
            violations: Violations::default(),
            pending: VecDeque::new(),
        }
    }

    /// The module inside.
    pub fn module(&self) -> &M {
        &self.module
    }

    /// The module inside, to be looked at by a checker.
    pub fn module_mut(&mut self) -> &mut M {
        &mut self.module
    }

    /// Whether a request's id is in use: it has no answer yet, or its attempt is still out.
    pub fn knows(&self, id: &RequestId) -> bool {
        self.rows.contains_key(id)
    }

    /// The ticket of the request that is taken next.
    pub fn next_ticket(&self) -> Ticket {
        Ticket(self.next_ticket)
    }

    /// How many servers are ready.
    pub fn ready(&self) -> usize {
        self.places.len()
    }

    /// How many requests, and how many connections, there are; nothing else is kept of either.
    pub fn kept(&self) -> (usize, usize) {
        (self.rows.len(), self.links.len())
    }

    /// The requests that have no final answer yet, in no order.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest> + '_ {
        let state = |link: LinkId| self.links.get(&link).map(|link| link.state);
        self.rows.iter().filter(|(_, row)| row.open).map(move |(id, row)| OpenRequest {
            id: id.clone(),
            class: row.class,
            deadline: row.deadline,
            attempts: row.attempts,
            waits_for: WaitsFor::of(row, state),
        })
    }

    /// Other bounds on connections from now on; those beyond it go as they fall idle and room is wanted.
    pub fn set_most_links(&mut self, most: usize) {
        self.bounds.links = most;
    }

    /// How requests have ended so far, and attempts been written.
    pub fn tally(&self) -> &Tally {
        &self.tally
    }

    /// How often an attempt was kept from its next step, by why.
    pub fn denials(&self) -> impl Iterator<Item = (Denial, u64)> + '_ {
        Denial::ALL.into_iter().map(|denial| (denial, self.denials.get(&denial).copied().unwrap_or(0)))
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
    pub fn exits(&mut self) {
        for (id, row) in &self.rows {
            self.violations.check(!row.open, Invariant::AnsweredBeforeExit, id);
        }
    }

    /// A request that could not be taken was answered by the shell: its words made no request, or its id is in use.
    pub fn turned_away(&mut self, class: usize, end: End) {
        self.tally.taken(class);
        self.tally.ended(class, end);
    }

    /// When [`Event::Tick`] is due next.
    pub fn next_alarm(&self) -> Option<Micros> {
        let row = self.alarms.first().map(|(at, _)| *at);
        let idle = self.idle.first().map(|(since, _)| since.saturating_add(self.bounds.idle_for));
        row.into_iter().chain(idle).min()
    }

    /// Takes an event in, and adds what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event<A>, commands: &mut Commands<A>) {
        // What is past its time is so before anything that comes now. Danger: a late loop that still serves it.
        self.expire(now, commands);
        match event {
            Event::Asked { effect, deadline, tell } => self.asked(now, effect, deadline, tell, commands),
            Event::ClientGone { id, ticket } => self.client_gone(&id, ticket),
            Event::Connected { link } => self.connected(now, link, commands),
            Event::ConnectFailed { link, lack } => self.connect_failed(link, lack),
            Event::Begin { link, quiet } => self.begin(now, link, quiet, commands),
            Event::Replied { link, outcome } => self.replied(now, link, outcome, commands),
            Event::Passing { link } => self.passing(now, link, commands),
            Event::Left { link } => self.left(link, commands),
            Event::Whole { id, ticket, deadline } => self.whole(now, &id, ticket, deadline),
            Event::Upgraded { link } => self.upgraded(now, link, commands),
            Event::Broken { link } => self.broken(now, link, commands),
            Event::Gone { link } => self.gone(link, commands),
            Event::Closed { link } => self.closed(now, link, commands),
            Event::Listed { whole, entries } => self.listed(whole, entries, commands),
            Event::Ending { answer_by } => self.ending(answer_by),
            Event::Stop => self.stop(commands),
            Event::Tick => self.tick(now, commands),
            Event::Tell(event) => self.pending.push_back(event),
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
            self.module.handle(now, event, &mut actions);
            actions.drain(..).for_each(|action| self.apply(now, action, commands));
        }
        self.release(commands);
    }

    fn apply(&mut self, now: Micros, action: Action, commands: &mut Commands<A>) {
        match action {
            Action::Send { id, server, time_out } => self.send(now, &id, server, time_out, commands),
            Action::Refuse { id, retry_in } => {
                let may_refuse = self.rows.get(&id).is_some_and(Row::may_be_refused);
                let kept = may_refuse || self.bugs.planted(Bug::RefusalAfterRun);
                let verdict = if kept { Verdict::Refused(retry_in) } else { Verdict::Failed };
                self.answer(now, &id, verdict, commands);
            }
            Action::Fail { id } => self.answer(now, &id, Verdict::Failed, commands),
            Action::Cancel { id, attempt } => {
                let out = self.rows.get(&id).and_then(|row| row.out.as_ref());
                let passing = self.rows.get(&id).is_some_and(|row| row.passing)
                    && !self.bugs.planted(Bug::PassingCalledOff);
                if !passing && out.is_some_and(|out| AttemptNo(out.number) == attempt) {
                    self.give_up(&id, Outcome::Cancelled, commands);
                }
            }
            other => commands.push(Command::Module(other)),
        }
    }

    fn asked(
        &mut self, now: Micros, effect: Effect, deadline: Micros, mut tell: ModuleEvent,
        commands: &mut Commands<A>,
    ) {
        let ModuleEvent::Request { id, class, whole, patience, .. } = &mut tell else { return };
        if self.knows(id) {
            return;
        }
        *patience = (*patience).min(self.answer_by.saturating_sub(now));
        let ticket = self.next_ticket();
        self.next_ticket += 1;
        let (class, whole) = (class.0, *whole);
        self.tally.taken(class);
        if now >= self.answer_by {
            // The process has no time left for it. Nothing of it has been sent, so that trying again is harmless.
            self.tally.ended(class, End::Throttled);
            return commands.push(Command::Answer { id: id.clone(), verdict: Verdict::Refused(None) });
        }
        let mut row = Row {
            ticket,
            class,
            effect,
            deadline,
            process_end: Micros::MAX,
            cut_short: false,
            open: true,
            whole,
            spent: false,
            passing: false,
            attempts: 0,
            out: None,
            ran: None,
            alarm: None,
        };
        row.cut(self.answer_by);
        self.rows.insert(id.clone(), row);
        let id = id.clone();
        self.arm(&id);
        self.pending.push_back(tell);
    }

    fn client_gone(&mut self, id: &RequestId, ticket: Ticket) {
        let Some(row) = self.rows.get(id) else { return };
        if row.ticket == ticket || self.bugs.planted(Bug::TicketIgnored) {
            self.abandon(id, false);
        }
    }

    /// Nobody waits for an answer any more. The module calls the attempt off, where that is allowed.
    fn abandon(&mut self, id: &RequestId, answered: bool) {
        let Some(row) = self.rows.get_mut(id).filter(|row| row.open) else { return };
        row.open = false;
        if !answered {
            self.tally.ended(row.class, End::Gone);
        }
        if self.bugs.planted(Bug::EndNeverTold) {
            self.rows.remove(id);
            self.alarms.retain(|(_, other)| other != id);
        }
        self.pending.push_back(ModuleEvent::Abandoned { id: id.clone() });
        self.settle_row(id);
    }

    /// Answers a request, unless that has been done: an open row is the right to answer.
    fn answer(&mut self, now: Micros, id: &RequestId, verdict: Verdict, commands: &mut Commands<A>) {
        let Some(row) = self.rows.get_mut(id).filter(|row| row.open) else { return };
        let in_time = now <= row.answered_by(self.bounds.overdue).saturating_add(LATE);
        self.violations.check(in_time, Invariant::AnsweredInTime, id);
        row.open = false;
        self.tally.ended(row.class, end_of(verdict));
        commands.push(Command::Answer { id: id.clone(), verdict });
        self.settle_row(id);
    }

    /// Ends a request, whatever the module says, which hears of it.
    fn end(&mut self, now: Micros, id: &RequestId, verdict: Verdict, commands: &mut Commands<A>) {
        if let Some(row) = self.rows.get(id).filter(|row| row.open) {
            let in_time = now <= row.answered_by(self.bounds.overdue).saturating_add(LATE);
            self.violations.check(in_time, Invariant::AnsweredInTime, id);
            self.tally.ended(row.class, end_of(verdict));
        }
        commands.push(Command::Answer { id: id.clone(), verdict });
        self.abandon(id, true);
    }

    /// Sets a row's alarm anew, or lets go of a row of which nothing is owed any more.
    fn settle_row(&mut self, id: &RequestId) {
        if self.rows.get(id).is_some_and(|row| row.open || row.out.is_some()) {
            return self.arm(id);
        }
        if let Some(Row { alarm: Some(at), .. }) = self.rows.remove(id) {
            self.alarms.remove(&(at, id.clone()));
        }
    }

    fn arm(&mut self, id: &RequestId) {
        let Some(row) = self.rows.get_mut(id) else { return };
        let due = row.due(self.bounds.overdue);
        if row.alarm == due {
            return;
        }
        if let Some(at) = std::mem::replace(&mut row.alarm, due) {
            self.alarms.remove(&(at, id.clone()));
        }
        if let Some(at) = due {
            self.alarms.insert((at, id.clone()));
        }
    }

    // Attempts.

    /// Sends a request as the module has it, unless that would break a rule: then the attempt ends unsent at once.
    fn send(
        &mut self, now: Micros, id: &RequestId, server: ServerId, time_out: Option<Micros>,
        commands: &mut Commands<A>,
    ) {
        // The module hears of each request that is answered or abandoned, and owes no such one anything.
        let Some(row) = self.rows.get_mut(id).filter(|row| row.open) else { return };
        let number = row.attempts;
        row.attempts += 1;
        let until = time_out.map_or(row.deadline, |span| row.deadline.min(now.saturating_add(span)));
        let attempt_out = row.out.is_some() && !self.bugs.planted(Bug::TwoAttemptsOut);
        let body_gone = row.spent && !self.bugs.planted(Bug::GoneBodySentAgain);
        if row.attempts > self.bounds.attempts {
            return self.end(now, id, Verdict::Failed, commands);
        }
        let facts = Facts { attempt_out, body_gone, ..self.facts(now, until, id, server, true) };
        if let Err(denial) = guard::check(&facts) {
            *self.denials.entry(denial).or_default() += 1;
            return self.tell_end(id, number, Outcome::NotSent, false);
        }
        let stage = Stage::Waiting(LinkId(u64::MAX));
        if let Some(row) = self.rows.get_mut(id) {
            row.out = Some(Out { number, server, until, limit: until, began: None, stage });
        }
        self.start(now, id, commands);
    }

    /// What the guard has to know of an attempt at a server: when it is chosen, or (`choice` is false) later. Whether another
    /// is out, and where the connection leads, is the caller's to say.
    fn facts(&self, now: Micros, until: Micros, id: &RequestId, server: ServerId, choice: bool) -> Facts {
        Facts {
            now,
            until,
            answer_by: self.answer_by,
            client_waits: self.rows.get(id).is_some_and(|row| row.open),
            attempt_out: false,
            body_gone: false,
            server_ready: self.places.contains_key(&server),
            repeat_allowed: self.may_go(now, id, server, choice),
        }
    }

    /// Whether the effects of a request allow an attempt at a server. An effect must not happen twice.
    fn may_go(&self, now: Micros, id: &RequestId, server: ServerId, choice: bool) -> bool {
        let Some(row) = self.rows.get(id) else { return false };
        let Some(ran) = row.ran else { return true };
        let Some(place) = self.places.get(&server) else { return false };
        match row.effect {
            Effect::Safe => true,
            Effect::Unsafe => self.bugs.planted(Bug::UnsafeResent),
            Effect::Keyed { group, window } => {
                let inside = match group {
                    Group::All => true,
                    Group::Zone => place.zone == ran.zone,
                    Group::Cell => place.cell == ran.cell,
                };
                let passed_over = !choice && self.bugs.planted(Bug::WindowCheckedAtChoiceOnly);
                (inside || self.bugs.planted(Bug::GroupForgotten))
                    && (passed_over || now <= ran.at.saturating_add(window))
            }
        }
    }

    /// Finds a connection for the attempt that is out, or has one made.
    fn start(&mut self, now: Micros, id: &RequestId, commands: &mut Commands<A>) {
        let Some(out) = self.rows.get(id).and_then(|row| row.out.as_ref()) else { return };
        let server = out.server;
        if let Some(link) = self.take_idle(now, server, commands) {
            self.tally.kept_used += 1;
            if let Some(row) = self.links.get_mut(&link) {
                (row.state, row.of) = (State::Queued, Some(id.clone()));
            }
            commands.push(Command::Send { link, id: id.clone(), server });
            return self.stage(id, Stage::On(link), None);
        }
        let Some(dial) = self.places.get(&server).map(|place| place.dial) else {
            return self.ended(id, Outcome::NotSent);
        };
        let counted = if self.bugs.planted(Bug::IdleNotCounted) {
            self.links.values().filter(|link| !matches!(link.state, State::Idle(_))).count()
        } else {
            self.links.len()
        };
        if counted >= self.bounds.links {
            return self.wait(id, commands);
        }
        self.next_link += 1;
        self.tally.connects += 1;
        let link = LinkId(self.next_link);
        let of = Some(id.clone());
        let row = Link { server, dial, state: State::Connecting, used: false, gone: false, of };
        self.links.insert(link, row);
        commands.push(Command::Connect { link, dial });
        self.stage(id, Stage::On(link), Some(now.saturating_add(self.bounds.connect_within)));
    }

    /// Makes room: the connection that has been idle longest is closed, and the attempt waits for that.
    fn wait(&mut self, id: &RequestId, commands: &mut Commands<A>) {
        let Some((_, oldest)) = self.idle.first().copied() else { return self.ended(id, Outcome::NotSent) };
        self.close_for(oldest, id, commands);
        self.stage(id, Stage::Waiting(oldest), None);
    }

    /// The attempt goes on so; `sooner` bounds the step.
    fn stage(&mut self, id: &RequestId, stage: Stage, sooner: Option<Micros>) {
        if let Some(out) = self.rows.get_mut(id).and_then(|row| row.out.as_mut()) {
            out.stage = stage;
            out.limit = sooner.map_or(out.until, |sooner| sooner.min(out.until));
        }
        self.arm(id);
    }

    /// The request whose attempt is on a connection now; none once it was given up.
    fn on(&self, link: LinkId) -> Option<RequestId> {
        let id = self.links.get(&link)?.of.as_ref()?;
        let out = self.rows.get(id)?.out.as_ref()?;
        (out.stage == Stage::On(link)).then(|| id.clone())
    }

    /// Whether the attempt on a connection may still begin: its request is open and in time, and the connection leads to
    /// its server, which is ready, where that is now.
    fn fit(&mut self, now: Micros, id: &RequestId, link: LinkId) -> bool {
        let Some(row) = self.rows.get(id) else { return false };
        let Some(out) = row.out.as_ref() else { return false };
        let unchecked = self.bugs.planted(Bug::DrainCheckedBeforeConnectOnly);
        let facts = self.facts(now, out.until, id, out.server, false);
        let facts = Facts {
            server_ready: self.leads(link) || unchecked,
            repeat_allowed: facts.repeat_allowed || (unchecked && row.ran.is_none()),
            ..facts
        };
        let checked = guard::check(&facts);
        if let Err(denial) = checked {
            *self.denials.entry(denial).or_default() += 1;
        }
        checked.is_ok()
    }

    /// Whether a connection reaches its server where that is now. Guards drains, and addresses that pass from one to
    /// another.
    fn leads(&self, link: LinkId) -> bool {
        let Some(link) = self.links.get(&link) else { return false };
        let place = self.places.get(&link.server);
        place.is_some_and(|place| place.dial == link.dial || self.bugs.planted(Bug::AddressNotCompared))
    }

    fn connected(&mut self, now: Micros, link: LinkId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        let Some(row) = self.links.get_mut(&link).filter(|row| row.state == State::Connecting) else {
            return;
        };
        row.state = State::Queued;
        let server = row.server;
        if !self.fit(now, &id, link) {
            // What is not written has never run, and the connection is as good as new.
            self.park(now, link, commands);
            return self.ended(&id, Outcome::NotSent);
        }
        commands.push(Command::Send { link, id: id.clone(), server });
        if !self.bugs.planted(Bug::AlarmForgotten) {
            return self.stage(&id, Stage::On(link), None);
        }
        let Some(row) = self.rows.get_mut(&id) else { return };
        if let (Some(out), Some(at)) = (row.out.as_mut(), row.alarm.take()) {
            out.limit = out.until;
            self.alarms.remove(&(at, id));
        }
    }

    fn connect_failed(&mut self, link: LinkId, lack: bool) {
        if self.links.get(&link).is_none_or(|row| row.state != State::Connecting) {
            return;
        }
        self.tally.connects_failed += u64::from(!lack);
        let id = self.on(link);
        if !self.bugs.planted(Bug::SlotLost) {
            self.links.remove(&link);
        }
        if let Some(id) = id {
            // Guards against blaming a server for what is lacking here.
            self.ended(&id, if lack { Outcome::NotSent } else { Outcome::Unreachable });
        }
    }

    /// The last look before the first byte. Guards drains, requests that were answered meanwhile, time that has passed,
    /// and the rest of one answer being read as the next.
    fn begin(&mut self, now: Micros, link: LinkId, quiet: bool, commands: &mut Commands<A>) {
        let queued = self.links.get(&link).is_some_and(|row| row.state == State::Queued);
        let Some(id) = self.on(link).filter(|_| queued) else { return };
        if !self.fit(now, &id, link) {
            return self.give_up(&id, Outcome::Cancelled, commands);
        }
        if !quiet && !self.bugs.planted(Bug::ReuseWithBytesWaiting) {
            return self.replace(now, &id, link, commands);
        }
        self.look_at_first_byte(now, &id, link);
        let Some(row) = self.links.get_mut(&link) else { return };
        row.state = State::Written;
        let place =
            self.places.get(&row.server).map_or_else(Default::default, |place| (place.zone, place.cell));
        if let Some(row) = self.rows.get_mut(&id) {
            row.spent = !row.whole;
            self.tally.relayed += u64::from(row.whole);
            if let Some(out) = row.out.as_mut() {
                out.began = Some(Ran { zone: place.0, cell: place.1, at: now });
            }
        }
        commands.push(Command::Write { link });
    }

    /// Looks at what is about to be written, from the tables alone: the guard has let it through.
    fn look_at_first_byte(&mut self, now: Micros, id: &RequestId, link: LinkId) {
        let (Some(row), Some(carrier)) = (self.rows.get(id), self.links.get(&link)) else { return };
        let place = self.places.get(&carrier.server);
        let in_time = now <= row.deadline.min(self.answer_by);
        let ready = place.is_some_and(|place| place.dial == carrier.dial);
        let on_it = row.out.as_ref().is_some_and(|out| out.stage == Stage::On(link) && out.began.is_none());
        let once = row.open && on_it;
        let safely = match (row.ran, row.effect, place) {
            (None, ..) | (_, Effect::Safe, _) => true,
            (Some(ran), Effect::Keyed { group, window }, Some(place)) => {
                let same_group = match group {
                    Group::All => true,
                    Group::Zone => place.zone == ran.zone,
                    Group::Cell => place.cell == ran.cell,
                };
                same_group && now <= ran.at.saturating_add(window)
            }
            _ => false,
        };
        self.violations.check(in_time, Invariant::SentInTime, id);
        self.violations.check(ready, Invariant::SentToReadyServer, id);
        self.violations.check(once, Invariant::SentOnce, id);
        self.violations.check(safely, Invariant::RepeatedSafely, id);
    }

    /// A connection turned out bad before a byte was written: a kept one makes way for another, a new one speaks ill of
    /// its server.
    fn replace(&mut self, now: Micros, id: &RequestId, link: LinkId, commands: &mut Commands<A>) {
        if !self.links.get(&link).is_some_and(|row| row.used) {
            return self.give_up(id, Outcome::TimedOut, commands);
        }
        self.close(link, commands);
        self.start(now, id, commands);
    }

    fn replied(&mut self, now: Micros, link: LinkId, outcome: Outcome, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else {
            if self.bugs.planted(Bug::AnswerAfterCancel) && outcome == Outcome::Ok {
                if let Some(id) = self.links.get(&link).and_then(|row| row.of.clone()) {
                    self.answer(now, &id, Verdict::Served, commands);
                }
            }
            return;
        };
        if self.links.get(&link).is_none_or(|row| row.state != State::Written) {
            return;
        }
        if self.rows.get(&id).is_some_and(|row| !row.whole) && !self.bugs.planted(Bug::EarlyAnswerKept) {
            // It was answered before it was whole: what is left of it must not pass for the next, and what serves it was
            // made for something else.
            self.close(link, commands);
            let outcome = if outcome == Outcome::Ok { Outcome::Error } else { outcome };
            return self.ended(&id, outcome);
        }
        self.park(now, link, commands);
        if self.bugs.planted(Bug::DoubleRelease) {
            commands.push(Command::Close { link });
        }
        if outcome == Outcome::Ok {
            self.answer(now, &id, Verdict::Served, commands);
        }
        self.ended(&id, outcome);
    }

    /// The first bytes of an answer are there: it is the client's from now on, for as long as it takes.
    fn passing(&mut self, now: Micros, link: LinkId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        let written = self.links.get(&link).is_some_and(|row| row.state == State::Written);
        let Some(row) = self.rows.get_mut(&id).filter(|_| written) else { return };
        if !row.whole || !row.open {
            // Answered before it was whole, or nobody waits: there is nobody to pass it on to.
            return self.give_up(&id, Outcome::Broken, commands);
        }
        row.passing = true;
        self.tally.streaming += 1;
        if let Some(out) = row.out.as_mut() {
            (out.until, out.limit) = (Micros::MAX, Micros::MAX);
        }
        self.answer(now, &id, Verdict::Served, commands);
        self.pending.push_back(ModuleEvent::Started { id });
    }

    /// The client of an answer that goes by has gone.
    fn left(&mut self, link: LinkId, commands: &mut Commands<A>) {
        if let Some(id) = self.on(link).filter(|id| self.rows.get(id).is_some_and(|row| row.passing)) {
            self.give_up(&id, Outcome::Cancelled, commands);
        }
    }

    /// A request that came as it went is whole but for its last piece: its client's time begins, and the module has its say
    /// before that piece goes.
    fn whole(&mut self, now: Micros, id: &RequestId, ticket: Ticket, deadline: Micros) {
        let Some(row) = self.rows.get_mut(id) else { return };
        if row.ticket != ticket || !row.open || row.whole {
            return;
        }
        (row.deadline, row.cut_short) = (deadline, false);
        row.cut(self.answer_by);
        let deadline = row.deadline;
        if let Some(out) = row.out.as_mut() {
            (out.until, out.limit) = (deadline, out.limit.min(deadline));
        }
        self.arm(id);
        let patience = deadline.saturating_sub(now);
        self.pending.push_back(ModuleEvent::Whole { id: id.clone(), patience });
        self.releasing = Some(id.clone());
    }

    /// Lets the last piece go, if the module has not ended the request.
    fn release(&mut self, commands: &mut Commands<A>) {
        let Some(id) = self.releasing.take() else { return };
        let Some(row) = self.rows.get_mut(&id).filter(|row| row.open) else { return };
        let Some(Stage::On(link)) = row.out.as_ref().map(|out| out.stage) else { return };
        if self.links.get(&link).is_some_and(|row| row.state == State::Written) {
            row.whole = true;
            self.tally.relayed += 1;
            commands.push(Command::Release { link });
        }
    }

    /// The connection leaves the exchange with the answer. Whoever has it closes it, if nobody waits for the answer.
    fn upgraded(&mut self, now: Micros, link: LinkId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        if self.links.get(&link).is_none_or(|row| row.state != State::Written) {
            return;
        }
        self.links.remove(&link);
        self.answer(now, &id, Verdict::Served, commands);
        self.ended(&id, Outcome::Ok);
    }

    fn broken(&mut self, now: Micros, link: LinkId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        match self.links.get(&link) {
            Some(row) if row.state == State::Queued => self.replace(now, &id, link, commands),
            Some(row) if row.used && self.bugs.planted(Bug::ResendAfterFirstByte) => {
                self.replace(now, &id, link, commands);
            }
            Some(row) if row.state == State::Written => self.give_up(&id, Outcome::Broken, commands),
            _ => {}
        }
    }

    /// The attempt of a request is given up for such a reason. It ends when its connection is closed, so that no two
    /// attempts are ever out; of what was never written nothing can have run.
    fn give_up(&mut self, id: &RequestId, why: Outcome, commands: &mut Commands<A>) {
        let Some(out) = self.rows.get(id).and_then(|row| row.out.as_ref()) else { return };
        // Of a request that is not whole nothing can have run.
        let whole = self.rows.get(id).is_some_and(|row| row.whole) || self.bugs.planted(Bug::RunsBeforeWhole);
        let (stage, began, number) = (out.stage, out.began.is_some() && whole, out.number);
        let outcome = match why {
            _ if began => why,
            Outcome::Broken | Outcome::TimedOut => Outcome::Unreachable,
            _ => Outcome::NotSent,
        };
        match stage {
            Stage::Ending(..) => {}
            Stage::Waiting(_) => self.ended(id, Outcome::NotSent),
            Stage::On(link) if why == Outcome::Cancelled && self.bugs.planted(Bug::CancelWithoutClose) => {
                self.park(out.until, link, commands);
                self.ended(id, outcome);
            }
            Stage::On(link) => {
                self.close_for(link, id, commands);
                self.stage(id, Stage::Ending(link, outcome), None);
                if why == Outcome::TimedOut && self.bugs.planted(Bug::EndToldTwice) {
                    self.tell_end(id, number, outcome, false);
                }
            }
        }
    }

    /// The attempt of a request is over, and its connection closed or free again.
    fn ended(&mut self, id: &RequestId, outcome: Outcome) {
        let last = self.bugs.planted(Bug::WindowFromLastSend);
        let Some(row) = self.rows.get_mut(id) else { return };
        let Some(out) = row.out.take() else { return };
        self.tally.streaming -= u64::from(std::mem::take(&mut row.passing));
        if !matches!(outcome, Outcome::Ok | Outcome::Full | Outcome::Unreachable | Outcome::NotSent) {
            row.ran = if last { out.began.or(row.ran) } else { row.ran.or(out.began) };
        }
        let closed = !row.open;
        self.tell_end(id, out.number, outcome, closed);
        self.settle_row(id);
    }

    fn tell_end(&mut self, id: &RequestId, number: u32, outcome: Outcome, closed: bool) {
        let attempt = AttemptNo(number);
        self.pending.push_back(ModuleEvent::Ended { id: id.clone(), attempt, outcome, closed });
    }

    // Connections.

    /// The connection to a server that came back last and has settled, so that the others may grow old.
    fn take_idle(&mut self, now: Micros, server: ServerId, commands: &mut Commands<A>) -> Option<LinkId> {
        let settle = if self.bugs.planted(Bug::NoSettling) { 0 } else { self.bounds.settle };
        loop {
            let place = self.places.get(&server)?;
            let since = |link: &LinkId| match self.links.get(link)?.state {
                State::Idle(since) => Some(since),
                _ => None,
            };
            let settled =
                |link: &&LinkId| since(link).is_none_or(|since| now >= since.saturating_add(settle));
            let link = *place.idle.iter().rev().find(settled)?;
            if since(&link).is_some_and(|since| now < since.saturating_add(self.bounds.idle_for)) {
                self.unpark(link);
                return Some(link);
            }
            self.close(link, commands);
        }
    }

    /// Takes an idle connection out of the order.
    fn unpark(&mut self, link: LinkId) {
        let Some(row) = self.links.get(&link) else { return };
        if let State::Idle(since) = row.state {
            self.idle.remove(&(since, link));
            if let Some(place) = self.places.get_mut(&row.server) {
                place.idle.retain(|other| *other != link);
            }
        }
    }

    /// Keeps a connection that is free again, if it is of use.
    fn park(&mut self, now: Micros, link: LinkId, commands: &mut Commands<A>) {
        let fits = self.leads(link) && (!self.stopped || self.bugs.planted(Bug::KeptAfterStop));
        let most = self.bounds.idle_at_one;
        let Some(row) = self.links.get_mut(&link) else { return };
        match self.places.get_mut(&row.server) {
            Some(place) if fits && !row.gone && place.idle.len() < most => {
                row.used |= row.state == State::Written;
                (row.state, row.of) = (State::Idle(now), None);
                place.idle.push(link);
                self.idle.insert((now, link));
            }
            _ => self.close(link, commands),
        }
    }

    fn close(&mut self, link: LinkId, commands: &mut Commands<A>) {
        self.unpark(link);
        let Some(row) = self.links.get_mut(&link).filter(|row| row.state != State::Closing) else { return };
        (row.state, row.of) = (State::Closing, None);
        commands.push(Command::Close { link });
    }

    /// The same for a request whose attempt waits until it is closed.
    fn close_for(&mut self, link: LinkId, id: &RequestId, commands: &mut Commands<A>) {
        self.close(link, commands);
        if let Some(row) = self.links.get_mut(&link) {
            row.of = Some(id.clone());
        }
    }

    fn gone(&mut self, link: LinkId, commands: &mut Commands<A>) {
        match self.links.get_mut(&link) {
            Some(row) if matches!(row.state, State::Idle(_)) => self.close(link, commands),
            // What came of the exchange is told by itself.
            Some(row) => row.gone = true,
            None => {}
        }
    }

    fn closed(&mut self, now: Micros, link: LinkId, commands: &mut Commands<A>) {
        if self.links.get(&link).is_none_or(|row| row.state != State::Closing) {
            return;
        }
        let Some(Link { of: Some(id), .. }) = self.links.remove(&link) else { return };
        let Some(row) = self.rows.get(&id) else { return };
        match row.out.as_ref().map(|out| out.stage) {
            Some(Stage::Ending(other, outcome)) if other == link => self.ended(&id, outcome),
            Some(Stage::Waiting(other)) if other == link => {
                let wanted = row.open && row.out.as_ref().is_some_and(|out| now < out.until);
                if wanted {
                    self.start(now, &id, commands);
                } else {
                    self.ended(&id, Outcome::NotSent);
                }
            }
            _ => {}
        }
    }

    /// Follows the list. Who is gone, or not on a whole list, and who moved, loses its idle connections and those that
    /// are being made.
    fn listed(&mut self, whole: bool, entries: Vec<(ServerEntry, A)>, commands: &mut Commands<A>) {
        let mut lost: Vec<ServerId> = Vec::new();
        if whole {
            let ready: BTreeSet<ServerId> = entries.iter().map(|(entry, _)| entry.server).collect();
            lost.extend(self.places.keys().filter(|server| !ready.contains(server)));
            lost.sort();
        }
        for (entry, dial) in &entries {
            let (server, ready) = (entry.server, entry.standing == Standing::Ready);
            let place = self.places.get(&server);
            if place.is_some_and(|place| !ready || place.dial != *dial) {
                lost.push(server);
            }
        }
        for server in &lost {
            let idle = self.places.get(server).map(|place| place.idle.clone()).unwrap_or_default();
            idle.into_iter().for_each(|link| self.close(link, commands));
            self.places.remove(server);
        }
        let mut told = Vec::with_capacity(entries.len());
        for (entry, dial) in entries {
            if entry.standing == Standing::Ready {
                let fresh = Place { dial, zone: entry.zone, cell: entry.cell, idle: Vec::new() };
                let place = self.places.entry(entry.server).or_insert(fresh);
                (place.zone, place.cell) = (entry.zone, entry.cell);
            } else if let Some(place) = self.places.remove(&entry.server) {
                // It stands on the list twice, and this is the later word.
                place.idle.into_iter().for_each(|link| self.close(link, commands));
            }
            told.push(entry);
        }
        let kind = if whole { ListKind::Complete } else { ListKind::Changes };
        self.pending.push_back(ModuleEvent::Servers { kind, entries: told });
        if !lost.is_empty() && !self.bugs.planted(Bug::DrainCheckedBeforeConnectOnly) {
            let made = self.links.iter().filter(|(link, row)| {
                row.state == State::Connecting && lost.contains(&row.server) && !self.leads(**link)
            });
            let mut made: Vec<LinkId> = made.map(|(link, _)| *link).collect();
            made.sort();
            let made: Vec<RequestId> = made.into_iter().filter_map(|link| self.on(link)).collect();
            made.iter().for_each(|id| self.give_up(id, Outcome::Cancelled, commands));
        }
    }

    /// Gives all that is open, and all that comes, no more time than the process has.
    fn ending(&mut self, answer_by: Micros) {
        self.answer_by = self.answer_by.min(answer_by);
        if self.bugs.planted(Bug::EndForgotten) {
            return;
        }
        let open: Vec<RequestId> =
            self.rows.iter().filter(|(_, row)| row.open).map(|(id, _)| id.clone()).collect();
        for id in open {
            self.rows.entry(id.clone()).and_modify(|row| row.cut(self.answer_by));
            self.arm(&id);
        }
    }

    fn stop(&mut self, commands: &mut Commands<A>) {
        self.stopped = true;
        if self.bugs.planted(Bug::KeptAfterStop) {
            return;
        }
        let idle: Vec<LinkId> = self.idle.iter().map(|(_, link)| *link).collect();
        idle.into_iter().for_each(|link| self.close(link, commands));
    }

    // Time.

    /// Ends what is past its time and was not answered, whatever the module says. Where the process's end cuts the client's
    /// time short, and trying again is harmless, the client is told so.
    fn expire(&mut self, now: Micros, commands: &mut Commands<A>) {
        if self.alarms.first().is_none_or(|(at, _)| *at > now) {
            return;
        }
        let late = |id: &RequestId| {
            let row = self.rows.get(id)?;
            let over = now >= row.answered_by(self.bounds.overdue);
            let refused = row.cut_short && row.open && row.may_be_refused();
            let verdict = if refused { Verdict::Refused(None) } else { Verdict::Failed };
            let wanted = row.open || self.bugs.planted(Bug::DeadlineRacedByReply);
            (over && wanted).then(|| (id.clone(), verdict))
        };
        let due = self.alarms.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<(RequestId, Verdict)> = due.filter_map(|(_, id)| late(id)).collect();
        due.iter().for_each(|(id, verdict)| self.end(now, id, *verdict, commands));
    }

    fn tick(&mut self, now: Micros, commands: &mut Commands<A>) {
        let due = self.alarms.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<RequestId> = due.map(|(_, id)| id.clone()).collect();
        for id in due {
            let out = self.rows.get(&id).and_then(|row| row.out.as_ref());
            if out.is_some_and(|out| now >= out.limit) {
                self.give_up(&id, Outcome::TimedOut, commands);
            }
        }
        while let Some((since, link)) = self.idle.first().copied() {
            if now < since.saturating_add(self.bounds.idle_for) {
                break;
            }
            self.close(link, commands);
        }
    }

    /// Writes all that its future hangs on into a hash, connections by their order and not by their numbers, so that
    /// two states that differ in history only are one.
    pub fn digest(&self, hasher: &mut impl Hasher) {
        let mut links: Vec<_> = self.links.keys().copied().collect();
        links.sort();
        let rank = |link: LinkId| links.binary_search(&link).unwrap_or(usize::MAX);
        let mut rows: Vec<_> = self.rows.iter().collect();
        rows.sort_by_key(|(id, _)| *id);
        for (id, row) in rows {
            (id, row.deadline, row.process_end, row.cut_short, row.open, row.attempts, row.ran, row.alarm)
                .hash(hasher);
            (row.whole, row.spent, row.passing).hash(hasher);
            let Some(out) = &row.out else { continue };
            (out.number, out.server, out.until, out.limit, out.began).hash(hasher);
            match out.stage {
                Stage::Waiting(link) => (0, rank(link), None::<Outcome>).hash(hasher),
                Stage::On(link) => (1, rank(link), None::<Outcome>).hash(hasher),
                Stage::Ending(link, outcome) => (2, rank(link), Some(outcome)).hash(hasher),
            }
        }
        for link in &links {
            let row = &self.links[link];
            (row.server, row.dial, row.state, row.used, row.gone, &row.of).hash(hasher);
        }
        let mut places: Vec<_> = self.places.iter().collect();
        places.sort_by_key(|(server, _)| **server);
        for (server, place) in places {
            let idle: Vec<usize> = place.idle.iter().map(|link| rank(*link)).collect();
            (server, place.dial, place.zone, place.cell, idle).hash(hasher);
        }
        (self.stopped, self.answer_by, self.next_ticket).hash(hasher);
    }

    /// What is wrong between the tables, which say the same in several ways.
    ///
    /// # Errors
    /// The first disagreement, in words.
    pub fn consistent(&self) -> Result<(), &'static str> {
        let said = |yes: bool, what| if yes { Ok(()) } else { Err(what) };
        let alarms: Alarms =
            self.rows.iter().filter_map(|(id, row)| Some((row.alarm?, id.clone()))).collect();
        said(alarms == self.alarms, "the order of alarms is not that of the rows")?;
        let due = self.rows.values().all(|row| row.alarm == row.due(self.bounds.overdue));
        said(due, "an alarm is not set as its row needs")?;
        let owed = self.rows.values().all(|row| row.open || row.out.is_some());
        said(owed, "a row is kept though nothing is owed")?;
        let idle = self.links.iter().filter_map(|(link, row)| match row.state {
            State::Idle(since) => Some((since, *link)),
            _ => None,
        });
        said(idle.collect::<BTreeSet<_>>() == self.idle, "the order of idle connections is not theirs")?;
        let at: BTreeSet<LinkId> =
            self.places.values().flat_map(|place| place.idle.iter().copied()).collect();
        let same = at == self.idle.iter().map(|(_, link)| *link).collect();
        said(same, "a server's idle connections are not those that are idle")?;
        let led = self.idle.iter().all(|(_, link)| self.leads(*link));
        said(led, "a connection is kept that leads nowhere")?;
        said(self.links.len() <= self.bounds.links, "there are more connections than may be")
    }
}

impl Row {
    /// Whether trying again is harmless, as a refusal promises.
    fn may_be_refused(&self) -> bool {
        let began = self.out.as_ref().is_some_and(|out| out.began.is_some());
        let may_have_run = self.ran.is_some() || (began && self.whole);
        match self.effect {
            Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
            Effect::Keyed { .. } | Effect::Unsafe => !may_have_run,
        }
    }
}
