//! Breadth-first search through all states of a world.

use crate::world::{PolicyModel, Property, PropertyViolation, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Most default steps until a world has to be terminated. Without this limit, the search would hang on a world that
/// never terminates.
const MAX_DEFAULT_STEPS: usize = 80;

/// Index of the initial state in the list of path steps.
const ROOT: u32 = 0;

/// The result of a search or a random walk.
#[derive(Clone, Debug)]
pub struct SearchResult {
    /// Number of distinct states.
    pub states: usize,
    /// Number of steps taken between states.
    pub steps: usize,
    /// Length of the longest among the shortest paths to each state.
    pub depth: usize,
    /// Wall-clock time of the search.
    pub duration: Duration,
    /// Whether all reachable states were visited.
    pub complete: bool,
    /// The trace to a violation, or `None` if no property was violated. In a search it is a shortest one, apart from
    /// default steps at its end.
    pub violation: Option<(Vec<Step>, PropertyViolation)>,
}

/// Limits of a search. It stops when either is reached.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most distinct states.
    pub states: usize,
    /// Most steps from the initial state.
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

/// A state that was not expanded yet.
struct OpenState<M: PolicyModel> {
    world: World<M>,
    /// Index of the last step on the path to the state.
    reached_by: u32,
}

/// A step of a path, with the index of the preceding step.
struct PathStep {
    previous: u32,
    step: Step,
}

/// A newly reached state, with the step that leads to it.
struct NextState<M: PolicyModel> {
    previous: u32,
    step: Step,
    digest: u64,
    world: World<M>,
    /// Digests of the states between this one and the termination of its world by default steps.
    terminating: Vec<u64>,
}

/// A violation, with the steps from an expanded state to it.
struct FoundViolation {
    previous: u32,
    steps: Vec<Step>,
    violation: PropertyViolation,
}

/// The result of expanding one thread's part of a level.
struct Expansion<M: PolicyModel> {
    next: Vec<NextState<M>>,
    steps_taken: usize,
    violation: Option<FoundViolation>,
}

/// A search in progress.
struct Search<'a> {
    setup: &'a Setup,
    seen: HashSet<u64>,
    /// Digests of states that are known to terminate by default steps.
    terminating: HashSet<u64>,
    path_steps: Vec<PathStep>,
    steps_taken: usize,
    depth: usize,
    started: Instant,
}

/// Visits all states that are reachable in a world, using `threads` threads.
///
/// # Panics
/// Panics if the code under test panics.
pub fn search<M: PolicyModel + Send + Sync>(
    setup: &Setup,
    policy: M,
    bug: Option<Bug>,
    limits: Limits,
    threads: usize,
) -> SearchResult {
    let first = World::new(setup, policy, bug);
    let mut search = Search {
        setup,
        seen: HashSet::from([first.digest()]),
        terminating: HashSet::new(),
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
            return search.violation_result(violation);
        }
        if !next_level.is_empty() {
            search.depth += 1;
        }
        if search.seen.len() >= limits.states || search.depth >= limits.depth {
            return search.result(next_level.is_empty());
        }
        level = next_level;
    }
    search.result(true)
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
            // A panic in the code under test is a fault like any other and ends the search.
            running
                .into_iter()
                .map(|thread| thread.join().expect("the code under test panicked"))
                .collect()
        })
    }

    /// Takes all possible steps from the given states until one violates a property.
    fn expand<M: PolicyModel>(&self, states: &[OpenState<M>]) -> Expansion<M> {
        let mut expansion = Expansion {
            next: Vec::new(),
            steps_taken: 0,
            violation: None,
        };
        let mut seen_here = HashSet::new();
        let mut terminating_here = HashSet::new();
        for state in states {
            for step in state.world.possible_steps(self.setup) {
                expansion.steps_taken += 1;
                match self.take(state, step, &mut seen_here, &mut terminating_here) {
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

    /// Takes a step from a state. Returns `None` if the resulting state was seen before.
    fn take<M: PolicyModel>(
        &self,
        state: &OpenState<M>,
        step: Step,
        seen_here: &mut HashSet<u64>,
        terminating_here: &mut HashSet<u64>,
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
            .verify_draining()
            .and_then(|()| world.verify_attempt_ends(self.setup))
            .map_err(|violation| violated(Vec::new(), violation))?;
        let terminating = self
            .verify_termination(&world, digest, terminating_here)
            .map_err(|(tail, violation)| violated(tail, violation))?;
        Ok(Some(NextState {
            previous,
            step,
            digest,
            world,
            terminating,
        }))
    }

    /// Verifies that a state terminates by default steps, and returns the digests of the states passed on the way.
    fn verify_termination<M: PolicyModel>(
        &self,
        world: &World<M>,
        mut digest: u64,
        terminating_here: &mut HashSet<u64>,
    ) -> Result<Vec<u64>, (Vec<Step>, PropertyViolation)> {
        let mut visited = Vec::new();
        let mut tail = Vec::new();
        let mut world = world.clone();
        while !self.terminating.contains(&digest) && !terminating_here.contains(&digest) {
            visited.push(digest);
            let Some(step) = world.default_step(self.setup) else {
                world
                    .verify_terminated()
                    .map_err(|violation| (tail.clone(), violation))?;
                break;
            };
            tail.push(step);
            world
                .take(self.setup, step)
                .map_err(|violation| (tail.clone(), violation))?;
            if tail.len() > MAX_DEFAULT_STEPS {
                let violation = PropertyViolation {
                    property: Property::Liveness,
                    details: format!(
                        "the world does not terminate within {MAX_DEFAULT_STEPS} default steps"
                    ),
                };
                return Err((tail, violation));
            }
            digest = world.digest();
        }
        terminating_here.extend(&visited);
        Ok(visited)
    }

    /// Merges the results of the threads: the new states, and the violation with the fewest steps.
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
                self.terminating.extend(next.terminating);
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

    fn result(&self, complete: bool) -> SearchResult {
        SearchResult {
            states: self.seen.len(),
            steps: self.steps_taken,
            depth: self.depth,
            duration: self.started.elapsed(),
            complete,
            violation: None,
        }
    }

    fn violation_result(&self, found: FoundViolation) -> SearchResult {
        let mut trace = self.path_to(found.previous);
        trace.extend(found.steps);
        SearchResult {
            violation: Some((trace, found.violation)),
            ..self.result(false)
        }
    }

    /// Returns the steps from the initial state up to the step at an index.
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
