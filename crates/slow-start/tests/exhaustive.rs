//! Explores the interleavings of three nodes and two servers that warm up, with the code that runs: attempts, answers,
//! transfers that are lost, late or duplicated, a node that is killed and restarts at once, a server that restarts.
//!
//! The search is breadth-first and ends once [`TARGET_STATES`] states were generated. In every state the requests sent to a server since its start stay within what its answers earned and its time slots
//! allow. Each planted fault is found, with a shortest path to it (`stateright`'s breadth-first search).

use saffronpaddle_slow_start::{
    AttemptResult, BaselineLatency, Micros, SlowStartBudget, SlowStartLimits, TransferredPermit,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const S: Micros = 1_000_000;
/// When the servers start: all nodes have been up for long.
const BEGIN: Micros = 10 * S;
/// Time from the servers' start to the first tick, µs.
const FIRST_TICK_AFTER: Micros = 1000;
const WARM_UP_PERIOD: Micros = 17 * S;
/// A permit lives two ticks and a half, a time slot lasts eight.
const TICK: Micros = 140_000;
/// Ticks of a run: into the second time slot.
const TICKS: u8 = 9;
const NODES: u8 = 3;
const SERVERS: u8 = 2;
/// The largest random fraction: a part of a permit is a whole one.
const LARGEST_FRACTION: f64 = 1.0 - 1e-9;
/// Generated states, repeated ones included, after which the exploration ends; bounds its time.
const TARGET_STATES: usize = 3_000_000;
const PROPERTY: &str = "no more requests than answers earn and time slots allow";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// The node that transfers a permit keeps it.
    SenderKeepsPermit,
    /// A transfer that is duplicated counts again.
    DuplicateCounts,
    /// A transfer for an earlier start of the server counts.
    OldTransferCounts,
    /// Permits that were earned before the server restarted are kept.
    OldPermitsKept,
    /// A node that is killed in its time slot restarts with the slot unused.
    SlotReused,
    /// An answer counts at each node, as if all had been notified.
    AnswerCountsEverywhere,
    /// An answer to an attempt from before the server restarted counts.
    OldAnswerCounts,
    /// Each node takes itself for the only one, and every time slot for its own.
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

/// Faults that may still happen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Allowance {
    duplicates: u8,
    node_kills: u8,
    server_restarts: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u8,
    budgets: [[SlowStartBudget; 2]; 3],
    up_since: [Micros; 3],
    server_started_at: [Micros; 2],
    in_flight: Vec<Attempt>,
    /// Transfers under way.
    transfers: BTreeSet<Transfer>,
    /// Permits that answers earned since the start of each server.
    earned: [u8; 2],
    /// Requests that were sent since the start of each server.
    sent: [u8; 2],
    allowance: Allowance,
}

impl World {
    fn now(&self) -> Micros {
        time_of_tick(Micros::from(self.tick))
    }

    fn budget(&mut self, node: u8, server: u8) -> &mut SlowStartBudget {
        &mut self.budgets[usize::from(node)][usize::from(server)]
    }
}

fn time_of_tick(tick: Micros) -> Micros {
    BEGIN + FIRST_TICK_AFTER + tick * TICK
}

struct System {
    /// Most requests that a run sends.
    max_sends: u8,
    fault: Option<Fault>,
}

impl System {
    fn limits(&self, world: &World, node: u8) -> SlowStartLimits {
        let alone = self.fault == Some(Fault::EachOwnsAllSlots);
        SlowStartLimits {
            node_count: if alone { 1 } else { u32::from(NODES) },
            node: if alone { 0 } else { u32::from(node) },
            up_since: if self.fault == Some(Fault::SlotReused) {
                0
            } else {
                world.up_since[usize::from(node)]
            },
            overload_multiple: 3.0,
            overload_window: S,
        }
    }

    /// Whether the node had a permit to send.
    fn send(&self, world: &mut World, node: u8, server: u8) -> bool {
        let (now, limits, index) = (world.now(), self.limits(world, node), usize::from(server));
        if !world
            .budget(node, server)
            .consume(now, u64::from(server), &limits)
        {
            return false;
        }
        world.sent[index] += 1;
        world.in_flight.push(Attempt {
            node,
            server,
            server_started_at: world.server_started_at[index],
        });
        world.in_flight.sort_unstable();
        true
    }

