//! The limits of one shard, and how its token bucket starts.

use crate::{seconds_between, Micros};

/// A token bucket that must not be passed even when an owner restarts or a standby takes over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Units a second.
    pub rate: f64,
    /// Most units that it holds.
    pub capacity: f64,
}

/// The limits of one shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardLimits {
    /// Units a second; 0 for no limit by rate.
    pub rate: f64,
    /// Most units that the shard holds.
    pub capacity: f64,
    /// Attempts that may be in flight at a time; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// The shard's part of the customer's hard limit; `None` if it has none.
    pub hard_limit: Option<HardLimit>,
}

/// How full an owner reported its shard to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedFill {
    /// Tokens as a fraction of the shard's capacity, 0 to 1.
    pub ratio: f64,
    /// Time since the report, µs.
    pub age: Micros,
}

/// With how many tokens a shard starts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InitialTokens {
    /// With all of its capacity: this node is as old as the fleet, so nothing was granted before.
    Full,
    /// Another owner may have granted all tokens up to some time ago. A standby starts so, and an owner whose node restarted.
    AccruedSince {
        /// Tokens that the shard has in any case: the units of one request.
        units: f64,
        /// Time for which tokens have come in since, µs.
        elapsed: Micros,
    },
    /// The node restarted, and the requester was told before how full the shard was.
    Reported(ReportedFill),
}

impl InitialTokens {
    /// The tokens with which a shard of these limits starts.
    pub(crate) fn tokens(self, limits: &ShardLimits) -> f64 {
        let tokens = match self {
            InitialTokens::Full => limits.capacity,
            InitialTokens::AccruedSince { units, elapsed } => {
                units + limits.rate * seconds_between(0, elapsed)
            }
            InitialTokens::Reported(fill) => {
                fill.ratio.clamp(0.0, 1.0) * limits.capacity
                    + limits.rate * seconds_between(0, fill.age)
            }
        };
        tokens.min(limits.capacity)
    }
}
