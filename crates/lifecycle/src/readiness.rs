//! Readiness: the five rules can be kept for new work *now*. Which conditions that hangs on, for how long one must
//! hold or fail before readiness follows, and the names by which it is told.

use crate::Time;
use std::fmt;
use std::time::Duration;

/// Why an edge node is not ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No list of app servers is known at all: nothing could be served.
    NoList,
    /// The list is older than allowed: drains and cold starts may have been missed (rules three and four).
    ListStale,
    /// Peers have not been heard, and their silence has not lasted long enough to be allowed for: the stores could
    /// pass quotas (they count what all nodes together send).
    PeersUnreachable,
    /// Too few descriptors are left for a request and its attempt.
    Descriptors,
    /// Too little memory is left.
    Memory,
    /// The system's clock has moved against the steady one, or tells a time before this program was written: starts
    /// of cold servers can't be dated (rule four).
    Clock,
    /// The node's loop is behind: answers could come too late (rule one).
    Lagging,
}

/// All reasons, in the order in which they are told.
const ALL: [Reason; 7] = [
    Reason::NoList,
    Reason::ListStale,
    Reason::PeersUnreachable,
    Reason::Descriptors,
    Reason::Memory,
    Reason::Clock,
    Reason::Lagging,
];

impl Reason {
    /// Its name in `/-/ready`, `STATUS=` and the log.
    pub fn name(self) -> &'static str {
        match self {
            Reason::NoList => "no-list",
            Reason::ListStale => "list-stale",
            Reason::PeersUnreachable => "peers-unheard",
            Reason::Descriptors => "descriptors",
            Reason::Memory => "memory",
            Reason::Clock => "clock",
            Reason::Lagging => "lagging",
        }
    }
}

/// Some reasons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons(u8);

impl Reasons {
    /// Whether there is none.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Whether this one is among them.
    pub fn contains(self, reason: Reason) -> bool {
        self.0 & (1 << reason as u8) != 0
    }

    fn set(&mut self, reason: Reason, on: bool) {
        self.0 = self.0 & !(1 << reason as u8) | u8::from(on) << reason as u8;
    }
}

impl fmt::Display for Reasons {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut between = "";
        for reason in ALL.into_iter().filter(|reason| self.contains(*reason)) {
            write!(f, "{between}{}", reason.name())?;
            between = " ";
        }
        Ok(())
    }
}

/// What readiness hangs on. `None` leaves a condition out.
#[derive(Clone, Debug, PartialEq)]
pub struct Conditions {
    /// At the start, a list that a source has told in this life is awaited for so long; after that one from the
    /// configuration will do. Without any list the node is never ready.
    pub list_within: Option<Duration>,
    /// In service, a list whose sources have all been silent for longer makes the node unready.
    pub list_stale_after: Option<Duration>,
    /// At the start, a word from every peer is awaited for so long; then those that are silent are taken for dead.
    pub peers_within: Option<Duration>,
    /// Fewest free descriptors.
    pub free_descriptors: Option<u64>,
    /// Largest share of the memory limit in use, from 0 to 1.
    pub memory_share: Option<f64>,
    /// Farthest that the system's clock may move against the steady one.
    pub clock_step: Option<Duration>,
    /// Latest that the node's loop may come round.
    pub lag: Option<Duration>,
    /// A condition of those that come and go must fail for so long before readiness is lost ...
    pub lose_after: Duration,
    /// ... and hold for so long before it is back. Guards against fronts that see a node flap.
    pub regain_after: Duration,
}

impl Conditions {
    /// No condition at all.
    pub fn none() -> Conditions {
        Conditions {
            list_within: None,
            list_stale_after: None,
            peers_within: None,
            free_descriptors: None,
            memory_share: None,
            clock_step: None,
            lag: None,
            lose_after: Duration::ZERO,
            regain_after: Duration::ZERO,
        }
    }

    /// Whether there is no condition.
    pub fn is_none(&self) -> bool {
        let Conditions {
            list_within,
            list_stale_after,
            peers_within,
            free_descriptors,
            ..
        } = self;
        let spans = [
            list_within,
            list_stale_after,
            peers_within,
            &self.clock_step,
            &self.lag,
        ];
        spans.iter().all(|span| span.is_none())
            && free_descriptors.is_none()
            && self.memory_share.is_none()
    }
}

/// What the shell sees. All spans are as of now.
#[derive(Clone, Debug, PartialEq)]
pub struct Facts {
    /// Ready app servers on the list, from any source.
    pub servers: usize,
    /// Since a source of the list last said something, if only that nothing changed; `None` if none has yet.
    pub endpoint_list_age: Option<Duration>,
    /// Peers that were heard in this life, and how many there are without this node.
    pub reachable_peers: usize,
    /// All peers but this node.
    pub peers: usize,
    /// Descriptors that could still be opened.
    pub free_descriptors: u64,
    /// Memory in use, in bytes.
    pub memory: u64,
    /// Memory that may be used, in bytes.
    pub memory_limit: u64,
    /// How far the system's clock has moved against the steady one since the start, either way.
    pub clock_moved: Duration,
    /// Whether the system's clock told a time that can't be when the node started.
    pub clock_implausible: bool,
    /// How late the loop came round last.
    pub event_loop_lag: Duration,
}

