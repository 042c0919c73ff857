//! The pool of connections to servers: idle connections, their reuse and their closing.

use super::{Commands, Exchange};
use crate::tables::{AttemptStage, Connection, ConnectionState};
use crate::{Bug, Bugs, Command, ConnectionId, Policy};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId, ServerId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Takes the most recently used idle connection to a server whose reuse delay has passed, so that the others reach
    /// their idle timeout. Closes connections whose idle timeout has passed.
    pub(super) fn take_idle(
        &mut self,
        now: Micros,
        server: ServerId,
        commands: &mut Commands<A>,
    ) -> Option<ConnectionId> {
        let reuse_delay = if self.bugs.planted(Bug::NoSettling) {
            0
        } else {
            self.limits.reuse_delay
        };
        loop {
            let ready = self.servers.get(&server)?;
            let reuse_delay_passed = |id: &&ConnectionId| {
                self.idle_since(**id)
                    .is_none_or(|since| now >= since.saturating_add(reuse_delay))
            };
            let connection = *ready.idle.iter().rev().find(reuse_delay_passed)?;
            let within_idle_timeout = self
                .idle_since(connection)
                .is_some_and(|since| now < since.saturating_add(self.limits.idle_timeout));
            if within_idle_timeout {
                self.remove_from_idle(connection);
                return Some(connection);
            }
            self.close(connection, commands);
        }
    }

    fn idle_since(&self, connection: ConnectionId) -> Option<Micros> {
        match self.connections.get(&connection)?.state {
            ConnectionState::Idle(since) => Some(since),
            _ => None,
        }
    }

    /// Removes a connection from the idle queues if it is idle.
    fn remove_from_idle(&mut self, connection: ConnectionId) {
        let Some(found) = self.connections.get(&connection) else {
            return;
        };
        if let ConnectionState::Idle(since) = found.state {
            self.idle.remove(&(since, connection));
            if let Some(server) = self.servers.get_mut(&found.server) {
                server.idle.retain(|other| *other != connection);
            }
        }
    }

    /// Adds a connection to the idle pool, or closes it if it can't be reused.
    pub(super) fn keep_idle(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let keeps_connections = !self.draining || self.bugs.planted(Bug::KeptAfterStop);
        let useful = self.reaches_server(connection) && keeps_connections;
        let max_idle = self.limits.max_idle_per_server;
        let Some(freed) = self.connections.get_mut(&connection) else {
            return;
        };
        match self.servers.get_mut(&freed.server) {
            Some(server) if useful && !freed.closed_by_peer && server.idle.len() < max_idle => {
                freed.reused |= freed.state == ConnectionState::Written;
                freed.state = ConnectionState::Idle(now);
                freed.request = None;
                server.idle.push(connection);
                self.idle.insert((now, connection));
            }
            _ => self.close(connection, commands),
        }
    }

    /// Closes a connection unless it is closing already, and detaches it from its request.
    pub(super) fn close(&mut self, connection: ConnectionId, commands: &mut Commands<A>) {
        self.remove_from_idle(connection);
        let Some(closing) = self
            .connections
            .get_mut(&connection)
            .filter(|found| found.state != ConnectionState::Closing)
        else {
            return;
        };
        closing.state = ConnectionState::Closing;
        closing.request = None;
        commands.push(Command::Close { connection });
    }

    /// Closes a connection on behalf of a request whose attempt waits until it is closed.
    pub(super) fn close_for(
        &mut self,
        connection: ConnectionId,
        id: &RequestId,
        commands: &mut Commands<A>,
    ) {
        self.close(connection, commands);
        if let Some(closing) = self.connections.get_mut(&connection) {
            closing.request = Some(id.clone());
        }
    }

    pub(super) fn on_closed_by_peer(
        &mut self,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        match self.connections.get_mut(&connection) {
            Some(found) if matches!(found.state, ConnectionState::Idle(_)) => {
                self.close(connection, commands);
            }
            // The end of the attempt on it is reported by another event.
            Some(found) => found.closed_by_peer = true,
            None => {}
        }
    }

    /// Removes a closed connection. If an attempt waited for its end, the attempt ends or takes the free slot.
    pub(super) fn on_closed(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        if !self.is_in_state(connection, ConnectionState::Closing) {
            return;
        }
        let Some(Connection {
            request: Some(id), ..
        }) = self.connections.remove(&connection)
        else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let Some(attempt) = request.outstanding.as_ref() else {
            return;
        };
        let still_wanted = request.open && now < attempt.deadline;
        match attempt.stage {
            AttemptStage::Closing(other, outcome) if other == connection => {
                self.end_attempt(&id, outcome);
            }
            AttemptStage::AwaitingSlot(other) if other == connection && still_wanted => {
                self.start_attempt(now, &id, commands);
            }
            AttemptStage::AwaitingSlot(other) if other == connection => {
                self.end_attempt(&id, Outcome::NotSent);
            }
            _ => {}
        }
    }
}
