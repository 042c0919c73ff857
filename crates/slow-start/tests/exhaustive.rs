//! State exploration of the production code with three nodes and two servers that are warming up: attempts, answers,
//! transfers that are lost, late or duplicated, a node that is killed and restarts immediately, a server that restarts.
//!
//! In every state, the requests sent to a server since its start stay within what its answers earned and its time slots
//! allow. The search is breadth-first and ends after [`TARGET_STATES`] generated states. It must also detect each
//! injected fault, with a shortest path to it (`stateright`'s breadth-first search).

use saffronpaddle_slow_start::{
    AttemptResult, BaselineLatency, Micros, SlowStartBudget, SlowStartLimits, TransferredPermit,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

/// Microseconds in a second.
const S: Micros = 1_000_000;
/// Start time of the servers. The nodes have been up since time 0.
const SERVERS_STARTED_AT: Micros = 10 * S;
/// Time between the servers' start and the first tick, µs.
const FIRST_TICK_AFTER: Micros = 1000;
/// Time in which a started server reaches its full capacity, µs.
const WARM_UP_PERIOD: Micros = 17 * S;
/// Length of a tick, µs. The lifetime of a permit is 2.4 ticks; a time slot lasts 9.5 ticks.
const TICK: Micros = 140_000;
/// Maximum number of ticks of a run, which ends within the first time slot.
const TICKS: u8 = 9;
/// Number of nodes, all of which send to all servers.
const NODES: u8 = 3;
const SERVERS: u8 = 2;
/// The largest random fraction: a fractional number of permits is rounded up.
const LARGEST_FRACTION: f64 = 1.0 - 1e-9;
/// Number of generated states, including repeated ones, after which the exploration ends; bounds its duration.
const TARGET_STATES: usize = 3_000_000;
/// Name of the checked property.
const PROPERTY: &str =
    "a server is sent at most as many requests as answers earned and time slots allow";

/// A fault that the exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A node that transfers a permit also keeps it.
    SenderKeepsPermit,
    /// A duplicated transfer counts twice.
    DuplicateCounts,
    /// A transfer for an earlier start of the server counts.
    StaleTransferCounts,
    /// Permits earned before the server restarted remain valid.
    StalePermitsKept,
    /// A node that is killed in its time slot treats the slot as unused after its restart.
    SlotReused,
    /// An answer earns permits at each node, not only at the one that sent the request.
    AnswerCountsEverywhere,
    /// An answer to an attempt from before the server restarted counts.
    StaleAnswerCounts,
    /// Each node behaves as the only one, and uses every time slot.
    EachOwnsAllSlots,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Wait,
    Send { node: u8, server: u8 },
    Answer { attempt: usize },
    Transfer { from: u8, server: u8, to: u8 },
    Receive { transfer: usize, duplicated: bool },
    KillNode(u8),
    RestartServer(u8),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Attempt {
    node: u8,
    server: u8,
    server_started_at: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Transfer {
    to: u8,
    from: u8,
    server: u8,
    permit: TransferredPermit,
}

/// Number of failures that may still occur in a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RemainingFailures {
    duplicates: u8,
    node_kills: u8,
    server_restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct SystemState {
    tick: u8,
    budgets: [[SlowStartBudget; 2]; 3],
    process_started_at: [Micros; 3],
    server_started_at: [Micros; 2],
    in_flight: Vec<Attempt>,
    /// Permits that one node has sent to another and that have not arrived.
    transfers: BTreeSet<Transfer>,
    /// Permits earned since the start of each server.
    earned: [u8; 2],
    /// Requests sent since the start of each server.
    sent: [u8; 2],
    remaining_failures: RemainingFailures,
}

impl SystemState {
    fn now(&self) -> Micros {
        time_of_tick(Micros::from(self.tick))
    }

    fn budget(&mut self, node: u8, server: u8) -> &mut SlowStartBudget {
        &mut self.budgets[usize::from(node)][usize::from(server)]
    }
}

fn time_of_tick(tick: Micros) -> Micros {
    SERVERS_STARTED_AT + FIRST_TICK_AFTER + tick * TICK
}

struct FleetModel {
    /// Maximum number of requests in a run.
    max_sends: u8,
    fault: Option<Fault>,
}

impl FleetModel {
    fn limits(&self, state: &SystemState, node: u8) -> SlowStartLimits {
        let is_only_node = self.fault == Some(Fault::EachOwnsAllSlots);
        SlowStartLimits {
            node_count: if is_only_node { 1 } else { u32::from(NODES) },
            node: if is_only_node { 0 } else { u32::from(node) },
            process_started_at: if self.fault == Some(Fault::SlotReused) {
                0
            } else {
                state.process_started_at[usize::from(node)]
            },
            overload_multiple: 3.0,
            overload_window: S,
        }
    }

    /// Sends a request. Returns whether the node had a permit for it.
    fn send(&self, state: &mut SystemState, node: u8, server: u8) -> bool {
        let (now, limits, index) = (state.now(), self.limits(state, node), usize::from(server));
        if !state
            .budget(node, server)
            .take_permit(now, u64::from(server), &limits)
        {
            return false;
        }
        state.sent[index] += 1;
        state.in_flight.push(Attempt {
            node,
            server,
            server_started_at: state.server_started_at[index],
        });
        state.in_flight.sort_unstable();
        true
    }

    fn answer(&self, state: &mut SystemState, attempt: usize) {
        let attempt = state.in_flight.remove(attempt);
        let (now, server) = (state.now(), usize::from(attempt.server));
        let is_current = attempt.server_started_at == state.server_started_at[server];
        // Like the policy engine, ignores answers to attempts sent before the server's restart.
        if !is_current && self.fault != Some(Fault::StaleAnswerCounts) {
            return;
        }
        // The result that earns the most permits: a fast answer with the largest random fraction.
        let result = AttemptResult {
            served: true,
            latency: 100_000,
            latency_objective: 800_000,
            capacity_fraction: 0.3,
            random_fraction: LARGEST_FRACTION,
        };
        let limits = self.limits(state, attempt.node);
        let mut baseline = BaselineLatency::default();
        let counts_everywhere = self.fault == Some(Fault::AnswerCountsEverywhere);
        for node in (0..NODES).filter(|node| *node == attempt.node || counts_everywhere) {
            state.budget(node, attempt.server).record_result(
                now,
                0,
                result,
                &mut baseline,
                &limits,
            );
        }
        if is_current {
            state.earned[server] += (limits.growth() + LARGEST_FRACTION).floor() as u8;
        }
    }

    fn transfer(&self, state: &mut SystemState, from: u8, server: u8, to: u8) {
        let (now, limits) = (state.now(), self.limits(state, from));
        let budget = state.budget(from, server);
        let before = budget.clone();
        let permit = budget.transfer_unused(now, u64::from(server), &limits);
        if permit.is_some() && self.fault == Some(Fault::SenderKeepsPermit) {
            *budget = before;
        }
        state.transfers.extend(permit.map(|permit| Transfer {
            to,
            from,
            server,
            permit,
        }));
    }

    fn receive(&self, state: &mut SystemState, transfer: &Transfer, duplicated: bool) {
        if duplicated {
            state.remaining_failures.duplicates -= 1;
        } else {
            state.transfers.remove(transfer);
        }
        let mut permit = transfer.permit;
        match self.fault {
            Some(Fault::DuplicateCounts) if !duplicated => {
                permit.sequence = permit.sequence.wrapping_add(99);
            }
            Some(Fault::StaleTransferCounts) => {
                permit.server_started_at = state.server_started_at[usize::from(transfer.server)];
            }
            _ => {}
        }
        let (now, limits) = (state.now(), self.limits(state, transfer.to));
        state.budget(transfer.to, transfer.server).receive_transfer(
            now,
            u32::from(transfer.from),
            permit,
            &limits,
        );
    }

    fn kill_node(state: &mut SystemState, node: u8) {
        state.remaining_failures.node_kills -= 1;
        state.process_started_at[usize::from(node)] = state.now();
        for server in 0..SERVERS {
            let server_started_at = state.server_started_at[usize::from(server)];
            let budget = state.budget(node, server);
            *budget = SlowStartBudget::default();
            budget.on_server_start(server_started_at, WARM_UP_PERIOD);
        }
        state.in_flight.retain(|attempt| attempt.node != node);
    }

    fn restart_server(&self, state: &mut SystemState, server: u8) {
        let (now, index) = (state.now(), usize::from(server));
        state.remaining_failures.server_restarts -= 1;
        state.server_started_at[index] = now;
        (state.earned[index], state.sent[index]) = (0, 0);
        if self.fault == Some(Fault::StalePermitsKept) {
            return;
        }
        for node in 0..NODES {
            state
                .budget(node, server)
                .on_server_start(now, WARM_UP_PERIOD);
        }
    }

    /// Returns whether a server was sent at most as many requests as answers earned and time slots allow.
    fn is_within_bound(&self, state: &SystemState, server: usize) -> bool {
        let limits = SlowStartLimits {
            node_count: 1,
            node: 0,
            process_started_at: 0,
            ..self.limits(state, 0)
        };
        // A single node owns all time slots, so it counts those that have begun since the server's start.
        let mut only_node = SlowStartBudget::default();
        only_node.on_server_start(state.server_started_at[server], WARM_UP_PERIOD);
        let first_tick = (state.server_started_at[server] - SERVERS_STARTED_AT) / TICK;
        let slots = (first_tick..=Micros::from(state.tick))
            .filter(|tick| only_node.take_permit(time_of_tick(*tick), 0, &limits))
            .count();
        usize::from(state.sent[server]) <= slots + usize::from(state.earned[server])
    }
}

impl Model for FleetModel {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let mut budget = SlowStartBudget::default();
        budget.on_server_start(SERVERS_STARTED_AT, WARM_UP_PERIOD);
        let budgets_of_node = [budget.clone(), budget];
        vec![SystemState {
            tick: 0,
            budgets: [
                budgets_of_node.clone(),
                budgets_of_node.clone(),
                budgets_of_node,
            ],
            process_started_at: [0; 3],
            server_started_at: [SERVERS_STARTED_AT; 2],
            in_flight: Vec::new(),
            transfers: BTreeSet::new(),
            earned: [0; 2],
            sent: [0; 2],
            remaining_failures: RemainingFailures {
                duplicates: 1,
                node_kills: 1,
                server_restarts: 1,
            },
        }]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        steps.extend((state.tick < TICKS).then_some(Step::Wait));
        let may_send = state.sent.iter().sum::<u8>() < self.max_sends;
        for node in 0..NODES {
            for server in 0..SERVERS {
                // The order of time slots depends on the server.
                let has_permit = state.budgets[usize::from(node)][usize::from(server)].has_permit(
                    state.now(),
                    u64::from(server),
                    &self.limits(state, node),
                );
                steps.extend((has_permit && may_send).then_some(Step::Send { node, server }));
                steps.extend((1..NODES).map(|distance| Step::Transfer {
                    from: node,
                    server,
                    to: (node + distance) % NODES,
                }));
            }
            steps.extend((state.remaining_failures.node_kills > 0).then_some(Step::KillNode(node)));
        }
        steps.extend((0..state.in_flight.len()).map(|attempt| Step::Answer { attempt }));
        for transfer in 0..state.transfers.len() {
            steps.push(Step::Receive {
                transfer,
                duplicated: false,
            });
            let may_duplicate = state.remaining_failures.duplicates > 0;
            steps.extend(may_duplicate.then_some(Step::Receive {
                transfer,
                duplicated: true,
            }));
        }
        let may_restart = state.remaining_failures.server_restarts > 0;
        steps.extend(
            (0..SERVERS)
                .filter(|_| may_restart)
                .map(Step::RestartServer),
        );
    }

    fn next_state(&self, before: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = before.clone();
        match step {
            Step::Wait => state.tick += 1,
            Step::Send { node, server } => {
                if !self.send(&mut state, node, server) {
                    return None;
                }
            }
            Step::Answer { attempt } => self.answer(&mut state, attempt),
            Step::Transfer { from, server, to } => self.transfer(&mut state, from, server, to),
            Step::Receive {
                transfer,
                duplicated,
            } => {
                let transfer = state.transfers.iter().nth(transfer).copied()?;
                self.receive(&mut state, &transfer, duplicated);
            }
            Step::KillNode(node) => Self::kill_node(&mut state, node),
            Step::RestartServer(server) => self.restart_server(&mut state, server),
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            PROPERTY,
            |model: &FleetModel, state: &SystemState| {
                (0..usize::from(SERVERS)).all(|server| model.is_within_bound(state, server))
            },
        )]
    }
}

