//! Whether an attempt may go on: the facts for the guard.

use super::Exchange;
use crate::guard::{self, StepFacts};
use crate::tables::{AttemptStage, ConnectionState, RequestState};
use crate::{Bug, Bugs, ConnectionId, Policy};
use saffronpaddle_policy::idempotency::retry_allowed;
use saffronpaddle_policy::interface::{
    DeduplicationScope, Idempotency, Micros, RequestId, ServerId,
};
use std::hash::Hash;

/// The step of an attempt that is checked.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckedStep {
    /// The policy asks for the attempt.
    Choice,
    /// The connection is up, or the first byte is about to be written.
    Dispatch,
}

impl<A: Copy + Eq + Hash, M: Policy, B: Bugs> Exchange<A, M, B> {
    /// What the guard has to know of an attempt at a server. Whether another is outstanding, whether the body is
    /// consumed and where the connection leads is for the caller to add.
    pub(super) fn step_facts(
        &self,
        now: Micros,
        attempt_deadline: Micros,
        id: &RequestId,
        server: ServerId,
        step: CheckedStep,
    ) -> StepFacts {
        StepFacts {
            now,
            attempt_deadline,
            shutdown_deadline: self.shutdown_deadline,
            client_waits: self.requests.get(id).is_some_and(|request| request.open),
            attempt_outstanding: false,
            body_consumed: false,
            server_ready: self.servers.contains_key(&server),
            retry_allowed: self.may_dispatch(now, id, server, step),
        }
    }

    /// Whether a request may be dispatched to a server, by the policy's rule of retries.
    fn may_dispatch(
        &self,
        now: Micros,
        id: &RequestId,
        server: ServerId,
        step: CheckedStep,
    ) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        if request.first_dispatched.is_none() {
            return true;
        }
        let Some(target) = self.servers.get(&server) else {
            return false;
        };
        retry_allowed(
            self.checked_idempotency(request, step),
            request.first_dispatched,
            target.location,
            now,
        )
    }

    /// The idempotency that a retry is checked against: the request's own, or a weaker demand where a fault is planted.
    fn checked_idempotency(&self, request: &RequestState, step: CheckedStep) -> Idempotency {
        match request.idempotency {
            Idempotency::NonIdempotent if self.bugs.planted(Bug::UnsafeResent) => {
                Idempotency::Idempotent
            }
            Idempotency::WithKey { window, .. } if self.bugs.planted(Bug::GroupForgotten) => {
                Idempotency::WithKey {
                    scope: DeduplicationScope::All,
                    window,
                }
            }
            Idempotency::WithKey { scope, .. }
                if step == CheckedStep::Dispatch
                    && self.bugs.planted(Bug::WindowCheckedAtChoiceOnly) =>
            {
                Idempotency::WithKey {
                    scope,
                    window: Micros::MAX,
                }
            }
            own => own,
        }
    }

    /// Whether the attempt on a connection may still be written: its request is open and in time, and the connection
    /// leads to its server, which is ready, at the server's current address.
    pub(super) fn still_eligible(
        &mut self,
        now: Micros,
        id: &RequestId,
        connection: ConnectionId,
    ) -> bool {
        let Some(request) = self.requests.get(id) else {
            return false;
        };
        let Some(attempt) = request.outstanding.as_ref() else {
            return false;
        };
        let unchecked = self.bugs.planted(Bug::DrainCheckedBeforeConnectOnly);
        let facts = self.step_facts(
            now,
            attempt.deadline,
            id,
            attempt.server,
            CheckedStep::Dispatch,
        );
        let facts = StepFacts {
            server_ready: self.reaches_server(connection) || unchecked,
            ..facts
        };
        self.permitted(&facts)
    }

    /// Whether the guard lets a step through; a denial is counted.
    pub(super) fn permitted(&mut self, facts: &StepFacts) -> bool {
        let checked = guard::check(facts);
        if let Err(denial) = checked {
            *self.denials.entry(denial).or_default() += 1;
        }
        checked.is_ok()
    }

    /// Whether a connection leads to its server's current address. A server that drained must get no request, and an
    /// address may pass from one server to another: a request would then reach another server than its attempt is for.
    pub(super) fn reaches_server(&self, connection: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&connection) else {
            return false;
        };
        self.servers.get(&connection.server).is_some_and(|server| {
            server.address == connection.address || self.bugs.planted(Bug::AddressNotCompared)
        })
    }

    /// The request whose attempt is on a connection now; none once the attempt was aborted.
    pub(super) fn request_on(&self, connection: ConnectionId) -> Option<RequestId> {
        let id = self.connections.get(&connection)?.request.as_ref()?;
        let attempt = self.requests.get(id)?.outstanding.as_ref()?;
        (attempt.stage == AttemptStage::OnConnection(connection)).then(|| id.clone())
    }

    /// Whether a connection exists and is in a state.
    pub(super) fn is_in_state(&self, connection: ConnectionId, state: ConnectionState) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(|found| found.state == state)
    }
}
