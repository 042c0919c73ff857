//! Carries out the exchange's commands as the I/O layer does, and verifies each.

use super::connection::{CarriedRequest, Connection};
use super::occurrences::ReadResponse;
use super::oracle::rejection_is_harmless;
use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::Setup;
use super::{PolicyTimer, World};
use saffronpaddle_exchange::{Command, ConnectionId, FinalAnswer};
use saffronpaddle_policy::interface::{Action, Micros, RequestId};

impl<M: PolicyModel> World<M> {
    /// Carries out and verifies commands. `read` is the response that the node has just read.
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
        self.verify_connections()
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
            Command::Close { connection } => self.close(connection),
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
            return violated(Property::Drain, "a connect to who is not ready there");
        };
        if self.connections.len() >= setup.limits.max_connections {
            return violated(Property::Resources, "more connections than may be");
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
            return violated(Property::OneOwner, "a request on a connection that is none");
        };
        if !carrier.up || carrier.closing || carrier.carried.is_some() {
            return violated(
                Property::OneOwner,
                "a request on a connection that is not free",
            );
        }
        carrier.carried = request.map(|request| CarriedRequest {
            request,
            written: false,
        });
        carrier.responded = false;
        Ok(())
    }

    fn close(&mut self, connection: ConnectionId) -> Result<(), PropertyViolation> {
        let Some(closing) = self.connections.get_mut(&connection) else {
            return violated(Property::Resources, "a connection that is none is closed");
        };
        if std::mem::replace(&mut closing.closing, true) {
            return violated(Property::Resources, "a connection is closed twice");
        }
        if closing.streaming && !closing.reset && !closing.response_dropped {
            return violated(
                Property::Uncut,
                "an answer that goes by is cut off, and its client takes it",
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
            return violated(Property::OneAnswer, "an answer to nobody");
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
            .answered_by(setup, self.shutdown_deadline);
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
            Property::InTime,
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
        // A request whose body was not sent completely has not run. If the policy rejects it, the client is told so.
        let rejection_fails = self.policy_rejects && answer == FinalAnswer::Failed;
        let in_time = self.now(setup) < latest;
        if setup.streaming_bodies && rejection_fails && !may_have_run && in_time {
            return violated(
                Property::Refusal,
                format!("request {request} has never run, and its refusal fails"),
            );
        }
        let harmful = may_have_run && !rejection_is_harmless(setup.idempotency(request));
        if matches!(answer, FinalAnswer::Rejected(_)) && harmful {
            return violated(
                Property::Refusal,
                format!("request {request} is refused and may have run"),
            );
        }
        Ok(())
    }

    /// The last piece of a body is sent.
    fn release_body(&mut self, connection: ConnectionId) -> Result<(), PropertyViolation> {
        let Some(carrier) = self
            .connections
            .get(&connection)
            .filter(|carrier| !carrier.closing)
        else {
            return violated(
                Property::OneOwner,
                "the last piece of a body on a connection that is none",
            );
        };
        let Some(request) = carrier.written_request() else {
            return violated(Property::OneOwner, "the last piece of no request");
        };
        let client = self.client_mut(request);
        if !client.waits() {
            return violated(
                Property::OneAttempt,
                format!("the last piece of {request}, for which nobody waits"),
            );
        }
        if !client.body_arrived || std::mem::replace(&mut client.body_released, true) {
            return violated(
                Property::CompleteBody,
                format!("the last piece of {request}, which has not come or has gone"),
            );
        }
        Ok(())
    }

    /// What holds of the connections after each step.
    fn verify_connections(&self) -> Result<(), PropertyViolation> {
        let kept_early = self
            .connections
            .values()
            .any(|connection| connection.responded_early && !connection.closing);
        if kept_early {
            return violated(
                Property::CompleteBody,
                "a connection is kept though the request on it never went whole",
            );
        }
        self.exchange
            .consistent()
            .or_else(|disagreement| violated(Property::Tables, disagreement))?;
        let (_, counted) = self.exchange.table_sizes();
        let existing = self.connections.len();
        if counted != existing {
            return violated(
                Property::Resources,
                format!("{counted} connections counted, {existing} there"),
            );
        }
        Ok(())
    }

    /// The request that an id means now: the latest that has arrived under it.
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
            Property::OwnAnswer,
            format!("request {request} is served by what was called off"),
        ),
        Some(read) if read.request == request => Ok(()),
        _ => violated(
            Property::OwnAnswer,
            format!("request {request} gets what is not its answer"),
        ),
    }
}
