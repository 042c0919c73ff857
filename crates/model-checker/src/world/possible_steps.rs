//! The steps that are possible in a state.

use super::client::Client;
use super::connection::Connection;
use super::policy::PolicyModel;
use super::setup::{DuplicateResponses, Setup};
use super::step::{ServerResponse, Step};
use super::World;

impl<M: PolicyModel> World<M> {
    /// Returns all steps that are possible in this state.
    pub fn possible_steps(&self, setup: &Setup) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, client) in self.clients.iter().enumerate() {
            if client.arrived_at.is_none() {
                self.add_arrival(setup, index, &mut steps);
            } else {
                self.add_client_steps(setup, index, client, &mut steps);
            }
        }
        for (rank, connection) in self.connections.values().enumerate() {
            self.add_connection_steps(setup, rank as u8, connection, &mut steps);
        }
        self.add_node_steps(setup, &mut steps);
        steps
    }

    /// Returns the next step towards termination without new activity: closing connections are closed, streaming
    /// responses end, the timer fires and the clock advances. Returns `None` once the world has terminated.
    pub fn default_step(&self, setup: &Setup) -> Option<Step> {
        if let Some(rank) = self.find_rank(|connection| connection.closing) {
            return Some(Step::ConnectionCloses(rank));
        }
        // A response that is not long may never end.
        let streams = |connection: &Connection| {
            let ends = connection.long || connection.reset;
            connection.streaming && !connection.response_dropped && ends
        };
        if let Some(rank) = self.find_rank(streams) {
            let reset = self
                .connections
                .values()
                .nth(usize::from(rank))
                .is_some_and(|connection| connection.reset);
            return Some(if reset {
                Step::NodeSeesEnd(rank)
            } else {
                Step::ResponseFinishes(rank)
            });
        }
        if self.timer_due(setup) && !self.timer_fired {
            return Some(Step::TimerFires);
        }
        let timer_set = self.exchange.next_alarm().is_some() || self.timer_fired;
        (timer_set || self.exchange.table_sizes() != (0, 0)).then_some(Step::ClockTicks)
    }

    fn find_rank(&self, wanted: impl Fn(&Connection) -> bool) -> Option<u8> {
        self.connections
            .values()
            .position(wanted)
            .map(|rank| rank as u8)
    }

    fn within_horizon(&self, setup: &Setup) -> bool {
        self.clock < setup.horizon_ticks
    }

    fn add_arrival(&self, setup: &Setup, index: usize, steps: &mut Vec<Step>) {
        let request = index as u8;
        let previous_arrived = index == 0 || self.clients[index - 1].arrived_at.is_some();
        // Identical requests arrive in the order of their numbers, as their permutations are equivalent.
        let equal = index > 0 && setup.requests[index] == setup.requests[index - 1];
        let in_order = previous_arrived || !(setup.shared_id || equal);
        let id_in_use = self.exchange.is_known(&setup.request_id(request));
        if in_order && self.within_horizon(setup) && !id_in_use {
            steps.push(Step::RequestArrives(request));
        }
    }

    fn add_client_steps(
        &self,
        setup: &Setup,
        index: usize,
        client: &Client,
        steps: &mut Vec<Step>,
    ) {
        let request = index as u8;
        let may_leave = if client.answers > 0 {
            setup.shared_id
        } else {
            setup.clients_leave
        };
        if !client.disconnected && may_leave {
            steps.push(Step::ClientLeaves(request));
        }
        if setup.streaming_bodies && client.is_waiting() && !client.body_arrived {
            steps.push(Step::BodyFails(request));
            self.add_deadline_changes(setup, request, client, steps);
        }
        let next = self.clients.get(index + 1);
        let owns_id = !setup.shared_id || next.is_none_or(|next| next.arrived_at.is_none());
        if self.exchange.policy().model.is_arbitrary() && owns_id {
            add_policy_steps(setup, request, client, steps);
        }
    }

    fn add_connection_steps(
        &self,
        setup: &Setup,
        rank: u8,
        connection: &Connection,
        steps: &mut Vec<Step>,
    ) {
        if connection.closing {
            steps.push(Step::ConnectionCloses(rank));
        }
        if !connection.up {
            add_connect_steps(setup, rank, connection, steps);
            return;
        }
        if connection.has_unwritten_request() && !connection.closing {
            steps.push(Step::FirstByteReady(rank));
        }
        if connection.streaming && !connection.reset && !connection.response_dropped {
            steps.push(Step::ResponseFinishes(rank));
            steps.push(Step::ResponseDropped(rank));
            if !connection.long {
                steps.push(Step::ResponseTurnsLong(rank));
            }
        }
        self.add_body_arrival(setup, connection, steps);
        self.add_server_steps(setup, rank, connection, steps);
        add_reads(rank, connection, steps);
    }

    fn add_deadline_changes(
        &self,
        setup: &Setup,
        request: u8,
        client: &Client,
        steps: &mut Vec<Step>,
    ) {
        if !self.within_horizon(setup) {
            return;
        }
        for short in [true, false] {
            if client.changed_deadline != Some(self.body_deadline(setup, short)) {
                steps.push(Step::BodyDeadlineChanges { request, short });
            }
        }
    }

    fn add_body_arrival(&self, setup: &Setup, connection: &Connection, steps: &mut Vec<Step>) {
        let Some(request) = connection.written_request() else {
            return;
        };
        if setup.streaming_bodies
            && !self.client(request).body_arrived
            && !connection.closing
            && self.within_horizon(setup)
        {
            steps.push(Step::BodyArrives(request));
        }
    }

    fn add_server_steps(
        &self,
        setup: &Setup,
        rank: u8,
        connection: &Connection,
        steps: &mut Vec<Step>,
    ) {
        if connection.reset {
            return;
        }
        if connection.written_request().is_some() && !connection.responded {
            let responses = ServerResponse::possible(setup).iter();
            steps.extend(responses.map(|response| Step::ServerResponds(rank, *response)));
        }
        if let Some(last) = connection.last_response.filter(|_| !connection.repeated) {
            let prompt = self.now(setup) < last.at + setup.limits.reuse_delay;
            let repeats = match setup.duplicate_responses {
                DuplicateResponses::Never => false,
                DuplicateResponses::Prompt => prompt,
                DuplicateResponses::AnyTime => true,
            };
            if repeats {
                steps.push(Step::ServerRepeats(rank));
            }
        }
        if setup.faults {
            steps.push(Step::ConnectionResets {
                connection: rank,
                unread_lost: false,
            });
            if !connection.inbound.is_empty() {
                steps.push(Step::ConnectionResets {
                    connection: rank,
                    unread_lost: true,
                });
            }
        }
    }

    fn add_node_steps(&self, setup: &Setup, steps: &mut Vec<Step>) {
        if self.changes_applied < setup.endpoint_changes.len() {
            steps.push(Step::EndpointsChange);
        }
        if setup.node_drains && !self.draining {
            steps.push(Step::NodeDrains);
        }
        let shutdown_possible = setup.shutdown_ticks.is_some() && self.shutdown_deadline.is_none();
        if shutdown_possible && self.within_horizon(setup) {
            steps.push(Step::ShutdownAnnounced);
        }
        let timer_due = self.timer_due(setup);
        if timer_due && !self.timer_fired {
            steps.push(Step::TimerFires);
        }
        let clock_may_advance = setup.late_timers || self.timer_fired || !timer_due;
        if self.within_horizon(setup) && clock_may_advance {
            steps.push(Step::ClockTicks);
        }
    }
}

