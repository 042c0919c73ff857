//! Runs a scenario in virtual time: the policy engines of all nodes in one process, with the same customers,
//! servers, links and faults as the harness, checked by the same oracle. It covers fleets that are too large for one
//! machine, and runs that must be reproducible: everything follows from the seed. Nothing of the node's I/O code runs
//! here; what a process does with sockets, descriptors and signals is covered by runs with real processes.

mod lists;
mod servers;

use crate::customers::customers;
use crate::report::{percentiles, InstanceReport, Report};
use crate::scenario::{EndpointSource, InitialList, Scenario, StepAction};
use crate::step_runner::DRAIN_TIME;
use crate::windows;
use anyhow::{ensure, Result};
use lists::{ListClient, ListEvent, ListService};
use saffronpaddle_endpoints::PollLimits;
use saffronpaddle_operator_config::Operator;
use saffronpaddle_policy::interface::{
    Action, AttemptNumber, ClassId, CustomerId, Endpoint, EndpointUpdate, Event, Micros, NodeId,
    Outcome, PlanId, RequestId, ServerId,
};
use saffronpaddle_policy::setup::{self, PlatformSettings};
use saffronpaddle_policy::PolicyEngine;
use saffronpaddle_test_doubles::links::{End, LinkSet, Links};
use saffronpaddle_test_doubles::load::{class_of, Customer, LoadCounts, RetryState};
use saffronpaddle_test_doubles::oracle::{Answer, Oracle, RepeatSafety, SentRequest, Unanswered};
use saffronpaddle_test_doubles::settings::Fleet;
use servers::{InFlightAttempt, Server, Work};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Unix time at which a run begins on all clocks, µs.
const START_US: Micros = 1_700_000_000_000_000;
/// Part of a client's deadline that is reserved for delivery, µs.
const DELIVERY_MARGIN_US: Micros = 5_000;
/// One-way delay between two processes without a fault, µs.
const NETWORK_DELAY_US: std::ops::Range<Micros> = 100..1_000;
/// Time from exec to ready, µs.
const PROCESS_START_US: Micros = 20_000;
/// Time until the load generator sees that a process is ready or no longer ready, µs.
const READINESS_DETECTION_US: Micros = 250_000;
/// Time after SIGTERM during which a node accepts new requests, µs.
const DRAIN_ACCEPT_US: Micros = 600_000;
/// Time that accepted requests may take after [`DRAIN_ACCEPT_US`], µs.
const DRAIN_FINISH_US: Micros = 3_100_000;
/// Interval at which a draining node is checked for open requests, µs.
const DRAIN_CHECK_INTERVAL_US: Micros = 20_000;
/// Time for which the load generator still sends clients to a paused process, µs.
const PAUSE_DETECTION_US: Micros = 1_250_000;
/// Peer messages that the socket buffer of a paused process holds; further ones are lost.
const SOCKET_BUFFER_MESSAGES: usize = 270;
/// Time from the start of the first process to the start of the load, µs.
const WARMUP_US: Micros = 500_000;
/// Estimated memory of a node without servers and peers, bytes.
const BYTES_PER_NODE: f64 = 50_000.0;
/// Estimated memory that a node needs for each server, bytes.
const BYTES_PER_KNOWN_SERVER: f64 = 180.0;
/// Estimated memory that a node needs for each peer, bytes.
const BYTES_PER_PEER: f64 = 50.0;
/// Estimated memory of a request, which the oracle keeps until the end, bytes.
const BYTES_PER_REQUEST: f64 = 1_000.0;
/// Estimated number of requests that a client sends per original request, with its retries.
const RETRY_FACTOR: f64 = 1.5;
/// Longest time from the end of the load to the end of a run, µs. All requests end long before.
const MAX_OVERRUN_US: Micros = 20_000_000;

