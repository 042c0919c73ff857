//! Starts the attempts that the policy asks for, on an idle or a new connection.

use super::eligibility::CheckedStep;
use super::{Commands, Exchange};
use crate::guard::StepFacts;
use crate::response_pace::ResponsePace;
use crate::tables::{AttemptStage, Connection, ConnectionState, OutstandingAttempt};
use crate::{Bug, Bugs, Command, ConnectionId, FinalAnswer, Policy};
use saffronpaddle_policy::interface::{Micros, Outcome, RequestId, ServerId};
use std::hash::Hash;

/// Placeholder for the connection of an attempt that has none yet. Connection ids count up from 1 and never reach it.
const NO_CONNECTION: ConnectionId = ConnectionId(u64::MAX);

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Starts an attempt that the policy asks for. If the guard denies it, the attempt ends immediately as `NotSent`.
    pub(super) fn dispatch(
        &mut self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        timeout: Option<Micros>,
        commands: &mut Commands<A>,
    ) {
        // The policy has been notified that the request is answered or abandoned, and expects no `AttemptEnded` for
        // this attempt.
        let Some(request) = self.requests.get_mut(id).filter(|request| request.open) else {
            return;
        };
        let number = request.attempts;
        request.attempts += 1;
        if request.attempts > self.limits.max_attempts {
            return self.force_answer(now, id, FinalAnswer::Failed, commands);
        }
        let policy_deadline = timeout.map_or(Micros::MAX, |timeout| now.saturating_add(timeout));
        let deadline = policy_deadline.min(request.deadline);
        let attempt_outstanding =
            request.outstanding.is_some() && !self.bugs.planted(Bug::TwoAttemptsOut);
        let body_consumed = request.body_consumed && !self.bugs.planted(Bug::GoneBodySentAgain);
        let facts = StepFacts {
            attempt_outstanding,
            body_consumed,
            ..self.step_facts(now, deadline, id, server, CheckedStep::Choice)
        };
        if !self.permitted(&facts) {
            return self.notify_attempt_ended(id, number, Outcome::NotSent, false);
        }
        if let Some(request) = self.requests.get_mut(id) {
            request.outstanding = Some(OutstandingAttempt {
                number,
                server,
                policy_deadline,
                deadline,
                stage_deadline: Micros::MAX,
                dispatched: None,
                stage: AttemptStage::AwaitingSlot(NO_CONNECTION),
                response_pace: ResponsePace::default(),
            });
        }
        self.start_attempt(now, id, commands);
    }

    /// Assigns an idle connection to the outstanding attempt, or opens a new one.
    pub(super) fn start_attempt(
        &mut self,
        now: Micros,
        id: &RequestId,
        commands: &mut Commands<A>,
    ) {
        let Some(attempt) = self
            .requests
            .get(id)
            .and_then(|request| request.outstanding.as_ref())
        else {
            return;
        };
        let server = attempt.server;
        if let Some(connection) = self.take_idle(now, server, commands) {
            return self.reuse_connection(connection, id, server, commands);
        }
        let Some(address) = self.servers.get(&server).map(|ready| ready.address) else {
            return self.end_attempt(id, Outcome::NotSent);
        };
        if self.counted_connections() >= self.limits.max_connections {
            return self.wait_for_slot(id, commands);
        }
        self.connect(now, id, server, address, commands);
    }

    fn reuse_connection(
        &mut self,
        connection: ConnectionId,
        id: &RequestId,
        server: ServerId,
        commands: &mut Commands<A>,
    ) {
        self.counters.connections_reused += 1;
        if let Some(reused) = self.connections.get_mut(&connection) {
            reused.state = ConnectionState::Assigned;
            reused.request = Some(id.clone());
        }
        commands.push(Command::Send {
            connection,
            id: id.clone(),
            server,
        });
        self.set_stage(id, AttemptStage::OnConnection(connection), None);
    }

    fn connect(
        &mut self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        address: A,
        commands: &mut Commands<A>,
    ) {
        self.last_connection += 1;
        self.counters.connects += 1;
        let connection = ConnectionId(self.last_connection);
        self.connections.insert(
            connection,
            Connection {
                server,
                address,
                state: ConnectionState::Connecting,
                reused: false,
                closed_by_peer: false,
                request: Some(id.clone()),
            },
        );
        commands.push(Command::Connect {
            connection,
            address,
        });
        let connect_deadline = now.saturating_add(self.limits.connect_timeout);
        self.set_stage(
            id,
            AttemptStage::OnConnection(connection),
            Some(connect_deadline),
        );
    }

    /// Returns the number of connections that count towards the limit.
    fn counted_connections(&self) -> usize {
        if self.bugs.planted(Bug::IdleNotCounted) {
            self.connections
                .values()
                .filter(|connection| !matches!(connection.state, ConnectionState::Idle(_)))
                .count()
        } else {
            self.connections.len()
        }
    }

    /// Closes the connection that has been idle longest, and makes the attempt wait for its slot.
    fn wait_for_slot(&mut self, id: &RequestId, commands: &mut Commands<A>) {
        let Some((_, oldest)) = self.idle.first().copied() else {
            return self.end_attempt(id, Outcome::NotSent);
        };
        self.close_for(oldest, id, commands);
        self.set_stage(id, AttemptStage::AwaitingSlot(oldest), None);
    }

    /// Sets the stage of the outstanding attempt. It times out at `stage_deadline` or with the attempt, whichever is
    /// earlier; `None` sets no separate timeout.
    pub(super) fn set_stage(
        &mut self,
        id: &RequestId,
        stage: AttemptStage,
        stage_deadline: Option<Micros>,
    ) {
        let attempt = self
            .requests
            .get_mut(id)
            .and_then(|request| request.outstanding.as_mut());
        if let Some(attempt) = attempt {
            attempt.stage = stage;
            attempt.stage_deadline = stage_deadline.unwrap_or(Micros::MAX);
        }
        self.update_timer(id);
    }
}