/// One condition that comes and goes: it counts once it has lasted.
#[derive(Clone, Copy, Debug, Default)]
struct Lasting {
    failing: bool,
    /// Since when the opposite has been seen.
    turned: Option<Time>,
}

impl Lasting {
    fn see(&mut self, now: Time, failing: bool, conditions: &Conditions) {
        if failing == self.failing {
            self.turned = None;
            return;
        }
        let since = *self.turned.get_or_insert(now);
        let long = if failing {
            conditions.lose_after
        } else {
            conditions.regain_after
        };
        if now.saturating_sub(since) >= long {
            (self.failing, self.turned) = (failing, None);
        }
    }
}

/// Whether the conditions hold.
#[derive(Clone, Debug)]
pub struct Readiness {
    conditions: Conditions,
    started: Time,
    facts: Option<Facts>,
    /// Whether the start's own conditions were met once: they are not asked again.
    list_awaited: bool,
    peers_awaited: bool,
    lasting: [Lasting; ALL.len()],
    reasons: Reasons,
}

impl Readiness {
    /// Nothing was seen yet.
    pub fn new(conditions: Conditions, now: Time) -> Readiness {
        let mut new = Readiness {
            conditions,
            started: now,
            facts: None,
            list_awaited: true,
            peers_awaited: true,
            lasting: Default::default(),
            reasons: Reasons::default(),
        };
        new.advance(now);
        new
    }

    /// Other conditions from now on.
    pub fn set_conditions(&mut self, conditions: Conditions) {
        self.conditions = conditions;
    }

    /// Takes in what is seen now.
    pub fn observe(&mut self, now: Time, facts: &Facts) {
        let c = &self.conditions;
        let lasting = |on: Option<bool>| on.unwrap_or(false);
        let seen = [
            (Reason::ListStale, {
                let stale =
                    |most: Duration| facts.endpoint_list_age.is_some_and(|heard| heard > most);
                lasting(c.list_stale_after.map(stale))
            }),
            (
                Reason::Descriptors,
                lasting(
                    c.free_descriptors
                        .map(|fewest| facts.free_descriptors < fewest),
                ),
            ),
            (Reason::Memory, {
                let full = |share: f64| facts.memory as f64 > facts.memory_limit as f64 * share;
                lasting(c.memory_share.map(full))
            }),
            (Reason::Clock, {
                lasting(
                    c.clock_step
                        .map(|most| facts.clock_implausible || facts.clock_moved > most),
                )
            }),
            (
                Reason::Lagging,
                lasting(c.lag.map(|most| facts.event_loop_lag > most)),
            ),
        ];
        for (reason, failing) in seen {
            // At the start nothing has lasted yet, and nothing may be taken on trust.
            let first = self.facts.is_none();
            let place = &mut self.lasting[reason as usize];
            if first {
                place.failing = failing;
            } else {
                place.see(now, failing, &self.conditions);
            }
        }
        self.facts = Some(facts.clone());
    }

    /// What time brings about.
    pub fn advance(&mut self, now: Time) {
        let c = &self.conditions;
        let up = now.saturating_sub(self.started);
        let facts = self.facts.as_ref();
        if let Some(within) = c.list_within {
            let heard = facts.is_some_and(|facts| facts.endpoint_list_age.is_some());
            self.list_awaited &= !heard && up < within;
            let any =
                facts.is_some_and(|facts| facts.endpoint_list_age.is_some() || facts.servers > 0);
            self.reasons.set(Reason::NoList, self.list_awaited || !any);
        } else {
            self.reasons.set(Reason::NoList, false);
        }
        if let Some(within) = c.peers_within {
            let all = facts.is_some_and(|facts| facts.reachable_peers >= facts.peers);
            self.peers_awaited &= !all && up < within;
            self.reasons
                .set(Reason::PeersUnreachable, self.peers_awaited);
        } else {
            self.reasons.set(Reason::PeersUnreachable, false);
        }
        for reason in [
            Reason::ListStale,
            Reason::Descriptors,
            Reason::Memory,
            Reason::Clock,
            Reason::Lagging,
        ] {
            self.reasons
                .set(reason, self.lasting[reason as usize].failing);
        }
    }

    /// Whether nothing stands in the way. Before anything was seen only a node without conditions is ready.
    pub fn is_ready(&self) -> bool {
        self.reasons.is_empty() && (self.facts.is_some() || self.conditions.is_none())
    }

    /// What stands in the way.
    pub fn reasons(&self) -> Reasons {
        self.reasons
    }
}
