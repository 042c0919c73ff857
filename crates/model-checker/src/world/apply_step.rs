//! Takes a step: updates the world and passes the resulting event to the exchange.

use super::client::WrittenAttempt;
use super::connection::{Connection, Response, SentResponse};
use super::policy::PolicyModel;
use super::property::{violated, Property, PropertyViolation};
use super::setup::{class_of, EndpointChange, Setup};
use super::step::{ServerResponse, Step};
use super::World;
use saffronpaddle_exchange::{ConnectionId, Event, Ticket};
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, ClassId, CustomerId, Event as PolicyEvent, Micros, NodeId, Outcome,
    PlanId, ServerId,
};

/// The customer of all requests.
const CUSTOMER: CustomerId = CustomerId(7);

/// The event that a step causes at the node.
pub(super) struct NodeInput {
    event: Event<u8>,
    read: Option<ReadResponse>,
}

/// A response that the node reads in a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ReadResponse {
    /// The request that the server responded to.
    pub request: u8,
    /// The response was read from a connection that is being closed.
    pub while_closing: bool,
}

impl From<Event<u8>> for NodeInput {
    fn from(event: Event<u8>) -> NodeInput {
        NodeInput { event, read: None }
    }
}

impl<M: PolicyModel> World<M> {
    /// Takes a step.
    ///
    /// # Errors
    /// The violated property.
    pub fn take(&mut self, setup: &Setup, step: Step) -> Result<(), PropertyViolation> {
        self.notes.clear();
        if step == Step::ClockTicks {
            return self.clock_ticks(setup);
        }
        if let Some(action) = self.policy_action(setup, step) {
            return self.apply_policy_action(setup, action);
        }
        let Some(input) = self.apply_step(setup, step) else {
            return Ok(());
        };
        let mut commands = Vec::new();
        self.exchange
            .handle(self.now(setup), input.event, &mut commands);
        self.carry_out(setup, commands, input.read)?;
        if step == Step::TimerFires && self.timer_due(setup) {
            return violated(
                Property::Liveness,
                "the timer is due again immediately after it has fired",
            );
        }
        Ok(())
    }

    fn clock_ticks(&mut self, setup: &Setup) -> Result<(), PropertyViolation> {
        self.clock += 1;
        self.timer_fired = false;
        let now = self.now(setup);
        let (due, later) = self.policy_timers.iter().partition(|timer| timer.at <= now);
        self.policy_timers = later;
        let due: Vec<super::PolicyTimer> = due;
        let mut commands = Vec::new();
        for timer in due {
            let fired = PolicyEvent::TimerFired { token: timer.token };
            self.exchange
                .handle(now, Event::PolicyEvent(fired), &mut commands);
        }
        self.carry_out(setup, commands, None)
    }

    /// Takes an action on behalf of the policy.
    fn apply_policy_action(
        &mut self,
        setup: &Setup,
        action: Action,
    ) -> Result<(), PropertyViolation> {
        let mut commands = Vec::new();
        let now = self.now(setup);
        self.exchange.policy_mut().actions.push(action.clone());
        self.policy_rejects = matches!(action, Action::Reject { .. });
        self.exchange.inject_action(now, action, &mut commands);
        let done = self.carry_out(setup, commands, None);
        self.policy_rejects = false;
        done
    }

    /// Returns the policy action of a step; `None` for steps of other actors.
    fn policy_action(&self, setup: &Setup, step: Step) -> Option<Action> {
        match step {
            Step::PolicySends {
                request,
                server,
                short,
            } => Some(Action::Send {
                id: setup.request_id(request),
                server: ServerId(u64::from(server)),
                timeout: short.then_some(setup.tick),
            }),
            Step::PolicyRejects(request) => Some(Action::Reject {
                id: setup.request_id(request),
                retry_after: None,
            }),
            Step::PolicyFails(request) => Some(Action::Fail {
                id: setup.request_id(request),
            }),
            Step::PolicyReleases(request) => Some(Action::ReleaseBody {
                id: setup.request_id(request),
                attempt: self.last_unended_attempt(request),
            }),
            Step::PolicyCancels(request) => Some(Action::Cancel {
                id: setup.request_id(request),
                attempt: self.last_unended_attempt(request),
            }),
            _ => None,
        }
    }