fn add_policy_steps(setup: &Setup, request: u8, client: &Client, steps: &mut Vec<Step>) {
    let sends = client.sent_attempts.count_ones() as u8;
    if sends < setup.max_sends && client.answers == 0 {
        for server in 0..setup.servers.len() as u8 {
            steps.push(Step::PolicySends {
                request,
                server,
                short: false,
            });
            if setup.policy_cancels {
                steps.push(Step::PolicySends {
                    request,
                    server,
                    short: true,
                });
            }
        }
    }
    if client.answers == 0 && setup.policy_rejects {
        steps.push(Step::PolicyRejects(request));
        steps.push(Step::PolicyFails(request));
    }
    let unended = client.sent_attempts != client.ended_attempts;
    if setup.streaming_bodies && unended && client.answers == 0 && !client.body_released {
        steps.push(Step::PolicyReleases(request));
    }
    if unended && setup.policy_cancels {
        steps.push(Step::PolicyCancels(request));
    }
}

fn add_connect_steps(setup: &Setup, rank: u8, connection: &Connection, steps: &mut Vec<Step>) {
    if connection.closing {
        return;
    }
    steps.push(Step::ConnectSucceeds(rank));
    if setup.faults {
        steps.push(Step::ConnectFails(rank));
        steps.push(Step::ConnectLacksResource(rank));
    }
}

fn add_reads(rank: u8, connection: &Connection, steps: &mut Vec<Step>) {
    let written = connection.written_request().is_some();
    let unread = !connection.inbound.is_empty();
    if written && unread {
        // Also possible while the connection is being closed: the response may have been read just before.
        steps.push(Step::NodeReads(rank));
    }
    let unexpected = !written && unread;
    if (connection.reset || unexpected) && !connection.end_seen && !connection.closing {
        steps.push(Step::NodeSeesEnd(rank));
    }
}
