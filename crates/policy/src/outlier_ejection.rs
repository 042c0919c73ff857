//! Outlier ejection: a server that fails more often than the others is ejected per class; it then receives health
//! probes only.
//!
//! Rule: a server is ejected for a class once its fault rate exceeds both [`EJECTION_FAULT_RATE`] and twice the mean of
//! all servers. The ejection ends once the fault rate is below half of [`EJECTION_FAULT_RATE`].
//!
//! In a small fleet each node uses the fault rate that it measures itself; each successful health probe halves it,
//! which ends the ejection. In a large fleet the fault rate is estimated from the gossip average, which decays without
//! new faults. A server that stalls is ejected by `stalled_attempts`. If less than half of the servers are healthy,
//! `server_selection` ignores ejections.
//!
//! Inputs: the outcomes of this node's attempts and, in a large fleet, the observations of peers as a gossip average;
//! the mean fault rate of all servers. Result: for each server and class, whether it is ejected and when the next
//! health probe may be sent, µs. In a large fleet the probes of all nodes that use a server add up to a steady rate.

use crate::counters::Counter;
use crate::engine::PolicyEngine;
use crate::gossip_average::FAULT_DECAY_S;
use crate::interface::{ClassId, Micros, Outcome, ServerId, MILLISECOND, SECOND};
use crate::peer_message::Observation;
use crate::request::Attempt;
use crate::server::{OutlierStatistics, Server};
use crate::statistics::as_share;

/// Fault rate above which a server is ejected. Twice the mean of all servers applies instead if that is higher.
pub(crate) const EJECTION_FAULT_RATE: f64 = 0.35;
/// Interval between health probes of an ejected server.
const PROBE_INTERVAL: Micros = 700 * MILLISECOND;
/// How long an observation counts as evidence.
pub(crate) const EVIDENCE_LIFETIME: Micros = 4 * SECOND;
/// Weight of a new outcome in a server's fault rate.
const FAULT_WEIGHT: f64 = 0.2;
/// Share of an outcome's weight that counts for the server's other classes; it is below one as a single class may fail.
const OTHER_CLASS_SHARE: f64 = 0.25;
/// Weight of a new sample in a server's wait.
const WAIT_WEIGHT: f64 = 0.15;
/// Weight of a peer's observation in a server's wait.
const OBSERVATION_WEIGHT: f64 = 0.4;

/// Returns the time until the next health probe of an ejected server, µs. `nodes_per_server` is given in a large fleet:
/// the interval is then multiplied by it and jittered, so that the probes of that many nodes add up to a steady rate.
fn next_probe_interval(random: &mut fastrand::Rng, nodes_per_server: Option<f64>) -> Micros {
    let jitter = 0.5 + random.f64();
    let factor = nodes_per_server.map_or(1.0, |nodes| nodes * jitter);
    (PROBE_INTERVAL as f64 * factor) as Micros
}

impl OutlierStatistics {
    /// Starts or ends the ejection of the server for the class by its fault rate and the mean of all servers. Returns
    /// whether an ejection started. `nodes_per_server` is given in large fleets.
    fn update_ejection(
        &mut self,
        nodes_per_server: Option<f64>,
        mean_fault_rate: f64,
        probe_at: Micros,
    ) -> bool {
        if let Some(nodes) = nodes_per_server {
            let prior = mean_fault_rate.min(EJECTION_FAULT_RATE / 2.0);
            self.fault_rate = self.fleet_faults.estimate(nodes, prior);
        }
        if self.fault_rate > EJECTION_FAULT_RATE.max(2.0 * mean_fault_rate) {
            let newly_ejected = !self.is_ejected();
            self.next_probe_at = self.next_probe_at.or(Some(probe_at));
            return newly_ejected;
        }
        if self.fault_rate < EJECTION_FAULT_RATE / 2.0 {
            self.next_probe_at = None;
        }
        false
    }