/// An event of the simulation's queue.
#[derive(Debug)]
enum ScheduledEvent {
    /// The next request of a customer.
    CustomerArrival(usize),
    /// A client sends a request, for the first time or as a retry.
    ClientRequest(Client),
    /// A timer of a node's process fires: node, process number and the timer's token.
    TimerFired(usize, u32, u64),
    /// A message reaches a node: the node, the sender and the message.
    PeerMessage(usize, NodeId, Vec<u8>),
    /// A server has received the complete request of an attempt.
    AttemptReceived(InFlightAttempt),
    /// A server's process has done the work of an attempt.
    WorkDone(Work),
    /// The outcome of an attempt reaches its node.
    AttemptEnded(InFlightAttempt, Outcome),
    /// An event between a node's process, given by its number, and the list service.
    ListService(usize, u32, ListEvent),
    /// The step of the scenario with this index begins.
    Step(usize),
    /// The load generator adds a node to its rotation or removes it.
    SetInRotation(usize, u32, bool),
    /// A started process is ready.
    ProcessReady(usize, u32),
    /// Ends a draining node once its requests are finished or its time is up.
    CheckDrained(usize, u32, Micros),
    /// A paused process continues.
    Resume(usize),
    /// The fault with this id ends on all its links.
    RemoveFault(u64),
    /// The links of the next end recover: all links of the fault, the fault, the ends that are left, the id of the
    /// current fault and the time between two ends.
    HealNextEnd(
        LinkSet,
        saffronpaddle_test_doubles::links::Fault,
        Vec<End>,
        u64,
        Duration,
    ),
    /// The list service accepts connections again.
    ListServiceUp,
    /// Discovery sends updates again.
    DiscoveryResumed,
    /// A drained server's process ends, and starts again after the given time.
    ServerDrained(usize, Duration),
    /// A server that was only listed as draining is listed as ready.
    ServerReadyAgain(usize),
    /// A server's process starts again, cold.
    ServerRestarted(usize),
    /// A server answers requests again.
    ServerResponsive(usize),
    /// The work time of all servers is back to normal.
    WorkTimeNormal,
}

/// A client's request, over its retries.
#[derive(Clone, Debug)]
struct Client {
    customer: usize,
    class: usize,
    key: Option<String>,
    retry_state: RetryState,
}

/// A request at a node that has no final answer.
struct OpenRequest {
    client: Client,
    attempts_sent: u32,
    /// The request is recorded in the oracle as unanswered, so a later answer is not counted.
    abandoned: bool,
}

/// A node: its policy engine, its process and what is in progress there.
struct Node {
    engine: PolicyEngine,
    platform_settings: PlatformSettings,
    /// Number of the node's process. Events for an earlier one are dropped.
    incarnation: u32,
    running: bool,
    /// Whether the load generator sends clients to it.
    in_rotation: bool,
    /// When the process was paused, and the events that wait for it.
    paused: Option<(Micros, Vec<ScheduledEvent>)>,
    open_requests: BTreeMap<RequestId, OpenRequest>,
    /// Attempts that have not ended, with the number of their server.
    attempts: BTreeMap<RequestId, (AttemptNumber, usize)>,
    /// When the idle connection to a server was last used.
    idle_connections: HashMap<usize, Micros>,
    list_client: ListClient,
    /// Peer messages sent and received.
    peer_messages: (u64, u64),
    /// Token bucket for peer messages: when it was last refilled, and its tokens.
    inbound_budget: (Micros, f64),
}

/// A run in virtual time: the queue of events, and the state of nodes, servers, links and services.
struct Simulation {
    scenario: Scenario,
    fleet: Fleet,
    customers: Vec<Customer>,
    list_limits: Option<PollLimits>,
    seed: u64,
    random: fastrand::Rng,
    now: Micros,
    load_start: Micros,
    /// Events by time, and by id for events at the same time.
    queue: BTreeMap<(Micros, u64), ScheduledEvent>,
    last_event_id: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    /// Factor on the work time of all servers.
    work_time_factor: f64,
    list_service: ListService,
    links: Links,
    oracle: Oracle,
    /// Counters of policy engines whose processes have ended.
    decision_counters: BTreeMap<&'static str, u64>,
    /// Served requests of each class.
    served_by_class: Vec<u64>,
    /// Number of processes that became ready.
    processes: u64,
    /// Bytes of all peer messages that were sent.
    peer_bytes: u64,
    /// Retries by clients.
    retries: u64,
    /// Requests for which no node of the customer was in rotation.
    no_ready_node: u64,
    /// Latencies of served requests, ms.
    latencies_ms: Vec<f64>,
    /// Requests that were sent; gives each its id.
    requests: u64,
}

/// Plays a scenario to its end. Of `operator`, the operator file of all nodes, the limits of the list service, the
/// quotas and the working set of servers apply.
///
/// # Errors
/// The scenario needs something that virtual time does not have, or the operator file is invalid.
pub fn play(scenario: Scenario, seed: u64, operator: &str) -> Result<Report> {
    ensure!(
        scenario.endpoint_source == EndpointSource::Discovery
            && !scenario
                .steps
                .iter()
                .any(|step| step.action.needs_processes()),
        "virtual time supports neither etcd nor steps that need real processes"
    );
    ensure!(
        scenario.cancellations.share == 0.0 && scenario.absent_servers.is_empty(),
        "virtual time supports neither clients that disconnect nor servers that join later"
    );
    let operator_settings = Operator::parse(operator)?;
    let mut simulation = Simulation::new(scenario, seed, operator_settings)?;
    simulation.run();
    Ok(simulation.report())
}

