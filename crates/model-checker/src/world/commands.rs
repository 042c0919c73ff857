//! Carries out the exchange's commands as the I/O layer would, and verifies each of them.

use super::apply_step::ReadResponse;
use super::connection::{CarriedRequest, Connection};
use super::oracle::rejection_is_harmless;
use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::{PolicyTimer, World};
use saffronpaddle_exchange::{Command, ConnectionId, FinalAnswer};
use saffronpaddle_policy::interface::{Action, Micros, RequestId};

impl<M: PolicyModel> World<M> {
    /// Carries out and verifies commands. `read` is the response that the node read in this step, if any.
    pub(super) fn carry_out(
        &mut self,
        setup: &Setup,
        commands: Vec<Command<u8>>,
        read: Option<ReadResponse>,
    ) -> Result<(), PropertyViolation> {
        self.verify_policy_events(setup)?;
        for command in commands {
            if !matches!(command, Command::PolicyAction(_)) {
                self.notes.push(format!("{command:?}"));
            }
            self.carry_out_one(setup, command, read)?;
        }
        self.verify_connections(setup)
    }

    fn carry_out_one(
        &mut self,
        setup: &Setup,
        command: Command<u8>,
        read: Option<ReadResponse>,
    ) -> Result<(), PropertyViolation> {
        match command {
            Command::Connect {
                connection,
                address,
            } => self.connect(setup, connection, address),
            Command::Send { connection, id, .. } => self.prepare(setup, connection, &id),
            Command::Write { connection } => self.write_first_byte(setup, connection),
            Command::ReleaseBody { connection } => self.release_body(connection),
            Command::Close { connection } => self.close(setup, connection),
            Command::Answer { id, answer } => self.answer(setup, &id, answer, read),
            Command::PolicyAction(Action::SetTimer { after, token }) => {
                let at = self.now(setup) + after;
                self.policy_timers.push(PolicyTimer { at, token });
                self.policy_timers.sort_unstable();
                Ok(())
            }
            Command::PolicyAction(_) => Ok(()),
        }
    }

    fn connect(
        &mut self,
        setup: &Setup,
        connection: ConnectionId,
        address: u8,
    ) -> Result<(), PropertyViolation> {
        let server = self
            .endpoints
            .iter()
            .position(|state| state.address == address && state.ready);
        let Some(server) = server else {
            return violated(
                Property::ReadyServer,
                format!("connect to address {address}, at which no server is ready"),
            );
        };
        if self.connections.len() >= setup.limits.max_connections {
            return violated(
                Property::BoundedResources,
                format!(
                    "the limit of {} connections is exceeded",
                    setup.limits.max_connections
                ),
            );
        }
        self.connections
            .insert(connection, Connection::connecting(server as u8, address));
        Ok(())
    }

    fn prepare(
        &mut self,
        setup: &Setup,
        connection: ConnectionId,
        id: &RequestId,
    ) -> Result<(), PropertyViolation> {
        let request = self.request_of(setup, id);
        let Some(carrier) = self.connections.get_mut(&connection) else {
            return violated(
                Property::OneRequestPerConnection,
                "a request is sent on a connection that does not exist",
            );
        };
        if !carrier.up || carrier.closing || carrier.carried.is_some() {
            return violated(
                Property::OneRequestPerConnection,
                "a request is sent on a connection that is not established, in use or being closed",
            );
        }
        carrier.carried = request.map(|request| CarriedRequest {
            request,
            written: false,
        });
        carrier.responded = false;
        Ok(())
    }

    fn close(&mut self, setup: &Setup, connection: ConnectionId) -> Result<(), PropertyViolation> {
        let (now, shutdown) = (self.now(setup), self.shutdown_deadline);
        let past_deadline = self
            .connections
            .get(&connection)
            .and_then(Connection::written_request)
            .is_some_and(|request| now >= self.client(request).deadline(setup, shutdown));
        let Some(closing) = self.connections.get_mut(&connection) else {
            return violated(
                Property::BoundedResources,
                "a connection that does not exist is closed",
            );
        };
        let passing = closing.is_passing_response();
        if std::mem::replace(&mut closing.closing, true) {
            return violated(Property::BoundedResources, "a connection is closed twice");
        }
        if passing && (closing.long || !past_deadline) {
            return violated(
                Property::NoTruncation,
                "the connection of a streaming response is closed while its client is still reading",
            );
        }
        Ok(())
    }

    fn answer(
        &mut self,
        setup: &Setup,
        id: &RequestId,
        answer: FinalAnswer,
        read: Option<ReadResponse>,
    ) -> Result<(), PropertyViolation> {
        let Some(request) = self.request_of(setup, id) else {
            return violated(
                Property::OneAnswer,
                "an answer is given to an unknown request",
            );
        };
        let client = self.client_mut(request);
        client.answers += 1;
        if client.answers > 1 {
            return violated(
                Property::OneAnswer,
                format!("request {request} is answered twice"),
            );
        }
        let latest = self
            .client(request)
            .answer_deadline(setup, self.shutdown_deadline);
        self.verify_in_time(setup, request, answer, latest)?;
        self.verify_rejection(setup, request, answer, latest)?;
        verify_own_answer(request, answer, read)
    }

