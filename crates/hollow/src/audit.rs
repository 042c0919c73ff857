//! Events of hollow nodes for a test's oracle, and faults that a test injects.
//!
//! Totals identify no request and no server, so they would not show that hundreds of hollow nodes violate a rule that
//! a few processes keep. The audit is off unless [`AuditOptions`] enables it, so that measurements do not include its
//! cost.

use saffronpaddle_exchange::{ConnectionId, FinalAnswer};
use saffronpaddle_node::config::{Health, List};
use saffronpaddle_policy::interface::{Micros, RequestId, ServerId, SlowStartRules};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Most events that wait to be read; further ones are dropped and counted. Bounds the memory if the reader has stopped.
const MAX_UNREAD_EVENTS: usize = 2_000_000;
/// Time for which a node may send new attempts to a server after the node received that it is not ready, µs.
const DRAIN_GRACE_US: Micros = 250_000;

/// Optional keys of the first line, beside those of [`Spec`](crate::Spec).
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct AuditOptions {
    /// Whether the events of this module are recorded.
    #[serde(default)]
    pub audit: bool,
    /// The setting `[quotas] fenced` of the operator file.
    #[serde(default)]
    pub fenced: bool,
}

/// Faults injected into the nodes of a process, until the next command replaces them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Faults {
    /// Share (0 to 1) of the datagrams to each node that are dropped.
    pub loss: f64,
    /// Nodes of the fleet that exchange datagrams only with one another.
    #[serde(rename = "apart")]
    pub isolated: HashSet<u32>,
    /// App servers that leave each new attempt unanswered and its connection open.
    #[serde(rename = "silent")]
    pub silent_servers: HashSet<String>,
}

/// An event at a hollow node or at an app server that it simulates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AuditEvent {
    /// A node received a request: request id, node, tenant and class.
    #[serde(rename = "Asked")]
    RequestReceived(String, u32, u64, usize),
    /// The first byte of an attempt reached a server: request id, server, and the work of a warm server on it in
    /// seconds.
    #[serde(rename = "Arrived")]
    AttemptReceived(String, String, f64),
    /// A server finished its work on an attempt: request id, the group of servers that drops repeats, and the attempt's
    /// arrival time in µs.
    #[serde(rename = "Ran")]
    AttemptExecuted(String, u64, Micros),
    /// An attempt was answered: request id.
    #[serde(rename = "Over")]
    AttemptFinished(String),
    /// The connection of an attempt was closed: request id.
    #[serde(rename = "Closed")]
    AttemptCanceled(String),
    /// The client got its final answer: request id, and 0 for served, 1 for refused, 2 for failed.
    #[serde(rename = "Answered")]
    ResponseSent(String, u8),
    /// The node of an unanswered request was restarted: request id.
    #[serde(rename = "Cut")]
    RequestInterrupted(String),
}

/// Events recorded since the last report, and counters since the process began.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AuditReport {
    /// Time of the report by the process's clock, µs.
    pub at: Micros,
    /// Events with their times in µs, in the order in which they were recorded.
    #[serde(rename = "notes")]
    pub events: Vec<(Micros, AuditEvent)>,
    /// Events dropped because too many were unread.
    #[serde(rename = "lost")]
    pub dropped_events: u64,
    /// Attempts sent to a server after their node received that it is not ready.
    pub after_drain: u64,
    /// Longest time from the receipt of that state to such an attempt, µs.
    #[serde(rename = "after_drain_most")]
    pub after_drain_max: Micros,
    /// Such attempts sent more than 250 ms after the receipt.
    pub late: u64,
    /// Datagrams dropped by injected faults.
    #[serde(rename = "unheard")]
    pub dropped_datagrams: u64,
}

/// A server as the list of app servers describes it.
struct ListedServer {
    name: String,
    group: u64,
    started: Option<Micros>,
    ready: bool,
    /// List version in which it last ceased to be ready; 0 if it never did.
    drained_in: u64,
    /// List version in which it last became ready.
    ready_in: u64,
}

/// An attempt on a connection.
struct InFlightAttempt {
    id: RequestId,
    server: ServerId,
}

