//! Exhaustive state exploration of a small system: two requesting nodes, two owners with few units, a network that
//! loses, duplicates and reorders messages, and an owner that is killed and restarts immediately.
//!
//! In every state, the number of admitted requests must not exceed the units that the owners' shards held. The
//! exploration must also detect each injected fault, which shows that its checks can fail.

use saffronpaddle_quota::{GrantDecision, GrantRequest, InitialTokens, QuotaShard, ShardLimits};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::hash::{DefaultHasher, Hash, Hasher};

/// No time passes in the model, so no tokens accrue and no recorded serial number expires.
const LIMITS: ShardLimits = ShardLimits {
    rate: 1e-9,
    capacity: 2.0,
    max_in_flight: None,
    hard_limit: None,
};
/// Maximum number of times that a grant request is sent to one owner.
const MAX_SENDS_PER_OWNER: u8 = 2;
/// Maximum number of visited states; bounds memory.
const MAX_STATES: usize = 2_000_000;

/// A fault that the exploration must detect.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// An owner that restarts starts with full capacity.
    RestartsFull,
    /// A grant request is retried with a new serial number.
    NewSerialOnRetry,
    /// A grant request that times out counts as granted.
    TimeoutGrants,
}

/// State of one customer request. The requesting node has the same number as the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum RequestState {
    /// Waiting for an owner's answer.
    Pending {
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

/// Number of network and owner failures that may still occur in a run.
#[derive(Clone, Debug)]
struct RemainingFailures {
    duplicates: u8,
    restarts: u8,
}

#[derive(Clone, Debug)]
struct SystemState {
    requests: Vec<RequestState>,
    owners: [QuotaShard; 2],
    /// Messages in transit. A lost message is one that is never delivered.
    in_transit: BTreeSet<Message>,
    remaining_failures: RemainingFailures,
    /// Sum of the owners' initial units.
    total_units: usize,
    restarts: u8,
    /// Number of grants that took units, by request and owner.
    debits: BTreeMap<(u8, u8), u8>,
}

impl SystemState {
    fn new(units: [u8; 2]) -> SystemState {
        let shard = |units: u8| {
            let initial_tokens = InitialTokens::AccruedSince {
                units: f64::from(units),
                elapsed: 0,
            };
            QuotaShard::open(0, initial_tokens, 0, &LIMITS)
        };
        let mut system = SystemState {
            requests: Vec::new(),
            owners: units.map(shard),
            total_units: usize::from(units[0] + units[1]),
            in_transit: BTreeSet::new(),
            remaining_failures: RemainingFailures {
                duplicates: 1,
                restarts: 1,
            },
            restarts: 0,
            debits: BTreeMap::new(),
        };
        for request in 0..2 {
            let (owner, serial) = (first_owner(request), serial_number(request, 0));
            system.requests.push(RequestState::Pending {
                owner,
                sends: 1,
                serial,
            });
            system.in_transit.insert(Message::GrantRequest {
                request,
                owner,
                serial,
            });
        }
        system
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
        let RequestState::Pending {
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

    /// Asks the other owner after a rejection or a timeout, or rejects the request if both were asked.
    fn ask_next_owner(&mut self, request: u8, owner: u8) {
        self.requests[usize::from(request)] = if owner == first_owner(request) {
            let serial = serial_number(request, 2);
            self.in_transit.insert(Message::GrantRequest {
                request,
                owner: 1 - owner,
                serial,
            });
            RequestState::Pending {
                owner: 1 - owner,
                sends: 1,
                serial,
            }
        } else {
            RequestState::Rejected
        };
    }

    fn on_timeout(&mut self, request: u8, fault: Option<Fault>) {
        let RequestState::Pending {
            owner,
            sends,
            serial,
        } = self.requests[usize::from(request)]
        else {
            return;
        };
        if sends < MAX_SENDS_PER_OWNER {
            let serial = if fault == Some(Fault::NewSerialOnRetry) {
                serial + 1
            } else {
                serial
            };
            self.requests[usize::from(request)] = RequestState::Pending {
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

    /// Returns all states reachable in one step.
    fn successors(&self, fault: Option<Fault>) -> Vec<SystemState> {
        let mut successors = Vec::new();
        for message in &self.in_transit {
            let mut system = self.clone();
            system.in_transit.remove(message);
            system.deliver(*message);
            if self.remaining_failures.duplicates > 0 {
                let mut duplicated = system.clone();
                duplicated.remaining_failures.duplicates -= 1;
                duplicated.in_transit.insert(*message);
                successors.push(duplicated);
            }
            successors.push(system);
        }
        for request in 0..self.requests.len() as u8 {
            let state = self.requests[usize::from(request)];
            if matches!(state, RequestState::Pending { .. }) {
                let mut system = self.clone();
                system.on_timeout(request, fault);
                successors.push(system);
            }
        }
        if self.remaining_failures.restarts > 0 {
            let mut system = self.clone();
            system.restart_owner(fault);
            successors.push(system);
        }
        successors
    }

    fn restart_owner(&mut self, fault: Option<Fault>) {
        self.remaining_failures.restarts -= 1;
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

    /// Returns a description of the invariant that this state violates, if any.
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

/// Returns the owner that a node asks first, which differs between the two nodes.
fn first_owner(request: u8) -> u8 {
    request % 2
}

/// Returns a serial number for a request. Steps 0 and 1 are for the first owner, later ones for the other owner.
fn serial_number(request: u8, step: u16) -> u16 {
    u16::from(request) * 10 + step
}

/// The result of an exploration.
struct Exploration {
    /// Number of visited states.
    states: usize,
    /// The first violated invariant, if any.
    violation: Option<String>,
}

/// Visits all reachable states until one violates an invariant.
fn explore(fault: Option<Fault>) -> Exploration {
    let mut visited_hashes = HashSet::new();
    let mut unexplored = [[1, 0], [0, 1], [2, 0]].map(SystemState::new).to_vec();
    while let Some(system) = unexplored.pop() {
        if let Some(violation) = system.violation() {
            return Exploration {
                states: visited_hashes.len(),
                violation: Some(violation),
            };
        }
        unexplored.extend(system.successors(fault).into_iter().filter(|system| {
            let mut hasher = DefaultHasher::new();
            format!("{system:?}").hash(&mut hasher);
            visited_hashes.insert(hasher.finish())
        }));
        assert!(
            visited_hashes.len() < MAX_STATES,
            "more than {MAX_STATES} states are reachable"
        );
    }
    Exploration {
        states: visited_hashes.len(),
        violation: None,
    }
}

/// Messages between two nodes and two owners are lost, duplicated and reordered, and an owner restarts without its
/// state. In any order, at most as many requests are admitted as the owners had units, and none takes its units twice
/// at one owner.
#[test]
fn no_interleaving_of_two_nodes_and_two_owners_exceeds_the_quota() {
    let exploration = explore(None);
    assert_eq!(exploration.violation, None);
    assert!(
        exploration.states > 10_000,
        "only {} states were visited",
        exploration.states
    );
}

/// A restarted owner that starts full, a retry with a new serial number and a timeout that counts as a grant each let a
/// customer exceed its quota. The exploration must detect each of them.
#[test]
fn injected_faults_are_detected() {
    let faults = [
        Fault::RestartsFull,
        Fault::NewSerialOnRetry,
        Fault::TimeoutGrants,
    ];
    for fault in faults {
        assert!(
            explore(Some(fault)).violation.is_some(),
            "{fault:?} is not detected"
        );
    }
}
