//! Random walks through worlds that are far too large for all of their states to be visited.

use crate::search::Found;
use crate::world::{PolicyModel, Property, PropertyViolation, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::mem::discriminant;
use std::time::Instant;

/// Steps within which a world that is left alone is over.
const MAX_STEPS_ALONE: usize = 20_000;
/// One in so many steps ends something or lets time pass. With more of them, no walk would get far.
const ENDING_STEP_ODDS: u8 = 8;

/// Walks so many steps at random from a seed, then leaves the world alone until it is over. The same seed walks the
/// same way.
pub fn walk<M: PolicyModel>(setup: &Setup, policy: M, seed: u64, steps: usize) -> Found {
    walk_with(setup, policy, None, seed, steps)
}

/// The same with a planted fault.
pub fn walk_with<M: PolicyModel>(
    setup: &Setup,
    policy: M,
    bug: Option<Bug>,
    seed: u64,
    steps: usize,
) -> Found {
    let started = Instant::now();
    let mut world = World::new(setup, policy, bug);
    let mut trace = Vec::new();
    let violation = walk_to_end(setup, &mut world, seed, steps, &mut trace).err();
    let count = trace.len();
    Found {
        states: count,
        steps: count,
        depth: count,
        duration: started.elapsed(),
        complete: false,
        violation: violation.map(|violation| (trace, violation)),
    }
}

fn walk_to_end<M: PolicyModel>(
    setup: &Setup,
    world: &mut World<M>,
    seed: u64,
    steps: usize,
    trace: &mut Vec<Step>,
) -> Result<(), PropertyViolation> {
    let mut random = fastrand::Rng::with_seed(seed);
    loop {
        let step = if trace.len() < steps {
            choose_step(world.possible_steps(setup), &mut random)
        } else {
            world.step_if_left_alone(setup)
        };
        let Some(step) = step else {
            return world.verify_end();
        };
        trace.push(step);
        world.take(setup, step)?;
        if trace.len() > steps + MAX_STEPS_ALONE {
            return Err(PropertyViolation {
                property: Property::Liveness,
                details: "left alone, it is never over".to_owned(),
            });
        }
    }
}

/// Chooses a step. Each kind of step is as likely as the others: there are many ways to send and few to respond.
fn choose_step(possible: Vec<Step>, random: &mut fastrand::Rng) -> Option<Step> {
    let (ending, advancing): (Vec<Step>, Vec<Step>) =
        possible.into_iter().partition(|step| is_ending(*step));
    let steps =
        if advancing.is_empty() || (random.u8(..ENDING_STEP_ODDS) == 0 && !ending.is_empty()) {
            ending
        } else {
            advancing
        };
    let kinds: Vec<_> = steps.iter().map(discriminant).collect();
    let different_kinds: Vec<_> = kinds
        .iter()
        .enumerate()
        .filter(|(index, kind)| !kinds[..*index].contains(kind))
        .map(|(_, kind)| *kind)
        .collect();
    let kind = random.choice(different_kinds);
    let of_kind: Vec<Step> = steps
        .into_iter()
        .filter(|step| Some(discriminant(step)) == kind)
        .collect();
    random.choice(of_kind)
}

/// Whether a step brings a request, an attempt or a connection nearer to its end without an answer.
fn is_ending(step: Step) -> bool {
    matches!(
        step,
        Step::ClockTicks
            | Step::ClientLeaves(_)
            | Step::PolicyRejects(_)
            | Step::PolicyFails(_)
            | Step::PolicyCancels(_)
            | Step::ConnectionResets { .. }
            | Step::ConnectFails(_)
            | Step::ConnectLacksResource(_)
    )
}