    /// Records a successful attempt. At an ejected server it halves the fault rate, and the next health probe may be
    /// sent at once.
    fn record_success(&mut self, now: Micros) {
        if !self.is_ejected() {
            return;
        }
        self.fault_rate *= 0.5;
        let still_suspect = self.fault_rate >= EJECTION_FAULT_RATE / 2.0;
        self.next_probe_at = still_suspect.then_some(now);
    }
}

impl Server {
    /// Updates the fault rates of all classes with the outcome of an attempt of one class.
    fn update_fault_rates(&mut self, class: usize, fault: bool) {
        for (other, statistics) in self.statistics.iter_mut().enumerate() {
            let share = if other == class {
                1.0
            } else {
                OTHER_CLASS_SHARE
            };
            let weight = if other == class {
                FAULT_WEIGHT
            } else {
                FAULT_WEIGHT * OTHER_CLASS_SHARE
            };
            statistics.fault_rate += (as_share(fault) - statistics.fault_rate) * weight;
            statistics.fleet_faults.add(as_share(fault) * share, share);
        }
    }

    /// Merges a peer's observation of the server. Returns whether it is newer than what was known, and `false` if its
    /// class does not exist.
    fn observe(&mut self, now: Micros, observation: &Observation, unknown_wait: f64) -> bool {
        let observed_at = now.saturating_sub(observation.age);
        let Some(statistics) = self.statistics.get_mut(observation.class.0) else {
            return false;
        };
        statistics.fleet_faults.mix(observation.fleet_faults);
        let newer = observed_at > statistics.observed_at;
        if newer {
            statistics.observed_at = observed_at;
            self.record_wait(
                observed_at,
                observation.wait_per_attempt,
                OBSERVATION_WEIGHT,
                unknown_wait,
            );
        }
        newer
    }
}

impl PolicyEngine {
    /// Returns the mean number of nodes that use a server in a large fleet, `None` in a small one.
    fn fleet_nodes_per_server(&self) -> Option<f64> {
        self.large_fleet.then(|| self.endpoints.nodes_per_server())
    }

    /// Returns the time until the next health probe of an ejected server, µs.
    pub(crate) fn probe_interval(&mut self) -> Micros {
        let nodes_per_server = self.fleet_nodes_per_server();
        next_probe_interval(&mut self.random, nodes_per_server)
    }

    /// Updates the statistics of a server and of the load with the outcome of an attempt. `stalled`: this node
    /// cancelled the attempt because the server stalled or because a later response would have had no value; both count
    /// as a fault.
    pub(crate) fn update_statistics(
        &mut self,
        now: Micros,
        attempt: &Attempt,
        outcome: Outcome,
        stalled: bool,
    ) {
        let duration = attempt.time_at_server(self.seen_until(now)) as f64;
        self.counters.attempt_ended(outcome, stalled);
        self.record_slow_start_result(now, attempt, outcome);
        let Some(mut server) = self.endpoints.edit(attempt.server) else {
            return;
        };
        let class = attempt.class.0;
        let responded_since =
            server.statistics[class].last_response_at > attempt.sent_at && !stalled;
        let fault = match outcome {
            Outcome::Ok => false,
            Outcome::Cancelled | Outcome::TimedOut => !responded_since,
            Outcome::NotSent => return,
            _ => true,
        };
        server.update_fault_rates(class, fault);
        // A failed probe of an ejected server is no evidence against its zone: a machine that hangs accepts no
        // connections either.
        let unreachable = outcome == Outcome::Unreachable;
        if !unreachable || !server.statistics[class].is_ejected() {
            self.zones.record(server.endpoint.zone, unreachable);
        }
        server.statistics[class].observed_at = now;
        let duration = if fault {
            duration.max(self.shortest_objective / 2.0)
        } else {
            duration
        };
        let per_attempt = duration / attempt.in_flight_at_server;
        let unknown_wait = if self.large_fleet {
            self.load.typical_wait
        } else {
            per_attempt
        };
        server.record_wait(now, per_attempt, WAIT_WEIGHT, unknown_wait);
        self.load.record_latency(duration);
        if outcome == Outcome::Ok {
            server.last_response_at = now;
            server.statistics[class].last_response_at = now;
            if !self.large_fleet {
                server.statistics[class].record_success(now);
            }
        }
        drop(server);
        if self.large_fleet || outcome != Outcome::Ok && fault {
            self.update_server_ejection(now, attempt.server, attempt.class);
        }
    }

