//! What time alone brings about: deadlines, time-outs, idle limits and the end of the process.

use super::{Commands, Exchange};
use crate::{Bug, Bugs, ConnectionId, FinalAnswer, Policy};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// Gives all that is open, and all that comes, no more time than the process has.
    pub(super) fn ending(&mut self, answer_by: Micros) {
        self.answer_by = self.answer_by.min(answer_by);
        if self.bugs.planted(Bug::EndForgotten) {
            return;
        }
        let open: Vec<RequestId> = self
            .rows
            .iter()
            .filter(|(_, row)| row.open)
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            self.rows
                .entry(id.clone())
                .and_modify(|row| row.cut(self.answer_by));
            self.arm(&id);
        }
    }

    pub(super) fn stop(&mut self, commands: &mut Commands<A>) {
        self.stopped = true;
        if self.bugs.planted(Bug::KeptAfterStop) {
            return;
        }
        let idle: Vec<ConnectionId> = self.idle.iter().map(|(_, link)| *link).collect();
        idle.into_iter().for_each(|link| self.close(link, commands));
    }

    /// Ends what is past its time and was not answered, whatever the module says. Where the process's end cuts the client's
    /// time short, and trying again is harmless, the client is told so.
    pub(super) fn expire(&mut self, now: Micros, commands: &mut Commands<A>) {
        if self.alarms.first().is_none_or(|(at, _)| *at > now) {
            return;
        }
        let late = |id: &RequestId| {
            let row = self.rows.get(id)?;
            let over = now >= row.answered_by(self.bounds.answer_grace);
            let refused = row.cut_short && row.open && row.may_be_refused();
            let verdict = if refused {
                FinalAnswer::Rejected(None)
            } else {
                FinalAnswer::Failed
            };
            let wanted = row.open || self.bugs.planted(Bug::DeadlineRacedByReply);
            (over && wanted).then(|| (id.clone(), verdict))
        };
        let due = self.alarms.iter().take_while(|(at, _)| *at <= now);
        let due: Vec<(RequestId, FinalAnswer)> = due.filter_map(|(_, id)| late(id)).collect();
        due.iter()
            .for_each(|(id, verdict)| self.end(now, id, *verdict, commands));
    }

    pub(super) fn tick(&mut self, now: Micros, commands: &mut Commands<A>) {
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
}