    fn last_unended_attempt(&self, request: u8) -> AttemptNumber {
        let unended = self.client(request).unended_attempts();
        AttemptNumber(unended.checked_ilog2().unwrap_or(0))
    }

    /// Applies a step to the world, and returns the event that it causes at the node; steps of servers cause none.
    fn apply_step(&mut self, setup: &Setup, step: Step) -> Option<NodeInput> {
        match step {
            Step::RequestArrives(request) => Some(self.request_arrives(setup, request).into()),
            Step::ClientLeaves(request) => Some(self.client_leaves(setup, request).into()),
            Step::BodyArrives(request) => Some(self.body_arrives(setup, request).into()),
            Step::BodyFails(request) => Some(self.body_fails(setup, request).into()),
            Step::BodyDeadlineChanges { request, short } => {
                Some(self.body_deadline_changes(setup, request, short).into())
            }
            Step::EndpointsChange => Some(self.endpoints_change(setup).into()),
            Step::ShutdownAnnounced => Some(self.shutdown_announced(setup).into()),
            Step::NodeDrains => {
                self.draining = true;
                Some(Event::Drain.into())
            }
            Step::TimerFires => {
                self.timer_fired = true;
                Some(Event::TimerFired.into())
            }
            Step::ResponseFinishes(rank)
            | Step::ResponseTurnsLong(rank)
            | Step::ResponseDropped(rank)
            | Step::ConnectSucceeds(rank)
            | Step::ConnectFails(rank)
            | Step::ConnectLacksResource(rank)
            | Step::FirstByteReady(rank)
            | Step::NodeReads(rank)
            | Step::NodeSeesEnd(rank)
            | Step::ConnectionCloses(rank) => {
                let connection = self.connection_id(rank)?;
                self.apply_connection_step(setup, step, connection)
            }
            Step::ServerResponds(rank, _)
            | Step::ServerRepeats(rank)
            | Step::ConnectionResets {
                connection: rank, ..
            } => {
                let now = self.now(setup);
                let id = self.connection_id(rank)?;
                apply_server_step(self.connections.get_mut(&id)?, step, now);
                None
            }
            Step::ClockTicks
            | Step::PolicySends { .. }
            | Step::PolicyRejects(_)
            | Step::PolicyFails(_)
            | Step::PolicyReleases(_)
            | Step::PolicyCancels(_) => None,
        }
    }

    fn apply_connection_step(
        &mut self,
        setup: &Setup,
        step: Step,
        connection: ConnectionId,
    ) -> Option<NodeInput> {
        let event = match step {
            Step::ResponseFinishes(_) => self.response_finishes(connection)?,
            Step::ResponseTurnsLong(_) => {
                self.connections.get_mut(&connection)?.long = true;
                Event::ResponseLong { connection }
            }
            Step::ResponseDropped(_) => {
                self.connections.get_mut(&connection)?.response_dropped = true;
                Event::ResponseAbandoned { connection }
            }
            Step::ConnectSucceeds(_) => {
                self.connections.get_mut(&connection)?.up = true;
                Event::Connected { connection }
            }
            Step::ConnectFails(_) | Step::ConnectLacksResource(_) => {
                self.connections.remove(&connection);
                Event::ConnectFailed {
                    connection,
                    local_shortage: matches!(step, Step::ConnectLacksResource(_)),
                }
            }
            Step::FirstByteReady(_) => {
                let ready = self.connections.get(&connection)?;
                Event::FirstByteReady {
                    connection,
                    no_unread_bytes: ready.inbound.is_empty() && !ready.reset,
                }
            }
            Step::NodeSeesEnd(_) => {
                node_sees_end(connection, self.connections.get_mut(&connection)?)
            }
            Step::ConnectionCloses(_) => self.connection_closes(setup, connection),
            Step::NodeReads(_) => return self.node_reads(setup, connection),
            _ => return None,
        };
        Some(event.into())
    }

