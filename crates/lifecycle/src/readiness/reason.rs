//! The reasons why a node is not ready, and their names.

use std::fmt;

/// A failing readiness condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// No list of app servers is known, so no request could be served.
    NoList,
    /// The list is older than allowed, so drains and slow starts of servers may have been missed.
    ListStale,
    /// Some peers have not sent a message yet, and the timeout after which they count as down has not passed. The token
    /// buckets count what all nodes send together; without the usage of these peers the fleet could exceed quotas.
    PeersUnreachable,
    /// Too few file descriptors are left for a request and its attempt.
    Descriptors,
    /// More than the allowed fraction of the memory limit is in use.
    Memory,
    /// The system clock has moved against the monotonic clock, or shows a time before this program was written. The
    /// remaining slow start of a server cannot be computed from such a clock.
    Clock,
    /// The event loop is late, so responses could miss their deadlines.
    Lagging,
}

impl Reason {
    /// All reasons, in display order.
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
    /// One bit for each reason; the discriminant is the bit's index.
    bits: u8,
}

impl Reasons {
    /// Whether all conditions hold.
    pub fn is_empty(self) -> bool {
        self.bits == 0
    }

    /// Whether the condition of this reason fails.
    pub fn contains(self, reason: Reason) -> bool {
        self.bits & Reasons::bit(reason) != 0
    }

    /// Adds the reason to the set or removes it.
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
