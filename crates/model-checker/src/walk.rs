//! Random walks through worlds that are too large for an exhaustive search.

use crate::search::SearchResult;
use crate::world::{PolicyModel, Property, PropertyViolation, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::mem::discriminant;
use std::time::Instant;

/// Most default steps until a world has to be terminated. Without this limit, a walk would hang on a world that never
/// terminates.
const MAX_DEFAULT_STEPS: usize = 20_000;
/// One in this many steps aborts something or advances the clock. If these steps were more frequent, walks would
/// terminate early.
const ENDING_STEP_ODDS: u8 = 8;

/// Takes `steps` random steps, then default steps until the world terminates. The same seed gives the same walk.
pub fn walk<M: PolicyModel>(setup: &Setup, policy: M, seed: u64, steps: usize) -> SearchResult {
    walk_with(setup, policy, None, seed, steps)
}

/// Takes a walk as [`walk`] does, with a planted fault.
pub fn walk_with<M: PolicyModel>(
    setup: &Setup,
    policy: M,
    bug: Option<Bug>,
    seed: u64,
    steps: usize,
) -> SearchResult {
    let started = Instant::now();
    let mut world = World::new(setup, policy, bug);
    let mut trace = Vec::new();
    let violation = walk_to_end(setup, &mut world, seed, steps, &mut trace).err();
    let count = trace.len();
    SearchResult {
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
            world.default_step(setup)
        };
        let Some(step) = step else {
            return world.verify_terminated();
        };
        trace.push(step);
        world.take(setup, step)?;
        if trace.len() > steps + MAX_DEFAULT_STEPS {
            return Err(PropertyViolation {
                property: Property::Liveness,
                details: format!(
                    "the world does not terminate within {MAX_DEFAULT_STEPS} default steps"
                ),
            });
        }
    }
}

/// Chooses a step. All kinds of steps are equally likely, as there are many possible sends and few possible responses.
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

/// Returns whether a step aborts a request, an attempt or a connection, or advances the clock towards a timeout.
fn is_ending(step: Step) -> bool {
    matches!(
        step,
        Step::ClockTicks
            | Step::ClientLeaves(_)
            | Step::BodyFails(_)
            | Step::PolicyRejects(_)
            | Step::PolicyFails(_)
            | Step::PolicyCancels(_)
            | Step::ConnectionResets { .. }
            | Step::ConnectFails(_)
            | Step::ConnectLacksResource(_)
    )
}
