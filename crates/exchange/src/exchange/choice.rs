//! An attempt that was chosen: whether it may go, and on which connection.

use super::{Commands, Exchange};
use crate::guard::{self, Facts};
use crate::table::{Link, Out, Stage, State};
use crate::{Bug, Bugs, Command, ConnectionId, FinalAnswer, Policy};
use saffronpaddle_policy::interface::{
    DeduplicationScope, Idempotency, Micros, Outcome, RequestId, ServerId,
};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// Sends a request as the module has it, unless that would break a rule: then the attempt ends unsent at once.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        time_out: Option<Micros>,
        commands: &mut Commands<A>,
    ) {
        // The module hears of each request that is answered or abandoned, and owes no such one anything.
        let Some(row) = self.rows.get_mut(id).filter(|row| row.open) else {
            return;
        };
        let number = row.attempts;
        row.attempts += 1;
        let until = time_out.map_or(row.deadline, |span| {
            row.deadline.min(now.saturating_add(span))
        });
        let attempt_out = row.out.is_some() && !self.bugs.planted(Bug::TwoAttemptsOut);
        let body_gone = row.spent && !self.bugs.planted(Bug::GoneBodySentAgain);
        if row.attempts > self.bounds.max_attempts {
            return self.end(now, id, FinalAnswer::Failed, commands);
        }
        let facts = Facts {
            attempt_out,
            body_gone,
            ..self.facts(now, until, id, server, true)
        };
        if !self.passes(&facts) {
            return self.tell_end(id, number, Outcome::NotSent, false);
        }
        let stage = Stage::Waiting(ConnectionId(u64::MAX));
        if let Some(row) = self.rows.get_mut(id) {
            row.out = Some(Out {
                number,
                server,
                until,
                limit: until,
                began: None,
                stage,
            });
        }
        self.start(now, id, commands);
    }

    /// What the guard has to know of an attempt at a server: when it is chosen, or (`choice` is false) later. Whether another
    /// is out, and where the connection leads, is the caller's to say.
    pub(super) fn facts(
        &self,
        now: Micros,
        until: Micros,
        id: &RequestId,
        server: ServerId,
        choice: bool,
    ) -> Facts {
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
    pub(super) fn may_go(
        &self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        choice: bool,
    ) -> bool {
        let Some(row) = self.rows.get(id) else {
            return false;
        };
        let Some(ran) = row.ran else { return true };
        let Some(place) = self.places.get(&server) else {
            return false;
        };
        match row.effect {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => self.bugs.planted(Bug::UnsafeResent),
            Idempotency::WithKey {
                scope: group,
                window,
            } => {
                let inside = match group {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => place.zone == ran.zone,
                    DeduplicationScope::Domain => place.cell == ran.cell,
                };
                let passed_over = !choice && self.bugs.planted(Bug::WindowCheckedAtChoiceOnly);
                (inside || self.bugs.planted(Bug::GroupForgotten))
                    && (passed_over || now <= ran.at.saturating_add(window))
            }
        }
    }

    /// Finds a connection for the attempt that is out, or has one made.
    pub(super) fn start(&mut self, now: Micros, id: &RequestId, commands: &mut Commands<A>) {
        let Some(out) = self.rows.get(id).and_then(|row| row.out.as_ref()) else {
            return;
        };
        let server = out.server;
        if let Some(link) = self.take_idle(now, server, commands) {
            self.tally.connections_reused += 1;
            if let Some(row) = self.links.get_mut(&link) {
                (row.state, row.of) = (State::Queued, Some(id.clone()));
            }
            commands.push(Command::Send {
                connection: link,
                id: id.clone(),
                server,
            });
            return self.stage(id, Stage::On(link), None);
        }
        let Some(dial) = self.places.get(&server).map(|place| place.dial) else {
            return self.ended(id, Outcome::NotSent);
        };
        let counted = if self.bugs.planted(Bug::IdleNotCounted) {
            self.links
                .values()
                .filter(|link| !matches!(link.state, State::Idle(_)))
                .count()
        } else {
            self.links.len()
        };
        if counted >= self.bounds.max_connections {
            return self.wait(id, commands);
        }
        self.next_link += 1;
        self.tally.connects += 1;
        let link = ConnectionId(self.next_link);
        let of = Some(id.clone());
        let row = Link {
            server,
            dial,
            state: State::Connecting,
            used: false,
            gone: false,
            of,
        };
        self.links.insert(link, row);
        commands.push(Command::Connect {
            connection: link,
            address: dial,
        });
        self.stage(
            id,
            Stage::On(link),
            Some(now.saturating_add(self.bounds.connect_timeout)),
        );
    }

    /// Makes room: the connection that has been idle longest is closed, and the attempt waits for that.
    pub(super) fn wait(&mut self, id: &RequestId, commands: &mut Commands<A>) {
        let Some((_, oldest)) = self.idle.first().copied() else {
            return self.ended(id, Outcome::NotSent);
        };
        self.close_for(oldest, id, commands);
        self.stage(id, Stage::Waiting(oldest), None);
    }

    /// The attempt goes on so; `sooner` bounds the step.
    pub(super) fn stage(&mut self, id: &RequestId, stage: Stage, sooner: Option<Micros>) {
        if let Some(out) = self.rows.get_mut(id).and_then(|row| row.out.as_mut()) {
            out.stage = stage;
            out.limit = sooner.map_or(out.until, |sooner| sooner.min(out.until));
        }
        self.arm(id);
    }

    /// The request whose attempt is on a connection now; none once it was given up.
    pub(super) fn on(&self, link: ConnectionId) -> Option<RequestId> {
        let id = self.links.get(&link)?.of.as_ref()?;
        let out = self.rows.get(id)?.out.as_ref()?;
        (out.stage == Stage::On(link)).then(|| id.clone())
    }

    /// Whether the attempt on a connection may still begin: its request is open and in time, and the connection leads to
    /// its server, which is ready, where that is now.
    pub(super) fn fit(&mut self, now: Micros, id: &RequestId, link: ConnectionId) -> bool {
        let Some(row) = self.rows.get(id) else {
            return false;
        };
        let Some(out) = row.out.as_ref() else {
            return false;
        };
        let unchecked = self.bugs.planted(Bug::DrainCheckedBeforeConnectOnly);
        let facts = self.facts(now, out.until, id, out.server, false);
        let facts = Facts {
            server_ready: self.leads(link) || unchecked,
            repeat_allowed: facts.repeat_allowed || (unchecked && row.ran.is_none()),
            ..facts
        };
        self.passes(&facts)
    }

    /// Whether the guard lets a step through; a denial is counted.
    fn passes(&mut self, facts: &Facts) -> bool {
        let checked = guard::check(facts);
        if let Err(denial) = checked {
            *self.denials.entry(denial).or_default() += 1;
        }
        checked.is_ok()
    }

    /// Whether a connection reaches its server where that is now. Guards drains, and addresses that pass from one to
    /// another.
    pub(super) fn leads(&self, link: ConnectionId) -> bool {
        let Some(link) = self.links.get(&link) else {
            return false;
        };
        let place = self.places.get(&link.server);
        place.is_some_and(|place| {
            place.dial == link.dial || self.bugs.planted(Bug::AddressNotCompared)
        })
    }
}
