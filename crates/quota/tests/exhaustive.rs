//! Explores every interleaving of a small system: two requesting nodes, two owners with few units, a network that loses,
//! duplicates and reorders messages, and an owner that is killed and restarts at once.
//!
//! In every state the admitted requests stay within what the owners' shards held. Each planted fault must be found, so the
//! checks can fail.

use saffronpaddle_quota::{GrantDecision, GrantRequest, InitialTokens, QuotaShard, ShardLimits};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// No time passes: no tokens come in, and no serial number is forgotten.
const LIMITS: ShardLimits = ShardLimits {
    rate: 1e-9,
    capacity: 2.0,
    max_in_flight: None,
    hard_limit: None,
};
/// How often a grant request is sent to one owner.
const MAX_SENDS: u8 = 2;
/// Bounds the memory of the exploration.
const MAX_STATES: usize = 2_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// An owner that restarts starts full.
    RestartsFull,
    /// A grant request is repeated under a new serial number.
    NewSerialOnRetry,
    /// An owner that doesn't answer counts as one that granted.
    TimeoutGrants,
}

/// State of one customer request. The requester's node has the same number as the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestState {
    /// Waits for an owner's answer.
    Asking {
        owner: u8,
        sends: u8,
        serial: u16,
    },
    Admitted,
    Rejected,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    GrantRequest {
        request: u8,
        owner: u8,
        serial: u16,
    },
    GrantResponse {
        request: u8,
        serial: u16,
        granted: bool,
    },
}

/// Faults of the network and of owners that may still happen.
#[derive(Clone, Debug)]
struct Allowance {
    duplicates: u8,
    restarts: u8,
}

#[derive(Clone, Debug)]
struct World {
    requests: Vec<RequestState>,
    owners: [QuotaShard; 2],
    /// Messages under way. A lost message is one that is never taken out.
    in_transit: BTreeSet<Message>,
    allowance: Allowance,
    /// Units with which the owners started.
    total_units: usize,
    restarts: u8,
    /// Grants that took units, by request and owner.
    debits: BTreeMap<(u8, u8), u8>,
}

