//! App servers in virtual time: cores, a waiting room, and how warm they are.

use super::{Comes, Virtual, START};
use crate::scenario::{GROUP, SLOTS};
use saffronpaddle_policy::interface::{AttemptNumber, Micros, Outcome, RequestId};
use saffronpaddle_test_doubles::links::End;
use std::time::Duration;

pub(super) struct Server {
    pub name: String,
    pub block: u64,
    pub runs: bool,
    /// Counts its processes.
    pub life: u32,
    pub silent: bool,
    /// Until when each core works.
    cores: Vec<Micros>,
    held: usize,
    handshakes: Vec<Duration>,
    requests: usize,
}

impl Server {
    pub fn capacity(&self) -> f64 {
        self.cores.len() as f64
    }

    pub fn met(&self) -> (Vec<Duration>, usize) {
        (self.handshakes.clone(), self.requests)
    }
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub node: usize,
    pub life: u32,
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub server: usize,
    /// When its first byte is at the server.
    pub first: Micros,
}

impl Virtual {
    pub(super) fn begin_servers(&mut self) {
        let cores = self.scenario.cores_of(&self.fleet);
        for number in 0..self.scenario.servers {
            let name = format!("s-{number}");
            if self.scenario.cold {
                self.ledger
                    .server_started_cold(Duration::ZERO, &name, cores as f64);
            }
            self.servers.push(Server {
                name,
                block: (number / GROUP) as u64,
                runs: true,
                life: 0,
                silent: false,
                cores: vec![START; cores],
                held: 0,
                handshakes: Vec::new(),
                requests: 0,
            });
        }
    }

    /// An attempt leaves its node; it comes to its server whole after one way, and two more where it needs a connection.
    pub(super) fn fly(&mut self, flight: Flight, way: Micros) {
        let (near, far) = (End::Node(flight.node), End::Server(flight.server));
        let there = self.links.fault_between(near, far);
        if there.reset
            || self
                .servers
                .get(flight.server)
                .is_none_or(|server| !server.runs)
        {
            return self.later(way, Comes::Replies(flight, Outcome::Unreachable));
        }
        let idle = self.nodes[flight.node].named.settings.server_idle_timeout;
        let used = self.nodes[flight.node].wires.remove(&flight.server);
        let kept = used.is_some_and(|used| self.now < used + idle);
        if !kept && there.drops_connects {
            let after = self.nodes[flight.node].named.connect_timeout;
            return self.later(after, Comes::Replies(flight, Outcome::Unreachable));
        }
        let since = self.since();
        if !kept {
            self.servers[flight.server].handshakes.push(since);
        }
        // What stalls is taken, and goes no farther: its node gives it up.
        if !there.stalled {
            let way = way * if kept { 1 } else { 3 } + there.draw_delay().as_micros() as Micros;
            self.later(way, Comes::Reaches(flight));
        }
    }

    fn is_out(&self, flight: &Flight) -> bool {
        let out = self.nodes[flight.node].out.get(&flight.id);
        self.alive(flight.node, flight.life)
            && out.is_some_and(|(attempt, _)| *attempt == flight.attempt)
    }

    pub(super) fn reaches(&mut self, flight: Flight) {
        if !self.is_out(&flight) {
            return;
        }
        let (since, way) = (self.since(), self.way());
        let Some(client) = self.nodes[flight.node]
            .waits
            .get(&flight.id)
            .map(|waiting| &waiting.client)
        else {
            return;
        };
        let mean = self.fleet.classes[client.class].work.as_secs_f64();
        let server = &mut self.servers[flight.server];
        if !server.runs {
            return self.later(way, Comes::Replies(flight, Outcome::ConnectionLost));
        }
        let work = mean * (0.5 + self.random.f64());
        let first = Duration::from_micros(flight.first - START);
        self.ledger
            .attempt_received(since, first, &server.name, &flight.id.0, work);
        server.requests += 1;
        if server.held >= SLOTS * server.cores.len() || self.ledger.is_overloaded(&server.name) {
            self.ledger.attempt_finished(&flight.id.0);
            return self.later(way, Comes::Replies(flight, Outcome::Rejected));
        }
        server.held += 1;
        if server.silent {
            return;
        }
        let Some(core) = server.cores.iter_mut().min() else {
            return;
        };
        let begins = (*core).max(self.now);
        let warmth = self
            .ledger
            .capacity_share(Duration::from_micros(begins - START), &server.name);
        *core = begins + (work * self.slow / warmth * 1e6) as Micros;
        let (after, life) = (*core - self.now, server.life);
        self.later(after, Comes::Done(flight, life));
    }

    pub(super) fn done(&mut self, flight: Flight, life: u32) {
        let (since, way) = (self.since(), self.way());
        let server = &mut self.servers[flight.server];
        if server.life != life {
            return;
        }
        server.held = server.held.saturating_sub(1);
        let block = server.block;
        self.ledger
            .attempt_executed(since, since, block, &flight.id.0);
        if !self.is_out(&flight) {
            return;
        }
        self.ledger.attempt_finished(&flight.id.0);
        let back = self
            .links
            .fault_between(End::Server(flight.server), End::Node(flight.node));
        let outcome = if back.reset {
            Outcome::ConnectionLost
        } else {
            Outcome::Ok
        };
        if !back.stalled {
            let way = way + back.draw_delay().as_micros() as Micros;
            self.later(way, Comes::Replies(flight, outcome));
        }
    }

    pub(super) fn replies(&mut self, flight: &Flight, outcome: Outcome) {
        if !self.is_out(flight) {
            return;
        }
        if outcome == Outcome::Ok {
            self.took_ms.push((self.now - flight.first) as f64 / 1e3);
        }
        self.over(flight.node, flight.id.clone(), outcome);
    }

    /// A server's process dies, and starts anew and cold after a while.
    pub(super) fn crash(&mut self, at: usize, lasts: Duration) {
        let server = &mut self.servers[at];
        (server.runs, server.held) = (false, 0);
        server.life += 1;
        let cores = server.cores.len();
        server.cores = vec![self.now; cores];
        self.write(at, "gone");
        for node in 0..self.nodes.len() {
            self.nodes[node].wires.remove(&at);
            let ids = self.nodes[node]
                .out
                .iter()
                .filter(|(_, (_, server))| *server == at);
            for (id, attempt) in ids
                .map(|(id, (attempt, _))| (id.clone(), *attempt))
                .collect::<Vec<_>>()
            {
                self.ledger.attempt_finished(&id.0);
                let (life, first, way) = (self.nodes[node].life, self.now, self.way());
                let flight = Flight {
                    node,
                    life,
                    id,
                    attempt,
                    server: at,
                    first,
                };
                self.later(way, Comes::Replies(flight, Outcome::ConnectionLost));
            }
        }
        self.later(lasts.as_micros() as Micros, Comes::Back(at));
    }

    pub(super) fn back(&mut self, at: usize) {
        let (since, now) = (self.since(), self.now);
        let server = &mut self.servers[at];
        server.runs = true;
        let (name, capacity) = (server.name.clone(), server.capacity());
        self.ledger.server_started_cold(since, &name, capacity);
        self.service.born(at, now);
        self.write(at, "ready");
    }
}
