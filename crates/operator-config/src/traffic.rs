//! The sections `[quotas]` and `[servers]`: how quotas and app servers are divided among nodes.

use crate::section::Section;

/// How nodes share quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quotas {
    /// Partition-safe mode: each owner of a customer's quota grants from its own share of it, so that owners that
    /// cannot reach each other never exceed the quota together.
    pub partition_safe: bool,
    /// Whether retransmissions of unanswered grant requests are limited by a message budget.
    pub retransmission_budget: bool,
}

impl Quotas {
    pub(crate) fn read(section: &mut Section) -> Quotas {
        Quotas {
            partition_safe: section.boolean("fenced", false),
            retransmission_budget: section.boolean("spare_words", false),
        }
    }
}

/// Which app servers a node uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Servers {
    /// Whether, with more than 512 servers on the list, each server gets requests only from a subset of the nodes.
    pub subsetting: bool,
}

impl Servers {
    pub(crate) fn read(section: &mut Section) -> Servers {
        Servers {
            subsetting: section.boolean("working_set", false),
        }
    }
}