    fn answer(&self, world: &mut World, attempt: usize) {
        let attempt = world.in_flight.remove(attempt);
        let (now, server) = (world.now(), usize::from(attempt.server));
        let is_current = attempt.server_started_at == world.server_started_at[server];
        // As the policy engine has it: what was sent before a restart says nothing of the server since.
        if !is_current && self.fault != Some(Fault::OldAnswerCounts) {
            return;
        }
        // The best that an answer may be: in good time, and with the largest fraction.
        let result = AttemptResult {
            served: true,
            latency: 100_000,
            latency_objective: 800_000,
            capacity_fraction: 0.3,
            random_fraction: LARGEST_FRACTION,
        };
        let limits = self.limits(world, attempt.node);
        let mut baseline = BaselineLatency::default();
        let everywhere = self.fault == Some(Fault::AnswerCountsEverywhere);
        for node in (0..NODES).filter(|node| *node == attempt.node || everywhere) {
            world.budget(node, attempt.server).record_result(
                now,
                0,
                result,
                &mut baseline,
                &limits,
            );
        }
        if is_current {
            world.earned[server] += (limits.growth() + LARGEST_FRACTION).floor() as u8;
        }
    }

    fn transfer(&self, world: &mut World, from: u8, server: u8, to: u8) {
        let (now, limits) = (world.now(), self.limits(world, from));
        let budget = world.budget(from, server);
        let before = budget.clone();
        let permit = budget.transfer_unused(now, u64::from(server), &limits);
        if permit.is_some() && self.fault == Some(Fault::SenderKeepsPermit) {
            *budget = before;
        }
        world.transfers.extend(permit.map(|permit| Transfer {
            to,
            from,
            server,
            permit,
        }));
    }

    fn receive(&self, world: &mut World, transfer: &Transfer, duplicated: bool) {
        if duplicated {
            world.allowance.duplicates -= 1;
        } else {
            world.transfers.remove(transfer);
        }
        let mut permit = transfer.permit;
        match self.fault {
            Some(Fault::DuplicateCounts) if !duplicated => {
                permit.sequence = permit.sequence.wrapping_add(99);
            }
            Some(Fault::OldTransferCounts) => {
                permit.server_started_at = world.server_started_at[usize::from(transfer.server)];
            }
            _ => {}
        }
        let (now, limits) = (world.now(), self.limits(world, transfer.to));
        world.budget(transfer.to, transfer.server).receive_transfer(
            now,
            u32::from(transfer.from),
            permit,
            &limits,
        );
    }

    fn kill_node(world: &mut World, node: u8) {
        world.allowance.node_kills -= 1;
        world.up_since[usize::from(node)] = world.now();
        for server in 0..SERVERS {
            let server_started_at = world.server_started_at[usize::from(server)];
            let budget = world.budget(node, server);
            *budget = SlowStartBudget::default();
            budget.on_server_start(server_started_at, WARM_UP_PERIOD);
        }
        world.in_flight.retain(|attempt| attempt.node != node);
    }

    fn restart_server(&self, world: &mut World, server: u8) {
        let (now, index) = (world.now(), usize::from(server));
        world.allowance.server_restarts -= 1;
        world.server_started_at[index] = now;
        (world.earned[index], world.sent[index]) = (0, 0);
        if self.fault == Some(Fault::OldPermitsKept) {
            return;
        }
        for node in 0..NODES {
            world
                .budget(node, server)
                .on_server_start(now, WARM_UP_PERIOD);
        }
    }

    /// Whether the requests sent to a server stay within what answers earned and time slots allow.
    fn is_within_bound(&self, world: &World, server: usize) -> bool {
        let limits = SlowStartLimits {
            node_count: 1,
            node: 0,
            up_since: 0,
            ..self.limits(world, 0)
        };
        // A node on its own has all time slots: it counts those that have begun since the server's start.
        let mut only_node = SlowStartBudget::default();
        only_node.on_server_start(world.server_started_at[server], WARM_UP_PERIOD);
        let first_tick = (world.server_started_at[server] - BEGIN) / TICK;
        let slots = (first_tick..=Micros::from(world.tick))
            .filter(|tick| only_node.consume(time_of_tick(*tick), 0, &limits))
            .count();
        usize::from(world.sent[server]) <= slots + usize::from(world.earned[server])
    }
}