    /// Starts or ends the ejection of a server for a class.
    fn update_server_ejection(&mut self, now: Micros, id: ServerId, class: ClassId) {
        let mean_fault_rate = self.endpoints.mean_fault_rate(class);
        let probe_at = now.saturating_add(self.probe_interval());
        let nodes_per_server = self.fleet_nodes_per_server();
        let Some(mut server) = self.endpoints.edit(id) else {
            return;
        };
        if server.statistics[class.0].update_ejection(nodes_per_server, mean_fault_rate, probe_at) {
            self.counters.add(Counter::Ejections);
        }
    }

    /// Handles a peer's observation of one server.
    pub(crate) fn on_observation(&mut self, now: Micros, observation: &Observation) {
        let Some(id) = self.endpoints.by_short_id(observation.short_server_id) else {
            return;
        };
        // A forged datagram may name a class that does not exist.
        let class_exists = observation.class.0 < self.settings.classes.len();
        if observation.age >= EVIDENCE_LIFETIME || !class_exists {
            return;
        }
        let mean_fault_rate = self.endpoints.mean_fault_rate(observation.class);
        let nodes_per_server = self.fleet_nodes_per_server();
        let Some(mut server) = self.endpoints.edit(id) else {
            return;
        };
        if server.observe(now, observation, self.load.typical_wait) {
            self.counters.add(Counter::ObservationsReceived);
        }
        let interval = next_probe_interval(&mut self.random, nodes_per_server);
        let probe_at = now.saturating_add(interval);
        let statistics = &mut server.statistics[observation.class.0];
        if statistics.update_ejection(nodes_per_server, mean_fault_rate, probe_at) {
            self.counters.add(Counter::Ejections);
        }
    }

    /// Decays the gossip averages by `elapsed_s` seconds and updates the ejections of all servers, so that old
    /// observations keep no server ejected. The mean fault rate is computed once per class, not per server, as all
    /// servers are visited.
    pub(crate) fn decay_evidence(&mut self, now: Micros, elapsed_s: f64) {
        if !self.large_fleet {
            return;
        }
        self.endpoints.decay_evidence(elapsed_s / FAULT_DECAY_S);
        let mean_fault_rates: Vec<f64> = (0..self.settings.classes.len())
            .map(|class| self.endpoints.mean_fault_rate(ClassId(class)))
            .collect();
        let nodes_per_server = Some(self.endpoints.nodes_per_server());
        let random = &mut self.random;
        let counters = &mut self.counters;
        self.endpoints.evaluate_ejections(|server| {
            for (statistics, mean) in server.statistics.iter_mut().zip(&mean_fault_rates) {
                let probe_at = now.saturating_add(next_probe_interval(random, nodes_per_server));
                if statistics.update_ejection(nodes_per_server, *mean, probe_at) {
                    counters.add(Counter::Ejections);
                }
            }
        });
    }

    /// Returns whether the statistics of a server still contain evidence: an ejection, a gossip average or a recent
    /// observation.
    pub(crate) fn has_evidence(server: &Server, large_fleet: bool, now: Micros) -> bool {
        server.statistics.iter().any(|statistics| {
            let averaged = large_fleet && statistics.fleet_faults.mean().is_some();
            let recent = now < statistics.observed_at.saturating_add(EVIDENCE_LIFETIME);
            statistics.is_ejected() || averaged || recent
        })
    }
}