    fn request_arrives(&mut self, setup: &Setup, request: u8) -> Event<u8> {
        let now = self.now(setup);
        let ticket = self.exchange.next_ticket().0;
        let client = self.client_mut(request);
        client.arrived_at = Some(now);
        client.ticket = ticket;
        let idempotency = setup.idempotency(request);
        Event::RequestReceived {
            idempotency,
            deadline: now + setup.timeout(),
            response_streamed: false,
            policy_event: PolicyEvent::RequestArrived {
                id: setup.request_id(request),
                class: ClassId(class_of(idempotency)),
                plan: PlanId(0),
                customer: CUSTOMER,
                units: 1.0,
                subset_first: NodeId(0),
                subset_size: 1,
                timeout: setup.timeout(),
                complete: !setup.streaming_bodies,
            },
        }
    }

    fn client_leaves(&mut self, setup: &Setup, request: u8) -> Event<u8> {
        let client = self.client_mut(request);
        client.disconnected = true;
        Event::ClientGone {
            id: setup.request_id(request),
            ticket: Ticket(client.ticket),
        }
    }

    fn body_arrives(&mut self, setup: &Setup, request: u8) -> Event<u8> {
        let now = self.now(setup);
        let client = self.client_mut(request);
        client.body_arrived = true;
        if client.is_waiting() {
            client.arrived_at = Some(now);
            client.changed_deadline = None;
        }
        Event::BodyComplete {
            id: setup.request_id(request),
            ticket: Ticket(client.ticket),
            deadline: now + setup.timeout(),
        }
    }

    fn body_fails(&mut self, setup: &Setup, request: u8) -> Event<u8> {
        Event::BodyFailed {
            id: setup.request_id(request),
            ticket: Ticket(self.client(request).ticket),
        }
    }

    fn body_deadline_changes(&mut self, setup: &Setup, request: u8, short: bool) -> Event<u8> {
        let deadline = self.body_deadline(setup, short);
        let client = self.client_mut(request);
        client.changed_deadline = Some(deadline);
        Event::BodyDeadlineChanged {
            id: setup.request_id(request),
            ticket: Ticket(client.ticket),
            deadline,
        }
    }

    /// Returns the deadline that a change gives to a request with an incomplete body, µs.
    pub(super) fn body_deadline(&self, setup: &Setup, short: bool) -> Micros {
        let timeout = if short { setup.tick } else { setup.timeout() };
        self.now(setup) + timeout
    }

    fn endpoints_change(&mut self, setup: &Setup) -> Event<u8> {
        let change = setup.endpoint_changes[self.changes_applied];
        self.changes_applied += 1;
        let endpoints = self
            .apply_change(change)
            .into_iter()
            .map(|server| {
                let state = self.endpoints[server];
                (setup.endpoint(server, state.ready), state.address)
            })
            .collect();
        Event::EndpointsChanged {
            snapshot: false,
            endpoints,
        }
    }

    /// Applies a change of the endpoint list, and returns the affected servers.
    fn apply_change(&mut self, change: EndpointChange) -> Vec<usize> {
        match change {
            EndpointChange::Drain(server) => {
                self.endpoints[usize::from(server)].ready = false;
                vec![usize::from(server)]
            }
            EndpointChange::Return(server) => {
                self.endpoints[usize::from(server)].ready = true;
                vec![usize::from(server)]
            }
            EndpointChange::Move(moving, other) => {
                let moving = usize::from(moving);
                let other = usize::from(other);
                self.endpoints[other].address = self.endpoints[moving].address;
                self.endpoints[moving].address = self.next_address;
                self.next_address += 1;
                vec![moving, other]
            }
        }
    }

    fn shutdown_announced(&mut self, setup: &Setup) -> Event<u8> {
        let answer_by = self.now(setup) + setup.shutdown_ticks.unwrap_or(0) * setup.tick;
        self.shutdown_deadline = Some(answer_by);
        Event::ShutdownAnnounced { answer_by }
    }

    fn response_finishes(&mut self, connection: ConnectionId) -> Option<Event<u8>> {
        let streaming = self.connections.get_mut(&connection)?;
        streaming.streaming = false;
        if !streaming.closing {
            if let Some(carried) = streaming.carried.take() {
                streaming.responded = false;
                self.end_attempt(carried.request, connection, true);
            }
        }
        Some(Event::ResponseComplete {
            connection,
            outcome: Outcome::Ok,
        })
    }

