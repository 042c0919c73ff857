//! App servers in virtual time: cores, a queue, and a capacity that depends on how warm they are.

use super::{ScheduledEvent, Simulation, START_US};
use crate::scenario::{SERVERS_PER_DEDUPLICATION_DOMAIN, SLOTS_PER_CORE};
use saffronpaddle_policy::interface::{AttemptNumber, Micros, Outcome, RequestId};
use saffronpaddle_test_doubles::links::End;
use std::time::Duration;

/// An app server and its current process.
pub(super) struct Server {
    pub name: String,
    /// Servers of one domain share a record of idempotency keys.
    pub deduplication_domain: u64,
    pub running: bool,
    /// Number of the server's process. Work of an earlier one is dropped.
    pub incarnation: u32,
    /// Whether it accepts requests and answers none.
    pub silent: bool,
    /// When each core becomes idle.
    cores: Vec<Micros>,
    /// Requests that were accepted and are not finished.
    requests_held: usize,
    /// When each new connection was opened, since the start of the run.
    handshakes: Vec<Duration>,
    /// Requests received over all processes.
    requests: usize,
}

impl Server {
    /// Seconds of work per second that a warm server can do.
    pub fn capacity(&self) -> f64 {
        self.cores.len() as f64
    }

    /// Times of the new connections, and the number of requests.
    pub fn handshakes_and_requests(&self) -> (Vec<Duration>, usize) {
        (self.handshakes.clone(), self.requests)
    }
}

/// An attempt between a node and a server.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    pub node: usize,
    /// Number of the node's process.
    pub incarnation: u32,
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub server: usize,
    /// When the first byte of the attempt reaches the server.
    pub first_byte_at: Micros,
}

/// An attempt that a server has received and works on, or will.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub in_flight: InFlightAttempt,
    /// Number of the server's process.
    pub incarnation: u32,
    /// When the server received the attempt, since the start of the run: an idempotency key is judged by that time.
    pub received_at: Duration,
}

impl Simulation {
    /// Starts the app servers of the scenario.
    pub(super) fn start_servers(&mut self) {
        let cores = self.scenario.cores_per_server(&self.fleet);
        for number in 0..self.scenario.servers {
            let name = format!("s-{number}");
            if self.scenario.cold {
                self.oracle
                    .server_started_cold(Duration::ZERO, &name, cores as f64);
            }
            self.servers.push(Server {
                name,
                deduplication_domain: (number / SERVERS_PER_DEDUPLICATION_DOMAIN) as u64,
                running: true,
                incarnation: 0,
                silent: false,
                cores: vec![START_US; cores],
                requests_held: 0,
                handshakes: Vec::new(),
                requests: 0,
            });
        }
    }

    /// Sends an attempt. The complete request reaches its server after one network delay, or after three if it needs a
    /// new connection.
    pub(super) fn transmit(&mut self, in_flight: InFlightAttempt, network_delay: Micros) {
        let (near, far) = (End::Node(in_flight.node), End::Server(in_flight.server));
        let fault_to_server = self.links.fault_between(near, far);
        if fault_to_server.reset
            || self
                .servers
                .get(in_flight.server)
                .is_none_or(|server| !server.running)
        {
            return self.schedule(
                network_delay,
                ScheduledEvent::AttemptEnded(in_flight, Outcome::Unreachable),
            );
        }
        let idle_timeout = self.nodes[in_flight.node]
            .platform_settings
            .settings
            .server_idle_timeout;
        let last_used = self.nodes[in_flight.node]
            .idle_connections
            .remove(&in_flight.server);
        let reuses_connection =
            last_used.is_some_and(|last_used| self.now < last_used + idle_timeout);
        if !reuses_connection && fault_to_server.drops_connects {
            let after = self.nodes[in_flight.node].platform_settings.connect_timeout;
            return self.schedule(
                after,
                ScheduledEvent::AttemptEnded(in_flight, Outcome::Unreachable),
            );
        }
        let elapsed = self.elapsed();
        if !reuses_connection {
            self.servers[in_flight.server].handshakes.push(elapsed);
        }
        // A stalled link takes the request but does not deliver it; the node gives up on it.
        if !fault_to_server.stalled {
            let network_delay = network_delay * if reuses_connection { 1 } else { 3 }
                + fault_to_server.draw_delay().as_micros() as Micros;
            self.schedule(network_delay, ScheduledEvent::AttemptReceived(in_flight));
        }
    }

    /// Whether the node still waits for this attempt: it has neither ended the attempt nor restarted.
    fn is_outstanding(&self, in_flight: &InFlightAttempt) -> bool {
        let outstanding = self.nodes[in_flight.node].attempts.get(&in_flight.id);
        self.is_current(in_flight.node, in_flight.incarnation)
            && outstanding.is_some_and(|(attempt, _)| *attempt == in_flight.attempt)
    }

