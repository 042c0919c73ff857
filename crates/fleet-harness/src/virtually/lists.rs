//! The list service in virtual time and each node's client of it. `saffronpaddle_endpoints` decides when a node calls,
//! as in a process.

use super::{Simulation, NETWORK_DELAY_US, START_US};
use crate::scenario::{Scenario, SERVERS_PER_DEDUPLICATION_DOMAIN};
use saffronpaddle_endpoints::{CallSlots, EmptyListProtection, PollBackoff, PollLimits};
use saffronpaddle_policy::interface::{
    DeduplicationDomainId, Endpoint, EndpointStatus, EndpointUpdate, Micros, ServerId, ZoneId,
};
use saffronpaddle_test_doubles::discovery::{
    CallStats, RestoreMode, ServiceLimits, MAX_QUEUE_DELAY,
};
use saffronpaddle_test_doubles::links::End;
use std::collections::BTreeSet;
use std::ops::Bound;
use std::time::Duration;

/// Time after which a node gives up a watch that sends nothing, and an unanswered call for which no limits are
/// configured, µs.
const WATCH_TIMEOUT_US: Micros = 3_000_000;
/// Interval of heartbeats on a watch while nothing changes, µs.
const HEARTBEAT_INTERVAL_US: Micros = 2_000_000;
/// Bytes of a list entry, and of the rest of a response. Both count against the service's capacity.
const ENTRY_AND_HEADER_BYTES: (usize, usize) = (150, 40);
/// Outdated lists contain servers that no longer exist; their numbers start here.
const REMOVED_SERVER_BASE: u64 = 1 << 40;

/// An event between a node and the list service. The first number is that of the call; events of an earlier call are
/// ignored.
#[derive(Debug)]
pub(super) enum ListEvent {
    /// The node calls the list service.
    Poll,
    /// The service answers; the answer opens a watch.
    Response(u64),
    /// A change arrives on the watch.
    Update(u64),
    /// A heartbeat is due on the watch.
    Heartbeat(u64),
    /// The call or its watch has ended. The duration is the `Retry-After` of a rejected call.
    CallEnded(u64, Option<Duration>),
}

