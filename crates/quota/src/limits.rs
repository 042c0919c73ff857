//! The limits of one shard, and the initial state of its token bucket.

use crate::{seconds_between, Micros};

/// Parameters of a token bucket whose limit holds even when an owner restarts or a standby takes over.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HardLimit {
    /// Refill rate, units per second.
    pub rate: f64,
    /// Maximum number of tokens, units.
    pub capacity: f64,
}

/// The part of a customer's limits that one shard enforces.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShardLimits {
    /// Refill rate, units per second; 0 for no rate limit.
    pub rate: f64,
    /// Maximum number of tokens, units.
    pub capacity: f64,
    /// Maximum number of attempts in flight; `None` for no limit.
    pub max_in_flight: Option<u32>,
    /// The shard's part of the customer's hard limit; `None` if the customer has no hard limit.
    pub hard_limit: Option<HardLimit>,
}

/// A fill ratio that an owner reported for its shard.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedFill {
    /// The shard's tokens as a fraction of its capacity, 0 to 1.
    pub ratio: f64,
    /// Time since the report, µs.
    pub age: Micros,
}

/// How a new shard determines its initial tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InitialTokens {
    /// The full capacity: this node started together with the fleet, so no owner has granted anything yet.
    Full,
    /// Another owner may have granted all tokens until `elapsed` ago. Used by a standby, and by an owner whose node
    /// restarted.
    AccruedSince {
        /// Minimum number of tokens: the units of one request.
        units: f64,
        /// Time for which tokens have accrued since then, µs.
        elapsed: Micros,
    },
    /// The node restarted, and the requester sent the fill ratio that the owner had reported to it before.
    Reported(ReportedFill),
}

impl InitialTokens {
    /// Returns the initial number of tokens of a shard with the given limits.
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
