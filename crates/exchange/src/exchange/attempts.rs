//! The course of an attempt on its connection, from the connect to its end.

use super::{Commands, Exchange};
use crate::table::{Ran, Stage, State};
use crate::{Bug, Bugs, Command, ConnectionId, FinalAnswer, Invariant, Policy, Ticket};
use saffronpaddle_policy::interface::{
    AttemptNumber, DeduplicationScope, Event as ModuleEvent, Idempotency, Micros, Outcome,
    RequestId,
};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    pub(super) fn connected(
        &mut self,
        now: Micros,
        link: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.on(link) else { return };
        let Some(row) = self
            .links
            .get_mut(&link)
            .filter(|row| row.state == State::Connecting)
        else {
            return;
        };
        row.state = State::Queued;
        let server = row.server;
        if !self.fit(now, &id, link) {
            // What is not written has never run, and the connection is as good as new.
            self.park(now, link, commands);
            return self.ended(&id, Outcome::NotSent);
        }
        commands.push(Command::Send {
            connection: link,
            id: id.clone(),
            server,
        });
        if !self.bugs.planted(Bug::AlarmForgotten) {
            return self.stage(&id, Stage::On(link), None);
        }
        let Some(row) = self.rows.get_mut(&id) else {
            return;
        };
        if let (Some(out), Some(at)) = (row.out.as_mut(), row.alarm.take()) {
            out.limit = out.until;
            self.alarms.remove(&(at, id));
        }
    }

    pub(super) fn connect_failed(&mut self, link: ConnectionId, lack: bool) {
        if self
            .links
            .get(&link)
            .is_none_or(|row| row.state != State::Connecting)
        {
            return;
        }
        self.tally.connects_failed += u64::from(!lack);
        let id = self.on(link);
        if !self.bugs.planted(Bug::SlotLost) {
            self.links.remove(&link);
        }
        if let Some(id) = id {
            // Guards against blaming a server for what is lacking here.
            self.ended(
                &id,
                if lack {
                    Outcome::NotSent
                } else {
                    Outcome::Unreachable
                },
            );
        }
    }

    /// The last look before the first byte. Guards drains, requests that were answered meanwhile, time that has passed,
    /// and the rest of one answer being read as the next.
    pub(super) fn begin(
        &mut self,
        now: Micros,
        link: ConnectionId,
        quiet: bool,
        commands: &mut Commands<A>,
    ) {
        let queued = self
            .links
            .get(&link)
            .is_some_and(|row| row.state == State::Queued);
        let Some(id) = self.on(link).filter(|_| queued) else {
            return;
        };
        if !self.fit(now, &id, link) {
            return self.give_up(&id, Outcome::Cancelled, commands);
        }
        if !quiet && !self.bugs.planted(Bug::ReuseWithBytesWaiting) {
            return self.replace(now, &id, link, commands);
        }
        self.look_at_first_byte(now, &id, link);
        let Some(row) = self.links.get_mut(&link) else {
            return;
        };
        row.state = State::Written;
        let place = self
            .places
            .get(&row.server)
            .map_or_else(Default::default, |place| (place.zone, place.cell));
        if let Some(row) = self.rows.get_mut(&id) {
            row.spent = !row.whole;
            self.tally.relayed += u64::from(row.whole);
            if let Some(out) = row.out.as_mut() {
                out.began = Some(Ran {
                    zone: place.0,
                    cell: place.1,
                    at: now,
                });
            }
        }
        commands.push(Command::Write { connection: link });
    }

    /// Looks at what is about to be written, from the tables alone: the guard has let it through.
    pub(super) fn look_at_first_byte(&mut self, now: Micros, id: &RequestId, link: ConnectionId) {
        let (Some(row), Some(carrier)) = (self.rows.get(id), self.links.get(&link)) else {
            return;
        };
        let place = self.places.get(&carrier.server);
        let in_time = now <= row.deadline.min(self.answer_by);
        let ready = place.is_some_and(|place| place.dial == carrier.dial);
        let on_it = row
            .out
            .as_ref()
            .is_some_and(|out| out.stage == Stage::On(link) && out.began.is_none());
        let once = row.open && on_it;
        let safely = match (row.ran, row.effect, place) {
            (None, ..) | (_, Idempotency::Idempotent, _) => true,
            (
                Some(ran),
                Idempotency::WithKey {
                    scope: group,
                    window,
                },
                Some(place),
            ) => {
                let same_group = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => place.zone == ran.zone,
                    DeduplicationScope::Domain => place.cell == ran.cell,
                };
                same_group && now <= ran.at.saturating_add(window)
            }
            _ => false,
        };
        self.violations.check(in_time, Invariant::SentInTime, id);
        self.violations
            .check(ready, Invariant::SentToReadyServer, id);
        self.violations.check(once, Invariant::SentOnce, id);
        self.violations.check(safely, Invariant::RepeatedSafely, id);
    }

    /// A connection turned out bad before a byte was written: a kept one makes way for another, a new one speaks ill of
    /// its server.
    pub(super) fn replace(
        &mut self,
        now: Micros,
        id: &RequestId,
        link: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        if !self.links.get(&link).is_some_and(|row| row.used) {
            return self.give_up(id, Outcome::TimedOut, commands);
        }
        self.close(link, commands);
        self.start(now, id, commands);
    }

    pub(super) fn replied(
        &mut self,
        now: Micros,
        link: ConnectionId,
        outcome: Outcome,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.on(link) else {
            if self.bugs.planted(Bug::AnswerAfterCancel) && outcome == Outcome::Ok {
                if let Some(id) = self.links.get(&link).and_then(|row| row.of.clone()) {
                    self.answer(now, &id, FinalAnswer::Served, commands);
                }
            }
            return;
        };
        if self
            .links
            .get(&link)
            .is_none_or(|row| row.state != State::Written)
        {
            return;
        }
        if self.rows.get(&id).is_some_and(|row| !row.whole)
            && !self.bugs.planted(Bug::EarlyAnswerKept)
        {
            // It was answered before it was whole: what is left of it must not pass for the next, and what serves it was
            // made for something else.
            self.close(link, commands);
            let outcome = if outcome == Outcome::Ok {
                Outcome::Error
            } else {
                outcome
            };
            return self.ended(&id, outcome);
        }
        self.park(now, link, commands);
        if self.bugs.planted(Bug::DoubleRelease) {
            commands.push(Command::Close { connection: link });
        }
        if outcome == Outcome::Ok {
            self.answer(now, &id, FinalAnswer::Served, commands);
        }
        self.ended(&id, outcome);
    }

    /// The first bytes of an answer are there: it is the client's from now on, for as long as it takes.
    pub(super) fn passing(&mut self, now: Micros, link: ConnectionId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        let written = self
            .links
            .get(&link)
            .is_some_and(|row| row.state == State::Written);
        let Some(row) = self.rows.get_mut(&id).filter(|_| written) else {
            return;
        };
        if !row.whole || !row.open {
            // Answered before it was whole, or nobody waits: there is nobody to pass it on to.
            return self.give_up(&id, Outcome::ConnectionLost, commands);
        }
        row.passing = true;
        self.tally.streaming += 1;
        if let Some(out) = row.out.as_mut() {
            (out.until, out.limit) = (Micros::MAX, Micros::MAX);
        }
        self.answer(now, &id, FinalAnswer::Served, commands);
        self.pending.push_back(ModuleEvent::ResponseStarted { id });
    }

    /// The client of an answer that goes by has gone.
    pub(super) fn left(&mut self, link: ConnectionId, commands: &mut Commands<A>) {
        if let Some(id) = self
            .on(link)
            .filter(|id| self.rows.get(id).is_some_and(|row| row.passing))
        {
            self.give_up(&id, Outcome::Cancelled, commands);
        }
    }

    /// A request that came as it went is whole but for its last piece: its client's time begins, and the module has its say
    /// before that piece goes.
    pub(super) fn whole(&mut self, now: Micros, id: &RequestId, ticket: Ticket, deadline: Micros) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
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
        self.pending.push_back(ModuleEvent::BodyComplete {
            id: id.clone(),
            timeout: patience,
        });
        self.releasing = Some(id.clone());
    }

    /// Lets the last piece go, if the module has not ended the request.
    pub(super) fn release(&mut self, commands: &mut Commands<A>) {
        let Some(id) = self.releasing.take() else {
            return;
        };
        let Some(row) = self.rows.get_mut(&id).filter(|row| row.open) else {
            return;
        };
        let Some(Stage::On(link)) = row.out.as_ref().map(|out| out.stage) else {
            return;
        };
        if self
            .links
            .get(&link)
            .is_some_and(|row| row.state == State::Written)
        {
            row.whole = true;
            self.tally.relayed += 1;
            commands.push(Command::ReleaseBody { connection: link });
        }
    }

    /// The connection leaves the exchange with the answer. Whoever has it closes it, if nobody waits for the answer.
    pub(super) fn upgraded(&mut self, now: Micros, link: ConnectionId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        if self
            .links
            .get(&link)
            .is_none_or(|row| row.state != State::Written)
        {
            return;
        }
        self.links.remove(&link);
        self.answer(now, &id, FinalAnswer::Served, commands);
        self.ended(&id, Outcome::Ok);
    }

    pub(super) fn broken(&mut self, now: Micros, link: ConnectionId, commands: &mut Commands<A>) {
        let Some(id) = self.on(link) else { return };
        match self.links.get(&link) {
            Some(row) if row.state == State::Queued => self.replace(now, &id, link, commands),
            Some(row) if row.used && self.bugs.planted(Bug::ResendAfterFirstByte) => {
                self.replace(now, &id, link, commands);
            }
            Some(row) if row.state == State::Written => {
                self.give_up(&id, Outcome::ConnectionLost, commands);
            }
            _ => {}
        }
    }

    /// The attempt of a request is given up for such a reason. It ends when its connection is closed, so that no two
    /// attempts are ever out; of what was never written nothing can have run.
    pub(super) fn give_up(&mut self, id: &RequestId, why: Outcome, commands: &mut Commands<A>) {
        let Some(out) = self.rows.get(id).and_then(|row| row.out.as_ref()) else {
            return;
        };
        // Of a request that is not whole nothing can have run.
        let whole = self.rows.get(id).is_some_and(|row| row.whole)
            || self.bugs.planted(Bug::RunsBeforeWhole);
        let (stage, began, number) = (out.stage, out.began.is_some() && whole, out.number);
        let outcome = match why {
            _ if began => why,
            Outcome::ConnectionLost | Outcome::TimedOut => Outcome::Unreachable,
            _ => Outcome::NotSent,
        };
        match stage {
            Stage::Ending(..) => {}
            Stage::Waiting(_) => self.ended(id, Outcome::NotSent),
            Stage::On(link)
                if why == Outcome::Cancelled && self.bugs.planted(Bug::CancelWithoutClose) =>
            {
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
    pub(super) fn ended(&mut self, id: &RequestId, outcome: Outcome) {
        let last = self.bugs.planted(Bug::WindowFromLastSend);
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let Some(out) = row.out.take() else { return };
        self.tally.streaming -= u64::from(std::mem::take(&mut row.passing));
        if !matches!(
            outcome,
            Outcome::Ok | Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent
        ) {
            row.ran = if last {
                out.began.or(row.ran)
            } else {
                row.ran.or(out.began)
            };
        }
        let closed = !row.open;
        self.tell_end(id, out.number, outcome, closed);
        self.settle_row(id);
    }

    pub(super) fn tell_end(&mut self, id: &RequestId, number: u32, outcome: Outcome, closed: bool) {
        let attempt = AttemptNumber(number);
        self.pending.push_back(ModuleEvent::AttemptEnded {
            id: id.clone(),
            attempt,
            outcome,
            request_closed: closed,
        });
    }
}
