//! Visits all states of a world, breadth first.

use crate::world::{PolicyModel, Property, PropertyViolation, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Steps within which a world that is left alone is over. Without this limit, a world that never ends would stop the
/// search.
const MAX_STEPS_ALONE: usize = 80;

/// The index of the first state among all steps.
const ROOT: u32 = 0;

/// What a search found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Different states.
    pub states: usize,
    /// Steps that were taken between them.
    pub steps: usize,
    /// The longest of the shortest paths to a state.
    pub depth: usize,
    /// How long it took.
    pub duration: Duration,
    /// All states were visited.
    pub complete: bool,
    /// The shortest path to a violation, if there is one.
    pub violation: Option<(Vec<Step>, PropertyViolation)>,
}

/// The limits of a search.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most states.
    pub states: usize,
    /// Most steps from the first state.
    pub depth: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            states: usize::MAX,
            depth: usize::MAX,
        }
    }
}

/// A state whose steps were not taken yet.
struct OpenState<M: PolicyModel> {
    world: World<M>,
    /// The index of the last step of the path to it.
    reached_by: u32,
}

/// A step of a path, and the index of the step before it.
struct PathStep {
    previous: u32,
    step: Step,
}

/// A state that a step leads to.
struct NextState<M: PolicyModel> {
    previous: u32,
    step: Step,
    digest: u64,
    world: World<M>,
    /// The states on the way to its end when it is left alone.
    ending: Vec<u64>,
}

/// A violation, and the steps to it from a state.
struct FoundViolation {
    previous: u32,
    steps: Vec<Step>,
    violation: PropertyViolation,
}

/// What one thread found in its part of a level.
struct Expansion<M: PolicyModel> {
    next: Vec<NextState<M>>,
    steps_taken: usize,
    violation: Option<FoundViolation>,
}

/// A search in progress.
struct Search<'a> {
    setup: &'a Setup,
    seen: HashSet<u64>,
    /// States that are known to come to their end when they are left alone.
    ending: HashSet<u64>,
    path_steps: Vec<PathStep>,
    steps_taken: usize,
    depth: usize,
    started: Instant,
}

/// Visits all states that a world can come to, with so many threads.
///
/// # Panics
/// If the code that is explored panics.
pub fn search<M: PolicyModel + Send + Sync>(
    setup: &Setup,
    policy: M,
    bug: Option<Bug>,
    limits: Limits,
    threads: usize,
) -> Found {
    let first = World::new(setup, policy, bug);
    let mut search = Search {
        setup,
        seen: HashSet::from([first.digest()]),
        ending: HashSet::new(),
        path_steps: vec![PathStep {
            previous: ROOT,
            step: Step::ClockTicks,
        }],
        steps_taken: 0,
        depth: 0,
        started: Instant::now(),
    };
    let mut level = vec![OpenState {
        world: first,
        reached_by: ROOT,
    }];
    while !level.is_empty() {
        let expansions = search.expand_in_parallel(&level, threads);
        let (next_level, violation) = search.merge(expansions);
        if let Some(violation) = violation {
            search.depth += 1;
            return search.found_violation(violation);
        }
        if !next_level.is_empty() {
            search.depth += 1;
        }
        if search.seen.len() >= limits.states || search.depth >= limits.depth {
            return search.found(next_level.is_empty());
        }
        level = next_level;
    }
    search.found(true)
}