impl Model for System {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut budget = SlowStartBudget::default();
        budget.on_server_start(BEGIN, WARM_UP_PERIOD);
        let budgets_of_node = [budget.clone(), budget];
        vec![World {
            tick: 0,
            budgets: [
                budgets_of_node.clone(),
                budgets_of_node.clone(),
                budgets_of_node,
            ],
            up_since: [0; 3],
            server_started_at: [BEGIN; 2],
            in_flight: Vec::new(),
            transfers: BTreeSet::new(),
            earned: [0; 2],
            sent: [0; 2],
            allowance: Allowance {
                duplicates: 1,
                node_kills: 1,
                server_restarts: 1,
            },
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend((world.tick < TICKS).then_some(Step::Wait));
        let may_send = world.sent.iter().sum::<u8>() < self.max_sends;
        for node in 0..NODES {
            for server in 0..SERVERS {
                // Servers number their time slots differently.
                let has_permit = world.budgets[usize::from(node)][usize::from(server)].has_permit(
                    world.now(),
                    u64::from(server),
                    &self.limits(world, node),
                );
                steps.extend((has_permit && may_send).then_some(Step::Send { node, server }));
                steps.extend((1..NODES).map(|distance| Step::Transfer {
                    from: node,
                    server,
                    to: (node + distance) % NODES,
                }));
            }
            steps.extend((world.allowance.node_kills > 0).then_some(Step::KillNode(node)));
        }
        steps.extend((0..world.in_flight.len()).map(|attempt| Step::Answer { attempt }));
        for transfer in 0..world.transfers.len() {
            steps.push(Step::Receive {
                transfer,
                duplicated: false,
            });
            let may_duplicate = world.allowance.duplicates > 0;
            steps.extend(may_duplicate.then_some(Step::Receive {
                transfer,
                duplicated: true,
            }));
        }
        let may_restart = world.allowance.server_restarts > 0;
        steps.extend(
            (0..SERVERS)
                .filter(|_| may_restart)
                .map(Step::RestartServer),
        );
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        match step {
            Step::Wait => world.tick += 1,
            Step::Send { node, server } => {
                if !self.send(&mut world, node, server) {
                    return None;
                }
            }
            Step::Answer { attempt } => self.answer(&mut world, attempt),
            Step::Transfer { from, server, to } => self.transfer(&mut world, from, server, to),
            Step::Receive {
                transfer,
                duplicated,
            } => {
                let transfer = world.transfers.iter().nth(transfer).copied()?;
                self.receive(&mut world, &transfer, duplicated);
            }
            Step::KillNode(node) => Self::kill_node(&mut world, node),
            Step::RestartServer(server) => self.restart_server(&mut world, server),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            PROPERTY,
            |system: &System, world: &World| {
                (0..usize::from(SERVERS)).all(|server| system.is_within_bound(world, server))
            },
        )]
    }
}

fn explore(max_sends: u8, fault: Option<Fault>) -> impl Checker<System> {
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    System { max_sends, fault }
        .checker()
        .threads(threads)
        .target_state_count(TARGET_STATES)
        .spawn_bfs()
        .join()
}

/// Transfers are lost, late and duplicated, a node is killed and restarts, and a server restarts. Whatever the order, no
/// server is sent more requests than its answers earned and its time slots allow.
#[test]
fn permits_never_exceed_what_was_earned_at_two_servers_and_three_nodes() {
    let exploration = explore(3, None);
    assert!(
        exploration.is_done(),
        "{} states, not all",
        exploration.unique_state_count()
    );
    exploration.assert_properties();
    println!(
        "{} states, depth {}",
        exploration.unique_state_count(),
        exploration.max_depth()
    );
}

/// Each of these faults lets a fleet send more requests than a server earned. The exploration must find a path to each.
#[test]
fn planted_faults_are_found_each_with_a_path() {
    let faults = [
        Fault::SenderKeepsPermit,
        Fault::DuplicateCounts,
        Fault::OldTransferCounts,
        Fault::OldPermitsKept,
        Fault::SlotReused,
        Fault::AnswerCountsEverywhere,
        Fault::OldAnswerCounts,
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
        assert!(steps.is_some(), "{fault:?} is not found");
    }
}
