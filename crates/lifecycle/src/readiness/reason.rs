//! The names of the conditions that keep a node from being ready.

use std::fmt;

/// A condition that fails, which keeps a node from being ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No list of app servers is known: nothing could be served.
    NoList,
    /// The list is older than allowed: drains and slow starts of servers may have been missed.
    ListStale,
    /// Peers have not been heard from, and their silence has not yet lasted long enough to count them as down. The token
    /// buckets, which count what all nodes send together, could exceed quotas.
    PeersUnreachable,
    /// Too few file descriptors are left for a request and its attempt.
    Descriptors,
    /// Too little memory is left.
    Memory,
    /// The system clock has moved against the monotonic clock, or shows a time before this program was written: slow
    /// starts of servers can't be dated.
    Clock,
    /// The event loop is behind: answers could miss their deadlines.
    Lagging,
}

impl Reason {
    /// All reasons, in the order in which they are shown.
    pub(super) const ALL: [Reason; 7] = [
        Reason::NoList,
        Reason::ListStale,
        Reason::PeersUnreachable,
        Reason::Descriptors,
        Reason::Memory,
        Reason::Clock,
        Reason::Lagging,
    ];

    /// The name in `/-/ready`, `STATUS=` and the log.
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

/// A set of reasons.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reasons {
    /// One bit for each reason, at the place of its discriminant.
    bits: u8,
}

impl Reasons {
    /// Whether the set is empty.
    pub fn is_empty(self) -> bool {
        self.bits == 0
    }

    /// Whether the set holds this reason.
    pub fn contains(self, reason: Reason) -> bool {
        self.bits & Reasons::bit(reason) != 0
    }

    /// Puts a reason in or takes it out.
    pub(super) fn set(&mut self, reason: Reason, present: bool) {
        if present {
            self.bits |= Reasons::bit(reason);
        } else {
            self.bits &= !Reasons::bit(reason);
        }
    }

    fn bit(reason: Reason) -> u8 {
        1 << reason as u8
    }
}

impl fmt::Display for Reasons {
    /// The names, separated by spaces.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for reason in Reason::ALL {
            if self.contains(reason) {
                write!(f, "{separator}{}", reason.name())?;
                separator = " ";
            }
        }
        Ok(())
    }
}
