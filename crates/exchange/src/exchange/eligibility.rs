//! Collects the facts with which the guard decides whether an attempt may proceed.

use super::Exchange;
use crate::guard::{self, StepFacts};
use crate::tables::{AttemptStage, ConnectionState, RequestState};
use crate::{Bug, Bugs, ConnectionId, Policy};
use saffronpaddle_policy::idempotency::retry_allowed;
use saffronpaddle_policy::interface::{
    DeduplicationScope, Idempotency, Micros, RequestId, ServerId,
};
use std::hash::Hash;

/// The step of an attempt that the guard checks.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum CheckedStep {
    /// The policy asks for the attempt.
    Choice,
    /// The connection is established, or the first byte is about to be written.
    Dispatch,
}

impl<A: Copy + Eq + Hash, P: Policy, B: Bugs> Exchange<A, P, B> {
    /// Returns the facts about an attempt at a server. The caller adds whether another attempt is outstanding, whether
    /// the body is consumed and whether the connection reaches the server.
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

    /// Returns whether a request may be dispatched to a server under the rules of retries.
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

    /// Returns the idempotency that a retry is checked against: that of the request, or a weaker one if a fault is
    /// planted.
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

    /// Returns whether the attempt on a connection may still be written: its request is open and in time, and the
    /// connection leads to the current address of its server, which is ready.
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

    /// Returns whether the guard permits a step, and counts a denial.
    pub(super) fn permitted(&mut self, facts: &StepFacts) -> bool {
        let checked = guard::check(facts);
        if let Err(denial) = checked {
            *self.denials.entry(denial).or_default() += 1;
        }
        checked.is_ok()
    }

    /// Returns whether a connection leads to the current address of its server, which is ready. A draining server must
    /// not get requests. An address may be reassigned to another server, which would then get requests that are meant
    /// for the first.
    pub(super) fn reaches_server(&self, connection: ConnectionId) -> bool {
        let Some(connection) = self.connections.get(&connection) else {
            return false;
        };
        self.servers.get(&connection.server).is_some_and(|server| {
            server.address == connection.address || self.bugs.planted(Bug::AddressNotCompared)
        })
    }

    /// Returns the request whose attempt is on a connection; `None` once the attempt is aborted.
    pub(super) fn request_on(&self, connection: ConnectionId) -> Option<RequestId> {
        let id = self.connections.get(&connection)?.request.as_ref()?;
        let attempt = self.requests.get(id)?.outstanding.as_ref()?;
        (attempt.stage == AttemptStage::OnConnection(connection)).then(|| id.clone())
    }

    /// Returns whether a connection exists and is in the given state.
    pub(super) fn is_in_state(&self, connection: ConnectionId, state: ConnectionState) -> bool {
        self.connections
            .get(&connection)
            .is_some_and(|found| found.state == state)
    }
}
