//! Attempts from the moment their connection is established until their first byte is written.

use super::{Commands, Exchange};
use crate::tables::{AttemptStage, Connection, ConnectionState, RequestState};
use crate::{Bug, Bugs, Command, ConnectionId, Invariant, Policy};
use saffronpaddle_policy::idempotency::{retry_allowed, DispatchedAttempt, ServerLocation};
use saffronpaddle_policy::interface::{
    AttemptNumber, DeduplicationDomainId, Idempotency, Micros, Outcome, RequestId, ServerId, ZoneId,
};
use std::hash::Hash;

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    pub(super) fn on_connected(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self.request_on(connection) else {
            return;
        };
        let Some(connected) = self
            .connections
            .get_mut(&connection)
            .filter(|found| found.state == ConnectionState::Connecting)
        else {
            return;
        };
        connected.state = ConnectionState::Assigned;
        let server = connected.server;
        self.report_own_delay(&id);
        if !self.still_eligible(now, &id, connection) {
            // No byte was written: the request has not run, and the connection can be used by another one.
            self.keep_idle(now, connection, commands);
            return self.end_attempt(&id, Outcome::NotSent);
        }
        commands.push(Command::Send {
            connection,
            id: id.clone(),
            server,
        });
        if self.bugs.planted(Bug::AlarmForgotten) {
            self.drop_timer(&id);
        } else {
            self.set_stage(&id, AttemptStage::OnConnection(connection), None);
        }
    }

    /// Reports to the policy for how long an attempt may have waited for this node although its connection was up.
    fn report_own_delay(&mut self, id: &RequestId) {
        if self.event_delay == 0 {
            return;
        }
        let request = self.requests.get(id);
        if let Some(attempt) = request.and_then(|request| request.outstanding.as_ref()) {
            let number = AttemptNumber(attempt.number);
            self.policy.attempt_delayed(id, number, self.event_delay);
        }
    }

    /// Removes the timer of a request instead of updating it, as [`Bug::AlarmForgotten`] does.
    fn drop_timer(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        if let (Some(attempt), Some(at)) = (request.outstanding.as_mut(), request.timer_at.take()) {
            attempt.stage_deadline = Micros::MAX;
            self.timers.remove(&(at, id.clone()));
        }
    }

    pub(super) fn on_connect_failed(&mut self, connection: ConnectionId, local_shortage: bool) {
        if !self.is_in_state(connection, ConnectionState::Connecting) {
            return;
        }
        self.counters.connects_failed += u64::from(!local_shortage);
        let id = self.request_on(connection);
        if !self.bugs.planted(Bug::SlotLost) {
            self.connections.remove(&connection);
        }
        // A shortage of local resources is no fault of the server: reporting it as unreachable would make the policy
        // eject a healthy server.
        let outcome = if local_shortage {
            Outcome::NotSent
        } else {
            Outcome::Unreachable
        };
        if let Some(id) = id {
            self.end_attempt(&id, outcome);
        }
    }

    /// Performs the last check before the first byte is written. Since the policy asked for the attempt, the server may
    /// have started to drain, the request may have been answered, the deadline may have passed, and the connection may
    /// have received bytes that would be taken for the response to this request.
    pub(super) fn on_first_byte_ready(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        no_unread_bytes: bool,
        commands: &mut Commands<A>,
    ) {
        let Some(id) = self
            .request_on(connection)
            .filter(|_| self.is_in_state(connection, ConnectionState::Assigned))
        else {
            return;
        };
        if !self.still_eligible(now, &id, connection) {
            return self.abort_attempt(&id, Outcome::Cancelled, commands);
        }
        if !no_unread_bytes && !self.bugs.planted(Bug::ReuseWithBytesWaiting) {
            return self.replace_connection(now, &id, connection, commands);
        }
        self.verify_first_byte(now, &id, connection);
        self.mark_written(now, &id, connection);
        commands.push(Command::Write { connection });
    }

    fn mark_written(&mut self, now: Micros, id: &RequestId, connection: ConnectionId) {
        let Some(written) = self.connections.get_mut(&connection) else {
            return;
        };
        written.state = ConnectionState::Written;
        let server = written.server;
        let dispatched = DispatchedAttempt {
            location: self.location_of(server),
            at: now,
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        request.body_consumed = !request.body_complete;
        self.counters.relayed += u64::from(request.body_complete);
        if let Some(attempt) = request.outstanding.as_mut() {
            attempt.dispatched = Some(dispatched);
        }
    }

    /// Returns the location of a server. The default applies only where a planted fault writes to a server that is not
    /// ready.
    fn location_of(&self, server: ServerId) -> ServerLocation {
        self.servers.get(&server).map_or(
            ServerLocation {
                zone: ZoneId::default(),
                domain: DeduplicationDomainId::default(),
            },
            |ready| ready.location,
        )
    }

    /// Verifies a first byte that the guard has permitted, from the tables only.
    fn verify_first_byte(&mut self, now: Micros, id: &RequestId, connection: ConnectionId) {
        let (Some(request), Some(carrier)) =
            (self.requests.get(id), self.connections.get(&connection))
        else {
            return;
        };
        let in_time = now <= request.deadline.min(self.shutdown_deadline);
        let ready = self
            .servers
            .get(&carrier.server)
            .is_some_and(|server| server.address == carrier.address);
        let once = request.open && awaits_first_byte(request, connection);
        let safely = self.is_safe_to_write(now, request, carrier);
        self.violations.check(in_time, Invariant::SentInTime, id);
        self.violations
            .check(ready, Invariant::SentToReadyServer, id);
        self.violations.check(once, Invariant::SentOnce, id);
        self.violations.check(safely, Invariant::RetriedSafely, id);
    }

    fn is_safe_to_write(
        &self,
        now: Micros,
        request: &RequestState,
        carrier: &Connection<A>,
    ) -> bool {
        if request.first_dispatched.is_none() || request.idempotency == Idempotency::Idempotent {
            return true;
        }
        self.servers.get(&carrier.server).is_some_and(|server| {
            retry_allowed(
                request.idempotency,
                request.first_dispatched,
                server.location,
                now,
            )
        })
    }

    /// Handles a connection that became unusable before a byte was written. A reused connection is replaced by another
    /// one; on a new connection the attempt ends as unreachable, since nothing of it was written.
    pub(super) fn replace_connection(
        &mut self,
        now: Micros,
        id: &RequestId,
        connection: ConnectionId,
        commands: &mut Commands<A>,
    ) {
        let reused = self
            .connections
            .get(&connection)
            .is_some_and(|found| found.reused);
        if !reused {
            return self.abort_attempt(id, Outcome::TimedOut, commands);
        }
        self.close(connection, commands);
        self.start_attempt(now, id, commands);
    }
}

/// Returns whether the request's attempt is assigned to this connection and no byte of it is written.
fn awaits_first_byte(request: &RequestState, connection: ConnectionId) -> bool {
    request.outstanding.as_ref().is_some_and(|attempt| {
        attempt.stage == AttemptStage::OnConnection(connection) && attempt.dispatched.is_none()
    })
}