impl World {
    fn new(units: [u8; 2]) -> World {
        let shard = |units: u8| {
            let initial_tokens = InitialTokens::AccruedSince {
                units: f64::from(units),
                elapsed: 0,
            };
            QuotaShard::open(0, initial_tokens, 0, &LIMITS)
        };
        let mut world = World {
            requests: Vec::new(),
            owners: units.map(shard),
            total_units: usize::from(units[0] + units[1]),
            in_transit: BTreeSet::new(),
            allowance: Allowance {
                duplicates: 1,
                restarts: 1,
            },
            restarts: 0,
            debits: BTreeMap::new(),
        };
        for request in 0..2 {
            let (owner, serial) = (first_owner(request), serial_number(request, 0));
            world.requests.push(RequestState::Asking {
                owner,
                sends: 1,
                serial,
            });
            world.in_transit.insert(Message::GrantRequest {
                request,
                owner,
                serial,
            });
        }
        world
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::GrantRequest {
                request,
                owner,
                serial,
            } => self.on_grant_request(request, owner, serial),
            Message::GrantResponse {
                request,
                serial,
                granted,
            } => self.on_grant_response(request, serial, granted),
        }
    }

    fn on_grant_request(&mut self, request: u8, owner: u8, serial: u16) {
        let grant_request = GrantRequest {
            requester: u32::from(request % 2),
            serial,
            units: 1.0,
        };
        let shard = &mut self.owners[usize::from(owner)];
        let tokens_before = shard.tokens();
        let response = shard.decide_grant(0, grant_request, &LIMITS, 1_000_000);
        if shard.tokens() < tokens_before {
            *self.debits.entry((request, owner)).or_default() += 1;
        }
        self.in_transit.insert(Message::GrantResponse {
            request,
            serial,
            granted: response.decision == GrantDecision::Granted,
        });
    }

    fn on_grant_response(&mut self, request: u8, serial: u16, granted: bool) {
        let RequestState::Asking {
            owner,
            serial: open_serial,
            ..
        } = self.requests[usize::from(request)]
        else {
            return;
        };
        if open_serial != serial {
            return;
        }
        if granted {
            self.requests[usize::from(request)] = RequestState::Admitted;
        } else {
            self.ask_next_owner(request, owner);
        }
    }

    /// An owner has rejected the request or not answered: the other is asked, if it was not before.
    fn ask_next_owner(&mut self, request: u8, owner: u8) {
        self.requests[usize::from(request)] = if owner == first_owner(request) {
            let serial = serial_number(request, 2);
            self.in_transit.insert(Message::GrantRequest {
                request,
                owner: 1 - owner,
                serial,
            });
            RequestState::Asking {
                owner: 1 - owner,
                sends: 1,
                serial,
            }
        } else {
            RequestState::Rejected
        };
    }

    fn on_timeout(&mut self, request: u8, fault: Option<Fault>) {
        let RequestState::Asking {
            owner,
            sends,
            serial,
        } = self.requests[usize::from(request)]
        else {
            return;
        };
        if sends < MAX_SENDS {
            let serial = if fault == Some(Fault::NewSerialOnRetry) {
                serial + 1
            } else {
                serial
            };
            self.requests[usize::from(request)] = RequestState::Asking {
                owner,
                sends: sends + 1,
                serial,
            };
            self.in_transit.insert(Message::GrantRequest {
                request,
                owner,
                serial,
            });
        } else if fault == Some(Fault::TimeoutGrants) {
            self.requests[usize::from(request)] = RequestState::Admitted;
        } else {
            self.ask_next_owner(request, owner);
        }
    }

    /// All states that can follow.
    fn successors(&self, fault: Option<Fault>) -> Vec<World> {
        let mut successors = Vec::new();
        for message in &self.in_transit {
            let mut world = self.clone();
            world.in_transit.remove(message);
            world.deliver(*message);
            if self.allowance.duplicates > 0 {
                let mut duplicated = world.clone();
                duplicated.allowance.duplicates -= 1;
                duplicated.in_transit.insert(*message);
                successors.push(duplicated);
            }
            successors.push(world);
        }
        for request in 0..self.requests.len() as u8 {
            let state = self.requests[usize::from(request)];
            if matches!(state, RequestState::Asking { .. }) {
                let mut world = self.clone();
                world.on_timeout(request, fault);
                successors.push(world);
            }
        }
        if self.allowance.restarts > 0 {
            let mut world = self.clone();
            world.restart_owner(fault);
            successors.push(world);
        }
        successors
    }

    fn restart_owner(&mut self, fault: Option<Fault>) {
        self.allowance.restarts -= 1;
        self.restarts += 1;
        let initial_tokens = if fault == Some(Fault::RestartsFull) {
            InitialTokens::Full
        } else {
            InitialTokens::AccruedSince {
                units: 0.0,
                elapsed: 0,
            }
        };
        self.owners[0] = QuotaShard::open(0, initial_tokens, 0, &LIMITS);
    }

    /// The rule that is broken in this state.
    fn violation(&self) -> Option<String> {
        let admitted = self
            .requests
            .iter()
            .filter(|state| **state == RequestState::Admitted)
            .count();
        if admitted > self.total_units {
            let units = self.total_units;
            return Some(format!(
                "{admitted} requests admitted of a quota of {units}"
            ));
        }
        let debited_twice = self.restarts == 0 && self.debits.values().any(|count| *count > 1);
        debited_twice.then(|| "one request took its units twice at one owner".to_owned())
    }
}

/// Each node asks a different owner first.
fn first_owner(request: u8) -> u8 {
    request % 2
}

/// Serial number of a request's grant request: its first owner has the first two, the other the rest.
fn serial_number(request: u8, step: u16) -> u16 {
    u16::from(request) * 10 + step
}

struct Exploration {
    states: usize,
    violation: Option<String>,
}

/// Visits all states until one breaks a rule.
fn explore(fault: Option<Fault>) -> Exploration {
    let mut seen = HashSet::new();
    let mut pending = [[1, 0], [0, 1], [2, 0]].map(World::new).to_vec();
    while let Some(world) = pending.pop() {
        if let Some(violation) = world.violation() {
            return Exploration {
                states: seen.len(),
                violation: Some(violation),
            };
        }
        pending.extend(world.successors(fault).into_iter().filter(|world| {
            let mut hasher = DefaultHasher::new();
            format!("{world:?}").hash(&mut hasher);
            seen.insert(hasher.finish())
        }));
        assert!(
            seen.len() < MAX_STATES,
            "the system is larger than it was meant to be"
        );
    }
    Exploration {
        states: seen.len(),
        violation: None,
    }
}

/// Messages between two nodes and two owners are lost, duplicated and reordered, and an owner restarts without its state.
/// Whatever the order, no more requests are admitted than the owners had units, and none is charged twice at one owner.
#[test]
fn no_interleaving_of_two_nodes_and_two_owners_exceeds_the_quota() {
    let exploration = explore(None);
    assert_eq!(exploration.violation, None);
    assert!(exploration.states > 10_000, "{} states", exploration.states);
}

/// A restarted owner that starts full, a retry under a new serial number and a timeout that counts as a grant each let a
/// customer exceed its quota. The exploration must find each of them.
#[test]
fn planted_faults_are_found() {
    let faults = [
        Fault::RestartsFull,
        Fault::NewSerialOnRetry,
        Fault::TimeoutGrants,
    ];
    for fault in faults {
        assert!(explore(Some(fault)).violation.is_some(), "{fault:?}");
    }
}
