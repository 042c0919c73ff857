//! Responses to attempts: complete, streaming or upgrading responses, and lost connections.

use super::{Commands, Exchange};
use crate::tables::{ConnectionState, OutstandingAttempt, RequestState};
use crate::{Bug, Bugs, Command, ConnectionId, FinalAnswer, Policy};
use saffronpaddle_policy::interface::{Event as PolicyEvent, Micros, Outcome, RequestId};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    pub(super) fn on_response_complete(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        outcome: Outcome,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.request_on(connection) else {
            return self.late_response(now, connection, outcome, commands);
        };
        if !self.is_in_state(connection, ConnectionState::Written) {
            return;
        }
        let answered_early = self
            .requests
            .get(&id)
            .is_some_and(|request| !request.body_complete);
        if answered_early && !self.bugs.planted(Bug::EarlyAnswerKept) {
            return self.early_response(&id, connection, outcome, commands);
        }
        self.keep_idle(now, connection, commands);
        if self.bugs.planted(Bug::DoubleRelease) {
            commands.push(Command::Close { connection });
        }
        if outcome == Outcome::Ok {
            self.answer(now, &id, FinalAnswer::Served, commands);
        }
        self.end_attempt(&id, outcome);
    }

    /// Ignores a response to an aborted attempt, except where [`Bug::AnswerAfterCancel`] serves it.
    fn late_response(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        outcome: Outcome,
        commands: &mut Commands<A>,
    ) {
        if outcome != Outcome::Ok || !self.bugs.planted(Bug::AnswerAfterCancel) {
            return;
        }
        let id = self
            .connections
            .get(&connection)
            .and_then(|found| found.request.clone());
        if let Some(id) = id {
            self.answer(now, &id, FinalAnswer::Served, commands);
        }
    }

    /// Handles a response that was received before the request was complete. The connection is closed, as the server
    /// would take the rest of the body for the next request. A successful response becomes an error, as it can't be the
    /// response to this request.
    fn early_response(
        &mut self,
        id: &RequestId,
        connection: ConnectionId,
        outcome: Outcome,
        commands: &mut Commands<A>,
    ) {
        self.close(connection, commands);
        let outcome = if outcome == Outcome::Ok {
            Outcome::Error
        } else {
            outcome
        };
        self.end_attempt(id, outcome);
    }

    /// Answers the request when the head of a streaming response is received. From then on the client's deadline is the
    /// only timeout of the attempt, as long as the response may be short, and a long response has none.
    pub(super) fn on_response_streaming(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        long: bool,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.request_on(connection) else {
            return;
        };
        let written = self.is_in_state(connection, ConnectionState::Written);
        let Some(request) = self.requests.get_mut(&id).filter(|_| written) else {
            return;
        };
        if !request.body_complete || !request.open {
            // The response was received before the request was complete, or its client has disconnected.
            return self.abort_attempt(&id, Outcome::ConnectionLost, commands);
        }
        request.streaming = true;
        self.counters.streaming += 1;
        let unbounded = self.bugs.planted(Bug::ShortResponseUnbounded);
        let deadline = if long || request.response_streamed || unbounded {
            Micros::MAX
        } else {
            request.deadline
        };
        if let Some(attempt) = request.outstanding.as_mut() {
            attempt.deadline = deadline;
            attempt.stage_deadline = Micros::MAX;
        }
        self.answer(now, &id, FinalAnswer::Served, commands);
        self.pending_events
            .push_back(PolicyEvent::ResponseStarted { id });
    }

    /// Moves the deadline of a streaming response that may be short, if its server gives it so that it may be long.
    pub(super) fn on_response_progress(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        bytes: u64,
    ) {
        self.update_streaming(connection, |request_deadline, attempt| {
            attempt.response_pace.record_received(now, bytes);
            if attempt.deadline < Micros::MAX {
                attempt.deadline = attempt.response_pace.may_go_on_until(request_deadline);
            }
        });
    }

    /// Lifts the deadline of a streaming response that has turned out to be long: what its server still gives is not cut
    /// off.
    pub(super) fn on_response_long(&mut self, connection: ConnectionId) {
        self.update_streaming(connection, |_, attempt| attempt.deadline = Micros::MAX);
    }

    /// Updates the attempt whose response is streaming on a connection, by the deadline of its request.
    fn update_streaming(
        &mut self,
        connection: ConnectionId,
        update: impl FnOnce(Micros, &mut OutstandingAttempt),
    ) {
        let Some(id) = self.request_on(connection) else {
            return;
        };
        let streaming = |request: &&mut RequestState| request.streaming;
        let Some(request) = self.requests.get_mut(&id).filter(streaming) else {
            return;
        };
        if let Some(attempt) = request.outstanding.as_mut() {
            update(request.deadline, attempt);
        }
        self.update_timer(&id);
    }

    /// Aborts the attempt when the client has stopped reading its streaming response.
    pub(super) fn on_response_abandoned(
        &mut self,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let streaming = self.request_on(connection).filter(|id| {
            self.requests
                .get(id)
                .is_some_and(|request| request.streaming)
        });
        if let Some(id) = streaming {
            self.abort_attempt(&id, Outcome::Cancelled, commands);
        }
    }

    /// Removes the upgraded connection from the tables. Its new owner closes it when the client disconnects.
    pub(super) fn on_upgraded(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.request_on(connection) else {
            return;
        };
        if !self.is_in_state(connection, ConnectionState::Written) {
            return;
        }
        self.connections.remove(&connection);
        self.answer(now, &id, FinalAnswer::Served, commands);
        self.end_attempt(&id, Outcome::Ok);
    }

    pub(super) fn on_connection_lost(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.request_on(connection) else {
            return;
        };
        let Some(lost) = self.connections.get(&connection) else {
            return;
        };
        let resend = lost.reused && self.bugs.planted(Bug::ResendAfterFirstByte);
        match lost.state {
            ConnectionState::Assigned => self.replace_connection(now, &id, connection, commands),
            _ if resend => self.replace_connection(now, &id, connection, commands),
            ConnectionState::Written => self.abort_attempt(&id, Outcome::ConnectionLost, commands),
            _ => {}
        }
    }
}