/// Upper estimate of the bytes of memory that a run needs.
pub fn required_bytes(scenario: &Scenario) -> u64 {
    let (nodes, servers) = (scenario.instances as f64, scenario.servers as f64);
    let fleet = Fleet::typical(scenario.instances);
    let offered: f64 = customers(scenario, &fleet, 0)
        .iter()
        .map(|customer| customer.rate)
        .sum();
    let requests = offered * scenario.duration.as_secs_f64() * RETRY_FACTOR;
    let node = BYTES_PER_NODE + servers * BYTES_PER_KNOWN_SERVER + nodes * BYTES_PER_PEER;
    (nodes * node + requests * BYTES_PER_REQUEST) as u64
}

impl Simulation {
    fn new(scenario: Scenario, seed: u64, operator_settings: Operator) -> Result<Simulation> {
        // Links and clients draw from the thread's own generator.
        fastrand::seed(seed);
        let fleet = Fleet::typical(scenario.instances);
        let customers = customers(&scenario, &fleet, seed);
        let mut oracle = Oracle::new(fleet.bounds.clone());
        customers
            .iter()
            .for_each(|customer| fleet.register_limits(&mut oracle, customer));
        let mut simulation = Simulation {
            random: fastrand::Rng::with_seed(seed),
            now: START_US,
            load_start: START_US + WARMUP_US,
            queue: BTreeMap::new(),
            last_event_id: 0,
            nodes: Vec::new(),
            servers: Vec::new(),
            work_time_factor: 1.0,
            list_service: ListService::for_scenario(&scenario),
            links: Links::default(),
            oracle,
            decision_counters: BTreeMap::new(),
            served_by_class: vec![0; fleet.classes.len()],
            processes: 0,
            peer_bytes: 0,
            retries: 0,
            no_ready_node: 0,
            latencies_ms: Vec::new(),
            requests: 0,
            scenario,
            fleet,
            customers,
            list_limits: operator_settings.list,
            seed,
        };
        simulation.start_servers();
        for node_index in 0..simulation.scenario.instances {
            let mut platform_settings =
                setup::read(&simulation.fleet.settings(node_index).to_string())
                    .map_err(anyhow::Error::new)?;
            (
                platform_settings.settings.partition_safe,
                platform_settings.settings.retransmission_budget,
            ) = (
                operator_settings.quotas.partition_safe,
                operator_settings.quotas.retransmission_budget,
            );
            platform_settings.settings.subsetting = operator_settings.servers.subsetting;
            let engine = PolicyEngine::new(
                seed ^ node_index as u64,
                platform_settings.settings.clone(),
                simulation.now,
            )?;
            let list_client = ListClient::new(
                (node_index as u32, simulation.scenario.instances as u32),
                simulation.list_limits.as_ref(),
            );
            simulation.nodes.push(Node {
                engine,
                platform_settings,
                incarnation: 0,
                running: false,
                in_rotation: false,
                paused: None,
                open_requests: BTreeMap::new(),
                attempts: BTreeMap::new(),
                idle_connections: HashMap::new(),
                list_client,
                peer_messages: (0, 0),
                inbound_budget: (0, 0.0),
            });
        }
        Ok(simulation)
    }

    /// Time since the start of the run.
    fn elapsed(&self) -> Duration {
        Duration::from_micros(self.now - START_US)
    }

    /// Puts an event into the queue, `after` from now.
    fn schedule(&mut self, after: Micros, event: ScheduledEvent) {
        self.last_event_id += 1;
        self.queue
            .insert((self.now + after, self.last_event_id), event);
    }

    fn draw_network_delay(&mut self) -> Micros {
        self.random.u64(NETWORK_DELAY_US)
    }