fn explore(max_sends: u8, fault: Option<Fault>) -> impl Checker<FleetModel> {
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    FleetModel { max_sends, fault }
        .checker()
        .threads(threads)
        .target_state_count(TARGET_STATES)
        .spawn_bfs()
        .join()
}

/// Transfers are lost, late and duplicated, a node is killed and restarts, and a server restarts. In any order, no
/// server is sent more requests than its answers earned and its time slots allow.
#[test]
fn permits_never_exceed_what_was_earned_at_two_servers_and_three_nodes() {
    let exploration = explore(3, None);
    assert!(
        exploration.is_done(),
        "the exploration ended early after {} states",
        exploration.unique_state_count()
    );
    exploration.assert_properties();
    println!(
        "explored {} states up to depth {}",
        exploration.unique_state_count(),
        exploration.max_depth()
    );
}

/// Each of these faults lets a fleet send more requests than answers earned and time slots allow. The exploration must
/// find a path to each.
#[test]
fn injected_faults_are_detected_each_with_a_path() {
    let faults = [
        Fault::SenderKeepsPermit,
        Fault::DuplicateCounts,
        Fault::StaleTransferCounts,
        Fault::StalePermitsKept,
        Fault::SlotReused,
        Fault::AnswerCountsEverywhere,
        Fault::StaleAnswerCounts,
        Fault::EachOwnsAllSlots,
    ];
    for fault in faults {
        let exploration = explore(4, Some(fault));
        let path = exploration.discovery(PROPERTY);
        let steps = path.map(stateright::Path::into_actions);
        println!(
            "{fault:?}: {:?}, {} states",
            steps,
            exploration.unique_state_count()
        );
        assert!(steps.is_some(), "{fault:?} is not detected");
    }
}