impl Search<'_> {
    fn expand_in_parallel<M: PolicyModel + Send + Sync>(
        &self,
        level: &[OpenState<M>],
        threads: usize,
    ) -> Vec<Expansion<M>> {
        let part = level.len().div_ceil(threads.max(1));
        std::thread::scope(|scope| {
            let running: Vec<_> = level
                .chunks(part)
                .map(|states| scope.spawn(move || self.expand(states)))
                .collect();
            // A panic in the code that is explored is a fault like any other: it ends the search.
            running
                .into_iter()
                .map(|thread| thread.join().expect("no panic"))
                .collect()
        })
    }

    /// Takes all steps from some states, until one violates a property.
    fn expand<M: PolicyModel>(&self, states: &[OpenState<M>]) -> Expansion<M> {
        let mut expansion = Expansion {
            next: Vec::new(),
            steps_taken: 0,
            violation: None,
        };
        let mut seen_here = HashSet::new();
        let mut ending_here = HashSet::new();
        for state in states {
            for step in state.world.possible_steps(self.setup) {
                expansion.steps_taken += 1;
                match self.take(state, step, &mut seen_here, &mut ending_here) {
                    Ok(next) => expansion.next.extend(next),
                    Err(violation) => {
                        expansion.violation = Some(violation);
                        return expansion;
                    }
                }
            }
        }
        expansion
    }

    /// Takes a step from a state. None if it leads to a state that was seen before.
    fn take<M: PolicyModel>(
        &self,
        state: &OpenState<M>,
        step: Step,
        seen_here: &mut HashSet<u64>,
        ending_here: &mut HashSet<u64>,
    ) -> Result<Option<NextState<M>>, FoundViolation> {
        let previous = state.reached_by;
        let violated = |tail: Vec<Step>, violation| {
            let mut steps = vec![step];
            steps.extend(tail);
            FoundViolation {
                previous,
                steps,
                violation,
            }
        };
        let mut world = state.world.clone();
        world
            .take(self.setup, step)
            .map_err(|violation| violated(Vec::new(), violation))?;
        let digest = world.digest();
        if self.seen.contains(&digest) || !seen_here.insert(digest) {
            return Ok(None);
        }
        world
            .verify_stopped()
            .and_then(|()| world.verify_attempt_ends(self.setup))
            .map_err(|violation| violated(Vec::new(), violation))?;
        let ending = self
            .leave_alone(&world, digest, ending_here)
            .map_err(|(tail, violation)| violated(tail, violation))?;
        Ok(Some(NextState {
            previous,
            step,
            digest,
            world,
            ending,
        }))
    }

    /// Verifies that a state comes to its end if it is left alone, and returns the new states on the way.
    fn leave_alone<M: PolicyModel>(
        &self,
        world: &World<M>,
        mut digest: u64,
        ending_here: &mut HashSet<u64>,
    ) -> Result<Vec<u64>, (Vec<Step>, PropertyViolation)> {
        let mut visited = Vec::new();
        let mut tail = Vec::new();
        let mut world = world.clone();
        while !self.ending.contains(&digest) && !ending_here.contains(&digest) {
            visited.push(digest);
            let Some(step) = world.step_if_left_alone(self.setup) else {
                world
                    .verify_end()
                    .map_err(|violation| (tail.clone(), violation))?;
                break;
            };
            tail.push(step);
            world
                .take(self.setup, step)
                .map_err(|violation| (tail.clone(), violation))?;
            if tail.len() > MAX_STEPS_ALONE {
                let violation = PropertyViolation {
                    property: Property::Liveness,
                    details: format!("left alone, it is not over after {MAX_STEPS_ALONE} steps"),
                };
                return Err((tail, violation));
            }
            digest = world.digest();
        }
        ending_here.extend(&visited);
        Ok(visited)
    }

    /// Takes in what the threads found: the new states, and the violation with the fewest steps.
    fn merge<M: PolicyModel>(
        &mut self,
        expansions: Vec<Expansion<M>>,
    ) -> (Vec<OpenState<M>>, Option<FoundViolation>) {
        let mut level = Vec::new();
        let mut shortest: Option<FoundViolation> = None;
        for expansion in expansions {
            self.steps_taken += expansion.steps_taken;
            if let Some(found) = expansion.violation {
                let shorter = shortest
                    .as_ref()
                    .is_none_or(|other| found.steps.len() < other.steps.len());
                if shorter {
                    shortest = Some(found);
                }
            }
            for next in expansion.next {
                self.ending.extend(next.ending);
                if self.seen.insert(next.digest) {
                    self.path_steps.push(PathStep {
                        previous: next.previous,
                        step: next.step,
                    });
                    level.push(OpenState {
                        world: next.world,
                        reached_by: self.path_steps.len() as u32 - 1,
                    });
                }
            }
        }
        (level, shortest)
    }

    fn found(&self, complete: bool) -> Found {
        Found {
            states: self.seen.len(),
            steps: self.steps_taken,
            depth: self.depth,
            duration: self.started.elapsed(),
            complete,
            violation: None,
        }
    }

    fn found_violation(&self, found: FoundViolation) -> Found {
        let mut trace = self.path_to(found.previous);
        trace.extend(found.steps);
        Found {
            violation: Some((trace, found.violation)),
            ..self.found(false)
        }
    }

    /// The steps from the first state up to the step of an index.
    fn path_to(&self, mut index: u32) -> Vec<Step> {
        let mut path = Vec::new();
        while index != ROOT {
            let path_step = &self.path_steps[index as usize];
            path.push(path_step.step);
            index = path_step.previous;
        }
        path.reverse();
        path
    }
}