/// A server in an update of a watch: its number, health and start time.
type ChangedEntry = (usize, &'static str, Option<Micros>);

/// The list of servers; each entry has the version of its last change.
#[derive(Clone, Default)]
struct List {
    version: u64,
    /// By server: the version of its last change, its health and its start time.
    entries: Vec<(u64, &'static str, Option<Micros>)>,
    /// The entries by the version of their last change, so that an update does not scan a long list for each node.
    by_version: BTreeSet<(u64, usize)>,
}

impl List {
    /// A list of ready servers.
    fn full(servers: usize, started_at: Option<Micros>) -> List {
        let entries = vec![(1, "ready", started_at); servers];
        List {
            version: 1,
            entries,
            by_version: (0..servers).map(|index| (1, index)).collect(),
        }
    }

    fn set_health(&mut self, index: usize, health: &'static str) {
        self.version += 1;
        let Some(entry) = self.entries.get_mut(index) else {
            return;
        };
        self.by_version.remove(&(entry.0, index));
        self.by_version.insert((self.version, index));
        (entry.0, entry.1) = (self.version, health);
    }

    /// Gives all entries version 1, as if they had been written in one change.
    fn renumber(&mut self) {
        self.version = 1;
        self.entries.iter_mut().for_each(|entry| entry.0 = 1);
        self.by_version = (0..self.entries.len()).map(|index| (1, index)).collect();
    }

    /// The indices, in ascending order, of the entries that changed after a version.
    fn changed(&self, from: u64) -> Vec<usize> {
        let later = (Bound::Excluded((from, usize::MAX)), Bound::Unbounded);
        let mut changed: Vec<usize> = self
            .by_version
            .range(later)
            .map(|(_, index)| *index)
            .collect();
        changed.sort_unstable();
        changed
    }
}

/// The list service that all nodes call.
pub(super) struct ListService {
    list: List,
    /// The first version of the list.
    initial: List,
    pub limits: ServiceLimits,
    /// Whether the service sends nothing: calls stay unanswered, and watches receive no updates.
    pub silent: bool,
    /// When all accepted calls are processed.
    busy_until: Micros,
    pub call_stats: CallStats,
}

impl ListService {
    /// Creates a service that lists all servers of the scenario as ready; in a cold one they start as the run begins.
    pub fn for_scenario(scenario: &Scenario) -> ListService {
        let (calls_per_s, bytes_per_s) = scenario.list_service_limits;
        let started_at = scenario.cold.then_some(START_US);
        let list = List::full(scenario.servers, started_at);
        let limits = ServiceLimits {
            calls_per_s,
            bytes_per_s,
            sheds_load: scenario.list_service_sheds_load,
            down: false,
        };
        let initial = list.clone();
        ListService {
            list,
            initial,
            limits,
            silent: false,
            busy_until: 0,
            call_stats: CallStats::default(),
        }
    }

    /// Replaces the list by what a list service with lost data serves.
    pub fn restore(&mut self, mode: RestoreMode) {
        match mode {
            RestoreMode::FirstVersion => self.list = self.initial.clone(),
            RestoreMode::Empty => self.list = List::default(),
            RestoreMode::Renumbered => self.list.renumber(),
        }
    }

    /// Records the start time of a server.
    pub fn set_started_at(&mut self, server_index: usize, now: Micros) {
        if let Some(entry) = self.list.entries.get_mut(server_index) {
            entry.2 = Some(now);
        }
    }

    /// Whether the returned entries are the full list, and the entries that changed after version `from`.
    fn changes_since(&self, from: Option<u64>) -> (bool, Vec<ChangedEntry>) {
        let from = from.filter(|from| *from <= self.list.version);
        let changed_entry = |(index, entry): (usize, &(u64, &'static str, Option<Micros>))| {
            (index, entry.1, entry.2)
        };
        let all = &self.list.entries;
        let entries = match from {
            Some(from) => self
                .list
                .changed(from)
                .into_iter()
                .map(|index| changed_entry((index, &all[index])))
                .collect(),
            None => all
                .iter()
                .enumerate()
                .filter(|(_, entry)| entry.1 != "gone")
                .map(changed_entry)
                .collect(),
        };
        (from.is_none(), entries)
    }
}

/// A node's client of the list service.
pub(super) struct ListClient {
    /// Version of the list that the node has received; `None` for none.
    version: Option<u64>,
    /// Number of the current call. `watching` is set once it is answered.
    call: u64,
    watching: bool,
    backoff: PollBackoff,
    /// When the node may call a service for which limits are set.
    pub call_slots: Option<CallSlots>,
    empty_list_protection: EmptyListProtection,
}

impl ListClient {
    /// Creates the client of a node, given by its number and the number of all nodes, without a list. `list_limits` is
    /// `None` if none are configured.
    pub fn new(position: (u32, u32), list_limits: Option<&PollLimits>) -> ListClient {
        // Without configured limits, the address is that of the agent on the node's machine.
        let backoff = list_limits.map_or_else(PollBackoff::for_agent, |list_limits| {
            PollBackoff::with_limits(position.1, list_limits)
        });
        ListClient {
            version: None,
            call: 0,
            watching: false,
            backoff,
            call_slots: list_limits.map(|list_limits| CallSlots::new(position, list_limits)),
            empty_list_protection: EmptyListProtection::default(),
        }
    }
}

impl Simulation {
    /// Loads the list from a node's configuration: the current list, or an outdated one.
    pub(super) fn load_initial_list(&mut self, node_index: usize, stale: bool) {
        let (_, entries) = self.list_service.changes_since(None);
        let initial_entry = |(index, (server, health, started_at)): (usize, ChangedEntry)| {
            let entry = entry(server, health, started_at);
            match stale {
                true if index % 2 == 1 => Endpoint {
                    server: ServerId(REMOVED_SERVER_BASE + index as u64),
                    ..entry
                },
                true => Endpoint {
                    started_at: None,
                    ..entry
                },
                false => entry,
            }
        };
        let entries = entries.into_iter().enumerate().map(initial_entry).collect();
        self.nodes[node_index].list_client.version = Some(if stale {
            0
        } else {
            self.list_service.list.version
        });
        self.update_endpoints(node_index, EndpointUpdate::Snapshot, entries);
    }

    /// Changes a server's entry in the list.
    pub(super) fn set_health(&mut self, server: usize, health: &'static str) {
        self.list_service.list.set_health(server, health);
        self.push_update();
    }

    /// Sends the change to all open watches, after the discovery delay.
    pub(super) fn push_update(&mut self) {
        let delay = self.scenario.discovery_delay.as_micros() as Micros;
        self.schedule_for_watches(delay, ListEvent::Update);
    }

    /// Schedules an event for each node with an open watch.
    fn schedule_for_watches(&mut self, after: Micros, event: impl Fn(u64) -> ListEvent) {
        for node_index in 0..self.nodes.len() {
            if self.nodes[node_index].list_client.watching {
                let (network_delay, call) = (
                    self.draw_network_delay(),
                    self.nodes[node_index].list_client.call,
                );
                self.schedule_list_event(node_index, after + network_delay, event(call));
            }
        }
    }

    /// Closes a node's watch if it is open.
    pub(super) fn close_watch(&mut self, node_index: usize) {
        if std::mem::take(&mut self.nodes[node_index].list_client.watching) {
            self.list_service.call_stats.open_watches -= 1;
        }
    }

    /// Ends all watches at once.
    pub(super) fn end_watches(&mut self) {
        self.schedule_for_watches(0, |call| ListEvent::CallEnded(call, None));
    }

    fn schedule_list_event(&mut self, node_index: usize, after: Micros, event: ListEvent) {
        let incarnation = self.nodes[node_index].incarnation;
        self.schedule(
            after,
            super::ScheduledEvent::ListService(node_index, incarnation, event),
        );
    }

    /// Whether messages of the list service reach a node.
    fn list_reachable(&self, node_index: usize) -> bool {
        let fault = self.links.fault_between(End::List, End::Node(node_index));
        !self.list_service.silent && !fault.stalled && !fault.reset
    }

    /// Handles an event between a node and the list service; ignores events of earlier calls.
    pub(super) fn handle_list_event(&mut self, node_index: usize, event: ListEvent) {
        let call = self.nodes[node_index].list_client.call;
        match event {
            ListEvent::Poll => self.poll_list(node_index),
            ListEvent::Response(call_id) if call_id == call => {
                self.nodes[node_index].list_client.watching = true;
                self.list_service.call_stats.open_watches += 1;
                self.list_service.call_stats.max_open_watches = self
                    .list_service
                    .call_stats
                    .max_open_watches
                    .max(self.list_service.call_stats.open_watches);
                self.receive_update(node_index);
                self.schedule_list_event(
                    node_index,
                    HEARTBEAT_INTERVAL_US,
                    ListEvent::Heartbeat(call),
                );
            }
            ListEvent::Update(call_id)
                if call_id == call && self.nodes[node_index].list_client.watching =>
            {
                if self.list_reachable(node_index) {
                    self.receive_update(node_index);
                }
            }
            ListEvent::Heartbeat(call_id)
                if call_id == call && self.nodes[node_index].list_client.watching =>
            {
                // If the protection held back an empty list, the node polls again once its time is over.
                let list_limits = self.list_limits.as_ref();
                let repoll_at = list_limits.and_then(|list_limits| {
                    self.nodes[node_index]
                        .list_client
                        .empty_list_protection
                        .poll_again_after(list_limits.empty_after)
                });
                let protection_over = repoll_at.is_some_and(|at| at <= self.elapsed());
                if !self.list_reachable(node_index) || protection_over {
                    let after = if protection_over {
                        0
                    } else {
                        WATCH_TIMEOUT_US - HEARTBEAT_INTERVAL_US
                    };
                    self.schedule_list_event(node_index, after, ListEvent::CallEnded(call, None));
                } else {
                    self.schedule_list_event(
                        node_index,
                        HEARTBEAT_INTERVAL_US,
                        ListEvent::Heartbeat(call),
                    );
                }
            }
            ListEvent::CallEnded(call_id, after) if call_id == call => {
                let random_share = self.random.f64();
                let was_watching = self.nodes[node_index].list_client.watching;
                self.close_watch(node_index);
                let list_client = &mut self.nodes[node_index].list_client;
                list_client.call += 1;
                let pause = match after {
                    Some(after) => list_client.backoff.after_response(after, random_share),
                    None if was_watching => list_client.backoff.after_watch_end(random_share),
                    None => list_client.backoff.after_failure(random_share),
                };
                let delay = list_client.call_slots.as_ref().map_or(pause, |call_slots| {
                    let least = after.unwrap_or_default().min(pause);
                    call_slots.align(Duration::from_micros(self.now), least, pause, random_share)
                });
                self.schedule_list_event(node_index, delay.as_micros() as Micros, ListEvent::Poll);
            }
            ListEvent::Response(_)
            | ListEvent::Update(_)
            | ListEvent::Heartbeat(_)
            | ListEvent::CallEnded(..) => {}
        }
    }

    /// Makes a node's call to the list service and schedules its response or its end.
    fn poll_list(&mut self, node_index: usize) {
        let call = self.nodes[node_index].list_client.call;
        // A node hedges its calls to an agent, and the first answer counts. The simulation replaces them
        // by one call whose timeout is the hedging interval.
        let hedge_interval = self.nodes[node_index]
            .list_client
            .backoff
            .hedged()
            .map(|hedged| hedged.every);
        let response_timeout = self
            .list_limits
            .as_ref()
            .map(|list_limits| list_limits.answer_within)
            .or(hedge_interval);
        let response_timeout =
            response_timeout.map_or(WATCH_TIMEOUT_US, |span| span.as_micros() as Micros);
        let network_delay = self.random.u64(NETWORK_DELAY_US);
        let link_fault = self.links.fault_between(End::Node(node_index), End::List);
        if self.list_service.limits.down || link_fault.reset {
            return self.schedule_list_event(
                node_index,
                network_delay,
                ListEvent::CallEnded(call, None),
            );
        }
        if link_fault.stalled || link_fault.drops_connects || !self.list_reachable(node_index) {
            return self.schedule_list_event(
                node_index,
                response_timeout,
                ListEvent::CallEnded(call, None),
            );
        }
        let elapsed = self.elapsed();
        self.list_service.call_stats.times.push(elapsed);
        let ServiceLimits {
            calls_per_s,
            bytes_per_s,
            sheds_load,
            ..
        } = self.list_service.limits;
        let (_, entries) = self
            .list_service
            .changes_since(self.nodes[node_index].list_client.version);
        let bytes = entries.len() * ENTRY_AND_HEADER_BYTES.0 + ENTRY_AND_HEADER_BYTES.1;
        let seconds_for = |amount: f64, per_second: f64| {
            if per_second > 0.0 {
                amount / per_second
            } else {
                0.0
            }
        };
        let service_time = seconds_for(1.0, calls_per_s) + seconds_for(bytes as f64, bytes_per_s);
        let queue_us = self.list_service.busy_until.saturating_sub(self.now);
        if sheds_load && u128::from(queue_us) > MAX_QUEUE_DELAY.as_micros() {
            self.list_service.call_stats.rejected += 1;
            let after = Duration::from_secs((queue_us / 1_000_000).max(1));
            return self.schedule_list_event(
                node_index,
                network_delay,
                ListEvent::CallEnded(call, Some(after)),
            );
        }
        // The service processes a call that it has accepted even if the caller has given up.
        self.list_service.busy_until =
            self.list_service.busy_until.max(self.now) + (service_time * 1e6) as Micros;
        let after = self.list_service.busy_until - self.now + 2 * network_delay;
        if after > response_timeout {
            self.schedule_list_event(
                node_index,
                response_timeout,
                ListEvent::CallEnded(call, None),
            );
        } else {
            self.schedule_list_event(node_index, after, ListEvent::Response(call));
        }
    }

    /// Passes what has changed since the last update of the watch to the node.
    fn receive_update(&mut self, node_index: usize) {
        let from = self.nodes[node_index].list_client.version;
        let (is_full, entries) = self.list_service.changes_since(from);
        let elapsed = self.elapsed();
        self.list_service
            .call_stats
            .first_answers
            .entry(node_index)
            .or_insert(elapsed);
        self.list_service.call_stats.list_bytes +=
            (entries.len() * ENTRY_AND_HEADER_BYTES.0 + ENTRY_AND_HEADER_BYTES.1) as u64;
        for (server, health, _) in &entries {
            self.oracle.health_delivered(
                elapsed,
                node_index,
                &format!("s-{server}"),
                *health == "ready",
            );
        }
        if let Some(list_limits) = self.list_limits.as_ref().filter(|_| is_full) {
            let known_endpoints = self.nodes[node_index].engine.endpoint_counts().0;
            if !self.nodes[node_index]
                .list_client
                .empty_list_protection
                .accepts(
                    elapsed,
                    entries.len(),
                    known_endpoints,
                    list_limits.empty_after,
                )
            {
                return;
            }
        }
        self.nodes[node_index].list_client.version = Some(self.list_service.list.version);
        let entries = entries
            .into_iter()
            .map(|(server, health, started_at)| entry(server, health, started_at))
            .collect();
        self.update_endpoints(
            node_index,
            if is_full {
                EndpointUpdate::Snapshot
            } else {
                EndpointUpdate::Delta
            },
            entries,
        );
    }
}

/// The policy engine's form of a list entry.
fn entry(server: usize, health: &str, started_at: Option<Micros>) -> Endpoint {
    Endpoint {
        server: ServerId(server as u64),
        zone: ZoneId((server % 2) as u32),
        domain: DeduplicationDomainId((server / SERVERS_PER_DEDUPLICATION_DOMAIN) as u64),
        status: match health {
            "ready" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            _ => EndpointStatus::Removed,
        },
        size: 1.0,
        started_at,
    }
}