    /// Handles the arrival of a complete attempt: the server rejects it, holds it without an answer, or queues its
    /// work.
    pub(super) fn attempt_received(&mut self, in_flight: InFlightAttempt) {
        if !self.is_outstanding(&in_flight) {
            return;
        }
        let (elapsed, network_delay) = (self.elapsed(), self.draw_network_delay());
        let Some(client) = self.nodes[in_flight.node]
            .open_requests
            .get(&in_flight.id)
            .map(|open_request| &open_request.client)
        else {
            return;
        };
        let mean = self.fleet.classes[client.class].work.as_secs_f64();
        let server = &mut self.servers[in_flight.server];
        if !server.running {
            return self.schedule(
                network_delay,
                ScheduledEvent::AttemptEnded(in_flight, Outcome::ConnectionLost),
            );
        }
        let work = mean * (0.5 + self.random.f64());
        let first_byte_at = Duration::from_micros(in_flight.first_byte_at - START_US);
        self.oracle
            .attempt_received(elapsed, first_byte_at, &server.name, &in_flight.id.0, work);
        server.requests += 1;
        if server.requests_held >= SLOTS_PER_CORE * server.cores.len()
            || self.oracle.is_overloaded(&server.name)
        {
            self.oracle.attempt_finished(&in_flight.id.0);
            return self.schedule(
                network_delay,
                ScheduledEvent::AttemptEnded(in_flight, Outcome::Rejected),
            );
        }
        server.requests_held += 1;
        if server.silent {
            return;
        }
        let Some(core) = server.cores.iter_mut().min() else {
            return;
        };
        let work_start = (*core).max(self.now);
        let capacity_share = self
            .oracle
            .capacity_share(Duration::from_micros(work_start - START_US), &server.name);
        *core = work_start + (work * self.work_time_factor / capacity_share * 1e6) as Micros;
        let after = *core - self.now;
        let queued = Work {
            in_flight,
            incarnation: server.incarnation,
            received_at: elapsed,
        };
        self.schedule(after, ScheduledEvent::WorkDone(queued));
    }

    /// Records that a server has done the work of an attempt, and sends the response if the node still waits for it.
    pub(super) fn work_done(&mut self, work: Work) {
        let Work {
            in_flight,
            incarnation,
            received_at,
        } = work;
        let (elapsed, network_delay) = (self.elapsed(), self.draw_network_delay());
        let server = &mut self.servers[in_flight.server];
        if server.incarnation != incarnation {
            return;
        }
        server.requests_held = server.requests_held.saturating_sub(1);
        let deduplication_domain = server.deduplication_domain;
        self.oracle
            .attempt_executed(elapsed, received_at, deduplication_domain, &in_flight.id.0);
        if !self.is_outstanding(&in_flight) {
            return;
        }
        self.oracle.attempt_finished(&in_flight.id.0);
        let fault_to_node = self
            .links
            .fault_between(End::Server(in_flight.server), End::Node(in_flight.node));
        let outcome = if fault_to_node.reset {
            Outcome::ConnectionLost
        } else {
            Outcome::Ok
        };
        if !fault_to_node.stalled {
            let network_delay = network_delay + fault_to_node.draw_delay().as_micros() as Micros;
            self.schedule(
                network_delay,
                ScheduledEvent::AttemptEnded(in_flight, outcome),
            );
        }
    }

    /// Handles the outcome of an attempt at its node.
    pub(super) fn reply_received(&mut self, in_flight: &InFlightAttempt, outcome: Outcome) {
        if !self.is_outstanding(in_flight) {
            return;
        }
        if outcome == Outcome::Ok {
            self.latencies_ms
                .push((self.now - in_flight.first_byte_at) as f64 / 1e3);
        }
        self.attempt_ended(in_flight.node, in_flight.id.clone(), outcome);
    }

    /// Kills a server; it starts again, cold, after `duration`.
    pub(super) fn crash_server(&mut self, server_index: usize, duration: Duration) {
        let server = &mut self.servers[server_index];
        (server.running, server.requests_held) = (false, 0);
        server.incarnation += 1;
        let cores = server.cores.len();
        server.cores = vec![self.now; cores];
        self.set_health(server_index, "gone");
        for node in 0..self.nodes.len() {
            self.nodes[node].idle_connections.remove(&server_index);
            let ids = self.nodes[node]
                .attempts
                .iter()
                .filter(|(_, (_, server))| *server == server_index);
            for (id, attempt) in ids
                .map(|(id, (attempt, _))| (id.clone(), *attempt))
                .collect::<Vec<_>>()
            {
                self.oracle.attempt_finished(&id.0);
                let (incarnation, first_byte_at, network_delay) = (
                    self.nodes[node].incarnation,
                    self.now,
                    self.draw_network_delay(),
                );
                let in_flight = InFlightAttempt {
                    node,
                    incarnation,
                    id,
                    attempt,
                    server: server_index,
                    first_byte_at,
                };
                self.schedule(
                    network_delay,
                    ScheduledEvent::AttemptEnded(in_flight, Outcome::ConnectionLost),
                );
            }
        }
        self.schedule(
            duration.as_micros() as Micros,
            ScheduledEvent::ServerRestarted(server_index),
        );
    }

    /// Starts a server's process, cold, and lists the server as ready.
    pub(super) fn restart_server(&mut self, server_index: usize) {
        let (elapsed, now) = (self.elapsed(), self.now);
        let server = &mut self.servers[server_index];
        server.running = true;
        let (name, capacity) = (server.name.clone(), server.capacity());
        self.oracle.server_started_cold(elapsed, &name, capacity);
        self.list_service.set_started_at(server_index, now);
        self.set_health(server_index, "ready");
    }
}
