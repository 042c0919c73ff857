//! Inspection of the tables by the model checker.

use super::Exchange;
use crate::tables::{AttemptStage, ConnectionState, OutstandingAttempt, RequestState, TimerQueue};
use crate::{Bugs, ConnectionId, Policy};
use saffronpaddle_policy::interface::{Outcome, RequestId};
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Hashes all state that future behaviour depends on. Connections are hashed by rank instead of id, so that states
    /// that differ only in their history have the same hash.
    pub fn digest(&self, hasher: &mut impl Hasher) {
        let mut ids: Vec<_> = self.connections.keys().copied().collect();
        ids.sort();
        let rank_of = |id: ConnectionId| ids.binary_search(&id).unwrap_or(usize::MAX);
        let mut requests: Vec<_> = self.requests.iter().collect();
        requests.sort_by_key(|(id, _)| *id);
        for (id, request) in requests {
            hash_request(id, request, hasher);
            if let Some(attempt) = &request.outstanding {
                hash_attempt(attempt, rank_of, hasher);
            }
        }
        for id in &ids {
            let connection = &self.connections[id];
            connection.server.hash(hasher);
            connection.address.hash(hasher);
            connection.state.hash(hasher);
            connection.reused.hash(hasher);
            connection.closed_by_peer.hash(hasher);
            connection.request.hash(hasher);
        }
        let mut servers: Vec<_> = self.servers.iter().collect();
        servers.sort_by_key(|(id, _)| **id);
        for (id, server) in servers {
            let idle: Vec<usize> = server.idle.iter().map(|id| rank_of(*id)).collect();
            (id, server.address, server.location, idle).hash(hasher);
        }
        let finished_ids: BTreeSet<&RequestId> = self.finished_ids.iter().collect();
        finished_ids.hash(hasher);
        (self.draining, self.shutdown_deadline, self.next_ticket).hash(hasher);
    }

    /// Checks that the tables, which hold some facts redundantly, agree with each other.
    ///
    /// # Errors
    /// A description of the first inconsistency.
    pub fn check_consistency(&self) -> Result<(), &'static str> {
        self.check_requests()?;
        self.check_idle_connections()?;
        check(
            self.connections.len() <= self.limits.max_connections,
            "the number of connections exceeds the limit",
        )
    }

    fn check_requests(&self) -> Result<(), &'static str> {
        let timers: TimerQueue = self
            .requests
            .iter()
            .filter_map(|(id, request)| Some((request.timer_at?, id.clone())))
            .collect();
        check(
            timers == self.timers,
            "the timer queue differs from the timers of the requests",
        )?;
        let due = self
            .requests
            .values()
            .all(|request| request.timer_at == request.next_due(self.limits.answer_grace));
        check(
            due,
            "the timer of a request is not set to the time when it is due",
        )?;
        let needed = self
            .requests
            .values()
            .all(|request| request.open || request.outstanding.is_some());
        check(
            needed,
            "a request is kept although it is closed and has no attempt",
        )
    }

    fn check_idle_connections(&self) -> Result<(), &'static str> {
        let idle: BTreeSet<_> = self
            .connections
            .iter()
            .filter_map(|(id, connection)| match connection.state {
                ConnectionState::Idle(since) => Some((since, *id)),
                _ => None,
            })
            .collect();
        check(
            idle == self.idle,
            "the idle queue differs from the states of the connections",
        )?;
        let idle_at_servers: BTreeSet<ConnectionId> = self
            .servers
            .values()
            .flat_map(|server| server.idle.iter().copied())
            .collect();
        check(
            idle_at_servers == self.idle.iter().map(|(_, id)| *id).collect(),
            "the idle connections of the servers differ from the idle queue",
        )?;
        let reach_servers = self.idle.iter().all(|(_, id)| self.reaches_server(*id));
        check(
            reach_servers,
            "an idle connection does not lead to the current address of a ready server",
        )
    }
}

fn check(holds: bool, inconsistency: &'static str) -> Result<(), &'static str> {
    if holds {
        Ok(())
    } else {
        Err(inconsistency)
    }
}

/// Hashes a request except its outstanding attempt.
fn hash_request(id: &RequestId, request: &RequestState, hasher: &mut impl Hasher) {
    id.hash(hasher);
    request.deadline.hash(hasher);
    request.shutdown_deadline.hash(hasher);
    request.shortened_by_shutdown.hash(hasher);
    request.open.hash(hasher);
    request.attempts.hash(hasher);
    request.first_dispatched.hash(hasher);
    request.timer_at.hash(hasher);
    request.body_received.hash(hasher);
    request.body_complete.hash(hasher);
    request.body_consumed.hash(hasher);
    request.streaming.hash(hasher);
}

fn hash_attempt(
    attempt: &OutstandingAttempt,
    rank_of: impl Fn(ConnectionId) -> usize,
    hasher: &mut impl Hasher,
) {
    attempt.number.hash(hasher);
    attempt.server.hash(hasher);
    attempt.deadline.hash(hasher);
    attempt.policy_deadline.hash(hasher);
    attempt.stage_deadline.hash(hasher);
    attempt.dispatched.hash(hasher);
    match attempt.stage {
        AttemptStage::AwaitingSlot(id) => (0, rank_of(id), None::<Outcome>).hash(hasher),
        AttemptStage::OnConnection(id) => (1, rank_of(id), None::<Outcome>).hash(hasher),
        AttemptStage::Closing(id, outcome) => (2, rank_of(id), Some(outcome)).hash(hasher),
    }
}