/// Recorder of events and injector of faults for the nodes of one process.
pub struct Audit {
    options: AuditOptions,
    slow_start: SlowStartRules,
    /// Faults that apply now.
    pub faults: Faults,
    report: AuditReport,
    servers: HashMap<ServerId, ListedServer>,
    /// Latest list version that any node has received.
    latest_seq: u64,
    /// List versions that each node has applied since its last start, with their times.
    applied_lists: HashMap<u32, Vec<(u64, Micros)>>,
    in_flight: HashMap<(u32, ConnectionId), InFlightAttempt>,
}

impl Audit {
    /// An audit without events and faults. The simulated app servers warm up by the rules of `slow_start`.
    pub fn new(options: AuditOptions, slow_start: SlowStartRules) -> Audit {
        let (faults, report, servers, latest_seq, applied_lists, in_flight) = Default::default();
        Audit {
            options,
            slow_start,
            faults,
            report,
            servers,
            latest_seq,
            applied_lists,
            in_flight,
        }
    }

    /// Takes the recorded events. The counters are not reset.
    pub fn take_report(&mut self, now: Micros) -> AuditReport {
        let events = std::mem::take(&mut self.report.events);
        AuditReport {
            at: now,
            events,
            ..self.report
        }
    }

    /// Records an event if the audit is on, or counts it if too many are unread.
    fn record(&mut self, now: Micros, event: AuditEvent) {
        if !self.options.audit {
        } else if self.report.events.len() < MAX_UNREAD_EVENTS {
            self.report.events.push((now, event));
        } else {
            self.report.dropped_events += 1;
        }
    }

    /// Whether the faults let a datagram from node `from` reach node `node`. Counts it if they do not.
    pub fn delivers(&mut self, from: u32, node: u32) -> bool {
        let Faults { loss, isolated, .. } = &self.faults;
        let delivered = (*loss <= 0.0 || fastrand::f64() >= *loss)
            && isolated.contains(&from) == isolated.contains(&node);
        self.report.dropped_datagrams += u64::from(!delivered);
        delivered
    }

    /// Records that a node received a request.
    pub fn request_received(
        &mut self,
        now: Micros,
        id: &RequestId,
        node: u32,
        tenant: u64,
        class: usize,
    ) {
        self.record(
            now,
            AuditEvent::RequestReceived(id.0.to_string(), node, tenant, class),
        );
    }

    /// Records that a node is about to apply a list. `server_id` maps a server's name to its id.
    pub fn list_received(
        &mut self,
        now: Micros,
        node: u32,
        list: &List,
        server_id: impl Fn(&str) -> ServerId,
    ) {
        if !self.options.audit {
            return;
        }
        self.applied_lists
            .entry(node)
            .or_default()
            .push((list.seq, now));
        if list.seq <= self.latest_seq {
            return;
        }
        let seq = list.seq;
        self.latest_seq = seq;
        let mut listed = HashSet::new();
        for host in &list.hosts {
            let ready = host.health == Health::Ready;
            let server = server_id(&host.host);
            if list.whole {
                listed.insert(server);
            }
            let entry = self.servers.entry(server).or_insert_with(|| ListedServer {
                name: host.host.clone(),
                group: host.block,
                started: None,
                ready: true,
                drained_in: 0,
                ready_in: seq,
            });
            entry.started = (host.born_ms > 0).then_some(host.born_ms.saturating_mul(1000));
            set_ready(entry, ready, seq);
        }
        if list.whole {
            let missing = self
                .servers
                .iter_mut()
                .filter(|(server, _)| !listed.contains(server));
            missing.for_each(|(_, entry)| set_ready(entry, false, seq));
        }
    }

    /// Registers an attempt that is about to be sent on a connection.
    pub fn attempt_started(
        &mut self,
        node: u32,
        connection: ConnectionId,
        id: &RequestId,
        server: ServerId,
    ) {
        if self.options.audit {
            self.in_flight.insert(
                (node, connection),
                InFlightAttempt {
                    id: id.clone(),
                    server,
                },
            );
        }
    }