    /// Handles events until all requests have ended or the run takes too long.
    fn run(&mut self) {
        for node_index in (0..self.nodes.len())
            .filter(|node_index| !self.scenario.absent.contains(node_index))
            .collect::<Vec<_>>()
        {
            self.start_process(node_index);
        }
        for customer in 0..self.customers.len() {
            let after = self.customers[customer].arrival_gap(self.random.f64());
            self.schedule(
                WARMUP_US + after.as_micros() as Micros,
                ScheduledEvent::CustomerArrival(customer),
            );
        }
        for step in 0..self.scenario.steps.len() {
            let at = self.scenario.steps[step].at.as_micros() as Micros;
            self.schedule(WARMUP_US + at, ScheduledEvent::Step(step));
        }
        let end = self.load_start + self.scenario.duration.as_micros() as Micros + MAX_OVERRUN_US;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            self.now = at;
            if at > end || (at > end - MAX_OVERRUN_US && self.oracle.open_requests() == 0) {
                break;
            }
            self.handle(event);
        }
    }

    fn handle(&mut self, event: ScheduledEvent) {
        if let Some(node_index) = Self::receiving_node(&event) {
            if let Some((_, unread)) = &mut self.nodes[node_index].paused {
                let buffer_full = unread
                    .iter()
                    .filter(|event| matches!(event, ScheduledEvent::PeerMessage(..)))
                    .count()
                    >= SOCKET_BUFFER_MESSAGES;
                if !(buffer_full && matches!(event, ScheduledEvent::PeerMessage(..))) {
                    unread.push(event);
                }
                return;
            }
        }
        match event {
            ScheduledEvent::CustomerArrival(customer) => self.customer_arrival(customer),
            ScheduledEvent::ClientRequest(client) => self.send_request(client),
            ScheduledEvent::TimerFired(node_index, incarnation, token) => {
                if self.is_current(node_index, incarnation) {
                    self.deliver(node_index, Event::TimerFired { token });
                }
            }
            ScheduledEvent::PeerMessage(node_index, from, bytes) => {
                if self.nodes[node_index].running {
                    self.nodes[node_index].peer_messages.1 += 1;
                    self.deliver(node_index, Event::PeerMessage { from, bytes });
                }
            }
            ScheduledEvent::AttemptReceived(in_flight) => self.attempt_received(in_flight),
            ScheduledEvent::WorkDone(work) => self.work_done(work),
            ScheduledEvent::AttemptEnded(in_flight, outcome) => {
                self.reply_received(&in_flight, outcome);
            }
            ScheduledEvent::ListService(node_index, incarnation, list_event) => {
                if self.is_current(node_index, incarnation) {
                    self.handle_list_event(node_index, list_event);
                }
            }
            ScheduledEvent::Step(step) => {
                let action = self.scenario.steps[step].action.clone();
                self.run_step(action);
            }
            ScheduledEvent::SetInRotation(node_index, incarnation, in_rotation) => {
                if self.is_current(node_index, incarnation) {
                    self.nodes[node_index].in_rotation = in_rotation;
                }
            }
            ScheduledEvent::ProcessReady(node_index, incarnation) => {
                if self.nodes[node_index].incarnation == incarnation {
                    self.process_ready(node_index);
                }
            }
            ScheduledEvent::CheckDrained(node_index, incarnation, until) => {
                if self.is_current(node_index, incarnation) {
                    if self.nodes[node_index].open_requests.is_empty() || self.now >= until {
                        self.end_process(node_index, Unanswered::Lost);
                        self.start_process(node_index);
                    } else {
                        self.schedule(
                            DRAIN_CHECK_INTERVAL_US,
                            ScheduledEvent::CheckDrained(node_index, incarnation, until),
                        );
                    }
                }
            }
            ScheduledEvent::Resume(node_index) => self.resume(node_index),
            ScheduledEvent::RemoveFault(fault_id) => self.links.remove_fault(fault_id),
            ScheduledEvent::HealNextEnd(link_set, fault, mut ends, fault_id, gap) => {
                self.links.remove_fault(fault_id);
                let Some(_) = ends.pop() else { return };
                let rest: BTreeSet<End> = ends.iter().copied().collect();
                let healed: BTreeSet<End> = link_set.ends().difference(&rest).copied().collect();
                let fault_id = self.links.add_fault(link_set.without(&healed), fault);
                self.schedule(
                    gap.as_micros() as Micros,
                    ScheduledEvent::HealNextEnd(link_set, fault, ends, fault_id, gap),
                );
            }
            ScheduledEvent::ListServiceUp => self.list_service.limits.down = false,
            ScheduledEvent::DiscoveryResumed => self.list_service.silent = false,
            ScheduledEvent::ServerDrained(server, duration) => self.crash_server(server, duration),
            ScheduledEvent::ServerReadyAgain(server) => self.set_health(server, "ready"),
            ScheduledEvent::ServerRestarted(server) => self.restart_server(server),
            ScheduledEvent::ServerResponsive(server) => self.servers[server].silent = false,
            ScheduledEvent::WorkTimeNormal => self.work_time_factor = 1.0,
        }
    }

    /// The node that must be running and not paused to receive an event.
    fn receiving_node(event: &ScheduledEvent) -> Option<usize> {
        match event {
            ScheduledEvent::TimerFired(node_index, ..)
            | ScheduledEvent::PeerMessage(node_index, ..)
            | ScheduledEvent::ListService(node_index, ..) => Some(*node_index),
            ScheduledEvent::AttemptEnded(in_flight, _) => Some(in_flight.node),
            _ => None,
        }
    }

    /// Whether the node's process with this number is running.
    fn is_current(&self, node_index: usize, incarnation: u32) -> bool {
        self.nodes[node_index].running && self.nodes[node_index].incarnation == incarnation
    }

    // ---- Processes ----

    /// Starts a process for a node; it is ready after [`PROCESS_START_US`].
    fn start_process(&mut self, node_index: usize) {
        let incarnation = self.nodes[node_index].incarnation;
        self.schedule(
            PROCESS_START_US,
            ScheduledEvent::ProcessReady(node_index, incarnation),
        );
    }

    fn process_ready(&mut self, node_index: usize) {
        self.processes += 1;
        let event_id = self.last_event_id;
        let (seed, list_limits) = (
            self.seed ^ (node_index as u64).wrapping_mul(0x9e37) ^ event_id,
            self.list_limits.clone(),
        );
        let (now, nodes) = (self.now, self.nodes.len() as u32);
        let node = &mut self.nodes[node_index];
        // The settings were valid when the run began.
        if let Ok(engine) = PolicyEngine::new(seed, node.platform_settings.settings.clone(), now) {
            node.engine = engine;
        }
        node.list_client = ListClient::new((node_index as u32, nodes), list_limits.as_ref());
        (node.running, node.inbound_budget) = (true, (0, 0.0));
        node.idle_connections.clear();
        let incarnation = node.incarnation;
        self.deliver(node_index, Event::EndpointsUnavailable);
        match self.scenario.initial_list {
            InitialList::Absent => {}
            InitialList::Current => self.load_initial_list(node_index, false),
            InitialList::Stale => self.load_initial_list(node_index, true),
        }
        let random_share = self.random.f64();
        let call_slots = &self.nodes[node_index].list_client.call_slots;
        let first_call = call_slots.as_ref().map_or(Duration::ZERO, |call_slots| {
            call_slots.first_call(Duration::from_micros(now), random_share)
        });
        self.schedule(
            first_call.as_micros() as Micros,
            ScheduledEvent::ListService(node_index, incarnation, ListEvent::Poll),
        );
        let detection_delay = if self.now < self.load_start {
            0
        } else {
            READINESS_DETECTION_US
        };
        self.schedule(
            detection_delay,
            ScheduledEvent::SetInRotation(node_index, incarnation, true),
        );
    }

    /// Adds the counters of a node's policy engine to those of the fleet.
    fn collect_counters(&mut self, node_index: usize) {
        for (name, count) in self.nodes[node_index].engine.counters().by_name() {
            *self.decision_counters.entry(name).or_default() += count;
        }
        *self
            .decision_counters
            .entry("servers_looked_at")
            .or_default() += self.nodes[node_index].engine.servers_examined();
    }

    /// Ends a node's process with all its state.
    fn end_process(&mut self, node_index: usize, cause: Unanswered) {
        let elapsed = self.elapsed();
        self.collect_counters(node_index);
        self.close_watch(node_index);
        let node = &mut self.nodes[node_index];
        (node.running, node.in_rotation, node.paused) = (false, false, None);
        node.incarnation += 1;
        for (id, open_request) in std::mem::take(&mut node.open_requests) {
            if !open_request.abandoned {
                self.oracle.request_unanswered(&id.0, cause);
            }
        }
        for (id, _) in std::mem::take(&mut node.attempts) {
            self.oracle.attempt_canceled(elapsed, &id.0);
        }
        self.oracle.node_restarted(node_index);
    }

    /// Resumes a paused process, which then receives the events that arrived meanwhile.
    fn resume(&mut self, node_index: usize) {
        let Some((stopped, unread)) = self.nodes[node_index].paused.take() else {
            return;
        };
        let (now, stopped) = (self.elapsed(), Duration::from_micros(stopped - START_US));
        self.oracle.node_resumed(now, node_index, stopped);
        unread.into_iter().for_each(|event| self.handle(event));
        let incarnation = self.nodes[node_index].incarnation;
        self.schedule(
            READINESS_DETECTION_US,
            ScheduledEvent::SetInRotation(node_index, incarnation, true),
        );
    }

    // ---- Clients ----

    /// Sends a new request of a customer and schedules the next one, until the load ends.
    fn customer_arrival(&mut self, customer: usize) {
        let end = self.load_start + self.scenario.duration.as_micros() as Micros;
        if self.now >= end {
            return;
        }
        let class = class_of(&self.fleet, self.random.f64());
        let keyed = self.fleet.classes[class].keyed;
        let key = keyed.then(|| format!("k{}", self.last_event_id));
        let retry_state = RetryState::new(self.elapsed(), keyed);
        self.send_request(Client {
            customer,
            class,
            key,
            retry_state,
        });
        let gap = self.customers[customer].arrival_gap(self.random.f64());
        self.schedule(
            gap.as_micros() as Micros,
            ScheduledEvent::CustomerArrival(customer),
        );
    }

    /// Sends a client's request to the first of the customer's nodes that is in rotation.
    fn send_request(&mut self, client: Client) {
        let customer = &self.customers[client.customer];
        let elapsed = self.elapsed();
        let mut nodes = customer.nodes(self.nodes.len(), elapsed);
        let Some(node_index) = nodes.find(|node| self.nodes[*node].in_rotation) else {
            self.no_ready_node += 1;
            return;
        };
        self.requests += 1;
        let id = RequestId(format!("t{}", self.requests).into());
        let class = &self.fleet.classes[client.class];
        let sent_request = SentRequest {
            id: id.0.to_string(),
            key: client.key.clone(),
            repeat_safety: if class.keyed {
                RepeatSafety::Keyed
            } else {
                RepeatSafety::Safe
            },
            node: node_index,
            customer: customer.id,
            units: 1.0,
            timeout: class.deadline,
        };
        self.oracle.request_sent(elapsed, sent_request);
        if self.nodes[node_index].paused.is_some() {
            self.oracle.request_unanswered(&id.0, Unanswered::Paused);
            return;
        }
        let event = Event::RequestArrived {
            id: id.clone(),
            class: ClassId(client.class),
            plan: PlanId(customer.plan),
            customer: CustomerId(customer.id),
            units: 1.0,
            subset_first: NodeId(customer.first_node as u32),
            subset_size: customer.node_count as u32,
            timeout: class.deadline.as_micros() as Micros - DELIVERY_MARGIN_US,
            complete: true,
        };
        self.nodes[node_index].open_requests.insert(
            id,
            OpenRequest {
                client,
                attempts_sent: 0,
                abandoned: false,
            },
        );
        self.deliver(node_index, event);
    }

    /// Records the final answer to a request. If it was not served, schedules the client's retry, if there is one.
    fn finish_request(
        &mut self,
        node_index: usize,
        id: &RequestId,
        answer: Answer,
        retry_after: Option<Micros>,
    ) {
        let Some(mut open_request) = self.nodes[node_index].open_requests.remove(id) else {
            return;
        };
        if open_request.abandoned {
            return;
        }
        let elapsed = self.elapsed();
        self.oracle.response_received(elapsed, &id.0, answer);
        if answer == Answer::Served {
            self.served_by_class[open_request.client.class] += 1;
            return;
        }
        if let Some(delay) = open_request
            .client
            .retry_state
            .next_delay(elapsed, retry_after.map(Duration::from_micros))
        {
            self.retries += 1;
            self.schedule(
                delay.as_micros() as Micros,
                ScheduledEvent::ClientRequest(open_request.client),
            );
        }
    }

    // ---- Policy engine ----

    /// Passes an event to a node's policy engine and performs the actions that it returns.
    fn deliver(&mut self, node_index: usize, event: Event) {
        let mut out = Vec::new();
        self.nodes[node_index]
            .engine
            .handle(self.now, event, &mut out);
        for action in out {
            self.perform(node_index, action);
        }
    }

    fn perform(&mut self, node_index: usize, action: Action) {
        let incarnation = self.nodes[node_index].incarnation;
        match action {
            Action::SetTimer { after, token } => self.schedule(
                after,
                ScheduledEvent::TimerFired(node_index, incarnation, token),
            ),
            Action::SendToPeer { to, bytes } => {
                self.send_peer_message(node_index, to.0 as usize, bytes);
            }
            Action::Broadcast { bytes } => {
                for to in (0..self.nodes.len()).filter(|to| *to != node_index) {
                    self.send_peer_message(node_index, to, bytes.clone());
                }
            }
            Action::Reject { id, retry_after } => {
                self.finish_request(node_index, &id, Answer::Refused, retry_after);
            }
            Action::Fail { id } => self.finish_request(node_index, &id, Answer::Failed, None),
            Action::Send { id, server, .. } => self.send_attempt(node_index, id, server),
            Action::Cancel { id, attempt } => {
                let is_same_attempt = |(number, _): &(AttemptNumber, usize)| *number == attempt;
                if self.nodes[node_index]
                    .attempts
                    .get(&id)
                    .is_some_and(is_same_attempt)
                {
                    let elapsed = self.elapsed();
                    self.oracle.attempt_canceled(elapsed, &id.0);
                    self.attempt_ended(node_index, id, Outcome::Cancelled);
                }
            }
            // Requests arrive with their complete body.
            Action::ReleaseBody { .. } => {}
            Action::SendToSiblings(_) | Action::Subscribe | Action::Report(_) => {}
        }
    }

    /// Reports the end of an outstanding attempt to the policy engine, and answers the request if it was served.
    fn attempt_ended(&mut self, node_index: usize, id: RequestId, outcome: Outcome) {
        let Some((attempt, server)) = self.nodes[node_index].attempts.remove(&id) else {
            return;
        };
        let now = self.now;
        match outcome {
            Outcome::Ok | Outcome::Rejected => {
                _ = self.nodes[node_index].idle_connections.insert(server, now);
            }
            _ => _ = self.nodes[node_index].idle_connections.remove(&server),
        }
        if outcome == Outcome::Ok {
            self.finish_request(node_index, &id, Answer::Served, None);
        }
        let request_closed = !self.nodes[node_index].open_requests.contains_key(&id);
        self.deliver(
            node_index,
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                request_closed,
            },
        );
    }

    fn send_attempt(&mut self, node_index: usize, id: RequestId, to: ServerId) {
        let Some(open_request) = self.nodes[node_index].open_requests.get_mut(&id) else {
            return;
        };
        let attempt = AttemptNumber(open_request.attempts_sent);
        open_request.attempts_sent += 1;
        let server = to.0 as usize;
        self.nodes[node_index]
            .attempts
            .insert(id.clone(), (attempt, server));
        let (network_delay, incarnation) = (
            self.draw_network_delay(),
            self.nodes[node_index].incarnation,
        );
        let in_flight = InFlightAttempt {
            node: node_index,
            incarnation,
            id,
            attempt,
            server,
            first_byte_at: self.now + network_delay,
        };
        self.transmit(in_flight, network_delay);
    }

    /// Sends a message to a peer, subject to the link's fault and the limit of the receiver.
    fn send_peer_message(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.nodes[from].peer_messages.0 += 1;
        self.peer_bytes += bytes.len() as u64;
        if to >= self.nodes.len() {
            return;
        }
        let fault = self.links.fault_between(End::Node(from), End::Node(to));
        for _ in 0..=usize::from(fastrand::f64() < fault.duplicated) {
            if fault.drops_datagram() || !self.accepts_message(to) {
                continue;
            }
            let network_delay =
                self.draw_network_delay() + fault.draw_delay().as_micros() as Micros;
            self.schedule(
                network_delay,
                ScheduledEvent::PeerMessage(to, NodeId(from as u32), bytes.clone()),
            );
        }
    }

    /// Takes a token from a node's bucket for peer messages, if one is left. The bucket holds as many tokens as it
    /// gains per second.
    fn accepts_message(&mut self, node_index: usize) -> bool {
        let limit = self.nodes[node_index]
            .platform_settings
            .settings
            .peer_messages_per_s;
        let (refilled_at, tokens) = &mut self.nodes[node_index].inbound_budget;
        let elapsed_s = self.now.saturating_sub(*refilled_at) as f64 / 1e6;
        (*tokens, *refilled_at) = ((*tokens + limit * elapsed_s).min(limit), self.now);
        let accepted = *tokens >= 1.0;
        *tokens -= f64::from(u8::from(accepted));
        accepted
    }

    // ---- Steps ----

    fn run_step(&mut self, action: StepAction) {
        let micros = |time: Duration| time.as_micros() as Micros;
        match action {
            StepAction::Start(node_index) if !self.nodes[node_index].running => {
                self.start_process(node_index);
            }
            StepAction::Restart(node_index) if self.nodes[node_index].running => {
                let incarnation = self.nodes[node_index].incarnation;
                self.schedule(
                    READINESS_DETECTION_US,
                    ScheduledEvent::SetInRotation(node_index, incarnation, false),
                );
                self.schedule(
                    DRAIN_ACCEPT_US,
                    ScheduledEvent::CheckDrained(
                        node_index,
                        incarnation,
                        self.now + DRAIN_ACCEPT_US + DRAIN_FINISH_US,
                    ),
                );
            }
            StepAction::Kill(node_index, duration) if self.nodes[node_index].running => {
                self.end_process(node_index, Unanswered::Killed);
                let incarnation = self.nodes[node_index].incarnation;
                self.schedule(
                    micros(duration) + PROCESS_START_US,
                    ScheduledEvent::ProcessReady(node_index, incarnation),
                );
            }
            StepAction::Pause(node_index, duration)
                if self.nodes[node_index].running && self.nodes[node_index].paused.is_none() =>
            {
                let ids: Vec<RequestId> = self.nodes[node_index]
                    .open_requests
                    .keys()
                    .cloned()
                    .collect();
                for id in ids {
                    self.oracle.request_unanswered(&id.0, Unanswered::Paused);
                    self.nodes[node_index]
                        .open_requests
                        .entry(id)
                        .and_modify(|open_request| open_request.abandoned = true);
                }
                self.nodes[node_index].paused = Some((self.now, Vec::new()));
                let incarnation = self.nodes[node_index].incarnation;
                if micros(duration) > PAUSE_DETECTION_US {
                    self.schedule(
                        PAUSE_DETECTION_US,
                        ScheduledEvent::SetInRotation(node_index, incarnation, false),
                    );
                }
                self.schedule(micros(duration), ScheduledEvent::Resume(node_index));
            }
            // The configuration does not change in virtual time.
            StepAction::Start(_)
            | StepAction::Restart(_)
            | StepAction::Kill(..)
            | StepAction::Pause(..)
            | StepAction::Reload(_) => {}
            StepAction::LinkFault(link_set, fault, duration, heal_gap) => {
                let fault_id = self.links.add_fault(link_set.clone(), fault);
                let Some(duration) = duration else { return };
                if heal_gap.is_zero() {
                    return self.schedule(micros(duration), ScheduledEvent::RemoveFault(fault_id));
                }
                let ends: Vec<End> = link_set.ends().into_iter().rev().collect();
                self.schedule(
                    micros(duration),
                    ScheduledEvent::HealNextEnd(link_set, fault, ends, fault_id, heal_gap),
                );
            }
            StepAction::ListServiceDown(duration) => {
                self.list_service.limits.down = true;
                self.end_watches();
                self.schedule(micros(duration), ScheduledEvent::ListServiceUp);
            }
            StepAction::RestoreList(mode) => {
                self.list_service.restore(mode);
                self.push_update();
            }
            StepAction::DrainServer(server, duration) => {
                self.set_health(server, "draining");
                let after = micros(self.scenario.discovery_delay + DRAIN_TIME);
                self.schedule(after, ScheduledEvent::ServerDrained(server, duration));
            }
            StepAction::ToggleDraining(server, duration) => {
                self.set_health(server, "draining");
                self.schedule(micros(duration), ScheduledEvent::ServerReadyAgain(server));
            }
            StepAction::CrashServer(server, duration) => self.crash_server(server, duration),
            StepAction::SilenceServer(server, duration) => {
                self.servers[server].silent = true;
                self.schedule(micros(duration), ScheduledEvent::ServerResponsive(server));
            }
            StepAction::SlowServers(factor, duration) => {
                self.work_time_factor = factor;
                self.schedule(micros(duration), ScheduledEvent::WorkTimeNormal);
            }
            StepAction::SilenceDiscovery(duration) => {
                self.list_service.silent = true;
                self.schedule(micros(duration), ScheduledEvent::DiscoveryResumed);
            }
            // `play` rejects scenarios with these.
            StepAction::CutEtcdConnections(_)
            | StepAction::FreezeEtcdMember(..)
            | StepAction::CompactEtcd => {}
            StepAction::KillDuringStart(..)
            | StepAction::AddServer(_)
            | StepAction::LoadBurst(..)
            | StepAction::HoldIdleConnections(..)
            | StepAction::Terminate(..)
            | StepAction::ServerResets(..)
            | StepAction::ServerErrors(..) => {}
        }
    }

    fn report(mut self) -> Report {
        let (load_start, duration) = (
            Duration::from_micros(self.load_start - START_US),
            self.scenario.duration,
        );
        let seconds = duration.as_secs_f64();
        for node_index in 0..self.nodes.len() {
            if self.nodes[node_index].running {
                self.collect_counters(node_index);
            }
        }
        let capacities: Vec<(String, f64)> = self
            .servers
            .iter()
            .map(|server| (server.name.clone(), server.capacity()))
            .collect();
        let instance_report = |node: &Node| InstanceReport {
            ready_ms: Vec::new(),
            processes: 0,
            memory_idle_mb: 0.0,
            memory_peak_mb: 0.0,
            cpu_s: 0.0,
            sent_s: node.peer_messages.0 as f64 / seconds,
            received_s: node.peer_messages.1 as f64 / seconds,
        };
        self.latencies_ms.sort_by(f64::total_cmp);
        let latencies = percentiles(&self.latencies_ms, &[0.5, 0.99]);
        let counts = LoadCounts {
            refused_connections: 0,
            resent: 0,
            retries: self.retries,
            no_ready_node: self.no_ready_node,
            p50_ms: latencies[0],
            p99_ms: latencies[1],
        };
        Report {
            scenario: self.scenario.name.clone(),
            seed: self.seed,
            seconds,
            verdict: self.oracle.verdict(),
            counts,
            instances: self.nodes.iter().map(instance_report).collect(),
            available_work_s: self.oracle.available_work(
                &capacities,
                load_start,
                load_start + duration,
            ),
            offered_s: duration.as_secs() as usize,
            windows: windows::tally_seconds(&self.oracle, &self.scenario.sides, load_start),
            list: self.list_service.call_stats.clone(),
            handshakes_and_requests: self
                .servers
                .iter()
                .map(Server::handshakes_and_requests)
                .collect(),
            oversized_datagrams: 0,
            peer_bytes: self.peer_bytes,
            processes: self.processes,
            reloads: 0,
            decision_counters: self.decision_counters.into_iter().collect(),
            served_by_class: self.served_by_class,
            longest_stall: None,
            faults: Vec::new(),
        }
    }

    /// Passes an update of the endpoint list to a node's policy engine.
    fn update_endpoints(
        &mut self,
        node_index: usize,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        self.deliver(node_index, Event::EndpointsChanged { update, endpoints });
    }
}