    fn verify_in_time(
        &self,
        setup: &Setup,
        request: u8,
        answer: FinalAnswer,
        latest: Micros,
    ) -> Result<(), PropertyViolation> {
        let now = self.now(setup);
        let in_time = if answer == FinalAnswer::Served {
            now < latest
        } else {
            now <= latest || setup.late_timers
        };
        if in_time {
            return Ok(());
        }
        violated(
            Property::AnsweredInTime,
            format!("request {request} is answered after its deadline"),
        )
    }

    fn verify_rejection(
        &self,
        setup: &Setup,
        request: u8,
        answer: FinalAnswer,
        latest: Micros,
    ) -> Result<(), PropertyViolation> {
        let client = self.client(request);
        let body_sent = client.body_released || !setup.streaming_bodies;
        let may_have_run =
            client.first_dispatched.is_some() || (client.written.is_some() && body_sent);
        // A request whose body was not sent completely has not run. If the policy rejects it, the client has to get a
        // rejection.
        let rejection_fails = self.policy_rejects && answer == FinalAnswer::Failed;
        let in_time = self.now(setup) < latest;
        if setup.streaming_bodies && rejection_fails && !may_have_run && in_time {
            return violated(
                Property::SafeRejection,
                format!(
                    "request {request} has not run, but it fails although the policy rejected it"
                ),
            );
        }
        let harmful = may_have_run && !rejection_is_harmless(setup.idempotency(request));
        if matches!(answer, FinalAnswer::Rejected(_)) && harmful {
            return violated(
                Property::SafeRejection,
                format!("request {request} is rejected although it may have run"),
            );
        }
        Ok(())
    }

    /// Sends the last part of a body.
    fn release_body(&mut self, connection: ConnectionId) -> Result<(), PropertyViolation> {
        let Some(carrier) = self
            .connections
            .get(&connection)
            .filter(|carrier| !carrier.closing)
        else {
            return violated(
                Property::OneRequestPerConnection,
                "the last part of a body is sent on a connection that does not exist or is being closed",
            );
        };
        let Some(request) = carrier.written_request() else {
            return violated(
                Property::OneRequestPerConnection,
                "the last part of a body is sent on a connection without a written request",
            );
        };
        let client = self.client_mut(request);
        if !client.is_waiting() {
            return violated(
                Property::OneAttempt,
                format!(
                    "the last body part of request {request} is sent although no client is waiting"
                ),
            );
        }
        if !client.body_arrived || std::mem::replace(&mut client.body_released, true) {
            return violated(
                Property::CompleteBody,
                format!("the last body part of request {request} is sent before it was received or a second time"),
            );
        }
        Ok(())
    }

    /// Verifies what has to hold for the connections after each step.
    fn verify_connections(&self, setup: &Setup) -> Result<(), PropertyViolation> {
        let unended = |connection: &Connection| {
            let request = connection.written_request();
            connection.is_passing_response()
                && !connection.long
                && request.is_some_and(|request| {
                    let client = self.client(request);
                    self.now(setup) > client.deadline(setup, self.shutdown_deadline)
                })
        };
        if !setup.late_timers && self.connections.values().any(unended) {
            return violated(
                Property::AnsweredInTime,
                "a streaming response that is not long has no end at its deadline",
            );
        }
        let kept_early = self
            .connections
            .values()
            .any(|connection| connection.responded_early && !connection.closing);
        if kept_early {
            return violated(
                Property::CompleteBody,
                "a connection is kept although its request was answered before it was sent completely",
            );
        }
        self.exchange
            .check_consistency()
            .or_else(|inconsistency| violated(Property::ConsistentTables, inconsistency))?;
        let (_, counted) = self.exchange.table_sizes();
        let existing = self.connections.len();
        if counted != existing {
            return violated(
                Property::BoundedResources,
                format!("the exchange tracks {counted} connections, but {existing} exist"),
            );
        }
        Ok(())
    }

    /// Returns the request that an id currently refers to: the latest one that has arrived with it.
    pub(super) fn request_of(&self, setup: &Setup, id: &RequestId) -> Option<u8> {
        (0..self.clients.len() as u8)
            .rev()
            .filter(|request| setup.request_id(*request) == *id)
            .find(|request| self.client(*request).arrived_at.is_some())
    }
}

fn verify_own_answer(
    request: u8,
    answer: FinalAnswer,
    read: Option<ReadResponse>,
) -> Result<(), PropertyViolation> {
    if answer != FinalAnswer::Served {
        return Ok(());
    }
    match read {
        Some(read) if read.request == request && read.while_closing => violated(
            Property::MatchingResponse,
            format!("request {request} is served by the response to a canceled attempt"),
        ),
        Some(read) if read.request == request => Ok(()),
        _ => violated(
            Property::MatchingResponse,
            format!("request {request} is served without a response to it"),
        ),
    }
}