    /// Records that the first byte of an attempt was written. Returns the server's time to answer, µs, given the time
    /// `work` of a warm server; `None` if it never answers.
    pub fn attempt_sent(
        &mut self,
        now: Micros,
        (node, connection): (u32, ConnectionId),
        work: Micros,
    ) -> Option<Micros> {
        let attempt = self
            .in_flight
            .get(&(node, connection))
            .and_then(|attempt| Some((attempt, self.servers.get(&attempt.server)?)));
        let Some((attempt, listed)) = attempt else {
            return Some(work);
        };
        let versions = self.applied_lists.get(&node).map_or(&[][..], Vec::as_slice);
        let node_seq = versions.last().map_or(0, |(seq, _)| *seq);
        let ready_again = listed.ready_in > listed.drained_in && node_seq >= listed.ready_in;
        let drained = listed.drained_in > 0 && node_seq >= listed.drained_in && !ready_again;
        let drain_received = versions
            .iter()
            .find(|(seq, _)| *seq >= listed.drained_in)
            .map(|(_, at)| *at);
        if let Some(received) = drain_received.filter(|_| drained) {
            let delay = now.saturating_sub(received);
            self.report.after_drain += 1;
            self.report.after_drain_max = self.report.after_drain_max.max(delay);
            self.report.late += u64::from(delay > DRAIN_GRACE_US);
        }
        let silent = self.faults.silent_servers.contains(&listed.name);
        let duration = work as f64 / capacity(&self.slow_start, listed.started, now);
        let (id, name, group) = (attempt.id.0.to_string(), listed.name.clone(), listed.group);
        self.record(
            now,
            AuditEvent::AttemptReceived(id.clone(), name, work as f64 / 1e6),
        );
        let duration = duration as Micros;
        if !silent {
            self.record(now + duration, AuditEvent::AttemptExecuted(id, group, now));
        }
        (!silent).then_some(duration)
    }

    /// Records that the server has answered the attempt on a connection.
    pub fn attempt_finished(&mut self, now: Micros, node: u32, connection: ConnectionId) {
        if let Some(InFlightAttempt { id, .. }) = self.in_flight.remove(&(node, connection)) {
            self.record(now, AuditEvent::AttemptFinished(id.0.to_string()));
        }
    }

    /// Records that a connection is closed and the attempt on it, if any, is canceled.
    pub fn connection_closed(&mut self, now: Micros, node: u32, connection: ConnectionId) {
        if let Some(InFlightAttempt { id, .. }) = self.in_flight.remove(&(node, connection)) {
            self.record(now, AuditEvent::AttemptCanceled(id.0.to_string()));
        }
    }

    /// Records the final answer to a request.
    pub fn response_sent(&mut self, now: Micros, id: &RequestId, answer: FinalAnswer) {
        let kind = match answer {
            FinalAnswer::Served => 0,
            FinalAnswer::Rejected(_) => 1,
            FinalAnswer::Failed => 2,
        };
        self.record(now, AuditEvent::ResponseSent(id.0.to_string(), kind));
    }

    /// Records that a node has ended, with its unanswered requests.
    pub fn node_ended<'a>(
        &mut self,
        now: Micros,
        node: u32,
        requests: impl Iterator<Item = &'a RequestId>,
    ) {
        self.applied_lists.remove(&node);
        self.in_flight.retain(|(other, _), _| *other != node);
        requests.for_each(|id| self.record(now, AuditEvent::RequestInterrupted(id.0.to_string())));
    }
}

/// Sets whether a server is ready, and records the list version in which that changed.
fn set_ready(server: &mut ListedServer, ready: bool, seq: u64) {
    match (server.ready, ready) {
        (true, false) => server.drained_in = seq,
        (false, true) => server.ready_in = seq,
        _ => {}
    }
    server.ready = ready;
}

/// Capacity of a server that started at `started`, as a share of that of a warm server. A server without a known
/// start is warm.
fn capacity(rules: &SlowStartRules, started: Option<Micros>, now: Micros) -> f64 {
    let Some(started) = started else { return 1.0 };
    let warm_up = now.saturating_sub(started) as f64 / rules.warm_up_period.max(1) as f64;
    (rules.initial_capacity + (1.0 - rules.initial_capacity) * warm_up).min(1.0)
}
