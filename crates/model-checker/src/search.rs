//! Visits all states of a world, the nearest first.

use crate::world::{Breach, Inside, Setup, Step, World};
use saffronpaddle_exchange::Bug;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Steps within which a world that is left alone is over. Danger: one that never is.
const ALONE_MOST: usize = 80;

/// What a search found.
#[derive(Clone, Debug)]
pub struct Found {
    /// Different states.
    pub states: usize,
    /// Steps that were taken between them.
    pub steps: usize,
    /// The longest of the shortest ways to a state.
    pub depth: usize,
    /// How long it took.
    pub took: Duration,
    /// All were visited: nothing was cut off.
    pub whole: bool,
    /// The shortest way to a breach, if there is one.
    pub breach: Option<(Vec<Step>, Breach)>,
}

/// What bounds a search.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most states.
    pub states: usize,
    /// Most steps from the start.
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

/// A state to go on from, and the way there: the place of its last step among all.
struct Open<M: Inside> {
    world: World<M>,
    way: u32,
}

/// Visits all states that a world can come to, with so many threads.
pub fn search<M: Inside + Send + Sync>(
    setup: &Setup,
    module: M,
    bug: Option<Bug>,
    limits: Limits,
    threads: usize,
) -> Found {
    let begun = Instant::now();
    let first = World::new(setup, module, bug);
    let mut seen = HashSet::from([first.digest()]);
    let mut fine: HashSet<u64> = HashSet::new();
    let mut ways: Vec<(u32, Step)> = vec![(0, Step::Passes)];
    let mut level = vec![Open {
        world: first,
        way: 0,
    }];
    let (mut steps, mut depth, mut whole) = (0, 0, true);
    while !level.is_empty() {
        let part = level.len().div_ceil(threads.max(1));
        type Next<M> = (u32, Step, u64, World<M>, Vec<u64>);
        type Wrong = (u32, Vec<Step>, Breach);
        let (seen_now, fine_now) = (&seen, &fine);
        let expand = |opens: &[Open<M>]| -> (Vec<Next<M>>, usize, Option<Wrong>) {
            let (mut next, mut taken) = (Vec::new(), 0);
            let mut mine = HashSet::new();
            let mut mine_fine = HashSet::new();
            for open in opens {
                for step in open.world.steps(setup) {
                    taken += 1;
                    let mut world = open.world.clone();
                    if let Err(breach) = world.take(setup, step) {
                        return (next, taken, Some((open.way, vec![step], breach)));
                    }
                    let digest = world.digest();
                    if seen_now.contains(&digest) || !mine.insert(digest) {
                        continue;
                    }
                    let checked = world
                        .left_after_stop()
                        .and_then(|()| world.ends_are_told(setup));
                    if let Err(breach) = checked {
                        return (next, taken, Some((open.way, vec![step], breach)));
                    }
                    match alone(setup, &world, digest, fine_now, &mut mine_fine) {
                        Ok(new) => next.push((open.way, step, digest, world, new)),
                        Err((mut tail, breach)) => {
                            tail.insert(0, step);
                            return (next, taken, Some((open.way, tail, breach)));
                        }
                    }
                }
            }
            (next, taken, None)
        };
        let parts: Vec<_> = std::thread::scope(|scope| {
            let running: Vec<_> = level
                .chunks(part)
                .map(|opens| scope.spawn(move || expand(opens)))
                .collect();
            // A panic in the code that is explored is a fault like any other: it ends the search.
            running
                .into_iter()
                .map(|thread| thread.join().expect("no panic"))
                .collect()
        });
        let mut fresh = Vec::new();
        let mut wrong: Option<(u32, Vec<Step>, Breach)> = None;
        for (next, taken, found) in parts {
            steps += taken;
            if let Some(found) = found {
                if wrong
                    .as_ref()
                    .is_none_or(|other| found.1.len() < other.1.len())
                {
                    wrong = Some(found);
                }
            }
            for (from, step, digest, world, good) in next {
                fine.extend(good);
                if seen.insert(digest) {
                    ways.push((from, step));
                    fresh.push(Open {
                        world,
                        way: ways.len() as u32 - 1,
                    });
                }
            }
        }
        if let Some((from, tail, breach)) = wrong {
            let mut trace = way(&ways, from);
            trace.extend(tail);
            let breach = Some((trace, breach));
            return Found {
                states: seen.len(),
                steps,
                depth: depth + 1,
                took: begun.elapsed(),
                whole: false,
                breach,
            };
        }
        if !fresh.is_empty() {
            depth += 1;
        }
        if seen.len() >= limits.states || depth >= limits.depth {
            whole &= fresh.is_empty();
            break;
        }
        level = fresh;
    }
    Found {
        states: seen.len(),
        steps,
        depth,
        took: begun.elapsed(),
        whole,
        breach: None,
    }
}

/// Whether a state comes to its end if it is left alone. The states on the way are fine from then on.
fn alone<M: Inside>(
    setup: &Setup,
    world: &World<M>,
    digest: u64,
    fine: &HashSet<u64>,
    mine: &mut HashSet<u64>,
) -> Result<Vec<u64>, (Vec<Step>, Breach)> {
    let mut new = Vec::new();
    let mut tail = Vec::new();
    let mut at = world.clone();
    let mut digest = digest;
    loop {
        if fine.contains(&digest) || mine.contains(&digest) {
            break;
        }
        new.push(digest);
        let Some(step) = at.left_alone(setup) else {
            at.over_and_done()
                .map_err(|breach| (tail.clone(), breach))?;
            break;
        };
        tail.push(step);
        at.take(setup, step)
            .map_err(|breach| (tail.clone(), breach))?;
        if tail.len() > ALONE_MOST {
            let how = format!("left alone, it is not over after {ALONE_MOST} steps");
            return Err((
                tail,
                Breach {
                    property: "liveness",
                    how,
                },
            ));
        }
        digest = at.digest();
    }
    mine.extend(&new);
    Ok(new)
}

fn way(ways: &[(u32, Step)], mut at: u32) -> Vec<Step> {
    let mut trace = Vec::new();
    while at != 0 {
        let (from, step) = ways[at as usize];
        trace.push(step);
        at = from;
    }
    trace.reverse();
    trace
}
