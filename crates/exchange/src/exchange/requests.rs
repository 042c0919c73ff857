//! The life of a request: taken, answered, abandoned, and when it has to be looked at.

use super::{end_of, Commands, Exchange, LATE};
use crate::table::Row;
use crate::{Bug, Bugs, Command, FinalAnswer, Invariant, Policy, Ticket};
use saffronpaddle_admin::RequestEnd;
use saffronpaddle_policy::interface::{
    DeduplicationScope, Event as ModuleEvent, Idempotency, Micros, RequestId,
};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    pub(super) fn asked(
        &mut self,
        now: Micros,
        effect: Idempotency,
        deadline: Micros,
        mut tell: ModuleEvent,
        commands: &mut Commands<A>,
    ) {
        let ModuleEvent::RequestArrived {
            id,
            class,
            complete: whole,
            timeout: patience,
            ..
        } = &mut tell
        else {
            return;
        };
        if self.contains(id) {
            return;
        }
        *patience = (*patience).min(self.answer_by.saturating_sub(now));
        let ticket = self.next_ticket();
        self.next_ticket += 1;
        let (class, whole) = (class.0, *whole);
        self.tally.taken(class);
        if now >= self.answer_by {
            // The process has no time left for it. Nothing of it has been sent, so that trying again is harmless.
            self.tally.ended(class, RequestEnd::Throttled);
            return commands.push(Command::Answer {
                id: id.clone(),
                answer: FinalAnswer::Rejected(None),
            });
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

    pub(super) fn client_gone(&mut self, id: &RequestId, ticket: Ticket) {
        let Some(row) = self.rows.get(id) else { return };
        if row.ticket == ticket || self.bugs.planted(Bug::TicketIgnored) {
            self.abandon(id, false);
        }
    }

    /// Nobody waits for an answer any more. The module calls the attempt off, where that is allowed.
    pub(super) fn abandon(&mut self, id: &RequestId, answered: bool) {
        let Some(row) = self.rows.get_mut(id).filter(|row| row.open) else {
            return;
        };
        row.open = false;
        if !answered {
            self.tally.ended(row.class, RequestEnd::Gone);
        }
        if self.bugs.planted(Bug::EndNeverTold) {
            self.rows.remove(id);
            self.alarms.retain(|(_, other)| other != id);
        }
        self.pending
            .push_back(ModuleEvent::RequestAbandoned { id: id.clone() });
        self.settle_row(id);
    }

    /// Answers a request, unless that has been done: an open row is the right to answer.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        id: &RequestId,
        verdict: FinalAnswer,
        commands: &mut Commands<A>,
    ) {
        let Some(row) = self.rows.get_mut(id).filter(|row| row.open) else {
            return;
        };
        self.violations.check(
            row.is_in_time(now, self.bounds.answer_grace),
            Invariant::AnsweredInTime,
            id,
        );
        row.open = false;
        self.tally.ended(row.class, end_of(verdict));
        commands.push(Command::Answer {
            id: id.clone(),
            answer: verdict,
        });
        self.settle_row(id);
    }

    /// Ends a request, whatever the module says, which hears of it.
    pub(super) fn end(
        &mut self,
        now: Micros,
        id: &RequestId,
        verdict: FinalAnswer,
        commands: &mut Commands<A>,
    ) {
        if let Some(row) = self.rows.get(id).filter(|row| row.open) {
            self.violations.check(
                row.is_in_time(now, self.bounds.answer_grace),
                Invariant::AnsweredInTime,
                id,
            );
            self.tally.ended(row.class, end_of(verdict));
        }
        commands.push(Command::Answer {
            id: id.clone(),
            answer: verdict,
        });
        self.abandon(id, true);
    }

    /// Sets a row's alarm anew, or lets go of a row of which nothing is owed any more.
    pub(super) fn settle_row(&mut self, id: &RequestId) {
        if self
            .rows
            .get(id)
            .is_some_and(|row| row.open || row.out.is_some())
        {
            return self.arm(id);
        }
        if let Some(Row {
            alarm: Some(at), ..
        }) = self.rows.remove(id)
        {
            self.alarms.remove(&(at, id.clone()));
        }
    }

    pub(super) fn arm(&mut self, id: &RequestId) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let due = row.due(self.bounds.answer_grace);
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
}

impl Row {
    /// Whether an answer of now is in time, or late by no more than a process may be held up.
    fn is_in_time(&self, now: Micros, overdue: Micros) -> bool {
        now <= self.answered_by(overdue).saturating_add(LATE)
    }

    /// Whether trying again is harmless, as a refusal promises.
    pub(super) fn may_be_refused(&self) -> bool {
        let began = self.out.as_ref().is_some_and(|out| out.began.is_some());
        let may_have_run = self.ran.is_some() || (began && self.whole);
        match self.effect {
            Idempotency::Idempotent
            | Idempotency::WithKey {
                scope: DeduplicationScope::All,
                ..
            } => true,
            Idempotency::WithKey { .. } | Idempotency::NonIdempotent => !may_have_run,
        }
    }
}
