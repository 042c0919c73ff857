//! Random walks through worlds that are far too large to be visited whole.

use crate::search::Found;
use crate::world::{Breach, Inside, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::mem::discriminant;
use std::time::Instant;

/// Steps within which a world that is left alone is over.
const ALONE_MOST: usize = 20_000;

/// Whether a step brings a request, an attempt or a connection nearer to its end without an answer.
fn ends(step: Step) -> bool {
    use Step::{CallsOff, CantConnect, Fails, Lacks, Leaves, Passes, Refuses, Resets};
    matches!(
        step,
        Passes
            | Leaves(_)
            | Refuses(_)
            | Fails(_)
            | CallsOff(_)
            | Resets(..)
            | CantConnect(_)
            | Lacks(_)
    )
}

/// Walks so many steps at random from a seed, then leaves the world alone until it is over. The same seed walks the same
/// way.
pub fn walk<M: Inside>(setup: &Setup, module: M, seed: u64, steps: usize) -> Found {
    walk_with(setup, module, None, seed, steps)
}

/// The same with a fault planted.
pub fn walk_with<M: Inside>(
    setup: &Setup,
    module: M,
    bug: Option<Bug>,
    seed: u64,
    steps: usize,
) -> Found {
    let begun = Instant::now();
    let mut random = fastrand::Rng::with_seed(seed);
    let mut world = World::new(setup, module, bug);
    let mut trace = Vec::new();
    let breach = loop {
        let step = if trace.len() < steps {
            let all = world.steps(setup);
            // What ends things, the clock among it, comes seldom: else nothing would ever get far.
            let (ends, goes): (Vec<Step>, Vec<Step>) =
                all.into_iter().partition(|step| ends(*step));
            let all = if goes.is_empty() || (random.u8(..8) == 0 && !ends.is_empty()) {
                ends
            } else {
                goes
            };
            // Each kind of step as often as the others: there are many ways to send and few to answer.
            let kinds: Vec<_> = all.iter().map(discriminant).collect();
            let kinds: Vec<_> = kinds
                .iter()
                .enumerate()
                .filter(|(at, kind)| !kinds[..*at].contains(kind))
                .collect();
            let kind = random.choice(kinds).map(|(_, kind)| *kind);
            random.choice(
                all.into_iter()
                    .filter(|step| Some(discriminant(step)) == kind)
                    .collect::<Vec<_>>(),
            )
        } else {
            world.left_alone(setup)
        };
        let Some(step) = step else {
            break world.over_and_done().err();
        };
        trace.push(step);
        if let Err(breach) = world.take(setup, step) {
            break Some(breach);
        }
        if trace.len() > steps + ALONE_MOST {
            break Some(Breach {
                property: "liveness",
                how: "left alone, it is never over".to_owned(),
            });
        }
    };
    let count = trace.len();
    let breach = breach.map(|breach| (trace, breach));
    Found {
        states: count,
        steps: count,
        depth: count,
        took: begun.elapsed(),
        whole: false,
        breach,
    }
}
