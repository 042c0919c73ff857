//! All courses of a small world: two gateways that ask, two homes, few units, a network that loses, doubles and reorders, a home
//! that is killed and back at once. In every state the tries that went stay under what the quota holds; a planted fault is found
//! each time, so the checks can fail.

use saffronpaddle_quota::{GrantDecision, GrantRequest, InitialTokens, QuotaShard, ShardLimits};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// No time goes by: nothing comes in, and no number is forgotten.
const TERMS: ShardLimits = ShardLimits {
    rate: 1e-9,
    capacity: 2.0,
    max_in_flight: None,
    hard_limit: None,
};
const PUTS: u8 = 2;
/// Guards the machine's memory.
const STATES_MOST: usize = 2_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// A home that is back begins full.
    BackFull,
    /// An ask is put again under a new number.
    NewNumber,
    /// A home that is silent is taken for one that grants.
    SilenceGrants,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Try {
    /// Asks this home, put so often, under this number.
    Asks(u8, u8, u16),
    Goes,
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Word {
    Ask { of: u8, home: u8, serial: u16 },
    Answer { of: u8, serial: u16, granted: bool },
}

#[derive(Clone, Debug)]
struct World {
    tries: Vec<Try>,
    homes: [QuotaShard; 2],
    /// What is under way. What is lost is never taken out.
    mail: BTreeSet<Word>,
    /// Doublings and deaths that may still be, and deaths that were.
    left: (u8, u8),
    /// Units that the homes began with.
    units: usize,
    deaths: u8,
    /// Grants that took units, by try and home.
    taken: BTreeMap<(u8, u8), u8>,
}

impl World {
    fn new(units: [u8; 2]) -> World {
        let home = |units: u8| {
            QuotaShard::open(
                0,
                InitialTokens::AccruedSince(f64::from(units), 0),
                0,
                &TERMS,
            )
        };
        let mut world = World {
            tries: Vec::new(),
            homes: units.map(home),
            units: usize::from(units[0] + units[1]),
            mail: BTreeSet::new(),
            left: (1, 1),
            deaths: 0,
            taken: BTreeMap::new(),
        };
        for of in 0..2 {
            // Each gateway asks a home of its own first.
            let serial = number(of, 0);
            world.tries.push(Try::Asks(of % 2, 1, serial));
            world.mail.insert(Word::Ask {
                of,
                home: of % 2,
                serial,
            });
        }
        world
    }

    fn arrives(&mut self, word: Word) {
        match word {
            Word::Ask { of, home, serial } => {
                let ask = GrantRequest {
                    requester: u32::from(of % 2),
                    serial,
                    units: 1.0,
                };
                let before = self.homes[usize::from(home)].tokens();
                let said = self.homes[usize::from(home)].request_grant(0, ask, &TERMS, 1_000_000);
                if self.homes[usize::from(home)].tokens() < before {
                    *self.taken.entry((of, home)).or_default() += 1;
                }
                self.mail.insert(Word::Answer {
                    of,
                    serial,
                    granted: said.decision == GrantDecision::Granted,
                });
            }
            Word::Answer {
                of,
                serial,
                granted,
            } => {
                let Try::Asks(home, _, open) = self.tries[usize::from(of)] else {
                    return;
                };
                if open != serial {
                    return;
                }
                if granted {
                    self.tries[usize::from(of)] = Try::Goes;
                } else {
                    self.moves_on(of, home);
                }
            }
        }
    }

    /// A home has said no, or nothing: the other is asked, if it was not before.
    fn moves_on(&mut self, of: u8, home: u8) {
        self.tries[usize::from(of)] = if home == of % 2 {
            let serial = number(of, 2);
            self.mail.insert(Word::Ask {
                of,
                home: 1 - home,
                serial,
            });
            Try::Asks(1 - home, 1, serial)
        } else {
            Try::Refused
        };
    }

    fn times_out(&mut self, of: u8, fault: Option<Fault>) {
        let Try::Asks(home, put, serial) = self.tries[usize::from(of)] else {
            return;
        };
        if put < PUTS {
            let serial = if fault == Some(Fault::NewNumber) {
                serial + 1
            } else {
                serial
            };
            self.tries[usize::from(of)] = Try::Asks(home, put + 1, serial);
            self.mail.insert(Word::Ask { of, home, serial });
        } else if fault == Some(Fault::SilenceGrants) {
            self.tries[usize::from(of)] = Try::Goes;
        } else {
            self.moves_on(of, home);
        }
    }

    fn next(&self, fault: Option<Fault>) -> Vec<World> {
        let mut all = Vec::new();
        for word in &self.mail {
            let mut world = self.clone();
            world.mail.remove(word);
            world.arrives(*word);
            if self.left.0 > 0 {
                let mut twice = world.clone();
                twice.left.0 -= 1;
                twice.mail.insert(*word);
                all.push(twice);
            }
            all.push(world);
        }
        for of in 0..self.tries.len() as u8 {
            if matches!(self.tries[usize::from(of)], Try::Asks(..)) {
                let mut world = self.clone();
                world.times_out(of, fault);
                all.push(world);
            }
        }
        if self.left.1 > 0 {
            let mut world = self.clone();
            world.left.1 -= 1;
            world.deaths += 1;
            let start = if fault == Some(Fault::BackFull) {
                InitialTokens::Full
            } else {
                InitialTokens::AccruedSince(0.0, 0)
            };
            world.homes[0] = QuotaShard::open(0, start, 0, &TERMS);
            all.push(world);
        }
        all
    }

    /// What is wrong here.
    fn wrong(&self) -> Option<String> {
        let goes = self.tries.iter().filter(|of| **of == Try::Goes).count();
        if goes > self.units {
            return Some(format!("{goes} tries went of a quota of {}", self.units));
        }
        let twice = self.deaths == 0 && self.taken.values().any(|times| *times > 1);
        twice.then(|| "one try took its units twice at one home".to_owned())
    }
}

/// The number of a try's ask: its first home has the first two, the other the rest.
fn number(of: u8, step: u16) -> u16 {
    u16::from(of) * 10 + step
}

/// How many states there are, and what is wrong in the first bad one.
fn explore(fault: Option<Fault>) -> (usize, Option<String>) {
    let (mut seen, mut todo) = (
        HashSet::new(),
        [[1, 0], [0, 1], [2, 0]].map(World::new).to_vec(),
    );
    while let Some(world) = todo.pop() {
        if let Some(wrong) = world.wrong() {
            return (seen.len(), Some(wrong));
        }
        todo.extend(world.next(fault).into_iter().filter(|world| {
            let mut hasher = DefaultHasher::new();
            format!("{world:?}").hash(&mut hasher);
            seen.insert(hasher.finish())
        }));
        assert!(
            seen.len() < STATES_MOST,
            "the world is larger than it was meant to be"
        );
    }
    (seen.len(), None)
}

#[test]
fn no_course_of_two_gateways_and_two_homes_goes_over_the_quota() {
    let (states, wrong) = explore(None);
    assert_eq!(wrong, None);
    assert!(states > 10_000, "{states} states");
}

#[test]
fn planted_faults_are_found() {
    for fault in [Fault::BackFull, Fault::NewNumber, Fault::SilenceGrants] {
        assert!(explore(Some(fault)).1.is_some(), "{fault:?}");
    }
}
