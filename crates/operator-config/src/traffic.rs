//! How quotas and app servers are divided among nodes: `[quotas]` and `[servers]`.

use crate::section::Section;

/// How quotas are shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quotas {
    /// Partition-safe mode: each owner of a customer's quota holds its own share of it, so that owners that cannot reach
    /// each other never grant more than the whole quota together.
    pub partition_safe: bool,
    /// Whether unanswered grant requests are repeated only within a budget of messages.
    pub retransmission_budget: bool,
}

impl Quotas {
    pub(crate) fn read(section: &mut Section) -> Quotas {
        Quotas {
            partition_safe: section.flag("fenced", false),
            retransmission_budget: section.flag("spare_words", false),
        }
    }
}

/// Which app servers a node uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Servers {
    /// Whether each server of a list of more than 512 gets requests from a subset of the nodes only.
    pub subsetting: bool,
}

impl Servers {
    pub(crate) fn read(section: &mut Section) -> Servers {
        Servers {
            subsetting: section.flag("working_set", false),
        }
    }
}
