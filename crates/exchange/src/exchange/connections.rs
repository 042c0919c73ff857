//! Connections to servers: kept, used again and closed.

use super::{Commands, Exchange};
use crate::table::{Link, Stage, State};
use crate::{Bug, Bugs, Command, ConnectionId, Policy};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId, ServerId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// The connection to a server that came back last and has settled, so that the others may grow old.
    pub(super) fn take_idle(
        &mut self,
        now: Micros,
        server: ServerId,
        commands: &mut Commands<A>,
    ) -> Option<ConnectionId> {
        let settle = if self.bugs.planted(Bug::NoSettling) {
            0
        } else {
            self.bounds.reuse_delay
        };
        loop {
            let place = self.places.get(&server)?;
            let since = |link: &ConnectionId| match self.links.get(link)?.state {
                State::Idle(since) => Some(since),
                _ => None,
            };
            let settled = |link: &&ConnectionId| {
                since(link).is_none_or(|since| now >= since.saturating_add(settle))
            };
            let link = *place.idle.iter().rev().find(settled)?;
            if since(&link).is_some_and(|since| now < since.saturating_add(self.bounds.idle_for)) {
                self.unpark(link);
                return Some(link);
            }
            self.close(link, commands);
        }
    }

    /// Takes an idle connection out of the order.
    pub(super) fn unpark(&mut self, link: ConnectionId) {
        let Some(row) = self.links.get(&link) else {
            return;
        };
        if let State::Idle(since) = row.state {
            self.idle.remove(&(since, link));
            if let Some(place) = self.places.get_mut(&row.server) {
                place.idle.retain(|other| *other != link);
            }
        }
    }

    /// Keeps a connection that is free again, if it is of use.
    pub(super) fn park(&mut self, now: Micros, link: ConnectionId, commands: &mut Commands<A>) {
        let fits = self.leads(link) && (!self.stopped || self.bugs.planted(Bug::KeptAfterStop));
        let most = self.bounds.max_idle_per_server;
        let Some(row) = self.links.get_mut(&link) else {
            return;
        };
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

    pub(super) fn close(&mut self, link: ConnectionId, commands: &mut Commands<A>) {
        self.unpark(link);
        let Some(row) = self
            .links
            .get_mut(&link)
            .filter(|row| row.state != State::Closing)
        else {
            return;
        };
        (row.state, row.of) = (State::Closing, None);
        commands.push(Command::Close { connection: link });
    }

    /// The same for a request whose attempt waits until it is closed.
    pub(super) fn close_for(
        &mut self,
        link: ConnectionId,
        id: &RequestId,
        commands: &mut Commands<A>,
    ) {
        self.close(link, commands);
        if let Some(row) = self.links.get_mut(&link) {
            row.of = Some(id.clone());
        }
    }

    pub(super) fn gone(&mut self, link: ConnectionId, commands: &mut Commands<A>) {
        match self.links.get_mut(&link) {
            Some(row) if matches!(row.state, State::Idle(_)) => self.close(link, commands),
            // What came of the exchange is told by itself.
            Some(row) => row.gone = true,
            None => {}
        }
    }

    pub(super) fn closed(&mut self, now: Micros, link: ConnectionId, commands: &mut Commands<A>) {
        if self
            .links
            .get(&link)
            .is_none_or(|row| row.state != State::Closing)
        {
            return;
        }
        let Some(Link { of: Some(id), .. }) = self.links.remove(&link) else {
            return;
        };
        let Some(row) = self.rows.get(&id) else {
            return;
        };
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
}
