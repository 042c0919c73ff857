//! All courses of three gateways and two cold servers, with the code that runs: attempts, answers, gifts that are lost, late or
//! doubled, a gateway that is killed and back at once, a server that starts again. In each state what was sent to a server in
//! its life stays within what its answers earned and its turns allow, however the words went. Planted faults are found, each
//! with a shortest course (`stateright`'s search by breadth).

use saffronpaddle_slow_start::{
    AttemptResult, BaselineLatency, Micros, SlowStartBudget, SlowStartLimits, TransferredPermit,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const S: Micros = 1_000_000;
/// When the servers start: all gateways have been up for long.
const BEGIN: Micros = 10 * S;
const COLD_FOR: Micros = 17 * S;
/// A right lives two ticks and a half, a turn eight.
const TICK: Micros = 140_000;
/// Ticks of a run: into the second turn.
const TICKS: u8 = 9;
const GATEWAYS: u8 = 3;
const NAME: &str = "no more than answers earn and turns allow";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Who gives a right away keeps it.
    GiverKeeps,
    /// A gift that comes again counts again.
    DoubledCounts,
    /// A gift for an earlier life of the server counts.
    OldLifeCounts,
    /// What was earned in an earlier life is kept.
    OldRightsKept,
    /// A gateway that was killed in its turn is back in it with the turn unused.
    TurnAgain,
    /// An answer counts for each gateway, as if it had been told of.
    AnswerTold,
    /// An answer to an attempt at an earlier life counts.
    OldAnswerCounts,
    /// The right of a turn goes by the gateway's number alone, and each believes that it is the first.
    EachIsFirst,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Step {
    Wait,
    Send(u8, u8),
    Answer(usize),
    Spare(u8, u8, u8),
    Take(usize, bool),
    Kill(u8),
    ServerAgain(u8),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    tick: u8,
    budgets: [[SlowStartBudget; 2]; 3],
    up_since: [Micros; 3],
    started: [Micros; 2],
    /// Attempts that are out: whose, at which server, at which life of it.
    out: Vec<(u8, u8, Micros)>,
    /// Gifts under way: to whom, from whom, at which server.
    gifts: BTreeSet<(u8, u8, u8, TransferredPermit)>,
    /// Of each server's life: rights that answers earned, and requests that were sent.
    earned: [u8; 2],
    sent: [u8; 2],
    /// Doublings, deaths and starts of a server that may still be.
    left: (u8, u8, u8),
}

struct Courses {
    sends: u8,
    fault: Option<Fault>,
}

impl Courses {
    fn rules(&self, world: &World, me: u8) -> SlowStartLimits {
        let plant = self.fault == Some(Fault::EachIsFirst);
        SlowStartLimits {
            node_count: if plant { 1 } else { u32::from(GATEWAYS) },
            node: if plant { 0 } else { u32::from(me) },
            up_since: if self.fault == Some(Fault::TurnAgain) {
                0
            } else {
                world.up_since[usize::from(me)]
            },
            overload_multiple: 3.0,
            overload_window: S,
        }
    }
}

fn now(world: &World) -> Micros {
    BEGIN + 1000 + Micros::from(world.tick) * TICK
}

impl Model for Courses {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut budget = SlowStartBudget::default();
        budget.on_server_start(BEGIN, COLD_FOR);
        let row = [budget.clone(), budget];
        vec![World {
            tick: 0,
            budgets: [row.clone(), row.clone(), row],
            up_since: [0; 3],
            started: [BEGIN; 2],
            out: Vec::new(),
            gifts: BTreeSet::new(),
            earned: [0; 2],
            sent: [0; 2],
            left: (1, 1, 1),
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend((world.tick < TICKS).then_some(Step::Wait));
        for me in 0..GATEWAYS {
            for server in 0..2 {
                // Each server may number turns otherwise.
                let may = world.budgets[usize::from(me)][usize::from(server)].permits(
                    now(world),
                    u64::from(server),
                    &self.rules(world, me),
                );
                let room = world.sent.iter().sum::<u8>() < self.sends;
                steps.extend((may && room).then_some(Step::Send(me, server)));
                steps.extend(
                    (1..GATEWAYS).map(|step| Step::Spare(me, server, (me + step) % GATEWAYS)),
                );
            }
            steps.extend((world.left.1 > 0).then_some(Step::Kill(me)));
        }
        steps.extend((0..world.out.len()).map(Step::Answer));
        for place in 0..world.gifts.len() {
            steps.push(Step::Take(place, false));
            steps.extend((world.left.0 > 0).then_some(Step::Take(place, true)));
        }
        steps.extend((0..2).filter(|_| world.left.2 > 0).map(Step::ServerAgain));
    }

    fn next_state(&self, before: &World, step: Step) -> Option<World> {
        let mut world = before.clone();
        let now = now(before);
        match step {
            Step::Wait => world.tick += 1,
            Step::Send(me, server) => {
                let (rules, at) = (self.rules(&world, me), usize::from(server));
                if !world.budgets[usize::from(me)][at].consume(now, u64::from(server), &rules) {
                    return None;
                }
                world.sent[at] += 1;
                world.out.push((me, server, world.started[at]));
                world.out.sort_unstable();
            }
            Step::Answer(place) => {
                let (me, server, life) = world.out.remove(place);
                let at = usize::from(server);
                // As the module has it: what was sent to an earlier life proves nothing of this one.
                if life != world.started[at] && self.fault != Some(Fault::OldAnswerCounts) {
                    return Some(world);
                }
                // The best that an answer may be: in good time, and its part of a right is a whole one.
                let draw = 1.0 - 1e-9;
                let answer = AttemptResult {
                    served: true,
                    latency: 100_000,
                    latency_objective: 800_000,
                    capacity_fraction: 0.3,
                    random_fraction: draw,
                };
                let rules = self.rules(&world, me);
                let mut natural = BaselineLatency::default();
                let told = self.fault == Some(Fault::AnswerTold);
                for whose in (0..GATEWAYS).filter(|whose| *whose == me || told) {
                    let budget = &mut world.budgets[usize::from(whose)][at];
                    budget.record_result(now, 0, answer, &mut natural, &rules);
                }
                if life == world.started[at] {
                    world.earned[at] += (rules.growth() + draw).floor() as u8;
                }
            }
            Step::Spare(me, server, to) => {
                let rules = self.rules(&world, me);
                let budget = &mut world.budgets[usize::from(me)][usize::from(server)];
                let kept = budget.clone();
                let gift = budget.transfer_unused(now, u64::from(server), &rules);
                if gift.is_some() && self.fault == Some(Fault::GiverKeeps) {
                    *budget = kept;
                }
                world.gifts.extend(gift.map(|gift| (to, me, server, gift)));
            }
            Step::Take(place, again) => {
                let taken = world.gifts.iter().nth(place).copied()?;
                let (to, from, server, mut gift) = taken;
                if again {
                    world.left.0 -= 1;
                } else {
                    world.gifts.remove(&taken);
                }
                match self.fault {
                    Some(Fault::DoubledCounts) if !again => {
                        gift.sequence = gift.sequence.wrapping_add(99);
                    }
                    Some(Fault::OldLifeCounts) => {
                        gift.server_started_at = world.started[usize::from(server)];
                    }
                    _ => {}
                }
                let rules = self.rules(&world, to);
                world.budgets[usize::from(to)][usize::from(server)].receive(
                    now,
                    u32::from(from),
                    gift,
                    &rules,
                );
            }
            Step::Kill(me) => {
                world.left.1 -= 1;
                world.up_since[usize::from(me)] = now;
                for server in 0..2 {
                    let budget = &mut world.budgets[usize::from(me)][server];
                    *budget = SlowStartBudget::default();
                    budget.on_server_start(world.started[server], COLD_FOR);
                }
                world.out.retain(|(whose, ..)| *whose != me);
            }
            Step::ServerAgain(server) => {
                let at = usize::from(server);
                world.left.2 -= 1;
                world.started[at] = now;
                (world.earned[at], world.sent[at]) = (0, 0);
                for row in &mut world.budgets {
                    if self.fault == Some(Fault::OldRightsKept) {
                        continue;
                    }
                    row[at].on_server_start(now, COLD_FOR);
                }
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![Property::always(
            NAME,
            |courses: &Courses, world: &World| {
                (0..2).all(|at| {
                    let rules = SlowStartLimits {
                        node_count: 1,
                        node: 0,
                        ..courses.rules(world, 0)
                    };
                    // Turns that have begun since the server's start: a turn is as long as a gateway alone may send one in.
                    let mut alone = SlowStartBudget::default();
                    alone.on_server_start(world.started[at], COLD_FOR);
                    let from = (world.started[at] - BEGIN) / TICK;
                    let turns = (from..=Micros::from(world.tick))
                        .filter(|tick| {
                            alone.consume(
                                BEGIN + 1000 + tick * TICK,
                                0,
                                &SlowStartLimits {
                                    up_since: 0,
                                    ..rules
                                },
                            )
                        })
                        .count();
                    usize::from(world.sent[at]) <= turns + usize::from(world.earned[at])
                })
            },
        )]
    }
}

fn courses(sends: u8, fault: Option<Fault>) -> impl Checker<Courses> {
    let threads = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    Courses { sends, fault }
        .checker()
        .threads(threads)
        .target_state_count(3_000_000)
        .spawn_bfs()
        .join()
}

#[test]
fn rights_never_sum_above_what_was_earned_for_two_servers_and_three_gateways() {
    let all = courses(3, None);
    assert!(
        all.is_done(),
        "{} states, not all",
        all.unique_state_count()
    );
    all.assert_properties();
    println!(
        "{} states, depth {}",
        all.unique_state_count(),
        all.max_depth()
    );
}

#[test]
fn planted_faults_are_found_each_with_a_course() {
    let faults = [
        Fault::GiverKeeps,
        Fault::DoubledCounts,
        Fault::OldLifeCounts,
        Fault::OldRightsKept,
        Fault::TurnAgain,
        Fault::AnswerTold,
        Fault::OldAnswerCounts,
        Fault::EachIsFirst,
    ];
    for fault in faults {
        let found = courses(4, Some(fault));
        let path = found.discovery(NAME);
        let steps = path.map(stateright::Path::into_actions);
        println!(
            "{fault:?}: {:?}, {} states",
            steps,
            found.unique_state_count()
        );
        assert!(steps.is_some(), "{fault:?} is not found");
    }
}