    fn connection_closes(&mut self, setup: &Setup, connection: ConnectionId) -> Event<u8> {
        let closed = self.connections.remove(&connection);
        if let Some(request) = closed.and_then(|closed| closed.written_request()) {
            let complete = !setup.streaming_bodies || self.client(request).body_released;
            self.end_attempt(request, connection, complete);
        }
        Event::Closed { connection }
    }

    fn node_reads(&mut self, setup: &Setup, connection: ConnectionId) -> Option<NodeInput> {
        let source = self.connections.get_mut(&connection)?;
        let response = source.inbound.remove(0);
        let request = source.carried?.request;
        if setup.responses_carry_id && response.request != request {
            return Some(Event::ConnectionLost { connection }.into());
        }
        let client = &self.clients[usize::from(request)];
        let while_closing = source.closing;
        let streaming = response.kind.is_streaming();
        source.long = response.kind == ServerResponse::StreamingLong;
        source.streaming = streaming && !while_closing && client.is_waiting();
        source.responded_early = setup.streaming_bodies && !client.body_released;
        if !while_closing && !streaming {
            source.carried = None;
            source.responded = false;
            // A response before the last byte means that the request has run, unless it is `ServerResponse::Full`.
            let may_have_run = response.kind != ServerResponse::Full;
            self.end_attempt(request, connection, may_have_run);
        }
        Some(NodeInput {
            event: self.response_event(connection, response.kind, while_closing),
            read: Some(ReadResponse {
                request: response.request,
                while_closing,
            }),
        })
    }

    fn response_event(
        &mut self,
        connection: ConnectionId,
        kind: ServerResponse,
        while_closing: bool,
    ) -> Event<u8> {
        match kind {
            ServerResponse::Upgrade => {
                if !while_closing {
                    // The connection is now owned by the tunnel to the client.
                    self.connections.remove(&connection);
                }
                Event::Upgraded { connection }
            }
            ServerResponse::Streaming | ServerResponse::StreamingLong => Event::ResponseStreaming {
                connection,
                long: kind == ServerResponse::StreamingLong,
            },
            ServerResponse::Ok | ServerResponse::Error | ServerResponse::Full => {
                Event::ResponseComplete {
                    connection,
                    outcome: kind.outcome(),
                }
            }
        }
    }

    /// Ends the attempt of a request whose bytes were written on a connection.
    fn end_attempt(&mut self, request: u8, connection: ConnectionId, may_have_run: bool) {
        let client = self.client_mut(request);
        let on_connection = |attempt: &mut WrittenAttempt| attempt.connection == connection;
        if let Some(attempt) = client.written.take_if(on_connection) {
            if may_have_run {
                client.first_dispatched.get_or_insert(attempt.dispatched);
            }
        }
    }
}

/// Applies a step of a server: it responds, repeats its response or resets the connection.
fn apply_server_step(connection: &mut Connection, step: Step, now: Micros) {
    match step {
        Step::ServerResponds(_, kind) => {
            connection.responded = true;
            if let Some(carried) = connection.carried {
                let response = Response {
                    request: carried.request,
                    kind,
                };
                connection.inbound.push(response);
                connection.last_response = Some(SentResponse { response, at: now });
            }
        }
        Step::ServerRepeats(_) => {
            connection.repeated = true;
            let repeated = connection.last_response.map(|sent| sent.response);
            connection.inbound.extend(repeated);
        }
        Step::ConnectionResets { unread_lost, .. } => {
            connection.reset = true;
            if unread_lost {
                connection.inbound.clear();
            }
        }
        _ => {}
    }
}

fn node_sees_end(id: ConnectionId, connection: &mut Connection) -> Event<u8> {
    connection.end_seen = true;
    let lost = connection.carried.is_some_and(|carried| {
        // An unread response determines how the attempt ends.
        !carried.written || connection.inbound.is_empty()
    });
    if lost {
        Event::ConnectionLost { connection: id }
    } else {
        Event::ClosedByPeer { connection: id }
    }
}
